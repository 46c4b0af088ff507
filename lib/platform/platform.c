#include "platform.h"

#include <string.h>

#define PLATFORM_ATTEMPT_TIMEOUT_MS 700 /* several attempts fit into a usual deadline */
#define PLATFORM_BACKOFF_MIN_MS 40	/* first back-off between attempts, before jitter */
#define PLATFORM_BACKOFF_MAX_MS 400	/* longest back-off between attempts, before jitter */

struct platform {
	struct tevent_context *ev;
	struct httpc *http;
	char *base_url;
	char *vm_header;
};

struct read_op {
	platform_read_done *done;
	void *data;
};

struct tx_op {
	struct platform *p;
	char *body;
	char *table; /* table and key of the first row, which is read back after a lost answer */
	char *key;
	char token[20]; /* identifies this transaction; stored in every row that it writes */
	int64_t deadline;
	bool maybe_applied; /* an attempt was sent and its answer was lost */
	unsigned int retries;
	platform_tx_done *done;
	void *data;
};

struct platform *platform_new(TALLOC_CTX *ctx, struct tevent_context *ev, struct httpc *http,
			      const char *ip, uint16_t port, const char *vm)
{
	struct platform *p = talloc_zero(ctx, struct platform);

	p->ev = ev;
	p->http = http;
	p->base_url = talloc_asprintf(p, "http://%s:%u", ip, port);
	p->vm_header = talloc_asprintf(p, "X-Vm: %s", vm);
	return p;
}

static void send_request(struct platform *p, const char *method, const char *url, const char *body,
			 int64_t deadline, httpc_done *done, void *data)
{
	int64_t attempt_deadline = base_deadline_in(PLATFORM_ATTEMPT_TIMEOUT_MS);
	struct httpc_options opt = {
		.method = method,
		.url = url,
		.body = str_from(body),
		.deadline = MIN(deadline, attempt_deadline),
		.header = {p->vm_header},
	};

	httpc_start(p->http, &opt, done, data);
}

/* ---- reads ---- */

static void on_read(const struct httpc_answer *answer, void *data)
{
	struct read_op *op = data;
	json_t *doc = NULL;

	if (answer->result != HTTPC_ANSWERED || answer->status >= 500) {
		op->done(PLATFORM_NO_ANSWER, 0, NULL, op->data);
	} else if (answer->status != 200) {
		op->done(PLATFORM_OK, 0, NULL, op->data);
	} else {
		doc = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		if (!doc)
			op->done(PLATFORM_NO_ANSWER, 0, NULL, op->data);
		else
			op->done(PLATFORM_OK, base_json_int(doc, "version", 0),
				 json_object_get(doc, "value"), op->data);
	}
	json_decref(doc);
	talloc_free(op);
}

static void start_read(struct platform *p, const char *url, int64_t deadline,
		       platform_read_done *done, void *data)
{
	struct read_op *op = talloc_zero(p, struct read_op);

	op->done = done;
	op->data = data;
	send_request(p, "GET", url, NULL, deadline, on_read, op);
}

void platform_read(struct platform *p, const char *table, const char *key, int64_t deadline,
		   platform_read_done *done, void *data)
{
	char *url = talloc_asprintf(NULL, "%s/v1/row", p->base_url);

	url = base_url_add(url, "table", str_from(table));
	url = base_url_add(url, "key", str_from(key));
	start_read(p, url, deadline, done, data);
	talloc_free(url);
}

void platform_scan(struct platform *p, const char *table, const char *prefix, const char *after,
		   unsigned int limit, int64_t deadline, platform_read_done *done, void *data)
{
	char *url = talloc_asprintf(NULL, "%s/v1/scan", p->base_url);

	url = base_url_add(url, "table", str_from(table));
	url = base_url_add(url, "prefix", str_from(prefix));
	url = base_url_add(url, "after", str_from(after));
	url = talloc_asprintf_append_buffer(url, "&limit=%u", limit);
	start_read(p, url, deadline, done, data);
	talloc_free(url);
}

void platform_vms(struct platform *p, int64_t since, int64_t deadline, platform_read_done *done,
		  void *data)
{
	char *url = talloc_asprintf(NULL, "%s/v1/vms?since=%" PRId64, p->base_url, since);

	start_read(p, url, deadline, done, data);
	talloc_free(url);
}

/* ---- transactions ---- */

static void tx_send(struct tx_op *op);

static void tx_finish(struct tx_op *op, enum platform_result result, const int64_t *versions)
{
	op->done(result, versions, op->data);
	talloc_free(op);
}

static void on_retry(struct tevent_context *ev G_GNUC_UNUSED, struct tevent_timer *te G_GNUC_UNUSED,
		     struct timeval now G_GNUC_UNUSED, void *data)
{
	tx_send(data);
}

static void tx_retry(struct tx_op *op)
{
	int64_t backoff_ms =
		MIN(PLATFORM_BACKOFF_MIN_MS << MIN(op->retries, 8U), PLATFORM_BACKOFF_MAX_MS);

	backoff_ms = backoff_ms / 2 + (int64_t)(base_random64() % (uint64_t)backoff_ms);
	if (base_remaining_ms(op->deadline) <= backoff_ms) {
		tx_finish(op, op->maybe_applied ? PLATFORM_NO_ANSWER : PLATFORM_NOT_APPLIED, NULL);
		return;
	}
	op->retries++;
	tevent_add_timer(op->p->ev, op, base_timeval_in_ms(backoff_ms), on_retry, op);
}

/* After a lost answer, the conflict may be with an earlier attempt of the same transaction. */
static void on_read_back(enum platform_result result, int64_t version, json_t *value, void *data)
{
	struct tx_op *op = data;
	int64_t versions[PLATFORM_WRITES_MAX] = {version};

	if (result != PLATFORM_OK)
		tx_retry(op);
	else if (!strcmp(base_json_str(value, "token", ""), op->token))
		tx_finish(op, PLATFORM_OK, versions);
	else
		tx_finish(op, PLATFORM_CONFLICT, NULL);
}

static void on_tx(const struct httpc_answer *answer, void *data)
{
	struct tx_op *op = data;
	int64_t versions[PLATFORM_WRITES_MAX] = {0};
	json_t *doc;
	json_t *list;

	if (answer->result == HTTPC_LOST)
		op->maybe_applied = true;
	if (answer->result != HTTPC_ANSWERED || answer->status >= 500) {
		tx_retry(op);
		return;
	}
	if (answer->status == 409) {
		if (op->maybe_applied)
			platform_read(op->p, op->table, op->key, op->deadline, on_read_back, op);
		else
			tx_finish(op, PLATFORM_CONFLICT, NULL);
		return;
	}
	doc = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	list = json_object_get(doc, "versions");
	for (size_t i = 0; i < json_array_size(list) && i < PLATFORM_WRITES_MAX; i++)
		versions[i] = json_integer_value(json_array_get(list, i));
	json_decref(doc);
	tx_finish(op, PLATFORM_OK, versions);
}

static void tx_send(struct tx_op *op)
{
	char *url = talloc_asprintf(op, "%s/v1/tx", op->p->base_url);

	send_request(op->p, "POST", url, op->body, op->deadline, on_tx, op);
	talloc_free(url);
}

void platform_tx(struct platform *p, const struct platform_write *writes, unsigned int count,
		 int64_t deadline, platform_tx_done *done, void *data)
{
	struct tx_op *op = talloc_zero(p, struct tx_op);
	json_t *list = json_array();
	json_t *doc;

	g_snprintf(op->token, sizeof(op->token), "%016" PRIx64, base_random64());
	for (unsigned int i = 0; i < count; i++) {
		json_t *row = json_pack("{ss ss sI}", "table", writes[i].table, "key",
					writes[i].key, "expect", (json_int_t)writes[i].expect);

		if (writes[i].check_only)
			json_object_set_new(row, "check_only", json_true());
		if (writes[i].value) {
			json_t *value = json_copy(writes[i].value);

			json_object_set_new(value, "token", json_string(op->token));
			json_object_set_new(row, "value", value);
		}
		json_array_append_new(list, row);
	}
	doc = json_pack("{so}", "writes", list);
	op->p = p;
	op->body = base_json_text(op, doc);
	op->table = talloc_strdup(op, writes[0].table);
	op->key = talloc_strdup(op, writes[0].key);
	op->deadline = deadline;
	op->done = done;
	op->data = data;
	json_decref(doc);
	tx_send(op);
}
