/*
 * Estimation of the speeds of servers.
 *
 * Load pattern: see speed.h. The model has two speeds. Each sample gives each of its servers a log
 * likelihood ratio of the slower one, given what is known of the other servers: a slow gang
 * counts little against a server when another one explains it, and a fast gang clears all. Tails
 * and outliers have a density of their own, so that a sample has a bounded weight.
 *
 * Load pattern: a server is slow for seconds, or tasks that run there together slow each other
 * down. All samples of one period are therefore one piece of evidence, with a bounded weight.
 */
#include "speed_fit.h"

#include <math.h>
#include <string.h>

#define SWEEPS 3
#define PERIOD_MS 5000	 /* samples within it are not independent */
#define PERIOD_LIMIT 3.0 /* most evidence of one period: odds of 20 to 1 */
#define TOTAL_LIMIT 8.0	 /* three periods with the contrary result outweigh it */
#define HALF_LIFE_MS 60000.0
#define SHARE_START 0.15
#define SHARE_MIN 0.02
#define SHARE_MAX 0.75
#define SHARE_PRIOR_SERVERS 10 /* weight of SHARE_START */
#define GAP_START 0.7	       /* log 2 */
#define GAP_PRIOR 5	       /* weight of GAP_START in samples */
#define SPREAD_START 0.3
#define SPREAD_MIN 0.15
#define SPREAD_MAX 0.45
#define JOB_SPREAD_START 0.4 /* of run times that are 0.5 to 1.5 times the declared ones */
#define JOB_SPREAD_MIN 0.1
#define JOB_SPREAD_MAX 0.9
#define SPREAD_PRIOR 30	   /* weight of the start values in samples */
#define QUEUE_PRIOR 0.5	   /* weight of an offset of 0 in samples */
#define TAIL_SHARE 0.04	   /* of tasks that are outliers */
#define TAIL_SHARE_MAX 0.3 /* of gangs */
#define TAIL_MEAN 0.8	   /* outliers are mostly slow: 7 times is 1.95 */
#define TAIL_SPREAD 1.2
#define SHARE_ROUNDS 4
#define QUEUE_SHARE_MIN 0.002 /* the estimation does not leave 0 or 1 again */

void speed_fit_init(struct speed *s)
{
	s->share = SHARE_START;
	s->gap = GAP_START;
	s->spread = SPREAD_START;
	s->job_spread = JOB_SPREAD_START;
}

static double age_weight(int64_t age_ms)
{
	return exp2(-(double)age_ms / HALF_LIFE_MS);
}

static double normal(double x, double variance)
{
	return exp(-x * x / (2 * variance)) / sqrt(2 * G_PI * variance);
}

/* expected excess of the slowest of @n tasks over the mean, in standard deviations */
static double expected_maximum(unsigned int n)
{
	double p = (n - 0.375) / (n + 0.25);

	/* Blom's approximation with Tukey's of the quantile */
	return n < 2 ? 0 : 4.91 * (pow(p, 0.14) - pow(1 - p, 0.14));
}

/* slowness without the offsets of the queue and of the job */
static double raw_residual(const struct speed *s, const struct speed_point *p)
{
	return p->slowness - p->job->queue->offset - s->spread * expected_maximum(p->tasks);
}

double speed_residual(const struct speed *s, const struct speed_point *p)
{
	return raw_residual(s, p) - p->job->offset - p->slow * s->gap;
}

/* ---- expectation ---- */

/* a sample as if one of its servers were slow, and as if none were */
struct likelihood {
	double slow;
	double fast;
	double z; /* residual if none were slow */
	double inlier;
};

static struct likelihood likelihood(const struct speed *s, const struct speed_point *p)
{
	double shrink = s->spread * s->spread / (s->job_spread * s->job_spread);
	double raw = raw_residual(s, p);
	/* the job's offset by its other samples only */
	double weight = MAX(p->job->weight - p->inlier, 0) + shrink;
	double sum = p->job->sum - p->inlier * (raw - p->slow * s->gap);
	double variance = s->spread * s->spread * (1 + 1 / weight);
	double z = raw - sum / weight;
	double tails = MIN(TAIL_SHARE * p->tasks, TAIL_SHARE_MAX);
	double tail = tails * normal(z - TAIL_MEAN, TAIL_SPREAD * TAIL_SPREAD);
	double slow = (1 - tails) * normal(z - s->gap, variance);
	double fast = (1 - tails) * normal(z, variance);
	double chance = p->slow;

	return (struct likelihood){.slow = slow + tail,
				   .fast = fast + tail,
				   .z = z,
				   .inlier =
					   1 - tail / (tail + chance * slow + (1 - chance) * fast)};
}

static struct speed_slot *member_slot(const struct speed *s, const struct speed_member *m)
{
	struct speed_slot *slot = &s->slot[m->slot];

	return slot->is_used && slot->serial == m->serial ? slot : NULL;
}

static double clamp(double x, double limit)
{
	return x > limit ? limit : x < -limit ? -limit : x;
}

static void add_evidence(struct speed_evidence *e, int64_t at, double message)
{
	int64_t period = at / PERIOD_MS;

	if (e->period != period) {
		e->total = clamp(e->total + clamp(e->sum, PERIOD_LIMIT), TOTAL_LIMIT);
		e->sum = 0;
		e->period = period;
	}
	e->sum += message;
}

static double chance_by(const struct speed *s, const struct speed_evidence *e)
{
	double total = e->total + clamp(e->sum, PERIOD_LIMIT);

	return 1 / (1 + exp(-clamp(total, TOTAL_LIMIT)) * (1 - s->share) / s->share);
}

/* probability that no server of the sample is slow */
static double all_fast(const struct speed *s, const struct speed_point *p, bool before)
{
	double product = 1;

	for (unsigned int i = 0; i < p->members; i++) {
		const struct speed_slot *slot = member_slot(s, &p->member[i]);
		double chance = !slot ? s->share : before ? slot->chance_before : slot->chance;

		product *= 1 - chance;
	}
	return product;
}

static void send_messages(struct speed *s, struct speed_point *p, int64_t now)
{
	struct likelihood l = likelihood(s, p);
	double fast = all_fast(s, p, false);
	double weight = age_weight(now - p->at);

	p->slow = (1 - fast) * l.slow / ((1 - fast) * l.slow + fast * l.fast);
	p->inlier = l.inlier;
	p->odds = l.slow / l.fast;
	for (unsigned int i = 0; i < p->members; i++) {
		struct speed_slot *slot = member_slot(s, &p->member[i]);
		double others;

		if (!slot)
			continue;
		others = fast / (1 - slot->chance);
		p->member[i].message =
			(float)(weight * log(l.slow / (l.slow * (1 - others) + l.fast * others)));
		slot->samples++;
		add_evidence(&slot->now, p->at, p->member[i].message);
		if (p->at < now - PERIOD_MS)
			add_evidence(&slot->before, p->at, p->member[i].message);
	}
}

static void estimate_slots(struct speed *s, int64_t now)
{
	for (unsigned int i = 1; i < s->slots; i++) {
		struct speed_slot *slot = &s->slot[i];

		slot->samples = 0;
		slot->now = (struct speed_evidence){.total = slot->folded};
		slot->before = (struct speed_evidence){.total = slot->folded};
	}
	for (uint64_t n = s->first; n < s->next; n++)
		send_messages(s, speed_point(s, n), now);
	for (unsigned int i = 1; i < s->slots; i++) {
		struct speed_slot *slot = &s->slot[i];

		slot->chance = chance_by(s, &slot->now);
		slot->chance_before = chance_by(s, &slot->before);
	}
}

/* ---- maximization ---- */

static void estimate_jobs(struct speed *s)
{
	double shrink = s->spread * s->spread / (s->job_spread * s->job_spread);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct speed_job *job = value;

		job->weight = 0;
		job->sum = 0;
	}
	for (uint64_t n = s->first; n < s->next; n++) {
		const struct speed_point *p = speed_point(s, n);

		p->job->weight += p->inlier;
		p->job->sum += p->inlier * (raw_residual(s, p) - p->slow * s->gap);
	}
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct speed_job *job = value;

		job->offset = job->sum / (job->weight + shrink);
	}
}

/* each job counts once, as its declared run time is wrong for all its tasks alike */
static void estimate_queues(struct speed *s)
{
	double spread2 = s->spread * s->spread;
	double job2 = s->job_spread * s->job_spread;
	double variance = SPREAD_PRIOR * JOB_SPREAD_START * JOB_SPREAD_START;
	double weight = SPREAD_PRIOR;
	GHashTableIter iter;
	gpointer value;

	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++) {
		s->queue[i].weight = QUEUE_PRIOR / job2;
		s->queue[i].sum = 0;
	}
	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct speed_job *job = value;
		double mean = job->weight > 0 ? job->sum / job->weight : 0;
		double noise = job->weight > 0 ? spread2 / job->weight : 0;

		if (job->weight <= 0.1)
			continue;
		job->queue->weight += 1 / (job2 + noise);
		job->queue->sum += (mean + job->queue->offset) / (job2 + noise);
		variance += clamp(mean * mean, 4 * JOB_SPREAD_MAX * JOB_SPREAD_MAX) - noise;
		weight++;
	}
	s->job_spread = CLAMP(sqrt(MAX(variance / weight, 0)), JOB_SPREAD_MIN, JOB_SPREAD_MAX);
	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++)
		if (s->queue[i].jobs)
			s->queue[i].offset = s->queue[i].sum / s->queue[i].weight;
}

static void estimate_spread(struct speed *s)
{
	double variance = SPREAD_PRIOR * SPREAD_START * SPREAD_START;
	double weight = SPREAD_PRIOR;
	double gap = GAP_PRIOR * GAP_START;
	double gap_weight = GAP_PRIOR;

	for (uint64_t n = s->first; n < s->next; n++) {
		const struct speed_point *p = speed_point(s, n);
		double z;
		double r;

		z = raw_residual(s, p) - p->job->offset;
		r = p->inlier * p->slow;
		gap += r * z;
		gap_weight += r;
		/* a job with few samples has an offset that fits them too well */
		if (p->job->weight < 4)
			continue;
		z = (1 - p->slow) * z * z + p->slow * (z - s->gap) * (z - s->gap);
		variance += p->inlier * z * p->job->weight / (p->job->weight - 1);
		weight += p->inlier;
	}
	s->gap = CLAMP(gap / gap_weight, SPEED_GAP_MIN, SPEED_GAP_MAX);
	s->spread = CLAMP(sqrt(variance / weight), SPREAD_MIN, SPREAD_MAX);
}

static void estimate_share(struct speed *s)
{
	double sum = SHARE_PRIOR_SERVERS * SHARE_START;
	double weight = SHARE_PRIOR_SERVERS;

	for (unsigned int i = 1; i < s->slots; i++) {
		if (!s->slot[i].is_used || !s->slot[i].samples)
			continue;
		sum += s->slot[i].chance;
		weight++;
	}
	s->share = CLAMP(sum / weight, SHARE_MIN, SHARE_MAX);
}

/* ---- whether the servers differ ---- */

/*
 * Each sample was predicted with what earlier periods told of its servers. That is compared with
 * the best prediction that does not know the servers: the share of samples with a slow server
 * that fits all samples of the queue and size best; servers of which nothing is known are
 * predicted alike by both. Where the servers have one speed, the former
 * is not better on average, whatever the distribution of run times is. It must not depend on the
 * sample, so it is kept from before the sample is known.
 */
double speed_predict(const struct speed *s, const struct speed_point *p)
{
	double fast = all_fast(s, p, true);
	double unknown = pow(1 - s->share, p->members);

	return log((1 - fast) / fast) - log((1 - unknown) / unknown);
}

static unsigned int size_of(const struct speed_point *p)
{
	unsigned int size = 0;

	while (size < SPEED_SIZES - 1 && p->members > 1U << size)
		size++;
	return size;
}

static void estimate_queue_shares(struct speed *s)
{
	for (unsigned int i = 0; i < SPEED_QUEUES_MAX; i++) {
		struct speed_queue *q = &s->queue[i];

		for (unsigned int k = 0; q->jobs && k < SPEED_SIZES; k++) {
			/* starts at the middle, so that any share is reached within some rounds */
			q->share[k] = q->counted[k] > 0 ? q->slow[k] / q->counted[k] : 0.5;
			q->share[k] = CLAMP(q->share[k], QUEUE_SHARE_MIN, 1 - QUEUE_SHARE_MIN);
			q->counted[k] = 0;
			q->slow[k] = 0;
		}
	}
	for (uint64_t n = s->first; n < s->next; n++) {
		const struct speed_point *p = speed_point(s, n);
		unsigned int size = size_of(p);
		double share = p->job->queue->share[size];

		p->job->queue->counted[size]++;
		p->job->queue->slow[size] += share * p->odds / (share * p->odds + 1 - share);
	}
}

static void score(struct speed *s)
{
	s->score = s->inherited;
	for (int round = 0; round < SHARE_ROUNDS; round++)
		estimate_queue_shares(s);
	for (uint64_t n = s->first; n < s->next; n++) {
		const struct speed_point *p = speed_point(s, n);
		double share = p->job->queue->share[size_of(p)];
		double predicted = 1 / (1 + (1 - share) / share * exp(-p->predicted));

		s->score +=
			log((predicted * p->odds + 1 - predicted) / (share * p->odds + 1 - share));
	}
	if (s->score >= SPEED_SCORE_KNOWN)
		s->is_known = true;
	else if (s->score <= 0)
		s->is_known = false;
}

void speed_fit(struct speed *s, int64_t now)
{
	double decay = s->updated_at ? age_weight(now - s->updated_at) : 1;

	s->inherited *= decay;
	for (unsigned int i = 1; i < s->slots; i++)
		s->slot[i].folded *= decay;
	for (int sweep = 0; sweep < SWEEPS; sweep++) {
		estimate_jobs(s);
		estimate_slots(s, now);
		estimate_queues(s);
		estimate_spread(s);
		estimate_share(s);
	}
	estimate_jobs(s);
	score(s);
}
