#ifndef CORE_REACH_H
#define CORE_REACH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether this host is cut off from the servers. One server that does not answer is
 * at fault itself; several in a row, with no sign of life from any other, show that
 * the host is. Uses no socket and no clock.
 *
 * Connections that are open may live on while new ones fail, so both are judged:
 * new connections by themselves, and all together.
 */
enum { RC_FAILED_SERVERS = 4 };

/* Different servers that failed since any was heard. */
struct rc_failures {
	uint32_t servers[RC_FAILED_SERVERS];
	uint32_t count;
	uint64_t first_us;
};

struct rc_reach {
	struct rc_failures all;
	struct rc_failures new_connections;
};

/*
 * rc_on_heard - bytes of a server have come; on a NEW_CONNECTION: its first ones.
 * rc_on_failed - a request to SERVER got no byte: the connection was refused, was
 *	lost or stayed silent.
 * rc_hears_none - no server is heard; SERVERS is the number of those in use.
 * rc_opens_none - no new connection to a server succeeds. Source: core/reach.c
 */
void rc_on_heard(struct rc_reach *reach, bool new_connection);
void rc_on_failed(struct rc_reach *reach, uint32_t server, bool new_connection,
		  uint64_t now_us);
bool rc_hears_none(const struct rc_reach *reach, uint32_t servers,
		   uint64_t now_us);
bool rc_opens_none(const struct rc_reach *reach, uint32_t servers,
		   uint64_t now_us);

#endif
