/**
 * DOC: cli - what the files of the operators' command share
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
#define EXIT_FAULT 1 /* faults in the files, or differences found by diff */
#define EXIT_USAGE 2
#define EXIT_CONFLICT 3	   /* another operator was first */
#define EXIT_UNAVAILABLE 4 /* a service did not answer */

#define CLI_TIMEOUT_MS 8000

/**
 * struct cli - one run of the command
 * @ev: its event loop
 * @http: HTTP client
 * @platform: platform client, NULL when no address was given
 * @json: print JSON
 * @by: operator's name for the log
 * @note: reason for the log
 * @base: version the operator's files start from, -1 to read it from the directory
 * @limit: lines of log
 */
struct cli {
	struct tevent_context *ev;
	struct httpc *http;
	struct platform *platform;
	bool json;
	const char *by;
	const char *note;
	int64_t base;
	int limit;
};

/** struct cli_reply - result of one read, waited for */
struct cli_reply {
	bool is_done;
	enum platform_result result;
	int64_t version;
	json_t *value;
};

/** cli_read() - read a row and wait; the value is the caller's */
struct cli_reply cli_read(struct cli *cli, const char *table, const char *key);
struct cli_reply cli_scan(struct cli *cli, const char *table, const char *prefix,
			  const char *after);
struct cli_reply cli_read_vms(struct cli *cli);
enum platform_result cli_tx(struct cli *cli, const struct platform_write *writes,
			    unsigned int count);

/* cli_catalogue.c: each returns an exit code */
int cli_catalogue(struct cli *cli, const char *verb, const char *argument);

/* cli_status.c */
int cli_status(struct cli *cli, const char *const *addresses, int count);

/* cli_log.c */
int cli_log(struct cli *cli, const char *id, const char *const *files, int count);

int cli_trace(struct cli *cli, const char *id, const char *const *files, int count);

#endif
