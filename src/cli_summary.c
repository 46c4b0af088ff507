/**
 * DOC: cli_summary - print where the time of jobs went, from the logs of all processes
 */
#include "cli.h"

#include <stdio.h>
#include <string.h>

#include "summary/summary.h"

#define US_PER_S 1e6
#define MS_PER_S 1e3

static bool read_lines(struct summary *s, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (!file) {
		fprintf(stderr, "cannot read log \"%s\"\n", path);
		return false;
	}
	while (getline(&line, &size, file) > 0)
		summary_add_line(s, line);
	free(line);
	fclose(file);
	return true;
}

/* ---- text ---- */

static void print_row(const struct summary_row *row)
{
	int64_t sum_us = 0;

	printf("%-14s %4" PRId64 " %-9s %6u", row->queue, row->priority,
	       summary_outcome_name(row->outcome), row->jobs);
	for (int i = 0; i < PHASE_COUNT; i++)
		sum_us += row->phase_us[i];
	printf(" %8.2f", (double)sum_us / US_PER_S / row->jobs);
	for (int i = 0; i < PHASE_COUNT; i++)
		printf(" %11.2f", (double)row->phase_us[i] / US_PER_S / row->jobs);
	printf("\n");
}

static void print_text(struct summary *s)
{
	const GPtrArray *rows = summary_rows(s);
	const GPtrArray *wastes = summary_wastes(s);

	printf("mean seconds a job\n%-14s %4s %-9s %6s %8s", "queue", "prio", "outcome", "jobs",
	       "total");
	for (int i = 0; i < PHASE_COUNT; i++)
		printf(" %11s", summary_phase_name((enum summary_phase)i));
	printf("\n");
	for (guint i = 0; i < rows->len; i++)
		print_row(g_ptr_array_index(rows, i));
	printf("\nwork thrown away\n%12s %6s  cause\n", "core-seconds", "tasks");
	for (guint i = 0; i < wastes->len; i++) {
		const struct summary_waste *w = g_ptr_array_index(wastes, i);

		printf("%12.0f %6u  %s\n", (double)w->core_ms / MS_PER_S, w->tasks, w->cause);
	}
	if (summary_dropped(s))
		printf("\n%" PRIu64 " lines of jobs were dropped by the rate limit of the logs\n",
		       summary_dropped(s));
	if (summary_malformed(s))
		printf("\n%" PRIu64 " lines could not be read\n", summary_malformed(s));
}

/* ---- JSON ---- */

static json_t *encode_row(const struct summary_row *row)
{
	json_t *phases = json_object();

	for (int i = 0; i < PHASE_COUNT; i++)
		json_object_set_new(phases, summary_phase_name((enum summary_phase)i),
				    json_integer(row->phase_us[i] / 1000));
	return json_pack("{ss sI ss sI so}", "queue", row->queue, "priority",
			 (json_int_t)row->priority, "outcome", summary_outcome_name(row->outcome),
			 "jobs", (json_int_t)row->jobs, "phase_ms", phases);
}

static void print_json(struct cli *cli, struct summary *s)
{
	const GPtrArray *rows = summary_rows(s);
	const GPtrArray *wastes = summary_wastes(s);
	json_t *row_list = json_array();
	json_t *waste_list = json_array();
	json_t *doc;
	char *text;

	for (guint i = 0; i < rows->len; i++)
		json_array_append_new(row_list, encode_row(g_ptr_array_index(rows, i)));
	for (guint i = 0; i < wastes->len; i++) {
		const struct summary_waste *w = g_ptr_array_index(wastes, i);

		json_array_append_new(waste_list, json_pack("{ss sI sI}", "cause", w->cause,
							    "tasks", (json_int_t)w->tasks,
							    "core_ms", (json_int_t)w->core_ms));
	}
	doc = json_pack("{so so sI sI}", "jobs", row_list, "thrown_away", waste_list,
			"malformed_lines", (json_int_t)summary_malformed(s), "dropped_lines",
			(json_int_t)summary_dropped(s));
	text = base_json_text(cli, doc);
	printf("%s\n", text);
	talloc_free(text);
	json_decref(doc);
}

int cli_log_summary(struct cli *cli, const char *const *files, int count)
{
	struct summary *s = summary_new(cli);
	bool is_complete = true;

	for (int i = 0; i < count; i++)
		is_complete = read_lines(s, files[i]) && is_complete;
	if (cli->json)
		print_json(cli, s);
	else
		print_text(s);
	is_complete = is_complete && summary_rows(s)->len;
	talloc_free(s);
	return is_complete ? EXIT_OK : EXIT_FAULT;
}
