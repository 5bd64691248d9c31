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
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/net.h"
#include "tests/answer_reader.h"
#include "tests/raw_io.h"

enum {
	TIMEOUT_MS = 10 * 1000, /* of an answer */
	DEADLINE_MS = 900,
	MAX_PAUSE_MS = 60, /* between two calls on a connection */
	RECONNECT_MS = 20, /* after a host could not be reached */
	MAX_REQUEST_BODY_BYTES = 100000,
	MAX_ANSWER_BYTES = 64 * 1024, /* more than one has */
	NAME_BYTES = 64,
	SHOWN_BYTES = 160, /* of what came, in the line of a fault */
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

static bool connect_caller(struct caller *caller)
{
	struct sockaddr_in addr = first_address;
	uint32_t host =
		(uint32_t)g_rand_int_range(caller->rand, 0, (int)host_count);

	addr.sin_port = htons((uint16_t)(ntohs(addr.sin_port) + host));
	return wire_connect(&caller->wire, &addr);
}

static const char *find_body_fault(const struct call *call,
				   const struct answer *answer, bool whole)
{
	bool own = answer->id != NULL;
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

	if (wire_left(wire))
		return true;
	wire_drop_taken(wire);
	if (poll(&fd, 1, pause_ms) <= 0)
		return false;
	if (wire_read(wire))
		return true;
	wire_close(wire);
	return false;
}

static void print_fault(const struct caller *caller, const struct call *call,
			const char *fault)
{
	const GString *bytes = caller->wire.bytes;
	size_t begin = bytes->len - MIN(bytes->len, SHOWN_BYTES);
	char *shown = g_strndup(bytes->str + begin, bytes->len - begin);
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
	if (!answer->fault && whole && !answer->closes &&
	    has_stray_bytes(caller))
		answer->fault = "bytes when no call waits";
	if (answer->fault) {
		print_fault(caller, call, answer->fault);
		return END_FAULT;
	}
	if (!whole)
		return END_BROKEN;
	return answer->id ? END_WHOLE : END_REFUSED;
}

static enum progress read_body(struct wire *wire, const struct call *call,
			       struct answer *answer)
{
	if (answer->framing == BY_CLOSE && !call->http10)
		return answer_wrong(answer, "no frame");
	answer->closes |= answer->framing == BY_CLOSE;
	return answer_read_body(wire, answer);
}

static enum end read_answer(struct caller *caller, const struct call *call)
{
	struct wire *wire = &caller->wire;
	struct answer answer = { .body = g_string_new(NULL) };
	enum end end = END_NOTHING;
	enum progress progress;

	wire->until_us = tm_now_us() + TIMEOUT_MS * US_PER_MS;
	progress = answer_read_head(wire, &answer);
	if (progress == COMPLETE) {
		progress = read_body(wire, call, &answer);
		end = judge(caller, call, &answer, progress == COMPLETE);
	} else if (progress == WRONG || wire_left(wire) || wire->late) {
		end = judge(caller, call, &answer, false);
	}
	if (wire->fd >= 0 && ((end != END_WHOLE && end != END_REFUSED) ||
			      answer.closes || (call->http10 && !call->keep)))
		wire_close(wire);
	answer_free(&answer);
	return end;
}

static void *run_caller(void *arg)
{
	struct caller *caller = arg;
	struct call call;
	enum end end;

	for (uint32_t n = 0; g_get_monotonic_time() < stop_us; n++) {
		make_call(caller, n, &call);
		if (caller->wire.fd < 0 && !connect_caller(caller)) {
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
		g_string_free(callers[i].wire.bytes, TRUE);
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
		callers[i].wire = (struct wire){
			.fd = -1,
			.bytes = g_string_new(NULL),
			.max_bytes = MAX_ANSWER_BYTES,
		};
		callers[i].rand = g_rand_new_with_seed(seed * 1000 + i);
		pthread_create(&callers[i].thread, NULL, run_caller,
			       &callers[i]);
	}
	return finish(callers, count);
}
