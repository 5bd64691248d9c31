#include "gateway/state.h"

#include <string.h>

/* State that a route keeps between calls. */
enum {
	GW_HASH_FACTOR = 1000003,
	/* Callers' timeouts are remembered for one to two of these windows. */
	GW_TIMEOUT_WINDOW_US = 10 * 1000 * 1000,
	/* A first try has at least this share of the longest timeout. */
	GW_FIRST_TRY_PERCENT = 85
};

struct gw_route_state {
	char *name; /* of base/text.h; key of the table */
	/* Weighted round robin: each service gets its weight of the calls. */
	uint32_t service_count;
	uint64_t weights_hash;
	int64_t *current_weights;
	/* Longest timeout of a caller in this and in the previous window. */
	uint64_t window_begin_us;
	uint64_t max_timeout_ms;
	uint64_t previous_max_timeout_ms;
};

static void gw_route_state_free(void *ptr)
{
	struct gw_route_state *state = ptr;

	tx_unref(state->name);
	g_free(state->current_weights);
	g_free(state);
}

GHashTable *gw_route_states_new(void)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     gw_route_state_free);
}

static struct gw_route_state *gw_get_route_state(struct gw_gateway *gateway,
						 const struct doc_route *route)
{
	struct gw_route_state *state =
		g_hash_table_lookup(gateway->route_states, route->name);

	if (state)
		return state;
	state = g_new0(struct gw_route_state, 1);
	state->name = tx_ref(route->name);
	g_hash_table_insert(gateway->route_states, state->name, state);
	return state;
}

static uint64_t gw_hash_weights(const struct doc_route *route)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < route->service_count; i++)
		hash = hash * GW_HASH_FACTOR +
		       route->services[i].service * 1000 +
		       route->services[i].weight;
	return hash;
}

/* Restarts the weighted round robin when the services have changed. */
static void gw_update_weights(struct gw_gateway *gateway,
			      struct gw_route_state *state,
			      const struct doc_route *route)
{
	uint64_t hash = gw_hash_weights(route);

	if (state->service_count == route->service_count &&
	    state->weights_hash == hash)
		return;
	state->service_count = route->service_count;
	state->weights_hash = hash;
	g_free(state->current_weights);
	state->current_weights = g_new0(int64_t, route->service_count);
	/* Random, or hosts that start together would all begin alike. */
	for (uint32_t i = 0; i < route->service_count; i++)
		state->current_weights[i] =
			g_rand_int_range(gateway->random, 0,
					 (gint32)route->services[i].weight + 1);
}

/*
 * Smooth weighted round robin: the current weight of each service grows by its
 * weight, then the largest one is picked and reduced by the sum of the weights.
 */
uint32_t gw_pick_route_service(struct gw_gateway *gateway,
			       const struct doc_route *route)
{
	struct gw_route_state *state;
	uint32_t best = 0;
	int64_t total = 0;

	if (route->service_count < 2)
		return 0;
	state = gw_get_route_state(gateway, route);
	gw_update_weights(gateway, state, route);
	for (uint32_t i = 0; i < route->service_count; i++) {
		state->current_weights[i] += route->services[i].weight;
		total += route->services[i].weight;
		if (state->current_weights[i] > state->current_weights[best])
			best = i;
	}
	state->current_weights[best] -= total;
	return best;
}

uint64_t gw_estimate_waited_ms(struct gw_gateway *gateway,
			       const struct doc_route *route,
			       uint64_t caller_timeout_ms)
{
	struct gw_route_state *state = gw_get_route_state(gateway, route);
	uint64_t now_us = tm_now_us();
	uint64_t longest_ms;

	if (now_us >= state->window_begin_us + GW_TIMEOUT_WINDOW_US) {
		state->window_begin_us = now_us;
		state->previous_max_timeout_ms = state->max_timeout_ms;
		state->max_timeout_ms = 0;
	}
	state->max_timeout_ms = MAX(state->max_timeout_ms, caller_timeout_ms);
	longest_ms = MAX(state->max_timeout_ms, state->previous_max_timeout_ms);
	if (caller_timeout_ms * 100 >= longest_ms * GW_FIRST_TRY_PERCENT)
		return 0;
	/* Assume a first timeout in the middle of the range of first tries. */
	return longest_ms * (100 + GW_FIRST_TRY_PERCENT) / 200 -
	       caller_timeout_ms;
}
