#include "core/state.h"

#include <stdlib.h>
#include <string.h>

#include "base/mechanism.h"

/*
 * Measuring budget, probes and load reports. Pool of probe responses, and the
 * choice of a server from it by the rules of Prequal.
 */
enum {
	CORE_PROBES_PER_CALL = 2,
	CORE_POOL_MAX_AGE_US = CORE_US_PER_S,
	CORE_POOL_MAX_USES = 32,
	CORE_HOT_PERCENTILE = 84,
	CORE_RECHECK_US = 5 * CORE_US_PER_S,
	CORE_LIMIT_RECHECK_GAP_US = 100 * CORE_US_PER_MS,
	CORE_POOL_MIN = 2, /* responses needed to choose by them */
	CORE_MAX_LOAD = 1 << 21, /* twice CORE_MAX_SLOTS */
	CORE_MAX_PACE_PERCENT = 10000,
	CORE_REPORT_MEAN_SAMPLES = 32
};

/*
 * Takes BYTES from the measuring budget, and for a server of another zone from
 * the cross-zone budget too. Takes nothing if one of them is short.
 */
static bool core_take_bytes(struct core *core, struct core_service *service,
			    const struct core_server *server, uint64_t bytes)
{
	bool cross = server->zone != core->zone;

	if (!core_bucket_covers(&service->measuring_bytes, core->now_us, bytes))
		return false;
	if (cross && !core_bucket_covers(&service->cross_zone_bytes,
					 core->now_us, bytes))
		return false;
	core_bucket_spend(&service->measuring_bytes, bytes);
	if (cross)
		core_bucket_spend(&service->cross_zone_bytes, bytes);
	return true;
}

/* Takes the largest size of a probe; core_refund_probe_budget corrects it. */
static bool core_take_probe_budget(struct core *core,
				   struct core_service *service,
				   const struct core_server *server)
{
	if (!me_on(ME_MEASURING_BUDGET))
		return true;
	if (!core_bucket_covers(&service->probe_requests, core->now_us, 1) ||
	    !core_take_bytes(core, service, server, CORE_PROBE_MAX_BYTES))
		return false;
	core_bucket_spend(&service->probe_requests, 1);
	return true;
}

/*
 * Reports on answers need no request of their own, but their bytes count. Only
 * the policies "reports" and "shares" request them.
 */
bool core_take_report_budget(struct core *core, struct core_service *service,
			     const struct core_server *server)
{
	if (service->policy != CORE_POLICY_REPORTS &&
	    service->policy != CORE_POLICY_SHARES)
		return false;
	return !me_on(ME_MEASURING_BUDGET) ||
	       core_take_bytes(core, service, server, CORE_REPORT_BYTES);
}

static void core_refund_probe_budget(struct core *core,
				     struct core_service *service,
				     const struct core_server *server,
				     uint32_t bytes)
{
	int64_t rest = (int64_t)CORE_PROBE_MAX_BYTES - (int64_t)bytes;

	if (!me_on(ME_MEASURING_BUDGET))
		return;
	core_bucket_refund(&service->measuring_bytes, rest);
	if (server->zone != core->zone)
		core_bucket_refund(&service->cross_zone_bytes, rest);
}

bool core_send_probe(struct core *core, uint32_t id)
{
	struct core_server *server = core_server(core, id);
	struct core_service *service = core_service(core, server->service);
	struct core_action action = { .kind = CORE_ACT_PROBE,
				      .service = service->id,
				      .server = id };

	if (server->evacuated || core_is_paused(core, server) ||
	    !core_take_probe_budget(core, service, server))
		return false;
	core->driver.on_action(core->driver.ctx, &action);
	return true;
}

void core_send_call_probes(struct core *core, struct core_service *service)
{
	if (service->policy != CORE_POLICY_PROBES)
		return;
	for (uint32_t i = 0; i < CORE_PROBES_PER_CALL; i++) {
		uint32_t at = core_random(core, service->server_count);
		uint32_t id = service->servers[at];

		if (!core_is_withdrawn(core_server(core, id)))
			core_send_probe(core, id);
	}
}

/*
 * Whether a probe is due that may show that the server is no longer draining,
 * rate limited or cold; sets the time of the next one.
 */
static bool core_recheck_is_due(const struct core *core,
				struct core_server *server)
{
	uint64_t reported_us = server->answer_leaving ? 0 : server->report_us;

	if (!server->next_recheck_us)
		server->next_recheck_us = core->now_us + CORE_RECHECK_US;
	server->next_recheck_us =
		MAX(server->next_recheck_us, reported_us + CORE_RECHECK_US);
	if (core->now_us < server->next_recheck_us)
		return false;
	/* With hundreds of limited servers, their probes would be too many. */
	return server->answer_leaving ||
	       core->now_us >=
		       core->last_limit_recheck_us + CORE_LIMIT_RECHECK_GAP_US;
}

/*
 * A draining server gets no calls, and a limited or cold one none from most hosts,
 * so only a probe can detect the end of either.
 */
void core_recheck_servers(struct core *core)
{
	uint64_t next_us = core->now_us + CORE_RECHECK_US;
	bool more = false;

	if (!core->recheck_needed)
		return;
	for (guint i = 0; i < core->servers->len; i++) {
		struct core_server *server = core_server(core, i);

		if (!server->in_conf || server->evacuated ||
		    (!server->answer_leaving &&
		     !core_rate_is_limited(core, server)))
			continue;
		core_rate_refresh(core, server);
		more = true;
		if (core_recheck_is_due(core, server)) {
			core_send_probe(core, i);
			server->next_recheck_us =
				core->now_us + CORE_RECHECK_US;
			if (!server->answer_leaving)
				core->last_limit_recheck_us = core->now_us;
		}
		next_us = MIN(next_us, server->next_recheck_us);
	}
	core->recheck_needed = more;
	if (more)
		core_set_timer(core,
			       MAX(next_us, core->last_limit_recheck_us +
						    CORE_LIMIT_RECHECK_GAP_US));
}

static void core_pool_add(struct core *core, struct core_service *service,
			  const struct core_event *event)
{
	struct core_server *server = core_server(core, event->u.report.server);
	uint32_t load = event->u.report.in_flight + event->u.report.queued;
	struct core_probe_result probe = {
		.server = event->u.report.server,
		.load_q8 = load * CORE_Q8 / MAX(server->slots, 1),
		.at_us = core->now_us,
	};

	probe.latency_us = server->mean_latency_us ?
				   server->mean_latency_us :
				   core_base_latency_us(service, server->zone) +
					   event->u.report.latency_us;
	service->load_history[service->load_history_count++ %
			      CORE_LOAD_HISTORY_SIZE] = probe.load_q8;
	/* The pool is ordered by age; if it is full, the oldest is dropped. */
	if (service->probe_pool_count == CORE_PROBE_POOL_SIZE) {
		service->probe_pool_count--;
		memmove(service->probe_pool, service->probe_pool + 1,
			service->probe_pool_count * sizeof(probe));
	}
	service->probe_pool[service->probe_pool_count++] = probe;
}

static void core_pool_expire(struct core *core, struct core_service *service)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < service->probe_pool_count; i++) {
		struct core_probe_result probe = service->probe_pool[i];
		bool old = core->now_us - probe.at_us > CORE_POOL_MAX_AGE_US;
		bool spent = probe.uses >= CORE_POOL_MAX_USES;

		if ((old && me_on(ME_PROBE_AGE)) ||
		    (spent && me_on(ME_PROBE_REUSE)))
			continue;
		service->probe_pool[kept++] = probe;
	}
	service->probe_pool_count = kept;
}

static int core_compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t core_hot_threshold_q8(const struct core_service *service)
{
	uint32_t sorted[CORE_LOAD_HISTORY_SIZE];
	uint32_t count =
		MIN(service->load_history_count, CORE_LOAD_HISTORY_SIZE);

	memcpy(sorted, service->load_history, count * sizeof(sorted[0]));
	qsort(sorted, count, sizeof(sorted[0]), core_compare_u32);
	return sorted[(count - 1) * CORE_HOT_PERCENTILE / 100];
}

/* Cold servers before hot ones; cold ones by latency, hot ones by load. */
static bool core_probe_is_better(const struct core_probe_result *a,
				 const struct core_probe_result *b,
				 uint32_t hot_q8)
{
	bool a_hot = a->load_q8 > hot_q8;
	bool b_hot = b->load_q8 > hot_q8;

	if (!me_on(ME_HOT_COLD))
		return a->latency_us < b->latency_us;
	if (a_hot != b_hot)
		return b_hot;
	if (a_hot)
		return a->load_q8 < b->load_q8;
	return a->latency_us < b->latency_us;
}

bool core_pick_from_pool(struct core *core, struct core_service *service,
			 const uint32_t *candidates, uint32_t count,
			 uint32_t *server)
{
	struct core_probe_result *best = NULL;
	uint32_t usable = 0;
	uint32_t hot_q8;

	core_pool_expire(core, service);
	if (service->probe_pool_count < CORE_POOL_MIN)
		return false;
	hot_q8 = core_hot_threshold_q8(service);
	for (uint32_t i = 0; i < service->probe_pool_count; i++) {
		struct core_probe_result *probe = &service->probe_pool[i];
		bool found = false;

		for (uint32_t k = 0; k < count; k++)
			found |= candidates[k] == probe->server;
		usable += found;
		if (found &&
		    (!best || core_probe_is_better(probe, best, hot_q8)))
			best = probe;
	}
	if (usable < CORE_POOL_MIN)
		return false;
	*server = best->server;
	best->uses++;
	best->load_q8 += CORE_Q8 / MAX(core_server(core, *server)->slots, 1);
	return true;
}

/*
 * Stores only the load from other hosts; the load from this host is known
 * exactly at any time.
 */
static void core_update_load(struct core *core, struct core_service *service,
			     struct core_server *server,
			     const struct core_event *event)
{
	uint64_t load =
		(uint64_t)event->u.report.in_flight + event->u.report.queued;
	uint32_t own = server->in_flight;
	uint32_t per_slot_q8;

	/*
	 * Assumes that the report leaves out the answered attempt, which is
	 * still among the attempts of this host.
	 */
	if (event->u.report.source == CORE_FROM_ANSWER && own)
		own--;
	load = MIN(load, CORE_MAX_LOAD);
	server->others_load_q8 =
		load > own ? (uint32_t)(load - own) * CORE_Q8 : 0;
	server->report_us = core->now_us;
	per_slot_q8 = server->others_load_q8 / MAX(server->slots, 1);
	service->mean_others_load_q8 =
		(uint32_t)((int64_t)service->mean_others_load_q8 +
			   ((int64_t)per_slot_q8 -
			    (int64_t)service->mean_others_load_q8) /
				   CORE_REPORT_MEAN_SAMPLES);
}

/*
 * Stores the report as received, for policy "ask". Assumes, unlike
 * core_update_load, that a report on an answer counts the answered call as
 * running.
 */
static void core_update_pace(struct core_service *service,
			     struct core_server *server,
			     const struct core_event *event)
{
	uint32_t pace =
		MIN(event->u.report.pace_percent, CORE_MAX_PACE_PERCENT);
	uint32_t mean = service->mean_pace_percent;

	server->running = MIN(event->u.report.in_flight, CORE_MAX_LOAD);
	if (event->u.report.source == CORE_FROM_ANSWER && server->running)
		server->running--;
	server->waiting = MIN(event->u.report.queued, CORE_MAX_LOAD);
	server->sent_since_report = 0;
	server->contended_us = core_has_uncontended_slot(service, server) ?
				       0 :
				       server->report_us;
	server->pace_percent = pace;
	if (!pace)
		return;
	if (!mean)
		mean = pace;
	service->mean_pace_percent =
		(mean * (CORE_REPORT_MEAN_SAMPLES - 1) + pace) /
		CORE_REPORT_MEAN_SAMPLES;
}

void core_on_report(struct core *core, const struct core_event *event)
{
	uint32_t id = event->u.report.server;
	struct core_server *server;
	struct core_service *service;

	if (id >= core->servers->len)
		return;
	server = core_server(core, id);
	service = core_service(core, server->service);
	if (event->u.report.source == CORE_FROM_PROBE)
		core_refund_probe_budget(core, service, server,
					 event->u.report.bytes);
	if (event->u.report.ok && server->in_conf) {
		if (event->u.report.source == CORE_FROM_PROBE) {
			server->probe_us = core->now_us;
			core_pool_add(core, service, event);
		}
		core_update_load(core, service, server, event);
		core_update_pace(service, server, event);
	}
	if (event->u.report.source == CORE_FROM_PROBE)
		core_ask_on_report(core, id, event->u.report.ok);
}
