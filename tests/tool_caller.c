/*
 * Caller that sends calls to one entry host, one after the other, on a connection
 * that it keeps until the host closes it or is gone. Every third call is an order
 * (POST), which must not run twice. Headers are those of the users' platform.
 *
 * usage: tool_caller ADDRESS PREFIX
 * The calls have the ids PREFIX-1, PREFIX-2 and so on. Prints a line "KIND ID
 * BODY REUSED TIME STATUS" for each: kind "safe" or "order"; BODY "-" and STATUS 0
 * when there was no complete answer; REUSED 1 for a call that was not the first on
 * its connection; the time of its end in milliseconds. SIGTERM ends the tool after
 * the call in progress.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "httpc.h"
#include "timer.h"

enum {
	US_PER_MS = 1000,
	TIMEOUT_US = 5000 * US_PER_MS,
	PAUSE_US = 5 * US_PER_MS, /* between two calls */
	RECONNECT_US = 50 * US_PER_MS, /* after a call without an answer */
	CALLS_PER_ORDER = 3,
	ID_BYTES = 64,
	BODY_BYTES = 64
};

static uv_loop_t loop;
static struct tm_service timers;
static struct hc_pool pool;
static struct hc_request request;
static struct tm_sub timer; /* the next call, or the timeout of this one */
static const char *prefix;
static char id[ID_BYTES];
static char body[BODY_BYTES]; /* cut off if longer */
static bool order;
static bool reused;
static int status;
static uint64_t number;
static bool stopping;
static uv_signal_t stop_signal;

static void start_call(void *ctx);

static void end_call(bool complete)
{
	printf("%s %s %s %d %" G_GUINT64_FORMAT " %d\n",
	       order ? "order" : "safe", id, complete && *body ? body : "-",
	       reused, tm_now_us() / US_PER_MS, complete ? status : 0);
	fflush(stdout);
	if (stopping) {
		uv_stop(&loop);
		return;
	}
	timer.fire = start_call;
	tm_subscribe(&timers, &timer,
		     tm_now_us() + (complete ? PAUSE_US : RECONNECT_US));
}

static void on_head(struct hc_request *of, const struct hc_head *head)
{
	status = head->status;
}

static void on_body(struct hc_request *of, const char *data, size_t data_bytes)
{
	size_t used = strlen(body);
	size_t taken = MIN(data_bytes, sizeof(body) - 1 - used);

	memcpy(body + used, data, taken);
	body[used + taken] = '\0';
	g_strdelimit(body, " \n", '_');
}

static void on_done(struct hc_request *of, enum hc_end end, const char *msg)
{
	end_call(end == HC_COMPLETE);
}

static const struct hc_handler handler = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void on_timeout(void *ctx)
{
	hc_cancel(&request);
	end_call(false);
}

static GString *format_call(void)
{
	const char *method = order ? "POST" : "GET";
	const char *path = order ? "/order/a" : "/safe/a";
	GString *out = hc_head_begin(method, strlen(method), path, strlen(path),
				     "x.example");

	hc_head_add(out, "attempt-id", strlen("attempt-id"), id, strlen(id));
	hc_head_add(out, "deadline-ms", strlen("deadline-ms"), "2000",
		    strlen("2000"));
	hc_head_end(out, order ? "x" : NULL, order ? 1 : 0);
	return out;
}

static void start_call(void *ctx)
{
	number++;
	order = number % CALLS_PER_ORDER == 0;
	g_snprintf(id, sizeof(id), "%s-%" G_GUINT64_FORMAT, prefix, number);
	*body = '\0';
	status = 0;
	reused = pool.idle != NULL;
	memset(&request, 0, sizeof(request));
	request.handler = &handler;
	timer.fire = on_timeout;
	tm_subscribe(&timers, &timer, tm_now_us() + TIMEOUT_US);
	if (!hc_start(&pool, &request, format_call()))
		end_call(false);
}

static void on_stop(uv_signal_t *handle, int signum)
{
	stopping = true;
}

int main(int argc, char **argv)
{
	struct nt_address address;

	if (argc != 3 || !nt_parse(argv[1], &address)) {
		fprintf(stderr, "usage: tool_caller ADDRESS PREFIX\n");
		return 2;
	}
	prefix = argv[2];
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	hc_pool_init(&pool, &loop, &address, 1);
	uv_signal_init(&loop, &stop_signal);
	uv_signal_start(&stop_signal, on_stop, SIGTERM);
	start_call(NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return 0;
}
