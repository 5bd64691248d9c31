/*
 * Stand-in for one server on the users' platform. It reports its load in its
 * answers, refuses requests that expect another server, and adds the signature
 * header to the answer of a run.
 *
 * usage: tool_upstream ADDRESS ID WORK-MS
 * A request with the header X-Work runs for that many milliseconds instead.
 * Every run prints a line with its attempt id, the server's ID and the time in
 * milliseconds. GET /runs lists the attempt ids of all runs, one a line. PUT
 * /work with a number of milliseconds as the body sets the duration of a run.
 * PUT /limit with a number as the body names it in all answers as the requests a
 * second that the server takes; an empty body ends that. PUT /leaving with a text
 * as the body makes all answers say that the server leaves, and health checks fail
 * unless the text is "healthy"; an empty body ends that. PUT /pause with a text as
 * the body makes the server refuse everything with that Retry-After; an empty body
 * ends that. PUT /stale with a text as the body makes each answer to a call follow
 * a second copy of a refused health check on the same connection; an empty body ends
 * that. After PUT /heads with a text as the body, GET /heads lists the headers of all
 * runs, one a line after the attempt id. PUT /cold with a number of milliseconds makes
 * the server cold for so long, as health checks say. Each request that a leaving or
 * pausing server gets, health checks
 * included, prints a line with "notice", the attempt id or "-", and the time. A
 * request whose path ends with "deadly" ends the process after its work, without an
 * answer. One that ends with "deadly-held" does the same where a supervisor keeps the
 * socket and starts the server anew at once: it gets a new id, and keeps its address.
 *
 * PUT /cut takes "SOURCE MODE": requests from that IP address get no answer (mode
 * "hang"), have their connections reset ("reset"), or only those on connections that
 * are newer ("reset-new") or older than this ("reset-old"). An empty body ends that.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/time.h>

#include <glib.h>

#include "http/httpd.h"
#include "base/timer.h"

#define HEALTH_PATH "/health"

enum { US_PER_MS = 1000 };

static struct {
	uv_loop_t loop;
	struct tm_service timers;
	struct hd_server http;
	const char *name;
	char id[256]; /* of this start */
	uint32_t starts;
	uint64_t work_ms;
	uint32_t running;
	char limit[32]; /* requests a second; empty: none is named */
	char leaving[32]; /* empty: it stays */
	char pause[64]; /* value of Retry-After; empty: no pause */
	char stale[32]; /* empty: answers are sent once */
	uint64_t warm_at_us;
	char framing[32]; /* "chunks", "close"; empty: by a length */
	char cut[64]; /* empty: all sources reach it */
	struct timeval cut_at;
	GString *run_ids; /* attempt id of every run, one a line */
	char heads_wanted[32]; /* empty: heads are not kept */
	GString *heads; /* of runs */
} upstream;

/* A request that is being run. */
struct job {
	struct hd_request_ref *request_ref;
	struct tm_sub timer;
};

static void add_header(h2o_req_t *req, const char *name, const char *value)
{
	hd_add_header(req, name, value, strlen(value));
}

static void add_load_headers(h2o_req_t *req)
{
	char text[64];

	/* Running, waiting, slots, work time in percent of the usual time. */
	g_snprintf(text, sizeof(text), "%u,0,6,100", upstream.running);
	add_header(req, "Server-Load", text);
	add_header(req, "Instance-Id", upstream.id);
	if (*upstream.limit)
		add_header(req, "Server-Limit", upstream.limit);
	if (*upstream.leaving)
		add_header(req, "Server-Leaving", "1");
	if (*upstream.pause)
		add_header(req, "Retry-After", upstream.pause);
}

static void reply(h2o_req_t *req, int status, const char *body)
{
	add_load_headers(req);
	hd_reply(req, status, "text/plain", body, strlen(body));
}

/* Sends an answer whose length is not told. */
static void reply_without_length(h2o_req_t *req, const char *body)
{
	static h2o_generator_t generator;
	h2o_iovec_t buf = h2o_strdup(&req->pool, body, strlen(body));

	if (!strcmp(upstream.framing, "close")) {
		/* h2o sends chunks to callers of HTTP/1.1 only. */
		req->version = 0x100;
		req->http1_is_persistent = 0;
	}
	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = SIZE_MAX;
	add_load_headers(req);
	h2o_start_response(req, &generator);
	h2o_send(req, &buf, 1, H2O_SEND_STATE_FINAL);
}

static void reply_to_call(h2o_req_t *req, const h2o_iovec_t *call_id)
{
	bool named = hd_header(req, "x-name-call").base != NULL;
	char *body = named ? g_strdup_printf("%s %.*s", upstream.id,
					     (int)call_id->len, call_id->base) :
			     g_strdup(upstream.id);

	if (*upstream.framing)
		reply_without_length(req, body);
	else
		reply(req, 200, body);
	g_free(body);
}

static bool path_ends_with(const h2o_req_t *req, const char *text)
{
	size_t bytes = strlen(text);

	return req->path.len >= bytes &&
	       !memcmp(req->path.base + req->path.len - bytes, text, bytes);
}

static void start_anew(void)
{
	upstream.starts++;
	g_snprintf(upstream.id, sizeof(upstream.id), "%s-%u", upstream.name,
		   upstream.starts);
}

static void on_run_done(void *ctx)
{
	struct job *job = ctx;
	h2o_req_t *req = job->request_ref->req;

	upstream.running--;
	if (req && path_ends_with(req, "deadly"))
		_exit(1);
	if (req && path_ends_with(req, "deadly-held")) {
		start_anew();
		hd_abort_connection(req);
	} else if (req) {
		h2o_iovec_t id = hd_header(req, "attempt-id");

		if (!id.base)
			id = h2o_iovec_init("-", 1);
		hd_add_header(req, "Attempt-Id", id.base, id.len);
		add_header(req, "Response-Signature", "signed");
		reply_to_call(req, &id);
	}
	hd_request_ref_release(job->request_ref);
	g_free(job);
}

static void send_stale_answer(h2o_req_t *req)
{
	static const char answer[] = "HTTP/1.1 503 Unavailable\r\n"
				     "Not-Executed: 1\r\n"
				     "Content-Length: 0\r\n\r\n";
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	if (write(h2o_socket_get_fd(sock), answer, strlen(answer)) < 0)
		perror("write");
}

static uint64_t get_work_ms(h2o_req_t *req)
{
	h2o_iovec_t own = hd_header(req, "x-work");

	return own.base ? strtoull(own.base, NULL, 10) : upstream.work_ms;
}

/* Keeps the headers of a run, one a line, after its attempt id. */
static void keep_head(const h2o_req_t *req, const h2o_iovec_t *call_id)
{
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		g_string_append_printf(upstream.heads, "%.*s %.*s: %.*s\n",
				       (int)call_id->len, call_id->base,
				       (int)h->name->len, h->name->base,
				       (int)h->value.len, h->value.base);
	}
}

/*
 * Prints a line "ID SERVER TIME CUSTOMER KEY" of a run: CUSTOMER is the value of
 * the header "Tenant", or "-", or values joined by commas; KEY is "key" if there is
 * a header "Authorization" or a value with "key-of-", or else "clean".
 */
static void print_run(const h2o_req_t *req, const h2o_iovec_t *call_id)
{
	GString *customer = g_string_new(NULL);
	bool has_key = false;

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];
		gssize bytes = (gssize)h->value.len;

		if (h2o_lcstris(h->name->base, h->name->len,
				H2O_STRLIT("tenant")))
			g_string_append_printf(customer, "%s%.*s",
					       customer->len ? "," : "",
					       (int)bytes, h->value.base);
		if (h2o_lcstris(h->name->base, h->name->len,
				H2O_STRLIT("authorization")) ||
		    g_strstr_len(h->value.base, bytes, "key-of-"))
			has_key = true;
	}
	printf("%.*s %s %" G_GUINT64_FORMAT " %s %s\n", (int)call_id->len,
	       call_id->base ? call_id->base : "", upstream.id,
	       tm_now_us() / US_PER_MS, customer->len ? customer->str : "-",
	       has_key ? "key" : "clean");
	fflush(stdout);
	g_string_free(customer, TRUE);
}

static void run_request(h2o_req_t *req)
{
	struct job *job = g_new0(struct job, 1);
	h2o_iovec_t id = hd_header(req, "attempt-id");

	g_string_append_len(upstream.run_ids, id.base ? id.base : "-",
			    id.base ? (gssize)id.len : 1);
	g_string_append_c(upstream.run_ids, '\n');
	print_run(req, &id);
	if (*upstream.heads_wanted && id.base)
		keep_head(req, &id);
	if (*upstream.stale)
		send_stale_answer(req);
	upstream.running++;
	job->request_ref = hd_request_ref_new(req);
	job->timer.fire = on_run_done;
	job->timer.ctx = job;
	tm_subscribe(&upstream.timers, &job->timer,
		     tm_now_us() + get_work_ms(req) * US_PER_MS);
}

static void add_warmup_header(h2o_req_t *req)
{
	uint64_t now_us = tm_now_us();
	char text[32];

	if (upstream.warm_at_us <= now_us)
		return;
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
		   (upstream.warm_at_us - now_us) / US_PER_MS);
	add_header(req, "Warmup-Ms", text);
}

/* Stores the body of a request that sets a behaviour of the server. */
static void set_text(h2o_req_t *req, char *text, size_t text_bytes)
{
	g_strlcpy(text, req->entity.len ? req->entity.base : "",
		  MIN(req->entity.len + 1, text_bytes));
	hd_reply(req, 200, "text/plain", "ok", strlen("ok"));
}

/* Whether the request set or asked for something of the stand-in itself. */
static bool on_control(h2o_req_t *req)
{
	if (hd_path_is(req, "/runs"))
		hd_reply(req, 200, "text/plain", upstream.run_ids->str,
			 upstream.run_ids->len);
	else if (hd_path_is(req, "/heads") && hd_method_is(req, "GET"))
		hd_reply(req, 200, "text/plain", upstream.heads->str,
			 upstream.heads->len);
	else if (hd_path_is(req, "/heads"))
		set_text(req, upstream.heads_wanted,
			 sizeof(upstream.heads_wanted));
	else if (hd_path_is(req, "/limit"))
		set_text(req, upstream.limit, sizeof(upstream.limit));
	else if (hd_path_is(req, "/leaving"))
		set_text(req, upstream.leaving, sizeof(upstream.leaving));
	else if (hd_path_is(req, "/stale"))
		set_text(req, upstream.stale, sizeof(upstream.stale));
	else if (hd_path_is(req, "/framing"))
		set_text(req, upstream.framing, sizeof(upstream.framing));
	else if (hd_path_is(req, "/cold")) {
		upstream.warm_at_us =
			tm_now_us() +
			strtoull(req->entity.base, NULL, 10) * US_PER_MS;
		hd_reply(req, 200, "text/plain", "ok", strlen("ok"));
	} else if (hd_path_is(req, "/cut")) {
		gettimeofday(&upstream.cut_at, NULL);
		set_text(req, upstream.cut, sizeof(upstream.cut));
	} else if (hd_path_is(req, "/pause"))
		set_text(req, upstream.pause, sizeof(upstream.pause));
	else
		return false;
	return true;
}

static void print_notice(h2o_req_t *req)
{
	h2o_iovec_t id = hd_header(req, "attempt-id");

	printf("notice %.*s %" G_GUINT64_FORMAT "\n", id.base ? (int)id.len : 1,
	       id.base ? id.base : "-", tm_now_us() / US_PER_MS);
	fflush(stdout);
}

static bool is_healthy(void)
{
	return !*upstream.leaving || !strcmp(upstream.leaving, "healthy");
}

/* A service may have any path for it. */
static bool is_health_check(const h2o_req_t *req)
{
	return req->path.len >= strlen(HEALTH_PATH) &&
	       !memcmp(req->path.base, HEALTH_PATH, strlen(HEALTH_PATH));
}

static void refuse(h2o_req_t *req)
{
	add_header(req, "Not-Executed", "1");
	reply(req, 503, "not now");
}

static bool is_newer_than_cut(const h2o_req_t *req)
{
	return timercmp(&req->conn->connected_at, &upstream.cut_at, >);
}

/* Whether the request comes from a source that is cut off; it gets no answer. */
static bool on_cut(h2o_req_t *req)
{
	struct sockaddr_storage peer;
	const struct sockaddr_in *v4 = (const void *)&peer;
	char source[INET_ADDRSTRLEN];
	size_t bytes;

	if (!*upstream.cut ||
	    !req->conn->callbacks->get_peername(req->conn, (void *)&peer) ||
	    !inet_ntop(AF_INET, &v4->sin_addr, source, sizeof(source)))
		return false;
	bytes = strlen(source);
	if (strncmp(upstream.cut, source, bytes) != 0 ||
	    upstream.cut[bytes] != ' ')
		return false;
	if (!strcmp(upstream.cut + bytes + 1, "reset-new") &&
	    !is_newer_than_cut(req))
		return false;
	if (!strcmp(upstream.cut + bytes + 1, "reset-old") &&
	    is_newer_than_cut(req))
		return false;
	if (strcmp(upstream.cut + bytes + 1, "hang") != 0)
		hd_abort_connection(req);
	return true;
}

static void on_request(void *ctx, h2o_req_t *req)
{
	h2o_iovec_t expected = hd_header(req, "expect-instance");

	if (on_cut(req))
		return;
	if (on_control(req))
		return;
	if (*upstream.leaving || *upstream.pause)
		print_notice(req);
	if (hd_path_is(req, "/work")) {
		upstream.work_ms = strtoull(req->entity.base, NULL, 10);
		reply(req, 200, "ok");
	} else if (*upstream.pause) {
		refuse(req);
	} else if (is_health_check(req)) {
		add_warmup_header(req);
		reply(req, is_healthy() ? 200 : 503, "ok");
	} else if (expected.len != strlen(upstream.id) ||
		   memcmp(expected.base, upstream.id, expected.len) != 0) {
		add_header(req, "Not-Executed", "1");
		reply(req, 421, "another server");
	} else {
		run_request(req);
	}
}

int main(int argc, char **argv)
{
	struct nt_address address;
	struct st_status status;

	if (argc != 4 || !nt_parse(argv[1], &address)) {
		fprintf(stderr, "usage: tool_upstream ADDRESS ID WORK-MS\n");
		return 2;
	}
	upstream.name = argv[2];
	g_strlcpy(upstream.id, argv[2], sizeof(upstream.id));
	upstream.work_ms = strtoull(argv[3], NULL, 10);
	upstream.run_ids = g_string_new(NULL);
	upstream.heads = g_string_new(NULL);
	uv_loop_init(&upstream.loop);
	tm_init(&upstream.timers, &upstream.loop);
	if (hd_init(&upstream.http, &upstream.loop, &address, on_request, NULL,
		    &status) != ST_OK) {
		fprintf(stderr, "%s\n", status.msg);
		return 1;
	}
	uv_run(&upstream.loop, UV_RUN_DEFAULT);
	return 0;
}
