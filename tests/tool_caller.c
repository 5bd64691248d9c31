/*
 * Caller that sends calls to one entry host, one after the other, on a connection
 * that it keeps until the host closes it or is gone, and reads every byte. Every third
 * call is an order (POST), which must not run twice. Headers are those of the users'
 * platform; X-Name-Call asks the server for its id and that of the call as the body.
 *
 * usage: tool_caller ADDRESS PREFIX
 * The calls have the ids PREFIX-1, PREFIX-2 and so on. Prints a line "KIND ID
 * SERVER REUSED TIME STATUS" for each: kind "safe" or "order"; SERVER "-" and STATUS 0
 * when there was no complete answer; REUSED 1 for a call that was not the first on
 * its connection; the time of its end in milliseconds. A line "wrong answer ID: WHAT:
 * BYTES" on standard error says what is no answer to the call; that the connection
 * ends before the answer does is not wrong. SIGTERM ends the tool after the call in
 * progress.
 */
#include <ctype.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <glib.h>

#include "base/net.h"
#include "tests/raw_io.h"
#include "base/timer.h"

enum {
	US_PER_MS = 1000,
	TIMEOUT_MS = 5000, /* of a call */
	PAUSE_MS = 5, /* between two calls */
	RECONNECT_MS = 50, /* after a call without an answer */
	CALLS_PER_ORDER = 3,
	READ_BYTES = 4096
};

/* What was read so far. */
enum progress { INCOMPLETE, COMPLETE, WRONG };

enum framing { BY_LENGTH, BY_CHUNKS, BY_CLOSE };

/* The answer at the beginning of the bytes that were read. */
struct answer {
	int status;
	enum framing framing;
	size_t head_bytes;
	size_t length; /* BY_LENGTH */
	bool closes; /* the host says that it closes the connection */
	GString *body;
	const char *fault; /* WRONG: why */
};

static struct nt_address address;
static int fd = -1; /* no connection: -1 */
static GString *in; /* bytes that were read and not yet taken */
static bool ended; /* the host has closed the connection, or reset it */
static bool was_reset;
static char *id; /* of the call */
static volatile sig_atomic_t stopping;

static void on_stop(int signum)
{
	stopping = 1;
}

static enum progress wrong(struct answer *answer, const char *fault)
{
	answer->fault = fault;
	return WRONG;
}

static void disconnect(void)
{
	if (fd >= 0)
		close(fd);
	fd = -1;
	ended = false;
	was_reset = false;
	g_string_truncate(in, 0);
}

static bool connect_to_host(void)
{
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (fd >= 0 && !connect(fd, (const struct sockaddr *)&address.addr,
				sizeof(struct sockaddr_in)))
		return true;
	disconnect();
	return false;
}

/* Waits until there is something to read, or UNTIL_US. */
static bool wait_for_data(uint64_t until_us)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	uint64_t now_us;
	int ready = -1;

	/* A signal ends the wait early. */
	while (ready < 0 && (now_us = tm_now_us()) < until_us)
		ready = poll(&poll_fd, 1,
			     (int)((until_us - now_us) / US_PER_MS) + 1);
	return ready > 0;
}

/* Reads what comes until UNTIL_US. False: the time is over or the connection ended. */
static bool read_more(uint64_t until_us)
{
	char data[READ_BYTES];
	ssize_t n;

	if (ended || !wait_for_data(until_us))
		return false;
	n = recv(fd, data, sizeof(data), 0);
	ended = n <= 0;
	was_reset = n < 0;
	if (ended)
		return false;
	g_string_append_len(in, data, n);
	return true;
}

/* The value of the header NAME, to be freed; NULL: there is none. */
static char *get_header(char **lines, const char *name, uint32_t *count)
{
	size_t name_bytes = strlen(name);
	char *value = NULL;

	*count = 0;
	for (char **line = lines + 1; *line; line++) {
		if (strncasecmp(*line, name, name_bytes) != 0 ||
		    (*line)[name_bytes] != ':')
			continue;
		++*count;
		g_free(value);
		value = g_strstrip(g_strdup(*line + name_bytes + 1));
	}
	return value;
}

static bool has_only_digits(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text);
}

static enum progress read_framing(struct answer *answer, char **lines)
{
	uint32_t lengths;
	uint32_t codings;
	uint32_t connections;
	g_autofree char *length = get_header(lines, "content-length", &lengths);
	g_autofree char *coding =
		get_header(lines, "transfer-encoding", &codings);
	g_autofree char *connection =
		get_header(lines, "connection", &connections);

	answer->closes = connection && !strcasecmp(connection, "close");
	if (lengths + codings > 1)
		return wrong(answer, "more than one framing");
	if (length && !has_only_digits(length))
		return wrong(answer, "a length that is no number");
	if (coding && strcasecmp(coding, "chunked") != 0)
		return wrong(answer, "a coding that was not asked for");
	if (!length && !coding && !answer->closes)
		return wrong(answer, "no framing");
	answer->framing = coding ? BY_CHUNKS : length ? BY_LENGTH : BY_CLOSE;
	answer->length = length ? strtoul(length, NULL, 10) : 0;
	return COMPLETE;
}

static enum progress read_lines(struct answer *answer, char **lines)
{
	uint32_t ids;
	g_autofree char *call_id = get_header(lines, "attempt-id", &ids);
	const char *first = lines[0];

	if (strlen(first) < strlen("HTTP/1.1 200 ") ||
	    !g_str_has_prefix(first, "HTTP/1.1 ") || !isdigit(first[9]) ||
	    !isdigit(first[10]) || !isdigit(first[11]) || first[12] != ' ')
		return wrong(answer, "no status line");
	answer->status = atoi(first + strlen("HTTP/1.1 "));
	if (answer->status < 200)
		return wrong(answer, "an interim answer");
	for (char **line = lines + 1; *line; line++)
		if (!strchr(*line, ':') || strpbrk(*line, "\r\n"))
			return wrong(answer, "no header");
	if (ids > 1 || (call_id && strcmp(call_id, id) != 0))
		return wrong(answer, "the id of another call");
	if (answer->status == 200 && !call_id)
		return wrong(answer, "no id of the call");
	return read_framing(answer, lines);
}

static enum progress read_head(struct answer *answer)
{
	static const char start[] = "HTTP/1.1 ";
	const char *end = strstr(in->str, "\r\n\r\n");
	enum progress progress;
	char **lines;
	char *head;

	if (memcmp(in->str, start, MIN(in->len, strlen(start))) != 0)
		return wrong(answer, "no answer");
	if (strlen(in->str) != in->len && !end)
		return wrong(answer, "a NUL in the head");
	if (!end)
		return INCOMPLETE;
	head = g_strndup(in->str, (gsize)(end - in->str));
	lines = g_strsplit(head, "\r\n", -1);
	progress = read_lines(answer, lines);
	answer->head_bytes = (size_t)(end + 4 - in->str);
	g_strfreev(lines);
	g_free(head);
	return progress;
}

/* Bytes of the line "SIZE\r\n" at AT; 0: it is not complete. */
static size_t read_chunk_size(const char *at, size_t bytes, size_t *size,
			      struct answer *answer)
{
	size_t digits = 0;

	while (digits < bytes && isxdigit(at[digits]))
		digits++;
	if (digits < bytes && (!digits || at[digits] != '\r'))
		answer->fault = "no chunk";
	if (digits + 1 < bytes && at[digits + 1] != '\n')
		answer->fault = "no chunk";
	if (answer->fault || digits + 2 > bytes)
		return 0;
	*size = strtoul(at, NULL, 16);
	return digits + 2;
}

static enum progress read_chunks(struct answer *answer, size_t *taken)
{
	size_t at = answer->head_bytes;
	size_t size = 1;

	g_string_truncate(answer->body, 0);
	while (size) {
		size_t line = read_chunk_size(in->str + at, in->len - at, &size,
					      answer);

		if (answer->fault)
			return WRONG;
		if (!line || in->len - at - line < size)
			return INCOMPLETE;
		at += line;
		g_string_append_len(answer->body, in->str + at, (gssize)size);
		at += size;
		if (memcmp(in->str + at, "\r\n", MIN(in->len - at, 2)) != 0)
			return wrong(answer, "no end of a chunk");
		if (in->len - at < 2)
			return INCOMPLETE;
		at += 2;
	}
	*taken = at;
	return COMPLETE;
}

static enum progress read_body(struct answer *answer, size_t *taken)
{
	size_t bytes = in->len - answer->head_bytes;

	if (answer->framing == BY_CHUNKS)
		return read_chunks(answer, taken);
	if (answer->framing == BY_CLOSE && (!ended || was_reset))
		return INCOMPLETE;
	if (answer->framing == BY_LENGTH && bytes < answer->length)
		return INCOMPLETE;
	if (answer->framing == BY_LENGTH)
		bytes = answer->length;
	g_string_truncate(answer->body, 0);
	g_string_append_len(answer->body, in->str + answer->head_bytes,
			    (gssize)bytes);
	*taken = answer->head_bytes + bytes;
	return COMPLETE;
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

static enum progress read_answer(struct answer *answer)
{
	uint64_t until_us = tm_now_us() + TIMEOUT_MS * US_PER_MS;
	enum progress progress = INCOMPLETE;
	size_t taken = 0;
	bool more = true;

	while (progress == INCOMPLETE && more) {
		more = read_more(until_us);
		if (!answer->head_bytes)
			progress = read_head(answer);
		if (progress != WRONG && answer->head_bytes)
			progress = read_body(answer, &taken);
	}
	if (progress != COMPLETE)
		return progress;
	g_string_erase(in, 0, (gssize)taken);
	if (answer->status == 200 && !take_server(answer))
		return wrong(answer, "the body of another call");
	return COMPLETE;
}

static void print_wrong(const char *fault)
{
	char *bytes = g_strescape(in->str, NULL);

	fprintf(stderr, "wrong answer %s: %s: %s\n", id, fault, bytes);
	g_free(bytes);
}

static bool send_call(bool order)
{
	char *text = g_strdup_printf("%s HTTP/1.1\r\n"
				     "Host: x.example\r\n"
				     "Attempt-Id: %s\r\n"
				     "Deadline-Ms: 2000\r\n"
				     "X-Name-Call: 1\r\n"
				     "%s\r\n",
				     order ? "POST /order/a" : "GET /safe/a",
				     id, order ? "Content-Length: 1\r\n" : "");
	GString *out = g_string_new(text);
	bool ok;

	if (order)
		g_string_append_c(out, 'x');
	ok = write_all(fd, out->str, out->len, NULL);
	g_string_free(out, TRUE);
	g_free(text);
	return ok;
}

/* Nothing may come between two calls but the end of the connection. */
static void pause_between_calls(void)
{
	uint64_t until_us = tm_now_us() + PAUSE_MS * US_PER_MS;

	while (read_more(until_us))
		;
	if (in->len)
		print_wrong("bytes after the answer");
	if (in->len || ended)
		disconnect();
}

static void run_call(bool order)
{
	struct answer answer = { .body = g_string_new(NULL) };
	enum progress progress = INCOMPLETE;
	bool reused = fd >= 0;

	if ((reused || connect_to_host()) && send_call(order))
		progress = read_answer(&answer);
	if (progress == WRONG)
		print_wrong(answer.fault);
	printf("%s %s %s %d %" G_GUINT64_FORMAT " %d\n",
	       order ? "order" : "safe", id,
	       progress == COMPLETE && answer.status == 200 ? answer.body->str :
							      "-",
	       reused, tm_now_us() / US_PER_MS,
	       progress == COMPLETE ? answer.status : 0);
	fflush(stdout);
	if (progress == COMPLETE && !answer.closes) {
		pause_between_calls();
	} else {
		disconnect();
		g_usleep((progress == COMPLETE ? PAUSE_MS : RECONNECT_MS) *
			 US_PER_MS);
	}
	g_string_free(answer.body, TRUE);
}

int main(int argc, char **argv)
{
	if (argc != 3 || !nt_parse(argv[1], &address)) {
		fprintf(stderr, "usage: tool_caller ADDRESS PREFIX\n");
		return 2;
	}
	signal(SIGTERM, on_stop);
	in = g_string_new(NULL);
	for (uint64_t number = 1; !stopping; number++) {
		id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, argv[2], number);
		run_call(number % CALLS_PER_ORDER == 0);
		g_free(id);
	}
	return 0;
}
