/**
 * DOC: catalogue - what operators declare: workspaces and kinds of work
 *
 * The catalogue is a JSON object from entry name ("workspace/NAME" or
 * "kind/NAME") to the entry's fields. A change is a list of
 * {"entry", "old", "new"} objects, so that it can be shown, applied and undone.
 */
#ifndef CATALOGUE_H
#define CATALOGUE_H

#include "base/base.h"

#define CATALOGUE_CELLS_MAX 64
#define CATALOGUE_TABLE "catalogue"
#define CATALOGUE_HEAD "head"
#define CATALOGUE_SNAPSHOT "snapshot"
#define CATALOGUE_SNAPSHOT_EVERY 64 /* versions between snapshots */

/**
 * struct catalogue_cell - part of a workspace's guarantee
 * @failure_domain: where it must be kept
 * @accelerators: size of one cell
 * @in_server: all in one server, else in one rack
 * @count: how many
 */
struct catalogue_cell {
	char *failure_domain;
	int64_t accelerators;
	bool in_server;
	int64_t count;
};

/**
 * struct catalogue_workspace - a tenant
 * @name: its name
 * @quota: most accelerators in use at once in a failure domain, 0 for no limit
 * @precedence: lower keeps its guarantee first when not all fit
 * @requests: most short requests in flight at one entry VM, 0 for no limit
 * @cells: guarantee
 * @cell_count: number of entries in @cells
 */
struct catalogue_workspace {
	char *name;
	int64_t quota;
	int64_t precedence;
	int64_t requests;
	struct catalogue_cell cells[CATALOGUE_CELLS_MAX];
	unsigned int cell_count;
};

enum catalogue_work { WORK_REQUEST, WORK_JOB };

/**
 * struct catalogue_kind - a kind of work
 * @name: its name
 * @workspace: who may submit it
 * @cls: service class
 * @work: short request or job
 * @idempotent: running it twice does no harm
 * @checkpointable: a job that can be stopped and resumed
 * @deadline_ms: longest time a short request may take
 * @gang: largest gang
 * @accelerators: most accelerators of one task
 * @run_limit_s: a job is stopped after this long, in s
 * @share_percent: most of a failure domain's accelerators in use at once, in percent
 */
struct catalogue_kind {
	char *name;
	char *workspace;
	enum service_class cls;
	enum catalogue_work work;
	bool idempotent;
	bool checkpointable;
	int64_t deadline_ms;
	int64_t gang;
	int64_t accelerators;
	int64_t run_limit_s;
	int64_t share_percent;
};

/**
 * struct catalogue - an immutable version, ready for look-ups
 * @version: 0 for the empty catalogue
 */
struct catalogue {
	int64_t version;
	struct catalogue_workspace *workspaces;
	unsigned int workspace_count;
	GHashTable *workspace_by_name;
	GHashTable *kind_by_name;
};

/** catalogue_new() - look-up form of checked entries; talloc_free() frees it */
struct catalogue *catalogue_new(TALLOC_CTX *ctx, const json_t *entries, int64_t version);
const struct catalogue_workspace *catalogue_find_workspace(const struct catalogue *c,
							   const char *name);
const struct catalogue_kind *catalogue_find_kind(const struct catalogue *c, const char *name);

/**
 * catalogue_load() - read and check every TOML file of a directory
 * @faults: set to all faults, a line each, owned by @ctx, or NULL
 * Return: the entries, owned by the caller, or NULL when there are faults.
 */
json_t *catalogue_load(TALLOC_CTX *ctx, const char *dir, char **faults);
/** catalogue_check() - faults of entries whose files are not known, or NULL */
char *catalogue_check(TALLOC_CTX *ctx, const json_t *entries);
/** catalogue_check_guarantees() - whether all guarantees fit the VM list at once; NULL, or faults
 */
char *catalogue_check_guarantees(TALLOC_CTX *ctx, const json_t *entries, const json_t *vms);

/** catalogue_diff() - the changes that lead from @old to @new, owned by the caller */
json_t *catalogue_diff(const json_t *old, const json_t *new);
/** catalogue_diff_text() - the changes in plain words, a line each */
char *catalogue_diff_text(TALLOC_CTX *ctx, const json_t *changes);
/** catalogue_apply_changes() - apply changes to @entries in place */
void catalogue_apply_changes(json_t *entries, const json_t *changes);
/** catalogue_delta_key() - row key of the change that made @version */
char *catalogue_delta_key(TALLOC_CTX *ctx, int64_t version);

#endif
