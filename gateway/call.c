#include "gateway/state.h"

#include <string.h>

#include "core/outcome.h"
#include "base/counter.h"
#include "base/mechanism.h"

/* A call from its request to its end. */

enum {
	/* Least time for the caller to read the rest of an answer or error. */
	GW_READ_TIMEOUT_US = 500 * 1000,
	/* A deadline that is noticed this late shows that the loop was blocked. */
	GW_LATE_TIMER_US = 10 * 1000,
	GW_HEAD_BYTES = 512
};

/* Allocated in a request's memory pool; its destructor notifies the call. */
struct gw_req_link {
	struct gw_call *call;
};

static void gw_call_free(struct gw_call *call)
{
	for (uint32_t i = 0; i < CORE_MAX_ATTEMPTS; i++)
		gw_free_buffered(&call->attempts[i]);
	g_string_free(call->request_head, TRUE);
	hd_body_free(&call->request_body);
	g_string_free(call->unsent, TRUE);
	g_string_free(call->sending, TRUE);
	if (call->stored_body)
		g_string_free(call->stored_body, TRUE);
	g_free(call->stored_type);
	g_free(call->request_id);
	tx_unref(call->route);
	tx_unref(call->forwarded_to);
	gw_clear_customer(call);
	g_free(call);
}

static void gw_call_unref(struct gw_call *call)
{
	if (--call->refs)
		return;
	tm_cancel(call->gateway->timers, &call->timer);
	call->gateway->calls_in_flight--;
	gw_call_free(call);
}

static void gw_count_result(enum st_kind result)
{
	ct_add_result(result);
	if (result == ST_OK)
		ct_add(CT_COMPLETED, 1);
	else if (result == ST_CALLER_LEFT)
		ct_add(CT_CALLERS_LEFT, 1);
	else if (result == ST_BROKEN)
		ct_add(CT_BROKEN, 1);
	else
		ct_add(st_not_run(result) ? CT_REFUSED : CT_UNKNOWN, 1);
}

/*
 * The caller has not read its answer in time. Over HTTP/2 only its stream is reset,
 * unless nothing of the connection is read, so that the reset would wait as well.
 */
static void gw_on_read_timeout(void *ctx)
{
	struct gw_call *call = ctx;

	if (!hd_is_http2(call->req) || hd_is_stalled(call->req)) {
		hd_abort_connection(call->req);
		return;
	}
	tm_subscribe(call->gateway->timers, &call->timer,
		     tm_now_us() + GW_READ_TIMEOUT_US);
	hd_reset_stream(call->req); /* may free the call */
}

static void gw_start_read_timeout(struct gw_call *call)
{
	if (!call->req)
		return;
	call->timer.fire = gw_on_read_timeout;
	tm_subscribe(call->gateway->timers, &call->timer,
		     MAX(call->deadline_us, tm_now_us() + GW_READ_TIMEOUT_US));
}

/*
 * Stores the result of an order with its claim, or releases the claim. The
 * write may complete after the caller has been answered.
 */
static void gw_end_claim(struct gw_call *call)
{
	if (!call->claim)
		return;
	if (call->result == ST_OK && call->answer_attempt)
		od_store_answer(call->claim, call->answer_attempt->status,
				call->stored_type ? call->stored_type : "",
				call->stored_body->str, call->stored_body->len,
				call->stored_body->len <= OD_MAX_BODY_BYTES);
	else if (call->may_have_run)
		od_store_unknown(call->claim);
	else
		od_release_claim(call->claim);
	call->claim = NULL;
}

static void gw_end_answer(struct gw_call *call)
{
	bool complete = call->result == ST_OK && call->head_copied;

	if (!call->req || call->answer_started || complete) {
		gw_flush_answer(call);
		return;
	}
	gw_drop_head(call);
	gw_reply_error(call, call->result == ST_OK ? ST_INTERNAL : call->result,
		       NULL);
}

void gw_note_unproven(struct gw_call *call, int status)
{
	ct_add(CT_UNPROVEN, 1);
	call->unproven_status = status;
}

/* Sets what the caller is told and what is logged, which is the same. */
static void gw_set_result(struct gw_call *call, enum st_kind result)
{
	call->result = oc_result(result, call->may_have_run);
	gw_count_result(call->result);
}

void gw_complete_call(struct gw_call *call, enum st_kind result)
{
	gw_set_result(call, result);
	gw_log_call_end(call);
	tm_cancel(call->gateway->timers, &call->timer);
	call->finished = true;
	gw_end_claim(call);
	call->answer_attempt = NULL;
	gw_end_answer(call);
	gw_start_read_timeout(call);
	gw_call_unref(call);
}

/* A call that the core was told to give up has not met its deadline. */
static enum st_kind gw_final_result(const struct gw_call *call,
				    enum st_kind result)
{
	if (call->forward_refused && result == ST_DEADLINE_NOT_RUN)
		result = ST_NO_SERVER;
	if (call->key_removed && result == ST_DEADLINE_NOT_RUN)
		result = ST_UNAUTHORIZED;
	if (call->unproven_status && result == ST_OK)
		result = ST_UNPROVEN;
	return result;
}

void gw_finish_call(struct gw_gateway *gateway,
		    const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);

	call->inputs = action->inputs;
	if (action->at_us)
		call->retry_at_us = action->at_us;
	ct_add(CT_OVERLOAD_REFUSED, action->result == ST_QUEUE_FULL &&
					    action->inputs.pressure_percent);
	g_hash_table_remove(gateway->calls, &call->id);
	if (!gw_forward_refused(call, action->result))
		gw_complete_call(call, gw_final_result(call, action->result));
}

bool gw_caller_left(const struct gw_call *call)
{
	return call->caller_left || !call->req || hd_peer_closed(call->req);
}

void gw_post_gone(struct gw_call *call)
{
	struct core_event event = { .kind = CORE_EV_CALLER_LEFT };

	if (call->caller_left)
		return;
	call->caller_left = true;
	if (call->forward) {
		gw_leave_forward(call);
		return;
	}
	event.u.call_ref.call = call->id;
	gw_post_event(call->gateway, &event);
}

static void gw_on_req_freed(void *ptr)
{
	struct gw_req_link *link = ptr;
	struct gw_call *call = link->call;

	if (!call->finished)
		hd_body_keep(&call->request_body, call->req);
	call->req = NULL;
	/* The rest of the answer is discarded; let the attempt complete. */
	if (call->read_paused)
		gw_resume_answer(call);
	call->read_paused = false;
	if (!call->finished)
		gw_post_gone(call);
	gw_call_unref(call);
}

/*
 * Timers come before reads. After the loop was blocked, the answer may be there
 * unread, so the call is given up only once everything has been read.
 */
static bool gw_must_read_first(struct gw_call *call)
{
	uint64_t now_us = tm_now_us();

	if (call->read_before_end ||
	    now_us < call->deadline_us + GW_LATE_TIMER_US)
		return false;
	call->read_before_end = true;
	/* A timer that is due already would fire before the reads as well. */
	tm_subscribe(call->gateway->timers, &call->timer,
		     now_us + GW_US_PER_MS);
	return true;
}

static void gw_on_call_timer(void *ctx)
{
	struct gw_call *call = ctx;
	struct core_event event = { .kind = CORE_EV_TIMER };

	if (gw_must_read_first(call))
		return;
	event.u.call_ref.call = call->id;
	gw_post_event(call->gateway, &event);
}

static void gw_save_header(struct gw_call *call, const char *name,
			   const char *value, size_t value_bytes)
{
	if (name)
		hc_head_add(call->request_head, name, strlen(name), value,
			    value_bytes);
}

static void gw_save_headers(struct gw_call *call, h2o_req_t *req)
{
	const struct dl_dialect *dialect = call->gateway->dialect;
	const char *zone = call->gateway->settings->zone;

	for (size_t i = 0; i < req->headers.size; i++) {
		h2o_header_t *h = &req->headers.entries[i];

		if (!gw_is_hop_header(dialect, h->name->base, h->name->len) &&
		    !gw_is_customer_header(call->gateway, h->name->base,
					   h->name->len))
			hc_head_add(call->request_head, h->name->base,
				    h->name->len, h->value.base, h->value.len);
	}
	gw_save_header(call, dialect->entry_id, call->request_id,
		       strlen(call->request_id));
	gw_save_header(call, dialect->entry_zone, zone, strlen(zone));
	if (dialect->keep_host)
		gw_save_header(call, "host", req->authority.base,
			       req->authority.len);
}

/* Uses the call id from the caller if there is one, or a new id. */
static void gw_set_request_id(struct gw_call *call, h2o_req_t *req)
{
	const struct gw_gateway *gateway = call->gateway;
	h2o_iovec_t given = { 0 };

	if (gateway->dialect->call_id)
		given = hd_header(req, gateway->dialect->call_id);
	if (given.len) {
		call->request_id = g_strndup(given.base, given.len);
		call->call_id = call->request_id;
		return;
	}
	call->request_id = g_strdup_printf("%s%" G_GUINT64_FORMAT,
					   gateway->id_prefix, call->id);
}

struct gw_call *gw_call_new(struct gw_gateway *gateway, h2o_req_t *req,
			    uint64_t arrived_us)
{
	struct gw_call *call = g_new0(struct gw_call, 1);
	struct gw_req_link *link;

	call->gateway = gateway;
	call->id = ++gateway->last_call_id;
	call->req = req;
	call->refs = 2;
	call->begin_us = arrived_us;
	call->caller_index = CORE_NO_CALLER;
	call->customer_index = DOC_NO_INDEX;
	call->generation = gateway->document->generation;
	call->revision = gateway->document->revision;
	gw_set_request_id(call, req);
	call->head_method = hd_method_is(req, "HEAD");
	call->request_head = g_string_sized_new(GW_HEAD_BYTES);
	hc_head_line(call->request_head, req->method.base, req->method.len,
		     req->path.base, req->path.len);
	call->unsent = g_string_new(NULL);
	call->sending = g_string_new(NULL);
	hd_body_init(&call->request_body, req);
	gw_save_headers(call, req);
	call->timer.fire = gw_on_call_timer;
	call->timer.ctx = call;
	link = h2o_mem_alloc_shared(&req->pool, sizeof(*link), gw_on_req_freed);
	link->call = call;
	gateway->calls_in_flight++;
	return call;
}

/* Timeout in the caller's request; 0: none. */
static uint64_t gw_caller_timeout_ms(const struct dl_dialect *dialect,
				     h2o_req_t *req)
{
	h2o_iovec_t header = hd_header(req, dialect->time_left_ms);
	size_t value;

	if (!header.base)
		return 0;
	value = h2o_strtosize(header.base, header.len);
	return value == SIZE_MAX ? 0 : value;
}

static uint32_t gw_timeout_ms(uint64_t caller_timeout_ms, uint32_t max_ms,
			      uint32_t default_ms)
{
	return caller_timeout_ms ? (uint32_t)MIN(caller_timeout_ms, max_ms) :
				   default_ms;
}

static bool gw_is_safe_method(const h2o_req_t *req)
{
	return hd_method_is(req, "GET") || hd_method_is(req, "HEAD");
}

/* Passes the call to the core. */
static void gw_submit_call(struct gw_call *call)
{
	struct gw_gateway *gateway = call->gateway;
	struct core_event event = { .kind = CORE_EV_CALL };

	if (gw_is_cut_off(gateway) && gw_forward_call(call))
		return;
	event.u.call.call = call->id;
	event.u.call.service = call->service;
	event.u.call.caller = call->caller_index;
	event.u.call.work_class = call->work_class;
	if (call->customer)
		event.u.call.customer = call->customer_index + 1;
	event.u.call.deadline_us = call->deadline_us;
	event.u.call.target_us = call->target_us;
	event.u.call.waited_us = call->waited_us;
	event.u.call.max_attempts = call->max_attempts;
	event.u.call.bulky = call->bulky;
	event.u.call.idempotent = call->idempotent || !me_on(ME_SEND_ONCE);
	g_hash_table_insert(gateway->calls, &call->id, call);
	gw_post_event(gateway, &event);
}

static void gw_replay_answer(struct gw_call *call,
			     const struct od_claim_result *result)
{
	const char *type = result->content_type;

	gw_add_outcome(call, ST_OK);
	call->final_sent = true;
	hd_reply(call->req, result->http_status,
		 type && *type ? type : "application/octet-stream",
		 result->body, result->body_bytes);
}

/* Ends a call that was not passed to the core. */
static void gw_end_unsubmitted(struct gw_call *call,
			       const struct od_claim_result *result)
{
	gw_set_result(call, result->kind);
	call->finished = true;
	gw_log_call_end(call);
	if (call->req && call->result == ST_OK)
		gw_replay_answer(call, result);
	else if (call->req)
		gw_reply_error(call, call->result, result->msg);
	gw_start_read_timeout(call);
	gw_call_unref(call);
}

/*
 * Whether the host may be killed before the call has its answer. One that may run
 * again is refused only if its answer is likely to come too late; else its caller
 * would lose time for nothing.
 */
static bool gw_may_be_cut_off(const struct gw_call *call)
{
	const struct gw_gateway *gateway = call->gateway;
	uint64_t end_us = call->deadline_us;

	if (!gateway->stopping || !gateway->kill_us)
		return false;
	if (call->idempotent)
		end_us = tm_now_us() +
			 core_usual_latency_us(&gateway->core, call->service);
	return end_us + GW_KILL_MARGIN_US > gateway->kill_us;
}

void gw_expire_call(struct gw_call *call)
{
	struct core_event event = { .kind = CORE_EV_EXPIRED };

	event.u.call_ref.call = call->id;
	gw_post_event(call->gateway, &event);
}

static void gw_refuse_at_stop(struct gw_call *call)
{
	struct od_claim_result refused = {
		.kind = ST_STOPPING,
		.msg = "the host stops and might not finish the request",
	};

	gw_end_unsubmitted(call, &refused);
}

static void gw_refuse_blocked(struct gw_call *call)
{
	struct od_claim_result refused = {
		.kind = ST_BLOCKED,
		.msg = "servers crashed while they ran this request",
	};

	gw_end_unsubmitted(call, &refused);
}

/* Earlier builds keep answers that would not be passed on now. */
static bool gw_is_kept_unproven(const struct gw_call *call,
				const struct od_claim_result *result)
{
	return !result->claim && result->kind == ST_OK &&
	       oc_judge_answer(result->http_status, false, call->idempotent) ==
		       OC_UNPROVEN;
}

static void gw_on_claim(void *ctx, const struct od_claim_result *result)
{
	struct gw_call *call = ctx;
	struct od_claim_result left = { .kind = ST_CALLER_LEFT };
	struct od_claim_result unproven = { .kind = ST_UNPROVEN };

	if (gw_is_kept_unproven(call, result)) {
		gw_note_unproven(call, result->http_status);
		gw_end_unsubmitted(call, &unproven);
	} else if (!result->claim) {
		gw_end_unsubmitted(call, result);
	} else if (!call->req) {
		od_release_claim(result->claim);
		gw_end_unsubmitted(call, &left);
	} else if (gw_is_blocked(call)) {
		od_release_claim(result->claim);
		gw_refuse_blocked(call);
	} else {
		call->claim = result->claim;
		call->stored_body = g_string_new(NULL);
		gw_submit_call(call);
	}
}

/* Claims the key of an order; gw_on_claim passes the call to the core. */
static void gw_claim_order(struct gw_call *call, const char *service,
			   h2o_iovec_t key)
{
	const h2o_req_t *req = call->req;
	h2o_iovec_t caller = gw_caller_name(call);
	g_autofree char *method = g_strndup(req->method.base, req->method.len);
	g_autofree char *path = g_strndup(req->path.base, req->path.len);
	struct od_callback callback = { gw_on_claim, call };
	struct od_claim_result refused = { .kind = ST_INTERNAL };
	struct od_request request = {
		.id = call->request_id,
		.caller = caller.base,
		.caller_bytes = caller.len,
		.is_customer = call->customer != NULL,
		.service = service,
		.key = key.base,
		.key_bytes = key.len,
		.method = method,
		.path = path,
		.body = call->request_body.base ? call->request_body.base : "",
		.body_bytes = call->request_body.bytes,
		.deadline_us = call->deadline_us,
	};
	struct st_status status;

	if (od_claim_key(call->gateway->orders, &request, &callback, &status) ==
	    ST_OK)
		return;
	refused.kind = status.kind;
	refused.msg = status.msg;
	gw_end_unsubmitted(call, &refused);
}

void gw_admit_service_call(struct gw_call *call, uint32_t index)
{
	struct gw_gateway *gateway = call->gateway;
	const struct doc_service *service = &gateway->document->services[index];
	h2o_req_t *req = call->req;
	const struct doc_rule *rule =
		doc_find_rule(service, req->method.base, req->method.len,
			      req->path.base, req->path.len);
	uint32_t timeout_ms = rule ? rule->deadline_ms : service->deadline_ms;
	h2o_iovec_t key = hd_header(req, "idempotency-key");
	h2o_iovec_t caller = gw_caller_name(call);

	timeout_ms = gw_timeout_ms(gw_caller_timeout_ms(gateway->dialect, req),
				   service->longest_deadline_ms, timeout_ms);
	call->deadline_us = tm_now_us() + (uint64_t)timeout_ms * GW_US_PER_MS;
	call->caller_index =
		doc_find_caller(gateway->document, caller.base, caller.len);
	call->service = gateway->service_ids[index];
	call->idempotent = rule ? rule->idempotent : gw_is_safe_method(req);
	if (gw_may_be_cut_off(call))
		gw_refuse_at_stop(call);
	else if (key.base && !call->idempotent && gateway->orders &&
		 me_on(ME_ORDER_CLAIM))
		/* Its key tells first whether an order was done or may have run. */
		gw_claim_order(call, service->name, key);
	else if (gw_is_blocked(call))
		gw_refuse_blocked(call);
	else
		gw_submit_call(call);
}

/* A call that another host has passed on was counted there. */
static bool gw_is_over_quota(struct gw_call *call)
{
	const struct gw_gateway *gateway = call->gateway;
	uint64_t retry_us = 0;

	if (call->from_host || !call->customer || !gateway->admit_customer ||
	    gateway->admit_customer(gateway->admit_ctx, call->customer,
				    &retry_us))
		return false;
	call->retry_at_us = tm_now_us() + retry_us;
	return true;
}

static void gw_refuse_over_quota(struct gw_call *call)
{
	struct od_claim_result refused = {
		.kind = ST_OVER_QUOTA,
		.msg = "the customer is over its quota",
	};

	gw_end_unsubmitted(call, &refused);
}

/* Admits a call on a named route of the document. */
void gw_admit_route_call(struct gw_call *call, const struct doc_route *route)
{
	struct gw_gateway *gateway = call->gateway;
	uint32_t picked = gw_pick_route_service(gateway, route);
	uint64_t caller_timeout_ms =
		gw_caller_timeout_ms(gateway->dialect, call->req);
	uint32_t timeout_ms = gw_timeout_ms(
		caller_timeout_ms, route->timeout_ms, route->timeout_ms);

	call->deadline_us =
		call->begin_us + (uint64_t)timeout_ms * GW_US_PER_MS;
	if (route->target_ms)
		call->target_us = call->begin_us +
				  (uint64_t)route->target_ms * GW_US_PER_MS;
	call->max_attempts = route->max_attempts;
	if (call->from_host)
		gw_read_forwarded(call, route->max_attempts);
	else if (caller_timeout_ms)
		call->waited_us = gw_estimate_waited_ms(gateway, route,
							caller_timeout_ms) *
				  GW_US_PER_MS;
	call->service = gateway->service_ids[route->services[picked].service];
	call->route = tx_ref(route->name);
	call->idempotent = route->idempotent;
	call->bulky = route->bulky;
	gw_set_priority(call, route);
	if (gw_may_be_cut_off(call))
		gw_refuse_at_stop(call);
	else if (gw_is_blocked(call))
		gw_refuse_blocked(call);
	else if (gw_is_over_quota(call))
		gw_refuse_over_quota(call);
	else
		gw_submit_call(call);
}
