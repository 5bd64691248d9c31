/*
 * What the tests of core/quota.c share: simulated time in steps, random numbers, hosts by
 * the hashes of their names, customers, and messages that take a while. Used by
 * test_quota.c and test_quota_hosts.c, which say what a message meets on its way.
 */
#ifndef QUOTA_SIM_H
#define QUOTA_SIM_H

#include <glib.h>

#include "base/text.h"
#include "core/quota.h"

enum {
	MS = 1000,
	S = 1000 * MS,
	SIM_MAX_HOSTS = 116,
	STEP_MS = 5,
	DELAY_MS = 10, /* of a message, and of its answer */
	WINDOW_S = 5,
	STEPS_PER_S = 1000 / STEP_MS,
	SLACK = 20
};

struct flight {
	uint64_t at_us;
	uint32_t from;
	uint32_t to;
	uint32_t start; /* of the sender, if the test counts these */
	bool arrived; /* ANSWER is on its way back */
	bool refused; /* no process is there */
	bool lists[SIM_MAX_HOSTS]; /* of the receiver, as it answered */
	struct qt_message *message;
	struct qt_message *answer; /* NULL: it is lost */
};

static uint64_t now_us, begin_us, random_state;
static uint64_t hashes[SIM_MAX_HOSTS];
static GPtrArray *flights; /* struct flight */

static inline uint32_t random_u32(void *ctx)
{
	random_state = random_state * 6364136223846793005 + 1442695040888963407;
	return (uint32_t)(random_state >> 33);
}

/* sim_begin - set the clock, the hosts and SEED. NAMES gets COUNT customers. */
static inline void sim_begin(uint64_t seed, char **names, uint32_t count)
{
	char text[32];

	now_us = begin_us = 1000 * (uint64_t)S;
	random_state = seed;
	flights = g_ptr_array_new();
	for (uint32_t i = 0; i < SIM_MAX_HOSTS; i++)
		hashes[i] = 0xd1b54a32d192ed03 * (i + 1);
	for (uint32_t c = 0; c < count; c++) {
		g_snprintf(text, sizeof(text), "customer-%u", c);
		names[c] = tx_new(text);
	}
}

static inline uint32_t current_step(void)
{
	return (uint32_t)((now_us - begin_us) / MS / STEP_MS);
}

static inline uint32_t find_node(uint64_t hash)
{
	uint32_t i = 0;

	while (hashes[i] != hash)
		i++;
	return i;
}

/* sim_send - put the messages of host FROM on their way. */
static inline void sim_send(struct qt_quotas *quotas, uint32_t from,
			    uint32_t start)
{
	GPtrArray *list = qt_take_messages(quotas, now_us);

	for (guint i = 0; i < list->len; i++) {
		struct flight *flight = g_new0(struct flight, 1);

		flight->message = g_ptr_array_index(list, i);
		flight->from = from;
		flight->to = find_node(flight->message->host);
		flight->start = start;
		flight->at_us = now_us + (uint64_t)DELAY_MS * MS;
		g_ptr_array_add(flights, flight);
	}
	g_ptr_array_free(list, TRUE);
}

static inline void end_flight(struct flight *flight)
{
	if (flight->answer)
		qt_message_free(flight->answer);
	g_free(flight);
}

/* sim_most_in_window - the largest sum of ADMITTED in a window, from FROM_STEP on. */
static inline uint32_t sim_most_in_window(const uint32_t *admitted,
					  uint32_t from_step)
{
	uint32_t width = WINDOW_S * STEPS_PER_S;
	uint32_t most = 0;
	uint32_t sum = 0;

	for (uint32_t i = from_step; i < current_step(); i++) {
		sum += admitted[i];
		if (i >= from_step + width)
			sum -= admitted[i - width];
		most = MAX(most, sum);
	}
	return most;
}

#endif
