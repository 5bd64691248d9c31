/*
 * Tests of the table of what callers are told (core/outcome.h). Guards against a caller
 * that is told, by its status, that a call was not run although it may have been, and
 * sends it again.
 */
#include "core/outcome.h"
#include "tests/suite.h"

enum { FIRST_STATUS = 200, STATUS_LIMIT = 600 };
enum {
	BY_SERVER = 1,
	PROMISES = 2,
	PROVEN = 4,
	IDEMPOTENT = 8,
	MAY_HAVE_RUN = 16
};
enum { COMBINATIONS = 32 };

/* A promise that is passed on is true, or to a caller that does not rely on it. */
START_TEST(no_untrue_promise_is_passed_on)
{
	struct oc_facts facts = {
		.by_server = _i & BY_SERVER,
		.promises = _i & PROMISES,
		.proven = _i & PROVEN,
		.idempotent = _i & IDEMPOTENT,
		.may_have_run = _i & MAY_HAVE_RUN,
	};
	enum oc_verdict verdict = oc_find_verdict(&facts);

	if (!facts.by_server)
		ck_assert_int_eq(verdict, facts.promises && facts.may_have_run ?
						  OC_UNKNOWN :
						  OC_AS_GIVEN);
	else if (facts.proven)
		ck_assert_int_eq(verdict, OC_REFUSED);
	else
		ck_assert_int_eq(verdict, facts.promises && !facts.idempotent ?
						  OC_UNPROVEN :
						  OC_AS_GIVEN);
}
END_TEST

START_TEST(each_status_of_a_server_is_judged)
{
	for (int status = FIRST_STATUS; status < STATUS_LIMIT; status++) {
		bool promises = status == 408 || status == 421 ||
				status == 429 || status == 503;

		ck_assert_int_eq(oc_promises_not_run(status), promises);
		ck_assert_int_eq(oc_judge_answer(status, false, false),
				 promises ? OC_UNPROVEN : OC_AS_GIVEN);
		ck_assert_int_eq(oc_judge_answer(status, false, true),
				 OC_AS_GIVEN);
		ck_assert_int_eq(oc_judge_answer(status, true, false),
				 OC_REFUSED);
		ck_assert_int_eq(oc_judge_answer(status, true, true),
				 OC_REFUSED);
	}
}
END_TEST

/* A kind whose status promises "not run" must guarantee it. */
START_TEST(each_kind_promises_what_it_guarantees)
{
	enum st_kind kind = (enum st_kind)_i;
	enum st_kind result = oc_result(kind, true);

	if (oc_promises_not_run(st_http_status(kind)))
		ck_assert_msg(st_not_run(kind), "%s", st_name(kind));
	ck_assert_int_eq(oc_result(kind, false), kind);
	ck_assert_msg(!oc_promises_not_run(st_http_status(result)), "%s",
		      st_name(kind));
	ck_assert(!st_not_run(result));
	if (!st_not_run(kind))
		ck_assert_int_eq(result, kind);
}
END_TEST

/* Guards against a change that may have been accepted and is answered like a refusal. */
START_TEST(unknown_outcomes_promise_nothing)
{
	static const enum st_kind kinds[] = {
		ST_UNKNOWN,	     ST_UNPROVEN, ST_DEADLINE_UNKNOWN,
		ST_PLATFORM_UNKNOWN, ST_BROKEN,	  ST_CALLER_LEFT,
	};

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		ck_assert_msg(!st_not_run(kinds[i]), "%s", st_name(kinds[i]));
		ck_assert_msg(!oc_promises_not_run(st_http_status(kinds[i])),
			      "%s", st_name(kinds[i]));
	}
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("outcome");

	tcase_add_loop_test(tests, no_untrue_promise_is_passed_on, 0,
			    COMBINATIONS);
	tcase_add_test(tests, each_status_of_a_server_is_judged);
	tcase_add_loop_test(tests, each_kind_promises_what_it_guarantees, 0,
			    ST_KIND_COUNT);
	tcase_add_test(tests, unknown_outcomes_promise_nothing);
	return suite_run_case("outcome", tests, CK_FORK_GETENV);
}
