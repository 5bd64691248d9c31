/*
 * A decision core with simulated time, whose actions are recorded. Used by the unit
 * tests of the core.
 */
#ifndef CORE_FIXTURE_H
#define CORE_FIXTURE_H

#include "core/state.h"

enum { MS = 1000 };

static struct core *core;
static GArray *actions; /* struct core_action */
static uint64_t now_us;
static uint64_t last_call;

static inline void record_action(void *ctx, const struct core_action *action)
{
	g_array_append_val(actions, *action);
}

static inline uint32_t random_u32(void *ctx)
{
	static uint32_t state = 1;

	state = state * 1664525 + 1013904223;
	return state;
}

static inline void handle_event(struct core_event event)
{
	event.now_us = now_us;
	core_handle_event(core, &event);
}

/* init_core - a core without a configuration, at AT_US. */
static inline void init_core(uint64_t at_us, uint32_t (*random)(void *ctx))
{
	struct core_driver driver = { record_action, random, NULL, NULL };

	actions = g_array_new(FALSE, FALSE, sizeof(struct core_action));
	now_us = at_us;
	core = g_new0(struct core, 1);
	core_init(core, &driver);
}

static inline void stop_core(void)
{
	core_free(core);
	g_free(core);
	g_array_free(actions, TRUE);
}

/* apply_service - a configuration of one service, whose COUNT servers are alike. */
static inline void apply_service(struct core_service_conf service,
				 uint32_t count, uint32_t slots)
{
	struct core_conf conf = {
		.latency_weight_percent = 100,
		.services = &service,
		.service_count = 1,
	};
	struct core_event event = { .kind = CORE_EV_CONF, .u.conf = &conf };
	struct core_server_conf *servers =
		g_new0(struct core_server_conf, count);

	for (uint32_t i = 0; i < count; i++) {
		servers[i].id = i;
		servers[i].slots = slots;
		servers[i].max_connections = 100;
		servers[i].hash = i + 1;
	}
	service.servers = servers;
	service.server_count = count;
	handle_event(event);
	g_free(servers);
}

static inline const struct core_action *action_at(guint i)
{
	return &g_array_index(actions, struct core_action, i);
}

/* find_action - the latest action of this kind for a call, or NULL. */
static inline const struct core_action *find_action(enum core_action_kind kind,
						    uint64_t id)
{
	for (guint i = actions->len; i--;)
		if (action_at(i)->kind == kind && action_at(i)->call == id)
			return action_at(i);
	return NULL;
}

static inline void expire_timer(uint64_t id)
{
	struct core_event event = { .kind = CORE_EV_TIMER };

	event.u.call_ref.call = id;
	handle_event(event);
}

/* end_call_attempt - end an attempt, after it was sent if SENT. */
static inline void end_call_attempt(struct core_action send, bool sent,
				    enum core_end end)
{
	struct core_event event = { .kind = CORE_EV_SENT };

	event.u.ended.call = send.call;
	event.u.ended.attempt = send.attempt;
	event.u.ended.end = end;
	if (sent)
		handle_event(event);
	event.kind = CORE_EV_ENDED;
	handle_event(event);
}

#endif
