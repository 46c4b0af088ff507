#include "fleet.h"

#include <limits.h>
#include <string.h>

const char *fleet_presence_name(enum fleet_presence presence)
{
	static const char *const names[] = {
#define X(id, name) name,
		FLEET_PRESENCES(X)
#undef X
	};

	return names[presence];
}

const char *fleet_admission_name(enum fleet_admission admission)
{
	static const char *const names[] = {
#define X(id, name) name,
		FLEET_ADMISSIONS(X)
#undef X
	};

	return names[admission];
}

const char *fleet_speed_class_name(enum fleet_speed_class speed_class)
{
	static const char *const names[] = {
#define X(id, name) name,
		FLEET_SPEED_CLASSES(X)
#undef X
	};

	return names[speed_class];
}

static int fleet_destructor(struct fleet *f)
{
	for (guint i = 0; i < f->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(f->all, i);

		g_ptr_array_free(sv->tasks, TRUE);
	}
	g_ptr_array_free(f->all, TRUE);
	g_ptr_array_free(f->racks, TRUE);
	g_hash_table_destroy(f->by_id);
	return 0;
}

struct fleet *fleet_new(TALLOC_CTX *ctx)
{
	struct fleet *f = talloc_zero(ctx, struct fleet);

	f->all = g_ptr_array_new();
	f->racks = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(f->racks, g_strdup(""));
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(f, fleet_destructor);
	return f;
}

unsigned int fleet_find_rack(const struct fleet *f, const char *name)
{
	for (guint i = 0; i < f->racks->len; i++)
		if (!strcmp(g_ptr_array_index(f->racks, i), name))
			return i;
	return UINT_MAX;
}

unsigned int fleet_find_or_add_rack(struct fleet *f, const char *name)
{
	unsigned int i = fleet_find_rack(f, name);

	if (i != UINT_MAX)
		return i;
	g_ptr_array_add(f->racks, g_strdup(name));
	return f->racks->len - 1;
}

void fleet_set_rack(struct fleet *f, struct fleet_server *sv, const char *name)
{
	sv->rack = fleet_find_or_add_rack(f, name);
}

const char *fleet_rack_name(const struct fleet *f, unsigned int rack)
{
	return g_ptr_array_index(f->racks, rack);
}

struct fleet_server *fleet_find(const struct fleet *f, const char *id)
{
	return g_hash_table_lookup(f->by_id, id);
}

void fleet_replace(struct fleet *f, struct fleet_server *sv)
{
	f->ended += sv->presence != FLEET_REPLACED;
	sv->presence = FLEET_REPLACED;
}

struct fleet_server *fleet_add(struct fleet *f, const char *id, int64_t born)
{
	struct fleet_server *old = fleet_find(f, id);
	struct fleet_server *sv = talloc_zero(f, struct fleet_server);

	if (old)
		fleet_replace(f, old);
	sv->ended_before = f->ended;
	sv->id = talloc_strdup(sv, id);
	sv->born = born;
	sv->address = talloc_strdup(sv, "");
	sv->service = talloc_strdup(sv, "");
	sv->failure_domain = talloc_strdup(sv, "");
	sv->presence = FLEET_UNLISTED;
	sv->is_reachable = true;
	sv->speed = 1;
	sv->tasks = g_ptr_array_new();
	g_ptr_array_add(f->all, sv);
	g_hash_table_replace(f->by_id, sv->id, sv);
	return sv;
}

struct fleet_server *fleet_find_or_add(struct fleet *f, const struct fleet_server *old,
				       int64_t born)
{
	struct fleet_server *sv = fleet_find(f, old->id);

	if (sv && sv->born >= born)
		return sv;
	sv = fleet_add(f, old->id, born);
	sv->address = talloc_strdup(sv, old->address);
	sv->service = talloc_strdup(sv, old->service);
	sv->failure_domain = talloc_strdup(sv, old->failure_domain);
	sv->is_evacuated = old->is_evacuated;
	sv->capacity = old->capacity;
	sv->rack = old->rack;
	return sv;
}

void fleet_prune(struct fleet *f, bool (*may_free)(struct fleet_server *sv))
{
	for (guint i = 0; i < f->all->len;) {
		struct fleet_server *sv = g_ptr_array_index(f->all, i);

		if (sv->tasks->len || sv->presence == FLEET_LISTED ||
		    sv->presence == FLEET_DRAINING || !may_free(sv)) {
			i++;
			continue;
		}
		fleet_replace(f, sv);
		if (fleet_find(f, sv->id) == sv)
			g_hash_table_remove(f->by_id, sv->id);
		g_ptr_array_free(sv->tasks, TRUE);
		g_ptr_array_remove_index(f->all, i);
		talloc_free(sv);
	}
}

enum fleet_admission fleet_admission(const struct fleet_server *sv, int64_t now)
{
	if (sv->presence != FLEET_LISTED)
		return FLEET_NOT_LISTED;
	if (sv->is_evacuated)
		return FLEET_EVACUATED;
	if (!sv->is_fenced)
		return FLEET_UNFENCED;
	if (!sv->is_reachable)
		return FLEET_UNREACHABLE;
	return sv->suspect_until > now ? FLEET_SUSPECT : FLEET_ACCEPTING;
}

bool fleet_accepts_work(const struct fleet_server *sv, int64_t now)
{
	return fleet_admission(sv, now) == FLEET_ACCEPTING;
}

bool fleet_is_suspect_for_a_stall(const struct fleet_server *sv, int64_t now)
{
	return fleet_admission(sv, now) == FLEET_SUSPECT && sv->suspect_until == sv->fault_until &&
	       !sv->is_suspect_for_failures;
}

struct fleet_resources fleet_unused_capacity(const struct fleet_server *sv)
{
	struct fleet_resources unused = sv->capacity;

	fleet_resources_add(&unused, &sv->used, -1);
	fleet_resources_add(&unused, &sv->unclaimed, -1);
	return unused;
}

struct fleet_resources fleet_free_capacity(const struct fleet_server *sv)
{
	struct fleet_resources free_capacity = fleet_unused_capacity(sv);

	fleet_resources_add(&free_capacity, &sv->awaiting_preemption, -1);
	return free_capacity;
}

bool fleet_has_label(const struct fleet_server *sv, const char *label)
{
	for (unsigned int i = 0; i < sv->label_count; i++)
		if (!strcmp(sv->labels[i], label))
			return true;
	return false;
}

void fleet_suspect(struct fleet_server *sv, int64_t now)
{
	if (sv->fault_until > now)
		return;
	sv->suspect_duration = sv->suspect_duration
				       ? MIN(sv->suspect_duration * 2, FLEET_SUSPECT_MAX_MS)
				       : FLEET_SUSPECT_MS;
	sv->fault_until = now + sv->suspect_duration;
	sv->suspect_until = MAX(sv->suspect_until, sv->fault_until);
	sv->is_suspect_for_failures = false;
	sv->failures = 0;
}

void fleet_note_refusal(struct fleet_server *sv, int64_t now)
{
	sv->suspect_until = MAX(sv->suspect_until, now + FLEET_SUSPECT_MS);
}

bool fleet_note_failure(struct fleet_server *sv, const char *job, int64_t now)
{
	sv->probation_until = now + FLEET_PROBATION_MS;
	if (sv->fault_until > now)
		return false;
	if (sv->last_failed_job && !strcmp(sv->last_failed_job, job))
		return false;
	TALLOC_FREE(sv->last_failed_job);
	sv->last_failed_job = talloc_strdup(sv, job);
	if (++sv->failures < FLEET_FAILURES_MAX)
		return false;
	fleet_suspect(sv, now);
	sv->is_suspect_for_failures = true;
	return true;
}

static const char *kind_of(const struct fleet_server *sv)
{
	return sv->label_count ? sv->labels[0] : "";
}

/* work that needs a kind of server can't use the others of the pool */
static bool is_usable_peer(const struct fleet_server *sv, const struct fleet_server *other)
{
	return sv->presence == FLEET_LISTED && sv->is_reachable && !sv->is_evacuated &&
	       !strcmp(sv->service, other->service) && !strcmp(kind_of(sv), kind_of(other));
}

static bool is_suspect_for_failures(const struct fleet_server *sv, int64_t now)
{
	return sv->is_suspect_for_failures && sv->fault_until > now;
}

unsigned int fleet_forgive_failures(struct fleet *f, const struct fleet_server *failing,
				    int64_t now)
{
	unsigned int usable = 0;
	unsigned int suspect = 0;

	for (guint i = 0; i < f->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(f->all, i);

		if (!is_usable_peer(sv, failing))
			continue;
		usable++;
		suspect += is_suspect_for_failures(sv, now);
	}
	/* in a pool of a few servers, one of them may well be at fault */
	if (suspect < usable && suspect <= MAX(usable / FLEET_SUSPECT_SHARE, 1))
		return 0;
	for (guint i = 0; i < f->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(f->all, i);

		if (!is_usable_peer(sv, failing) || !is_suspect_for_failures(sv, now))
			continue;
		/* a later end has another reason */
		if (sv->suspect_until == sv->fault_until)
			sv->suspect_until = now;
		sv->fault_until = 0;
		sv->suspect_duration = 0;
	}
	return suspect;
}

void fleet_note_progress(struct fleet_server *sv, int64_t now)
{
	sv->progress_at = now;
	sv->stalled_gangs = 0;
}

void fleet_note_success(struct fleet_server *sv, int64_t now)
{
	sv->failures = 0;
	sv->probation_until = 0;
	fleet_note_progress(sv, now);
	sv->suspect_duration = 0;
	sv->fault_until = 0;
	TALLOC_FREE(sv->last_failed_job);
}
