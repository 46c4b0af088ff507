/**
 * DOC: daemon - what both daemons do before they run: command line, settings, log
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "settings/settings.h"

/** daemon_init_process() - signals, descriptors and libraries, before the first connection */
void daemon_init_process(void);

/**
 * daemon_init() - read the command line and the settings, open log and spans
 * @name: "entryd" or "schedd"
 * @code: set to the exit code when the program has nothing more to do
 * Return: the settings owned by @ctx, or NULL when it should exit with @code.
 */
struct settings *daemon_init(TALLOC_CTX *ctx, const char *name, const char *version, int argc,
			     char **argv, int *code);

#endif
