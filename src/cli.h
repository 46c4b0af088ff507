/**
 * DOC: cli - shared declarations of the operators' command
 */
#ifndef CLI_H
#define CLI_H

#include <tevent.h>

#include "base/base.h"
#include "catalogue/catalogue.h"
#include "platform/platform.h"
#include "settings/settings.h"

/* exit codes, for scripts */
#define EXIT_OK 0
#define EXIT_FAULT 1 /* faults in the files, differences, or nothing found */
#define EXIT_USAGE 2
#define EXIT_CONFLICT 3	   /* another operator changed the catalogue first */
#define EXIT_UNAVAILABLE 4 /* a service did not answer */

#define CLI_TIMEOUT_MS 8000 /* for each call of a service */

/**
 * struct cli - one run of the command
 * @ev: event loop
 * @http: HTTP client
 * @platform: platform client, NULL when no address was given
 * @json: print JSON instead of text
 * @operator_name: operator's name, stored with a new catalogue version
 * @note: reason for the change, stored with a new catalogue version
 * @base_version: catalogue version that the operator's files are based on, -1
 *                to read it from the directory
 * @log_limit: how many of the latest catalogue versions the log shows
 */
struct cli {
	struct tevent_context *ev;
	struct httpc *http;
	struct platform *platform;
	bool json;
	const char *operator_name;
	const char *note;
	int64_t base_version;
	int log_limit;
};

/**
 * struct cli_reply - result of a read from the platform
 * @is_done: the call has ended and the other members are set
 * @result: whether the read succeeded
 * @version: version of the row or of the VM list
 * @value: value read, owned by the caller, or NULL
 */
struct cli_reply {
	bool is_done;
	enum platform_result result;
	int64_t version;
	json_t *value;
};

/*
 * These calls run the event loop until the platform answers or CLI_TIMEOUT_MS
 * has passed.
 */

/** cli_read() - read a row; version 0 and a NULL value when it is absent */
struct cli_reply cli_read(struct cli *cli, const char *table, const char *key);
/** cli_scan() - read rows whose key starts with @prefix and follows @after, as an array */
struct cli_reply cli_scan(struct cli *cli, const char *table, const char *prefix,
			  const char *after);
/** cli_read_vms() - read the platform's VM list */
struct cli_reply cli_read_vms(struct cli *cli);
/** cli_tx() - write rows in one transaction */
enum platform_result cli_tx(struct cli *cli, const struct platform_write *writes,
			    unsigned int count);

/* Each command returns an exit code. */

/**
 * cli_catalogue() - run a catalogue subcommand
 * @cli: the run
 * @verb: check, diff, apply, log, undo or show
 * @argument: directory for check, diff and apply; version for undo, where NULL
 *            stands for the latest
 */
int cli_catalogue(struct cli *cli, const char *verb, const char *argument);

/** cli_status() - print the status of the daemons at @addresses (IP:PORT) */
int cli_status(struct cli *cli, const char *const *addresses, int count);

/** cli_log() - print the lines of @id in the log files, in order of time */
int cli_log(struct cli *cli, const char *id, const char *const *files, int count);

/** cli_log_summary() - print where the time of the jobs in the log files went */
int cli_log_summary(struct cli *cli, const char *const *files, int count);

/**
 * cli_explain() - print where the job in the file @path would go now if sent to @queue
 * @addresses: metrics addresses (IP:PORT) of entry VMs; the leader among them answers
 */
int cli_explain(struct cli *cli, const char *queue, const char *path, const char *const *addresses,
		int count);

/** cli_trace() - print the spans of trace @id in the trace files, in order of start */
int cli_trace(struct cli *cli, const char *id, const char *const *files, int count);

#endif
