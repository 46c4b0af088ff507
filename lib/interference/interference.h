/**
 * DOC: interference - which workloads slow each other down on one server, learned from their pace
 *
 * Load pattern: tasks of some workloads slow those of others on the same server down, for example
 * because both are bound by memory bandwidth, which no declared resource shows. Nothing but the
 * pace of the tasks tells which.
 *
 * Run times of the tasks of a job differ by 30 %, 3 % of them are 7 times as long, declared run
 * times are wrong by up to 0.9 of their value for all tasks of a job, and servers are slow for
 * other reasons. So tasks that ran beside a workload are compared with tasks of the same job that
 * did not; jobs that have only tasks of one kind are compared with each other, with one value a
 * job. Tasks of one job on one server count once. The comparison is by rank, so that a few very
 * long run times do not matter. A pair must be seen in several jobs and on several servers, and
 * not only on servers where the workload is as slow without the other.
 *
 * The module does no I/O and reads no clock; times are monotonic, in ms. Its memory is bounded.
 */
#ifndef INTERFERENCE_H
#define INTERFERENCE_H

#include "base/base.h"

#define INTERFERENCE_WORKLOADS_MAX                                                              \
	64			     /* with samples; the one sampled least recently is dropped \
				      */
#define INTERFERENCE_PAIRS_MAX 128   /* further pairs are not found until one is forgotten */
#define INTERFERENCE_SAMPLES_MAX 256 /* of one workload; the oldest is dropped */
#define INTERFERENCE_BESIDE_MAX 8    /* workloads beside a task; with more it gives no sample */
#define INTERFERENCE_SAMPLE_AGE_MS 600000 /* an older sample does not count */
/* the slow-down of a pair halves in this time without samples of tasks that ran beside each other
 */
#define INTERFERENCE_HALF_LIFE_MS 600000

/**
 * struct interference_sample - one task that has ended
 * @workload: what it ran, see struct work_step
 * @beside: workloads that ran on its server for most of its run time, without itself
 * @ratio: observed pace divided by the expected one; below 1 for a slow run
 * @job: a number that is the same for all tasks of its job
 * @server: a number of its server
 * @at: when it ended, monotonic ms
 */
struct interference_sample {
	uint64_t workload;
	uint64_t beside[INTERFERENCE_BESIDE_MAX];
	unsigned int beside_count;
	double ratio;
	uint64_t job;
	uint64_t server;
	int64_t at;
};

/**
 * struct interference_pair - @workload runs slower beside @other
 * @slowdown: run time beside @other divided by that without it, above 1
 * @score: standard deviations by which the ranks differ from chance
 * @jobs: with tasks that ran beside @other
 * @servers: on which these ran
 * @found_at: when the pair was found, monotonic ms
 * @seen_at: when the latest task that ran beside @other has ended, monotonic ms
 */
struct interference_pair {
	uint64_t workload;
	uint64_t other;
	double slowdown;
	double score;
	unsigned int jobs;
	unsigned int servers;
	int64_t found_at;
	int64_t seen_at;
};

struct interference;

/** interference_new() - nothing is known */
struct interference *interference_new(TALLOC_CTX *ctx);
/**
 * interference_note() - add the sample of a task that has ended
 *
 * A sample with a ratio that is no positive number is ignored.
 * Return: the pair that it completed, valid until the next call; NULL when none.
 */
const struct interference_pair *interference_note(struct interference *in,
						  const struct interference_sample *sample);
/** interference_pairs() - number of pairs that are known at @now */
unsigned int interference_pairs(const struct interference *in, int64_t now);
/** interference_slowdown() - expected slow-down of @workload beside @other, 1 when not known */
double interference_slowdown(const struct interference *in, uint64_t workload, uint64_t other,
			     int64_t now);

/**
 * struct interference_cost - what it costs to put a workload beside @other
 * @cost: sum of the shares by which each of the two slows down, above 0
 */
struct interference_cost {
	uint64_t other;
	double cost;
};

#define INTERFERENCE_COSTS_MAX 16 /* further workloads cost nothing */

/** interference_costs() - fill @costs for @workload; returns the number filled, at most the max */
unsigned int interference_costs(const struct interference *in, uint64_t workload, int64_t now,
				struct interference_cost *costs);

#endif
