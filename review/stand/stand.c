/*
 * Stand-ins for the scripts under review/: a server, a requester, and a client of
 * the store. Names of headers come from the environment, set by lib.sh.
 *
 * stand serve PORT ID PIECES PIECE-BYTES GAP-MS SLOW-FILE
 *	A server. It answers a call in chunks: PIECES of PIECE-BYTES, one each GAP-MS,
 *	or each five times that once SLOW-FILE exists. It prints a line a run.
 * stand call PORT HOST PATH ID TIME-LIMIT-MS
 *	Sends a POST, reads until the answer or the connection ends, and prints ID,
 *	status, bytes of the body, and how the answer ended: "whole", "short" (it
 *	ended early), "malformed" (what came is no chunked body) or "time-limit".
 * stand post PORT PATH
 *	Sends standard input; prints the status. stand ready PORT: the same for GET /.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { HEAD_BYTES = 32 * 1024, SLOWER = 5, MS = 1000 * 1000 };

struct reader {
	int fd;
	char buf[HEAD_BYTES];
	size_t used;
	long long until_ms;
};

static struct {
	const char *id;
	int pieces;
	int piece_bytes;
	int gap_ms;
	const char *slow_file;
} server;

static const char *name_of(const char *variable)
{
	const char *name = getenv(variable);

	return name ? name : "x-unset";
}

static long long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / MS;
}

static void sleep_ms(int ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * (long)MS };

	nanosleep(&wait, NULL);
}

static struct sockaddr_in loopback(const char *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons((unsigned short)atoi(port));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static bool send_all(int fd, const char *data, size_t bytes)
{
	while (bytes) {
		ssize_t n = send(fd, data, bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		bytes -= (size_t)n;
	}
	return true;
}

/* 1: more bytes came; 0: the connection ended; -1: the time is over. */
static int fill(struct reader *r)
{
	struct pollfd p = { .fd = r->fd, .events = POLLIN };
	long long left = r->until_ms ? r->until_ms - now_ms() : -1;
	ssize_t n;

	if (r->until_ms && (left <= 0 || poll(&p, 1, (int)left) <= 0))
		return -1;
	n = recv(r->fd, r->buf + r->used, sizeof(r->buf) - 1 - r->used, 0);
	if (n <= 0)
		return 0;
	r->used += (size_t)n;
	r->buf[r->used] = '\0';
	return 1;
}

static void drop(struct reader *r, size_t bytes)
{
	memmove(r->buf, r->buf + bytes, r->used - bytes + 1);
	r->used -= bytes;
}

/* Moves the head to HEAD, which then ends with an empty line. */
static int read_head(struct reader *r, char *head)
{
	char *end;

	while (!(end = strstr(r->buf, "\r\n\r\n"))) {
		int more = fill(r);

		if (more <= 0)
			return more;
	}
	memcpy(head, r->buf, (size_t)(end + 4 - r->buf));
	head[end + 4 - r->buf] = '\0';
	drop(r, (size_t)(end + 4 - r->buf));
	return 1;
}

static bool find_header(const char *head, const char *name, char *value,
			size_t bytes)
{
	size_t len = strlen(name);

	for (const char *line = strchr(head, '\n'); line;
	     line = strchr(line + 1, '\n')) {
		const char *at = line + 1 + len;

		if (strncasecmp(line + 1, name, len) || *at != ':')
			continue;
		at += 1 + strspn(at + 1, " ");
		snprintf(value, bytes, "%.*s", (int)strcspn(at, "\r\n"), at);
		return true;
	}
	return false;
}

/* Server */

static bool send_pieces(int fd)
{
	static char piece[64 * 1024];
	char size[16];

	for (int i = 0; i < server.pieces; i++) {
		bool slow = !access(server.slow_file, F_OK);

		sleep_ms(server.gap_ms * (slow ? SLOWER : 1));
		memset(piece, 'y', (size_t)server.piece_bytes);
		snprintf(size, sizeof(size), "%x\r\n", server.piece_bytes);
		if (!send_all(fd, size, strlen(size)) ||
		    !send_all(fd, piece, (size_t)server.piece_bytes) ||
		    !send_all(fd, "\r\n", 2))
			return false;
	}
	return send_all(fd, "0\r\n\r\n", 5);
}

static bool answer_call(int fd, const char *head, const char *call)
{
	char out[1024];
	bool sent;

	printf("%lld run %s %.*s\n", now_ms(), call, (int)strcspn(head, "\r"),
	       head);
	snprintf(out, sizeof(out),
		 "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.%s\r\n%s: 1,0,6,100\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 name_of("N_CALL"), call, name_of("N_SIGNATURE"), call,
		 name_of("N_LOAD"));
	sent = send_all(fd, out, strlen(out)) && send_pieces(fd);
	printf("%lld end %s %s\n", now_ms(), call,
	       sent ? "sent whole" : "the caller closed");
	return sent;
}

static bool answer(int fd, const char *head)
{
	char call[128] = "-";
	char expected[128];
	char out[512];

	if (!strncmp(head, "GET /health ", 12)) {
		snprintf(out, sizeof(out),
			 "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,6,100\r\n"
			 "Content-Length: 0\r\n\r\n",
			 name_of("N_ID"), server.id, name_of("N_LOAD"));
		return send_all(fd, out, strlen(out));
	}
	find_header(head, name_of("N_CALL"), call, sizeof(call));
	if (find_header(head, name_of("N_EXPECT"), expected, sizeof(expected)) &&
	    strcmp(expected, server.id) != 0) {
		snprintf(out, sizeof(out),
			 "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 name_of("N_CALL"), call);
		return send_all(fd, out, strlen(out));
	}
	return answer_call(fd, head, call);
}

/* Reads BYTES of a body and drops them. */
static int skip(struct reader *r, size_t bytes, size_t *got)
{
	for (;;) {
		size_t n = r->used < bytes ? r->used : bytes;
		int more;

		drop(r, n);
		bytes -= n;
		*got += n;
		if (!bytes)
			return 1;
		more = fill(r);
		if (more <= 0)
			return more;
	}
}

static bool skip_request_body(struct reader *r, const char *head)
{
	char bytes[32];
	size_t got = 0;

	return !find_header(head, "content-length", bytes, sizeof(bytes)) ||
	       skip(r, strtoul(bytes, NULL, 10), &got) > 0;
}

static void *serve_connection(void *ptr)
{
	struct reader *r = ptr;
	char *head = malloc(HEAD_BYTES);

	while (read_head(r, head) > 0 && skip_request_body(r, head) &&
	       answer(r->fd, head))
		;
	close(r->fd);
	free(head);
	free(r);
	return NULL;
}

static int serve(char **argv)
{
	struct sockaddr_in address = loopback(argv[0]);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	server.id = argv[1];
	server.pieces = atoi(argv[2]);
	server.piece_bytes = atoi(argv[3]);
	server.gap_ms = atoi(argv[4]);
	server.slow_file = argv[5];
	setvbuf(stdout, NULL, _IOLBF, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(listener, 128))
		return 1;
	for (;;) {
		struct reader *r = calloc(1, sizeof(*r));
		pthread_t thread;

		r->fd = accept(listener, NULL, NULL);
		if (r->fd < 0 ||
		    pthread_create(&thread, NULL, serve_connection, r))
			return 1;
		pthread_detach(thread);
	}
}

/* Requester */

static int connect_to(const char *port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/* A line with CRLF at its end. */
static int read_line(struct reader *r, char *line, size_t bytes)
{
	char *end;

	while (!(end = strstr(r->buf, "\r\n"))) {
		int more = fill(r);

		if (more <= 0)
			return more;
	}
	snprintf(line, bytes, "%.*s", (int)(end - r->buf), r->buf);
	drop(r, (size_t)(end + 2 - r->buf));
	return 1;
}

static const char *ended(int more)
{
	return more < 0 ? "time-limit" : "short";
}

static const char *read_chunks(struct reader *r, size_t *got)
{
	char line[256];
	size_t none = 0;

	for (;;) {
		int more = read_line(r, line, sizeof(line));
		size_t size;

		if (more <= 0)
			return ended(more);
		if (!*line || line[strspn(line, "0123456789abcdefABCDEF")])
			return "malformed";
		size = strtoul(line, NULL, 16);
		if (!size)
			return "whole";
		more = skip(r, size, got);
		if (more > 0)
			more = skip(r, 2, &none);
		if (more <= 0)
			return ended(more);
	}
}

static const char *read_body(struct reader *r, const char *head, size_t *got)
{
	char value[64];
	int more;

	if (find_header(head, "transfer-encoding", value, sizeof(value)))
		return read_chunks(r, got);
	if (!find_header(head, "content-length", value, sizeof(value)))
		return "malformed";
	more = skip(r, strtoul(value, NULL, 10), got);
	return more > 0 ? "whole" : ended(more);
}

static int call(char **argv)
{
	struct reader *r = calloc(1, sizeof(*r));
	char *head = calloc(1, HEAD_BYTES);
	long long begin = now_ms();
	const char *end = "short";
	size_t got = 0;
	char out[1024];
	int more = 0;

	r->fd = connect_to(argv[0]);
	r->until_ms = begin + atoi(argv[4]);
	snprintf(out, sizeof(out),
		 "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n"
		 "Content-Length: 6\r\n\r\nmantle",
		 argv[2], argv[1], name_of("N_CALL"), argv[3],
		 name_of("N_TIME_LEFT"), argv[4]);
	if (r->fd >= 0 && send_all(r->fd, out, strlen(out)))
		more = read_head(r, head);
	if (more > 0)
		end = read_body(r, head, &got);
	else
		end = ended(more);
	printf("%s %.3s %zu %s after %lld ms\n", argv[3],
	       strlen(head) > 12 ? head + 9 : "---", got, end,
	       now_ms() - begin);
	return 0;
}

static int request(const char *port, const char *method, const char *path,
		   const char *body, size_t bytes)
{
	struct reader *r = calloc(1, sizeof(*r));
	char *head = calloc(1, HEAD_BYTES);
	char out[512];

	r->fd = connect_to(port);
	r->until_ms = now_ms() + 2000;
	snprintf(out, sizeof(out),
		 "%s %s HTTP/1.1\r\nHost: stand\r\nContent-Length: %zu\r\n\r\n",
		 method, path, bytes);
	if (r->fd < 0 || !send_all(r->fd, out, strlen(out)) ||
	    !send_all(r->fd, body, bytes) || read_head(r, head) <= 0)
		return 1;
	printf("%.3s\n", head + 9);
	return strncmp(head + 9, "200", 3) != 0;
}

static int post(char **argv)
{
	static char body[1024 * 1024];
	size_t bytes = fread(body, 1, sizeof(body), stdin);

	return request(argv[0], "POST", argv[1], body, bytes);
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc == 8 && !strcmp(argv[1], "serve"))
		return serve(argv + 2);
	if (argc == 7 && !strcmp(argv[1], "call"))
		return call(argv + 2);
	if (argc == 4 && !strcmp(argv[1], "post"))
		return post(argv + 2);
	if (argc == 3 && !strcmp(argv[1], "ready"))
		return request(argv[2], "GET", "/", "", 0);
	fprintf(stderr, "usage: see the head of stand.c\n");
	return 2;
}
