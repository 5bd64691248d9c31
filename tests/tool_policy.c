/*
 * Compares the load-balancing policies by a discrete-event simulation: 16
 * decision cores in 3 zones send calls to simulated servers. A failed call
 * counts with a latency of its whole deadline.
 *
 * usage: tool_policy [SEED [POLICY]]
 * Prints one table row for each case and policy: slots per server, "calm" or
 * "faults", load in percent, policy; p50, p99 and p99.9 latency in ms, share of
 * calls answered in time, percentage of attempts to another zone; probes, their
 * bytes, and their bytes to other zones, per second.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/state.h"

enum { HOSTS = 16, ZONES = 3, SERVERS = 30, ORDER_PERCENT = 20 };
enum {
	MEAN_WORK_US = 5000, /* mean time of a call in its slot */
	CROSS_ZONE_US = 4000, /* one way */
	SAME_ZONE_US = 100, /* one way */
	PROBE_US = 6000 /* until a server answers a probe */
};
/* Calls before WARMUP_US are not measured. */
enum { FAULTS_BEGIN_US = 500000, WARMUP_US = 1000000, END_US = 4000000 };
enum {
	DEADLINE_US = 1000000,
	PROBE_BYTES = 233, /* request and answer */
	STRAGGLER_FACTOR = 10, /* slowdown of a straggler */
	BUCKET_US = 100 /* width of a bucket of LATENCIES */
};

/* Simulated event; FIRE uses HOST, CALL and ATTEMPT as it needs. */
struct event {
	uint64_t at_us;
	uint64_t seq; /* order of events at the same time */
	void (*fire)(const struct event *event);
	uint32_t host;
	uint64_t call;
	struct attempt *attempt;
};

/* An attempt of a call, or a probe when CALL is 0. */
struct attempt {
	uint32_t host;
	uint32_t server;
	uint64_t call;
	uint32_t index;
	bool running; /* in a slot of the server */
	bool cancelled;
	bool failed;
	/* Load of the server when it answered, for the report. */
	uint32_t in_flight;
	uint32_t queued;
	bool report; /* the core requested a report on the answer */
};

struct call {
	uint64_t due_us; /* when it arrived */
	uint64_t timer_us; /* when its timer is due */
	struct attempt *attempts[CORE_MAX_ATTEMPTS];
};

struct server {
	GQueue queue; /* of struct attempt, waiting for a slot */
	uint32_t running;
	bool straggler;
	bool fail_fast;
	bool draining;
};

/* PROBES and SENDS are directly followed by their count to another zone. */
enum count { IN_TIME, MEASURED, PROBES, CROSS_PROBES, SENDS, CROSS_SENDS };

static struct core cores[HOSTS];
static struct server servers[SERVERS];
static GSequence *events;
static GArray *calls; /* struct call by id */
static uint32_t latencies[DEADLINE_US / BUCKET_US + 1];
static GPtrArray *attempts;
static GRand *rng;
static uint64_t now_us, next_seq;
static uint32_t slots; /* per server */
static double mean_gap_us; /* time between the calls of one host */
static bool answer_failed; /* the answer being handled is an error */
static uint64_t counts[CROSS_SENDS + 1];

#define IS_CROSS(host, server) ((host) % ZONES != (server) % ZONES)
#define CALL(id)	       (&g_array_index(calls, struct call, id))

static int compare_events(const void *a, const void *b, void *ctx)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us == y->at_us)
		return x->seq < y->seq ? -1 : x->seq > y->seq;
	return x->at_us < y->at_us ? -1 : 1;
}

static void schedule(void (*fire)(const struct event *), uint32_t host,
		     uint64_t call, struct attempt *attempt, uint64_t at_us)
{
	struct event *event = g_new(struct event, 1);

	*event = (struct event){
		MAX(at_us, now_us), next_seq++, fire, host, call, attempt
	};
	g_sequence_insert_sorted(events, event, compare_events, NULL);
}

/* When a message sent now arrives at the other end. */
static uint64_t arrival_us(const struct attempt *a)
{
	return now_us +
	       (IS_CROSS(a->host, a->server) ? CROSS_ZONE_US : SAME_ZONE_US);
}

static double draw_exponential(double mean)
{
	return -log(g_rand_double_range(rng, 1e-9, 1)) * mean;
}

static void handle_event(uint32_t host, struct core_event *event)
{
	event->now_us = now_us;
	core_handle_event(&cores[host], event);
}

static void post_attempt_event(const struct attempt *a,
			       enum core_event_kind kind)
{
	enum core_end end = a->failed ? CORE_END_DONE_ERROR : CORE_END_DONE;
	struct core_event event = { .kind = kind,
				    .u.ended = { a->call, a->index, end } };

	handle_event(a->host, &event);
}

/* Posts the load, and if the server is draining, that it is leaving. */
static void post_report(const struct attempt *a)
{
	enum core_report_source source =
		a->call ? CORE_FROM_ANSWER : CORE_FROM_PROBE;
	struct core_event report = { .kind = CORE_EV_REPORT,
				     .u.report = { a->server, source, true,
						   a->in_flight, a->queued, 0,
						   PROBE_US, PROBE_BYTES } };
	struct core_event leaving = {
		.kind = CORE_EV_SERVER,
		.u.server = { a->server, CORE_LEAVING_IN_ANSWER, true }
	};

	if (a->report || !a->call)
		handle_event(a->host, &report);
	if (servers[a->server].draining)
		handle_event(a->host, &leaving);
}

/* The answer arrived at the host. */
static void on_answered(const struct event *e)
{
	if (!e->attempt->cancelled)
		post_report(e->attempt);
	if (e->attempt->cancelled || !e->attempt->call)
		return;
	post_attempt_event(e->attempt, CORE_EV_ANSWER);
	answer_failed = e->attempt->failed;
	post_attempt_event(e->attempt, CORE_EV_ENDED);
	answer_failed = false;
}

static void send_answer(struct attempt *a, uint64_t after_us)
{
	a->running = false;
	a->in_flight = servers[a->server].running;
	a->queued = servers[a->server].queue.length;
	schedule(on_answered, a->host, 0, a, arrival_us(a) + after_us);
}

static void on_served(const struct event *e);

/* Starts queued attempts while slots are free. */
static void serve_queue(struct server *server)
{
	while (server->running < slots && server->queue.length) {
		struct attempt *a = g_queue_pop_head(&server->queue);
		double us = draw_exponential(MEAN_WORK_US);

		a->running = true;
		server->running++;
		us *= server->straggler ? STRAGGLER_FACTOR : 1;
		schedule(on_served, 0, 0, a, now_us + (uint64_t)us);
	}
}

/* An attempt has finished, unless it was cancelled before. */
static void on_served(const struct event *e)
{
	if (!e->attempt->running)
		return;
	servers[e->attempt->server].running--;
	send_answer(e->attempt, 0);
	serve_queue(&servers[e->attempt->server]);
}

/* The cancellation arrived at the server. */
static void on_cancelled(const struct event *e)
{
	struct server *server = &servers[e->attempt->server];

	g_queue_remove(&server->queue, e->attempt);
	server->running -= e->attempt->running;
	e->attempt->running = false;
	serve_queue(server);
}

/* A request or probe arrived at the server. */
static void on_request(const struct event *e)
{
	struct attempt *a = e->attempt;
	struct server *server = &servers[a->server];

	if (a->cancelled)
		return;
	if (a->call)
		post_attempt_event(a, CORE_EV_SENT);
	a->failed = a->call && server->fail_fast;
	if (!a->call || a->failed)
		send_answer(a, a->call ? 0 : PROBE_US);
	else
		g_queue_push_tail(&server->queue, a);
	serve_queue(server);
}

static void on_send(uint32_t host, const struct core_action *action)
{
	struct attempt *a = g_new0(struct attempt, 1);
	enum count count = action->call ? SENDS : PROBES;

	a->host = host;
	a->server = action->server;
	a->call = action->call;
	a->index = action->attempt;
	a->report = action->report;
	g_ptr_array_add(attempts, a);
	CALL(a->call)->attempts[a->index] = a;
	counts[count]++;
	counts[count + 1] += IS_CROSS(host, a->server);
	schedule(on_request, host, 0, a, arrival_us(a));
}

static void on_finish(const struct call *call, bool failed)
{
	uint64_t us = failed ? DEADLINE_US : now_us - call->due_us;

	if (call->due_us < WARMUP_US)
		return;
	counts[MEASURED]++;
	counts[IN_TIME] += us < DEADLINE_US;
	latencies[MIN(us, DEADLINE_US) / BUCKET_US]++;
}

/* A call has one timer: an event for an earlier setting is ignored. */
static void on_timer(const struct event *e)
{
	struct core_event event = { .kind = CORE_EV_TIMER,
				    .u.call_ref.call = e->call };

	if (!e->call || CALL(e->call)->timer_us == e->at_us)
		handle_event(e->host, &event);
}

static void on_action(void *ctx, const struct core_action *action)
{
	uint32_t host = GPOINTER_TO_UINT(ctx);
	struct call *call = CALL(action->call);
	struct attempt *a = call->attempts[action->attempt];

	if (action->kind == CORE_ACT_TIMER) {
		call->timer_us = MAX(action->at_us, now_us);
		schedule(on_timer, host, action->call, NULL, call->timer_us);
	} else if (action->kind == CORE_ACT_FINISH) {
		on_finish(call, answer_failed || action->result != ST_OK);
	} else if (action->kind == CORE_ACT_CANCEL) {
		a->cancelled = true;
		schedule(on_cancelled, host, 0, a, arrival_us(a));
	} else {
		on_send(host, action);
	}
}

static uint32_t random_u32(void *ctx)
{
	return g_rand_int(rng);
}

/* A call arrived at a host; schedules the next one. */
static void on_call(const struct event *e)
{
	bool idempotent = g_rand_int_range(rng, 0, 100) >= ORDER_PERCENT;
	struct call call = { .due_us = now_us };
	struct core_event event = { .kind = CORE_EV_CALL,
				    .u.call = { calls->len, 0, CORE_NO_CALLER,
						now_us + DEADLINE_US,
						idempotent } };

	schedule(on_call, e->host, 0, NULL,
		 now_us + 1 + (uint64_t)draw_exponential(mean_gap_us));
	g_array_append_val(calls, call);
	handle_event(e->host, &event);
}

static void set_up(uint32_t seed, enum core_policy policy,
		   uint32_t load_percent)
{
	struct core_server_conf server_confs[SERVERS] = { 0 };
	struct core_host_conf host_confs[HOSTS] = { 0 };
	struct core_service_conf service = {
		.policy = policy,
		.queue_limit = 1000,
		.retry_percent = 10,
		.probe_requests_per_s = 200,
		.probe_bytes_per_s = 400000,
		.probe_cross_zone_bytes_per_s = 100000,
		.servers = server_confs,
		.server_count = SERVERS,
	};
	struct core_conf conf = {
		.latency_weight_percent = 100,
		.services = &service,
		.service_count = 1,
		.hosts = host_confs,
		.host_count = HOSTS,
	};
	struct core_event event = { .kind = CORE_EV_CONF, .u.conf = &conf };

	now_us = 1;
	events = g_sequence_new(g_free);
	memset(counts, 0, sizeof(counts));
	memset(latencies, 0, sizeof(latencies));
	memset(servers, 0, sizeof(servers));
	g_rand_set_seed(rng, seed);
	g_array_set_size(calls, 0);
	g_array_set_size(calls, 1); /* id 0: probes and the core's timer */
	mean_gap_us = (double)MEAN_WORK_US * HOSTS * 100 / (SERVERS * slots) /
		      load_percent;
	for (uint32_t i = 0; i < HOSTS; i++) {
		struct core_driver driver = { on_action, random_u32,
					      GUINT_TO_POINTER(i), NULL };

		core_init(&cores[i], &driver);
		schedule(on_call, i, 0, NULL,
			 (uint64_t)draw_exponential(mean_gap_us));
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		server_confs[i] =
			(struct core_server_conf){ .id = i,
						   .zone = i % ZONES,
						   .slots = slots,
						   .max_connections = 260,
						   .hash = g_rand_int(rng) };
	for (uint32_t i = 0; i < HOSTS; i++)
		host_confs[i] = (struct core_host_conf){ g_rand_int(rng),
							 i % ZONES, false };
	for (uint32_t i = 0; i < HOSTS; i++) {
		conf.host_hash = host_confs[i].hash;
		conf.zone = host_confs[i].zone;
		handle_event(i, &event);
	}
}

static double ratio(enum count a, enum count b)
{
	return (double)counts[a] / (double)counts[b];
}

static double percentile_ms(double p)
{
	uint32_t i = 0;

	for (double left = p * (double)counts[MEASURED]; left > 0; i++)
		left -= latencies[i];
	return (double)i * BUCKET_US / 1000;
}

/* Two servers become stragglers, one fails fast, one drains. */
static void on_faults(const struct event *e)
{
	servers[0].straggler = servers[4].straggler = true;
	servers[8].fail_fast = true;
	servers[12].draining = true;
}

static void run_case(uint32_t seed, enum core_policy policy, bool faults,
		     uint32_t load_percent)
{
	double seconds = END_US / 1e6;

	set_up(seed, policy, load_percent);
	if (faults)
		schedule(on_faults, 0, 0, NULL, FAULTS_BEGIN_US);
	while (now_us < END_US) {
		GSequenceIter *first = g_sequence_get_begin_iter(events);
		struct event e = *(struct event *)g_sequence_get(first);

		g_sequence_remove(first);
		now_us = e.at_us;
		e.fire(&e);
	}
	printf("| %u | %s | %u | %s | %.1f | %.1f | %.1f | %.4f | %.1f | %.0f "
	       "| %.0f | %.0f |\n",
	       slots, faults ? "faults" : "calm", load_percent,
	       core_policy_name(policy), percentile_ms(0.5),
	       percentile_ms(0.99), percentile_ms(0.999),
	       ratio(IN_TIME, MEASURED), 100 * ratio(CROSS_SENDS, SENDS),
	       (double)counts[PROBES] / seconds,
	       (double)counts[PROBES] * PROBE_BYTES / seconds,
	       (double)counts[CROSS_PROBES] * PROBE_BYTES / seconds);
	for (uint32_t i = 0; i < HOSTS; i++)
		core_free(&cores[i]);
	for (uint32_t i = 0; i < SERVERS; i++)
		g_queue_clear(&servers[i].queue);
	g_sequence_free(events);
	g_ptr_array_set_size(attempts, 0);
}

int main(int argc, char **argv)
{
	static const uint32_t loads[] = { 50, 75, 90 };
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;

	rng = g_rand_new();
	calls = g_array_new(FALSE, TRUE, sizeof(struct call));
	attempts = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < 12; i++) {
		slots = i < 6 ? 6 : 3;
		for (int p = 0; p < CORE_POLICY_COUNT; p++)
			if (argc < 3 || !strcmp(argv[2], core_policy_name(p)))
				run_case(seed, p, i / 3 % 2, loads[i % 3]);
	}
	return 0;
}
