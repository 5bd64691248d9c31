#include "core/state.h"

#include <stdlib.h>
#include <string.h>

#include "base/mechanism.h"

/*
 * Limits of a server: adaptive concurrency limit, outlier ejection (the switch
 * "fail-fast-guard") and slow start. Budget of retries and hedges.
 */
enum {
	CORE_SLOW_START_US = 10 * CORE_US_PER_S,
	CORE_SLOW_START_MIN_Q8 = CORE_Q8 / 10,
	/* Multiple of the zone's median latency that makes a straggler. */
	CORE_STRAGGLER_FACTOR = 3,
	CORE_MIN_LIMIT_Q8 = 8,
	/* Samples of a server before its average is compared with others. */
	CORE_MIN_LATENCY_SAMPLES = 4,
	/* Answers of a service between two updates of the medians. */
	CORE_MEDIAN_EVERY_ANSWERS = 8,
	/* Longer pauses would delay the detection of a recovery. */
	CORE_MAX_PAUSE_US = CORE_US_PER_S,
	CORE_EJECT_ERRORS_IN_ROW = 3,
	CORE_EJECT_ERROR_RATE_Q8 = CORE_Q8 / 2,
	CORE_MIN_BACKOFF_US = 200 * CORE_US_PER_MS,
	CORE_MAX_BACKOFF_US = 10 * CORE_US_PER_S,
	CORE_MAX_SAVED_RETRIES = 10,
	/* The rest is left for hosts that are not in the host list yet. */
	CORE_SLACK_PERCENT = 80,
	CORE_ONE_RETRY = 100, /* hundredths */
	CORE_HISTOGRAM_MAX_SAMPLES = 4096,
	/* Samples between two updates of the percentiles. */
	CORE_PERCENTILE_EVERY_SAMPLES = 64,
	CORE_LOW_LATENCY_PERCENTILE = 10,
	CORE_HIGH_LATENCY_PERCENTILE = 95,
	CORE_DEFAULT_LATENCY_US = 5 * CORE_US_PER_MS,
	CORE_AVERAGE_SHIFT = 3 /* a sample has a weight of 1/8 */
};

bool core_is_leaving(const struct core_server *server)
{
	if (!me_on(ME_LEAVING))
		return false;
	return server->conf_leaving || server->announced_leaving ||
	       server->answer_leaving || server->left_for_good;
}

bool core_is_withdrawn(const struct core_server *server)
{
	return server->evacuated || core_is_leaving(server);
}

bool core_is_evacuated(const struct core *core,
		       const struct core_service *service)
{
	bool any = false;

	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct core_server *server =
			core_server(core, service->servers[i]);

		if (!core_is_withdrawn(server))
			return false;
		any |= server->evacuated;
	}
	return any;
}

/* After the back-off, one trial call at a time is let through. */
bool core_is_ejected(const struct core *core, const struct core_server *server)
{
	if (!server->backoff_us || !me_on(ME_FAIL_FAST))
		return false;
	return core->now_us < server->backoff_until_us || server->in_flight;
}

uint32_t core_slow_start_share_q8(const struct core *core,
				  const struct core_server *server)
{
	uint64_t age_us = core->now_us - server->slow_start_us;

	/* Servers with a warm-up rate say themselves when they are warm. */
	if (!server->slow_start_us || age_us >= CORE_SLOW_START_US ||
	    server->warmup_milli_per_s || !me_on(ME_SLOW_START))
		return CORE_Q8;
	return CORE_SLOW_START_MIN_Q8 +
	       (uint32_t)((CORE_Q8 - CORE_SLOW_START_MIN_Q8) * age_us /
			  CORE_SLOW_START_US);
}

/* A limit below one attempt is applied as a pause between attempts. */
bool core_is_under_limit(const struct core *core,
			 const struct core_service *service,
			 const struct core_server *server)
{
	uint64_t pause_us;

	if (server->in_flight >= server->max_connections)
		return false;
	if (!me_on(ME_SERVER_LIMIT) ||
	    server->limit_q8 >= CORE_Q8 * server->slots)
		return true;
	if (server->limit_q8 >= CORE_Q8)
		return (server->in_flight + 1) * CORE_Q8 <= server->limit_q8;
	pause_us = (uint64_t)core_base_latency_us(service, server->zone) *
		   CORE_Q8 / server->limit_q8;
	pause_us = MIN(pause_us, (uint64_t)CORE_MAX_PAUSE_US);
	return !server->in_flight &&
	       core->now_us >= server->last_send_us + pause_us;
}

uint32_t core_get_by_index(const GArray *values, uint32_t index)
{
	return index < values->len ? g_array_index(values, uint32_t, index) : 0;
}

void core_set_by_index(GArray *values, uint32_t index, uint32_t value)
{
	if (index >= values->len)
		g_array_set_size(values, index + 1);
	g_array_index(values, uint32_t, index) = value;
}

uint32_t core_zone_latency_us(const struct core_service *service, uint32_t zone)
{
	return core_get_by_index(service->zone_latency_us, zone);
}

uint32_t core_base_latency_us(const struct core_service *service, uint32_t zone)
{
	uint32_t latency_us = core_zone_latency_us(service, zone);

	return latency_us ? latency_us : CORE_DEFAULT_LATENCY_US;
}

uint64_t core_oldest_attempt_us(const struct core *core,
				const struct core_server *server)
{
	for (const GList *l = server->open_attempts.head; l; l = l->next) {
		const struct core_attempt *attempt = l->data;

		if (!attempt->answer_us)
			return core->now_us - attempt->begin_us;
	}
	return 0;
}

/* Logarithmic buckets, four per factor of two, from 16 us up. */
static uint32_t core_latency_bucket(uint32_t latency_us)
{
	uint32_t value = MAX(latency_us, 16);
	uint32_t octave = g_bit_storage(value) - 1;
	uint32_t quarter = (value >> (octave - 2)) & 3;

	return MIN((octave - 4) * 4 + quarter, CORE_LATENCY_BUCKETS - 1);
}

static uint32_t core_latency_bucket_end_us(uint32_t bucket)
{
	uint32_t octave = bucket / 4 + 4;

	return (uint32_t)MIN((uint64_t)(5 + bucket % 4) << (octave - 2),
			     UINT32_MAX);
}

static uint32_t core_percentile_us(const struct core_service *service,
				   uint32_t percent)
{
	uint64_t seen = 0;

	for (uint32_t i = 0; i < CORE_LATENCY_BUCKETS; i++) {
		seen += service->latency_histogram[i];
		if (seen * 100 >=
		    (uint64_t)service->histogram_samples * percent)
			return core_latency_bucket_end_us(i);
	}
	return UINT32_MAX;
}

/* Regularly halves the counts, so that recent latencies have more weight. */
static void core_add_to_histogram(struct core_service *service,
				  uint32_t latency_us)
{
	service->latency_histogram[core_latency_bucket(latency_us)]++;
	if (++service->histogram_samples % CORE_PERCENTILE_EVERY_SAMPLES)
		return;
	service->low_latency_us =
		core_percentile_us(service, CORE_LOW_LATENCY_PERCENTILE);
	service->high_latency_us =
		core_percentile_us(service, CORE_HIGH_LATENCY_PERCENTILE);
	if (service->histogram_samples < CORE_HISTOGRAM_MAX_SAMPLES)
		return;
	service->histogram_samples = 0;
	for (uint32_t i = 0; i < CORE_LATENCY_BUCKETS; i++) {
		service->latency_histogram[i] /= 2;
		service->histogram_samples += service->latency_histogram[i];
	}
}

static uint32_t core_moving_average(uint32_t average, uint32_t sample,
				    uint32_t shift)
{
	int64_t diff = (int64_t)sample - (int64_t)average;

	if (!average)
		return sample;
	return (uint32_t)MAX((int64_t)average + diff / (1 << shift), 1);
}

/*
 * Compares a server with the median of its zone, so that at most half of the
 * servers can be stragglers. A slow moving average over all answers is not a
 * usable reference: with it, every server of a service with long calls counted
 * as a straggler.
 */
static bool core_is_straggler(const struct core_service *service,
			      const struct core_server *server)
{
	uint32_t median_us = core_zone_latency_us(service, server->zone);

	return median_us &&
	       server->latency_samples >= CORE_MIN_LATENCY_SAMPLES &&
	       server->mean_latency_us > CORE_STRAGGLER_FACTOR * median_us;
}

struct core_zone_sample {
	uint32_t zone;
	uint32_t latency_us;
};

static int core_compare_samples(const void *a, const void *b)
{
	const struct core_zone_sample *x = a;
	const struct core_zone_sample *y = b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->latency_us != y->latency_us)
		return x->latency_us < y->latency_us ? -1 : 1;
	return 0;
}

/* Sets the latency of each zone to the lower median over its servers. */
static void core_update_zone_latency(const struct core *core,
				     struct core_service *service)
{
	struct core_zone_sample *samples =
		g_newa(struct core_zone_sample, service->server_count + 1);
	uint32_t count = 0;
	uint32_t begin = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct core_server *server =
			core_server(core, service->servers[i]);

		if (server->latency_samples < CORE_MIN_LATENCY_SAMPLES ||
		    server->zone == CORE_NO_ZONE)
			continue;
		samples[count].zone = server->zone;
		samples[count++].latency_us = server->mean_latency_us;
	}
	qsort(samples, count, sizeof(*samples), core_compare_samples);
	for (uint32_t end = 1; end <= count; end++) {
		const struct core_zone_sample *first = &samples[begin];

		if (end < count && samples[end].zone == first->zone)
			continue;
		core_set_by_index(
			service->zone_latency_us, first->zone,
			samples[begin + (end - begin - 1) / 2].latency_us);
		begin = end;
	}
}

static void core_adapt_limit(const struct core_service *service,
			     struct core_server *server, uint32_t latency_us)
{
	uint32_t top_q8 = CORE_Q8 * server->slots;
	uint32_t base_us = core_base_latency_us(service, server->zone);

	if (core_is_straggler(service, server)) {
		/*
		 * The first cut starts from the attempts in flight, because
		 * the limit may be far above them.
		 */
		server->limit_q8 = MIN(server->limit_q8,
				       CORE_Q8 * MAX(server->in_flight, 1));
		server->limit_q8 = MAX(server->limit_q8 / 2, CORE_MIN_LIMIT_Q8);
	} else if (server->limit_q8 < CORE_Q8) {
		if (latency_us < CORE_STRAGGLER_FACTOR * base_us)
			server->limit_q8 *= 2;
	} else {
		server->limit_q8 = MIN(server->limit_q8 + CORE_Q8 / 2, top_q8);
	}
}

static void core_notify_health(const struct core *core,
			       const struct core_server *server, bool ejected)
{
	struct core_health_change change = {
		.server = server->id,
		.ejected = ejected,
		.errors = server->errors_in_row,
		.back_off_ms = (uint32_t)(server->backoff_us / CORE_US_PER_MS),
	};

	if (core->driver.health_changed)
		core->driver.health_changed(core->driver.ctx, &change);
}

static void core_record_latency(struct core *core, struct core_server *server,
				uint32_t latency_us)
{
	struct core_service *service = core_service(core, server->service);

	core_add_to_histogram(service, latency_us);
	server->mean_latency_us = core_moving_average(
		server->mean_latency_us, latency_us, CORE_AVERAGE_SHIFT);
	server->latency_samples++;
	if (++service->answer_count % CORE_MEDIAN_EVERY_ANSWERS == 0)
		core_update_zone_latency(core, service);
	/* An answer to an earlier call says nothing of the time after a pause. */
	if (!core_is_paused(core, server))
		core_adapt_limit(service, server, latency_us);
}

void core_record_success(struct core *core, struct core_server *server,
			 const struct core_attempt *attempt)
{
	/* Later calls are not as slow, and would get a smaller share for it. */
	if (!core_began_cold(server, attempt))
		core_record_latency(
			core, server,
			(uint32_t)(attempt->answer_us - attempt->begin_us));
	server->error_rate_q8 -= server->error_rate_q8 / 4;
	server->errors_in_row = 0;
	if (!server->backoff_us)
		return;
	core_notify_health(core, server, false);
	server->backoff_us = 0;
	server->error_rate_q8 = 0;
	server->slow_start_us = core->now_us;
}

/* For a cancelled attempt: its answer would have taken AT_LEAST_US or more. */
void core_record_min_latency(struct core *core, struct core_server *server,
			     uint32_t at_least_us)
{
	struct core_service *service = core_service(core, server->service);

	if (at_least_us <= server->mean_latency_us)
		return;
	server->mean_latency_us = core_moving_average(
		server->mean_latency_us, at_least_us, CORE_AVERAGE_SHIFT);
	server->latency_samples++;
	if (core_is_straggler(service, server))
		core_adapt_limit(service, server, at_least_us);
}

void core_record_error(struct core *core, struct core_server *server)
{
	server->error_rate_q8 += (CORE_Q8 - server->error_rate_q8) / 4;
	server->errors_in_row++;
	/* Calls sent before the back-off began are no new evidence. */
	if (server->backoff_us && core->now_us < server->backoff_until_us)
		return;
	if (server->backoff_us)
		server->backoff_us = MIN(2 * server->backoff_us,
					 (uint64_t)CORE_MAX_BACKOFF_US);
	else if (server->errors_in_row >= CORE_EJECT_ERRORS_IN_ROW ||
		 server->error_rate_q8 >= CORE_EJECT_ERROR_RATE_Q8)
		server->backoff_us = CORE_MIN_BACKOFF_US;
	server->backoff_until_us = core->now_us + server->backoff_us;
	if (server->backoff_us)
		core_notify_health(core, server, true);
}

void core_forget_cut(struct core *core)
{
	for (guint i = 0; i < core->servers->len; i++) {
		struct core_server *server = core_server(core, i);

		if (server->backoff_us)
			core_notify_health(core, server, false);
		server->backoff_us = 0;
		server->backoff_until_us = 0;
		server->errors_in_row = 0;
		server->error_rate_q8 = 0;
		server->mean_latency_us = 0;
		server->latency_samples = 0;
		/* A pause lowers the limit too, for a gentle start after it. */
		if (!core_is_paused(core, server))
			server->limit_q8 = server->slots * CORE_Q8;
	}
}

/* The server shed load; it counts as full until the next report. */
void core_record_refusal(struct core *core, struct core_server *server)
{
	server->report_us = core->now_us;
	server->others_load_q8 = 2 * server->slots * CORE_Q8;
}

/* Number of other hosts whose hash sorts before that of this host. */
static uint32_t core_hosts_before(const struct core *core)
{
	uint32_t before = 0;

	for (guint i = 0; i < core->hosts->len; i++) {
		const struct core_host_conf *host =
			&g_array_index(core->hosts, struct core_host_conf, i);

		before += !host->draining && host->hash < core->host_hash;
	}
	return before;
}

/*
 * The share of a host, in hundredths, is at least one retry. If there are more
 * hosts than retries, it is one for the first hosts and none for the others.
 */
static uint32_t core_retry_slack_share(const struct core *core, uint32_t hosts,
				       uint32_t retry_slack)
{
	uint32_t slack = retry_slack * CORE_SLACK_PERCENT;

	if (slack / hosts >= CORE_ONE_RETRY)
		return slack / hosts;
	return core_hosts_before(core) < slack / CORE_ONE_RETRY ?
		       CORE_ONE_RETRY :
		       0;
}

void core_configure_retries(const struct core *core,
			    const struct core_conf *conf,
			    const struct core_service_conf *from,
			    struct core_service *service)
{
	uint32_t hosts = MAX(core->host_count, conf->budget_hosts);

	service->retry_percent = from->retry_percent;
	service->retry_window_used = from->retry_slack != 0;
	service->retry_slack =
		core_retry_slack_share(core, hosts, from->retry_slack);
}

static struct core_retry_second *
core_current_second(const struct core *core, struct core_service *service)
{
	uint64_t now_s = core->now_us / CORE_US_PER_S;
	struct core_retry_second *at =
		&service->retry_window[now_s % CORE_RETRY_WINDOW_S];

	if (at->second != now_s) {
		memset(at, 0, sizeof(*at));
		at->second = now_s;
	}
	return at;
}

uint32_t core_retry_credit(const struct core *core,
			   const struct core_service *service)
{
	uint64_t now_s = core->now_us / CORE_US_PER_S;
	uint64_t earned = service->retry_slack;
	uint64_t spent = 0;

	if (!service->retry_window_used)
		return service->retry_credit;
	for (uint32_t i = 0; i < CORE_RETRY_WINDOW_S; i++) {
		const struct core_retry_second *at = &service->retry_window[i];

		if (at->second + CORE_RETRY_WINDOW_S <= now_s)
			continue;
		earned += (uint64_t)at->calls * service->retry_percent;
		spent += (uint64_t)at->extra_attempts * CORE_ONE_RETRY;
	}
	return earned > spent ? (uint32_t)(earned - spent) : 0;
}

void core_earn_retry_credit(const struct core *core,
			    struct core_service *service)
{
	core_current_second(core, service)->calls++;
	service->retry_credit =
		MIN(service->retry_credit + service->retry_percent,
		    CORE_ONE_RETRY * CORE_MAX_SAVED_RETRIES);
}

/* Retries and hedges share one budget. */
bool core_take_retry_credit(const struct core *core,
			    struct core_service *service)
{
	if (!me_on(ME_RETRY_BUDGET))
		return true;
	if (core_retry_credit(core, service) < CORE_ONE_RETRY)
		return false;
	core_current_second(core, service)->extra_attempts++;
	service->retry_credit -= MIN(service->retry_credit, CORE_ONE_RETRY);
	return true;
}
