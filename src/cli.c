/**
 * DOC: cli - command line of the operators' command
 */
#include "cli.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "version.h"

#define ARGUMENTS_MAX 64

/* ---- synchronous calls of the platform ---- */

static void on_read(enum platform_result result, int64_t version, json_t *value, void *data)
{
	struct cli_reply *reply = data;

	reply->result = result;
	reply->version = version;
	reply->value = json_incref(value);
	reply->is_done = true;
}

static struct cli_reply wait_for_reply(struct cli *cli, struct cli_reply *reply)
{
	while (!reply->is_done)
		tevent_loop_once(cli->ev);
	return *reply;
}

struct cli_reply cli_read(struct cli *cli, const char *table, const char *key)
{
	struct cli_reply reply = {0};

	platform_read(cli->platform, table, key, base_deadline_in(CLI_TIMEOUT_MS), on_read, &reply);
	return wait_for_reply(cli, &reply);
}

struct cli_reply cli_scan(struct cli *cli, const char *table, const char *prefix, const char *after)
{
	struct cli_reply reply = {0};

	platform_scan(cli->platform, table, prefix, after, 500, base_deadline_in(CLI_TIMEOUT_MS),
		      on_read, &reply);
	return wait_for_reply(cli, &reply);
}

struct cli_reply cli_read_vms(struct cli *cli)
{
	struct cli_reply reply = {0};

	platform_vms(cli->platform, 0, base_deadline_in(CLI_TIMEOUT_MS), on_read, &reply);
	return wait_for_reply(cli, &reply);
}

struct tx_reply {
	bool is_done;
	enum platform_result result;
};

static void on_tx(enum platform_result result, const int64_t *versions G_GNUC_UNUSED, void *data)
{
	struct tx_reply *reply = data;

	reply->result = result;
	reply->is_done = true;
}

enum platform_result cli_tx(struct cli *cli, const struct platform_write *writes,
			    unsigned int count)
{
	struct tx_reply reply = {0};

	platform_tx(cli->platform, writes, count, base_deadline_in(CLI_TIMEOUT_MS), on_tx, &reply);
	while (!reply.is_done)
		tevent_loop_once(cli->ev);
	return reply.result;
}

/* ---- command line ---- */

static const char usage[] =
	"usage: currantlane [options] catalogue check|diff|apply DIR\n"
	"       currantlane [options] catalogue log|show\n"
	"       currantlane [options] catalogue undo [VERSION]\n"
	"       currantlane [options] status IP:PORT...\n"
	"       currantlane [options] explain QUEUE JOB-FILE IP:PORT...\n"
	"       currantlane [options] trace TRACE-ID FILE...\n"
	"       currantlane [options] log JOB-ID FILE...\n"
	"       currantlane [options] log summary FILE...\n"
	"\n"
	"exit codes: 0 done, 1 faults or differences found, 2 wrong usage,\n"
	"            3 another operator was first, 4 a service did not answer\n\n";

static int run_command(struct cli *cli, const char *const *words, int count)
{
	if (count >= 2 && !strcmp(words[0], "catalogue"))
		return cli_catalogue(cli, words[1], count > 2 ? words[2] : NULL);
	if (count >= 2 && !strcmp(words[0], "status"))
		return cli_status(cli, words + 1, count - 1);
	if (count >= 4 && !strcmp(words[0], "explain"))
		return cli_explain(cli, words[1], words[2], words + 3, count - 3);
	if (count >= 3 && !strcmp(words[0], "trace"))
		return cli_trace(cli, words[1], words + 2, count - 2);
	if (count >= 3 && !strcmp(words[0], "log") && !strcmp(words[1], "summary"))
		return cli_log_summary(cli, words + 2, count - 2);
	if (count >= 3 && !strcmp(words[0], "log"))
		return cli_log(cli, words[1], words + 2, count - 2);
	fputs(usage, stderr);
	return EXIT_USAGE;
}

static struct cli *cli_new(const char *platform, const char *by, const char *note)
{
	struct cli *cli = talloc_zero(NULL, struct cli);
	struct address address;

	cli->ev = tevent_context_init(cli);
	cli->http = httpc_new(cli, cli->ev, 0, 0);
	cli->operator_name = by;
	cli->note = note;
	cli->base_version = -1;
	cli->log_limit = 20;
	if (!platform)
		return cli;
	if (!address_parse(platform, &address)) {
		fputs("--platform: expected IP:PORT\n", stderr);
		talloc_free(cli);
		return NULL;
	}
	cli->platform = platform_new(cli, cli->ev, cli->http, address.ip, address.port, "operator");
	return cli;
}

int main(int argc, char **argv)
{
	struct arg_str *platform =
		arg_str0(NULL, "platform", "IP:PORT", "the platform's table service");
	struct arg_str *by =
		arg_str0(NULL, "by", "NAME", "operator named in the log (the user's name)");
	struct arg_str *note = arg_str0(NULL, "note", "TEXT", "reason named in the log");
	struct arg_int *base = arg_int0(NULL, "base", "N", "version that your files start from");
	struct arg_int *limit = arg_int0(NULL, "limit", "N", "versions shown by log (20)");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *words =
		arg_strn(NULL, NULL, "WORD", 0, ARGUMENTS_MAX, "command, see above");
	struct arg_end *end = arg_end(8);
	void *table[] = {platform, by, note, base, limit, json, version, help, words, end};
	int errors = arg_parse(argc, argv, table);
	struct cli *cli;
	int code;

	if (version->count) {
		printf("currantlane %s\n", CURRANTLANE_VERSION);
		return EXIT_OK;
	}
	if (help->count || errors) {
		fputs(usage, help->count ? stdout : stderr);
		arg_print_glossary(help->count ? stdout : stderr, table, "  %-22s %s\n");
		return help->count ? EXIT_OK : EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	cli = cli_new(platform->count ? platform->sval[0] : NULL,
		      by->count ? by->sval[0] : g_get_user_name(),
		      note->count ? note->sval[0] : "");
	if (!cli)
		return EXIT_USAGE;
	cli->json = json->count > 0;
	if (base->count)
		cli->base_version = base->ival[0];
	if (limit->count)
		cli->log_limit = limit->ival[0];
	code = run_command(cli, words->sval, words->count);
	talloc_free(cli);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
