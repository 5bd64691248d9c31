#include "gateway_state.h"

#include <string.h>

/* What the gateway remembers of a route from one call to the next. */
enum {
	GW_HASH_FACTOR = 1000003,
	/* Time limits that callers stated count for one to two of these. */
	GW_STATED_US = 10 * 1000 * 1000,
	/* First tries state that part of the longest time limit or more. */
	GW_FIRST_TRY_PERCENT = 85
};

struct gw_route {
	char name[DOC_NAME_BYTES]; /* first: key of the table */
	/* Turns of the parts: each gets its weight of the calls. */
	uint32_t part_count;
	uint64_t weights_hash;
	int64_t *credit;
	/* Longest time limit that a caller stated, now and in the period before. */
	uint64_t stated_since_us;
	uint64_t stated_ms;
	uint64_t stated_before_ms;
};

static void gw_route_free(void *ptr)
{
	struct gw_route *memory = ptr;

	g_free(memory->credit);
	g_free(memory);
}

GHashTable *gw_routes_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     gw_route_free);
}

static struct gw_route *gw_route(struct gw_gateway *gateway,
				 const struct doc_route *route)
{
	struct gw_route *memory =
		g_hash_table_lookup(gateway->routes, route->name);

	if (memory)
		return memory;
	memory = g_new0(struct gw_route, 1);
	g_strlcpy(memory->name, route->name, sizeof(memory->name));
	g_hash_table_insert(gateway->routes, memory->name, memory);
	return memory;
}

static uint64_t gw_hash_weights(const struct doc_route *route)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < route->part_count; i++)
		hash = hash * GW_HASH_FACTOR + route->parts[i].service * 1000 +
		       route->parts[i].weight;
	return hash;
}

/* Begins the turns anew when the parts have changed. */
static void gw_check_turns(struct gw_gateway *gateway, struct gw_route *memory,
			   const struct doc_route *route)
{
	uint64_t hash = gw_hash_weights(route);

	if (memory->part_count == route->part_count &&
	    memory->weights_hash == hash)
		return;
	memory->part_count = route->part_count;
	memory->weights_hash = hash;
	g_free(memory->credit);
	memory->credit = g_new0(int64_t, route->part_count);
	/* Hosts that start together must not all begin with the same part. */
	for (uint32_t i = 0; i < route->part_count; i++)
		memory->credit[i] = g_rand_int_range(
			gateway->random, 0, (gint32)route->parts[i].weight + 1);
}

/* Smooth weighted round robin: everybody earns, the richest pays for all. */
uint32_t gw_next_part(struct gw_gateway *gateway, const struct doc_route *route)
{
	struct gw_route *memory;
	uint32_t best = 0;
	int64_t total = 0;

	if (route->part_count < 2)
		return 0;
	memory = gw_route(gateway, route);
	gw_check_turns(gateway, memory, route);
	for (uint32_t i = 0; i < route->part_count; i++) {
		memory->credit[i] += route->parts[i].weight;
		total += route->parts[i].weight;
		if (memory->credit[i] > memory->credit[best])
			best = i;
	}
	memory->credit[best] -= total;
	return best;
}

uint64_t gw_waited_ms(struct gw_gateway *gateway, const struct doc_route *route,
		      uint64_t stated_ms)
{
	struct gw_route *memory = gw_route(gateway, route);
	uint64_t now_us = tm_now_us();
	uint64_t longest_ms;

	if (now_us >= memory->stated_since_us + GW_STATED_US) {
		memory->stated_since_us = now_us;
		memory->stated_before_ms = memory->stated_ms;
		memory->stated_ms = 0;
	}
	memory->stated_ms = MAX(memory->stated_ms, stated_ms);
	longest_ms = MAX(memory->stated_ms, memory->stated_before_ms);
	if (stated_ms * 100 >= longest_ms * GW_FIRST_TRY_PERCENT)
		return 0;
	return longest_ms * (100 + GW_FIRST_TRY_PERCENT) / 200 - stated_ms;
}
