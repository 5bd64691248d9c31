/*
 * Open-loop load generator: sends calls at a constant mean rate, with
 * exponentially distributed gaps, whether or not earlier calls were answered.
 * The latency of a call is counted from the time at which it was due. A
 * completed answer that belongs to another call or is too short counts as
 * "wrong" and makes the exit status 1.
 *
 * The result is JSON, or a table with --table. "late_p99_ms" is by how much the
 * tool itself started calls too late. SIGTERM ends the load early; the tool
 * then waits for the calls in flight.
 */
#include <argp.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "http/httpc.h"
#include "base/timer.h"

enum { US_PER_MS = 1000, US_PER_S = 1000000, MAX_TARGETS = 64 };
/*
 * A call that has no answer TIMEOUT_GRACE_US after its timeout is cancelled and
 * counts as broken.
 */
enum { MAX_CONNECTIONS = 4096, TIMEOUT_GRACE_US = 500 * 1000 };
enum {
	MAX_KINDS = 8,
	HEALTH_INTERVAL_US = 50 * 1000,
	HEALTH_TIMEOUT_US = 1000 * 1000
};

/* The first three are values of x-request-outcome. */
enum outcome {
	OUTCOME_COMPLETED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_BROKEN /* no complete answer */
};

static const char *const outcome_names[] = { "completed", "not-run", "unknown",
					     "broken" };

static struct {
	const char *targets;
	const char *path;
	const char *order_path;
	const char *key_prefix;
	const char *log;
	double rate;
	double seconds;
	double order_percent;
	double warmup_s;
	uint32_t timeout_ms;
	uint32_t seed;
	size_t bytes;
	bool health;
	bool table;
} options = {
	.path = "/",
	.order_path = "/",
	.rate = 100,
	.seconds = 1,
	.timeout_ms = 1000,
	.seed = 1,
};

/* One kind of call, with its share of the load and its results. */
struct kind {
	char *path;
	bool order; /* POST, not idempotent */
	double weight;
	size_t bytes; /* requested and smallest size of an answer */
	uint64_t counts[4]; /* by enum outcome */
	/* Calls in LATENCIES that completed within the timeout, with a status
	 * below 500. */
	uint64_t in_time;
	GArray *latencies; /* uint32_t us of calls after the warm-up */
};

struct target {
	struct hc_pool pool;
	struct hc_pool health_pool;
	struct hc_request health;
	struct tm_sub timer;
	/* By the latest health check that was answered or failed; one that
	 * times out is cancelled and changes nothing. */
	bool healthy;
};

struct call {
	struct hc_request request; /* first: callbacks cast it to the call */
	struct kind *kind;
	uint64_t due_us; /* when it was to be sent */
	uint64_t number;
	char echo[48]; /* x-echo, which the answer must repeat */
	enum outcome outcome;
	int status;
	uint64_t content_length; /* of the answer; UINT64_MAX: chunked */
	uint64_t received_bytes;
	GString *prefix; /* first bytes of the answer */
	struct tm_sub timer;
};

static uv_loop_t loop;
static struct tm_service timers;
static struct target targets[MAX_TARGETS];
static uint32_t target_count;
static uint32_t next_target_index;
static struct kind kinds[MAX_KINDS];
static uint32_t kind_count;
static struct tm_sub end_check;
static uv_signal_t stop_signal;
static int send_timer_fd;
static uv_poll_t send_timer_poll;
static GRand *rng;
static uint64_t begin_us;
static uint64_t next_due_us;
static uint64_t sent;
static uint64_t ended;
static uint64_t wrong_answers;
static GArray *lateness; /* uint32_t us from due to start of a call */
static FILE *log_file;

static void finish_call(struct call *call, enum outcome outcome)
{
	uint64_t us = tm_now_us() - call->due_us;
	bool measured = call->due_us >=
			begin_us + (uint64_t)(options.warmup_s * US_PER_S);
	struct kind *kind = call->kind;

	tm_cancel(&timers, &call->timer);
	kind->counts[outcome]++;
	ended++;
	if (measured) {
		uint32_t value = (uint32_t)us;

		kind->in_time += outcome == OUTCOME_COMPLETED &&
				 call->status < 500 &&
				 us <= (uint64_t)options.timeout_ms * US_PER_MS;
		g_array_append_val(kind->latencies, value);
	}
	if (log_file)
		fprintf(log_file, "%s %s %s %d\n",
			kind->order ? "order" : "inquiry", call->echo,
			outcome_names[outcome], call->status);
	g_string_free(call->prefix, TRUE);
	g_free(call);
}

static void on_head(struct hc_request *request, const struct hc_head *head)
{
	struct call *call = (struct call *)request;
	const struct hc_header *header =
		hc_find_header(head, "x-request-outcome");

	call->status = head->status;
	call->content_length = head->content_length;
	call->outcome = OUTCOME_UNKNOWN;
	for (int i = 0; header && i < 3; i++)
		if (!strncmp(header->value, outcome_names[i],
			     header->value_bytes))
			call->outcome = (enum outcome)i;
}

static void on_body(struct hc_request *request, const char *data, size_t bytes)
{
	struct call *call = (struct call *)request;

	call->received_bytes += bytes;
	if (call->prefix->len < 128)
		g_string_append_len(call->prefix, data,
				    MIN((gssize)bytes, 128));
}

static void check_answer(const struct call *call)
{
	char *want = g_strdup_printf("echo=%s ", call->echo);

	if (!g_str_has_prefix(call->prefix->str, want) ||
	    call->received_bytes < call->kind->bytes) {
		wrong_answers++;
		fprintf(stderr,
			"wrong answer to %s: %.60s (%" G_GUINT64_FORMAT
			" bytes)\n",
			call->echo, call->prefix->str, call->received_bytes);
	}
	g_free(want);
}

static void on_done(struct hc_request *request, enum hc_end end,
		    const char *msg)
{
	struct call *call = (struct call *)request;

	if (end == HC_COMPLETE && call->outcome == OUTCOME_COMPLETED &&
	    call->status < 500)
		check_answer(call);
	if (end == HC_COMPLETE)
		finish_call(call, call->outcome);
	else if (end == HC_NOT_SENT)
		finish_call(call, OUTCOME_NOT_RUN);
	else
		finish_call(call, OUTCOME_BROKEN);
}

static const struct hc_handler handler = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void on_timeout(void *ctx)
{
	struct call *call = ctx;

	hc_cancel(&call->request);
	finish_call(call, OUTCOME_BROKEN);
}

static GString *request_text(struct call *call)
{
	bool order = call->kind->order;
	const char *method = order ? "POST" : "GET";
	char *path = g_strdup_printf("%s?bytes=%zu", call->kind->path,
				     call->kind->bytes);
	char timeout[16];
	GString *out = hc_head_begin(method, strlen(method), path, strlen(path),
				     "load");

	g_snprintf(timeout, sizeof(timeout), "%u", options.timeout_ms);
	hc_head_add(out, "x-echo", 6, call->echo, strlen(call->echo));
	hc_head_add(out, "x-timeout-ms", 12, timeout, strlen(timeout));
	if (order && options.key_prefix)
		hc_head_add(out, "idempotency-key", 15, call->echo,
			    strlen(call->echo));
	hc_head_end(out, order ? "order" : NULL, order ? 5 : 0);
	g_free(path);
	return out;
}

static struct kind *draw_kind(void)
{
	double total = 0;
	double at;

	for (uint32_t i = 0; i < kind_count; i++)
		total += kinds[i].weight;
	at = g_rand_double(rng) * total;
	for (uint32_t i = 0; i + 1 < kind_count; i++) {
		if (at < kinds[i].weight)
			return &kinds[i];
		at -= kinds[i].weight;
	}
	return &kinds[kind_count - 1];
}

/* Round robin over the healthy targets; any target if there is none. */
static struct target *next_healthy_target(void)
{
	struct target *target = targets;

	for (uint32_t i = 0; i < target_count; i++) {
		target = &targets[next_target_index];
		next_target_index = next_target_index + 1 < target_count ?
					    next_target_index + 1 :
					    0;
		if (target->healthy)
			break;
	}
	return target;
}

static void start_call(uint64_t due_us)
{
	struct call *call = g_new0(struct call, 1);

	call->kind = draw_kind();
	call->due_us = due_us;
	call->number = sent++;
	g_snprintf(call->echo, sizeof(call->echo), "%s%u-%" G_GUINT64_FORMAT,
		   options.key_prefix ? options.key_prefix : "c", options.seed,
		   call->number);
	call->prefix = g_string_new(NULL);
	call->outcome = OUTCOME_UNKNOWN;
	call->request.handler = &handler;
	call->request.ctx = call;
	call->timer.fire = on_timeout;
	call->timer.ctx = call;
	tm_subscribe(&timers, &call->timer,
		     due_us + (uint64_t)options.timeout_ms * US_PER_MS +
			     TIMEOUT_GRACE_US);
	if (!hc_start(&next_healthy_target()->pool, &call->request,
		      request_text(call)))
		finish_call(call, OUTCOME_NOT_RUN);
}

/* A timerfd, because the loop's timers have a resolution of 1 ms only. */
static void arm_send_timer(void)
{
	struct itimerspec at = { 0 };

	at.it_value.tv_sec = (time_t)(next_due_us / US_PER_S);
	at.it_value.tv_nsec = (long)(next_due_us % US_PER_S) * 1000;
	timerfd_settime(send_timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void on_send_timer(uv_poll_t *handle, int status, int events)
{
	uint64_t now_us = tm_now_us();
	uint64_t end_us = begin_us + (uint64_t)(options.seconds * US_PER_S);
	uint64_t expirations;

	if (read(send_timer_fd, &expirations, sizeof(expirations)) < 0)
		return;
	while (next_due_us <= now_us && next_due_us < end_us) {
		double u = g_rand_double_range(rng, 1e-9, 1);
		uint32_t late_us = (uint32_t)(now_us - next_due_us);

		g_array_append_val(lateness, late_us);
		start_call(next_due_us);
		next_due_us += (uint64_t)(-log(u) * US_PER_S / options.rate);
	}
	if (next_due_us < end_us)
		arm_send_timer();
}

static void on_stop(uv_signal_t *handle, int signum)
{
	options.seconds = (double)(tm_now_us() - begin_us) / US_PER_S;
}

static void on_end_check(void *ctx)
{
	uint64_t now_us = tm_now_us();
	uint64_t end_us = begin_us + (uint64_t)(options.seconds * US_PER_S);

	if (now_us >= end_us && ended == sent)
		uv_stop(&loop);
	else
		tm_subscribe(&timers, &end_check, now_us + US_PER_MS);
}

/* The health checks simulate the load balancer in front of the entry hosts. */

static void on_health_head(struct hc_request *request,
			   const struct hc_head *head)
{
	struct target *target = request->ctx;

	target->healthy = head->status == 200;
}

static void on_health_done(struct hc_request *request, enum hc_end end,
			   const char *msg);

static const struct hc_handler health_handler = {
	.head = on_health_head,
	.done = on_health_done,
};

static void check_health(void *ctx)
{
	struct target *target = ctx;
	GString *out = hc_head_begin("GET", 3, "/health", 7, "load");

	hc_cancel(&target->health);
	target->health.handler = &health_handler;
	target->health.ctx = target;
	hc_head_end(out, NULL, 0);
	tm_subscribe(&timers, &target->timer, tm_now_us() + HEALTH_TIMEOUT_US);
	if (!hc_start(&target->health_pool, &target->health, out))
		on_health_done(&target->health, HC_NOT_SENT, "");
}

static void on_health_done(struct hc_request *request, enum hc_end end,
			   const char *msg)
{
	struct target *target = request->ctx;

	if (end != HC_COMPLETE)
		target->healthy = false;
	tm_subscribe(&timers, &target->timer, tm_now_us() + HEALTH_INTERVAL_US);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static double percentile_ms(const GArray *values, double p)
{
	guint i;

	if (!values->len)
		return 0;
	i = (guint)ceil(p / 100 * values->len);
	return g_array_index(values, uint32_t, i ? i - 1 : 0) / 1000.0;
}

static void sort_u32(GArray *values)
{
	qsort(values->data, values->len, sizeof(uint32_t), compare_u32);
}

/* The results of all kinds together. */
static struct kind sum_kinds(void)
{
	struct kind total = { .path = "total" };

	total.latencies = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < kind_count; i++) {
		struct kind *kind = &kinds[i];

		for (int k = 0; k < 4; k++)
			total.counts[k] += kind->counts[k];
		total.in_time += kind->in_time;
		if (kind->latencies->len)
			g_array_append_vals(total.latencies,
					    kind->latencies->data,
					    kind->latencies->len);
	}
	return total;
}

static json_t *kind_json(struct kind *kind)
{
	const GArray *values = kind->latencies;
	double in_time = values->len ? (double)kind->in_time / values->len : 0;
	uint64_t all = 0;

	for (int i = 0; i < 4; i++)
		all += kind->counts[i];
	sort_u32(kind->latencies);
	return json_pack(
		"{s:s, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, "
		"s:f, s:f}",
		"path", kind->path, "sent", (json_int_t)all, "completed",
		(json_int_t)kind->counts[OUTCOME_COMPLETED], "not_run",
		(json_int_t)kind->counts[OUTCOME_NOT_RUN], "unknown",
		(json_int_t)kind->counts[OUTCOME_UNKNOWN], "broken",
		(json_int_t)kind->counts[OUTCOME_BROKEN], "p50_ms",
		percentile_ms(values, 50), "p90_ms", percentile_ms(values, 90),
		"p99_ms", percentile_ms(values, 99), "p999_ms",
		percentile_ms(values, 99.9), "max_ms",
		percentile_ms(values, 100), "in_time", in_time);
}

static void print_row(const json_t *row)
{
	static const char *const counts[] = { "sent", "completed", "not_run",
					      "unknown", "broken" };
	static const char *const times[] = { "p50_ms", "p90_ms", "p99_ms",
					     "p999_ms", "max_ms" };

	printf("%-24s", json_string_value(json_object_get(row, "path")));
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		printf(" %9" JSON_INTEGER_FORMAT,
		       json_integer_value(json_object_get(row, counts[i])));
	for (size_t i = 0; i < G_N_ELEMENTS(times); i++)
		printf(" %9.2f",
		       json_real_value(json_object_get(row, times[i])));
	printf(" %8.3f%%\n",
	       100 * json_real_value(json_object_get(row, "in_time")));
}

static void print_table(const json_t *object)
{
	const json_t *rows = json_object_get(object, "kinds");

	printf("%-24s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n", "path",
	       "sent", "completed", "not-run", "unknown", "broken", "p50 ms",
	       "p90 ms", "p99 ms", "p99.9 ms", "max ms", "in time");
	for (size_t i = 0; i < json_array_size(rows); i++)
		print_row(json_array_get(rows, i));
	print_row(object);
	printf("wrong answers: %" G_GUINT64_FORMAT
	       ", the tool ran late by %.2f ms at p99\n",
	       wrong_answers, percentile_ms(lateness, 99));
}

static void print_result(void)
{
	struct kind total = sum_kinds();
	json_t *object = kind_json(&total);
	json_t *rows = json_array();

	for (uint32_t i = 0; i < kind_count; i++)
		json_array_append_new(rows, kind_json(&kinds[i]));
	sort_u32(lateness);
	json_object_set_new(object, "wrong",
			    json_integer((json_int_t)wrong_answers));
	json_object_set_new(object, "late_p99_ms",
			    json_real(percentile_ms(lateness, 99)));
	json_object_set_new(object, "kinds", rows);
	if (options.table)
		print_table(object);
	else
		json_dumpf(object, stdout,
			   JSON_PRESERVE_ORDER | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(object);
	g_array_free(total.latencies, TRUE);
}

static struct kind *add_kind(const char *path, double weight, size_t bytes,
			     bool order)
{
	struct kind *kind = &kinds[kind_count++];

	kind->path = g_strdup(path);
	kind->weight = weight;
	kind->bytes = bytes;
	kind->order = order;
	kind->latencies = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return kind;
}

/* Adds the kind of call PATH,WEIGHT[,BYTES[,POST]]; false: invalid. */
static bool parse_kind(const char *text)
{
	char **parts = g_strsplit(text, ",", 4);
	guint count = g_strv_length(parts);
	bool ok = count >= 2 && kind_count < MAX_KINDS;

	if (ok)
		add_kind(parts[0], strtod(parts[1], NULL),
			 count > 2 ? strtoul(parts[2], NULL, 10) : 0,
			 count > 3 && !strcmp(parts[3], "POST"));
	g_strfreev(parts);
	return ok;
}

/* Without --call the load consists of inquiries and orders. */
static void add_default_kinds(void)
{
	if (kind_count)
		return;
	add_kind(options.path, 100 - options.order_percent, options.bytes,
		 false);
	if (options.order_percent > 0)
		add_kind(options.order_path, options.order_percent,
			 options.bytes, true);
}

enum {
	KEY_ORDERS = 256,
	KEY_ORDER_PATH,
	KEY_KEYS,
	KEY_WARMUP,
	KEY_BYTES,
	KEY_HEALTH,
	KEY_TABLE
};

static const struct argp_option argp_options[] = {
	{ "targets", 't', "LIST", 0, "addresses, separated by commas", 0 },
	{ "rate", 'r', "N", 0, "calls per second", 0 },
	{ "seconds", 's', "N", 0, "duration of the load", 0 },
	{ "path", 'p', "PATH", 0, "path of inquiries", 0 },
	{ "order-path", KEY_ORDER_PATH, "PATH", 0, "path of orders", 0 },
	{ "call", 'c', "PATH,WEIGHT[,BYTES[,POST]]", 0,
	  "adds a kind of call to the load; may be repeated", 0 },
	{ "health", KEY_HEALTH, NULL, 0,
	  "check the health of targets and skip unhealthy ones", 0 },
	{ "table", KEY_TABLE, NULL, 0, "print a table", 0 },
	{ "orders", KEY_ORDERS, "PERCENT", 0, "percentage of orders", 0 },
	{ "keys", KEY_KEYS, "PREFIX", 0,
	  "send orders with idempotency keys that begin with PREFIX", 0 },
	{ "bytes", KEY_BYTES, "N", 0, "smallest size of an answer", 0 },
	{ "timeout-ms", 'm', "N", 0, "timeout of a call", 0 },
	{ "warm", KEY_WARMUP, "S", 0,
	  "leave the calls of the first S seconds out of the latencies", 0 },
	{ "seed", 'e', "N", 0, "random seed", 0 },
	{ "log", 'l', "FILE", 0, "write the outcome of each call", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 't':
		options.targets = arg;
		break;
	case 'r':
		options.rate = strtod(arg, NULL);
		break;
	case 's':
		options.seconds = strtod(arg, NULL);
		break;
	case 'p':
		options.path = arg;
		break;
	case KEY_ORDER_PATH:
		options.order_path = arg;
		break;
	case KEY_ORDERS:
		options.order_percent = strtod(arg, NULL);
		break;
	case KEY_KEYS:
		options.key_prefix = arg;
		break;
	case KEY_BYTES:
		options.bytes = strtoul(arg, NULL, 10);
		break;
	case 'm':
		options.timeout_ms = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case KEY_WARMUP:
		options.warmup_s = strtod(arg, NULL);
		break;
	case 'e':
		options.seed = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'l':
		options.log = arg;
		break;
	case 'c':
		if (!parse_kind(arg))
			argp_error(state, "\"%s\" is not a kind of call", arg);
		break;
	case KEY_HEALTH:
		options.health = true;
		break;
	case KEY_TABLE:
		options.table = true;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static bool add_target(const char *text)
{
	struct target *target = &targets[target_count++];
	struct nt_address address;

	if (!nt_parse(text, &address)) {
		fprintf(stderr, "\"%s\" is not an address\n", text);
		return false;
	}
	hc_pool_init(&target->pool, &loop, &address, MAX_CONNECTIONS);
	hc_pool_init(&target->health_pool, &loop, &address, 2);
	target->healthy = true;
	target->timer.fire = check_health;
	target->timer.ctx = target;
	if (options.health)
		check_health(target);
	return true;
}

static void run_load(void)
{
	rng = g_rand_new_with_seed(options.seed);
	lateness = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	begin_us = tm_now_us();
	next_due_us = begin_us;
	send_timer_fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	uv_poll_init(&loop, &send_timer_poll, send_timer_fd);
	uv_poll_start(&send_timer_poll, UV_READABLE, on_send_timer);
	arm_send_timer();
	uv_signal_init(&loop, &stop_signal);
	uv_signal_start(&stop_signal, on_stop, SIGTERM);
	end_check.fire = on_end_check;
	on_end_check(NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
}

int main(int argc, char **argv)
{
	struct argp argp = { .options = argp_options, .parser = parse_option };
	char **list;

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) || !options.targets)
		return 2;
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	add_default_kinds();
	list = g_strsplit(options.targets, ",", MAX_TARGETS);
	for (char **t = list; *t; t++)
		if (!add_target(*t))
			return 2;
	g_strfreev(list);
	if (options.log)
		log_file = fopen(options.log, "w");
	run_load();
	print_result();
	tm_free(&timers);
	if (log_file)
		fclose(log_file);
	return wrong_answers ? 1 : 0;
}
