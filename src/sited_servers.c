/*
 * Polling of backend servers, leases, and acknowledgement of ends.
 *
 * A poll renews the leases of all tasks that run on a server and waits for the
 * next end of one. Only servers that run something, whose ends are not yet
 * acknowledged, or that may be cut off, are polled. After a takeover each server is polled once:
 * from then on it rejects orders of earlier leaders, and the runs that it lists are all that run
 * there.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define POLL_MARGIN_MS 500 /* added to a poll's wait; the round trip takes 3 ms at most */
#define POLL_RETRY_MS 250  /* between polls of a server that does not answer */
/*
 * Load pattern: a takeover, after which each of thousands of servers is polled
 * once. A VM of half a core can't handle all their answers in time if it polls all
 * of them at the same time.
 */
#define PROBES_MAX 64	    /* polls in flight for each VM that sends them */
#define MISSES_MAX 2	    /* unanswered polls in a row after which a server gets no new work */
#define RENEW_EVERY_MS 1500 /* between polls without a wait, while ends can't be stored */
#define UNLISTED_POLL_EVERY_MS 100 /* between polls without a wait, until tasks are listed */
#define ACK_DELAY_MS 1500 /* delay of the acknowledgement to a server that runs nothing more */
#define LEASE_MARGIN_MS 60
/* a crash of the server by chance within this time is unlikely */
#define UP_BEFORE_START_MS 20
/* a busy server answers at least this often */
#define POLL_PERIOD_MAX_MS (ORDERS_POLL_WAIT_MAX_MS + POLL_MARGIN_MS)
#define LIST_AGE_MAX_MS 1000	 /* greatest age of an entry in the list of servers */
#define DOMAINS_MAX 32		 /* failure domains of a site; the design is for 11 */
#define SILENT_SUSPECT_MS 250	 /* extended every 100 ms while the domain is silent */
#define HANDOVER_SERVERS_MAX 256 /* named in a handover; a row holds 64 KiB */
#define LEAVE_SLACK_MS 500 /* a draining server stays at least until the time that it announced */

/* an end already applied in memory; it is acknowledged once @group is stored up to @changes */
struct end_note {
	int64_t number;
	struct work_group *group; /* NULL when the end changes no group */
	uint64_t changes;
};

/* a poll in flight; @serial identifies the leader's term when its answer comes late */
struct poll_call {
	struct sited *d;
	uint64_t serial;
	struct fleet_server *sv;
	int64_t sent_at;
	int64_t acknowledged;
	bool may_grant;
};

struct server_io *lead_server_io(struct lead *l, struct fleet_server *sv)
{
	struct server_io *io = sv->user;

	if (io)
		return io;
	io = talloc_zero(sv, struct server_io);
	io->lead = l;
	io->sv = sv;
	g_queue_init(&io->ends);
	sv->user = io;
	return io;
}

/* ---- clock and leases ---- */

static int64_t boottime_ms(void)
{
	return base_boottime_ns() / BASE_NS_PER_MS;
}

static int64_t server_clock(const struct server_io *io)
{
	return io->clock_ms + boottime_ms() - io->clock_boot_ms;
}

int64_t lead_server_lease(struct lead *l, struct fleet_server *sv)
{
	struct server_io *io = lead_server_io(l, sv);

	if (!io->clock_at)
		return 0;
	io->lease_until = MAX(io->lease_until, server_clock(io) + l->d->site->lease_max_ms);
	return io->lease_until;
}

int64_t lead_server_start_lease(struct lead *l, struct fleet_server *sv)
{
	const struct server_io *io = lead_server_io(l, sv);
	int64_t lease = lead_server_lease(l, sv);
	int64_t within = sited_start_within_ms(l->d, boottime_ms() - io->clock_boot_ms);

	/* an agent may have renewed beyond the longest lease from now on */
	return within < INT64_MAX ? MIN(lease, server_clock(io) + within) : lease;
}

/*
 * Latest lease end, in ms on the server's clock, that an agent may request while it
 * gets no polls from this leader; 0 when the server's clock is not known.
 */
static int64_t renewal_limit(const struct lead *l, const struct server_io *io)
{
	if (!io->clock_at)
		return 0;
	/*
	 * The agent may renew as long as this leader would. The clock of a server that was idle
	 * for long may be behind the extrapolated one.
	 */
	return io->clock_ms +
	       (boottime_ms() - io->clock_boot_ms) * 100 / LEAD_CLOCK_MARGIN_PERCENT +
	       lead_grants_end_ms(l) + l->d->site->lease_max_ms;
}

/*
 * When every lease of the incarnation has certainly ended, in ms on this VM's clock; only for
 * tasks that it has listed.
 */
static int64_t leases_over_at(const struct server_io *io)
{
	int64_t until = MAX(io->lease_until, io->lease_limit);

	return io->clock_at + (until - io->clock_ms) * LEAD_CLOCK_MARGIN_PERCENT / 100 +
	       LEASE_MARGIN_MS;
}

/*
 * A lease ends no later than lease_max_ms after it was granted, in whichever incarnation, while
 * the time that an order names is on the clock of one of them only.
 */
int64_t lead_server_grants_over_at(const struct lead *l, const struct server_io *io)
{
	int64_t over_at = MAX(io->grants_over_at, io->former_over_at);

	if (!io->grants_in_flight)
		return over_at;
	return MAX(over_at, io->grant_sent_at + POLL_PERIOD_MAX_MS + lead_leases_wait_ms(l));
}

void lead_server_grant_sent(struct lead *l, struct fleet_server *sv)
{
	struct server_io *io = lead_server_io(l, sv);

	io->grants_in_flight++;
	io->grant_sent_at = sited_now_ms();
}

void lead_server_grant_over(struct lead *l, struct fleet_server *sv, enum order_status status,
			    int64_t sent_at)
{
	struct server_io *io = lead_server_io(l, sv);
	int64_t now = sited_now_ms();
	int64_t over_at;

	io->grants_in_flight--;
	if (status == ORDER_NOT_SENT || status == ORDER_NOT_RELAYED || status == ORDER_EVACUATED)
		return;
	if (io->lease_limit > server_clock(io)) /* an agent may go on renewing by itself */
		over_at = now + lead_leases_wait_ms(l);
	else if (status == ORDER_UNKNOWN)
		over_at = sent_at + lead_leases_wait_ms(l);
	else
		over_at = now + l->d->site->lease_max_ms * LEAD_CLOCK_MARGIN_PERCENT / 100 +
			  LEASE_MARGIN_MS;
	io->grants_over_at = MAX(io->grants_over_at, over_at);
}

static void record_clock(struct lead *l, struct server_io *io, int64_t clock_ms)
{
	int64_t lease_max = l->d->site->lease_max_ms;

	if (!io->clock_at)
		io->lease_until = clock_ms + lease_max;
	/* an order may have named a time that the server's clock does not reach for long */
	io->lease_until = MIN(io->lease_until, clock_ms + LEAD_UNCONFIRMED_MAX_MS + lease_max);
	io->clock_ms = clock_ms;
	io->clock_at = sited_now_ms();
	io->clock_boot_ms = boottime_ms();
}

bool lead_server_may_list(struct lead *l, struct fleet_server *sv)
{
	return !lead_server_io(l, sv)->poll_in_flight;
}

bool lead_server_was_up(struct lead *l, struct fleet_server *sv)
{
	const struct server_io *io = lead_server_io(l, sv);

	return io->answered_at && sited_now_ms() - io->answered_at <= UP_BEFORE_START_MS;
}

void lead_server_must_list(struct lead *l, struct fleet_server *sv)
{
	lead_server_io(l, sv)->must_list = true;
	lead_server_poll(l, sv);
}

bool lead_server_handle_answer(struct lead *l, struct fleet_server *sv,
			       const struct order_result *r)
{
	struct server_io *io = lead_server_io(l, sv);
	const struct order_list *list = r->list;

	if (r->status == ORDER_FENCED && fleet_find(l->fleet, sv->id) != sv) {
		log_event("order_void", "{ss sI sI}", "server", sv->id, "born",
			  (json_int_t)sv->born, "fence", (json_int_t)lead_fence(l, sv));
		return true;
	}
	if (r->status == ORDER_FENCED) {
		sited_step_down(l->d, "a backend server has seen a higher fence");
		return false;
	}
	if (order_was_answered(r->status)) {
		io->heard_at = sited_now_ms();
		io->is_doubted = false;
	}
	if (r->status == ORDER_OTHER_SERVER) {
		lead_server_lost(l, sv, "another server answers at its address");
	} else if (list && list->born > sv->born) {
		if (sv->presence != FLEET_REPLACED)
			lead_server_replaced(l, sv, fleet_find_or_add(l->fleet, sv, list->born));
	} else if (list && list->clock_ms) {
		record_clock(l, io, list->clock_ms);
	}
	return true;
}

/* ---- acknowledging ends ---- */

static void advance_acknowledged(struct server_io *io)
{
	struct end_note *n;

	while ((n = g_queue_peek_head(&io->ends)) &&
	       (!n->group || work_group_is_stored(n->group, n->changes))) {
		io->acknowledged = n->number;
		g_free(g_queue_pop_head(&io->ends));
	}
}

void lead_servers_acknowledge(struct lead *l)
{
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);
		struct server_io *io = sv->user;

		if (!io || g_queue_is_empty(&io->ends))
			continue;
		advance_acknowledged(io);
		lead_server_poll(l, sv);
	}
}

static void apply_ends(struct lead *l, struct fleet_server *sv, const struct order_list *list)
{
	struct server_io *io = lead_server_io(l, sv);

	for (unsigned int i = 0; i < list->ended_count; i++) {
		const struct order_ended *e = &list->ended[i];
		struct end_note *n;

		if (e->number <= io->processed_end)
			continue;
		io->processed_end = e->number;
		n = g_new0(struct end_note, 1);
		n->number = e->number;
		n->group = lead_task_ended(l, sv, e);
		n->changes = n->group ? n->group->changes : 0;
		g_queue_push_tail(&io->ends, n);
	}
	advance_acknowledged(io);
}

/* ---- end of the tasks on servers that do not answer ---- */

/* when tasks on the server have certainly ended, as the former leader that handed over knew */
static int64_t handover_over_at(const struct lead *l, const struct fleet_server *sv)
{
	const json_t *entry = json_object_get(json_object_get(l->handover, "servers"), sv->id);
	const json_t *ms =
		entry ? json_array_get(entry, 1) : json_object_get(l->handover, "others_ms");

	if (!json_is_integer(ms) || json_integer_value(ms) < 0 ||
	    (entry && json_integer_value(json_array_get(entry, 0)) != sv->born))
		return INT64_MAX;
	return l->handover_read_at + json_integer_value(ms);
}

int64_t lead_unconfirmed_over_at(const struct lead *l, const struct work_task *t)
{
	int64_t over_at = MIN(t->state_deadline, l->grant.former_over_at);

	return MIN(over_at, handover_over_at(l, t->server));
}

/* when the task, of which a start was sent, has certainly ended if its server is not polled any
 * more */
static int64_t task_over_at(const struct lead *l, const struct server_io *io,
			    const struct work_task *t)
{
	if (t->state == TASK_UNCONFIRMED)
		return lead_unconfirmed_over_at(l, t);
	/*
	 * What an order to a former incarnation granted here was granted before the first list, so
	 * it ends at most the longest lease after the clock in that: not after lease_until.
	 */
	return t->last_poll ? leases_over_at(io) : lead_server_grants_over_at(l, io);
}

/* when all tasks on the server have certainly ended if it is not polled any more */
static int64_t tasks_over_at(struct lead *l, struct fleet_server *sv)
{
	const struct server_io *io = lead_server_io(l, sv);
	int64_t until = 0;

	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		/* no start was sent in the other states */
		if (work_task_is_placed(t) && t->state != TASK_ASSIGNED)
			until = MAX(until, task_over_at(l, io, t));
	}
	return until;
}

/* ---- polling ---- */

/* a start was sent to the server, and it has not listed the task since */
static bool has_unlisted_task(const struct fleet_server *sv)
{
	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (work_task_is_placed(t) && t->state != TASK_ASSIGNED && !t->last_poll)
			return true;
	}
	return false;
}

static bool has_listed_task(const struct fleet_server *sv)
{
	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (work_task_is_placed(t) && t->last_poll)
			return true;
	}
	return false;
}

/*
 * Tasks were started on an idle server: until it has listed them, the incarnation that runs them
 * is not known. The poll for that list renews no lease, so that a lost one does not prolong the
 * wait for the leases of an incarnation that answers no more.
 */
static bool is_first_list(const struct fleet_server *sv)
{
	return has_unlisted_task(sv) && !has_listed_task(sv);
}

static bool is_busy(const struct fleet_server *sv)
{
	if (sv->unclaimed.cpu || sv->unclaimed.memory_mb || sv->unclaimed.accelerators)
		return true;
	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (t->state != TASK_ASSIGNED && t->state != TASK_AWAITING_PREEMPTION)
			return true;
	}
	return false;
}

static void release_gone(struct lead *l, struct fleet_server *sv, struct work_task *t)
{
	unsigned int crash_points = t->crash_points_unless_listed;
	bool is_certain = work_task_has_run(t);

	lead_task_release(l, t, "the server does not list it");
	lead_task_crashed(l, t, sv, crash_points, is_certain);
}

/* releases the tasks that the server would list if they still ran there */
static void release_unlisted(struct lead *l, struct fleet_server *sv, const struct poll_call *call,
			     uint64_t number)
{
	GPtrArray *tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);

	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);
		bool gone = false;

		if (t->server != sv || t->last_poll == number)
			continue;
		if (t->was_sent_to_former) {
			release_gone(l, sv, t);
			continue;
		}
		switch (t->state) {
		case TASK_UNCONFIRMED:
			gone = true;
			break;
		case TASK_RUNNING:
			gone = t->started_at < call->sent_at;
			break;
		case TASK_ENDING:
			/* unless its start or stop was confirmed before the poll, the start may
			 * still be in flight */
			gone = (t->started_at && t->started_at < call->sent_at) ||
			       (t->stopped_at && t->stopped_at < call->sent_at);
			break;
		case TASK_STOPPING:
			gone = t->stopped_at && t->stopped_at < call->sent_at;
			break;
		default:
			break;
		}
		if (gone)
			release_gone(l, sv, t);
	}
	g_ptr_array_free(tasks, TRUE);
}

/*
 * Load pattern: a backend server, its VM or its link is silent for seconds, while
 * its tasks continue or wait. Their progress was not visible during that time,
 * which therefore does not count as stalled.
 */
static void exclude_silence(struct server_io *io, int64_t now)
{
	const GPtrArray *tasks = io->sv->tasks;
	int64_t silent = io->answered_at ? now - io->answered_at - POLL_PERIOD_MAX_MS : 0;

	io->answered_at = now;
	for (guint i = 0; silent > 0 && i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		/*
		 * The time without polls of an idle server counts as silence too.
		 * Tasks may have started since, so no time is moved past now.
		 */
		t->progress_at = MIN(t->progress_at + silent, now);
		t->first_percent_at = MIN(t->first_percent_at + silent, now);
	}
}

bool lead_server_is_unresponsive(struct lead *l, struct fleet_server *sv)
{
	const struct server_io *io = lead_server_io(l, sv);

	return io->missed_polls ||
	       (io->answered_at && sited_now_ms() - io->answered_at > POLL_PERIOD_MAX_MS);
}

/* Starts the tasks whose start waits for a list of the server, or releases them. */
static void settle_awaiting(struct lead *l, struct fleet_server *sv, bool may_start)
{
	GPtrArray *tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);
	struct starts *starts = starts_new(l);

	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->server != sv || t->state != TASK_ASSIGNED || !t->awaits_list)
			continue;
		if (may_start)
			lead_task_start(l, t, starts);
		else
			lead_task_release(l, t,
					  "its server did not list its runs before the start");
	}
	lead_log_starts(starts);
	talloc_free(starts);
	g_ptr_array_free(tasks, TRUE);
}

static void on_poll_answered(struct lead *l, const struct poll_call *call,
			     const struct order_list *list)
{
	struct fleet_server *sv = call->sv;
	struct server_io *io = lead_server_io(l, sv);
	uint64_t number = ++io->answered_polls;

	if (!sv->is_fenced || !sv->is_reachable)
		log_event("server_reached", "{ss sI sI si si sI}", "server", sv->id, "term",
			  (json_int_t)l->term, "fence", (json_int_t)lead_fence(l, sv), "running",
			  (int)list->run_count, "ended", (int)list->ended_count, "misses",
			  (json_int_t)io->missed_polls);
	sv->is_fenced = true;
	sv->is_reachable = true;
	io->missed_polls = 0;
	io->must_list = false;
	exclude_silence(io, sited_now_ms());
	io->dropped_end = MAX(io->dropped_end, call->acknowledged);
	apply_ends(l, sv, list);
	memset(&sv->unclaimed, 0, sizeof(sv->unclaimed));
	for (unsigned int i = 0; i < list->run_count; i++)
		lead_task_listed(l, sv, &list->runs[i], number);
	if (list->ended_count < 500)
		release_unlisted(l, sv, call, number);
	io->next_poll_at = lead_may_grant_leases(l) ? 0 : sited_now_ms() + POLL_RETRY_MS;
	settle_awaiting(l, sv, true);
	lead_request_round(l);
}

static void set_unreachable(struct lead *l, struct fleet_server *sv, enum order_status status)
{
	if (!sv->is_reachable)
		return;
	sv->is_reachable = false;
	log_event("server_unreachable", "{ss ss sI si sI}", "server", sv->id, "status",
		  order_status_name(status), "misses",
		  (json_int_t)lead_server_io(l, sv)->missed_polls, "tasks", (int)sv->tasks->len,
		  "tasks_over_in_ms", (json_int_t)MAX(tasks_over_at(l, sv) - sited_now_ms(), 0));
}

void lead_server_refused(struct lead *l, struct fleet_server *sv)
{
	set_unreachable(l, sv, ORDER_NOT_SENT);
	lead_server_must_list(l, sv);
}

static void on_poll_missed(struct lead *l, struct fleet_server *sv, enum order_status status)
{
	struct server_io *io = lead_server_io(l, sv);

	if (!io->missed_polls++) {
		io->missed_since = sited_now_ms();
		blame_note_silence(l->blame, sv, io->missed_since);
	}
	io->next_poll_at = sited_now_ms() + (io->missed_polls > 1 ? POLL_RETRY_MS : 0);
	if (io->missed_polls >= MISSES_MAX)
		set_unreachable(l, sv, status);
	settle_awaiting(l, sv, false);
}

static bool needs_probe(struct lead *l, struct fleet_server *sv)
{
	const struct server_io *io = lead_server_io(l, sv);

	return !sv->is_fenced || io->missed_polls || io->is_doubted || io->must_list;
}

static unsigned int probes_max(const struct lead *l)
{
	return PROBES_MAX * (1 + lead_agents_count(l));
}

/*
 * The leader itself sends the first poll of a doubted server, as no VM of its domain answers.
 * Such polls are counted apart, because hundreds of servers elsewhere may not answer.
 */
static unsigned int *probe_counter(struct lead *l, struct fleet_server *sv, unsigned int *max)
{
	const struct server_io *io = lead_server_io(l, sv);

	if (io->is_doubted && sv->is_fenced && !io->missed_polls && !io->must_list) {
		*max = PROBES_MAX;
		return &l->doubt_probes;
	}
	*max = probes_max(l);
	return &l->probes;
}

/* Returns whether a poll of @sv may be sent as a probe, which it then counts as. */
static bool begin_probe(struct lead *l, struct fleet_server *sv)
{
	unsigned int max;
	unsigned int *counter = probe_counter(l, sv, &max);

	if (*counter >= max)
		return false;
	lead_server_io(l, sv)->probe_counter = counter;
	(*counter)++;
	return true;
}

/* after a probe has ended: probes the next servers that wait for one, in turn */
static void probe_next(struct lead *l)
{
	const GPtrArray *all = l->fleet->all;

	for (guint i = 0; i < all->len && l->probes < probes_max(l); i++) {
		struct fleet_server *sv = g_ptr_array_index(all, l->next_probe_index++ % all->len);

		if (needs_probe(l, sv))
			lead_server_poll(l, sv);
	}
}

/* Returns whether the poll was a probe. */
static bool on_poll_over(struct server_io *io)
{
	unsigned int *counter = io->probe_counter;

	io->poll_in_flight = false;
	io->probe_counter = NULL;
	if (counter)
		(*counter)--;
	return counter != NULL;
}

static void on_polled(const struct order_result *r, void *data)
{
	struct poll_call *call = data;
	struct lead *l = lead_current(call->d, call->serial);
	struct fleet_server *sv = call->sv;
	bool was_probe;

	if (!l)
		goto out;
	was_probe = on_poll_over(lead_server_io(l, sv));
	if (call->may_grant)
		lead_server_grant_over(l, sv, r->status, call->sent_at);
	if (!lead_server_handle_answer(l, sv, r))
		goto out;
	if (sv->presence != FLEET_REPLACED) {
		if (r->list)
			on_poll_answered(l, call, r->list);
		else
			on_poll_missed(l, sv, r->status);
		lead_server_poll(l, sv);
	}
	if (was_probe)
		probe_next(l);
out:
	talloc_free(call);
}

static void on_poll_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct server_io *io = data;

	io->timer = NULL;
	lead_server_poll(io->lead, io->sv);
}

static void schedule_poll(struct server_io *io, int64_t when)
{
	TALLOC_FREE(io->timer);
	io->timer = mtimer_add(io, io->lead->d->ev,
			       base_now_ns() + (when - sited_now_ms()) * BASE_NS_PER_MS,
			       on_poll_timer, io);
}

static void send_poll(struct lead *l, struct fleet_server *sv, int64_t wait_ms)
{
	struct server_io *io = lead_server_io(l, sv);
	struct poll_call *call = talloc_zero(l->d, struct poll_call);
	bool renews = !io->missed_polls && lead_may_grant_leases(l) && !is_first_list(sv);
	struct order_poll order = {/* a new incarnation that has carried out the start numbers its
				    * ends from 1 and would forget some that nobody has seen */
				   .acknowledged = has_unlisted_task(sv) ? 0 : io->acknowledged,
				   /* a lost poll may be carried out late and must not
				    * extend the leases there */
				   .lease_until = renews ? lead_server_lease(l, sv) : 0,
				   .wait_ms = wait_ms};
	struct lead_order_target to = {.sv = sv,
				       .deadline = base_deadline_in(wait_ms + POLL_MARGIN_MS),
				       .earlier_sends = io->missed_polls,
				       .renewal_limit =
					       order.lease_until ? renewal_limit(l, io) : 0};

	call->d = l->d;
	call->serial = l->serial;
	call->sv = sv;
	call->sent_at = sited_now_ms();
	call->acknowledged = order.acknowledged;
	call->may_grant = order.lease_until != 0;
	if (call->may_grant)
		lead_server_grant_sent(l, sv);
	io->poll_in_flight = true;
	io->last_poll_at = call->sent_at;
	io->poll_gap_ms = call->sent_at - io->answered_at;
	sited_count(&l->d->metrics, COUNT_POLLS);
	TALLOC_FREE(io->timer);
	lead_send_poll(l, &to, &order, on_polled, call);
}

/* polls without a wait, only to renew or acknowledge, at @when at the earliest */
static void poll_not_before(struct lead *l, struct fleet_server *sv, int64_t when)
{
	if (when <= sited_now_ms())
		send_poll(l, sv, 0);
	else
		schedule_poll(lead_server_io(l, sv), when);
}

void lead_server_poll(struct lead *l, struct fleet_server *sv)
{
	struct server_io *io = lead_server_io(l, sv);
	int64_t now = sited_now_ms();
	bool busy = is_busy(sv);

	if (io->poll_in_flight || sv->presence == FLEET_REPLACED || !l->is_loaded ||
	    !sv->address[0])
		return;
	if (io->next_poll_at > now) {
		schedule_poll(io, io->next_poll_at);
		return;
	}
	if (needs_probe(l, sv)) {
		if (!begin_probe(l, sv))
			return; /* probe_next() polls it later */
		send_poll(l, sv, 0);
	} else if (busy && !lead_may_grant_leases(l)) {
		/* a poll that renews no lease still reports which tasks ended */
		send_poll(l, sv, 0);
	} else if (busy && io->acknowledged < io->processed_end) {
		/* the server would answer at once with the same ends: wait until they are stored */
		poll_not_before(l, sv, io->last_poll_at + RENEW_EVERY_MS);
	} else if (busy && (is_first_list(sv) ||
			    (io->dropped_end < io->acknowledged && has_unlisted_task(sv)))) {
		/* with ends that are not acknowledged, the server answers at once */
		poll_not_before(l, sv, io->last_poll_at + UNLISTED_POLL_EVERY_MS);
	} else if (busy) {
		send_poll(l, sv, ORDERS_POLL_WAIT_MAX_MS);
	} else if (io->dropped_end < io->acknowledged) {
		poll_not_before(l, sv, io->last_poll_at + ACK_DELAY_MS);
	}
}

/* ---- hand-over ---- */

json_t *lead_servers_encode_leases(struct lead *l)
{
	int64_t now = sited_now_ms();
	int64_t others_ms = 0;
	json_t *servers;

	if (!l->is_loaded)
		return NULL;
	servers = json_object();
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);
		int64_t until = tasks_over_at(l, sv);
		int64_t ms = MAX(until - now, 0);

		if (!until)
			continue;
		if (lead_server_io(l, sv)->missed_polls &&
		    json_object_size(servers) < HANDOVER_SERVERS_MAX)
			json_object_set_new(
				servers, sv->id,
				json_pack("[II]", (json_int_t)sv->born, (json_int_t)ms));
		else
			others_ms = MAX(others_ms, ms);
	}
	return json_pack("{sIso}", "others_ms", (json_int_t)others_ms, "servers", servers);
}

/* ---- periodic checks ---- */

static void release_expired(struct lead *l, struct fleet_server *sv, int64_t now)
{
	struct server_io *io = lead_server_io(l, sv);
	GPtrArray *tasks;

	if (!sv->tasks->len || (sv->is_reachable && sv->presence != FLEET_UNLISTED))
		return;
	tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);
	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);
		bool over = (t->state == TASK_UNCONFIRMED || io->missed_polls) &&
			    task_over_at(l, io, t) <= now;

		if (t->server == sv && work_task_is_placed(t) && over)
			lead_task_release(l, t, "its lease has expired");
	}
	g_ptr_array_free(tasks, TRUE);
}

/* stops tasks that won't end before their server leaves; they start again elsewhere */
static void stop_before_leaving(struct lead *l, struct fleet_server *sv, int64_t now)
{
	int64_t remaining = sv->drain_deadline - now;
	GPtrArray *tasks;

	if (sv->presence != FLEET_DRAINING || !sv->tasks->len)
		return;
	tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);
	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->server != sv || t->state != TASK_RUNNING ||
		    plan_remaining_ms(t, now) <= remaining + LEAVE_SLACK_MS)
			continue;
		/* a task with checkpoints continues until just before the server leaves */
		if (!t->group->step->checkpoints ||
		    remaining <= l->d->site->stop_timeout_ms + LIST_AGE_MAX_MS)
			lead_task_stop(l, t, "its server is leaving");
	}
	g_ptr_array_free(tasks, TRUE);
}

/* caches within one tick since when failure domains are silent; a site has few domains */
struct domain_silence {
	const char *domain[DOMAINS_MAX];
	int64_t since[DOMAINS_MAX];
	unsigned int count;
};

static int64_t domain_silent_since(struct domain_silence *known, const struct sited *d,
				   const char *domain)
{
	unsigned int i = 0;

	while (i < known->count && strcmp(known->domain[i], domain))
		i++;
	if (i == DOMAINS_MAX)
		return 0;
	if (i == known->count) {
		known->domain[i] = domain;
		known->since[i] = sited_domain_silent_since(d, domain);
		known->count++;
	}
	return known->since[i];
}

/*
 * Load pattern: a failure domain is cut off while work arrives. A poll waits for
 * 2 s, so the silence of the domain's VMs shows sooner that its servers are
 * unreachable, and new work goes elsewhere.
 *
 * Load pattern: the VMs of a domain are lost, and its servers work. A server that has
 * answered since the silence began is reachable. Idle servers are polled to find out.
 */
static void suspect_silent(struct lead *l, struct fleet_server *sv, struct domain_silence *known,
			   int64_t now)
{
	struct server_io *io = lead_server_io(l, sv);
	int64_t since = domain_silent_since(known, l->d, sv->failure_domain);

	io->is_doubted = since && io->heard_at <= since;
	if (io->is_doubted)
		sv->suspect_until = MAX(sv->suspect_until, now + SILENT_SUSPECT_MS);
}

static bool may_free(struct fleet_server *sv)
{
	struct server_io *io = sv->user;

	if (!io)
		return true;
	if (io->poll_in_flight || io->orders_in_flight)
		return false;
	if (sv->presence != FLEET_REPLACED && !io->missed_polls)
		return false; /* the server still answers and may be listed again */
	g_queue_clear_full(&io->ends, g_free);
	return true;
}

void lead_servers_tick(struct lead *l)
{
	int64_t now = sited_now_ms();
	struct domain_silence silence = {.count = 0};

	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		release_expired(l, sv, now);
		stop_before_leaving(l, sv, now);
		suspect_silent(l, sv, &silence, now);
		if (sv->presence != FLEET_REPLACED &&
		    (!lead_server_io(l, sv)->timer || lead_server_io(l, sv)->is_doubted))
			lead_server_poll(l, sv);
	}
	fleet_prune(l->fleet, may_free);
}
