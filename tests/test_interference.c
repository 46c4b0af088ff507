/**
 * DOC: test_interference - which workloads slow each other down
 */
#include <check.h>
#include <math.h>

#include "interference/runs.h"
#include "runner.h"

#define A 1
#define B 2
#define C 3
#define SERVERS 40
#define TASKS 12 /* of a job */

static uint64_t random_state = 1;

static double uniform(void)
{
	random_state = random_state * 6364136223846793005u + 1442695040888963407u;
	return (double)(random_state >> 11) / (double)(1ULL << 53);
}

/**
 * struct day - what the tasks of a test do
 * @servers: servers that the tasks use
 * @slowdown: run time of A beside B divided by that without it
 * @beside: number of the servers on which B runs, the first ones unless it moves
 * @moves: B runs on other servers during the next job
 * @slow: number of the servers, the first ones, on which A takes twice as long
 * @is_gang: a job gives one sample
 * @with_c: C runs wherever B does, and on every fourth other server
 */
struct day {
	unsigned int servers;
	double slowdown;
	unsigned int beside;
	bool moves;
	unsigned int slow;
	bool is_gang;
	bool with_c;
};

/* 30 % between tasks, 3 % take 7 times as long, the declared time is wrong by up to 0.9 */
static const struct interference_pair *play_job(struct interference *in, const struct day *day,
						unsigned int job)
{
	const struct interference_pair *found = NULL;
	double declared = 1 + 0.9 * (2 * uniform() - 1);

	for (unsigned int i = 0; i < (day->is_gang ? 1 : TASKS); i++) {
		unsigned int server = (unsigned int)(uniform() * day->servers);
		unsigned int moved = (server + (day->moves ? job * 7 : 0)) % day->servers;
		bool is_beside = moved < day->beside;
		double time = declared * (0.85 + 0.3 * uniform());
		struct interference_sample s = {
			.workload = A, .job = job, .server = server, .at = job * 500};
		const struct interference_pair *pair;

		if (uniform() < 0.03)
			time *= 7;
		if (is_beside)
			s.beside[s.beside_count++] = B;
		if (day->with_c && (is_beside || server % 4 == 0))
			s.beside[s.beside_count++] = C;
		s.ratio =
			1 / (time * (is_beside ? day->slowdown : 1) * (server < day->slow ? 2 : 1));
		pair = interference_note(in, &s);
		if (pair)
			found = pair;
	}
	return found;
}

/* jobs after which A beside @other is known, 0 when it is not known after @jobs */
static unsigned int play(struct interference *in, const struct day *day, unsigned int jobs,
			 uint64_t other)
{
	for (unsigned int job = 1; job <= jobs; job++) {
		play_job(in, day, job);
		if (interference_slowdown(in, A, other, job * 500) > 1)
			return job;
	}
	return 0;
}

/* A real pair went unnoticed, or only after hundreds of jobs. */
START_TEST(a_pair_is_found_within_some_jobs)
{
	const struct day day = {.servers = SERVERS, .slowdown = 1.5, .beside = 20, .moves = true};

	for (unsigned int seed = 1; seed <= 20; seed++) {
		struct interference *in = interference_new(NULL);
		unsigned int jobs;

		random_state = seed;
		jobs = play(in, &day, 40, B);
		ck_assert_uint_gt(jobs, 0);
		ck_assert_uint_eq(interference_pairs(in, jobs * 500), 1);
		ck_assert_double_eq_tol(interference_slowdown(in, A, B, jobs * 500), 1.5, 0.25);
		ck_assert_double_eq(interference_slowdown(in, B, A, jobs * 500), 1);
		talloc_free(in);
	}
}
END_TEST

/* Gangs have one pace, so that only jobs can be compared, whose declared times are wrong. */
START_TEST(a_pair_of_gangs_is_found)
{
	const struct day day = {
		.servers = SERVERS, .slowdown = 2.5, .beside = 20, .moves = true, .is_gang = true};
	struct interference *in = interference_new(NULL);

	random_state = 1;
	ck_assert_uint_gt(play(in, &day, 250, B), 0);
	talloc_free(in);
}
END_TEST

/* Work that slows nobody was kept apart, which costs room. */
START_TEST(noise_makes_no_pair)
{
	const struct day days[] = {
		{.servers = SERVERS, .slowdown = 1, .beside = 20},
		{.servers = SERVERS, .slowdown = 1, .beside = 20, .is_gang = true},
		{.servers = SERVERS, .slowdown = 1, .beside = 20, .moves = true},
		{.servers = SERVERS, .slowdown = 1.05, .beside = 20, .moves = true},
		/* B runs only on servers that are slow for another reason */
		{.servers = SERVERS, .slowdown = 1, .beside = 5, .slow = 5},
		{.servers = 350, .slowdown = 1, .beside = 88, .slow = 88},
	};

	for (unsigned int i = 0; i < G_N_ELEMENTS(days); i++) {
		for (unsigned int seed = 1; seed <= 20; seed++) {
			struct interference *in = interference_new(NULL);

			random_state = seed;
			ck_assert_uint_eq(play(in, &days[i], 60, B), 0);
			talloc_free(in);
		}
	}
}
END_TEST

/* Servers that are slow whatever runs there were blamed on the workload that was often there. */
START_TEST(servers_that_are_slow_without_the_other_make_no_pair)
{
	struct interference *in = interference_new(NULL);
	const struct day with = {.servers = SERVERS, .slowdown = 1, .beside = 12, .slow = 12};
	const struct day without = {.servers = SERVERS, .slowdown = 1, .slow = 12};

	random_state = 1;
	for (unsigned int job = 1; job <= 60; job++) {
		play_job(in, job % 2 ? &with : &without, job);
		ck_assert_double_eq(interference_slowdown(in, A, B, job * 500), 1);
	}
	talloc_free(in);
}
END_TEST

/* C was kept apart from A because it often runs where B does. */
START_TEST(a_workload_that_is_often_beside_the_cause_is_not_blamed)
{
	const struct day day = {
		.servers = SERVERS, .slowdown = 1.6, .beside = 14, .moves = true, .with_c = true};

	for (unsigned int seed = 1; seed <= 10; seed++) {
		struct interference *in = interference_new(NULL);

		random_state = seed;
		ck_assert_uint_gt(play(in, &day, 60, B), 0);
		ck_assert_uint_eq(play(in, &day, 60, C), 0);
		talloc_free(in);
	}
}
END_TEST

/* One job, or two servers, must not condemn a pair for all others. */
START_TEST(one_job_or_few_servers_are_not_enough)
{
	const struct day day = {.servers = 3, .slowdown = 2, .beside = 2};
	struct interference *in = interference_new(NULL);

	random_state = 1;
	ck_assert_uint_eq(play(in, &day, 60, B), 0);
	for (unsigned int i = 0; i < 200; i++) {
		struct interference_sample s = {.workload = C,
						.beside = {B},
						.beside_count = i % 2,
						.ratio = i % 2 ? 0.5 : 1,
						.job = 1,
						.server = i,
						.at = 100};

		ck_assert_ptr_null(interference_note(in, &s));
	}
	talloc_free(in);
}
END_TEST

/*
 * Once a pair is kept apart, most jobs run wholly beside the other or wholly without it. The pair
 * was dropped, because such jobs were compared only with themselves, and work was mixed again.
 */
START_TEST(a_pair_that_is_kept_apart_stays_known)
{
	const struct day mixed = {.servers = SERVERS, .slowdown = 2, .beside = 20, .moves = true};
	const struct day with = {.servers = SERVERS, .slowdown = 2, .beside = SERVERS};
	const struct day without = {.servers = SERVERS, .slowdown = 1};

	for (unsigned int seed = 1; seed <= 20; seed++) {
		struct interference *in = interference_new(NULL);
		unsigned int first;

		random_state = seed;
		first = play(in, &mixed, 40, B);
		for (unsigned int job = first + 1; job <= first + 60; job++) {
			play_job(in, job % 4 ? &without : &with, job);
			ck_assert_double_gt(interference_slowdown(in, A, B, job * 500), 1);
		}
		talloc_free(in);
	}
}
END_TEST

/* Workloads change; a pair that was seen long ago must not keep work apart for ever. */
START_TEST(a_pair_decays_without_samples)
{
	const struct day day = {.servers = SERVERS, .slowdown = 1.5, .beside = 20, .moves = true};
	struct interference *in = interference_new(NULL);
	struct interference_cost costs[INTERFERENCE_COSTS_MAX];
	int64_t now;
	double fresh;

	random_state = 1;
	now = play(in, &day, 40, B) * 500;
	fresh = interference_slowdown(in, A, B, now);
	ck_assert_uint_eq(interference_costs(in, B, now, costs), 1);
	ck_assert_uint_eq(costs[0].other, A);
	ck_assert_double_eq_tol(costs[0].cost, fresh - 1, 1e-9);
	ck_assert_double_eq_tol(interference_slowdown(in, A, B, now + INTERFERENCE_HALF_LIFE_MS),
				1 + (fresh - 1) / 2, 0.01);
	now += 10 * INTERFERENCE_HALF_LIFE_MS;
	ck_assert_double_eq(interference_slowdown(in, A, B, now), 1);
	ck_assert_uint_eq(interference_pairs(in, now), 0);
	ck_assert_uint_eq(interference_costs(in, B, now, costs), 0);
	talloc_free(in);
}
END_TEST

/* Callers choose queues and images, so that their number must not make memory grow. */
START_TEST(memory_is_bounded)
{
	struct interference *in = interference_new(NULL);
	size_t bytes;

	for (unsigned int i = 0; i < 100000; i++) {
		struct interference_sample s = {.workload = i % 5000,
						.beside = {i, i + 1, i + 2},
						.beside_count = 3,
						.ratio = i % 7 ? 1 : NAN,
						.job = i / 100,
						.server = i % 300,
						.at = i};

		interference_note(in, &s);
		if (i == 5000)
			bytes = talloc_total_size(in);
	}
	ck_assert_uint_eq(talloc_total_size(in), bytes);
	ck_assert_uint_lt(bytes, 2 << 20);
	talloc_free(in);
}
END_TEST

/* A neighbour that had ended before the task was not noticed. */
START_TEST(what_ran_beside_a_task_includes_what_has_ended)
{
	struct runs *r = runs_new(NULL);
	const struct run running[] = {{A, 1400, 2000}, {C, 1600, 2000}};
	const struct run task = {A, 1000, 2000};
	const struct run ended[] = {{B, 900, 1300}, {B, 1300, 1550}, {C, 100, 1000}};
	struct interference_sample s = {.beside_count = 0};

	for (unsigned int i = 0; i < G_N_ELEMENTS(ended); i++)
		runs_note_end(r, 7, &ended[i]);
	ck_assert(runs_beside(r, 7, &task, running, 2, &s));
	ck_assert_uint_eq(s.beside_count, 2);
	ck_assert_uint_eq(s.beside[0], A);
	ck_assert_uint_eq(s.beside[1], B);
	s.beside_count = 0;
	ck_assert(runs_beside(r, 8, &task, running, 2, &s));
	ck_assert_uint_eq(s.beside_count, 1);
	talloc_free(r);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, what_ran_beside_a_task_includes_what_has_ended);
	tcase_add_test(t, a_pair_is_found_within_some_jobs);
	tcase_add_test(t, a_pair_of_gangs_is_found);
	tcase_add_test(t, noise_makes_no_pair);
	tcase_add_test(t, servers_that_are_slow_without_the_other_make_no_pair);
	tcase_add_test(t, a_workload_that_is_often_beside_the_cause_is_not_blamed);
	tcase_add_test(t, one_job_or_few_servers_are_not_enough);
	tcase_add_test(t, a_pair_that_is_kept_apart_stays_known);
	tcase_add_test(t, a_pair_decays_without_samples);
	tcase_add_test(t, memory_is_bounded);
}

int main(void)
{
	return run_suite("interference", add_tests);
}
