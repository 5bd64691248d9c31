#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "core/state.h"
#include "core/crash_guard.h"
#include "document/document.h"
#include "http/httpd.h"
#include "base/kernel.h"
#include "orders/order.h"
#include "gateway/probe.h"
#include "core/reach.h"
#include "base/settings.h"
#include "base/timer.h"
#include "core/trace.h"

enum { GW_ID_PREFIX_BYTES = SE_NAME_BYTES + 20 };

/* Whether this host reaches the servers; see reach.c. */
struct gw_reach {
	struct rc_reach evidence;
	struct hc_observer observer;
	uint64_t cut_since_us; /* 0: it reaches some */
	struct hc_request check; /* asks a server for its health */
	bool checking;
	struct tm_sub timer; /* of the next check */
};

/*
 * Listener for callers. It turns requests into events of the decision core,
 * runs the core's actions (attempts, cancellations, timers, probes) and streams
 * the answers back. Registered with the kernel as task "gateway".
 */
struct gw_gateway {
	struct kn_kernel *kernel;
	struct tm_service *timers;
	const struct se_settings *settings;
	const struct dl_dialect *dialect;
	struct kn_task task;
	struct hd_server http;
	struct hd_server *hosts_http; /* of calls from other hosts, or NULL */
	struct hd_budget body_budget; /* of both listeners */
	struct core core;
	GRand *random;
	struct doc_document *document;
	GPtrArray *servers; /* struct gw_server by core id */
	struct tx_list services; /* names by core id */
	GHashTable *server_ids; /* "name address incarnation" to gw_server */
	GArray *hosts; /* struct gw_host, the live entry hosts */
	uint32_t *service_ids; /* core ids by index in the document */
	GHashTable *calls; /* struct gw_call by id, while the core has them */
	GHashTable *route_states; /* struct gw_route_state by name */
	uint64_t last_call_id;
	uint64_t incarnation;
	/* Set after gw_init, before calls arrive; NULL: idempotency keys are
	   ignored. */
	struct od_orders *orders;
	/* Whether a request of CUSTOMER is within its quota, and else after which
	   time it may be; set like ORDERS. NULL: there are no quotas. */
	bool (*admit_customer)(void *ctx, const char *customer,
			       uint64_t *retry_us);
	void *admit_ctx;
	char id_prefix[GW_ID_PREFIX_BYTES]; /* of request ids */
	GArray *events; /* struct core_event, queued for the core */
	bool handling_events;
	struct tr_trace trace;
	struct pb_prober prober;
	struct cg_guard crash_guard;
	struct gw_reach reach;
	GPtrArray *peers; /* struct gw_peer, all other hosts, in their order */
	GHashTable *peer_ids; /* the same by name and address */
	GQueue forwards; /* struct gw_forward: calls at other hosts */
	struct tm_sub peer_timer; /* next check of the hosts that have them */
	GQueue early_calls; /* of other hosts, which wait for a document */
	struct tm_sub early_timer;
	/* When the document was last confirmed; NULL: not known, always. */
	uint64_t (*get_confirmed_us)(void *ctx);
	void *confirmed_ctx;
	uint32_t servers_in_use; /* of the document */
	struct tm_sub core_timer;
	struct tm_sub caller_check;
	struct tm_sub kill_timer; /* shortly before KILL_US */
	uint64_t caller_check_us; /* time of the last one */
	bool stopping;
	uint64_t kill_us; /* end of the process by SIGKILL; 0: not known */
	uint32_t calls_in_flight;
	uint32_t host_count; /* entry hosts that share the servers' limits */
};

/*
 * gw_init, gw_free - set up and release a gateway in the caller's memory.
 * Errors: those of tr_open, kn_register and hd_init. Source: gateway/gateway.c
 */
enum st_kind gw_init(struct gw_gateway *gateway, struct kn_kernel *kernel,
		     struct tm_service *timers,
		     const struct se_settings *settings,
		     const struct dl_dialect *dialect,
		     struct st_status *status);
void gw_free(struct gw_gateway *gateway);

/*
 * gw_limit_hosts - the listener for other hosts keeps the limits and the budget of
 * callers' bodies as well. HTTP must outlive the gateway's documents.
 */
void gw_limit_hosts(struct gw_gateway *gateway, struct hd_server *http);

/*
 * gw_announce_stop - fail health checks and close each connection with its next
 * answer. The process will be killed at KILL_US; 0: not known. Calls that must
 * not run twice are refused if their deadline is later, others if their answer is
 * likely to be: they might be cut off. What still runs shortly before KILL_US ends
 * as at its deadline.
 */
void gw_announce_stop(struct gw_gateway *gateway, uint64_t kill_us);
/*
 * gw_stop_listening - accept no new connections and keep no idle ones to
 * servers.
 */
void gw_stop_listening(struct gw_gateway *gateway);
/* gw_is_ready - has a document and is not stopping. */
bool gw_is_ready(const struct gw_gateway *gateway);
/* gw_is_idle - no call is in flight, and od_is_idle holds for the orders. */
bool gw_is_idle(const struct gw_gateway *gateway);
/*
 * gw_on_forwarded - take a call that another host passes on, from the listener for other
 * hosts; CTX is the gateway.
 */
void gw_on_forwarded(void *ctx, h2o_req_t *req);
/*
 * gw_close - close all connections of callers and the idle ones to servers, and
 * cancel the timers. The loop must run before gw_free.
 */
void gw_close(struct gw_gateway *gateway);

#endif
