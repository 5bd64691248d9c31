#include "core.h"

#include <string.h>

#include <glib.h>

enum { CORE_US_PER_MS = 1000, CORE_RETRY_RESERVE = 10 };

struct core_server {
	bool known;
	bool leaving;
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
};

struct core_service {
	bool known;
	enum core_policy policy;
	uint32_t queue_limit;
	uint32_t retry_percent;
	uint32_t *servers;
	uint32_t server_count;
	uint32_t next; /* round robin */
	uint32_t in_flight;
	GQueue queue; /* of struct core_call */
	/* Retry budget in hundredths of a retry. */
	uint32_t retry_credit;
};

struct core_attempt {
	bool open;
	bool sent;
	uint32_t server;
};

struct core_call {
	uint64_t id;
	uint32_t service;
	uint64_t deadline_us;
	bool idempotent;
	bool answered;
	bool may_have_run;
	uint32_t attempt_count;
	struct core_attempt attempts[CORE_MAX_ATTEMPTS];
	GList *queued; /* link in the queue of its service */
};

struct core {
	struct core_driver driver;
	GArray *servers; /* struct core_server by id */
	GArray *services; /* struct core_service by id */
	GHashTable *calls;
	uint64_t now_us;
};

static const char *const core_policy_names[] = {
#define X(id, name) name,
	CORE_POLICIES(X)
#undef X
};

static const char *const core_event_names[] = {
#define X(id, name) name,
	CORE_EVENTS(X)
#undef X
};

static const char *const core_action_names[] = {
#define X(id, name) name,
	CORE_ACTIONS(X)
#undef X
};

static const struct {
	const char *name;
	bool may_have_run;
} core_end_rows[] = {
#define X(id, name, may_have_run) { name, may_have_run },
	CORE_ENDS(X)
#undef X
};

const char *core_policy_name(enum core_policy policy)
{
	return core_policy_names[policy];
}

const char *core_end_name(enum core_end end)
{
	return core_end_rows[end].name;
}

bool core_end_may_have_run(enum core_end end)
{
	return core_end_rows[end].may_have_run;
}

const char *core_event_name(enum core_event_kind kind)
{
	return core_event_names[kind];
}

const char *core_action_name(enum core_action_kind kind)
{
	return core_action_names[kind];
}

static struct core_server *core_server(struct core *core, uint32_t id)
{
	if (id >= core->servers->len)
		g_array_set_size(core->servers, id + 1);
	return &g_array_index(core->servers, struct core_server, id);
}

static struct core_service *core_service(struct core *core, uint32_t id)
{
	if (id >= core->services->len)
		g_array_set_size(core->services, id + 1);
	return &g_array_index(core->services, struct core_service, id);
}

static void core_act(struct core *core, const struct core_action *action)
{
	core->driver.act(core->driver.ctx, action);
}

static uint32_t core_random(struct core *core, uint32_t bound)
{
	uint32_t value = core->driver.random_u32(core->driver.ctx);

	return (uint32_t)(((uint64_t)value * bound) >> 32);
}

struct core *core_new(const struct core_driver *driver)
{
	struct core *core = g_new0(struct core, 1);

	core->driver = *driver;
	core->servers = g_array_new(FALSE, TRUE, sizeof(struct core_server));
	core->services = g_array_new(FALSE, TRUE, sizeof(struct core_service));
	core->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	return core;
}

void core_free(struct core *core)
{
	for (guint i = 0; i < core->services->len; i++) {
		struct core_service *service = core_service(core, i);

		g_queue_clear(&service->queue);
		g_free(service->servers);
	}
	g_array_free(core->servers, TRUE);
	g_array_free(core->services, TRUE);
	g_hash_table_destroy(core->calls);
	g_free(core);
}

static bool core_usable(const struct core_server *server)
{
	return server->known && !server->leaving &&
	       server->in_flight < server->connections;
}

static void core_conf_server(struct core *core,
			     const struct core_server_conf *conf)
{
	struct core_server *server = core_server(core, conf->id);

	server->leaving = conf->leaving || (server->known && server->leaving);
	server->known = true;
	server->slots = conf->slots;
	server->connections = conf->connections;
}

static void core_conf_service(struct core *core,
			      const struct core_service_conf *conf)
{
	struct core_service *service = core_service(core, conf->id);

	service->known = true;
	service->policy = conf->policy;
	service->queue_limit = conf->queue_limit;
	service->retry_percent = conf->retry_percent;
	g_free(service->servers);
	service->servers = g_new(uint32_t, conf->server_count);
	service->server_count = conf->server_count;
	for (uint32_t i = 0; i < conf->server_count; i++) {
		service->servers[i] = conf->servers[i].id;
		core_conf_server(core, &conf->servers[i]);
	}
}

static void core_on_conf(struct core *core, const struct core_conf *conf)
{
	for (guint i = 0; i < core->services->len; i++)
		core_service(core, i)->known = false;
	for (guint i = 0; i < core->servers->len; i++)
		core_server(core, i)->known = false;
	for (uint32_t i = 0; i < conf->service_count; i++)
		core_conf_service(core, &conf->services[i]);
}

/* Fills CANDIDATES with the usable servers that the call has not tried. */
static uint32_t core_candidates(struct core *core,
				const struct core_service *service,
				const struct core_call *call, uint32_t *out)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t id = service->servers[i];
		bool tried = false;

		for (uint32_t k = 0; k < call->attempt_count; k++)
			tried |= call->attempts[k].server == id;
		if (!tried && core_usable(core_server(core, id)))
			out[count++] = id;
	}
	return count;
}

static uint32_t core_pick_of_two(struct core *core, const uint32_t *candidates,
				 uint32_t count)
{
	uint32_t a = candidates[core_random(core, count)];
	uint32_t b = candidates[core_random(core, count)];

	if (core_server(core, b)->in_flight < core_server(core, a)->in_flight)
		return b;
	return a;
}

static bool core_pick(struct core *core, struct core_service *service,
		      const struct core_call *call, uint32_t *server)
{
	uint32_t *candidates = g_newa(uint32_t, service->server_count + 1);
	uint32_t count = core_candidates(core, service, call, candidates);

	if (!count)
		return false;
	switch (service->policy) {
	case CORE_RANDOM:
		*server = candidates[core_random(core, count)];
		break;
	case CORE_ROUND_ROBIN:
		*server = candidates[service->next++ % count];
		break;
	default:
		*server = core_pick_of_two(core, candidates, count);
	}
	return true;
}

static void core_timer(struct core *core, uint64_t call, uint64_t at_us)
{
	struct core_action action = { .kind = CORE_ACT_TIMER,
				      .call = call,
				      .at_us = at_us };

	core_act(core, &action);
}

static void core_unqueue(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);

	if (!call->queued)
		return;
	g_queue_delete_link(&service->queue, call->queued);
	call->queued = NULL;
}

static void core_close_attempt(struct core *core, struct core_call *call,
			       uint32_t attempt)
{
	struct core_attempt *a = &call->attempts[attempt];

	if (!a->open)
		return;
	a->open = false;
	core_server(core, a->server)->in_flight--;
	core_service(core, call->service)->in_flight--;
}

static void core_cancel(struct core *core, struct core_call *call,
			uint32_t attempt)
{
	struct core_action action = { .kind = CORE_ACT_CANCEL,
				      .call = call->id,
				      .attempt = attempt,
				      .server =
					      call->attempts[attempt].server };

	if (!call->attempts[attempt].open)
		return;
	core_close_attempt(core, call, attempt);
	core_act(core, &action);
}

static void core_finish(struct core *core, struct core_call *call,
			enum st_kind result)
{
	struct core_action action = { .kind = CORE_ACT_FINISH,
				      .call = call->id,
				      .service = call->service,
				      .result = result };

	/* A retry that finds no server does not undo an earlier attempt. */
	if (call->may_have_run && st_not_run(result))
		action.result = ST_UNKNOWN;
	core_unqueue(core, call);
	for (uint32_t i = 0; i < call->attempt_count; i++)
		core_cancel(core, call, i);
	core_act(core, &action);
	g_hash_table_remove(core->calls, &call->id);
}

static void core_send(struct core *core, struct core_call *call,
		      uint32_t server, bool hedge)
{
	struct core_attempt *a = &call->attempts[call->attempt_count];
	struct core_action action = { .kind = CORE_ACT_SEND,
				      .call = call->id,
				      .attempt = call->attempt_count++,
				      .service = call->service,
				      .server = server,
				      .at_us = call->deadline_us,
				      .hedge = hedge };

	a->open = true;
	a->sent = false;
	a->server = server;
	core_server(core, server)->in_flight++;
	core_service(core, call->service)->in_flight++;
	core_act(core, &action);
}

static void core_dequeue(struct core *core, struct core_service *service)
{
	while (!g_queue_is_empty(&service->queue)) {
		struct core_call *call = g_queue_peek_head(&service->queue);
		uint32_t server;

		if (!core_pick(core, service, call, &server))
			return;
		core_unqueue(core, call);
		core_send(core, call, server, false);
	}
}

static void core_place(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	uint32_t server;

	if (core_pick(core, service, call, &server)) {
		core_send(core, call, server, false);
	} else if (g_queue_get_length(&service->queue) < service->queue_limit) {
		g_queue_push_tail(&service->queue, call);
		call->queued = g_queue_peek_tail_link(&service->queue);
	} else {
		core_finish(core, call, ST_QUEUE_FULL);
	}
}

static void core_on_call(struct core *core, const struct core_event *event)
{
	struct core_call *call = g_new0(struct core_call, 1);
	struct core_service *service =
		core_service(core, event->u.call.service);

	call->id = event->u.call.call;
	call->service = event->u.call.service;
	call->deadline_us = event->u.call.deadline_us;
	call->idempotent = event->u.call.idempotent;
	g_hash_table_insert(core->calls, &call->id, call);
	if (!service->known || !service->server_count) {
		core_finish(core, call, ST_NO_SERVER);
		return;
	}
	service->retry_credit =
		MIN(service->retry_credit + service->retry_percent,
		    100 * CORE_RETRY_RESERVE);
	core_timer(core, call->id, call->deadline_us);
	core_place(core, call);
}

static bool core_take_retry(struct core_service *service)
{
	if (service->retry_credit < 100)
		return false;
	service->retry_credit -= 100;
	return true;
}

/* What the caller is told when no attempt is left. */
static enum st_kind core_result(const struct core_call *call, enum core_end end)
{
	if (call->may_have_run)
		return end == CORE_END_BROKEN ? ST_BROKEN : ST_UNKNOWN;
	return end == CORE_END_REFUSED ? ST_REFUSED : ST_CONNECT;
}

static bool core_may_retry(struct core *core, const struct core_call *call,
			   enum core_end end)
{
	if (call->answered || call->attempt_count == CORE_MAX_ATTEMPTS)
		return false;
	if (call->may_have_run && !call->idempotent)
		return false;
	if (core->now_us >= call->deadline_us)
		return false;
	return core_take_retry(core_service(core, call->service));
}

static bool core_has_open(const struct core_call *call)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (call->attempts[i].open)
			return true;
	return false;
}

static void core_on_ended(struct core *core, struct core_call *call,
			  uint32_t attempt, enum core_end end)
{
	core_close_attempt(core, call, attempt);
	if (core_end_may_have_run(end))
		call->may_have_run = true;
	if (end == CORE_END_DONE || end == CORE_END_DONE_ERROR)
		core_finish(core, call, ST_OK);
	else if (core_has_open(call))
		return;
	else if (core_may_retry(core, call, end))
		core_place(core, call);
	else
		core_finish(core, call, core_result(call, end));
}

static void core_on_answer(struct core *core, struct core_call *call,
			   uint32_t attempt)
{
	call->answered = true;
	call->may_have_run = true;
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (i != attempt)
			core_cancel(core, call, i);
}

static void core_on_deadline(struct core *core, struct core_call *call)
{
	bool sent = call->may_have_run;

	for (uint32_t i = 0; i < call->attempt_count; i++)
		sent |= call->attempts[i].open && call->attempts[i].sent;
	if (call->answered)
		core_finish(core, call, ST_BROKEN);
	else
		core_finish(core, call,
			    sent ? ST_DEADLINE_UNKNOWN : ST_DEADLINE_NOT_RUN);
}

static void core_on_gone(struct core *core, struct core_call *call)
{
	bool sent = false;

	for (uint32_t i = 0; i < call->attempt_count; i++)
		sent |= call->attempts[i].open && call->attempts[i].sent;
	/* A sent order runs to its end; cancelling would leave it unknown. */
	if (sent && !call->idempotent)
		return;
	core_finish(core, call, ST_GONE);
}

static uint64_t core_event_call(const struct core_event *event)
{
	switch (event->kind) {
	case CORE_EV_SENT:
	case CORE_EV_ANSWER:
		return event->u.attempt.call;
	case CORE_EV_ENDED:
		return event->u.ended.call;
	case CORE_EV_GONE:
	case CORE_EV_TIMER:
		return event->u.of.call;
	default:
		return 0;
	}
}

static void core_on_call_event(struct core *core,
			       const struct core_event *event)
{
	uint64_t id = core_event_call(event);
	struct core_call *call = g_hash_table_lookup(core->calls, &id);

	if (!call)
		return;
	switch (event->kind) {
	case CORE_EV_SENT:
		call->attempts[event->u.attempt.attempt].sent = true;
		break;
	case CORE_EV_ANSWER:
		core_on_answer(core, call, event->u.attempt.attempt);
		break;
	case CORE_EV_ENDED:
		core_on_ended(core, call, event->u.ended.attempt,
			      event->u.ended.end);
		break;
	case CORE_EV_GONE:
		core_on_gone(core, call);
		break;
	case CORE_EV_TIMER:
		core_on_deadline(core, call);
		break;
	default:
		break;
	}
}

void core_handle(struct core *core, const struct core_event *event)
{
	core->now_us = event->now_us;
	switch (event->kind) {
	case CORE_EV_CONF:
		core_on_conf(core, event->u.conf);
		break;
	case CORE_EV_CALL:
		core_on_call(core, event);
		break;
	case CORE_EV_SERVER:
		core_server(core, event->u.server.server)->leaving =
			event->u.server.leaving;
		break;
	case CORE_EV_REPORT:
		break;
	default:
		core_on_call_event(core, event);
	}
	for (guint i = 0; i < core->services->len; i++)
		core_dequeue(core, core_service(core, i));
}

bool core_service_stats(const struct core *core, uint32_t service,
			struct core_service_stats *stats)
{
	const struct core_service *s;

	memset(stats, 0, sizeof(*stats));
	if (service >= core->services->len)
		return false;
	s = &g_array_index(core->services, struct core_service, service);
	stats->in_flight = s->in_flight;
	stats->queued = g_queue_get_length((GQueue *)&s->queue);
	stats->servers = s->server_count;
	for (uint32_t i = 0; i < s->server_count; i++)
		stats->servers_usable += core_usable(&g_array_index(
			core->servers, struct core_server, s->servers[i]));
	return s->known;
}
