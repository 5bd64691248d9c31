#ifndef PROBE_H
#define PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "core.h"
#include "dialect.h"
#include "httpc.h"
#include "timer.h"

/*
 * Probes on the wire: GET of a path at a server, carried out for the core's PROBE
 * action. The answer comes back as events for the core: always one REPORT, and
 * a SERVER event that tells whether the server says it is draining.
 */
struct pb_prober {
	struct tm_service *timers;
	const struct dl_dialect *dialect;
	void (*post)(void *ctx, struct core_event *event);
	void *ctx;
	struct pb_probe *probes;
};

/* The server to ask. */
struct pb_target {
	uint32_t server; /* id in the core */
	const char *expected_id; /* what the server must call itself */
	const char *path; /* empty: the usual one of the dialect */
	bool cross_zone;
	struct hc_pool *pool;
};

/*
 * pb_init, pb_free - prober on caller-owned memory. POST passes an event on to
 * the core. pb_free cancels running probes. Source: probe.c
 */
void pb_init(struct pb_prober *prober, struct tm_service *timers,
	     const struct dl_dialect *dialect,
	     void (*post)(void *ctx, struct core_event *event), void *ctx);
void pb_free(struct pb_prober *prober);

/*
 * pb_send_probe - ask TARGET for its load. An answer that is late or larger than
 * CORE_PROBE_MAX_BYTES allows ends the probe as failed.
 */
void pb_send_probe(struct pb_prober *prober, const struct pb_target *target);

#endif
