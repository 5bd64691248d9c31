#ifndef SUITE_H
#define SUITE_H

#include <check.h>
#include <stdlib.h>

/*
 * suite_run - run a suite and return the exit code for main(). The environment
 * variables of Check apply. If FORK is CK_FORK, every test runs in a process of
 * its own, even if the environment disables forking.
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

/* suite_run_case - the same for a suite of one case of that name. */
static inline int suite_run_case(const char *name, TCase *tcase,
				 enum fork_status fork)
{
	Suite *suite = suite_create(name);

	suite_add_tcase(suite, tcase);
	return suite_run(suite, fork);
}

#endif
