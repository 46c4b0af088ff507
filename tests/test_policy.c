/**
 * DOC: test_policy - decisions of the policy, also under seeded random interleavings
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "policy/policy.h"
#include "runner.h"

#define JOBS_MAX 200
#define STEPS 4000

/* adds servers of 8 accelerators, usable or unavailable; sets the state of known ones */
static void add_servers(struct policy *p, int racks, int servers_per_rack, bool usable)
{
	for (int r = 0; r < racks; r++) {
		for (int i = 0; i < servers_per_rack; i++) {
			char id[32];
			char rack[32];

			g_snprintf(id, sizeof(id), "r%d-s%d", r, i);
			g_snprintf(rack, sizeof(rack), "r%d", r);
			policy_server_set(p, id, rack, 8,
					  usable ? POLICY_SERVER_USABLE
						 : POLICY_SERVER_UNAVAILABLE);
		}
	}
}

static struct policy *new_policy(int racks, int servers_per_rack)
{
	struct policy_options opt = {.weight_percent = 50, .reserve_after_ms = 1000};
	struct policy *p = policy_new(NULL, &opt);

	add_servers(p, racks, servers_per_rack, true);
	return p;
}

static struct policy_spec spec(const char *id, const char *ws, enum service_class cls,
			       int64_t tasks, int64_t accelerators, bool checkpointable)
{
	struct policy_spec s = {.id = id,
				.workspace = ws,
				.kind = ws,
				.cls = cls,
				.tasks = tasks,
				.accelerators = accelerators,
				.checkpointable = checkpointable,
				.run_ms = 1000};

	return s;
}

static struct policy_job *add(struct policy *p, struct policy_spec s, int64_t now)
{
	return policy_job_add(p, &s, now, NULL);
}

static void check_policy(struct policy *p)
{
	char *fault = policy_check_invariants(p, p);

	ck_assert_msg(!fault, "%s", fault);
}

static void guarantee(struct policy *p, const char *name, int64_t accelerators, bool in_server,
		      int64_t count)
{
	struct policy_cell cell = {accelerators, in_server, count};
	struct policy_workspace ws = {.name = name, .cells = &cell, .cell_count = 1};

	policy_workspaces_set(p, &ws, 1);
}

/* takes all decisions and counts starts and stops; a stopped job is requeued at once */
static void apply_decisions(struct policy *p, int64_t now, int *starts, int *stops)
{
	struct policy_decision d;

	while (policy_next_decision(p, now, &d)) {
		if (d.type == POLICY_STOP) {
			(*stops)++;
			policy_job_requeue(p, d.job, now);
		} else {
			(*starts)++;
		}
	}
}

START_TEST(gang_goes_into_one_rack)
{
	struct policy *p = new_policy(4, 4);
	struct policy_job *job = add(p, spec("a", "w", CLASS_NORMAL, 4, 8, true), 0);
	const struct policy_place *places;
	unsigned int n;
	int starts = 0;
	int stops = 0;

	apply_decisions(p, 0, &starts, &stops);
	places = policy_job_places(job, &n);
	ck_assert_int_eq(starts, 1);
	ck_assert_uint_eq(n, 4);
	for (unsigned int i = 1; i < n; i++)
		ck_assert_int_eq(strncmp(places[0].server, places[i].server, 2), 0);
	talloc_free(p);
}
END_TEST

START_TEST(small_tasks_use_partly_used_servers_first)
{
	struct policy *p = new_policy(1, 2);
	struct policy_job *job;
	const struct policy_place *places;
	unsigned int n;
	int starts = 0;
	int stops = 0;
	const char *partly_used;

	job = add(p, spec("a", "w", CLASS_NORMAL, 1, 6, true), 0);
	apply_decisions(p, 0, &starts, &stops);
	partly_used = policy_job_places(job, &n)[0].server;
	job = add(p, spec("b", "w", CLASS_NORMAL, 1, 2, true), 0);
	apply_decisions(p, 0, &starts, &stops);
	places = policy_job_places(job, &n);
	ck_assert_str_eq(places[0].server, partly_used);
	talloc_free(p);
}
END_TEST

START_TEST(non_preemptible_work_stays_out_of_other_guarantees)
{
	struct policy *p = new_policy(1, 2);
	struct policy_job *job;
	int starts = 0;
	int stops = 0;

	guarantee(p, "owner", 8, true, 1);
	job = add(p, spec("a", "other", CLASS_URGENT, 2, 8, false), 0);
	apply_decisions(p, 0, &starts, &stops);
	ck_assert_int_eq(starts, 0);
	ck_assert_int_eq(policy_job_state(job), POLICY_QUEUED);
	policy_job_remove(p, job, 0);
	add(p, spec("b", "other", CLASS_NORMAL, 2, 8, true), 0);
	apply_decisions(p, 0, &starts, &stops);
	ck_assert_int_eq(starts, 1);
	check_policy(p);
	talloc_free(p);
}
END_TEST

START_TEST(guarantee_is_reclaimed_from_borrowers)
{
	struct policy *p = new_policy(2, 4);
	struct policy_decision d;
	struct policy_job *owner;
	int starts = 0;
	int stops = 0;

	guarantee(p, "owner", 32, false, 1);
	for (int i = 0; i < 16; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "b%d", i);
		add(p, spec(id, "other", CLASS_NORMAL, 1, 4, true), 0);
	}
	apply_decisions(p, 0, &starts, &stops);
	ck_assert_int_eq(starts, 16);
	owner = add(p, spec("own", "owner", CLASS_BATCH, 4, 8, false), 1);
	while (policy_next_decision(p, 1, &d)) {
		if (d.type == POLICY_STOP) {
			stops++;
			ck_assert(d.job != owner);
			policy_job_requeue(p, d.job, 1);
		} else {
			ck_assert_ptr_eq(d.job, owner);
		}
	}
	ck_assert_int_eq(stops, 8);
	ck_assert_int_eq(policy_job_state(owner), POLICY_PLACED);
	check_policy(p);
	talloc_free(p);
}
END_TEST

START_TEST(urgent_work_stops_less_urgent_work)
{
	struct policy *p = new_policy(1, 2);
	struct policy_job *urgent;
	int starts = 0;
	int stops = 0;

	add(p, spec("a", "w", CLASS_BATCH, 2, 8, true), 0);
	apply_decisions(p, 0, &starts, &stops);
	urgent = add(p, spec("u", "v", CLASS_URGENT, 1, 4, true), 1);
	apply_decisions(p, 1, &starts, &stops);
	ck_assert_int_eq(stops, 1);
	ck_assert_int_eq(policy_job_state(urgent), POLICY_PLACED);
	check_policy(p);
	talloc_free(p);
}
END_TEST

START_TEST(infeasible_job_is_recognized)
{
	struct policy *p = new_policy(2, 4);
	struct policy_spec s = spec("a", "w", CLASS_NORMAL, 9, 8, true);

	ck_assert(!policy_is_feasible(p, &s));
	s.tasks = 8;
	ck_assert(policy_is_feasible(p, &s));
	s.one_rack = true;
	ck_assert(!policy_is_feasible(p, &s));
	guarantee(p, "owner", 8, true, 3);
	s.one_rack = false;
	s.checkpointable = false;
	ck_assert(!policy_is_feasible(p, &s));
	talloc_free(p);
}
END_TEST

/*
 * Guards against starvation of a large gang while small jobs keep arriving: a
 * rack has to be reserved for it.
 */
START_TEST(large_gang_is_not_starved_by_small_jobs)
{
	struct policy *p = new_policy(2, 4);
	struct policy_job *small[64] = {NULL};
	int64_t ends[64] = {0};
	struct policy_job *large = NULL;
	GRand *rng = g_rand_new_with_seed(7);
	struct policy_decision d;
	int64_t now;
	int next_id = 0;

	for (now = 0; now < 60000; now += 50) {
		for (int i = 0; i < 64; i++) {
			char id[16];

			if (small[i] && ends[i] && ends[i] <= now) {
				policy_job_remove(p, small[i], now);
				small[i] = NULL;
				ends[i] = 0;
			}
			if (small[i])
				continue;
			g_snprintf(id, sizeof(id), "s%d", next_id++);
			small[i] = add(p, spec(id, "w", CLASS_NORMAL, 1, 2, true), now);
		}
		if (now == 1000)
			large = add(p, spec("large", "w", CLASS_NORMAL, 4, 8, true), now);
		while (policy_next_decision(p, now, &d)) {
			for (int i = 0; i < 64; i++)
				if (small[i] == d.job)
					ends[i] = now + g_rand_int_range(rng, 500, 1500);
		}
		if (large && policy_job_state(large) == POLICY_PLACED)
			break;
	}
	/* reserved after 1 s of waiting, idle within the longest run of 1.5 s; 2 s of tolerance */
	ck_assert_int_le(now, 1000 + 1000 + 1500 + 2000);
	g_rand_free(rng);
	talloc_free(p);
}
END_TEST

/* ---- random interleavings ---- */

struct simulation {
	struct policy *p;
	GRand *rng;
	struct policy_job *job[JOBS_MAX];
	bool is_running[JOBS_MAX];
	bool is_stopping[JOBS_MAX];
	int64_t now;
	int next_id;
};

static void random_workspaces(struct simulation *sim)
{
	struct policy_cell cells[3] = {
		{8, true, g_rand_int_range(sim->rng, 0, 3)},
		{16, false, g_rand_int_range(sim->rng, 0, 2)},
		{2, true, g_rand_int_range(sim->rng, 0, 4)},
	};
	struct policy_workspace list[3] = {
		{.name = "w0", .precedence = 1, .cells = &cells[0], .cell_count = 1},
		{.name = "w1", .precedence = 2, .cells = &cells[1], .cell_count = 1},
		{.name = "w2", .precedence = 3, .quota = 64, .cells = &cells[2], .cell_count = 1},
	};

	policy_workspaces_set(sim->p, list, 3);
}

static void random_add(struct simulation *sim, int i)
{
	static const char *const names[] = {"w0", "w1", "w2", "w3"};
	char id[16];

	g_snprintf(id, sizeof(id), "j%d", sim->next_id++);
	sim->job[i] = policy_job_add(
		sim->p,
		&(struct policy_spec){.id = id,
				      .workspace = names[g_rand_int_range(sim->rng, 0, 4)],
				      .kind = "k",
				      .cls = (enum service_class)g_rand_int_range(sim->rng, 0, 3),
				      .tasks = g_rand_int_range(sim->rng, 1, 9),
				      .accelerators = g_rand_int_range(sim->rng, 1, 9),
				      .one_rack = g_rand_int_range(sim->rng, 0, 4) == 0,
				      .checkpointable = g_rand_boolean(sim->rng),
				      .run_ms = g_rand_int_range(sim->rng, 1, 5000)},
		sim->now, GINT_TO_POINTER(i));
}

static void random_step(struct simulation *sim)
{
	int i = g_rand_int_range(sim->rng, 0, JOBS_MAX);
	char id[16];
	char rack[16];
	int r = g_rand_int_range(sim->rng, 0, 4);

	sim->now += g_rand_int_range(sim->rng, 0, 200);
	if (!sim->job[i]) {
		random_add(sim, i);
	} else if (sim->is_stopping[i]) {
		sim->is_stopping[i] = sim->is_running[i] = false;
		policy_job_requeue(sim->p, sim->job[i], sim->now);
	} else if (g_rand_int_range(sim->rng, 0, 3) == 0) {
		policy_job_remove(sim->p, sim->job[i], sim->now);
		sim->job[i] = NULL;
		sim->is_running[i] = false;
	}
	switch (g_rand_int_range(sim->rng, 0, 40)) {
	case 0:
		random_workspaces(sim);
		break;
	case 1:
	case 2:
		g_snprintf(rack, sizeof(rack), "r%d", r);
		g_snprintf(id, sizeof(id), "r%d-s%d", r, g_rand_int_range(sim->rng, 0, 4));
		policy_server_set(sim->p, id, rack, 8,
				  (enum policy_server_state)g_rand_int_range(sim->rng, 0, 3));
		break;
	default:
		break;
	}
}

static void check_decisions(struct simulation *sim)
{
	struct policy_decision d;

	while (policy_next_decision(sim->p, sim->now, &d)) {
		int i = GPOINTER_TO_INT(d.user);

		ck_assert_ptr_eq(sim->job[i], d.job);
		if (d.type == POLICY_START) {
			unsigned int n;
			const struct policy_place *places = policy_job_places(d.job, &n);
			int64_t tasks = 0;

			ck_assert(!sim->is_running[i]);
			for (unsigned int k = 0; k < n; k++)
				tasks += places[k].tasks;
			ck_assert_int_gt(tasks, 0);
			sim->is_running[i] = true;
		} else {
			ck_assert(sim->is_running[i]);
			sim->is_stopping[i] = true;
		}
	}
}

/* unused accelerators of bound cells never exceed those of the usable servers */
static void check_reclaimable(struct simulation *sim)
{
	struct policy_usage u;
	int64_t sum = policy_reclaimable_accelerators(sim->p, "w0") +
		      policy_reclaimable_accelerators(sim->p, "w1") +
		      policy_reclaimable_accelerators(sim->p, "w2");

	policy_usage(sim->p, &u);
	ck_assert_int_le(sum, u.total);
	check_policy(sim->p);
}

START_TEST(random_interleavings_keep_the_invariants)
{
	struct simulation sim = {.p = new_policy(4, 4),
				 .rng = g_rand_new_with_seed((guint32)_i + 1)};

	random_workspaces(&sim);
	for (int step = 0; step < STEPS; step++) {
		random_step(&sim);
		check_reclaimable(&sim);
		check_decisions(&sim);
		check_reclaimable(&sim);
	}
	g_rand_free(sim.rng);
	talloc_free(sim.p);
}
END_TEST

/*
 * A job that fits the unused cells of its workspace can always start by
 * preempting borrowed work, whatever ran before.
 */
START_TEST(unused_cells_can_always_be_reclaimed)
{
	struct simulation sim = {.p = new_policy(4, 4),
				 .rng = g_rand_new_with_seed((guint32)_i + 100)};
	struct policy_cell cell = {16, false, 1};
	struct policy_workspace ws = {.name = "owner", .cells = &cell, .cell_count = 1};
	struct policy_job *owner;

	policy_workspaces_set(sim.p, &ws, 1);
	for (int step = 0; step < 600; step++) {
		int i = g_rand_int_range(sim.rng, 0, JOBS_MAX);

		sim.now += g_rand_int_range(sim.rng, 0, 200);
		if (!sim.job[i]) {
			random_add(&sim, i);
		} else if (sim.is_stopping[i]) {
			sim.is_stopping[i] = sim.is_running[i] = false;
			policy_job_requeue(sim.p, sim.job[i], sim.now);
		}
		check_decisions(&sim);
	}
	owner = add(sim.p, spec("own", "owner", CLASS_BATCH, 2, 8, false), sim.now);
	sim.job[0] = sim.job[0] ? sim.job[0] : owner;
	for (int round = 0; round < 3 && policy_job_state(owner) != POLICY_PLACED; round++) {
		struct policy_decision d;

		while (policy_next_decision(sim.p, sim.now, &d))
			if (d.type == POLICY_STOP) {
				ck_assert(d.job != owner);
				policy_job_requeue(sim.p, d.job, sim.now);
			}
		for (int i = 0; i < JOBS_MAX; i++)
			if (sim.job[i] && sim.is_stopping[i]) {
				sim.is_stopping[i] = false;
				policy_job_requeue(sim.p, sim.job[i], sim.now);
			}
	}
	ck_assert_int_eq(policy_job_state(owner), POLICY_PLACED);
	g_rand_free(sim.rng);
	talloc_free(sim.p);
}
END_TEST

START_TEST(cells_of_a_lost_server_are_bound_elsewhere)
{
	struct policy *p = new_policy(2, 2);
	int starts = 0;
	int stops = 0;

	guarantee(p, "owner", 16, false, 1);
	ck_assert_int_eq(policy_reclaimable_accelerators(p, "owner"), 16);
	policy_server_set(p, "r0-s0", "r0", 8, POLICY_SERVER_UNAVAILABLE);
	policy_server_set(p, "r1-s0", "r1", 8, POLICY_SERVER_UNAVAILABLE);
	apply_decisions(p, 0, &starts, &stops);
	ck_assert_int_eq(policy_unbound_accelerators(p, "owner"), 16);
	policy_server_set(p, "r1-s0", "r1", 8, POLICY_SERVER_USABLE);
	apply_decisions(p, 1, &starts, &stops);
	ck_assert_int_eq(policy_unbound_accelerators(p, "owner"), 0);
	check_policy(p);
	talloc_free(p);
}
END_TEST

/*
 * Guards against a share limit computed while servers were unavailable, which
 * then never recovered. Found by fault run seed 201.
 */
START_TEST(share_limit_counts_unavailable_servers)
{
	struct policy *p = new_policy(2, 4);
	struct policy_spec s = spec("a", "w", CLASS_NORMAL, 4, 8, true);
	struct policy_job *job;
	int starts = 0;
	int stops = 0;

	s.share_percent = 50;
	add_servers(p, 2, 4, false);
	ck_assert(policy_is_feasible(p, &s));
	job = add(p, s, 0);
	apply_decisions(p, 0, &starts, &stops);
	ck_assert_int_eq(starts, 0);
	add_servers(p, 2, 4, true);
	apply_decisions(p, 1, &starts, &stops);
	ck_assert_int_eq(policy_job_state(job), POLICY_PLACED);
	s.id = "b";
	s.tasks = 1;
	job = add(p, s, 2);
	apply_decisions(p, 2, &starts, &stops);
	ck_assert_int_eq(policy_job_wait(job), POLICY_WAIT_QUOTA);
	talloc_free(p);
}
END_TEST

/*
 * Non-preemptible work that is adopted after a takeover may overlap with cells
 * that were bound before the work was known. Found by fault run seed 20202.
 */
START_TEST(adopted_work_unbinds_overlapping_cells)
{
	struct policy *p = new_policy(1, 2);
	struct policy_job *adopted = add(p, spec("adopted", "other", CLASS_NORMAL, 1, 6, false), 0);
	struct policy_job *owner;
	struct policy_place place = {"r0-s0", 1};
	int starts = 0;
	int stops = 0;

	guarantee(p, "owner", 8, true, 1);
	policy_job_adopt(p, adopted, &place, 1, 0);
	apply_decisions(p, 0, &starts, &stops);
	check_policy(p);
	ck_assert_int_eq(policy_unbound_accelerators(p, "owner"), 0);
	owner = add(p, spec("own", "owner", CLASS_NORMAL, 1, 8, false), 1);
	apply_decisions(p, 1, &starts, &stops);
	ck_assert_int_eq(policy_job_state(owner), POLICY_PLACED);
	talloc_free(p);
}
END_TEST

/*
 * A job adopted late overcommits a server until the other job there is
 * rejected; cells must not be bound twice meanwhile. Found by fault run seed
 * 30400.
 */
START_TEST(cells_are_not_bound_twice_on_an_overcommitted_server)
{
	struct policy *p = new_policy(1, 2);
	struct policy_cell cell = {8, true, 1};
	struct policy_workspace list[2] = {{.name = "a", .cells = &cell, .cell_count = 1},
					   {.name = "b", .cells = &cell, .cell_count = 1}};
	struct policy_job *first = add(p, spec("first", "a", CLASS_NORMAL, 1, 8, false), 0);
	struct policy_job *second = add(p, spec("second", "b", CLASS_NORMAL, 1, 8, false), 0);
	struct policy_place place = {"r0-s1", 1};
	int starts = 0;
	int stops = 0;

	policy_server_set(p, "r0-s0", "r0", 8, POLICY_SERVER_UNAVAILABLE);
	policy_job_adopt(p, first, &place, 1, 0);
	policy_job_adopt(p, second, &place, 1, 0);
	policy_workspaces_set(p, list, 2);
	apply_decisions(p, 0, &starts, &stops);
	policy_server_set(p, "r0-s0", "r0", 8, POLICY_SERVER_USABLE);
	policy_job_remove(p, first, 1);
	policy_job_remove(p, second, 1);
	apply_decisions(p, 1, &starts, &stops);
	check_policy(p);
	ck_assert_int_eq(policy_unbound_accelerators(p, "a") + policy_unbound_accelerators(p, "b"),
			 0);
	talloc_free(p);
}
END_TEST

START_TEST(estimates_are_corrected_by_kind)
{
	struct policy *p = new_policy(1, 1);

	for (int i = 0; i < 50; i++)
		policy_record_run_time(p, "underestimated", 1000, 4000);
	ck_assert_int_gt(policy_estimate_ms(p, "underestimated", 1000), 3500);
	ck_assert_int_eq(policy_estimate_ms(p, "new", 1000), 1000);
	talloc_free(p);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, gang_goes_into_one_rack);
	tcase_add_test(t, small_tasks_use_partly_used_servers_first);
	tcase_add_test(t, non_preemptible_work_stays_out_of_other_guarantees);
	tcase_add_test(t, guarantee_is_reclaimed_from_borrowers);
	tcase_add_test(t, urgent_work_stops_less_urgent_work);
	tcase_add_test(t, infeasible_job_is_recognized);
	tcase_add_test(t, large_gang_is_not_starved_by_small_jobs);
	tcase_add_loop_test(t, random_interleavings_keep_the_invariants, 0, 8);
	tcase_add_loop_test(t, unused_cells_can_always_be_reclaimed, 0, 20);
	tcase_add_test(t, cells_of_a_lost_server_are_bound_elsewhere);
	tcase_add_test(t, share_limit_counts_unavailable_servers);
	tcase_add_test(t, adopted_work_unbinds_overlapping_cells);
	tcase_add_test(t, cells_are_not_bound_twice_on_an_overcommitted_server);
	tcase_add_test(t, estimates_are_corrected_by_kind);
}

int main(void)
{
	return run_suite("policy", add_tests);
}
