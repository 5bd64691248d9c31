/*
 * Client and server on raw sockets, for failures that an HTTP library does not
 * produce.
 *
 * usage: tool_raw server ADDRESS        answers by the last part of the path
 *        tool_raw deaf ADDRESS          listens, never accepts, backlog full
 *        tool_raw send ADDRESS SECONDS  sends stdin, prints the answer
 *        tool_raw slow ADDRESS SECONDS  sends stdin, does not read the answer
 *        tool_raw crowd ADDRESS COUNT   the same on COUNT connections at a time,
 *                                       each with its number for every %d, and
 *                                       for CROWD_MS
 *        tool_raw leave ADDRESS         sends stdin, then closes at once
 *        tool_raw abort ADDRESS         the same, with a reset
 *        tool_raw flood ADDRESS COUNT   opens connections, prints the number
 *                                       of them that the peer has closed
 * "send" ends when no data has arrived for SECONDS or the connection ends,
 * "slow" after SECONDS or when the connection is reset. Their last line is
 * end=eof, end=reset or end=timeout. "flood" counts after SETTLE_MS.
 *
 * The server prints a line "begin PATH" for each request to a path whose last
 * part has "hold-MS", and answers it after MS milliseconds. If the peer closes
 * the connection before, it prints "cut PATH" and the milliseconds it took.
 * With "begun-hold-MS" half of the answer comes at once, with "headed-hold-MS" only
 * its head, with "chunk-hold-MS" that and a chunk; with "refuse-hold-MS" it says that
 * the request was not run. After "refuse-stale" it writes this refusal once
 * more before each further answer on the connection. "sized-BYTES" has a body of that
 * size in chunks.
 */
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/net.h"
#include "tests/raw_io.h"

enum { BIG_BODY_BYTES = 64 << 20, CHUNK_BYTES = 64 * 1024, SETTLE_MS = 500 };
enum { CROWD_MS = 3000, BACKLOG = 128 };
enum { BACKLOG_FILL_CONNECTIONS = 16, LARGE_HEAD_BYTES = 40000 };

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define REFUSAL "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"

#define FAILED(status, fields) \
	"HTTP/1.1 " status "\r\n" fields "content-length: 6\r\n\r\nfailed"

/* Answers after which the connection is closed. */
static const struct {
	const char *name;
	const char *text;
} closing_answers[] = {
	{ "short-length", OK_HEAD "content-length: 10\r\n\r\n12345" },
	{ "no-first-byte",
	  OK_HEAD "x-from-server: 1\r\ncontent-length: 10\r\n\r\n" },
	{ "short-chunked",
	  OK_HEAD "transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n" },
	{ "cut-chunk", OK_HEAD "transfer-encoding: chunked\r\n\r\n9\r\n12345" },
	{ "bad-chunk",
	  OK_HEAD "transfer-encoding: chunked\r\n\r\n5\r\n12345\r\nzz\r\n" },
	{ "no-length", OK_HEAD "\r\n12345" },
	{ "both-lengths", OK_HEAD "content-length: 5\r\ntransfer-encoding: "
				  "chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n" },
	{ "two-lengths",
	  OK_HEAD "content-length: 5\r\ncontent-length: 4\r\n\r\n12345" },
	{ "other-coding", OK_HEAD "transfer-encoding: gzip, chunked\r\n\r\n"
				  "5\r\n12345\r\n0\r\n\r\n" },
	{ "garbage", "\x16\x03\x01\x02garbage\r\n\r\n" },
	{ "nothing", "" },
	{ "half-head", OK_HEAD "content-le" },
	{ "switch", "HTTP/1.1 101 Switching\r\nconnection: upgrade\r\n"
		    "upgrade: x\r\n\r\n" },
};

/* Answers after which the connection stays open. */
static const struct {
	const char *name;
	const char *text;
} keep_alive_answers[] = {
	{ "informational",
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n"
	  "a: b\r\n\r\n" OK_HEAD "content-length: 5\r\n\r\nwhole" },
	{ "status-204", "HTTP/1.1 204 No Content\r\n\r\n" },
	{ "status-304", "HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\n\r\n" },
	{ "dated", OK_HEAD "date: then\r\nServer: other\r\n"
			   "content-length: 5\r\n\r\nwhole" },
	{ "head-only", OK_HEAD "content-length: 1000\r\n\r\n" },
	/* The call has run, unless the server says that it has not. */
	{ "failed-408", FAILED("408 Late", "") },
	{ "failed-421", FAILED("421 Other", "") },
	{ "failed-429", FAILED("429 Many", "") },
	{ "failed-503", FAILED("503 Busy", "retry-after: 1\r\n") },
	{ "failed-500", FAILED("500 Error", "") },
	{ "mark-0", FAILED("503 Busy", "x-not-run: 0\r\n") },
	{ "refused-408", FAILED("408 Late", "x-not-run: 1\r\n") },
	{ "refused-429", FAILED("429 Many", "x-not-run: 1\r\n") },
	{ "refused-503", FAILED("503 Busy", "x-not-run: 1\r\n") },
	{ "extra", OK_HEAD "content-length: 5\r\n\r\nwhole" OK_HEAD
			   "content-length: 6\r\n\r\nstolen" },
};

static bool write_big_body(int fd)
{
	static char chunk[CHUNK_BYTES];
	char head[96];

	snprintf(head, sizeof(head), OK_HEAD "content-length: %d\r\n\r\n",
		 BIG_BODY_BYTES);
	if (!write_text(fd, head))
		return false;
	for (int sent = 0; sent < BIG_BODY_BYTES; sent += CHUNK_BYTES)
		if (!write_all(fd, chunk, sizeof(chunk), NULL))
			return false;
	return true;
}

/* A body of that many bytes in chunks. */
static bool write_sized_body(int fd, size_t bytes)
{
	static char chunk[CHUNK_BYTES];
	char size[32];

	if (!write_text(fd, OK_HEAD "transfer-encoding: chunked\r\n\r\n"))
		return false;
	while (bytes) {
		size_t part = MIN(bytes, sizeof(chunk));

		snprintf(size, sizeof(size), "%zx\r\n", part);
		if (!write_text(fd, size) ||
		    !write_all(fd, chunk, part, NULL) ||
		    !write_text(fd, "\r\n"))
			return false;
		bytes -= part;
	}
	return write_text(fd, "0\r\n\r\n");
}

static bool write_large_head(int fd)
{
	char *value = g_strnfill(LARGE_HEAD_BYTES, 'a');
	char *text = g_strdup_printf(OK_HEAD "a: %s\r\ncontent-length: 0\r\n"
					     "\r\n",
				     value);
	bool ok = write_text(fd, text);

	g_free(text);
	g_free(value);
	return ok;
}

/* Waits for MS milliseconds; returns false if the peer closes before. */
static bool hold(int fd, const char *path, int ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN | POLLRDHUP };
	gint64 begin_us = g_get_monotonic_time();

	printf("begin %s\n", path);
	if (!poll(&poll_fd, 1, ms))
		return true;
	printf("cut %s %d\n", path,
	       (int)((g_get_monotonic_time() - begin_us) / 1000));
	return false;
}

/* Answers that never end: a beginning, then the same bytes until the end. */
static const struct {
	const char *name;
	const char *begin;
	const char *repeat;
} endless_answers[] = {
	{ "endless-blank", "", "\r\n" },
	{ "endless-interim", "", "HTTP/1.1 103 Early\r\na: b\r\n\r\n" },
	{ "endless-reason", "HTTP/1.1 200 ", "OK" },
	{ "endless-head", OK_HEAD, "a: b\r\n" },
	{ "endless-value", OK_HEAD "a: ", "b" },
	{ "endless-garbage", "\x16\x03", "\x01" },
	{ "endless-size", OK_HEAD "transfer-encoding: chunked\r\n\r\n", "0" },
	{ "endless-extension", OK_HEAD "transfer-encoding: chunked\r\n\r\n5;",
	  "a" },
	{ "endless-trailer",
	  OK_HEAD "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
	  "a: b\r\n" },
	{ "endless-trailer-value",
	  OK_HEAD "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: ", "b" },
	{ "endless-refusal",
	  "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n"
	  "transfer-encoding: chunked\r\n\r\n",
	  "4\r\nbusy\r\n" },
	{ "endless-tail", OK_HEAD "content-length: 5\r\n\r\nwhole", "more" },
};

/* Sends the answer until the peer closes the connection. */
static bool send_endless_answer(int fd, const char *begin, const char *repeat)
{
	if (write_text(fd, begin))
		write_endless(fd, repeat, NULL);
	return false;
}

/* Answers with PATH as the body, after MS milliseconds if it has "late-MS". */
static bool write_echo(int fd, const char *path)
{
	const char *late = strstr(path, "late-");
	char head[96];

	if (late)
		g_usleep(1000 * strtoul(late + strlen("late-"), NULL, 10));
	snprintf(head, sizeof(head), OK_HEAD "content-length: %zu\r\n\r\n",
		 strlen(path));
	return write_text(fd, head) && write_text(fd, path);
}

/* Writes the answer to PATH; returns whether the connection stays open. */
static bool send_answer(int fd, const char *path)
{
	const char *name = strrchr(path, '/') ? strrchr(path, '/') + 1 : path;
	const char *held = strstr(name, "hold-");

	if (strstr(name, "begun-") &&
	    !write_text(fd, OK_HEAD "content-length: 10\r\n\r\n12345"))
		return false;
	if (strstr(name, "headed-") &&
	    !write_text(fd, OK_HEAD "x-from-server: 1\r\n"
				    "transfer-encoding: chunked\r\n\r\n"))
		return false;
	if (strstr(name, "chunk-") &&
	    !write_text(fd, OK_HEAD "transfer-encoding: chunked\r\n\r\n"
				    "5\r\n12345\r\n"))
		return false;
	if (held && !hold(fd, path, atoi(held + strlen("hold-"))))
		return false;
	if (strstr(name, "begun-"))
		return write_text(fd, "67890");
	if (strstr(name, "headed-") || strstr(name, "chunk-"))
		return write_text(fd, "5\r\n67890\r\n0\r\n\r\n");
	if (strstr(name, "refuse-"))
		return write_text(fd, REFUSAL);
	for (size_t i = 0; i < G_N_ELEMENTS(closing_answers); i++) {
		if (strcmp(closing_answers[i].name, name) != 0)
			continue;
		write_text(fd, closing_answers[i].text);
		return false;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(keep_alive_answers); i++)
		if (!strcmp(keep_alive_answers[i].name, name))
			return write_text(fd, keep_alive_answers[i].text);
	for (size_t i = 0; i < G_N_ELEMENTS(endless_answers); i++)
		if (!strcmp(endless_answers[i].name, name))
			return send_endless_answer(fd, endless_answers[i].begin,
						   endless_answers[i].repeat);
	if (!strcmp(name, "big"))
		return write_big_body(fd);
	if (g_str_has_prefix(name, "sized-"))
		return write_sized_body(
			fd, strtoul(name + strlen("sized-"), NULL, 10));
	if (!strcmp(name, "large-head"))
		return write_large_head(fd);
	return write_echo(fd, path);
}

static bool answer_request(int fd, const char *request, void *ctx)
{
	bool *stale_refusal = ctx;
	char path[256];

	if (sscanf(request, "%*s %255s", path) != 1 ||
	    (*stale_refusal && !write_text(fd, REFUSAL)) ||
	    !send_answer(fd, path))
		return false;
	*stale_refusal |= strstr(path, "refuse-stale") != NULL;
	return true;
}

static void *serve_connection(void *arg)
{
	bool stale_refusal = false;

	read_requests(GPOINTER_TO_INT(arg), answer_request, &stale_refusal);
	return NULL;
}

static int listen_at(const struct nt_address *address, int backlog)
{
	return listen_on(&address->addr, nt_sockaddr_size(address), backlog);
}

static int connect_to(const struct nt_address *address, int flags)
{
	int fd = socket(address->addr.ss_family, SOCK_STREAM | flags, 0);

	if (fd < 0)
		fail("socket");
	if (connect(fd, (const struct sockaddr *)&address->addr,
		    nt_sockaddr_size(address)) &&
	    errno != EINPROGRESS)
		fail("connect");
	return fd;
}

/* Fills the backlog, so that the kernel accepts no further connection. */
_Noreturn static void run_full_backlog(const struct nt_address *address)
{
	listen_at(address, 0);
	for (int i = 0; i < BACKLOG_FILL_CONNECTIONS; i++)
		connect_to(address, SOCK_NONBLOCK);
	for (;;)
		pause();
}

static void send_stdin(int fd)
{
	char data[CHUNK_BYTES];
	ssize_t n;

	while ((n = read(STDIN_FILENO, data, sizeof(data))) > 0)
		if (!write_all(fd, data, (size_t)n, NULL))
			return;
}

static const char *print_answer(int fd, int timeout_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	char data[CHUNK_BYTES];
	ssize_t n;

	for (;;) {
		if (poll(&poll_fd, 1, timeout_ms) <= 0)
			return "timeout";
		n = recv(fd, data, sizeof(data), 0);
		if (n <= 0)
			return n ? "reset" : "eof";
		fwrite(data, 1, (size_t)n, stdout);
	}
}

/* Reads nothing, so that only a reset is detected, not an orderly close. */
static const char *wait_for_reset(int fd, int timeout_ms)
{
	struct pollfd poll_fd = { .fd = fd };

	return poll(&poll_fd, 1, timeout_ms) > 0 ? "reset" : "timeout";
}

/* Sends stdin as it comes and closes the connection at its end. */
static int run_leaving_client(const struct nt_address *address, bool reset)
{
	struct linger linger = { .l_onoff = reset };
	int fd = connect_to(address, 0);

	send_stdin(fd);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	return 0;
}

static int run_client(const struct nt_address *address, int timeout_ms,
		      bool slow)
{
	int fd = connect_to(address, 0);
	const char *end;

	send_stdin(fd);
	end = slow ? wait_for_reset(fd, timeout_ms) :
		     print_answer(fd, timeout_ms);
	printf("\nend=%s\n", end);
	return 0;
}

static int run_flood(const struct nt_address *address, int count)
{
	struct pollfd *fds = g_new0(struct pollfd, count);
	int closed = 0;

	for (int i = 0; i < count; i++) {
		fds[i].fd = connect_to(address, 0);
		fds[i].events = POLLIN;
	}
	g_usleep(SETTLE_MS * 1000);
	poll(fds, (nfds_t)count, 0);
	for (int i = 0; i < count; i++)
		closed += fds[i].revents != 0;
	printf("%d\n", closed);
	g_free(fds);
	return 0;
}

/* TEXT with NUMBER in place of each "%d". */
static char *with_number(const char *text, int number)
{
	char *digits = g_strdup_printf("%d", number);
	char **parts = g_strsplit(text, "%d", 0);
	char *joined = g_strjoinv(digits, parts);

	g_strfreev(parts);
	g_free(digits);
	return joined;
}

static int run_crowd(const struct nt_address *address, int count)
{
	char text[CHUNK_BYTES] = { 0 };
	size_t bytes = fread(text, 1, sizeof(text) - 1, stdin);

	text[bytes] = '\0';
	for (int i = 0; i < count; i++) {
		char *request = with_number(text, i);

		write_text(connect_to(address, 0), request);
		g_free(request);
	}
	g_usleep(CROWD_MS * 1000);
	return 0;
}

int main(int argc, char **argv)
{
	struct nt_address address;
	int number = argc > 3 ? atoi(argv[3]) : 0;

	if (argc < 3 || !nt_parse(argv[2], &address)) {
		fprintf(stderr,
			"usage: tool_raw server|deaf|send|slow|crowd|leave|"
			"abort|flood ADDRESS [SECONDS|COUNT]\n");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (!strcmp(argv[1], "leave") || !strcmp(argv[1], "abort"))
		return run_leaving_client(&address, !strcmp(argv[1], "abort"));
	if (!strcmp(argv[1], "server"))
		accept_all(listen_at(&address, BACKLOG), serve_connection);
	if (!strcmp(argv[1], "crowd"))
		return run_crowd(&address, number);
	if (!strcmp(argv[1], "deaf"))
		run_full_backlog(&address);
	if (!strcmp(argv[1], "flood"))
		return run_flood(&address, number);
	return run_client(&address, number * 1000, !strcmp(argv[1], "slow"));
}
