#include "core/state.h"

#include "base/mechanism.h"

/* Choice of a server by the policy of its service. */

enum {
	/* Age at which a report has half of its weight. */
	CORE_REPORT_HALF_US = 10 * CORE_US_PER_MS,
	/* Used until the latency of both zones is known. */
	CORE_ZONE_COST_US = 8 * CORE_US_PER_MS,
	CORE_ZONE_MIN_COST_US = CORE_US_PER_MS,
	CORE_LOAD_COST_DIVISOR = 8, /* full load costs 1/8 of the latency */
	CORE_MAX_LOAD_PER_SLOT = 2, /* while no calls are queued */
	/* Bound for the effect of the queue wait, in median latencies. */
	CORE_MAX_WAIT_LATENCIES = 50,
	CORE_NO_SERVER = UINT32_MAX
};

/* Servers that may take a call, those of the local zone first. */
struct core_server_set {
	uint32_t *ids;
	uint32_t count;
	uint32_t local_count;
};

struct core_choice {
	uint32_t id;
	uint64_t cost_us;
};

/*
 * Load from all hosts, in requests. The load from other hosts is the latest
 * report; with its age it approaches the mean of the service.
 */
uint32_t core_load_q8(const struct core *core,
		      const struct core_service *service,
		      const struct core_server *server)
{
	uint64_t age_us = core->now_us - server->report_us;
	int64_t mean_q8 = (int64_t)service->mean_others_load_q8 * server->slots;
	int64_t others_q8 = server->others_load_q8;

	if (!me_on(ME_REPORT_LOAD))
		return server->in_flight * CORE_Q8;
	if (!server->report_us)
		others_q8 = mean_q8;
	else if (me_on(ME_REPORT_AGE))
		others_q8 = mean_q8 +
			    (others_q8 - mean_q8) * CORE_REPORT_HALF_US /
				    (int64_t)(CORE_REPORT_HALF_US + age_us);
	return (uint32_t)others_q8 + server->in_flight * CORE_Q8;
}

static bool core_is_local(const struct core *core,
			  const struct core_server *server)
{
	return server->zone == core->zone;
}

/* Extra cost of a call to the zone of SERVER over one to the local zone. */
static uint64_t core_zone_cost_us(const struct core *core,
				  const struct core_service *service,
				  const struct core_server *server)
{
	uint32_t remote_us = core_zone_latency_us(service, server->zone);
	uint32_t local_us = core_zone_latency_us(service, core->zone);

	if (core_is_local(core, server) || !me_on(ME_ZONE_LOCAL))
		return 0;
	if (!remote_us || !local_us)
		return CORE_ZONE_COST_US;
	if (remote_us < local_us + CORE_ZONE_MIN_COST_US)
		return CORE_ZONE_MIN_COST_US;
	return remote_us - local_us;
}

/* Expected time of a call to SERVER beyond the median latency. */
static uint64_t core_server_cost_us(const struct core *core,
				    const struct core_service *service,
				    const struct core_server *server)
{
	uint64_t load_q8 = core_load_q8(core, service, server) + CORE_Q8;
	uint64_t slots_q8 = (uint64_t)server->slots * CORE_Q8;
	uint64_t base_us = core_base_latency_us(service, core->zone);
	uint64_t remote_us = core_base_latency_us(service, server->zone);
	uint64_t recent_us = MAX(server->mean_latency_us,
				 core_oldest_attempt_us(core, server) / 2);
	uint64_t cost_us = core_zone_cost_us(core, service, server);

	cost_us += base_us * load_q8 / slots_q8 / CORE_LOAD_COST_DIVISOR;
	if (load_q8 > slots_q8)
		cost_us += base_us * (load_q8 - slots_q8) / slots_q8;
	if (recent_us > 2 * remote_us && me_on(ME_SERVER_LIMIT))
		cost_us += recent_us - 2 * remote_us;
	if (me_on(ME_FAIL_FAST))
		cost_us += base_us * server->error_rate_q8 / (CORE_Q8 / 4);
	return cost_us;
}

bool core_was_tried(const struct core_call *call, uint32_t id)
{
	for (uint32_t k = 0; k < call->attempt_count; k++)
		if (call->attempts[k].server == id)
			return true;
	return false;
}

static bool core_is_basic_policy(const struct core_service *service)
{
	return service->policy == CORE_POLICY_RANDOM ||
	       service->policy == CORE_POLICY_ROUND_ROBIN ||
	       service->policy == CORE_POLICY_LEAST_OF_TWO;
}

/*
 * Ejection is suspended while more than half of the servers are ejected; the
 * cause is then not in the servers.
 */
bool core_ejection_active(const struct core *core,
			  const struct core_service *service)
{
	uint32_t ejected = 0;
	uint32_t all = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct core_server *server =
			core_server(core, service->servers[i]);

		if (core_is_withdrawn(server))
			continue;
		all++;
		ejected += server->backoff_us != 0;
	}
	return 2 * ejected <= all;
}

bool core_is_available(const struct core *core,
		       const struct core_service *service,
		       const struct core_server *server, bool eject)
{
	if (!server->in_conf || core_is_withdrawn(server) ||
	    core_is_paused(core, server))
		return false;
	if (core_is_basic_policy(service))
		return server->in_flight < server->max_connections;
	if (eject && core_is_ejected(core, server))
		return false;
	return core_is_under_limit(core, service, server);
}

bool core_is_usable(struct core *core, const struct core_service *service,
		    const struct core_server *server, bool eject)
{
	uint32_t share_q8;

	if (!core_is_available(core, service, server, eject))
		return false;
	if (core_is_basic_policy(service))
		return true;
	share_q8 = core_slow_start_share_q8(core, server);
	return share_q8 == CORE_Q8 || core_random(core, CORE_Q8) < share_q8;
}

static void core_collect_usable(struct core *core,
				const struct core_service *service,
				const struct core_call *call, bool hedge,
				bool include_tried, struct core_server_set *set)
{
	bool eject = core_ejection_active(core, service);

	set->count = 0;
	set->local_count = 0;
	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t id = service->servers[i];
		const struct core_server *server = core_server(core, id);

		if ((!include_tried && core_was_tried(call, id)) ||
		    !core_rate_allows(core, server, hedge) ||
		    !core_is_usable(core, service, server, eject))
			continue;
		set->ids[set->count] = id;
		if (core_is_local(core, server)) {
			set->ids[set->count] = set->ids[set->local_count];
			set->ids[set->local_count++] = id;
		}
		set->count++;
	}
}

/* Draws two different indices below COUNT, or as many as there are. */
static uint32_t core_draw_two(struct core *core, uint32_t count,
			      uint32_t drawn[2])
{
	if (!count)
		return 0;
	drawn[0] = core_random(core, count);
	if (count == 1)
		return 1;
	drawn[1] = core_random(core, count - 1);
	drawn[1] += drawn[1] >= drawn[0];
	return 2;
}

static uint32_t core_pick_of_two(struct core *core,
				 const struct core_server_set *set)
{
	uint32_t drawn[2];
	uint32_t count = core_draw_two(core, set->count, drawn);
	uint32_t a = set->ids[drawn[0]];
	uint32_t b = set->ids[drawn[count - 1]];

	if (core_server(core, b)->in_flight < core_server(core, a)->in_flight)
		return b;
	return a;
}

/*
 * Whether SERVER has room for one more call outside the own share of this host.
 * Calls are queued at the host rather than at a full server. The longer they
 * wait, the more load is accepted, so that calls do not wait longer at hosts
 * with a small share.
 */
static bool core_has_room(const struct core *core,
			  const struct core_service *service,
			  const struct core_server *server)
{
	uint64_t load_q8 = core_load_q8(core, service, server) + CORE_Q8;
	uint64_t slots_q8 = (uint64_t)server->slots * CORE_Q8;
	uint64_t base_us = core_base_latency_us(service, core->zone);
	uint64_t wait_us = (uint64_t)service->queued * service->mean_end_gap_us;
	uint64_t room_q8 = CORE_MAX_LOAD_PER_SLOT * slots_q8;

	room_q8 += slots_q8 *
		   MIN(wait_us / 2, CORE_MAX_WAIT_LATENCIES * base_us) /
		   base_us;
	return load_q8 <= room_q8;
}

static void core_consider_server(const struct core *core,
				 const struct core_service *service,
				 uint32_t id, struct core_choice *best)
{
	uint64_t cost_us =
		core_server_cost_us(core, service, core_server(core, id));

	if (best->id != CORE_NO_SERVER && cost_us >= best->cost_us)
		return;
	best->id = id;
	best->cost_us = cost_us;
}

/* Considers two random servers out of COUNT, if they have room. */
static void core_consider_two(struct core *core,
			      const struct core_service *service,
			      const uint32_t *ids, uint32_t count,
			      struct core_choice *best)
{
	uint32_t drawn[2];
	uint32_t n = core_draw_two(core, count, drawn);

	for (uint32_t i = 0; i < n; i++) {
		uint32_t id = ids[drawn[i]];

		if (core_has_room(core, service, core_server(core, id)))
			core_consider_server(core, service, id, best);
	}
}

static bool core_has_own_slot(const struct core_server *server)
{
	return me_on(ME_OWN_SHARE) && server->in_flight < server->own_slots;
}

/*
 * Prefers free slots of this host's own share in the local zone. Otherwise
 * compares the best own slot with two random servers of the local zone and two
 * of the other zones, by cost.
 */
static uint32_t core_pick_by_cost(struct core *core,
				  struct core_service *service,
				  const struct core_server_set *set,
				  bool shares)
{
	struct core_choice best = { .id = CORE_NO_SERVER };
	uint32_t start = service->next_index++;

	for (uint32_t i = 0; shares && i < set->count; i++) {
		uint32_t id = set->ids[(start + i) % set->count];

		if (core_has_own_slot(core_server(core, id)))
			core_consider_server(core, service, id, &best);
	}
	if (best.id != CORE_NO_SERVER &&
	    core_is_local(core, core_server(core, best.id)))
		return best.id;
	core_consider_two(core, service, set->ids, set->local_count, &best);
	core_consider_two(core, service, set->ids + set->local_count,
			  set->count - set->local_count, &best);
	/*
	 * Without a call of this host in flight, no report would arrive that
	 * could show free room.
	 */
	if (best.id == CORE_NO_SERVER && !service->in_flight)
		core_consider_server(core, service,
				     set->ids[core_random(core, set->count)],
				     &best);
	return best.id;
}

static uint32_t core_pick_by_policy(struct core *core,
				    struct core_service *service,
				    const struct core_server_set *set)
{
	uint32_t id;

	switch (service->policy) {
	case CORE_POLICY_RANDOM:
		return set->ids[core_random(core, set->count)];
	case CORE_POLICY_ROUND_ROBIN:
		return set->ids[service->next_index++ % set->count];
	case CORE_POLICY_LEAST_OF_TWO:
		return core_pick_of_two(core, set);
	case CORE_POLICY_PROBES:
		if (core_pick_from_pool(core, service, set->ids, set->count,
					&id))
			return id;
		return set->ids[core_random(core, set->count)];
	default:
		return core_pick_by_cost(core, service, set,
					 service->policy == CORE_POLICY_SHARES);
	}
}

bool core_pick_server(struct core *core, struct core_service *service,
		      const struct core_call *call, bool hedge,
		      uint32_t *server)
{
	struct core_server_set set = {
		.ids = g_newa(uint32_t, service->server_count + 1)
	};

	core_collect_usable(core, service, call, hedge, false, &set);
	/* A retry may use a server again if no other is left; a hedge not. */
	if (!set.count && call->attempt_count && !hedge)
		core_collect_usable(core, service, call, hedge, true, &set);
	if (!set.count)
		return false;
	*server = core_pick_by_policy(core, service, &set);
	if (*server == CORE_NO_SERVER)
		return false;
	return !hedge ||
	       core_has_room(core, service, core_server(core, *server));
}
