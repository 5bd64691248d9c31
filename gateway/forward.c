#include "gateway/forward.h"

#include <string.h>

#include "base/counter.h"
#include "core/outcome.h"

enum {
	/* Hosts that are tried for a call, and of these that cannot be reached. */
	GW_MAX_FORWARDS = 8,
	GW_MAX_LOST = 3,
	/* For the other host's answer to come before the deadline here. */
	GW_FORWARD_MARGIN_US = 10 * 1000
};

/* A call on its way to another host. */
struct gw_forward {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_call *call;
	struct gw_peer *peer;
	uint32_t tries;
	uint32_t lost; /* of these, hosts that could not be reached */
	uint32_t granted; /* servers that the other host may send it to */
	uint32_t used; /* those that lost hosts may have sent it to */
	bool misread; /* by earlier builds, as a message */
	bool wrapped; /* as it was sent */
	struct gw_host_answer answer;
	GList link; /* in gw_gateway.forwards */
};

static void gw_add_field(const struct gw_forward *forward, GString *out,
			 const char *name, const char *value,
			 size_t value_bytes)
{
	if (forward->wrapped)
		hm_add_field(out, name, value, value_bytes);
	else
		hc_head_add(out, name, strlen(name), value, value_bytes);
}

static void gw_add_number(const struct gw_forward *forward, GString *out,
			  const char *name, uint64_t value)
{
	char text[GW_DIGITS];

	gw_add_field(forward, out, name, text, gw_format_decimal(value, text));
}

static void gw_add_revision(const struct gw_forward *forward, GString *out)
{
	const struct ps_position *revision = &forward->call->revision;
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
				     revision->era, revision->version);

	gw_add_field(forward, out, GW_REVISION, text, strlen(text));
	g_free(text);
}

/* The head of the call, with the time that the other host has for it. */
static GString *gw_copy_call_head(const struct gw_call *call, uint64_t now_us)
{
	uint64_t end_us = call->deadline_us - GW_FORWARD_MARGIN_US;
	uint64_t left_ms = (end_us - MIN(end_us, now_us)) / GW_US_PER_MS;
	const char *name = call->gateway->dialect->time_left_ms;
	GString *head = g_string_new_len(call->request_head->str,
					 (gssize)call->request_head->len);
	char text[GW_DIGITS];

	hc_head_add(head, name, strlen(name), text,
		    gw_format_decimal(MAX(left_ms, 1), text));
	return head;
}

/* NULL: the call cannot be passed on, its head has too many lines. */
static GString *gw_format_forward(const struct gw_forward *forward)
{
	const struct gw_call *call = forward->call;
	const char *host = call->gateway->settings->host;
	uint64_t now_us = tm_now_us();
	uint64_t waited_us = call->waited_us + now_us - call->begin_us;
	GString *out = gw_copy_call_head(call, now_us);

	if (forward->wrapped) {
		GString *head = out;

		out = hm_wrap_call(head, forward->peer->pool.address.text);
		g_string_free(head, TRUE);
		if (!out)
			return NULL;
	}
	gw_add_field(forward, out, HM_FROM_HOST, host, strlen(host));
	gw_add_number(forward, out, GW_WAITED, waited_us / GW_US_PER_MS);
	gw_add_number(forward, out, GW_ATTEMPTS,
		      call->max_attempts - forward->granted);
	gw_add_revision(forward, out);
	if (call->customer)
		gw_add_field(forward, out, GW_CUSTOMER, call->customer,
			     strlen(call->customer));
	hc_head_end_apart(out, call->request_body.base,
			  call->request_body.bytes);
	return out;
}

/* The last step of a call that was forwarded. */
static void gw_end_forward(struct gw_forward *forward, enum st_kind result)
{
	struct gw_call *call = forward->call;

	g_queue_unlink(&call->gateway->forwards, &forward->link);
	call->forward = NULL;
	g_free(forward);
	gw_complete_call(call, result);
}

/*
 * How many servers the next host may send the call to; 0: the call has used up what its
 * route allows. What a host that is lost has done is not known, so all that it was
 * granted counts as used. Of three and more, one is kept for that case; of two, both
 * serve the call better at the other host.
 */
static uint32_t gw_next_grant(const struct gw_forward *forward)
{
	const struct gw_call *call = forward->call;
	uint32_t left =
		call->max_attempts - MIN(forward->used, call->max_attempts);

	return call->idempotent && left > 2 ? left - 1 : left;
}

static bool gw_start_forward(struct gw_forward *forward)
{
	struct gw_call *call = forward->call;
	struct gw_peer *peer = gw_pick_peer(call->gateway, !forward->misread);
	GString *out;

	gw_watch_peers(call->gateway);
	forward->granted = gw_next_grant(forward);
	if (!peer || forward->tries == GW_MAX_FORWARDS ||
	    forward->lost == GW_MAX_LOST || !forward->granted)
		return false;
	forward->tries++;
	forward->answer.source = GW_UNANSWERED;
	forward->peer = peer;
	forward->wrapped = !peer->earlier;
	out = gw_format_forward(forward);
	if (!out)
		return false;
	tx_unref(call->forwarded_to);
	call->forwarded_to = tx_ref(peer->name);
	gw_log_forward(call, forward->tries);
	if (!hc_start(&peer->pool, &forward->http, out)) {
		forward->lost++;
		gw_peer_was_lost(peer);
		return gw_start_forward(forward);
	}
	peer->in_flight++;
	return true;
}

static void gw_forward_to_next(struct gw_forward *forward)
{
	struct gw_call *call = forward->call;

	if (gw_caller_left(call))
		gw_end_forward(forward, ST_CALLER_LEFT);
	else if (gw_has_lost_key(call))
		gw_end_forward(forward, ST_UNAUTHORIZED);
	else if (tm_now_us() + GW_FORWARD_MARGIN_US >= call->deadline_us ||
		 !gw_start_forward(forward))
		gw_end_forward(forward, ST_NO_SERVER);
}

/* Asked again once there is a connection. */
static bool gw_is_wanted(const struct gw_call *call)
{
	return !gw_caller_left(call) && tm_now_us() < call->deadline_us;
}

static bool gw_on_forward_connected(struct hc_request *request)
{
	return gw_is_wanted(((struct gw_forward *)request)->call);
}

static void gw_stop_forward(struct gw_forward *forward, enum st_kind result);

/* A host of an earlier build passes on what this one does not. */
static void gw_withhold_forwarded(struct gw_forward *forward, int status)
{
	gw_note_unproven(forward->call, status);
	gw_peer_took(forward->peer);
	gw_stop_forward(forward, ST_UNPROVEN);
}

static void gw_on_forward_head(struct hc_request *request,
			       const struct hc_head *head)
{
	struct gw_forward *forward = (struct gw_forward *)request;
	struct gw_call *call = forward->call;

	forward->answer = gw_read_host_answer(call->gateway->dialect, head,
					      call->call_id, forward->wrapped);
	if (forward->answer.source != GW_BY_SERVER)
		return;
	if (oc_judge_answer(head->status, false, call->idempotent) ==
	    OC_UNPROVEN) {
		gw_withhold_forwarded(forward, head->status);
		return;
	}
	call->answer_status = head->status;
	gw_copy_head(call, head);
}

static void gw_on_forward_body(struct hc_request *request, const char *data,
			       size_t data_bytes)
{
	struct gw_forward *forward = (struct gw_forward *)request;
	struct gw_call *call = forward->call;

	if (forward->answer.source == GW_BY_SERVER && call->req)
		g_string_append_len(call->unsent, data, (gssize)data_bytes);
}

static void gw_on_forward_read(struct hc_request *request)
{
	gw_flush_read(((struct gw_forward *)request)->call, request);
}

/* Whether servers have run the call is not known. */
static void gw_forward_was_lost(struct gw_forward *forward)
{
	struct gw_call *call = forward->call;

	call->may_have_run = true;
	forward->used += forward->granted;
	if (call->idempotent)
		gw_forward_to_next(forward);
	else
		gw_end_forward(forward, ST_UNKNOWN);
}

static void gw_end_refused(struct gw_forward *forward)
{
	const struct gw_host_answer *answer = &forward->answer;

	if (answer->retry_us)
		forward->call->retry_at_us = tm_now_us() + answer->retry_us;
	gw_end_forward(forward, answer->kind);
}

/* The call was sent. What came back, if anything did, ended as END tells. */
static void gw_on_host_answer(struct gw_forward *forward, enum hc_end end)
{
	struct gw_peer *peer = forward->peer;

	switch (forward->answer.source) {
	case GW_UNANSWERED:
		gw_peer_broke_off(peer);
		gw_forward_was_lost(forward);
		break;
	case GW_BY_SERVER:
		gw_peer_took(peer);
		gw_end_forward(forward, end == HC_COMPLETE ? ST_OK : ST_BROKEN);
		break;
	case GW_BY_HOST:
		gw_peer_took(peer);
		gw_end_refused(forward);
		break;
	case GW_BY_UNABLE:
		gw_peer_was_unable(peer);
		gw_forward_to_next(forward);
		break;
	case GW_BY_EARLIER:
		gw_peer_is_earlier(peer);
		forward->tries--;
		gw_forward_to_next(forward);
		break;
	case GW_BY_STRANGER:
		gw_peer_is_stranger(peer);
		gw_forward_was_lost(forward);
		break;
	}
}

static void gw_on_forward_done(struct hc_request *request, enum hc_end end,
			       const char *msg)
{
	struct gw_forward *forward = (struct gw_forward *)request;
	struct gw_call *call = forward->call;

	forward->peer->in_flight--;
	if (end != HC_NOT_SENT) {
		gw_on_host_answer(forward, end);
		return;
	}
	if (gw_is_wanted(call)) {
		forward->lost++;
		gw_peer_was_lost(forward->peer);
	}
	gw_forward_to_next(forward);
}

static const struct hc_handler gw_forward_handler = {
	.may_send = gw_on_forward_connected,
	.head = gw_on_forward_head,
	.body = gw_on_forward_body,
	.read_end = gw_on_forward_read,
	.done = gw_on_forward_done,
};

/* The host that has the call does not answer. */
static void gw_leave_peer(struct gw_forward *forward, bool end)
{
	struct gw_call *call = forward->call;
	bool sent = forward->http.state >= HC_SENT;
	uint32_t used = forward->used + (sent ? forward->granted : 0);

	if (!call->idempotent || call->head_copied ||
	    (used >= call->max_attempts && !end))
		return;
	forward->peer->in_flight--;
	hc_cancel(&forward->http);
	forward->used = used;
	call->may_have_run |= sent;
	gw_forward_to_next(forward);
}

void gw_leave_silent_peer(struct gw_peer *peer, bool end)
{
	GList *next;

	for (GList *l = peer->gateway->forwards.head; l; l = next) {
		struct gw_forward *forward = l->data;

		next = l->next;
		if (forward->peer == peer)
			gw_leave_peer(forward, end);
	}
}

/* Ends the call while its request to the other host may be in progress. */
static void gw_stop_forward(struct gw_forward *forward, enum st_kind result)
{
	if (forward->http.state >= HC_SENT)
		forward->call->may_have_run = true;
	forward->peer->in_flight--;
	hc_cancel(&forward->http);
	gw_end_forward(forward, result);
}

void gw_expire_forward(struct gw_call *call)
{
	gw_stop_forward(call->forward,
			call->head_copied ? ST_BROKEN : ST_DEADLINE_NOT_RUN);
}

static void gw_on_forward_deadline(void *ctx)
{
	gw_expire_forward(ctx);
}

void gw_leave_forward(struct gw_call *call)
{
	if (call->idempotent || call->forward->http.state < HC_SENT)
		gw_stop_forward(call->forward, ST_CALLER_LEFT);
}

bool gw_forward_call(struct gw_call *call)
{
	struct gw_gateway *gateway = call->gateway;
	struct gw_forward *forward;

	if (call->from_host || call->claim || gw_caller_left(call) ||
	    tm_now_us() + GW_FORWARD_MARGIN_US >= call->deadline_us)
		return false;
	forward = g_new0(struct gw_forward, 1);
	forward->call = call;
	forward->misread = hm_is_message_of_earlier(call->req->path.base,
						    call->req->path.len);
	forward->http.handler = &gw_forward_handler;
	forward->http.head_method = call->head_method;
	forward->http.body = call->request_body.base;
	forward->http.body_bytes = call->request_body.bytes;
	forward->http.max_read_bytes = gw_buffer_bytes(gateway);
	forward->http.max_idle_us =
		call->idempotent ? 0 : GW_NON_IDEMPOTENT_IDLE_US;
	if (!gw_start_forward(forward)) {
		g_free(forward);
		return false;
	}
	ct_add(CT_FORWARDED, 1);
	call->forward = forward;
	forward->link.data = forward;
	g_queue_push_tail_link(&gateway->forwards, &forward->link);
	call->timer.fire = gw_on_forward_deadline;
	tm_subscribe(gateway->timers, &call->timer, call->deadline_us);
	return true;
}

struct hc_request *gw_forward_request(struct gw_call *call)
{
	return call->forward ? &call->forward->http : NULL;
}

bool gw_forward_refused(struct gw_call *call, enum st_kind result)
{
	bool no_way = result == ST_QUEUE_FULL || result == ST_NO_SERVER ||
		      result == ST_CONNECT ||
		      (result == ST_DEADLINE_NOT_RUN && call->forward_refused);

	return no_way && !call->key_removed && !call->may_have_run &&
	       gw_reaches_badly(call->gateway) && gw_forward_call(call);
}

void gw_forward_waiting_calls(struct gw_gateway *gateway)
{
	GList *calls = g_hash_table_get_values(gateway->calls);

	for (GList *l = calls; l; l = l->next) {
		struct gw_call *call = l->data;
		const struct gw_attempt *last =
			call->attempt_count ?
				&call->attempts[call->attempt_count - 1] :
				NULL;

		if (call->may_have_run || (last && !last->end_us))
			continue;
		call->forward_refused = true;
		gw_expire_call(call);
	}
	g_list_free(calls);
}

void gw_check_forward_callers(struct gw_gateway *gateway)
{
	GList *next;

	for (GList *l = gateway->forwards.head; l; l = next) {
		struct gw_forward *forward = l->data;

		next = l->next;
		if (gw_caller_left(forward->call))
			gw_post_gone(forward->call);
	}
}

void gw_end_forwards(struct gw_gateway *gateway)
{
	struct gw_forward *forward;

	while ((forward = g_queue_peek_head(&gateway->forwards)))
		gw_expire_forward(forward->call);
}
