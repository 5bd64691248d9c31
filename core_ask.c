#include "core_state.h"

#include "mechanism.h"

/*
 * Policy "ask": before a call is sent, a few servers are asked for their load
 * and for how fast their machine is right now, and the call goes to the one
 * that is expected to end it first. A report is out of date within
 * milliseconds, so that reports of earlier answers only choose whom to ask. A
 * server that answers is also known to be reachable.
 */
enum {
	/* An answer from another zone takes two crossings and the probe. */
	CORE_ASK_WAIT_US = 30 * CORE_US_PER_MS,
	CORE_ASK_ROUNDS = 3,
	/* Links between zones are dear: part of the work a call must gain. */
	CORE_ZONE_COST_PERCENT = 10,
	CORE_HOLD_PART = 8, /* of the target that a call may wait */
	CORE_ASK_PAUSE_US = 20 * CORE_US_PER_MS,
	/* A large answer from another zone costs more than it is worth. */
	CORE_BULKY_ZONE_US = 300 * CORE_US_PER_MS,
	CORE_ERROR_COST = 4, /* usual latencies at an error share of one */
	CORE_NO_SERVER = UINT32_MAX
};

/* A server that a call may go to, with the time it is expected to take. */
struct core_candidate {
	uint32_t id;
	uint64_t cost_us;
};

/* Expected time and what else speaks against SERVER, in microseconds. */
static uint64_t core_ask_cost_us(const struct core *core,
				 const struct core_service *service,
				 const struct core_server *server,
				 const struct core_call *call)
{
	uint64_t usual_us = core_work_us(core, service, call);
	uint64_t cost_us = core_expected_us(core, service, server, call);
	uint64_t slow_us =
		3 * (uint64_t)core_base_latency_us(service, server->zone);

	if (server->zone != core->zone)
		cost_us += usual_us * CORE_ZONE_COST_PERCENT / 100;
	if (server->zone != core->zone && call->bulky)
		cost_us += CORE_BULKY_ZONE_US;
	if (server->latency_count >= 4 && server->latency_us > slow_us)
		cost_us += server->latency_us - slow_us;
	return cost_us +
	       usual_us * CORE_ERROR_COST * server->error_q8 / CORE_Q8;
}

/* Keeps the CORE_ASKED cheapest, cheapest first. */
static void core_keep(struct core_candidate *kept, uint32_t *count, uint32_t id,
		      uint64_t cost_us)
{
	uint32_t at = *count;

	if (at == CORE_ASKED && cost_us >= kept[at - 1].cost_us)
		return;
	if (at == CORE_ASKED)
		at--;
	else
		(*count)++;
	for (; at && kept[at - 1].cost_us > cost_us; at--)
		kept[at] = kept[at - 1];
	kept[at].id = id;
	kept[at].cost_us = cost_us;
}

static bool core_was_asked(const struct core_call *call, uint32_t id)
{
	for (uint32_t i = 0; i < call->ask_count; i++)
		if (call->ask_servers[i] == id)
			return true;
	return false;
}

/*
 * Whom to ask: the cheapest by what is known, with a random part, so that
 * hosts with the same knowledge do not all ask the same server.
 */
static uint32_t core_ask_candidates(struct core *core,
				    struct core_service *service,
				    const struct core_call *call,
				    struct core_candidate *kept)
{
	bool guarded = core_guarded(core, service);
	uint32_t jitter_us =
		(uint32_t)core_work_us(core, service, call) / 4 + 1;
	uint32_t count = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t id = service->servers[i];
		const struct core_server *server = core_server(core, id);

		if (core_tried(call, id) || core_was_asked(call, id) ||
		    !core_usable(core, service, server, guarded))
			continue;
		core_keep(kept, &count, id,
			  core_ask_cost_us(core, service, server, call) +
				  core_random(core, jitter_us));
	}
	return count;
}

uint64_t core_ask_until_us(const struct core_call *call)
{
	return call->ask_since_us +
	       (call->ask_pause ? CORE_ASK_PAUSE_US : CORE_ASK_WAIT_US);
}

void core_ask_end(struct core *core, struct core_call *call)
{
	if (!call->asking)
		return;
	call->asking = false;
	g_queue_unlink(&core->asking, &call->ask_link);
}

static bool core_answered_ask(const struct core_call *call,
			      const struct core_server *server)
{
	return server->report_us + CORE_FRESH_US >= call->ask_since_us &&
	       server->report_us;
}

/* What a call needs to be sent to a server. */
enum core_ask_need {
	CORE_NEED_NOTHING, /* the cheapest is looked for */
	CORE_NEED_CALM, /* in time, and slowing nobody down */
	CORE_NEED_ROOM, /* in time */
	CORE_NEED_SPARE /* a slot that nobody needs who would be in time */
};

/* Even an undisturbed server may answer after the target. */
static enum core_ask_need core_ask_need(const struct core *core,
					const struct core_service *service,
					const struct core_call *call)
{
	uint64_t work_us = core_work_us(core, service, call);

	if (!call->ask_hedge &&
	    core->now_us + work_us > core_target_us(core, service, call))
		return CORE_NEED_SPARE;
	return CORE_NEED_CALM;
}

static bool core_ask_meets(const struct core *core,
			   const struct core_service *service,
			   const struct core_server *server,
			   const struct core_call *call,
			   enum core_ask_need need)
{
	uint64_t target_us;
	uint64_t end_us;

	if (need == CORE_NEED_NOTHING)
		return true;
	target_us = core_target_us(core, service, call);
	end_us = core->now_us + core_expected_us(core, service, server, call);
	switch (need) {
	case CORE_NEED_CALM:
		return end_us <= target_us &&
		       core_has_calm_slot(service, server);
	case CORE_NEED_ROOM:
		return end_us <= target_us && core_has_slot(server);
	case CORE_NEED_SPARE:
		return end_us <= call->deadline_us &&
		       core_has_spare_slot(service, server);
	default:
		return true;
	}
}

/* The cheapest of the servers that were asked and answered, or of ALL asked. */
static uint32_t core_ask_best(const struct core *core,
			      const struct core_service *service,
			      const struct core_call *call, bool all,
			      enum core_ask_need need)
{
	uint32_t best = CORE_NO_SERVER;
	uint64_t best_us = UINT64_MAX;

	for (uint32_t i = 0; i < call->ask_count; i++) {
		uint32_t id = call->ask_servers[i];
		const struct core_server *server = core_server(core, id);
		uint64_t cost_us;

		if (!server->known || core_leaving(server) ||
		    core_server_out(core, server) ||
		    (!all && !core_answered_ask(call, server)) ||
		    !core_ask_meets(core, service, server, call, need))
			continue;
		cost_us = core_ask_cost_us(core, service, server, call);
		if (cost_us >= best_us)
			continue;
		best = id;
		best_us = cost_us;
	}
	return best;
}

/* A call that cannot be placed: a hedge is given up, others are refused. */
static void core_ask_refuse(struct core *core, struct core_call *call,
			    enum st_kind kind)
{
	core_ask_end(core, call);
	if (call->ask_hedge)
		core_call_timer(core, call);
	else
		core_finish(core, call, kind);
}

/* Kept for the log line of what happens next. */
static void core_ask_remember(const struct core *core, struct core_call *call,
			      uint32_t server)
{
	const struct core_service *service = core_service(core, call->service);

	call->inputs.asked = call->ask_count;
	call->inputs.expected_ms = 0;
	if (server == CORE_NO_SERVER)
		return;
	core_inputs_of(core, core_server(core, server), &call->inputs);
	call->inputs.expected_ms =
		(uint32_t)(core_expected_us(core, service,
					    core_server(core, server), call) /
			   CORE_US_PER_MS);
}

static void core_ask_send(struct core *core, struct core_call *call,
			  uint32_t server)
{
	struct core_service *service = core_service(core, call->service);
	bool hedge = call->ask_hedge;

	core_ask_remember(core, call, server);
	core_ask_end(core, call);
	if (hedge && !core_retry_take(core, service))
		core_call_timer(core, call);
	else
		core_send(core, call, server, hedge);
}

static bool core_ask_round(struct core *core, struct core_call *call);

/* A call is kept for an eighth of its target at most, then refused. */
void core_ask_plan(struct core_call *call)
{
	call->hold_until_us =
		call->begin_us +
		(call->target_us - MIN(call->target_us, call->begin_us)) /
			CORE_HOLD_PART;
}

/* Asks again after a while; slots become free all the time. */
static void core_ask_later(struct core *core, struct core_call *call)
{
	call->ask_pause = true;
	call->ask_count = 0;
	call->ask_rounds = 0;
	call->ask_since_us = core->now_us;
	core_call_timer(core, call);
}

/* No server takes the call now. */
static void core_ask_overload(struct core *core, struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);
	uint32_t best =
		core_ask_best(core, service, call, true, CORE_NEED_NOTHING);
	uint32_t server = CORE_NO_SERVER;

	core_ask_remember(core, call, best);
	if (!call->ask_hedge) {
		if (core->now_us + CORE_ASK_PAUSE_US <= call->hold_until_us) {
			core_ask_later(core, call);
			return;
		}
		server = core_ask_best(core, service, call, false,
				       CORE_NEED_ROOM);
		if (server == CORE_NO_SERVER)
			server = core_ask_best(core, service, call, false,
					       CORE_NEED_SPARE);
	}
	if (server != CORE_NO_SERVER)
		core_ask_send(core, call, server);
	else if (best == CORE_NO_SERVER)
		core_ask_refuse(core, call, ST_NO_SERVER);
	else
		core_ask_refuse(core, call, ST_QUEUE_FULL);
}

/* Whether a better server than BEST need not be looked for. */
static bool core_ask_is_quiet(const struct core *core,
			      const struct core_service *service,
			      const struct core_call *call, uint32_t best)
{
	const struct core_server *server;

	if (best == CORE_NO_SERVER)
		return false;
	server = core_server(core, best);
	return core_has_calm_slot(service, server) &&
	       core_ask_cost_us(core, service, server, call) * 100 <=
		       core_work_us(core, service, call) * CORE_PACE_QUIET;
}

/* Decides by the reports that are there; FINAL when no more will come. */
static void core_ask_decide(struct core *core, struct core_call *call,
			    bool final)
{
	struct core_service *service = core_service(core, call->service);
	uint64_t usual_us = core_work_us(core, service, call);
	enum core_ask_need need = core_ask_need(core, service, call);
	uint32_t best = core_ask_best(core, service, call, false, need);
	bool quiet = core_ask_is_quiet(core, service, call, best);

	if (!quiet && !final)
		return;
	if (!quiet && call->ask_rounds < CORE_ASK_ROUNDS &&
	    core->now_us + usual_us < call->deadline_us &&
	    core_ask_round(core, call))
		return;
	if (core_ask_best(core, service, call, false, CORE_NEED_NOTHING) ==
	    CORE_NO_SERVER)
		best = core_ask_best(core, service, call, true, need);
	if (best != CORE_NO_SERVER)
		core_ask_send(core, call, best);
	else
		core_ask_overload(core, call);
}

static bool core_ask_pending(const struct core *core,
			     const struct core_call *call)
{
	for (uint32_t i = 0; i < call->ask_count; i++) {
		const struct core_server *server =
			core_server(core, call->ask_servers[i]);

		if (server->asked && !core_answered_ask(call, server))
			return true;
	}
	return false;
}

/*
 * Asks the next servers. The best one of the round before stays a candidate.
 * Returns false when there is nobody else to ask.
 */
static bool core_ask_round(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	struct core_candidate kept[CORE_ASKED];
	uint32_t count = core_ask_candidates(core, service, call, kept);
	uint32_t best =
		core_ask_best(core, service, call, false, CORE_NEED_NOTHING);
	uint64_t id = call->id;

	if (!count)
		return false;
	if (best != CORE_NO_SERVER) {
		count = MIN(count, CORE_ASKED - 1);
		kept[count++].id = best;
	}
	call->ask_pause = false;
	call->ask_rounds++;
	call->ask_count = count;
	call->ask_since_us = core->now_us;
	for (uint32_t i = 0; i < count; i++)
		call->ask_servers[i] = kept[i].id;
	for (uint32_t i = 0; i < count; i++) {
		struct core_server *server = core_server(core, kept[i].id);

		if (!server->asked && !core_is_fresh(core, server))
			server->asked = core_probe(core, kept[i].id);
	}
	core_ask_decide(core, call, !core_ask_pending(core, call));
	call = g_hash_table_lookup(core->calls, &id);
	if (call && call->asking)
		core_call_timer(core, call);
	return true;
}

void core_ask(struct core *core, struct core_call *call, bool hedge)
{
	call->ask_hedge = hedge;
	call->ask_pause = false;
	call->ask_rounds = 0;
	call->ask_count = 0;
	if (!call->asking) {
		call->asking = true;
		call->ask_link.data = call;
		g_queue_push_tail_link(&core->asking, &call->ask_link);
	}
	if (!core_ask_round(core, call))
		core_ask_refuse(core, call, ST_NO_SERVER);
}

void core_ask_timer(struct core *core, struct core_call *call)
{
	if (!call->ask_pause)
		core_ask_decide(core, call, true);
	else if (!core_ask_round(core, call))
		core_ask_overload(core, call);
}

/* A call that has waited for half of its time takes a crowded slot too. */
static enum core_ask_need core_ask_waiting_need(const struct core *core,
						const struct core_call *call)
{
	uint64_t half_us = (call->begin_us + call->hold_until_us) / 2;

	return core->now_us < half_us ? CORE_NEED_CALM : CORE_NEED_ROOM;
}

/* The waiting call that goes first: the most urgent, then the oldest. */
static struct core_call *core_ask_first(const struct core *core,
					const struct core_server *server)
{
	const struct core_service *service =
		core_service(core, server->service);
	struct core_call *first = NULL;

	for (GList *l = core->asking.head; l; l = l->next) {
		struct core_call *call = l->data;

		if (!call->ask_pause || call->ask_hedge ||
		    call->service != server->service ||
		    core_tried(call, server->id) ||
		    !core_ask_meets(core, service, server, call,
				    core_ask_waiting_need(core, call)))
			continue;
		if (!first || call->lane->weight > first->lane->weight)
			first = call;
	}
	return first;
}

void core_ask_offer(struct core *core, uint32_t id)
{
	struct core_server *server = core_server(core, id);
	struct core_service *service = core_service(core, server->service);
	struct core_call *call;

	while (core->asking.length && core_is_fresh(core, server) &&
	       core_usable(core, service, server,
			   core_guarded(core, service)) &&
	       (call = core_ask_first(core, server)))
		core_ask_send(core, call, id);
}

void core_ask_report(struct core *core, uint32_t server, bool ok)
{
	GList *next;
	struct core_server *from = core_server(core, server);

	from->asked = false;
	if (!ok && core_service(core, from->service)->policy == CORE_ASK)
		core_learn_error(core, from);
	for (GList *l = core->asking.head; l; l = next) {
		struct core_call *call = l->data;

		next = l->next;
		if (core_was_asked(call, server))
			core_ask_decide(core, call,
					!core_ask_pending(core, call));
	}
	core_ask_offer(core, server);
}
