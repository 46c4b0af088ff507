/**
 * DOC: figure - output of benchmark results
 *
 * Each result is one line: benchmark, name, value, unit, bound, ok or FAIL.
 */
#ifndef FIGURE_H
#define FIGURE_H

#include <stdbool.h>
#include <stdio.h>
#include <glib.h>

#define NO_BOUND (-1.0)

static int figures_failed;

/* prints one result; a value above its bound counts as failed, NO_BOUND has no bound */
static void figure(const char *where, const char *name, double value, const char *unit,
		   double bound)
{
	bool is_ok = bound < 0 || value <= bound;
	char limit[32] = "-";

	if (bound >= 0)
		g_snprintf(limit, sizeof(limit), "%.3f", bound);
	printf("%-14s %-44s %14.4f %-6s bound %-10s %s\n", where, name, value, unit, limit,
	       bound < 0 ? ""
	       : is_ok	 ? "ok"
			 : "FAIL");
	figures_failed += !is_ok;
}

#endif
