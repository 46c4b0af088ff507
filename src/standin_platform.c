/**
 * DOC: standin-platform - stand-in for the platform's table service and VM list
 *
 * Keeps all rows and VM entries in memory. POST /fault injects faults:
 *   down           true: every answer is 503
 *   drop           true: connections are closed without an answer
 *   slow_ms        delay of every answer
 *   lose_percent   share of writes whose answer is lost after taking effect
 *   write_limit    writes per second, 0 for no limit
 *   vm_lag_ms      age of the VM list that is served
 *   cut            list of VM ids whose calls are dropped
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <tevent.h>

#include "base/base.h"
#include "httpd/httpd.h"
#include "ledger/ledger.h"

#define BODY_MAX (4 * 1024 * 1024)
#define CONNECTIONS_MAX 4000
#define IDLE_S 600
#define SCAN_LIMIT_MAX 1000

struct row {
	int64_t version;
	json_t *value;
};

struct faults {
	bool down;
	bool drop;
	int64_t slow_ms;
	int64_t lose_percent;
	int64_t write_limit;
	int64_t vm_lag_ms;
	json_t *cut;
};

/* the VM list as it was from one change to the next */
struct vm_list_snapshot {
	int64_t since; /* time of the change; monotonic, in ns */
	int64_t version;
	json_t *list;
};

/**
 * struct platform_standin - the simulated platform
 * @rows: "table\x1fkey" to struct row, ordered by key
 * @next_version: version that the next written row gets
 * @vm_snapshots: struct vm_list_snapshot, oldest first; starts with the one served
 * @vms: id to entry, the current list without the lag of vm_lag_ms
 * @vm_version: version of the newest snapshot
 * @window_start: start of the current second of the write limit; monotonic time in ns
 * @window_writes: writes since @window_start, including rejected ones
 */
struct platform_standin {
	struct tevent_context *ev;
	struct ledger *ledger;
	GTree *rows;
	int64_t next_version;
	struct faults faults;
	GQueue vm_snapshots;
	json_t *vms;
	int64_t vm_version;
	int64_t window_start;
	int64_t window_writes;
	uint64_t reads;
	uint64_t writes;
};

/* an answer delayed by slow_ms; req is NULL after an abort */
struct delayed {
	struct httpd_request *req;
	unsigned int status;
	json_t *body;
	bool drop;
};

static int compare_keys(gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
	return strcmp(a, b);
}

static void row_free(gpointer p)
{
	struct row *row = p;

	json_decref(row->value);
	g_free(row);
}

/* ---- answers ---- */

static void delayed_send(struct delayed *d)
{
	if (d->req) {
		d->req->on_abort = NULL;
		if (d->drop) {
			httpd_drop(d->req);
			json_decref(d->body);
		} else {
			httpd_reply_json(d->req, d->status, d->body);
		}
	} else {
		json_decref(d->body);
	}
	talloc_free(d);
}

static void on_delay_elapsed(struct tevent_context *ev G_GNUC_UNUSED,
			     struct tevent_timer *te G_GNUC_UNUSED,
			     struct timeval now G_GNUC_UNUSED, void *data)
{
	delayed_send(data);
}

static void on_delayed_abort(struct httpd_request *req)
{
	struct delayed *d = req->user;

	d->req = NULL;
}

static void answer(struct platform_standin *ps, struct httpd_request *req, unsigned int status,
		   json_t *body, bool drop)
{
	struct delayed *d = talloc_zero(ps, struct delayed);

	d->req = req;
	d->status = status;
	d->body = body;
	d->drop = drop;
	req->user = d;
	req->on_abort = on_delayed_abort;
	if (ps->faults.slow_ms > 0)
		tevent_add_timer(ps->ev, d, base_timeval_in_ms(ps->faults.slow_ms),
				 on_delay_elapsed, d);
	else
		delayed_send(d);
}

/* ---- table ---- */

static char *make_full_key(const char *table, const char *key)
{
	return g_strdup_printf("%s\x1f%s", table, key);
}

static int64_t row_version(struct platform_standin *ps, const char *full_key)
{
	struct row *row = g_tree_lookup(ps->rows, full_key);

	return row ? row->version : 0;
}

/* Adds the rows to the writes of the current second and compares these with the limit. */
static bool is_over_write_limit(struct platform_standin *ps, size_t rows)
{
	int64_t now = base_now_ns();

	if (now - ps->window_start > BASE_MS_PER_S * BASE_NS_PER_MS) {
		ps->window_start = now;
		ps->window_writes = 0;
	}
	ps->window_writes += (int64_t)rows;
	return ps->faults.write_limit > 0 && ps->window_writes > ps->faults.write_limit;
}

static json_t *tx_find_conflict(struct platform_standin *ps, json_t *writes)
{
	size_t i;
	json_t *w;

	json_array_foreach(writes, i, w) {
		int64_t expect = base_json_int(w, "expect", -1);
		char *full_key =
			make_full_key(base_json_str(w, "table", ""), base_json_str(w, "key", ""));
		int64_t version = row_version(ps, full_key);

		g_free(full_key);
		if (expect >= 0 && expect != version)
			return json_pack("{si sI}", "conflict", (int)i, "version",
					 (json_int_t)version);
	}
	return NULL;
}

static json_t *tx_apply(struct platform_standin *ps, json_t *writes)
{
	json_t *versions = json_array();
	size_t i;
	json_t *w;

	json_array_foreach(writes, i, w) {
		char *full_key =
			make_full_key(base_json_str(w, "table", ""), base_json_str(w, "key", ""));
		json_t *value = json_object_get(w, "value");
		int64_t version = 0;

		if (base_json_bool(w, "check_only", false)) {
			json_array_append_new(versions, json_integer(row_version(ps, full_key)));
			g_free(full_key);
			continue;
		}
		ledger_write(ps->ledger,
			     json_pack("{ss ss ss sO?}", "act", value ? "write" : "delete", "table",
				       base_json_str(w, "table", ""), "key",
				       base_json_str(w, "key", ""), "value", value));
		if (value) {
			struct row *row = g_new0(struct row, 1);

			version = ps->next_version++;
			row->version = version;
			row->value = json_incref(value);
			g_tree_replace(ps->rows, full_key, row);
		} else {
			g_tree_remove(ps->rows, full_key);
			g_free(full_key);
		}
		json_array_append_new(versions, json_integer(version));
	}
	ps->writes += json_array_size(writes);
	return json_pack("{so}", "versions", versions);
}

static void handle_tx(struct platform_standin *ps, struct httpd_request *req)
{
	json_t *doc = json_loadb(req->body.ptr, req->body.len, 0, NULL);
	json_t *writes = json_object_get(doc, "writes");
	json_t *conflict;
	json_t *result;
	bool is_answer_lost;

	if (!json_is_array(writes)) {
		answer(ps, req, 400, json_pack("{ss}", "error", "writes: expected a list"), false);
	} else if (is_over_write_limit(ps, json_array_size(writes))) {
		answer(ps, req, 503, json_pack("{ss}", "error", "write limit reached"), false);
	} else if ((conflict = tx_find_conflict(ps, writes))) {
		answer(ps, req, 409, conflict, false);
	} else {
		result = tx_apply(ps, writes);
		is_answer_lost = (int64_t)(base_random64() % 100) < ps->faults.lose_percent;
		answer(ps, req, 200, result, is_answer_lost);
	}
	json_decref(doc);
}

static void handle_row(struct platform_standin *ps, struct httpd_request *req)
{
	const char *table = httpd_query(req, "table");
	const char *key = httpd_query(req, "key");
	char *full_key = make_full_key(table ? table : "", key ? key : "");
	struct row *row = g_tree_lookup(ps->rows, full_key);

	ps->reads++;
	g_free(full_key);
	if (row)
		answer(ps, req, 200,
		       json_pack("{sI sO}", "version", (json_int_t)row->version, "value",
				 row->value),
		       false);
	else
		answer(ps, req, 404, json_object(), false);
}

/* arguments and result of scan_row(); prefix and after are full keys */
struct scan {
	const char *prefix;
	const char *after;
	json_t *rows;
	size_t limit;
	size_t table_prefix_len;
};

static gboolean scan_row(gpointer key, gpointer value, gpointer data)
{
	struct scan *scan = data;
	struct row *row = value;

	if (strcmp(key, scan->after) <= 0 || strcmp(key, scan->prefix) < 0)
		return FALSE;
	if (!g_str_has_prefix(key, scan->prefix) || json_array_size(scan->rows) >= scan->limit)
		return TRUE;
	json_array_append_new(scan->rows,
			      json_pack("{ss sI sO}", "key", (char *)key + scan->table_prefix_len,
					"version", (json_int_t)row->version, "value", row->value));
	return FALSE;
}

static void handle_scan(struct platform_standin *ps, struct httpd_request *req)
{
	const char *table = httpd_query(req, "table");
	const char *prefix = httpd_query(req, "prefix");
	const char *after = httpd_query(req, "after");
	const char *limit = httpd_query(req, "limit");
	struct scan scan = {.rows = json_array(), .limit = SCAN_LIMIT_MAX};
	char *full_prefix = make_full_key(table ? table : "", prefix ? prefix : "");
	char *full_after =
		after && *after ? make_full_key(table ? table : "", after) : g_strdup("");

	ps->reads++;
	scan.prefix = full_prefix;
	scan.after = full_after;
	scan.table_prefix_len = strlen(table ? table : "") + 1;
	if (limit && atoi(limit) > 0)
		scan.limit = MIN((size_t)atoi(limit), SCAN_LIMIT_MAX);
	g_tree_foreach(ps->rows, scan_row, &scan);
	g_free(full_prefix);
	g_free(full_after);
	answer(ps, req, 200,
	       json_pack("{sI so}", "version", (json_int_t)ps->next_version, "value", scan.rows),
	       false);
}

/* ---- VM list ---- */

static void vm_list_add_snapshot(struct platform_standin *ps)
{
	struct vm_list_snapshot *snapshot = talloc_zero(ps, struct vm_list_snapshot);
	const char *id;
	json_t *vm;

	snapshot->since = base_now_ns();
	snapshot->version = ++ps->vm_version;
	snapshot->list = json_array();
	json_object_foreach(ps->vms, id, vm)
		json_array_append_new(snapshot->list, json_deep_copy(vm));
	g_queue_push_tail(&ps->vm_snapshots, snapshot);
}

/*
 * Returns the newest snapshot that is at least vm_lag_ms old, or the oldest one
 * when none is, and frees the snapshots before it.
 */
static struct vm_list_snapshot *vm_list_served(struct platform_standin *ps)
{
	int64_t horizon = base_now_ns() - ps->faults.vm_lag_ms * BASE_NS_PER_MS;

	for (;;) {
		struct vm_list_snapshot *second = g_queue_peek_nth(&ps->vm_snapshots, 1);
		struct vm_list_snapshot *first;

		if (!second || second->since > horizon)
			return g_queue_peek_head(&ps->vm_snapshots);
		first = g_queue_pop_head(&ps->vm_snapshots);
		json_decref(first->list);
		talloc_free(first);
	}
}

static void handle_vms(struct platform_standin *ps, struct httpd_request *req)
{
	const char *since = httpd_query(req, "since");
	struct vm_list_snapshot *snapshot = vm_list_served(ps);

	ps->reads++;
	if (since && g_ascii_strtoll(since, NULL, 10) == snapshot->version)
		answer(ps, req, 200, json_pack("{sI}", "version", (json_int_t)snapshot->version),
		       false);
	else
		answer(ps, req, 200,
		       json_pack("{sI sO}", "version", (json_int_t)snapshot->version, "value",
				 snapshot->list),
		       false);
}

/*
 * PUT /admin/vms takes a list of entries. Each replaces the entry of the same
 * id, or removes it when its state is "gone".
 */
static void handle_admin_vms(struct platform_standin *ps, struct httpd_request *req)
{
	json_t *list = json_loadb(req->body.ptr, req->body.len, 0, NULL);
	size_t i;
	json_t *vm;

	json_array_foreach(list, i, vm) {
		const char *id = base_json_str(vm, "id", "");

		if (!strcmp(base_json_str(vm, "state", "live"), "gone"))
			json_object_del(ps->vms, id);
		else
			json_object_set(ps->vms, id, vm);
	}
	json_decref(list);
	vm_list_add_snapshot(ps);
	httpd_reply_json(req, 200, json_pack("{sI}", "version", (json_int_t)ps->vm_version));
}

/* ---- faults and dispatch ---- */

static void handle_fault(struct platform_standin *ps, struct httpd_request *req)
{
	json_t *doc = json_loadb(req->body.ptr, req->body.len, 0, NULL);
	struct faults *f = &ps->faults;

	f->down = base_json_bool(doc, "down", f->down);
	f->drop = base_json_bool(doc, "drop", f->drop);
	f->slow_ms = base_json_int(doc, "slow_ms", f->slow_ms);
	f->lose_percent = base_json_int(doc, "lose_percent", f->lose_percent);
	f->write_limit = base_json_int(doc, "write_limit", f->write_limit);
	f->vm_lag_ms = base_json_int(doc, "vm_lag_ms", f->vm_lag_ms);
	if (json_object_get(doc, "cut")) {
		json_decref(f->cut);
		f->cut = json_incref(json_object_get(doc, "cut"));
	}
	ledger_write(ps->ledger, json_pack("{ss sO}", "act", "fault", "fault", doc));
	json_decref(doc);
	httpd_reply_json(req, 200, json_object());
}

static bool is_cut(struct platform_standin *ps, struct httpd_request *req)
{
	const char *vm = httpd_header(req, "X-Vm");
	size_t i;
	json_t *id;

	json_array_foreach(ps->faults.cut, i, id) {
		if (vm && !strcmp(json_string_value(id), vm))
			return true;
	}
	return false;
}

static void on_request(struct httpd_request *req)
{
	struct platform_standin *ps = req->server_data;

	if (!strcmp(req->path, "/fault"))
		handle_fault(ps, req);
	else if (!strcmp(req->path, "/admin/vms"))
		handle_admin_vms(ps, req);
	else if (!strcmp(req->path, "/admin/counts"))
		httpd_reply_json(req, 200,
				 json_pack("{sI sI}", "reads", (json_int_t)ps->reads, "writes",
					   (json_int_t)ps->writes));
	else if (ps->faults.drop || is_cut(ps, req))
		answer(ps, req, 0, json_object(), true);
	else if (ps->faults.down)
		answer(ps, req, 503, json_pack("{ss}", "error", "down"), false);
	else if (!strcmp(req->path, "/v1/tx"))
		handle_tx(ps, req);
	else if (!strcmp(req->path, "/v1/row"))
		handle_row(ps, req);
	else if (!strcmp(req->path, "/v1/scan"))
		handle_scan(ps, req);
	else if (!strcmp(req->path, "/v1/vms"))
		handle_vms(ps, req);
	else
		httpd_reply_json(req, 404, json_pack("{ss}", "error", "no such path"));
}

static void on_signal(struct tevent_context *ev G_GNUC_UNUSED,
		      struct tevent_signal *se G_GNUC_UNUSED, int signum G_GNUC_UNUSED,
		      int count G_GNUC_UNUSED, void *info G_GNUC_UNUSED, void *data)
{
	*(bool *)data = true;
}

int main(int argc, char **argv)
{
	struct arg_str *ip = arg_str0(NULL, "ip", "ADDRESS", "address to listen on (127.0.0.1)");
	struct arg_int *port = arg_int1(NULL, "port", "PORT", "port to listen on");
	struct arg_str *path = arg_str0(NULL, "ledger", "FILE", "append every event to this file");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {ip, port, path, help, end};
	struct platform_standin *ps = talloc_zero(NULL, struct platform_standin);
	struct httpd_options opt = {.ip = "127.0.0.1",
				    .body_max = BODY_MAX,
				    .connections_max = CONNECTIONS_MAX,
				    .idle_timeout_s = IDLE_S};
	bool is_stopping = false;
	int errors = arg_parse(argc, argv, table);

	if (help->count || errors) {
		printf("usage: standin-platform");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return help->count ? 0 : 2;
	}
	base_log_init("standin-platform", "platform", "-");
	ps->ev = tevent_context_init(ps);
	ps->rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	ps->next_version = 1;
	ps->vms = json_object();
	vm_list_add_snapshot(ps);
	if (path->count)
		ps->ledger = ledger_new(ps, path->sval[0]);
	if (ip->count)
		opt.ip = ip->sval[0];
	opt.port = (uint16_t)port->ival[0];
	if (!httpd_new(ps, ps->ev, &opt, on_request, ps)) {
		log_warn("listen", "cannot listen on %s:%u", opt.ip, opt.port);
		return 1;
	}
	tevent_add_signal(ps->ev, ps, SIGTERM, 0, on_signal, &is_stopping);
	signal(SIGPIPE, SIG_IGN);
	while (!is_stopping)
		tevent_loop_once(ps->ev);
	talloc_free(ps);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
