/*
 * Stand-in for a server. It runs one request at a time on a connection and answers with
 * a text from a file; what the text says is up to the script that starts it.
 *
 * usage: server PORT WORK-MS ID-FIELD HEALTH-PATH HEALTH-FILE ANSWER-FILE [FAULT-FILE PERCENT]
 * A request for HEALTH-PATH gets the text of HEALTH-FILE at once. Any other one is run
 * for WORK-MS and gets the text of ANSWER-FILE, or of FAULT-FILE for PERCENT of the runs.
 * In both, %ID% stands for the value of the request's field ID-FIELD. Lines of the files
 * end with \n, which is sent as \r\n; a blank line ends the head. Prints a line
 * "run ID MS FILE" when a run begins.
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

static const char *id_field;
static const char *health_path;
static char health[TEXT_BYTES];
static char answer[TEXT_BYTES];
static char fault[TEXT_BYTES];
static unsigned fault_percent;
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

static bool send_text(int fd, const char *text, const char *id)
{
	char out[TEXT_BYTES + ID_BYTES];
	const char *at = strstr(text, "%ID%");

	if (at)
		snprintf(out, sizeof(out), "%.*s%s%s", (int)(at - text), text,
			 id, at + strlen("%ID%"));
	else
		snprintf(out, sizeof(out), "%s", text);
	return send(fd, out, strlen(out), MSG_NOSIGNAL) == (ssize_t)strlen(out);
}

/* The text that a run gets; every so many get the fault. */
static const char *begin_run(const char *id)
{
	bool faulty;

	pthread_mutex_lock(&lock);
	faulty = (runs + 1) * fault_percent / 100 > runs * fault_percent / 100;
	runs++;
	printf("run %s %ld %s\n", id, now_ms(), faulty ? "fault" : "answer");
	fflush(stdout);
	pthread_mutex_unlock(&lock);
	return faulty ? fault : answer;
}

static bool answer_request(int fd, const char *head)
{
	const char *path = strchr(head, ' ');
	char id[ID_BYTES] = "-";
	const char *text;

	if (path && !strncmp(path + 1, health_path, strlen(health_path)))
		return send_text(fd, health, id);
	get_field(head, id_field, id);
	text = begin_run(id);
	usleep(work_ms * 1000);
	return send_text(fd, text, id);
}

static void *serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char *head = calloc(1, HEAD_BYTES + 1);
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
		if (!answer_request(fd, head))
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

	if (argc != 7 && argc != 9) {
		fprintf(stderr, "usage: server PORT WORK-MS ID-FIELD HEALTH-PATH "
				"HEALTH-FILE ANSWER-FILE [FAULT-FILE PERCENT]\n");
		return 2;
	}
	work_ms = (unsigned)atoi(argv[2]);
	id_field = argv[3];
	health_path = argv[4];
	read_file(argv[5], health);
	read_file(argv[6], answer);
	if (argc == 9) {
		read_file(argv[7], fault);
		fault_percent = (unsigned)atoi(argv[8]);
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
