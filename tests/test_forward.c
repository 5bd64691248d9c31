/*
 * Tests of gateway/peer.c. The pattern: a host that reaches no server passes many calls
 * at a time to another one. Guards against a single event being held against that host
 * once for each of these calls.
 */
#include "gateway/forward.h"
#include "tests/suite.h"

enum {
	S = 1000 * 1000,
	CALLS = 40,
	/* Of a host that is lost, and of one that is unable, at the first time. */
	LOST_US = S,
	UNABLE_US = 3 * S / 10,
	TOLERANCE_US = S / 10
};

static const struct {
	void (*record)(struct gw_peer *peer);
	uint64_t backoff_us;
} failures[] = {
	{ gw_peer_was_lost, LOST_US },
	{ gw_peer_was_unable, UNABLE_US },
};

static uint64_t left_us(const struct gw_peer *peer)
{
	uint64_t now_us = tm_now_us();

	return peer->backoff_until_us - MIN(now_us, peer->backoff_until_us);
}

/* The host may be the only one that reaches the servers. */
START_TEST(calls_that_fail_together_count_once)
{
	struct gw_peer peer = { 0 };

	for (uint32_t i = 0; i < CALLS; i++)
		failures[_i].record(&peer);
	ck_assert_uint_le(left_us(&peer), failures[_i].backoff_us);
	ck_assert_uint_gt(left_us(&peer),
			  failures[_i].backoff_us - TOLERANCE_US);
}
END_TEST

START_TEST(backoff_grows_with_each_time_in_a_row)
{
	struct gw_peer peer = { 0 };

	for (uint32_t i = 0; i < 3; i++) {
		failures[_i].record(&peer);
		ck_assert_uint_gt(left_us(&peer), (failures[_i].backoff_us
						   << i) - TOLERANCE_US);
		peer.backoff_until_us = tm_now_us(); /* it is over */
	}
	gw_peer_took(&peer);
	failures[_i].record(&peer);
	ck_assert_uint_le(left_us(&peer), failures[_i].backoff_us);
}
END_TEST

/* One that is lost while it is left alone for being unable stays so for longer. */
START_TEST(longer_backoff_holds)
{
	struct gw_peer peer = { 0 };

	gw_peer_was_unable(&peer);
	gw_peer_was_lost(&peer);
	gw_peer_was_unable(&peer);
	ck_assert_uint_gt(left_us(&peer), LOST_US - TOLERANCE_US);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("forward");

	tcase_add_loop_test(tests, calls_that_fail_together_count_once, 0,
			    G_N_ELEMENTS(failures));
	tcase_add_loop_test(tests, backoff_grows_with_each_time_in_a_row, 0,
			    G_N_ELEMENTS(failures));
	tcase_add_test(tests, longer_backoff_holds);
	return suite_run_case("forward", tests, CK_FORK_GETENV);
}
