#ifndef HTTP_ANSWER_H
#define HTTP_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * Reader of HTTP/1.1 answers. It alone decides what an answer is and where it ends, for
 * answers of servers, other hosts and the platform. The measure is RFC 9110 (tokens,
 * field values, status codes) and RFC 9112 (status line, framing):
 *
 * - A blank between a field's name and the colon is removed, and a folded line joined
 *   by a blank, as 5.1 and 5.2 of RFC 9112 let a proxy do.
 * - A line of a head or trailer may end with LF alone (2.2), a line of the chunked
 *   coding may not.
 * - Empty lines before a status line belong to no answer and are skipped, as are
 *   interim answers. 101 is no answer, because no request asks for another protocol.
 * - Of the transfer codings only "chunked" is taken: the caller would not learn of
 *   another one.
 */

enum { HC_MAX_HEAD_BYTES = 32 * 1024, HC_MAX_HEADERS = 100 };

enum hc_status_class { HC_STATUS_INVALID, HC_STATUS_INTERIM, HC_STATUS_FINAL };

struct hc_header {
	const char *name;
	const char *value;
	size_t name_bytes;
	size_t value_bytes;
};

/* Head of an answer; valid during the callback only. */
struct hc_head {
	int status;
	const struct hc_header *headers;
	uint32_t header_count;
	uint64_t content_length; /* UINT64_MAX: chunked or not given */
};

/* Callbacks of a reader. They return whether to read on. */
struct hc_reader_handler {
	bool (*head)(void *ctx, const struct hc_head *head);
	bool (*body)(void *ctx, const char *data, size_t data_bytes);
};

enum hc_reader_state {
	HC_READ_STATUS_LINE,
	HC_READ_FIELDS,
	HC_READ_LENGTH, /* a body by length */
	HC_READ_CHUNK_SIZE,
	HC_READ_CHUNK_DATA,
	HC_READ_CHUNK_END,
	HC_READ_TRAILERS,
	HC_READ_TO_CLOSE, /* a body that ends with the connection */
	HC_READ_COMPLETE,
	HC_READ_FAILED
};

/* A field in the text of a head, as offsets because that may be reallocated. */
struct hc_span {
	uint32_t name_at;
	uint32_t name_bytes;
	uint32_t value_at;
	uint32_t value_bytes;
};

/* Memory of the caller. STATE and ERROR may be read; the rest is private. */
struct hc_reader {
	enum hc_reader_state state;
	const char *error; /* why reading has failed; a constant text */
	const struct hc_reader_handler *handler;
	void *ctx;
	bool head_method;
	bool may_end_with_close;
	GString *text; /* of the head, of a chunk's line, or of the trailer */
	size_t line_at; /* where the line being read begins in it */
	uint32_t status;
	uint32_t minor_version;
	bool chunked;
	bool length_given;
	bool close_named; /* by a header "connection" */
	bool keep_alive_named;
	uint64_t length_bytes;
	uint64_t
		left_bytes; /* of the body by length, of the chunk, or of its end */
	struct hc_span spans[HC_MAX_HEADERS];
	uint32_t span_count;
};

/*
 * hc_reader_init - set up a reader, which calls HANDLER with CTX.
 * hc_reader_finish - free what the reader holds.
 * hc_reader_begin - read the next answer. HEAD_METHOD: it is to a HEAD request;
 * MAY_END_WITH_CLOSE: the end of the connection may end a body without a length, which
 * fails otherwise.
 */
void hc_reader_init(struct hc_reader *reader,
		    const struct hc_reader_handler *handler, void *ctx);
void hc_reader_finish(struct hc_reader *reader);
void hc_reader_begin(struct hc_reader *reader, bool head_method,
		     bool may_end_with_close);

/*
 * hc_reader_feed - read DATA up to the end of the answer. Returns the bytes used, fewer
 * than DATA_BYTES once the answer is complete or has failed; see STATE.
 */
size_t hc_reader_feed(struct hc_reader *reader, const char *data,
		      size_t data_bytes);

/* hc_reader_end - the connection has ended in order; sets STATE. */
void hc_reader_end(struct hc_reader *reader);

/*
 * hc_reader_keeps_connection - whether the next answer may come on the connection
 * after this one, which is complete.
 */
bool hc_reader_keeps_connection(const struct hc_reader *reader);

/*
 * hc_classify_status - what a status code of an answer is worth: 100 to 199 precede
 * the answer, 200 to 599 are answers. With any other the request gets no answer.
 */
enum hc_status_class hc_classify_status(unsigned status);

/*
 * hc_is_token - whether TEXT is a token (RFC 9110, 5.6.2).
 * hc_is_field_text - whether TEXT has no control characters other than a tab.
 */
bool hc_is_token(const char *text, size_t bytes);
bool hc_is_field_text(const char *text, size_t bytes);

/* hc_value_is - whether the value of a header is VALUE; case matters. */
bool hc_value_is(const struct hc_header *header, const char *value);

/* hc_find_header - the first header with that name in an answer, or NULL. */
const struct hc_header *hc_find_header(const struct hc_head *head,
				       const char *name);

#endif
