/*
 * Tests of peer/host_message.c and gateway/forward_answer.c. Guards against a call that a
 * host passes on being read as a message of that host, by its path, method or headers, and
 * against an answer of a host's own that is taken for a server's.
 */
#include <string.h>
#include <unistd.h>

#include "gateway/forward.h"
#include "http/httpd.h"
#include "platform/dialect.h"
#include "tests/free_port.h"
#include "tests/suite.h"

enum { TURNS = 2000, US_PER_TURN = 1000, US_PER_S = 1000 * 1000 };

/* A listener for other hosts; what it got last. */
static struct {
	uv_loop_t loop;
	struct hd_server http;
	struct nt_address address;
	uint32_t requests;
	enum hm_kind kind;
	bool unwrapped;
	GString *call; /* method, target, authority, headers, body */
} host;

static void append(h2o_iovec_t text, const char *end)
{
	g_string_append_len(host.call, text.base, (gssize)text.len);
	g_string_append(host.call, end);
}

static void record_call(const h2o_req_t *req)
{
	append(req->method, " ");
	append(req->path, " ");
	append(req->authority, "\n");
	for (size_t i = 0; i < req->headers.size; i++) {
		append(*req->headers.entries[i].name, ": ");
		append(req->headers.entries[i].value, "\n");
	}
	append(req->entity, "");
}

static void on_request(void *ctx, h2o_req_t *req)
{
	host.requests++;
	host.kind = hm_kind(req);
	host.unwrapped = host.kind == HM_CALL && hm_unwrap_call(req);
	g_string_truncate(host.call, 0);
	record_call(req);
	hd_reply(req, 204, "text/plain", "", 0);
}

static void setup(void)
{
	struct st_status status;

	uv_loop_init(&host.loop);
	host.call = g_string_new(NULL);
	close(listen_on_free_port(&host.address));
	ck_assert_int_eq(hd_init(&host.http, &host.loop, &host.address,
				 on_request, NULL, &status),
			 ST_OK);
}

/* Sends the bytes on a connection of their own and waits until they are read. */
static void send_bytes(const char *bytes, size_t count)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint32_t before = host.requests;

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&host.address.addr,
				 sizeof(struct sockaddr_in)),
			 0);
	ck_assert_int_eq(send(fd, bytes, count, 0), (ssize_t)count);
	for (uint32_t i = 0; i < TURNS && host.requests == before; i++) {
		uv_run(&host.loop, UV_RUN_NOWAIT);
		g_usleep(US_PER_TURN / 10);
	}
	ck_assert_uint_eq(host.requests, before + 1);
	close(fd);
}

static const char *const methods[] = { "GET", "POST", "PUT", "HEAD", "DELETE" };

static const char *const targets[] = {
	"/",
	"/alert",
	"/alert?call=1",
	"/alert?block=00",
	"/alert?blocks=1",
	"/alert/",
	"//alert",
	"/%61lert",
	"/x/../alert",
	"/x/%2e%2e/alert?call=1",
	"/quota",
	"/quota?x",
	"/x/../quota",
	"/changes",
	"/changes?op=0",
	"/hosts",
	"/metrics",
	"/x?a=/alert",
};

/* Headers of a caller that imitate those of hosts. */
#define FALSE_HEADERS                                                         \
	"c-host: other\r\nc-c-host: third\r\ncall-method: GET\r\n"            \
	"call-target: /quota\r\nx-call-host: h9\r\nx-call-customer: acme\r\n" \
	"x-entry-customer: acme\r\nX-Entry-Host: h9\r\nx-entry-unable: 1\r\n"
/* Those that only hosts use are dropped. */
#define LEFT_HEADERS                                              \
	"c-host: other\nc-c-host: third\ncall-method: GET\n"      \
	"call-target: /quota\nx-call-host: h9\nx-call-customer: " \
	"acme\n"
#define BODY "POST /alert?call=1 HTTP/1.1\r\ncall-target: /quota\r\n\r\n"

static GString *call_head(const char *method, const char *target)
{
	GString *head = g_string_new(NULL);

	hc_head_line(head, method, strlen(method), target, strlen(target));
	g_string_append(head, FALSE_HEADERS "host: x.example\r\n");
	return head;
}

/* What is unwrapped is what the caller sent, byte for byte. */
START_TEST(wrapped_call_is_a_call_and_keeps_its_bytes)
{
	const char *target = targets[_i];

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		GString *head = call_head(methods[i], target);
		GString *out = hm_wrap_call(head, "127.0.0.1:1");
		char *expected = g_strdup_printf(
			"%s %s x.example\n" LEFT_HEADERS
			"x-entry-host: h1\nx-entry-waited-ms: 7\n" BODY,
			methods[i], target);

		hm_add_field(out, HM_FROM_HOST, "h1", 2);
		hm_add_field(out, GW_WAITED, "7", 1);
		hc_head_end(out, BODY, strlen(BODY));
		send_bytes(out->str, out->len);
		ck_assert_int_eq(host.kind, HM_CALL);
		ck_assert(host.unwrapped);
		ck_assert_str_eq(host.call->str, expected);
		g_free(expected);
		g_string_free(out, TRUE);
		g_string_free(head, TRUE);
	}
}
END_TEST

/* Hosts of earlier builds add their name and change nothing else. */
START_TEST(call_of_an_earlier_build_is_a_call)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		GString *out = g_string_new(NULL);

		hc_head_line(out, methods[i], strlen(methods[i]), targets[_i],
			     strlen(targets[_i]));
		g_string_append(out,
				"call-method: GET\r\ncall-target: /a\r\n"
				"c-x: y\r\nhost: x.example\r\n" HM_FROM_HOST
				": h1\r\n");
		hc_head_end(out, BODY, strlen(BODY));
		send_bytes(out->str, out->len);
		ck_assert_int_eq(host.kind, HM_EARLIER_CALL);
		g_string_free(out, TRUE);
	}
}
END_TEST

static const struct {
	const char *line;
	enum hm_kind kind;
} messages[] = {
	{ "GET /changes?op=1", HM_POLL },
	{ "GET /alert", HM_ALERT },
	{ "GET /alert?blocks=1", HM_ALERT },
	{ "POST /quota", HM_QUOTA },
	{ "POST /hosts", HM_HOSTS },
	{ "GET /hosts", HM_NONE },
	{ "POST /alert?call=1", HM_CALL },
	/* Spellings that a message never has */
	{ "POST /changes", HM_NONE },
	{ "POST /alert", HM_NONE },
	{ "POST /alert?call=1&x", HM_NONE },
	{ "POST /x/../alert?call=1", HM_NONE },
	{ "GET /quota", HM_NONE },
	{ "POST /quota?x", HM_NONE },
	{ "GET /x/../alert", HM_NONE },
	{ "GET /%61lert", HM_NONE },
	{ "GET /alerts", HM_NONE },
	{ "GET /", HM_NONE },
};

START_TEST(message_is_one_by_its_bytes)
{
	char *text = g_strdup_printf(
		"%s HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n",
		messages[_i].line);

	send_bytes(text, strlen(text));
	ck_assert_int_eq(host.kind, messages[_i].kind);
	ck_assert(!host.unwrapped); /* one without a target holds no call */
	g_free(text);
}
END_TEST

START_TEST(paths_of_messages_of_earlier_builds_are_known)
{
	static const char *const misread[] = { "/alert",	 "/alert?x=1",
					       "/x/../alert",	 "/%61lert",
					       "/./quota",	 "/quota?x=%2e",
					       "/x/%2e%2e/quota" };
	static const char *const others[] = { "/",	     "/alert/",
					      "/alerts",     "/quotas",
					      "/x/alert",    "/changes",
					      "/x?/../alert" };

	for (size_t i = 0; i < G_N_ELEMENTS(misread); i++)
		ck_assert(hm_is_message_of_earlier(misread[i],
						   strlen(misread[i])));
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		ck_assert(!hm_is_message_of_earlier(others[i],
						    strlen(others[i])));
}
END_TEST

/* The listener would refuse a head with more lines, as if the host had. */
START_TEST(head_with_too_many_lines_is_not_wrapped)
{
	GString *head = call_head("GET", "/");
	uint32_t lines = 0;
	GString *out;

	for (const char *at = head->str; (at = strchr(at, '\n')); at++)
		lines++;
	for (; (out = hm_wrap_call(head, "a:1")); lines++) {
		ck_assert_uint_le(lines, HM_MAX_CALL_LINES);
		g_string_append(head, "a: b\r\n");
		g_string_free(out, TRUE);
	}
	ck_assert_uint_eq(lines, HM_MAX_CALL_LINES + 1);
	g_string_free(head, TRUE);
}
END_TEST

#define SIGNED	 "response-signature: s\r\n"
#define OWN_ID	 "attempt-id: id-1\r\n"
#define BY(mark) HM_ANSWER ": " mark "\r\n"

static const struct {
	const char *text; /* status, then headers */
	bool wrapped;
	enum gw_answer_source source;
	enum st_kind kind;
} answers[] = {
	{ "200\r\n" SIGNED BY("server"), true, GW_BY_SERVER, ST_OK },
	{ "500\r\n" OWN_ID BY("server"), true, GW_BY_SERVER, ST_OK },
	/* No success without the signature, whoever claims it */
	{ "200\r\n" OWN_ID BY("server"), true, GW_BY_STRANGER, ST_OK },
	{ "200\r\n" SIGNED, true, GW_BY_STRANGER, ST_OK },
	{ "200\r\ncontent-length: 3\r\n", true, GW_BY_STRANGER, ST_OK },
	{ "200\r\ncontent-length: 9\r\n", true, GW_BY_EARLIER, ST_OK },
	{ "503\r\n" BY("queue-full"), true, GW_BY_HOST, ST_QUEUE_FULL },
	{ "503\r\n" BY("of a later build"), true, GW_BY_HOST, ST_NO_SERVER },
	{ "502\r\n" BY("outcome-unknown"), true, GW_BY_HOST, ST_UNKNOWN },
	{ "502\r\n" BY("of a later build"), true, GW_BY_HOST, ST_UNKNOWN },
	{ "504\r\n" BY("deadline-unknown"), true, GW_BY_HOST,
	  ST_DEADLINE_UNKNOWN },
	/* A signature does not make a host's refusal a server's answer. */
	{ "503\r\n" SIGNED BY("no-server"), true, GW_BY_HOST, ST_NO_SERVER },
	{ "503\r\n" BY("no-server") GW_UNABLE ": 1\r\n", true, GW_BY_UNABLE,
	  ST_OK },
	/* By the library, before a host has read the call */
	{ "400\r\n", true, GW_BY_HOST, ST_INVALID },
	{ "413\r\n", true, GW_BY_HOST, ST_TOO_LARGE },
	/* By the listener of a host, before it has read the call */
	{ "503\r\nx-request-outcome: not-run\r\n", true, GW_BY_HOST,
	  ST_NO_SERVER },
	{ "408\r\nx-request-outcome: not-run\r\n", true, GW_BY_HOST,
	  ST_NO_SERVER },
	/* By whoever answers there; it may have run something */
	{ "503\r\n", true, GW_BY_STRANGER, ST_OK },
	{ "503\r\n" SIGNED OWN_ID, true, GW_BY_STRANGER, ST_OK },
	{ "503\r\nx-request-outcome: unknown\r\n", true, GW_BY_STRANGER,
	  ST_OK },
	{ "429\r\n" OWN_ID, true, GW_BY_STRANGER, ST_OK },
	{ "408\r\n", true, GW_BY_STRANGER, ST_OK },
	{ "421\r\n", true, GW_BY_STRANGER, ST_OK },
	/* Of earlier builds, which mark nothing */
	{ "200\r\n" SIGNED, false, GW_BY_SERVER, ST_OK },
	{ "404\r\n" OWN_ID, false, GW_BY_SERVER, ST_OK },
	{ "200\r\n" OWN_ID, false, GW_BY_STRANGER, ST_OK },
	{ "204\r\n", false, GW_BY_STRANGER, ST_OK },
	{ "302\r\n", false, GW_BY_STRANGER, ST_OK },
	{ "404\r\n", false, GW_BY_HOST, ST_NOT_FOUND },
	{ "429\r\n", false, GW_BY_HOST, ST_OVER_QUOTA },
	{ "503\r\n", false, GW_BY_HOST, ST_NO_SERVER },
	{ "503\r\n" GW_UNABLE ": 1\r\n", false, GW_BY_UNABLE, ST_OK },
	{ "502\r\n", false, GW_BY_HOST, ST_UNKNOWN },
	{ "504\r\n", false, GW_BY_HOST, ST_DEADLINE_UNKNOWN },
};

/* Splits the lines after the status into HEADERS; returns their number. */
static uint32_t split_headers(char **lines, struct hc_header *headers,
			      struct hc_head *head)
{
	uint32_t count = 0;

	for (char **line = lines + 1; *line && **line; line++) {
		char *colon = strchr(*line, ':');
		struct hc_header *h = &headers[count++];

		h->name = *line;
		h->name_bytes = (size_t)(colon - *line);
		h->value = colon + 2;
		h->value_bytes = strlen(h->value);
		if (g_str_has_prefix(*line, "content-length"))
			head->content_length = strtoull(h->value, NULL, 10);
	}
	return count;
}

START_TEST(answer_is_a_servers_only_if_it_shows_so)
{
	struct hc_header headers[4];
	struct hc_head head = { .headers = headers,
				.content_length = UINT64_MAX };
	char **lines = g_strsplit(answers[_i].text, "\r\n", 0);
	struct gw_host_answer answer;

	head.status = atoi(lines[0]);
	head.header_count = split_headers(lines, headers, &head);
	answer = gw_read_host_answer(&pd_dialect, &head, "id-1",
				     answers[_i].wrapped);
	ck_assert_int_eq(answer.source, answers[_i].source);
	ck_assert_int_eq(answer.kind, answers[_i].kind);
	g_strfreev(lines);
}
END_TEST

/* Else callers would come back too early. */
START_TEST(time_to_come_back_is_passed_on)
{
	struct hc_header headers[] = {
		{ HM_ANSWER, "over-quota", strlen(HM_ANSWER), 10 },
		{ "retry-after", "1.250", 11, 5 },
	};
	struct hc_head head = { 429, headers, G_N_ELEMENTS(headers), 0 };
	struct gw_host_answer answer =
		gw_read_host_answer(&pd_dialect, &head, NULL, true);

	ck_assert_int_eq(answer.kind, ST_OVER_QUOTA);
	ck_assert_uint_eq(answer.retry_us, 5 * US_PER_S / 4);
	headers[1].value = "never";
	answer = gw_read_host_answer(&pd_dialect, &head, NULL, true);
	ck_assert_uint_eq(answer.retry_us, 0);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("host_message");

	tcase_add_checked_fixture(tests, setup, NULL);
	tcase_add_loop_test(tests, wrapped_call_is_a_call_and_keeps_its_bytes,
			    0, G_N_ELEMENTS(targets));
	tcase_add_loop_test(tests, call_of_an_earlier_build_is_a_call, 0,
			    G_N_ELEMENTS(targets));
	tcase_add_loop_test(tests, message_is_one_by_its_bytes, 0,
			    G_N_ELEMENTS(messages));
	tcase_add_test(tests, paths_of_messages_of_earlier_builds_are_known);
	tcase_add_test(tests, head_with_too_many_lines_is_not_wrapped);
	tcase_add_loop_test(tests, answer_is_a_servers_only_if_it_shows_so, 0,
			    G_N_ELEMENTS(answers));
	tcase_add_test(tests, time_to_come_back_is_passed_on);
	return suite_run_case("host_message", tests, CK_FORK_GETENV);
}
