/*
 * Tests of the gateway's state of a route: the weighted round robin over its
 * services and the estimate of how long a caller has waited.
 */
#include <string.h>

#include "gateway/state.h"
#include "tests/suite.h"

enum { CALLS = 1000, FIRST_TRY_TIMEOUT_MS = 2000 };

static struct gw_gateway gateway;
static struct doc_weighted_service services[2];
static struct doc_route route = { .services = services };

static void setup(void)
{
	memset(&gateway, 0, sizeof(gateway));
	gateway.route_states = gw_route_states_new();
	gateway.random = g_rand_new_with_seed(1);
	route.name = tx_new("stock");
	services[0].weight = 3;
	services[1].weight = 1;
	services[1].service = 1;
	route.service_count = 2;
}

static void teardown(void)
{
	g_hash_table_destroy(gateway.route_states);
	g_rand_free(gateway.random);
	tx_unref(route.name);
}

/*
 * Guards against services whose share of the calls differs from their weight, at
 * first or after a change of the weights.
 */
START_TEST(calls_are_split_by_weight)
{
	uint32_t calls[2] = { 0 };

	for (int i = 0; i < CALLS; i++)
		calls[gw_pick_route_service(&gateway, &route)]++;
	ck_assert_uint_ge(calls[0], CALLS * 3 / 4 - 1);
	ck_assert_uint_le(calls[0], CALLS * 3 / 4 + 1);
	/* New weights restart the round robin. */
	services[0].weight = 1;
	memset(calls, 0, sizeof(calls));
	for (int i = 0; i < CALLS; i++)
		calls[gw_pick_route_service(&gateway, &route)]++;
	ck_assert_uint_ge(calls[0], CALLS / 2 - 1);
	ck_assert_uint_le(calls[0], CALLS / 2 + 1);
}
END_TEST

/*
 * Guards against mistaking a caller's second try, whose target latency has
 * passed, for a first one, and the other way round. A timeout well below the
 * longest one of the route marks a second try; the time waited is estimated from
 * the two.
 */
START_TEST(shorter_timeout_marks_second_try)
{
	/* Without an earlier timeout, a call counts as a first try. */
	ck_assert_uint_eq(gw_estimate_waited_ms(&gateway, &route, 1500), 0);
	ck_assert_uint_eq(
		gw_estimate_waited_ms(&gateway, &route, FIRST_TRY_TIMEOUT_MS),
		0);
	/* First tries differ; they have at least 85 percent of the longest
	 * timeout. */
	ck_assert_uint_eq(gw_estimate_waited_ms(&gateway, &route, 1750), 0);
	ck_assert_uint_eq(gw_estimate_waited_ms(&gateway, &route, 1500), 350);
	ck_assert_uint_eq(gw_estimate_waited_ms(&gateway, &route, 1), 1849);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("route");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, calls_are_split_by_weight);
	tcase_add_test(tests, shorter_timeout_marks_second_try);
	return suite_run_case("route", tests, CK_FORK_GETENV);
}
