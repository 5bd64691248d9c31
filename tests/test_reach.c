/*
 * Tests of core/reach.h. The pattern: a host is cut off from all servers while its
 * callers and the other hosts reach it. Guards against a host that does not notice,
 * that notices while only some servers fail, and that does not see the end.
 */
#include "core/reach.h"
#include "tests/suite.h"

enum { MS = 1000, SERVERS = 30 };

static struct rc_reach reach;
static uint64_t now_us;

static void setup(void)
{
	reach = (struct rc_reach){ 0 };
	now_us = 1000 * MS;
}

static void fail_servers(uint32_t first, uint32_t count, bool new_connection)
{
	for (uint32_t i = first; i < first + count; i++)
		rc_on_failed(&reach, i, new_connection, now_us);
}

START_TEST(all_servers_silent_is_a_cut)
{
	fail_servers(0, 4, false);
	ck_assert(!rc_hears_none(&reach, SERVERS, now_us));
	now_us += 200 * MS;
	ck_assert(rc_hears_none(&reach, SERVERS, now_us));
	ck_assert(!rc_opens_none(&reach, SERVERS, now_us));
	rc_on_heard(&reach, false);
	ck_assert(!rc_hears_none(&reach, SERVERS, now_us));
}
END_TEST

/* One server that fails again and again says nothing of the others. */
START_TEST(one_server_is_no_cut)
{
	for (uint32_t i = 0; i < 20; i++) {
		rc_on_failed(&reach, 7, true, now_us);
		now_us += 100 * MS;
	}
	ck_assert(!rc_hears_none(&reach, SERVERS, now_us));
	/* If it is the only one, it does. */
	ck_assert(rc_hears_none(&reach, 1, now_us));
}
END_TEST

START_TEST(failing_servers_among_others_are_no_cut)
{
	for (uint32_t i = 0; i < 20; i++) {
		fail_servers(i, 1, false);
		if (i % 3 == 2)
			rc_on_heard(&reach, false);
		now_us += 100 * MS;
		ck_assert(!rc_hears_none(&reach, SERVERS, now_us));
	}
}
END_TEST

/* Connections that are open live on while new ones are refused. */
START_TEST(new_connections_are_judged_by_themselves)
{
	fail_servers(0, 4, true);
	now_us += 200 * MS;
	rc_on_heard(&reach, false);
	ck_assert(!rc_hears_none(&reach, SERVERS, now_us));
	ck_assert(rc_opens_none(&reach, SERVERS, now_us));
	rc_on_heard(&reach, true);
	ck_assert(!rc_opens_none(&reach, SERVERS, now_us));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("reach");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, all_servers_silent_is_a_cut);
	tcase_add_test(tc, one_server_is_no_cut);
	tcase_add_test(tc, failing_servers_among_others_are_no_cut);
	tcase_add_test(tc, new_connections_are_judged_by_themselves);
	return suite_run_case("reach", tc, CK_FORK_GETENV);
}
