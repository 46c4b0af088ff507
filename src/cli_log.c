/*
 * Everything known of one id: its lines in the logs of all processes, in order
 * of time, and between them what changed for the whole site meanwhile.
 */
#include "cli.h"

#include <stdio.h>
#include <string.h>

#define MARGIN_US \
	1000000 /* site-wide lines so long before the first and after the last are shown */

/* lines that concern every job */
static const char *const site_events[] = {
	"lead_won",	     "lead_loaded",	 "lead_lost",
	"lead_given_up",     "lead_handed_over", "lead_contended",
	"store_lost",	     "store_regained",	 "server_unreachable",
	"server_lost",	     "server_suspected", "config_taken",
	"started",	     "stopping",	 "stopped",
	"feed_history_gone", "lead_paused",	 "lead_confirmed",
	"agent_silent",	     "agents_changed",	 "lease_renewed_alone",
};

/* fields that each line has, or that are shown by themselves */
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

/* lines of the id go to @own, those of the site to @site; others are dropped */
static void read_log(const char *path, const char *id, GPtrArray *own, GPtrArray *site)
{
	FILE *file = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	if (!file) {
		fprintf(stderr, "cannot read log \"%s\"\n", path);
		return;
	}
	while (getline(&text, &size, file) > 0) {
		/* a collector may have put its own words before the object */
		const char *start = strchr(text, '{');
		json_t *line = start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;

		if (line && mentions(line, id))
			g_ptr_array_add(own, line);
		else if (line && is_one_of(base_json_str(line, "event", ""), site_events,
					   G_N_ELEMENTS(site_events)))
			g_ptr_array_add(site, line);
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

static int64_t time_of(const GPtrArray *lines, guint i)
{
	return base_json_int(g_ptr_array_index(lines, i), "time_us", 0);
}

/* adds to @own what concerned the whole site while the id was under way */
static void add_site_lines(GPtrArray *own, GPtrArray *site)
{
	int64_t from = time_of(own, 0) - MARGIN_US;
	int64_t to = time_of(own, own->len - 1) + MARGIN_US;

	for (guint i = 0; i < site->len; i++)
		if (time_of(site, i) >= from && time_of(site, i) <= to)
			g_ptr_array_add(own, json_incref(g_ptr_array_index(site, i)));
	g_ptr_array_sort(own, compare_time);
}

static void print_line(struct cli *cli, json_t *line, int64_t first, const char *id)
{
	const char *key;
	json_t *value;

	if (cli->json) {
		char *text = base_json_text(cli, line);

		printf("%s\n", text);
		talloc_free(text);
		return;
	}
	printf("%9.3f s %c %-24s %-20s", (double)(base_json_int(line, "time_us", 0) - first) / 1e6,
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
	GPtrArray *own = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	GPtrArray *site = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	int64_t first;

	for (int i = 0; i < count; i++)
		read_log(files[i], id, own, site);
	g_ptr_array_sort(own, compare_time);
	count = (int)own->len;
	first = count ? time_of(own, 0) : 0;
	if (count)
		add_site_lines(own, site);
	else
		fprintf(stderr, "no line of id %s in these files\n", id);
	for (guint i = 0; i < own->len; i++)
		print_line(cli, g_ptr_array_index(own, i), first, id);
	g_ptr_array_free(own, TRUE);
	g_ptr_array_free(site, TRUE);
	return count ? EXIT_OK : EXIT_FAULT;
}
