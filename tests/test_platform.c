/*
 * Tests of the platform adapter: decoding of manifests, server entries and load
 * reports, HTTP answers, and rows relayed by other hosts.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/dialect.h"
#include "http/httpc.h"
#include "platform/dialect.h"
#include "platform/feed.h"
#include "platform/manifest.h"
#include "tests/free_port.h"
#include "tests/suite.h"

#define SERVICES                                                      \
	"\"services\":[{\"name\":\"a\",\"health-check-path\":\"/h\"," \
	"\"max-connections\":260},{\"name\":\"b\",\"max-connections\":9}]"
#define ROUTE_START                                                  \
	"{\"name\":\"r\",\"host\":\"x.example\",\"prefix\":\"/p/\"," \
	"\"route-kind\":\"unsafe\",\"timeout-s\":1.2,\"max-attempts\":2,"
#define MANIFEST(routes)                                              \
	"{\"version\":7," SERVICES ",\"routes\":[" routes "],"        \
	"\"limits\":{\"idle-timeout-s\":15,\"header-timeout-s\":2.5," \
	"\"max-header-bytes\":65536,\"max-body-bytes\":67108864}}"

static struct doc_document *decode_manifest(const char *text)
{
	struct st_status status;

	return mf_decode_manifest(text, strlen(text), &status);
}

START_TEST(manifest_is_decoded)
{
	struct doc_document *document = decode_manifest(
		MANIFEST(ROUTE_START "\"service\":\"a\"}," ROUTE_START
				     "\"backends\":[{\"service\":\"a\","
				     "\"weight\":90},{\"service\":\"b\","
				     "\"weight\":10}]}"));

	ck_assert_ptr_nonnull(document);
	ck_assert_uint_eq(document->generation, 7);
	ck_assert_uint_eq(document->idle_timeout_ms, 15000);
	ck_assert_uint_eq(document->head_timeout_ms, 2500);
	ck_assert_uint_eq(document->max_head_bytes, 65536);
	ck_assert_uint_eq(document->max_body_bytes, 67108864);
	ck_assert_uint_eq(document->route_count, 2);
	ck_assert_uint_eq(document->routes[0].timeout_ms, 1200);
	ck_assert(!document->routes[0].idempotent);
	ck_assert_uint_eq(document->routes[1].service_count, 2);
	ck_assert_uint_eq(document->routes[1].services[1].weight, 10);
	ck_assert_uint_eq(document->services[0].connections, 260);
	doc_unref(document);
}
END_TEST

static const char *const bad_manifests[] = {
	"",
	"{\"version\":7",
	"{\"version\":7}",
	"{\"version\":\"7\"," SERVICES ",\"routes\":[]}",
	MANIFEST(ROUTE_START "\"service\":\"none\"}"),
	MANIFEST("{\"name\":\"r\",\"prefix\":\"/p/\",\"route-kind\":\"safe\","
		 "\"timeout-s\":1,\"max-attempts\":2,\"service\":\"a\"}"),
	MANIFEST("{\"name\":\"r\",\"host\":\"x\",\"prefix\":\"/p/\","
		 "\"route-kind\":\"safe\",\"timeout-s\":0,\"max-attempts\":2,"
		 "\"service\":\"a\"}"),
	MANIFEST("{\"name\":\"r\",\"host\":\"x\",\"prefix\":\"/p/\","
		 "\"route-kind\":\"safe\",\"timeout-s\":1,\"max-attempts\":0,"
		 "\"service\":\"a\"}"),
	MANIFEST(ROUTE_START "\"backends\":[{\"service\":\"a\","
			     "\"weight\":-1}]}"),
};

/* Guards against a truncated or invalid manifest that comes into force. */
START_TEST(bad_manifests_are_refused)
{
	ck_assert_ptr_null(decode_manifest(bad_manifests[_i]));
}
END_TEST

/* A text of BYTES - 1 times C, in OUT. */
static const char *repeat(char c, char *out, size_t bytes)
{
	memset(out, c, bytes - 1);
	out[bytes - 1] = '\0';
	return out;
}

/*
 * Guards against a manifest that never comes into force, or that sends calls to the
 * wrong service, because of a long text in it, and against texts that are cut.
 */
START_TEST(texts_of_manifests_have_any_length)
{
	static char names[3][5001];
	static char text[40000];
	static char call[2100];
	const char *name = repeat('n', names[0], 5001);
	const char *host = repeat('h', names[1], 301);
	const char *path = repeat('p', names[2], 2001);
	struct doc_document *document;
	const struct doc_route *route;

	g_snprintf(text, sizeof(text),
		   "{\"version\":9,\"services\":[{\"name\":\"%s1\","
		   "\"max-connections\":9},{\"name\":\"%s2\","
		   "\"health-check-path\":\"/%s\",\"max-connections\":9}],"
		   "\"routes\":[{\"name\":\"%s1\",\"host\":\"%s\","
		   "\"prefix\":\"/%s/1/\",\"route-kind\":\"safe\","
		   "\"timeout-s\":1,\"max-attempts\":2,"
		   "\"service\":\"%s2\"}]}",
		   name, name, path, name, host, path, name);
	g_snprintf(call, sizeof(call), "/%s/1/a", path);
	document = decode_manifest(text);
	ck_assert_ptr_nonnull(document);
	route = doc_find_route(document, host, strlen(host), call,
			       strlen(call));
	ck_assert_ptr_nonnull(route);
	ck_assert_uint_eq(route->services[0].service, 1);
	ck_assert_uint_eq(strlen(route->name), 5001);
	ck_assert_uint_eq(strlen(document->services[1].probe_path), 2001);
	ck_assert_ptr_null(doc_find_route(document, host, strlen(host), call,
					  strlen(call) - 2));
	doc_unref(document);
}
END_TEST

/* Guards against the same because of a large number or a long list. */
START_TEST(counts_of_manifests_have_any_size)
{
	GString *text = g_string_new("{\"version\":9,\"extra\":1");
	struct doc_document *document;

	for (int i = 0; i < 40; i++)
		g_string_append_c(text, '0');
	g_string_append(text, ",\"services\":[{\"name\":\"a\","
			      "\"max-connections\":123456789012}");
	for (int i = 0; i < 3000; i++)
		g_string_append_printf(
			text, ",{\"name\":\"s%d\",\"max-connections\":1}", i);
	g_string_append(text, "],\"routes\":[");
	for (int i = 0; i < 12; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r%d\",\"host\":\"x\",\"prefix\":"
			"\"/%d/\",\"route-kind\":\"safe\",\"timeout-s\":%s,"
			"\"max-attempts\":99999999999,\"priority\":%d,"
			"\"backends\":[{\"service\":\"s2999\",\"weight\":%s},"
			"{\"service\":\"a\",\"weight\":%s}]}",
			i ? "," : "", i, i, i ? "1e9" : "0.0001", i * 150000000,
			i ? "0.75" : "9000000000", i ? "0.25" : "3000000000");
	g_string_append(text, "],\"limits\":{\"idle-timeout-s\":1e12}}");
	document = decode_manifest(text->str);
	ck_assert_ptr_nonnull(document);
	ck_assert_uint_eq(document->generation, 9);
	ck_assert_uint_eq(document->services[0].connections, UINT32_MAX);
	ck_assert_uint_eq(document->idle_timeout_ms, UINT32_MAX);
	ck_assert_uint_eq(document->max_body_bytes, 0);
	ck_assert_uint_eq(document->routes[0].timeout_ms, 1);
	ck_assert_uint_eq(document->routes[1].timeout_ms, UINT32_MAX);
	ck_assert_uint_eq(document->caller_count, 12);
	for (uint32_t i = 0; i < 12; i++) {
		const struct doc_route *route = &document->routes[i];

		ck_assert_uint_eq(route->priority, i);
		ck_assert_uint_eq(route->max_attempts, CORE_MAX_ATTEMPTS);
		ck_assert_uint_eq(route->services[0].service, 3000);
		ck_assert_uint_eq(route->services[0].weight,
				  3 * route->services[1].weight + 1);
	}
	doc_unref(document);
	g_string_free(text, TRUE);
}
END_TEST

static const struct {
	const char *text;
	bool ok;
} server_entries[] = {
	{ "{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slots\":6,\"state\":\"draining\",\"warmup-left-s\":1.5,"
	  "\"sequence\":4,\"born\":1700000000000}",
	  true },
	{ "{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slots\":6,\"state\":\"lost\",\"warmup-left-s\":0,"
	  "\"sequence\":4}",
	  false },
	{ "{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slots\":\"6\",\"state\":\"ready\",\"warmup-left-s\":0,"
	  "\"sequence\":4}",
	  false },
	{ "{\"service\":\"a\",\"address\":\"somewhere\",\"zone\":\"z\","
	  "\"slots\":6,\"state\":\"ready\",\"warmup-left-s\":0,"
	  "\"sequence\":4}",
	  false },
	{ "{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slots\":6,\"state\":\"ready\",\"warmup-left-s\":0,"
	  "\"sequence\":4,\"born\":1.5}",
	  false },
	{ "\xff\xfe", false },
};

/* Guards against using invalid entries of other writers as servers. */
START_TEST(server_entries_are_validated)
{
	struct mf_server server;
	struct st_status status;
	bool ok = mf_decode_server(server_entries[_i].text,
				   strlen(server_entries[_i].text), &server,
				   &status);

	ck_assert_int_eq(ok, server_entries[_i].ok);
	if (!ok)
		return;
	ck_assert(server.leaving);
	ck_assert_uint_eq(server.warmup_left_ms, 1500);
	ck_assert_uint_eq(server.incarnation, 1700000000000);
	mf_free_server(&server);
}
END_TEST

/* Guards against servers that are not used because of a long text or large number. */
START_TEST(server_entries_have_any_size)
{
	static char names[3001];
	static char text[8000];
	const char *name = repeat('n', names, sizeof(names));
	struct mf_server server;
	struct st_status status;

	g_snprintf(text, sizeof(text),
		   "{\"service\":\"%s\",\"address\":\"10.0.0.1:80\","
		   "\"zone\":\"%s\",\"slots\":999999999999999999,"
		   "\"state\":\"ready\",\"warmup-left-s\":1e9,"
		   "\"sequence\":4,\"born\":1700000000000}",
		   name, name);
	ck_assert(mf_decode_server(text, strlen(text), &server, &status));
	ck_assert_str_eq(server.service, name);
	ck_assert_str_eq(server.zone, name);
	ck_assert_uint_eq(server.slots, UINT32_MAX);
	ck_assert_uint_eq(server.warmup_left_ms, UINT32_MAX);
	ck_assert_uint_eq(server.heartbeats, 4);
	ck_assert_uint_eq(server.incarnation, 1700000000000);
	mf_free_server(&server);
}
END_TEST

static struct hc_header header(const char *name, const char *value)
{
	return (struct hc_header){ name, value, strlen(name), strlen(value) };
}

START_TEST(reports_are_decoded)
{
	struct hc_header load = header("Server-Load", "3,1,8,250");
	struct core_event report = { .kind = CORE_EV_REPORT };

	pd_dialect.parse_report(&load, &report);
	ck_assert_uint_eq(report.u.report.in_flight, 3);
	ck_assert_uint_eq(report.u.report.queued, 1);
	ck_assert_uint_eq(report.u.report.slots, 8);
	ck_assert_uint_eq(report.u.report.pace_percent, 250);
	load = header("Server-Load", "3,1");
	memset(&report, 0, sizeof(report));
	pd_dialect.parse_report(&load, &report);
	ck_assert_uint_eq(report.u.report.pace_percent, 0);
}
END_TEST

/* Guards against a server's rate limit that is misread, or taken for none. */
static const struct {
	const char *text; /* NULL: the answer does not have the header */
	bool limited;
	uint32_t milli_per_s;
} rate_limits[] = {
	{ "4", true, 4000 },
	{ "3.75", true, 3750 },
	{ "0", true, 0 },
	{ "0.0004", true, 0 },
	{ "1e12", true, UINT32_MAX },
	{ NULL, false, 0 },
	{ "", false, 0 },
	{ "-1", false, 0 },
	{ "nan", false, 0 },
	{ "inf", false, 0 },
	{ "4 a second", false, 0 },
	{ "1.00000000000000000000000000000000", false, 0 },
};

START_TEST(rate_limits_are_decoded)
{
	struct hc_header limit =
		header("Server-Limit",
		       rate_limits[_i].text ? rate_limits[_i].text : "");
	struct hc_head head = { .headers = &limit,
				.header_count = rate_limits[_i].text != NULL };
	struct core_event event;

	dl_parse_rate_limit(&pd_dialect, &head, &event);
	ck_assert_int_eq(event.kind, CORE_EV_RATE_LIMIT);
	ck_assert_int_eq(event.u.rate_limit.limited, rate_limits[_i].limited);
	ck_assert_uint_eq(event.u.rate_limit.milli_per_s,
			  rate_limits[_i].milli_per_s);
}
END_TEST

/*
 * Guards against reporting to a caller that its call was not run although it
 * may have been: only some answers prove that the server did not run it.
 */
START_TEST(not_run_answers_are_recognized)
{
	struct hc_header not_run = header("Not-Executed", "1");
	struct hc_head head = { .status = 503 };

	ck_assert(!dl_is_not_run(&pd_dialect, &head, NULL));
	head.headers = &not_run;
	head.header_count = 1;
	ck_assert(dl_is_not_run(&pd_dialect, &head, NULL));
	head.status = 429;
	ck_assert(dl_is_not_run(&pd_dialect, &head, NULL));
	head.status = 200;
	ck_assert(!dl_is_not_run(&pd_dialect, &head, NULL));
	head.status = DL_MISDIRECTED;
	head.header_count = 0;
	ck_assert(dl_is_not_run(&pd_dialect, &head, NULL));
	ck_assert(!dl_is_not_run(&dl_default, &head, NULL));
}
END_TEST

/* Guards against a call that is sent again because of an answer that proves nothing. */
static const struct {
	const char *values[2]; /* of Not-Executed */
	const char *server_id;
	int status;
	bool is_signed;
	bool not_run;
} refusals[] = {
	{ { "1", "1" }, "s1", 503, true, true },
	{ { "1", "0" }, "s1", 503, true, false },
	{ { "0", "1" }, "s1", 503, true, false },
	{ { "true" }, "s1", 503, false, false },
	{ { "" }, "s1", 503, false, false },
	{ { NULL }, "s2", 421, false, true },
	{ { NULL }, NULL, 421, false, true },
	{ { NULL }, "s1", 421, false, false },
	{ { NULL }, "s2", 421, true, false },
	{ { "1" }, "s2", 421, true, true },
	{ { "0" }, "s1", 421, false, false },
	{ { "0" }, "s2", 421, false, false },
};

START_TEST(refusals_that_prove_nothing_are_told_apart)
{
	struct hc_header headers[4];
	struct hc_head head = { .status = refusals[_i].status,
				.headers = headers };

	for (size_t i = 0; i < G_N_ELEMENTS(refusals[_i].values); i++)
		if (refusals[_i].values[i])
			headers[head.header_count++] =
				header("Not-Executed", refusals[_i].values[i]);
	if (refusals[_i].server_id)
		headers[head.header_count++] =
			header("Instance-Id", refusals[_i].server_id);
	if (refusals[_i].is_signed)
		headers[head.header_count++] =
			header("Response-Signature", "s");
	ck_assert_int_eq(dl_is_not_run(&pd_dialect, &head, "s1"),
			 refusals[_i].not_run);
}
END_TEST

/*
 * Tests of the HTTP client against answers that the test itself writes to the
 * socket.
 */

struct exchange {
	struct hc_request request; /* first: callbacks cast back */
	bool sent;
	bool done;
	enum hc_end end;
	GString *body;
};

static void on_sent(struct hc_request *request)
{
	((struct exchange *)request)->sent = true;
}

static bool on_accept(struct hc_request *request, const struct hc_head *head)
{
	const struct hc_header *id = hc_find_header(head, "id");

	return !id || hc_value_is(id, "mine");
}

static void on_body(struct hc_request *request, const char *data,
		    size_t data_bytes)
{
	g_string_append_len(((struct exchange *)request)->body, data,
			    (gssize)data_bytes);
}

static void on_done(struct hc_request *request, enum hc_end end,
		    const char *msg)
{
	((struct exchange *)request)->done = true;
	((struct exchange *)request)->end = end;
}

static const struct hc_handler handler = {
	.sent = on_sent,
	.accept = on_accept,
	.body = on_body,
	.done = on_done,
};

/*
 * What happens to the connection after the answer. CLOSE_AND_RESET sends an
 * orderly close (FIN) and then a reset. REPEAT sends the same bytes until the
 * client gives up.
 */
enum close_mode { STAY_OPEN, CLOSE, CLOSE_AND_RESET, REPEAT };

static const struct {
	const char *answer;
	enum close_mode close_mode;
	enum hc_end end;
	const char *body;
} exchanges[] = {
	/* The first answer is a late one to an earlier request. */
	{ "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nno"
	  "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 3\r\n\r\nyes",
	  STAY_OPEN, HC_COMPLETE, "yes" },
	{ "HTTP/1.1 200 OK\r\nid: mine\r\n\r\nyes", CLOSE, HC_COMPLETE, "yes" },
	{ "HTTP/1.1 200 OK\r\nid: mine\r\n\r\nye", CLOSE_AND_RESET, HC_BROKEN,
	  "ye" },
	{ "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 3\r\n\r\nye", CLOSE,
	  HC_BROKEN, "ye" },
	{ "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nye\r\n",
	  CLOSE, HC_BROKEN, "ye" },
	{ "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nno", CLOSE,
	  HC_NO_ANSWER, "" },
	/* Heads that are cut must not become an answer with an empty body. */
	{ "HTTP/1.1 20", CLOSE, HC_NO_ANSWER, "" },
	{ "HTTP/1.1 200 OK\r\n", CLOSE, HC_NO_ANSWER, "" },
	{ "HTTP/1.1 200 OK\r\nid: mi", CLOSE, HC_NO_ANSWER, "" },
	{ "HTTP/1.1 200 OK\r\nid: mine\r\n", CLOSE, HC_NO_ANSWER, "" },
	{ "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 1", CLOSE,
	  HC_NO_ANSWER, "" },
	{ "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 0\r\n\r", CLOSE,
	  HC_NO_ANSWER, "" },
	{ "not HTTP at all\r\n\r\n", STAY_OPEN, HC_NO_ANSWER, "" },
	{ "HTTP/1.1 103 Early\r\na: b\r\n\r\n", REPEAT, HC_NO_ANSWER, "" },
	{ "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nno", REPEAT,
	  HC_NO_ANSWER, "" },
};

static void send_answer(int fd, const char *answer, enum close_mode close_mode)
{
	size_t bytes = strlen(answer);
	char request[4096];

	/* Closing a socket that has unread data sends a reset. */
	if (close_mode != CLOSE_AND_RESET)
		ck_assert_int_gt(read(fd, request, sizeof(request)), 0);
	ck_assert_int_eq((int)write(fd, answer, bytes), (int)bytes);
	if (close_mode == CLOSE_AND_RESET)
		shutdown(fd, SHUT_WR);
	if (close_mode == CLOSE || close_mode == CLOSE_AND_RESET)
		close(fd);
}

/*
 * Guards against an incomplete answer that is passed on as a complete one,
 * against an answer that is assigned to another request, and against reading
 * for ever when a server sends bytes without end.
 */
START_TEST(answer_ends_are_classified)
{
	const char *answer = exchanges[_i].answer;
	enum close_mode close_mode = exchanges[_i].close_mode;
	struct exchange exchange = { .request.handler = &handler };
	struct tm_service timers;
	struct nt_address address;
	struct hc_pool pool;
	uv_loop_t loop;
	GString *out;
	int listener = listen_on_free_port(&address);
	int fd;

	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	hc_pool_init(&pool, &loop, &address, 1);
	exchange.body = g_string_new(NULL);
	exchange.request.may_end_with_close = true;
	out = hc_head_begin("GET", 3, "/", 1, "x");
	hc_head_end(out, NULL, 0);
	ck_assert(hc_start(&pool, &exchange.request, out));
	fd = accept(listener, NULL, NULL);
	while (!exchange.sent)
		uv_run(&loop, UV_RUN_ONCE);
	send_answer(fd, answer, close_mode);
	while (!exchange.done) {
		if (close_mode == REPEAT)
			send(fd, answer, strlen(answer),
			     MSG_DONTWAIT | MSG_NOSIGNAL);
		uv_run(&loop, UV_RUN_ONCE);
	}
	ck_assert_int_eq(exchange.end, exchanges[_i].end);
	ck_assert_str_eq(exchange.body->str, exchanges[_i].body);
	if (close_mode == STAY_OPEN || close_mode == REPEAT)
		close(fd);
	close(listener);
	hc_pool_close(&pool, NULL, NULL);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	g_string_free(exchange.body, TRUE);
}
END_TEST

/* Connections that are made, or not, while the loop is blocked. */
enum { CONNECT_TIMEOUT_US = 100 * 1000, FULL_BACKLOG = 16 };

/* Fills the backlog of LISTENER, so that it takes no further connection. */
static void fill_backlog(int listener, const struct nt_address *address,
			 int *fds)
{
	ck_assert_int_eq(listen(listener, 0), 0);
	for (uint32_t i = 0; i < FULL_BACKLOG; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (const struct sockaddr *)&address->addr,
			      nt_sockaddr_size(address));
	}
}

/*
 * Guards against a host that stood still, or was busy, and takes another one for
 * unreachable although the connection has been established meanwhile.
 */
START_TEST(connect_timeout_spares_what_is_established)
{
	struct exchange exchange = { .request.handler = &handler };
	struct tm_service timers;
	struct nt_address address;
	struct hc_pool pool;
	uv_loop_t loop;
	GString *out;
	int filling[FULL_BACKLOG];
	int listener = listen_on_free_port(&address);
	bool full = _i;

	if (full)
		fill_backlog(listener, &address, filling);
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	hc_pool_init(&pool, &loop, &address, 1);
	hc_pool_set_connect_timeout(&pool, &timers, CONNECT_TIMEOUT_US);
	out = hc_head_begin("GET", 3, "/", 1, "x");
	hc_head_end(out, NULL, 0);
	ck_assert(hc_start(&pool, &exchange.request, out));
	g_usleep(2 * CONNECT_TIMEOUT_US);
	while (!exchange.sent && !exchange.done)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert(exchange.sent == !full);
	if (full)
		ck_assert_int_eq(exchange.end, HC_NOT_SENT);
	hc_cancel(&exchange.request);
	hc_pool_close(&pool, NULL, NULL);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	for (uint32_t i = 0; full && i < FULL_BACKLOG; i++)
		close(filling[i]);
	close(listener);
}
END_TEST

/* An answer of the store that arrives a byte at a time. */
enum { SLOW_TIMEOUT_US = 200 * 1000, SLOW_PIECE_US = 100 * 1000 };

struct slow_answer {
	int fd;
	int pieces; /* left to send before TAIL */
	const char *tail;
	struct tm_service *timers;
	struct tm_sub timer;
	enum st_kind kind; /* result of the client */
	bool done;
};

static void send_piece(void *ctx)
{
	struct slow_answer *answer = ctx;

	send(answer->fd, " ", 1, MSG_NOSIGNAL);
	if (--answer->pieces)
		tm_subscribe(answer->timers, &answer->timer,
			     tm_now_us() + SLOW_PIECE_US);
	else
		send(answer->fd, answer->tail, strlen(answer->tail),
		     MSG_NOSIGNAL);
}

static void on_slow_result(void *ctx, const struct pf_result *result)
{
	struct slow_answer *answer = ctx;

	answer->kind = result->status.kind;
	answer->done = true;
}

static const struct {
	int pieces;
	enum st_kind kind;
} slow_answers[] = { { 5, ST_OK }, { 100, ST_PLATFORM } };

/*
 * Guards against giving up a large answer that is still arriving over a slow
 * link, after which it is requested anew and never arrives, and against one that
 * goes on without end.
 */
START_TEST(answer_that_is_arriving_may_take_longer)
{
	struct slow_answer answer = { .pieces = slow_answers[_i].pieces,
				      .tail = "{\"ver\":1,\"rows\":[]}" };
	struct pf_callback callback = { on_slow_result, &answer };
	struct tm_service timers;
	struct nt_address address;
	struct pf_client client;
	uv_loop_t loop;
	char head[96];
	uint64_t begin_us = tm_now_us();
	int listener = listen_on_free_port(&address);

	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	pf_init(&client, &loop, &timers, &address);
	client.timeout_us = SLOW_TIMEOUT_US;
	pf_read_rows(&client, "op", "", &callback);
	answer.fd = accept(listener, NULL, NULL);
	g_snprintf(head, sizeof(head),
		   "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n",
		   (size_t)answer.pieces + strlen(answer.tail));
	send(answer.fd, head, strlen(head), MSG_NOSIGNAL);
	answer.timers = &timers;
	answer.timer.fire = send_piece;
	answer.timer.ctx = &answer;
	send_piece(&answer);
	while (!answer.done)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(answer.kind, slow_answers[_i].kind);
	ck_assert_uint_lt(tm_now_us() - begin_us, 5 * SLOW_TIMEOUT_US);
	tm_cancel(&timers, &answer.timer);
	close(answer.fd);
	close(listener);
	pf_free(&client);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}
END_TEST

static const struct {
	const char *answer;
	enum st_kind kind;
} odd_store_answers[] = {
#define ROWS "Content-Length: 19\r\n\r\n{\"ver\":1,\"rows\":[]}"
	{ "HTTP/1.1 200\r\nStore-Era : 0\r\nX: a\r\n b\r\n" ROWS, ST_OK },
	{ "HTTP/1.1 000 Status\r\n" ROWS, ST_PLATFORM },
	{ "HTTP/1.1 0200 OK\r\n" ROWS, ST_PLATFORM },
	{ "HTTP/1.1 200 OK\r\nStore Era: 1\r\n" ROWS, ST_PLATFORM },
	{ "HTTP/1.1 200 OK\r\nStore\001Era: 1\r\n" ROWS, ST_PLATFORM },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "13\r\n{\"ver\":1,\"rows\":[]}xx0\r\n\r\n",
	  ST_PLATFORM },
#undef ROWS
};

/* Guards against rows from bytes that are no answer of the store. */
START_TEST(odd_answers_of_the_store_are_told_apart)
{
	const char *text = odd_store_answers[_i].answer;
	struct slow_answer answer = { .done = false };
	struct pf_callback callback = { on_slow_result, &answer };
	struct tm_service timers;
	struct nt_address address;
	struct pf_client client;
	uv_loop_t loop;
	int listener = listen_on_free_port(&address);

	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	pf_init(&client, &loop, &timers, &address);
	pf_read_rows(&client, "op", "", &callback);
	answer.fd = accept(listener, NULL, NULL);
	send(answer.fd, text, strlen(text), MSG_NOSIGNAL);
	while (!answer.done)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(answer.kind, odd_store_answers[_i].kind);
	close(answer.fd);
	close(listener);
	pf_free(&client);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}
END_TEST

/* A store that takes calls and answers none, as the hosts call it. */
enum {
	SILENT_TIMEOUT_US = 1000 * 1000,
	SILENT_MIN_RETRY_US = 200 * 1000,
	SILENT_MAX_RETRY_US = 800 * 1000,
	SILENT_FAILURES = 5, /* so many that the wait is the longest one */
	/*
	 * The call that the store does not answer any more ends after a second; a
	 * manifest must be in force everywhere 2 s after the store is back.
	 */
	MAX_SILENT_GAP_US = 1500 * 1000
};

/*
 * Guards against a host that waits for its call to a silent store to end, and then as
 * long again, while the store answers already.
 */
START_TEST(unanswered_call_counts_as_waiting)
{
	struct fd_feed feed = { .table = "op" };
	struct tm_service timers;
	struct nt_address address;
	struct pf_client client;
	uint64_t first_us;
	uv_loop_t loop;
	int listener = listen_on_free_port(&address);

	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	pf_init(&client, &loop, &timers, &address);
	client.timeout_us = SILENT_TIMEOUT_US;
	feed.store = &client;
	feed.timers = &timers;
	feed.random = g_rand_new_with_seed(1);
	feed.failures = SILENT_FAILURES;
	fd_init(&feed);
	fd_set_retry(&feed, SILENT_MIN_RETRY_US, SILENT_MAX_RETRY_US);
	first_us = feed.call_start_us;
	while (feed.call_start_us == first_us)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_uint_ge(feed.call_start_us - first_us, SILENT_TIMEOUT_US);
	ck_assert_uint_lt(feed.call_start_us - first_us, MAX_SILENT_GAP_US);
	close(listener);
	pf_free(&client);
	fd_free(&feed);
	g_rand_free(feed.random);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}
END_TEST

/* No change is relevant. */
static bool ignore_row(void *ctx, const struct fd_feed *feed,
		       const struct pf_row *row)
{
	return false;
}

/*
 * Guards against keeping a row that was removed from the table. A row that
 * another host relays while this host reads the table may be outdated and must
 * not count as a row of the scan.
 */
START_TEST(relayed_rows_count_only_in_a_relayed_table)
{
	const struct fd_handler handler = { .on_row = ignore_row };
	struct fd_feed feed = { .handler = &handler };
	const struct pf_row row = { .table = "servers",
				    .key = "s1",
				    .position = { .version = 3 },
				    .value = "{}",
				    .value_bytes = 2 };

	feed.rows = g_hash_table_new(g_str_hash, g_str_equal);
	feed.scanned_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fd_apply_relayed(&feed, &row);
	ck_assert_uint_eq(g_hash_table_size(feed.scanned_keys), 0);
	/* Rows of a whole table that another host relays do count. */
	feed.synced = true;
	fd_apply_relayed(&feed, &row);
	ck_assert_uint_eq(g_hash_table_size(feed.scanned_keys), 1);
	g_hash_table_destroy(feed.scanned_keys);
	g_hash_table_destroy(feed.rows);
}
END_TEST

static void ignore_batch_end(void *ctx, struct fd_feed *feed)
{
}

/*
 * Guards against a copy of the store that comes back through another host: a host
 * that has not heard of the restore yet, or one that has not read the table anew,
 * must not bring earlier rows back. A later era starts with the whole table, and
 * its versions count anew.
 */
START_TEST(later_era_goes_before_higher_version)
{
	const struct fd_handler handler = { .on_row = ignore_row,
					    .on_batch_end = ignore_batch_end };
	const struct ps_position earlier = { .era = 1, .version = 90 };
	const struct ps_position later = { .era = 2, .version = 20 };
	struct fd_feed feed = { .handler = &handler,
				.table = "op",
				.synced = true,
				.position = { .era = 1, .version = 80 } };
	struct pf_row row = { .table = "op", .key = "config" };

	ck_assert(ps_is_later(&later, &earlier));
	ck_assert(!ps_is_later(&earlier, &later));
	feed.rows = g_hash_table_new(g_str_hash, g_str_equal);
	ck_assert(!fd_may_be_copied(&feed, &row));
	ck_assert(fd_begin_relayed_table(&feed, &later));
	fd_end_relayed_table(&feed);
	ck_assert_uint_eq(feed.position.era, 2);
	ck_assert_uint_eq(feed.position.version, 20);
	ck_assert(!fd_begin_relayed_table(&feed, &earlier));
	fd_finish_relayed(&feed, &earlier, 1);
	ck_assert_uint_eq(feed.position.era, 2);
	ck_assert_uint_eq(feed.position.version, 20);
	row.position = later;
	ck_assert(fd_may_be_copied(&feed, &row));
	row.position.version++;
	ck_assert(!fd_may_be_copied(&feed, &row));
	g_hash_table_destroy(feed.rows);
}
END_TEST

/* A feed of one table, and the test as its store. */
struct outage {
	struct fd_handler handler;
	struct fd_feed feed;
	struct pf_client client;
	struct tm_service timers;
	struct nt_address address;
	uv_loop_t loop;
	GRand *random;
	int listener;
};

static void init_outage(struct outage *outage)
{
	struct fd_feed *feed = &outage->feed;

	memset(outage, 0, sizeof(*outage));
	outage->listener = listen_on_free_port(&outage->address);
	uv_loop_init(&outage->loop);
	tm_init(&outage->timers, &outage->loop);
	pf_init(&outage->client, &outage->loop, &outage->timers,
		&outage->address);
	outage->random = g_rand_new_with_seed(1);
	outage->handler.on_row = ignore_row;
	outage->handler.on_batch_end = ignore_batch_end;
	feed->table = "servers";
	feed->store = &outage->client;
	feed->timers = &outage->timers;
	feed->handler = &outage->handler;
	feed->random = outage->random;
	feed->interval_ms = 60 * 1000;
	feed->synced = true;
	feed->position =
		(struct ps_position){ .era = ps_era_of(1), .version = 5 };
	fd_init(feed);
}

static void free_outage(struct outage *outage)
{
	fd_free(&outage->feed);
	pf_free(&outage->client);
	tm_free(&outage->timers);
	uv_run(&outage->loop, UV_RUN_DEFAULT);
	uv_loop_close(&outage->loop);
	g_rand_free(outage->random);
	close(outage->listener);
}

/* Answers the next call of the feed with ROWS. Returns when the call had begun. */
static uint64_t answer_with_rows(struct outage *outage, int status, int era,
				 const char *rows)
{
	char answer[512];
	char request[4096];
	struct fd_feed *feed = &outage->feed;
	uint64_t begin_us;
	int fd;

	while (!feed->call_pending)
		uv_run(&outage->loop, UV_RUN_ONCE);
	begin_us = feed->call_start_us;
	fd = accept(outage->listener, NULL, NULL);
	while (recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0)
		uv_run(&outage->loop, UV_RUN_NOWAIT);
	g_snprintf(answer, sizeof(answer),
		   "HTTP/1.1 %d x\r\nstore-era: %d\r\nconnection: close\r\n"
		   "content-length: %zu\r\n\r\n{\"ver\":9,\"rows\":[%s]}",
		   status, era,
		   strlen("{\"ver\":9,\"rows\":[]}") + strlen(rows), rows);
	send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	/* The call ends with the answer, and may be followed by another one. */
	while (feed->call_pending && feed->call_start_us == begin_us)
		uv_run(&outage->loop, UV_RUN_ONCE);
	close(fd);
	return begin_us;
}

static uint64_t answer_call(struct outage *outage, int status, int era)
{
	return answer_with_rows(outage, status, era, "");
}

/* Every change is relevant. */
static bool take_row(void *ctx, const struct fd_feed *feed,
		     const struct pf_row *row)
{
	return true;
}

/*
 * Guards against a server that is in use again although it is known to leave: an answer of
 * the store arrives after another host has relayed a later state of the row.
 */
START_TEST(answer_that_was_overtaken_brings_no_earlier_row_back)
{
	static const char earlier[] =
		"{\"table\":\"servers\",\"part\":\"\",\"key\":\"s1\","
		"\"ver\":7,\"value\":\"b2xk\"}";
	struct pf_row later = { .table = "servers",
				.key = "s1",
				.position = { ps_era_of(1), 8 },
				.value = "new",
				.value_bytes = 3 };
	const struct fd_row *row;
	struct outage outage;

	init_outage(&outage);
	outage.handler.on_row = take_row;
	fd_apply_relayed(&outage.feed, &later);
	answer_with_rows(&outage, 200, 1, earlier);
	row = g_hash_table_lookup(outage.feed.rows, "s1");
	ck_assert_uint_eq(row->position.version, 8);
	ck_assert_str_eq(row->value, "new");
	free_outage(&outage);
}
END_TEST

/*
 * What another host relays after a call of this host has failed, and what the store
 * answers then. FROM_EARLIER: the other host had read the store before that.
 */
enum relayed { NOTHING, FROM_EARLIER, FROM_LATER };

static const struct {
	enum relayed relayed;
	bool fails_again;
	int era;
	bool known_end; /* the outage ended when the other host read the store */
} outages[] = {
	{ NOTHING, false, 1, false },
	{ FROM_EARLIER, false, 1, false },
	{ FROM_LATER, false, 1, true },
	{ FROM_LATER, true, 1, false },
	/* The store has come back from a copy. */
	{ FROM_LATER, false, 2, false },
};

/*
 * Guards against a server that gets calls long after its entry was removed. A host
 * that could not read the store gets the rows from another host, and reads the store
 * again much later. The outage did not last until then, so entries that are missing
 * have not lapsed because of it. It did if no other host has read the store since, or
 * if what is missing may be missing from a copy.
 */
START_TEST(outage_ends_when_another_host_reads_the_store)
{
	struct outage outage;
	struct fd_feed *feed = &outage.feed;
	uint64_t begin_us;
	uint64_t read_us;

	init_outage(&outage);
	begin_us = answer_call(&outage, 503, 1);
	ck_assert_uint_eq(feed->failures, 1);
	read_us =
		outages[_i].relayed == FROM_LATER ? tm_now_us() + 1 : begin_us;
	if (outages[_i].relayed != NOTHING)
		fd_finish_relayed(feed, &feed->position, read_us);
	ck_assert_uint_eq(feed->recovered_us, 0);
	if (outages[_i].fails_again)
		answer_call(&outage, 503, 1);
	begin_us = answer_call(&outage, 200, outages[_i].era);
	if (outages[_i].era > 1)
		answer_call(&outage, 200, outages[_i].era);
	ck_assert_uint_eq(feed->failures, 0);
	if (outages[_i].known_end)
		ck_assert_uint_eq(feed->recovered_us, read_us);
	else
		ck_assert_uint_ge(feed->recovered_us, begin_us);
	free_outage(&outage);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("platform");

	tcase_add_test(tests, manifest_is_decoded);
	tcase_add_loop_test(tests, bad_manifests_are_refused, 0,
			    G_N_ELEMENTS(bad_manifests));
	tcase_add_loop_test(tests, server_entries_are_validated, 0,
			    G_N_ELEMENTS(server_entries));
	tcase_add_test(tests, texts_of_manifests_have_any_length);
	tcase_add_test(tests, counts_of_manifests_have_any_size);
	tcase_add_test(tests, server_entries_have_any_size);
	tcase_add_test(tests, reports_are_decoded);
	tcase_add_loop_test(tests, rate_limits_are_decoded, 0,
			    G_N_ELEMENTS(rate_limits));
	tcase_add_test(tests, not_run_answers_are_recognized);
	tcase_add_loop_test(tests, refusals_that_prove_nothing_are_told_apart,
			    0, G_N_ELEMENTS(refusals));
	tcase_add_loop_test(tests, answer_ends_are_classified, 0,
			    G_N_ELEMENTS(exchanges));
	tcase_add_loop_test(tests, connect_timeout_spares_what_is_established,
			    0, 2);
	tcase_add_loop_test(tests, answer_that_is_arriving_may_take_longer, 0,
			    G_N_ELEMENTS(slow_answers));
	tcase_add_loop_test(tests, odd_answers_of_the_store_are_told_apart, 0,
			    G_N_ELEMENTS(odd_store_answers));
	tcase_add_test(tests, unanswered_call_counts_as_waiting);
	tcase_add_test(tests, relayed_rows_count_only_in_a_relayed_table);
	tcase_add_test(tests, later_era_goes_before_higher_version);
	tcase_add_test(tests,
		       answer_that_was_overtaken_brings_no_earlier_row_back);
	tcase_add_loop_test(tests,
			    outage_ends_when_another_host_reads_the_store, 0,
			    G_N_ELEMENTS(outages));
	return suite_run_case("platform", tests, CK_FORK_GETENV);
}
