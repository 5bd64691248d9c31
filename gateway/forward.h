#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H

#include "gateway/state.h"
#include "peer/peer.h"

/*
 * Calls that are forwarded to another host, because this one reaches no server
 * (design.md, section 8), and those that other hosts forward to this one:
 *
 * peer.c: the hosts that calls can be passed to.
 * forward.c: forwarding a call.
 * forwarded.c: calls of other hosts.
 *
 * A call is sent to the other host's listener for hosts, with its headers and
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
#define GW_FROM_HOST "x-entry-host"
#define GW_WAITED    "x-entry-waited-ms"
#define GW_ATTEMPTS  "x-entry-attempts"
#define GW_REVISION  "x-entry-revision"
#define GW_UNABLE    "x-entry-unable"
#define GW_CUSTOMER  "x-entry-customer"

/* Another host that calls can be passed to. */
struct gw_peer {
	char *id; /* name and address; key of the table */
	char *name; /* of base/text.h */
	uint64_t order; /* by a hash of both names; the lowest are used */
	bool same_zone;
	bool listed;
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
 * use have to be left alone for a while.
 * gw_peer_was_lost - it could not be reached. gw_peer_was_unable - it said that it can
 * do nothing for a call. Each leaves it alone for a while, longer with each time in a
 * row.
 * gw_peer_broke_off - the same for a connection that was lost with a call: the others
 * to it may be, too.
 * gw_peer_took - it has taken a call.
 */
struct gw_peer *gw_pick_peer(struct gw_gateway *gateway);
void gw_peer_was_lost(struct gw_peer *peer);
void gw_peer_was_unable(struct gw_peer *peer);
void gw_peer_broke_off(struct gw_peer *peer);
void gw_peer_took(struct gw_peer *peer);

/*
 * gw_watch_peers - ping the hosts that have calls of this one, until none has any, and
 * silent ones as long as this host reaches no server. A silent host did not answer a
 * ping: it may have lost power, and gets no calls until it answers one.
 * gw_leave_silent_peer - pass its calls on that may be repeated; END: also end those
 * that cannot be passed on any more.
 */
void gw_watch_peers(struct gw_gateway *gateway);
void gw_leave_silent_peer(struct gw_peer *peer, bool end);

#endif
