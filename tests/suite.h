#ifndef SUITE_H
#define SUITE_H

#include <check.h>
#include <stdlib.h>

/*
 * suite_run - run a suite as the environment asks for; the exit code of a check
 * program. FORK is CK_FORK when each test needs a process of its own.
 */
static inline int suite_run(Suite *suite, enum fork_status fork)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	if (fork == CK_FORK)
		srunner_set_fork_status(runner, fork);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
