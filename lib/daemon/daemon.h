/**
 * DOC: daemon - initialisation of the daemons: process limits, command line, settings, log
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "settings/settings.h"

/**
 * daemon_init_process() - set up signals, the limit of open files and libcurl
 *
 * Must be called before the first connection and before other threads start.
 */
void daemon_init_process(void);

/**
 * daemon_init() - read command line and settings, open the log and the span file
 * @name: "entryd" or "schedd"
 * @code: set to the exit code for a return of NULL
 *
 * Includes daemon_init_process().
 * Return: the settings owned by @ctx, or NULL when the program should exit with @code:
 * after --help, --version and --check, and after an error, which is printed.
 */
struct settings *daemon_init(TALLOC_CTX *ctx, const char *name, const char *version, int argc,
			     char **argv, int *code);

#endif
