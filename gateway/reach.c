#include "gateway/state.h"

#include <string.h>

#include "base/counter.h"

/*
 * Whether this host reaches the servers: gathers the evidence for core/reach.h from all
 * connections to them. While it reaches none, checks one server after the other, on
 * new connections, so that the end is seen although no calls are sent.
 */
enum { GW_REACH_CHECK_US = 200 * 1000 };

static struct gw_server *gw_server_of_pool(const struct hc_pool *pool)
{
	return (struct gw_server *)((char *)pool -
				    offsetof(struct gw_server, pool));
}

/* Servers may have closed connections meanwhile, which did not get through. */
static void gw_drop_idle_connections(struct gw_gateway *gateway)
{
	for (guint i = 0; i < gateway->servers->len; i++) {
		struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		hc_pool_drop_idle(&server->pool);
	}
}

static void gw_on_server_heard(void *ctx, const struct hc_pool *pool,
			       bool new_connection)
{
	struct gw_gateway *gateway = ctx;
	struct core_event event = { .kind = CORE_EV_REACHED };

	rc_on_heard(&gateway->reach.evidence, new_connection);
	if (!gateway->reach.cut_since_us)
		return;
	gw_log_reached(gateway);
	gateway->reach.cut_since_us = 0;
	gw_drop_idle_connections(gateway);
	gw_post_event(gateway, &event);
}

static void gw_on_server_failed(void *ctx, const struct hc_pool *pool,
				bool new_connection)
{
	struct gw_gateway *gateway = ctx;

	/* The zone may be evacuated because its servers fail. */
	if (gw_is_evacuated(gateway, gw_server_of_pool(pool)))
		return;
	rc_on_failed(&gateway->reach.evidence, gw_server_of_pool(pool)->id,
		     new_connection, tm_now_us());
	gw_is_cut_off(gateway);
}

bool gw_is_cut_off(struct gw_gateway *gateway)
{
	struct gw_reach *reach = &gateway->reach;
	uint64_t now_us = tm_now_us();

	if (reach->cut_since_us)
		return true;
	if (!rc_hears_none(&reach->evidence, gateway->servers_in_use, now_us))
		return false;
	reach->cut_since_us = now_us;
	ct_add(CT_CUTS, 1);
	gw_log_cut(gateway);
	tm_subscribe(gateway->timers, &reach->timer, now_us);
	gw_forward_waiting_calls(gateway);
	return true;
}

bool gw_reaches_badly(struct gw_gateway *gateway)
{
	return gw_is_cut_off(gateway) ||
	       rc_opens_none(&gateway->reach.evidence, gateway->servers_in_use,
			     tm_now_us());
}

/* A random server that wants requests; NULL: none. */
static struct gw_server *gw_pick_server_to_check(struct gw_gateway *gateway)
{
	guint count = gateway->servers->len;
	guint first = count ? g_rand_int(gateway->random) % count : 0;

	for (guint i = 0; i < count; i++) {
		uint32_t id = (first + i) % count;
		const struct core_server *server =
			core_server(&gateway->core, id);

		if (server->in_conf && !core_is_withdrawn(server) &&
		    !core_is_paused(&gateway->core, server))
			return g_ptr_array_index(gateway->servers, id);
	}
	return NULL;
}

static void gw_on_reach_check_done(struct hc_request *request, enum hc_end end,
				   const char *msg)
{
	struct gw_gateway *gateway = request->ctx;

	gateway->reach.checking = false;
}

static const struct hc_handler gw_reach_handler = {
	.done = gw_on_reach_check_done,
};

static void gw_start_reach_check(struct gw_gateway *gateway)
{
	struct gw_reach *reach = &gateway->reach;
	struct gw_server *server = gw_pick_server_to_check(gateway);

	if (!server)
		return;
	memset(&reach->check, 0, sizeof(reach->check));
	reach->check.handler = &gw_reach_handler;
	reach->check.ctx = gateway;
	reach->check.new_connection = true;
	reach->checking =
		hc_start(&server->pool, &reach->check,
			 pb_format_request(gateway->dialect, server->probe_path,
					   &server->pool));
}

static void gw_on_reach_timer(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	struct gw_reach *reach = &gateway->reach;

	if (reach->checking)
		hc_cancel_overdue(&reach->check);
	reach->checking = false;
	if (!reach->cut_since_us)
		return;
	tm_subscribe(gateway->timers, &reach->timer,
		     tm_now_us() + GW_REACH_CHECK_US);
	gw_start_reach_check(gateway);
}

void gw_init_reach(struct gw_gateway *gateway)
{
	struct gw_reach *reach = &gateway->reach;

	reach->observer.heard = gw_on_server_heard;
	reach->observer.failed = gw_on_server_failed;
	reach->observer.ctx = gateway;
	reach->timer.fire = gw_on_reach_timer;
	reach->timer.ctx = gateway;
}

void gw_close_reach(struct gw_gateway *gateway)
{
	tm_cancel(gateway->timers, &gateway->reach.timer);
	if (gateway->reach.checking)
		hc_cancel(&gateway->reach.check);
	gateway->reach.checking = false;
}
