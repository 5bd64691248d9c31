/*
 * Tests of overload (core/share.c): many hosts, each with a core of its own, in
 * front of servers that are a table of counters.
 */
#include <stdio.h>
#include <string.h>

#include "core/state.h"
#include "tests/suite.h"

enum {
	MS = 1000,
	ZONES = 4,
	HOSTS = 24,
	SERVERS = 24,
	SLOTS = 3,
	WARM_US = 8 * 1000 * MS,
	BOOST_US = 7 * 1000 * MS,
	CRASH_US = 10 * 1000 * MS,
	END_US = 15 * 1000 * MS,
	KINDS = 2,
	CUSTOMERS = 16
};

struct kind {
	uint32_t caller;
	uint32_t work_us;
	uint32_t target_us;
	uint32_t per_s; /* of all hosts */
	bool idempotent;
	/* Since WARM_US. */
	uint32_t offered;
	uint32_t in_time;
	uint32_t refused;
	uint32_t customer_offered[CUSTOMERS];
	uint32_t customer_in_time[CUSTOMERS];
};

struct server {
	uint32_t running;
	GQueue waiting; /* struct step */
};

/* A future event of a host's core, or the end of work at a server. */
struct step {
	uint64_t at_us;
	uint64_t order;
	bool arrival;
	bool starts; /* an attempt arrives at the server */
	bool ends; /* the server is done with it */
	uint32_t host;
	uint32_t server;
	uint32_t kind;
	struct core_event event;
};

struct call {
	uint32_t kind;
	uint32_t customer;
	uint64_t begin_us;
};

static struct core cores[HOSTS];
static struct server servers[SERVERS];
static struct kind kinds[KINDS];
static GSequence *steps;
static GHashTable *calls; /* struct call by id */
static uint64_t now_us;
static uint64_t order;
static uint64_t last_call;
static uint32_t seed;
static bool off; /* decisions without core/share.c */
static uint64_t decisions; /* digest of all sent and finished calls */
static uint64_t retries_after[2]; /* earliest and latest, of refused calls */
/* The load under test. */
static uint32_t (*host_of_call)(uint32_t customer);
static uint32_t (*slowness)(uint32_t server); /* factor */
static enum core_policy policy;
static bool resets_when_full;
static bool crashed_answers_probes;
static uint32_t attempts_at_crashed; /* from half a second on */
static uint32_t ejections_of_crashed;
static uint32_t ejections_of_others;
static uint32_t boost; /* rate of customer 0, as a multiple of the usual */

static uint32_t draw(void *ctx)
{
	seed = seed * 1664525 + 1013904223;
	return seed ^ seed >> 15;
}

static uint32_t draw_below(uint32_t bound)
{
	return (uint32_t)((uint64_t)draw(NULL) * bound >> 32);
}

static int compare_steps(const void *a, const void *b, void *ctx)
{
	const struct step *x = a;
	const struct step *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void add_step(struct step step, uint64_t at_us)
{
	step.at_us = at_us;
	step.order = ++order;
	g_sequence_insert_sorted(steps, g_memdup2(&step, sizeof(step)),
				 compare_steps, NULL);
}

static uint32_t any_host(uint32_t customer)
{
	return draw_below(HOSTS);
}

/* Each customer has three callers, each at one host. */
static uint32_t host_by_hash(uint32_t customer)
{
	return (customer * 7 + draw_below(3) * 5) % HOSTS;
}

/* Server 0 crashes at CRASH_US if servers reset connections. */
static bool has_crashed(uint32_t server)
{
	return resets_when_full && !server && now_us >= CRASH_US;
}

static uint32_t always_one(uint32_t unused)
{
	return 1;
}

static uint64_t way_us(uint32_t host, uint32_t server)
{
	return (host % ZONES == server % ZONES ? 1 : 4) * MS;
}

static void on_health(void *ctx, const struct core_health_change *change)
{
	if (change->ejected && has_crashed(change->server))
		ejections_of_crashed++;
	else if (change->ejected)
		ejections_of_others++;
}

static void on_finish(const struct core_action *action)
{
	struct call *call = g_hash_table_lookup(calls, &action->call);
	struct kind *kind = &kinds[call->kind];
	uint64_t took_us = now_us - call->begin_us;
	uint64_t after_us = action->at_us - MIN(now_us, action->at_us);
	bool in_time = action->result == ST_OK && took_us <= kind->target_us;

	if (call->begin_us >= WARM_US) {
		kind->offered++;
		kind->in_time += in_time;
		kind->refused += action->result == ST_QUEUE_FULL;
		kind->customer_offered[call->customer]++;
		kind->customer_in_time[call->customer] += in_time;
	}
	if (action->result == ST_QUEUE_FULL) {
		if (action->at_us)
			retries_after[0] = MIN(retries_after[0], after_us);
		retries_after[1] = MAX(retries_after[1], after_us);
	}
	g_hash_table_remove(calls, &action->call);
}

static void on_action(void *ctx, const struct core_action *action)
{
	struct step step = { .host = GPOINTER_TO_UINT(ctx),
			     .server = action->server };
	const struct call *call = g_hash_table_lookup(calls, &action->call);
	uint64_t way = way_us(step.host, step.server);

	step.event.u.ended.call = action->call;
	step.event.u.ended.attempt = action->attempt;
	step.event.u.ended.end = CORE_END_DONE;
	switch (action->kind) {
	case CORE_ACT_SEND:
	case CORE_ACT_FINISH:
		decisions = (decisions ^ action->call * 31 ^
			     (uint64_t)action->result << 40 ^
			     (uint64_t)action->server << 20 ^ action->at_us) *
			    1099511628211u;
		if (action->kind == CORE_ACT_FINISH) {
			on_finish(action);
			return;
		}
		step.kind = call->kind;
		step.event.kind = CORE_EV_SENT;
		add_step(step, now_us);
		step.starts = true;
		add_step(step, now_us + way);
		return;
	case CORE_ACT_PROBE:
		step.event.kind = CORE_EV_REPORT;
		step.event.u.report.source = CORE_FROM_PROBE;
		add_step(step, now_us + 2 * way);
		return;
	case CORE_ACT_TIMER:
		step.event.kind = CORE_EV_TIMER;
		step.event.u.call_ref.call = action->call;
		add_step(step, MAX(action->at_us, now_us + 1));
		return;
	default:
		return; /* a cancelled attempt runs to its end */
	}
}

static void on_ignored(void *ctx, const struct core_action *action)
{
}

static void fill_report(struct step *step, enum core_report_source source)
{
	const struct server *server = &servers[step->server];

	memset(&step->event, 0, sizeof(step->event));
	step->event.kind = CORE_EV_REPORT;
	step->event.u.report.server = step->server;
	step->event.u.report.source = source;
	step->event.u.report.ok = source == CORE_FROM_ANSWER ||
				  crashed_answers_probes ||
				  !has_crashed(step->server);
	step->event.u.report.in_flight = server->running;
	step->event.u.report.queued = server->waiting.length;
	step->event.u.report.slots = SLOTS;
	step->event.u.report.pace_percent = 100 * slowness(step->server);
}

static void run_at_server(struct step step)
{
	struct server *server = &servers[step.server];
	uint64_t work_us = kinds[step.kind].work_us;

	server->running++;
	if (server->running * 5 > SLOTS * 4)
		work_us = work_us * 17 / 10;
	work_us = work_us * (90 + draw_below(20)) / 100;
	step.starts = false;
	step.ends = true;
	add_step(step, now_us + work_us * slowness(step.server));
}

static void handle_event(uint32_t host, struct core_event event)
{
	struct core_service *service = cores[host].services->len ?
					       core_service(&cores[host], 0) :
					       NULL;

	event.now_us = now_us;
	if (off && service) {
		memset(&service->share, 0, sizeof(service->share));
		service->share.updated_us = now_us;
	}
	core_handle_event(&cores[host], &event);
}

static uint32_t boost_now(void)
{
	return now_us >= BOOST_US ? boost : 1;
}

static void start_call(struct step step)
{
	const struct kind *kind = &kinds[step.kind];
	uint32_t any = draw_below(CUSTOMERS - 1 + boost_now());
	struct call call = { .kind = step.kind,
			     .customer = any < CUSTOMERS - 1 ? any + 1 : 0,
			     .begin_us = now_us };

	uint64_t id = ++last_call;

	step.host = host_of_call(call.customer);
	step.event.kind = CORE_EV_CALL;
	step.event.u.call.call = id;
	step.event.u.call.caller = kind->caller;
	step.event.u.call.customer = call.customer + 1;
	step.event.u.call.work_class = step.kind + 1;
	step.event.u.call.deadline_us = now_us + 2 * kind->target_us;
	step.event.u.call.target_us = now_us + kind->target_us;
	step.event.u.call.max_attempts = kind->idempotent ? 2 : 1;
	step.event.u.call.idempotent = kind->idempotent;
	g_hash_table_insert(calls, g_memdup2(&id, sizeof(id)),
			    g_memdup2(&call, sizeof(call)));
	handle_event(step.host, step.event);
}

static void on_arrival(struct step step)
{
	uint32_t gap_us = 1000 * MS / kinds[step.kind].per_s * CUSTOMERS /
			  (CUSTOMERS - 1 + boost_now());

	add_step(step, now_us + draw_below(2 * gap_us));
	start_call(step);
}

static void on_work_done(struct step step)
{
	struct server *server = &servers[step.server];
	struct step *next = g_queue_pop_head(&server->waiting);
	struct step report = step;

	report.ends = false;
	fill_report(&report, CORE_FROM_ANSWER);
	server->running--;
	if (next)
		run_at_server(*next);
	g_free(next);
	add_step(report, now_us + way_us(step.host, step.server));
	step.ends = false;
	step.event.kind = CORE_EV_ANSWER;
	add_step(step, now_us + way_us(step.host, step.server));
	step.event.kind = CORE_EV_ENDED;
	add_step(step, now_us + way_us(step.host, step.server));
}

static void reset_attempt(struct step step)
{
	if (has_crashed(step.server) && now_us > CRASH_US + 500 * MS)
		attempts_at_crashed++;
	step.starts = false;
	step.event.kind = CORE_EV_ENDED;
	step.event.u.ended.end = CORE_END_NO_ANSWER;
	add_step(step, now_us + way_us(step.host, step.server));
}

static void take_step(struct step step)
{
	struct server *server = &servers[step.server];

	now_us = step.at_us;
	if (step.arrival)
		on_arrival(step);
	else if (step.starts &&
		 (has_crashed(step.server) ||
		  (resets_when_full && server->running >= SLOTS)))
		reset_attempt(step);
	else if (step.starts && server->running < SLOTS)
		run_at_server(step);
	else if (step.starts)
		g_queue_push_tail(&server->waiting,
				  g_memdup2(&step, sizeof(step)));
	else if (step.ends)
		on_work_done(step);
	else {
		if (step.event.kind == CORE_EV_REPORT &&
		    step.event.u.report.source == CORE_FROM_PROBE)
			fill_report(&step, CORE_FROM_PROBE);
		handle_event(step.host, step.event);
	}
}

static void apply_conf(uint32_t host, uint32_t customer_count)
{
	struct core_server_conf server_confs[SERVERS] = { 0 };
	struct core_host_conf hosts[HOSTS] = { 0 };
	struct core_caller_conf callers[] = { { 4 }, { 2 }, { 1 } };
	struct core_customer_conf customers[CUSTOMERS];
	struct core_service_conf service = {
		.policy = policy,
		.queue_limit = 100,
		.retry_percent = 10,
		.probe_requests_per_s = 1000 * 1000,
		.probe_bytes_per_s = 1 << 30,
		.probe_cross_zone_bytes_per_s = 1 << 30,
		.servers = server_confs,
		.server_count = SERVERS,
	};
	struct core_conf conf = {
		.host_hash = host + 1,
		.zone = host % ZONES,
		.latency_weight_percent = 100,
		.services = &service,
		.service_count = 1,
		.callers = callers,
		.caller_count = 3,
		.customers = customers,
		.customer_count = customer_count,
		.hosts = hosts,
		.host_count = HOSTS,
	};
	struct core_event event = { .kind = CORE_EV_CONF, .u.conf = &conf };

	for (uint32_t i = 0; i < SERVERS; i++)
		server_confs[i] = (struct core_server_conf){
			.id = i,
			.zone = i % ZONES,
			.slots = SLOTS,
			.max_connections = 100 * HOSTS,
			.hash = i + 1,
		};
	for (uint32_t i = 0; i < HOSTS; i++)
		hosts[i] = (struct core_host_conf){ .hash = i + 1,
						    .zone = i % ZONES };
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		customers[i].weight = 1000;
	handle_event(host, event);
}

/* The kinds of section 1.4: the urgent one, and the report. */
static void set_kinds(uint32_t urgent_percent, uint32_t report_percent)
{
	uint32_t room = SERVERS * (SLOTS - 1);

	kinds[0] = (struct kind){ .caller = 0,
				  .work_us = 94 * MS,
				  .target_us = 300 * MS };
	kinds[1] = (struct kind){ .caller = 2,
				  .work_us = 520 * MS,
				  .target_us = 1500 * MS,
				  .idempotent = true };
	kinds[0].per_s = room * urgent_percent * 10 * MS / kinds[0].work_us;
	kinds[1].per_s = room * report_percent * 10 * MS / kinds[1].work_us;
}

static void setup(void)
{
	off = false;
	host_of_call = any_host;
	slowness = always_one;
	boost = 1;
	policy = CORE_POLICY_ASK;
	resets_when_full = false;
	crashed_answers_probes = false;
	attempts_at_crashed = ejections_of_crashed = ejections_of_others = 0;
	set_kinds(70, 70);
}

static void run_until(uint64_t end_us)
{
	while (now_us < end_us) {
		GSequenceIter *first = g_sequence_get_begin_iter(steps);
		struct step step = *(struct step *)g_sequence_get(first);

		g_sequence_remove(first);
		take_step(step);
	}
}

static void run_load(uint32_t customer_count)
{
	seed = 1;
	now_us = order = last_call = decisions = 0;
	retries_after[0] = UINT64_MAX;
	retries_after[1] = 0;
	steps = g_sequence_new(g_free);
	calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      g_free);
	memset(servers, 0, sizeof(servers));
	now_us = 1;
	for (uint32_t i = 0; i < HOSTS; i++) {
		struct core_driver driver = { on_action, draw,
					      GUINT_TO_POINTER(i), on_health };

		core_init(&cores[i], &driver);
		apply_conf(i, customer_count);
	}
	for (uint32_t i = 0; i < KINDS; i++)
		if (kinds[i].per_s)
			add_step((struct step){ .arrival = true, .kind = i },
				 1000 * MS);
	run_until(END_US);
	for (uint32_t i = 0; i < HOSTS; i++)
		core_free(&cores[i]);
	for (uint32_t i = 0; i < SERVERS; i++)
		g_queue_clear_full(&servers[i].waiting, g_free);
	g_sequence_free(steps);
	g_hash_table_destroy(calls);
}

/* Share of the calls of a kind that were answered within their target. */
static double in_time(uint32_t kind)
{
	return kinds[kind].in_time / (double)MAX(kinds[kind].offered, 1);
}

static double mean_in_time(void)
{
	uint32_t offered = kinds[0].offered + kinds[1].offered;

	return (kinds[0].in_time + kinds[1].in_time) / (double)MAX(offered, 1);
}

/* The same of the customers but the first. */
static double others_in_time(uint32_t kind)
{
	uint32_t offered = 0;
	uint32_t served = 0;

	for (uint32_t i = 1; i < CUSTOMERS; i++) {
		offered += kinds[kind].customer_offered[i];
		served += kinds[kind].customer_in_time[i];
	}
	return served / (double)MAX(offered, 1);
}

static void show(const char *load)
{
	if (getenv("SHARE_FIGURES"))
		printf("%s, %s: urgent %.3f of %u, report %.3f of %u\n", load,
		       off ? "off" : "on", in_time(0), kinds[0].offered,
		       in_time(1), kinds[1].offered);
}

/*
 * Runs a load of two kinds without and with the module; returns the share of the
 * urgent kind in time without it.
 */
static double run_both(const char *load, uint32_t urgent_percent,
		       uint32_t report_percent)
{
	double without;

	off = true;
	set_kinds(urgent_percent, report_percent);
	run_load(0);
	show(load);
	without = in_time(0);
	off = false;
	set_kinds(urgent_percent, report_percent);
	run_load(0);
	show(load);
	return without;
}

/*
 * Guards against the kind with the shortest target giving up first when two
 * kinds ask for 1.4 times the room, against starving the other one, and against
 * retries that all come at one time.
 */
START_TEST(urgent_kind_goes_first)
{
	for (uint32_t urgent = 40; urgent <= 100; urgent += 30) {
		double without = run_both("two kinds", urgent, 140 - urgent);

		ck_assert(in_time(0) > without);
		ck_assert(in_time(1) > mean_in_time() / 4);
		ck_assert_uint_ge(retries_after[0], 20 * MS);
		ck_assert_uint_gt(retries_after[1], retries_after[0] + 30 * MS);
		ck_assert_uint_lt(retries_after[1], 60 * MS);
	}
}
END_TEST

/* Three of four calls come in one zone, another one each second. */
static uint32_t host_in_wave(uint32_t customer)
{
	uint32_t zone = (uint32_t)(now_us / (1000 * MS)) % ZONES;
	uint32_t host = draw_below(HOSTS);

	return draw_below(4) ? host / ZONES * ZONES + zone : host;
}

/* A sixth of the servers is four times slower, for 300 ms each. */
static uint32_t slow_by_turns(uint32_t server)
{
	return server % 6 == now_us / (300 * MS) % 6 ? 4 : 1;
}

/*
 * Guards against serving fewer urgent calls than without the module when few
 * hosts have the calls, or when some servers are slow for a time.
 */
START_TEST(uneven_load)
{
	double without;

	if (_i)
		slowness = slow_by_turns;
	else
		host_of_call = host_in_wave;
	without = run_both(_i ? "slow servers" : "wave", 55, 55);
	ck_assert(in_time(0) >= without);
	ck_assert(in_time(1) > mean_in_time() / 4);
}
END_TEST

/* Runs a load in which customer 0 sends its usual rate times FACTOR. */
static void run_customers(const char *load, uint32_t factor)
{
	boost = factor;
	set_kinds(45, 45);
	run_load(CUSTOMERS);
	show(load);
	if (getenv("SHARE_FIGURES"))
		printf("  other customers: urgent %.3f, report %.3f\n",
		       others_in_time(0), others_in_time(1));
}

/*
 * Guards against a customer at eight times its usual rate that takes from the
 * others, whether its calls come to all hosts or to a few, and against starving
 * it.
 */
START_TEST(greedy_customer)
{
	double without;

	host_of_call = _i ? host_by_hash : any_host;
	off = true;
	run_customers("greedy customer", 8);
	without = others_in_time(0);
	off = false;
	run_customers("greedy customer", 8);
	ck_assert(others_in_time(0) > without);
	ck_assert(others_in_time(1) > 0.6);
	ck_assert(kinds[0].customer_in_time[0] >
		  kinds[0].customer_offered[0] * mean_in_time() / 4);
}
END_TEST

/*
 * Guards against such a customer taking from the urgent calls of the others what
 * they had before it sent more.
 */
START_TEST(greedy_customer_costs_nothing)
{
	double before;

	host_of_call = _i ? host_by_hash : any_host;
	run_customers("customers", 1);
	before = others_in_time(0);
	run_customers("greedy customer", 8);
	ck_assert(others_in_time(0) > before - 0.03);
}
END_TEST

/* Queues a call of the first, then of the second customer; the next one's id. */
static uint64_t next_of_two(uint32_t customer_count)
{
	struct core_driver driver = { on_ignored, draw, NULL, NULL };
	struct core_event event = { .kind = CORE_EV_CALL };
	struct core *core = &cores[0];
	uint64_t next;

	now_us = 1000 * MS;
	core_init(core, &driver);
	apply_conf(0, customer_count);
	for (uint32_t i = 0; i < SERVERS; i++)
		core_server(core, i)->announced_leaving = true;
	event.u.call.caller = CORE_NO_CALLER;
	for (uint32_t i = 1; i <= 2; i++) {
		event.u.call.call = i;
		event.u.call.customer = i;
		event.u.call.deadline_us = now_us + (1000 + i) * MS;
		handle_event(0, event);
	}
	if (customer_count) {
		struct core_flow *first = g_hash_table_lookup(
			core_service(core, 0)->customer_flows,
			GUINT_TO_POINTER(1));

		first->use_us = 100 * MS;
		first->use_at_us = now_us;
	}
	next = core_next_queued(core, core_service(core, 0))->id;
	core_free(core);
	return next;
}

/*
 * Guards against queued calls of a customer that holds most of the service going
 * before those of others, and against another order without customers.
 */
START_TEST(queue_serves_customers_by_share)
{
	policy = CORE_POLICY_LEAST_OF_TWO;
	ck_assert_uint_eq(next_of_two(0), 1);
	ck_assert_uint_eq(next_of_two(CUSTOMERS), 2);
}
END_TEST

/*
 * Guards against any other decision than before where a service gets one class
 * of calls and there are no customers, however overloaded it is.
 */
START_TEST(one_class_is_as_before)
{
	uint64_t before;

	off = true;
	set_kinds(_i ? 140 : 0, _i ? 0 : 140);
	run_load(0);
	before = decisions;
	off = false;
	run_load(0);
	ck_assert_uint_gt(kinds[_i ? 0 : 1].refused, 0);
	ck_assert_uint_eq(decisions, before);
}
END_TEST

/*
 * Guards against ejecting servers that reset connections because they are full,
 * and against keeping one in use that has crashed while it was full.
 */
START_TEST(resets_of_full_servers)
{
	resets_when_full = true;
	off = true;
	run_load(0);
	ck_assert_uint_gt(ejections_of_others, 0);
	off = false;
	ejections_of_others = attempts_at_crashed = 0;
	run_load(0);
	ck_assert_uint_eq(ejections_of_others, 0);
	ck_assert_uint_lt(attempts_at_crashed, HOSTS);
	attempts_at_crashed = 0;
	crashed_answers_probes = true;
	run_load(0);
	ck_assert_uint_eq(ejections_of_others, 0);
	ck_assert_uint_gt(ejections_of_crashed, 0);
	ck_assert_uint_lt(attempts_at_crashed, HOSTS);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("share");

	tcase_add_checked_fixture(tests, setup, NULL);
	tcase_set_timeout(tests, 120);
	tcase_add_test(tests, urgent_kind_goes_first);
	tcase_add_loop_test(tests, uneven_load, 0, 2);
	tcase_add_loop_test(tests, greedy_customer, 0, 2);
	tcase_add_loop_test(tests, greedy_customer_costs_nothing, 0, 2);
	tcase_add_test(tests, queue_serves_customers_by_share);
	tcase_add_loop_test(tests, one_class_is_as_before, 0, 2);
	tcase_add_test(tests, resets_of_full_servers);
	return suite_run_case("share", tests, CK_FORK_GETENV);
}
