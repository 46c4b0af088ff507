#include "daemon.h"
#include "trace/trace.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

#define EXIT_USAGE 2

static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

void daemon_init_process(void)
{
	signal(SIGPIPE, SIG_IGN);
	raise_file_limit();
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static struct settings *load_settings(TALLOC_CTX *ctx, const char *name, const char *path,
				      bool is_check_only, int *code)
{
	char *errors;
	struct settings *s = settings_load(ctx, path, &errors);

	if (!s) {
		fputs(errors, stderr);
		*code = EXIT_USAGE;
		return NULL;
	}
	if (is_check_only) {
		printf("%s: ok\n", path);
		return NULL;
	}
	if (base_log_init(name, s->vm, s->log_file) || trace_init(s->vm, s->trace_file)) {
		fputs("cannot open the log file (log.file) or the span file (log.traces)\n",
		      stderr);
		*code = EXIT_USAGE;
		return NULL;
	}
	daemon_init_process();
	return s;
}

struct settings *daemon_init(TALLOC_CTX *ctx, const char *name, const char *version, int argc,
			     char **argv, int *code)
{
	struct arg_file *path = arg_file0(NULL, "settings", "FILE", "settings of this VM (TOML)");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *show_version = arg_lit0(NULL, "version", "print the version");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *parse_errors = arg_end(8);
	void *table[] = {path, check, show_version, help, parse_errors};
	struct settings *s = NULL;
	int errors = arg_parse(argc, argv, table);

	*code = 0;
	if (show_version->count) {
		printf("currantlane-%s %s\n", name, version);
	} else if (help->count || errors || !path->count) {
		printf("usage: currantlane-%s", name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		*code = help->count ? 0 : EXIT_USAGE;
	} else {
		s = load_settings(ctx, name, path->filename[0], check->count > 0, code);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return s;
}
