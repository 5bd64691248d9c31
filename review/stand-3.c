/*
 * Stand-ins of the cases from review/11 on: a server and a requester, over HTTP/1.1.
 * The names of headers come from the environment, since they are the platform's:
 * H_ID, H_EXPECT, H_NOT_RUN, H_SIGN, H_INSTANCE, H_LOAD, H_LEFT, H_WARMUP, H_ERA.
 *
 * usage: stand-3 server ADDRESS PORT ID WORK-MS FAIL-PERCENT
 * Between SIGUSR1 and SIGUSR2 it answers so many of 100 requests with status 500 after
 * the same work; which ones, is drawn for each arrival. Health requests are answered at
 * once, with status 200. Prints "arrived MS ID SERVER" for each request that it runs. It
 * rejects what comes while all of its SLOTS (6) are in use ("rejected MS ID SERVER").
 * From SIGHUP on it is cold for COLD_MS (5000), as its health answers say (H_WARMUP).
 *
 * usage: stand-3 requester ADDRESS PORT HOST PATH PREFIX PERIOD-MS
 * Sends a request every PERIOD-MS, each on a new connection and with its own id, whether
 * or not earlier ones are answered, until SIGTERM. Prints "sent MS ID" and
 * "answered MS ID STATUS" (0: no answer).
 *
 * usage: stand-3 era ADDRESS PORT TO-PORT
 * Passes connections on to TO-PORT, and lowers by one the number that the header H_ERA
 * has in answers: the store's count of restores then begins at 0.
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
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { HEAD_BYTES = 65536, NAME_BYTES = 128, TIMEOUT_MS = 2000 };

static volatile sig_atomic_t failing;
static volatile sig_atomic_t stopping;
static const char *server_id;
static unsigned work_ms;
static unsigned fail_percent;
static int running;
static int slots = 6; /* SLOTS */
static uint64_t cold_ms = 5000; /* COLD_MS */
static volatile uint64_t warm_at_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned seed;
static struct sockaddr_in address;
static const char *host;
static const char *path;

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

static void on_signal(int signum)
{
	if (signum == SIGTERM)
		stopping = 1;
	else if (signum == SIGHUP)
		warm_at_ms = now_ms() + cold_ms;
	else
		failing = signum == SIGUSR1;
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

static bool send_all(int fd, const char *text)
{
	size_t left = strlen(text);

	while (left) {
		ssize_t n = send(fd, text, left, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		text += n;
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

static bool answer(int fd, int status, const char *id, const char *more)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %d X\r\n%s: %s\r\n%s: %d,0,%d,100\r\n%s%s%s%s%s"
		 "Content-Length: 3\r\n\r\nok\n",
		 status, name("H_INSTANCE"), server_id, name("H_LOAD"), running,
		 slots,
		 *id ? name("H_ID") : "", *id ? ": " : "", id,
		 *id ? "\r\n" : "", more);
	return send_all(fd, text);
}

static bool answer_health(int fd)
{
	uint64_t at_ms = now_ms();
	uint64_t until_ms = warm_at_ms;
	char more[NAME_BYTES] = "";

	if (until_ms > at_ms)
		snprintf(more, sizeof(more), "%s: %llu\r\n", name("H_WARMUP"),
			 (unsigned long long)(until_ms - at_ms));
	return answer(fd, 200, "", more);
}

static bool run(int fd, const char *id)
{
	char more[NAME_BYTES];
	bool fails;

	pthread_mutex_lock(&lock);
	if (running >= slots) {
		printf("rejected %llu %s %s\n", (unsigned long long)now_ms(),
		       id, server_id);
		pthread_mutex_unlock(&lock);
		snprintf(more, sizeof(more), "%s: 1\r\n", name("H_NOT_RUN"));
		return answer(fd, 503, id, more);
	}
	running++;
	fails = failing && (unsigned)rand_r(&seed) % 100 < fail_percent;
	printf("arrived %llu %s %s\n", (unsigned long long)now_ms(), id,
	       server_id);
	fflush(stdout);
	pthread_mutex_unlock(&lock);
	usleep(work_ms * 1000);
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
	snprintf(more, sizeof(more), "%s: s\r\n", name("H_SIGN"));
	return answer(fd, fails ? 500 : 200, id, more);
}

static void *serve(void *ctx)
{
	int fd = (int)(intptr_t)ctx;
	char *head = malloc(HEAD_BYTES);
	char id[NAME_BYTES];
	char expected[NAME_BYTES];
	char more[NAME_BYTES];
	bool ok = true;

	while (ok && read_head(fd, head)) {
		get_header(head, name("H_ID"), id);
		get_header(head, name("H_EXPECT"), expected);
		snprintf(more, sizeof(more), "%s: 1\r\n", name("H_NOT_RUN"));
		if (!strncmp(head, "GET /health", 11))
			ok = answer_health(fd);
		else if (*expected && strcmp(expected, server_id) != 0)
			ok = answer(fd, 421, id, more);
		else
			ok = run(fd, id);
	}
	free(head);
	close(fd);
	return NULL;
}

static void start_thread(void *(*work)(void *), void *ctx)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	pthread_create(&thread, &attr, work, ctx);
	pthread_attr_destroy(&attr);
}

static int be_server(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 1024)) {
		perror("listen");
		return 1;
	}
	for (;;) {
		int got = accept(fd, NULL, NULL);

		if (got < 0)
			continue;
		setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		start_thread(serve, (void *)(intptr_t)got);
	}
}

static void *request(void *ctx)
{
	char *id = ctx;
	char text[1024];
	char *head = malloc(HEAD_BYTES);
	struct timeval timeout = { TIMEOUT_MS / 1000, 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int status = 0;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	snprintf(text, sizeof(text),
		 "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n"
		 "Connection: close\r\n\r\n",
		 path, host, name("H_ID"), id, name("H_LEFT"), TIMEOUT_MS);
	printf("sent %llu %s\n", (unsigned long long)now_ms(), id);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    send_all(fd, text) && read_head(fd, head))
		status = atoi(head + strlen("HTTP/1.1 "));
	printf("answered %llu %s %d\n", (unsigned long long)now_ms(), id,
	       status);
	fflush(stdout);
	close(fd);
	free(head);
	free(id);
	return NULL;
}

static int be_requester(const char *prefix, unsigned period_ms)
{
	for (unsigned n = 1; !stopping; n++) {
		char *id = malloc(NAME_BYTES);

		snprintf(id, NAME_BYTES, "%s-%u", prefix, n);
		start_thread(request, id);
		usleep(period_ms * 1000);
	}
	usleep((TIMEOUT_MS + 100) * 1000);
	return 0;
}

/* Lowers the digit behind each "NAME: " in the bytes; FOUND spans two reads. */
static void lower_era(char *bytes, size_t count, size_t *found)
{
	char wanted[NAME_BYTES];
	size_t all;

	snprintf(wanted, sizeof(wanted), "%s: ", name("H_ERA"));
	all = strlen(wanted);
	for (size_t i = 0; i < count; i++) {
		if (*found == all) {
			bytes[i]--;
			*found = 0;
		} else if (strncasecmp(&bytes[i], &wanted[*found], 1) == 0) {
			(*found)++;
		} else {
			*found = strncasecmp(&bytes[i], wanted, 1) == 0;
		}
	}
}

struct direction {
	int from;
	int to;
	bool answers;
};

static void *pass_on(void *ctx)
{
	struct direction *way = ctx;
	char bytes[HEAD_BYTES];
	size_t found = 0;
	ssize_t n;

	while ((n = recv(way->from, bytes, sizeof(bytes), 0)) > 0) {
		ssize_t sent = 0;

		if (way->answers)
			lower_era(bytes, (size_t)n, &found);
		while (sent < n) {
			ssize_t m = send(way->to, bytes + sent,
					 (size_t)(n - sent), MSG_NOSIGNAL);

			if (m <= 0)
				break;
			sent += m;
		}
	}
	shutdown(way->from, SHUT_RDWR);
	shutdown(way->to, SHUT_RDWR);
	free(way);
	return NULL;
}

static void start_direction(int from, int to, bool answers)
{
	struct direction *way = malloc(sizeof(*way));

	*way = (struct direction){ from, to, answers };
	start_thread(pass_on, way);
}

static int be_era_proxy(uint16_t to_port)
{
	struct sockaddr_in target = address;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	target.sin_port = htons(to_port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 1024)) {
		perror("listen");
		return 1;
	}
	for (;;) {
		int got = accept(fd, NULL, NULL);
		int to = socket(AF_INET, SOCK_STREAM, 0);

		if (connect(to, (struct sockaddr *)&target, sizeof(target))) {
			close(got);
			close(to);
			continue;
		}
		setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		start_direction(got, to, false);
		start_direction(to, got, true);
	}
}

int main(int argc, char **argv)
{
	bool server = argc == 7 && !strcmp(argv[1], "server");

	if (argc == 5 && !strcmp(argv[1], "era")) {
		address.sin_family = AF_INET;
		address.sin_port = htons((uint16_t)atoi(argv[3]));
		inet_pton(AF_INET, argv[2], &address.sin_addr);
		signal(SIGPIPE, SIG_IGN);
		return be_era_proxy((uint16_t)atoi(argv[4]));
	}
	if (!server && (argc != 8 || strcmp(argv[1], "requester") != 0)) {
		fprintf(stderr, "see the head of stand-3.c\n");
		return 2;
	}
	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)atoi(argv[3]));
	inet_pton(AF_INET, argv[2], &address.sin_addr);
	signal(SIGTERM, server ? SIG_DFL : on_signal);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	signal(SIGHUP, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (getenv("SLOTS"))
		slots = atoi(getenv("SLOTS"));
	if (getenv("COLD_MS"))
		cold_ms = strtoull(getenv("COLD_MS"), NULL, 10);
	if (server) {
		server_id = argv[4];
		work_ms = (unsigned)atoi(argv[5]);
		fail_percent = (unsigned)atoi(argv[6]);
		seed = (unsigned)getpid();
		return be_server();
	}
	host = argv[4];
	path = argv[5];
	return be_requester(argv[6], (unsigned)atoi(argv[7]));
}
