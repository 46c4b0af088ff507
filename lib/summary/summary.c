#include "summary.h"

#include <string.h>

#include "work/work.h"

#define US_PER_S 1000000LL

enum event_kind {
	EVENT_REJECTED,
	EVENT_ACCEPTED,
	EVENT_KNOWN,
	EVENT_PLACED,
	EVENT_START, /* a task was started or adopted */
	EVENT_STOP,  /* a task was stopped or released; its phase is the cause */
	EVENT_DONE,
	EVENT_ENDED,
};

/**
 * struct event - a log line of a job
 * @took_us: for EVENT_ACCEPTED and EVENT_REJECTED, age of the request, in us
 * @phase: for EVENT_STOP, what the job waits for from then on
 */
struct event {
	int64_t time_us;
	int32_t took_us;
	uint8_t kind;
	uint8_t phase;
};

/**
 * struct job - what the lines say of one job
 * @queue: interned, or NULL while unknown
 * @objective_ms: 0 while unknown
 * @state: final state, or WORK_STATE_COUNT
 */
struct job {
	char id[WORK_ID_LEN + 1];
	const char *queue;
	int64_t priority;
	int64_t objective_ms;
	enum work_state state;
	GArray *events;
};

/**
 * struct source_line - a line of an event from one process
 * @dropped: lines of the event that the process dropped between the line before and this one
 */
struct source_line {
	int64_t time_us;
	int64_t dropped;
};

/**
 * struct source - lines of one event from one process
 * @kind: what each line of the event is to its job
 * @lines: struct source_line
 */
struct source {
	enum event_kind kind;
	GArray *lines;
};

/* a time in which lines of @kind were dropped */
struct gap {
	int64_t from_us;
	int64_t to_us;
	enum event_kind kind;
};

/**
 * struct summary - what the lines say of all jobs
 * @jobs: id to struct job
 * @wastes: cause to struct summary_waste
 * @sources: VM, program and event, to struct source
 * @dropped: sum over the lines
 * @gaps: struct gap, computed from @sources
 */
struct summary {
	GHashTable *jobs;
	GHashTable *wastes;
	GHashTable *sources;
	uint64_t malformed;
	uint64_t dropped;
	GArray *gaps;
	GStringChunk *names;
	GPtrArray *rows;
	GPtrArray *waste_list;
};

const char *summary_phase_name(enum summary_phase phase)
{
	static const char *const names[] = {
#define X(id, name) name,
		SUMMARY_PHASES(X)
#undef X
	};

	return names[phase];
}

const char *summary_outcome_name(enum summary_outcome outcome)
{
	static const char *const names[] = {
#define X(id, name) name,
		SUMMARY_OUTCOMES(X)
#undef X
	};

	return names[outcome];
}

static void job_free(gpointer data)
{
	struct job *job = data;

	g_array_free(job->events, TRUE);
	g_free(job);
}

static void source_free(gpointer data)
{
	struct source *source = data;

	g_array_free(source->lines, TRUE);
	g_free(source);
}

static int summary_destructor(struct summary *s)
{
	g_hash_table_destroy(s->sources);
	g_array_free(s->gaps, TRUE);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->wastes);
	g_ptr_array_free(s->rows, TRUE);
	g_ptr_array_free(s->waste_list, TRUE);
	g_string_chunk_free(s->names);
	return 0;
}

struct summary *summary_new(TALLOC_CTX *ctx)
{
	struct summary *s = talloc_zero(ctx, struct summary);

	s->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	s->wastes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	s->sources = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, source_free);
	s->gaps = g_array_new(FALSE, FALSE, sizeof(struct gap));
	s->names = g_string_chunk_new(4096);
	s->rows = g_ptr_array_new_with_free_func(g_free);
	s->waste_list = g_ptr_array_new();
	talloc_set_destructor(s, summary_destructor);
	return s;
}

/* ---- lines ---- */

static struct job *find_or_add_job(struct summary *s, const char *id)
{
	struct job *job = g_hash_table_lookup(s->jobs, id);

	if (job)
		return job;
	job = g_new0(struct job, 1);
	g_strlcpy(job->id, id, sizeof(job->id));
	job->priority = -1;
	job->state = WORK_STATE_COUNT;
	job->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	g_hash_table_insert(s->jobs, job->id, job);
	return job;
}

/* what a job waits for after a task was stopped, by the reason in the line */
static enum summary_phase phase_of(const char *why)
{
	static const struct {
		const char *part;
		enum summary_phase phase;
	} reasons[] = {
		{"urgent", PHASE_PREEMPTED},
		{"leaving", PHASE_PREEMPTED},
		{"progress", PHASE_SLOW},
		{"failed", PHASE_FAILED},
		{"broken", PHASE_FAILED},
		{"lost a member", PHASE_FAILED},
		{"not confirmed", PHASE_UNREACHABLE},
		{"lease", PHASE_UNREACHABLE},
		{"server", PHASE_UNREACHABLE},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (strstr(why, reasons[i].part))
			return reasons[i].phase;
	return PHASE_COUNT;
}

static void add_event(struct job *job, const json_t *line, enum event_kind kind,
		      enum summary_phase phase)
{
	struct event e = {.time_us = base_json_int(line, "time_us", 0),
			  .took_us = (int32_t)(base_json_int(line, "took_ms", 0) * 1000),
			  .kind = (uint8_t)kind,
			  .phase = (uint8_t)phase};

	g_array_append_val(job->events, e);
}

static void add_waste(struct summary *s, const json_t *line)
{
	const char *cause = base_json_str(line, "why", "");
	int64_t core_ms = base_json_int(line, "ran_ms", 0) * base_json_int(line, "cores", 0);
	struct summary_waste *waste = g_hash_table_lookup(s->wastes, cause);

	if (base_json_bool(line, "checkpoints", false) || core_ms <= 0)
		return;
	if (!waste) {
		waste = g_new0(struct summary_waste, 1);
		waste->cause = g_string_chunk_insert_const(s->names, cause);
		g_hash_table_insert(s->wastes, (char *)waste->cause, waste);
	}
	waste->tasks++;
	waste->core_ms += core_ms;
}

static void add_request(struct job *job, const json_t *line)
{
	int64_t status = base_json_int(line, "status", 0);

	if (!strcmp(base_json_str(line, "kind", ""), "submit") &&
	    !base_json_bool(line, "for_peer", false))
		add_event(job, line, status == 200 ? EVENT_ACCEPTED : EVENT_REJECTED, PHASE_COUNT);
}

static void add_known(struct summary *s, struct job *job, const json_t *line)
{
	job->queue = g_string_chunk_insert_const(s->names, base_json_str(line, "queue", ""));
	job->priority = base_json_int(line, "priority", -1);
	job->objective_ms = base_json_int(line, "objective_ms", 0);
	add_event(job, line, EVENT_KNOWN, PHASE_COUNT);
}

static void add_release(struct summary *s, struct job *job, const json_t *line)
{
	enum summary_phase phase = phase_of(base_json_str(line, "why", ""));

	/* a task that was stopped is counted there; its release only repeats the time */
	if (strcmp(base_json_str(line, "state", ""), "stopping"))
		add_waste(s, line);
	if (phase != PHASE_COUNT)
		add_event(job, line, EVENT_STOP, phase);
}

static void add_line_of_job(struct summary *s, struct job *job, const json_t *line)
{
	const char *event = base_json_str(line, "event", "");

	if (!strcmp(event, "request_answered")) {
		add_request(job, line);
	} else if (!strcmp(event, "job_known")) {
		add_known(s, job, line);
	} else if (!strcmp(event, "placed")) {
		add_event(job, line, EVENT_PLACED, PHASE_COUNT);
	} else if (!strcmp(event, "task_start") || !strcmp(event, "task_adopted")) {
		add_event(job, line, EVENT_START, PHASE_COUNT);
	} else if (!strcmp(event, "task_stop")) {
		add_waste(s, line);
		add_event(job, line, EVENT_STOP, phase_of(base_json_str(line, "why", "")));
	} else if (!strcmp(event, "task_released")) {
		add_release(s, job, line);
	} else if (!strcmp(event, "task_start_failed")) {
		add_event(job, line, EVENT_STOP, PHASE_UNREACHABLE);
	} else if (!strcmp(event, "task_ended") &&
		   !strcmp(base_json_str(line, "why", ""), "done")) {
		add_event(job, line, EVENT_DONE, PHASE_COUNT);
	} else if (!strcmp(event, "job_ended") || !strcmp(event, "job_ended_elsewhere")) {
		job->state = work_state_parse(base_json_str(line, "state", ""));
		add_event(job, line, EVENT_ENDED, PHASE_COUNT);
	}
}

/* The rate limit counts the lines of each event for itself, in each process. */
static void note_source(struct summary *s, const json_t *line)
{
	static const struct {
		const char *event;
		enum event_kind kind;
	} kinds[] = {
		{"request_answered", EVENT_ACCEPTED},
		{"job_known", EVENT_KNOWN},
		{"placed", EVENT_PLACED},
		{"task_start", EVENT_START},
		{"task_adopted", EVENT_START},
		{"task_stop", EVENT_STOP},
		{"task_released", EVENT_STOP},
		{"task_start_failed", EVENT_STOP},
	};
	struct source_line l = {.time_us = base_json_int(line, "time_us", 0),
				.dropped = MAX(base_json_int(line, "dropped_before", 0), 0)};
	const char *event = base_json_str(line, "event", "");
	struct source *source;
	char *key;
	size_t i = 0;

	while (i < G_N_ELEMENTS(kinds) && strcmp(event, kinds[i].event))
		i++;
	if (i == G_N_ELEMENTS(kinds))
		return;
	key = g_strdup_printf("%s\n%s\n%s", base_json_str(line, "vm", ""),
			      base_json_str(line, "program", ""), event);
	source = g_hash_table_lookup(s->sources, key);
	if (!source) {
		source = g_new0(struct source, 1);
		source->kind = kinds[i].kind;
		source->lines = g_array_new(FALSE, FALSE, sizeof(struct source_line));
		g_hash_table_insert(s->sources, g_strdup(key), source);
	}
	g_free(key);
	g_array_append_val(source->lines, l);
	s->dropped += (uint64_t)l.dropped;
}

void summary_add_line(struct summary *s, const char *line)
{
	const char *start = strchr(line, '{');
	json_t *v = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	const char *id = base_json_str(v, "id", "");

	if (!json_is_object(v) || !json_is_integer(json_object_get(v, "time_us"))) {
		s->malformed++;
	} else {
		note_source(s, v);
		if (work_id_is_valid(str_from(id)))
			add_line_of_job(s, find_or_add_job(s, id), v);
	}
	json_decref(v);
}

uint64_t summary_dropped(const struct summary *s)
{
	return s->dropped;
}

uint64_t summary_malformed(const struct summary *s)
{
	return s->malformed;
}

/* ---- lines that are missing ---- */

static gint compare_source_line(gconstpointer a, gconstpointer b)
{
	const struct source_line *x = a;
	const struct source_line *y = b;

	return x->time_us < y->time_us ? -1 : x->time_us > y->time_us;
}

/*
 * A process drops lines only in the second in which it has written BASE_LOG_PER_SECOND of the
 * event, so within 1 s of the last one that it wrote.
 */
static void find_gaps(struct summary *s)
{
	GHashTableIter it;
	gpointer value;

	g_array_set_size(s->gaps, 0);
	g_hash_table_iter_init(&it, s->sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct source *source = value;
		int64_t previous_us = 0;

		g_array_sort(source->lines, compare_source_line);
		for (guint i = 0; i < source->lines->len; i++) {
			const struct source_line *l =
				&g_array_index(source->lines, struct source_line, i);
			struct gap gap = {.from_us = i ? previous_us : l->time_us - US_PER_S,
					  .kind = source->kind};

			gap.to_us = MIN(l->time_us, gap.from_us + US_PER_S);
			if (l->dropped)
				g_array_append_val(s->gaps, gap);
			previous_us = l->time_us;
		}
	}
}

/* the kind of line that ends a phase */
static enum event_kind end_of(enum summary_phase phase)
{
	switch (phase) {
	case PHASE_ACCEPT:
		return EVENT_ACCEPTED;
	case PHASE_LEADER:
		return EVENT_KNOWN;
	case PHASE_CAPACITY:
	case PHASE_SLOW:
	case PHASE_UNREACHABLE:
	case PHASE_PREEMPTED:
	case PHASE_FAILED:
		return EVENT_PLACED;
	case PHASE_STORE:
		return EVENT_START;
	case PHASE_RUN:
		return EVENT_STOP;
	case PHASE_SHOW:
	case PHASE_MISSING:
	case PHASE_COUNT:
		break;
	}
	return EVENT_ENDED;
}

/* A line of @kind after @phase shows that the line which ends the phase is not missing. */
static bool is_consistent(enum summary_phase phase, enum event_kind kind)
{
	switch (phase) {
	case PHASE_ACCEPT:
		return kind == EVENT_ACCEPTED || kind == EVENT_REJECTED;
	case PHASE_RUN:
		/* after a stop a task is placed and started again */
		return kind != EVENT_PLACED && kind != EVENT_START;
	default:
		return kind == end_of(phase);
	}
}

/* time in us from which lines are missing between two lines of a job */
static int64_t missing_from(const struct summary *s, enum summary_phase phase, int64_t from_us,
			    const struct event *next)
{
	int64_t missing_us = next->time_us;

	if (is_consistent(phase, (enum event_kind)next->kind))
		return missing_us;
	for (guint i = 0; i < s->gaps->len; i++) {
		const struct gap *gap = &g_array_index(s->gaps, struct gap, i);

		if (gap->kind == end_of(phase) && gap->to_us >= from_us)
			missing_us = MIN(missing_us, MAX(gap->from_us, from_us));
	}
	return missing_us;
}

/* ---- phases of a job ---- */

static gint compare_event(gconstpointer a, gconstpointer b)
{
	const struct event *x = a;
	const struct event *y = b;

	return x->time_us < y->time_us ? -1 : x->time_us > y->time_us;
}

static enum summary_phase next_phase(enum summary_phase phase, const struct event *e)
{
	bool is_known = phase != PHASE_ACCEPT && phase != PHASE_LEADER;

	switch ((enum event_kind)e->kind) {
	case EVENT_REJECTED:
		return phase;
	case EVENT_ACCEPTED:
		return phase == PHASE_ACCEPT ? PHASE_LEADER : phase;
	case EVENT_KNOWN:
		return is_known ? phase : PHASE_CAPACITY;
	case EVENT_PLACED:
		return PHASE_STORE;
	case EVENT_START:
		return PHASE_RUN;
	case EVENT_STOP:
		return e->phase == PHASE_COUNT ? phase : (enum summary_phase)e->phase;
	case EVENT_DONE:
	case EVENT_ENDED:
		return phase;
	}
	return phase;
}

/* the phase after lines were missing in @phase, of which @e tells at most that a task ran */
static enum summary_phase phase_after_missing(enum summary_phase phase, const struct event *e)
{
	enum summary_phase next = next_phase(phase, e);

	if (next != phase)
		return next;
	return e->kind == EVENT_DONE ? PHASE_RUN : PHASE_MISSING;
}

/**
 * struct span - the time of one job
 * @started_us: when its first submission arrived
 * @ended_us: when its final state was stored; 0 when no line says so
 * @is_accepted: a submission was accepted, or a leader knows the job
 */
struct span {
	int64_t started_us;
	int64_t ended_us;
	int64_t phase_us[PHASE_COUNT];
	bool is_accepted;
};

/* lines after the end, of requests or of another leader, take no time */
static struct span measure(const struct summary *s, const struct job *job)
{
	struct span span = {.is_accepted = false};
	enum summary_phase phase = PHASE_ACCEPT;
	const struct event *previous = NULL;

	g_array_sort(job->events, compare_event);
	for (guint i = 0; i < job->events->len && !span.ended_us; i++) {
		const struct event *e = &g_array_index(job->events, struct event, i);
		int64_t missing_us = e->time_us;

		if (!previous) {
			span.started_us = e->time_us - e->took_us;
			span.phase_us[phase] += e->took_us;
		} else {
			if (e->kind == EVENT_ENDED && job->state == WORK_COMPLETE &&
			    previous->kind == EVENT_DONE)
				phase = PHASE_SHOW;
			missing_us = missing_from(s, phase, previous->time_us, e);
			span.phase_us[phase] += missing_us - previous->time_us;
			span.phase_us[PHASE_MISSING] += e->time_us - missing_us;
		}
		span.is_accepted |= e->kind == EVENT_ACCEPTED || e->kind == EVENT_KNOWN;
		if (e->kind == EVENT_ENDED)
			span.ended_us = e->time_us;
		phase = missing_us < e->time_us || phase == PHASE_MISSING
				? phase_after_missing(phase, e)
				: next_phase(phase, e);
		previous = e;
	}
	return span;
}

static enum summary_outcome outcome_of(const struct job *job, const struct span *span)
{
	int64_t took_ms = (span->ended_us - span->started_us) / 1000;

	switch (job->state) {
	case WORK_FAILED:
		return SUMMARY_FAILED;
	case WORK_CANCELLED:
		return SUMMARY_CANCELLED;
	case WORK_COMPLETE:
		if (took_ms <= job->objective_ms)
			return SUMMARY_IN_TIME;
		return took_ms <= WORK_LATE_FACTOR * job->objective_ms ? SUMMARY_LATE
								       : SUMMARY_TOO_LATE;
	default:
		return span->is_accepted ? SUMMARY_OPEN : SUMMARY_REJECTED;
	}
}

/* ---- totals ---- */

static struct summary_row *find_or_add_row(struct summary *s, const struct job *job,
					   enum summary_outcome outcome)
{
	const char *queue = job->queue ? job->queue : "";
	struct summary_row *row;

	for (guint i = 0; i < s->rows->len; i++) {
		row = g_ptr_array_index(s->rows, i);
		if (row->outcome == outcome && !strcmp(row->queue, queue))
			return row;
	}
	row = g_new0(struct summary_row, 1);
	row->queue = queue;
	row->priority = job->priority;
	row->outcome = outcome;
	g_ptr_array_add(s->rows, row);
	return row;
}

static gint compare_row(gconstpointer a, gconstpointer b)
{
	const struct summary_row *x = *(struct summary_row *const *)a;
	const struct summary_row *y = *(struct summary_row *const *)b;
	int by_queue = strcmp(x->queue, y->queue);

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	return by_queue ? by_queue : (int)x->outcome - (int)y->outcome;
}

GPtrArray *summary_rows(struct summary *s)
{
	GHashTableIter it;
	gpointer value;

	find_gaps(s);
	g_ptr_array_set_size(s->rows, 0);
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct job *job = value;
		struct summary_row *row;
		struct span span;

		if (!job->events->len)
			continue;
		span = measure(s, job);
		row = find_or_add_row(s, job, outcome_of(job, &span));
		row->jobs++;
		for (int i = 0; i < PHASE_COUNT; i++)
			row->phase_us[i] += span.phase_us[i];
	}
	g_ptr_array_sort(s->rows, compare_row);
	return s->rows;
}

static gint compare_waste(gconstpointer a, gconstpointer b)
{
	const struct summary_waste *x = *(struct summary_waste *const *)a;
	const struct summary_waste *y = *(struct summary_waste *const *)b;

	return x->core_ms > y->core_ms ? -1 : x->core_ms < y->core_ms;
}

GPtrArray *summary_wastes(struct summary *s)
{
	GHashTableIter it;
	gpointer value;

	g_ptr_array_set_size(s->waste_list, 0);
	g_hash_table_iter_init(&it, s->wastes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(s->waste_list, value);
	g_ptr_array_sort(s->waste_list, compare_waste);
	return s->waste_list;
}
