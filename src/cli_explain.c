/**
 * DOC: cli_explain - where a job would go now and why, as the leader says, without sending it
 */
#include "cli.h"

#include <stdio.h>
#include <string.h>

#include "httpc/httpc.h"

struct explain_call {
	bool is_done;
	unsigned int status;
	json_t *doc;
};

static void on_explained(const struct httpc_answer *answer, void *data)
{
	struct explain_call *call = data;

	if (answer->result == HTTPC_ANSWERED) {
		call->status = (unsigned int)answer->status;
		call->doc = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	}
	call->is_done = true;
}

/* the job without its payload, which does not matter and may be large; NULL if unreadable */
static char *read_job(struct cli *cli, const char *path)
{
	json_t *doc = json_load_file(path, 0, NULL);
	char *text = NULL;

	if (json_is_object(doc)) {
		json_object_del(doc, "spec");
		text = base_json_text(cli, doc);
	} else {
		fprintf(stderr, "\"%s\" holds no JSON object\n", path);
	}
	json_decref(doc);
	return text;
}

static struct explain_call ask(struct cli *cli, const char *address, const char *queue,
			       const char *body)
{
	struct explain_call call = {.is_done = false};
	char *url = talloc_asprintf(cli, "http://%s/explain", address);
	struct httpc_options opt = {.method = "POST",
				    .body = str_from(body),
				    .deadline = base_deadline_in(CLI_TIMEOUT_MS)};

	url = base_url_add(url, "queue", str_from(queue));
	opt.url = url;
	httpc_start(cli->http, &opt, on_explained, &call);
	while (!call.is_done)
		tevent_loop_once(cli->ev);
	talloc_free(url);
	return call;
}

static void print_counts(const json_t *excluded)
{
	const char *key;
	json_t *v;
	void *it;

	for (it = json_object_iter((json_t *)excluded); it;
	     it = json_object_iter_next((json_t *)excluded, it)) {
		key = json_object_iter_key(it);
		v = json_object_iter_value(it);
		if (json_integer_value(v))
			printf("    excluded: %" JSON_INTEGER_FORMAT " %s\n", json_integer_value(v),
			       key);
	}
}

static void print_step(const json_t *step)
{
	const json_t *on = json_object_get(step, "on");
	void *it;

	printf("step %" PRId64 ": %" PRId64 " of %" PRId64 " tasks would start: %s\n",
	       base_json_int(step, "step", 0), base_json_int(step, "placed", 0),
	       base_json_int(step, "tasks", 0), base_json_str(step, "why", ""));
	if (base_json_int(step, "would_stop", 0))
		printf("    would stop %" PRId64 " tasks\n", base_json_int(step, "would_stop", 0));
	for (it = json_object_iter((json_t *)on); it; it = json_object_iter_next((json_t *)on, it))
		printf("    %s: %zu tasks\n", json_object_iter_key(it),
		       json_array_size(json_object_iter_value(it)));
	printf("    servers that it may use: %" PRId64 ", with room for a task: %" PRId64
	       ", free accelerators there: %" PRId64 "\n",
	       base_json_int(step, "servers", 0), base_json_int(step, "with_room", 0),
	       base_json_int(step, "free_accelerators", 0));
	print_counts(json_object_get(step, "excluded"));
}

static void print_answer(struct cli *cli, const json_t *doc)
{
	size_t i;
	json_t *step;

	if (cli->json) {
		char *text = base_json_text(cli, doc);

		printf("%s\n", text);
		talloc_free(text);
		return;
	}
	printf("leader %s, term %" PRId64 "; steps that wait now: %" PRId64 "\n",
	       base_json_str(doc, "vm", ""), base_json_int(doc, "term", 0),
	       base_json_int(doc, "waiting_steps", 0));
	json_array_foreach(json_object_get(doc, "steps"), i, step)
		print_step(step);
}

int cli_explain(struct cli *cli, const char *queue, const char *path, const char *const *addresses,
		int count)
{
	char *body = read_job(cli, path);
	int code = EXIT_UNAVAILABLE;

	if (!body)
		return EXIT_FAULT;
	for (int i = 0; i < count && code == EXIT_UNAVAILABLE; i++) {
		struct explain_call call = ask(cli, addresses[i], queue, body);

		if (call.status == 200) {
			print_answer(cli, call.doc);
			code = EXIT_OK;
		} else if (call.status && call.status != 503) {
			fprintf(stderr, "%s: %u %s\n", addresses[i], call.status,
				base_json_str(call.doc, "error", ""));
			code = EXIT_FAULT;
		}
		json_decref(call.doc);
	}
	if (code == EXIT_UNAVAILABLE)
		fputs("none of these is the metrics address of the leader\n", stderr);
	talloc_free(body);
	return code;
}
