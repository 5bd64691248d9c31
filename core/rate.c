#include "core/state.h"

/*
 * A server in need names how many requests a second it takes from all hosts
 * together. A few hosts divide this among them, and the others send it nothing:
 * with one request for each host, a hundred hosts would send far more than a
 * server takes that allows four a second. Rendezvous hashing selects these hosts
 * by the host list alone, so that they need not talk to each other.
 *
 * Requests that were not sent are saved, by all hosts together as many as the
 * limit allows in a second and CORE_MIN_SAVED more. This bounds what the server
 * gets at once, and so how many hosts can have a share: each must be able to
 * save one request.
 */
enum {
	CORE_MILLI = 1000,
	CORE_TOKENS_PER_MILLI = CORE_TOKEN_SCALE / CORE_MILLI,
	CORE_MIN_SAVED = 3
};

/* Only hosts in the zone of the server count, as long as there are any. */
static bool core_may_own_share(const struct core *core,
			       const struct core_server *server,
			       const struct core_host_conf *host, bool any_zone)
{
	return !host->draining && host->hash != core->host_hash &&
	       (any_zone || host->zone == server->zone);
}

static bool core_has_host_in_zone(const struct core *core, uint32_t zone)
{
	for (guint i = 0; i < core->hosts->len; i++) {
		const struct core_host_conf *host =
			&g_array_index(core->hosts, struct core_host_conf, i);

		if (!host->draining && host->zone == zone)
			return true;
	}
	return false;
}

/*
 * Number of hosts that share the limit of SERVER, at most MOST. 0: this host is
 * not one of them, or does not know yet who else sends.
 */
static uint32_t core_rate_owners(const struct core *core,
				 const struct core_server *server,
				 uint32_t most)
{
	bool any_zone = !core_has_host_in_zone(core, server->zone);
	uint64_t own = core_host_score(server->hash, core->host_hash);
	uint32_t others = 0;
	uint32_t before = 0;

	if (!core->hosts->len)
		return core->budget_hosts > 1 ? 0 : 1;
	if (!any_zone && server->zone != core->zone)
		return 0;
	for (guint i = 0; i < core->hosts->len; i++) {
		const struct core_host_conf *host =
			&g_array_index(core->hosts, struct core_host_conf, i);

		if (!core_may_own_share(core, server, host, any_zone))
			continue;
		others++;
		before += core_host_score(server->hash, host->hash) > own;
	}
	return before < most ? MIN(others + 1, most) : 0;
}

void core_rate_configure(const struct core *core, struct core_server *server)
{
	uint64_t saved_milli = (uint64_t)server->rate_limit_milli +
			       (uint64_t)CORE_MIN_SAVED * CORE_MILLI;
	uint32_t owners = core_rate_owners(
		core, server, (uint32_t)(saved_milli / CORE_MILLI));
	uint64_t tokens_per_milli = owners ? CORE_TOKENS_PER_MILLI : 0;

	core_bucket_set(
		&server->rate_tokens,
		server->rate_limit_milli * tokens_per_milli / MAX(owners, 1),
		saved_milli * tokens_per_milli / MAX(owners, 1), core->now_us);
}

void core_rate_on_limit(struct core *core, const struct core_event *event)
{
	struct core_server *server;

	if (event->u.rate_limit.server >= core->servers->len)
		return;
	server = core_server(core, event->u.rate_limit.server);
	if (!server->rate_limited)
		server->rate_tokens =
			(struct core_bucket){ .refilled_us = core->now_us };
	server->rate_limited = event->u.rate_limit.limited;
	server->rate_limit_milli = event->u.rate_limit.milli_per_s;
	if (server->rate_limited)
		core_rate_configure(core, server);
	core->recheck_needed |= server->rate_limited;
	core_recheck_servers(core);
}

bool core_rate_allows(const struct core *core, const struct core_server *server,
		      bool hedge)
{
	if (!server->rate_limited)
		return true;
	return !hedge && core_bucket_level(&server->rate_tokens,
					   core->now_us) >= CORE_TOKEN_SCALE;
}

void core_rate_take(const struct core *core, struct core_server *server)
{
	if (server->rate_limited &&
	    core_bucket_covers(&server->rate_tokens, core->now_us, 1))
		core_bucket_spend(&server->rate_tokens, 1);
}

uint64_t core_rate_opens_us(const struct core *core,
			    const struct core_server *server)
{
	const struct core_bucket *bucket = &server->rate_tokens;
	int64_t missing =
		CORE_TOKEN_SCALE - core_bucket_level(bucket, core->now_us);

	if (!server->rate_limited || missing <= 0)
		return core->now_us;
	if (!bucket->rate_per_s)
		return UINT64_MAX;
	return core->now_us +
	       (uint64_t)missing * CORE_US_PER_S / bucket->rate_per_s;
}
