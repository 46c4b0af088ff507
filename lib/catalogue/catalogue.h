/**
 * DOC: catalogue - the operators' configuration: workspaces and kinds of work
 *
 * The catalogue is a JSON object that maps each entry's name ("workspace/NAME"
 * or "kind/NAME") to the fields of the entry. The platform's table stores it as
 * a sequence of versions. The step to a new version is a delta, whose changes
 * are a list of {"entry", "old", "new"} objects. Each change holds both values
 * so that it can be displayed, applied and reverted.
 */
#ifndef CATALOGUE_H
#define CATALOGUE_H

#include "base/base.h"

#define CATALOGUE_CELLS_MAX 64

/* the platform's table and its row keys */
#define CATALOGUE_TABLE "catalogue"
#define CATALOGUE_HEAD "head" /* holds the number of the latest version */
#define CATALOGUE_SNAPSHOT "snapshot"
#define CATALOGUE_SNAPSHOT_EVERY 64 /* versions between snapshots */

/**
 * struct catalogue_cell - cells of one shape in a workspace's guarantee
 * @failure_domain: failure domain whose servers provide the cells
 * @accelerators: size of one cell
 * @in_server: each cell lies in one server, otherwise in one rack
 * @count: number of such cells
 */
struct catalogue_cell {
	char *failure_domain;
	int64_t accelerators;
	bool in_server;
	int64_t count;
};

/**
 * struct catalogue_workspace - a tenant: its limits and its guarantee
 * @name: name without the prefix "workspace/"
 * @quota: limit on the accelerators in use at once in each failure domain, 0
 *         for no limit
 * @precedence: when not all guarantees can be met, those of workspaces with a
 *              lower value are met first
 * @requests: limit on the short requests in flight at each entry VM, 0 for no
 *            limit
 * @cells: guarantee, in all failure domains
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

/** enum catalogue_work - whether the work of a kind is a short request or a job */
enum catalogue_work { WORK_REQUEST, WORK_JOB };

/**
 * struct catalogue_kind - a kind of work and the limits on each request or job
 * @name: name without the prefix "kind/"
 * @workspace: name of the workspace that may submit work of this kind
 * @cls: service class
 * @work: short request or job
 * @idempotent: running it twice does no harm
 * @checkpointable: a job that can be stopped and resumed
 * @deadline_ms: limit on the time that a short request may take, in ms
 * @gang: limit on the tasks of one gang
 * @accelerators: limit on the accelerators of one task
 * @run_limit_s: limit on the run time of a job in s, after which it is stopped
 * @share_percent: limit on the accelerators in use at once, in percent of a
 *                 failure domain's accelerators
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
 * struct catalogue - one version, immutable and indexed by name
 * @version: 0 for the empty catalogue
 * @workspaces: all workspaces, in the order of the entries
 * @workspace_count: number of entries in @workspaces
 * @workspace_by_name: struct catalogue_workspace by name, entries of @workspaces
 * @kind_by_name: struct catalogue_kind by name
 */
struct catalogue {
	int64_t version;
	struct catalogue_workspace *workspaces;
	unsigned int workspace_count;
	GHashTable *workspace_by_name;
	GHashTable *kind_by_name;
};

/** catalogue_new() - index valid entries; talloc_free() frees the result */
struct catalogue *catalogue_new(TALLOC_CTX *ctx, const json_t *entries, int64_t version);
/** catalogue_find_workspace() - look a workspace up by its name, NULL when there is none */
const struct catalogue_workspace *catalogue_find_workspace(const struct catalogue *c,
							   const char *name);
/** catalogue_find_kind() - look a kind up by its name, NULL when there is none */
const struct catalogue_kind *catalogue_find_kind(const struct catalogue *c, const char *name);

/**
 * catalogue_load() - read and validate every TOML file of a directory
 * @ctx: owner of @faults
 * @dir: directory; only files named *.toml are read
 * @faults: set to all errors, one per line, with file and line number where known,
 *          or to NULL when there are none
 *
 * Return: the entries, owned by the caller, or NULL when there are errors.
 */
json_t *catalogue_load(TALLOC_CTX *ctx, const char *dir, char **faults);
/**
 * catalogue_check() - validate entries that were not read from files
 *
 * Return: the validation errors, one per line, owned by @ctx, or NULL when
 * there are none.
 */
char *catalogue_check(TALLOC_CTX *ctx, const json_t *entries);
/**
 * catalogue_check_guarantees() - check that the VMs can hold all guarantees at once
 * @ctx: owner of the result
 * @entries: valid entries
 * @vms: the platform's VM list; only backend servers count
 *
 * Return: one line for each workspace and failure domain with cells that do not
 * fit, or NULL when all guarantees fit.
 */
char *catalogue_check_guarantees(TALLOC_CTX *ctx, const json_t *entries, const json_t *vms);

/** catalogue_diff() - compute the changes from @old to @new, owned by the caller */
json_t *catalogue_diff(const json_t *old, const json_t *new);
/** catalogue_diff_text() - describe changes for an operator, one per line */
char *catalogue_diff_text(TALLOC_CTX *ctx, const json_t *changes);
/** catalogue_apply_changes() - apply changes to @entries in place */
void catalogue_apply_changes(json_t *entries, const json_t *changes);
/** catalogue_delta_key() - row key of the delta that produced @version */
char *catalogue_delta_key(TALLOC_CTX *ctx, int64_t version);

#endif
