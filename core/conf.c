#include "core/state.h"

#include <string.h>

/* More than the requests that a host can have at one server. */
enum { CORE_MAX_SLOTS = 1 << 20 };

/* Applies a configuration: servers, shares of slots, budgets and callers. */

static struct core_server *core_get_or_add_server(struct core *core,
						  uint32_t id)
{
	while (id >= core->servers->len) {
		struct core_server *server = g_new0(struct core_server, 1);

		server->id = core->servers->len;
		g_queue_init(&server->open_attempts);
		g_ptr_array_add(core->servers, server);
	}
	return core_server(core, id);
}

static struct core_service *core_get_or_add_service(struct core *core,
						    uint32_t id)
{
	while (id >= core->services->len) {
		struct core_service *service = g_new0(struct core_service, 1);

		service->id = core->services->len;
		service->flows = g_ptr_array_new();
		service->zone_latency_us =
			g_array_new(FALSE, TRUE, sizeof(uint32_t));
		service->work_us = g_array_new(FALSE, TRUE, sizeof(uint32_t));
		service->classes =
			g_array_new(FALSE, TRUE, sizeof(struct core_class));
		g_queue_init(&service->active_flows);
		g_ptr_array_add(core->services, service);
	}
	return core_service(core, id);
}

/* Finalizer of MurmurHash3: each input bit changes half of the output bits. */
static uint64_t core_mix_hash(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	x ^= x >> 33;
	return x;
}

uint64_t core_host_score(uint64_t item_hash, uint64_t host_hash)
{
	return core_mix_hash(core_mix_hash(item_hash) ^ host_hash);
}

/*
 * Rendezvous hashing: the host with the highest score owns the slot. As long as
 * the zone of the server has a host, only hosts of that zone own slots, because
 * each call from another zone would cross the link between the zones twice.
 */
static bool core_owns_slot(const struct core_conf *conf, uint64_t server_hash,
			   uint32_t slot, bool same_zone, uint32_t zone)
{
	uint64_t best = 0;
	uint64_t owner = 0;

	for (uint32_t i = 0; i < conf->host_count; i++) {
		const struct core_host_conf *host = &conf->hosts[i];
		uint64_t score =
			core_host_score(server_hash + slot, host->hash);

		if (host->draining || (same_zone && host->zone != zone))
			continue;
		if (score < best || (score == best && host->hash < owner))
			continue;
		best = score;
		owner = host->hash;
	}
	return owner == conf->host_hash;
}

static bool core_zone_has_host(const struct core_conf *conf, uint32_t zone)
{
	for (uint32_t i = 0; i < conf->host_count; i++)
		if (conf->hosts[i].zone == zone && !conf->hosts[i].draining)
			return true;
	return false;
}

static uint32_t core_own_slots(const struct core_conf *conf,
			       const struct core_server_conf *server,
			       uint32_t slots)
{
	bool same_zone = core_zone_has_host(conf, server->zone);
	uint32_t own = 0;

	if (!conf->host_count)
		return slots;
	for (uint32_t j = 0; j < slots; j++)
		own += core_owns_slot(conf, server->hash, j, same_zone,
				      server->zone);
	return own;
}

static void core_configure_server(struct core *core,
				  const struct core_conf *conf,
				  const struct core_server_conf *from,
				  uint32_t service)
{
	struct core_server *server = core_get_or_add_server(core, from->id);
	bool returns = server->conf_leaving && !from->leaving;
	uint32_t slots = CLAMP(from->slots, 1, CORE_MAX_SLOTS);

	/* With the first configuration, the host is new, not the servers. */
	if (core->configured && (!server->was_in_conf || returns))
		server->slow_start_us = core->now_us;
	if (server->slots != slots)
		server->limit_q8 = slots * CORE_Q8;
	/* An operator who returns a server to use overrides its x-draining. */
	if (returns)
		server->answer_leaving = false;
	core->recheck_needed |= server->answer_leaving;
	server->in_conf = true;
	server->evacuated = from->evacuated;
	server->service = service;
	server->conf_leaving = from->leaving;
	server->zone = from->zone;
	server->slots = slots;
	server->hash = from->hash;
	server->max_connections =
		MAX(from->max_connections / core->host_count, 1);
	core_rate_configure_server(core, from, server);
	server->own_slots = 0;
	if (core_service(core, service)->policy == CORE_POLICY_SHARES)
		server->own_slots = core_own_slots(conf, from, slots);
}

/*
 * This host's share of a budget in millionths, scaled by the weight of tail
 * latency.
 */
static uint64_t core_host_budget(const struct core *core,
				 const struct core_conf *conf, uint32_t per_s)
{
	uint32_t hosts = MAX(core->host_count, conf->budget_hosts);
	uint32_t percent = CLAMP(conf->latency_weight_percent, 1, 100);

	return (uint64_t)per_s * (CORE_TOKEN_SCALE / 100) * percent / hosts;
}

static void core_configure_budget(struct core *core,
				  const struct core_conf *conf,
				  const struct core_service_conf *from,
				  struct core_service *service)
{
	core_bucket_configure(
		&service->probe_requests,
		core_host_budget(core, conf, from->probe_requests_per_s), 1,
		core->now_us);
	core_bucket_configure(
		&service->measuring_bytes,
		core_host_budget(core, conf, from->probe_bytes_per_s),
		CORE_PROBE_MAX_BYTES, core->now_us);
	core_bucket_configure(
		&service->cross_zone_bytes,
		core_host_budget(core, conf,
				 from->probe_cross_zone_bytes_per_s),
		CORE_PROBE_MAX_BYTES, core->now_us);
}

static void core_configure_service(struct core *core,
				   const struct core_conf *conf,
				   const struct core_service_conf *from)
{
	struct core_service *service = core_get_or_add_service(core, from->id);

	service->in_conf = true;
	service->policy = from->policy;
	service->queue_limit = from->queue_limit;
	core_configure_retries(core, conf, from, service);
	core_configure_budget(core, conf, from, service);
	g_free(service->servers);
	service->servers = g_new(uint32_t, from->server_count);
	service->server_count = from->server_count;
	for (uint32_t i = 0; i < from->server_count; i++) {
		service->servers[i] = from->servers[i].id;
		core_configure_server(core, conf, &from->servers[i], from->id);
	}
}

/*
 * The indices of callers change with the configuration. Existing calls keep
 * their flow by their reference; new calls get new flows.
 */
static void core_drop_flows(struct core_service *service)
{
	for (guint i = 0; i < service->flows->len; i++) {
		struct core_flow *flow = g_ptr_array_index(service->flows, i);

		if (flow)
			core_flow_unref(flow);
	}
	g_ptr_array_set_size(service->flows, 0);
}

static bool core_customers_changed(const struct core *core,
				   const struct core_conf *conf)
{
	if (core->customer_weights->len != conf->customer_count)
		return true;
	for (uint32_t i = 0; i < conf->customer_count; i++)
		if (core_get_by_index(core->customer_weights, i) !=
		    conf->customers[i].weight)
			return true;
	return false;
}

/* Most configurations leave them as they are, and so what they use. */
static void core_configure_customers(struct core *core,
				     const struct core_conf *conf)
{
	if (!core_customers_changed(core, conf))
		return;
	for (guint i = 0; i < core->services->len; i++)
		if (core_service(core, i)->customer_flows)
			g_hash_table_remove_all(
				core_service(core, i)->customer_flows);
	g_array_set_size(core->customer_weights, 0);
	core->customer_weight_sum = 0;
	for (uint32_t i = 0; i < conf->customer_count; i++) {
		g_array_append_val(core->customer_weights,
				   conf->customers[i].weight);
		core->customer_weight_sum += conf->customers[i].weight;
	}
}

static void core_configure_callers(struct core *core,
				   const struct core_conf *conf)
{
	g_array_set_size(core->weights, 0);
	for (uint32_t i = 0; i < conf->caller_count; i++)
		g_array_append_val(core->weights, conf->callers[i].weight);
	for (guint i = 0; i < core->services->len; i++)
		core_drop_flows(core_service(core, i));
	core_configure_customers(core, conf);
}

static uint32_t core_non_draining_hosts(const struct core_conf *conf)
{
	uint32_t hosts = 0;

	for (uint32_t i = 0; i < conf->host_count; i++)
		hosts += !conf->hosts[i].draining;
	return MAX(hosts, 1);
}

void core_on_conf(struct core *core, const struct core_conf *conf)
{
	core->zone = conf->zone;
	core->host_count = core_non_draining_hosts(conf);
	core->budget_hosts = conf->budget_hosts;
	core->host_hash = conf->host_hash;
	g_array_set_size(core->hosts, 0);
	if (conf->host_count)
		g_array_append_vals(core->hosts, conf->hosts, conf->host_count);
	for (guint i = 0; i < core->services->len; i++)
		core_service(core, i)->in_conf = false;
	for (guint i = 0; i < core->servers->len; i++) {
		struct core_server *server = core_server(core, i);

		server->was_in_conf = server->in_conf;
		server->in_conf = false;
	}
	core_configure_callers(core, conf);
	for (uint32_t i = 0; i < conf->service_count; i++)
		core_configure_service(core, conf, &conf->services[i]);
	core->configured = true;
	core_recheck_servers(core);
}
