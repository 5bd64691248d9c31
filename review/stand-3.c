/*
 * Stand-ins of the cases from review/11 on, over HTTP/1.1. The names of headers come from
 * the environment, since they are the platform's.
 *
 * usage: stand-3 server ADDRESS PORT ID WORK-MS
 * A server with SLOTS slots (6): prints "arrived MS ID SERVER" for each request that it
 * runs, and rejects what comes while all slots are in use or what is meant for another
 * server. Headers: H_ID, H_EXPECT, H_NOT_RUN, H_SIGN, H_INSTANCE, H_LOAD.
 *
 * usage: stand-3 store-proxy ADDRESS PORT TO-PORT
 * Passes connections on to the stand-in of the store at TO-PORT and changes its answers:
 * with H_ERA, the number in that header is one lower, so that the count of restores begins
 * at 0; with PART, a row whose key begins with that word is one of the part of that name,
 * and the rest is its key.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { HEAD_BYTES = 65536, NAME_BYTES = 128 };

static const char *server_id;
static unsigned work_ms;
static int running;
static int slots = 6;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct sockaddr_in address;

static uint64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static const char *name(const char *variable)
{
	const char *value = getenv(variable);

	return value ? value : "x-none";
}

/* Copies the value of a header of HEAD to OUT; empty if there is none. */
static void get_header(const char *head, const char *field, char *out)
{
	size_t bytes = strlen(field);

	*out = '\0';
	for (const char *at = strchr(head, '\n'); at; at = strchr(at, '\n')) {
		at++;
		if (strncasecmp(at, field, bytes) != 0 || at[bytes] != ':')
			continue;
		at += bytes + 1;
		while (*at == ' ')
			at++;
		snprintf(out, NAME_BYTES, "%.*s", (int)strcspn(at, "\r\n"), at);
		return;
	}
}

static bool send_all(int fd, const char *bytes, size_t left)
{
	while (left) {
		ssize_t n = send(fd, bytes, left, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		left -= (size_t)n;
	}
	return true;
}

/* Reads a head up to its empty line; false: the connection has ended before. */
static bool read_head(int fd, char *head)
{
	size_t got = 0;

	while (got < HEAD_BYTES - 1) {
		ssize_t n = recv(fd, head + got, 1, 0);

		if (n <= 0)
			return false;
		got += (size_t)n;
		head[got] = '\0';
		if (got >= 4 && !strcmp(head + got - 4, "\r\n\r\n"))
			return true;
	}
	return false;
}

static bool skip_body(int fd, const char *head)
{
	char length[NAME_BYTES];
	char byte;

	get_header(head, "content-length", length);
	for (unsigned long left = strtoul(length, NULL, 10); left; left--)
		if (recv(fd, &byte, 1, 0) <= 0)
			return false;
	return true;
}

static bool answer(int fd, int status, const char *id, const char *more)
{
	char text[1024];
	int bytes;

	bytes = snprintf(text, sizeof(text),
			 "HTTP/1.1 %d X\r\n%s: %s\r\n%s: %d,0,%d,100\r\n"
			 "%s%s%s%s%sContent-Length: 3\r\n\r\nok\n",
			 status, name("H_INSTANCE"), server_id, name("H_LOAD"),
			 running, slots, *id ? name("H_ID") : "",
			 *id ? ": " : "", id, *id ? "\r\n" : "", more);
	return send_all(fd, text, (size_t)bytes);
}

static bool run(int fd, const char *id, const char *rejected)
{
	char more[NAME_BYTES];
	bool full;

	pthread_mutex_lock(&lock);
	full = running >= slots;
	if (!full) {
		running++;
		printf("arrived %llu %s %s\n", (unsigned long long)now_ms(), id,
		       server_id);
		fflush(stdout);
	}
	pthread_mutex_unlock(&lock);
	if (full)
		return answer(fd, 503, id, rejected);
	usleep(work_ms * 1000);
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
	snprintf(more, sizeof(more), "%s: s\r\n", name("H_SIGN"));
	return answer(fd, 200, id, more);
}

static void *serve(void *ctx)
{
	int fd = (int)(intptr_t)ctx;
	char *head = malloc(HEAD_BYTES);
	char id[NAME_BYTES];
	char expected[NAME_BYTES];
	char rejected[NAME_BYTES];
	bool ok = true;

	snprintf(rejected, sizeof(rejected), "%s: 1\r\n", name("H_NOT_RUN"));
	while (ok && read_head(fd, head) && skip_body(fd, head)) {
		get_header(head, name("H_ID"), id);
		get_header(head, name("H_EXPECT"), expected);
		if (!strncmp(head, "GET /health", 11))
			ok = answer(fd, 200, "", "");
		else if (*expected && strcmp(expected, server_id) != 0)
			ok = answer(fd, 421, id, rejected);
		else
			ok = run(fd, id, rejected);
	}
	free(head);
	close(fd);
	return NULL;
}

static void start_thread(void *(*work)(void *), void *ctx)
{
	pthread_t thread;

	if (!pthread_create(&thread, NULL, work, ctx))
		pthread_detach(thread);
}

static int listen_at_address(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 1024)) {
		perror("listen");
		exit(1);
	}
	return fd;
}

static int accept_from(int listener)
{
	int one = 1;
	int fd;

	do
		fd = accept(listener, NULL, NULL);
	while (fd < 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* The proxy */

/* One way of a connection. */
struct way {
	int from;
	int to;
	bool answers;
	size_t era_found; /* bytes of the header's name, which two reads may share */
	size_t row_found;
};

/* Lowers the digit behind each "H_ERA: ". */
static void lower_era(struct way *way, char *bytes, size_t count)
{
	char wanted[NAME_BYTES];
	size_t all = (size_t)snprintf(wanted, sizeof(wanted), "%s: ",
				      name("H_ERA"));

	for (size_t i = 0; i < count; i++) {
		if (way->era_found == all) {
			bytes[i]--;
			way->era_found = 0;
		} else if (!strncasecmp(&bytes[i], &wanted[way->era_found],
					1)) {
			way->era_found++;
		} else {
			way->era_found = !strncasecmp(&bytes[i], wanted, 1);
		}
	}
}

/*
 * Moves the word at the start of a key to the row's part, which takes as many bytes. Rows
 * that two reads share stay as they are; the stand-in sends an answer in one piece.
 */
static void move_to_part(char *bytes, size_t count)
{
	char from[NAME_BYTES];
	char to[NAME_BYTES];
	size_t all = (size_t)snprintf(from, sizeof(from),
				      "\"part\":\"\",\"key\":\"%s",
				      name("PART"));
	char *at = bytes;

	snprintf(to, sizeof(to), "\"part\":\"%s\",\"key\":\"", name("PART"));
	while ((at = memmem(at, count - (size_t)(at - bytes), from, all)))
		memcpy(at, to, all);
}

static void *pass_on(void *ctx)
{
	struct way *way = ctx;
	char *bytes = malloc(HEAD_BYTES);
	ssize_t n;

	while ((n = recv(way->from, bytes, HEAD_BYTES, 0)) > 0) {
		if (way->answers && getenv("H_ERA"))
			lower_era(way, bytes, (size_t)n);
		if (way->answers && getenv("PART"))
			move_to_part(bytes, (size_t)n);
		if (!send_all(way->to, bytes, (size_t)n))
			break;
	}
	shutdown(way->from, SHUT_RDWR);
	shutdown(way->to, SHUT_RDWR);
	free(bytes);
	free(way);
	return NULL;
}

static void start_way(int from, int to, bool answers)
{
	struct way *way = calloc(1, sizeof(*way));

	way->from = from;
	way->to = to;
	way->answers = answers;
	start_thread(pass_on, way);
}

static void be_proxy(uint16_t to_port)
{
	struct sockaddr_in target = address;
	int listener = listen_at_address();

	target.sin_port = htons(to_port);
	for (;;) {
		int from = accept_from(listener);
		int to = socket(AF_INET, SOCK_STREAM, 0);

		if (connect(to, (struct sockaddr *)&target, sizeof(target))) {
			close(from);
			close(to);
			continue;
		}
		start_way(from, to, false);
		start_way(to, from, true);
	}
}

static void be_server(void)
{
	int listener = listen_at_address();

	for (;;)
		start_thread(serve, (void *)(intptr_t)accept_from(listener));
}

int main(int argc, char **argv)
{
	bool server = argc == 6 && !strcmp(argv[1], "server");

	if (!server && (argc != 5 || strcmp(argv[1], "store-proxy") != 0)) {
		fprintf(stderr, "see the head of stand-3.c\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)atoi(argv[3]));
	inet_pton(AF_INET, argv[2], &address.sin_addr);
	if (!server)
		be_proxy((uint16_t)atoi(argv[4]));
	server_id = argv[4];
	work_ms = (unsigned)atoi(argv[5]);
	if (getenv("SLOTS"))
		slots = atoi(getenv("SLOTS"));
	be_server();
	return 0;
}
