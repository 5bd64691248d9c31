/*
 * Caller over HTTP/2 that sends calls on one connection, and prints what came on each of
 * their streams, frame by frame.
 *
 * usage: tool_streams ADDRESS SECONDS [CA-FILE]
 * With CA-FILE, over TLS. Each line of stdin is a call: ID PATH DEADLINE-MS WINDOW.
 * WINDOW is how many bytes of the answer the caller takes, or "all". It may be followed by
 * KEY NAME VALUE: a key ("-": none) and a trailer. After a line "then"
 * calls are sent one by one, each when all before it have ended. Prints a line a call:
 * ID STATUS BODY END. Of a big body it prints the numbers of "x" and "y". END is
 *	whole		END_STREAM
 *	reset-CODE	RST_STREAM
 *	open		neither until the end of the connection, or for SECONDS
 * Frames after the end of a stream, or on a stream of no call, are marked. The last line
 * is end=done if the connection was open when all calls had ended; else end=eof,
 * end=reset or end=timeout, or end=goaway-CODE for a GOAWAY with an error.
 */
#include <errno.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <openssl/ssl.h>

#include "base/net.h"

#define PREFACE	     "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
#define REQUEST_BODY "abc"

enum {
	FRAME_HEAD_BYTES = 9,
	STREAM_ID_MASK = 0x7fffffff,
	WIDE_WINDOW_BYTES = 1 << 30,
	MAX_PRINTED_BYTES = 64
};
enum { DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING };
enum { GOAWAY = 7, WINDOW_UPDATE };
enum { END_STREAM = 0x1, ACK = 0x1, END_HEADERS = 0x4 };
enum { SETTING_INITIAL_WINDOW = 4 };
/* Of the table of header fields in RFC 7541, appendix A. */
enum { FIELD_STATUS = 8, FIRST_INDEXED_STATUS = 0x88 };

struct call {
	char id[64];
	char path[128];
	unsigned deadline_ms;
	uint32_t window_bytes;
	char key[64]; /* empty or "-": none */
	char trailer[64]; /* its name; empty: none */
	char trailer_value[96];
	bool after_others; /* sent when all before it have ended */
	bool sent;
	bool ended;
	unsigned status;
	GString *body;
	char end[32];
};

struct caller {
	int fd;
	SSL *tls; /* NULL: plaintext */
	GArray *calls; /* the one at I has the stream 2 I + 1 */
	const char *end; /* NULL: the connection is open */
	char goaway[32];
	gint64 until_us;
};

static void fail(const char *what)
{
	fprintf(stderr, "%s\n", what);
	exit(2);
}

static struct call *call_at(const struct caller *caller, uint32_t index)
{
	return &g_array_index(caller->calls, struct call, index);
}

static void write_bytes(struct caller *caller, const void *data, size_t bytes)
{
	ssize_t n = caller->tls ? SSL_write(caller->tls, data, (int)bytes) :
				  send(caller->fd, data, bytes, MSG_NOSIGNAL);

	if (n != (ssize_t)bytes)
		caller->end = "reset";
}

static void append_number(GString *out, uint32_t number)
{
	uint32_t wire = GUINT32_TO_BE(number);

	g_string_append_len(out, (const char *)&wire, sizeof(wire));
}

static void write_frame(struct caller *caller, uint8_t type, uint8_t flags,
			uint32_t stream, const GString *payload)
{
	GString *out = g_string_new(NULL);

	append_number(out, (uint32_t)payload->len << 8 | type);
	g_string_append_c(out, (char)flags);
	append_number(out, stream);
	g_string_append_len(out, payload->str, (gssize)payload->len);
	write_bytes(caller, out->str, out->len);
	g_string_free(out, TRUE);
}

static void write_window(struct caller *caller, uint32_t stream, uint32_t bytes)
{
	GString *payload = g_string_new(NULL);

	append_number(payload, bytes);
	write_frame(caller, WINDOW_UPDATE, 0, stream, payload);
	g_string_free(payload, TRUE);
}

/* Streams begin without a window; each call then opens its own. */
static void write_preface(struct caller *caller)
{
	GString *settings = g_string_new(NULL);

	write_bytes(caller, PREFACE, strlen(PREFACE));
	g_string_append_c(settings, 0);
	g_string_append_c(settings, SETTING_INITIAL_WINDOW);
	append_number(settings, 0);
	write_frame(caller, SETTINGS, 0, 0, settings);
	write_window(caller, 0, WIDE_WINDOW_BYTES);
	g_string_free(settings, TRUE);
}

/* As a literal that is not indexed, which needs no table of earlier fields. */
static void append_field(GString *out, const char *name, const char *value)
{
	g_string_append_c(out, 0);
	g_string_append_c(out, (char)strlen(name));
	g_string_append(out, name);
	g_string_append_c(out, (char)strlen(value));
	g_string_append(out, value);
}

static void send_call(struct caller *caller, uint32_t index)
{
	struct call *call = call_at(caller, index);
	uint32_t stream = 2 * index + 1;
	GString *payload = g_string_new(NULL);
	char deadline[16];

	snprintf(deadline, sizeof(deadline), "%u", call->deadline_ms);
	append_field(payload, ":method", "POST");
	append_field(payload, ":scheme", caller->tls ? "https" : "http");
	append_field(payload, ":path", call->path);
	append_field(payload, ":authority", "x.example");
	append_field(payload, "attempt-id", call->id);
	append_field(payload, "deadline-ms", deadline);
	if (*call->key && strcmp(call->key, "-") != 0) {
		char *value = g_strconcat("Bearer ", call->key, NULL);

		append_field(payload, "authorization", value);
		g_free(value);
	}
	write_frame(caller, HEADERS, END_HEADERS, stream, payload);
	g_string_assign(payload, REQUEST_BODY);
	write_frame(caller, DATA, *call->trailer ? 0 : END_STREAM, stream,
		    payload);
	if (*call->trailer) {
		g_string_truncate(payload, 0);
		append_field(payload, call->trailer, call->trailer_value);
		write_frame(caller, HEADERS, END_HEADERS | END_STREAM, stream,
			    payload);
	}
	g_string_free(payload, TRUE);
	if (call->window_bytes)
		write_window(caller, stream, call->window_bytes);
	call->sent = true;
}

/* Sends the calls that wait for no other; returns whether all calls have ended. */
static bool send_ready(struct caller *caller)
{
	bool all_ended = true;

	for (uint32_t i = 0; i < caller->calls->len; i++) {
		struct call *call = call_at(caller, i);

		if (!call->sent && call->after_others && !all_ended)
			return false;
		if (!call->sent)
			send_call(caller, i);
		all_ended &= call->ended;
	}
	return all_ended;
}

static void end_call(struct call *call, const char *end, uint32_t code)
{
	call->ended = true;
	if (!strcmp(end, "reset"))
		snprintf(call->end, sizeof(call->end), "reset-%u", code);
	else
		g_strlcpy(call->end, end, sizeof(call->end));
}

/* The status is the first field of a head, indexed or as three digits. */
static unsigned read_status(const uint8_t *head, size_t bytes)
{
	static const unsigned indexed[] = { 200, 204, 206, 304, 400, 404, 500 };
	char digits[4] = { 0 };

	if (!bytes)
		return 0;
	if (head[0] >= FIRST_INDEXED_STATUS &&
	    head[0] < FIRST_INDEXED_STATUS + G_N_ELEMENTS(indexed))
		return indexed[head[0] - FIRST_INDEXED_STATUS];
	if (bytes < 5 || (head[0] & 0x0f) != FIELD_STATUS || head[1] != 3)
		return 0;
	memcpy(digits, head + 2, 3);
	return (unsigned)strtoul(digits, NULL, 10);
}

static uint32_t read_number(const uint8_t *data)
{
	uint32_t wire;

	memcpy(&wire, data, sizeof(wire));
	return GUINT32_FROM_BE(wire);
}

static void on_stream_frame(struct call *call, uint8_t type, uint8_t flags,
			    const uint8_t *data, size_t bytes)
{
	if (call->ended && type != WINDOW_UPDATE) {
		g_strlcat(call->end, ",frame-after-end", sizeof(call->end));
		return;
	}
	if (type == HEADERS)
		call->status = read_status(data, bytes);
	else if (type == DATA)
		g_string_append_len(call->body, (const char *)data,
				    (gssize)bytes);
	if (type == RST_STREAM)
		end_call(call, "reset", read_number(data));
	else if ((type == HEADERS || type == DATA) && (flags & END_STREAM))
		end_call(call, "whole", 0);
}

static void on_connection_frame(struct caller *caller, uint8_t type,
				uint8_t flags, const uint8_t *data,
				size_t bytes)
{
	GString *payload = g_string_new(NULL);

	if (type == SETTINGS && !(flags & ACK)) {
		write_frame(caller, SETTINGS, ACK, 0, payload);
	} else if (type == PING && !(flags & ACK)) {
		g_string_append_len(payload, (const char *)data, (gssize)bytes);
		write_frame(caller, PING, ACK, 0, payload);
	} else if (type == GOAWAY && read_number(data + 4)) {
		snprintf(caller->goaway, sizeof(caller->goaway), "goaway-%u",
			 read_number(data + 4));
		caller->end = caller->goaway;
	}
	g_string_free(payload, TRUE);
}

static void on_frame(struct caller *caller, const uint8_t *frame, size_t bytes)
{
	uint32_t stream = read_number(frame + 5) & STREAM_ID_MASK;
	const uint8_t *data = frame + FRAME_HEAD_BYTES;
	uint8_t type = frame[3];
	uint8_t flags = frame[4];

	if (!stream)
		on_connection_frame(caller, type, flags, data, bytes);
	else if (stream % 2 && stream / 2 < caller->calls->len &&
		 call_at(caller, stream / 2)->sent)
		on_stream_frame(call_at(caller, stream / 2), type, flags, data,
				bytes);
	else
		printf("(frame %u on stream %u of no call)\n", type, stream);
}

/* Removes the frames that have come whole. */
static void on_input(struct caller *caller, GByteArray *input)
{
	while (input->len >= FRAME_HEAD_BYTES && !caller->end) {
		size_t bytes = read_number(input->data) >> 8;

		if (input->len < FRAME_HEAD_BYTES + bytes)
			return;
		on_frame(caller, input->data, bytes);
		g_byte_array_remove_range(input, 0, FRAME_HEAD_BYTES + bytes);
	}
}

/* Waits for input until the time is over. */
static bool wait_for_input(struct caller *caller)
{
	struct pollfd poll_fd = { .fd = caller->fd, .events = POLLIN };
	gint64 left_us = caller->until_us - g_get_monotonic_time();

	if (caller->tls && SSL_pending(caller->tls))
		return true;
	return left_us > 0 && poll(&poll_fd, 1, (int)(left_us / 1000) + 1) > 0;
}

static void read_input(struct caller *caller, GByteArray *input)
{
	uint8_t data[16384];
	ssize_t n;

	if (!wait_for_input(caller)) {
		caller->end = "timeout";
		return;
	}
	if (caller->tls)
		n = SSL_read(caller->tls, data, sizeof(data));
	else
		n = recv(caller->fd, data, sizeof(data), 0);
	if (n > 0) {
		g_byte_array_append(input, data, (guint)n);
		on_input(caller, input);
	} else {
		caller->end = n ? "reset" : "eof";
	}
}

static void connect_tls(struct caller *caller, const char *ca_file)
{
	static const unsigned char alpn[] = "\2h2";
	SSL_CTX *ctx = SSL_CTX_new(TLS_client_method());

	if (!SSL_CTX_load_verify_locations(ctx, ca_file, NULL))
		fail("no certificate");
	SSL_CTX_set_verify(ctx, SSL_VERIFY_PEER, NULL);
	SSL_CTX_set_alpn_protos(ctx, alpn, sizeof(alpn) - 1);
	caller->tls = SSL_new(ctx);
	SSL_CTX_free(ctx);
	SSL_set_fd(caller->tls, caller->fd);
	if (SSL_connect(caller->tls) != 1)
		fail("no TLS");
}

static void read_calls(struct caller *caller)
{
	char line[256];
	char window[16];
	bool after_others = false;

	while (fgets(line, sizeof(line), stdin)) {
		struct call call = { .after_others = after_others };

		if (!strcmp(line, "then\n")) {
			after_others = true;
			continue;
		}
		if (sscanf(line, "%63s %127s %u %15s %63s %63s %95[^\n]",
			   call.id, call.path, &call.deadline_ms, window,
			   call.key, call.trailer, call.trailer_value) < 4)
			fail("a call is ID PATH DEADLINE-MS WINDOW");
		call.window_bytes = strcmp(window, "all") != 0 ?
					    (uint32_t)atoi(window) :
					    WIDE_WINDOW_BYTES;
		call.body = g_string_new(NULL);
		g_strlcpy(call.end, "open", sizeof(call.end));
		g_array_append_val(caller->calls, call);
	}
}

static void print_call(const struct call *call)
{
	size_t counts[2] = { 0 };

	printf("%s %u ", call->id, call->status);
	for (size_t i = 0; i < call->body->len; i++) {
		counts[0] += call->body->str[i] == 'x';
		counts[1] += call->body->str[i] == 'y';
	}
	if (call->body->len > MAX_PRINTED_BYTES &&
	    counts[0] + counts[1] == call->body->len)
		printf("big-%zu-%zu ", counts[0], counts[1]);
	else if (g_str_has_prefix(call->body->str, "{\"error\""))
		printf("error ");
	else
		printf("%s ", call->body->len ? call->body->str : "-");
	printf("%s\n", call->end);
}

static void run_caller(struct caller *caller)
{
	GByteArray *input = g_byte_array_new();

	write_preface(caller);
	while (!caller->end && !send_ready(caller))
		read_input(caller, input);
	for (uint32_t i = 0; i < caller->calls->len; i++)
		print_call(call_at(caller, i));
	printf("end=%s\n", caller->end ? caller->end : "done");
	g_byte_array_free(input, TRUE);
}

int main(int argc, char **argv)
{
	struct caller caller = { 0 };
	struct nt_address address;

	if (argc < 3 || !nt_parse(argv[1], &address)) {
		fprintf(stderr,
			"usage: tool_streams ADDRESS SECONDS [CA-FILE]\n");
		return 2;
	}
	caller.calls = g_array_new(FALSE, FALSE, sizeof(struct call));
	read_calls(&caller);
	caller.fd = socket(address.addr.ss_family, SOCK_STREAM, 0);
	if (connect(caller.fd, (const struct sockaddr *)&address.addr,
		    nt_sockaddr_size(&address)))
		fail("no connection");
	if (argc > 3)
		connect_tls(&caller, argv[3]);
	caller.until_us = g_get_monotonic_time() +
			  strtol(argv[2], NULL, 10) * G_USEC_PER_SEC;
	run_caller(&caller);
	for (uint32_t i = 0; i < caller.calls->len; i++)
		g_string_free(call_at(&caller, i)->body, TRUE);
	g_array_free(caller.calls, TRUE);
	SSL_free(caller.tls);
	close(caller.fd);
	return 0;
}
