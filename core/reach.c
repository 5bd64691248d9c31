#include "core/reach.h"

#include <glib.h>

/* Several servers of one machine or rack may end at the same moment. */
enum { RC_MIN_SILENCE_US = 150 * 1000 };

static void rc_add(struct rc_failures *failures, uint32_t server,
		   uint64_t now_us)
{
	if (!failures->count)
		failures->first_us = now_us;
	for (uint32_t i = 0; i < failures->count; i++)
		if (failures->servers[i] == server)
			return;
	if (failures->count < RC_FAILED_SERVERS)
		failures->servers[failures->count++] = server;
}

void rc_on_heard(struct rc_reach *reach, bool new_connection)
{
	reach->all.count = 0;
	if (new_connection)
		reach->new_connections.count = 0;
}

void rc_on_failed(struct rc_reach *reach, uint32_t server, bool new_connection,
		  uint64_t now_us)
{
	rc_add(&reach->all, server, now_us);
	if (new_connection)
		rc_add(&reach->new_connections, server, now_us);
}

static bool rc_shows_cut(const struct rc_failures *failures, uint32_t servers,
			 uint64_t now_us)
{
	return servers && failures->count &&
	       failures->count >= MIN(servers, RC_FAILED_SERVERS) &&
	       now_us >= failures->first_us + RC_MIN_SILENCE_US;
}

bool rc_hears_none(const struct rc_reach *reach, uint32_t servers,
		   uint64_t now_us)
{
	return rc_shows_cut(&reach->all, servers, now_us);
}

bool rc_opens_none(const struct rc_reach *reach, uint32_t servers,
		   uint64_t now_us)
{
	return rc_shows_cut(&reach->new_connections, servers, now_us);
}
