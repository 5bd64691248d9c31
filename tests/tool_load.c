/*
 * Open-loop load tool: sends calls at a constant rate whether or not earlier
 * ones were answered, and measures each from the time it was meant to start.
 * Checks that every answer is the caller's own and whole.
 */
#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "httpc.h"
#include "timer.h"

enum { US_PER_MS = 1000, US_PER_S = 1000000, MAX_TARGETS = 64 };
enum { MAX_CONNECTIONS = 512, GRACE_US = 500 * 1000 };

enum told { TOLD_COMPLETED, TOLD_NOT_RUN, TOLD_UNKNOWN, TOLD_BROKEN };

static const char *const told_names[] = { "completed", "not-run", "unknown",
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
	double warm_s;
	uint32_t timeout_ms;
	uint32_t seed;
	size_t bytes;
} options = {
	.path = "/",
	.order_path = "/",
	.rate = 100,
	.seconds = 1,
	.timeout_ms = 1000,
	.seed = 1,
};

struct call {
	struct hc_request request; /* first: callbacks cast back */
	uint64_t due_us;
	uint64_t number;
	bool order;
	char echo[48];
	enum told told;
	int status;
	uint64_t length; /* announced, UINT64_MAX when chunked */
	uint64_t got;
	GString *start; /* first bytes of the answer */
	struct tm_sub timer;
};

static uv_loop_t loop;
static struct tm_service timers;
static struct hc_pool pools[MAX_TARGETS];
static uint32_t pool_count;
static struct tm_sub pace;
static GRand *rng;
static uint64_t begin_us;
static uint64_t next_due_us;
static uint64_t sent;
static uint64_t ended;
static uint64_t counts[4];
static uint64_t wrong;
static uint64_t in_time;
static uint64_t measured;
static GArray *latencies; /* uint32_t us of calls after the warm-up */
static FILE *log_file;

static void finish(struct call *call, enum told told)
{
	uint64_t us = tm_now_us() - call->due_us;
	bool after_warm = call->due_us >=
			  begin_us + (uint64_t)(options.warm_s * US_PER_S);

	tm_cancel(&timers, &call->timer);
	counts[told]++;
	ended++;
	if (after_warm) {
		uint32_t value = (uint32_t)us;

		measured++;
		in_time += told == TOLD_COMPLETED && call->status < 500 &&
			   us <= (uint64_t)options.timeout_ms * US_PER_MS;
		g_array_append_val(latencies, value);
	}
	if (log_file)
		fprintf(log_file, "%s %s %s %d\n",
			call->order ? "order" : "inquiry", call->echo,
			told_names[told], call->status);
	g_string_free(call->start, TRUE);
	g_free(call);
}

static void on_head(struct hc_request *request, const struct hc_head *head)
{
	struct call *call = (struct call *)request;
	const struct hc_header *outcome = hc_find(head, "x-request-outcome");

	call->status = head->status;
	call->length = head->content_length;
	call->told = TOLD_UNKNOWN;
	for (int i = 0; outcome && i < 3; i++)
		if (!strncmp(outcome->value, told_names[i],
			     outcome->value_bytes))
			call->told = (enum told)i;
}

static void on_body(struct hc_request *request, const char *data, size_t bytes)
{
	struct call *call = (struct call *)request;

	call->got += bytes;
	if (call->start->len < 128)
		g_string_append_len(call->start, data, MIN((gssize)bytes, 128));
}

static void check_own(const struct call *call)
{
	char *want = g_strdup_printf("echo=%s ", call->echo);

	if (!g_str_has_prefix(call->start->str, want) ||
	    call->got < options.bytes) {
		wrong++;
		fprintf(stderr,
			"wrong answer to %s: %.60s (%" G_GUINT64_FORMAT
			" bytes)\n",
			call->echo, call->start->str, call->got);
	}
	g_free(want);
}

static void on_done(struct hc_request *request, enum hc_end end,
		    const char *msg)
{
	struct call *call = (struct call *)request;

	if (end == HC_COMPLETE && call->told == TOLD_COMPLETED &&
	    call->status < 500)
		check_own(call);
	if (end == HC_COMPLETE)
		finish(call, call->told);
	else if (end == HC_NOT_SENT)
		finish(call, TOLD_NOT_RUN);
	else
		finish(call, TOLD_BROKEN);
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
	finish(call, TOLD_BROKEN);
}

static GString *request_text(struct call *call)
{
	const char *method = call->order ? "POST" : "GET";
	const char *base = call->order ? options.order_path : options.path;
	char *path = g_strdup_printf("%s?bytes=%zu", base, options.bytes);
	char timeout[16];
	GString *out = hc_head_begin(method, strlen(method), path, strlen(path),
				     "load");

	g_snprintf(timeout, sizeof(timeout), "%u", options.timeout_ms);
	hc_head_add(out, "x-echo", 6, call->echo, strlen(call->echo));
	hc_head_add(out, "x-timeout-ms", 12, timeout, strlen(timeout));
	if (call->order && options.key_prefix)
		hc_head_add(out, "idempotency-key", 15, call->echo,
			    strlen(call->echo));
	hc_head_end(out, call->order ? "order" : NULL, call->order ? 5 : 0);
	g_free(path);
	return out;
}

static void start_call(uint64_t due_us)
{
	struct call *call = g_new0(struct call, 1);
	struct hc_pool *pool = &pools[sent % pool_count];

	call->due_us = due_us;
	call->number = sent++;
	call->order = g_rand_double(rng) * 100 < options.order_percent;
	g_snprintf(call->echo, sizeof(call->echo), "%s%u-%" G_GUINT64_FORMAT,
		   options.key_prefix ? options.key_prefix : "c", options.seed,
		   call->number);
	call->start = g_string_new(NULL);
	call->told = TOLD_UNKNOWN;
	call->request.handler = &handler;
	call->request.ctx = call;
	call->timer.fire = on_timeout;
	call->timer.ctx = call;
	tm_subscribe(&timers, &call->timer,
		     due_us + (uint64_t)options.timeout_ms * US_PER_MS +
			     GRACE_US);
	if (!hc_start(pool, &call->request, request_text(call)))
		finish(call, TOLD_NOT_RUN);
}

static void on_pace(void *ctx)
{
	uint64_t now_us = tm_now_us();
	uint64_t end_us = begin_us + (uint64_t)(options.seconds * US_PER_S);

	while (next_due_us <= now_us && next_due_us < end_us) {
		double u = g_rand_double_range(rng, 1e-9, 1);

		start_call(next_due_us);
		next_due_us += (uint64_t)(-log(u) * US_PER_S / options.rate);
	}
	if (next_due_us < end_us || ended < sent)
		tm_subscribe(&timers, &pace, now_us + US_PER_MS);
	else
		uv_stop(&loop);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static double percentile_ms(double p)
{
	guint i;

	if (!latencies->len)
		return 0;
	i = (guint)ceil(p / 100 * latencies->len);
	return g_array_index(latencies, uint32_t, i ? i - 1 : 0) / 1000.0;
}

static void print_result(void)
{
	json_t *object;

	qsort(latencies->data, latencies->len, sizeof(uint32_t), compare_u32);
	object = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}",
			   "sent", (json_int_t)sent, "completed",
			   (json_int_t)counts[TOLD_COMPLETED], "not_run",
			   (json_int_t)counts[TOLD_NOT_RUN], "unknown",
			   (json_int_t)counts[TOLD_UNKNOWN], "broken",
			   (json_int_t)counts[TOLD_BROKEN], "wrong",
			   (json_int_t)wrong, "p50_ms", percentile_ms(50),
			   "p99_ms", percentile_ms(99), "p999_ms",
			   percentile_ms(99.9), "in_time",
			   measured ? (double)in_time / (double)measured : 0.0);
	json_dumpf(object, stdout,
		   JSON_PRESERVE_ORDER | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(object);
}

enum { KEY_ORDERS = 256, KEY_ORDER_PATH, KEY_KEYS, KEY_WARM, KEY_BYTES };

static const struct argp_option argp_options[] = {
	{ "targets", 't', "LIST", 0, "addresses, comma separated", 0 },
	{ "rate", 'r', "N", 0, "calls per second", 0 },
	{ "seconds", 's', "N", 0, "duration", 0 },
	{ "path", 'p', "PATH", 0, "path of inquiries", 0 },
	{ "order-path", KEY_ORDER_PATH, "PATH", 0, "path of orders", 0 },
	{ "orders", KEY_ORDERS, "PERCENT", 0, "part of orders", 0 },
	{ "keys", KEY_KEYS, "PREFIX", 0, "orders carry idempotency keys", 0 },
	{ "bytes", KEY_BYTES, "N", 0, "smallest size of an answer", 0 },
	{ "timeout-ms", 'm', "N", 0, "deadline of a call", 0 },
	{ "warm", KEY_WARM, "S", 0, "seconds left out at the start", 0 },
	{ "seed", 'e', "N", 0, "random seed", 0 },
	{ "log", 'l', "FILE", 0, "write what every caller was told", 0 },
	{ 0 }
};

static error_t parse(int key, char *arg, struct argp_state *state)
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
	case KEY_WARM:
		options.warm_s = strtod(arg, NULL);
		break;
	case 'e':
		options.seed = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case 'l':
		options.log = arg;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct argp argp = { .options = argp_options, .parser = parse };
	char **targets;
	struct nt_address address;

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) || !options.targets)
		return 2;
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	targets = g_strsplit(options.targets, ",", MAX_TARGETS);
	for (char **t = targets; *t; t++) {
		if (!nt_parse(*t, &address)) {
			fprintf(stderr, "\"%s\" is not an address\n", *t);
			return 2;
		}
		hc_pool_init(&pools[pool_count++], &loop, &address,
			     MAX_CONNECTIONS);
	}
	if (options.log)
		log_file = fopen(options.log, "w");
	rng = g_rand_new_with_seed(options.seed);
	latencies = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	begin_us = tm_now_us();
	next_due_us = begin_us;
	pace.fire = on_pace;
	on_pace(NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	print_result();
	tm_free(&timers);
	g_strfreev(targets);
	if (log_file)
		fclose(log_file);
	return wrong ? 1 : 0;
}
