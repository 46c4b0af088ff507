/**
 * DOC: test_speed - speeds of servers and real run times, learned under the load they matter for
 */
#include <check.h>
#include <string.h>

#include "replay.h"
#include "runner.h"

#define SEEDS 20
#define SERVERS 100

/* ---- a whole pool ---- */

static void check_nothing_is_known(const struct replay *r)
{
	ck_assert(!speed_is_known(r->speed));
	for (guint i = 0; i < r->fleet->all->len; i++) {
		ck_assert_double_eq(sample_server(r->fleet, i)->speed, 1);
		ck_assert_int_eq(sample_server(r->fleet, i)->speed_class, FLEET_SPEED_UNKNOWN);
	}
}

/*
 * Guards against decisions that follow chance: spread, tails and wrong declared run times make
 * some servers of one speed look slow.
 */
START_TEST(servers_of_one_speed_stay_unknown)
{
	struct replay *r = replay_new((unsigned int)_i, SERVERS, 0, 1, 1);

	r->declared_error = _i % 2 ? 0.9 : 0.5;
	for (int ms = 0; ms < 60000; ms += REPLAY_STEP_MS) {
		replay_step(r);
		check_nothing_is_known(r);
	}
	replay_free(r);
}
END_TEST

/* Guards against slowness for seconds that is taken for the speed of the server. */
START_TEST(servers_that_are_slow_for_seconds_stay_unknown)
{
	struct replay *r = replay_new((unsigned int)_i, SERVERS, 0, 1, 1);

	for (int ms = 0; ms < 60000; ms += REPLAY_STEP_MS) {
		if (ms % 4000 == 0)
			for (unsigned int i = 0; i < SERVERS; i++)
				r->of_server[i] = replay_random(r) < 0.04 ? 0.4 : 1;
		replay_step(r);
		check_nothing_is_known(r);
	}
	replay_free(r);
}
END_TEST

struct found {
	unsigned int slow;
	unsigned int slow_known;
	unsigned int fast;
	unsigned int fast_known;
	unsigned int wrong;
};

static struct found count_found(const struct replay *r, unsigned int samples)
{
	struct found found = {0};

	for (guint i = 0; i < r->fleet->all->len; i++) {
		const struct fleet_server *sv = sample_server(r->fleet, i);
		bool is_slow = r->of_server[i] < 1;

		if (sv->speed_samples < samples)
			continue;
		found.slow += is_slow;
		found.fast += !is_slow;
		found.slow_known += is_slow && sv->speed_class == FLEET_SPEED_SLOW;
		found.fast_known += !is_slow && sv->speed_class == FLEET_SPEED_TYPICAL;
		found.wrong +=
			sv->speed_class == (is_slow ? FLEET_SPEED_TYPICAL : FLEET_SPEED_SLOW);
		if (sv->speed_class == FLEET_SPEED_SLOW)
			ck_assert(sv->speed >= 0.36 && sv->speed <= 0.57);
	}
	return found;
}

/* Guards against an estimate that comes too late: a play may last 40 s. */
START_TEST(slow_servers_are_found_within_half_a_minute)
{
	struct replay *r = replay_new((unsigned int)_i, SERVERS, 0.25, 0.55, 1.2);
	struct found found;

	r->declared_error = _i % 2 ? 0.9 : 0.5;
	for (int ms = 0; ms < 30000; ms += REPLAY_STEP_MS)
		replay_step(r);
	ck_assert(speed_is_known(r->speed));
	found = count_found(r, 4);
	ck_assert_uint_ge(found.slow_known * 10, found.slow * 5);
	ck_assert_uint_ge(found.fast_known * 10, found.fast * 7);
	ck_assert_uint_le(found.wrong * 20, found.slow + found.fast);
	replay_free(r);
}
END_TEST

/* Guards against relative speeds that follow the few: most servers are the typical ones. */
START_TEST(where_most_are_slow_the_others_are_fast)
{
	struct replay *r = replay_new(1, SERVERS, 0.65, 0.55, 1.2);
	unsigned int fast = 0;

	for (int ms = 0; ms < 60000; ms += REPLAY_STEP_MS)
		replay_step(r);
	for (guint i = 0; i < SERVERS; i++) {
		const struct fleet_server *sv = sample_server(r->fleet, i);

		ck_assert_int_ne(sv->speed_class, FLEET_SPEED_SLOW);
		fast += sv->speed_class == FLEET_SPEED_FAST && sv->speed > 1.6;
	}
	ck_assert_uint_ge(fast, 8);
	replay_free(r);
}
END_TEST

/* ---- a large pool ---- */

#define LARGE_SERVERS 350
#define LARGE_SEEDS 6
#define LARGE_KNOWN_MS 10000
#define LARGE_MARKED_MS 15000
#define LARGE_END_MS 40000

static struct replay *large_new(unsigned int seed, double slow_share, double slow, double fast)
{
	struct replay *r = replay_new(seed, LARGE_SERVERS, slow_share, slow, fast);

	r->kinds = replay_large_kinds;
	r->backlog = 0;
	r->busy = 0.9;
	for (unsigned int i = 0; i < REPLAY_KINDS; i++)
		r->shares[i] = 1.0 / REPLAY_KINDS;
	return r;
}

/*
 * Guards against an estimate that takes the slowest servers of a frequent slower class for the
 * whole class, and against one that is given up after it was made. Both classes count alike, so
 * the share of slow servers is 0.75 in one run and 0.25 in the other.
 */
START_TEST(either_rare_class_is_found_within_seconds)
{
	double slow_share = _i ? 0.25 : 0.75;
	enum fleet_speed_class slow_class = _i ? FLEET_SPEED_SLOW : FLEET_SPEED_TYPICAL;
	unsigned int sampled = 0;
	unsigned int marked = 0;
	unsigned int marked_sampled = 0;
	unsigned int rare = 0;
	unsigned int wrong = 0;

	for (unsigned int seed = 0; seed < LARGE_SEEDS; seed++) {
		struct replay *r = large_new(seed, slow_share, 0.55, 1.2);

		for (int ms = 0; ms < LARGE_END_MS; ms += REPLAY_STEP_MS) {
			replay_step(r);
			if (ms >= LARGE_KNOWN_MS)
				ck_assert(speed_is_known(r->speed));
			for (guint i = 0; ms == LARGE_MARKED_MS && i < LARGE_SERVERS; i++) {
				const struct fleet_server *sv = sample_server(r->fleet, i);
				enum fleet_speed_class c = sv->speed_class;

				sampled += sv->speed_samples >= 4;
				if (c == FLEET_SPEED_UNKNOWN)
					continue;
				marked++;
				marked_sampled += sv->speed_samples >= 4;
				rare += c != FLEET_SPEED_TYPICAL;
				wrong += (c == slow_class) != (r->of_server[i] < 1);
			}
		}
		replay_free(r);
	}
	/* about half of the servers have fewer than 4 samples 15 s after the first start */
	ck_assert_uint_gt(marked * 100, LARGE_SEEDS * LARGE_SERVERS * 45);
	ck_assert_uint_gt(marked_sampled * 100, sampled * 80);
	ck_assert_uint_gt(rare * 20, LARGE_SEEDS * LARGE_SERVERS);
	ck_assert_uint_lt(wrong * 50, marked);
}
END_TEST

/* Guards against chance in more samples, and against slowness for seconds on more servers. */
START_TEST(a_large_pool_of_one_speed_stays_unknown)
{
	struct replay *r = large_new((unsigned int)_i, 0, 1, 1);

	r->declared_error = _i % 2 ? 0.9 : 0.5;
	for (int ms = 0; ms < 60000; ms += REPLAY_STEP_MS) {
		for (unsigned int i = 0; _i >= 4 && ms % 4000 == 0 && i < LARGE_SERVERS; i++)
			r->of_server[i] = replay_random(r) < 0.04 ? 0.4 : 1;
		replay_step(r);
		check_nothing_is_known(r);
	}
	replay_free(r);
}
END_TEST

/* ---- single samples ---- */

#define KNOWN_SERVERS 24 /* every fourth is slow */
#define SLOW_FACTOR 2.2

/* a fleet of which KNOWN_SERVERS servers have run tasks, and further ones have not */
struct known {
	struct fleet *fleet;
	struct speed *speed;
	GRand *rng;
	int64_t now;
	unsigned int jobs;
	unsigned int told;
	double ratio;
	double slow_factor;
};

static void on_sample(const struct speed_sample *sample, void *data)
{
	struct known *k = data;

	ck_assert_str_eq(sample->queue, "q");
	k->told++;
	k->ratio = sample->ratio;
}

static void start_on(struct known *k, struct work_group *g, struct fleet_server *const *sv)
{
	if (g->step->is_gang)
		work_task_assign_gang(g, sv);
	for (unsigned int i = 0; i < g->count; i++) {
		struct work_task *t = &g->task[i];

		if (!g->step->is_gang)
			work_task_assign(t, sv[i]);
		t->state = TASK_RUNNING;
		t->started_at = t->start_sent_at = t->progress_at = k->now;
	}
}

/* runs a gang on the given servers, @factor times as long as declared */
static void run_gang(struct known *k, unsigned int count, struct fleet_server *const *sv,
		     double factor)
{
	struct work_group *g = sample_gang(k->fleet, ++k->jobs, 1, count, 1);

	start_on(k, g, sv);
	speed_note_end(k->speed, &g->task[0], k->now + (int64_t)(factor * SAMPLE_ESTIMATE_MS), 0);
	for (unsigned int i = 0; i < count; i++)
		work_task_finish(&g->task[i]);
}

/* runs a job with one task on each of the known servers */
static void run_round(struct known *k)
{
	struct work_group *g = sample_start(sample_job(k->fleet, ++k->jobs, 2, KNOWN_SERVERS, 1));
	struct fleet_server *sv[KNOWN_SERVERS];

	for (unsigned int i = 0; i < KNOWN_SERVERS; i++)
		sv[i] = sample_server(k->fleet, i);
	start_on(k, g, sv);
	for (unsigned int i = 0; i < KNOWN_SERVERS; i++) {
		double factor =
			g_rand_double_range(k->rng, 0.8, 1.2) * (i % 4 == 0 ? k->slow_factor : 1);

		speed_note_end(k->speed, &g->task[i],
			       k->now + (int64_t)(factor * SAMPLE_ESTIMATE_MS), 0);
		work_task_finish(&g->task[i]);
	}
	k->now += 6000;
	speed_update(k->speed, k->now);
}

static struct known known_new(void)
{
	struct known k = {.fleet = sample_fleet(NULL, KNOWN_SERVERS + 6, 10),
			  .rng = g_rand_new_with_seed(1),
			  .now = 100000,
			  .slow_factor = SLOW_FACTOR};

	return k;
}

static void learn(struct known *k)
{
	struct speed_watch watch = {.on_sample = on_sample, .data = k};

	k->speed = speed_new(k->fleet, k->fleet, &watch);
	for (int i = 0; i < 5; i++)
		run_round(k);
	ck_assert(speed_is_known(k->speed));
}

static void known_free(struct known *k)
{
	g_rand_free(k->rng);
	talloc_free(k->fleet);
}

/* Guards against a slow gang that makes all its servers slow although one explains it. */
START_TEST(a_known_slow_member_explains_a_slow_gang)
{
	struct known k = known_new();
	struct fleet_server *gang[3];

	learn(&k);
	gang[0] = sample_server(k.fleet, 0);
	ck_assert_int_eq(gang[0]->speed_class, FLEET_SPEED_SLOW);
	gang[1] = sample_server(k.fleet, KNOWN_SERVERS);
	gang[2] = sample_server(k.fleet, KNOWN_SERVERS + 1);
	for (int i = 0; i < 4; i++) {
		run_gang(&k, 3, gang, SLOW_FACTOR);
		run_round(&k);
	}
	ck_assert_int_ne(gang[1]->speed_class, FLEET_SPEED_SLOW);
	ck_assert_int_ne(gang[2]->speed_class, FLEET_SPEED_SLOW);
	known_free(&k);
}
END_TEST

/* Guards against a slow member that stays unknown: the others were in fast gangs as well. */
START_TEST(the_member_that_no_fast_gang_clears_is_slow)
{
	struct known k = known_new();
	struct fleet_server *slow[3];
	struct fleet_server *fast[2];

	learn(&k);
	for (unsigned int i = 0; i < 3; i++)
		slow[i] = sample_server(k.fleet, KNOWN_SERVERS + i);
	fast[0] = slow[1];
	fast[1] = slow[2];
	for (int i = 0; i < 4; i++) {
		run_gang(&k, 3, slow, SLOW_FACTOR);
		run_gang(&k, 2, fast, 1);
		run_round(&k);
	}
	ck_assert_int_eq(slow[0]->speed_class, FLEET_SPEED_SLOW);
	ck_assert_int_eq(slow[1]->speed_class, FLEET_SPEED_TYPICAL);
	ck_assert_int_eq(slow[2]->speed_class, FLEET_SPEED_TYPICAL);
	known_free(&k);
}
END_TEST

/* Guards against one tail, 7 times as long, that makes a server slow. */
START_TEST(a_tail_does_not_make_a_server_slow)
{
	struct known k = known_new();
	struct fleet_server *sv = sample_server(k.fleet, 1);

	learn(&k);
	ck_assert_int_eq(sv->speed_class, FLEET_SPEED_TYPICAL);
	run_gang(&k, 1, &sv, 7);
	run_round(&k);
	ck_assert_int_eq(sv->speed_class, FLEET_SPEED_TYPICAL);
	known_free(&k);
}
END_TEST

/* Guards against the speed of an earlier incarnation: a restart may have cured the server. */
START_TEST(the_speed_of_a_new_incarnation_is_not_known)
{
	struct known k = known_new();
	struct fleet_server *sv;

	learn(&k);
	ck_assert_int_eq(sample_server(k.fleet, 0)->speed_class, FLEET_SPEED_SLOW);
	sv = fleet_add(k.fleet, "s0", 2000);
	ck_assert_double_eq(sv->speed, 1);
	ck_assert_int_eq(sv->speed_class, FLEET_SPEED_UNKNOWN);
	ck_assert_uint_eq(sv->speed_samples, 0);
	known_free(&k);
}
END_TEST

static bool may_free(struct fleet_server *sv G_GNUC_UNUSED)
{
	return true;
}

/* Guards against samples of a server that is gone counting for one that came later. */
START_TEST(a_new_server_has_none_of_the_samples_of_one_that_is_gone)
{
	struct known k = known_new();
	struct fleet_server *sv = sample_server(k.fleet, KNOWN_SERVERS);

	learn(&k);
	for (int i = 0; i < 4; i++) {
		run_gang(&k, 1, &sv, SLOW_FACTOR);
		run_round(&k);
	}
	ck_assert_int_eq(sv->speed_class, FLEET_SPEED_SLOW);
	sv = fleet_add(k.fleet, sv->id, 2000);
	sv->presence = FLEET_LISTED;
	fleet_prune(k.fleet, may_free);
	run_round(&k);
	run_gang(&k, 1, &sv, 1);
	run_round(&k);
	ck_assert_uint_eq(sv->speed_samples, 1);
	ck_assert_int_ne(sv->speed_class, FLEET_SPEED_SLOW);
	known_free(&k);
}
END_TEST

/* Guards against a disturbance of seconds that counts once for each task that it met. */
START_TEST(tasks_that_are_slow_at_the_same_time_are_one_piece_of_evidence)
{
	struct known k = known_new();
	struct fleet_server *sv = sample_server(k.fleet, 1);

	learn(&k);
	for (int i = 0; i < 8; i++)
		run_gang(&k, 1, &sv, SLOW_FACTOR);
	run_round(&k);
	ck_assert_int_ne(sv->speed_class, FLEET_SPEED_SLOW);
	known_free(&k);
}
END_TEST

/* Guards against a server that is kept as slow after it has recovered. */
START_TEST(a_server_that_has_recovered_is_no_longer_slow)
{
	struct known k = known_new();
	struct fleet_server *sv = sample_server(k.fleet, KNOWN_SERVERS);

	learn(&k);
	for (int i = 0; i < 10; i++) {
		run_gang(&k, 1, &sv, SLOW_FACTOR);
		run_round(&k);
	}
	ck_assert_int_eq(sv->speed_class, FLEET_SPEED_SLOW);
	for (int i = 0; i < 8; i++) {
		run_gang(&k, 1, &sv, 1);
		run_round(&k);
	}
	ck_assert_int_ne(sv->speed_class, FLEET_SPEED_SLOW);
	known_free(&k);
}
END_TEST

/* Guards against run times in the wrong place: they are 3 times as long on each server. */
START_TEST(tasks_outside_their_rack_give_no_sample)
{
	struct known k = known_new();
	struct fleet_server *gang[2] = {sample_server(k.fleet, KNOWN_SERVERS),
					sample_server(k.fleet, 0)};
	struct work_group *g;

	learn(&k);
	k.told = 0;
	g = sample_start(sample_job(k.fleet, 999, 2, 1, 1));
	g->job->step[0].data_rack = talloc_strdup(g->job, "r0");
	start_on(&k, g, gang);
	speed_note_end(k.speed, &g->task[0], k.now + 3 * SAMPLE_ESTIMATE_MS, 0);
	ck_assert_uint_eq(g->task[0].speed_sample, 0);
	g = sample_gang(k.fleet, 1000, 1, 2, 1);
	g->job->step[0].same_rack = true;
	start_on(&k, g, gang);
	speed_note_end(k.speed, &g->task[0], k.now + 3 * SAMPLE_ESTIMATE_MS, 0);
	ck_assert_uint_eq(g->task[0].speed_sample, 0);
	ck_assert_uint_eq(k.told, 0);
	known_free(&k);
}
END_TEST

/* Guards against the time since a restart that is taken for the whole run time. */
START_TEST(a_resumed_task_counts_by_its_pace)
{
	struct known k = known_new();
	struct fleet_server *sv = sample_server(k.fleet, 1);
	struct work_group *g;
	struct work_task *t;

	learn(&k);
	g = sample_start(sample_job(k.fleet, 999, 2, 1, 1));
	t = &g->task[0];
	work_task_set_snapshot(t, str_from("checkpoint"));
	start_on(&k, g, &sv);
	t->first_percent = t->percent = 60;
	t->first_percent_at = k.now;
	/* the rest of 40 percent in 40 percent of the run time */
	speed_note_end(k.speed, t, k.now + SAMPLE_ESTIMATE_MS * 40 / 100, 0);
	ck_assert_uint_ne(t->speed_sample, 0);
	ck_assert(k.ratio > 0.7 && k.ratio < 1.4);
	known_free(&k);
}
END_TEST

/* Guards against the time for which an end was not listed, such as while the store is slow. */
START_TEST(an_end_that_is_listed_late_gives_no_sample)
{
	struct known k = known_new();
	struct fleet_server *sv = sample_server(k.fleet, 1);
	struct work_group *g;

	learn(&k);
	g = sample_start(sample_job(k.fleet, 999, 2, 1, 1));
	start_on(&k, g, &sv);
	speed_note_end(k.speed, &g->task[0], k.now + 3 * SAMPLE_ESTIMATE_MS,
		       2 * SAMPLE_ESTIMATE_MS);
	ck_assert_uint_eq(g->task[0].speed_sample, 0);
	known_free(&k);
}
END_TEST

START_TEST(expected_run_times_follow_the_job_and_the_server)
{
	struct known k = known_new();
	struct work_group *g;
	struct fleet_server *sv[4];

	learn(&k);
	for (unsigned int i = 0; i < 4; i++)
		sv[i] = sample_server(k.fleet, i + 1);
	g = sample_start(sample_job(k.fleet, 999, 2, 8, 1));
	ck_assert(fabs(speed_job_ratio(k.speed, g->job) - 1) < 0.25);
	/* the declared run time of this job is half of the real one */
	start_on(&k, sample_start(sample_job(k.fleet, 998, 2, 4, 1)), sv);
	for (unsigned int i = 0; i < 4; i++)
		if (i != 3) /* server 4 is slow */
			speed_note_end(k.speed, g_ptr_array_index(sv[i]->tasks, 0),
				       k.now + 2 * SAMPLE_ESTIMATE_MS, 0);
	run_round(&k);
	g->job->run_ratio = speed_job_ratio(
		k.speed, ((struct work_task *)g_ptr_array_index(sv[0]->tasks, 0))->group->job);
	ck_assert(g->job->run_ratio > 1.6 && g->job->run_ratio < 2.3);
	ck_assert_int_gt(speed_expected_ms(g, sample_server(k.fleet, 0)),
			 speed_expected_ms(g, sv[0]) * 18 / 10);
	known_free(&k);
}
END_TEST

/* Guards against a new leader that sends urgent work to slow servers until it has learned again. */
START_TEST(a_new_leader_knows_what_the_former_one_knew)
{
	struct known k = known_new();
	struct known next = known_new();
	char *text;

	learn(&k);
	text = speed_encode(k.fleet, k.speed);
	next.speed = speed_new(next.fleet, next.fleet, NULL);
	ck_assert_ptr_null(speed_encode(next.fleet, next.speed));
	sample_server(next.fleet, 4)->born++;
	speed_decode(next.speed, str_from(text));
	speed_update(next.speed, next.now);
	for (unsigned int i = 0; i < KNOWN_SERVERS; i++)
		ck_assert_int_eq(sample_server(next.fleet, i)->speed_class == FLEET_SPEED_SLOW,
				 sample_server(k.fleet, i)->speed_class == FLEET_SPEED_SLOW &&
					 i != 4);
	/* what it sees itself counts for more: the servers have one speed now */
	next.slow_factor = 1;
	for (int i = 0; i < 8; i++)
		run_round(&next);
	for (unsigned int i = 0; i < KNOWN_SERVERS; i++)
		ck_assert_int_ne(sample_server(next.fleet, i)->speed_class, FLEET_SPEED_SLOW);
	known_free(&k);
	known_free(&next);
}
END_TEST

/* Guards against bytes of any kind in the row. */
START_TEST(a_malformed_row_changes_nothing)
{
	static const char *const texts[] = {"",
					    "[",
					    "7",
					    "{\"gap\":\"x\",\"servers\":{}}",
					    "{\"gap\":1}",
					    "{\"gap\":1,\"servers\":[1]}"};
	struct known k = known_new();

	k.speed = speed_new(k.fleet, k.fleet, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		speed_decode(k.speed, str_from(texts[i]));
		ck_assert(!speed_update(k.speed, k.now + 1000 * (int64_t)i));
		ck_assert(!speed_is_known(k.speed));
	}
	known_free(&k);
}
END_TEST

/* Guards against memory that grows with the number of jobs and queues. */
START_TEST(memory_is_bounded)
{
	struct known k = known_new();
	size_t before;

	learn(&k);
	for (unsigned int i = 0; i < 3 * SPEED_SAMPLES_MAX; i++) {
		struct work_job *job = sample_job(k.fleet, 1000 + i, 2, 1, 1);
		struct work_group *g;
		struct fleet_server *sv = sample_server(k.fleet, i % KNOWN_SERVERS);

		if (i == SPEED_SAMPLES_MAX)
			before = talloc_total_size(k.speed);
		job->queue = talloc_asprintf(job, "q%u", i % (2 * SPEED_QUEUES_MAX));
		g = sample_start(job);
		start_on(&k, g, &sv);
		speed_note_progress(k.speed, &g->task[0], k.now);
		g->task[0].percent = 50;
		g->task[0].first_percent = 10;
		g->task[0].first_percent_at = k.now;
		g->task[0].progress_at = k.now + 2000;
		speed_note_progress(k.speed, &g->task[0], k.now + 2000);
		k.now++;
		work_task_finish(&g->task[0]);
		talloc_free(job);
		speed_update(k.speed, k.now);
	}
	ck_assert_uint_le(talloc_total_size(k.speed), before);
	known_free(&k);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_loop_test(t, servers_of_one_speed_stay_unknown, 0, SEEDS);
	tcase_add_loop_test(t, servers_that_are_slow_for_seconds_stay_unknown, 0, 4);
	tcase_add_loop_test(t, slow_servers_are_found_within_half_a_minute, 0, 6);
	tcase_add_test(t, where_most_are_slow_the_others_are_fast);
	tcase_add_loop_test(t, either_rare_class_is_found_within_seconds, 0, 2);
	tcase_add_loop_test(t, a_large_pool_of_one_speed_stays_unknown, 0, 8);
	tcase_add_test(t, a_known_slow_member_explains_a_slow_gang);
	tcase_add_test(t, the_member_that_no_fast_gang_clears_is_slow);
	tcase_add_test(t, a_tail_does_not_make_a_server_slow);
	tcase_add_test(t, the_speed_of_a_new_incarnation_is_not_known);
	tcase_add_test(t, a_new_server_has_none_of_the_samples_of_one_that_is_gone);
	tcase_add_test(t, tasks_that_are_slow_at_the_same_time_are_one_piece_of_evidence);
	tcase_add_test(t, a_server_that_has_recovered_is_no_longer_slow);
	tcase_add_test(t, tasks_outside_their_rack_give_no_sample);
	tcase_add_test(t, a_resumed_task_counts_by_its_pace);
	tcase_add_test(t, an_end_that_is_listed_late_gives_no_sample);
	tcase_add_test(t, expected_run_times_follow_the_job_and_the_server);
	tcase_add_test(t, a_new_leader_knows_what_the_former_one_knew);
	tcase_add_test(t, a_malformed_row_changes_nothing);
	tcase_add_test(t, memory_is_bounded);
}

int main(void)
{
	return run_suite("speed", add_tests);
}
