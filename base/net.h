#ifndef BASE_NET_H
#define BASE_NET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

enum { NT_TEXT_BYTES = 64 };

/* A numeric IP address with port, as text and as a socket address. */
struct nt_address {
	char text[NT_TEXT_BYTES];
	struct sockaddr_storage addr;
};

/*
 * nt_parse - parse an address such as "127.0.0.1:80" or "[::1]:80". Host names
 * are not resolved. Returns false when TEXT is not a numeric address with port.
 * Source: base/net.c
 */
bool nt_parse(const char *text, struct nt_address *address);

/* nt_sockaddr_size - size of the socket address, for bind and sendto. */
socklen_t nt_sockaddr_size(const struct nt_address *address);

/* nt_is_loopback - whether only this machine can reach the address. */
bool nt_is_loopback(const struct nt_address *address);

#endif
