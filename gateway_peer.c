#include "gateway_forward.h"

#include <string.h>

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
	GW_PEER_MAX_DOUBLINGS = 4
};

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

static struct gw_peer *gw_peer_new(struct gw_gateway *gateway,
				   const struct pr_host *host,
				   const struct nt_address *address)
{
	struct gw_peer *peer = g_new0(struct gw_peer, 1);
	char *names =
		g_strconcat(gateway->settings->host, " ", host->name, NULL);

	peer->name = tx_new(host->name);
	peer->order = gw_hash_name(names);
	g_free(names);
	hc_pool_init(&peer->pool, gateway->kernel->loop, address,
		     GW_PEER_CONNECTIONS);
	hc_pool_set_connect_timeout(&peer->pool, gateway->timers,
				    GW_PEER_CONNECT_TIMEOUT_US);
	peer->pool.max_idle_us = GW_PEER_IDLE_US;
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
struct gw_peer *gw_pick_peer(struct gw_gateway *gateway)
{
	struct gw_peer *best = NULL;
	uint64_t best_cost = UINT64_MAX;
	uint64_t now_us = tm_now_us();
	uint32_t used = 0;

	for (guint i = 0; i < gateway->peers->len && used < GW_PEERS_IN_USE;
	     i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);
		uint64_t cost;

		if (!peer->listed || now_us < peer->backoff_until_us)
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

static void gw_back_off(struct gw_peer *peer, uint64_t backoff_us)
{
	peer->backoff_until_us =
		tm_now_us() +
		(backoff_us << MIN(peer->failures, GW_PEER_MAX_DOUBLINGS));
	peer->failures++;
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

void gw_close_peers(struct gw_gateway *gateway)
{
	for (guint i = 0; i < gateway->peers->len; i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);

		hc_pool_close(&peer->pool, NULL, NULL);
	}
}
