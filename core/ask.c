#include "core/state.h"

#include "base/mechanism.h"

/*
 * Policy "ask": before a call is sent, probes ask a few servers for their load
 * and the current speed of their machine. The call goes to the server with the
 * lowest expected cost. Reports are out of date within milliseconds, so the
 * reports of earlier answers serve only to choose which servers to ask. An
 * answered probe also shows that the server is reachable.
 */
enum {
	/*
	 * Time for the answers of one round. A probe to another zone needs two
	 * crossings between the zones besides its own processing.
	 */
	CORE_ASK_TIMEOUT_US = 30 * CORE_US_PER_MS,
	CORE_ASK_ROUNDS = 3,
	/*
	 * Links between zones are expensive, so a server in another zone must
	 * save at least this part of the work of the call.
	 */
	CORE_ZONE_COST_PERCENT = 10,
	CORE_ASK_WAIT_DIVISOR = 8, /* longest wait as part of the target */
	CORE_ASK_PAUSE_US = 20 * CORE_US_PER_MS,
	/* The transfer of a large answer between zones is rarely worthwhile. */
	CORE_BULKY_ZONE_COST_US = 300 * CORE_US_PER_MS,
	/*
	 * Of the first request of a host to a cold server, which always costs more
	 * than a warm one, and would get nothing while others have room.
	 */
	CORE_UNTRIED_COST_DIVISOR = 2,
	/* Cost at an error rate of 1, as a multiple of the work. */
	CORE_ERROR_COST_FACTOR = 4,
	CORE_NO_SERVER = UINT32_MAX
};

/* A server that may get the call, with the cost of sending it there. */
struct core_candidate {
	uint32_t id;
	uint64_t cost_us;
};

/*
 * Expected latency of the call at SERVER, plus penalties for another zone, for
 * a latency above three times the median of the zone, and for errors.
 */
static uint64_t core_ask_cost_us(const struct core *core,
				 const struct core_service *service,
				 const struct core_server *server,
				 const struct core_call *call)
{
	uint64_t work_us = core_work_us(core, service, call);
	uint64_t cost_us =
		core_expected_latency_us(core, service, server, call);
	uint64_t threshold_us =
		3 * (uint64_t)core_base_latency_us(service, server->zone);

	/* Only a few hosts may send then, so that it does not get too much. */
	if (core_is_cold(core, server) && core_rate_is_untried(core, server))
		return work_us / CORE_UNTRIED_COST_DIVISOR;
	if (server->zone != core->zone)
		cost_us += work_us * CORE_ZONE_COST_PERCENT / 100;
	if (server->zone != core->zone && call->bulky)
		cost_us += CORE_BULKY_ZONE_COST_US;
	if (server->latency_samples >= 4 &&
	    server->mean_latency_us > threshold_us)
		cost_us += server->mean_latency_us - threshold_us;
	return cost_us + work_us * CORE_ERROR_COST_FACTOR *
				 server->error_rate_q8 / CORE_Q8;
}

/* Inserts a server into the CORE_ASK_FANOUT cheapest ones, cheapest first. */
static void core_insert_candidate(struct core_candidate *candidates,
				  uint32_t *count, uint32_t id,
				  uint64_t cost_us)
{
	uint32_t at = *count;

	if (at == CORE_ASK_FANOUT && cost_us >= candidates[at - 1].cost_us)
		return;
	if (at == CORE_ASK_FANOUT)
		at--;
	else
		(*count)++;
	for (; at && candidates[at - 1].cost_us > cost_us; at--)
		candidates[at] = candidates[at - 1];
	candidates[at].id = id;
	candidates[at].cost_us = cost_us;
}

static bool core_was_asked(const struct core_call *call, uint32_t id)
{
	for (uint32_t i = 0; i < call->ask_count; i++)
		if (call->ask_servers[i] == id)
			return true;
	return false;
}

/*
 * Chooses the servers to ask: the cheapest ones by the latest reports. A random
 * part of the cost keeps hosts with similar reports from all asking the same
 * server. SLOW_START leaves servers out that have got their share of calls while
 * they start. Returns the number of servers.
 */
static uint32_t core_ask_select(struct core *core, struct core_service *service,
				const struct core_call *call, bool slow_start,
				struct core_candidate *candidates)
{
	bool eject = core_ejection_active(core, service);
	uint32_t jitter_us =
		(uint32_t)core_work_us(core, service, call) / 4 + 1;
	uint32_t count = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		uint32_t id = service->servers[i];
		const struct core_server *server = core_server(core, id);

		if (core_was_tried(call, id) || core_was_asked(call, id) ||
		    !core_rate_allows(core, server, call->ask_hedge) ||
		    !(slow_start ?
			      core_is_usable(core, service, server, eject) :
			      core_is_available(core, service, server, eject)))
			continue;
		core_insert_candidate(
			candidates, &count, id,
			core_ask_cost_us(core, service, server, call) +
				core_random(core, jitter_us));
	}
	return count;
}

/* A call that no other server can take goes to one that is still starting. */
static uint32_t core_ask_candidates(struct core *core,
				    struct core_service *service,
				    const struct core_call *call,
				    struct core_candidate *candidates)
{
	uint32_t count = core_ask_select(core, service, call, true, candidates);

	if (!count && !call->ask_count)
		count = core_ask_select(core, service, call, false, candidates);
	return count;
}

uint64_t core_ask_timer_us(const struct core_call *call)
{
	return call->ask_begin_us +
	       (call->ask_paused ? CORE_ASK_PAUSE_US : CORE_ASK_TIMEOUT_US);
}

void core_ask_end(struct core *core, struct core_call *call)
{
	if (!call->asking)
		return;
	call->asking = false;
	g_queue_unlink(&core->asking, &call->ask_link);
}

static bool core_has_answered_ask(const struct core_call *call,
				  const struct core_server *server)
{
	if (!core_warmup_is_known(server, call->ask_begin_us))
		return false;
	return server->report_us + CORE_REPORT_FRESH_US >= call->ask_begin_us &&
	       server->report_us;
}

/* What a server must offer to get the call. */
enum core_slot_need {
	CORE_NEED_NOTHING,
	CORE_NEED_UNCONTENDED, /* core_has_uncontended_slot, meets the target */
	CORE_NEED_SLOT, /* core_has_slot, meets the target */
	CORE_NEED_SPARE /* core_has_spare_slot, meets the deadline */
};

/* A call that would be late even on an idle server gets only a spare slot. */
static enum core_slot_need core_needed_slot(const struct core *core,
					    const struct core_service *service,
					    const struct core_call *call)
{
	uint64_t work_us = core_work_us(core, service, call);

	if (!call->ask_hedge &&
	    core->now_us + work_us > core_target_us(core, service, call))
		return CORE_NEED_SPARE;
	return CORE_NEED_UNCONTENDED;
}

static bool core_meets_need(const struct core *core,
			    const struct core_service *service,
			    const struct core_server *server,
			    const struct core_call *call,
			    enum core_slot_need need)
{
	uint64_t target_us;
	uint64_t end_us;

	if (need == CORE_NEED_NOTHING)
		return true;
	if (!core_share_leaves_room(core, service, server, call))
		return false;
	target_us = core_target_us(core, service, call);
	end_us = core->now_us +
		 core_expected_latency_us(core, service, server, call);
	switch (need) {
	case CORE_NEED_UNCONTENDED:
		return end_us <= target_us &&
		       core_has_uncontended_slot(service, server);
	case CORE_NEED_SLOT:
		return end_us <= target_us && core_has_slot(server);
	case CORE_NEED_SPARE:
		return end_us <= call->deadline_us &&
		       core_has_spare_slot(service, server);
	default:
		return true;
	}
}

/*
 * The cheapest server that meets NEED, of those asked that have answered, or of
 * ALL that were asked. CORE_NO_SERVER: none.
 */
static uint32_t core_ask_best(const struct core *core,
			      const struct core_service *service,
			      const struct core_call *call, bool all,
			      enum core_slot_need need)
{
	uint32_t best = CORE_NO_SERVER;
	uint64_t best_us = UINT64_MAX;

	for (uint32_t i = 0; i < call->ask_count; i++) {
		uint32_t id = call->ask_servers[i];
		const struct core_server *server = core_server(core, id);
		uint64_t cost_us;

		if (!server->in_conf || core_is_withdrawn(server) ||
		    core_is_paused(core, server) ||
		    core_is_ejected(core, server) ||
		    !core_rate_allows(core, server, call->ask_hedge) ||
		    (!all && !core_has_answered_ask(call, server)) ||
		    !core_meets_need(core, service, server, call, need))
			continue;
		cost_us = core_ask_cost_us(core, service, server, call);
		if (cost_us >= best_us)
			continue;
		best = id;
		best_us = cost_us;
	}
	return best;
}

static void core_ask_refuse_full(struct core *core, struct core_call *call)
{
	core_share_on_refused(core, call);
	core_finish_call(core, call, ST_QUEUE_FULL);
}

/* No server for the attempt: drops a hedge, refuses any other call. */
static void core_ask_give_up(struct core *core, struct core_call *call,
			     enum st_kind kind)
{
	core_ask_end(core, call);
	if (call->ask_hedge)
		core_set_call_timer(core, call);
	else if (kind == ST_QUEUE_FULL)
		core_ask_refuse_full(core, call);
	else
		core_finish_call(core, call, kind);
}

/* Stores the inputs of the decision for the log line of the next action. */
static void core_ask_record_inputs(const struct core *core,
				   struct core_call *call, uint32_t server)
{
	const struct core_service *service = core_service(core, call->service);

	call->inputs.asked = call->ask_count;
	call->inputs.expected_ms = 0;
	if (server == CORE_NO_SERVER)
		return;
	core_fill_inputs(core, core_server(core, server), &call->inputs);
	call->inputs.expected_ms =
		(uint32_t)(core_expected_latency_us(core, service,
						    core_server(core, server),
						    call) /
			   CORE_US_PER_MS);
}

static void core_ask_send(struct core *core, struct core_call *call,
			  uint32_t server)
{
	struct core_service *service = core_service(core, call->service);
	bool hedge = call->ask_hedge;

	core_ask_record_inputs(core, call, server);
	core_ask_end(core, call);
	if (hedge && !core_take_retry_credit(core, service))
		core_set_call_timer(core, call);
	else
		core_send_attempt(core, call, server, hedge);
}

static bool core_ask_next_round(struct core *core, struct core_call *call);

void core_ask_set_wait(struct core_call *call)
{
	call->wait_until_us =
		call->begin_us +
		(call->target_us - MIN(call->target_us, call->begin_us)) /
			CORE_ASK_WAIT_DIVISOR;
}

/* Asks again after a pause, in which a slot may become free. */
static void core_ask_pause(struct core *core, struct core_call *call)
{
	call->ask_paused = true;
	call->share_waited = true;
	call->ask_count = 0;
	call->ask_rounds = 0;
	call->ask_begin_us = core->now_us;
	core_set_call_timer(core, call);
}

/*
 * Whether the call may wait: it has time left, and the limits of the servers
 * allow an attempt within it.
 */
static bool core_ask_may_pause(const struct core *core,
			       const struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);

	return !call->ask_hedge &&
	       core->now_us + CORE_ASK_PAUSE_US <= call->wait_until_us &&
	       core_opens_us(core, service) <= call->wait_until_us;
}

/* No server can be asked: waits if only limits or pauses are in the way. */
static void core_ask_no_server(struct core *core, struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);
	bool closed = core_opens_us(core, service) > core->now_us;

	if (closed && core_ask_may_pause(core, call))
		core_ask_pause(core, call);
	else
		core_ask_give_up(core, call,
				 closed ? core_closed_kind(core, service) :
					  ST_NO_SERVER);
}

/* No server meets the needs of the call: waits, accepts less or refuses. */
static void core_ask_no_slot(struct core *core, struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);
	uint32_t best =
		core_ask_best(core, service, call, true, CORE_NEED_NOTHING);
	/* If no server has answered, what they said before counts. */
	bool all = core_ask_best(core, service, call, false,
				 CORE_NEED_NOTHING) == CORE_NO_SERVER;
	uint32_t server = CORE_NO_SERVER;

	core_ask_record_inputs(core, call, best);
	if (!call->ask_hedge) {
		if (core_ask_may_pause(core, call)) {
			core_ask_pause(core, call);
			return;
		}
		server =
			core_ask_best(core, service, call, all, CORE_NEED_SLOT);
		if (server == CORE_NO_SERVER)
			server = core_ask_best(core, service, call, all,
					       CORE_NEED_SPARE);
	}
	if (server != CORE_NO_SERVER)
		core_ask_send(core, call, server);
	else if (best == CORE_NO_SERVER)
		core_ask_no_server(core, call);
	else
		core_ask_give_up(core, call, ST_QUEUE_FULL);
}

/*
 * Whether BEST is so close to an idle server that the answers of other servers
 * need not be awaited.
 */
static bool core_ask_is_good_enough(const struct core *core,
				    const struct core_service *service,
				    const struct core_call *call, uint32_t best)
{
	const struct core_server *server;

	if (best == CORE_NO_SERVER)
		return false;
	server = core_server(core, best);
	return core_has_uncontended_slot(service, server) &&
	       core_ask_cost_us(core, service, server, call) * 100 <=
		       core_work_us(core, service, call) *
			       CORE_PACE_NORMAL_MAX_PERCENT;
}

/* Servers whose reports are fresh would always go before one that has none yet. */
static bool core_ask_has_untried(const struct core *core,
				 const struct core_call *call)
{
	for (uint32_t i = 0; i < call->ask_count; i++)
		if (core_rate_is_untried(
			    core, core_server(core, call->ask_servers[i])))
			return true;
	return false;
}

/*
 * Decides by the reports received so far. With FINAL no further report is
 * awaited: the call asks more servers, is sent, is paused or is refused.
 */
static void core_ask_decide(struct core *core, struct core_call *call,
			    bool final)
{
	struct core_service *service = core_service(core, call->service);
	uint64_t work_us = core_work_us(core, service, call);
	enum core_slot_need need = core_needed_slot(core, service, call);
	uint32_t best = core_ask_best(core, service, call, false, need);
	bool good_enough = core_ask_is_good_enough(core, service, call, best);

	if (!final && (!good_enough || core_ask_has_untried(core, call)))
		return;
	if (!good_enough && call->ask_rounds < CORE_ASK_ROUNDS &&
	    core->now_us + work_us < call->deadline_us &&
	    core_ask_next_round(core, call))
		return;
	if (core_ask_best(core, service, call, false, CORE_NEED_NOTHING) ==
	    CORE_NO_SERVER)
		best = core_ask_best(core, service, call, true, need);
	if (best != CORE_NO_SERVER)
		core_ask_send(core, call, best);
	else
		core_ask_no_slot(core, call);
}

/* Whether a server that was asked has yet to answer. */
static bool core_ask_pending(const struct core *core,
			     const struct core_call *call)
{
	for (uint32_t i = 0; i < call->ask_count; i++) {
		const struct core_server *server =
			core_server(core, call->ask_servers[i]);

		if (server->probe_pending &&
		    !core_has_answered_ask(call, server))
			return true;
	}
	return false;
}

/*
 * Asks the next servers. The best server of the previous round stays a
 * candidate. Returns false if no other server is left to ask.
 */
static bool core_ask_next_round(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	struct core_candidate candidates[CORE_ASK_FANOUT];
	uint32_t count = core_ask_candidates(core, service, call, candidates);
	uint32_t best =
		core_ask_best(core, service, call, false, CORE_NEED_NOTHING);
	uint64_t id = call->id;

	if (!count)
		return false;
	if (best != CORE_NO_SERVER) {
		count = MIN(count, CORE_ASK_FANOUT - 1);
		candidates[count++].id = best;
	}
	core_share_update(core, service);
	core_share_draw(core, service, call);
	call->ask_paused = false;
	call->ask_rounds++;
	call->ask_count = count;
	call->ask_begin_us = core->now_us;
	for (uint32_t i = 0; i < count; i++)
		call->ask_servers[i] = candidates[i].id;
	for (uint32_t i = 0; i < count; i++) {
		struct core_server *server =
			core_server(core, candidates[i].id);

		if (!server->probe_pending &&
		    !(core_report_is_fresh(core, server) &&
		      core_warmup_is_known(server, core->now_us)))
			server->probe_pending =
				core_send_probe(core, candidates[i].id);
	}
	core_ask_decide(core, call, !core_ask_pending(core, call));
	call = g_hash_table_lookup(core->calls, &id);
	if (call && call->asking)
		core_set_call_timer(core, call);
	return true;
}

void core_ask_begin(struct core *core, struct core_call *call, bool hedge)
{
	call->ask_hedge = hedge;
	call->ask_paused = false;
	call->ask_rounds = 0;
	call->ask_count = 0;
	if (!call->asking) {
		call->asking = true;
		call->ask_link.data = call;
		g_queue_push_tail_link(&core->asking, &call->ask_link);
	}
	if (!hedge && core_share_is_hopeless(
			      core, core_service(core, call->service), call))
		core_ask_give_up(core, call, ST_DEADLINE_NOT_RUN);
	else if (!core_ask_next_round(core, call))
		core_ask_no_server(core, call);
}

void core_ask_on_timer(struct core *core, struct core_call *call)
{
	if (!call->ask_paused)
		core_ask_decide(core, call, true);
	else if (!core_ask_next_round(core, call))
		core_ask_no_slot(core, call);
}

/* After half of its waiting time, a call also accepts a contended slot. */
static enum core_slot_need core_ask_waiting_need(const struct core *core,
						 const struct core_call *call)
{
	uint64_t half_us = (call->begin_us + call->wait_until_us) / 2;

	return core->now_us < half_us ? CORE_NEED_UNCONTENDED : CORE_NEED_SLOT;
}

/*
 * The waiting call that should get a slot of SERVER, or NULL: the one whose
 * caller has the highest weight, then by core_share_goes_first, then the one that
 * began to ask first.
 */
static struct core_call *core_ask_next_waiting(const struct core *core,
					       const struct core_server *server)
{
	const struct core_service *service =
		core_service(core, server->service);
	struct core_call *first = NULL;

	for (GList *l = core->asking.head; l; l = l->next) {
		struct core_call *call = l->data;

		if (!call->ask_paused || call->ask_hedge ||
		    call->service != server->service ||
		    core_was_tried(call, server->id) ||
		    !core_meets_need(core, service, server, call,
				     core_ask_waiting_need(core, call)))
			continue;
		if (!first || core_share_goes_first(core, service, call, first))
			first = call;
	}
	return first;
}

void core_ask_on_capacity(struct core *core, uint32_t id)
{
	struct core_server *server = core_server(core, id);
	struct core_service *service = core_service(core, server->service);
	struct core_call *call;

	while (core->asking.length && core_report_is_fresh(core, server) &&
	       core_rate_allows(core, server, false) &&
	       core_is_usable(core, service, server,
			      core_ejection_active(core, service)) &&
	       (call = core_ask_next_waiting(core, server)))
		core_ask_send(core, call, id);
}

void core_ask_on_report(struct core *core, uint32_t server, bool ok)
{
	GList *next;
	struct core_server *from = core_server(core, server);

	from->probe_pending = false;
	if (ok && from->in_conf)
		core_share_on_asked(core, core_service(core, from->service),
				    from);
	else
		from->contended_us = 0;
	if (!ok && !core_is_paused(core, from) &&
	    core_service(core, from->service)->policy == CORE_POLICY_ASK)
		core_record_error(core, from);
	for (GList *l = core->asking.head; l; l = next) {
		struct core_call *call = l->data;

		next = l->next;
		if (core_was_asked(call, server))
			core_ask_decide(core, call,
					!core_ask_pending(core, call));
	}
	core_ask_on_capacity(core, server);
}
