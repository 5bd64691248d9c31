#include "base/net.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <uv.h>

static bool nt_parse_port(const char *text, int *port)
{
	char *end;
	long value;

	if (!g_ascii_isdigit(*text))
		return false;
	value = strtol(text, &end, 10);
	if (*end || value < 1 || value > UINT16_MAX)
		return false;
	*port = (int)value;
	return true;
}

static bool nt_set_sockaddr(const char *ip, int port,
			    struct nt_address *address)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&address->addr;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&address->addr;

	if (!uv_ip4_addr(ip, port, v4))
		return true;
	return !uv_ip6_addr(ip, port, v6);
}

bool nt_parse(const char *text, struct nt_address *address)
{
	char ip[NT_TEXT_BYTES];
	const char *colon = strrchr(text, ':');
	int port;
	size_t len;

	memset(address, 0, sizeof(*address));
	if (!colon || strlen(text) >= sizeof(address->text))
		return false;
	if (!nt_parse_port(colon + 1, &port))
		return false;
	g_strlcpy(address->text, text, sizeof(address->text));
	len = (size_t)(colon - text);
	if (*text == '[' && len > 2 && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	g_strlcpy(ip, text, len + 1);
	return nt_set_sockaddr(ip, port, address);
}

socklen_t nt_sockaddr_size(const struct nt_address *address)
{
	if (address->addr.ss_family == AF_INET6)
		return sizeof(struct sockaddr_in6);
	return sizeof(struct sockaddr_in);
}

bool nt_is_loopback(const struct nt_address *address)
{
	const struct sockaddr_in *v4 = (const void *)&address->addr;
	const struct sockaddr_in6 *v6 = (const void *)&address->addr;

	if (address->addr.ss_family == AF_INET6)
		return IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
	return (ntohl(v4->sin_addr.s_addr) >> 24) == IN_LOOPBACKNET;
}
