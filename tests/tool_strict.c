/*
 * Callers that read every byte of their answers, on connections that they keep.
 *
 * usage: tool_strict FIRST-ADDRESS HOSTS CALLERS SECONDS SEED
 * Each of the CALLERS sends calls, one after the other, to hosts that listen on
 * consecutive ports, with tool_answers behind them. An answer may be an error of the
 * host, or break off so that it shows. Prints a line "FAULT ..." for each answer
 * with a wrong frame, id, status or body, for one that looks whole and is not, and
 * for bytes that come when no call waits, and at the end how many calls ended in
 * which way. The exit status is 1 if there was a fault, or no whole answer.
 *
 * An answer that ends with its connection and that the server sends twice is left out:
 * nothing tells it from a longer answer.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <glib.h>

#include "base/net.h"
#include "tests/raw_io.h"

enum {
	TIMEOUT_S = 10,
	DEADLINE_MS = 900,
	MAX_PAUSE_MS = 60, /* between two calls on a connection */
	RECONNECT_MS = 20, /* after a host could not be reached */
	MAX_REQUEST_BODY_BYTES = 100000,
	WIRE_BYTES = 64 * 1024, /* more than the bytes of an answer */
	NAME_BYTES = 64,
	SHOWN_BYTES = 160, /* of what came, in the line of a fault */
	US_PER_MS = 1000,
};

#define ENDS(X)                    \
	X(WHOLE, "whole")          \
	X(REFUSED, "host's error") \
	X(BROKEN, "broken off")    \
	X(NOTHING, "no answer")    \
	X(FAULT, "fault")

enum end {
#define X(id, name) END_##id,
	ENDS(X)
#undef X
		END_COUNT
};

static const char *const end_names[] = {
#define X(id, name) name,
	ENDS(X)
#undef X
};

/* What the server is asked for. */
struct call {
	char id[NAME_BYTES];
	char name[NAME_BYTES];
	char own_body[2 * NAME_BYTES + 2];
	unsigned status;
	bool http10;
	bool keep;
	uint32_t body_bytes;
};

/* What a connection has brought. */
struct wire {
	int fd; /* -1: not connected */
	char bytes[WIRE_BYTES];
	size_t size;
	size_t at; /* what is read next */
	bool reset; /* how it has ended, if it has */
	bool late; /* nothing came for TIMEOUT_S */
};

struct answer {
	unsigned status;
	uint64_t length; /* UINT64_MAX: none */
	bool chunked;
	bool close;
	char id[NAME_BYTES]; /* empty: none */
	GString *body;
	const char *fault; /* NULL: none */
};

struct caller {
	pthread_t thread;
	uint32_t index;
	GRand *rand;
	struct wire wire;
	uint64_t ends[END_COUNT];
};

static struct sockaddr_in first_address;
static uint32_t host_count;
static uint32_t seed;
static int64_t stop_us;

static const struct {
	const char *framing;
	const char *ways;
} plans[] = {
	{ "length-", "whole whole whole pieces stall late latehalf fin rst "
		     "twice latetwice extra lateextra early" },
	{ "chunks-", "whole whole whole pieces stall late latehalf fin rst "
		     "bad twice latetwice extra lateextra early" },
	{ "close-", "whole whole whole pieces stall latehalf rst lateend "
		    "early" },
};
static const unsigned statuses[] = { 200, 200, 200, 201, 404, 500, 503 };
static const char *const prefixes[] = { "order", "order", "safe" };

static void make_call(struct caller *caller, uint32_t number, struct call *call)
{
	GRand *rand = caller->rand;
	int framing = g_rand_int_range(rand, 0, G_N_ELEMENTS(plans));
	char **ways = g_strsplit(plans[framing].ways, " ", 0);
	int way = g_rand_int_range(rand, 0, (int)g_strv_length(ways));

	memset(call, 0, sizeof(*call));
	call->status =
		statuses[g_rand_int_range(rand, 0, G_N_ELEMENTS(statuses))];
	g_snprintf(call->id, sizeof(call->id), "strict-%u-%u-%u", seed,
		   caller->index, number);
	g_snprintf(call->name, sizeof(call->name), "/%s/%u-own%s%s",
		   prefixes[g_rand_int_range(rand, 0, G_N_ELEMENTS(prefixes))],
		   call->status, plans[framing].framing, ways[way]);
	g_snprintf(call->own_body, sizeof(call->own_body), "%s:%s;", call->id,
		   call->id);
	call->http10 = g_rand_int_range(rand, 0, 5) == 0;
	call->keep = g_rand_boolean(rand);
	if (g_rand_boolean(rand))
		call->body_bytes = (uint32_t)g_rand_int_range(
			rand, 0, MAX_REQUEST_BODY_BYTES);
	g_strfreev(ways);
}

static bool send_call(const struct wire *wire, const struct call *call)
{
	static const char body[MAX_REQUEST_BODY_BYTES];
	char *head = g_strdup_printf(
		"POST %s HTTP/1.%d\r\nHost: x.example\r\n"
		"Attempt-Id: %s\r\nDeadline-Ms: %d\r\n"
		"%sContent-Length: %u\r\n\r\n",
		call->name, !call->http10, call->id, DEADLINE_MS,
		call->http10 && call->keep ? "Connection: keep-alive\r\n" : "",
		call->body_bytes);
	bool ok = write_all(wire->fd, head, strlen(head), NULL) &&
		  write_all(wire->fd, body, call->body_bytes, NULL);

	g_free(head);
	return ok;
}

static bool connect_wire(struct caller *caller)
{
	struct wire *wire = &caller->wire;
	struct sockaddr_in addr = first_address;
	struct timeval timeout = { .tv_sec = TIMEOUT_S };
	uint32_t host =
		(uint32_t)g_rand_int_range(caller->rand, 0, (int)host_count);

	addr.sin_port = htons((uint16_t)(ntohs(addr.sin_port) + host));
	wire->fd = socket(AF_INET, SOCK_STREAM, 0);
	wire->size = 0;
	wire->at = 0;
	wire->reset = false;
	wire->late = false;
	setsockopt(wire->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		   sizeof(timeout));
	if (!connect(wire->fd, (struct sockaddr *)&addr, sizeof(addr)))
		return true;
	close(wire->fd);
	wire->fd = -1;
	return false;
}

static void close_wire(struct wire *wire)
{
	close(wire->fd);
	wire->fd = -1;
}

/* Returns false when the connection has ended. */
static bool read_more(struct wire *wire)
{
	ssize_t n;

	if (wire->size == sizeof(wire->bytes))
		return false;
	n = recv(wire->fd, wire->bytes + wire->size,
		 sizeof(wire->bytes) - wire->size, 0);
	if (n > 0) {
		wire->size += (size_t)n;
		return true;
	}
	wire->late = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
	wire->reset = n < 0 && !wire->late;
	return false;
}

/* Reads up to a CRLF; NULL when the connection has ended before. */
static char *read_line(struct wire *wire)
{
	char *line;
	char *end;

	while (!(end = memmem(wire->bytes + wire->at, wire->size - wire->at,
			      "\r\n", 2)))
		if (!read_more(wire))
			return NULL;
	line = g_strndup(wire->bytes + wire->at,
			 (gsize)(end - wire->bytes) - wire->at);
	wire->at = (size_t)(end + 2 - wire->bytes);
	return line;
}

static bool read_bytes(struct wire *wire, uint64_t bytes, GString *to)
{
	while (bytes) {
		size_t part = MIN(bytes, wire->size - wire->at);

		g_string_append_len(to, wire->bytes + wire->at, (gssize)part);
		wire->at += part;
		bytes -= part;
		if (bytes && wire->at == wire->size && !read_more(wire))
			return false;
	}
	return true;
}

static void read_header(struct answer *answer, const char *line)
{
	const char *value = strchr(line, ':');

	if (!value) {
		answer->fault = "no header";
		return;
	}
	value += strspn(value, ": ");
	if (!g_ascii_strncasecmp(line, "content-length:", 15))
		answer->length = g_ascii_strtoull(value, NULL, 10);
	else if (!g_ascii_strncasecmp(line, "transfer-encoding:", 18))
		answer->chunked = !g_ascii_strcasecmp(value, "chunked");
	else if (!g_ascii_strncasecmp(line, "connection:", 11))
		answer->close = !g_ascii_strcasecmp(value, "close");
	else if (!g_ascii_strncasecmp(line, "attempt-id:", 11))
		g_strlcpy(answer->id, value, sizeof(answer->id));
}

/* Returns false when the connection has ended before the end of the head. */
static bool read_head(struct wire *wire, struct answer *answer)
{
	char *line = read_line(wire);

	if (!line)
		return false;
	if (sscanf(line, "HTTP/1.1 %3u ", &answer->status) != 1)
		answer->fault = "no status line";
	while (!answer->fault) {
		g_free(line);
		line = read_line(wire);
		if (!line)
			return false;
		if (!*line)
			break;
		read_header(answer, line);
	}
	g_free(line);
	return true;
}

/* Reads a chunk. Returns false when the connection has ended. */
static bool read_chunk(struct wire *wire, struct answer *answer, bool *last)
{
	char *line = read_line(wire);
	char *end;
	uint64_t bytes;

	if (!line)
		return false;
	bytes = g_ascii_strtoull(line, &end, 16);
	if (end == line || *end)
		answer->fault = "no size of a chunk";
	g_free(line);
	if (answer->fault)
		return true;
	*last = !bytes;
	if (!read_bytes(wire, bytes, answer->body))
		return false;
	line = read_line(wire);
	if (line && *line)
		answer->fault = "no end of a chunk";
	g_free(line);
	return line != NULL;
}

static bool read_chunks(struct wire *wire, struct answer *answer)
{
	bool last = false;

	while (!last && !answer->fault)
		if (!read_chunk(wire, answer, &last))
			return false;
	return true;
}

/* Returns whether the body is whole, as far as its frame tells. */
static bool read_body(struct wire *wire, const struct call *call,
		      struct answer *answer)
{
	if (answer->chunked)
		return read_chunks(wire, answer);
	if (answer->length != UINT64_MAX)
		return read_bytes(wire, answer->length, answer->body);
	if (!call->http10)
		answer->fault = "no frame";
	answer->close = true;
	read_bytes(wire, UINT64_MAX, answer->body);
	return !wire->reset && !wire->late;
}

static const char *find_body_fault(const struct call *call,
				   const struct answer *answer, bool whole)
{
	bool own = answer->id[0] != '\0';
	const char *text = answer->body->str;

	if (own && strcmp(answer->id, call->id) != 0)
		return "the id of another call";
	if (!own && answer->status < 400)
		return "no id";
	if (!own)
		return g_str_has_prefix(text, "{\"error\"") || !whole ?
			       NULL :
			       "neither an answer nor an error";
	if (answer->status != call->status)
		return "another status";
	if (!g_str_has_prefix(call->own_body, text))
		return "another body";
	return whole && strcmp(text, call->own_body) != 0 ?
		       "looks whole and is not" :
		       NULL;
}

/* Bytes for which no call waits; the end of the connection is none. */
static bool has_stray_bytes(struct caller *caller)
{
	struct wire *wire = &caller->wire;
	struct pollfd fd = { .fd = wire->fd, .events = POLLIN };
	int pause_ms = g_rand_boolean(caller->rand) ?
			       0 :
			       g_rand_int_range(caller->rand, 0, MAX_PAUSE_MS);

	if (wire->at < wire->size)
		return true;
	wire->at = 0;
	wire->size = 0;
	if (poll(&fd, 1, pause_ms) <= 0)
		return false;
	if (read_more(wire))
		return true;
	close_wire(wire);
	return false;
}

static void print_fault(const struct caller *caller, const struct call *call,
			const char *fault)
{
	const struct wire *wire = &caller->wire;
	size_t begin = wire->size - MIN(wire->size, SHOWN_BYTES);
	char *shown = g_strndup(wire->bytes + begin, wire->size - begin);
	char *escaped = g_strescape(shown, NULL);

	printf("FAULT %s: %s %s over HTTP/1.%d: \"%s\"\n", fault, call->id,
	       call->name, !call->http10, escaped);
	g_free(escaped);
	g_free(shown);
}

static enum end judge(struct caller *caller, const struct call *call,
		      struct answer *answer, bool whole)
{
	const struct wire *wire = &caller->wire;

	if (wire->late)
		answer->fault = "nothing came for long";
	if (!answer->fault)
		answer->fault = find_body_fault(call, answer, whole);
	if (!answer->fault && whole && !answer->close &&
	    has_stray_bytes(caller))
		answer->fault = "bytes when no call waits";
	if (answer->fault) {
		print_fault(caller, call, answer->fault);
		return END_FAULT;
	}
	if (!whole)
		return END_BROKEN;
	return answer->id[0] ? END_WHOLE : END_REFUSED;
}

static enum end read_answer(struct caller *caller, const struct call *call)
{
	struct wire *wire = &caller->wire;
	struct answer answer = { .length = UINT64_MAX };
	enum end end = END_NOTHING;
	bool whole = false;

	answer.body = g_string_new(NULL);
	if (read_head(wire, &answer)) {
		whole = !answer.fault && read_body(wire, call, &answer);
		end = judge(caller, call, &answer, whole);
	} else if (wire->size > wire->at || wire->late) {
		end = judge(caller, call, &answer, false);
	}
	if (wire->fd >= 0 && ((end != END_WHOLE && end != END_REFUSED) ||
			      answer.close || (call->http10 && !call->keep)))
		close_wire(wire);
	g_string_free(answer.body, TRUE);
	return end;
}

static void *run_caller(void *arg)
{
	struct caller *caller = arg;
	struct call call;
	enum end end;

	for (uint32_t n = 0; g_get_monotonic_time() < stop_us; n++) {
		make_call(caller, n, &call);
		if (caller->wire.fd < 0 && !connect_wire(caller)) {
			g_usleep(RECONNECT_MS * US_PER_MS);
			continue;
		}
		/* An answer may come before the request is read. */
		send_call(&caller->wire, &call);
		end = read_answer(caller, &call);
		caller->ends[end]++;
	}
	return NULL;
}

static int finish(struct caller *callers, uint32_t count)
{
	uint64_t ends[END_COUNT] = { 0 };

	for (uint32_t i = 0; i < count; i++) {
		pthread_join(callers[i].thread, NULL);
		for (uint32_t e = 0; e < END_COUNT; e++)
			ends[e] += callers[i].ends[e];
		g_rand_free(callers[i].rand);
	}
	g_free(callers);
	for (uint32_t e = 0; e < END_COUNT; e++)
		printf("%s: %" G_GUINT64_FORMAT "\n", end_names[e], ends[e]);
	return ends[END_FAULT] || !ends[END_WHOLE];
}

int main(int argc, char **argv)
{
	struct nt_address first;
	struct caller *callers;
	uint32_t count;

	if (argc != 6 || !nt_parse(argv[1], &first) ||
	    first.addr.ss_family != AF_INET) {
		fprintf(stderr, "usage: tool_strict FIRST-ADDRESS HOSTS "
				"CALLERS SECONDS SEED\n");
		return 2;
	}
	memcpy(&first_address, &first.addr, sizeof(first_address));
	host_count = (uint32_t)atoi(argv[2]);
	count = (uint32_t)atoi(argv[3]);
	stop_us = g_get_monotonic_time() + atoi(argv[4]) * G_USEC_PER_SEC;
	seed = (uint32_t)atoi(argv[5]);
	setvbuf(stdout, NULL, _IOLBF, 0);
	callers = g_new0(struct caller, count);
	for (uint32_t i = 0; i < count; i++) {
		callers[i].index = i;
		callers[i].wire.fd = -1;
		callers[i].rand = g_rand_new_with_seed(seed * 1000 + i);
		pthread_create(&callers[i].thread, NULL, run_caller,
			       &callers[i]);
	}
	return finish(callers, count);
}
