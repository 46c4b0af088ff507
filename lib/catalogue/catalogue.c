#include "catalogue.h"
#include "policy/policy.h"
#include "toml/toml.h"

#include <dirent.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum field_type { FIELD_TEXT, FIELD_INTEGER, FIELD_BOOL, FIELD_CHOICE, FIELD_CELLS };

/* name, type, required, minimum, maximum, choices, expected value in error messages */
#define WORKSPACE_FIELDS(X)                                                                       \
	X("owner", FIELD_TEXT, true, 1, 128, NULL, "who answers for it")                          \
	X("quota_accelerators", FIELD_INTEGER, false, 0, 1000000, NULL,                           \
	  "a whole number, 0 for no limit")                                                       \
	X("precedence", FIELD_INTEGER, false, 0, 1000, NULL, "a whole number, lower comes first") \
	X("requests_in_flight", FIELD_INTEGER, false, 0, 1000000, NULL,                           \
	  "a whole number, 0 for no limit")                                                       \
	X("guarantee", FIELD_CELLS, false, 0, CATALOGUE_CELLS_MAX, NULL,                          \
	  "a list of {failure_domain, accelerators, together = \"server\" or \"rack\", count}")

#define KIND_FIELDS(X)                                                                         \
	X("owner", FIELD_TEXT, true, 1, 128, NULL, "who answers for it")                       \
	X("workspace", FIELD_TEXT, true, 1, 64, NULL, "the name of a workspace")               \
	X("class", FIELD_CHOICE, true, 0, 0, "urgent normal batch", "urgent, normal or batch") \
	X("work", FIELD_CHOICE, true, 0, 0, "request job", "request or job")                   \
	X("idempotent", FIELD_BOOL, true, 0, 0, NULL, "true or false")                         \
	X("checkpointable", FIELD_BOOL, false, 0, 0, NULL, "true or false")                    \
	X("deadline_ms", FIELD_INTEGER, false, 1, 3600000, NULL, "1 to 3600000 milliseconds")  \
	X("max_gang", FIELD_INTEGER, false, 1, POLICY_GANG_MAX, NULL, "1 to 1024 tasks")       \
	X("max_accelerators", FIELD_INTEGER, false, 1, POLICY_ACCELERATORS_MAX, NULL,          \
	  "1 to 32 accelerators a task")                                                       \
	X("max_run_s", FIELD_INTEGER, false, 1, 2592000, NULL, "1 to 2592000 seconds")         \
	X("share_percent", FIELD_INTEGER, false, 1, 100, NULL, "1 to 100")

/*
 * Schema of one field. @min and @max bound the length of a text in bytes, the
 * value of an integer or the number of cells; @choices is a list separated by
 * spaces.
 */
struct field {
	const char *name;
	enum field_type type;
	bool required;
	int64_t min;
	int64_t max;
	const char *choices;
	const char *expected;
};

static const struct field workspace_fields[] = {
#define X(name, type, required, min, max, choices, expected) \
	{name, type, required, min, max, choices, expected},
	WORKSPACE_FIELDS(X)
#undef X
};

static const struct field kind_fields[] = {
#define X(name, type, required, min, max, choices, expected) \
	{name, type, required, min, max, choices, expected},
	KIND_FIELDS(X)
#undef X
};

struct checker {
	char *faults; /* validation errors found up to now, one per line */
	const json_t *entries;
	/*
	 * For each entry its {"file", "lines", "path"}: "lines" gives the line number of
	 * each dotted path in the file, "path" the dotted path of the entry. NULL when the
	 * entries were not read from files.
	 */
	json_t *sources;
};

static void add_fault(struct checker *c, const char *entry, const char *field, const char *expected)
{
	const json_t *source = json_object_get(c->sources, entry);
	char path[256];
	int64_t line;

	g_snprintf(path, sizeof(path), "%s.%s", base_json_str(source, "path", ""), field);
	line = base_json_int(json_object_get(source, "lines"), path, 0);
	if (!line)
		line = base_json_int(json_object_get(source, "lines"),
				     base_json_str(source, "path", ""), 0);
	if (source)
		c->faults = talloc_asprintf_append(c->faults, "%s:%" PRId64 ": ",
						   base_json_str(source, "file", ""), line);
	c->faults =
		talloc_asprintf_append(c->faults, "%s: %s: expected %s\n", entry, field, expected);
}

static bool is_choice(const char *choices, const char *text)
{
	char **list = g_strsplit(choices, " ", -1);
	bool found = g_strv_contains((const char *const *)list, text);

	g_strfreev(list);
	return found;
}

static bool is_valid_cell(const json_t *cell)
{
	const char *together = base_json_str(cell, "together", "");
	int64_t n = base_json_int(cell, "accelerators", 0);
	int64_t count = base_json_int(cell, "count", 1);

	if (!base_json_str(cell, "failure_domain", NULL) || count < 1 || count > 4096)
		return false;
	if (!strcmp(together, "server"))
		return n >= 1 && n <= POLICY_ACCELERATORS_MAX;
	return !strcmp(together, "rack") && n >= 1 && n <= 1024;
}

static bool is_valid_value(const struct field *f, const json_t *v)
{
	const char *s = json_string_value(v);
	size_t i;
	json_t *item;

	switch (f->type) {
	case FIELD_TEXT:
		return s && (int64_t)strlen(s) >= f->min && (int64_t)strlen(s) <= f->max;
	case FIELD_INTEGER:
		return json_is_integer(v) && json_integer_value(v) >= f->min &&
		       json_integer_value(v) <= f->max;
	case FIELD_BOOL:
		return json_is_boolean(v);
	case FIELD_CHOICE:
		return s && is_choice(f->choices, s);
	case FIELD_CELLS:
		if (!json_is_array(v) || json_array_size(v) > (size_t)f->max)
			return false;
		json_array_foreach(v, i, item) {
			if (!is_valid_cell(item))
				return false;
		}
		return true;
	}
	return false;
}

static void check_fields(struct checker *c, const char *entry, const json_t *value,
			 const struct field *fields, size_t count)
{
	const char *key;
	json_t *v;

	for (size_t i = 0; i < count; i++) {
		v = json_object_get(value, fields[i].name);
		if (v ? !is_valid_value(&fields[i], v) : fields[i].required)
			add_fault(c, entry, fields[i].name, fields[i].expected);
	}
	json_object_foreach((json_t *)value, key, v) {
		bool known = false;

		for (size_t i = 0; i < count; i++)
			known = known || !strcmp(fields[i].name, key);
		if (!known)
			add_fault(c, entry, key, "no such key");
	}
}

static bool is_valid_name(const char *name)
{
	size_t n = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-");

	return n && !name[n] && n <= 64;
}

static void check_entry(struct checker *c, const char *entry, const json_t *value)
{
	const char *slash = strchr(entry, '/');
	char workspace[160];

	if (!slash || !is_valid_name(slash + 1)) {
		add_fault(c, entry, "name", "lowercase letters, digits and '-', at most 64");
		return;
	}
	if (g_str_has_prefix(entry, "workspace/")) {
		check_fields(c, entry, value, workspace_fields, G_N_ELEMENTS(workspace_fields));
		return;
	}
	if (!g_str_has_prefix(entry, "kind/")) {
		add_fault(c, entry, "name", "a table [workspace.NAME] or [kind.NAME]");
		return;
	}
	check_fields(c, entry, value, kind_fields, G_N_ELEMENTS(kind_fields));
	g_snprintf(workspace, sizeof(workspace), "workspace/%s",
		   base_json_str(value, "workspace", ""));
	if (!json_object_get(c->entries, workspace))
		add_fault(c, entry, "workspace", "the name of a workspace in this catalogue");
}

static char *check_entries(TALLOC_CTX *ctx, const json_t *entries, json_t *sources)
{
	struct checker c = {.entries = entries, .sources = sources};
	const char *entry;
	json_t *value;

	c.faults = talloc_strdup(ctx, "");
	json_object_foreach((json_t *)entries, entry, value)
		check_entry(&c, entry, value);
	if (*c.faults)
		return c.faults;
	talloc_free(c.faults);
	return NULL;
}

char *catalogue_check(TALLOC_CTX *ctx, const json_t *entries)
{
	return check_entries(ctx, entries, NULL);
}

/* ---- files ---- */

static char *load_file(TALLOC_CTX *ctx, const char *path, json_t *entries, json_t *sources)
{
	json_t *lines = NULL;
	char *error = NULL;
	json_t *doc = toml_load(path, &lines, &error);
	char *faults = talloc_strdup(ctx, "");
	const char *section;
	const char *name;
	json_t *table;
	json_t *value;

	if (!doc) {
		faults = talloc_asprintf_append(faults, "%s\n", error);
		free(error);
		return faults;
	}
	json_object_foreach(doc, section, table) {
		json_object_foreach(table, name, value) {
			char entry[192];
			char dotted[192];

			g_snprintf(entry, sizeof(entry), "%s/%s", section, name);
			g_snprintf(dotted, sizeof(dotted), "%s.%s", section, name);
			if (json_object_get(entries, entry))
				faults = talloc_asprintf_append(
					faults,
					"%s:%" PRId64 ": %s: expected one definition only\n", path,
					base_json_int(lines, dotted, 0), entry);
			json_object_set(entries, entry, value);
			json_object_set_new(sources, entry,
					    json_pack("{ss sO ss}", "file", path, "lines", lines,
						      "path", dotted));
		}
	}
	json_decref(doc);
	json_decref(lines);
	return faults;
}

static int is_toml(const struct dirent *d)
{
	return g_str_has_suffix(d->d_name, ".toml");
}

json_t *catalogue_load(TALLOC_CTX *ctx, const char *dir, char **faults)
{
	json_t *entries = json_object();
	json_t *sources = json_object();
	struct dirent **names = NULL;
	int n = scandir(dir, &names, is_toml, alphasort);
	char *invalid;

	*faults = talloc_strdup(ctx, "");
	if (n <= 0)
		*faults = talloc_asprintf_append(*faults,
						 "%s: expected a directory of .toml files\n", dir);
	for (int i = 0; i < n; i++) {
		char *path = talloc_asprintf(ctx, "%s/%s", dir, names[i]->d_name);

		*faults = talloc_strdup_append(*faults, load_file(ctx, path, entries, sources));
		free(names[i]);
	}
	free(names);
	invalid = check_entries(ctx, entries, sources);
	if (invalid)
		*faults = talloc_strdup_append(*faults, invalid);
	json_decref(sources);
	if (!**faults) {
		TALLOC_FREE(*faults);
		return entries;
	}
	json_decref(entries);
	return NULL;
}

/* ---- index ---- */

static void parse_cells(struct catalogue_workspace *ws, TALLOC_CTX *ctx, const json_t *list)
{
	size_t i;
	json_t *v;

	json_array_foreach(list, i, v) {
		struct catalogue_cell *cell = &ws->cells[ws->cell_count++];

		cell->failure_domain = talloc_strdup(ctx, base_json_str(v, "failure_domain", ""));
		cell->accelerators = base_json_int(v, "accelerators", 1);
		cell->in_server = !strcmp(base_json_str(v, "together", ""), "server");
		cell->count = base_json_int(v, "count", 1);
	}
}

static void parse_kind(struct catalogue *c, const char *name, const json_t *v)
{
	struct catalogue_kind *k = talloc_zero(c, struct catalogue_kind);

	k->name = talloc_strdup(k, name);
	k->workspace = talloc_strdup(k, base_json_str(v, "workspace", ""));
	k->cls = base_class_parse(base_json_str(v, "class", "normal"));
	k->work = !strcmp(base_json_str(v, "work", ""), "job") ? WORK_JOB : WORK_REQUEST;
	k->idempotent = base_json_bool(v, "idempotent", false);
	k->checkpointable = base_json_bool(v, "checkpointable", false);
	k->deadline_ms = base_json_int(v, "deadline_ms", 10000);
	k->gang = base_json_int(v, "max_gang", 1);
	k->accelerators = base_json_int(v, "max_accelerators", 8);
	k->run_limit_s = base_json_int(v, "max_run_s", 86400);
	k->share_percent = base_json_int(v, "share_percent", 100);
	g_hash_table_insert(c->kind_by_name, k->name, k);
}

static int catalogue_destructor(struct catalogue *c)
{
	g_hash_table_destroy(c->workspace_by_name);
	g_hash_table_destroy(c->kind_by_name);
	return 0;
}

struct catalogue *catalogue_new(TALLOC_CTX *ctx, const json_t *entries, int64_t version)
{
	struct catalogue *c = talloc_zero(ctx, struct catalogue);
	const char *entry;
	json_t *v;

	c->version = version;
	c->workspace_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->kind_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->workspaces = talloc_zero_array(c, struct catalogue_workspace,
					  (unsigned int)json_object_size(entries));
	json_object_foreach((json_t *)entries, entry, v) {
		struct catalogue_workspace *ws = &c->workspaces[c->workspace_count];

		if (g_str_has_prefix(entry, "kind/"))
			parse_kind(c, entry + strlen("kind/"), v);
		if (!g_str_has_prefix(entry, "workspace/"))
			continue;
		ws->name = talloc_strdup(c, entry + strlen("workspace/"));
		ws->quota = base_json_int(v, "quota_accelerators", 0);
		ws->precedence = base_json_int(v, "precedence", 100);
		ws->requests = base_json_int(v, "requests_in_flight", 0);
		parse_cells(ws, c, json_object_get(v, "guarantee"));
		g_hash_table_insert(c->workspace_by_name, ws->name, ws);
		c->workspace_count++;
	}
	talloc_set_destructor(c, catalogue_destructor);
	return c;
}

const struct catalogue_workspace *catalogue_find_workspace(const struct catalogue *c,
							   const char *name)
{
	return g_hash_table_lookup(c->workspace_by_name, name);
}

const struct catalogue_kind *catalogue_find_kind(const struct catalogue *c, const char *name)
{
	return g_hash_table_lookup(c->kind_by_name, name);
}

/* ---- guarantees ---- */

static void set_domain_workspaces(struct policy *p, const struct catalogue *c, const char *domain)
{
	struct policy_workspace *list =
		talloc_zero_array(p, struct policy_workspace, c->workspace_count + 1);

	for (unsigned int i = 0; i < c->workspace_count; i++) {
		const struct catalogue_workspace *ws = &c->workspaces[i];
		struct policy_cell *cells = talloc_array(p, struct policy_cell, ws->cell_count + 1);

		list[i].name = ws->name;
		list[i].precedence = ws->precedence;
		list[i].cells = cells;
		for (unsigned int k = 0; k < ws->cell_count; k++) {
			if (strcmp(ws->cells[k].failure_domain, domain))
				continue;
			cells[list[i].cell_count].accelerators = ws->cells[k].accelerators;
			cells[list[i].cell_count].in_server = ws->cells[k].in_server;
			cells[list[i].cell_count++].count = ws->cells[k].count;
		}
	}
	policy_workspaces_set(p, list, c->workspace_count);
}

static char *check_domain_guarantees(TALLOC_CTX *ctx, const struct catalogue *c, const json_t *vms,
				     const char *domain, char *faults)
{
	struct policy_options opt = {0};
	struct policy *p = policy_new(ctx, &opt);
	size_t i;
	json_t *vm;

	json_array_foreach(vms, i, vm) {
		if (!strcmp(base_json_str(vm, "role", ""), "backend") &&
		    !strcmp(base_json_str(vm, "failure_domain", ""), domain))
			policy_server_set(
				p, base_json_str(vm, "id", ""), base_json_str(vm, "rack", ""),
				base_json_int(vm, "accelerators", 0), POLICY_SERVER_USABLE);
	}
	set_domain_workspaces(p, c, domain);
	for (unsigned int k = 0; k < c->workspace_count; k++) {
		int64_t unplaced = policy_unbound_accelerators(p, c->workspaces[k].name);

		if (unplaced)
			faults = talloc_asprintf_append(
				faults,
				"workspace/%s: guarantee: expected guarantees that all fit %s at "
				"once; %" PRId64 " accelerators do not\n",
				c->workspaces[k].name, domain, unplaced);
	}
	talloc_free(p);
	return faults;
}

char *catalogue_check_guarantees(TALLOC_CTX *ctx, const json_t *entries, const json_t *vms)
{
	struct catalogue *c = catalogue_new(ctx, entries, 0);
	GHashTable *domains = g_hash_table_new(g_str_hash, g_str_equal);
	char *faults = talloc_strdup(ctx, "");
	GHashTableIter iter;
	gpointer domain;

	for (unsigned int i = 0; i < c->workspace_count; i++)
		for (unsigned int k = 0; k < c->workspaces[i].cell_count; k++)
			g_hash_table_add(domains, c->workspaces[i].cells[k].failure_domain);
	g_hash_table_iter_init(&iter, domains);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		faults = check_domain_guarantees(ctx, c, vms, domain, faults);
	g_hash_table_destroy(domains);
	talloc_free(c);
	if (*faults)
		return faults;
	talloc_free(faults);
	return NULL;
}

/* ---- changes ---- */

static void add_change(json_t *changes, const char *entry, json_t *old, json_t *new)
{
	json_array_append_new(changes,
			      json_pack("{ss sO? sO?}", "entry", entry, "old", old, "new", new));
}

json_t *catalogue_diff(const json_t *old, const json_t *new)
{
	json_t *changes = json_array();
	const char *entry;
	json_t *v;

	json_object_foreach((json_t *)old, entry, v) {
		json_t *new_value = json_object_get(new, entry);

		if (!new_value || !json_equal(v, new_value))
			add_change(changes, entry, v, new_value);
	}
	json_object_foreach((json_t *)new, entry, v) {
		if (!json_object_get(old, entry))
			add_change(changes, entry, NULL, v);
	}
	return changes;
}

static char *field_text(TALLOC_CTX *ctx, const json_t *v)
{
	return v ? base_json_text(ctx, v) : talloc_strdup(ctx, "nothing");
}

static char *change_fields_text(char *text, const char *entry, const json_t *old, const json_t *new)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)old, key, v) {
		json_t *new_value = json_object_get(new, key);

		if (!new_value || !json_equal(v, new_value))
			text = talloc_asprintf_append(text, "%s: %s changes from %s to %s\n", entry,
						      key, field_text(tmp, v),
						      field_text(tmp, new_value));
	}
	json_object_foreach((json_t *)new, key, v) {
		if (!json_object_get(old, key))
			text = talloc_asprintf_append(text, "%s: %s is set to %s\n", entry, key,
						      field_text(tmp, v));
	}
	talloc_free(tmp);
	return text;
}

char *catalogue_diff_text(TALLOC_CTX *ctx, const json_t *changes)
{
	char *text = talloc_strdup(ctx, "");
	size_t i;
	json_t *change;

	json_array_foreach(changes, i, change) {
		const char *entry = base_json_str(change, "entry", "");
		json_t *old = json_object_get(change, "old");
		json_t *new = json_object_get(change, "new");

		if (json_is_object(old) && json_is_object(new))
			text = change_fields_text(text, entry, old, new);
		else
			text = talloc_asprintf_append(text, "%s is %s\n", entry,
						      json_is_object(new) ? "added" : "removed");
	}
	return text;
}

void catalogue_apply_changes(json_t *entries, const json_t *changes)
{
	size_t i;
	json_t *change;

	json_array_foreach(changes, i, change) {
		const char *entry = base_json_str(change, "entry", "");
		json_t *new = json_object_get(change, "new");

		if (json_is_object(new))
			json_object_set(entries, entry, new);
		else
			json_object_del(entries, entry);
	}
}

char *catalogue_delta_key(TALLOC_CTX *ctx, int64_t version)
{
	return talloc_asprintf(ctx, "delta/%012" PRId64, version);
}
