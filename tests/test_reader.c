/*
 * Tests of the reader of answers, without a connection. Guards against an answer that is
 * read otherwise when its bytes come in other pieces, against bytes that tests with
 * texts cannot send (NUL), and against odd bytes that end the process.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "http/answer.h"
#include "tests/suite.h"

enum { FUZZ_INPUTS = 20000, MAX_CHANGES = 4, FIRST_SEED = 1 };

/* What a reader made of an answer, as a text: its heads, its body and its end. */
struct reading {
	struct hc_reader reader;
	GString *made;
};

static bool note_head(void *ctx, const struct hc_head *head)
{
	struct reading *reading = ctx;

	g_string_append_printf(reading->made, "%d", head->status);
	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];

		ck_assert(hc_is_token(h->name, h->name_bytes));
		ck_assert(hc_is_field_text(h->value, h->value_bytes));
		g_string_append_printf(reading->made, " %.*s=%.*s",
				       (int)h->name_bytes, h->name,
				       (int)h->value_bytes, h->value);
	}
	g_string_append(reading->made, " [");
	return true;
}

static bool note_body(void *ctx, const char *data, size_t data_bytes)
{
	g_string_append_len(((struct reading *)ctx)->made, data,
			    (gssize)data_bytes);
	return true;
}

static const struct hc_reader_handler handler = { note_head, note_body };

/*
 * Feeds the bytes in pieces of PIECE_BYTES, then the end of the connection. Returns what
 * was made of them, to be freed.
 */
static char *read_in_pieces(const char *data, size_t data_bytes,
			    size_t piece_bytes)
{
	struct reading reading = { .made = g_string_new(NULL) };
	size_t used = 0;

	hc_reader_init(&reading.reader, &handler, &reading);
	hc_reader_begin(&reading.reader, false, true);
	while (used < data_bytes && reading.reader.state < HC_READ_COMPLETE) {
		size_t bytes = MIN(piece_bytes, data_bytes - used);
		/* Of its own, so that the sanitizer sees reads beyond it. */
		char *piece = g_memdup2(data + used, bytes);

		used += hc_reader_feed(&reading.reader, piece, bytes);
		g_free(piece);
	}
	hc_reader_end(&reading.reader);
	if (reading.reader.state == HC_READ_COMPLETE)
		g_string_append_printf(
			reading.made, "] after %zu, keep %d", used,
			hc_reader_keeps_connection(&reading.reader));
	else
		g_string_append(reading.made, " failed");
	hc_reader_finish(&reading.reader);
	return g_string_free(reading.made, FALSE);
}

#define OK_LINE	   "HTTP/1.1 200 OK\r\n"
#define CHUNKED	   OK_LINE "Transfer-Encoding: chunked\r\n\r\n"
#define TEXT(text) text, sizeof(text) - 1

static const struct {
	const char *data;
	size_t bytes;
	const char *made;
} answers[] = {
	{ TEXT(OK_LINE "Content-Length: 3\r\n\r\nabcHTTP/1.1"),
	  "200 Content-Length=3 [abc] after 41, keep 1" },
	{ TEXT(OK_LINE "Content-Length: 0\r\nConnection: x, Close\r\n\r\n"),
	  "200 Content-Length=0 Connection=x, Close [] after 60, keep 0" },
	{ TEXT("\r\n\nHTTP/1.1 103 E\r\nA: b\r\n\r\n" CHUNKED
	       "3;a=\"\\\"\"\r\nabc\r\n00\r\nA:\r\n b\r\n\r\n"),
	  "200 Transfer-Encoding=chunked [abc] after 103, keep 1" },
	{ TEXT(OK_LINE "A:  b \r\n\t c\r\n \r\nB:\r\n d\r\n\r\nx"),
	  "200 A=b c B=d [x] after 44, keep 0" },
	{ TEXT("HTTP/1.0 200 OK\nContent-Length: 1\n\nx"),
	  "200 Content-Length=1 [x] after 36, keep 0" },
	{ TEXT("HTTP/1.0 200\r\nConnection: keep-alive\r\n"
	       "Content-Length:\t1 ,1\r\n\r\nx"),
	  "200 Connection=keep-alive Content-Length=1 ,1 [x] after 63, keep 1" },
	{ TEXT("HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n"),
	  "304 Content-Length=9 [] after 38, keep 1" },
	{ TEXT("HTTP/1.1 204 No\r\nContent-Length: 9\r\n\r\n"),
	  "204 Content-Length=9 [] after 38, keep 0" },
	{ TEXT(OK_LINE "A\0B: c\r\n\r\n"), " failed" },
	{ TEXT(OK_LINE "A: b\0c\r\n\r\n"), " failed" },
	{ TEXT("HTTP/1.1 200 O\0K\r\n\r\n"), " failed" },
	{ TEXT("\r\0HTTP/1.1 200 OK\r\n\r\n"), " failed" },
	{ TEXT("HTTP/1.1 200 OK\r\r\n\r\n"), " failed" },
	{ TEXT(OK_LINE "A: b\r\r\n\r\n"), " failed" },
	{ TEXT(OK_LINE "A: b\r\n \0\r\n\r\n"), " failed" },
	{ TEXT(CHUNKED "3;a=\"\0\"\r\nabc\r\n0\r\n\r\n"),
	  "200 Transfer-Encoding=chunked [ failed" },
	{ TEXT(CHUNKED "8000000000000000\r\nabc"),
	  "200 Transfer-Encoding=chunked [ failed" },
	{ TEXT(CHUNKED "3\r\nabc\r\n0\r\nA\0: b\r\n\r\n"),
	  "200 Transfer-Encoding=chunked [abc failed" },
	{ TEXT(CHUNKED "3\r\nabc\r\n0\r\n"),
	  "200 Transfer-Encoding=chunked [abc failed" },
};

START_TEST(pieces_do_not_matter)
{
	for (size_t piece = 1; piece <= answers[_i].bytes; piece++) {
		char *made = read_in_pieces(answers[_i].data, answers[_i].bytes,
					    piece);

		ck_assert_str_eq(made, answers[_i].made);
		g_free(made);
	}
}
END_TEST

/* Changes single bytes of a text, removes some, or doubles a part. */
static GString *change_text(GRand *rand, const char *data, size_t bytes)
{
	static const char odd[] = { '\0', '\r', '\n', ' ',    '\t',
				    ':',  '0',	'-',  '\x7f', '\x80' };
	GString *text = g_string_new_len(data, (gssize)bytes);

	for (int i = g_rand_int_range(rand, 1, MAX_CHANGES + 1); i > 0; i--) {
		gssize at = g_rand_int_range(rand, 0, (gint32)text->len);
		char c = odd[g_rand_int_range(rand, 0, sizeof(odd))];

		switch (g_rand_int_range(rand, 0, 3)) {
		case 0:
			text->str[at] = c;
			break;
		case 1:
			g_string_insert_c(text, at, c);
			break;
		default:
			g_string_erase(text, at, text->len > 1 ? 1 : 0);
		}
	}
	return text;
}

/*
 * Fields that are passed on are legal (see note_head), and the pieces in which an answer
 * comes change neither what is passed on nor its end.
 */
START_TEST(odd_bytes_are_read_alike_in_pieces)
{
	GRand *rand = g_rand_new_with_seed(FIRST_SEED);

	for (uint32_t i = 0; i < FUZZ_INPUTS; i++) {
		uint32_t from = i % G_N_ELEMENTS(answers);
		GString *text = change_text(rand, answers[from].data,
					    answers[from].bytes);
		size_t piece = (size_t)g_rand_int_range(rand, 1, 8);
		char *whole = read_in_pieces(text->str, text->len, text->len);
		char *pieces = read_in_pieces(text->str, text->len, piece);

		ck_assert_msg(!strcmp(whole, pieces),
			      "input %u: \"%s\" and in pieces of %zu \"%s\"", i,
			      whole, piece, pieces);
		g_free(whole);
		g_free(pieces);
		g_string_free(text, TRUE);
	}
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("reader");

	tcase_add_loop_test(tcase, pieces_do_not_matter, 0,
			    G_N_ELEMENTS(answers));
	tcase_add_test(tcase, odd_bytes_are_read_alike_in_pieces);
	return suite_run_case("reader", tcase, CK_FORK);
}
