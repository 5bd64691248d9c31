/*
 * Test double of upstream servers with slots, a queue, outdated load reports,
 * draining, cold start, load shedding, stragglers, failing fast and
 * cancellation. One process simulates COUNT servers on consecutive ports.
 *
 * usage: tool_server FIRST-ADDRESS COUNT SLOTS ZONES MEAN-US [RUN-LOG]
 * ZONES is a comma-separated list; server i is in the zone at index i modulo
 * its length. The service time is exponentially distributed with mean MEAN-US.
 *
 * POST /control on a server's port takes a JSON object with
 *	factor		multiplier of the service time
 *	draining	add the notice that the server is leaving to answers
 *	fail_fast	answer requests with 500 without running them
 *	shed_queue	refuse requests when all slots are in use and this
 *			many are queued
 *	cold_ms		duration of the cold start that begins now
 *	report_lag_ms	greatest age of the load that is reported
 * and, for one in N POST requests each,
 *	refuse_every	refuse the request without running it
 *	break_every	run it, then close the connection without an answer
 *	cut_every	run it, then break off the answer
 * GET /heads lists the first headers that requests had, one a line.
 */
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <sys/socket.h>

#include "http/httpd.h"
#include "base/timer.h"

enum {
	US_PER_MS = 1000,
	ZONE_DELAY_US = 4000, /* one way, between two zones */
	PROBE_DELAY_US = 6000, /* until a probe is answered */
	SWEEP_INTERVAL_US = 20 * 1000, /* of checks for closed connections */
	MAX_SERVERS = 64,
	MAX_HEADS_BYTES = 100000,
	COLD_START_FACTOR = 4 /* initial multiplier of the service time */
};

struct server {
	struct hd_server http;
	char name[32];
	const char *zone;
	uint32_t slots;
	uint32_t in_flight;
	GQueue queue; /* of struct job */
	double factor;
	int draining;
	int fail_fast;
	int64_t shed_queue;
	int64_t report_lag_ms;
	int64_t refuse_every;
	int64_t break_every;
	int64_t cut_every;
	int64_t orders; /* POST requests received */
	uint64_t cold_since_us;
	uint64_t cold_until_us;
	/* The load that is reported, as measured at REPORTED_US. */
	uint32_t reported_in_flight;
	uint32_t reported_queued;
	uint64_t reported_us;
	uint64_t runs;
	uint64_t probes;
	uint64_t cancelled;
};

/* ARRIVING and ANSWERING last for the delay between zones. */
enum job_state { JOB_ARRIVING, JOB_QUEUED, JOB_RUNNING, JOB_ANSWERING };

struct job {
	struct server *server;
	struct hd_request_ref *request_ref;
	enum job_state state;
	struct tm_sub timer;
	bool remote; /* the entry host is in another zone */
	int64_t order; /* number of a POST at its server, or 0 */
	char echo[64]; /* x-echo of the request, repeated in the answer */
	size_t bytes; /* smallest size of the answer */
	GList link;
};

static uv_loop_t loop;
static struct tm_service timers;
static struct tm_sub sweep;
static struct server servers[MAX_SERVERS];
static uint32_t server_count;
static GString *heads; /* of requests, see keep_head */
static GQueue jobs; /* of all servers, in every state */
static GRand *rng;
static double mean_service_us;
static FILE *run_log;

static void start_queued_jobs(struct server *server);

static void add_load_headers(struct server *server, h2o_req_t *req, bool always)
{
	uint64_t now_us = tm_now_us();
	char text[64];
	int len;

	if (now_us - server->reported_us >=
	    (uint64_t)server->report_lag_ms * US_PER_MS) {
		server->reported_us = now_us;
		server->reported_in_flight = server->in_flight;
		server->reported_queued = g_queue_get_length(&server->queue);
	}
	len = snprintf(text, sizeof(text), "in_flight=%u queued=%u slots=%u",
		       server->reported_in_flight, server->reported_queued,
		       server->slots);
	if (always || hd_header(req, "x-load-wanted").base)
		hd_add_header(req, "x-load", text, (size_t)len);
	if (server->draining)
		hd_add_header(req, "x-draining", "1", 1);
}

static void free_job(struct job *job)
{
	tm_cancel(&timers, &job->timer);
	g_queue_unlink(&jobs, &job->link);
	hd_request_ref_release(job->request_ref);
	g_free(job);
}

static void reply_job(struct job *job, int status)
{
	struct server *server = job->server;
	GString *body = g_string_new(NULL);

	g_string_append_printf(body, "echo=%s server=%s\n", job->echo,
			       server->name);
	while (body->len < job->bytes)
		g_string_append_c(body, (char)('a' + body->len % 26));
	add_load_headers(server, job->request_ref->req, false);
	hd_reply(job->request_ref->req, status, "text/plain", body->str,
		 body->len);
	g_string_free(body, TRUE);
}

static bool is_nth_order(const struct job *job, int64_t every)
{
	return job->order && every && job->order % every == 0;
}

static void break_connection(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

/* Sends less than the announced content-length. */
static void cut_answer(h2o_req_t *req)
{
	static h2o_generator_t generator;
	h2o_iovec_t buf = h2o_iovec_init(H2O_STRLIT("echo="));

	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = 100;
	h2o_start_response(req, &generator);
	h2o_send(req, &buf, 1, H2O_SEND_STATE_ERROR);
}

/* Answers that the request was refused and not run. */
static void reply_not_run(struct server *server, h2o_req_t *req)
{
	add_load_headers(server, req, false);
	hd_add_header(req, "x-not-run", "1", 1);
	hd_reply(req, 503, "text/plain", "busy\n", 5);
}

/* Returns a random service time, longer during a cold start. */
static double draw_service_us(struct server *server)
{
	double u = g_rand_double_range(rng, 1e-9, 1);
	double us = -log(u) * mean_service_us * server->factor;
	uint64_t now_us = tm_now_us();

	if (now_us < server->cold_until_us) {
		double left =
			(double)(server->cold_until_us - now_us) /
			(double)(server->cold_until_us - server->cold_since_us);

		us *= 1 + (COLD_START_FACTOR - 1) * left;
	}
	return us;
}

static void on_answer_due(void *ctx)
{
	struct job *job = ctx;

	if (job->request_ref->req &&
	    is_nth_order(job, job->server->break_every))
		break_connection(job->request_ref->req);
	if (job->request_ref->req && is_nth_order(job, job->server->cut_every))
		cut_answer(job->request_ref->req);
	else if (job->request_ref->req)
		reply_job(job, 200);
	free_job(job);
}

static void schedule_answer(struct job *job)
{
	job->state = JOB_ANSWERING;
	job->timer.fire = on_answer_due;
	if (job->remote)
		tm_subscribe(&timers, &job->timer, tm_now_us() + ZONE_DELAY_US);
	else
		on_answer_due(job);
}

static void on_run_done(void *ctx)
{
	struct job *job = ctx;
	struct server *server = job->server;

	server->in_flight--;
	schedule_answer(job);
	start_queued_jobs(server);
}

static void start_job(struct job *job)
{
	struct server *server = job->server;

	job->state = JOB_RUNNING;
	server->in_flight++;
	server->runs++;
	if (run_log) {
		fprintf(run_log, "run %s %s\n", job->echo, server->name);
		fflush(run_log);
	}
	job->timer.fire = on_run_done;
	tm_subscribe(&timers, &job->timer,
		     tm_now_us() + (uint64_t)draw_service_us(server));
}

static void start_queued_jobs(struct server *server)
{
	while (server->in_flight < server->slots) {
		struct job *job = g_queue_pop_head(&server->queue);

		if (!job)
			return;
		start_job(job);
	}
}

static bool is_refused(const struct job *job)
{
	struct server *server = job->server;

	if (is_nth_order(job, server->refuse_every))
		return true;
	return server->in_flight >= server->slots &&
	       g_queue_get_length(&server->queue) >= server->shed_queue;
}

static void admit_job(void *ctx)
{
	struct job *job = ctx;
	struct server *server = job->server;

	if (!job->request_ref->req) {
		free_job(job);
	} else if (server->fail_fast) {
		reply_job(job, 500);
		free_job(job);
	} else if (is_refused(job)) {
		reply_not_run(server, job->request_ref->req);
		free_job(job);
	} else {
		job->state = JOB_QUEUED;
		g_queue_push_tail(&server->queue, job);
		start_queued_jobs(server);
	}
}

/* Drops a request whose peer has closed the connection. */
static void cancel_job(struct job *job)
{
	struct server *server = job->server;

	server->cancelled++;
	if (job->state == JOB_QUEUED)
		g_queue_remove(&server->queue, job);
	if (job->state == JOB_RUNNING)
		server->in_flight--;
	/* h2o detects the closed connection only when it reads or writes. */
	if (job->request_ref->req)
		hd_reply(job->request_ref->req, 503, "text/plain", "", 0);
	free_job(job);
	start_queued_jobs(server);
}

/* Cancels the jobs whose peer has closed the connection. */
static void on_sweep(void *ctx)
{
	GList *next;

	for (GList *l = jobs.head; l; l = next) {
		struct job *job = l->data;

		next = l->next;
		if (job->state != JOB_ANSWERING &&
		    (!job->request_ref->req ||
		     hd_peer_closed(job->request_ref->req)))
			cancel_job(job);
	}
	tm_subscribe(&timers, &sweep, tm_now_us() + SWEEP_INTERVAL_US);
}

/* Keeps the headers of a request while there is room. */
static void keep_head(const h2o_req_t *req)
{
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (heads->len < MAX_HEADS_BYTES)
			g_string_append_printf(heads, "%.*s: %.*s\n",
					       (int)h->name->len, h->name->base,
					       (int)h->value.len,
					       h->value.base);
	}
}

static void on_work(struct server *server, h2o_req_t *req)
{
	struct job *job = g_new0(struct job, 1);
	h2o_iovec_t echo = hd_header(req, "x-echo");
	h2o_iovec_t zone = hd_header(req, "x-entry-zone");
	char *bytes = hd_query(req, "bytes");

	keep_head(req);
	job->server = server;
	job->request_ref = hd_request_ref_new(req);
	job->order = hd_method_is(req, "POST") ? ++server->orders : 0;
	job->link.data = job;
	g_queue_push_tail_link(&jobs, &job->link);
	if (echo.base)
		g_strlcpy(job->echo, echo.base,
			  MIN(echo.len + 1, sizeof(job->echo)));
	job->bytes = bytes ? strtoul(bytes, NULL, 10) : 0;
	g_free(bytes);
	job->remote = zone.base && !h2o_memis(zone.base, zone.len, server->zone,
					      strlen(server->zone));
	job->timer.fire = admit_job;
	job->timer.ctx = job;
	if (job->remote)
		tm_subscribe(&timers, &job->timer, tm_now_us() + ZONE_DELAY_US);
	else
		admit_job(job);
}

/* A probe whose answer is delayed. */
struct probe {
	struct server *server;
	struct hd_request_ref *request_ref;
	struct tm_sub timer;
};

static void on_probe_due(void *ctx)
{
	struct probe *probe = ctx;

	if (probe->request_ref->req) {
		add_load_headers(probe->server, probe->request_ref->req, true);
		hd_reply(probe->request_ref->req, 200, "text/plain", "ok\n", 3);
	}
	hd_request_ref_release(probe->request_ref);
	g_free(probe);
}

static void on_probe(struct server *server, h2o_req_t *req)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->server = server;
	probe->request_ref = hd_request_ref_new(req);
	probe->timer.fire = on_probe_due;
	probe->timer.ctx = probe;
	server->probes++;
	tm_subscribe(&timers, &probe->timer, tm_now_us() + PROBE_DELAY_US);
}

static void on_control(struct server *server, h2o_req_t *req)
{
	json_t *object = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	int64_t cold_ms = 0;

	if (object)
		json_unpack(
			object, "{s?F, s?b, s?b, s?I, s?I, s?I, s?I, s?I, s?I}",
			"factor", &server->factor, "draining",
			&server->draining, "fail_fast", &server->fail_fast,
			"shed_queue", &server->shed_queue, "cold_ms", &cold_ms,
			"report_lag_ms", &server->report_lag_ms, "refuse_every",
			&server->refuse_every, "break_every",
			&server->break_every, "cut_every", &server->cut_every);
	if (cold_ms) {
		server->cold_since_us = tm_now_us();
		server->cold_until_us =
			server->cold_since_us + (uint64_t)cold_ms * US_PER_MS;
	}
	hd_reply(req, object ? 200 : 400, "text/plain", "ok\n", 3);
	json_decref(object);
}

static void on_stats(struct server *server, h2o_req_t *req)
{
	char text[128];
	int len = snprintf(text, sizeof(text),
			   "{\"runs\":%" G_GUINT64_FORMAT
			   ",\"probes\":%" G_GUINT64_FORMAT
			   ",\"cancelled\":%" G_GUINT64_FORMAT "}\n",
			   server->runs, server->probes, server->cancelled);

	hd_reply(req, 200, "application/json", text, (size_t)len);
}

static void on_request(void *ctx, h2o_req_t *req)
{
	struct server *server = ctx;

	if (hd_path_is(req, "/load") || hd_path_is(req, "/health"))
		on_probe(server, req);
	else if (hd_path_is(req, "/control"))
		on_control(server, req);
	else if (hd_path_is(req, "/stats"))
		on_stats(server, req);
	else if (hd_path_is(req, "/heads"))
		hd_reply(req, 200, "text/plain", heads->str, heads->len);
	else
		on_work(server, req);
}

static bool start_server(uint32_t i, const struct nt_address *first,
			 uint32_t slots, char **zones)
{
	struct server *server = &servers[i];
	const char *colon = strrchr(first->text, ':');
	uint32_t port = (uint32_t)strtoul(colon + 1, NULL, 10) + i;
	char text[NT_TEXT_BYTES];
	struct nt_address address;
	struct st_status status;

	snprintf(text, sizeof(text), "%.*s:%u", (int)(colon - first->text),
		 first->text, port);
	if (!nt_parse(text, &address))
		return false;
	snprintf(server->name, sizeof(server->name), "%u", port);
	server->slots = slots;
	server->factor = 1;
	server->shed_queue = 1000;
	server->zone = zones[i % g_strv_length(zones)];
	if (hd_init(&server->http, &loop, &address, on_request, server,
		    &status) == ST_OK)
		return true;
	fprintf(stderr, "%s\n", status.msg);
	return false;
}

int main(int argc, char **argv)
{
	struct nt_address first;
	char **zones;

	if (argc < 6 || !nt_parse(argv[1], &first)) {
		fprintf(stderr, "usage: tool_server FIRST-ADDRESS COUNT SLOTS "
				"ZONES MEAN-US [RUN-LOG]\n");
		return 2;
	}
	server_count = (uint32_t)strtoul(argv[2], NULL, 10);
	zones = g_strsplit(argv[4], ",", 0);
	mean_service_us = strtod(argv[5], NULL);
	if (argc > 6)
		run_log = fopen(argv[6], "a");
	rng = g_rand_new_with_seed(1);
	heads = g_string_new(NULL);
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	for (uint32_t i = 0; i < server_count && i < MAX_SERVERS; i++)
		if (!start_server(i, &first,
				  (uint32_t)strtoul(argv[3], NULL, 10), zones))
			return 1;
	sweep.fire = on_sweep;
	on_sweep(NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return 0;
}
