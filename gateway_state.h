#ifndef GATEWAY_STATE_H
#define GATEWAY_STATE_H

#include "dialect.h"
#include "gateway.h"
#include "httpc.h"

/*
 * State that the gateway*.c files share: gateway.c has calls and the listener,
 * gateway_answer.c the answers to callers, gateway_attempt.c the attempts at
 * servers, gateway_conf.c what follows from documents and the host list,
 * gateway_route.c what is remembered of routes, gateway_log.c the lines of the
 * log.
 */
enum { GW_US_PER_MS = 1000, GW_REQUEST_ID_BYTES = 128, GW_DIGITS = 20 };

/* An upstream server with its connections. */
struct gw_server {
	char name[DOC_NAME_BYTES];
	uint32_t id;
	uint32_t zone;
	char probe_path[DOC_ROUTE_BYTES];
	struct hc_pool pool;
};

/* An answer that is kept back until it is whole. */
struct gw_held {
	struct hc_head head;
	struct hc_header *headers;
	GString *text; /* of the headers */
	GString *body;
};

/* A live entry host. */
struct gw_host {
	uint64_t hash;
	char zone[DOC_NAME_BYTES];
	bool draining;
};

struct gw_attempt {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_call *call;
	uint32_t index;
	uint32_t server;
	int status;
	uint64_t begin_us;
	uint64_t end_us; /* 0: still open */
	enum core_end end;
	struct core_inputs inputs; /* why this server */
	struct gw_held *held; /* NULL: passed on as it arrives */
	bool refused;
	bool ended;
};

/*
 * A call lives until the core has finished it and the listener has dropped
 * its request, in either order.
 */
struct gw_call {
	h2o_generator_t generator; /* first: callbacks cast back */
	struct gw_gateway *gateway;
	uint64_t id;
	char request_id[GW_REQUEST_ID_BYTES];
	h2o_req_t *req; /* NULL once the listener has dropped it */
	bool head_method;
	GString *head; /* of the request, without what differs per attempt */
	GString *body;
	const char *call_id; /* of the caller; NULL: none */
	char route[DOC_NAME_BYTES];
	uint64_t generation; /* of the document when the call arrived */
	uint32_t attempt_count;
	struct core_inputs inputs; /* of the core's last decision */
	uint64_t deadline_us;
	uint64_t begin_us;
	uint64_t target_us; /* 0: none */
	uint64_t waited_us; /* by the caller, since its first try */
	uint32_t service; /* core id */
	uint32_t lane; /* caller in the core, or CORE_NO_CALLER */
	uint32_t max_attempts; /* 0: no limit of its own */
	bool bulky;
	bool idempotent;
	bool may_have_run; /* one of the ended attempts */
	struct od_claim *claim; /* of an order that was claimed */
	GString *kept; /* answer to be kept with the claim */
	char *kept_type;
	struct tm_sub timer;
	struct gw_attempt attempts[CORE_MAX_ATTEMPTS];
	struct gw_attempt *answering;
	GString *pending; /* answer bytes not yet given to the listener */
	GString *sending; /* owned by the listener until it proceeds */
	uint32_t refs; /* one of the core, one of the listener */
	bool started;
	bool in_send;
	bool finished;
	bool final_sent;
	bool paused;
	enum st_kind result;
};

/* gateway.c: queue an event for the core, whose time is now. */
void gw_post(struct gw_gateway *gateway, struct core_event *event);

/*
 * gateway_answer.c
 *
 * gw_add_outcome - headers that tell the caller what happened to the request.
 * gw_reply_error - answer with an error kind; MSG may be NULL.
 * gw_start_answer - pass the head of a server's answer on.
 * gw_flush - give the listener what is there, and the end when it is known.
 * gw_add_retry_after - Retry-After on an answer of KIND, if it promises that
 * the request was not run.
 * gw_is_hop_header - headers of one connection, or set by this program.
 */
void gw_add_outcome(struct gw_call *call, enum st_kind kind);
void gw_reply_error(struct gw_call *call, enum st_kind kind, const char *msg);
void gw_start_answer(struct gw_call *call, const struct hc_head *head);
void gw_flush(struct gw_call *call);
bool gw_is_hop_header(const struct dl_dialect *dialect, const char *name,
		      size_t bytes);
void gw_add_retry_after(const struct dl_dialect *dialect, h2o_req_t *req,
			enum st_kind kind);

/*
 * gateway_attempt.c: carry out actions of the core.
 *
 * gw_decimal - write VALUE without a terminator; returns the digits.
 */
void gw_drop_held(struct gw_attempt *attempt);
void gw_send(struct gw_gateway *gateway, const struct core_action *action);
void gw_cancel(struct gw_gateway *gateway, const struct core_action *action);
void gw_probe(struct gw_gateway *gateway, const struct core_action *action);
size_t gw_decimal(uint64_t value, char out[GW_DIGITS]);

/*
 * gateway_log.c: lines about calls, see docs/OPERATIONS.md.
 *
 * gw_log_send - an attempt starts.
 * gw_log_attempt - an attempt ended in a way that was not asked for.
 * gw_log_end - the caller was told the result.
 * gw_log_refusal - a request that never became a call.
 * gw_log_note - what the core believes about a server; CTX is the gateway.
 */
void gw_log_send(const struct gw_attempt *attempt, bool hedge);
void gw_log_attempt(const struct gw_attempt *attempt, const char *msg);
void gw_log_end(const struct gw_call *call);
void gw_log_refusal(const struct gw_gateway *gateway, h2o_req_t *req,
		    enum st_kind kind);
void gw_log_note(void *ctx, const struct core_health_change *note);

/*
 * gateway_route.c
 *
 * gw_routes_new - the table of what is remembered of routes.
 * gw_next_part - whose turn it is among the parts of a route.
 * gw_waited_ms - how long a caller that states the time limit STATED_MS has
 * been waiting since its first try, estimated from the limits that other
 * callers of the route state; 0 for a first try.
 */
GHashTable *gw_routes_new(void);
uint32_t gw_next_part(struct gw_gateway *gateway,
		      const struct doc_route *route);
uint64_t gw_waited_ms(struct gw_gateway *gateway, const struct doc_route *route,
		      uint64_t stated_ms);

/*
 * gateway_conf.c
 *
 * gw_configure_core - give the core the document and the host list.
 * gw_take_hosts - a new list of live entry hosts.
 * gw_take_server_state - a sign about a server from the platform or a peer.
 */
void gw_configure_core(struct gw_gateway *gateway);
void gw_take_hosts(struct gw_gateway *gateway, const struct pr_hosts *hosts);
void gw_take_server_state(struct gw_gateway *gateway,
			  const struct kn_msg_server_state *state);

#endif
