/*
 * Tests of evacuated zones and cold servers. Each host is a core of its own and
 * decides alone, by its own list of hosts, about the same servers.
 */
#include <string.h>

#include "core/state.h"
#include "tests/suite.h"

enum {
	MS = 1000,
	S = 1000 * MS,
	MAX_HOSTS = 160,
	ZONES = 4,
	SERVERS = 8,
	SLOTS = 6,
	WORK_MS = 50,
	WARMUP_MS = 3000,
	STEP_MS = 5,
	RATE_MILLI = 4300,
	/* 1.5 times the rate and 8 more, in any second. */
	MOST_COLD = 14
};

struct run {
	uint32_t host;
	uint64_t call;
	uint32_t attempt;
	uint32_t server;
	uint64_t end_us;
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
static bool knows[MAX_HOSTS][MAX_HOSTS]; /* the list of each host */
static uint32_t host_count;
static uint32_t servers_in_conf;
static uint32_t warmup_milli;
static enum core_policy policy;
static bool evacuated[ZONES];
static uint64_t cold_until_us[SERVERS]; /* as the servers say themselves */
static uint32_t running[SERVERS];
static uint64_t now_us;
static uint64_t last_call;
static uint32_t active_host; /* whose core handles an event */
static GArray *sends; /* struct sent, of all hosts */
static GArray *runs; /* struct run */
static GArray *waiting; /* struct waiting: calls that are not sent yet */
static GQueue probed; /* server + 1, by the active host */
static uint32_t probes_of[SERVERS];
static uint32_t refusals;
static uint32_t cancels;
static enum st_kind last_result;

static void remove_run(uint64_t call)
{
	for (guint i = runs->len; i--;) {
		const struct run *run = &g_array_index(runs, struct run, i);

		if (run->call != call)
			continue;
		running[run->server]--;
		g_array_remove_index_fast(runs, i);
	}
}

static void record_action(void *ctx, const struct core_action *action)
{
	struct sent sent = { action->server, now_us };
	struct run run = { active_host, action->call, action->attempt,
			   action->server, now_us + WORK_MS * MS };

	if (action->kind == CORE_ACT_SEND) {
		g_array_append_val(sends, sent);
		g_array_append_val(runs, run);
		running[action->server]++;
	} else if (action->kind == CORE_ACT_PROBE) {
		probes_of[action->server]++;
		g_queue_push_tail(&probed,
				  GUINT_TO_POINTER(action->server + 1));
	} else if (action->kind == CORE_ACT_CANCEL) {
		cancels++;
		remove_run(action->call);
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
	active_host = host;
	event.now_us = now_us;
	core_handle_event(&cores[host], &event);
}

static void report_load(uint32_t host, uint32_t server,
			enum core_report_source source)
{
	struct core_event event = { .kind = CORE_EV_REPORT };

	event.u.report.server = server;
	event.u.report.source = source;
	event.u.report.ok = true;
	event.u.report.in_flight = running[server];
	event.u.report.slots = SLOTS;
	event.u.report.pace_percent = 100;
	handle_event(host, event);
}

/* Answers all probes of HOST, as health checks are. */
static void answer_probes(uint32_t host)
{
	guint at;

	while ((at = GPOINTER_TO_UINT(g_queue_pop_head(&probed)))) {
		struct core_event event = { .kind = CORE_EV_WARMUP };
		uint64_t until_us = cold_until_us[at - 1];

		event.u.warmup.server = at - 1;
		event.u.warmup.left_us = until_us - MIN(until_us, now_us);
		handle_event(host, event);
		report_load(host, at - 1, CORE_FROM_PROBE);
	}
}

/* Applies a configuration with entries that are new, of servers cold for COLD_MS. */
static void apply_conf(uint32_t host, uint32_t cold_ms)
{
	static struct core_host_conf list[MAX_HOSTS];
	struct core_server_conf servers[SERVERS] = { 0 };
	struct core_service_conf service = {
		.policy = policy,
		.queue_limit = 100,
		.retry_percent = 100,
		.probe_requests_per_s = 1000000,
		.probe_bytes_per_s = 1 << 30,
		.probe_cross_zone_bytes_per_s = 1 << 30,
		.servers = servers,
		.server_count = servers_in_conf,
	};
	struct core_conf conf = {
		.host_hash = hosts[host].hash,
		.zone = hosts[host].zone,
		.latency_weight_percent = 100,
		.budget_hosts = 8,
		.services = &service,
		.service_count = 1,
		.hosts = list,
	};
	struct core_event event = { .kind = CORE_EV_CONF, .u.conf = &conf };

	for (uint32_t i = 0; i < host_count; i++)
		if (knows[host][i])
			list[conf.host_count++] = hosts[i];
	for (uint32_t i = 0; i < servers_in_conf; i++) {
		servers[i].id = i;
		servers[i].zone = i % ZONES;
		servers[i].slots = SLOTS;
		servers[i].max_connections = 1000;
		servers[i].hash = 0x9e3779b97f4a7c15 * (i + 1);
		servers[i].evacuated = evacuated[i % ZONES];
		servers[i].warmup_milli_per_s = warmup_milli;
		servers[i].warmup_ms = now_us < cold_until_us[i] ? cold_ms : 0;
	}
	handle_event(host, event);
}

/* Starts COUNT hosts, in zones in turn, that all know each other. */
static void start_hosts(uint32_t count)
{
	struct core_driver driver = { record_action, random_u32, NULL, NULL };

	host_count = count;
	for (uint32_t i = 0; i < count; i++) {
		hosts[i].hash = 0xd1b54a32d192ed03 * (i + 1);
		hosts[i].zone = i % ZONES;
		for (uint32_t k = 0; k < count; k++)
			knows[i][k] = true;
	}
	for (uint32_t i = 0; i < count; i++) {
		core_init(&cores[i], &driver);
		apply_conf(i, 0);
	}
}

static void setup(void)
{
	now_us = 1000 * (uint64_t)S;
	last_call = 0;
	refusals = 0;
	cancels = 0;
	host_count = 0;
	servers_in_conf = SERVERS;
	warmup_milli = RATE_MILLI;
	policy = CORE_POLICY_ASK;
	memset(evacuated, 0, sizeof(evacuated));
	memset(cold_until_us, 0, sizeof(cold_until_us));
	memset(running, 0, sizeof(running));
	memset(probes_of, 0, sizeof(probes_of));
	memset(knows, 0, sizeof(knows));
	sends = g_array_new(FALSE, FALSE, sizeof(struct sent));
	runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	g_queue_init(&probed);
}

static void teardown(void)
{
	for (uint32_t i = 0; i < host_count; i++)
		core_free(&cores[i]);
	g_array_free(sends, TRUE);
	g_array_free(runs, TRUE);
	g_array_free(waiting, TRUE);
	g_queue_clear(&probed);
}

static uint64_t start_call(uint32_t host)
{
	struct core_event event = { .kind = CORE_EV_CALL };
	struct waiting call = { host, ++last_call };

	event.u.call.call = last_call;
	event.u.call.caller = CORE_NO_CALLER;
	event.u.call.deadline_us = now_us + 2 * S;
	event.u.call.target_us = now_us + 400 * MS;
	handle_event(host, event);
	answer_probes(host);
	if (g_hash_table_contains(cores[host].calls, &last_call))
		g_array_append_val(waiting, call);
	return last_call;
}

static void end_run(const struct run *run, enum core_end end)
{
	struct core_event event = { .kind = CORE_EV_SENT };
	struct run ended = *run;

	remove_run(ended.call);
	event.u.ended.call = ended.call;
	event.u.ended.attempt = ended.attempt;
	handle_event(ended.host, event);
	report_load(ended.host, ended.server, CORE_FROM_ANSWER);
	event.kind = CORE_EV_ENDED;
	event.u.ended.end = end;
	handle_event(ended.host, event);
	answer_probes(ended.host);
}

static void fire_timer(uint32_t host, uint64_t call)
{
	struct core_event event = { .kind = CORE_EV_TIMER };

	event.u.call_ref.call = call;
	handle_event(host, event);
	answer_probes(host);
}

/* Lets STEP_MS pass, in which calls are answered and may be sent. */
static void pass_time(void)
{
	now_us += (uint64_t)STEP_MS * MS;
	for (guint i = runs->len; i--;)
		if (i < runs->len &&
		    g_array_index(runs, struct run, i).end_us <= now_us)
			end_run(&g_array_index(runs, struct run, i),
				CORE_END_DONE);
	for (guint i = waiting->len; i--;) {
		struct waiting call = g_array_index(waiting, struct waiting, i);

		fire_timer(call.host, call.id);
		if (!g_hash_table_contains(cores[call.host].calls, &call.id))
			g_array_remove_index_fast(waiting, i);
	}
}

/* Calls at all hosts alike, PER_S of them together, until UNTIL_US. */
static void run_load(uint32_t per_s, uint64_t until_us)
{
	uint64_t due = 0;

	while (now_us < until_us) {
		due += (uint64_t)per_s * STEP_MS;
		for (; due >= 1000; due -= 1000)
			start_call((uint32_t)(last_call * 7 % host_count));
		pass_time();
	}
}

/* Largest number of requests that SERVER got within a second, from FROM to UNTIL. */
static uint32_t busiest_second(uint32_t server, uint64_t from_us,
			       uint64_t until_us)
{
	uint32_t most = 0;

	for (guint i = 0; i < sends->len; i++) {
		uint64_t at_us = g_array_index(sends, struct sent, i).at_us;
		uint32_t count = 0;

		if (at_us < from_us)
			continue;
		for (guint k = i; k < sends->len; k++) {
			const struct sent *s =
				&g_array_index(sends, struct sent, k);

			if (s->at_us > MIN(at_us + S, until_us))
				break;
			count += s->server == server;
		}
		most = MAX(most, count);
	}
	return most;
}

static uint32_t count_sends(uint32_t server, uint64_t from_us,
			    uint64_t until_us)
{
	uint32_t count = 0;

	for (guint i = 0; i < sends->len; i++) {
		const struct sent *s = &g_array_index(sends, struct sent, i);

		count += s->server == server && s->at_us >= from_us &&
			 s->at_us < until_us;
	}
	return count;
}

static void evacuate(uint32_t zone, bool begin)
{
	evacuated[zone] = begin;
	for (uint32_t i = 0; i < host_count; i++)
		apply_conf(i, 0);
}

/* More than the warm servers can take, and much less. */
static const struct {
	uint32_t per_s;
	bool by_entry; /* of health check responses only if not */
} returns[] = { { 840, false }, { 840, true }, { 400, false }, { 400, true } };

/*
 * Guards against servers that crash because a zone comes back cold: they get more
 * than they bear, get nothing although there are calls, or keep their small share
 * when they are warm. Also against hosts that refuse calls although the servers of
 * other zones have room.
 */
START_TEST(zone_comes_back_cold)
{
	uint64_t begin_us;
	uint64_t warm_us;

	start_hosts(115);
	run_load(returns[_i].per_s, now_us + S);
	evacuate(0, true);
	begin_us = now_us;
	memset(probes_of, 0, sizeof(probes_of));
	run_load(returns[_i].per_s, now_us + 2 * S);
	begin_us += 1;
	warm_us = now_us + WARMUP_MS * MS;
	for (uint32_t i = 0; i < SERVERS; i += ZONES) {
		ck_assert_uint_eq(count_sends(i, begin_us, now_us), 0);
		ck_assert_uint_eq(probes_of[i], 0);
		cold_until_us[i] = warm_us;
	}
	begin_us = now_us;
	refusals = 0;
	evacuated[0] = false;
	/* The hosts learn of it one after the other, within a second. */
	for (uint32_t i = 0; i < host_count; i++) {
		apply_conf(i, returns[_i].by_entry ? WARMUP_MS : 0);
		run_load(returns[_i].per_s, begin_us + (i + 1) * S / 115);
	}
	run_load(returns[_i].per_s, warm_us);
	for (uint32_t i = 0; i < SERVERS; i += ZONES) {
		ck_assert_uint_le(busiest_second(i, begin_us, warm_us),
				  MOST_COLD);
		ck_assert_uint_ge(count_sends(i, begin_us, warm_us), 1);
	}
	if (returns[_i].per_s == 400)
		ck_assert_uint_eq(refusals, 0);
	/* An entry that is read up to a second late counts as long again. */
	run_load(returns[_i].per_s, warm_us + 3 * S);
	for (uint32_t i = 0; i < SERVERS; i += ZONES)
		ck_assert_uint_ge(count_sends(i, warm_us + S, now_us),
				  2 * returns[_i].per_s / SERVERS / 2);
}
END_TEST

/* Guards against a server that turns cold under load and keeps its share. */
START_TEST(server_turns_cold_under_load)
{
	uint64_t cold_us;

	start_hosts(_i ? ZONES : 115);
	run_load(700, now_us + 2 * S);
	cold_us = now_us;
	cold_until_us[5] = now_us + WARMUP_MS * MS;
	run_load(700, cold_until_us[5]);
	ck_assert_uint_le(
		busiest_second(5, cold_us + 50 * MS, cold_until_us[5]),
		MOST_COLD);
	run_load(700, now_us + 2 * S);
	ck_assert_uint_ge(count_sends(5, cold_until_us[5] + S, now_us), 40);
}
END_TEST

/*
 * Guards against busy hosts that never learn that a server is cold, because the
 * reports on its answers take the place of probes.
 */
START_TEST(reports_on_answers_do_not_replace_probes)
{
	const struct core_server *server;

	start_hosts(1);
	server = core_server(&cores[0], 0);
	report_load(0, 0, CORE_FROM_PROBE);
	now_us += 51 * MS;
	report_load(0, 0, CORE_FROM_ANSWER);
	ck_assert(!core_warmup_is_known(server, now_us));
	memset(probes_of, 0, sizeof(probes_of));
	start_call(0);
	ck_assert_uint_eq(probes_of[0], 1);
	ck_assert(core_warmup_is_known(server, now_us));
}
END_TEST

/* Which hosts a host knows. */
static bool know_halves(uint32_t host, uint32_t other)
{
	return host / ZONES % 2 == other / ZONES % 2;
}

/* The last hosts have joined lately, and each knows only those before it. */
static bool know_earlier(uint32_t host, uint32_t other)
{
	return other <= MAX(host, MAX_HOSTS - 20);
}

static bool know_most(uint32_t host, uint32_t other)
{
	return host == other || (host * 31 + other * 17) % 10 != 0;
}

static bool know_none_or_all(uint32_t host, uint32_t other)
{
	return host % 3;
}

static bool know_all(uint32_t host, uint32_t other)
{
	return true;
}

static bool (*const lists[])(uint32_t host, uint32_t other) = {
	know_all, know_halves, know_earlier, know_most, know_none_or_all,
};

/*
 * Guards against more than a joining server bears, because hosts whose lists differ
 * take themselves for one of those that share it; and against one that gets nothing.
 */
START_TEST(servers_join_while_lists_differ)
{
	uint64_t begin_us;

	servers_in_conf = SERVERS - ZONES;
	start_hosts(MAX_HOSTS);
	run_load(800, now_us + S);
	for (uint32_t i = 0; i < host_count; i++)
		for (uint32_t k = 0; k < host_count; k++)
			knows[i][k] = lists[_i](i, k);
	servers_in_conf = SERVERS;
	for (uint32_t i = SERVERS - ZONES; i < SERVERS; i++)
		cold_until_us[i] = now_us + WARMUP_MS * MS;
	begin_us = now_us;
	for (uint32_t i = 0; i < host_count; i++)
		apply_conf(i, WARMUP_MS);
	run_load(800, now_us + 2 * S);
	for (uint32_t i = 0; i < host_count; i++) {
		for (uint32_t k = 0; k < host_count; k++)
			knows[i][k] = true;
		apply_conf(i, 0);
	}
	run_load(800, begin_us + WARMUP_MS * MS);
	for (uint32_t i = SERVERS - ZONES; i < SERVERS; i++) {
		ck_assert_uint_le(busiest_second(i, begin_us, now_us),
				  MOST_COLD);
		ck_assert_uint_ge(count_sends(i, begin_us, begin_us + 2 * S),
				  1);
	}
	/* Slow start would hold them back for ten seconds. */
	for (uint32_t i = SERVERS - ZONES; i < SERVERS; i++)
		ck_assert_uint_eq(core_slow_start_share_q8(
					  &cores[0], core_server(&cores[0], i)),
				  CORE_Q8);
}
END_TEST

/*
 * Guards against the same when all hosts have just started, and have heard only of
 * those before them for the first second.
 */
START_TEST(hosts_start_among_cold_servers)
{
	uint64_t begin_us = now_us;

	for (uint32_t i = 0; i < SERVERS; i++)
		cold_until_us[i] = now_us + WARMUP_MS * MS;
	start_hosts(MAX_HOSTS);
	for (uint32_t i = 0; i < host_count; i++) {
		for (uint32_t k = 0; k < host_count; k++)
			knows[i][k] = k <= i;
		apply_conf(i, WARMUP_MS);
	}
	run_load(800, now_us + S);
	for (uint32_t i = 0; i < host_count; i++) {
		memset(knows[i], true, sizeof(knows[i]));
		apply_conf(i, 0);
	}
	run_load(800, begin_us + WARMUP_MS * MS);
	for (uint32_t i = 0; i < SERVERS; i++)
		ck_assert_uint_le(busiest_second(i, begin_us, now_us),
				  MOST_COLD);
	run_load(800, now_us + S);
	ck_assert_uint_ge(sends->len, 600);
}
END_TEST

/*
 * Guards against the lower of the two limits being passed, and against the share
 * of a cold server that is kept when only the limit is left.
 */
START_TEST(lower_limit_counts)
{
	struct core_event event = { .kind = CORE_EV_RATE_LIMIT };
	const struct core_bucket *bucket;

	start_hosts(1);
	bucket = &core_server(&cores[0], 0)->rate_tokens;
	event.u.rate_limit.limited = true;
	event.u.rate_limit.milli_per_s = 100000;
	handle_event(0, event);
	ck_assert_uint_eq(bucket->rate_per_s, 100 * CORE_TOKEN_SCALE);
	cold_until_us[0] = now_us + WARMUP_MS * MS;
	apply_conf(0, WARMUP_MS);
	ck_assert_uint_lt(bucket->rate_per_s, 2 * CORE_TOKEN_SCALE);
	event.u.rate_limit.milli_per_s = 100;
	handle_event(0, event);
	ck_assert_uint_lt(bucket->rate_per_s, CORE_TOKEN_SCALE / 10);
	event.u.rate_limit.milli_per_s = 100000;
	handle_event(0, event);
	now_us = cold_until_us[0];
	fire_timer(0, 0);
	ck_assert_uint_eq(bucket->rate_per_s, 100 * CORE_TOKEN_SCALE);
}
END_TEST

/* Guards against a warm-up that changes anything where no rate is stated. */
START_TEST(warmup_without_rate_is_no_limit)
{
	struct core_event event = { .kind = CORE_EV_WARMUP };

	warmup_milli = 0;
	start_hosts(2);
	event.u.warmup.left_us = S;
	handle_event(0, event);
	ck_assert_uint_eq(core_server(&cores[0], 0)->warmup_until_us, 0);
	cold_until_us[0] = now_us + WARMUP_MS * MS;
	apply_conf(0, WARMUP_MS);
	ck_assert(!core_rate_is_limited(&cores[0], core_server(&cores[0], 0)));
}
END_TEST

static const enum core_policy policies[] = { CORE_POLICY_ASK,
					     CORE_POLICY_RANDOM,
					     CORE_POLICY_SHARES };

/*
 * Guards against calls that wait for servers that get nothing any more, and against
 * requests in flight that are cut off.
 */
START_TEST(waiting_calls_are_refused_when_all_zones_are_evacuated)
{
	uint32_t before;

	policy = policies[_i];
	start_hosts(1);
	for (uint32_t i = 0; i < SERVERS; i++) {
		struct core_event pause = { .kind = CORE_EV_PAUSE };

		pause.u.pause.server = i;
		pause.u.pause.duration_us = 40 * MS;
		start_call(0);
		handle_event(0, pause);
	}
	before = runs->len;
	ck_assert_uint_gt(before, 0);
	while (last_call < SERVERS + 5)
		start_call(0);
	ck_assert_uint_eq(refusals, 0);
	for (uint32_t zone = 0; zone < ZONES; zone++)
		evacuated[zone] = true;
	apply_conf(0, 0);
	now_us += 20 * MS;
	for (guint i = 0; i < waiting->len; i++)
		fire_timer(0, g_array_index(waiting, struct waiting, i).id);
	ck_assert_uint_eq(refusals, last_call - before);
	ck_assert_int_eq(last_result, ST_NO_SERVER);
	start_call(0);
	ck_assert_uint_eq(refusals, last_call - before);
	ck_assert_uint_eq(cancels, 0);
	ck_assert_uint_eq(runs->len, before);
	ck_assert_uint_eq(sends->len, before);
}
END_TEST

/* Guards against slow start after an evacuation, and against what it blocks. */
START_TEST(server_is_used_at_once_after_an_evacuation)
{
	warmup_milli = 0;
	start_hosts(1);
	evacuate(0, true);
	evacuate(0, false);
	ck_assert_uint_eq(
		core_slow_start_share_q8(&cores[0], core_server(&cores[0], 0)),
		CORE_Q8);
}
END_TEST

/* Guards against retries at servers that get nothing any more. */
START_TEST(retries_avoid_evacuated_servers)
{
	start_hosts(1);
	start_call(0);
	ck_assert_uint_eq(sends->len, 1);
	for (uint32_t zone = 0; zone < ZONES; zone++)
		evacuated[zone] = zone != 3;
	apply_conf(0, 0);
	for (int i = 0; i < 2 && runs->len; i++)
		end_run(&g_array_index(runs, struct run, 0), CORE_END_REFUSED);
	ck_assert_uint_ge(sends->len, 2);
	for (guint i = 1; i < sends->len; i++)
		ck_assert_uint_eq(
			g_array_index(sends, struct sent, i).server % ZONES, 3);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("evacuation");

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_loop_test(tests, zone_comes_back_cold, 0,
			    G_N_ELEMENTS(returns));
	tcase_add_loop_test(tests, server_turns_cold_under_load, 0, 2);
	tcase_add_test(tests, reports_on_answers_do_not_replace_probes);
	tcase_add_loop_test(tests, servers_join_while_lists_differ, 0,
			    G_N_ELEMENTS(lists));
	tcase_add_test(tests, hosts_start_among_cold_servers);
	tcase_add_test(tests, lower_limit_counts);
	tcase_add_test(tests, warmup_without_rate_is_no_limit);
	tcase_add_loop_test(
		tests, waiting_calls_are_refused_when_all_zones_are_evacuated,
		0, G_N_ELEMENTS(policies));
	tcase_add_test(tests, server_is_used_at_once_after_an_evacuation);
	tcase_add_test(tests, retries_avoid_evacuated_servers);
	return suite_run_case("evacuation", tests, CK_FORK_GETENV);
}
