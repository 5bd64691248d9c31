/*
 * Stand-in for a server. It runs one request at a time on a connection and answers with
 * a text from a file; what the text says is up to the script that starts it.
 *
 * usage: server PORT WORK-MS ID-FIELD HEALTH-PATH HEALTH-FILE ANSWER-FILE FAULT-FILE PERCENT
 *               [EXTRA-BYTES PERCENT]
 * A request for HEALTH-PATH gets the text of HEALTH-FILE at once. Any other one is run
 * for WORK-MS and gets the text of ANSWER-FILE, or of FAULT-FILE for PERCENT of the runs.
 * In both, %ID% stands for the value of the request's field ID-FIELD. Lines of the files
 * end with \n, which is sent as \r\n; a blank line ends the head. With EXTRA-BYTES, the
 * latest answer to a run on the connection is sent once more for PERCENT of the runs, and
 * is broken off after so many bytes; it comes late, right before the next answer there.
 * Prints a line "run ID MS FILE EXTRA" when a run begins.
 */
#include <arpa/inet.h>
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

enum { HEAD_BYTES = 32768, TEXT_BYTES = 8192, ID_BYTES = 128, BACKLOG = 256 };
/* So that not the same runs get the fault and an extra answer. */
enum { EXTRA_OFFSET = 7 };

static const char *id_field;
static const char *health_path;
static char health[TEXT_BYTES];
static char answer[TEXT_BYTES];
static char fault[TEXT_BYTES];
static unsigned fault_percent;
static size_t extra_bytes;
static unsigned extra_percent;
static unsigned work_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned runs;

static void read_file(const char *path, char *text)
{
	FILE *file = fopen(path, "r");
	char line[TEXT_BYTES];

	if (!file) {
		perror(path);
		exit(2);
	}
	while (fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		strcat(strcat(text, line), "\r\n");
	}
	fclose(file);
}

static long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static bool get_field(const char *head, const char *name, char *value)
{
	for (const char *line = strchr(head, '\n'); line;
	     line = strchr(line + 1, '\n')) {
		size_t bytes = strlen(name);

		if (strncasecmp(line + 1, name, bytes) || line[1 + bytes] != ':')
			continue;
		line += 2 + bytes;
		line += strspn(line, " ");
		snprintf(value, ID_BYTES, "%.*s", (int)strcspn(line, "\r\n"),
			 line);
		return true;
	}
	return false;
}

static bool send_bytes(int fd, const char *data, size_t bytes)
{
	return send(fd, data, bytes, MSG_NOSIGNAL) == (ssize_t)bytes;
}

static void fill_in(const char *text, const char *id, char *out)
{
	const char *at = strstr(text, "%ID%");

	if (at)
		snprintf(out, TEXT_BYTES, "%.*s%s%s", (int)(at - text), text,
			 id, at + strlen("%ID%"));
	else
		snprintf(out, TEXT_BYTES, "%s", text);
}

/* Whether run N is one of PERCENT, which are spread evenly. */
static bool is_chosen(unsigned n, unsigned percent)
{
	return (n + 1) * percent / 100 > n * percent / 100;
}

struct run {
	const char *text;
	bool extra;
};

static struct run begin_run(const char *id, bool has_latest)
{
	struct run run;
	bool faulty;

	pthread_mutex_lock(&lock);
	faulty = is_chosen(runs, fault_percent);
	run.text = faulty ? fault : answer;
	run.extra = has_latest && is_chosen(runs + EXTRA_OFFSET, extra_percent);
	runs++;
	printf("run %s %ld %s %s\n", id, now_ms(), faulty ? "fault" : "answer",
	       run.extra ? "extra" : "-");
	fflush(stdout);
	pthread_mutex_unlock(&lock);
	return run;
}

/* LATEST is the latest answer to a run on the connection. */
static bool answer_request(int fd, const char *head, char *latest)
{
	const char *path = strchr(head, ' ');
	char id[ID_BYTES] = "-";
	struct run run;

	if (path && !strncmp(path + 1, health_path, strlen(health_path)))
		return send_bytes(fd, health, strlen(health));
	get_field(head, id_field, id);
	run = begin_run(id, *latest);
	usleep(work_ms * 1000);
	if (run.extra && !send_bytes(fd, latest, extra_bytes))
		return false;
	fill_in(run.text, id, latest);
	return send_bytes(fd, latest, strlen(latest));
}

static void *serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char *head = calloc(1, HEAD_BYTES + 1);
	char latest[TEXT_BYTES] = "";
	size_t bytes = 0;
	ssize_t got;

	while (bytes < HEAD_BYTES &&
	       (got = recv(fd, head + bytes, HEAD_BYTES - bytes, 0)) > 0) {
		char *end;
		char length[ID_BYTES] = "0";
		size_t all;

		bytes += (size_t)got;
		head[bytes] = '\0';
		end = strstr(head, "\r\n\r\n");
		if (!end)
			continue;
		get_field(head, "content-length", length);
		all = (size_t)(end + 4 - head) + strtoul(length, NULL, 10);
		if (bytes < all)
			continue;
		if (!answer_request(fd, head, latest))
			break;
		memmove(head, head + all, bytes - all + 1);
		bytes -= all;
	}
	close(fd);
	free(head);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	if (argc != 9 && argc != 11) {
		fprintf(stderr, "usage: server PORT WORK-MS ID-FIELD HEALTH-PATH "
				"HEALTH-FILE ANSWER-FILE FAULT-FILE PERCENT "
				"[EXTRA-BYTES PERCENT]\n");
		return 2;
	}
	work_ms = (unsigned)atoi(argv[2]);
	id_field = argv[3];
	health_path = argv[4];
	read_file(argv[5], health);
	read_file(argv[6], answer);
	read_file(argv[7], fault);
	fault_percent = (unsigned)atoi(argv[8]);
	if (argc == 11) {
		extra_bytes = strtoul(argv[9], NULL, 10);
		extra_percent = (unsigned)atoi(argv[10]);
	}
	address.sin_port = htons((uint16_t)atoi(argv[1]));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(listener, BACKLOG)) {
		perror("listen");
		return 1;
	}
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0)
			continue;
		pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd);
		pthread_detach(thread);
	}
}
