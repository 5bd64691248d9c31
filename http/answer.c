#include "http/answer.h"

#include <string.h>

enum { DECIMAL = 10, HEXADECIMAL = 16 };
enum { STATUS_DIGITS = 3, STATUS_SWITCHING = 101, STATUS_NO_CONTENT = 204 };
enum { STATUS_NOT_MODIFIED = 304 };

static const char version_prefix[] = "HTTP/1.";
static const char line_end[] = "\r\n";

/* A part of a text that something else owns. */
struct hc_part {
	const char *at;
	size_t bytes;
};

bool hc_is_token(const char *text, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if (!g_ascii_isalnum(text[i]) && text[i] != '-' &&
		    (!text[i] || !strchr("!#$%&'*+.^_`|~", text[i])))
			return false;
	return bytes > 0;
}

bool hc_is_field_text(const char *text, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if (g_ascii_iscntrl(text[i]) && text[i] != '\t')
			return false;
	return true;
}

const struct hc_header *hc_find_header(const struct hc_head *head,
				       const char *name)
{
	size_t len = strlen(name);

	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];

		if (h->name_bytes == len &&
		    !g_ascii_strncasecmp(h->name, name, len))
			return h;
	}
	return NULL;
}

bool hc_value_is(const struct hc_header *header, const char *value)
{
	return header->value_bytes == strlen(value) &&
	       !memcmp(header->value, value, header->value_bytes);
}

enum hc_status_class hc_classify_status(unsigned status)
{
	if (status < 100 || status > 599)
		return HC_STATUS_INVALID;
	return status < 200 ? HC_STATUS_INTERIM : HC_STATUS_FINAL;
}

static bool hc_fail(struct hc_reader *reader, const char *error)
{
	reader->state = HC_READ_FAILED;
	reader->error = error;
	return false;
}

static bool hc_is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static struct hc_part hc_skip(struct hc_part text, size_t bytes)
{
	text.at += bytes;
	text.bytes -= bytes;
	return text;
}

static struct hc_part hc_skip_blanks(struct hc_part text)
{
	while (text.bytes && hc_is_blank(text.at[0]))
		text = hc_skip(text, 1);
	return text;
}

static struct hc_part hc_trim(struct hc_part part)
{
	part = hc_skip_blanks(part);
	while (part.bytes && hc_is_blank(part.at[part.bytes - 1]))
		part.bytes--;
	return part;
}

/* Whether a name, or an element of a list, is TEXT in any case. */
static bool hc_part_is(struct hc_part part, const char *text)
{
	return part.bytes == strlen(text) &&
	       !g_ascii_strncasecmp(part.at, text, part.bytes);
}

/*
 * Takes the next element from a list with commas. Returns false at its end; an empty
 * list has one empty element.
 */
static bool hc_next_element(struct hc_part *list, struct hc_part *element)
{
	const char *comma;

	if (!list->at)
		return false;
	comma = memchr(list->at, ',', list->bytes);
	element->at = list->at;
	element->bytes = comma ? (size_t)(comma - list->at) : list->bytes;
	*element = hc_trim(*element);
	if (comma) {
		list->bytes -= (size_t)(comma + 1 - list->at);
		list->at = comma + 1;
	} else {
		list->at = NULL;
	}
	return true;
}

/*
 * Reads the digits that TEXT begins with. Returns how many there are, or 0 if the number
 * is too large.
 */
static size_t hc_read_number(struct hc_part text, uint32_t base,
			     uint64_t *number)
{
	size_t digits = 0;

	*number = 0;
	for (; digits < text.bytes; digits++) {
		int digit = g_ascii_xdigit_value(text.at[digits]);

		if (digit < 0 || (uint32_t)digit >= base)
			break;
		if (*number > (INT64_MAX - (uint64_t)digit) / base)
			return 0;
		*number = *number * base + (uint64_t)digit;
	}
	return digits;
}

/* Status line */

/* A blank more, or no reason and no blank before it, is taken (RFC 9112, 4). */
static bool hc_read_status_line(struct hc_reader *reader, struct hc_part line)
{
	static const size_t prefix_bytes = sizeof(version_prefix) - 1;
	uint64_t status;
	size_t at = prefix_bytes + 1;

	if (line.bytes < at ||
	    memcmp(line.at, version_prefix, prefix_bytes) != 0 ||
	    !g_ascii_isdigit(line.at[prefix_bytes]))
		return hc_fail(reader, "not a status line of HTTP/1");
	reader->minor_version =
		(uint32_t)g_ascii_digit_value(line.at[prefix_bytes]);
	line = hc_skip(line, at);
	if (!line.bytes || !hc_is_blank(line.at[0]))
		return hc_fail(reader, "not a status line of HTTP/1");
	line = hc_trim(line);
	if (hc_read_number(line, DECIMAL, &status) != STATUS_DIGITS ||
	    (line.bytes > STATUS_DIGITS &&
	     !hc_is_blank(line.at[STATUS_DIGITS])))
		return hc_fail(reader, "the status has not three digits");
	if (hc_classify_status((unsigned)status) == HC_STATUS_INVALID)
		return hc_fail(reader, "no valid status");
	if (status == STATUS_SWITCHING)
		return hc_fail(reader, "another protocol");
	if (!hc_is_field_text(line.at, line.bytes))
		return hc_fail(reader, "a control character in a status line");
	reader->status = (uint32_t)status;
	reader->span_count = 0;
	reader->state = HC_READ_FIELDS;
	return true;
}

/* Fields */

/* Splits a line into name and value; the blank before the colon is removed. */
static bool hc_split_field(struct hc_part line, struct hc_part *name,
			   struct hc_part *value)
{
	const char *colon = memchr(line.at, ':', line.bytes);

	if (!colon || hc_is_blank(line.at[0]))
		return false;
	name->at = line.at;
	name->bytes = (size_t)(colon - line.at);
	*name = hc_trim(*name);
	value->at = colon + 1;
	value->bytes = line.bytes - (size_t)(colon + 1 - line.at);
	*value = hc_trim(*value);
	return hc_is_token(name->at, name->bytes) &&
	       hc_is_field_text(value->at, value->bytes);
}

static bool hc_add_field(struct hc_reader *reader, struct hc_part line)
{
	struct hc_part name;
	struct hc_part value;
	struct hc_span *span;

	if (!hc_split_field(line, &name, &value))
		return hc_fail(reader, "not a field in a head");
	if (reader->span_count == HC_MAX_HEADERS)
		return hc_fail(reader, "too many fields");
	span = &reader->spans[reader->span_count++];
	span->name_at = (uint32_t)(name.at - reader->text->str);
	span->name_bytes = (uint32_t)name.bytes;
	span->value_at = (uint32_t)(value.at - reader->text->str);
	span->value_bytes = (uint32_t)value.bytes;
	return true;
}

/* Appends a folded line to the value of the last field, which is before it in TEXT. */
static bool hc_join_field(struct hc_reader *reader, struct hc_part line)
{
	struct hc_part more = hc_trim(line);
	struct hc_span *span;
	char *end;

	if (!reader->span_count || !hc_is_field_text(more.at, more.bytes))
		return hc_fail(reader, "not a field in a head");
	span = &reader->spans[reader->span_count - 1];
	if (!more.bytes)
		return true;
	if (span->value_bytes) {
		end = reader->text->str + span->value_at + span->value_bytes;
		*end++ = ' ';
		memmove(end, more.at, more.bytes);
		span->value_bytes += 1 + (uint32_t)more.bytes;
	} else {
		span->value_at = (uint32_t)(more.at - reader->text->str);
		span->value_bytes = (uint32_t)more.bytes;
	}
	g_string_truncate(reader->text, span->value_at + span->value_bytes);
	return true;
}

/* Framing */

/* A list of equal lengths is one length (RFC 9112, 6.3). */
static bool hc_add_length(struct hc_reader *reader, struct hc_part list)
{
	struct hc_part element;
	uint64_t length;

	while (hc_next_element(&list, &element)) {
		if (!element.bytes ||
		    hc_read_number(element, DECIMAL, &length) != element.bytes)
			return hc_fail(reader, "no valid length");
		if (reader->length_given && reader->length_bytes != length)
			return hc_fail(reader, "two lengths");
		reader->length_given = true;
		reader->length_bytes = length;
	}
	return true;
}

static bool hc_add_coding(struct hc_reader *reader, struct hc_part value)
{
	if (reader->chunked || !hc_part_is(value, "chunked"))
		return hc_fail(reader, "unknown transfer coding");
	reader->chunked = true;
	return true;
}

static bool hc_add_options(struct hc_reader *reader, struct hc_part list)
{
	struct hc_part element;

	while (hc_next_element(&list, &element)) {
		reader->close_named |= hc_part_is(element, "close");
		reader->keep_alive_named |= hc_part_is(element, "keep-alive");
	}
	return true;
}

static bool hc_has_no_body(const struct hc_reader *reader)
{
	return reader->head_method || reader->status == STATUS_NO_CONTENT ||
	       reader->status == STATUS_NOT_MODIFIED;
}

static bool hc_read_framing(struct hc_reader *reader)
{
	static const struct {
		const char *name;
		bool (*add)(struct hc_reader *reader, struct hc_part value);
	} fields[] = {
		{ "content-length", hc_add_length },
		{ "transfer-encoding", hc_add_coding },
		{ "connection", hc_add_options },
	};

	for (uint32_t i = 0; i < reader->span_count; i++) {
		const struct hc_span *span = &reader->spans[i];
		struct hc_part name = { reader->text->str + span->name_at,
					span->name_bytes };
		struct hc_part value = { reader->text->str + span->value_at,
					 span->value_bytes };

		for (uint32_t f = 0; f < G_N_ELEMENTS(fields); f++)
			if (hc_part_is(name, fields[f].name) &&
			    !fields[f].add(reader, value))
				return false;
	}
	if (reader->chunked && reader->length_given)
		return hc_fail(reader, "chunked, with a length");
	if (reader->chunked && !reader->minor_version)
		return hc_fail(reader, "chunked, in HTTP/1.0");
	if (!reader->chunked && !reader->length_given &&
	    !hc_has_no_body(reader) && !reader->may_end_with_close)
		return hc_fail(reader, "a body without a length");
	return true;
}

/* Where the body begins, or the answer ends without one. */
static enum hc_reader_state hc_body_state(struct hc_reader *reader)
{
	if (hc_has_no_body(reader))
		return HC_READ_COMPLETE;
	if (reader->chunked)
		return HC_READ_CHUNK_SIZE;
	if (!reader->length_given)
		return HC_READ_TO_CLOSE;
	reader->left_bytes = reader->length_bytes;
	return reader->left_bytes ? HC_READ_LENGTH : HC_READ_COMPLETE;
}

static bool hc_pass_head(struct hc_reader *reader)
{
	struct hc_header headers[HC_MAX_HEADERS];
	struct hc_head head = {
		.status = (int)reader->status,
		.headers = headers,
		.header_count = reader->span_count,
		.content_length = reader->length_given ? reader->length_bytes :
							 UINT64_MAX,
	};
	const char *text = reader->text->str;

	for (uint32_t i = 0; i < reader->span_count; i++) {
		const struct hc_span *span = &reader->spans[i];

		headers[i].name = text + span->name_at;
		headers[i].name_bytes = span->name_bytes;
		headers[i].value = text + span->value_at;
		headers[i].value_bytes = span->value_bytes;
	}
	return reader->handler->head(reader->ctx, &head) ||
	       hc_fail(reader, "not wanted");
}

static bool hc_end_head(struct hc_reader *reader)
{
	if (hc_classify_status(reader->status) == HC_STATUS_INTERIM) {
		reader->state = HC_READ_STATUS_LINE;
		return true;
	}
	if (!hc_read_framing(reader) || !hc_pass_head(reader))
		return false;
	reader->state = hc_body_state(reader);
	return true;
}

/* Chunks */

/* Takes C and the blanks before it, if it follows. */
static bool hc_take(struct hc_part *text, char c)
{
	struct hc_part rest = hc_skip_blanks(*text);

	if (!rest.bytes || rest.at[0] != c)
		return false;
	*text = hc_skip(rest, 1);
	return true;
}

/* Takes a token and the blanks before it. */
static bool hc_take_token(struct hc_part *text)
{
	struct hc_part rest = hc_skip_blanks(*text);
	size_t bytes = 0;

	while (bytes < rest.bytes && hc_is_token(rest.at + bytes, 1))
		bytes++;
	*text = hc_skip(rest, bytes);
	return bytes > 0;
}

/* Takes a quoted string up to its end; the first quote has been taken. */
static bool hc_take_quoted(struct hc_part *text)
{
	for (size_t i = 0; i < text->bytes; i++) {
		if (text->at[i] == '\\') {
			i++;
		} else if (text->at[i] == '"') {
			*text = hc_skip(*text, i + 1);
			return true;
		}
	}
	return false;
}

/* Whether TEXT is a list of chunk extensions (RFC 9112, 7.1.1); it may be empty. */
static bool hc_is_extensions(struct hc_part text)
{
	if (!hc_is_field_text(text.at, text.bytes))
		return false;
	while (text.bytes) {
		if (!hc_take(&text, ';') || !hc_take_token(&text))
			return false;
		if (hc_take(&text, '=') &&
		    !(hc_take(&text, '"') ? hc_take_quoted(&text) :
					    hc_take_token(&text)))
			return false;
	}
	return true;
}

static bool hc_read_chunk_size(struct hc_reader *reader, struct hc_part line)
{
	size_t digits = hc_read_number(line, HEXADECIMAL, &reader->left_bytes);

	if (!digits || !hc_is_extensions(hc_skip(line, digits)))
		return hc_fail(reader, "no valid size of a chunk");
	reader->span_count = 0; /* of the trailer, from here on */
	reader->state =
		reader->left_bytes ? HC_READ_CHUNK_DATA : HC_READ_TRAILERS;
	return true;
}

/* Of a trailer, only its form counts. */
static bool hc_read_trailer(struct hc_reader *reader, struct hc_part line)
{
	struct hc_part name;
	struct hc_part value;

	if (!line.bytes) {
		reader->state = HC_READ_COMPLETE;
		return true;
	}
	if (reader->span_count && hc_is_blank(line.at[0]) ?
		    !hc_is_field_text(line.at, line.bytes) :
		    !hc_split_field(line, &name, &value))
		return hc_fail(reader, "not a field in a trailer");
	reader->span_count++;
	return true;
}

/* Lines */

static void hc_begin_line(struct hc_reader *reader)
{
	bool new_text = reader->state == HC_READ_STATUS_LINE ||
			reader->state == HC_READ_CHUNK_SIZE;

	if (new_text)
		g_string_truncate(reader->text, 0);
	reader->line_at = reader->text->len;
}

static bool hc_read_line(struct hc_reader *reader, struct hc_part line)
{
	switch (reader->state) {
	case HC_READ_STATUS_LINE:
		return !line.bytes || hc_read_status_line(reader, line);
	case HC_READ_FIELDS:
		if (!line.bytes)
			return hc_end_head(reader);
		return hc_is_blank(line.at[0]) ? hc_join_field(reader, line) :
						 hc_add_field(reader, line);
	case HC_READ_CHUNK_SIZE:
		return hc_read_chunk_size(reader, line);
	default:
		return hc_read_trailer(reader, line);
	}
}

/* Reads a line without its LF. */
static void hc_end_line(struct hc_reader *reader)
{
	struct hc_part line = { reader->text->str + reader->line_at,
				reader->text->len - reader->line_at };
	bool has_cr = line.bytes && line.at[line.bytes - 1] == '\r';

	if (has_cr)
		line.bytes--;
	if (!has_cr && reader->state == HC_READ_CHUNK_SIZE)
		hc_fail(reader, "no valid size of a chunk");
	else if (hc_read_line(reader, line))
		hc_begin_line(reader);
}

/* Whether a CR in the text from AT on is followed by something, which is not LF. */
static bool hc_has_bare_cr(const GString *text, size_t at)
{
	const char *cr = memchr(text->str + at, '\r', text->len - at);

	return cr && cr + 1 < text->str + text->len;
}

static bool hc_begins_as_status_line(const GString *text)
{
	size_t bytes = MIN(text->len, sizeof(version_prefix) - 1);

	return !memcmp(text->str, version_prefix, bytes) ||
	       (text->len == 1 && text->str[0] == '\r');
}

/*
 * Fails as soon as the bytes can be no line, since its end may not come. NEW_AT is where
 * those that were not checked yet begin.
 */
static bool hc_check_line(struct hc_reader *reader, size_t new_at)
{
	/* With the last byte before: a CR whose successor is new. */
	size_t at = MAX(reader->line_at, new_at - MIN(new_at, 1));

	if (reader->state == HC_READ_STATUS_LINE &&
	    !hc_begins_as_status_line(reader->text))
		return hc_fail(reader, "not a status line of HTTP/1");
	if (hc_has_bare_cr(reader->text, at))
		return hc_fail(reader, "a CR within a line");
	return true;
}

static size_t hc_feed_line(struct hc_reader *reader, const char *data,
			   size_t data_bytes)
{
	const char *lf = memchr(data, '\n', data_bytes);
	size_t bytes = lf ? (size_t)(lf - data) : data_bytes;
	size_t new_at = reader->text->len;

	if (new_at + bytes > HC_MAX_HEAD_BYTES) {
		hc_fail(reader, "a head or a line that is too long");
		return 0;
	}
	g_string_append_len(reader->text, data, (gssize)bytes);
	if (hc_check_line(reader, new_at) && lf)
		hc_end_line(reader);
	return lf ? bytes + 1 : bytes;
}

/* Bodies */

static void hc_end_part(struct hc_reader *reader)
{
	if (reader->state == HC_READ_CHUNK_DATA) {
		reader->state = HC_READ_CHUNK_END;
		reader->left_bytes = strlen(line_end);
	} else {
		reader->state = HC_READ_COMPLETE;
	}
}

static size_t hc_feed_body(struct hc_reader *reader, const char *data,
			   size_t data_bytes)
{
	bool to_close = reader->state == HC_READ_TO_CLOSE;
	size_t bytes =
		to_close ? data_bytes : MIN(data_bytes, reader->left_bytes);

	if (!reader->handler->body(reader->ctx, data, bytes)) {
		hc_fail(reader, "not wanted");
		return bytes;
	}
	if (to_close)
		return bytes;
	reader->left_bytes -= bytes;
	if (!reader->left_bytes)
		hc_end_part(reader);
	return bytes;
}

static size_t hc_feed_chunk_end(struct hc_reader *reader, char c)
{
	if (c != line_end[strlen(line_end) - reader->left_bytes]) {
		hc_fail(reader, "a chunk does not end at its size");
		return 0;
	}
	if (!--reader->left_bytes) {
		reader->state = HC_READ_CHUNK_SIZE;
		hc_begin_line(reader);
	}
	return 1;
}

static size_t hc_feed_part(struct hc_reader *reader, const char *data,
			   size_t data_bytes)
{
	switch (reader->state) {
	case HC_READ_LENGTH:
	case HC_READ_CHUNK_DATA:
	case HC_READ_TO_CLOSE:
		return hc_feed_body(reader, data, data_bytes);
	case HC_READ_CHUNK_END:
		return hc_feed_chunk_end(reader, data[0]);
	default:
		return hc_feed_line(reader, data, data_bytes);
	}
}

size_t hc_reader_feed(struct hc_reader *reader, const char *data,
		      size_t data_bytes)
{
	size_t used = 0;

	while (used < data_bytes && reader->state < HC_READ_COMPLETE)
		used += hc_feed_part(reader, data + used, data_bytes - used);
	return used;
}

void hc_reader_end(struct hc_reader *reader)
{
	if (reader->state == HC_READ_TO_CLOSE)
		reader->state = HC_READ_COMPLETE;
	else if (reader->state != HC_READ_COMPLETE)
		hc_fail(reader, "the connection ended amid the answer");
}

/* A 204 that names a body may be followed by it. */
static bool hc_is_bad_204(const struct hc_reader *reader)
{
	return reader->status == STATUS_NO_CONTENT &&
	       (reader->chunked ||
		(reader->length_given && reader->length_bytes));
}

bool hc_reader_keeps_connection(const struct hc_reader *reader)
{
	bool framed = reader->chunked || reader->length_given ||
		      hc_has_no_body(reader);

	if (!framed || reader->close_named || hc_is_bad_204(reader))
		return false;
	return reader->minor_version || reader->keep_alive_named;
}

void hc_reader_begin(struct hc_reader *reader, bool head_method,
		     bool may_end_with_close)
{
	reader->state = HC_READ_STATUS_LINE;
	reader->error = NULL;
	reader->head_method = head_method;
	reader->may_end_with_close = may_end_with_close;
	reader->chunked = false;
	reader->length_given = false;
	reader->close_named = false;
	reader->keep_alive_named = false;
	hc_begin_line(reader);
}

void hc_reader_init(struct hc_reader *reader,
		    const struct hc_reader_handler *handler, void *ctx)
{
	memset(reader, 0, sizeof(*reader));
	reader->handler = handler;
	reader->ctx = ctx;
	reader->text = g_string_sized_new(512);
}

void hc_reader_finish(struct hc_reader *reader)
{
	g_string_free(reader->text, TRUE);
}
