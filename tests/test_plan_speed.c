/**
 * DOC: test_plan_speed - decisions about servers of different speeds
 */
#include <check.h>

#include "replay.h"
#include "runner.h"

#define SEEDS 20
#define SERVERS 100
#define SLOW_SPEED 0.45

static const struct plan_clock start = {10000, 1000000};

static void set_slow(struct fleet *f, unsigned int i)
{
	sample_server(f, i)->speed_class = FLEET_SPEED_SLOW;
	sample_server(f, i)->speed = SLOW_SPEED;
}

/* servers of which those at odd places are slow */
static struct fleet *alternating_fleet(unsigned int count, unsigned int per_rack)
{
	struct fleet *f = sample_fleet(NULL, count, per_rack);

	for (unsigned int i = 0; i < count; i++) {
		sample_server(f, i)->speed_class = FLEET_SPEED_TYPICAL;
		if (i % 2)
			set_slow(f, i);
	}
	return f;
}

static unsigned int place(struct fleet *f, struct work_group *g, struct fleet_server **out)
{
	struct plan_scratch *s = plan_scratch_new(f);

	g->job->accepted_ms = start.wall;
	plan_start_round(s, f, start.now);
	return plan_place(s, f, g, &start, out);
}

/* holds all but @free_accelerators of a server */
static void fill(struct fleet *f, unsigned int n, unsigned int server, int64_t free_accelerators)
{
	struct work_group *g = sample_start(sample_job(f, n, 2, 1, 8 - free_accelerators));

	sample_run(&g->task[0], sample_server(f, server), 0);
}

/* Guards against the best fit on a slow server, where urgent work ends too late. */
START_TEST(an_urgent_task_takes_a_fast_server)
{
	struct fleet *f = alternating_fleet(4, 4);
	struct fleet_server *out[1];

	fill(f, 1, 1, 1);
	ck_assert_uint_eq(place(f, sample_start(sample_job(f, 2, 0, 1, 1)), out), 1);
	ck_assert_double_eq(out[0]->speed, 1);
	talloc_free(f);
}
END_TEST

/* Guards against work that waits for a fast server while a slow one is free. */
START_TEST(urgent_work_does_not_wait_for_fast_servers)
{
	struct fleet *f = alternating_fleet(4, 2);
	struct work_group *g = sample_gang(f, 10, 0, 2, 8);
	struct fleet_server *out[2];

	fill(f, 1, 0, 0);
	fill(f, 2, 2, 0);
	ck_assert_uint_eq(place(f, g, out), 2);
	ck_assert_double_eq(out[0]->speed, SLOW_SPEED);
	g->job->step[0].same_rack = true;
	/* each rack has one free server */
	ck_assert_uint_eq(place(f, g, out), 0);
	talloc_free(f);
}
END_TEST

/* Guards against a gang with one slow member, at whose pace all others run. */
START_TEST(a_gang_takes_servers_of_one_speed)
{
	for (int64_t priority = 0; priority < 2; priority++) {
		struct fleet *f = alternating_fleet(8, 4);
		struct fleet_server *out[4];

		/* best fit alone prefers servers 0 to 3 */
		for (unsigned int i = 0; i < 4; i++)
			fill(f, i + 1, i, 4);
		ck_assert_uint_eq(place(f, sample_gang(f, 10, priority, 4, 4), out), 4);
		for (int i = 1; i < 4; i++)
			ck_assert_double_eq(out[i]->speed, out[0]->speed);
		if (!priority)
			ck_assert_double_eq(out[0]->speed, 1);
		talloc_free(f);
	}
}
END_TEST

/* Guards against the tightest rack when its servers slow down an urgent gang. */
START_TEST(an_urgent_gang_takes_a_rack_where_all_members_are_fast)
{
	struct fleet *f = alternating_fleet(6, 2);
	struct work_group *g = sample_gang(f, 10, 0, 2, 8);
	struct fleet_server *out[2];

	sample_server(f, 3)->speed_class = FLEET_SPEED_TYPICAL;
	sample_server(f, 3)->speed = 1;
	g->job->step[0].same_rack = true;
	ck_assert_uint_eq(place(f, g, out), 2);
	ck_assert_uint_eq(out[0]->rack, sample_server(f, 2)->rack);
	ck_assert_uint_eq(out[1]->rack, sample_server(f, 2)->rack);
	talloc_free(f);
}
END_TEST

/* Guards against work that can wait on the last fast servers, or that is late on slow ones. */
START_TEST(work_that_can_wait_takes_slow_servers_as_long_as_it_ends_in_time)
{
	struct fleet *f = alternating_fleet(4, 4);
	struct work_group *g = sample_start(sample_job(f, 1, 2, 1, 1));
	struct fleet_server *out[1];

	g->job->stretch = 3;
	ck_assert_uint_eq(place(f, g, out), 1);
	ck_assert_double_eq(out[0]->speed, SLOW_SPEED);
	g->job->stretch = 1.5;
	ck_assert_uint_eq(place(f, g, out), 1);
	ck_assert_double_eq(out[0]->speed, 1);
	talloc_free(f);
}
END_TEST

/* Guards against whole servers that are broken up for the sake of speed. */
START_TEST(best_fit_goes_before_speed_for_work_that_can_wait)
{
	struct fleet *f = alternating_fleet(4, 4);
	struct work_group *g = sample_start(sample_job(f, 10, 2, 1, 1));
	struct fleet_server *out[1];

	fill(f, 1, 2, 1);
	g->job->stretch = 3;
	ck_assert_uint_eq(place(f, g, out), 1);
	ck_assert_ptr_eq(out[0], sample_server(f, 2));
	talloc_free(f);
}
END_TEST

/* Guards against victims on a slow server, where the urgent work ends too late. */
START_TEST(urgent_work_preempts_on_fast_servers)
{
	struct fleet *f = alternating_fleet(4, 4);
	struct plan_scratch *s = plan_scratch_new(f);
	struct work_group *g = sample_gang(f, 10, 0, 2, 8);
	struct fleet_server *out[2];
	GPtrArray *victims = g_ptr_array_new();

	/* those on the slow servers have started last, so that their stop costs least */
	for (unsigned int i = 0; i < 4; i++) {
		struct work_group *other = sample_start(sample_job(f, i + 1, 2, 1, 8));

		sample_run(&other->task[0], sample_server(f, i), start.now - (i % 2 ? 100 : 2000));
	}
	plan_start_round(s, f, start.now);
	ck_assert(plan_preempt(s, f, g, &start, out, victims));
	ck_assert_double_eq(out[0]->speed, 1);
	ck_assert_double_eq(out[1]->speed, 1);
	g_ptr_array_free(victims, TRUE);
	talloc_free(f);
}
END_TEST

/* ---- expected run times ---- */

/* Guards against jobs that begin too late because their declared run time is too short. */
START_TEST(the_latest_start_follows_the_expected_run_time)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct work_group *a = sample_start(sample_job(ctx, 1, 1, 1, 1));
	struct work_group *b = sample_start(sample_job(ctx, 2, 1, 1, 1));
	struct plan_rank first;
	struct plan_rank second;

	a->job->accepted_ms = start.wall - 100;
	b->job->accepted_ms = start.wall;
	first = plan_rank(a, &start);
	second = plan_rank(b, &start);
	ck_assert_int_lt(plan_rank_compare(&first, &second), 0);
	b->job->run_ratio = 1.5;
	second = plan_rank(b, &start);
	ck_assert_int_gt(plan_rank_compare(&first, &second), 0);
	/* it can't end in time any more */
	b->job->run_ratio = 2.5;
	second = plan_rank(b, &start);
	ck_assert_int_lt(plan_rank_compare(&first, &second), 0);
	talloc_free(ctx);
}
END_TEST

START_TEST(the_remaining_time_follows_the_server)
{
	struct fleet *f = alternating_fleet(2, 2);
	struct work_group *g = sample_start(sample_job(f, 1, 2, 2, 1));

	for (unsigned int i = 0; i < 2; i++)
		sample_run(&g->task[i], sample_server(f, i), start.now - 1000);
	ck_assert_int_eq(plan_remaining_ms(&g->task[0], start.now), SAMPLE_ESTIMATE_MS - 1000);
	ck_assert_int_eq(plan_remaining_ms(&g->task[1], start.now),
			 (int64_t)(SAMPLE_ESTIMATE_MS / SLOW_SPEED) - 1000);
	talloc_free(f);
}
END_TEST

/* a group with 4 tasks at their usual pace and one on a slow server, at @share of that */
static enum plan_progress rate_on_slow_server(double share)
{
	struct fleet *f = sample_fleet(NULL, 5, 5);
	struct work_group *g = sample_start(sample_job(f, 1, 2, 5, 1));
	enum plan_progress progress;

	set_slow(f, 4);
	for (unsigned int i = 0; i < 5; i++) {
		struct work_task *t = &g->task[i];

		sample_run(t, sample_server(f, i), start.now - 2000);
		t->first_percent = 0;
		t->first_percent_at = start.now - 2000;
		t->progress_at = start.now;
		t->percent = (int)(20 * (i == 4 ? share : 1));
	}
	progress = plan_progress(&g->task[4], &start);
	talloc_free(f);
	return progress;
}

/* Guards against the stop of tasks that run as fast as their server allows. */
START_TEST(a_task_is_slow_only_relative_to_its_server)
{
	/* half the speed, and 30 % more work than its siblings have */
	ck_assert_int_eq(rate_on_slow_server(SLOW_SPEED / 1.3), PROGRESS_NORMAL);
	ck_assert_int_eq(rate_on_slow_server(SLOW_SPEED / 4), PROGRESS_SLOW);
}
END_TEST

/* ---- a whole pool ---- */

/* Guards against decisions that change where all servers have one speed. */
START_TEST(servers_of_one_speed_are_used_as_before)
{
	struct replay *learns = replay_new((unsigned int)_i, 60, 0, 1, 1);
	struct replay *hides = replay_new((unsigned int)_i, 60, 0, 1, 1);

	hides->hides_speeds = true;
	learns->declared_error = hides->declared_error = _i % 2 ? 0.9 : 0.5;
	for (int ms = 0; ms < 40000; ms += REPLAY_STEP_MS) {
		replay_step(learns);
		replay_step(hides);
	}
	ck_assert_uint_ne(learns->decisions, 0);
	ck_assert_uint_eq(learns->decisions, hides->decisions);
	replay_free(learns);
	replay_free(hides);
}
END_TEST

static void add_up(struct replay *r, struct replay *sum)
{
	for (int ms = 0; ms < 60000; ms += REPLAY_STEP_MS)
		replay_step(r);
	sum->work_done += r->work_done;
	sum->urgent += r->urgent;
	sum->urgent_late += r->urgent_late;
	sum->gangs += r->gangs;
	sum->mixed += r->mixed;
	replay_free(r);
}

/* Guards against a full pool that does less work, as slow servers hold capacity longer. */
START_TEST(a_full_pool_does_no_less_work)
{
	struct replay learns = {0};
	struct replay hides = {0};

	for (unsigned int seed = 1; seed <= 6; seed++) {
		struct replay *r = replay_new(seed, SERVERS, 0.25, 0.55, 1.2);

		add_up(r, &learns);
		r = replay_new(seed, SERVERS, 0.25, 0.55, 1.2);
		r->hides_speeds = true;
		add_up(r, &hides);
	}
	ck_assert_double_ge(learns.work_done, 0.97 * hides.work_done);
	ck_assert_uint_le(learns.mixed * hides.gangs * 10, hides.mixed * learns.gangs * 8);
	ck_assert_uint_le(learns.urgent_late * hides.urgent, hides.urgent_late * learns.urgent);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, an_urgent_task_takes_a_fast_server);
	tcase_add_test(t, urgent_work_does_not_wait_for_fast_servers);
	tcase_add_test(t, a_gang_takes_servers_of_one_speed);
	tcase_add_test(t, an_urgent_gang_takes_a_rack_where_all_members_are_fast);
	tcase_add_test(t, work_that_can_wait_takes_slow_servers_as_long_as_it_ends_in_time);
	tcase_add_test(t, best_fit_goes_before_speed_for_work_that_can_wait);
	tcase_add_test(t, urgent_work_preempts_on_fast_servers);
	tcase_add_test(t, the_latest_start_follows_the_expected_run_time);
	tcase_add_test(t, the_remaining_time_follows_the_server);
	tcase_add_test(t, a_task_is_slow_only_relative_to_its_server);
	tcase_add_loop_test(t, servers_of_one_speed_are_used_as_before, 0, SEEDS);
	tcase_add_test(t, a_full_pool_does_no_less_work);
}

int main(void)
{
	return run_suite("plan_speed", add_tests);
}
