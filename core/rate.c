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
 *
 * A cold server may get 1.5 times its warm-up rate and 8 more requests in any
 * second. Each of the hosts that share it has an eighth of that, and by one list of
 * hosts there are four of these. So the bound also holds while eight hosts take
 * themselves for one of them, because their lists differ. An eighth is the same
 * whatever the number of hosts: when all start together, each knows few others.
 */
enum {
	CORE_MILLI = 1000,
	CORE_TOKENS_PER_MILLI = CORE_TOKEN_SCALE / CORE_MILLI,
	CORE_MIN_SAVED = 3,
	CORE_COLD_OWNERS = 4,
	CORE_COLD_RATE_PERCENT = 75, /* of the warm-up rate, of all owners */
	/* Longer than most warm-ups; also finds the end of one told wrongly. */
	CORE_COLD_RECHECK_US = 5 * CORE_US_PER_S
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

bool core_is_cold(const struct core *core, const struct core_server *server)
{
	return server->warmup_milli_per_s &&
	       core->now_us < server->warmup_until_us;
}

bool core_began_cold(const struct core_server *server,
		     const struct core_attempt *attempt)
{
	return server->warmup_milli_per_s &&
	       attempt->begin_us < server->warmup_until_us;
}

bool core_warmup_is_known(const struct core_server *server, uint64_t at_us)
{
	return !server->warmup_milli_per_s ||
	       at_us <= server->probe_us + CORE_WARMUP_CHECK_US;
}

bool core_rate_is_limited(const struct core *core,
			  const struct core_server *server)
{
	return server->rate_limited || core_is_cold(core, server);
}

static void core_rate_configure(const struct core *core,
				struct core_server *server)
{
	uint64_t milli_per_s = UINT64_MAX;
	uint64_t saved_milli = UINT64_MAX;
	uint64_t tokens_per_milli;
	uint32_t owners;

	server->rate_is_cold = core_is_cold(core, server);
	if (server->rate_limited) {
		milli_per_s = server->rate_limit_milli;
		saved_milli =
			milli_per_s + (uint64_t)CORE_MIN_SAVED * CORE_MILLI;
	}
	if (server->rate_is_cold) {
		uint64_t cold_milli = (uint64_t)server->warmup_milli_per_s *
				      CORE_COLD_RATE_PERCENT / 100;

		milli_per_s = MIN(milli_per_s, cold_milli);
		saved_milli = MIN(saved_milli,
				  (uint64_t)CORE_COLD_OWNERS * CORE_MILLI);
	}
	owners = core_rate_owners(core, server,
				  (uint32_t)(saved_milli / CORE_MILLI));
	tokens_per_milli = owners ? CORE_TOKENS_PER_MILLI : 0;
	if (server->rate_is_cold)
		owners = (uint32_t)(saved_milli / CORE_MILLI);
	core_bucket_set(&server->rate_tokens,
			milli_per_s * tokens_per_milli / MAX(owners, 1),
			saved_milli * tokens_per_milli / MAX(owners, 1),
			core->now_us);
}

void core_rate_refresh(const struct core *core, struct core_server *server)
{
	if (server->rate_limited && server->rate_is_cold &&
	    !core_is_cold(core, server))
		core_rate_configure(core, server);
}

/* What was saved before the limit began does not count. */
static void core_rate_begin(const struct core *core, struct core_server *server)
{
	server->rate_tokens =
		(struct core_bucket){ .refilled_us = core->now_us };
}

static void core_rate_set_cold(struct core *core, struct core_server *server,
			       uint64_t left_us)
{
	bool was_cold = core_is_cold(core, server);

	if (!core_rate_is_limited(core, server))
		core_rate_begin(core, server);
	server->warmup_until_us = core->now_us + left_us;
	if (was_cold || !core_is_cold(core, server))
		return;
	server->cold_since_us = core->now_us;
	server->next_recheck_us = core->now_us + CORE_COLD_RECHECK_US;
	core_rate_configure(core, server);
}

void core_rate_configure_server(struct core *core,
				const struct core_server_conf *from,
				struct core_server *server)
{
	uint64_t left_us = (uint64_t)from->warmup_ms * CORE_US_PER_MS;

	server->warmup_milli_per_s = from->warmup_milli_per_s;
	if (left_us && from->warmup_milli_per_s)
		core_rate_set_cold(core, server, left_us);
	else if (left_us && !server->was_in_conf)
		server->warmup_until_us = core->now_us + left_us;
	if (!core_rate_is_limited(core, server))
		return;
	core_rate_configure(core, server);
	/*
	 * Nobody can have sent to a server that has just joined. A host that has
	 * just started may have done so before, and saves first.
	 */
	if (core->configured && !server->was_in_conf && !server->last_send_us &&
	    server->cold_since_us == core->now_us)
		server->rate_tokens.tokens = server->rate_tokens.depth;
	core->recheck_needed = true;
}

void core_rate_on_warmup(struct core *core, const struct core_event *event)
{
	struct core_server *server;

	if (event->u.warmup.server >= core->servers->len)
		return;
	server = core_server(core, event->u.warmup.server);
	if (!server->warmup_milli_per_s)
		return;
	core_rate_set_cold(core, server, event->u.warmup.left_us);
	core_rate_refresh(core, server);
	core->recheck_needed |= core_is_cold(core, server);
	core_recheck_servers(core);
}

void core_rate_on_limit(struct core *core, const struct core_event *event)
{
	struct core_server *server;

	if (event->u.rate_limit.server >= core->servers->len)
		return;
	server = core_server(core, event->u.rate_limit.server);
	if (!core_rate_is_limited(core, server))
		core_rate_begin(core, server);
	server->rate_limited = event->u.rate_limit.limited;
	server->rate_limit_milli = event->u.rate_limit.milli_per_s;
	if (core_rate_is_limited(core, server))
		core_rate_configure(core, server);
	core->recheck_needed |= server->rate_limited;
	core_recheck_servers(core);
}

bool core_rate_allows(const struct core *core, const struct core_server *server,
		      bool hedge)
{
	if (!core_rate_is_limited(core, server))
		return true;
	return !hedge && core_bucket_level(&server->rate_tokens,
					   core->now_us) >= CORE_TOKEN_SCALE;
}

bool core_rate_is_untried(const struct core *core,
			  const struct core_server *server)
{
	return server->warmup_milli_per_s &&
	       server->last_send_us < server->cold_since_us &&
	       core_rate_allows(core, server, false);
}

void core_rate_take(const struct core *core, struct core_server *server)
{
	if (!core_rate_is_limited(core, server))
		return;
	core_rate_refresh(core, server);
	if (core_bucket_covers(&server->rate_tokens, core->now_us, 1))
		core_bucket_spend(&server->rate_tokens, 1);
}

uint64_t core_rate_opens_us(const struct core *core,
			    const struct core_server *server)
{
	const struct core_bucket *bucket = &server->rate_tokens;
	int64_t missing =
		CORE_TOKEN_SCALE - core_bucket_level(bucket, core->now_us);
	uint64_t opens_us = UINT64_MAX;

	if (!core_rate_is_limited(core, server) || missing <= 0)
		return core->now_us;
	if (bucket->rate_per_s)
		opens_us = core->now_us + (uint64_t)missing * CORE_US_PER_S /
						  bucket->rate_per_s;
	return server->rate_limited ? opens_us :
				      MIN(opens_us, server->warmup_until_us);
}
