/**
 * DOC: runner - runs one suite of tests; the exit code tells whether all passed
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <check.h>
#include <stdlib.h>

#define RUNNER_TIMEOUT_S 60

/* runs the tests that @add_tests adds, with a timeout of RUNNER_TIMEOUT_S each */
static inline int run_suite(const char *name, void (*add_tests)(TCase *t))
{
	Suite *suite = suite_create(name);
	TCase *t = tcase_create(name);
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(t, RUNNER_TIMEOUT_S);
	add_tests(t);
	suite_add_tcase(suite, t);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
