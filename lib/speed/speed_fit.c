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
#define PERIOD_LIMIT 4.0 /* most evidence of one period: odds of 55 to 1 */
#define TOTAL_LIMIT 8.0	 /* three periods with the contrary result outweigh it */
#define HALF_LIFE_MS 60000.0
#define SHARE_START 0.5 /* the slower class may be the rare or the frequent one */
#define SHARE_MIN 0.02
#define SHARE_MAX 0.98
#define SHARE_PRIOR_SERVERS 2 /* weight of SHARE_START */
#define EFFECT_ROUNDS 4
#define EFFECT_PRIOR 0.5 /* weight of an effect of 0 in samples */
#define EFFECT_EVIDENCE_LIMIT 3.0
#define GAP_START 0.7 /* log 2 */
#define GAP_PRIOR 5   /* weight of GAP_START in samples */
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
#define DEVIATION_LIMIT 1.2 /* of one sample: bounds what a tail adds, and exceeds the gap */
/*
 * Bounds, with hysteresis. In pools of one speed the score stayed below 7, and below 10 where 4 %
 * of the servers were slow for 4 s at a time. With speeds of 0.55 and 1.2 the difference was 0.04
 * to 0.13 where one server in four had the rarer one, and 0.01 to 0.12 where one in ten had.
 */
#define SCORE_LOST 6.0
#define DIFFERENCE_KNOWN 0.02
#define DIFFERENCE_LOST 0.005

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

double speed_excess(unsigned int tasks)
{
	double p = (tasks - 0.375) / (tasks + 0.25);

	/* Blom's approximation with Tukey's of the quantile */
	return tasks < 2 ? 0 : 4.91 * (pow(p, 0.14) - pow(1 - p, 0.14));
}

/* slowness without the offsets of the queue and of the job */
static double raw_residual(const struct speed *s, const struct speed_point *p)
{
	return p->slowness - p->job->queue->offset - s->spread * p->excess;
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

static double chance_by(const struct speed *s, double total)
{
	return 1 / (1 + exp(-clamp(total, TOTAL_LIMIT)) * (1 - s->share) / s->share);
}

static double total_of(const struct speed_evidence *e)
{
	return e->total + clamp(e->sum, PERIOD_LIMIT);
}

/* probability that no server of the sample is slow */
static double all_fast(const struct speed *s, const struct speed_point *p)
{
	double product = 1;

	for (unsigned int i = 0; i < p->members; i++) {
		const struct speed_slot *slot = member_slot(s, &p->member[i]);

		product *= 1 - (slot ? slot->chance : s->share);
	}
	return product;
}

static void send_messages(struct speed *s, struct speed_point *p, int64_t now)
{
	struct likelihood l = likelihood(s, p);
	double fast = all_fast(s, p);
	double weight = age_weight(now - p->at);

	p->slow = (1 - fast) * l.slow / ((1 - fast) * l.slow + fast * l.fast);
	p->inlier = l.inlier;
	for (unsigned int i = 0; i < p->members; i++) {
		struct speed_slot *slot = member_slot(s, &p->member[i]);
		double others;

		if (!slot)
			continue;
		others = fast / (1 - slot->chance);
		p->member[i].message =
			(float)(weight * log(l.slow / (l.slow * (1 - others) + l.fast * others)));
		slot->samples++;
		add_evidence(&slot->evidence, p->at, p->member[i].message);
	}
}

static void reset_evidence(struct speed *s)
{
	for (unsigned int i = 1; i < s->slots; i++)
		s->slot[i].evidence = (struct speed_evidence){.total = s->slot[i].folded};
}

static void estimate_slots(struct speed *s, int64_t now)
{
	reset_evidence(s);
	for (unsigned int i = 1; i < s->slots; i++)
		s->slot[i].samples = 0;
	for (uint64_t n = s->first; n < s->next; n++)
		send_messages(s, speed_point(s, n), now);
	for (unsigned int i = 1; i < s->slots; i++) {
		struct speed_slot *slot = &s->slot[i];

		slot->chance = chance_by(s, total_of(&slot->evidence));
	}
}

/* ---- maximization ---- */

static void reset_jobs(struct speed *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct speed_job *job = value;

		job->weight = 0;
		job->sum = 0;
	}
}

static void estimate_jobs(struct speed *s)
{
	double shrink = s->spread * s->spread / (s->job_spread * s->job_spread);
	GHashTableIter iter;
	gpointer value;

	reset_jobs(s);
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

/* ---- start values ---- */

static void reset_sums(struct speed *s)
{
	for (unsigned int i = 1; i < s->slots; i++) {
		s->slot[i].weight = 0;
		s->slot[i].sum = 0;
		s->slot[i].squares = 0;
	}
}

static void reset_effects(struct speed *s)
{
	for (unsigned int i = 1; i < s->slots; i++)
		s->slot[i].effect = 0;
}

/* the server of a task that is no gang member */
static struct speed_slot *single_slot(const struct speed *s, const struct speed_point *p)
{
	return p->tasks == 1 ? member_slot(s, &p->member[0]) : NULL;
}

/* slowness of the single tasks of each job, without the effects of their servers */
static void sum_jobs(struct speed *s)
{
	reset_jobs(s);
	for (uint64_t n = s->first; n < s->next; n++) {
		const struct speed_point *p = speed_point(s, n);
		const struct speed_slot *slot = single_slot(s, p);

		if (!slot)
			continue;
		p->job->weight++;
		p->job->sum += p->slowness - slot->effect;
	}
}

/* of a single task from the mean of its job */
static double deviation_of(const struct speed_point *p)
{
	return clamp(p->slowness - p->job->sum / p->job->weight, DEVIATION_LIMIT);
}

/* alternates between the mean of each job and the effect of each server on its tasks */
static void estimate_effects(struct speed *s)
{
	reset_effects(s);
	for (int round = 0; round < EFFECT_ROUNDS; round++) {
		sum_jobs(s);
		reset_sums(s);
		for (uint64_t n = s->first; n < s->next; n++) {
			const struct speed_point *p = speed_point(s, n);
			struct speed_slot *slot = single_slot(s, p);
			double weight;

			if (!slot)
				continue;
			/* the only sample of a job tells nothing of its server */
			weight = 1 - 1 / p->job->weight;
			slot->weight += weight;
			slot->sum += weight * deviation_of(p);
		}
		for (unsigned int i = 1; i < s->slots; i++)
			s->slot[i].effect = s->slot[i].sum / (s->slot[i].weight + EFFECT_PRIOR);
	}
}

static gint compare_effects(gconstpointer a, gconstpointer b)
{
	const struct speed_slot *x = *(const struct speed_slot *const *)a;
	const struct speed_slot *y = *(const struct speed_slot *const *)b;

	return (x->effect > y->effect) - (x->effect < y->effect);
}

/* splits the servers in two where the sum of squares between the parts is largest */
static double split_effects(struct speed *s, const GPtrArray *sorted)
{
	double weight = 0;
	double sum = 0;
	double below = 0;
	double below_sum = 0;
	double best = 0;
	double middle = 0;

	for (guint i = 0; i < sorted->len; i++) {
		const struct speed_slot *slot = g_ptr_array_index(sorted, i);

		weight += slot->weight;
		sum += slot->weight * slot->effect;
	}
	for (guint i = 0; i + 1 < sorted->len; i++) {
		const struct speed_slot *slot = g_ptr_array_index(sorted, i);
		double faster;
		double slower;
		double between;

		below += slot->weight;
		below_sum += slot->weight * slot->effect;
		faster = below_sum / below;
		slower = (sum - below_sum) / (weight - below);
		between = below * (weight - below) * (slower - faster) * (slower - faster);
		if (between <= best)
			continue;
		best = between;
		middle = (faster + slower) / 2;
		s->gap = CLAMP(slower - faster, SPEED_GAP_MIN, SPEED_GAP_MAX);
		s->share = CLAMP(1 - (i + 1.0) / sorted->len, SHARE_MIN, SHARE_MAX);
	}
	return middle;
}

/*
 * The estimation ends in the nearest optimum. If it began with a small share of slow servers, it
 * would take the slowest ones of a frequent slower class for the whole class.
 */
static void start(struct speed *s)
{
	GPtrArray *sorted = g_ptr_array_new();
	double middle;

	estimate_effects(s);
	for (unsigned int i = 1; i < s->slots; i++)
		if (s->slot[i].is_used && s->slot[i].weight > 0)
			g_ptr_array_add(sorted, &s->slot[i]);
	g_ptr_array_sort(sorted, compare_effects);
	middle = split_effects(s, sorted);
	g_ptr_array_free(sorted, TRUE);
	for (unsigned int i = 1; i < s->slots; i++) {
		struct speed_slot *slot = &s->slot[i];
		double evidence =
			slot->weight * s->gap * (slot->effect - middle) / (s->spread * s->spread);

		slot->chance = slot->weight > 0
				       ? 1 / (1 + exp(-clamp(evidence, EFFECT_EVIDENCE_LIMIT)))
				       : s->share;
	}
	for (uint64_t n = s->first; n < s->next; n++) {
		struct speed_point *p = speed_point(s, n);

		p->slow = 1 - all_fast(s, p);
		p->inlier = 1;
	}
	estimate_jobs(s);
	estimate_queues(s);
}

/* ---- whether the servers differ ---- */

/*
 * Estimates the variance between servers as the mean product of the deviations of two tasks on the
 * same server. Its expectation is not above 0 where the servers have one speed, whatever the
 * distribution of run times is. The score is that mean in standard deviations that it would have
 * then. A deviation is taken from the mean of the job, so a wrong declared run time does not
 * count.
 */
static void compare_servers(struct speed *s)
{
	double products = 0;
	double pairs = 0;
	double tasks = 0;
	double variance = 0;

	reset_effects(s);
	sum_jobs(s);
	reset_sums(s);
	for (uint64_t n = s->first; n < s->next; n++) {
		const struct speed_point *p = speed_point(s, n);
		struct speed_slot *slot = single_slot(s, p);
		double deviation;

		if (!slot || p->job->weight < 2)
			continue;
		deviation = deviation_of(p);
		slot->weight++;
		slot->sum += deviation;
		slot->squares += deviation * deviation;
	}
	for (unsigned int i = 1; i < s->slots; i++) {
		const struct speed_slot *slot = &s->slot[i];

		products += slot->sum * slot->sum - slot->squares;
		pairs += slot->weight * (slot->weight - 1);
		tasks += slot->weight;
		variance += slot->squares;
	}
	variance /= MAX(tasks, 1);
	s->difference = pairs > 0 ? products / pairs : 0;
	s->score = variance > 0 && pairs > 0 ? products / (variance * sqrt(2 * pairs)) : 0;
}

/* what an earlier leader knew holds until the own samples, or the time, outweigh it */
static void decide_known(struct speed *s)
{
	double score = s->score + s->inherited;
	bool is_inherited = s->inherited > SCORE_LOST;

	if (score >= SPEED_SCORE_KNOWN && (is_inherited || s->difference >= DIFFERENCE_KNOWN))
		s->is_known = true;
	else if (score <= SCORE_LOST || (!is_inherited && s->difference <= DIFFERENCE_LOST))
		s->is_known = false;
}

void speed_fit(struct speed *s, int64_t now)
{
	double decay = s->updated_at ? age_weight(now - s->updated_at) : 1;

	s->inherited *= decay;
	for (unsigned int i = 1; i < s->slots; i++)
		s->slot[i].folded *= decay;
	compare_servers(s);
	if (!s->is_known)
		start(s);
	for (int sweep = 0; sweep < SWEEPS; sweep++) {
		estimate_jobs(s);
		estimate_slots(s, now);
		estimate_queues(s);
		estimate_spread(s);
		estimate_share(s);
	}
	estimate_jobs(s);
	decide_known(s);
}
