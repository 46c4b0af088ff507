/**
 * DOC: cli_status - print the status of daemons, and the spans of a trace
 */
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct status_fetch {
	bool is_done;
	json_t *doc;
};

static void on_fetched(const struct httpc_answer *answer, void *data)
{
	struct status_fetch *f = data;

	if (answer->result == HTTPC_ANSWERED)
		f->doc = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	f->is_done = true;
}

static json_t *fetch_status(struct cli *cli, const char *address)
{
	struct status_fetch f = {0};
	char *url = talloc_asprintf(cli, "http://%s/status", address);
	struct httpc_options opt = {
		.method = "GET", .url = url, .deadline = base_deadline_in(CLI_TIMEOUT_MS)};

	httpc_start(cli->http, &opt, on_fetched, &f);
	while (!f.is_done)
		tevent_loop_once(cli->ev);
	talloc_free(url);
	return f.doc;
}

static void print_schedd(const json_t *doc)
{
	const json_t *jobs = json_object_get(doc, "jobs");
	const json_t *list = json_object_get(doc, "guarantees");
	size_t i;
	json_t *v;

	printf("  accelerators: %" PRId64 " free of %" PRId64 ", largest rack %" PRId64 " free\n",
	       base_json_int(doc, "free", 0), base_json_int(doc, "total", 0),
	       base_json_int(doc, "largest_rack_free", 0));
	json_array_foreach(list, i, v)
		printf("  guarantee %-20s reclaimable now %5" PRId64 "%s\n",
		       base_json_str(v, "workspace", ""), base_json_int(v, "reclaimable", 0),
		       base_json_int(v, "unbound", 0) ? "  ALARM: part of it fits nowhere" : "");
	json_array_foreach(json_object_get(doc, "quarantined"), i, v)
		printf("  quarantined: %s\n", json_string_value(v));
	json_array_foreach(jobs, i, v)
		printf("  job %-36s %-10s %s\n", base_json_str(v, "id", ""),
		       base_json_str(v, "state", ""), base_json_str(v, "wait", ""));
}

static void print_entryd(const json_t *doc)
{
	size_t i;
	json_t *v;

	json_array_foreach(json_object_get(doc, "servers"), i, v)
		if (!base_json_bool(v, "takes_work", true) || base_json_bool(v, "avoided", false))
			printf("  backend server %-16s %s\n", base_json_str(v, "id", ""),
			       base_json_bool(v, "avoided", false) ? "quarantined"
								   : "leaving or lost");
	json_array_foreach(json_object_get(doc, "peers"), i, v)
		if (!base_json_bool(v, "live", true))
			printf("  entry VM %-20s not heard\n", base_json_str(v, "id", ""));
}

int cli_status(struct cli *cli, const char *const *addresses, int count)
{
	int code = EXIT_OK;

	for (int i = 0; i < count; i++) {
		json_t *doc = fetch_status(cli, addresses[i]);
		char *text;

		if (!doc) {
			printf("%s does not answer\n", addresses[i]);
			code = EXIT_UNAVAILABLE;
			continue;
		}
		if (cli->json) {
			text = base_json_text(cli, doc);
			printf("%s\n", text);
			talloc_free(text);
		} else {
			printf("%s %s in %s: catalogue version %" PRId64 "%s\n",
			       json_object_get(doc, "epoch") ? "schedd" : "entryd",
			       base_json_str(doc, "vm", "?"),
			       base_json_str(doc, "failure_domain", "?"),
			       base_json_int(doc, "catalogue_version", 0),
			       base_json_bool(doc, "active", false) ? ", active" : "");
			if (json_object_get(doc, "epoch"))
				print_schedd(doc);
			else
				print_entryd(doc);
		}
		json_decref(doc);
	}
	return code;
}

/* ---- traces ---- */

static int compare_spans(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a;
	const json_t *y = *(json_t *const *)b;
	int64_t x_start = base_json_int(x, "end_us", 0) - base_json_int(x, "duration_us", 0);
	int64_t y_start = base_json_int(y, "end_us", 0) - base_json_int(y, "duration_us", 0);

	return x_start < y_start ? -1 : x_start > y_start;
}

static void read_spans(const char *file, const char *id, GPtrArray *spans)
{
	FILE *f = fopen(file, "r");
	char line[1024];

	while (f && fgets(line, sizeof(line), f)) {
		json_t *span = strstr(line, id) ? json_loads(line, 0, NULL) : NULL;

		if (span && !strcmp(base_json_str(span, "trace", ""), id))
			g_ptr_array_add(spans, span);
		else
			json_decref(span);
	}
	if (f)
		fclose(f);
}

int cli_trace(struct cli *cli, const char *id, const char *const *files, int count)
{
	GPtrArray *spans = g_ptr_array_new();
	int64_t first_us = 0;

	for (int i = 0; i < count; i++)
		read_spans(files[i], id, spans);
	g_ptr_array_sort(spans, compare_spans);
	for (guint i = 0; i < spans->len; i++) {
		json_t *span = g_ptr_array_index(spans, i);
		int64_t start_us =
			base_json_int(span, "end_us", 0) - base_json_int(span, "duration_us", 0);
		char *text;

		first_us = i ? first_us : start_us;
		if (cli->json) {
			text = base_json_text(cli, span);
			printf("%s\n", text);
			talloc_free(text);
		} else {
			printf("%10" PRId64 " us  %-14s %8" PRId64 " us  %-12s %s\n",
			       start_us - first_us, base_json_str(span, "hop", ""),
			       base_json_int(span, "duration_us", 0), base_json_str(span, "vm", ""),
			       base_json_str(span, "note", ""));
		}
		json_decref(span);
	}
	count = (int)spans->len;
	g_ptr_array_free(spans, TRUE);
	if (!count)
		fprintf(stderr, "no span of trace %s in these files\n", id);
	return count ? EXIT_OK : EXIT_FAULT;
}
