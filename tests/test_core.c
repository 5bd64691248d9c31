/*
 * Rules of the decision core with fake time and fixed random numbers. Every
 * rule is tried twice: it must hold, and it must not hold once its mechanism
 * is switched off.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "core_state.h"
#include "tests/suite.h"

enum { MS = 1000, SECOND = 1000 * MS, MAX_SERVERS = 8, DEADLINE = 10 * SECOND };

static struct core *core;
static GRand *rng;
static GArray *actions;
static uint64_t now_us;
static uint64_t last_call;
static struct core_server_conf servers[MAX_SERVERS];
static struct core_service_conf service;
static struct core_conf conf;

static void act(void *ctx, const struct core_action *action)
{
	g_array_append_val(actions, *action);
}

static uint32_t random_u32(void *ctx)
{
	return g_rand_int(rng);
}

static void handle(struct core_event event)
{
	event.now_us = now_us;
	core_handle_event(core, &event);
}

static void configure(void)
{
	struct core_event event = { .kind = CORE_EV_CONF };

	event.u.conf = &conf;
	handle(event);
}

/* A core with COUNT servers of one zone and of SLOTS slots each. */
static void begin(enum core_policy policy, uint32_t count, uint32_t slots)
{
	struct core_driver driver = { act, random_u32, NULL, NULL };

	now_us = SECOND;
	rng = g_rand_new_with_seed(7);
	actions = g_array_new(FALSE, FALSE, sizeof(struct core_action));
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
	core = g_new0(struct core, 1);
	core_init(core, &driver);
	configure();
}

static uint64_t call_by(uint32_t caller, uint64_t timeout_us, bool idempotent)
{
	struct core_event event = { .kind = CORE_EV_CALL };

	event.u.call.call = ++last_call;
	event.u.call.caller = caller;
	event.u.call.deadline_us = now_us + timeout_us;
	event.u.call.idempotent = idempotent;
	handle(event);
	return last_call;
}

static uint64_t call(void)
{
	return call_by(CORE_NO_CALLER, DEADLINE, true);
}

/* The newest action of that kind for a call, or NULL. */
static const struct core_action *find(enum core_action_kind kind, uint64_t id)
{
	for (guint i = actions->len; i--;) {
		const struct core_action *action =
			&g_array_index(actions, struct core_action, i);

		if (action->kind == kind && action->call == id)
			return action;
	}
	return NULL;
}

static uint32_t count(enum core_action_kind kind)
{
	uint32_t n = 0;

	for (guint i = 0; i < actions->len; i++)
		n += g_array_index(actions, struct core_action, i).kind == kind;
	return n;
}

/* The call is over with KIND. */
static bool finished(uint64_t id, enum st_kind kind)
{
	const struct core_action *action = find(CORE_ACT_FINISH, id);

	return action && action->result == kind;
}

/* Ends the newest attempt of a call; returns its server. */
static uint32_t end(uint64_t id, bool sent, enum core_end how)
{
	const struct core_action *send = find(CORE_ACT_SEND, id);
	struct core_event event = { .kind = CORE_EV_SENT };
	uint32_t server = send->server;
	uint32_t attempt = send->attempt;

	event.u.ended.call = id;
	event.u.ended.attempt = attempt;
	event.u.ended.end = how;
	if (sent)
		handle(event);
	event.kind = CORE_EV_ENDED;
	handle(event);
	return server;
}

static void timer(uint64_t id)
{
	struct core_event event = { .kind = CORE_EV_TIMER };

	event.u.ref.call = id;
	handle(event);
}

static void report(uint32_t server, enum core_report_source source,
		   uint32_t load, uint32_t latency_us)
{
	struct core_event event = { .kind = CORE_EV_REPORT };

	event.u.report.server = server;
	event.u.report.source = source;
	event.u.report.ok = true;
	event.u.report.in_flight = load;
	event.u.report.latency_us = latency_us;
	event.u.report.bytes = CORE_PROBE_MAX_BYTES;
	handle(event);
}

static void leaving(uint32_t server, enum core_leaving_source sign, bool value)
{
	struct core_event event = { .kind = CORE_EV_SERVER };

	event.u.server.server = server;
	event.u.server.source = sign;
	event.u.server.leaving = value;
	handle(event);
}

/* Calls one after the other; returns how many SERVER got. */
static uint32_t series(uint32_t calls, uint64_t latency_us, uint32_t server)
{
	uint32_t hits = 0;

	for (uint32_t i = 0; i < calls; i++) {
		uint64_t id = call();

		now_us += latency_us;
		hits += end(id, true, CORE_END_DONE) == server;
	}
	return hits;
}

static uint32_t in_flight(uint32_t server)
{
	return core_server(core, server)->in_flight;
}

/* Every slot has one owner, and free own slots are used first. */
static bool rule_own_share(void)
{
	struct core_host_conf hosts[3] = { { 11, 0, false },
					   { 22, 0, false },
					   { 33, 0, true } };
	uint32_t total = 0;
	uint32_t own = 0;
	bool exact = true;

	begin(CORE_POLICY_SHARES, 6, 6);
	conf.hosts = hosts;
	conf.host_count = 3;
	for (int h = 2; h >= 0; h--) {
		conf.host_hash = hosts[h].hash;
		configure();
		for (int i = 0; i < 6; i++)
			total += core_server(core, i)->own_slots;
	}
	ck_assert_uint_eq(total, 36);
	for (int i = 0; i < 6; i++)
		own += core_server(core, i)->own_slots;
	for (uint32_t i = 0; i < own; i++)
		call();
	for (int i = 0; i < 6; i++)
		exact &= in_flight(i) == core_server(core, i)->own_slots;
	return exact;
}

/* Calls stay in the zone while it has free slots, then they spill over. */
static bool rule_zone_local(void)
{
	begin(CORE_POLICY_SHARES, 4, 3);
	servers[2].zone = servers[3].zone = 1;
	configure();
	for (int i = 0; i < 6; i++)
		call();
	if (in_flight(0) + in_flight(1) != 6)
		return false;
	for (int i = 0; i < 12; i++)
		call();
	ck_assert_uint_gt(in_flight(2) + in_flight(3), 3);
	return true;
}

static bool rule_report_load(void)
{
	begin(CORE_POLICY_REPORTS, 2, 6);
	report(0, CORE_FROM_ANSWER, 6, 0);
	report(1, CORE_FROM_ANSWER, 0, 0);
	return !series(20, 100, 0);
}

/* An old report must not keep a server out of use. */
static bool rule_report_age(void)
{
	begin(CORE_POLICY_REPORTS, 2, 6);
	report(0, CORE_FROM_ANSWER, 6, 0);
	ck_assert_uint_ge(
		core_load_q8(core, core_service(core, 0), core_server(core, 0)),
		6 * CORE_Q8);
	now_us += SECOND;
	call();
	return core_load_q8(core, core_service(core, 0), core_server(core, 0)) <
	       3 * CORE_Q8;
}

/* Whoever says it, a leaving server gets nothing; a probe sees its return. */
static bool rule_leaving(void)
{
	begin(CORE_POLICY_SHARES, 3, 6);
	service.probe_requests_per_s = 100;
	service.probe_bytes_per_s = 200000;
	servers[2].leaving = true;
	configure();
	leaving(0, CORE_LEAVING_ANNOUNCED, true);
	leaving(1, CORE_LEAVING_IN_ANSWER, true);
	for (int i = 0; i < 10; i++)
		call();
	if (in_flight(0) + in_flight(1) + in_flight(2))
		return false;
	/* Nor does a new document bring it back. */
	service.server_count = 1;
	configure();
	timer(0);
	service.server_count = 3;
	configure();
	call();
	ck_assert_uint_eq(in_flight(1), 0);
	now_us += 5 * SECOND;
	timer(0);
	ck_assert_uint_eq(count(CORE_ACT_PROBE), 1);
	ck_assert_uint_eq(find(CORE_ACT_PROBE, 0)->server, 1);
	leaving(1, CORE_LEAVING_ANNOUNCED, false);
	ck_assert_uint_eq(in_flight(1), 0);
	leaving(1, CORE_LEAVING_IN_ANSWER, false);
	now_us += 11 * SECOND;
	call();
	ck_assert_uint_eq(in_flight(0), 0);
	ck_assert_uint_gt(in_flight(1), 0);
	return true;
}

/* No second may have more than the host's part, the first one included. */
static bool rule_budget(void)
{
	uint32_t worst = 0;
	uint32_t before = 0;
	uint32_t n[400] = { 0 };

	begin(CORE_POLICY_PROBES, 8, 6);
	service.probe_requests_per_s = 400;
	service.probe_bytes_per_s = 200 * CORE_PROBE_MAX_BYTES;
	service.probe_cross_zone_bytes_per_s = 40 * CORE_PROBE_MAX_BYTES;
	servers[0].zone = 1;
	conf.budget_hosts = 10;
	configure();
	for (int i = 0; i < 400; i++) {
		uint32_t sent;

		now_us += 10 * MS;
		end(call(), true, CORE_END_DONE);
		sent = count(CORE_ACT_PROBE);
		for (uint32_t k = before; k < sent; k++)
			report(1, CORE_FROM_PROBE, 0, 1);
		n[i] = sent - before;
		before = sent;
	}
	for (int i = 0; i + 100 <= 400; i++) {
		uint32_t sum = 0;

		for (int k = i; k < i + 100; k++)
			sum += n[k];
		worst = MAX(worst, sum);
	}
	ck_assert_uint_gt(worst, 10);
	return worst <= 20;
}

/* Calls that do not go to servers 0 and 1, which the pool knows. */
static uint32_t outside_pool(uint32_t calls)
{
	uint32_t outside = 0;

	for (uint32_t i = 0; i < calls; i++)
		outside += end(call(), true, CORE_END_DONE) > 1;
	return outside;
}

static void begin_pool(void)
{
	begin(CORE_POLICY_PROBES, 8, 6);
	report(0, CORE_FROM_PROBE, 0, 1);
	report(1, CORE_FROM_PROBE, 0, 1);
}

static bool rule_probe_age(void)
{
	begin_pool();
	ck_assert_uint_eq(outside_pool(10), 0);
	now_us += 2 * SECOND;
	return outside_pool(20) > 5;
}

static bool rule_probe_reuse(void)
{
	begin_pool();
	return outside_pool(200) > 50;
}

/* A quick probe response must not attract calls to a loaded server. */
static bool rule_hot_cold(void)
{
	begin(CORE_POLICY_PROBES, 8, 6);
	for (int i = 0; i < 10; i++)
		report(1 + i % 2, CORE_FROM_PROBE, 0, 5 * MS);
	report(0, CORE_FROM_PROBE, 6, 100);
	return end(call(), true, CORE_END_DONE) != 0;
}

/* A straggler's limit falls, and it is tried again only now and then. */
static bool rule_server_limit(void)
{
	begin(CORE_POLICY_SHARES, 4, 6);
	series(100, 5 * MS, 0);
	for (int i = 0; i < 60; i++) {
		uint64_t id = call();
		bool slow = find(CORE_ACT_SEND, id)->server == 0;

		now_us += slow ? 200 * MS : 5 * MS;
		end(id, true, CORE_END_DONE);
	}
	for (int i = 0; i < 24; i++)
		call();
	return in_flight(0) <= 1;
}

/* Quick errors must not attract load; one trial call after the back-off. */
static bool rule_fail_fast(void)
{
	begin(CORE_POLICY_SHARES, 4, 6);
	for (int i = 0; i < 24; i++)
		call();
	for (uint64_t id = last_call - 23; id <= last_call; id++)
		end(id, true,
		    find(CORE_ACT_SEND, id)->server ? CORE_END_DONE :
						      CORE_END_DONE_ERROR);
	if (series(100, MS, 0))
		return false;
	now_us += 200 * MS;
	for (int i = 0; i < 20; i++)
		call();
	ck_assert_uint_eq(in_flight(0), 1);
	return true;
}

static bool rule_slow_start(void)
{
	uint32_t early;

	begin(CORE_POLICY_SHARES, 3, 6);
	service.server_count = 4;
	configure();
	early = series(200, 1, 3);
	now_us += 11 * SECOND;
	ck_assert_uint_gt(series(200, 1, 3), 35);
	return early < 25;
}

/* Under contention callers hold slots by weight, whoever came first. */
static bool rule_caller_shares(void)
{
	struct core_caller_conf callers[2] = { { 1 }, { 3 } };
	uint64_t first[2] = { last_call + 1 };
	uint32_t held[2] = { 0 };

	begin(CORE_POLICY_SHARES, 1, 4);
	conf.callers = callers;
	conf.caller_count = 2;
	configure();
	for (int i = 0; i < 60; i++)
		call_by(0, DEADLINE, true);
	first[1] = last_call + 1;
	for (int i = 0; i < 30; i++)
		call_by(1, DEADLINE, true);
	for (uint64_t id = first[0]; id < first[0] + 8; id++)
		end(id, true, CORE_END_DONE);
	for (uint64_t id = first[0]; id <= last_call; id++)
		held[id >= first[1]] +=
			find(CORE_ACT_SEND, id) && !find(CORE_ACT_FINISH, id);
	return held[0] == 2 && held[1] == 6;
}

static bool rule_queue_bound(void)
{
	begin(CORE_POLICY_SHARES, 1, 4);
	service.queue_limit = 5;
	configure();
	for (int i = 0; i < 50; i++)
		call();
	return count(CORE_ACT_FINISH) == 50 - 8 - 5 &&
	       finished(last_call, ST_QUEUE_FULL);
}

/* A call that cannot make its deadline is not sent but refused at once. */
static bool rule_early_refusal(void)
{
	uint64_t id;

	begin(CORE_POLICY_SHARES, 2, 6);
	series(130, 20 * MS, 0);
	id = call_by(CORE_NO_CALLER, 5 * MS, true);
	return finished(id, ST_DEADLINE_NOT_RUN) && !find(CORE_ACT_SEND, id);
}

/* An outage must not multiply load. */
static bool rule_retry_budget(void)
{
	begin(CORE_POLICY_SHARES, 4, 6);
	for (int i = 0; i < 100; i++) {
		uint64_t id = call();

		while (find(CORE_ACT_SEND, id) && !find(CORE_ACT_FINISH, id))
			end(id, false, CORE_END_NOT_SENT);
		ck_assert(finished(id, ST_CONNECT));
	}
	return count(CORE_ACT_SEND) <= 110;
}

/* A late idempotent call is hedged, an order never. */
static bool rule_hedging(void)
{
	uint64_t inquiry;
	uint64_t order;

	begin(CORE_POLICY_SHARES, 4, 6);
	series(130, 5 * MS, 0);
	inquiry = call();
	order = call_by(CORE_NO_CALLER, DEADLINE, false);
	now_us += 10 * MS;
	timer(inquiry);
	timer(order);
	ck_assert_uint_eq(find(CORE_ACT_SEND, order)->attempt, 0);
	if (!find(CORE_ACT_SEND, inquiry)->hedge)
		return false;
	end(inquiry, true, CORE_END_DONE);
	ck_assert_uint_eq(find(CORE_ACT_CANCEL, inquiry)->attempt, 0);
	return finished(inquiry, ST_OK);
}

static bool rule_send_once(void)
{
	uint64_t id;

	begin(CORE_POLICY_SHARES, 4, 6);
	series(50, 5 * MS, 0);
	id = call_by(CORE_NO_CALLER, DEADLINE, false);
	end(id, false, CORE_END_NOT_SENT);
	ck_assert_uint_eq(find(CORE_ACT_SEND, id)->attempt, 1);
	end(id, true, CORE_END_REFUSED);
	ck_assert_uint_eq(find(CORE_ACT_SEND, id)->attempt, 2);
	end(id, true, CORE_END_NO_ANSWER);
	return finished(id, ST_UNKNOWN);
}

/* A later attempt that was not run does not make the call "not run". */
static bool rule_not_run(void)
{
	uint64_t id;

	begin(CORE_POLICY_SHARES, 4, 6);
	series(50, 5 * MS, 0);
	id = call();
	end(id, true, CORE_END_NO_ANSWER);
	while (!find(CORE_ACT_FINISH, id))
		end(id, false, CORE_END_NOT_SENT);
	return finished(id, ST_UNKNOWN);
}

static const struct {
	const char *mechanism;
	bool (*holds)(void);
} rules[] = {
	{ "own-share", rule_own_share },
	{ "zone-local", rule_zone_local },
	{ "report-load", rule_report_load },
	{ "report-age", rule_report_age },
	{ "leaving-signs", rule_leaving },
	{ "measuring-budget", rule_budget },
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
	core_free(core);
	g_free(core);
	g_array_free(actions, TRUE);
	g_rand_free(rng);
	ck_assert_msg(holds == on, "%s: the rule %s", rules[i].mechanism,
		      holds ? "holds without its mechanism" : "is broken");
}

START_TEST(rule_holds)
{
	check_rule(_i, true);
}
END_TEST

START_TEST(rule_needs_its_mechanism)
{
	check_rule(_i, false);
}
END_TEST

/*
 * Calls that all take long must not make every server a straggler: a host then
 * sent nothing for seconds while the servers were idle.
 */
START_TEST(slow_service_keeps_its_servers)
{
	uint64_t ids[24];

	setenv("JACKDAWWORKS_OFF", "", 1);
	begin(CORE_POLICY_SHARES, 6, 6);
	series(1, 2 * MS, 0);
	for (int i = 0; i < 60; i++) {
		uint64_t id = call();

		ck_assert_ptr_nonnull(find(CORE_ACT_SEND, id));
		now_us += 100 * MS;
		end(id, true, CORE_END_DONE);
	}
	for (int i = 0; i < 24; i++)
		ids[i] = call();
	for (int i = 0; i < 24; i++)
		ck_assert_ptr_nonnull(find(CORE_ACT_SEND, ids[i]));
	core_free(core);
	g_free(core);
	g_array_free(actions, TRUE);
	g_rand_free(rng);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("core");
	TCase *tcase = tcase_create("core");

	tcase_add_loop_test(tcase, rule_holds, 0, RULES);
	tcase_add_loop_test(tcase, rule_needs_its_mechanism, 0, RULES);
	tcase_add_test(tcase, slow_service_keeps_its_servers);
	suite_add_tcase(suite, tcase);
	/* Every rule needs a process of its own: switches are read once. */
	return suite_run(suite, CK_FORK);
}
