/**
 * DOC: speed_fit - state of the estimation of speeds
 *
 * Run times are compared as logarithms: the slowness of a sample is log(run time / declared
 * run time). It is the sum of the offset of the queue, the offset of the job (its declared run
 * time is wrong for all tasks alike), the spread of the task, and @gap where one of its servers
 * is of the slower class.
 */
#ifndef SPEED_FIT_H
#define SPEED_FIT_H

#include "speed.h"

/**
 * struct speed_queue - tasks of one queue
 * @offset: typical slowness on a server of the faster class
 * @weight, @sum: sums of the fit
 * @jobs: struct speed_job that refer to it
 */
struct speed_queue {
	char *name;
	double offset;
	double weight;
	double sum;
	unsigned int jobs;
};

/**
 * struct speed_job - a job of which there are samples
 * @offset: of its samples from that of the queue, shrunk towards 0
 * @weight, @sum: sums of the fit
 * @points: struct speed_point that refer to it
 */
struct speed_job {
	char id[WORK_ID_LEN + 1];
	struct speed_queue *queue;
	double offset;
	double weight;
	double sum;
	unsigned int points;
};

/**
 * struct speed_member - a server of a sample
 * @slot: index of its struct speed_slot
 * @serial: of the incarnation that the slot stood for
 * @message: log likelihood ratio of the slower class, given what is known of the others
 */
struct speed_member {
	uint16_t slot;
	uint16_t serial;
	float message;
};

/**
 * struct speed_point - a sample
 * @job: the job of its tasks
 * @at: when it was first noted, monotonic ms
 * @slowness: log(run time / declared run time)
 * @tasks: number of tasks that it stands for
 * @member: distinct servers
 * @excess: expected excess of the slowest task over the mean, in standard deviations
 * @slow: probability that one of its servers is of the slower class
 * @inlier: probability that it is no outlier
 */
struct speed_point {
	struct speed_job *job;
	int64_t at;
	double slowness;
	unsigned int tasks;
	struct speed_member *member;
	unsigned int members;
	double excess;
	double slow;
	double inlier;
};

/**
 * struct speed_evidence - log likelihood ratio of the slower class
 * @total: of all periods before @period
 * @period: number of the latest period with evidence
 * @sum: of that period
 */
struct speed_evidence {
	double total;
	int64_t period;
	double sum;
};

/**
 * struct speed_slot - an incarnation of a server
 * @serial: changes when the slot is given to another incarnation
 * @is_used: the slot stands for an incarnation
 * @seen: number of the latest fit in which the fleet held it
 * @folded: evidence of samples that are not kept any more
 * @evidence: of the samples kept, up to the one at hand
 * @chance: probability of the slower class
 * @samples: number of samples
 * @effect: typical slowness of its samples within their jobs
 * @weight, @sum, @squares: sums of estimations
 */
struct speed_slot {
	uint16_t serial;
	bool is_used;
	uint32_t seen;
	double folded;
	struct speed_evidence evidence;
	double chance;
	unsigned int samples;
	double effect;
	double weight;
	double sum;
	double squares;
};

/**
 * struct speed - estimates, and the samples that they are based on
 * @point: ring of samples; sample number n is at index n % SPEED_SAMPLES_MAX
 * @first: number of the oldest sample kept
 * @next: number of the next sample; numbers begin with 1
 * @slot: slots of servers; slot 0 is not used
 * @slots: entries of @slot in use or free
 * @former: id to start time of the servers that an earlier leader knew to differ; NULL when none
 * @inherited: addition to @score for what an earlier leader knew; it decays
 * @jobs: id to struct speed_job
 * @has_news: samples have come since the latest fit
 * @updated_at: time of the latest fit, monotonic ms; 0 before
 * @last_at: time of the latest sample, monotonic ms
 * @fits: number of fits
 * @share: share of servers of the slower class
 * @most_are_slow: the slower class is the typical one
 * @gap: log of the ratio of the two speeds
 * @spread: standard deviation of the slowness of tasks of one job
 * @job_spread: standard deviation of the offsets of the jobs of a queue
 * @difference: variance of the slowness between servers
 * @score: @difference in standard deviations of its estimate
 * @is_known: @score has become so high that neither chance nor short disturbances explain it
 */
struct speed {
	const struct fleet *fleet;
	struct speed_watch watch;
	struct speed_point *point;
	uint64_t first;
	uint64_t next;
	struct speed_slot *slot;
	unsigned int slots;
	json_t *former;
	double inherited;
	GHashTable *jobs;
	struct speed_queue queue[SPEED_QUEUES_MAX];
	bool has_news;
	int64_t updated_at;
	int64_t last_at;
	uint32_t fits;
	double share;
	bool most_are_slow;
	double gap;
	double spread;
	double job_spread;
	double difference;
	double score;
	bool is_known;
};

static inline struct speed_point *speed_point(const struct speed *s, uint64_t number)
{
	return &s->point[number % SPEED_SAMPLES_MAX];
}

#define SPEED_GAP_MIN 0.45     /* log 1.57: smaller differences are hidden by the spread */
#define SPEED_GAP_MAX 1.6      /* log 5 */
#define SPEED_SCORE_KNOWN 12.0 /* from which on speeds are used, see speed_fit.c */

/** speed_fit_init() - parameters that apply before the first sample */
void speed_fit_init(struct speed *s);
/** speed_fit() - estimate all parameters and the class probabilities of all slots */
void speed_fit(struct speed *s, int64_t now);
/** speed_excess() - excess of the slowest of @tasks over the mean, in standard deviations */
double speed_excess(unsigned int tasks);
/** speed_residual() - slowness of @p beyond what queue, job and the speed of its servers explain */
double speed_residual(const struct speed *s, const struct speed_point *p);

#endif
