#include "gateway/state.h"

#include <string.h>

#include "base/mechanism.h"
#include "peer/peer.h"

/* Below the one second after which a lost first packet is sent again. */
enum { GW_CONNECT_TIMEOUT_US = 200 * 1000 };

enum { GW_MILLI = 1000 };

/* This host's share of the connections that a server allows. */
static uint32_t gw_connection_share(const struct gw_gateway *gateway,
				    uint32_t of_server)
{
	return MAX(of_server / gateway->host_count, 1);
}

static struct gw_server *gw_get_server(struct gw_gateway *gateway,
				       const struct doc_server *conf)
{
	char *key = g_strdup_printf("%s %s %" G_GUINT64_FORMAT, conf->name,
				    conf->address.text, conf->incarnation);
	uint32_t connections = gw_connection_share(gateway, conf->connections);
	struct gw_server *server =
		g_hash_table_lookup(gateway->server_ids, key);

	if (server) {
		g_free(key);
		hc_pool_set_limit(&server->pool, connections);
		return server;
	}
	server = g_new0(struct gw_server, 1);
	server->id = gateway->servers->len;
	server->start_hash = doc_hash_name(key);
	server->name = tx_ref(conf->name);
	hc_pool_init(&server->pool, gateway->kernel->loop, &conf->address,
		     connections);
	hc_pool_set_connect_timeout(&server->pool, gateway->timers,
				    GW_CONNECT_TIMEOUT_US);
	server->pool.observer = &gateway->reach.observer;
	if (*gateway->settings->server_source.text)
		server->pool.source = &gateway->settings->server_source;
	g_ptr_array_add(gateway->servers, server);
	g_hash_table_insert(gateway->server_ids, key, server);
	return server;
}

/*
 * Time that the server is cold yet, if its entry is one that the core does not have
 * yet: health check responses say later what holds.
 */
static uint32_t gw_new_warmup_ms(struct gw_server *server,
				 const struct doc_server *from)
{
	uint64_t now_us = tm_now_us();
	uint64_t left_us;

	if (from->warm_at_us == server->warm_at_us)
		return 0;
	server->warm_at_us = from->warm_at_us;
	if (from->warm_at_us <= now_us)
		return 0;
	left_us = from->warm_at_us - now_us;
	if (server->warmup_milli_per_s)
		gw_note_cold(server, left_us, false);
	return (uint32_t)MIN(left_us / GW_US_PER_MS + 1, UINT32_MAX);
}

bool gw_is_evacuated(const struct gw_gateway *gateway,
		     const struct gw_server *server)
{
	return server->id < gateway->core.servers->len &&
	       core_server(&gateway->core, server->id)->evacuated;
}

static bool gw_is_zone_evacuated(const struct gw_gateway *gateway,
				 uint32_t zone)
{
	const struct doc_document *document = gateway->document;

	return document->zone_evacuated && zone < document->zone_count &&
	       document->zone_evacuated[zone];
}

static void gw_build_service_conf(struct gw_gateway *gateway,
				  const struct doc_service *service,
				  struct core_service_conf *conf)
{
	struct core_server_conf *servers =
		g_new0(struct core_server_conf, service->server_count);

	conf->id = tx_list_index(&gateway->services, service->name);
	conf->policy = service->policy;
	conf->queue_limit = service->queue_limit;
	conf->retry_percent = service->retry_percent;
	conf->retry_slack = service->retry_slack;
	conf->probe_requests_per_s = service->measuring.requests_per_s;
	conf->probe_bytes_per_s = service->measuring.bytes_per_s;
	conf->probe_cross_zone_bytes_per_s =
		service->measuring.cross_zone_bytes_per_s;
	conf->servers = servers;
	conf->server_count = service->server_count;
	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct doc_server *from = &service->servers[i];
		struct gw_server *server = gw_get_server(gateway, from);

		server->zone = from->zone;
		servers[i].id = server->id;
		servers[i].zone = from->zone;
		servers[i].slots = from->slots;
		servers[i].max_connections = from->connections;
		servers[i].leaving = from->leaving;
		server->warmup_milli_per_s = service->warmup_milli_per_s;
		servers[i].warmup_milli_per_s = service->warmup_milli_per_s;
		servers[i].warmup_ms = gw_new_warmup_ms(server, from);
		servers[i].evacuated =
			gw_is_zone_evacuated(gateway, from->zone);
		/* Those that get no requests show nothing of the path to them. */
		gateway->servers_in_use += !servers[i].evacuated;
		tx_unref(server->probe_path);
		server->probe_path = tx_ref(service->probe_path);
		servers[i].hash = doc_hash_name(from->name);
	}
}

static struct core_host_conf *
gw_build_host_confs(const struct gw_gateway *gateway)
{
	struct core_host_conf *hosts =
		g_new0(struct core_host_conf, gateway->hosts->len);

	for (guint i = 0; i < gateway->hosts->len; i++) {
		const struct gw_host *host =
			&g_array_index(gateway->hosts, struct gw_host, i);

		hosts[i].hash = host->hash;
		hosts[i].zone = doc_find_zone(gateway->document, host->zone);
		hosts[i].draining = host->draining;
	}
	return hosts;
}

/* The quota in requests per second is the customer's weight. */
static struct core_customer_conf *
gw_build_customer_confs(const struct doc_customers *customers)
{
	struct core_customer_conf *confs =
		g_new0(struct core_customer_conf, customers->count);

	for (uint32_t i = 0; i < customers->count; i++)
		confs[i].weight =
			MAX(customers->rows[i].rate_milli / GW_MILLI, 1);
	return confs;
}

/* For the headers that a host adds to a call that it passes on. */
enum { GW_FORWARD_HEAD_BYTES = 4096 };

/* Other hosts pass on what their limits let through, with the head of a call added. */
static void gw_set_limits(struct gw_gateway *gateway,
			  const struct doc_document *document)
{
	struct hd_limits limits = HD_DEFAULT_LIMITS;

	if (document->idle_timeout_ms)
		limits.idle_timeout_ms = document->idle_timeout_ms;
	if (document->head_timeout_ms)
		limits.head_timeout_ms = document->head_timeout_ms;
	if (document->max_head_bytes)
		limits.head_bytes = document->max_head_bytes;
	if (document->max_body_bytes)
		limits.body_bytes = document->max_body_bytes;
	hd_set_limits(&gateway->http, &limits);
	if (!gateway->hosts_http)
		return;
	limits.head_bytes += GW_FORWARD_HEAD_BYTES;
	limits.idle_timeout_ms = gateway->hosts_http->limits.idle_timeout_ms;
	hd_set_limits(gateway->hosts_http, &limits);
}

void gw_configure_core(struct gw_gateway *gateway)
{
	struct doc_document *document = gateway->document;
	struct core_service_conf *services =
		g_new0(struct core_service_conf, document->service_count);
	struct core_host_conf *hosts = gw_build_host_confs(gateway);
	struct core_caller_conf *callers =
		g_new0(struct core_caller_conf, document->caller_count);
	struct core_conf conf = {
		.host_hash = doc_hash_name(gateway->settings->host),
		.zone = doc_find_zone(document, gateway->settings->zone),
		.latency_weight_percent = document->latency_weight_percent,
		.services = services,
		.service_count = document->service_count,
		.hosts = hosts,
		.host_count = gateway->hosts->len,
		.callers = callers,
		.caller_count = document->caller_count,
		.budget_hosts = gateway->host_count,
	};
	struct core_event event = { .kind = CORE_EV_CONF };

	gw_set_limits(gateway, document);
	g_free(gateway->service_ids);
	gateway->service_ids = g_new0(uint32_t, document->service_count);
	gateway->servers_in_use = 0;
	for (uint32_t i = 0; i < document->service_count; i++) {
		gw_build_service_conf(gateway, &document->services[i],
				      &services[i]);
		gateway->service_ids[i] = services[i].id;
	}
	for (uint32_t i = 0; i < document->caller_count; i++)
		callers[i].weight = document->callers[i].weight;
	if (document->customers) {
		conf.customers = gw_build_customer_confs(document->customers);
		conf.customer_count = document->customers->count;
	}
	event.u.conf = &conf;
	gw_post_event(gateway, &event);
	for (uint32_t i = 0; i < document->service_count; i++)
		g_free((void *)services[i].servers);
	g_free(services);
	g_free(hosts);
	g_free(callers);
	g_free((void *)conf.customers);
}

static bool gw_same_hosts(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct gw_host *first =
			&g_array_index(a, struct gw_host, i);
		const struct gw_host *second =
			&g_array_index(b, struct gw_host, i);

		if (first->hash != second->hash ||
		    first->draining != second->draining ||
		    first->zone != second->zone)
			return false;
	}
	return true;
}

static void gw_clear_host(void *ptr)
{
	tx_unref(((struct gw_host *)ptr)->zone);
}

GArray *gw_hosts_new(void)
{
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct gw_host));

	g_array_set_clear_func(hosts, gw_clear_host);
	return hosts;
}

void gw_update_hosts(struct gw_gateway *gateway, const struct pr_hosts *hosts)
{
	GArray *rows = gw_hosts_new();

	gw_update_peers(gateway, hosts);
	g_array_set_size(rows, hosts->count);
	for (uint32_t i = 0; i < hosts->count; i++) {
		struct gw_host *row = &g_array_index(rows, struct gw_host, i);

		row->hash = doc_hash_name(hosts->rows[i].name);
		row->draining = hosts->rows[i].draining;
		row->zone = tx_new(hosts->rows[i].zone);
	}
	if (gw_same_hosts(rows, gateway->hosts)) {
		g_array_free(rows, TRUE);
		return;
	}
	g_array_free(gateway->hosts, TRUE);
	gateway->hosts = rows;
	/*
	 * Unreachable hosts still use their share of the servers' limits, so
	 * the limits are divided by no fewer hosts than the settings list.
	 */
	gateway->host_count =
		MAX(MAX(gateway->settings->seed_count, hosts->count), 1);
	if (gateway->document)
		gw_configure_core(gateway);
}

void gw_update_server_state(struct gw_gateway *gateway,
			    const struct kn_msg_server_state *state)
{
	struct core_event event = { .kind = CORE_EV_SERVER };

	if (!me_on(ME_LEAVING))
		return;
	for (guint i = 0; i < gateway->servers->len; i++) {
		const struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		if (strcmp(server->name, state->server) != 0)
			continue;
		event.u.server.server = server->id;
		event.u.server.source = CORE_LEAVING_ANNOUNCED;
		event.u.server.leaving = state->leaving;
		gw_post_event(gateway, &event);
	}
}
