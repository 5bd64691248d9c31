#include "core/state.h"

/*
 * Pauses that servers ask for. A server that refuses a request may name a time
 * for which it wants nothing more from this host: it is overloaded, and each
 * further request, also one that it refuses, keeps it so. Until that time is over
 * no call, retry, hedge or probe goes there. Then one call at a time does, and
 * more with each success, because the calls of all hosts would else arrive at once
 * and overload the server again.
 */

bool core_is_paused(const struct core *core, const struct core_server *server)
{
	return core->now_us < server->paused_until_us;
}

void core_on_pause(struct core *core, const struct core_event *event)
{
	uint64_t until_us = core->now_us + event->u.pause.duration_us;
	struct core_server *server;

	if (event->u.pause.server >= core->servers->len)
		return;
	server = core_server(core, event->u.pause.server);
	server->paused_until_us = MAX(server->paused_until_us, until_us);
	server->limit_q8 = MIN(server->limit_q8, (uint32_t)CORE_Q8);
}

enum st_kind core_closed_kind(const struct core *core,
			      const struct core_service *service)
{
	if (core_is_evacuated(core, service))
		return ST_NO_SERVER;
	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct core_server *server =
			core_server(core, service->servers[i]);

		if (!core_is_withdrawn(server) && core_is_paused(core, server))
			return ST_PAUSED;
	}
	return ST_RATE_LIMIT;
}

uint64_t core_opens_us(const struct core *core,
		       const struct core_service *service)
{
	uint64_t opens_us = UINT64_MAX;
	bool any = false;

	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct core_server *server =
			core_server(core, service->servers[i]);
		bool paused = core_is_paused(core, server);

		if (core_is_withdrawn(server) ||
		    (!paused && core_is_ejected(core, server)))
			continue;
		any = true;
		opens_us = MIN(opens_us, MAX(server->paused_until_us,
					     core_rate_opens_us(core, server)));
	}
	return any || core_is_evacuated(core, service) ? opens_us :
							 core->now_us;
}
