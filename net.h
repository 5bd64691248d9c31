#ifndef NET_H
#define NET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

enum { NT_TEXT_BYTES = 64 };

/* A numeric address with port, as text and as a socket address. */
struct nt_address {
	char text[NT_TEXT_BYTES];
	struct sockaddr_storage addr;
};

/*
 * nt_parse - read "127.0.0.1:80" or "[::1]:80". Names are not resolved.
 * Returns false when TEXT is not such an address. Source: net.c
 */
bool nt_parse(const char *text, struct nt_address *address);

/* nt_sockaddr_size - size of a socket address for bind and sendto. */
socklen_t nt_sockaddr_size(const struct nt_address *address);

/* nt_is_loopback - whether the address cannot be reached from other hosts. */
bool nt_is_loopback(const struct nt_address *address);

#endif
