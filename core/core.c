#include "core/state.h"

#include <string.h>

#include "base/mechanism.h"
#include "core/outcome.h"

/* Calls, their attempts, and the processing of events. */

enum { CORE_QUEUE_TICK_US = 2 * CORE_US_PER_MS };

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
} core_end_table[] = {
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
	return core_end_table[end].name;
}

bool core_end_may_have_run(enum core_end end)
{
	return core_end_table[end].may_have_run;
}

const char *core_event_name(enum core_event_kind kind)
{
	return core_event_names[kind];
}

const char *core_action_name(enum core_action_kind kind)
{
	return core_action_names[kind];
}

struct core_server *core_server(const struct core *core, uint32_t id)
{
	return g_ptr_array_index(core->servers, id);
}

struct core_service *core_service(const struct core *core, uint32_t id)
{
	return g_ptr_array_index(core->services, id);
}

static void core_emit_action(struct core *core,
			     const struct core_action *action)
{
	core->driver.on_action(core->driver.ctx, action);
}

uint32_t core_random(struct core *core, uint32_t bound)
{
	uint32_t value;

	if (bound < 2)
		return 0;
	value = core->driver.random_u32(core->driver.ctx);
	return (uint32_t)(((uint64_t)value * bound) >> 32);
}

static void core_call_free(void *ptr)
{
	struct core_call *call = ptr;

	core_flow_unref(call->flow);
	if (call->customer_flow)
		core_flow_unref(call->customer_flow);
	g_free(call);
}

static void core_service_free(void *ptr)
{
	struct core_service *service = ptr;

	for (guint i = 0; i < service->flows->len; i++)
		if (g_ptr_array_index(service->flows, i))
			core_flow_unref(g_ptr_array_index(service->flows, i));
	g_ptr_array_free(service->flows, TRUE);
	if (service->customer_flows)
		g_hash_table_destroy(service->customer_flows);
	g_array_free(service->zone_latency_us, TRUE);
	g_array_free(service->work_us, TRUE);
	g_array_free(service->classes, TRUE);
	g_free(service->servers);
	g_free(service);
}

void core_init(struct core *core, const struct core_driver *driver)
{
	memset(core, 0, sizeof(*core));
	core->driver = *driver;
	core->host_count = 1;
	core->servers = g_ptr_array_new_with_free_func(g_free);
	core->services = g_ptr_array_new_with_free_func(core_service_free);
	g_queue_init(&core->asking);
	core->weights = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	core->customer_weights = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	core->hosts = g_array_new(FALSE, FALSE, sizeof(struct core_host_conf));
	core->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    core_call_free);
}

/*
 * Unlinks all queued calls before they are freed; a call may hold the last
 * reference to its flow.
 */
static void core_empty_queues(struct core *core)
{
	for (guint i = 0; i < core->services->len; i++) {
		struct core_service *service = core_service(core, i);

		while (service->active_flows.head) {
			struct core_flow *flow =
				service->active_flows.head->data;

			core_unqueue_call(core,
					  g_queue_peek_head(&flow->queue));
		}
	}
}

void core_free(struct core *core)
{
	core_empty_queues(core);
	g_hash_table_destroy(core->calls);
	g_ptr_array_free(core->services, TRUE);
	g_ptr_array_free(core->servers, TRUE);
	g_array_free(core->weights, TRUE);
	g_array_free(core->customer_weights, TRUE);
	g_array_free(core->hosts, TRUE);
}

static void core_emit_timer(struct core *core, uint64_t call, uint64_t at_us)
{
	struct core_action action = { .kind = CORE_ACT_TIMER,
				      .call = call,
				      .at_us = at_us };

	core_emit_action(core, &action);
}

void core_set_timer(struct core *core, uint64_t at_us)
{
	if (core->timer_us && core->timer_us <= at_us)
		return;
	core->timer_us = at_us;
	core_emit_timer(core, 0, at_us);
}

void core_set_call_timer(struct core *core, const struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);
	uint64_t at_us = call->deadline_us;

	if (call->queue_link && me_on(ME_EARLY_REFUSAL))
		at_us -= MIN(service->low_latency_us, at_us);
	else if (call->asking)
		at_us = MIN(at_us, core_ask_timer_us(call));
	else if (call->hedge_at_us)
		at_us = MIN(at_us, call->hedge_at_us);
	core_emit_timer(core, call->id, MAX(at_us, core->now_us));
}

/*
 * Whether an attempt may have run: its first byte was written, and its end did
 * not prove that the request was not run.
 */
static bool core_may_have_run(const struct core_call *call)
{
	bool sent = false;

	for (uint32_t i = 0; i < call->attempt_count; i++)
		sent |= call->attempts[i].sent;
	return sent;
}

static bool core_has_open_attempt(const struct core_call *call)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (call->attempts[i].open)
			return true;
	return false;
}

static void core_close_attempt(struct core *core, struct core_call *call,
			       uint32_t attempt)
{
	struct core_attempt *a = &call->attempts[attempt];
	struct core_server *server = core_server(core, a->server);
	struct core_service *service = core_service(core, call->service);

	a->open = false;
	g_queue_unlink(&server->open_attempts, &a->link);
	server->in_flight--;
	service->in_flight--;
	call->flow->in_flight--;
	core_update_end_gap(core, service);
}

static void core_cancel_attempt(struct core *core, struct core_call *call,
				uint32_t attempt)
{
	struct core_attempt *a = &call->attempts[attempt];
	struct core_action action = { .kind = CORE_ACT_CANCEL,
				      .call = call->id,
				      .attempt = attempt,
				      .service = call->service,
				      .server = a->server };

	if (!a->open)
		return;
	if (!a->answer_us && !core_began_cold(core_server(core, a->server), a))
		core_record_min_latency(core, core_server(core, a->server),
					(uint32_t)(core->now_us - a->begin_us));
	core_close_attempt(core, call, attempt);
	core_emit_action(core, &action);
}

/* When the caller of a refused call may come back; 0: not known. */
static uint64_t core_retry_at_us(struct core *core,
				 const struct core_call *call,
				 enum st_kind result)
{
	uint64_t opens_us;

	if (result == ST_QUEUE_FULL)
		return core_share_retry_at_us(
			core, core_service(core, call->service));
	if (result != ST_PAUSED)
		return 0;
	opens_us = core_opens_us(core, core_service(core, call->service));
	return opens_us == UINT64_MAX ? 0 : opens_us;
}

static void core_fill_service_inputs(const struct core *core,
				     struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);

	call->inputs.retry_credit = core_retry_credit(core, service);
	call->inputs.pressure_percent = core_share_active_percent(service);
}

void core_finish_call(struct core *core, struct core_call *call,
		      enum st_kind result)
{
	struct core_action action = { .kind = CORE_ACT_FINISH,
				      .call = call->id,
				      .service = call->service };

	result = oc_result(result, core_may_have_run(call));
	action.result = result;
	action.at_us = core_retry_at_us(core, call, result);
	core_fill_service_inputs(core, call);
	action.inputs = call->inputs;
	core_unqueue_call(core, call);
	core_ask_end(core, call);
	for (uint32_t i = 0; i < call->attempt_count; i++)
		core_cancel_attempt(core, call, i);
	core_emit_action(core, &action);
	g_hash_table_remove(core->calls, &call->id);
}

/*
 * The latest time at which a second attempt of usual length still meets the
 * target, but not before the first attempt has had its usual time. A quarter is
 * added to the usual time in both cases.
 */
static uint64_t core_hedge_time_us(const struct core *core,
				   const struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);
	uint64_t work_us = core_work_us(core, service, call);
	uint64_t latest_us =
		call->target_us - MIN(call->target_us, work_us * 5 / 4);

	return MAX(latest_us, core->now_us + work_us * 5 / 4);
}

/* Only the first attempt of an idempotent call is hedged. */
static void core_plan_hedge(struct core *core, struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);

	call->hedge_at_us = 0;
	if (call->attempt_count > 1 || !call->idempotent || !me_on(ME_HEDGING))
		return;
	if (service->policy == CORE_POLICY_ASK)
		call->hedge_at_us = core_hedge_time_us(core, call);
	else if (service->high_latency_us)
		call->hedge_at_us = core->now_us + service->high_latency_us;
}

void core_fill_inputs(const struct core *core, const struct core_server *server,
		      struct core_inputs *inputs)
{
	uint64_t age_us = core->now_us - server->report_us;

	inputs->report_age_ms =
		server->report_us ?
			(uint32_t)MIN(age_us / CORE_US_PER_MS, UINT32_MAX) :
			UINT32_MAX;
	inputs->pace_percent = server->pace_percent;
	inputs->running = server->running;
	inputs->waiting = server->waiting;
	inputs->in_flight = server->in_flight;
}

void core_send_attempt(struct core *core, struct core_call *call,
		       uint32_t server, bool hedge)
{
	struct core_attempt *a = &call->attempts[call->attempt_count];
	struct core_server *s = core_server(core, server);
	struct core_action action = { .kind = CORE_ACT_SEND,
				      .call = call->id,
				      .attempt = call->attempt_count++,
				      .service = call->service,
				      .server = server,
				      .at_us = call->deadline_us,
				      .hedge = hedge };

	core_fill_inputs(core, s, &call->inputs);
	core_fill_service_inputs(core, call);
	action.inputs = call->inputs;
	a->open = true;
	a->server = server;
	a->begin_us = core->now_us;
	a->sample = core_work_sample_kind(core, s);
	a->link.data = a;
	g_queue_push_tail_link(&s->open_attempts, &a->link);
	s->in_flight++;
	s->sent_since_report++;
	core_rate_take(core, s);
	s->last_send_us = core->now_us;
	core_service(core, call->service)->in_flight++;
	call->flow->in_flight++;
	core_share_on_sent(core, core_service(core, call->service), call);
	core_plan_hedge(core, call);
	action.report = core_take_report_budget(
		core, core_service(core, call->service), s);
	core_emit_action(core, &action);
	core_set_call_timer(core, call);
}

static void core_send_queued(struct core *core, struct core_service *service)
{
	while (service->queued) {
		struct core_call *call = core_next_queued(core, service);
		uint32_t server;

		if (!service->in_conf || core_is_evacuated(core, service)) {
			core_finish_call(core, call, ST_NO_SERVER);
			continue;
		}
		if (core_is_too_late(core, service, call, 0)) {
			core_finish_call(core, call, ST_DEADLINE_NOT_RUN);
			continue;
		}
		if (!core_pick_server(core, service, call, false, &server))
			return;
		core_unqueue_call(core, call);
		core_send_attempt(core, call, server, false);
	}
}

static void core_place_call(struct core *core, struct core_call *call)
{
	uint64_t id = call->id;

	if (core_service(core, call->service)->policy == CORE_POLICY_ASK) {
		core_ask_begin(core, call, false);
		return;
	}
	core_admit_call(core, call);
	call = g_hash_table_lookup(core->calls, &id);
	if (call && call->queue_link)
		core_set_call_timer(core, call);
}

static void core_on_call(struct core *core, const struct core_event *event)
{
	uint32_t id = event->u.call.service;
	struct core_service *service =
		id < core->services->len ? core_service(core, id) : NULL;
	struct core_call *call;
	const uint64_t *call_id = &event->u.call.call;
	struct core_action refusal = { .kind = CORE_ACT_FINISH,
				       .call = event->u.call.call,
				       .service = id,
				       .result = ST_NO_SERVER };

	if (g_hash_table_contains(core->calls, call_id))
		return;
	if (!service || !service->in_conf || !service->server_count) {
		core_emit_action(core, &refusal);
		return;
	}
	call = g_new0(struct core_call, 1);
	call->id = event->u.call.call;
	call->service = id;
	call->deadline_us = event->u.call.deadline_us;
	call->target_us = event->u.call.target_us;
	if (!call->target_us)
		call->target_us = call->deadline_us;
	call->begin_us = core->now_us;
	call->target_duration_us =
		call->target_us - MIN(call->target_us, call->begin_us);
	call->target_us -= MIN(event->u.call.waited_us, call->target_us);
	core_ask_set_wait(call);
	call->customer = event->u.call.customer;
	call->work_class = event->u.call.work_class;
	if (!call->work_class && event->u.call.caller < core->weights->len)
		call->work_class = event->u.call.caller + 1;
	call->max_attempts = event->u.call.max_attempts;
	if (!call->max_attempts || call->max_attempts > CORE_MAX_ATTEMPTS)
		call->max_attempts = CORE_MAX_ATTEMPTS;
	call->bulky = event->u.call.bulky;
	call->idempotent = event->u.call.idempotent;
	call->flow = core_flow_ref(core, service, event->u.call.caller);
	call->customer_flow =
		core_customer_flow_ref(core, service, call->customer);
	core_share_on_call(core, service, call, event->u.call.caller);
	g_hash_table_insert(core->calls, &call->id, call);
	core_earn_retry_credit(core, service);
	core_send_call_probes(core, service);
	core_place_call(core, call);
}

/* Result for the caller when no attempt is open and none may be started. */
static enum st_kind core_result_of_end(const struct core_call *call,
				       enum core_end end)
{
	if (end == CORE_END_FAILED)
		return ST_UNKNOWN;
	if (end == CORE_END_BROKEN)
		return ST_BROKEN;
	return end == CORE_END_REFUSED ? ST_REFUSED : ST_CONNECT;
}

uint64_t core_usual_latency_us(const struct core *core, uint32_t id)
{
	const struct core_service *service;

	if (id >= core->services->len)
		return 0;
	service = core_service(core, id);
	return MAX(service->high_latency_us,
		   core_base_latency_us(service, core->zone));
}

bool core_can_retry(struct core *core, uint64_t id)
{
	const struct core_call *call = g_hash_table_lookup(core->calls, &id);

	if (!call || !call->idempotent || call->answered ||
	    call->attempt_count >= call->max_attempts)
		return false;
	if (core_service(core, call->service)->policy != CORE_POLICY_ASK ||
	    core->now_us + core_base_latency_us(
				   core_service(core, call->service),
				   core->zone) /
				    2 >
		    call->deadline_us)
		return false;
	return core_retry_credit(core, core_service(core, call->service)) >=
	       100;
}

/* Whether the call may be retried; takes the retry credit. */
static bool core_reserve_retry(struct core *core, const struct core_call *call)
{
	if (call->answered || call->attempt_count >= call->max_attempts)
		return false;
	if (core_may_have_run(call) && !call->idempotent && me_on(ME_SEND_ONCE))
		return false;
	if (core->now_us >= call->deadline_us)
		return false;
	return core_take_retry_credit(core, core_service(core, call->service));
}

static void core_record_end(struct core *core,
			    const struct core_attempt *attempt,
			    enum core_end end)
{
	struct core_server *server = core_server(core, attempt->server);

	switch (end) {
	case CORE_END_DONE:
		core_record_success(core, server, attempt);
		break;
	case CORE_END_REFUSED:
		core_record_refusal(core, server);
		break;
	case CORE_END_CANCELLED:
		break;
	case CORE_END_NOT_SENT:
	case CORE_END_NO_ANSWER:
		if (core_share_explains_reset(core, server)) {
			core_record_refusal(core, server);
			server->running = MAX(server->running, server->slots);
		} else {
			core_record_error(core, server);
		}
		break;
	default:
		core_record_error(core, server);
	}
}

static void core_on_ended(struct core *core, struct core_call *call,
			  uint32_t attempt, enum core_end end)
{
	struct core_attempt *a = &call->attempts[attempt];
	uint32_t server = a->server;

	if (!a->answer_us)
		a->answer_us = core->now_us;
	core_close_attempt(core, call, attempt);
	core_record_end(core, a, end);
	if (end == CORE_END_DONE)
		core_record_work(core, call, a);
	/* Stop asking for a hedge; a retry takes its place below. */
	if (!core_has_open_attempt(call))
		core_ask_end(core, call);
	if (!core_end_may_have_run(end))
		a->sent = false;
	if (end == CORE_END_DONE || end == CORE_END_DONE_ERROR)
		core_finish_call(core, call, ST_OK);
	else if (core_has_open_attempt(call))
		return;
	else if (call->caller_left)
		core_finish_call(core, call, ST_CALLER_LEFT);
	else if (core_reserve_retry(core, call))
		core_place_call(core, call);
	else
		core_finish_call(core, call, core_result_of_end(call, end));
	core_ask_on_capacity(core, server);
}

static void core_on_answer(struct core *core, struct core_call *call,
			   uint32_t attempt)
{
	call->answered = true;
	call->attempts[attempt].answer_us = core->now_us;
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (i != attempt)
			core_cancel_attempt(core, call, i);
	core_ask_end(core, call);
	call->hedge_at_us = 0;
	core_set_call_timer(core, call);
}

/*
 * At the deadline of a call, counts an error for each server that is overdue,
 * so that a server that never answers does not stay in use.
 */
static void core_record_no_answer(struct core *core,
				  const struct core_call *call)
{
	for (uint32_t i = 0; i < call->attempt_count; i++) {
		const struct core_attempt *a = &call->attempts[i];
		struct core_server *server = core_server(core, a->server);
		const struct core_service *service =
			core_service(core, call->service);
		uint64_t elapsed_us = core->now_us - a->begin_us;

		if (a->open && !a->answer_us &&
		    elapsed_us >
			    4 * core_base_latency_us(service, server->zone))
			core_record_error(core, server);
	}
}

static bool core_may_hedge(struct core *core, const struct core_call *call)
{
	return !call->answered && core_has_open_attempt(call) &&
	       call->attempt_count < call->max_attempts &&
	       core_retry_credit(core, core_service(core, call->service)) >=
		       100;
}

static void core_on_hedge(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	uint32_t server;

	call->hedge_at_us = 0;
	if (!core_may_hedge(core, call)) {
		core_set_call_timer(core, call);
		return;
	}
	if (service->policy == CORE_POLICY_ASK) {
		core_ask_begin(core, call, true);
		return;
	}
	if (core_pick_server(core, service, call, true, &server) &&
	    core_take_retry_credit(core, service))
		core_send_attempt(core, call, server, true);
	else
		core_set_call_timer(core, call);
}

static void core_expire_call(struct core *core, struct core_call *call)
{
	core_finish_call(core, call,
			 call->answered ? ST_BROKEN : ST_DEADLINE_NOT_RUN);
}

static void core_on_call_timer(struct core *core, struct core_call *call)
{
	const struct core_service *service = core_service(core, call->service);

	if (call->queue_link && core_is_too_late(core, service, call, 0)) {
		core_finish_call(core, call, ST_DEADLINE_NOT_RUN);
	} else if (core->now_us >= call->deadline_us) {
		core_record_no_answer(core, call);
		core_expire_call(core, call);
	} else if (call->asking && core->now_us >= core_ask_timer_us(call)) {
		core_ask_on_timer(core, call);
	} else if (call->hedge_at_us && core->now_us >= call->hedge_at_us) {
		core_on_hedge(core, call);
	} else {
		core_set_call_timer(core, call);
	}
}

static void core_on_caller_left(struct core *core, struct core_call *call)
{
	call->caller_left = true;
	/*
	 * A non-idempotent request that was sent runs to its end, because its
	 * outcome would be unknown after a cancellation.
	 */
	if (core_may_have_run(call) && core_has_open_attempt(call) &&
	    !call->idempotent)
		return;
	core_finish_call(core, call, ST_CALLER_LEFT);
}

static uint64_t core_event_call(const struct core_event *event)
{
	switch (event->kind) {
	case CORE_EV_SENT:
	case CORE_EV_ANSWER:
		return event->u.attempt.call;
	case CORE_EV_ENDED:
		return event->u.ended.call;
	case CORE_EV_CALLER_LEFT:
	case CORE_EV_BLOCKED:
	case CORE_EV_EXPIRED:
	case CORE_EV_TIMER:
		return event->u.call_ref.call;
	default:
		return 0;
	}
}

/* Ignores events that the driver queued before the attempt was closed. */
static void core_on_attempt_event(struct core *core, struct core_call *call,
				  const struct core_event *event)
{
	uint32_t attempt = event->kind == CORE_EV_ENDED ?
				   event->u.ended.attempt :
				   event->u.attempt.attempt;

	if (attempt >= call->attempt_count || !call->attempts[attempt].open)
		return;
	if (event->kind == CORE_EV_SENT)
		call->attempts[attempt].sent = true;
	else if (event->kind == CORE_EV_ANSWER)
		core_on_answer(core, call, attempt);
	else
		core_on_ended(core, call, attempt, event->u.ended.end);
}

static void core_on_call_event(struct core *core,
			       const struct core_event *event)
{
	uint64_t id = core_event_call(event);
	struct core_call *call = g_hash_table_lookup(core->calls, &id);

	if (!call)
		return;
	if (event->kind == CORE_EV_CALLER_LEFT)
		core_on_caller_left(core, call);
	else if (event->kind == CORE_EV_BLOCKED)
		core_finish_call(core, call, ST_BLOCKED);
	else if (event->kind == CORE_EV_EXPIRED)
		core_expire_call(core, call);
	else if (event->kind == CORE_EV_TIMER)
		core_on_call_timer(core, call);
	else
		core_on_attempt_event(core, call, event);
}

static void core_set_leaving(struct core_server *server,
			     enum core_leaving_source source, bool leaving)
{
	switch (source) {
	case CORE_LEAVING_ANNOUNCED:
		server->announced_leaving = leaving;
		break;
	case CORE_LEAVING_IN_ANSWER:
		server->answer_leaving = leaving;
		break;
	default:
		server->left_for_good |= leaving;
	}
}

static void core_on_server(struct core *core, const struct core_event *event)
{
	struct core_server *server;
	bool before;

	if (event->u.server.server >= core->servers->len)
		return;
	server = core_server(core, event->u.server.server);
	before = core_is_leaving(server);
	core_set_leaving(server, event->u.server.source,
			 event->u.server.leaving);
	if (before && !core_is_leaving(server))
		server->slow_start_us = core->now_us;
	if (!server->answer_leaving && !server->rate_limited)
		server->next_recheck_us = 0;
	core->recheck_needed |= server->answer_leaving;
	core_recheck_servers(core);
}

static void core_on_timer(struct core *core, const struct core_event *event)
{
	if (event->u.call_ref.call) {
		core_on_call_event(core, event);
		return;
	}
	core->timer_us = 0;
	core_recheck_servers(core);
}

void core_handle_event(struct core *core, const struct core_event *event)
{
	core->now_us = MAX(core->now_us, event->now_us);
	switch (event->kind) {
	case CORE_EV_CONF:
		core_on_conf(core, event->u.conf);
		break;
	case CORE_EV_CALL:
		core_on_call(core, event);
		break;
	case CORE_EV_SERVER:
		core_on_server(core, event);
		break;
	case CORE_EV_REPORT:
		core_on_report(core, event);
		break;
	case CORE_EV_RATE_LIMIT:
		core_rate_on_limit(core, event);
		break;
	case CORE_EV_PAUSE:
		core_on_pause(core, event);
		break;
	case CORE_EV_WARMUP:
		core_rate_on_warmup(core, event);
		break;
	case CORE_EV_REACHED:
		core_forget_cut(core);
		break;
	case CORE_EV_TIMER:
		core_on_timer(core, event);
		break;
	default:
		core_on_call_event(core, event);
	}
	for (guint i = 0; core->queued && i < core->services->len; i++)
		core_send_queued(core, core_service(core, i));
	/* Limits may also allow a queued call after some time, without an event. */
	if (core->queued)
		core_set_timer(core, core->now_us + CORE_QUEUE_TICK_US);
}

bool core_service_stats(const struct core *core, uint32_t service,
			struct core_service_stats *stats)
{
	const struct core_service *s;

	memset(stats, 0, sizeof(*stats));
	if (service >= core->services->len)
		return false;
	s = core_service(core, service);
	stats->in_flight = s->in_flight;
	stats->queued = s->queued;
	stats->servers = s->server_count;
	for (uint32_t i = 0; i < s->server_count; i++) {
		const struct core_server *server =
			core_server(core, s->servers[i]);

		stats->servers_usable += !core_is_withdrawn(server) &&
					 !core_is_ejected(core, server);
	}
	return s->in_conf;
}
