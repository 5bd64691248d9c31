#ifndef GATEWAY_STATE_H
#define GATEWAY_STATE_H

#include "gateway.h"
#include "httpc.h"

/*
 * State that the gateway*.c files share: gateway.c has calls and the listener,
 * gateway_answer.c the answers to callers, gateway_attempt.c the attempts at
 * servers, gateway_conf.c what follows from documents and the host list.
 */
enum { GW_US_PER_MS = 1000, GW_REQUEST_ID_BYTES = 128, GW_DIGITS = 20 };

/* An upstream server with its connections. */
struct gw_server {
	char name[DOC_NAME_BYTES];
	uint32_t id;
	uint32_t zone;
	struct hc_pool pool;
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
	uint64_t deadline_us;
	uint32_t service; /* core id */
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
 * gw_is_hop_header - headers of one connection, or set by this program.
 */
void gw_add_outcome(struct gw_call *call, enum st_kind kind);
void gw_reply_error(struct gw_call *call, enum st_kind kind, const char *msg);
void gw_start_answer(struct gw_call *call, const struct hc_head *head);
void gw_flush(struct gw_call *call);
bool gw_is_hop_header(const char *name, size_t bytes);

/*
 * gateway_attempt.c: carry out actions of the core.
 *
 * gw_decimal - write VALUE without a terminator; returns the digits.
 */
void gw_send(struct gw_gateway *gateway, const struct core_action *action);
void gw_cancel(struct gw_gateway *gateway, const struct core_action *action);
void gw_probe(struct gw_gateway *gateway, const struct core_action *action);
size_t gw_decimal(uint64_t value, char out[GW_DIGITS]);

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
