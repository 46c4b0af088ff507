#include "backend.h"

#include <string.h>

struct backend_call {
	backend_done *done;
	void *data;
};

enum backend_state backend_state_parse(const char *name)
{
#define X(id, text)              \
	if (!strcmp(name, text)) \
		return id;
	BACKEND_STATES(X)
#undef X
	return BACKEND_ABSENT;
}

static enum backend_refusal refusal_parse(const char *name)
{
#define X(id, text)              \
	if (!strcmp(name, text)) \
		return id;
	BACKEND_REFUSALS(X)
#undef X
	return BACKEND_REFUSED_OTHER;
}

static void on_answer(const struct httpc_answer *answer, void *data)
{
	struct backend_call *call = data;
	struct backend_reply reply = {.type = BACKEND_LOST};
	const char *refusal_name;

	if (answer->result == HTTPC_NOT_SENT)
		reply.type = BACKEND_NOT_SENT;
	if (answer->result == HTTPC_ANSWERED)
		reply.doc = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	if (reply.doc) {
		refusal_name = base_json_str(reply.doc, "refused", NULL);
		reply.type = refusal_name ? BACKEND_REFUSED : BACKEND_STATE;
		reply.state = backend_state_parse(base_json_str(reply.doc, "state", ""));
		reply.refusal = refusal_name ? refusal_parse(refusal_name) : BACKEND_REFUSED_OTHER;
		reply.boot = base_json_int(reply.doc, "boot", 0);
		reply.is_leaving =
			!strcmp(base_json_str(reply.doc, "server_state", "live"), "leaving");
	}
	call->done(&reply, call->data);
	json_decref(reply.doc);
	talloc_free(call);
}

static void send_request(const struct backend_target *target, const char *method, const char *path,
			 struct str body, bool fresh, int64_t deadline, backend_done *done,
			 void *data)
{
	struct backend_call *call = talloc_zero(target->http, struct backend_call);
	char url[320];
	char vm[96];
	char parent[96];
	struct httpc_options opt = {
		.method = method, .url = url, .body = body, .deadline = deadline, .fresh = fresh};

	call->done = done;
	call->data = data;
	g_snprintf(url, sizeof(url), "%s%s", target->base_url, path);
	g_snprintf(vm, sizeof(vm), "X-Vm: %s", target->vm);
	opt.header[0] = vm;
	if (target->traceparent) {
		g_snprintf(parent, sizeof(parent), "traceparent: %s", target->traceparent);
		opt.header[1] = parent;
	}
	httpc_start(target->http, &opt, on_answer, call);
}

void backend_request_run(const struct backend_target *target, const char *id, struct str payload,
			 int64_t deadline, backend_done *done, void *data)
{
	char path[256];

	g_snprintf(path, sizeof(path), "/v1/requests/%s", id);
	send_request(target, "POST", path, payload, false, deadline, done, data);
}

void backend_request_state(const struct backend_target *target, const char *id, bool cancel,
			   int64_t deadline, backend_done *done, void *data)
{
	char path[256];

	g_snprintf(path, sizeof(path), "/v1/requests/%s", id);
	send_request(target, cancel ? "DELETE" : "GET", path, str_from(""), true, deadline, done,
		     data);
}

void backend_task_call(const struct backend_target *target, enum backend_task_op op, json_t *args,
		       bool fresh, int64_t deadline, backend_done *done, void *data)
{
	static const char *const paths[] = {"/v1/tasks/prepare", "/v1/tasks/start",
					    "/v1/tasks/stop",	 "/v1/tasks/forget",
					    "/v1/tasks/renew",	 "/v1/tasks/fence"};
	char *body = base_json_text(NULL, args);

	send_request(target, "POST", paths[op], str_from(body), fresh, deadline, done, data);
	talloc_free(body);
	json_decref(args);
}
