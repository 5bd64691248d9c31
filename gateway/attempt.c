#include "gateway/state.h"

#include <string.h>

#include "gateway/attempt_state.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/mechanism.h"
#include "core/outcome.h"

enum {
	GW_ATTEMPT_HEAD_BYTES = 160,
	/* A connection is closed rather than read on for a longer refusal. */
	GW_MAX_REFUSAL_BYTES = 64 * 1024
};

static bool gw_is_cross_zone(const struct gw_gateway *gateway,
			     const struct gw_server *server)
{
	return strcmp(gateway->document->zones[server->zone],
		      gateway->settings->zone) != 0;
}

static void gw_post_report(struct gw_attempt *attempt,
			   const struct hc_head *head)
{
	struct gw_gateway *gateway = attempt->call->gateway;
	const struct dl_dialect *dialect = gateway->dialect;
	const struct hc_header *load = dl_find_header(head, dialect->report);
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
	dialect->parse_report(load, &event);
	gw_post_event(gateway, &event);
}

static void gw_read_rate_limit(struct gw_attempt *attempt,
			       const struct hc_head *head)
{
	struct gw_gateway *gateway = attempt->call->gateway;
	struct core_event event;

	dl_parse_rate_limit(gateway->dialect, head, &event);
	event.u.rate_limit.server = attempt->server;
	event.u.rate_limit.source = CORE_FROM_ANSWER;
	gw_post_rate_limit(gateway, &event);
}

static void gw_post_leaving_notice(struct gw_attempt *attempt,
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

	if (!dl_find_header(head, gateway->dialect->draining) ||
	    !me_on(ME_LEAVING))
		return;
	event.u.server.server = attempt->server;
	event.u.server.source = dl_leaving_source(gateway->dialect);
	event.u.server.leaving = true;
	gw_post_event(gateway, &event);
	g_strlcpy(msg.server, server->name, sizeof(msg.server));
	kn_send(gateway->kernel, "peer", &msg.msg);
}

static void gw_read_pause(struct gw_attempt *attempt,
			  const struct hc_head *head)
{
	struct core_event event;

	if (!dl_parse_pause(head, &event))
		return;
	event.u.pause.server = attempt->server;
	event.u.pause.source = CORE_FROM_ANSWER;
	gw_post_pause(attempt->call->gateway, &event);
}

/* What the server of the attempt says of itself, whatever its answer. */
static void gw_read_notices(struct gw_attempt *attempt,
			    const struct hc_head *head)
{
	gw_post_leaving_notice(attempt, head);
	gw_read_rate_limit(attempt, head);
	gw_read_pause(attempt, head);
}

static void gw_on_sent(struct hc_request *request)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct core_event event = { .kind = CORE_EV_SENT };

	event.u.attempt.call = attempt->call->id;
	event.u.attempt.attempt = attempt->index;
	gw_post_event(attempt->call->gateway, &event);
}

/*
 * Whether the answer is to this call. One with another call id is the late
 * answer to an earlier call on the same connection.
 */
static bool gw_is_answer_to_call(struct hc_request *request,
				 const struct hc_head *head)
{
	const struct gw_attempt *attempt = (struct gw_attempt *)request;
	const struct gw_call *call = attempt->call;
	const struct hc_header *id =
		dl_find_header(head, call->gateway->dialect->call_id);

	return !id || !call->call_id || hc_value_is(id, call->call_id);
}

/* Posts a leaving notice: another server has this server's address now. */
static void gw_post_server_replaced(struct gw_attempt *attempt)
{
	struct core_event event = { .kind = CORE_EV_SERVER };

	event.u.server.server = attempt->server;
	event.u.server.source = CORE_LEAVING_IN_ANSWER;
	event.u.server.leaving = true;
	gw_post_event(attempt->call->gateway, &event);
}

void gw_free_buffered(struct gw_attempt *attempt)
{
	struct gw_buffered_answer *buffered = attempt->buffered;

	if (!buffered)
		return;
	attempt->buffered = NULL;
	g_string_free(buffered->header_text, TRUE);
	g_string_free(buffered->body, TRUE);
	g_free(buffered->headers);
	g_free(buffered);
}

/* Copies the head; HEADER_TEXT holds all names and values in their order. */
static void gw_buffer_head(struct gw_attempt *attempt,
			   const struct hc_head *head)
{
	struct gw_buffered_answer *buffered =
		g_new0(struct gw_buffered_answer, 1);
	const char *at;

	buffered->header_text = g_string_new(NULL);
	buffered->body = g_string_new(NULL);
	buffered->head = *head;
	buffered->headers = g_new0(struct hc_header, head->header_count + 1);
	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];

		buffered->headers[i] = *h;
		g_string_append_len(buffered->header_text, h->name,
				    (gssize)h->name_bytes);
		g_string_append_len(buffered->header_text, h->value,
				    (gssize)h->value_bytes);
	}
	at = buffered->header_text->str;
	for (uint32_t i = 0; i < head->header_count; i++) {
		buffered->headers[i].name = at;
		at += buffered->headers[i].name_bytes;
		buffered->headers[i].value = at;
		at += buffered->headers[i].value_bytes;
	}
	buffered->head.headers = buffered->headers;
	attempt->buffered = buffered;
}

/*
 * A small answer to an idempotent call is buffered until it is complete. If it
 * breaks off, the call can still be retried at another server.
 */
static bool gw_may_buffer(const struct gw_attempt *attempt,
			  const struct hc_head *head)
{
	const struct gw_call *call = attempt->call;

	return call->gateway->dialect->signature && call->idempotent &&
	       !call->head_method &&
	       (head->content_length == UINT64_MAX ||
		head->content_length <= gw_buffer_bytes(call->gateway));
}

static void gw_store_type(struct gw_call *call, const struct hc_head *head)
{
	const struct hc_header *type = hc_find_header(head, "content-type");

	if (call->claim && type)
		call->stored_type = g_strndup(type->value, type->value_bytes);
}

/* Stores up to one byte more than the limit, which marks a body too large. */
static void gw_store_body(struct gw_call *call, const char *data,
			  size_t data_bytes)
{
	size_t room;

	if (!call->claim)
		return;
	room = OD_MAX_BODY_BYTES + 1 - call->stored_body->len;
	g_string_append_len(call->stored_body, data,
			    (gssize)MIN(data_bytes, room));
}

/* Selects the answer of the call; the core cancels the other attempts. */
static void gw_select_answer(struct gw_attempt *attempt,
			     const struct hc_head *head)
{
	struct gw_call *call = attempt->call;
	struct core_event event = { .kind = CORE_EV_ANSWER };

	call->answer_attempt = attempt;
	call->answer_status = head->status;
	gw_store_type(call, head);
	event.u.attempt.call = call->id;
	event.u.attempt.attempt = attempt->index;
	gw_post_event(call->gateway, &event);
	gw_copy_head(call, head);
}

static void gw_close_attempt(struct gw_attempt *attempt, enum hc_state state);
static void gw_post_ended(struct gw_attempt *attempt, enum core_end end);

/*
 * Ends an attempt whose answer is not passed to the caller, and closes its
 * connection. STATE is the one to judge by whether the request may have run.
 */
static void gw_discard_answer(struct gw_attempt *attempt, enum hc_state state,
			      enum core_end end, const char *msg)
{
	gw_close_attempt(attempt, state);
	hc_cancel(&attempt->http);
	attempt->end = end;
	gw_log_attempt_end(attempt, msg);
	gw_post_ended(attempt, end);
}

static const char gw_discarded_msg[] =
	"answer discarded: unsigned, or an error to be retried";
static const char gw_unproven_msg[] =
	"answer not passed on: its status would tell the caller that the call "
	"was not run, which the server did not state";

static enum core_end gw_end_of_answer(int status)
{
	return status >= 500 ? CORE_END_DONE_ERROR : CORE_END_DONE;
}

/* The core learns of the server's answer, and the caller gets an error instead. */
static void gw_withhold_answer(struct gw_attempt *attempt)
{
	enum core_end end = gw_end_of_answer(attempt->status);

	gw_note_unproven(attempt->call, attempt->status);
	if (end == CORE_END_DONE)
		gw_on_good_answer(attempt->call);
	gw_discard_answer(attempt, HC_SENT, end, gw_unproven_msg);
}

static void gw_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;
	struct gw_gateway *gateway = call->gateway;
	const struct gw_server *server =
		g_ptr_array_index(gateway->servers, attempt->server);
	enum oc_verdict verdict;

	attempt->status = head->status;
	if (!dl_is_of_server(gateway->dialect, head, call->call_id)) {
		gw_discard_answer(attempt, HC_SENT, CORE_END_NO_ANSWER,
				  gw_discarded_msg);
		return;
	}
	attempt->refused = dl_is_not_run(gateway->dialect, head, server->name);
	/* If it were sent once more, it would look like the next answer. */
	request->close_after = attempt->refused;
	gw_post_report(attempt, head);
	if (dl_is_misdirected(gateway->dialect, head, server->name))
		gw_post_server_replaced(attempt);
	else
		gw_read_notices(attempt, head);
	verdict = oc_judge_answer(head->status, attempt->refused,
				  call->idempotent);
	if (verdict == OC_REFUSED)
		return;
	if (verdict == OC_UNPROVEN)
		gw_withhold_answer(attempt);
	else if (head->status >= 500 &&
		 core_can_retry(&gateway->core, call->id))
		gw_discard_answer(attempt, HC_SENT, CORE_END_FAILED,
				  gw_discarded_msg);
	else if (gw_may_buffer(attempt, head))
		gw_buffer_head(attempt, head);
	else
		gw_select_answer(attempt, head);
}

/* Forwards the buffered part of an answer; the rest follows as it arrives. */
static void gw_forward_buffered(struct gw_attempt *attempt)
{
	struct gw_call *call = attempt->call;
	struct gw_buffered_answer *buffered = attempt->buffered;

	gw_select_answer(attempt, &buffered->head);
	if (call->answer_attempt == attempt && call->req)
		g_string_append_len(call->unsent, buffered->body->str,
				    (gssize)buffered->body->len);
	gw_free_buffered(attempt);
}

/* The head has said all; a body without end must not hold up the call. */
static void gw_skip_refusal_body(struct gw_attempt *attempt, size_t data_bytes)
{
	attempt->refusal_bytes += data_bytes;
	if (attempt->refusal_bytes > GW_MAX_REFUSAL_BYTES)
		gw_discard_answer(attempt, HC_DONE, CORE_END_REFUSED,
				  "the refusal is too long");
}

static void gw_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;

	if (attempt->refused) {
		gw_skip_refusal_body(attempt, data_bytes);
		return;
	}
	if (attempt->buffered) {
		g_string_append_len(attempt->buffered->body, data,
				    (gssize)data_bytes);
		if (attempt->buffered->body->len >
		    gw_buffer_bytes(call->gateway))
			gw_forward_buffered(attempt);
		return;
	}
	if (call->answer_attempt != attempt)
		return;
	gw_store_body(call, data, data_bytes);
	if (!call->req)
		return;
	g_string_append_len(call->unsent, data, (gssize)data_bytes);
}

/* Flushes after each read, so that a small answer takes a single write. */
static void gw_on_read_end(struct hc_request *request)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;

	if (call->answer_attempt == attempt)
		gw_flush_read(call, request);
}

static enum core_end gw_core_end(const struct gw_attempt *attempt,
				 enum hc_end end)
{
	const struct at_row *row =
		at_find_row(at_end_state(end), attempt->refused);

	return row->end == CORE_END_DONE ? gw_end_of_answer(attempt->status) :
					   row->end;
}

/* Records whether the call may have run. Does not post the end to the core. */
static void gw_close_attempt(struct gw_attempt *attempt, enum hc_state state)
{
	if (attempt->ended)
		return;
	attempt->ended = true;
	if (at_may_have_run(at_find_row(state, attempt->refused)))
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
	gw_post_event(attempt->call->gateway, &event);
}

static void gw_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;

	if (attempt->buffered && end == HC_COMPLETE)
		gw_forward_buffered(attempt);
	gw_close_attempt(attempt, at_end_state(end));
	attempt->end = gw_core_end(attempt, end);
	/* No byte of a buffered answer has reached the caller. */
	if (attempt->buffered)
		attempt->end = CORE_END_NO_ANSWER;
	if (attempt->end == CORE_END_NO_ANSWER)
		attempt->call->connection_lost = true;
	if (attempt->end != CORE_END_DONE)
		gw_log_attempt_end(attempt, msg);
	gw_free_buffered(attempt);
	if (end == HC_NO_ANSWER || end == HC_BROKEN)
		gw_on_connection_lost(attempt);
	else if (attempt->end == CORE_END_DONE)
		gw_on_good_answer(attempt->call);
	gw_post_ended(attempt, attempt->end);
}

/*
 * Whether the call would go to a server although none is heard. Policy "ask" has asked
 * some for their load before, in vain; the others learn by their calls.
 */
static bool gw_is_blind(const struct gw_call *call)
{
	struct gw_gateway *gateway = call->gateway;
	const struct core_service *service =
		core_service(&gateway->core, call->service);

	return service->policy == CORE_POLICY_ASK && gw_is_cut_off(gateway);
}

/* Refuses the call, or passes it on, unless it has been sent before. */
static void gw_give_up_unsent(struct gw_call *call)
{
	if (call->may_have_run || call->attempt_count > 1)
		return;
	call->forward_refused = true;
	gw_expire_call(call);
}

/* Ends the call unless another attempt runs, which may still be answered. */
static void gw_give_up_revoked(const struct gw_attempt *attempt)
{
	struct gw_call *call = attempt->call;

	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (i != attempt->index && !call->attempts[i].end_us)
			return;
	gw_expire_call(call);
}

/*
 * Last check before sending; things may have changed since the admission. While
 * the host was slow or stopped, a request may have been read, or a connection
 * established, only after the caller had left.
 */
static bool gw_may_send(struct hc_request *request)
{
	struct gw_call *call = ((struct gw_attempt *)request)->call;

	if (gw_caller_left(call)) {
		gw_post_gone(call);
		return false;
	}
	if (gw_is_blocked(call)) {
		gw_post_blocked(call);
		return false;
	}
	if (gw_has_lost_key(call)) {
		gw_give_up_revoked((struct gw_attempt *)request);
		return false;
	}
	if (gw_is_blind(call)) {
		gw_give_up_unsent(call);
		return false;
	}
	if (!at_may_send(call->idempotent, call->may_have_run))
		return false;
	if (call->claim && !od_may_send(call->claim))
		return false;
	return tm_now_us() < call->deadline_us;
}

static const struct hc_handler gw_http_handler = {
	.may_send = gw_may_send,
	.sent = gw_on_sent,
	.accept = gw_is_answer_to_call,
	.head = gw_on_head,
	.body = gw_on_body,
	.read_end = gw_on_read_end,
	.done = gw_on_done,
};

size_t gw_format_decimal(uint64_t value, char out[GW_DIGITS])
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

static GString *gw_format_request(struct gw_call *call,
				  struct gw_server *server, bool report)
{
	const struct dl_dialect *dialect = call->gateway->dialect;
	uint64_t now_us = tm_now_us();
	uint64_t left_ms = 1;
	char text[GW_DIGITS];
	GString *out = g_string_sized_new(call->request_head->len +
					  GW_ATTEMPT_HEAD_BYTES);

	if (call->deadline_us > now_us + GW_US_PER_MS)
		left_ms = (call->deadline_us - now_us) / GW_US_PER_MS;
	g_string_append_len(out, call->request_head->str,
			    (gssize)call->request_head->len);
	gw_add_header(out, dialect->keep_host ? NULL : "host",
		      server->pool.address.text,
		      strlen(server->pool.address.text));
	gw_add_header(out, dialect->time_left_ms, text,
		      gw_format_decimal(left_ms, text));
	gw_add_header(out, dialect->expect_server, server->name,
		      strlen(server->name));
	if (call->customer)
		gw_add_header(out, dialect->customer, call->customer,
			      strlen(call->customer));
	if (report)
		gw_add_header(out, dialect->report_wanted, "1", 1);
	hc_head_end_apart(out, call->request_body.base,
			  call->request_body.bytes);
	return out;
}

static void gw_end_unsent(struct gw_attempt *attempt)
{
	gw_close_attempt(attempt, HC_NEW);
	gw_post_ended(attempt, CORE_END_NOT_SENT);
}

void gw_start_attempt(struct gw_gateway *gateway,
		      const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, action->server);
	struct gw_attempt *attempt = &call->attempts[action->attempt];

	attempt->call = call;
	attempt->begin_us = tm_now_us();
	attempt->inputs = action->inputs;
	call->attempt_count = action->attempt + 1;
	attempt->index = action->attempt;
	attempt->server = action->server;
	attempt->http.handler = &gw_http_handler;
	attempt->http.head_method = call->head_method;
	attempt->http.body = call->request_body.base;
	attempt->http.body_bytes = call->request_body.bytes;
	attempt->http.max_read_bytes = gw_buffer_bytes(gateway);
	attempt->http.may_end_with_close = gateway->dialect->signature != NULL;
	/*
	 * A server may close a long idle connection just as the request is
	 * sent, and a non-idempotent call could not be retried.
	 */
	if (!call->idempotent)
		attempt->http.max_idle_us = GW_NON_IDEMPOTENT_IDLE_US;
	/* Other idle connections may be as bad as the one that was lost. */
	attempt->http.new_connection = call->connection_lost;
	if (!gw_may_send(&attempt->http)) {
		gw_end_unsent(attempt);
		return;
	}
	ct_add(CT_ATTEMPTS, 1);
	ct_add(CT_RETRIES, action->attempt > 0 && !action->hedge);
	ct_add(CT_HEDGES, action->hedge);
	ct_add(CT_LIMITED_ATTEMPTS, server->rate_limited);
	ct_add(CT_COLD_ATTEMPTS,
	       core_is_cold(&gateway->core,
			    core_server(&gateway->core, server->id)));
	gw_log_attempt_start(attempt, action->hedge);
	if (!hc_start(&server->pool, &attempt->http,
		      gw_format_request(call, server, action->report)))
		gw_end_unsent(attempt);
}

void gw_cancel_attempt(struct gw_gateway *gateway,
		       const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);

	struct gw_attempt *attempt = &call->attempts[action->attempt];

	ct_add(CT_CANCELS, 1);
	gw_close_attempt(attempt, attempt->http.state);
	hc_cancel(&attempt->http);
	attempt->end = CORE_END_CANCELLED;
	attempt->end_us = tm_now_us();
	gw_free_buffered(attempt);
}

void gw_start_probe(struct gw_gateway *gateway,
		    const struct core_action *action)
{
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, action->server);
	struct pb_target target = {
		.server = action->server,
		.expected_id = server->name,
		.path = server->probe_path,
		.cross_zone = gw_is_cross_zone(gateway, server),
		.pool = &server->pool,
	};

	pb_send_probe(&gateway->prober, &target);
}
