#ifndef RAW_IO_H
#define RAW_IO_H

#include <arpa/inet.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

/*
 * write_all - write to a blocking socket. Returns false when the other side has closed;
 * adds the bytes that it took to WRITTEN, which may be NULL.
 */
static inline bool write_all(int fd, const char *data, size_t bytes,
			     size_t *written)
{
	while (bytes) {
		ssize_t n = send(fd, data, bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		bytes -= (size_t)n;
		if (written)
			*written += (size_t)n;
	}
	return true;
}

static inline bool write_text(int fd, const char *text)
{
	return write_all(fd, text, strlen(text), NULL);
}

/*
 * write_endless - write the same text again and again until the other side closes;
 * adds the bytes that it took to WRITTEN, which may be NULL.
 */
static inline void write_endless(int fd, const char *text, size_t *written)
{
	enum { BLOCK_BYTES = 256 * 1024 };
	GString *block = g_string_new(NULL);

	while (block->len < BLOCK_BYTES)
		g_string_append(block, text);
	while (write_all(fd, block->str, block->len, written))
		;
	g_string_free(block, TRUE);
}

_Noreturn static inline void fail(const char *what)
{
	perror(what);
	exit(2);
}

static inline int listen_on(const void *address, socklen_t bytes, int backlog)
{
	const struct sockaddr *addr = address;
	int fd = socket(addr->sa_family, SOCK_STREAM, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, addr, bytes))
		fail("bind");
	if (listen(fd, backlog))
		fail("listen");
	return fd;
}

static inline void start_thread(void *(*run)(void *arg), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg))
		fail("pthread_create");
	pthread_detach(thread);
}

/* accept_all - run SERVE in a thread for each connection, with its descriptor. */
_Noreturn static inline void accept_all(int listener, void *(*serve)(void *fd))
{
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd >= 0)
			start_thread(serve, GINT_TO_POINTER(fd));
	}
}

/* find_field - the value of a header field of a request, or "", to be freed. */
static inline char *find_field(const char *request, const char *name)
{
	const char *at = request;

	while ((at = strchr(at, '\n'))) {
		at++;
		if (strncasecmp(at, name, strlen(name)) != 0)
			continue;
		at += strlen(name);
		at += strspn(at, ": ");
		return g_strndup(at, strcspn(at, "\r\n"));
	}
	return g_strdup("");
}

/* comes_from - whether the other side of a connection has that IPv4 address. */
static inline bool comes_from(int fd, const char *source)
{
	struct sockaddr_in peer = { 0 };
	socklen_t bytes = sizeof(peer);
	char text[INET_ADDRSTRLEN];

	return !getpeername(fd, (struct sockaddr *)&peer, &bytes) &&
	       inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text)) &&
	       !strcmp(text, source);
}

/* read_requests - call ANSWER with each request until it returns false, and close. */
static inline void
read_requests(int fd, bool (*answer)(int fd, const char *request, void *ctx),
	      void *ctx)
{
	char request[8192];
	size_t bytes = 0;
	ssize_t n;

	while ((n = recv(fd, request + bytes, sizeof(request) - 1 - bytes, 0)) >
	       0) {
		bytes += (size_t)n;
		request[bytes] = '\0';
		if (!strstr(request, "\r\n\r\n"))
			continue;
		bytes = 0;
		if (!answer(fd, request, ctx))
			break;
	}
	close(fd);
}

/* count_attempt - how often it was asked for CALL_ID before, in all threads. */
static inline uint32_t count_attempt(const char *call_id)
{
	static GMutex lock;
	static GHashTable *counts;
	uint32_t n;

	g_mutex_lock(&lock);
	if (!counts)
		counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, call_id));
	g_hash_table_replace(counts, g_strdup(call_id),
			     GUINT_TO_POINTER(n + 1));
	g_mutex_unlock(&lock);
	return n;
}

#endif
