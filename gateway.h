#ifndef GATEWAY_H
#define GATEWAY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "core_state.h"
#include "document.h"
#include "httpd.h"
#include "kernel.h"
#include "order.h"
#include "probe.h"
#include "settings.h"
#include "timer.h"
#include "trace.h"

enum { GW_ID_PREFIX_BYTES = SE_NAME_BYTES + 20 };

/*
 * Callers' listener: turns requests into events of the decision core, carries
 * out its actions and streams answers back. Registered as "gateway".
 */
struct gw_gateway {
	struct kn_kernel *kernel;
	struct tm_service *timers;
	const struct se_settings *settings;
	const struct dl_dialect *dialect;
	struct kn_task task;
	struct hd_server http;
	struct core core;
	GRand *random;
	struct doc_document *document;
	GPtrArray *servers; /* struct gw_server by core id */
	GPtrArray *service_names; /* names by core id */
	GHashTable *server_ids; /* "name address" to id */
	GArray *hosts; /* struct gw_host, the live entry hosts */
	uint32_t *service_ids; /* index in the document to core id */
	GHashTable *calls; /* by id */
	GHashTable *route_states; /* struct gw_route_state by name */
	uint64_t last_call_id;
	uint64_t incarnation;
	/* Set after gw_init, before calls arrive; NULL: no claims by key. */
	struct od_orders *orders;
	char id_prefix[GW_ID_PREFIX_BYTES]; /* of request ids */
	size_t id_prefix_bytes;
	GArray *events; /* queued for the core */
	bool handling_events;
	struct tr_trace trace;
	struct pb_prober prober;
	struct tm_sub core_timer;
	struct tm_sub caller_check;
	bool stopping;
	uint32_t calls_in_flight;
	uint32_t host_count; /* live entry hosts, this one included */
};

/* gw_init, gw_free - gateway task on caller-owned memory. Source: gateway.c */
enum st_kind gw_init(struct gw_gateway *gateway, struct kn_kernel *kernel,
		     struct tm_service *timers,
		     const struct se_settings *settings,
		     const struct dl_dialect *dialect,
		     struct st_status *status);
void gw_free(struct gw_gateway *gateway);

/* gw_announce_stop - health checks fail, answers close their connections. */
void gw_announce_stop(struct gw_gateway *gateway);
/* gw_stop_listening - take no new connections. */
void gw_stop_listening(struct gw_gateway *gateway);
/* gw_ready - serves calls and is not about to stop. */
bool gw_ready(const struct gw_gateway *gateway);
/* gw_idle - no call is in flight. */
bool gw_idle(const struct gw_gateway *gateway);
/* gw_close - end what is left; the loop must run before gw_free. */
void gw_close(struct gw_gateway *gateway);

#endif
