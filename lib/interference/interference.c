#include "interference.h"

#include <math.h>
#include <string.h>

/* A workload is evaluated after this many new samples, which bounds the processor time. */
#define SAMPLES_PER_CHECK 16
#define TESTED_MAX 32 /* neighbours of a workload that are evaluated, the first ones seen */

/*
 * With 64 workloads up to 4,096 pairs are tested again and again. Chance exceeds 4 standard
 * deviations in 1 of 30,000 tests of pairs that do not slow each other.
 */
#define SCORE_MIN 4.0
/* Less is not worth moving a task for: best fit and the speed of servers matter more. */
#define SLOWDOWN_MIN 1.2
/* A slow-down up to this is not counted as one when two tasks are compared. */
#define SLOWDOWN_MARGIN 1.1
#define UNITS_MIN 8   /* jobs on servers, with and without the other each */
#define JOBS_MIN 3    /* with tasks beside the other */
#define SERVERS_MIN 4 /* where tasks ran with and without the other */
/* of the comparison on the same servers, which only confirms that of the jobs */
#define SERVER_SCORE_MIN 2.5
/* Against half of a known slow-down. Less would drop pairs that are rarely seen once kept apart. */
#define REFUTING_SCORE 2.5

struct sample {
	uint64_t job;
	uint64_t server;
	int64_t at;
	double pace; /* logarithm */
	unsigned int beside_count;
	uint64_t beside[INTERFERENCE_BESIDE_MAX];
};

/**
 * struct workload - samples of one workload
 * @sample: ring of INTERFERENCE_SAMPLES_MAX
 * @count: samples in the ring
 * @next: index of the one written next
 * @unchecked: samples since the last evaluation
 */
struct workload {
	uint64_t id;
	struct sample *sample;
	unsigned int count;
	unsigned int next;
	unsigned int unchecked;
	int64_t sampled_at;
};

struct interference {
	struct workload workload[INTERFERENCE_WORKLOADS_MAX];
	unsigned int workload_count;
	struct interference_pair pair[INTERFERENCE_PAIRS_MAX];
	unsigned int pair_count;
};

struct interference *interference_new(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct interference);
}

/* ---- pairs ---- */

static double decayed(const struct interference_pair *pair, int64_t now)
{
	double age = (double)MAX(now - pair->seen_at, 0);

	return 1 + (pair->slowdown - 1) * exp2(-age / INTERFERENCE_HALF_LIFE_MS);
}

static bool is_known(const struct interference_pair *pair, int64_t now)
{
	return decayed(pair, now) >= SLOWDOWN_MARGIN;
}

static struct interference_pair *find_pair(struct interference *in, uint64_t workload,
					   uint64_t other)
{
	for (unsigned int i = 0; i < in->pair_count; i++)
		if (in->pair[i].workload == workload && in->pair[i].other == other)
			return &in->pair[i];
	return NULL;
}

static void forget_old_pairs(struct interference *in, int64_t now)
{
	unsigned int kept = 0;

	for (unsigned int i = 0; i < in->pair_count; i++)
		if (is_known(&in->pair[i], now))
			in->pair[kept++] = in->pair[i];
	in->pair_count = kept;
}

unsigned int interference_pairs(const struct interference *in, int64_t now)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < in->pair_count; i++)
		n += is_known(&in->pair[i], now);
	return n;
}

double interference_slowdown(const struct interference *in, uint64_t workload, uint64_t other,
			     int64_t now)
{
	for (unsigned int i = 0; i < in->pair_count; i++) {
		const struct interference_pair *pair = &in->pair[i];

		if (pair->workload == workload && pair->other == other && is_known(pair, now))
			return decayed(pair, now);
	}
	return 1;
}

unsigned int interference_costs(const struct interference *in, uint64_t workload, int64_t now,
				struct interference_cost *costs)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < in->pair_count; i++) {
		const struct interference_pair *pair = &in->pair[i];
		uint64_t other = pair->workload == workload ? pair->other : pair->workload;
		unsigned int k = 0;

		if ((pair->workload != workload && pair->other != workload) || !is_known(pair, now))
			continue;
		while (k < n && costs[k].other != other)
			k++;
		if (k == INTERFERENCE_COSTS_MAX)
			continue;
		if (k == n)
			costs[n++] = (struct interference_cost){.other = other};
		/* beside its own workload, both tasks slow down */
		costs[k].cost += (decayed(pair, now) - 1) * (pair->workload == pair->other ? 2 : 1);
	}
	return n;
}

/* ---- samples ---- */

static struct workload *find_or_add_workload(struct interference *in, uint64_t id)
{
	struct workload *w = &in->workload[0];

	for (unsigned int i = 0; i < in->workload_count; i++) {
		if (in->workload[i].id == id)
			return &in->workload[i];
		if (in->workload[i].sampled_at < w->sampled_at)
			w = &in->workload[i];
	}
	if (in->workload_count < INTERFERENCE_WORKLOADS_MAX) {
		w = &in->workload[in->workload_count++];
		w->sample = talloc_array(in, struct sample, INTERFERENCE_SAMPLES_MAX);
	}
	w->id = id;
	w->count = 0;
	w->next = 0;
	w->unchecked = 0;
	return w;
}

static void add_sample(struct workload *w, const struct interference_sample *s)
{
	struct sample *to = &w->sample[w->next];

	*to = (struct sample){.job = s->job,
			      .server = s->server,
			      .at = s->at,
			      .pace = log(s->ratio),
			      .beside_count = s->beside_count};
	memcpy(to->beside, s->beside, s->beside_count * sizeof(*s->beside));
	w->next = (w->next + 1) % INTERFERENCE_SAMPLES_MAX;
	w->count = MIN(w->count + 1, INTERFERENCE_SAMPLES_MAX);
	w->unchecked++;
	w->sampled_at = s->at;
}

static bool ran_beside(const struct sample *s, uint64_t other)
{
	for (unsigned int i = 0; i < s->beside_count; i++)
		if (s->beside[i] == other)
			return true;
	return false;
}

/* ---- comparison ---- */

/**
 * struct unit - tasks of a job on one server that count once
 * @is_beside: they ran beside the other workload
 * @pace: median of the logarithms of their paces
 */
struct unit {
	uint64_t job;
	uint64_t server;
	bool is_beside;
	double pace;
};

/**
 * struct test - comparison of a workload with and without another beside it
 * @count: units in use
 * @margin: logarithm of the slow-down up to which a unit does not count as slower
 * @excess: sum of the weighted differences of ranks from what chance makes expected
 * @variance: of @excess
 * @difference: for each stratum, the difference of the median paces
 * @strata: entries in use
 */
struct test {
	struct unit unit[INTERFERENCE_SAMPLES_MAX];
	unsigned int count;
	double margin;
	double excess;
	double variance;
	struct difference {
		double pace;
		double weight;
	} difference[INTERFERENCE_SAMPLES_MAX];
	unsigned int strata;
	unsigned int units_beside;
	unsigned int jobs_beside;
	unsigned int servers_beside;
	int64_t seen_at;
};

static int compare_number(uint64_t a, uint64_t b)
{
	return a < b ? -1 : a > b;
}

static int compare_pace(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double median(double *v, unsigned int n)
{
	qsort(v, n, sizeof(*v), compare_pace);
	return n % 2 ? v[n / 2] : (v[n / 2 - 1] + v[n / 2]) / 2;
}

static int compare_by_job(const void *a, const void *b)
{
	const struct unit *x = a;
	const struct unit *y = b;
	int by_job = compare_number(x->job, y->job);
	int by_server = compare_number(x->server, y->server);

	if (by_job)
		return by_job;
	return by_server ? by_server : (int)x->is_beside - (int)y->is_beside;
}

static int compare_by_server(const void *a, const void *b)
{
	return compare_number(((const struct unit *)a)->server, ((const struct unit *)b)->server);
}

/* joins the units that count once; they are sorted by compare_by_job() */
static void merge_units(struct test *t)
{
	double pace[INTERFERENCE_SAMPLES_MAX];
	unsigned int merged = 0;
	unsigned int n = 0;

	for (unsigned int i = 0; i < t->count; i++) {
		pace[n++] = t->unit[i].pace;
		if (i + 1 < t->count && !compare_by_job(&t->unit[i], &t->unit[i + 1]))
			continue;
		t->unit[merged] = t->unit[i];
		t->unit[merged++].pace = median(pace, n);
		n = 0;
	}
	t->count = merged;
}

/* median pace of those of @n units that ran beside the other, or of the rest; NAN without any */
static double median_of(const struct unit *u, unsigned int n, bool is_beside)
{
	double pace[INTERFERENCE_SAMPLES_MAX];
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++)
		if (u[i].is_beside == is_beside)
			pace[count++] = u[i].pace;
	return count ? median(pace, count) : NAN;
}

static unsigned int count_beside(const struct unit *u, unsigned int n)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++)
		count += u[i].is_beside;
	return count;
}

static void add_difference(struct test *t, const struct unit *u, unsigned int n)
{
	double beside = count_beside(u, n);

	t->difference[t->strata++] =
		(struct difference){.pace = median_of(u, n, false) - median_of(u, n, true),
				    .weight = beside * (n - beside) / n};
}

/* adds one stratum of the rank test of van Elteren: units that chance may exchange */
static void add_stratum(struct test *t, const struct unit *u, unsigned int n)
{
	unsigned int beside = count_beside(u, n);
	double pairs = (double)beside * (n - beside);
	double slower = 0;

	if (pairs <= 0)
		return;
	for (unsigned int i = 0; i < n; i++)
		for (unsigned int k = 0; u[i].is_beside && k < n; k++)
			slower += !u[k].is_beside && u[i].pace + t->margin < u[k].pace;
	t->excess += (slower - pairs / 2) / (n + 1);
	t->variance += pairs / (12 * (n + 1));
	add_difference(t, u, n);
}

/* Jobs with units of both kinds are a stratum each; the others together are one. */
static void add_strata_of_jobs(struct test *t)
{
	struct unit single[INTERFERENCE_SAMPLES_MAX];
	unsigned int singles = 0;
	unsigned int n;

	for (unsigned int first = 0; first < t->count; first += n) {
		const struct unit *u = &t->unit[first];
		unsigned int beside;

		for (n = 1; first + n < t->count && u[n].job == u->job;)
			n++;
		beside = count_beside(u, n);
		t->jobs_beside += beside > 0;
		if (beside && beside < n) {
			add_stratum(t, u, n);
			continue;
		}
		single[singles] = *u;
		single[singles++].pace = median_of(u, n, u->is_beside);
	}
	add_stratum(t, single, singles);
}

/* standard deviations by which the workload is slower beside the other than by chance */
static double score_of(const struct test *t)
{
	return t->variance > 0 ? t->excess / sqrt(t->variance) : 0;
}

static int compare_difference(const void *a, const void *b)
{
	return compare_pace(&((const struct difference *)a)->pace,
			    &((const struct difference *)b)->pace);
}

/* weighted median of the differences, 0 when there are none */
static double typical_difference(struct test *t)
{
	double sum = 0;
	double half = 0;

	qsort(t->difference, t->strata, sizeof(*t->difference), compare_difference);
	for (unsigned int i = 0; i < t->strata; i++)
		half += t->difference[i].weight / 2;
	for (unsigned int i = 0; i < t->strata; i++) {
		sum += t->difference[i].weight;
		if (sum >= half)
			return t->difference[i].pace;
	}
	return 0;
}

/*
 * Makes paces relative to those of the job without the other, so that servers can be compared. A
 * job with a single unit, such as a gang, is compared with all jobs. A job with several units of
 * which none is without the other is left out: how wrong its declared run time is isn't known,
 * and is the same for all of its units.
 */
static void subtract_paces_of_jobs(struct test *t)
{
	double all = median_of(t->unit, t->count, false);
	unsigned int kept = 0;
	unsigned int n;

	for (unsigned int first = 0; first < t->count; first += n) {
		const struct unit *u = &t->unit[first];
		double usual;

		for (n = 1; first + n < t->count && u[n].job == u->job;)
			n++;
		usual = n > 1 ? median_of(u, n, false) : all;
		for (unsigned int k = 0; k < n && !isnan(usual); k++) {
			t->unit[kept] = u[k];
			t->unit[kept++].pace -= usual;
		}
	}
	t->count = kept;
}

static void count_servers_beside(struct test *t)
{
	uint64_t last = 0;

	qsort(t->unit, t->count, sizeof(*t->unit), compare_by_server);
	for (unsigned int i = 0; i < t->count; i++) {
		const struct unit *u = &t->unit[i];

		if (!u->is_beside || (t->servers_beside && u->server == last))
			continue;
		t->servers_beside++;
		last = u->server;
	}
	qsort(t->unit, t->count, sizeof(*t->unit), compare_by_job);
}

static void clear_strata(struct test *t)
{
	t->strata = 0;
	t->excess = 0;
	t->variance = 0;
}

/* Compares tasks on the same servers; returns the number of servers that have both kinds. */
static unsigned int add_strata_of_servers(struct test *t)
{
	unsigned int contrasts = 0;
	unsigned int n;

	clear_strata(t);
	subtract_paces_of_jobs(t);
	qsort(t->unit, t->count, sizeof(*t->unit), compare_by_server);
	for (unsigned int first = 0; first < t->count; first += n) {
		const struct unit *u = &t->unit[first];
		unsigned int beside;

		for (n = 1; first + n < t->count && u[n].server == u->server;)
			n++;
		beside = count_beside(u, n);
		if (beside && beside < n) {
			add_stratum(t, u, n);
			contrasts++;
		}
	}
	return contrasts;
}

/*
 * The servers may be slow for another reason, and work that can wait may run on slow servers by
 * choice: the workload must be slower beside the other on the same servers as well.
 */
static bool is_slower_on_servers(struct test *t)
{
	count_servers_beside(t);
	return add_strata_of_servers(t) >= SERVERS_MIN && score_of(t) >= SERVER_SCORE_MIN &&
	       typical_difference(t) >= log(SLOWDOWN_MARGIN);
}

/* Samples beside another workload that is known to slow this one say nothing about @other. */
static bool is_explained(struct interference *in, const struct workload *w, const struct sample *s,
			 uint64_t other)
{
	for (unsigned int i = 0; i < s->beside_count; i++)
		if (s->beside[i] != other && find_pair(in, w->id, s->beside[i]))
			return true;
	return false;
}

static void collect_units(struct interference *in, const struct workload *w, uint64_t other,
			  int64_t now, struct test *t)
{
	for (unsigned int i = 0; i < w->count; i++) {
		const struct sample *s = &w->sample[i];
		bool is_beside = ran_beside(s, other);

		if (s->at < now - INTERFERENCE_SAMPLE_AGE_MS || is_explained(in, w, s, other))
			continue;
		if (is_beside)
			t->seen_at = MAX(t->seen_at, s->at);
		t->unit[t->count++] = (struct unit){.job = s->job,
						    .server = s->server,
						    .is_beside = is_beside,
						    .pace = s->pace};
	}
	qsort(t->unit, t->count, sizeof(*t->unit), compare_by_job);
	merge_units(t);
	t->units_beside = count_beside(t->unit, t->count);
}

static bool has_enough_units(const struct test *t)
{
	return t->units_beside >= UNITS_MIN && t->count - t->units_beside >= UNITS_MIN;
}

/* whether @w is clearly slower beside @other; if so, fills @pair */
static bool is_slower_beside(struct interference *in, const struct workload *w, uint64_t other,
			     int64_t now, struct interference_pair *pair)
{
	struct test t = {.margin = log(SLOWDOWN_MARGIN)};
	double difference;
	double score;

	collect_units(in, w, other, now, &t);
	if (!has_enough_units(&t))
		return false;
	add_strata_of_jobs(&t);
	score = score_of(&t);
	difference = typical_difference(&t);
	if (score < SCORE_MIN || difference < log(SLOWDOWN_MIN) || t.jobs_beside < JOBS_MIN ||
	    !is_slower_on_servers(&t))
		return false;
	*pair = (struct interference_pair){.workload = w->id,
					   .other = other,
					   .slowdown = exp(difference),
					   .score = score,
					   .jobs = t.jobs_beside,
					   .servers = t.servers_beside,
					   .found_at = now,
					   .seen_at = t.seen_at};
	return true;
}

/* whether a slow-down by half of what is known is clearly not there, in jobs or on servers */
static bool is_refuted(struct interference *in, const struct workload *w,
		       const struct interference_pair *known, int64_t now)
{
	struct test t = {.margin = log(known->slowdown) / 2};

	collect_units(in, w, known->other, now, &t);
	if (!has_enough_units(&t))
		return false;
	add_strata_of_jobs(&t);
	if (score_of(&t) <= -REFUTING_SCORE)
		return true;
	return add_strata_of_servers(&t) >= SERVERS_MIN && score_of(&t) <= -REFUTING_SCORE;
}

static unsigned int list_others(const struct workload *w, uint64_t *other)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < w->count; i++) {
		for (unsigned int k = 0; k < w->sample[i].beside_count; k++) {
			unsigned int at = 0;

			while (at < n && other[at] != w->sample[i].beside[k])
				at++;
			if (at == n && n < TESTED_MAX)
				other[n++] = w->sample[i].beside[k];
		}
	}
	return n;
}

/*
 * Refreshes the pairs of the workload. Of new ones only the clearest is taken: others may owe
 * their difference to it, and are tested again without the samples that it explains.
 */
static const struct interference_pair *check(struct interference *in, const struct workload *w,
					     int64_t now)
{
	uint64_t other[TESTED_MAX];
	unsigned int n = list_others(w, other);
	struct interference_pair best = {.score = 0};
	struct interference_pair pair;

	forget_old_pairs(in, now);
	for (unsigned int i = 0; i < n; i++) {
		struct interference_pair *known = find_pair(in, w->id, other[i]);

		if (!is_slower_beside(in, w, other[i], now, &pair)) {
			if (known && is_refuted(in, w, known, now))
				*known = in->pair[--in->pair_count];
		} else if (known) {
			pair.found_at = known->found_at;
			*known = pair;
		} else if (pair.score > best.score) {
			best = pair;
		}
	}
	if (best.score <= 0 || in->pair_count == INTERFERENCE_PAIRS_MAX)
		return NULL;
	in->pair[in->pair_count] = best;
	return &in->pair[in->pair_count++];
}

const struct interference_pair *interference_note(struct interference *in,
						  const struct interference_sample *sample)
{
	struct workload *w;

	if (!isfinite(sample->ratio) || sample->ratio <= 0 ||
	    sample->beside_count > INTERFERENCE_BESIDE_MAX)
		return NULL;
	w = find_or_add_workload(in, sample->workload);
	add_sample(w, sample);
	if (w->unchecked < SAMPLES_PER_CHECK)
		return NULL;
	w->unchecked = 0;
	return check(in, w, sample->at);
}
