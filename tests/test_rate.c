/*
 * Tests of what is limited for all hosts together: the requests a second that a
 * server takes, and retries. Each host is a core of its own.
 */
#include <string.h>

#include "core/state.h"
#include "tests/suite.h"

enum {
	MS = 1000,
	S = 1000 * MS,
	MAX_HOSTS = 120,
	ZONES = 3,
	SERVERS = 6,
	WINDOW_S = 4,
	TARGET_MS = 400,
	TIMEOUT_MS = 2000,
	STEP_MS = 5,
	RETRY_SLACK = 60,
	MILLI = 1000
};

struct sent {
	uint32_t server;
	uint64_t at_us;
};

struct waiting {
	uint32_t host;
	uint64_t id;
};

static struct core cores[MAX_HOSTS];
static struct core_host_conf hosts[MAX_HOSTS];
static uint32_t host_count;
static enum core_policy policy;
static uint64_t now_us;
static uint64_t last_call;
static GArray *sends; /* struct sent, of all hosts */
static GArray *waiting; /* struct waiting: calls that are not sent yet */
static GQueue probed; /* server + 1 */
static uint32_t refusals;
static enum st_kind last_result;
static uint32_t hedges;

static void record_action(void *ctx, const struct core_action *action)
{
	struct sent sent = { action->server, now_us };

	if (action->kind == CORE_ACT_SEND) {
		g_array_append_val(sends, sent);
		hedges += action->hedge;
	} else if (action->kind == CORE_ACT_PROBE) {
		g_queue_push_tail(&probed,
				  GUINT_TO_POINTER(action->server + 1));
	} else if (action->kind == CORE_ACT_FINISH) {
		last_result = action->result;
		refusals += st_not_run(action->result);
	}
}

static uint32_t random_u32(void *ctx)
{
	static uint32_t state = 1;

	state = state * 1664525 + 1013904223;
	return state;
}

static void handle_event(uint32_t host, struct core_event event)
{
	event.now_us = now_us;
	core_handle_event(&cores[host], &event);
}

/* Applies the first COUNT hosts as the list that HOST knows. */
static void apply_conf(uint32_t host, uint32_t count)
{
	struct core_server_conf servers[SERVERS] = { 0 };
	struct core_service_conf service = {
		.policy = policy,
		.queue_limit = 100,
		.retry_percent = 100,
		.retry_slack = RETRY_SLACK,
		.probe_requests_per_s = 1000000,
		.probe_bytes_per_s = 1 << 30,
		.probe_cross_zone_bytes_per_s = 1 << 30,
		.servers = servers,
		.server_count = SERVERS,
	};
	struct core_conf conf = {
		.host_hash = hosts[host].hash,
		.zone = hosts[host].zone,
		.latency_weight_percent = 100,
		.budget_hosts = 8,
		.services = &service,
		.service_count = 1,
		.hosts = hosts,
		.host_count = count,
	};
	struct core_event event = { .kind = CORE_EV_CONF };

	for (uint32_t i = 0; i < SERVERS; i++) {
		servers[i].id = i;
		servers[i].zone = i % ZONES;
		servers[i].slots = 4;
		servers[i].max_connections = 1000;
		servers[i].hash = 0x9e3779b97f4a7c15 * (i + 1);
	}
	event.u.conf = &conf;
	handle_event(host, event);
}

static void start_host(uint32_t host, uint32_t known_hosts)
{
	struct core_driver driver = { record_action, random_u32, NULL, NULL };

	core_init(&cores[host], &driver);
	apply_conf(host, known_hosts);
}

/* Starts COUNT hosts, in zones in turn, that all know each other. */
static void start_hosts(uint32_t count)
{
	host_count = count;
	for (uint32_t i = 0; i < count; i++) {
		hosts[i].hash = 0xd1b54a32d192ed03 * (i + 1);
		hosts[i].zone = i % ZONES;
	}
	for (uint32_t i = 0; i < count; i++)
		start_host(i, count);
}

static void setup(void)
{
	now_us = 1000 * (uint64_t)S;
	last_call = 0;
	refusals = 0;
	hedges = 0;
	host_count = 0;
	policy = CORE_POLICY_ASK;
	sends = g_array_new(FALSE, FALSE, sizeof(struct sent));
	waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	g_queue_init(&probed);
}

static void teardown(void)
{
	for (uint32_t i = 0; i < host_count; i++)
		core_free(&cores[i]);
	g_array_free(sends, TRUE);
	g_array_free(waiting, TRUE);
	g_queue_clear(&probed);
}

static void name_limit(uint32_t host, uint32_t server, bool limited,
		       uint32_t milli_per_s)
{
	struct core_event event = { .kind = CORE_EV_RATE_LIMIT };

	event.u.rate_limit.server = server;
	event.u.rate_limit.limited = limited;
	event.u.rate_limit.milli_per_s = milli_per_s;
	handle_event(host, event);
}

static void limit_all_servers(uint32_t host, uint32_t milli_per_s)
{
	for (uint32_t i = 0; i < SERVERS; i++)
		name_limit(host, i, true, milli_per_s);
}

/* Answers all probes that HOST has sent. */
static void answer_probes(uint32_t host)
{
	struct core_event event = { .kind = CORE_EV_REPORT };
	guint server;

	while ((server = GPOINTER_TO_UINT(g_queue_pop_head(&probed)))) {
		event.u.report.server = server - 1;
		event.u.report.source = CORE_FROM_PROBE;
		event.u.report.ok = true;
		event.u.report.slots = 4;
		event.u.report.pace_percent = 100;
		handle_event(host, event);
	}
}

/* Starts a call at HOST and answers its probes. */
static uint64_t start_call(uint32_t host)
{
	struct core_event event = { .kind = CORE_EV_CALL };

	event.u.call.call = ++last_call;
	event.u.call.caller = CORE_NO_CALLER;
	event.u.call.deadline_us = now_us + TIMEOUT_MS * MS;
	event.u.call.target_us = now_us + TARGET_MS * MS;
	event.u.call.idempotent = true;
	handle_event(host, event);
	answer_probes(host);
	return last_call;
}

/* Ends the call's first attempt, if it was sent, with END. */
static void end_attempt(uint32_t host, uint64_t call, enum core_end end)
{
	struct core_event event = { .kind = CORE_EV_ENDED };

	event.u.ended.call = call;
	event.u.ended.end = end;
	handle_event(host, event);
	answer_probes(host);
}

/* CALL 0 stands for the timer of the core itself. */
static void expire_timer(uint32_t host, uint64_t call)
{
	struct core_event event = { .kind = CORE_EV_TIMER };

	event.u.call_ref.call = call;
	handle_event(host, event);
}

static void fire_timer(uint32_t host, uint64_t call)
{
	expire_timer(host, call);
	answer_probes(host);
}

/* Starts a call, whose server answers at once with END; it may wait instead. */
static void run_call(uint32_t host, enum core_end end)
{
	struct waiting call = { host, start_call(host) };

	end_attempt(host, call.id, end);
	if (g_hash_table_contains(cores[host].calls, &call.id))
		g_array_append_val(waiting, call);
}

/* Lets STEP_MS pass, in which waiting calls may be sent and answered. */
static void pass_time(void)
{
	now_us += (uint64_t)STEP_MS * MS;
	for (guint i = waiting->len; i--;) {
		struct waiting call = g_array_index(waiting, struct waiting, i);

		fire_timer(call.host, call.id);
		end_attempt(call.host, call.id, CORE_END_DONE);
		if (!g_hash_table_contains(cores[call.host].calls, &call.id))
			g_array_remove_index_fast(waiting, i);
	}
}

/* Largest number of requests that SERVER got within WINDOW_S. */
static uint32_t busiest_window(uint32_t server)
{
	uint32_t most = 0;

	for (guint i = 0; i < sends->len; i++) {
		uint64_t from_us = g_array_index(sends, struct sent, i).at_us;
		uint32_t count = 0;

		for (guint k = i; k < sends->len; k++) {
			const struct sent *s =
				&g_array_index(sends, struct sent, k);

			if (s->at_us >= from_us + (uint64_t)WINDOW_S * S)
				break;
			count += s->server == server;
		}
		most = MAX(most, count);
	}
	return most;
}

/* What a server may get in a window, with the slack that the rule has. */
static double allowed(uint32_t milli_per_s)
{
	return 1.5 * WINDOW_S * milli_per_s / MILLI + 5;
}

static const struct {
	uint32_t hosts;
	uint32_t milli_per_s;
} shares[] = {
	{ 1, 4000 },	{ 2, 700 },    { 7, 1 },      { 16, 3800 },
	{ 17, 100000 }, { 100, 4000 }, { 114, 1200 }, { 120, 250 },
};

/* Most that all hosts together may send to SERVER within a window. */
static double most_in_window(uint32_t server)
{
	double most = 0;

	for (uint32_t i = 0; i < host_count; i++) {
		const struct core_bucket *bucket =
			&core_server(&cores[i], server)->rate_tokens;

		most += (double)bucket->rate_per_s * WINDOW_S /
				CORE_TOKEN_SCALE +
			(double)bucket->depth / CORE_TOKEN_SCALE;
	}
	return most;
}

/*
 * Guards against shares that are more or less than the limit in sum: with at
 * least one request for each of 100 hosts, a server that takes 4 a second would
 * get 25 times as many.
 */
START_TEST(shares_make_up_the_limit)
{
	uint32_t milli = shares[_i].milli_per_s;

	start_hosts(shares[_i].hosts);
	for (uint32_t server = 0; server < SERVERS; server++) {
		uint64_t rate_per_s = 0;

		for (uint32_t i = 0; i < host_count; i++) {
			name_limit(i, server, true, milli);
			rate_per_s += core_server(&cores[i], server)
					      ->rate_tokens.rate_per_s;
		}
		ck_assert_uint_le(rate_per_s, (uint64_t)milli * MILLI);
		ck_assert_uint_ge(rate_per_s + host_count,
				  (uint64_t)milli * MILLI);
		ck_assert(most_in_window(server) <= allowed(milli));
	}
}
END_TEST

/*
 * Guards against a limit that is passed because a new host counts itself among
 * the hosts that share it before the others know of it.
 */
START_TEST(host_that_others_do_not_know_stays_within_the_slack)
{
	uint32_t milli = shares[_i].milli_per_s;

	start_hosts(shares[_i].hosts);
	for (uint32_t i = 0; i + 1 < host_count; i++)
		apply_conf(i, host_count - 1);
	for (uint32_t server = 0; server < SERVERS; server++) {
		for (uint32_t i = 0; i < host_count; i++)
			name_limit(i, server, true, milli);
		if (host_count > 2)
			ck_assert(most_in_window(server) <= allowed(milli));
	}
}
END_TEST

/* Guards against a share that a host takes before it knows the other hosts. */
START_TEST(host_without_host_list_sends_nothing)
{
	start_hosts(1);
	apply_conf(0, 0);
	limit_all_servers(0, 4000);
	now_us += 100 * (uint64_t)S;
	start_call(0);
	ck_assert_uint_eq(sends->len, 0);
}
END_TEST

/*
 * Guards against servers that get nothing because no host is in their zone, or
 * because the hosts that are there are leaving.
 */
START_TEST(servers_without_host_in_their_zone_are_shared_by_all)
{
	double rate = 0;

	start_hosts(6);
	for (uint32_t i = 0; i < host_count; i++)
		hosts[i].draining = hosts[i].zone == 0;
	for (uint32_t i = 0; i < host_count; i++) {
		apply_conf(i, host_count);
		limit_all_servers(i, 4000);
		if (!hosts[i].draining)
			rate += (double)core_server(&cores[i], 0)
					->rate_tokens.rate_per_s;
	}
	ck_assert(rate > 3.9 * CORE_TOKEN_SCALE);
	ck_assert(rate < 4.9 * CORE_TOKEN_SCALE);
}
END_TEST

/*
 * Guards against a budget of all hosts that grows with their number: with at
 * least one retry for each of 120 hosts, 60 retries became 120.
 */
START_TEST(hosts_share_the_slack_of_retries)
{
	uint32_t credit = 0;

	start_hosts(shares[_i].hosts);
	for (uint32_t i = 0; i < host_count; i++)
		credit += core_retry_credit(&cores[i],
					    core_service(&cores[i], 0));
	ck_assert_uint_le(credit, RETRY_SLACK * 100);
	ck_assert_uint_ge(credit, RETRY_SLACK * 100 / 10);
}
END_TEST

static const enum core_policy policies[] = {
	CORE_POLICY_ASK,     CORE_POLICY_RANDOM, CORE_POLICY_LEAST_OF_TWO,
	CORE_POLICY_REPORTS, CORE_POLICY_SHARES,
};

/*
 * Guards against a policy that sends past the limit, and against one that leaves
 * most of the limit unused, while 30 hosts have more calls than all limits allow.
 */
START_TEST(limits_hold_under_load)
{
	uint64_t begin_us;

	policy = policies[_i];
	start_hosts(30);
	now_us += S;
	for (uint32_t i = 0; i < host_count; i++)
		limit_all_servers(i, 3000);
	begin_us = now_us;
	while (now_us < begin_us + 20 * (uint64_t)S) {
		run_call((uint32_t)(last_call * 7 % 30), CORE_END_DONE);
		pass_time();
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		ck_assert_uint_le(busiest_window(i), (uint32_t)allowed(3000));
	ck_assert_uint_ge(sends->len, SERVERS * 3 * 20 * 7 / 10);
	ck_assert_uint_gt(refusals, 0);
}
END_TEST

/* Guards against retries that go past the limit of the server they go to. */
START_TEST(retries_count)
{
	start_hosts(3);
	now_us += S;
	for (uint32_t i = 0; i < host_count; i++)
		limit_all_servers(i, 3000);
	for (int n = 0; n < 2000; n++) {
		run_call((uint32_t)n % 3, CORE_END_REFUSED);
		pass_time();
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		ck_assert_uint_le(busiest_window(i), (uint32_t)allowed(3000));
}
END_TEST

/* Guards against hedges to servers in need, which would get work twice. */
START_TEST(hedges_avoid_limited_servers)
{
	uint64_t call;

	start_hosts(1);
	now_us += S;
	call = start_call(0);
	ck_assert_uint_eq(sends->len, 1);
	for (uint32_t i = 0; i + 2 < SERVERS; i++)
		name_limit(0, i, true, 1000000);
	/* A hedge may still meet the target then. */
	now_us += TARGET_MS / 2 * MS;
	fire_timer(0, call);
	ck_assert_uint_eq(hedges, 1);
	ck_assert_uint_eq(sends->len, 2);
	ck_assert_uint_ge(g_array_index(sends, struct sent, 1).server,
			  SERVERS - 2);
}
END_TEST

/*
 * Guards against requests that a host may send anew after each start, and
 * against those that it saves while its server names different limits.
 */
START_TEST(restarts_and_changes_yield_no_requests)
{
	start_hosts(1);
	for (int n = 0; n < 50; n++) {
		limit_all_servers(0, 4000);
		run_call(0, CORE_END_DONE);
		core_free(&cores[0]);
		start_host(0, 1);
	}
	ck_assert_uint_eq(sends->len, 0);
	limit_all_servers(0, 1000000);
	now_us += 10 * S;
	limit_all_servers(0, 1000);
	for (int n = 0; n < 1000; n++) {
		run_call(0, CORE_END_DONE);
		pass_time();
	}
	ck_assert_uint_le(busiest_window(0), (uint32_t)allowed(1000));
}
END_TEST

/*
 * Guards against calls that wait until their deadline although it is known that
 * no server may take them in time.
 */
START_TEST(call_is_refused_at_once_while_all_limits_are_used_up)
{
	policy = policies[_i];
	start_hosts(1);
	limit_all_servers(0, 0);
	start_call(0);
	ck_assert_uint_eq(refusals, 1);
	ck_assert_int_eq(last_result, ST_RATE_LIMIT);
}
END_TEST

/* Guards against refusing a call just before a limit allows it. */
START_TEST(call_waits_for_a_limit_that_soon_allows_it)
{
	uint64_t call;

	start_hosts(1);
	limit_all_servers(0, 1000);
	now_us += 970 * MS;
	call = start_call(0);
	ck_assert_uint_eq(refusals, 0);
	now_us += 40 * MS;
	fire_timer(0, call);
	ck_assert_uint_eq(sends->len, 1);
}
END_TEST

/*
 * Guards against servers that stay unused after their limit has ended, at hosts
 * that send them nothing and so get no answers.
 */
START_TEST(ended_limit_is_noticed_without_calls)
{
	guint server;

	start_hosts(40);
	now_us += S;
	limit_all_servers(0, 1000);
	ck_assert(g_queue_is_empty(&probed));
	for (int n = 0; n < 100; n++) {
		now_us += 100 * MS;
		expire_timer(0, 0);
	}
	while ((server = GPOINTER_TO_UINT(g_queue_pop_head(&probed))))
		name_limit(0, server - 1, false, 0);
	for (uint32_t i = 0; i < SERVERS; i++)
		ck_assert(!core_server(&cores[0], i)->rate_limited);
	start_call(0);
	ck_assert_uint_eq(sends->len, 1);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("rate");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, shares_make_up_the_limit, 0,
			    G_N_ELEMENTS(shares));
	tcase_add_loop_test(tests,
			    host_that_others_do_not_know_stays_within_the_slack,
			    0, G_N_ELEMENTS(shares));
	tcase_add_test(tests, host_without_host_list_sends_nothing);
	tcase_add_test(tests,
		       servers_without_host_in_their_zone_are_shared_by_all);
	tcase_add_loop_test(tests, hosts_share_the_slack_of_retries, 0,
			    G_N_ELEMENTS(shares));
	tcase_add_loop_test(tests, limits_hold_under_load, 0,
			    G_N_ELEMENTS(policies));
	tcase_add_test(tests, retries_count);
	tcase_add_test(tests, hedges_avoid_limited_servers);
	tcase_add_test(tests, restarts_and_changes_yield_no_requests);
	tcase_add_loop_test(
		tests, call_is_refused_at_once_while_all_limits_are_used_up, 0,
		G_N_ELEMENTS(policies));
	tcase_add_test(tests, call_waits_for_a_limit_that_soon_allows_it);
	tcase_add_test(tests, ended_limit_is_noticed_without_calls);
	return suite_run_case("rate", tests, CK_FORK_GETENV);
}
