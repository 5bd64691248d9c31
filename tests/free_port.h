#ifndef FREE_PORT_H
#define FREE_PORT_H

#include <arpa/inet.h>
#include <check.h>
#include <sys/socket.h>

#include "base/net.h"

/* listen_on_free_port - listen on loopback. Sets ADDRESS; returns the descriptor. */
static inline int listen_on_free_port(struct nt_address *address)
{
	enum { BACKLOG = 8 };
	struct sockaddr_in bound = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(bound);
	char text[NT_TEXT_BYTES];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&bound, bytes), 0);
	ck_assert_int_eq(listen(fd, BACKLOG), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&bound, &bytes), 0);
	g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(bound.sin_port));
	ck_assert(nt_parse(text, address));
	return fd;
}

#endif
