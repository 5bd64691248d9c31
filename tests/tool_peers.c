/*
 * Measures the gossip protocol with COUNT entry hosts in one process, with
 * simulated time and delivery in memory. Prints the messages, bytes, CPU time
 * and memory of a host at rest, and the time until the hosts list 99 % of each
 * other on average, until all list each other, until a new generation is in
 * force on all of them, and until a killed host is removed from all lists.
 *
 * usage: tool_peers COUNT...
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "peer_sim.h"

static const uint64_t second_us = 1000 * 1000;

/*
 * Returns the time until a new generation is in force on every host, or
 * UINT64_MAX if that takes more than 10 s.
 */
static uint64_t measure_generation_spread(struct sim *sim)
{
	uint64_t begin_us = sim->now_us;
	uint64_t last_us = 0;

	pr_gossip_set_generation(&sim->hosts[0].gossip, sim->now_us, 2, "00");
	sim_run(sim, 10 * second_us);
	for (uint32_t i = 1; i < sim->count; i++) {
		const struct sim_host *host = &sim->hosts[i];

		if (host->gossip.generation != 2)
			return UINT64_MAX;
		last_us = MAX(last_us, host->in_force_us - begin_us);
	}
	return last_us;
}

/*
 * Runs until the hosts list 99 % of each other on average, or 300 s have
 * passed. Returns the simulated time that it took.
 */
static uint64_t run_until_most_listed(struct sim *sim)
{
	uint64_t begin_us = sim->now_us;
	uint64_t target = (uint64_t)sim->count * sim->count * 99 / 100;
	uint64_t listed = 0;

	while (listed < target && sim->now_us - begin_us < 300 * second_us) {
		sim_run(sim, second_us / 10);
		listed = 0;
		for (uint32_t i = 0; i < sim->count; i++)
			listed += sim->hosts[i].listed;
	}
	return sim->now_us - begin_us;
}

static void measure(uint32_t count)
{
	size_t before_bytes = mallinfo2().uordblks;
	enum { IDLE_S = 60 };
	struct sim sim;
	uint64_t most_listed_us;
	uint64_t all_listed_us;
	uint64_t removed_us;
	uint64_t spread_us;
	clock_t cpu;
	size_t memory_bytes;

	sim_init(&sim, count);
	pr_gossip_set_generation(&sim.hosts[0].gossip, sim.now_us, 1, "00");
	most_listed_us = run_until_most_listed(&sim);
	all_listed_us =
		most_listed_us +
		sim_run_until_listed(&sim, count, count, 300 * second_us);
	sim_run(&sim, 30 * second_us);
	sim.sent_messages = 0;
	sim.sent_bytes = 0;
	cpu = clock();
	sim_run(&sim, IDLE_S * second_us);
	cpu = clock() - cpu;
	memory_bytes = mallinfo2().uordblks - before_bytes;
	printf("%5u hosts: %.1f messages/s, %.0f bytes/s sent, "
	       "%.3f %% of a core, %.0f KB a host",
	       count, (double)sim.sent_messages / IDLE_S / count,
	       (double)sim.sent_bytes / IDLE_S / count,
	       100.0 * (double)cpu / CLOCKS_PER_SEC / IDLE_S / count,
	       (double)memory_bytes / 1024 / count);
	spread_us = measure_generation_spread(&sim);
	sim.hosts[count - 1].up = false;
	removed_us = sim_run_until_listed(&sim, count - 1, count - 1,
					  60 * second_us);
	printf("; 99 %% known after %.1f s, all after %.1f s, generation everywhere after %.2f s, "
	       "killed host removed everywhere after %.1f s\n",
	       (double)most_listed_us / 1e6, (double)all_listed_us / 1e6,
	       (double)spread_us / 1e6, (double)removed_us / 1e6);
	sim_free(&sim);
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		fprintf(stderr, "usage: tool_peers COUNT...\n");
		return 2;
	}
	for (int i = 1; i < argc; i++) {
		uint32_t count = (uint32_t)strtoul(argv[i], NULL, 10);

		if (count >= 2)
			measure(count);
	}
	return 0;
}
