/*
 * Caller that sends calls to one entry host, one after the other, on a connection
 * that it keeps until the host closes it or is gone, and reads every byte. Every third
 * call is an order (POST), which must not run twice. Headers are those of the users'
 * platform; X-Name-Call asks the server for its id and that of the call as the body.
 *
 * usage: tool_caller ADDRESS PREFIX [KEY [PAUSE-MS]]
 * With KEY, calls carry it and a forged name of a customer; PAUSE-MS is the time
 * between two calls. The calls have the ids PREFIX-1, PREFIX-2 and so on. Prints a line "KIND ID
 * SERVER REUSED TIME STATUS" for each: kind "safe" or "order"; SERVER "-" and STATUS 0
 * when there was no complete answer; REUSED 1 for a call that was not the first on
 * its connection; the time of its end in milliseconds. A line "wrong answer ID: WHAT:
 * BYTES" on standard error says what is no answer to the call; that the connection
 * ends before the answer does is not wrong. SIGTERM ends the tool after the call in
 * progress.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/net.h"
#include "tests/answer_reader.h"
#include "tests/raw_io.h"

enum {
	TIMEOUT_MS = 5000, /* of a call */
	DEFAULT_PAUSE_MS = 5, /* between two calls */
	RECONNECT_MS = 50, /* after a call without an answer */
	CALLS_PER_ORDER = 3
};

static struct nt_address address;
static char *id; /* of the call */
static char *key_headers; /* empty: calls have no key */
static uint64_t pause_ms = DEFAULT_PAUSE_MS;
static volatile sig_atomic_t stopping;

static void on_stop(int signum)
{
	stopping = 1;
}

/* Whether the body is "SERVER ID"; leaves the server there. */
static bool take_server(struct answer *answer)
{
	char *space = strchr(answer->body->str, ' ');

	if (!space || strlen(answer->body->str) != answer->body->len ||
	    strcmp(space + 1, id) != 0)
		return false;
	g_string_truncate(answer->body, (gsize)(space - answer->body->str));
	return answer->body->len > 0;
}

static enum progress read_head(struct wire *wire, struct answer *answer)
{
	enum progress progress = answer_read_head(wire, answer);

	if (progress != COMPLETE)
		return progress;
	if (answer->id && strcmp(answer->id, id) != 0)
		return answer_wrong(answer, "the id of another call");
	if (answer->status == 200 && !answer->id)
		return answer_wrong(answer, "no id of the call");
	if (answer->framing == BY_CLOSE && !answer->closes)
		return answer_wrong(answer, "no framing");
	return COMPLETE;
}

static enum progress read_answer(struct wire *wire, struct answer *answer)
{
	enum progress progress;

	wire->until_us = tm_now_us() + TIMEOUT_MS * US_PER_MS;
	progress = read_head(wire, answer);
	if (progress == COMPLETE)
		progress = answer_read_body(wire, answer);
	if (progress == COMPLETE && answer->status == 200 &&
	    !take_server(answer))
		return answer_wrong(answer, "the body of another call");
	return progress;
}

static void print_wrong(const struct wire *wire, const char *fault)
{
	char *bytes = g_strescape(wire->bytes->str, NULL);

	fprintf(stderr, "wrong answer %s: %s: %s\n", id, fault, bytes);
	g_free(bytes);
}

static bool send_call(const struct wire *wire, bool order)
{
	char *text = g_strdup_printf("%s HTTP/1.1\r\n"
				     "Host: x.example\r\n"
				     "Attempt-Id: %s\r\n"
				     "Deadline-Ms: 2000\r\n"
				     "X-Name-Call: 1\r\n"
				     "%s%s\r\n",
				     order ? "POST /order/a" : "GET /safe/a",
				     id, key_headers,
				     order ? "Content-Length: 1\r\n" : "");
	GString *out = g_string_new(text);
	bool ok;

	if (order)
		g_string_append_c(out, 'x');
	ok = write_all(wire->fd, out->str, out->len, NULL);
	g_string_free(out, TRUE);
	g_free(text);
	return ok;
}

/* Nothing may come between two calls but the end of the connection. */
static void pause_between_calls(struct wire *wire)
{
	wire_drop_taken(wire);
	wire->until_us = tm_now_us() + pause_ms * US_PER_MS;
	while (wire_read(wire))
		;
	if (wire_left(wire))
		print_wrong(wire, "bytes after the answer");
	if (wire_left(wire) || wire->ended)
		wire_close(wire);
}

static void run_call(struct wire *wire, bool order)
{
	struct answer answer = { .body = g_string_new(NULL) };
	enum progress progress = INCOMPLETE;
	bool reused = wire->fd >= 0;

	if ((reused || wire_connect(wire, (const void *)&address.addr)) &&
	    send_call(wire, order))
		progress = read_answer(wire, &answer);
	if (progress == WRONG)
		print_wrong(wire, answer.fault);
	printf("%s %s %s %d %" G_GUINT64_FORMAT " %u\n",
	       order ? "order" : "safe", id,
	       progress == COMPLETE && answer.status == 200 ? answer.body->str :
							      "-",
	       reused, tm_now_us() / US_PER_MS,
	       progress == COMPLETE ? answer.status : 0);
	fflush(stdout);
	if (progress == COMPLETE && !answer.closes) {
		pause_between_calls(wire);
	} else {
		wire_close(wire);
		g_usleep((progress == COMPLETE ? pause_ms : RECONNECT_MS) *
			 US_PER_MS);
	}
	answer_free(&answer);
}

int main(int argc, char **argv)
{
	struct wire wire = { .fd = -1 };

	if (argc < 3 || argc > 5 || !nt_parse(argv[1], &address)) {
		fprintf(stderr, "usage: tool_caller ADDRESS PREFIX "
				"[KEY [PAUSE-MS]]\n");
		return 2;
	}
	key_headers = argc < 4 ? g_strdup("") :
				 g_strdup_printf("Authorization: Bearer %s\r\n"
						 "Tenant: forged\r\n",
						 argv[3]);
	if (argc == 5)
		pause_ms = strtoull(argv[4], NULL, 10);
	signal(SIGTERM, on_stop);
	wire.bytes = g_string_new(NULL);
	for (uint64_t number = 1; !stopping; number++) {
		id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, argv[2], number);
		run_call(&wire, number % CALLS_PER_ORDER == 0);
		g_free(id);
	}
	g_string_free(wire.bytes, TRUE);
	g_free(key_headers);
	return 0;
}
