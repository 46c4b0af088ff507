#include "evacuation.h"

#include <string.h>

/* the clock of a server may run 2 % slow: 3 % of the time since it was told are left aside */
#define CLOCK_MARGIN_PERCENT 3

/* a row that a read has shown */
struct read_row {
	char *domain;
	int64_t version;
};

/**
 * struct evacuations - all rows known, removed ones among them
 * @row: the rows. Removed ones stay until their place is needed, so that an older version of
 *	them that arrives late is recognized
 * @is_incomplete: there were more rows than the set holds, so that all domains count
 * @read: rows of the read in progress
 * @read_exceeds: the read has shown more rows than fit
 * @exceeds_since_read: a row did not fit since the read began, which may not show it
 * @losses: number of losses up to now, 1 at first: nothing is known before a read
 * @read_losses: value of @losses as the read in progress began
 * @covered_losses: value of @losses as the last complete read began
 * @confirmed_at: the set holds all rows as of this time, in ms; -1 before the first read
 */
struct evacuations {
	struct evacuation row[EVACUATION_DOMAINS_MAX];
	unsigned int count;
	bool is_incomplete;
	struct read_row read[EVACUATION_DOMAINS_MAX];
	unsigned int read_count;
	bool read_exceeds;
	bool exceeds_since_read;
	uint64_t losses;
	uint64_t read_losses;
	uint64_t covered_losses;
	int64_t confirmed_at;
	evacuation_change_fn *on_change;
	void *data;
};

struct evacuations *evacuations_new(TALLOC_CTX *ctx, evacuation_change_fn *on_change, void *data)
{
	struct evacuations *set = talloc_zero(ctx, struct evacuations);

	set->losses = 1;
	set->confirmed_at = -1;
	set->on_change = on_change;
	set->data = data;
	return set;
}

static bool is_name(struct str domain)
{
	return domain.len > 0 && domain.len <= EVACUATION_NAME_MAX &&
	       !memchr(domain.ptr, '\0', domain.len);
}

static bool is_same(const char *name, struct str domain)
{
	return strlen(name) == domain.len && !memcmp(name, domain.ptr, domain.len);
}

static struct evacuation *find(struct evacuations *set, struct str domain)
{
	for (unsigned int i = 0; i < set->count; i++)
		if (is_same(set->row[i].domain, domain))
			return &set->row[i];
	return NULL;
}

/* a free place, or that of the row that was removed first; NULL when all rows are in force */
static struct evacuation *find_place(struct evacuations *set)
{
	struct evacuation *oldest = NULL;

	if (set->count < EVACUATION_DOMAINS_MAX)
		return &set->row[set->count++];
	for (unsigned int i = 0; i < set->count; i++) {
		struct evacuation *e = &set->row[i];

		if (!e->is_in_force && (!oldest || e->version < oldest->version))
			oldest = e;
	}
	if (oldest)
		TALLOC_FREE(oldest->domain);
	return oldest;
}

static void set_state(struct evacuations *set, struct evacuation *e, bool is_in_force)
{
	if (e->is_in_force == is_in_force)
		return;
	e->is_in_force = is_in_force;
	set->on_change(e, set->data);
}

void evacuations_apply(struct evacuations *set, struct str domain, int64_t version, bool is_removed,
		       int64_t seen_at)
{
	struct evacuation *e;

	if (!is_name(domain))
		return;
	e = find(set, domain);
	if (e && version <= e->version)
		return;
	/* a row that did not fit may take the place of this one */
	if (is_removed && set->is_incomplete)
		evacuations_lose(set);
	if (!e) {
		e = find_place(set);
		if (!e && is_removed)
			return;
		if (!e) {
			set->is_incomplete = true;
			set->exceeds_since_read = true;
			return;
		}
		*e = (struct evacuation){.domain = str_dup(set, domain)};
	}
	e->version = version;
	e->seen_at = seen_at;
	set_state(set, e, !is_removed);
}

void evacuations_read_begin(struct evacuations *set)
{
	for (unsigned int i = 0; i < set->read_count; i++)
		TALLOC_FREE(set->read[i].domain);
	set->read_count = 0;
	set->read_exceeds = false;
	set->exceeds_since_read = false;
	set->read_losses = set->losses;
}

void evacuations_read_row(struct evacuations *set, struct str domain, int64_t version)
{
	if (!is_name(domain))
		return;
	for (unsigned int i = 0; i < set->read_count; i++) {
		if (!is_same(set->read[i].domain, domain))
			continue;
		set->read[i].version = MAX(set->read[i].version, version);
		return;
	}
	if (set->read_count == EVACUATION_DOMAINS_MAX) {
		set->read_exceeds = true;
		return;
	}
	set->read[set->read_count++] = (struct read_row){str_dup(set, domain), version};
}

static bool read_shows(const struct evacuations *set, const char *domain)
{
	for (unsigned int i = 0; i < set->read_count; i++)
		if (!strcmp(set->read[i].domain, domain))
			return true;
	return false;
}

void evacuations_read_end(struct evacuations *set, int64_t version, int64_t sent_at)
{
	for (unsigned int i = 0; i < set->count; i++) {
		struct evacuation *e = &set->row[i];

		/* a feed may know a version that is newer than the read */
		if (!e->is_in_force || e->version > version || read_shows(set, e->domain))
			continue;
		/* the row may be one of those that the read had no place for */
		if (set->read_exceeds)
			continue;
		e->version = version;
		e->seen_at = sent_at;
		set_state(set, e, false);
	}
	set->is_incomplete = set->read_exceeds || set->exceeds_since_read;
	if (set->exceeds_since_read)
		evacuations_lose(set);
	for (unsigned int i = 0; i < set->read_count; i++)
		evacuations_apply(set, str_from(set->read[i].domain), set->read[i].version, false,
				  sent_at);
	set->covered_losses = set->read_losses;
	evacuations_confirm(set, sent_at);
	evacuations_read_begin(set);
}

void evacuations_lose(struct evacuations *set)
{
	set->losses++;
}

bool evacuations_must_read(const struct evacuations *set)
{
	return set->covered_losses != set->losses;
}

void evacuations_confirm(struct evacuations *set, int64_t sent_at)
{
	if (!evacuations_must_read(set))
		set->confirmed_at = MAX(set->confirmed_at, sent_at);
}

bool evacuations_contain(const struct evacuations *set, const char *domain)
{
	if (set->is_incomplete)
		return true;
	for (unsigned int i = 0; i < set->count; i++)
		if (set->row[i].is_in_force && !strcmp(set->row[i].domain, domain))
			return true;
	return false;
}

unsigned int evacuations_count(const struct evacuations *set)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < set->count; i++)
		n += set->row[i].is_in_force;
	return n;
}

bool evacuations_are_complete(const struct evacuations *set)
{
	return !set->is_incomplete;
}

int64_t evacuations_age_ms(const struct evacuations *set, int64_t now)
{
	return set->confirmed_at < 0 ? -1 : now - set->confirmed_at;
}

int64_t evacuations_age_max_ms(int64_t bound_ms)
{
	/* with a very short bound, half of it is left for the start */
	return MAX(bound_ms - EVACUATION_ORDER_MS, bound_ms / 2);
}

bool evacuations_allow_starts(const struct evacuations *set, int64_t bound_ms, int64_t since,
			      int64_t now)
{
	return set->confirmed_at >= MAX(since, 0) &&
	       evacuations_age_ms(set, now) <= evacuations_age_max_ms(bound_ms);
}

int64_t evacuations_start_within_ms(const struct evacuations *set, int64_t bound_ms,
				    int64_t silent_ms, int64_t now)
{
	int64_t margin = MIN(silent_ms * CLOCK_MARGIN_PERCENT / 100, EVACUATION_CLOCK_MARGIN_MS);

	if (set->confirmed_at < 0)
		return 0;
	return MAX(set->confirmed_at + bound_ms - MAX(margin, 0) - now, 0);
}
