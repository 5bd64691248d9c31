/*
 * Simulation of entry hosts in one process, with simulated time. Datagrams are
 * delivered in memory with delay, loss and reordering. Used by test_peer.c and
 * tool_peers.c.
 */
#ifndef PEER_SIM_H
#define PEER_SIM_H

#include <string.h>

#include <glib.h>

#include "peer/gossip.h"

enum {
	SIM_STEP_US = 5000,
	SIM_RING_SLOTS = 8, /* a datagram is delivered after 1 to 7 steps */
	SIM_SEEDS = 8,
	SIM_FETCH_US = 120 * 1000, /* to fetch the body of a document */
	SIM_FIRST_PORT = 1000 /* of host 0; host i has this plus i */
};

struct sim_host {
	struct sim *sim;
	struct pr_gossip gossip;
	char name[PR_NAME_BYTES];
	struct nt_address address;
	bool up;
	bool paused; /* neither runs nor receives */
	uint64_t next_tick_us;
	uint64_t fetch_generation; /* of the document being fetched */
	uint64_t fetch_done_us; /* when its body will have arrived */
	uint64_t in_force_us; /* when the newest generation came into force */
	uint32_t listed; /* hosts in this host's list, itself included */
	uint32_t list_changes;
	uint32_t leaving_notices; /* calls of sim_on_server_state */
};

struct sim_datagram {
	uint32_t from;
	uint32_t to;
	size_t bytes;
	char data[PR_MAX_DATAGRAM_BYTES];
};

struct sim {
	uint64_t now_us;
	GRand *random;
	struct sim_host *hosts;
	uint32_t count;
	struct nt_address seeds[SIM_SEEDS];
	/* Datagrams in flight, by the step in which they are delivered. */
	GPtrArray *ring[SIM_RING_SLOTS];
	uint32_t ring_index; /* of the current step */
	uint32_t loss_percent;
	uint64_t sent_messages;
	uint64_t sent_bytes;
	size_t largest_bytes; /* largest datagram sent */
	/* Copies of the datagrams from host CAPTURE_FROM to CAPTURE_TO, or
	 * NULL: not captured. */
	GPtrArray *captured;
	uint32_t capture_from;
	uint32_t capture_to;
};

static inline void sim_send(void *ctx, const struct nt_address *to,
			    const char *data, size_t data_bytes)
{
	struct sim_host *host = ctx;
	struct sim *sim = host->sim;
	uint32_t index =
		(uint32_t)(strtoul(strrchr(to->text, ':') + 1, NULL, 10) -
			   SIM_FIRST_PORT);
	uint32_t delay =
		(uint32_t)g_rand_int_range(sim->random, 1, SIM_RING_SLOTS);
	struct sim_datagram *datagram = g_new(struct sim_datagram, 1);

	sim->sent_messages++;
	sim->sent_bytes += data_bytes;
	sim->largest_bytes = MAX(sim->largest_bytes, data_bytes);
	datagram->from = (uint32_t)(host - sim->hosts);
	datagram->to = index;
	datagram->bytes = data_bytes;
	memcpy(datagram->data, data, data_bytes);
	if (sim->captured && datagram->from == sim->capture_from &&
	    index == sim->capture_to)
		g_ptr_array_add(sim->captured,
				g_memdup2(datagram, sizeof(*datagram)));
	if (g_rand_int_range(sim->random, 0, 100) < (gint32)sim->loss_percent)
		g_free(datagram);
	else
		g_ptr_array_add(
			sim->ring[(sim->ring_index + delay) % SIM_RING_SLOTS],
			datagram);
}

/* Starts a fetch if GENERATION is newer than that in force and last fetched. */
static inline void sim_on_generation(void *ctx, const char *name,
				     const struct nt_address *address,
				     uint64_t generation, const char *digest,
				     uint64_t age_us)
{
	struct sim_host *host = ctx;

	if (generation <= host->gossip.generation ||
	    generation <= host->fetch_generation)
		return;
	host->fetch_generation = generation;
	host->fetch_done_us = host->sim->now_us + SIM_FETCH_US;
}

static inline void sim_on_server_state(void *ctx, const char *server,
				       bool leaving)
{
	struct sim_host *host = ctx;

	host->leaving_notices++;
}

/* Starts host I with a new incarnation. */
static inline void sim_start_host(struct sim *sim, uint32_t i)
{
	struct sim_host *host = &sim->hosts[i];
	struct pr_gossip_conf conf = {
		.host = host->name,
		.zone = i % 3 ? "gs-a" : "gs-b",
		.key = "peer-key-for-tests",
		.address = host->address,
		.incarnation = sim->now_us,
		.random_seed = i + 1,
		.seeds = sim->seeds,
		.seed_count = MIN(sim->count, SIM_SEEDS),
		.callbacks = { sim_send, sim_on_generation, sim_on_server_state,
			       host },
	};

	pr_gossip_init(&host->gossip, &conf);
	host->up = true;
	host->next_tick_us = sim->now_us + (uint64_t)g_rand_int_range(
						   sim->random, 0, PR_ROUND_US);
}

static inline void sim_init(struct sim *sim, uint32_t count)
{
	char text[NT_TEXT_BYTES];

	memset(sim, 0, sizeof(*sim));
	sim->now_us = UINT64_C(1000) * 1000 * 1000;
	sim->random = g_rand_new_with_seed(7);
	sim->count = count;
	sim->hosts = g_new0(struct sim_host, count);
	for (int i = 0; i < SIM_RING_SLOTS; i++)
		sim->ring[i] = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < count; i++) {
		struct sim_host *host = &sim->hosts[i];

		host->sim = sim;
		g_snprintf(host->name, sizeof(host->name), "entry-%u", i);
		g_snprintf(text, sizeof(text), "127.0.0.1:%u",
			   SIM_FIRST_PORT + i);
		nt_parse(text, &host->address);
		if (i < SIM_SEEDS)
			sim->seeds[i] = host->address;
	}
	for (uint32_t i = 0; i < count; i++)
		sim_start_host(sim, i);
}

static inline void sim_free(struct sim *sim)
{
	for (uint32_t i = 0; i < sim->count; i++)
		pr_gossip_free(&sim->hosts[i].gossip);
	for (int i = 0; i < SIM_RING_SLOTS; i++)
		g_ptr_array_free(sim->ring[i], TRUE);
	if (sim->captured)
		g_ptr_array_free(sim->captured, TRUE);
	g_free(sim->hosts);
	g_rand_free(sim->random);
}

static inline void sim_restart_host(struct sim *sim, uint32_t i)
{
	pr_gossip_free(&sim->hosts[i].gossip);
	sim_start_host(sim, i);
}

/* Delivers a datagram, unless its receiver is down or paused. */
static inline void sim_deliver(struct sim *sim,
			       const struct sim_datagram *datagram)
{
	struct sim_host *host = &sim->hosts[datagram->to];

	if (host->up && !host->paused)
		pr_gossip_receive(&host->gossip, sim->now_us,
				  &sim->hosts[datagram->from].address,
				  datagram->data, datagram->bytes);
}

/* Runs one step of a host: ends a fetch and ticks when they are due. */
static inline void sim_run_host(struct sim *sim, struct sim_host *host)
{
	struct pr_hosts hosts;

	if (!host->up || host->paused)
		return;
	if (host->fetch_generation > host->gossip.generation &&
	    sim->now_us >= host->fetch_done_us) {
		host->in_force_us = sim->now_us;
		pr_gossip_set_generation(&host->gossip, sim->now_us,
					 host->fetch_generation, "00");
	}
	if (sim->now_us < host->next_tick_us)
		return;
	host->next_tick_us = sim->now_us + PR_TICK_US;
	pr_gossip_tick(&host->gossip, sim->now_us);
	if (pr_gossip_update_hosts(&host->gossip, &hosts)) {
		host->listed = hosts.count;
		host->list_changes++;
	}
}

/* Advances the simulation by FOR_US, rounded up to whole steps. */
static inline void sim_run(struct sim *sim, uint64_t for_us)
{
	uint64_t end_us = sim->now_us + for_us;

	while (sim->now_us < end_us) {
		GPtrArray *due;

		sim->now_us += SIM_STEP_US;
		sim->ring_index = (sim->ring_index + 1) % SIM_RING_SLOTS;
		due = sim->ring[sim->ring_index];
		/* The delay is less than a turn of the ring, so that a datagram
		 * sent below is never added to the slot being delivered. */
		for (guint i = 0; i < due->len; i++)
			sim_deliver(sim, due->pdata[i]);
		g_ptr_array_set_size(due, 0);
		for (uint32_t i = 0; i < sim->count; i++)
			sim_run_host(sim, &sim->hosts[i]);
	}
}

/* Returns the number of hosts that are up and list exactly COUNT hosts. */
static inline uint32_t sim_count_listing(const struct sim *sim, uint32_t count)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++)
		n += sim->hosts[i].up && sim->hosts[i].listed == count;
	return n;
}

/*
 * Runs until at least N hosts list COUNT hosts, or LIMIT_US has passed. Returns
 * the simulated time that it took.
 */
static inline uint64_t sim_run_until_listed(struct sim *sim, uint32_t n,
					    uint32_t count, uint64_t limit_us)
{
	uint64_t begin_us = sim->now_us;

	while (sim_count_listing(sim, count) < n &&
	       sim->now_us - begin_us < limit_us)
		sim_run(sim, 20 * SIM_STEP_US);
	return sim->now_us - begin_us;
}

#endif
