#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H

#include "gateway/state.h"
#include "peer/host_message.h"
#include "peer/peer.h"

/*
 * Calls that are forwarded to another host, because this one reaches no server
 * (design.md, section 8), and those that other hosts forward to this one:
 *
 * peer.c: the hosts that calls can be passed to.
 * forward.c: forwarding a call.
 * forward_answer.c: what the other host's answer means.
 * forwarded.c: calls of other hosts.
 *
 * A call is sent to the other host's listener for hosts as peer/host_message.h says,
 * with the fields
 *
 *	x-entry-host		the host that forwards it
 *	x-entry-waited-ms	time since the caller's first try
 *	x-entry-attempts	servers of those that its route allows that it may not
 *				be sent to any more
 *	x-entry-revision	of the document by which it was routed
 *	x-entry-customer	name of its customer, whose key is not passed on
 *
 * An answer with x-entry-unable says that the host can do nothing for the call.
 */
#define GW_WAITED   HM_OWN_PREFIX "waited-ms"
#define GW_ATTEMPTS HM_OWN_PREFIX "attempts"
#define GW_REVISION HM_OWN_PREFIX "revision"
#define GW_UNABLE   HM_OWN_PREFIX "unable"
#define GW_CUSTOMER HM_OWN_PREFIX "customer"

/* Another host that calls can be passed to. */
struct gw_peer {
	char *id; /* name and address; key of the table */
	char *name; /* of base/text.h */
	uint64_t order; /* by a hash of both names; the lowest are used */
	bool same_zone;
	bool listed;
	bool earlier; /* its build takes no wrapped calls */
	uint32_t in_flight; /* calls */
	uint32_t failures; /* to take a call, in a row */
	uint64_t backoff_until_us;
	struct hc_pool pool;
	struct gw_gateway *gateway;
	struct hc_request ping; /* see gw_watch_peers */
	bool pinging;
	uint64_t pinged_us; /* start of the latest ping */
	uint32_t silent_pings; /* without an answer, in a row */
};

/*
 * gw_pick_peer - the host for the next call; NULL: none is listed, or all of those in
 * use have to be left alone for a while. EARLIER_TOO: it may be of an earlier build.
 * gw_peer_was_lost - it could not be reached. gw_peer_was_unable - it said that it can
 * do nothing for a call. Each leaves it alone for a while, longer with each time in a
 * row.
 * gw_peer_broke_off - the same for a connection that was lost with a call: the others
 * to it may be, too.
 * gw_peer_took - it has taken a call.
 * gw_peer_is_earlier - it is of an earlier build, by its answer to a wrapped call.
 * gw_peer_is_stranger - its answer was no host's.
 */
struct gw_peer *gw_pick_peer(struct gw_gateway *gateway, bool earlier_too);
void gw_peer_was_lost(struct gw_peer *peer);
void gw_peer_was_unable(struct gw_peer *peer);
void gw_peer_broke_off(struct gw_peer *peer);
void gw_peer_took(struct gw_peer *peer);
void gw_peer_is_earlier(struct gw_peer *peer);
void gw_peer_is_stranger(struct gw_peer *peer);

/*
 * gw_watch_peers - ping the hosts that have calls of this one, until none has any, and
 * silent ones as long as this host reaches no server. A silent host did not answer a
 * ping: it may have lost power, and gets no calls until it answers one.
 * gw_leave_silent_peer - pass its calls on that may be repeated; END: also end those
 * that cannot be passed on any more.
 */
void gw_watch_peers(struct gw_gateway *gateway);
void gw_leave_silent_peer(struct gw_peer *peer, bool end);

enum gw_answer_source {
	GW_UNANSWERED,
	GW_BY_SERVER, /* it is passed on */
	GW_BY_HOST, /* the host has refused or ended the call */
	GW_BY_UNABLE, /* the host can do nothing for the call */
	GW_BY_EARLIER, /* a host of an earlier build, which did not take it */
	GW_BY_STRANGER /* no host; whatever it is may have run the call */
};

/* What the answer to a call that was passed on means. */
struct gw_host_answer {
	enum gw_answer_source source;
	enum st_kind kind; /* GW_BY_HOST */
	uint64_t retry_us; /* GW_BY_HOST: after which the caller may return */
};

/*
 * gw_read_host_answer - HEAD answers a call with CALL_ID, which may be NULL. WRAPPED:
 * the call was; else it went to a host of an earlier build, which marks nothing.
 */
struct gw_host_answer gw_read_host_answer(const struct dl_dialect *dialect,
					  const struct hc_head *head,
					  const char *call_id, bool wrapped);

#endif
