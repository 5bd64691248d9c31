/*
 * Stand-in for servers on the users' platform that send odd answers: legal ones, and
 * others that are none, by a byte in a head, a trailer or the framing.
 *
 * usage: tool_odd_answers FIRST-ADDRESS COUNT [SOURCE]
 *        tool_odd_answers list KIND
 * The servers listen on consecutive ports. A path ends in names of ANSWERS with "+"
 * between those for the first attempt at a call, for the second and so on. Each request
 * is printed as a line of its own, with "|" for the end of a line. Connections from the
 * IP address SOURCE get no answer. "list" prints the names of a kind.
 */
#include <stdio.h>
#include <string.h>

#include "base/net.h"
#include "tests/raw_io.h"

enum { BACKLOG = 128, PAUSE_MS = 150, US_PER_MS = 1000 };

/*
 * "@" stands for the id of the call, SELF for the server that it is meant for, PAUSE for
 * PAUSE_MS without bytes.
 */
#define SELF	"\002"
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define ID	"Attempt-Id: @\r\n"
#define FIELDS	ID "Response-Signature: s.@\r\n"
#define BODY	"Content-Length: 10\r\n\r\n1234567890"
#define REST	FIELDS BODY
#define REFUSED ID "Not-Executed: 1\r\n"
#define HEAD	OK_LINE FIELDS
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define PAUSE	"~"
#define CHUNK	"5\r\n12345\r\n"
#define CHUNKS	CHUNK "5\r\n67890\r\n"

static const struct {
	const char
		*kind; /* "good", "head" for no answer, "body" for a broken one;
			 the others are explained where they begin */
	const char *name;
	const char *text;
} answers[] = {
	{ "good", "length-whole", OK_LINE REST },
	{ "good", "reason-none", "HTTP/1.1 200 \r\n" REST },
	{ "good", "reason-obs", "HTTP/1.1 200 \xc3\x84h\tja\r\n" REST },
	{ "good", "interim",
	  "HTTP/1.1 103 Early\r\nX-Odd: 1\r\n\r\n" OK_LINE REST },
	{ "good", "name-token", OK_LINE "!#$%&'*+-.^_`|09aZ: 1\r\n" REST },
	{ "good", "value-empty", OK_LINE "X-Odd:\r\n" REST },
	{ "good", "value-obs", OK_LINE "X-Odd: \xc3\x84 \t\"a\\\"\r\n" REST },
	{ "good", "value-blanks", OK_LINE "X-Odd:\t 1 \t\r\n" REST },
	{ "good", "line-feeds", "HTTP/1.1 200 OK\nX-Odd: 1\n" REST },
	{ "good", "folded", OK_LINE "X-Odd: a\r\n \tb\r\n" REST },
	{ "good", "colon-blank", OK_LINE "X-Odd : a b\r\n" REST },
	{ "good", "length-blank",
	  HEAD "Content-Length : 10\r\n\r\n1234567890" },
	{ "good", "length-folded",
	  HEAD "Content-Length:\r\n 10\r\n\r\n1234567890" },
	{ "good", "length-equal",
	  HEAD
	  "Content-Length: 10, 10\r\nContent-Length: 10\r\n\r\n1234567890" },
	{ "good", "old-version", "HTTP/1.0 200 OK\r\n" REST },
	{ "good", "chunks", CHUNKED CHUNKS "0\r\n\r\n" },
	{ "good", "chunk-sizes", CHUNKED "0000A\r\n1234567890\r\n00\r\n\r\n" },
	{ "good", "chunk-extensions",
	  CHUNKED "5;a\r\n12345\r\n5 ; b = c;d=\"; \\\" \xc3\x84\"\r\n67890\r\n"
		  "0;e=f\r\n\r\n" },
	{ "good", "trailer",
	  CHUNKED CHUNKS "0\r\nX-Odd: 1\r\n folded\r\nX-Odd : 2\r\n\r\n" },

	/* Of a call that has run, with a status that promises the opposite */
	{ "unproven", "503-signed", "HTTP/1.1 503 No\r\n" REST },
	{ "unproven", "503-id", "HTTP/1.1 503 No\r\n" ID BODY },
	{ "unproven", "503-retry",
	  "HTTP/1.1 503 No\r\nRetry-After: 1\r\nServer-Load: 1,0,200,100\r\n" REST },
	{ "unproven", "503-chunks",
	  "HTTP/1.1 503 No\r\n" FIELDS
	  "Transfer-Encoding: chunked\r\n\r\n" CHUNKS "0\r\n\r\n" },
	{ "unproven", "503-late",
	  "HTTP/1.1 503 No\r\n" FIELDS "Content-Length: 10\r\n\r\n12345" PAUSE
	  "67890" },
	{ "unproven", "503-broken",
	  "HTTP/1.1 503 No\r\n" FIELDS
	  "Transfer-Encoding: chunked\r\n\r\n" CHUNK PAUSE "5 \r\n67890" },
	{ "unproven", "503-short",
	  "HTTP/1.1 503 No\r\n" FIELDS "Content-Length: 20\r\n\r\n1234567890" },
	{ "unproven", "503-old", "HTTP/1.0 503 No\r\n" REST },
	{ "unproven", "503-interim",
	  "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 No\r\n" REST },
	{ "unproven", "429-signed", "HTTP/1.1 429 No\r\n" REST },
	{ "unproven", "429-id", "HTTP/1.1 429 No\r\n" ID BODY },
	{ "unproven", "408-signed", "HTTP/1.1 408 No\r\n" REST },
	{ "unproven", "408-id", "HTTP/1.1 408 No\r\n" ID BODY },
	{ "unproven", "421-signed", "HTTP/1.1 421 No\r\n" REST },
	{ "unproven", "421-self",
	  "HTTP/1.1 421 No\r\n" ID "Instance-Id: " SELF "\r\n" BODY },
	{ "unproven", "mark-0", "HTTP/1.1 503 No\r\nNot-Executed: 0\r\n" REST },
	{ "unproven", "mark-empty",
	  "HTTP/1.1 503 No\r\nNot-Executed:\r\n" REST },
	{ "unproven", "mark-list",
	  "HTTP/1.1 503 No\r\nNot-Executed: 1, 0\r\n" REST },
	{ "unproven", "mark-two",
	  "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nNot-Executed: 0\r\n" REST },
	{ "unproven", "mark-false",
	  "HTTP/1.1 429 No\r\nNot-Executed: false\r\n" REST },
	{ "unproven", "mark-x", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n" REST },

	/* Of a call that has not run, as the server states */
	{ "refusal", "refused-503", "HTTP/1.1 503 No\r\n" REFUSED BODY },
	{ "refusal", "refused-429", "HTTP/1.1 429 No\r\n" REFUSED BODY },
	{ "refusal", "refused-408", "HTTP/1.1 408 No\r\n" REFUSED BODY },
	{ "refusal", "refused-400", "HTTP/1.1 400 No\r\n" REFUSED BODY },
	{ "refusal", "refused-500", "HTTP/1.1 500 No\r\n" REFUSED BODY },
	{ "refusal", "refused-signed",
	  "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n" REST },
	{ "refusal", "refused-two",
	  "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n" REFUSED BODY },

	/* Of a call that may have run, with a status that promises nothing */
	{ "failure", "500-signed", "HTTP/1.1 500 No\r\n" REST },
	{ "failure", "502-signed", "HTTP/1.1 502 No\r\n" REST },
	{ "failure", "504-signed", "HTTP/1.1 504 No\r\n" REST },
	{ "failure", "404-signed", "HTTP/1.1 404 No\r\n" REST },
	{ "failure", "409-signed", "HTTP/1.1 409 No\r\n" REST },

	{ "second", "second", HEAD "Content-Length: 6\r\n\r\nsecond" },

	{ "head", "status-000", "HTTP/1.1 000 Status\r\n" REST },
	{ "head", "status-099", "HTTP/1.1 099 Status\r\n" REST },
	{ "head", "status-600", "HTTP/1.1 600 Status\r\n" REST },
	{ "head", "status-999", "HTTP/1.1 999 Status\r\n" REST },
	{ "head", "status-20", "HTTP/1.1 20 Status\r\n" REST },
	{ "head", "status-0200", "HTTP/1.1 0200 Status\r\n" REST },
	{ "head", "status-2000", "HTTP/1.1 2000 Status\r\n" REST },
	{ "head", "status-sign", "HTTP/1.1 +200 Status\r\n" REST },
	{ "head", "status-letter", "HTTP/1.1 2x0 Status\r\n" REST },
	{ "head", "status-none", "HTTP/1.1 OK\r\n" REST },
	{ "head", "status-tail", "HTTP/1.1 200OK\r\n" REST },
	{ "head", "switching",
	  "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" },
	{ "head", "version-2", "HTTP/2.0 200 OK\r\n" REST },
	{ "head", "version-case", "http/1.1 200 OK\r\n" REST },
	{ "head", "reason-control", "HTTP/1.1 200 O\001K\r\n" REST },
	{ "head", "reason-cr", "HTTP/1.1 200 O\rK\r\n" REST },
	{ "head", "name-blank", OK_LINE "X Odd: 1\r\n" REST },
	{ "head", "name-blanks", OK_LINE "X Odd : 1\r\n" REST },
	{ "head", "name-tab", OK_LINE "X\tOdd: 1\r\n" REST },
	{ "head", "name-control", OK_LINE "X\001Odd: 1\r\n" REST },
	{ "head", "name-escape", OK_LINE "X-Odd\033: 1\r\n" REST },
	{ "head", "name-delete", OK_LINE "X\177Odd: 1\r\n" REST },
	{ "head", "name-cr", OK_LINE "X\rOdd: 1\r\n" REST },
	{ "head", "name-obs", OK_LINE "X\xc3\x84: 1\r\n" REST },
	{ "head", "name-quote", OK_LINE "X\"Odd\": 1\r\n" REST },
	{ "head", "name-empty", OK_LINE ": 1\r\n" REST },
	{ "head", "no-colon", OK_LINE "X-Odd\r\n" REST },
	{ "head", "first-blank", OK_LINE " X-Odd: 1\r\n" REST },
	{ "head", "length-name-blank",
	  HEAD "Content Length: 5\r\n\r\n1234567890" },
	{ "head", "coding-name-blank",
	  HEAD "Transfer Encoding: chunked\r\n\r\n" CHUNKS "0\r\n\r\n" },
	{ "head", "interim-name-blank",
	  "HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n" OK_LINE REST },
	{ "head", "value-control", OK_LINE "X-Odd: a\001b\r\n" REST },
	{ "head", "value-delete", OK_LINE "X-Odd: a\177b\r\n" REST },
	{ "head", "value-cr", OK_LINE "X-Odd: a\rb\r\n" REST },
	{ "head", "fold-control", OK_LINE "X-Odd: a\r\n b\001\r\n" REST },
	{ "head", "length-empty", HEAD "Content-Length:\r\n\r\n1234567890" },
	{ "head", "length-sign", HEAD "Content-Length: +10\r\n\r\n1234567890" },
	{ "head", "length-hex", HEAD "Content-Length: 0xa\r\n\r\n1234567890" },
	{ "head", "length-huge",
	  HEAD "Content-Length: 99999999999999999999\r\n\r\n1234567890" },
	{ "head", "length-list",
	  HEAD "Content-Length: 10, 5\r\n\r\n1234567890" },
	{ "head", "length-two",
	  HEAD "Content-Length: 10\r\nContent-Length: 5\r\n\r\n1234567890" },
	{ "head", "length-fold-digit",
	  HEAD "Content-Length: 1\r\n 0\r\n\r\n1234567890" },
	{ "head", "coding-gzip",
	  HEAD "Transfer-Encoding: gzip\r\n\r\n1234567890" },
	{ "head", "coding-two",
	  HEAD
	  "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n" CHUNKS
	  "0\r\n\r\n" },
	{ "head", "coding-fold",
	  HEAD "Transfer-Encoding: chunked\r\n , gzip\r\n\r\n" CHUNKS
	       "0\r\n\r\n" },
	{ "head", "coding-empty", HEAD "Transfer-Encoding:\r\n\r\n1234567890" },
	{ "head", "coding-length",
	  HEAD "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNKS
	       "0\r\n\r\n" },
	{ "head", "coding-old",
	  "HTTP/1.0 200 OK\r\n" FIELDS
	  "Transfer-Encoding: chunked\r\n\r\n" CHUNKS "0\r\n\r\n" },
	{ "head", "end-cr", HEAD "Content-Length: 10\r\n\rx1234567890" },

	{ "body", "chunk-no-end", CHUNKED CHUNK PAUSE "5\r\n67890xx0\r\n\r\n" },
	{ "body", "chunk-cr-end",
	  CHUNKED CHUNK PAUSE "5\r\n67890\rx0\r\n\r\n" },
	{ "body", "chunk-lf-end", CHUNKED CHUNK PAUSE "5\r\n67890\n0\r\n\r\n" },
	{ "body", "chunk-too-long",
	  CHUNKED CHUNK PAUSE "5\r\n678901\r\n0\r\n\r\n" },
	{ "body", "size-cr", CHUNKED CHUNK PAUSE "5\rx67890\r\n0\r\n\r\n" },
	{ "body", "size-lf", CHUNKED CHUNK PAUSE "5\n67890\r\n0\r\n\r\n" },
	{ "body", "size-blank",
	  CHUNKED CHUNK PAUSE "5 \r\n67890\r\n0\r\n\r\n" },
	{ "body", "size-sign", CHUNKED CHUNK PAUSE "+5\r\n67890\r\n0\r\n\r\n" },
	{ "body", "size-hex", CHUNKED CHUNK PAUSE "0x5\r\n67890\r\n0\r\n\r\n" },
	{ "body", "size-huge",
	  CHUNKED CHUNK PAUSE "10000000000000005\r\n67890" },
	{ "body", "size-empty",
	  CHUNKED CHUNK PAUSE ";a\r\n67890\r\n0\r\n\r\n" },
	{ "body", "size-tail",
	  CHUNKED CHUNK PAUSE "5a b\r\n67890\r\n0\r\n\r\n" },
	{ "body", "extension-blank",
	  CHUNKED CHUNK PAUSE "5;a \r\n67890\r\n0\r\n\r\n" },
	{ "body", "extension-control",
	  CHUNKED CHUNK PAUSE "5;a\001\r\n67890\r\n0\r\n\r\n" },
	{ "body", "extension-quote",
	  CHUNKED CHUNK PAUSE "5;a=\"b\r\n67890\r\n0\r\n\r\n" },
	{ "body", "last-size-cr", CHUNKED CHUNK PAUSE "0\rx\r\n" },
	{ "body", "last-cr", CHUNKED CHUNK PAUSE "0\r\n\rx" },
	{ "body", "trailer-blank",
	  CHUNKED CHUNK PAUSE "0\r\nX Odd: 1\r\n\r\n" },
	{ "body", "trailer-control",
	  CHUNKED CHUNK PAUSE "0\r\nX\001Odd: 1\r\n\r\n" },
	{ "body", "trailer-value",
	  CHUNKED CHUNK PAUSE "0\r\nX-Odd: \001\r\n\r\n" },
	{ "body", "trailer-no-colon",
	  CHUNKED CHUNK PAUSE "0\r\nX-Odd\r\n\r\n" },
	{ "body", "trailer-first-blank",
	  CHUNKED CHUNK PAUSE "0\r\n X-Odd: 1\r\n\r\n" },
};

static const char *cut_source; /* NULL: none */

static char *replace(const char *text, const char *mark, const char *value)
{
	char **parts = g_strsplit(text, mark, 0);
	char *all = g_strjoinv(value, parts);

	g_strfreev(parts);
	return all;
}

/* Sends TEXT as the answer to the request. */
static bool send_text(int fd, const char *text, const char *request)
{
	char *call_id = find_field(request, "attempt-id");
	char *server = find_field(request, "expect-instance");
	char *with_id = replace(text, "@", call_id);
	char *all = replace(with_id, SELF, server);
	char **pieces = g_strsplit(all, PAUSE, 0);
	bool ok = write_text(fd, pieces[0]);

	if (ok && pieces[1]) {
		g_usleep(PAUSE_MS * US_PER_MS);
		ok = write_text(fd, pieces[1]);
	}
	g_strfreev(pieces);
	g_free(all);
	g_free(with_id);
	g_free(server);
	g_free(call_id);
	return ok;
}

static bool send_named(int fd, const char *name, const char *request)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(answers); i++)
		if (!strcmp(answers[i].name, name))
			return send_text(fd, answers[i].text, request);
	return false;
}

static bool answer_health_check(int fd)
{
	return write_text(fd, "HTTP/1.1 200 OK\r\nServer-Load: 0,0,200,100\r\n"
			      "Content-Length: 0\r\n\r\n");
}

static void print_request(const char *request)
{
	char **lines = g_strsplit(request, "\r\n", 0);
	char *line = g_strjoinv("|", lines);

	printf("%s\n", line);
	g_strfreev(lines);
	g_free(line);
}

static bool answer(int fd, const char *request, void *ctx)
{
	char path[256];
	char *call_id;
	char **names;
	uint32_t attempt;
	bool ok;

	if (sscanf(request, "%*s %255s", path) != 1)
		return false;
	if (g_str_has_suffix(path, "/health"))
		return answer_health_check(fd);
	print_request(request);
	call_id = find_field(request, "attempt-id");
	names = g_strsplit(strrchr(path, '/') + 1, "+", 0);
	attempt = count_attempt(call_id);
	ok = send_named(fd, names[MIN(attempt, g_strv_length(names) - 1)],
			request);
	g_strfreev(names);
	g_free(call_id);
	return ok;
}

static void *serve_connection(void *fd)
{
	/* One that is cut off stays open. */
	if (!cut_source || !comes_from(GPOINTER_TO_INT(fd), cut_source))
		read_requests(GPOINTER_TO_INT(fd), answer, NULL);
	return NULL;
}

static void *accept_connections(void *listener)
{
	accept_all(GPOINTER_TO_INT(listener), serve_connection);
}

static void start_server(const struct nt_address *first, uint32_t index)
{
	struct sockaddr_in addr;

	memcpy(&addr, &first->addr, sizeof(addr));
	addr.sin_port = htons((uint16_t)(ntohs(addr.sin_port) + index));
	start_thread(accept_connections,
		     GINT_TO_POINTER(listen_on(&addr, sizeof(addr), BACKLOG)));
}

static int list_names(const char *kind)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(answers); i++)
		if (!strcmp(answers[i].kind, kind))
			printf("%s\n", answers[i].name);
	return 0;
}

int main(int argc, char **argv)
{
	struct nt_address first;

	if (argc == 3 && !strcmp(argv[1], "list"))
		return list_names(argv[2]);
	if (argc < 3 || !nt_parse(argv[1], &first) ||
	    first.addr.ss_family != AF_INET) {
		fprintf(stderr,
			"usage: tool_odd_answers FIRST-ADDRESS COUNT [SOURCE]\n"
			"       tool_odd_answers list KIND\n");
		return 2;
	}
	cut_source = argc > 3 ? argv[3] : NULL;
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (uint32_t i = 0; i < (uint32_t)atoi(argv[2]); i++)
		start_server(&first, i);
	for (;;)
		pause();
}
