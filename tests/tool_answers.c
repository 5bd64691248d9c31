/*
 * Stand-in for a server on the users' platform that sends answers in all framings
 * and ends them in all ways.
 *
 * usage: tool_answers ADDRESS ID [SOURCE]
 * The last part of the path says what is sent: FRAMING-WAY. FRAMING is "length",
 * "chunks", or "close" for an answer that ends with its connection. The body is
 * "1234567890"; WAY is one of
 *	whole		all at once
 *	pieces		the second half after PIECE_MS
 *	stall		the second half after STALL_MS
 *	fin, rst	the connection is closed, or reset, after the first half
 *	bad		after the first half follows what is no chunk
 *	lateend		whole, but the connection is closed only after STALL_MS
 *	twice		the whole answer, and again
 *	latetwice	the same, PIECE_MS apart
 *	early		whole, before the body of the request is read
 * A health check is answered with the ID. Each call prints its id. Connections from the
 * IP address SOURCE get no answer.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "net.h"
#include "tests/raw_io.h"

enum { PIECE_MS = 100, STALL_MS = 2500, US_PER_MS = 1000, BACKLOG = 128 };
enum { MAX_HEAD_BYTES = 8192 };

#define FIRST_HALF  "12345"
#define SECOND_HALF "67890"

enum framing { BY_LENGTH, BY_CHUNKS, BY_CLOSE };

static const struct {
	const char *name;
	const char *header;
} framings[] = {
	[BY_LENGTH] = { "length-", "Content-Length: 10\r\n" },
	[BY_CHUNKS] = { "chunks-", "Transfer-Encoding: chunked\r\n" },
	[BY_CLOSE] = { "close-", "Connection: close\r\n" },
};

static const char *server_id;
static const char *cut_source; /* NULL: none */

struct request {
	char head[MAX_HEAD_BYTES];
	size_t bytes; /* read so far, of the head and what follows it */
	char path[256];
	char call_id[256];
	size_t body_bytes; /* of the body, not read yet */
};

static bool send_text(int fd, const char *text)
{
	return write_all(fd, text, strlen(text), NULL);
}

static void find_value(const char *head, const char *name, char *value,
		       size_t size)
{
	const char *at = head;

	*value = '\0';
	while ((at = strchr(at, '\n'))) {
		at++;
		if (strncasecmp(at, name, strlen(name)) != 0)
			continue;
		at += strlen(name);
		at += strspn(at, ": ");
		g_strlcpy(value, at, MIN(size, strcspn(at, "\r\n") + 1));
		return;
	}
}

static bool read_head(int fd, struct request *request)
{
	char *end;
	char length[32];

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
	find_value(request->head, "attempt-id", request->call_id,
		   sizeof(request->call_id));
	find_value(request->head, "content-length", length, sizeof(length));
	request->body_bytes = strtoul(length, NULL, 10);
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

static bool send_head(int fd, const struct request *request,
		      enum framing framing)
{
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		"Response-Signature: s.%s\r\nServer-Load: 1,0,200,100\r\n"
		"%s\r\n",
		request->call_id, request->call_id, framings[framing].header);
	bool ok = send_text(fd, head);

	g_free(head);
	return ok;
}

static bool send_half(int fd, enum framing framing, const char *half)
{
	if (framing != BY_CHUNKS)
		return send_text(fd, half);
	return send_text(fd, "5\r\n") && send_text(fd, half) &&
	       send_text(fd, "\r\n");
}

static bool send_rest(int fd, enum framing framing)
{
	return send_half(fd, framing, SECOND_HALF) &&
	       (framing != BY_CHUNKS || send_text(fd, "0\r\n\r\n"));
}

static bool send_whole(int fd, const struct request *request,
		       enum framing framing)
{
	return send_head(fd, request, framing) &&
	       send_half(fd, framing, FIRST_HALF) && send_rest(fd, framing);
}

static bool send_pieces(int fd, const struct request *request,
			enum framing framing, uint32_t pause_ms)
{
	if (!send_head(fd, request, framing) ||
	    !send_half(fd, framing, FIRST_HALF))
		return false;
	g_usleep(pause_ms * US_PER_MS);
	return send_rest(fd, framing);
}

static void reset_on_close(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Sends the first half and ends the answer by WAY. The connection is closed then. */
static bool send_broken(int fd, const struct request *request,
			enum framing framing, const char *way)
{
	if (!send_head(fd, request, framing) ||
	    !send_half(fd, framing, FIRST_HALF))
		return false;
	/* So that the first half is read before the end. */
	g_usleep(PIECE_MS * US_PER_MS);
	if (!strcmp(way, "rst"))
		reset_on_close(fd);
	if (!strcmp(way, "bad"))
		send_text(fd, "zz\r\n");
	return false;
}

/* Returns whether the connection stays open. */
static bool send_answer(int fd, const struct request *request,
			enum framing framing, const char *way)
{
	bool ok;

	if (!strcmp(way, "fin") || !strcmp(way, "rst") || !strcmp(way, "bad"))
		return send_broken(fd, request, framing, way);
	if (!strcmp(way, "pieces"))
		ok = send_pieces(fd, request, framing, PIECE_MS);
	else if (!strcmp(way, "stall"))
		ok = send_pieces(fd, request, framing, STALL_MS);
	else
		ok = send_whole(fd, request, framing);
	if (ok && !strcmp(way, "lateend"))
		g_usleep(STALL_MS * US_PER_MS);
	if (ok && !strcmp(way, "latetwice"))
		g_usleep(PIECE_MS * US_PER_MS);
	if (ok && g_str_has_suffix(way, "twice"))
		ok = send_whole(fd, request, framing);
	return ok && framing != BY_CLOSE;
}

static bool answer_health_check(int fd)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
				     "Server-Load: 0,0,200,100\r\n"
				     "Content-Length: 0\r\n\r\n",
				     server_id);
	bool ok = send_text(fd, text);

	g_free(text);
	return ok;
}

static bool answer(int fd, struct request *request)
{
	const char *name = strrchr(request->path, '/') + 1;

	if (!strcmp(name, "health"))
		return answer_health_check(fd);
	printf("%s\n", request->call_id);
	for (enum framing f = BY_LENGTH; f <= BY_CLOSE; f++) {
		const char *way = name + strlen(framings[f].name);
		bool early = g_str_has_suffix(name, "-early");

		if (!g_str_has_prefix(name, framings[f].name))
			continue;
		if (!early && !skip_body(fd, request))
			return false;
		return send_answer(fd, request, f, way) &&
		       (!early || skip_body(fd, request));
	}
	return false;
}

static bool is_cut_off(int fd)
{
	struct sockaddr_in peer = { 0 };
	socklen_t size = sizeof(peer);
	struct in_addr source;

	return cut_source && inet_pton(AF_INET, cut_source, &source) == 1 &&
	       !getpeername(fd, (struct sockaddr *)&peer, &size) &&
	       peer.sin_addr.s_addr == source.s_addr;
}

static void *serve_connection(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	struct request request;

	if (is_cut_off(fd))
		return NULL;
	while (read_head(fd, &request) && answer(fd, &request))
		;
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct nt_address address;
	int one = 1;
	int listener;

	if (argc < 3 || !nt_parse(argv[1], &address)) {
		fprintf(stderr, "usage: tool_answers ADDRESS ID [SOURCE]\n");
		return 2;
	}
	server_id = argv[2];
	cut_source = argc > 3 ? argv[3] : NULL;
	setvbuf(stdout, NULL, _IOLBF, 0);
	listener = socket(address.addr.ss_family, SOCK_STREAM, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (const struct sockaddr *)&address.addr,
		 nt_sockaddr_size(&address)) ||
	    listen(listener, BACKLOG)) {
		perror("listen");
		return 2;
	}
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0)
			continue;
		pthread_create(&thread, NULL, serve_connection,
			       GINT_TO_POINTER(fd));
		pthread_detach(thread);
	}
}
