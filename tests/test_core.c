/*
 * Tests of the decision core with simulated time and a fixed random seed. Each
 * rule_...() function tests one mechanism of base/mechanism.h: it sets up a
 * situation and returns whether the core keeps the rule. Every rule is tested
 * twice: it must hold, and it must not hold when its mechanism is switched off.
 * The second run shows that the rule tests the mechanism at all.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "tests/core_fixture.h"
#include "tests/suite.h"

enum { SECOND = 1000 * MS, MAX_SERVERS = 8, DEADLINE = 10 * SECOND };

static GRand *rng;
static struct core_server_conf servers[MAX_SERVERS];
static struct core_service_conf service;
static struct core_conf conf;

static uint32_t draw_u32(void *ctx)
{
	return g_rand_int(rng);
}

static void apply_conf(void)
{
	struct core_event event = { .kind = CORE_EV_CONF };

	event.u.conf = &conf;
	handle_event(event);
}

/* Starts a core with COUNT servers in one zone, each with SLOTS slots. */
static void start_core(enum core_policy policy, uint32_t count, uint32_t slots)
{
	rng = g_rand_new_with_seed(7);
	for (uint32_t i = 0; i < MAX_SERVERS; i++) {
		servers[i].id = i;
		servers[i].slots = slots;
		servers[i].max_connections = 100;
		servers[i].hash = (i + 1) * 0x9e3779b97f4a7c15ULL;
	}
	service.policy = policy;
	service.queue_limit = 100;
	service.retry_percent = 10;
	service.servers = servers;
	service.server_count = count;
	conf.latency_weight_percent = 100;
	conf.services = &service;
	conf.service_count = 1;
	init_core(SECOND, draw_u32);
	apply_conf();
}

static void end_test(void)
{
	stop_core();
	g_rand_free(rng);
}

static uint64_t start_call_by(uint32_t caller, uint64_t timeout_us,
			      bool idempotent)
{
	struct core_event event = { .kind = CORE_EV_CALL };

	event.u.call.call = ++last_call;
	event.u.call.caller = caller;
	event.u.call.deadline_us = now_us + timeout_us;
	event.u.call.idempotent = idempotent;
	handle_event(event);
	return last_call;
}

static uint64_t start_call(void)
{
	return start_call_by(CORE_NO_CALLER, DEADLINE, true);
}

static uint32_t count_actions(enum core_action_kind kind)
{
	uint32_t n = 0;

	for (guint i = 0; i < actions->len; i++)
		n += action_at(i)->kind == kind;
	return n;
}

/* Whether the call has ended with result KIND. */
static bool has_result(uint64_t id, enum st_kind kind)
{
	const struct core_action *action = find_action(CORE_ACT_FINISH, id);

	return action && action->result == kind;
}

/* Ends the latest attempt of a call; returns its server. */
static uint32_t end_attempt(uint64_t id, bool sent, enum core_end end)
{
	struct core_action send = *find_action(CORE_ACT_SEND, id);

	end_call_attempt(send, sent, end);
	return send.server;
}

static void post_report(uint32_t server, enum core_report_source source,
			uint32_t load, uint32_t latency_us)
{
	struct core_event event = { .kind = CORE_EV_REPORT };

	event.u.report.server = server;
	event.u.report.source = source;
	event.u.report.ok = true;
	event.u.report.in_flight = load;
	event.u.report.latency_us = latency_us;
	event.u.report.bytes = CORE_PROBE_MAX_BYTES;
	handle_event(event);
}

static void post_leaving(uint32_t server, enum core_leaving_source source,
			 bool leaving)
{
	struct core_event event = { .kind = CORE_EV_SERVER };

	event.u.server.server = server;
	event.u.server.source = source;
	event.u.server.leaving = leaving;
	handle_event(event);
}

/* Runs calls one after the other; returns how many were sent to SERVER. */
static uint32_t run_calls(uint32_t calls, uint64_t latency_us, uint32_t server)
{
	uint32_t hits = 0;

	for (uint32_t i = 0; i < calls; i++) {
		uint64_t id = start_call();

		now_us += latency_us;
		hits += end_attempt(id, true, CORE_END_DONE) == server;
	}
	return hits;
}

static uint32_t in_flight(uint32_t server)
{
	return core_server(core, server)->in_flight;
}

/*
 * Each slot is assigned to exactly one host, none to a draining one, and a host
 * uses its own free slots first.
 */
static bool rule_own_share(void)
{
	struct core_host_conf hosts[3] = { { 11, 0, false },
					   { 22, 0, false },
					   { 33, 0, true } };
	uint32_t total = 0;
	uint32_t own = 0;
	bool exact = true;

	start_core(CORE_POLICY_SHARES, 6, 6);
	conf.hosts = hosts;
	conf.host_count = 3;
	for (int h = 2; h >= 0; h--) {
		conf.host_hash = hosts[h].hash;
		apply_conf();
		for (int i = 0; i < 6; i++)
			total += core_server(core, i)->own_slots;
	}
	ck_assert_uint_eq(total, 36);
	for (int i = 0; i < 6; i++)
		own += core_server(core, i)->own_slots;
	for (uint32_t i = 0; i < own; i++)
		start_call();
	for (int i = 0; i < 6; i++)
		exact &= in_flight(i) == core_server(core, i)->own_slots;
	return exact;
}

/* Calls stay in the local zone while it has free slots; others leave it. */
static bool rule_zone_local(void)
{
	start_core(CORE_POLICY_SHARES, 4, 3);
	servers[2].zone = servers[3].zone = 1;
	apply_conf();
	for (int i = 0; i < 6; i++)
		start_call();
	if (in_flight(0) + in_flight(1) != 6)
		return false;
	for (int i = 0; i < 12; i++)
		start_call();
	ck_assert_uint_gt(in_flight(2) + in_flight(3), 3);
	return true;
}

/* A server that reports full load gets no calls while another is idle. */
static bool rule_report_load(void)
{
	start_core(CORE_POLICY_REPORTS, 2, 6);
	post_report(0, CORE_FROM_ANSWER, 6, 0);
	post_report(1, CORE_FROM_ANSWER, 0, 0);
	return !run_calls(20, 100, 0);
}

/*
 * The load estimate decays with the age of a report, so that an old report does
 * not keep a server out of use.
 */
static bool rule_report_age(void)
{
	start_core(CORE_POLICY_REPORTS, 2, 6);
	post_report(0, CORE_FROM_ANSWER, 6, 0);
	ck_assert_uint_ge(
		core_load_q8(core, core_service(core, 0), core_server(core, 0)),
		6 * CORE_Q8);
	now_us += SECOND;
	start_call();
	return core_load_q8(core, core_service(core, 0), core_server(core, 0)) <
	       3 * CORE_Q8;
}

/*
 * A server gets no calls while the configuration, or a notice from the
 * platform, a peer or an answer, marks it as leaving. Only a probe detects that
 * it no longer answers with x-draining.
 */
static bool rule_leaving_server(void)
{
	start_core(CORE_POLICY_SHARES, 3, 6);
	service.probe_requests_per_s = 100;
	service.probe_bytes_per_s = 200000;
	servers[2].leaving = true;
	apply_conf();
	post_leaving(0, CORE_LEAVING_ANNOUNCED, true);
	post_leaving(1, CORE_LEAVING_IN_ANSWER, true);
	for (int i = 0; i < 10; i++)
		start_call();
	if (in_flight(0) + in_flight(1) + in_flight(2))
		return false;
	/* Server 1 stays marked when it is removed and added again. */
	service.server_count = 1;
	apply_conf();
	expire_timer(0);
	service.server_count = 3;
	apply_conf();
	start_call();
	ck_assert_uint_eq(in_flight(1), 0);
	now_us += 5 * SECOND;
	expire_timer(0);
	ck_assert_uint_eq(count_actions(CORE_ACT_PROBE), 1);
	ck_assert_uint_eq(find_action(CORE_ACT_PROBE, 0)->server, 1);
	post_leaving(1, CORE_LEAVING_ANNOUNCED, false);
	ck_assert_uint_eq(in_flight(1), 0);
	post_leaving(1, CORE_LEAVING_IN_ANSWER, false);
	now_us += 11 * SECOND;
	start_call();
	ck_assert_uint_eq(in_flight(0), 0);
	ck_assert_uint_gt(in_flight(1), 0);
	return true;
}

/*
 * In any second, the first one included, the probes of a host stay within its
 * share of the measuring budget, here 20 probes by bytes: 200 for 10 hosts.
 */
static bool rule_measuring_budget(void)
{
	uint32_t most_per_second = 0;
	uint32_t sent_before = 0;
	uint32_t probes_sent[400] = { 0 };

	start_core(CORE_POLICY_PROBES, 8, 6);
	service.probe_requests_per_s = 400;
	service.probe_bytes_per_s = 200 * CORE_PROBE_MAX_BYTES;
	service.probe_cross_zone_bytes_per_s = 40 * CORE_PROBE_MAX_BYTES;
	servers[0].zone = 1;
	conf.budget_hosts = 10;
	apply_conf();
	for (int i = 0; i < 400; i++) {
		uint32_t sent;

		now_us += 10 * MS;
		end_attempt(start_call(), true, CORE_END_DONE);
		sent = count_actions(CORE_ACT_PROBE);
		for (uint32_t k = sent_before; k < sent; k++)
			post_report(1, CORE_FROM_PROBE, 0, 1);
		probes_sent[i] = sent - sent_before;
		sent_before = sent;
	}
	for (int i = 0; i + 100 <= 400; i++) {
		uint32_t sum = 0;

		for (int k = i; k < i + 100; k++)
			sum += probes_sent[k];
		most_per_second = MAX(most_per_second, sum);
	}
	ck_assert_uint_gt(most_per_second, 10);
	return most_per_second <= 20;
}

/* Runs calls; returns how many went to servers other than 0 and 1. */
static uint32_t calls_outside_pool(uint32_t calls)
{
	uint32_t outside = 0;

	for (uint32_t i = 0; i < calls; i++)
		outside += end_attempt(start_call(), true, CORE_END_DONE) > 1;
	return outside;
}

/* The pool of probe responses has one of server 0 and one of server 1. */
static void start_core_with_pool(void)
{
	start_core(CORE_POLICY_PROBES, 8, 6);
	post_report(0, CORE_FROM_PROBE, 0, 1);
	post_report(1, CORE_FROM_PROBE, 0, 1);
}

/* Probe responses that are too old are not used. */
static bool rule_probe_age(void)
{
	start_core_with_pool();
	ck_assert_uint_eq(calls_outside_pool(10), 0);
	now_us += 2 * SECOND;
	return calls_outside_pool(20) > 5;
}

/* A probe response is dropped after a limited number of uses. */
static bool rule_probe_reuse(void)
{
	start_core_with_pool();
	return calls_outside_pool(200) > 50;
}

/* A short probe latency must not attract calls to a loaded (hot) server. */
static bool rule_hot_cold(void)
{
	start_core(CORE_POLICY_PROBES, 8, 6);
	for (int i = 0; i < 10; i++)
		post_report(1 + i % 2, CORE_FROM_PROBE, 0, 5 * MS);
	post_report(0, CORE_FROM_PROBE, 6, 100);
	return end_attempt(start_call(), true, CORE_END_DONE) != 0;
}

/*
 * The concurrency limit of a straggler falls so far that the straggler gets
 * only an occasional call.
 */
static bool rule_server_limit(void)
{
	start_core(CORE_POLICY_SHARES, 4, 6);
	run_calls(100, 5 * MS, 0);
	for (int i = 0; i < 60; i++) {
		uint64_t id = start_call();
		bool slow = find_action(CORE_ACT_SEND, id)->server == 0;

		now_us += slow ? 200 * MS : 5 * MS;
		end_attempt(id, true, CORE_END_DONE);
	}
	for (int i = 0; i < 24; i++)
		start_call();
	return in_flight(0) <= 1;
}

/*
 * A server that fails fast must not attract calls: it is ejected, and after the
 * back-off it gets one trial call.
 */
static bool rule_fail_fast(void)
{
	start_core(CORE_POLICY_SHARES, 4, 6);
	for (int i = 0; i < 24; i++)
		start_call();
	for (uint64_t id = last_call - 23; id <= last_call; id++)
		end_attempt(id, true,
			    find_action(CORE_ACT_SEND, id)->server ?
				    CORE_END_DONE :
				    CORE_END_DONE_ERROR);
	if (run_calls(100, MS, 0))
		return false;
	now_us += 200 * MS;
	for (int i = 0; i < 20; i++)
		start_call();
	ck_assert_uint_eq(in_flight(0), 1);
	return true;
}

/* A new server gets few calls at first and its full share after 10 s. */
static bool rule_slow_start(void)
{
	uint32_t early_calls;

	start_core(CORE_POLICY_SHARES, 3, 6);
	service.server_count = 4;
	apply_conf();
	early_calls = run_calls(200, 1, 3);
	now_us += 11 * SECOND;
	ck_assert_uint_gt(run_calls(200, 1, 3), 35);
	return early_calls < 25;
}

/*
 * When calls are queued, callers use slots in proportion to their weight,
 * whichever of them called first.
 */
static bool rule_caller_shares(void)
{
	struct core_caller_conf callers[2] = { { 1 }, { 3 } };
	uint64_t first[2] = { last_call + 1 };
	uint32_t in_use[2] = { 0 };

	start_core(CORE_POLICY_SHARES, 1, 4);
	conf.callers = callers;
	conf.caller_count = 2;
	apply_conf();
	for (int i = 0; i < 60; i++)
		start_call_by(0, DEADLINE, true);
	first[1] = last_call + 1;
	for (int i = 0; i < 30; i++)
		start_call_by(1, DEADLINE, true);
	for (uint64_t id = first[0]; id < first[0] + 8; id++)
		end_attempt(id, true, CORE_END_DONE);
	for (uint64_t id = first[0]; id <= last_call; id++)
		in_use[id >= first[1]] += find_action(CORE_ACT_SEND, id) &&
					  !find_action(CORE_ACT_FINISH, id);
	return in_use[0] == 2 && in_use[1] == 6;
}

/* Of 50 calls, 8 are sent and 5 are queued; the others must be refused. */
static bool rule_queue_bound(void)
{
	start_core(CORE_POLICY_SHARES, 1, 4);
	service.queue_limit = 5;
	apply_conf();
	for (int i = 0; i < 50; i++)
		start_call();
	return count_actions(CORE_ACT_FINISH) == 50 - 8 - 5 &&
	       has_result(last_call, ST_QUEUE_FULL);
}

/* A call that cannot meet its deadline is refused at once, not sent. */
static bool rule_early_refusal(void)
{
	uint64_t id;

	start_core(CORE_POLICY_SHARES, 2, 6);
	run_calls(130, 20 * MS, 0);
	id = start_call_by(CORE_NO_CALLER, 5 * MS, true);
	return has_result(id, ST_DEADLINE_NOT_RUN) &&
	       !find_action(CORE_ACT_SEND, id);
}

/* In an outage, retries must not multiply the load: 10 percent at most. */
static bool rule_retry_budget(void)
{
	start_core(CORE_POLICY_SHARES, 4, 6);
	for (int i = 0; i < 100; i++) {
		uint64_t id = start_call();

		while (find_action(CORE_ACT_SEND, id) &&
		       !find_action(CORE_ACT_FINISH, id))
			end_attempt(id, false, CORE_END_NOT_SENT);
		ck_assert(has_result(id, ST_CONNECT));
	}
	return count_actions(CORE_ACT_SEND) <= 110;
}

/*
 * An idempotent call that is late is hedged, an order is not. When the hedge
 * is answered first, the first attempt is cancelled.
 */
static bool rule_hedging(void)
{
	uint64_t inquiry;
	uint64_t order;

	start_core(CORE_POLICY_SHARES, 4, 6);
	run_calls(130, 5 * MS, 0);
	inquiry = start_call();
	order = start_call_by(CORE_NO_CALLER, DEADLINE, false);
	now_us += 10 * MS;
	expire_timer(inquiry);
	expire_timer(order);
	ck_assert_uint_eq(find_action(CORE_ACT_SEND, order)->attempt, 0);
	if (!find_action(CORE_ACT_SEND, inquiry)->hedge)
		return false;
	end_attempt(inquiry, true, CORE_END_DONE);
	ck_assert_uint_eq(find_action(CORE_ACT_CANCEL, inquiry)->attempt, 0);
	return has_result(inquiry, ST_OK);
}

/*
 * An order is retried only while no attempt can have run. After an attempt
 * without an answer its outcome is unknown.
 */
static bool rule_send_once(void)
{
	uint64_t id;

	start_core(CORE_POLICY_SHARES, 4, 6);
	run_calls(50, 5 * MS, 0);
	id = start_call_by(CORE_NO_CALLER, DEADLINE, false);
	end_attempt(id, false, CORE_END_NOT_SENT);
	ck_assert_uint_eq(find_action(CORE_ACT_SEND, id)->attempt, 1);
	end_attempt(id, true, CORE_END_REFUSED);
	ck_assert_uint_eq(find_action(CORE_ACT_SEND, id)->attempt, 2);
	end_attempt(id, true, CORE_END_NO_ANSWER);
	return has_result(id, ST_UNKNOWN);
}

/*
 * A call with an attempt that may have run ends as unknown, even if its last
 * attempt was not run.
 */
static bool rule_not_run(void)
{
	uint64_t id;

	start_core(CORE_POLICY_SHARES, 4, 6);
	run_calls(50, 5 * MS, 0);
	id = start_call();
	end_attempt(id, true, CORE_END_NO_ANSWER);
	while (!find_action(CORE_ACT_FINISH, id))
		end_attempt(id, false, CORE_END_NOT_SENT);
	return has_result(id, ST_UNKNOWN);
}

static const struct {
	const char *mechanism;
	bool (*holds)(void);
} rules[] = {
	{ "own-share", rule_own_share },
	{ "zone-local", rule_zone_local },
	{ "report-load", rule_report_load },
	{ "report-age", rule_report_age },
	{ "leaving-signs", rule_leaving_server },
	{ "measuring-budget", rule_measuring_budget },
	{ "probe-age", rule_probe_age },
	{ "probe-reuse", rule_probe_reuse },
	{ "hot-cold", rule_hot_cold },
	{ "server-limit", rule_server_limit },
	{ "fail-fast-guard", rule_fail_fast },
	{ "slow-start", rule_slow_start },
	{ "caller-shares", rule_caller_shares },
	{ "queue-bound", rule_queue_bound },
	{ "early-refusal", rule_early_refusal },
	{ "retry-budget", rule_retry_budget },
	{ "hedging", rule_hedging },
	{ "send-once", rule_send_once },
	{ "not-run-table", rule_not_run },
};

enum { RULES = sizeof(rules) / sizeof(rules[0]) };

static void check_rule(int i, bool on)
{
	bool holds;

	setenv("JACKDAWWORKS_OFF", on ? "" : rules[i].mechanism, 1);
	holds = rules[i].holds();
	end_test();
	ck_assert_msg(holds == on, "%s: the rule %s", rules[i].mechanism,
		      holds ? "holds without its mechanism" : "is broken");
}

START_TEST(rule_holds_with_mechanism)
{
	check_rule(_i, true);
}
END_TEST

START_TEST(rule_fails_without_mechanism)
{
	check_rule(_i, false);
}
END_TEST

/*
 * Guards against counting every server as a straggler when all calls are slow.
 * A host then sent nothing for seconds while the servers were idle.
 */
START_TEST(uniformly_slow_servers_stay_usable)
{
	uint64_t ids[24];

	setenv("JACKDAWWORKS_OFF", "", 1);
	start_core(CORE_POLICY_SHARES, 6, 6);
	run_calls(1, 2 * MS, 0);
	for (int i = 0; i < 60; i++) {
		uint64_t id = start_call();

		ck_assert_ptr_nonnull(find_action(CORE_ACT_SEND, id));
		now_us += 100 * MS;
		end_attempt(id, true, CORE_END_DONE);
	}
	for (int i = 0; i < 24; i++)
		ids[i] = start_call();
	for (int i = 0; i < 24; i++)
		ck_assert_ptr_nonnull(find_action(CORE_ACT_SEND, ids[i]));
	end_test();
}
END_TEST

/* Guards against more attempts than the route allows, by a hedge. */
START_TEST(call_with_one_attempt_is_not_hedged)
{
	struct core_event event = { .kind = CORE_EV_CALL };

	setenv("JACKDAWWORKS_OFF", "", 1);
	start_core(CORE_POLICY_SHARES, 4, 6);
	run_calls(130, 5 * MS, 0);
	event.u.call.call = ++last_call;
	event.u.call.caller = CORE_NO_CALLER;
	event.u.call.deadline_us = now_us + DEADLINE;
	event.u.call.idempotent = true;
	event.u.call.max_attempts = 1;
	handle_event(event);
	now_us += 10 * MS;
	expire_timer(last_call);
	ck_assert(!find_action(CORE_ACT_SEND, last_call)->hedge);
	end_test();
}
END_TEST

/*
 * An order that was sent runs to its end after its caller has left. If its
 * server refuses it, it must not be sent to another one: nobody waits for it.
 */
START_TEST(refused_order_of_departed_caller_is_not_retried)
{
	struct core_event sent = { .kind = CORE_EV_SENT };
	struct core_event left = { .kind = CORE_EV_CALLER_LEFT };
	uint32_t sends;
	uint64_t id;

	setenv("JACKDAWWORKS_OFF", "", 1);
	start_core(CORE_POLICY_RANDOM, 2, 4);
	/* Earns enough retry credit for another attempt. */
	run_calls(20, 2 * MS, 0);
	sends = count_actions(CORE_ACT_SEND);
	id = start_call_by(CORE_NO_CALLER, DEADLINE, false);
	sent.u.attempt.call = id;
	handle_event(sent);
	left.u.call_ref.call = id;
	handle_event(left);
	ck_assert_uint_eq(count_actions(CORE_ACT_CANCEL), 0);
	ck_assert(!find_action(CORE_ACT_FINISH, id));
	end_attempt(id, false, CORE_END_REFUSED);
	ck_assert_uint_eq(count_actions(CORE_ACT_SEND), sends + 1);
	ck_assert(has_result(id, ST_CALLER_LEFT));
	end_test();
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("core");

	tcase_add_loop_test(tcase, rule_holds_with_mechanism, 0, RULES);
	tcase_add_loop_test(tcase, rule_fails_without_mechanism, 0, RULES);
	tcase_add_test(tcase, uniformly_slow_servers_stay_usable);
	tcase_add_test(tcase, call_with_one_attempt_is_not_hedged);
	tcase_add_test(tcase, refused_order_of_departed_caller_is_not_retried);
	/* Switches are read once per process; each rule runs in its own. */
	return suite_run_case("core", tcase, CK_FORK);
}
