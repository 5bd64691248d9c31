#include "gateway_state.h"

#include <string.h>

#include "attempt.h"
#include "counter.h"
#include "log.h"
#include "mechanism.h"

enum {
	GW_BUFFER_HIGH_BYTES = 256 * 1024,
	GW_ORDER_IDLE_US = 1000 * 1000,
	GW_ATTEMPT_HEAD_BYTES = 160,
	/* Larger answers are passed on before they are whole. */
	GW_HELD_BYTES = 256 * 1024
};

static bool gw_is_cross_zone(const struct gw_gateway *gateway,
			     const struct gw_server *server)
{
	return strcmp(gateway->document->zones[server->zone],
		      gateway->settings->zone) != 0;
}

static void gw_take_report(struct gw_attempt *attempt,
			   const struct hc_head *head)
{
	struct gw_gateway *gateway = attempt->call->gateway;
	const struct dl_dialect *dialect = gateway->dialect;
	const struct hc_header *load = dl_find(head, dialect->report);
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, attempt->server);
	struct core_event event = { .kind = CORE_EV_REPORT };
	uint64_t bytes;

	if (!load)
		return;
	bytes = load->name_bytes + load->value_bytes + strlen(": \r\n");
	if (dialect->report_wanted)
		bytes += strlen(dialect->report_wanted) + strlen(": 1\r\n");
	ct_add(CT_REPORT_BYTES, bytes);
	if (gw_is_cross_zone(gateway, server))
		ct_add(CT_REPORT_CROSS_BYTES, bytes);
	event.u.report.server = attempt->server;
	event.u.report.source = CORE_FROM_ANSWER;
	event.u.report.ok = true;
	dialect->take_report(load, &event);
	gw_post(gateway, &event);
}

static void gw_take_draining(struct gw_attempt *attempt,
			     const struct hc_head *head)
{
	struct gw_gateway *gateway = attempt->call->gateway;
	const struct gw_server *server =
		g_ptr_array_index(gateway->servers, attempt->server);
	struct core_event event = { .kind = CORE_EV_SERVER };
	struct kn_msg_server_state msg = {
		.msg = { KN_SERVER_STATE, sizeof(msg) },
		.leaving = true,
	};

	if (!dl_find(head, gateway->dialect->draining) || !me_on(ME_LEAVING))
		return;
	event.u.server.server = attempt->server;
	event.u.server.sign = CORE_SIGN_ANSWER;
	event.u.server.leaving = true;
	gw_post(gateway, &event);
	g_strlcpy(msg.server, server->name, sizeof(msg.server));
	kn_send(gateway->kernel, "peer", &msg.msg);
}

static void gw_on_sent(struct hc_request *request)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct core_event event = { .kind = CORE_EV_SENT };

	event.u.attempt.call = attempt->call->id;
	event.u.attempt.attempt = attempt->index;
	gw_post(attempt->call->gateway, &event);
}

/* An answer that names another call arrived late on this connection. */
static bool gw_accept(struct hc_request *request, const struct hc_head *head)
{
	const struct gw_attempt *attempt = (struct gw_attempt *)request;
	const struct gw_call *call = attempt->call;
	const struct hc_header *id =
		dl_find(head, call->gateway->dialect->call_id);

	return !id || !call->call_id || hc_value_is(id, call->call_id);
}

/* The address belongs to another server now. */
static void gw_take_other_server(struct gw_attempt *attempt)
{
	struct core_event event = { .kind = CORE_EV_SERVER };

	event.u.server.server = attempt->server;
	event.u.server.sign = CORE_SIGN_ANSWER;
	event.u.server.leaving = true;
	gw_post(attempt->call->gateway, &event);
}

void gw_drop_held(struct gw_attempt *attempt)
{
	struct gw_held *held = attempt->held;

	if (!held)
		return;
	attempt->held = NULL;
	g_string_free(held->text, TRUE);
	g_string_free(held->body, TRUE);
	g_free(held->headers);
	g_free(held);
}

/* Copies the head; its texts stand in one buffer in the same order. */
static void gw_hold(struct gw_attempt *attempt, const struct hc_head *head)
{
	struct gw_held *held = g_new0(struct gw_held, 1);
	const char *at;

	held->text = g_string_new(NULL);
	held->body = g_string_new(NULL);
	held->head = *head;
	held->headers = g_new0(struct hc_header, head->header_count + 1);
	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];

		held->headers[i] = *h;
		g_string_append_len(held->text, h->name, (gssize)h->name_bytes);
		g_string_append_len(held->text, h->value,
				    (gssize)h->value_bytes);
	}
	at = held->text->str;
	for (uint32_t i = 0; i < head->header_count; i++) {
		held->headers[i].name = at;
		at += held->headers[i].name_bytes;
		held->headers[i].value = at;
		at += held->headers[i].value_bytes;
	}
	held->head.headers = held->headers;
	attempt->held = held;
}

/*
 * An answer to a call that may be repeated is kept back while it is small, so
 * that one that breaks off can be replaced by that of another server.
 */
static bool gw_may_hold(const struct gw_attempt *attempt,
			const struct hc_head *head)
{
	const struct gw_call *call = attempt->call;

	return call->gateway->dialect->signature && call->idempotent &&
	       !call->head_method &&
	       (head->content_length == UINT64_MAX ||
		head->content_length <= GW_HELD_BYTES);
}

/* A success that no server signed is not an answer. */
static bool gw_is_forged(const struct gw_attempt *attempt,
			 const struct hc_head *head)
{
	const char *signature = attempt->call->gateway->dialect->signature;

	return signature && head->status < 300 &&
	       !hc_find_header(head, signature);
}

static void gw_keep_type(struct gw_call *call, const struct hc_head *head)
{
	const struct hc_header *type = hc_find_header(head, "content-type");

	if (call->claim && type)
		call->kept_type = g_strndup(type->value, type->value_bytes);
}

/* Keeps the answer to an order, up to the first byte beyond the limit. */
static void gw_keep_body(struct gw_call *call, const char *data,
			 size_t data_bytes)
{
	size_t room;

	if (!call->claim)
		return;
	room = OD_MAX_BODY_BYTES + 1 - call->kept->len;
	g_string_append_len(call->kept, data, (gssize)MIN(data_bytes, room));
}

/* From here on the call has its answer, and other attempts are cancelled. */
static void gw_begin_answer(struct gw_attempt *attempt,
			    const struct hc_head *head)
{
	struct gw_call *call = attempt->call;
	struct core_event event = { .kind = CORE_EV_ANSWER };

	call->answering = attempt;
	gw_keep_type(call, head);
	event.u.attempt.call = call->id;
	event.u.attempt.attempt = attempt->index;
	gw_post(call->gateway, &event);
	gw_start_answer(call, head);
}

static void gw_close_attempt(struct gw_attempt *attempt, enum hc_state state);
static void gw_post_ended(struct gw_attempt *attempt, enum core_end end);

/* Ends an attempt whose answer is of no use. */
static void gw_give_up(struct gw_attempt *attempt, enum core_end end)
{
	gw_close_attempt(attempt, HC_SENT);
	hc_cancel(&attempt->http);
	attempt->end = end;
	gw_log_attempt(attempt, "the answer is of no use");
	gw_post_ended(attempt, end);
}

static void gw_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;
	struct gw_gateway *gateway = call->gateway;

	attempt->status = head->status;
	attempt->refused = dl_is_not_run(gateway->dialect, head);
	gw_take_report(attempt, head);
	gw_take_draining(attempt, head);
	if (head->status == DL_OTHER_SERVER && attempt->refused)
		gw_take_other_server(attempt);
	if (attempt->refused)
		return;
	if (gw_is_forged(attempt, head))
		gw_give_up(attempt, CORE_END_NO_ANSWER);
	else if (head->status >= 500 &&
		 core_can_retry(&gateway->core, call->id))
		gw_give_up(attempt, CORE_END_FAILED);
	else if (gw_may_hold(attempt, head))
		gw_hold(attempt, head);
	else
		gw_begin_answer(attempt, head);
}

/* Passes on what was kept back; the rest follows as it arrives. */
static void gw_release_held(struct gw_attempt *attempt)
{
	struct gw_call *call = attempt->call;
	struct gw_held *held = attempt->held;

	gw_begin_answer(attempt, &held->head);
	if (call->answering == attempt && call->req)
		g_string_append_len(call->pending, held->body->str,
				    (gssize)held->body->len);
	gw_drop_held(attempt);
}

static void gw_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;

	if (attempt->held) {
		g_string_append_len(attempt->held->body, data,
				    (gssize)data_bytes);
		if (attempt->held->body->len > GW_HELD_BYTES)
			gw_release_held(attempt);
		return;
	}
	if (call->answering != attempt)
		return;
	gw_keep_body(call, data, data_bytes);
	if (!call->req)
		return;
	g_string_append_len(call->pending, data, (gssize)data_bytes);
}

/* A small answer that was received whole leaves in one write. */
static void gw_on_read_end(struct hc_request *request)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;

	if (call->answering != attempt || !call->req)
		return;
	gw_flush(call);
	if (call->pending->len > GW_BUFFER_HIGH_BYTES && !call->paused) {
		call->paused = true;
		hc_pause(request);
	}
}

static enum core_end gw_end(const struct gw_attempt *attempt, enum hc_end end)
{
	const struct at_row *row = at_row(at_state(end), attempt->refused);

	if (row->end == CORE_END_DONE && attempt->status >= 500)
		return CORE_END_DONE_ERROR;
	return row->end;
}

/* Remembers whether the call may have run; the core is told separately. */
static void gw_close_attempt(struct gw_attempt *attempt, enum hc_state state)
{
	if (attempt->ended)
		return;
	attempt->ended = true;
	if (at_may_have_run(at_row(state, attempt->refused)))
		attempt->call->may_have_run = true;
}

static void gw_post_ended(struct gw_attempt *attempt, enum core_end end)
{
	struct core_event event = { .kind = CORE_EV_ENDED };

	attempt->end = end;
	attempt->end_us = tm_now_us();
	event.u.ended.call = attempt->call->id;
	event.u.ended.attempt = attempt->index;
	event.u.ended.end = end;
	gw_post(attempt->call->gateway, &event);
}

static void gw_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;

	if (attempt->held && end == HC_COMPLETE)
		gw_release_held(attempt);
	gw_close_attempt(attempt, at_state(end));
	attempt->end = gw_end(attempt, end);
	/* Nothing of a held answer has reached the caller. */
	if (attempt->held)
		attempt->end = CORE_END_NO_ANSWER;
	if (attempt->end != CORE_END_DONE)
		gw_log_attempt(attempt, msg);
	gw_drop_held(attempt);
	gw_post_ended(attempt, attempt->end);
}

static const struct hc_handler gw_handler = {
	.sent = gw_on_sent,
	.accept = gw_accept,
	.head = gw_on_head,
	.body = gw_on_body,
	.read_end = gw_on_read_end,
	.done = gw_on_done,
};

/* Writes VALUE without a terminator and returns the number of digits. */
size_t gw_decimal(uint64_t value, char out[GW_DIGITS])
{
	char *end = out + GW_DIGITS;
	char *at = end;
	size_t bytes;

	do
		*--at = (char)('0' + value % 10);
	while (value /= 10);
	bytes = (size_t)(end - at);
	memmove(out, at, bytes);
	return bytes;
}

static void gw_add_header(GString *out, const char *name, const char *value,
			  size_t value_bytes)
{
	if (name)
		hc_head_add(out, name, strlen(name), value, value_bytes);
}

static GString *gw_request_text(struct gw_call *call, struct gw_server *server,
				bool report)
{
	const struct dl_dialect *dialect = call->gateway->dialect;
	uint64_t now_us = tm_now_us();
	uint64_t left_ms = 1;
	char text[GW_DIGITS];
	GString *out = g_string_sized_new(call->head->len +
					  (call->body ? call->body->len : 0) +
					  GW_ATTEMPT_HEAD_BYTES);

	if (call->deadline_us > now_us + GW_US_PER_MS)
		left_ms = (call->deadline_us - now_us) / GW_US_PER_MS;
	g_string_append_len(out, call->head->str, (gssize)call->head->len);
	gw_add_header(out, dialect->keep_host ? NULL : "host",
		      server->pool.address.text,
		      strlen(server->pool.address.text));
	gw_add_header(out, dialect->time_left_ms, text,
		      gw_decimal(left_ms, text));
	gw_add_header(out, dialect->expect_server, server->name,
		      strlen(server->name));
	if (report)
		gw_add_header(out, dialect->report_wanted, "1", 1);
	hc_head_end(out, call->body ? call->body->str : NULL,
		    call->body ? call->body->len : 0);
	return out;
}

/* Checked last before sending, whatever happened since admission. */
static bool gw_may_send(const struct gw_call *call)
{
	if (!at_may_send(call->idempotent, call->may_have_run))
		return false;
	if (call->claim && !od_may_send(call->claim))
		return false;
	return tm_now_us() < call->deadline_us;
}

void gw_send(struct gw_gateway *gateway, const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, action->server);
	struct gw_attempt *attempt = &call->attempts[action->attempt];

	ct_add(CT_ATTEMPTS, 1);
	ct_add(CT_RETRIES, action->attempt > 0 && !action->hedge);
	ct_add(CT_HEDGES, action->hedge);
	attempt->call = call;
	attempt->begin_us = tm_now_us();
	attempt->inputs = action->inputs;
	call->attempt_count = action->attempt + 1;
	attempt->index = action->attempt;
	attempt->server = action->server;
	attempt->http.handler = &gw_handler;
	attempt->http.head_method = call->head_method;
	attempt->http.not_after_us = call->deadline_us;
	attempt->http.may_end_with_close = gateway->dialect->signature != NULL;
	gw_log_send(attempt, action->hedge);
	/* A server may close an old idle connection at the same moment. */
	if (!call->idempotent)
		attempt->http.max_idle_us = GW_ORDER_IDLE_US;
	if (!gw_may_send(call) ||
	    !hc_start(&server->pool, &attempt->http,
		      gw_request_text(call, server, action->report))) {
		gw_close_attempt(attempt, HC_NEW);
		gw_post_ended(attempt, CORE_END_NOT_SENT);
	}
}

void gw_cancel(struct gw_gateway *gateway, const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);

	struct gw_attempt *attempt = &call->attempts[action->attempt];

	ct_add(CT_CANCELS, 1);
	gw_close_attempt(attempt, attempt->http.state);
	hc_cancel(&attempt->http);
	attempt->end = CORE_END_CANCELLED;
	attempt->end_us = tm_now_us();
	gw_drop_held(attempt);
}

void gw_probe(struct gw_gateway *gateway, const struct core_action *action)
{
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, action->server);
	struct pb_target target = {
		.server = action->server,
		.name = server->name,
		.path = server->probe_path,
		.cross_zone = gw_is_cross_zone(gateway, server),
		.pool = &server->pool,
	};

	pb_send(&gateway->prober, &target);
}
