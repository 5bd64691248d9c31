/*
 * Stand-in for servers on the users' platform that send answers in all framings and
 * end them in all ways.
 *
 * usage: tool_answers FIRST-ADDRESS COUNT [SOURCE]
 * The servers listen on consecutive ports and have the ids s0, s1 and so on.
 * The last part of the path says what is sent, in the form [STATUS-][big|own]FRAMING-WAY,
 * with "+" between those for the first attempt at a call, for the second and so on.
 * FRAMING is "length", "chunks", "close" for an answer that ends with its connection,
 * "bare" for no body and no header that frames it, or "headed" for a length without a
 * body. The body is "1234567890", or BIG_HALF_BYTES of "x" and as many of "y", or the
 * call's id with ":" and again with ";"; WAY is one of
 *	whole		all at once
 *	pieces		the second half after PIECE_MS
 *	stall		the second half after STALL_MS
 *	late, latehalf	all, or the second half, after LATE_MS
 *	fin, rst	the connection is closed, or reset, BREAK_MS after the first half
 *	bad		after the first half follows what is no chunk
 *	lateend		whole, but the connection is closed only after STALL_MS
 *	twice		the whole answer, and again
 *	latetwice	the same, PIECE_MS apart
 *	extra		the whole answer, and bytes that are no answer
 *	lateextra	the same, PIECE_MS apart
 *	early		whole, before the body of the request is read
 *	earlyrst	the first half, before the body of the request is read; the
 *			connection is reset as some of that is read
 *	earlyfin	whole, before the body of the request is read; the connection
 *			is closed in order as some of that is read, then reads on
 * Each call prints its id. Connections from the
 * IP address SOURCE get no answer.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/net.h"
#include "tests/raw_io.h"

enum { PIECE_MS = 100, BREAK_MS = 300, STALL_MS = 2500 };
enum { US_PER_MS = 1000, BACKLOG = 128 };
enum { MAX_HEAD_BYTES = 8192, LATE_MS = 600, DEFAULT_STATUS = 200 };
/* How much of a request's body is read, and how long, before the end amid it. */
enum { AMID_BYTES = 1 << 20, MAX_AMID_US = 8 * 1000 };
enum { AMID_PERIOD_US = 500 * 1000 };
/* The first half is more than a host buffers. */
enum { BIG_HALF_BYTES = 300000 };

enum framing { BY_LENGTH, BY_CHUNKS, BY_CLOSE, BARE, HEADED };

static const struct {
	const char *name;
	const char *header; /* NULL: a length */
} framings[] = {
	[BY_LENGTH] = { "length-", NULL },
	[BY_CHUNKS] = { "chunks-", "Transfer-Encoding: chunked\r\n" },
	[BY_CLOSE] = { "close-", "Connection: close\r\n" },
	[BARE] = { "bare-", "" },
	[HEADED] = { "headed-", NULL },
};

/* The answer to one attempt. */
struct plan {
	unsigned status;
	enum framing framing;
	const char *way;
	const char *halves[2]; /* of the body */
};

static char big_halves[2][BIG_HALF_BYTES + 1];

static const char *cut_source; /* NULL: none */

struct server {
	int listener;
	char id[16];
};

/* A connection to a server. */
struct connection {
	int fd;
	const struct server *server;
};

struct request {
	char head[MAX_HEAD_BYTES];
	size_t bytes; /* read so far, of the head and what follows it */
	char path[256];
	char *call_id;
	size_t body_bytes; /* of the body, not read yet */
};

static bool read_head(int fd, struct request *request)
{
	char *end;
	char *length;

	request->bytes = 0;
	do {
		ssize_t n = recv(fd, request->head + request->bytes,
				 sizeof(request->head) - 1 - request->bytes, 0);

		if (n <= 0)
			return false;
		request->bytes += (size_t)n;
		request->head[request->bytes] = '\0';
	} while (!(end = strstr(request->head, "\r\n\r\n")));
	if (sscanf(request->head, "%*s %255s", request->path) != 1)
		return false;
	g_free(request->call_id);
	request->call_id = find_field(request->head, "attempt-id");
	length = find_field(request->head, "content-length");
	request->body_bytes = strtoul(length, NULL, 10);
	g_free(length);
	request->body_bytes -=
		MIN(request->body_bytes,
		    request->bytes - (size_t)(end + 4 - request->head));
	return true;
}

static bool skip_body(int fd, struct request *request)
{
	char data[4096];

	while (request->body_bytes) {
		ssize_t n = recv(fd, data,
				 MIN(sizeof(data), request->body_bytes), 0);

		if (n <= 0)
			return false;
		request->body_bytes -= (size_t)n;
	}
	return true;
}

static char *frame_header(const struct plan *plan)
{
	if (framings[plan->framing].header)
		return g_strdup(framings[plan->framing].header);
	return g_strdup_printf("Content-Length: %zu\r\n",
			       strlen(plan->halves[0]) +
				       strlen(plan->halves[1]));
}

static bool send_head(int fd, const struct request *request,
		      const struct plan *plan)
{
	char *frame = frame_header(plan);
	char *head = g_strdup_printf(
		"HTTP/1.1 %u Status\r\nAttempt-Id: %s\r\n"
		"Response-Signature: s.%s\r\nServer-Load: 1,0,200,100\r\n"
		"%s\r\n",
		plan->status, request->call_id, request->call_id, frame);
	bool ok = write_text(fd, head);

	g_free(head);
	g_free(frame);
	return ok;
}

static bool send_chunk(int fd, const char *data)
{
	char *size = g_strdup_printf("%zx\r\n", strlen(data));
	bool ok = write_text(fd, size);

	g_free(size);
	return ok && write_text(fd, data) && write_text(fd, "\r\n");
}

static bool send_half(int fd, const struct plan *plan, uint32_t half)
{
	if (plan->framing == BARE || plan->framing == HEADED)
		return true;
	if (plan->framing == BY_CHUNKS)
		return send_chunk(fd, plan->halves[half]);
	return write_text(fd, plan->halves[half]);
}

static bool send_rest(int fd, const struct plan *plan)
{
	return send_half(fd, plan, 1) &&
	       (plan->framing != BY_CHUNKS || write_text(fd, "0\r\n\r\n"));
}

static bool send_whole(int fd, const struct request *request,
		       const struct plan *plan)
{
	return send_head(fd, request, plan) && send_half(fd, plan, 0) &&
	       send_rest(fd, plan);
}

static bool send_pieces(int fd, const struct request *request,
			const struct plan *plan, uint32_t pause_ms)
{
	if (!send_head(fd, request, plan) || !send_half(fd, plan, 0))
		return false;
	g_usleep(pause_ms * US_PER_MS);
	return send_rest(fd, plan);
}

static void reset_on_close(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Sends the first half and ends the answer. The connection is closed then. */
static bool send_broken(int fd, const struct request *request,
			const struct plan *plan)
{
	if (!send_head(fd, request, plan) || !send_half(fd, plan, 0))
		return false;
	/* So that the first half is read before the end, on a busy machine as well. */
	g_usleep(BREAK_MS * US_PER_MS);
	if (!strcmp(plan->way, "rst"))
		reset_on_close(fd);
	if (!strcmp(plan->way, "bad"))
		write_text(fd, "zz\r\n");
	return false;
}

/*
 * Waits for the next period, in which all calls are read on at the same time. Their
 * sender, which is busy writing to all of them, then learns of most ends by a write.
 */
static void read_amid_body(int fd, struct request *request)
{
	char data[64 * 1024];
	size_t left = MIN(request->body_bytes, AMID_BYTES);
	gint64 end_us;

	g_usleep(AMID_PERIOD_US - g_get_monotonic_time() % AMID_PERIOD_US);
	end_us = g_get_monotonic_time() + g_random_int_range(0, MAX_AMID_US);
	while (left && g_get_monotonic_time() < end_us) {
		ssize_t n = recv(fd, data, MIN(sizeof(data), left), 0);

		if (n <= 0)
			return;
		left -= (size_t)n;
		request->body_bytes -= (size_t)n;
	}
}

static bool is_way(const struct plan *plan, const char *way)
{
	return !strcmp(plan->way, way);
}

static bool send_begin(int fd, const struct request *request,
		       const struct plan *plan)
{
	if (is_way(plan, "pieces"))
		return send_pieces(fd, request, plan, PIECE_MS);
	if (is_way(plan, "stall"))
		return send_pieces(fd, request, plan, STALL_MS);
	if (is_way(plan, "latehalf"))
		return send_pieces(fd, request, plan, LATE_MS);
	if (is_way(plan, "late"))
		g_usleep(LATE_MS * US_PER_MS);
	return send_whole(fd, request, plan);
}

/* Returns whether the connection stays open. */
static bool send_answer(int fd, const struct request *request,
			const struct plan *plan)
{
	bool ok;

	if (is_way(plan, "fin") || is_way(plan, "rst") || is_way(plan, "bad"))
		return send_broken(fd, request, plan);
	ok = send_begin(fd, request, plan);
	if (ok && is_way(plan, "lateend"))
		g_usleep(STALL_MS * US_PER_MS);
	if (is_way(plan, "latetwice") || is_way(plan, "lateextra"))
		g_usleep(PIECE_MS * US_PER_MS);
	if (ok && g_str_has_suffix(plan->way, "twice"))
		ok = send_whole(fd, request, plan);
	if (ok && g_str_has_suffix(plan->way, "extra"))
		ok = write_text(fd, "extra bytes\r\n\r\n");
	return ok && plan->framing != BY_CLOSE;
}

static bool answer_health_check(const struct connection *conn)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
				     "Server-Load: 0,0,200,100\r\n"
				     "Content-Length: 0\r\n\r\n",
				     conn->server->id);
	bool ok = write_text(conn->fd, text);

	g_free(text);
	return ok;
}

/* Reads a part of a path; its way points into PART. */
static bool parse_plan(const char *part, char *const own_halves[2],
		       struct plan *plan)
{
	static const char *const small_halves[] = { "12345", "67890" };
	char *end;
	bool big;
	bool own;

	plan->status = (unsigned)strtoul(part, &end, 10);
	if (end != part && *end == '-')
		part = end + 1;
	else
		plan->status = DEFAULT_STATUS;
	big = g_str_has_prefix(part, "big");
	own = g_str_has_prefix(part, "own");
	part += big || own ? strlen("big") : 0;
	for (uint32_t i = 0; i < G_N_ELEMENTS(plan->halves); i++)
		plan->halves[i] = big ? big_halves[i] :
				  own ? own_halves[i] :
					small_halves[i];
	for (enum framing f = BY_LENGTH; f <= HEADED; f++) {
		if (!g_str_has_prefix(part, framings[f].name))
			continue;
		plan->framing = f;
		plan->way = part + strlen(framings[f].name);
		return true;
	}
	return false;
}

/* The connection is closed then. */
static void answer_amid_body(int fd, struct request *request,
			     const struct plan *plan)
{
	bool reset = is_way(plan, "earlyrst");

	if (!send_head(fd, request, plan) || !send_half(fd, plan, 0) ||
	    (!reset && !send_rest(fd, plan)))
		return;
	g_usleep(PIECE_MS * US_PER_MS);
	read_amid_body(fd, request);
	if (reset) {
		reset_on_close(fd);
		return;
	}
	shutdown(fd, SHUT_WR);
	skip_body(fd, request);
}

static bool answer_as(int fd, struct request *request, const struct plan *plan)
{
	bool early = is_way(plan, "early");

	if (is_way(plan, "earlyrst") || is_way(plan, "earlyfin")) {
		answer_amid_body(fd, request, plan);
		return false;
	}
	if (!early && !skip_body(fd, request))
		return false;
	return send_answer(fd, request, plan) &&
	       (!early || skip_body(fd, request));
}

static bool answer_by(int fd, struct request *request, const char *part)
{
	char *own_halves[] = { g_strconcat(request->call_id, ":", NULL),
			       g_strconcat(request->call_id, ";", NULL) };
	struct plan plan;
	bool ok = parse_plan(part, own_halves, &plan) &&
		  answer_as(fd, request, &plan);

	g_free(own_halves[0]);
	g_free(own_halves[1]);
	return ok;
}

static bool answer(const struct connection *conn, struct request *request)
{
	const char *name = strrchr(request->path, '/') + 1;
	char **parts;
	uint32_t attempt;
	uint32_t last;
	bool ok;

	if (!strcmp(name, "health"))
		return answer_health_check(conn);
	printf("%s\n", request->call_id);
	parts = g_strsplit(name, "+", 0);
	attempt = count_attempt(request->call_id);
	last = g_strv_length(parts) - 1;
	ok = answer_by(conn->fd, request, parts[MIN(attempt, last)]);
	g_strfreev(parts);
	return ok;
}

static void *serve_connection(void *arg)
{
	struct connection *conn = arg;
	struct request request = { .call_id = NULL };

	/* One that is cut off stays open. */
	if (!cut_source || !comes_from(conn->fd, cut_source)) {
		while (read_head(conn->fd, &request) && answer(conn, &request))
			;
		close(conn->fd);
	}
	g_free(request.call_id);
	g_free(conn);
	return NULL;
}

static void *accept_connections(void *arg)
{
	struct server *server = arg;

	for (;;) {
		struct connection *conn = g_new0(struct connection, 1);

		conn->server = server;
		conn->fd = accept(server->listener, NULL, NULL);
		if (conn->fd >= 0)
			start_thread(serve_connection, conn);
		else
			g_free(conn);
	}
	return NULL;
}

static void start_server(const struct nt_address *first, uint32_t index)
{
	struct server *server = g_new0(struct server, 1);
	struct sockaddr_in addr;

	memcpy(&addr, &first->addr, sizeof(addr));
	addr.sin_port = htons((uint16_t)(ntohs(addr.sin_port) + index));
	g_snprintf(server->id, sizeof(server->id), "s%u", index);
	server->listener = listen_on(&addr, sizeof(addr), BACKLOG);
	start_thread(accept_connections, server);
}

int main(int argc, char **argv)
{
	struct nt_address first;

	if (argc < 3 || !nt_parse(argv[1], &first) ||
	    first.addr.ss_family != AF_INET) {
		fprintf(stderr,
			"usage: tool_answers FIRST-ADDRESS COUNT [SOURCE]\n");
		return 2;
	}
	cut_source = argc > 3 ? argv[3] : NULL;
	setvbuf(stdout, NULL, _IOLBF, 0);
	memset(big_halves[0], 'x', BIG_HALF_BYTES);
	memset(big_halves[1], 'y', BIG_HALF_BYTES);
	for (uint32_t i = 0; i < (uint32_t)atoi(argv[2]); i++)
		start_server(&first, i);
	for (;;)
		pause();
}
