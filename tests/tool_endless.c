/*
 * Stand-in for a faulty server on the users' platform, which sends bytes without end,
 * as fast as they are taken, until the host closes the connection.
 *
 * usage: tool_endless ADDRESS ID HEALTH-FILE CUT-FILE
 * A request whose path ends with the name of an answer below gets that, after LATE_MS
 * if "late-" is in front of it; every other one is answered as by a sound server
 * that works on it for WORK_MS. Health checks get the answer that is named in
 * HEALTH-FILE, if there is such a file. While there is CUT-FILE, connections from
 * CUT_SOURCE are closed at once. One thread serves each connection. A line is
 * printed for each answer: its name, and the kilobytes that were taken.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/net.h"
#include "tests/raw_io.h"

#define CUT_SOURCE "127.0.0.2"

enum {
	BACKLOG = 512,
	BYTES_PER_KB = 1024,
	WORK_MS = 100,
	LATE_MS = 700,
	US_PER_MS = 1000
};

#define LATE_PREFIX "late-"

/* HEAD: whether the answer begins with a sound head of status STATUS. */
static const struct {
	const char *name;
	int status;
	bool head;
	const char *begin;
	const char *repeat;
} answers[] = {
	{ "blank", 0, false, "", "\r\n" },
	{ "interim", 0, false, "", "HTTP/1.1 103 Early\r\na: b\r\n\r\n" },
	{ "garbage", 0, false, "\x16\x03", "\x01" },
	{ "reason", 0, false, "HTTP/1.1 200 ", "OK" },
	{ "fields", 200, true, "", "a: b\r\n" },
	{ "value", 200, true, "a: ", "b" },
	{ "body", 200, true, "\r\n", "more" },
	{ "length", 200, true, "Content-Length: 999999999999\r\n\r\n", "more" },
	{ "chunks", 200, true, "Transfer-Encoding: chunked\r\n\r\n",
	  "4\r\nmore\r\n" },
	{ "chunk-size", 200, true, "Transfer-Encoding: chunked\r\n\r\n", "0" },
	{ "trailer", 200, true,
	  "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a: b\r\n" },
	{ "tail", 200, true, "Content-Length: 5\r\n\r\nwhole", "more" },
	{ "refusal", 503, true,
	  "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "4\r\nmore\r\n" },
	{ "failure", 500, true, "Transfer-Encoding: chunked\r\n\r\n",
	  "4\r\nmore\r\n" },
};

static const char *server_id;
static const char *health_file;
static const char *cut_file;

static char *sound_head(const char *request, int status)
{
	char *id = find_field(request, "attempt-id");
	char *head = g_strdup_printf("HTTP/1.1 %d Status\r\nAttempt-Id: %s\r\n"
				     "Response-Signature: signed\r\n"
				     "Instance-Id: %s\r\n"
				     "Server-Load: 0,0,100,100\r\n",
				     status, id, server_id);

	g_free(id);
	return head;
}

static bool send_endless(int fd, const char *request, size_t kind)
{
	size_t written = 0;
	bool ok = true;
	char *head;

	if (answers[kind].head) {
		head = sound_head(request, answers[kind].status);
		ok = write_all(fd, head, strlen(head), &written);
		g_free(head);
	}
	ok = ok && write_all(fd, answers[kind].begin,
			     strlen(answers[kind].begin), &written);
	if (ok)
		write_endless(fd, answers[kind].repeat, &written);
	printf("%s %zu\n", answers[kind].name, written / BYTES_PER_KB);
	return false;
}

static bool send_sound(int fd, const char *request, bool health)
{
	char *head = sound_head(request, 200);
	char *answer;
	size_t written = 0;
	bool ok;

	/* A health check's answer has no call id, which an empty field shows. */
	if (health) {
		char *at = strstr(head, "Attempt-Id");

		memmove(at, strchr(at, '\n') + 1, strlen(strchr(at, '\n')));
	}
	answer = g_strconcat(head, "Content-Length: 2\r\n\r\nok", NULL);
	ok = write_all(fd, answer, strlen(answer), &written);
	g_free(answer);
	g_free(head);
	return ok;
}

static bool answer_request(int fd, const char *request)
{
	bool health = !strncmp(request, "GET /health", strlen("GET /health"));
	char *path = g_strndup(request, strcspn(request, "\r\n"));
	char *name = NULL;
	char **words = g_strsplit(path, " ", 3);
	bool ok;
	size_t kind = 0;

	if (health && !g_file_get_contents(health_file, &name, NULL, NULL))
		name = NULL;
	if (!health && words[0] && words[1] && strrchr(words[1], '/'))
		name = g_strdup(strrchr(words[1], '/') + 1);
	if (name && g_str_has_prefix(name, LATE_PREFIX)) {
		g_usleep(LATE_MS * US_PER_MS);
		memmove(name, name + strlen(LATE_PREFIX),
			strlen(name + strlen(LATE_PREFIX)) + 1);
	}
	while (kind < G_N_ELEMENTS(answers) &&
	       (!name || strcmp(g_strstrip(name), answers[kind].name) != 0))
		kind++;
	if (!health && kind == G_N_ELEMENTS(answers))
		g_usleep(WORK_MS * US_PER_MS);
	ok = kind < G_N_ELEMENTS(answers) ? send_endless(fd, request, kind) :
					    send_sound(fd, request, health);
	g_strfreev(words);
	g_free(name);
	g_free(path);
	return ok;
}

static bool answer_unless_cut(int fd, const char *request, void *ctx)
{
	bool cut = comes_from(fd, CUT_SOURCE) &&
		   g_file_test(cut_file, G_FILE_TEST_EXISTS);

	return !cut && answer_request(fd, request);
}

static void *serve_connection(void *arg)
{
	read_requests(GPOINTER_TO_INT(arg), answer_unless_cut, NULL);
	return NULL;
}

int main(int argc, char **argv)
{
	struct nt_address address;

	if (argc != 5 || !nt_parse(argv[1], &address)) {
		fprintf(stderr,
			"usage: tool_endless ADDRESS ID HEALTH-FILE CUT-FILE\n");
		return 2;
	}
	server_id = argv[2];
	health_file = argv[3];
	cut_file = argv[4];
	setvbuf(stdout, NULL, _IOLBF, 0);
	accept_all(
		listen_on(&address.addr, nt_sockaddr_size(&address), BACKLOG),
		serve_connection);
}
