/**
 * DOC: cli_log - print the log lines of one id
 *
 * The lines are collected from the logs of all processes and sorted by time.
 * Events that concern the whole site are included when they happened during
 * the same time.
 */
#include "cli.h"

#include <stdio.h>
#include <string.h>

/* Site events are included from 1 s before the first line of the id to 1 s after its last. */
#define SITE_EVENT_MARGIN_US 1000000

/* events that concern every job */
static const char *const site_events[] = {
	"lead_won",	     "lead_loaded",	 "lead_lost",
	"lead_given_up",     "lead_handed_over", "lead_contended",
	"store_lost",	     "store_regained",	 "server_unreachable",
	"server_lost",	     "server_suspected", "config_taken",
	"started",	     "stopping",	 "stopped",
	"feed_history_gone", "lead_paused",	 "lead_confirmed",
	"agent_silent",	     "agents_changed",	 "lease_renewed_alone",
	"failures_forgiven",
};

/* fields that are in every line or are printed in columns of their own */
static const char *const common_fields[] = {"time_us", "level", "program", "vm", "event"};

static bool is_one_of(const char *word, const char *const *list, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!strcmp(word, list[i]))
			return true;
	return false;
}

static bool mentions(const json_t *line, const char *id)
{
	const char *task = base_json_str(line, "task", "");

	return !strcmp(base_json_str(line, "id", ""), id) || !strncmp(task, id, strlen(id)) ||
	       strstr(base_json_str(line, "path", ""), id);
}

/* adds lines of the id to @id_lines and those of site events to @site_lines */
static void read_log(const char *path, const char *id, GPtrArray *id_lines, GPtrArray *site_lines)
{
	FILE *file = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	if (!file) {
		fprintf(stderr, "cannot read log \"%s\"\n", path);
		return;
	}
	while (getline(&text, &size, file) > 0) {
		/* a log collector may have put a prefix before the object */
		const char *start = strchr(text, '{');
		json_t *line = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;

		if (line && mentions(line, id))
			g_ptr_array_add(id_lines, line);
		else if (line && is_one_of(base_json_str(line, "event", ""), site_events,
					   G_N_ELEMENTS(site_events)))
			g_ptr_array_add(site_lines, line);
		else
			json_decref(line);
	}
	free(text);
	fclose(file);
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	int64_t x = base_json_int(*(json_t *const *)a, "time_us", 0);
	int64_t y = base_json_int(*(json_t *const *)b, "time_us", 0);

	return x < y ? -1 : x > y;
}

static int64_t line_time_us(const GPtrArray *lines, guint i)
{
	return base_json_int(g_ptr_array_index(lines, i), "time_us", 0);
}

/* adds to @id_lines the site events of the time that these lines span */
static void add_site_lines(GPtrArray *id_lines, GPtrArray *site_lines)
{
	int64_t from_us = line_time_us(id_lines, 0) - SITE_EVENT_MARGIN_US;
	int64_t to_us = line_time_us(id_lines, id_lines->len - 1) + SITE_EVENT_MARGIN_US;

	for (guint i = 0; i < site_lines->len; i++)
		if (line_time_us(site_lines, i) >= from_us && line_time_us(site_lines, i) <= to_us)
			g_ptr_array_add(id_lines, json_incref(g_ptr_array_index(site_lines, i)));
	g_ptr_array_sort(id_lines, compare_time);
}

static void print_line(struct cli *cli, json_t *line, int64_t start_us, const char *id)
{
	const char *key;
	json_t *value;

	if (cli->json) {
		char *text = base_json_text(cli, line);

		printf("%s\n", text);
		talloc_free(text);
		return;
	}
	printf("%9.3f s %c %-24s %-20s",
	       (double)(base_json_int(line, "time_us", 0) - start_us) / 1e6,
	       mentions(line, id) ? ' ' : '*', base_json_str(line, "vm", ""),
	       base_json_str(line, "event", ""));
	for (void *it = json_object_iter(line); it; it = json_object_iter_next(line, it)) {
		char *text;

		key = json_object_iter_key(it);
		value = json_object_iter_value(it);
		if (is_one_of(key, common_fields, G_N_ELEMENTS(common_fields)) ||
		    (!strcmp(key, "id") && mentions(line, id)))
			continue;
		text = base_json_text(cli, value);
		printf(" %s=%s", key, text);
		talloc_free(text);
	}
	printf("\n");
}

int cli_log(struct cli *cli, const char *id, const char *const *files, int count)
{
	GPtrArray *id_lines = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	GPtrArray *site_lines = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	int64_t start_us;

	for (int i = 0; i < count; i++)
		read_log(files[i], id, id_lines, site_lines);
	g_ptr_array_sort(id_lines, compare_time);
	count = (int)id_lines->len;
	start_us = count ? line_time_us(id_lines, 0) : 0;
	if (count)
		add_site_lines(id_lines, site_lines);
	else
		fprintf(stderr, "no log line mentions id %s in these files\n", id);
	for (guint i = 0; i < id_lines->len; i++)
		print_line(cli, g_ptr_array_index(id_lines, i), start_us, id);
	g_ptr_array_free(id_lines, TRUE);
	g_ptr_array_free(site_lines, TRUE);
	return count ? EXIT_OK : EXIT_FAULT;
}
