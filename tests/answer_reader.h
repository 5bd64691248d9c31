/*
 * Reads answers of a host from a socket, and says what is no answer. Used by
 * tool_caller.c and tool_strict.c.
 */
#ifndef ANSWER_READER_H
#define ANSWER_READER_H

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/timer.h"

#define ANSWER_START "HTTP/1.1 "

enum { US_PER_MS = 1000 };

/* A connection, and what it has brought. */
struct wire {
	int fd; /* -1: not connected */
	GString *bytes;
	size_t at; /* what is taken next */
	size_t max_bytes; /* nothing is read after these; 0: no limit */
	uint64_t until_us; /* reads wait until then */
	bool ended;
	bool reset; /* how it has ended */
	bool late; /* the last read waited for nothing */
};

/* What was read so far. */
enum progress { INCOMPLETE, COMPLETE, WRONG };

enum framing { BY_LENGTH, BY_CHUNKS, BY_CLOSE };

struct answer {
	unsigned status;
	enum framing framing;
	uint64_t length; /* BY_LENGTH */
	bool closes; /* the host says that it closes the connection */
	char *id; /* of the call; NULL: none */
	GString *body;
	const char *fault; /* WRONG: why */
};

static inline void wire_close(struct wire *wire)
{
	if (wire->fd >= 0)
		close(wire->fd);
	wire->fd = -1;
	wire->ended = false;
	wire->reset = false;
	wire->late = false;
	wire->at = 0;
	g_string_truncate(wire->bytes, 0);
}

static inline bool wire_connect(struct wire *wire,
				const struct sockaddr_in *address)
{
	wire->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (wire->fd >= 0 &&
	    !connect(wire->fd, (const void *)address, sizeof(*address)))
		return true;
	wire_close(wire);
	return false;
}

static inline size_t wire_left(const struct wire *wire)
{
	return wire->bytes->len - wire->at;
}

static inline void wire_drop_taken(struct wire *wire)
{
	g_string_erase(wire->bytes, 0, (gssize)wire->at);
	wire->at = 0;
}

static inline bool wire_wait(const struct wire *wire)
{
	struct pollfd poll_fd = { .fd = wire->fd, .events = POLLIN };
	uint64_t now_us;
	int ready = -1;

	/* A signal ends the wait early. */
	while (ready < 0 && (now_us = tm_now_us()) < wire->until_us)
		ready = poll(&poll_fd, 1,
			     (int)((wire->until_us - now_us) / US_PER_MS) + 1);
	return ready > 0;
}

/* wire_read - read what comes. False: nothing came in time, or the end. */
static inline bool wire_read(struct wire *wire)
{
	char data[4096];
	ssize_t n;

	if (wire->ended ||
	    (wire->max_bytes && wire->bytes->len >= wire->max_bytes))
		return false;
	wire->late = !wire_wait(wire);
	if (wire->late)
		return false;
	n = recv(wire->fd, data, sizeof(data), 0);
	wire->ended = n <= 0;
	wire->reset = n < 0;
	if (n > 0)
		g_string_append_len(wire->bytes, data, n);
	return n > 0;
}

static inline enum progress answer_wrong(struct answer *answer,
					 const char *fault)
{
	answer->fault = fault;
	return WRONG;
}

/* Takes a line, without its CRLF, to be freed. */
static inline enum progress answer_read_line(struct wire *wire,
					     struct answer *answer, char **line)
{
	const char *begin;
	const char *end;

	do {
		begin = wire->bytes->str + wire->at;
		end = strstr(begin, "\r\n");
		if (!end && strlen(begin) != wire_left(wire))
			return answer_wrong(answer, "a NUL in the head");
	} while (!end && wire_read(wire));
	if (!end)
		return INCOMPLETE;
	*line = g_strndup(begin, (gsize)(end - begin));
	wire->at += (size_t)(end - begin) + strlen("\r\n");
	return COMPLETE;
}

static inline enum progress answer_read_status(struct wire *wire,
					       struct answer *answer)
{
	g_autofree char *line = NULL;
	size_t begin = wire->at;
	enum progress progress = answer_read_line(wire, answer, &line);

	if (memcmp(wire->bytes->str + begin, ANSWER_START,
		   MIN(wire->bytes->len - begin, strlen(ANSWER_START))) != 0)
		return answer_wrong(answer, "no answer");
	if (progress != COMPLETE)
		return progress;
	if (!g_regex_match_simple("^HTTP/1\\.1 \\d{3} ", line, 0, 0))
		return answer_wrong(answer, "no status line");
	answer->status = (unsigned)atoi(line + strlen(ANSWER_START));
	if (answer->status < 200)
		return answer_wrong(answer, "an interim answer");
	return COMPLETE;
}

/* The value of a header field NAME in LINE; NULL: it is another one. */
static inline const char *answer_field(const char *line, const char *name)
{
	size_t bytes = strlen(name);

	if (strncasecmp(line, name, bytes) != 0 || line[bytes] != ':')
		return NULL;
	line += bytes + 1;
	return line + strspn(line, " ");
}

static inline enum progress answer_take_field(struct answer *answer,
					      const char *line, bool *framed)
{
	const char *length = answer_field(line, "content-length");
	const char *coding = answer_field(line, "transfer-encoding");
	const char *connection = answer_field(line, "connection");
	const char *id = answer_field(line, "attempt-id");

	if (!strchr(line, ':') || strpbrk(line, "\r\n"))
		return answer_wrong(answer, "no header");
	if ((length || coding) && *framed)
		return answer_wrong(answer, "more than one framing");
	if (length && (!*length || length[strspn(length, "0123456789")]))
		return answer_wrong(answer, "a length that is no number");
	if (coding && strcasecmp(coding, "chunked") != 0)
		return answer_wrong(answer, "a coding that was not asked for");
	if (id && answer->id)
		return answer_wrong(answer, "more than one id");
	*framed |= length || coding;
	if (length)
		answer->length = g_ascii_strtoull(length, NULL, 10);
	if (length || coding)
		answer->framing = length ? BY_LENGTH : BY_CHUNKS;
	if (connection)
		answer->closes = !strcasecmp(connection, "close");
	if (id)
		answer->id = g_strdup(id);
	return COMPLETE;
}

/* answer_read_head - read a head into ANSWER, whose body is an empty string. */
static inline enum progress answer_read_head(struct wire *wire,
					     struct answer *answer)
{
	enum progress progress = answer_read_status(wire, answer);
	bool framed = false;
	bool last = false;

	answer->framing = BY_CLOSE;
	while (progress == COMPLETE && !last) {
		g_autofree char *line = NULL;

		progress = answer_read_line(wire, answer, &line);
		if (progress != COMPLETE)
			break;
		last = !*line;
		if (!last)
			progress = answer_take_field(answer, line, &framed);
	}
	return progress;
}

static inline enum progress
answer_read_bytes(struct wire *wire, struct answer *answer, uint64_t bytes)
{
	while (bytes) {
		size_t part = MIN(bytes, wire_left(wire));

		g_string_append_len(answer->body, wire->bytes->str + wire->at,
				    (gssize)part);
		wire->at += part;
		bytes -= part;
		if (bytes && !wire_read(wire))
			return INCOMPLETE;
	}
	return COMPLETE;
}

/* Takes DIGITS bytes and a CRLF; those that have come must be right. */
static inline enum progress answer_take_crlf(struct wire *wire, size_t digits)
{
	size_t rest = MIN(wire_left(wire) - digits, strlen("\r\n"));

	if (memcmp(wire->bytes->str + wire->at + digits, "\r\n", rest) != 0)
		return WRONG;
	if (rest < strlen("\r\n"))
		return INCOMPLETE;
	wire->at += digits + rest;
	return COMPLETE;
}

static inline enum progress
answer_read_chunk_size(struct wire *wire, struct answer *answer, uint64_t *size)
{
	enum progress progress;

	do {
		const char *text = wire->bytes->str + wire->at;
		size_t digits = strspn(text, "0123456789abcdefABCDEF");

		*size = g_ascii_strtoull(text, NULL, 16);
		progress = wire_left(wire) && !digits ?
				   WRONG :
				   answer_take_crlf(wire, digits);
	} while (progress == INCOMPLETE && wire_read(wire));
	return progress == WRONG ? answer_wrong(answer, "no chunk") : progress;
}

static inline enum progress answer_read_chunks(struct wire *wire,
					       struct answer *answer)
{
	enum progress progress;
	uint64_t size = 0;

	do {
		progress = answer_read_chunk_size(wire, answer, &size);
		if (progress == COMPLETE)
			progress = answer_read_bytes(wire, answer, size);
		if (progress != COMPLETE)
			return progress;
		while ((progress = answer_take_crlf(wire, 0)) == INCOMPLETE)
			if (!wire_read(wire))
				return INCOMPLETE;
		if (progress == WRONG)
			return answer_wrong(answer, "no end of a chunk");
	} while (size);
	return COMPLETE;
}

/* answer_read_body - read the body after the head, as far as it comes. */
static inline enum progress answer_read_body(struct wire *wire,
					     struct answer *answer)
{
	if (answer->framing == BY_CHUNKS)
		return answer_read_chunks(wire, answer);
	if (answer->framing == BY_LENGTH)
		return answer_read_bytes(wire, answer, answer->length);
	answer_read_bytes(wire, answer, UINT64_MAX);
	return wire->ended && !wire->reset ? COMPLETE : INCOMPLETE;
}

static inline void answer_free(struct answer *answer)
{
	g_free(answer->id);
	g_string_free(answer->body, TRUE);
}

#endif
