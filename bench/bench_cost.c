/**
 * DOC: bench_cost - time of a placement decision and memory of the policy, by fleet size
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"
#include "figure.h"
#include "policy/policy.h"

#define PER_RACK 8
#define UNITS 20 /* accelerators per server; 180,000 tasks on 9,600 servers are 18.75 on each */
#define ROUNDS 400
#define WORKSPACES 55
#define BOUND_ONE_MS 0.1  /* p99 for a job of one task */
#define BOUND_GANG_MS 1.0 /* p99 for a large gang */

/* prints a figure for a fleet of @servers servers; a value above @bound fails */
static void show(const char *name, int servers, double value, const char *unit, double bound)
{
	char fleet_size[24];

	g_snprintf(fleet_size, sizeof(fleet_size), "%d servers", servers);
	figure(fleet_size, name, value, unit, bound);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static struct policy *policy_with_fleet(int servers)
{
	struct policy_options opt = {
		.weight_percent = 50, .reserve_after_ms = 60000, .urgent_percent = 10};
	struct policy *p = policy_new(NULL, &opt);
	struct policy_cell cell = {UNITS, true, MAX(servers / (4 * WORKSPACES), 1)};
	struct policy_workspace list[WORKSPACES];
	char names[WORKSPACES][16];

	memset(list, 0, sizeof(list));
	for (int i = 0; i < servers; i++) {
		char id[16];
		char rack[16];

		g_snprintf(id, sizeof(id), "s%d", i);
		g_snprintf(rack, sizeof(rack), "r%d", i / PER_RACK);
		policy_server_set(p, id, rack, UNITS, POLICY_SERVER_USABLE);
	}
	for (int i = 0; i < WORKSPACES; i++) {
		g_snprintf(names[i], sizeof(names[i]), "w%d", i);
		list[i].name = names[i];
		list[i].cells = &cell;
		list[i].cell_count = 1;
	}
	policy_workspaces_set(p, list, WORKSPACES);
	return p;
}

static struct policy_job *submit(struct policy *p, int64_t tasks, bool checkpointable, int64_t now)
{
	static unsigned int sequence;
	char id[24];
	char ws[16];

	g_snprintf(id, sizeof(id), "j%08u", sequence);
	g_snprintf(ws, sizeof(ws), "w%u", sequence % WORKSPACES);
	sequence++;
	return policy_job_add(p,
			      &(struct policy_spec){.id = id,
						    .workspace = ws,
						    .kind = ws,
						    .cls = CLASS_NORMAL,
						    .tasks = tasks,
						    .accelerators = 1,
						    .checkpointable = checkpointable,
						    .run_ms = 3600000},
			      now, NULL);
}

static int64_t fill(struct policy *p, int64_t target, GRand *rng)
{
	struct policy_decision d;
	int64_t placed = 0;

	while (placed < target) {
		int64_t tasks = MIN(1 << g_rand_int_range(rng, 0, 8), target - placed);

		submit(p, tasks, g_rand_int_range(rng, 0, 10) > 0, 0);
		while (policy_next_decision(p, 0, &d))
			;
		placed += tasks;
	}
	return placed;
}

/* prints the time from the submission of a gang to its placement, over ROUNDS gangs */
static void measure(struct policy *p, int servers, int64_t tasks, double bound)
{
	int64_t duration_ns[ROUNDS];
	struct policy_decision d;
	char name[64];
	int started = 0;

	for (int i = 0; i < ROUNDS; i++) {
		struct policy_job *job;
		int64_t begin;

		job = submit(p, tasks, true, 1);
		begin = base_now_ns();
		while (policy_next_decision(p, 1, &d))
			;
		duration_ns[i] = base_now_ns() - begin;
		started += policy_job_state(job) == POLICY_PLACED;
		policy_job_remove(p, job, 1);
		while (policy_next_decision(p, 1, &d))
			;
	}
	qsort(duration_ns, ROUNDS, sizeof(*duration_ns), compare_int64);
	g_snprintf(name, sizeof(name), "gang of %d: p50", (int)tasks);
	show(name, servers, (double)duration_ns[ROUNDS / 2] / 1e6, "ms", NO_BOUND);
	g_snprintf(name, sizeof(name), "gang of %d: p99 (%d%% placed)", (int)tasks,
		   started * 100 / ROUNDS);
	show(name, servers, (double)duration_ns[ROUNDS * 99 / 100] / 1e6, "ms", bound);
}

int main(int argc, char **argv)
{
	static const int sizes[] = {600, 1200, 2400, 4800, 9600};
	bool is_quick = argc > 1 && !strcmp(argv[1], "--quick");
	GRand *rng = g_rand_new_with_seed(3);

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		int servers = sizes[i];
		bool is_planned_size = servers == 9600;
		size_t before = mallinfo2().uordblks;
		struct policy *p;
		int64_t tasks;

		if (is_quick && !is_planned_size)
			continue;
		p = policy_with_fleet(servers);
		tasks = fill(p, (int64_t)servers * 18, rng);
		show("tasks placed", servers, (double)tasks, "tasks", NO_BOUND);
		show("memory of the policy", servers,
		     (double)(mallinfo2().uordblks - before) / 1048576.0, "MB",
		     is_planned_size ? 64 : NO_BOUND);
		measure(p, servers, 1, is_planned_size ? BOUND_ONE_MS : NO_BOUND);
		measure(p, servers, MIN(1024, servers), is_planned_size ? BOUND_GANG_MS : NO_BOUND);
		talloc_free(p);
	}
	g_rand_free(rng);
	printf("%d figures missed their bound\n", figures_failed);
	return figures_failed ? 1 : 0;
}
