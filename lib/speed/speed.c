/*
 * Samples of run times, and the speeds that placement uses.
 *
 * Load pattern: see speed.h. A server sees 10 to 30 tasks in half a minute, and a takeover may
 * leave half a minute to learn. A sample is therefore taken as soon as a task has made some
 * progress, and only made more accurate afterwards.
 */
#include "speed_fit.h"

#include <math.h>
#include <string.h>

#define PROGRESS_MIN 15	    /* percent; progress is reported in whole percent */
#define OBSERVED_MIN_MS 700 /* a poll may be answered some ms late */
#define LATE_SHARE_MAX 0.1  /* of the run time, by which an end may have been listed late */
#define SLOWNESS_MAX 4.0    /* a wrong clock or declared run time gives no larger value */
#define FOLDED_LIMIT 4.0    /* of the evidence of samples that are not kept */
/* of the evidence that a sample gave, as the limit for a period no longer applies to it */
#define FOLD_SHARE 0.6
/* least probability of a class, with hysteresis */
#define CLASS_ENTER 0.95
#define CLASS_LEAVE 0.7
/* share of servers of the slower class, with hysteresis, from which that is the typical one */
#define MOST_ENTER 0.55
#define MOST_LEAVE 0.45
#define SPEED_STEP 0.05	   /* speeds are rounded, so that they change rarely */
#define RATIO_MIN_WEIGHT 2 /* samples of a job, from which its own ratio is used */

static void free_point(struct speed *s, struct speed_point *p)
{
	if (!--p->job->points) {
		p->job->queue->jobs--;
		g_hash_table_remove(s->jobs, p->job->id);
	}
	g_free(p->member);
	memset(p, 0, sizeof(*p));
}

static int speed_destructor(struct speed *s)
{
	for (uint64_t n = s->first; n < s->next; n++)
		free_point(s, speed_point(s, n));
	g_hash_table_destroy(s->jobs);
	g_free(s->point);
	json_decref(s->former);
	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++)
		g_free(s->queue[i].name);
	return 0;
}

struct speed *speed_new(TALLOC_CTX *ctx, const struct fleet *fleet, const struct speed_watch *watch)
{
	struct speed *s = talloc_zero(ctx, struct speed);

	s->fleet = fleet;
	if (watch)
		s->watch = *watch;
	/* pages that are never written need no memory */
	s->point = g_new0(struct speed_point, SPEED_SAMPLES_MAX);
	s->first = 1;
	s->next = 1;
	s->slots = 1;
	s->slot = talloc_zero_array(s, struct speed_slot, s->slots);
	s->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	speed_fit_init(s);
	talloc_set_destructor(s, speed_destructor);
	return s;
}

/* ---- servers, queues and jobs ---- */

static unsigned int free_slot(struct speed *s)
{
	for (unsigned int i = 1; i < s->slots; i++)
		if (!s->slot[i].is_used)
			return i;
	if (s->slots > SPEED_SERVERS_MAX)
		return 0;
	s->slot = talloc_realloc(s, s->slot, struct speed_slot, s->slots + 1);
	memset(&s->slot[s->slots], 0, sizeof(*s->slot));
	return s->slots++;
}

/* an earlier leader knew this incarnation to be of the rarer class */
static bool was_different(const struct speed *s, const struct fleet_server *sv)
{
	return s->former && base_json_int(s->former, sv->id, -1) == sv->born;
}

/* index of the server's slot, 0 when there are too many servers */
static unsigned int slot_of(struct speed *s, struct fleet_server *sv)
{
	unsigned int i = sv->speed_slot;
	uint16_t serial;

	if (i)
		return i;
	i = free_slot(s);
	if (!i)
		return 0;
	serial = (uint16_t)(s->slot[i].serial + 1);
	s->slot[i] = (struct speed_slot){
		.serial = serial, .is_used = true, .seen = s->fits, .chance = s->share};
	sv->speed_slot = i;
	if (was_different(s, sv))
		s->slot[i].folded = s->most_are_slow ? -FOLDED_LIMIT : FOLDED_LIMIT;
	return i;
}

static struct speed_queue *queue_of(struct speed *s, const char *name)
{
	struct speed_queue *unused = NULL;

	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++) {
		struct speed_queue *q = &s->queue[i];

		if (q->name && !strcmp(q->name, name))
			return q;
		if (!unused && !q->name)
			unused = q;
	}
	for (unsigned int i = 0; !unused && i < SPEED_QUEUES_MAX; i++)
		if (!s->queue[i].jobs)
			unused = &s->queue[i];
	if (!unused)
		return NULL;
	g_free(unused->name);
	*unused = (struct speed_queue){.name = g_strdup(name)};
	return unused;
}

static struct speed_job *job_of(struct speed *s, const struct work_job *job)
{
	struct speed_job *known = g_hash_table_lookup(s->jobs, job->id);
	struct speed_queue *queue;

	if (known)
		return known;
	queue = queue_of(s, job->queue);
	if (!queue)
		return NULL;
	known = g_new0(struct speed_job, 1);
	memcpy(known->id, job->id, sizeof(known->id));
	known->queue = queue;
	queue->jobs++;
	g_hash_table_insert(s->jobs, known->id, known);
	return known;
}

/* ---- samples ---- */

static void fold(struct speed *s, struct speed_point *p)
{
	for (unsigned int i = 0; i < p->members; i++) {
		const struct speed_member *m = &p->member[i];
		struct speed_slot *slot = &s->slot[m->slot];
		double folded = slot->folded + FOLD_SHARE * m->message;

		if (slot->is_used && slot->serial == m->serial)
			slot->folded = CLAMP(folded, -FOLDED_LIMIT, FOLDED_LIMIT);
	}
	free_point(s, p);
}

static void drop_old(struct speed *s, int64_t now)
{
	while (s->first < s->next) {
		struct speed_point *p = speed_point(s, s->first);

		if (p->at > now - SPEED_MAX_AGE_MS && s->next - s->first < SPEED_SAMPLES_MAX)
			return;
		fold(s, p);
		s->first++;
	}
}

/* fills @member with the servers that run the group of @t, or with that of @t alone */
static unsigned int collect_members(struct speed *s, const struct work_task *t,
				    struct speed_member *member)
{
	const struct work_group *g = t->group;
	unsigned int first = g->step->is_gang ? 0 : t->index;
	unsigned int end = g->step->is_gang ? g->count : t->index + 1;
	unsigned int count = 0;

	for (unsigned int i = first; i < end; i++) {
		struct fleet_server *sv = g->task[i].server;
		unsigned int slot = sv ? slot_of(s, sv) : 0;
		unsigned int k = 0;

		if (!slot)
			return 0;
		while (k < count && member[k].slot != slot)
			k++;
		if (k == SPEED_MEMBERS_MAX)
			return 0;
		member[k] = (struct speed_member){(uint16_t)slot, s->slot[slot].serial, 0};
		count = MAX(count, k + 1);
	}
	return count;
}

static bool spans_racks(const struct work_group *g)
{
	for (unsigned int i = 1; i < g->count; i++)
		if (g->task[i].server && g->task[0].server &&
		    g->task[i].server->rack != g->task[0].server->rack)
			return true;
	return false;
}

/* outside its rack or data rack a task is slow on whichever server */
static bool is_comparable(const struct speed *s, const struct work_task *t)
{
	const struct work_step *step = t->group->step;

	if (!t->server || step->is_endless || step->estimate_ms <= 0)
		return false;
	if (step->data_rack && fleet_find_rack(s->fleet, step->data_rack) != t->server->rack)
		return false;
	return !step->same_rack || !spans_racks(t->group);
}

/* the task whose @speed_sample counts */
static struct work_task *sampled(struct work_task *t)
{
	return t->group->step->is_gang ? &t->group->task[0] : t;
}

static struct speed_point *add_point(struct speed *s, struct work_task *t, int64_t now)
{
	struct speed_member member[SPEED_MEMBERS_MAX];
	unsigned int members = collect_members(s, t, member);
	struct speed_job *job = members ? job_of(s, t->group->job) : NULL;
	struct speed_point *p;

	if (!job)
		return NULL;
	job->points++; /* so that it stays while an older sample is dropped */
	drop_old(s, now);
	p = speed_point(s, s->next);
	*p = (struct speed_point){.job = job,
				  .at = now,
				  .tasks = t->group->step->is_gang ? t->group->count : 1,
				  .member = g_memdup2(member, members * sizeof(*member)),
				  .members = members,
				  .slow = s->share,
				  .inlier = 1};
	p->excess = speed_excess(p->tasks);
	sampled(t)->speed_sample = s->next++;
	return p;
}

static struct speed_point *note(struct speed *s, struct work_task *t, double run_ms, int64_t now)
{
	uint64_t number = sampled(t)->speed_sample;
	struct speed_point *p;

	if (number && number < s->first)
		return NULL; /* it is too old to be made more accurate */
	p = number ? speed_point(s, number) : add_point(s, t, now);
	if (!p)
		return NULL;
	p->slowness = log(run_ms / (double)t->group->step->estimate_ms);
	p->slowness = CLAMP(p->slowness, -SLOWNESS_MAX, SLOWNESS_MAX);
	s->last_at = now;
	s->has_news = true;
	return p;
}

/* members of a gang advance once all have started */
static int64_t run_since(const struct work_task *t)
{
	const struct work_group *g = t->group;
	int64_t since = t->started_at;

	for (unsigned int i = 0; g->step->is_gang && i < g->count; i++)
		since = MAX(since, g->task[i].started_at);
	return since;
}

/* this leader has sent the start, and the run began with its first step */
static bool has_seen_start(const struct work_task *t)
{
	return t->started_at && t->start_sent_at && !t->is_resumed && !t->was_sent_to_former;
}

void speed_note_progress(struct speed *s, struct work_task *t, int64_t now)
{
	bool from_start = has_seen_start(t);
	int percent = from_start ? t->percent : t->percent - t->first_percent;
	int64_t observed = t->progress_at - (from_start ? run_since(t) : t->first_percent_at);

	/* one at 100 percent may wait for the other members of its gang */
	if (t->state != TASK_RUNNING || t->progress_at != now || t->first_percent < 0 ||
	    t->percent >= 100 || percent < PROGRESS_MIN || observed < OBSERVED_MIN_MS ||
	    !is_comparable(s, t))
		return;
	note(s, t, (double)observed * 100 / percent, now);
}

static void tell_sample(const struct speed *s, const struct work_task *t,
			const struct speed_point *p, int64_t now)
{
	struct speed_sample sample = {.server = t->server,
				      .queue = t->group->job->queue,
				      .image = t->group->step->image,
				      .ratio = exp(-speed_residual(s, p)),
				      .at = now};

	if (s->watch.on_sample && p->members == 1)
		s->watch.on_sample(&sample, s->watch.data);
}

void speed_note_end(struct speed *s, struct work_task *t, int64_t now, int64_t late_ms)
{
	const struct speed_point *p = NULL;
	int64_t run_ms = now - run_since(t);
	int64_t observed = now - t->first_percent_at;

	if ((t->state != TASK_RUNNING && t->state != TASK_STARTING) || !is_comparable(s, t))
		return;
	if (has_seen_start(t) && run_ms > 0 && (double)late_ms <= LATE_SHARE_MAX * (double)run_ms)
		p = note(s, t, (double)run_ms, now);
	else if (t->first_percent >= 0 && 100 - t->first_percent >= PROGRESS_MIN &&
		 observed >= OBSERVED_MIN_MS &&
		 (double)late_ms <= LATE_SHARE_MAX * (double)observed && !has_seen_start(t))
		p = note(s, t, (double)observed * 100 / (100 - t->first_percent), now);
	if (p)
		tell_sample(s, t, p, now);
}

/* ---- speeds of the servers ---- */

static enum fleet_speed_class class_of(const struct speed *s, const struct fleet_server *sv,
				       double chance)
{
	enum fleet_speed_class slower = s->most_are_slow ? FLEET_SPEED_TYPICAL : FLEET_SPEED_SLOW;
	enum fleet_speed_class faster = s->most_are_slow ? FLEET_SPEED_FAST : FLEET_SPEED_TYPICAL;

	if (!s->is_known)
		return FLEET_SPEED_UNKNOWN;
	if (chance >= (sv->speed_class == slower ? CLASS_LEAVE : CLASS_ENTER))
		return slower;
	if (1 - chance >= (sv->speed_class == faster ? CLASS_LEAVE : CLASS_ENTER))
		return faster;
	return FLEET_SPEED_UNKNOWN;
}

static double speed_of(const struct speed *s, enum fleet_speed_class speed_class)
{
	double gap = speed_class == FLEET_SPEED_SLOW   ? -s->gap
		     : speed_class == FLEET_SPEED_FAST ? s->gap
						       : 0;

	return round(exp(gap) / SPEED_STEP) * SPEED_STEP;
}

static bool set_speed(const struct speed *s, struct fleet_server *sv)
{
	const struct speed_slot *slot = &s->slot[sv->speed_slot];
	struct speed_change change = {.server = sv,
				      .former = sv->speed_class,
				      .chance = slot->chance,
				      .last_at = s->last_at};
	double former = sv->speed;

	sv->speed_class = class_of(s, sv, slot->chance);
	sv->speed = speed_of(s, sv->speed_class);
	sv->speed_samples = slot->samples;
	if (sv->speed_class != change.former && s->watch.on_change)
		s->watch.on_change(&change, s->watch.data);
	return sv->speed_class != change.former || fabs(sv->speed - former) > SPEED_STEP / 2;
}

static void free_unseen_slots(struct speed *s)
{
	for (guint i = 0; i < s->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(s->fleet->all, i);

		s->slot[sv->speed_slot].seen = s->fits;
	}
	for (unsigned int i = 1; i < s->slots; i++)
		s->slot[i].is_used = s->slot[i].is_used && s->slot[i].seen == s->fits;
}

bool speed_update(struct speed *s, int64_t now)
{
	bool has_changed = false;

	if (!s->has_news || (s->updated_at && now < s->updated_at + SPEED_UPDATE_MS))
		return false;
	s->has_news = false;
	s->fits++;
	for (guint i = 0; s->former && i < s->fleet->all->len; i++)
		if (was_different(s, g_ptr_array_index(s->fleet->all, i)))
			slot_of(s, g_ptr_array_index(s->fleet->all, i));
	free_unseen_slots(s);
	drop_old(s, now);
	speed_fit(s, now);
	if (!s->is_known || s->share > MOST_ENTER || s->share < MOST_LEAVE)
		s->most_are_slow = s->share > 0.5;
	s->updated_at = now;
	for (guint i = 0; i < s->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(s->fleet->all, i);

		if (sv->speed_slot)
			has_changed |= set_speed(s, sv);
	}
	return has_changed;
}

bool speed_is_known(const struct speed *s)
{
	return s->is_known;
}

double speed_job_ratio(const struct speed *s, const struct work_job *job)
{
	const struct speed_job *known;
	double offset = 0;

	if (!s->is_known)
		return 1;
	known = g_hash_table_lookup(s->jobs, job->id);
	if (known && known->weight >= RATIO_MIN_WEIGHT)
		return exp(known->queue->offset + known->offset + (s->most_are_slow ? s->gap : 0));
	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++)
		if (s->queue[i].name && !strcmp(s->queue[i].name, job->queue))
			offset = s->queue[i].offset;
	return exp(offset + (s->most_are_slow ? s->gap : 0));
}

int64_t speed_expected_ms(const struct work_group *group, const struct fleet_server *sv)
{
	double ratio = group->job->run_ratio / (sv ? sv->speed : 1);

	return (int64_t)((double)group->step->estimate_ms * ratio);
}

int64_t speed_expected_path_ms(const struct work_group *group)
{
	return (int64_t)((double)group->step->critical_path_ms * group->job->run_ratio);
}

/* ---- for the next leader ---- */

char *speed_encode(TALLOC_CTX *ctx, const struct speed *s)
{
	json_t *servers;
	json_t *queues;
	json_t *v;
	char *text;

	if (!s->is_known)
		return NULL;
	servers = json_object();
	queues = json_object();
	for (guint i = 0; i < s->fleet->all->len; i++) {
		const struct fleet_server *sv = g_ptr_array_index(s->fleet->all, i);

		if ((sv->speed_class == FLEET_SPEED_SLOW || sv->speed_class == FLEET_SPEED_FAST) &&
		    sv->presence != FLEET_REPLACED &&
		    json_object_size(servers) < SPEED_ROW_SERVERS_MAX)
			json_object_set_new(servers, sv->id, json_integer(sv->born));
	}
	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++)
		if (s->queue[i].jobs)
			json_object_set_new(queues, s->queue[i].name,
					    json_real(round(s->queue[i].offset * 100) / 100));
	v = json_pack("{sf sb so so}", "gap", round(s->gap * 100) / 100, "most_are_slow",
		      s->most_are_slow, "servers", servers, "queues", queues);
	text = base_json_text(ctx, v);
	json_decref(v);
	return text;
}

void speed_decode(struct speed *s, struct str text)
{
	json_t *v = json_loadb(text.ptr, text.len, 0, NULL);
	json_t *servers = json_object_get(v, "servers");
	const json_t *gap = json_object_get(v, "gap");
	const char *name;
	json_t *offset;

	if (!json_is_object(servers) || json_object_size(servers) > SPEED_ROW_SERVERS_MAX ||
	    !json_is_number(gap))
		goto out;
	json_decref(s->former);
	s->former = json_incref(servers);
	s->gap = CLAMP(json_number_value(gap), SPEED_GAP_MIN, SPEED_GAP_MAX);
	s->most_are_slow = base_json_bool(v, "most_are_slow", false);
	s->inherited = SPEED_SCORE_KNOWN;
	s->is_known = true;
	s->has_news = true;
	json_object_foreach(json_object_get(v, "queues"), name, offset) {
		struct speed_queue *queue = json_is_number(offset) ? queue_of(s, name) : NULL;

		if (queue && !queue->jobs)
			queue->offset =
				CLAMP(json_number_value(offset), -SLOWNESS_MAX, SLOWNESS_MAX);
	}
out:
	json_decref(v);
}
