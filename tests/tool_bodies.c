/*
 * Callers that send large, endless or unfinished requests, and a server that takes
 * bodies of any size.
 *
 * usage: tool_bodies server ADDRESS ID
 *        tool_bodies send ADDRESS KIND COUNT BYTES SECONDS
 * The server answers as one of the users' platform, with the size of the body; it waits
 * for X-Work milliseconds before it reads the body. "send" opens COUNT connections at a
 * time and prints a line for each: the status of the answer or "none"; whether the answer
 * has a Retry-After ("retry" or "-"); and how the connection ended ("eof", "reset", or
 * "open" after SECONDS).
 * Kinds of request, with a body or head of BYTES:
 *   length-short  announced, the last byte is missing
 *   chunks-short  chunks of CHUNK_BYTES, the last byte is missing
 *   tiny-short    chunks of one byte, the end is missing
 *   whole         announced and whole
 *   chunks        chunks of CHUNK_BYTES and whole
 *   expect        announced with "expect: 100-continue" and whole
 *   slow-body     announced, the body comes byte by byte
 *   head-many     many short headers, without an end
 *   head-long     one header, without an end
 *   head-slow     one byte of the head at a time
 *   head-frames   HTTP/2: a head in many frames, without an end
 *   streams       HTTP/2: STREAM_COUNT streams with bodies that do not end
 *   trailers      one chunk, then trailers without an end
 *   leave         announced and whole; the caller leaves with a reset
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>

#include "base/net.h"
#include "tests/raw_io.h"

enum {
	FRAME_DATA = 0,
	FRAME_HEADERS = 1,
	FRAME_SETTINGS = 4,
	FRAME_CONTINUATION = 9,
	FLAG_END_HEADERS = 4,
	FRAME_BYTES = 15000,
	STREAM_FRAMES = 4,
	STREAM_COUNT = 100,
	BYTE_BITS = 8
};
enum {
	BACKLOG = 512,
	CHUNK_BYTES = 64 * 1024,
	SLOW_MS = 50,
	US_PER_MS = 1000,
	US_PER_S = 1000 * 1000,
	SETTLE_MS = 200
};

static const char *server_id;

/* What a caller sends: BEGIN, then REPEAT as often as BYTES ask, then END. */
struct kind {
	const char *name;
	const char *fields;
	const char *unit; /* NULL: chunks of CHUNK_BYTES */
	const char *end;
	size_t missing; /* bytes left out at the end */
	bool announced;
	bool slow;
	bool leaves;
	enum { HTTP1, HEAD, STREAMS } http2; /* what is sent over HTTP/2 */
};

#define CHUNKED "transfer-encoding: chunked\r\n\r\n"

static const struct kind kinds[] = {
	{ "length-short", "\r\n", "b", "", .missing = 1, .announced = true },
	{ "chunks-short", CHUNKED, NULL, "0\r\n\r\n", .missing = 1 },
	{ "tiny-short", CHUNKED, "1\r\nb\r\n", "", .missing = 0 },
	{ "whole", "\r\n", "b", "", .missing = 0, .announced = true },
	{ "chunks", CHUNKED, NULL, "0\r\n\r\n", .missing = 0 },
	{ "expect", "expect: 100-continue\r\n\r\n", "b", "", .missing = 0,
	  .announced = true },
	{ "slow-body", "\r\n", "b", "", .missing = 0, .announced = true,
	  .slow = true },
	{ "head-many", "", "a: b\r\n", "", .missing = 0 },
	{ "head-long", "a: ", "b", "", .missing = 0 },
	{ "head-slow", "a: ", "b", "", .missing = 0, .slow = true },
	{ "head-frames", "", "", "", .missing = 0, .http2 = HEAD },
	{ "streams", "", "", "", .missing = 0, .http2 = STREAMS },
	{ "trailers", CHUNKED "1\r\nb\r\n0\r\n", "a: b\r\n", "", .missing = 0 },
	{ "leave", "x-work: 500\r\n\r\n", "b", "", .missing = 0,
	  .announced = true, .leaves = true },
};

struct caller {
	const struct kind *kind;
	struct nt_address address;
	size_t bytes;
	int seconds;
	int number;
	int fd;
	char answer[4096];
	size_t answer_bytes;
	const char *end;
	gint64 end_us;
};

/* Reads what there is; returns false once the connection has ended. */
static bool read_answer(struct caller *caller, int timeout_ms)
{
	struct pollfd poll_fd = { .fd = caller->fd, .events = POLLIN };
	char data[4096];
	size_t room;
	ssize_t n;

	if (caller->end || poll(&poll_fd, 1, timeout_ms) <= 0)
		return !caller->end;
	n = recv(caller->fd, data, sizeof(data), MSG_DONTWAIT);
	if (n < 0 && errno == EAGAIN)
		return true;
	if (n <= 0) {
		caller->end = n ? "reset" : "eof";
		return false;
	}
	room = sizeof(caller->answer) - 1 - caller->answer_bytes;
	memcpy(caller->answer + caller->answer_bytes, data,
	       MIN((size_t)n, room));
	caller->answer_bytes += MIN((size_t)n, room);
	return true;
}

/* Sends all, and reads on while the other side does not take it. */
static bool push(struct caller *caller, const char *data, size_t bytes)
{
	while (bytes) {
		struct pollfd poll_fd = { .fd = caller->fd, .events = POLLOUT };
		ssize_t n;

		if (g_get_monotonic_time() > caller->end_us)
			return false;
		poll(&poll_fd, 1, SLOW_MS);
		n = send(caller->fd, data, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return false;
		if (n > 0) {
			data += n;
			bytes -= (size_t)n;
		} else if (!read_answer(caller, 0)) {
			return false;
		}
	}
	return true;
}

static bool push_slowly(struct caller *caller, const char *data, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if (!push(caller, data + i, 1) || !read_answer(caller, SLOW_MS))
			return false;
	return true;
}

/* A frame of HTTP/2; DATA: NULL for zeros. */
static void append_frame(GString *out, int type, int flags, uint32_t stream,
			 const char *data, uint32_t bytes)
{
	const uint32_t length = htonl(bytes << BYTE_BITS | (uint32_t)type);
	const uint32_t id = htonl(stream);
	size_t at;

	g_string_append_len(out, (const char *)&length, sizeof(length));
	g_string_append_c(out, (char)flags);
	g_string_append_len(out, (const char *)&id, sizeof(id));
	at = out->len;
	g_string_set_size(out, at + bytes);
	if (data)
		memcpy(out->str + at, data, bytes);
	else
		memset(out->str + at, 0, bytes);
}

static void append_preface(GString *out)
{
	g_string_append(out, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
	append_frame(out, FRAME_SETTINGS, 0, 0, NULL, 0);
}

/* POST http://x.example/desk/a, and a body that fits into the first window. */
static void append_stream(GString *out, uint32_t stream)
{
	static const char head[] = "\x83\x86\x41\x09x.example\x44\x07/desk/a";

	append_frame(out, FRAME_HEADERS, FLAG_END_HEADERS, stream, head,
		     sizeof(head) - 1);
	for (int i = 0; i < STREAM_FRAMES; i++)
		append_frame(out, FRAME_DATA, 0, stream, NULL, FRAME_BYTES);
}

static GString *fill_http2(const struct kind *kind)
{
	GString *block = g_string_new(NULL);

	append_preface(block);
	if (kind->http2 == STREAMS)
		for (uint32_t i = 0; i < STREAM_COUNT; i++)
			append_stream(block, 2 * i + 1);
	else
		append_frame(block, FRAME_HEADERS, 0, 1, NULL, FRAME_BYTES);
	return block;
}

/* Sends the streams, or a head in frames until BYTES are sent. */
static void send_http2(struct caller *caller)
{
	GString *block = fill_http2(caller->kind);
	size_t sent = 0;
	bool ok = push(caller, block->str, block->len);

	g_string_truncate(block, 0);
	append_frame(block, FRAME_CONTINUATION, 0, 1, NULL, FRAME_BYTES);
	while (ok && caller->kind->http2 == HEAD && sent < caller->bytes) {
		ok = push(caller, block->str, block->len);
		sent += block->len;
	}
	g_string_free(block, TRUE);
}

/* Units of the kind that fill a block. */
static GString *fill_block(const struct kind *kind)
{
	GString *block = g_string_new(NULL);

	if (!kind->unit) {
		g_string_append_printf(block, "%x\r\n", CHUNK_BYTES);
		g_string_set_size(block, block->len + CHUNK_BYTES);
		g_string_append(block, "\r\n");
		return block;
	}
	while (block->len < CHUNK_BYTES)
		g_string_append(block, kind->unit);
	return block;
}

static bool push_units(struct caller *caller, size_t left)
{
	const struct kind *kind = caller->kind;
	GString *block = fill_block(kind);
	bool ok = true;

	while (ok && left) {
		size_t part = MIN(left, kind->unit ? block->len : CHUNK_BYTES);
		size_t bytes = kind->unit ? part : block->len;

		ok = kind->slow ? push_slowly(caller, block->str, bytes) :
				  push(caller, block->str, bytes);
		left -= part;
	}
	g_string_free(block, TRUE);
	return ok;
}

static void send_request(struct caller *caller)
{
	const struct kind *kind = caller->kind;
	GString *head = g_string_new(NULL);
	size_t unit_missing = kind->announced ? kind->missing : 0;
	size_t end_bytes =
		strlen(kind->end) - (kind->announced ? 0 : kind->missing);

	g_string_printf(head,
			"POST /desk/a HTTP/1.1\r\nhost: x.example\r\n"
			"attempt-id: b-%d-%d\r\ndeadline-ms: 5000\r\n",
			getpid(), caller->number);
	if (kind->announced)
		g_string_append_printf(head, "content-length: %zu\r\n",
				       caller->bytes);
	g_string_append(head, kind->fields);
	if (push(caller, head->str, head->len) &&
	    push_units(caller, caller->bytes - unit_missing))
		push(caller, kind->end, end_bytes);
	g_string_free(head, TRUE);
}

/* The final answer, after interim ones. */
static const char *find_answer(const struct caller *caller)
{
	const char *at = caller->answer;

	while (g_str_has_prefix(at, "HTTP/1.1 1")) {
		at = strstr(at, "\r\n\r\n");
		if (!at)
			return "";
		at += strlen("\r\n\r\n");
	}
	return at;
}

static void *run_caller(void *arg)
{
	struct caller *caller = arg;
	struct linger reset = { .l_onoff = 1 };
	const char *answer;
	int status_bytes;
	char *retry;

	caller->end_us =
		g_get_monotonic_time() + (gint64)caller->seconds * US_PER_S;
	caller->fd = socket(caller->address.addr.ss_family, SOCK_STREAM, 0);
	if (connect(caller->fd, (struct sockaddr *)&caller->address.addr,
		    nt_sockaddr_size(&caller->address)))
		fail("connect");
	if (caller->kind->http2)
		send_http2(caller);
	else
		send_request(caller);
	if (caller->kind->leaves) {
		g_usleep(SETTLE_MS * US_PER_MS);
		setsockopt(caller->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		close(caller->fd);
		return NULL;
	}
	while (g_get_monotonic_time() < caller->end_us &&
	       read_answer(caller, SLOW_MS))
		;
	answer = find_answer(caller);
	status_bytes = g_str_has_prefix(answer, "HTTP/1.1 ") ? 3 : 4;
	retry = find_field(answer, "retry-after");
	printf("%.*s %s %s\n", status_bytes,
	       status_bytes == 3 ? answer + 9 : "none", *retry ? "retry" : "-",
	       caller->end ? caller->end : "open");
	g_free(retry);
	close(caller->fd);
	return NULL;
}

static int run_callers(const struct caller *model, int count)
{
	pthread_t *threads = g_new0(pthread_t, count);
	struct caller *callers = g_new0(struct caller, count);

	for (int i = 0; i < count; i++) {
		callers[i] = *model;
		callers[i].number = i;
		if (pthread_create(&threads[i], NULL, run_caller, &callers[i]))
			fail("pthread_create");
	}
	for (int i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	g_free(threads);
	g_free(callers);
	return 0;
}

/* Takes a body of that size, of which HAVE bytes came with the head. */
static size_t take_body(int fd, size_t have, size_t bytes)
{
	static __thread char data[CHUNK_BYTES];

	while (have < bytes) {
		ssize_t n = recv(fd, data, MIN(sizeof(data), bytes - have), 0);

		if (n <= 0)
			return have;
		have += (size_t)n;
	}
	return have;
}

static bool answer_request(int fd, const char *head, size_t have)
{
	char *id = find_field(head, "attempt-id");
	char *length = find_field(head, "content-length");
	char *work = find_field(head, "x-work");
	size_t bytes = g_ascii_strtoull(length, NULL, 10);
	char *body;
	char *text;
	bool ok = false;

	g_usleep(g_ascii_strtoull(work, NULL, 10) * US_PER_MS);
	if (take_body(fd, have, bytes) == bytes) {
		body = g_strdup_printf("%zu\n", bytes);
		text = g_strdup_printf(
			"HTTP/1.1 200 OK\r\n%s%s%sinstance-id: %s\r\n"
			"response-signature: signed\r\n"
			"server-load: 0,0,100,100\r\n"
			"content-length: %zu\r\n\r\n%s",
			*id ? "attempt-id: " : "", id, *id ? "\r\n" : "",
			server_id, strlen(body), body);
		ok = write_text(fd, text);
		g_free(text);
		g_free(body);
	}
	g_free(work);
	g_free(length);
	g_free(id);
	return ok;
}

static void *serve_connection(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	char head[CHUNK_BYTES];
	size_t bytes = 0;
	ssize_t n;

	while ((n = recv(fd, head + bytes, sizeof(head) - 1 - bytes, 0)) > 0) {
		char *end;

		bytes += (size_t)n;
		head[bytes] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end)
			continue;
		end += strlen("\r\n\r\n");
		n = head + bytes - end;
		bytes = 0;
		if (!answer_request(fd, head, (size_t)n))
			break;
	}
	close(fd);
	return NULL;
}

static const struct kind *find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	return NULL;
}

int main(int argc, char **argv)
{
	struct caller model = { 0 };
	bool server = argc == 4 && !strcmp(argv[1], "server");

	model.kind = argc == 7 ? find_kind(argv[3]) : NULL;
	if ((!server && !model.kind) || !nt_parse(argv[2], &model.address)) {
		fprintf(stderr,
			"usage: tool_bodies server ADDRESS ID\n"
			"       tool_bodies send ADDRESS KIND COUNT BYTES SECONDS\n");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (server) {
		server_id = argv[3];
		accept_all(listen_on(&model.address.addr,
				     nt_sockaddr_size(&model.address), BACKLOG),
			   serve_connection);
	}
	model.bytes = strtoul(argv[5], NULL, 10);
	model.seconds = atoi(argv[6]);
	return run_callers(&model, atoi(argv[4]));
}
