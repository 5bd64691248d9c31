#ifndef GATEWAY_PROBE_H
#define GATEWAY_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/core.h"
#include "gateway/dialect.h"
#include "http/httpc.h"
#include "base/timer.h"

/*
 * Carries out the core's PROBE action: sends a GET request to a server. Posts
 * the result to the core as events: always one REPORT, and after a valid answer
 * also a RATE_LIMIT event before it and a SERVER event, which states whether the
 * server is leaving.
 */
struct pb_prober {
	struct tm_service *timers;
	const struct dl_dialect *dialect;
	void (*post)(void *ctx, struct core_event *event);
	void *ctx;
	struct pb_probe *probes; /* in progress */
};

/* The server to probe. */
struct pb_target {
	uint32_t server; /* id in the core */
	const char *expected_id; /* answers with another id are rejected */
	const char *path; /* empty: the default of the dialect */
	bool cross_zone;
	struct hc_pool *pool;
};

/*
 * pb_init, pb_free - prober on caller-owned memory. POST passes an event on to
 * the core. pb_free cancels probes without events. Source: gateway/probe.c
 */
void pb_init(struct pb_prober *prober, struct tm_service *timers,
	     const struct dl_dialect *dialect,
	     void (*post)(void *ctx, struct core_event *event), void *ctx);
void pb_free(struct pb_prober *prober);

/*
 * pb_send_probe - request the load of TARGET. The probe fails if the answer is
 * late or too large: CORE_PROBE_MAX_BYTES limits request and answer together,
 * and is checked as the body arrives.
 */
void pb_send_probe(struct pb_prober *prober, const struct pb_target *target);

/*
 * pb_format_request - the request of a probe, to PATH of the server of POOL; an empty
 * path is the default of the dialect. The caller frees it.
 */
GString *pb_format_request(const struct dl_dialect *dialect, const char *path,
			   const struct hc_pool *pool);

#endif
