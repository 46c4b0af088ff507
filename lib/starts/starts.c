#include "starts.h"

#include <string.h>

/* copied, because the task may be released before the line is written */
struct start {
	const struct work_group *group;
	unsigned int order; /* of the group, among those with a start */
	unsigned int index;
	uint32_t attempt;
	const struct fleet_server *server;
};

/**
 * struct starts - starts that are not in a line yet
 * @list: struct start
 * @next: index of the first one that is in no line yet
 * @groups: number of groups so far
 */
struct starts {
	GArray *list;
	guint next;
	unsigned int groups;
	bool is_sorted;
};

static int starts_destructor(struct starts *s)
{
	g_array_free(s->list, TRUE);
	return 0;
}

struct starts *starts_new(TALLOC_CTX *ctx)
{
	struct starts *s = talloc_zero(ctx, struct starts);

	s->list = g_array_new(FALSE, FALSE, sizeof(struct start));
	talloc_set_destructor(s, starts_destructor);
	return s;
}

void starts_add(struct starts *s, const struct work_task *task)
{
	guint count = s->list->len;
	const struct start *last = count ? &g_array_index(s->list, struct start, count - 1) : NULL;
	struct start start = {.group = task->group,
			      .index = task->index,
			      .attempt = task->attempt,
			      .server = task->server};

	start.order = last && last->group == task->group ? last->order : s->groups++;
	g_array_append_val(s->list, start);
	s->is_sorted = false;
}

static gint compare_start(gconstpointer a, gconstpointer b)
{
	const struct start *x = a;
	const struct start *y = b;
	int by_server = strcmp(x->server->id, y->server->id);

	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	if (x->attempt != y->attempt)
		return x->attempt < y->attempt ? -1 : 1;
	if (by_server)
		return by_server;
	return x->index < y->index ? -1 : x->index > y->index;
}

/* bytes of a task's index, and of its server if that is not in the line yet */
static size_t bytes_of(const struct start *start, bool is_new_server)
{
	size_t bytes = sizeof("4096,") - 1;
	json_t *id;

	if (is_new_server) {
		id = json_string(start->server->id);
		bytes += json_dumpb(id, NULL, 0, JSON_ENCODE_ANY) + sizeof(":[],") - 1;
		json_decref(id);
	}
	return bytes;
}

static json_t *line_of(const struct start *first, unsigned int tasks, json_t *servers)
{
	const struct work_group *g = first->group;

	return json_pack("{ss si si sI si sI sb ss so}", "id", g->job->id, "occurrence",
			 (int)g->occurrence, "step", (int)g->step_index, "attempt",
			 (json_int_t)first->attempt, "tasks", (int)tasks, "cores",
			 (json_int_t)(fleet_millicore_equivalent(&g->step->need) / 1000),
			 "checkpoints", g->step->checkpoints, "why",
			 first->attempt == 1 ? "first start" : "started again", "servers", servers);
}

json_t *starts_take_line(struct starts *s)
{
	const struct start *first;
	json_t *servers;
	size_t bytes = 0;
	unsigned int tasks = 0;

	if (!s->is_sorted)
		g_array_sort(s->list, compare_start);
	s->is_sorted = true;
	if (s->next == s->list->len)
		return NULL;
	first = &g_array_index(s->list, struct start, s->next);
	servers = json_object();
	for (; s->next < s->list->len; s->next++, tasks++) {
		const struct start *start = &g_array_index(s->list, struct start, s->next);
		json_t *indices = json_object_get(servers, start->server->id);

		bytes += bytes_of(start, !indices);
		if (start->order != first->order || start->attempt != first->attempt ||
		    (tasks && bytes > STARTS_SERVERS_BYTES_MAX))
			break;
		if (!indices) {
			indices = json_array();
			json_object_set_new(servers, start->server->id, indices);
		}
		json_array_append_new(indices, json_integer(start->index));
	}
	return line_of(first, tasks, servers);
}
