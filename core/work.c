#include "core/state.h"

/*
 * Estimates the time of a call at a server from the work of its class, the pace
 * of the machine and the load on it, and checks for free slots. The work and
 * the effect of contention are estimated from earlier attempts.
 */
enum {
	/*
	 * Age at which a reported pace has half of its weight. Interference by
	 * other workloads on the machine changes within this time.
	 */
	CORE_PACE_HALF_US = 200 * CORE_US_PER_MS,
	CORE_PACE_BASE_PERCENT = 100, /* an undisturbed machine */
	/*
	 * Many servers slow down when more than four fifths of their slots are
	 * busy (the knee). The slowdown of a service is measured; below
	 * CORE_CONTENTION_MIN_PERCENT it is ignored.
	 */
	CORE_KNEE_PERCENT = 80,
	/* Slowdown assumed in estimates, and start value of the average. */
	CORE_CONTENTION_PERCENT = 170,
	CORE_CONTENTION_MAX_PERCENT = 400,
	CORE_CONTENTION_MIN_PERCENT = 120,
	CORE_WARMUP_COST_PERCENT = 200,
	CORE_ZONE_RTT_US = 8 * CORE_US_PER_MS,
	/* Work of an unknown class, as part of the latency target. */
	CORE_DEFAULT_WORK_PERCENT = 40,
	CORE_WORK_SAMPLES = 16, /* in the moving averages */
	CORE_WORK_OUTLIER_FACTOR = 3 /* longer samples are cut to this */
};

static uint64_t core_report_age_us(const struct core *core,
				   const struct core_server *server)
{
	return server->report_us ? core->now_us - server->report_us :
				   UINT64_MAX / 2;
}

/* The reported pace; with its age it approaches the mean of the service. */
static uint64_t core_estimated_pace_percent(const struct core *core,
					    const struct core_service *service,
					    const struct core_server *server)
{
	uint64_t age_us = MIN(core_report_age_us(core, server),
			      (uint64_t)100 * CORE_PACE_HALF_US);
	int64_t mean = service->mean_pace_percent ?
			       (int64_t)service->mean_pace_percent :
			       CORE_PACE_BASE_PERCENT;
	int64_t pace =
		server->pace_percent ? (int64_t)server->pace_percent : mean;

	return (uint64_t)(mean + (pace - mean) * CORE_PACE_HALF_US /
					 (int64_t)(CORE_PACE_HALF_US + age_us));
}

uint64_t core_work_us(const struct core *core,
		      const struct core_service *service,
		      const struct core_call *call)
{
	uint32_t known_work_us =
		core_get_by_index(service->work_us, call->work_class);

	if (known_work_us)
		return known_work_us;
	return call->target_duration_us * CORE_DEFAULT_WORK_PERCENT / 100;
}

/* Slower than an undisturbed machine and than the mean of the service. */
static bool core_is_slow(const struct core_service *service,
			 const struct core_server *server)
{
	return server->pace_percent > CORE_PACE_NORMAL_MAX_PERCENT &&
	       server->pace_percent * CORE_PACE_BASE_PERCENT >
		       service->mean_pace_percent *
			       CORE_PACE_NORMAL_MAX_PERCENT;
}

/* Estimated number of requests at the server, at least those of this host. */
static uint64_t core_requests_at_server(const struct core_server *server)
{
	uint64_t known = (uint64_t)server->running + server->waiting +
			 server->sent_since_report;

	return MAX(known, server->in_flight);
}

/* Whether BUSY requests at the server exceed the knee. */
static bool core_is_past_knee(const struct core_server *server, uint64_t busy)
{
	return busy > 1 &&
	       busy * 100 > (uint64_t)server->slots * CORE_KNEE_PERCENT;
}

/* Whether the servers of the service slow down past the knee. */
static bool core_has_contention(const struct core_service *service)
{
	return !service->contention_percent ||
	       service->contention_percent >= CORE_CONTENTION_MIN_PERCENT;
}

enum core_sample_kind core_work_sample_kind(const struct core *core,
					    const struct core_server *server)
{
	if (!server->pace_percent ||
	    server->pace_percent > CORE_PACE_NORMAL_MAX_PERCENT ||
	    core->now_us < server->warmup_until_us ||
	    core_requests_at_server(server) >= server->slots)
		return CORE_SAMPLE_NONE;
	return core_is_past_knee(server, core_requests_at_server(server) + 1) ?
		       CORE_SAMPLE_CONTENTION :
		       CORE_SAMPLE_WORK;
}

void core_record_work(struct core *core, const struct core_call *call,
		      const struct core_attempt *attempt)
{
	struct core_service *service = core_service(core, call->service);
	uint32_t known_work_us = (uint32_t)core_work_us(core, service, call);
	int64_t took_us = (int64_t)(attempt->answer_us - attempt->begin_us);
	int64_t cost;

	if (attempt->sample == CORE_SAMPLE_NONE)
		return;
	core_set_by_index(service->work_us, call->work_class, known_work_us);
	if (attempt->sample == CORE_SAMPLE_CONTENTION) {
		cost = MIN(took_us * 100 / MAX(known_work_us, 1),
			   CORE_CONTENTION_MAX_PERCENT);
		if (!service->contention_percent)
			service->contention_percent = CORE_CONTENTION_PERCENT;
		service->contention_percent =
			(service->contention_percent * (CORE_WORK_SAMPLES - 1) +
			 (uint32_t)cost) /
			CORE_WORK_SAMPLES;
		return;
	}
	took_us =
		MIN(took_us, (int64_t)known_work_us * CORE_WORK_OUTLIER_FACTOR);
	known_work_us = (uint32_t)((int64_t)known_work_us +
				   (took_us - (int64_t)known_work_us) /
					   CORE_WORK_SAMPLES);
	core_set_by_index(service->work_us, call->work_class, known_work_us);
}

uint64_t core_expected_latency_us(const struct core *core,
				  const struct core_service *service,
				  const struct core_server *server,
				  const struct core_call *call)
{
	uint64_t idle_work_us = core_work_us(core, service, call);
	uint64_t slots = MAX(server->slots, 1);
	uint64_t busy = core_requests_at_server(server) + 1;
	uint64_t work_us = idle_work_us *
			   core_estimated_pace_percent(core, service, server) /
			   CORE_PACE_BASE_PERCENT;
	uint64_t cost_us;

	if (core->now_us < server->warmup_until_us)
		work_us = work_us * CORE_WARMUP_COST_PERCENT / 100;
	if (core_is_past_knee(server, busy) && core_has_contention(service))
		work_us = work_us * CORE_CONTENTION_PERCENT / 100;
	cost_us = work_us;
	if (busy > slots)
		cost_us += work_us * (busy - slots) / slots;
	if (core_oldest_attempt_us(core, server) > 2 * work_us)
		cost_us += core_oldest_attempt_us(core, server) / 2;
	if (server->zone != core->zone)
		cost_us += CORE_ZONE_RTT_US;
	return cost_us;
}

bool core_report_is_fresh(const struct core *core,
			  const struct core_server *server)
{
	return core_report_age_us(core, server) <= CORE_REPORT_FRESH_US;
}

bool core_has_slot(const struct core_server *server)
{
	return core_requests_at_server(server) + 1 <= server->slots;
}

/*
 * A server whose last slots are always in use completes fewer calls a second
 * than one that keeps them free.
 */
bool core_has_uncontended_slot(const struct core_service *service,
			       const struct core_server *server)
{
	return core_has_slot(server) &&
	       (!core_is_past_knee(server,
				   core_requests_at_server(server) + 1) ||
		!core_has_contention(service));
}

/*
 * A call that cannot meet its target must not take a slot in which another call
 * would meet its own. On a slow machine it would still hold the slot long after
 * the machine has recovered.
 */
bool core_has_spare_slot(const struct core_service *service,
			 const struct core_server *server)
{
	uint64_t occupied = core_requests_at_server(server);

	return !core_is_slow(service, server) &&
	       (!occupied || !core_is_past_knee(server, occupied + 2));
}

/* Calls are not refused for a target that no server can meet. */
uint64_t core_target_us(const struct core *core,
			const struct core_service *service,
			const struct core_call *call)
{
	return core_work_us(core, service, call) < call->target_duration_us ?
		       call->target_us :
		       call->deadline_us;
}
