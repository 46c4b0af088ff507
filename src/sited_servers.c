/*
 * Backend servers: looks, leases, acknowledging ends.
 *
 * A look renews the leases of all that runs on a server and waits for the next
 * end. Only servers that run something, or whose ends are not acknowledged, are
 * looked at. After a takeover each server is looked at once: from then on it
 * rejects orders of earlier leaders, and what it lists is all that runs there.
 */
#include "sited_lead.h"

#include <string.h>

#include "mtimer/mtimer.h"

#define LOOK_ANSWER_MS 500 /* on top of the wait; the way there and back takes 3 ms at most */
#define LOOK_RETRY_MS 250  /* to a server that does not answer */
/*
 * Load pattern: a takeover, after which each of thousands of servers is looked at
 * once. All at once they would not be answered in time by a VM of half a core.
 */
#define PROBES_MAX 64	    /* for each VM that sends them */
#define MISSES_MAX 2	    /* looks in a row without an answer, before it gets no new work */
#define RENEW_EVERY_MS 1500 /* a look without a wait, while ends can't be stored */
#define ACK_LATER_MS 1500   /* ends of a server that runs nothing more are acknowledged so late */
#define LEASE_MARGIN_MS 60
#define SEEN_EVERY_MS (ORDERS_LOOK_WAIT_MAX_MS + LOOK_ANSWER_MS) /* a busy server, at least */
#define LIST_AGE_MAX_MS 1000  /* of an entry in the list of servers */
#define DOMAINS_MAX 32	      /* failure domains of a site; 11 are designed for */
#define SILENT_MS 700	      /* a server that answered within it is not out of reach */
#define SILENT_SUSPECT_MS 250 /* renewed every 100 ms while the silence lasts */
#define LEAVE_SLACK_MS 500    /* a server that leaves stays at least as long as it says */

/* an end that was taken into account; to be acknowledged once the group is stored */
struct end_note {
	int64_t number;
	struct work_group *group; /* NULL when nothing follows from it */
	uint64_t changes;
};

/* an order or look, recognised when its answer comes late */
struct look {
	struct sited *d;
	uint64_t serial;
	struct fleet_server *sv;
	int64_t sent_at;
	int64_t acknowledged;
};

struct server_io *lead_io(struct lead *l, struct fleet_server *sv)
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

static int64_t server_clock(const struct server_io *io)
{
	return io->clock_ms + sited_now_ms() - io->clock_at;
}

int64_t lead_server_lease(struct lead *l, struct fleet_server *sv)
{
	struct server_io *io = lead_io(l, sv);

	if (!io->clock_at)
		return 0;
	io->lease_until = MAX(io->lease_until, server_clock(io) + l->d->site->lease_max_ms);
	return io->lease_until;
}

/* how far an agent may have leases reach while this leader is silent to it, or 0 */
static int64_t renewal_limit(const struct lead *l, const struct server_io *io)
{
	if (!io->clock_at)
		return 0;
	/* as long as this leader would renew without the store's word */
	return server_clock(io) + l->confirmed_at + LEAD_UNCONFIRMED_MAX_MS - sited_now_ms() +
	       l->d->site->lease_max_ms;
}

/* when every lease there is over for certain, on our clock */
static int64_t lapsed_at(const struct server_io *io)
{
	int64_t until = MAX(io->lease_until, io->lease_limit);

	return io->clock_at + (until - io->clock_ms) * LEAD_CLOCK_SLOW_PERCENT / 100 +
	       LEASE_MARGIN_MS;
}

void lead_server_lost(struct lead *l, struct fleet_server *sv, const char *why)
{
	sv->presence = FLEET_REPLACED;
	log_event("server_lost", "{ss sI ss si}", "server", sv->id, "born", (json_int_t)sv->born,
		  "why", why, "tasks", (int)sv->tasks->len);
	while (sv->tasks->len)
		lead_task_released(l, g_ptr_array_index(sv->tasks, 0), why);
	lead_kick(l);
}

/*
 * The id does not tell incarnations apart: a start that was under way may have
 * been taken by the new one. Its attempt is stopped there, which bars it.
 */
void lead_server_replaced(struct lead *l, struct fleet_server *old, struct fleet_server *sv)
{
	GPtrArray *tasks = g_ptr_array_copy(old->tasks, NULL, NULL);

	old->presence = FLEET_REPLACED;
	log_event("server_lost", "{ss sI ss si}", "server", old->id, "born", (json_int_t)old->born,
		  "why", "it was started again", "tasks", (int)tasks->len);
	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->server != old)
			continue;
		if (t->state == TASK_STARTING || t->state == TASK_STOPPING) {
			work_task_move(t, sv);
			t->state = TASK_STARTING;
			lead_task_stop(l, t, "its server was started again");
		} else {
			lead_task_released(l, t, "its server was started again");
		}
	}
	g_ptr_array_free(tasks, TRUE);
	lead_kick(l);
}

bool lead_server_answered(struct lead *l, struct fleet_server *sv, const struct order_result *r)
{
	struct server_io *io = lead_io(l, sv);

	if (r->status == ORDER_FENCED) {
		sited_step_down(l->d, "a backend server has seen a newer term");
		return false;
	}
	if (r->status == ORDER_OTHER_SERVER) {
		lead_server_lost(l, sv, "another server answers at its address");
	} else if (r->born && r->born > sv->born) {
		lead_server_replaced(l, sv, fleet_reborn(l->fleet, sv, r->born));
	} else if (r->clock_ms) {
		io->clock_ms = r->clock_ms;
		io->clock_at = sited_now_ms();
	}
	return true;
}

/* ---- acknowledging ends ---- */

static void advance(struct server_io *io)
{
	struct end_note *n;

	while ((n = g_queue_peek_head(&io->ends)) &&
	       (!n->group || n->group->row.stored >= n->changes)) {
		io->acknowledged = n->number;
		g_free(g_queue_pop_head(&io->ends));
	}
}

void lead_servers_stored(struct lead *l)
{
	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);
		struct server_io *io = sv->user;

		if (!io || g_queue_is_empty(&io->ends))
			continue;
		advance(io);
		lead_server_look(l, sv);
	}
}

static void take_ends(struct lead *l, struct fleet_server *sv, const struct order_result *r)
{
	struct server_io *io = lead_io(l, sv);

	for (unsigned int i = 0; i < r->ended_count; i++) {
		const struct order_ended *e = &r->ended[i];
		struct end_note *n;

		if (e->number <= io->seen)
			continue;
		io->seen = e->number;
		n = g_new0(struct end_note, 1);
		n->number = e->number;
		n->group = lead_task_ended(l, sv, e);
		n->changes = n->group ? n->group->row.changes : 0;
		g_queue_push_tail(&io->ends, n);
	}
	advance(io);
}

/* this leader may be replaced without knowing it, so it must not renew for ever */
static bool may_renew(struct lead *l)
{
	return lead_may_act(l) && sited_now_ms() - l->confirmed_at < LEAD_UNCONFIRMED_MAX_MS;
}

/* ---- looks ---- */

static bool is_running_something(const struct fleet_server *sv)
{
	if (sv->unclaimed.cpu || sv->unclaimed.memory_mb || sv->unclaimed.accelerators)
		return true;
	for (guint i = 0; i < sv->tasks->len; i++) {
		const struct work_task *t = g_ptr_array_index(sv->tasks, i);

		if (t->state != TASK_ASSIGNED && t->state != TASK_PROMISED)
			return true;
	}
	return false;
}

/* what the server should list and doesn't is not there */
static void take_missing(struct lead *l, struct fleet_server *sv, const struct look *look,
			 uint64_t number)
{
	GPtrArray *tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);

	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);
		bool gone = false;

		if (t->server != sv || t->listed_by == number)
			continue;
		switch (t->state) {
		case TASK_UNSETTLED:
			gone = true;
			break;
		case TASK_RUNNING:
			gone = t->started_at < look->sent_at;
			break;
		case TASK_ENDING:
			/* its start may still be on its way unless either was confirmed */
			gone = (t->started_at && t->started_at < look->sent_at) ||
			       (t->stopped_at && t->stopped_at < look->sent_at);
			break;
		case TASK_STOPPING:
			gone = t->stopped_at && t->stopped_at < look->sent_at;
			break;
		default:
			break;
		}
		if (gone)
			lead_task_released(l, t, "the server does not list it");
	}
	g_ptr_array_free(tasks, TRUE);
}

/*
 * Load pattern: a backend server, its VM or its link is silent for seconds, and
 * what runs there runs on or waits. Nothing was seen of it meanwhile, so that
 * time is no standstill.
 */
static void allow_for_silence(struct server_io *io, int64_t now)
{
	const GPtrArray *tasks = io->sv->tasks;
	int64_t silent = io->answered_at ? now - io->answered_at - SEEN_EVERY_MS : 0;

	io->answered_at = now;
	for (guint i = 0; silent > 0 && i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		/* an idle server is not looked at either: what has begun since is not shifted */
		t->progress_at = MIN(t->progress_at + silent, now);
		t->first_at = MIN(t->first_at + silent, now);
	}
}

bool lead_server_is_silent(struct lead *l, struct fleet_server *sv)
{
	const struct server_io *io = lead_io(l, sv);

	return io->misses || (io->answered_at && sited_now_ms() - io->answered_at > SEEN_EVERY_MS);
}

static void look_answered(struct lead *l, const struct look *look, const struct order_result *r)
{
	struct fleet_server *sv = look->sv;
	struct server_io *io = lead_io(l, sv);
	uint64_t number = ++io->looks;

	if (!sv->is_fenced || !sv->is_reachable)
		log_event("server_reached", "{ss sI si si sI}", "server", sv->id, "term",
			  (json_int_t)l->term, "running", (int)r->run_count, "ended",
			  (int)r->ended_count, "misses", (json_int_t)io->misses);
	sv->is_fenced = true;
	sv->is_reachable = true;
	io->misses = 0;
	allow_for_silence(io, sited_now_ms());
	io->told = MAX(io->told, look->acknowledged);
	take_ends(l, sv, r);
	memset(&sv->unclaimed, 0, sizeof(sv->unclaimed));
	for (unsigned int i = 0; i < r->run_count; i++)
		lead_task_listed(l, sv, &r->runs[i], number);
	if (r->ended_count < 500)
		take_missing(l, sv, look, number);
	io->next_look = may_renew(l) ? 0 : sited_now_ms() + LOOK_RETRY_MS;
	lead_kick(l);
}

static void look_missed(struct lead *l, struct fleet_server *sv, enum order_status status)
{
	struct server_io *io = lead_io(l, sv);

	io->misses++;
	io->next_look = sited_now_ms() + (io->misses > 1 ? LOOK_RETRY_MS : 0);
	if (io->misses >= MISSES_MAX && sv->is_reachable) {
		sv->is_reachable = false;
		log_event("server_unreachable", "{ss ss si si}", "server", sv->id, "status",
			  order_status_name(status), "misses", (int)io->misses, "tasks",
			  (int)sv->tasks->len);
	}
}

static bool needs_probe(struct lead *l, struct fleet_server *sv)
{
	return !sv->is_fenced || lead_io(l, sv)->misses;
}

static unsigned int probes_max(const struct lead *l)
{
	return PROBES_MAX * (1 + lead_agents_count(l));
}

/* one look was answered: the next server that waits for its first, all in turn */
static void probe_next(struct lead *l)
{
	const GPtrArray *all = l->fleet->all;

	for (guint i = 0; i < all->len && l->probes < probes_max(l); i++) {
		struct fleet_server *sv = g_ptr_array_index(all, l->next_probe++ % all->len);

		if (needs_probe(l, sv))
			lead_server_look(l, sv);
	}
}

static void look_is_over(struct lead *l, struct server_io *io)
{
	io->look_in_flight = false;
	if (!io->is_probe)
		return;
	io->is_probe = false;
	l->probes--;
}

static void on_looked(const struct order_result *r, void *data)
{
	struct look *look = data;
	struct lead *l = lead_current(look->d, look->serial);
	struct fleet_server *sv = look->sv;
	bool was_probe;

	if (!l)
		goto out;
	was_probe = lead_io(l, sv)->is_probe;
	look_is_over(l, lead_io(l, sv));
	if (!lead_server_answered(l, sv, r))
		goto out;
	if (sv->presence != FLEET_REPLACED) {
		if (r->status == ORDER_DONE)
			look_answered(l, look, r);
		else
			look_missed(l, sv, r->status);
		lead_server_look(l, sv);
	}
	if (was_probe)
		probe_next(l);
out:
	talloc_free(look);
}

static void on_look_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	struct server_io *io = data;

	io->timer = NULL;
	lead_server_look(io->lead, io->sv);
}

static void look_at(struct server_io *io, int64_t when)
{
	TALLOC_FREE(io->timer);
	io->timer = mtimer_add(io, io->lead->d->ev,
			       base_now_ns() + (when - sited_now_ms()) * BASE_NS_PER_MS,
			       on_look_timer, io);
}

static void send_look(struct lead *l, struct fleet_server *sv, int64_t wait_ms)
{
	struct server_io *io = lead_io(l, sv);
	struct look *look = talloc_zero(l->d, struct look);
	struct order_look order = {
		.acknowledged = io->acknowledged,
		/* a lost look may be carried out late: it must not
		 * put off the end of the leases there */
		.lease_until = io->misses || !may_renew(l) ? 0 : lead_server_lease(l, sv),
		.wait_ms = wait_ms};
	struct lead_order to = {.sv = sv,
				.deadline = base_deadline_in(wait_ms + LOOK_ANSWER_MS),
				.tries = io->misses,
				.renewal_limit = order.lease_until ? renewal_limit(l, io) : 0};

	look->d = l->d;
	look->serial = l->serial;
	look->sv = sv;
	look->sent_at = sited_now_ms();
	look->acknowledged = io->acknowledged;
	io->look_in_flight = true;
	io->last_look = look->sent_at;
	sited_count(&l->d->metrics, COUNT_LOOKS);
	TALLOC_FREE(io->timer);
	lead_send_look(l, &to, &order, on_looked, look);
}

/* a look that only renews or acknowledges */
static void look_no_sooner(struct lead *l, struct fleet_server *sv, int64_t when)
{
	if (when <= sited_now_ms())
		send_look(l, sv, 0);
	else
		look_at(lead_io(l, sv), when);
}

void lead_server_look(struct lead *l, struct fleet_server *sv)
{
	struct server_io *io = lead_io(l, sv);
	int64_t now = sited_now_ms();
	bool busy = is_running_something(sv);

	if (io->look_in_flight || sv->presence == FLEET_REPLACED || !l->is_loaded ||
	    !sv->address[0])
		return;
	if (io->next_look > now) {
		look_at(io, io->next_look);
		return;
	}
	if (needs_probe(l, sv)) {
		if (l->probes >= probes_max(l))
			return; /* its turn comes */
		io->is_probe = true;
		l->probes++;
		send_look(l, sv, 0);
	} else if (busy && !may_renew(l)) {
		/* without the right to renew it still learns what ended */
		send_look(l, sv, 0);
	} else if (busy && io->acknowledged < io->seen) {
		/* the server would answer at once with the same ends: wait until they are stored */
		look_no_sooner(l, sv, io->last_look + RENEW_EVERY_MS);
	} else if (busy) {
		send_look(l, sv, ORDERS_LOOK_WAIT_MAX_MS);
	} else if (io->told < io->acknowledged) {
		look_no_sooner(l, sv, io->last_look + ACK_LATER_MS);
	}
}

/* ---- what time alone brings ---- */

static void lapse(struct lead *l, struct fleet_server *sv, int64_t now)
{
	struct server_io *io = lead_io(l, sv);
	GPtrArray *tasks;

	if (!sv->tasks->len || (sv->is_reachable && sv->presence != FLEET_UNLISTED))
		return;
	tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);
	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);
		bool over = t->state == TASK_UNSETTLED ? t->settle_at <= now
						       : io->misses && lapsed_at(io) <= now;

		if (t->server == sv && work_task_is_placed(t) && over)
			lead_task_released(l, t, "its lease is over");
	}
	g_ptr_array_free(tasks, TRUE);
}

/* tasks that won't end before their server leaves go on elsewhere */
static void evacuate(struct lead *l, struct fleet_server *sv, int64_t now)
{
	int64_t left = sv->leaves_at - now;
	GPtrArray *tasks;

	if (sv->presence != FLEET_DRAINING || !sv->tasks->len)
		return;
	tasks = g_ptr_array_copy(sv->tasks, NULL, NULL);
	for (guint i = 0; i < tasks->len; i++) {
		struct work_task *t = g_ptr_array_index(tasks, i);

		if (t->server != sv || t->state != TASK_RUNNING ||
		    plan_rest_ms(t, now) <= left + LEAVE_SLACK_MS)
			continue;
		/* what can be saved runs on until the last moment */
		if (!t->group->step->checkpoints || left <= l->d->site->stop_ms + LIST_AGE_MAX_MS)
			lead_task_stop(l, t, "its server leaves");
	}
	g_ptr_array_free(tasks, TRUE);
}

/* what is known in one tick of the silence of failure domains; there are few of them */
struct silence {
	const char *domain[DOMAINS_MAX];
	bool is_silent[DOMAINS_MAX];
	unsigned int count;
};

static bool is_silent(struct silence *known, const struct sited *d, const char *domain)
{
	unsigned int i = 0;

	while (i < known->count && strcmp(known->domain[i], domain))
		i++;
	if (i == DOMAINS_MAX)
		return false;
	if (i == known->count) {
		known->domain[i] = domain;
		known->is_silent[i] = sited_domain_is_silent(d, domain);
		known->count++;
	}
	return known->is_silent[i];
}

/*
 * Load pattern: a failure domain is cut off while work arrives. A look waits for
 * 2 s, so the silence of the domain's VMs tells sooner that its servers are out
 * of reach, and new work goes elsewhere.
 */
static void avoid_silent(struct lead *l, struct fleet_server *sv, struct silence *known,
			 int64_t now)
{
	const struct server_io *io = lead_io(l, sv);

	if (now - io->clock_at > SILENT_MS && is_silent(known, l->d, sv->failure_domain))
		sv->suspect_until = MAX(sv->suspect_until, now + SILENT_SUSPECT_MS);
}

static bool may_free(struct fleet_server *sv)
{
	struct server_io *io = sv->user;

	if (!io)
		return true;
	if (io->look_in_flight || io->orders_in_flight)
		return false;
	if (sv->presence != FLEET_REPLACED && !io->misses)
		return false; /* it has left the list and answers: it may come back */
	g_queue_clear_full(&io->ends, g_free);
	return true;
}

void lead_servers_tick(struct lead *l)
{
	int64_t now = sited_now_ms();
	struct silence silence = {.count = 0};

	for (guint i = 0; i < l->fleet->all->len; i++) {
		struct fleet_server *sv = g_ptr_array_index(l->fleet->all, i);

		lapse(l, sv, now);
		evacuate(l, sv, now);
		avoid_silent(l, sv, &silence, now);
		if (sv->presence != FLEET_REPLACED && !lead_io(l, sv)->timer)
			lead_server_look(l, sv);
	}
	fleet_prune(l->fleet, may_free);
}
