#include "qchange.h"

#include <string.h>

#include "proto/proto.h"

/* ---- encode ---- */

static bool queue_equal(const struct queue *a, const struct queue *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->host, b->host) &&
	       !strcmp(a->prefix, b->prefix) && !strcmp(a->service, b->service) &&
	       a->priority == b->priority && a->attempts == b->attempts &&
	       a->stretch == b->stretch && a->slo_ms == b->slo_ms && a->is_public == b->is_public &&
	       a->has_advisor == b->has_advisor;
}

static guint queue_hash(gconstpointer key)
{
	const struct queue *q = key;
	uint64_t hash = base_hash(q->name, strlen(q->name), 0);

	hash = base_hash(q->prefix, strlen(q->prefix), hash);
	return (guint)hash;
}

static gboolean queue_equal_keys(gconstpointer a, gconstpointer b)
{
	return queue_equal(a, b);
}

static bool workspaces_equal(const struct queues *a, const struct queues *b)
{
	if (a->workspace_count != b->workspace_count)
		return false;
	for (unsigned int i = 0; i < a->workspace_count; i++) {
		const struct workspace *x = &a->workspace[i];
		const struct workspace *y = &b->workspace[i];

		if (strcmp(x->name, y->name) || x->key_count != y->key_count ||
		    x->guaranteed_accelerators != y->guaranteed_accelerators)
			return false;
		for (unsigned int k = 0; k < x->key_count; k++)
			if (strcmp(x->keys[k], y->keys[k]))
				return false;
	}
	return true;
}

/* strings of @out are borrowed */
static void encode_queue(const struct queue *q, cl_queue *out)
{
	*out = (cl_queue){q->name,     q->host,	   q->prefix, q->service,   q->priority,
			  q->attempts, q->stretch, q->slo_ms, q->is_public, q->has_advisor};
}

static void encode_workspaces(TALLOC_CTX *ctx, const struct queues *q, cl_config_change *out)
{
	out->has_workspaces = true;
	out->workspaces.workspaces_val = talloc_array(ctx, cl_workspace, q->workspace_count);
	out->workspaces.workspaces_len = q->workspace_count;
	for (unsigned int i = 0; i < q->workspace_count; i++) {
		const struct workspace *w = &q->workspace[i];
		cl_workspace *to = &out->workspaces.workspaces_val[i];

		to->name = w->name;
		to->keys.keys_len = w->key_count;
		to->keys.keys_val = w->keys;
		to->guaranteed_accelerators = w->guaranteed_accelerators;
	}
}

/*
 * Each queue of @after continues a run of @before, begins one, or is added. @added has room
 * for all queues of @after, and each run's added queues are a part of it.
 */
static void encode_runs(const struct queues *before, const struct queues *after,
			cl_config_change *out, cl_queue *added)
{
	GHashTable *known = g_hash_table_new(queue_hash, queue_equal_keys);
	unsigned int before_count = before ? before->queue_count : 0;
	cl_queue_run *run = NULL;

	for (unsigned int i = 0; i < before_count; i++)
		g_hash_table_insert(known, &before->queue[i], &before->queue[i]);
	for (unsigned int i = 0; i < after->queue_count; i++) {
		const struct queue *q = &after->queue[i];
		unsigned int next = run ? run->first + run->count : 0;
		const struct queue *same;

		if (run && !run->added.added_len && next < before_count &&
		    queue_equal(&before->queue[next], q)) {
			run->count++;
			continue;
		}
		same = g_hash_table_lookup(known, q);
		if (same || !run) {
			run = &out->runs.runs_val[out->runs.runs_len++];
			*run = (cl_queue_run){same ? (unsigned int)(same - before->queue) : 0,
					      same ? 1 : 0,
					      {0, added}};
		}
		if (same)
			continue;
		if (!run->added.added_len)
			run->added.added_val = added;
		encode_queue(q, added++);
		run->added.added_len++;
	}
	g_hash_table_destroy(known);
}

struct str qchange_encode(TALLOC_CTX *ctx, const struct queues *before, const struct queues *after)
{
	cl_config_change change = {.before = before ? before->version : 0,
				   .after = after->version,
				   .body_max = after->body_max};
	TALLOC_CTX *tmp = talloc_new(ctx);
	struct str out = {NULL, 0};
	size_t size;
	char *buf;
	XDR xdr;

	if (after->queue_count > CL_QUEUES_MAX)
		goto out;
	change.runs.runs_val = talloc_array(tmp, cl_queue_run, after->queue_count + 1);
	encode_runs(before, after, &change, talloc_array(tmp, cl_queue, after->queue_count + 1));
	if (!before || !workspaces_equal(before, after))
		encode_workspaces(tmp, after, &change);
	size = xdr_sizeof((xdrproc_t)xdr_cl_config_change, &change);
	if (!size || size > CL_BLOB_MAX)
		goto out;
	buf = talloc_size(ctx, size);
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	if (xdr_cl_config_change(&xdr, &change))
		out = (struct str){buf, xdr_getpos(&xdr)};
	else
		talloc_free(buf);
out:
	talloc_free(tmp);
	return out;
}

/* ---- apply ---- */

static void copy_queue(TALLOC_CTX *ctx, const cl_queue *q, struct queue *out)
{
	*out = (struct queue){talloc_strdup(ctx, q->name),
			      talloc_strdup(ctx, q->host),
			      talloc_strdup(ctx, q->prefix),
			      talloc_strdup(ctx, q->service),
			      q->priority,
			      q->attempts,
			      q->stretch,
			      q->slo_ms,
			      q->is_public,
			      q->has_advisor};
}

static void copy_workspace(TALLOC_CTX *ctx, const cl_workspace *w, struct workspace *out)
{
	out->name = talloc_strdup(ctx, w->name);
	out->guaranteed_accelerators = w->guaranteed_accelerators;
	out->keys = talloc_array(ctx, char *, w->keys.keys_len + 1);
	for (unsigned int i = 0; i < w->keys.keys_len; i++)
		out->keys[out->key_count++] = talloc_strdup(ctx, w->keys.keys_val[i]);
}

/* Returns the number of queues that the runs make, or -1 when a run exceeds @before. */
static int64_t count_queues(const cl_config_change *change, unsigned int before_count)
{
	int64_t count = 0;

	for (unsigned int i = 0; i < change->runs.runs_len; i++) {
		const cl_queue_run *run = &change->runs.runs_val[i];

		if ((uint64_t)run->first + run->count > before_count)
			return -1;
		count += (int64_t)run->count + run->added.added_len;
	}
	return count;
}

static void apply_runs(struct queues *q, const struct queues *before,
		       const cl_config_change *change)
{
	for (unsigned int i = 0; i < change->runs.runs_len; i++) {
		const cl_queue_run *run = &change->runs.runs_val[i];

		for (unsigned int k = 0; k < run->count; k++) {
			cl_queue same;

			encode_queue(&before->queue[run->first + k], &same);
			copy_queue(q, &same, &q->queue[q->queue_count++]);
		}
		for (unsigned int k = 0; k < run->added.added_len; k++)
			copy_queue(q, &run->added.added_val[k], &q->queue[q->queue_count++]);
	}
}

static void apply_workspaces(struct queues *q, const struct queues *before,
			     const cl_config_change *change)
{
	cl_config_change kept = {.before = 0};
	const cl_config_change *from = change;

	if (!change->has_workspaces && before) {
		encode_workspaces(q, before, &kept);
		from = &kept;
	}
	q->workspace = talloc_zero_array(q, struct workspace, from->workspaces.workspaces_len);
	for (unsigned int i = 0; i < from->workspaces.workspaces_len; i++)
		copy_workspace(q, &from->workspaces.workspaces_val[i],
			       &q->workspace[q->workspace_count++]);
	talloc_free(kept.workspaces.workspaces_val);
}

struct queues *qchange_apply(TALLOC_CTX *ctx, const struct queues *before, struct str change,
			     const char **fault)
{
	cl_config_change decoded = {0};
	struct queues *q = NULL;
	int64_t count;
	XDR xdr;

	*fault = NULL;
	xdrmem_create(&xdr, (char *)change.ptr, (u_int)change.len, XDR_DECODE);
	if (!xdr_cl_config_change(&xdr, &decoded)) {
		*fault = "it cannot be decoded";
		goto out;
	}
	if (decoded.before != 0 && (!before || decoded.before != before->version)) {
		*fault = "it follows another version";
		goto out;
	}
	if (before && decoded.after <= before->version) {
		*fault = "it is not newer";
		goto out;
	}
	count = count_queues(&decoded, decoded.before ? before->queue_count : 0);
	if (count < 0 || count > CL_QUEUES_MAX) {
		*fault = "it copies queues that do not exist, or has too many";
		goto out;
	}
	q = talloc_zero(ctx, struct queues);
	q->version = decoded.after;
	q->body_max = decoded.body_max;
	q->queue = talloc_zero_array(q, struct queue, (unsigned int)count);
	apply_runs(q, before, &decoded);
	apply_workspaces(q, decoded.before ? before : NULL, &decoded);
out:
	xdr_free((xdrproc_t)xdr_cl_config_change, (char *)&decoded);
	return q;
}

/* ---- the last changes ---- */

struct step {
	int64_t before;
	int64_t version;
	struct str change;
};

struct qchange_history {
	GQueue *steps; /* struct step, oldest first; each begins where the one before ends */
	size_t bytes;
};

static void drop_oldest(struct qchange_history *h)
{
	struct step *step = g_queue_pop_head(h->steps);

	h->bytes -= step->change.len;
	talloc_free(step);
}

static int history_destructor(struct qchange_history *h)
{
	g_queue_free(h->steps);
	return 0;
}

struct qchange_history *qchange_history_new(TALLOC_CTX *ctx)
{
	struct qchange_history *h = talloc_zero(ctx, struct qchange_history);

	h->steps = g_queue_new();
	talloc_set_destructor(h, history_destructor);
	return h;
}

void qchange_history_add(struct qchange_history *h, int64_t before, int64_t version,
			 struct str change)
{
	const struct step *newest = g_queue_peek_tail(h->steps);
	struct step *step;
	bool is_kept = before && change.len && change.len <= QCHANGE_HISTORY_BYTES;

	if (newest && (!is_kept || newest->version != before))
		while (h->steps->length)
			drop_oldest(h);
	if (!is_kept)
		return;
	step = talloc_zero(h, struct step);
	step->before = before;
	step->version = version;
	step->change.ptr = talloc_memdup(step, change.ptr, change.len);
	step->change.len = change.len;
	g_queue_push_tail(h->steps, step);
	h->bytes += change.len;
	while (h->bytes > QCHANGE_HISTORY_BYTES || h->steps->length > QCHANGE_HISTORY_STEPS)
		drop_oldest(h);
}

unsigned int qchange_history_since(const struct qchange_history *h, int64_t version,
				   struct str *out)
{
	unsigned int count = 0;

	for (const GList *l = h->steps->head; l; l = l->next) {
		const struct step *step = l->data;

		if (count || step->before == version)
			out[count++] = step->change;
	}
	return count;
}
