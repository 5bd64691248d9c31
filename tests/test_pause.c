/*
 * Tests of pauses: a server that is overloaded refuses a request and names a time
 * for which it wants nothing more. Guards against hosts that go on sending calls,
 * hedges or probes there, that send everything at once when the time is over, and
 * that keep callers waiting, or send them back too early, while all servers pause.
 */
#include <string.h>

#include "gateway/dialect.h"
#include "tests/core_fixture.h"
#include "tests/suite.h"

enum {
	S = 1000 * MS,
	SERVERS = 4,
	SLOTS = 6,
	TARGET_MS = 400,
	TIMEOUT_MS = 2000,
	PAUSE_MS = 3000
};

static enum core_policy policy;

static const enum core_policy policies[] = { CORE_POLICY_ASK,
					     CORE_POLICY_SHARES,
					     CORE_POLICY_PROBES,
					     CORE_POLICY_ROUND_ROBIN };

static void apply_conf(void)
{
	struct core_service_conf service = {
		.policy = policy,
		.queue_limit = 100,
		.retry_percent = 100,
		.retry_slack = 1000,
		.probe_requests_per_s = 100000,
		.probe_bytes_per_s = 1 << 28,
		.probe_cross_zone_bytes_per_s = 1 << 28,
	};

	apply_service(service, SERVERS, SLOTS);
}

static void start_core(enum core_policy with)
{
	policy = with;
	init_core(S, random_u32);
	apply_conf();
	now_us += S;
}

static uint64_t start_call(void)
{
	struct core_event event = { .kind = CORE_EV_CALL };

	event.u.call.call = ++last_call;
	event.u.call.caller = CORE_NO_CALLER;
	event.u.call.deadline_us = now_us + TIMEOUT_MS * MS;
	event.u.call.target_us = now_us + TARGET_MS * MS;
	event.u.call.idempotent = true;
	handle_event(event);
	return last_call;
}

static void pause_server(uint32_t server, uint64_t ms)
{
	struct core_event event = { .kind = CORE_EV_PAUSE };

	event.u.pause.server = server;
	event.u.pause.duration_us = ms * MS;
	handle_event(event);
}

static void post_report(uint32_t server)
{
	struct core_event event = { .kind = CORE_EV_REPORT };

	event.u.report.server = server;
	event.u.report.source = CORE_FROM_PROBE;
	event.u.report.ok = true;
	event.u.report.slots = SLOTS;
	event.u.report.pace_percent = 100;
	handle_event(event);
}

/* Answers every probe that was sent since the action at FROM. */
static void answer_probes(guint from)
{
	for (guint i = from; i < actions->len; i++) {
		struct core_action action = *action_at(i);

		if (action.kind == CORE_ACT_PROBE)
			post_report(action.server);
	}
}

/* Number of calls and probes that went to SERVER since the action at FROM. */
static uint32_t count_to(uint32_t server, guint from)
{
	uint32_t n = 0;

	for (guint i = from; i < actions->len; i++) {
		const struct core_action *action = action_at(i);

		n += action->server == server &&
		     (action->kind == CORE_ACT_SEND ||
		      action->kind == CORE_ACT_PROBE);
	}
	return n;
}

/* Starts COUNT calls, one a millisecond, and answers those that were sent. */
static void run_calls(uint32_t count)
{
	for (uint32_t n = 0; n < count; n++) {
		guint from = actions->len;

		start_call();
		answer_probes(from);
		for (guint i = from; i < actions->len; i++) {
			struct core_action action = *action_at(i);

			if (action.kind == CORE_ACT_SEND)
				end_call_attempt(action, false, CORE_END_DONE);
		}
		now_us += MS;
	}
}

START_TEST(nothing_goes_to_a_pausing_server)
{
	start_core(policies[_i]);
	run_calls(20);
	pause_server(1, PAUSE_MS);
	for (uint32_t ms = 0; ms < PAUSE_MS; ms += 100) {
		guint from = actions->len;

		run_calls(50);
		expire_timer(0);
		now_us += 50 * MS;
		ck_assert_uint_eq(count_to(1, from), 0);
		ck_assert_uint_gt(count_to(0, from) + count_to(2, from), 10);
	}
	now_us += MS;
	run_calls(200);
	ck_assert_uint_gt(count_to(1, 0), 0);
	stop_core();
}
END_TEST

/* A refusal of a request that was on its way may name less than is left. */
START_TEST(later_answers_do_not_shorten_a_pause)
{
	guint from;

	start_core(policies[_i]);
	pause_server(2, PAUSE_MS);
	pause_server(2, PAUSE_MS / 10);
	pause_server(2, 0);
	post_report(2);
	from = actions->len;
	now_us += PAUSE_MS / 2 * MS;
	run_calls(200);
	ck_assert_uint_eq(count_to(2, from), 0);
	stop_core();
}
END_TEST

/* A hedge goes elsewhere too, or is not sent. */
START_TEST(hedges_and_retries_avoid_a_pausing_server)
{
	start_core(CORE_POLICY_ASK);
	for (uint32_t n = 0; n < 50; n++) {
		guint from = actions->len;
		uint64_t call = start_call();
		uint32_t first = UINT32_MAX;

		answer_probes(from);
		for (guint i = from; i < actions->len; i++)
			if (action_at(i)->kind == CORE_ACT_SEND)
				first = action_at(i)->server;
		ck_assert_uint_ne(first, UINT32_MAX);
		pause_server((first + 1) % SERVERS, 1000);
		from = actions->len;
		for (uint32_t ms = 0; ms < 900; ms += 10) {
			now_us += 10 * MS;
			expire_timer(call);
			answer_probes(from);
		}
		ck_assert_uint_eq(count_to((first + 1) % SERVERS, from), 0);
		now_us += 2 * S;
		expire_timer(call);
	}
	stop_core();
}
END_TEST

START_TEST(call_is_refused_at_once_while_all_pause)
{
	const struct core_action *finish;
	uint64_t call;

	start_core(policies[_i]);
	for (uint32_t i = 0; i < SERVERS; i++)
		pause_server(i, PAUSE_MS + i * 100);
	call = start_call();
	finish = find_action(CORE_ACT_FINISH, call);
	ck_assert_ptr_nonnull(finish);
	ck_assert_int_eq(finish->result, ST_PAUSED);
	ck_assert_uint_eq(finish->at_us, now_us + PAUSE_MS * MS);
	stop_core();
}
END_TEST

/* The calls of many callers wait for the server that is back first. */
START_TEST(server_is_loaded_slowly_after_its_pause)
{
	guint from;
	uint32_t sent = 0;

	start_core(policies[_i]);
	run_calls(100);
	for (uint32_t i = 0; i < SERVERS; i++)
		pause_server(i, i ? 100 * 1000 : PAUSE_MS);
	now_us += PAUSE_MS * MS;
	from = actions->len;
	for (uint32_t n = 0; n < 50; n++) {
		guint begin = actions->len;

		start_call();
		answer_probes(begin);
	}
	for (guint i = from; i < actions->len; i++)
		sent += action_at(i)->kind == CORE_ACT_SEND;
	ck_assert_uint_eq(sent, 1);
	stop_core();
}
END_TEST

struct pause_header {
	const char *retry_after;
	const char *date;
	int status;
	bool pause;
	uint64_t ms;
};

static const struct pause_header pause_headers[] = {
	{ "3", NULL, 503, true, 3000 },
	{ "0.25", NULL, 503, true, 250 },
	{ "3", NULL, 429, false, 0 },
	{ "3", NULL, 200, false, 0 },
	{ NULL, NULL, 503, false, 0 },
	{ "-3", NULL, 503, true, 0 },
	{ "1e300", NULL, 503, true, 300000 },
	{ "inf", NULL, 503, true, 300000 },
	{ "nan", NULL, 503, true, 0 },
	{ "99999999999999999999", NULL, 503, true, 300000 },
	{ "", NULL, 503, true, 0 },
	{ "soon", NULL, 503, true, 0 },
	{ "3 s", NULL, 503, true, 0 },
	{ "Sun, 06 Nov 1994 08:49:37 GMT", NULL, 503, true, 0 },
	{ "Sun, 06 Nov 1994 08:49:37 GMT", "Sun, 06 Nov 1994 08:49:30 GMT", 503,
	  true, 7000 },
	{ "Sun, 06 Nov 1994 08:49:37 GMT", "Mon, 07 Nov 1994 08:49:30 GMT", 503,
	  true, 0 },
	{ "Sun, 06 Nov 2094 08:49:37 GMT", "Sun, 06 Nov 1994 08:49:30 GMT", 503,
	  true, 300000 },
};

START_TEST(retry_after_is_read_and_bounded)
{
	const struct pause_header *row = &pause_headers[_i];
	struct hc_header headers[2] = { 0 };
	struct hc_head head = { .status = row->status, .headers = headers };
	struct core_event event;
	const char *const names[] = { "Retry-After", "Date" };
	const char *const values[] = { row->retry_after, row->date };

	for (uint32_t i = 0; i < 2; i++) {
		struct hc_header *h = &headers[head.header_count];

		if (!values[i])
			continue;
		*h = (struct hc_header){ names[i], values[i], strlen(names[i]),
					 strlen(values[i]) };
		head.header_count++;
	}
	ck_assert_int_eq(dl_parse_pause(&head, &event), row->pause);
	if (row->pause)
		ck_assert_uint_eq(event.u.pause.duration_us, row->ms * MS);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pause");
	int policy_count = G_N_ELEMENTS(policies);

	tcase_add_loop_test(tc, nothing_goes_to_a_pausing_server, 0,
			    policy_count);
	tcase_add_loop_test(tc, later_answers_do_not_shorten_a_pause, 0,
			    policy_count);
	tcase_add_test(tc, hedges_and_retries_avoid_a_pausing_server);
	tcase_add_loop_test(tc, call_is_refused_at_once_while_all_pause, 0,
			    policy_count);
	/* The policies without a limit for each server are for comparison. */
	tcase_add_loop_test(tc, server_is_loaded_slowly_after_its_pause, 0,
			    policy_count - 1);
	tcase_add_loop_test(tc, retry_after_is_read_and_bounded, 0,
			    G_N_ELEMENTS(pause_headers));
	return suite_run_case("pause", tc, CK_FORK_GETENV);
}
