#include "baseline.h"

struct baseline {
	enum baseline_mode mode;
	int server_count;
	int rack_count;
	int server_rack[16384];
	int64_t free[16384];
};

struct baseline *baseline_new(TALLOC_CTX *ctx, enum baseline_mode mode)
{
	struct baseline *b = talloc_zero(ctx, struct baseline);

	b->mode = mode;
	return b;
}

void baseline_add_server(struct baseline *b, int rack, int64_t accelerators)
{
	b->server_rack[b->server_count] = rack;
	b->free[b->server_count++] = accelerators;
	b->rack_count = MAX(b->rack_count, rack + 1);
}

static int choose_server(const struct baseline *b, int64_t accelerators, int rack)
{
	int best = -1;

	for (int i = 0; i < b->server_count; i++) {
		if (b->free[i] < accelerators || (rack >= 0 && b->server_rack[i] != rack))
			continue;
		if (b->mode == FIRST_FIT)
			return i;
		if (best < 0 || b->free[i] < b->free[best])
			best = i;
	}
	return best;
}

static bool place_tasks(struct baseline *b, struct baseline_job *job, int rack)
{
	int64_t n;

	for (n = 0; n < job->tasks; n++) {
		int s = choose_server(b, job->accelerators, rack);

		if (s < 0)
			break;
		b->free[s] -= job->accelerators;
		job->servers[n] = s;
	}
	if (n == job->tasks)
		return true;
	while (n-- > 0)
		b->free[job->servers[n]] += job->accelerators;
	return false;
}

bool baseline_place(struct baseline *b, struct baseline_job *job)
{
	if (!job->one_rack)
		return place_tasks(b, job, -1);
	for (int r = 0; r < b->rack_count; r++)
		if (place_tasks(b, job, r))
			return true;
	return false;
}

void baseline_release(struct baseline *b, struct baseline_job *job)
{
	for (int64_t n = 0; n < job->tasks; n++)
		b->free[job->servers[n]] += job->accelerators;
}

int64_t baseline_free_accelerators(const struct baseline *b)
{
	int64_t sum = 0;

	for (int i = 0; i < b->server_count; i++)
		sum += b->free[i];
	return sum;
}

int64_t baseline_startable_tasks(const struct baseline *b, int64_t accelerators)
{
	int64_t sum = 0;

	for (int i = 0; i < b->server_count; i++)
		sum += b->free[i] / accelerators;
	return sum;
}
