#include "gateway/forward.h"

#include <string.h>

#include "base/log.h"
#include "base/mechanism.h"

enum {
	GW_PEERS_IN_USE = 8, /* connections must not grow with the hosts */
	GW_PEER_CONNECTIONS = 256,
	GW_PEER_CONNECT_TIMEOUT_US = 150 * 1000,
	/* Less than the time after which a host closes an idle connection. */
	GW_PEER_IDLE_US = 5 * 1000 * 1000,
	/*
	 * Of a host that cannot be reached, and of one that says it is unable; doubled
	 * with each time in a row.
	 */
	GW_PEER_LOST_BACKOFF_US = 1000 * 1000,
	GW_PEER_UNABLE_BACKOFF_US = 300 * 1000,
	GW_PEER_MAX_DOUBLINGS = 4,
	GW_PING_US = 150 * 1000,
	/* A host whose event loop is blocked answers later than others. */
	GW_PING_TIMEOUT_US = 350 * 1000,
	/* Of a host without calls, to notice that it answers again. */
	GW_SILENT_PING_US = 1000 * 1000,
	/* Calls that cannot be passed on wait for so many pings. */
	GW_SILENT_PINGS = 3
};

/* Every build answers this with a few bytes. */
#define GW_PING_PATH HM_ALERT_PATH

static void gw_free_peer(void *ptr)
{
	struct gw_peer *peer = ptr;

	tx_unref(peer->name);
	g_free(peer->id);
	g_free(peer);
}

void gw_init_peers(struct gw_gateway *gateway)
{
	gateway->peers = g_ptr_array_new();
	gateway->peer_ids = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  gw_free_peer);
	g_queue_init(&gateway->forwards);
}

void gw_free_peers(struct gw_gateway *gateway)
{
	g_ptr_array_free(gateway->peers, TRUE);
	g_hash_table_destroy(gateway->peer_ids);
}

static void gw_on_ping_done(struct hc_request *request, enum hc_end end,
			    const char *msg);

/* A host of an earlier build may have been replaced. */
static void gw_on_ping_head(struct hc_request *request,
			    const struct hc_head *head)
{
	struct gw_peer *peer = request->ctx;

	if (hc_find_header(head, HM_ANSWER))
		peer->earlier = !me_on(ME_CALL_MESSAGE);
}

static const struct hc_handler gw_ping_handler = {
	.head = gw_on_ping_head,
	.done = gw_on_ping_done,
};

static struct gw_peer *gw_peer_new(struct gw_gateway *gateway,
				   const struct pr_host *host,
				   const struct nt_address *address)
{
	struct gw_peer *peer = g_new0(struct gw_peer, 1);
	char *names =
		g_strconcat(gateway->settings->host, " ", host->name, NULL);

	peer->name = tx_new(host->name);
	peer->order = doc_hash_name(names);
	g_free(names);
	hc_pool_init(&peer->pool, gateway->kernel->loop, address,
		     GW_PEER_CONNECTIONS);
	hc_pool_set_connect_timeout(&peer->pool, gateway->timers,
				    GW_PEER_CONNECT_TIMEOUT_US);
	peer->pool.max_idle_us = GW_PEER_IDLE_US;
	peer->gateway = gateway;
	peer->earlier = !me_on(ME_CALL_MESSAGE);
	peer->ping.handler = &gw_ping_handler;
	peer->ping.ctx = peer;
	return peer;
}

/* NULL: the host takes no calls of others. */
static struct gw_peer *gw_get_peer(struct gw_gateway *gateway,
				   const struct pr_host *host)
{
	const char *text = host->address ? host->address : "";
	char *id = g_strconcat(host->name, " ", text, NULL);
	struct gw_peer *peer = g_hash_table_lookup(gateway->peer_ids, id);
	struct nt_address address;

	if (peer || !nt_parse(text, &address)) {
		g_free(id);
		return peer;
	}
	peer = gw_peer_new(gateway, host, &address);
	peer->id = id;
	g_hash_table_insert(gateway->peer_ids, id, peer);
	g_ptr_array_add(gateway->peers, peer);
	return peer;
}

static int gw_compare_peers(const void *a, const void *b)
{
	const struct gw_peer *x = *(struct gw_peer *const *)a;
	const struct gw_peer *y = *(struct gw_peer *const *)b;

	return x->order < y->order ? -1 : x->order > y->order;
}

void gw_update_peers(struct gw_gateway *gateway, const struct pr_hosts *hosts)
{
	for (guint i = 0; i < gateway->peers->len; i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);

		peer->listed = false;
	}
	for (uint32_t i = 0; i < hosts->count; i++) {
		const struct pr_host *host = &hosts->rows[i];
		struct gw_peer *peer;

		if (!strcmp(host->name, gateway->settings->host))
			continue;
		peer = gw_get_peer(gateway, host);
		if (!peer)
			continue;
		peer->listed = true;
		peer->same_zone = !strcmp(host->zone, gateway->settings->zone);
	}
	g_ptr_array_sort(gateway->peers, gw_compare_peers);
}

/* Fewest calls first; of equal ones those of this zone, then a random one. */
struct gw_peer *gw_pick_peer(struct gw_gateway *gateway, bool earlier_too)
{
	struct gw_peer *best = NULL;
	uint64_t best_cost = UINT64_MAX;
	uint64_t now_us = tm_now_us();
	uint32_t used = 0;

	for (guint i = 0; i < gateway->peers->len && used < GW_PEERS_IN_USE;
	     i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);
		uint64_t cost;

		if (!peer->listed || peer->silent_pings ||
		    now_us < peer->backoff_until_us ||
		    (peer->earlier && !earlier_too))
			continue;
		used++;
		cost = ((uint64_t)peer->in_flight * 2 + !peer->same_zone) *
			       GW_PEERS_IN_USE +
		       g_rand_int(gateway->random) % GW_PEERS_IN_USE;
		if (cost >= best_cost)
			continue;
		best = peer;
		best_cost = cost;
	}
	return best;
}

/* Calls that were under way when the back-off began are no new evidence. */
static void gw_back_off(struct gw_peer *peer, uint64_t backoff_us)
{
	uint64_t now_us = tm_now_us();
	uint32_t doublings;

	if (!peer->failures || now_us >= peer->backoff_until_us)
		peer->failures++;
	doublings = MIN(peer->failures - 1, GW_PEER_MAX_DOUBLINGS);
	peer->backoff_until_us =
		MAX(peer->backoff_until_us, now_us + (backoff_us << doublings));
}

void gw_peer_was_lost(struct gw_peer *peer)
{
	gw_back_off(peer, GW_PEER_LOST_BACKOFF_US);
}

void gw_peer_was_unable(struct gw_peer *peer)
{
	gw_back_off(peer, GW_PEER_UNABLE_BACKOFF_US);
}

void gw_peer_broke_off(struct gw_peer *peer)
{
	gw_peer_was_unable(peer);
	hc_pool_drop_idle(&peer->pool);
}

void gw_peer_took(struct gw_peer *peer)
{
	peer->failures = 0;
}

void gw_peer_is_earlier(struct gw_peer *peer)
{
	peer->earlier = true;
	lg_info("forwarding", "%s is of an earlier build", peer->name);
}

void gw_peer_is_stranger(struct gw_peer *peer)
{
	lg_warn("forwarding",
		"what answers for %s is neither a host nor a server",
		peer->name);
	gw_peer_was_lost(peer);
}

/* Pings */

static void gw_peer_is_silent(struct gw_peer *peer)
{
	peer->silent_pings++;
	if (peer->silent_pings == 1) {
		lg_info("forwarding", "%s does not answer, gets no calls",
			peer->name);
		gw_peer_was_lost(peer);
	}
	hc_pool_drop_idle(&peer->pool);
	gw_leave_silent_peer(peer, peer->silent_pings >= GW_SILENT_PINGS);
}

static void gw_on_ping_done(struct hc_request *request, enum hc_end end,
			    const char *msg)
{
	struct gw_peer *peer = request->ctx;

	peer->pinging = false;
	if (end == HC_COMPLETE && peer->silent_pings) {
		lg_info("forwarding", "%s answers again", peer->name);
		peer->silent_pings = 0;
	} else if (end == HC_NOT_SENT) {
		gw_peer_is_silent(peer);
	}
}

static void gw_ping(struct gw_peer *peer)
{
	GString *out = pb_format_request(peer->gateway->dialect, GW_PING_PATH,
					 &peer->pool);

	peer->pinged_us = tm_now_us();
	peer->pinging = hc_start(&peer->pool, &peer->ping, out);
}

static void gw_check_peer(struct gw_peer *peer, uint64_t now_us)
{
	if (peer->pinging && now_us >= peer->pinged_us + GW_PING_TIMEOUT_US) {
		peer->pinging = false;
		hc_cancel(&peer->ping);
		gw_peer_is_silent(peer);
	}
	if (!peer->pinging && (peer->in_flight ||
			       (peer->silent_pings &&
				now_us >= peer->pinged_us + GW_SILENT_PING_US)))
		gw_ping(peer);
}

static void gw_on_peer_timer(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	uint64_t now_us = tm_now_us();
	bool any_silent = false;

	for (guint i = 0; i < gateway->peers->len; i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);

		if (peer->listed)
			gw_check_peer(peer, now_us);
		any_silent |= peer->listed && peer->silent_pings;
	}
	if (gateway->forwards.length ||
	    (any_silent && gateway->reach.cut_since_us))
		gw_watch_peers(gateway);
}

void gw_watch_peers(struct gw_gateway *gateway)
{
	if (gateway->peer_timer.slot)
		return;
	gateway->peer_timer.fire = gw_on_peer_timer;
	gateway->peer_timer.ctx = gateway;
	gateway->peer_timer.reads_first = true;
	tm_subscribe(gateway->timers, &gateway->peer_timer,
		     tm_now_us() + GW_PING_US);
}

void gw_close_peers(struct gw_gateway *gateway)
{
	tm_cancel(gateway->timers, &gateway->peer_timer);
	for (guint i = 0; i < gateway->peers->len; i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);

		if (peer->pinging)
			hc_cancel(&peer->ping);
		peer->pinging = false;
		hc_pool_close(&peer->pool, NULL, NULL);
	}
}
