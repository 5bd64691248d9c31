#include "gateway.h"

#include <string.h>

#include "attempt.h"
#include "counter.h"
#include "httpc.h"
#include "log.h"
#include "mechanism.h"
#include "peer.h"

enum {
	GW_BUFFER_HIGH_BYTES = 256 * 1024,
	GW_BUFFER_LOW_BYTES = 64 * 1024,
	GW_SWEEP_US = 20 * 1000,
	/* A lost first packet is only repeated after a second. */
	GW_CONNECT_TIMEOUT_US = 200 * 1000,
	GW_ORDER_IDLE_US = 1000 * 1000,
	/* To take what is left of an answer or an error at the deadline. */
	GW_TAKE_US = 500 * 1000,
	GW_US_PER_MS = 1000,
	GW_REQUEST_ID_BYTES = 128,
	GW_HEAD_BYTES = 512,
	GW_ATTEMPT_HEAD_BYTES = 160,
	GW_DIGITS = 20
};

/* An upstream server with its connections. */
struct gw_server {
	char name[DOC_NAME_BYTES];
	uint32_t id;
	uint32_t zone;
	struct hc_pool pool;
};

/* A live entry host. */
struct gw_host {
	uint64_t hash;
	char zone[DOC_NAME_BYTES];
	bool draining;
};

struct gw_attempt {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_call *call;
	uint32_t index;
	uint32_t server;
	int status;
	bool refused;
	bool ended;
};

/*
 * A call lives until the core has finished it and the listener has dropped
 * its request, in either order.
 */
struct gw_call {
	h2o_generator_t generator; /* first: callbacks cast back */
	struct gw_gateway *gateway;
	uint64_t id;
	char request_id[GW_REQUEST_ID_BYTES];
	h2o_req_t *req; /* NULL once the listener has dropped it */
	bool head_method;
	GString *head; /* of the request, without what differs per attempt */
	GString *body;
	uint64_t deadline_us;
	uint32_t service; /* core id */
	bool idempotent;
	bool may_have_run; /* one of the ended attempts */
	struct od_claim *claim; /* of an order that was claimed */
	GString *kept; /* answer to be kept with the claim */
	char *kept_type;
	struct tm_sub timer;
	struct gw_attempt attempts[CORE_MAX_ATTEMPTS];
	struct gw_attempt *answering;
	GString *pending; /* answer bytes not yet given to the listener */
	GString *sending; /* owned by the listener until it proceeds */
	uint32_t refs; /* one of the core, one of the listener */
	bool started;
	bool in_send;
	bool finished;
	bool final_sent;
	bool paused;
	enum st_kind result;
};

/* Lets the pool of a request tell its call that the request is gone. */
struct gw_link {
	struct gw_call *call;
};

static void gw_call_unref(struct gw_call *call);

static void gw_post(struct gw_gateway *gateway, struct core_event *event)
{
	event->now_us = tm_now_us();
	g_array_append_val(gateway->events, *event);
	if (gateway->handling)
		return;
	gateway->handling = true;
	for (guint i = 0; i < gateway->events->len; i++) {
		struct core_event next =
			g_array_index(gateway->events, struct core_event, i);

		tr_event(&gateway->trace, &next);
		core_handle(&gateway->core, &next);
		tr_end(&gateway->trace);
	}
	g_array_set_size(gateway->events, 0);
	gateway->handling = false;
}

static uint32_t gw_random(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	uint32_t value = g_rand_int(gateway->random);

	tr_random(&gateway->trace, value);
	return value;
}

/* Answers towards the caller */

static void gw_add_outcome(struct gw_call *call, enum st_kind kind)
{
	const char *outcome = at_outcome(kind);

	hd_add_header(call->req, "x-request-id", call->request_id,
		      strlen(call->request_id));
	hd_add_header(call->req, "x-request-outcome", outcome, strlen(outcome));
}

/* MSG may be NULL. */
static void gw_reply_error(struct gw_call *call, enum st_kind kind,
			   const char *msg)
{
	struct st_status status;

	if (!msg)
		msg = st_not_run(kind) ? "the request was not run" :
					 "the request may have run";
	st_set(&status, kind, "request %s: %s", call->request_id, msg);
	gw_add_outcome(call, kind);
	call->final_sent = true;
	hd_reply_status(call->req, &status);
}

#define GW_HOP_HEADERS(X)      \
	X("connection")        \
	X("keep-alive")        \
	X("proxy-connection")  \
	X("transfer-encoding") \
	X("content-length")    \
	X("te")                \
	X("trailer")           \
	X("upgrade")           \
	X("x-load")            \
	X("x-draining")        \
	X("x-not-run")         \
	X("x-request-id")      \
	X("x-request-outcome") \
	X("x-timeout-ms")      \
	X("x-entry-zone")      \
	X("host")              \
	X("expect")

/* Headers that concern one connection or that this program sets itself. */
static bool gw_is_hop_header(const char *name, size_t bytes)
{
	static const struct {
		const char *name;
		size_t bytes;
	} rows[] = {
#define X(name) { name, sizeof(name) - 1 },
		GW_HOP_HEADERS(X)
#undef X
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		if (rows[i].bytes == bytes &&
		    !g_ascii_strncasecmp(rows[i].name, name, bytes))
			return true;
	return false;
}

/* To an HTTP/1.0 caller an orderly close is the end of the answer. */
static void gw_break_visibly(struct gw_call *call)
{
	if (call->req->version < 0x101 &&
	    call->req->res.content_length == SIZE_MAX)
		hd_reset_on_close(call->req);
}

static void gw_flush(struct gw_call *call)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	GString *swap = call->sending;
	h2o_iovec_t buf;

	if (!call->req || !call->started || call->in_send || call->final_sent)
		return;
	if (call->finished)
		state = call->result == ST_OK ? H2O_SEND_STATE_FINAL :
						H2O_SEND_STATE_ERROR;
	if (!call->pending->len && !call->finished)
		return;
	call->sending = call->pending;
	call->pending = swap;
	g_string_truncate(call->pending, 0);
	call->in_send = true;
	call->final_sent = call->finished;
	if (state == H2O_SEND_STATE_ERROR)
		gw_break_visibly(call);
	buf = h2o_iovec_init(call->sending->str, call->sending->len);
	h2o_send(call->req, &buf, 1, state);
}

static void gw_on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct gw_call *call = (struct gw_call *)generator;

	call->in_send = false;
	if (call->paused && call->pending->len < GW_BUFFER_LOW_BYTES &&
	    call->answering) {
		call->paused = false;
		hc_resume(&call->answering->http);
	}
	gw_flush(call);
}

static void gw_on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	struct gw_call *call = (struct gw_call *)generator;

	call->in_send = true; /* nothing may be sent any more */
}

/* h2o writes these of its own; a second one would be malformed. */
static bool gw_is_own_header(const struct hc_header *h)
{
	return (h->name_bytes == strlen("date") &&
		!g_ascii_strncasecmp(h->name, "date", h->name_bytes)) ||
	       (h->name_bytes == strlen("server") &&
		!g_ascii_strncasecmp(h->name, "server", h->name_bytes));
}

static void gw_copy_headers(struct gw_call *call, const struct hc_head *head)
{
	h2o_mem_pool_t *pool = &call->req->pool;

	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];
		h2o_iovec_t name;
		h2o_iovec_t value;

		if (gw_is_hop_header(h->name, h->name_bytes) ||
		    gw_is_own_header(h))
			continue;
		name = h2o_strdup(pool, h->name, h->name_bytes);
		value = h2o_strdup(pool, h->value, h->value_bytes);
		h2o_strtolower(name.base, name.len);
		h2o_add_header_by_str(pool, &call->req->res.headers, name.base,
				      name.len, 1, NULL, value.base, value.len);
	}
}

static void gw_start_answer(struct gw_call *call, const struct hc_head *head)
{
	if (!call->req)
		return;
	call->started = true;
	call->req->res.status = head->status;
	call->req->res.reason = head->status < 400 ? "OK" : "Error";
	if (head->content_length != UINT64_MAX && head->status != 204)
		call->req->res.content_length = (size_t)head->content_length;
	gw_copy_headers(call, head);
	gw_add_outcome(call, ST_OK);
	call->generator.proceed = gw_on_proceed;
	call->generator.stop = gw_on_stop;
	h2o_start_response(call->req, &call->generator);
}

/* Attempts at servers */

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
	const struct hc_header *load = hc_find(head, "x-load");
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, attempt->server);
	struct core_event event = { .kind = CORE_EV_REPORT };
	uint64_t bytes;

	if (!load)
		return;
	bytes = load->name_bytes + load->value_bytes + strlen(": \r\n");
	ct_add(CT_REPORT_BYTES, bytes);
	if (gw_is_cross_zone(gateway, server))
		ct_add(CT_REPORT_CROSS_BYTES, bytes);
	event.u.report.server = attempt->server;
	event.u.report.source = CORE_FROM_ANSWER;
	event.u.report.ok = true;
	pb_take_load(load, &event);
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

	if (!hc_find(head, "x-draining") || !me_on(ME_LEAVING))
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

static bool gw_is_not_run(const struct hc_head *head)
{
	const struct hc_header *h = hc_find(head, "x-not-run");

	return h && h->value_bytes == 1 && *h->value == '1';
}

static void gw_keep_type(struct gw_call *call, const struct hc_head *head)
{
	const struct hc_header *type = hc_find(head, "content-type");

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

static void gw_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;
	struct core_event event = { .kind = CORE_EV_ANSWER };

	attempt->status = head->status;
	attempt->refused = head->status == 503 && gw_is_not_run(head);
	gw_take_report(attempt, head);
	gw_take_draining(attempt, head);
	if (attempt->refused)
		return;
	call->answering = attempt;
	gw_keep_type(call, head);
	event.u.attempt.call = call->id;
	event.u.attempt.attempt = attempt->index;
	gw_post(call->gateway, &event);
	gw_start_answer(call, head);
}

static void gw_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;

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

	event.u.ended.call = attempt->call->id;
	event.u.ended.attempt = attempt->index;
	event.u.ended.end = end;
	gw_post(attempt->call->gateway, &event);
}

static void gw_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;

	lg_debug("attempt", "%s attempt %u: %s %s", attempt->call->request_id,
		 attempt->index, core_end_name(gw_end(attempt, end)), msg);
	gw_close_attempt(attempt, at_state(end));
	gw_post_ended(attempt, gw_end(attempt, end));
}

static const struct hc_handler gw_handler = {
	.sent = gw_on_sent,
	.head = gw_on_head,
	.body = gw_on_body,
	.read_end = gw_on_read_end,
	.done = gw_on_done,
};

/* Writes VALUE without a terminator and returns the number of digits. */
static size_t gw_decimal(uint64_t value, char out[GW_DIGITS])
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

static GString *gw_request_text(struct gw_call *call, struct gw_server *server)
{
	uint64_t now_us = tm_now_us();
	uint64_t left_ms = 1;
	char text[GW_DIGITS];
	GString *out = g_string_sized_new(call->head->len +
					  (call->body ? call->body->len : 0) +
					  GW_ATTEMPT_HEAD_BYTES);

	if (call->deadline_us > now_us + GW_US_PER_MS)
		left_ms = (call->deadline_us - now_us) / GW_US_PER_MS;
	g_string_append_len(out, call->head->str, (gssize)call->head->len);
	hc_head_add(out, "host", strlen("host"), server->pool.address.text,
		    strlen(server->pool.address.text));
	hc_head_add(out, "x-timeout-ms", strlen("x-timeout-ms"), text,
		    gw_decimal(left_ms, text));
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

static void gw_send(struct gw_gateway *gateway,
		    const struct core_action *action)
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
	attempt->index = action->attempt;
	attempt->server = action->server;
	attempt->http.handler = &gw_handler;
	attempt->http.head_method = call->head_method;
	attempt->http.not_after_us = call->deadline_us;
	/* A server may close an old idle connection at the same moment. */
	if (!call->idempotent)
		attempt->http.max_idle_us = GW_ORDER_IDLE_US;
	if (!gw_may_send(call) || !hc_start(&server->pool, &attempt->http,
					    gw_request_text(call, server))) {
		gw_close_attempt(attempt, HC_NEW);
		gw_post_ended(attempt, CORE_END_NOT_SENT);
	}
}

static void gw_count_result(enum st_kind result)
{
	if (result == ST_OK)
		ct_add(CT_COMPLETED, 1);
	else if (result == ST_GONE)
		ct_add(CT_GONE, 1);
	else if (result == ST_BROKEN)
		ct_add(CT_BROKEN, 1);
	else
		ct_add(st_not_run(result) ? CT_REFUSED : CT_UNKNOWN, 1);
}

/* The caller has not taken its answer in time. */
static void gw_on_not_taken(void *ctx)
{
	struct gw_call *call = ctx;

	hd_abort(call->req);
}

static void gw_limit_taking(struct gw_call *call)
{
	if (!call->req)
		return;
	call->timer.fire = gw_on_not_taken;
	tm_subscribe(call->gateway->timers, &call->timer,
		     MAX(call->deadline_us, tm_now_us() + GW_TAKE_US));
}

/* Ends the claim of an order; the write goes on after the caller is told. */
static void gw_end_claim(struct gw_call *call)
{
	if (!call->claim)
		return;
	if (call->result == ST_OK && call->answering)
		od_done(call->claim, call->answering->status,
			call->kept_type ? call->kept_type : "", call->kept->str,
			call->kept->len, call->kept->len <= OD_MAX_BODY_BYTES);
	else if (call->may_have_run)
		od_lost(call->claim);
	else
		od_release(call->claim);
	call->claim = NULL;
}

static void gw_finish(struct gw_gateway *gateway,
		      const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);

	call->result = at_told(action->result, call->may_have_run);
	gw_count_result(call->result);
	tm_cancel(gateway->timers, &call->timer);
	g_hash_table_remove(gateway->calls, &call->id);
	call->finished = true;
	gw_end_claim(call);
	call->answering = NULL;
	if (call->req && !call->started)
		gw_reply_error(call,
			       call->result == ST_OK ? ST_INTERNAL :
						       call->result,
			       NULL);
	else
		gw_flush(call);
	gw_limit_taking(call);
	gw_call_unref(call);
}

static void gw_timer(struct gw_gateway *gateway,
		     const struct core_action *action)
{
	struct gw_call *call;

	if (!action->call) {
		tm_subscribe(gateway->timers, &gateway->core_timer,
			     action->at_us);
		return;
	}
	call = g_hash_table_lookup(gateway->calls, &action->call);
	tm_subscribe(gateway->timers, &call->timer, action->at_us);
}

static void gw_cancel(struct gw_gateway *gateway,
		      const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);

	struct gw_attempt *attempt = &call->attempts[action->attempt];

	ct_add(CT_CANCELS, 1);
	gw_close_attempt(attempt, attempt->http.state);
	hc_cancel(&attempt->http);
}

static void gw_probe(struct gw_gateway *gateway,
		     const struct core_action *action)
{
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, action->server);
	struct pb_target target = {
		.server = action->server,
		.cross_zone = gw_is_cross_zone(gateway, server),
		.pool = &server->pool,
	};

	pb_send(&gateway->prober, &target);
}

static void gw_post_probe(void *ctx, struct core_event *event)
{
	gw_post(ctx, event);
}

static void gw_act(void *ctx, const struct core_action *action)
{
	struct gw_gateway *gateway = ctx;

	tr_action(&gateway->trace, action);
	switch (action->kind) {
	case CORE_ACT_SEND:
		gw_send(gateway, action);
		break;
	case CORE_ACT_CANCEL:
		gw_cancel(gateway, action);
		break;
	case CORE_ACT_FINISH:
		gw_finish(gateway, action);
		break;
	case CORE_ACT_TIMER:
		gw_timer(gateway, action);
		break;
	case CORE_ACT_PROBE:
		gw_probe(gateway, action);
		break;
	default:
		break;
	}
}

/* Calls */

static void gw_call_free(struct gw_call *call)
{
	g_string_free(call->head, TRUE);
	if (call->body)
		g_string_free(call->body, TRUE);
	g_string_free(call->pending, TRUE);
	g_string_free(call->sending, TRUE);
	if (call->kept)
		g_string_free(call->kept, TRUE);
	g_free(call->kept_type);
	g_free(call);
}

static void gw_call_unref(struct gw_call *call)
{
	if (--call->refs)
		return;
	tm_cancel(call->gateway->timers, &call->timer);
	call->gateway->in_flight--;
	gw_call_free(call);
}

static void gw_post_gone(struct gw_call *call)
{
	struct core_event event = { .kind = CORE_EV_GONE };

	event.u.of.call = call->id;
	gw_post(call->gateway, &event);
}

static void gw_on_req_dropped(void *ptr)
{
	struct gw_link *link = ptr;
	struct gw_call *call = link->call;

	call->req = NULL;
	/* Nobody reads the answer; let the attempt run to its end. */
	if (call->paused && call->answering)
		hc_resume(&call->answering->http);
	call->paused = false;
	if (!call->finished)
		gw_post_gone(call);
	gw_call_unref(call);
}

static void gw_on_call_timer(void *ctx)
{
	struct gw_call *call = ctx;
	struct core_event event = { .kind = CORE_EV_TIMER };

	event.u.of.call = call->id;
	gw_post(call->gateway, &event);
}

static void gw_on_core_timer(void *ctx)
{
	struct core_event event = { .kind = CORE_EV_TIMER };

	gw_post(ctx, &event);
}

static void gw_save_headers(struct gw_call *call, h2o_req_t *req)
{
	const char *zone = call->gateway->settings->zone;

	for (size_t i = 0; i < req->headers.size; i++) {
		h2o_header_t *h = &req->headers.entries[i];

		if (!gw_is_hop_header(h->name->base, h->name->len))
			hc_head_add(call->head, h->name->base, h->name->len,
				    h->value.base, h->value.len);
	}
	hc_head_add(call->head, "x-request-id", strlen("x-request-id"),
		    call->request_id, strlen(call->request_id));
	hc_head_add(call->head, "x-entry-zone", strlen("x-entry-zone"), zone,
		    strlen(zone));
}

static struct gw_call *gw_call_new(struct gw_gateway *gateway, h2o_req_t *req)
{
	struct gw_call *call = g_new0(struct gw_call, 1);
	struct gw_link *link;

	call->gateway = gateway;
	call->id = ++gateway->last_call;
	call->req = req;
	call->refs = 2;
	memcpy(call->request_id, gateway->id_prefix, gateway->id_prefix_bytes);
	gw_decimal(call->id, call->request_id + gateway->id_prefix_bytes);
	call->head_method = hd_method_is(req, "HEAD");
	call->head = g_string_sized_new(GW_HEAD_BYTES);
	hc_head_line(call->head, req->method.base, req->method.len,
		     req->path.base, req->path.len);
	call->pending = g_string_new(NULL);
	call->sending = g_string_new(NULL);
	if (req->entity.base)
		call->body = g_string_new_len(req->entity.base,
					      (gssize)req->entity.len);
	gw_save_headers(call, req);
	call->timer.fire = gw_on_call_timer;
	call->timer.ctx = call;
	link = h2o_mem_alloc_shared(&req->pool, sizeof(*link),
				    gw_on_req_dropped);
	link->call = call;
	gateway->in_flight++;
	return call;
}

static uint32_t gw_timeout_ms(h2o_req_t *req, const struct doc_service *service,
			      uint32_t fallback_ms)
{
	h2o_iovec_t asked = hd_header(req, "x-timeout-ms");
	size_t value;

	if (!asked.base)
		return fallback_ms;
	value = h2o_strtosize(asked.base, asked.len);
	if (value == SIZE_MAX || !value)
		return fallback_ms;
	return (uint32_t)MIN(value, service->longest_deadline_ms);
}

static bool gw_is_safe(const h2o_req_t *req)
{
	return hd_method_is(req, "GET") || hd_method_is(req, "HEAD");
}

/* Gives the call to the core. */
static void gw_place(struct gw_call *call)
{
	struct gw_gateway *gateway = call->gateway;
	h2o_iovec_t caller = hd_header(call->req, "x-caller");
	struct core_event event = { .kind = CORE_EV_CALL };

	event.u.call.call = call->id;
	event.u.call.service = call->service;
	event.u.call.caller = doc_caller(
		gateway->document, caller.base ? caller.base : "", caller.len);
	event.u.call.deadline_us = call->deadline_us;
	event.u.call.idempotent = call->idempotent || !me_on(ME_SEND_ONCE);
	g_hash_table_insert(gateway->calls, &call->id, call);
	gw_post(gateway, &event);
}

static void gw_replay(struct gw_call *call, const struct od_verdict *verdict)
{
	const char *type = verdict->content_type;

	gw_add_outcome(call, ST_OK);
	call->final_sent = true;
	hd_reply(call->req, verdict->http_status,
		 type && *type ? type : "application/octet-stream",
		 verdict->body, verdict->body_bytes);
}

/* Ends a call that the core never got. */
static void gw_end_unplaced(struct gw_call *call,
			    const struct od_verdict *verdict)
{
	gw_count_result(verdict->kind);
	call->finished = true;
	call->result = verdict->kind;
	if (call->req && verdict->kind == ST_OK)
		gw_replay(call, verdict);
	else if (call->req)
		gw_reply_error(call, verdict->kind, verdict->msg);
	gw_limit_taking(call);
	gw_call_unref(call);
}

static void gw_on_claim(void *ctx, const struct od_verdict *verdict)
{
	struct gw_call *call = ctx;
	struct od_verdict gone = { .kind = ST_GONE };

	if (!verdict->claim) {
		gw_end_unplaced(call, verdict);
	} else if (!call->req) {
		od_release(verdict->claim);
		gw_end_unplaced(call, &gone);
	} else {
		call->claim = verdict->claim;
		call->kept = g_string_new(NULL);
		gw_place(call);
	}
}

/* An order with a key is claimed before the core gets it. */
static void gw_claim(struct gw_call *call, const char *service, h2o_iovec_t key)
{
	const h2o_req_t *req = call->req;
	h2o_iovec_t caller = hd_header(call->req, "x-caller");
	g_autofree char *method = g_strndup(req->method.base, req->method.len);
	g_autofree char *path = g_strndup(req->path.base, req->path.len);
	struct od_callback callback = { gw_on_claim, call };
	struct od_verdict refused = { .kind = ST_INTERNAL };
	struct od_request request = {
		.id = call->request_id,
		.caller = caller.base ? caller.base : "",
		.caller_bytes = caller.len,
		.service = service,
		.key = key.base,
		.key_bytes = key.len,
		.method = method,
		.path = path,
		.body = call->body ? call->body->str : "",
		.body_bytes = call->body ? call->body->len : 0,
		.deadline_us = call->deadline_us,
	};
	struct st_status status;

	if (od_claim(call->gateway->orders, &request, &callback, &status) ==
	    ST_OK)
		return;
	refused.kind = status.kind;
	refused.msg = status.msg;
	gw_end_unplaced(call, &refused);
}

static void gw_admit(struct gw_call *call, uint32_t index)
{
	struct gw_gateway *gateway = call->gateway;
	const struct doc_service *service = &gateway->document->services[index];
	h2o_req_t *req = call->req;
	const struct doc_rule *rule =
		doc_rule(service, req->method.base, req->method.len,
			 req->path.base, req->path.len);
	uint32_t timeout_ms = rule ? rule->deadline_ms : service->deadline_ms;
	h2o_iovec_t key = hd_header(req, "idempotency-key");

	timeout_ms = gw_timeout_ms(req, service, timeout_ms);
	call->deadline_us = tm_now_us() + (uint64_t)timeout_ms * GW_US_PER_MS;
	call->service = gateway->service_map[index];
	call->idempotent = rule ? rule->idempotent : gw_is_safe(req);
	if (key.base && !call->idempotent && me_on(ME_ORDER_CLAIM))
		gw_claim(call, service->name, key);
	else
		gw_place(call);
}

static void gw_refuse(h2o_req_t *req, enum st_kind kind, const char *msg)
{
	struct st_status status;

	ct_add(CT_REFUSED, 1);
	st_set(&status, kind, "%s", msg);
	hd_add_header(req, "x-request-outcome", "not-run", strlen("not-run"));
	hd_reply_status(req, &status);
}

static void gw_on_health(struct gw_gateway *gateway, h2o_req_t *req)
{
	if (gateway->stopping)
		gw_refuse(req, ST_STOPPING, "stopping");
	else if (!gateway->document)
		gw_refuse(req, ST_NOT_READY, "no document in force");
	else
		hd_reply(req, 200, "text/plain", "ok\n", 3);
}

static void gw_on_request(void *ctx, h2o_req_t *req)
{
	struct gw_gateway *gateway = ctx;
	uint32_t index;

	if (hd_path_is(req, "/health")) {
		gw_on_health(gateway, req);
		return;
	}
	ct_add(CT_CALLS, 1);
	if (!gateway->document) {
		gw_refuse(req, ST_NOT_READY, "no document in force");
		return;
	}
	index = doc_route(gateway->document, req->path.base, req->path.len);
	if (index == DOC_NO_INDEX) {
		gw_refuse(req, ST_NOT_FOUND, "no service has this route");
		return;
	}
	gw_admit(gw_call_new(gateway, req), index);
}

static void gw_on_sweep(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	GList *calls = g_hash_table_get_values(gateway->calls);

	for (GList *l = calls; l; l = l->next) {
		struct gw_call *call = l->data;

		if (!call->started && call->req && hd_peer_left(call->req))
			gw_post_gone(call);
	}
	g_list_free(calls);
	tm_subscribe(gateway->timers, &gateway->sweep,
		     tm_now_us() + GW_SWEEP_US);
}

/* Documents */

/* This host's part of the connections that a server allows. */
static uint32_t gw_connections(const struct gw_gateway *gateway,
			       uint32_t of_server)
{
	return MAX(of_server / gateway->host_count, 1);
}

static struct gw_server *gw_server_for(struct gw_gateway *gateway,
				       const struct doc_server *conf)
{
	char *key = g_strdup_printf("%s %s", conf->name, conf->address.text);
	uint32_t connections = gw_connections(gateway, conf->connections);
	struct gw_server *server =
		g_hash_table_lookup(gateway->server_ids, key);

	if (server) {
		g_free(key);
		hc_pool_set_limit(&server->pool, connections);
		return server;
	}
	server = g_new0(struct gw_server, 1);
	server->id = gateway->servers->len;
	g_strlcpy(server->name, conf->name, sizeof(server->name));
	hc_pool_init(&server->pool, gateway->kernel->loop, &conf->address,
		     connections);
	hc_pool_set_connect_timeout(&server->pool, gateway->timers,
				    GW_CONNECT_TIMEOUT_US);
	g_ptr_array_add(gateway->servers, server);
	g_hash_table_insert(gateway->server_ids, key, server);
	return server;
}

static uint32_t gw_service_id(struct gw_gateway *gateway, const char *name)
{
	for (guint i = 0; i < gateway->services->len; i++)
		if (!strcmp(g_ptr_array_index(gateway->services, i), name))
			return i;
	g_ptr_array_add(gateway->services, g_strdup(name));
	return gateway->services->len - 1;
}

static uint64_t gw_hash(const char *name)
{
	char digest[DOC_DIGEST_BYTES];

	doc_digest(name, strlen(name), digest);
	digest[16] = '\0';
	return g_ascii_strtoull(digest, NULL, 16);
}

static void gw_conf_service(struct gw_gateway *gateway,
			    const struct doc_service *service,
			    struct core_service_conf *conf)
{
	struct core_server_conf *servers =
		g_new0(struct core_server_conf, service->server_count);

	conf->id = gw_service_id(gateway, service->name);
	conf->policy = service->policy;
	conf->queue_limit = service->queue_limit;
	conf->retry_percent = service->retry_percent;
	conf->probe_requests_per_s = service->measuring.requests_per_s;
	conf->probe_bytes_per_s = service->measuring.bytes_per_s;
	conf->probe_cross_zone_bytes_per_s =
		service->measuring.cross_zone_bytes_per_s;
	conf->servers = servers;
	conf->server_count = service->server_count;
	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct doc_server *from = &service->servers[i];
		struct gw_server *server = gw_server_for(gateway, from);

		server->zone = from->zone;
		servers[i].id = server->id;
		servers[i].zone = from->zone;
		servers[i].slots = from->slots;
		servers[i].connections = from->connections;
		servers[i].leaving = from->leaving;
		servers[i].hash = gw_hash(from->name);
	}
}

static struct core_host_conf *gw_conf_hosts(const struct gw_gateway *gateway)
{
	struct core_host_conf *hosts =
		g_new0(struct core_host_conf, gateway->hosts->len);

	for (guint i = 0; i < gateway->hosts->len; i++) {
		const struct gw_host *host =
			&g_array_index(gateway->hosts, struct gw_host, i);

		hosts[i].hash = host->hash;
		hosts[i].zone = doc_zone(gateway->document, host->zone);
		hosts[i].draining = host->draining;
	}
	return hosts;
}

static void gw_configure_core(struct gw_gateway *gateway)
{
	struct doc_document *document = gateway->document;
	struct core_service_conf *services =
		g_new0(struct core_service_conf, document->service_count);
	struct core_host_conf *hosts = gw_conf_hosts(gateway);
	struct core_caller_conf *callers =
		g_new0(struct core_caller_conf, document->caller_count);
	struct core_conf conf = {
		.host_hash = gw_hash(gateway->settings->host),
		.zone = doc_zone(document, gateway->settings->zone),
		.latency_weight_percent = document->latency_weight_percent,
		.services = services,
		.service_count = document->service_count,
		.hosts = hosts,
		.host_count = gateway->hosts->len,
		.callers = callers,
		.caller_count = document->caller_count,
		.budget_hosts = gateway->host_count,
	};
	struct core_event event = { .kind = CORE_EV_CONF };

	g_free(gateway->service_map);
	gateway->service_map = g_new0(uint32_t, document->service_count);
	for (uint32_t i = 0; i < document->service_count; i++) {
		gw_conf_service(gateway, &document->services[i], &services[i]);
		gateway->service_map[i] = services[i].id;
	}
	for (uint32_t i = 0; i < document->caller_count; i++)
		callers[i].weight = document->callers[i].weight;
	event.u.conf = &conf;
	gw_post(gateway, &event);
	for (uint32_t i = 0; i < document->service_count; i++)
		g_free((void *)services[i].servers);
	g_free(services);
	g_free(hosts);
	g_free(callers);
}

static bool gw_same_hosts(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct gw_host *first =
			&g_array_index(a, struct gw_host, i);
		const struct gw_host *second =
			&g_array_index(b, struct gw_host, i);

		if (first->hash != second->hash ||
		    first->draining != second->draining ||
		    strcmp(first->zone, second->zone) != 0)
			return false;
	}
	return true;
}

static void gw_take_hosts(struct gw_gateway *gateway,
			  const struct pr_hosts *hosts)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct gw_host));

	g_array_set_size(rows, hosts->count);
	for (uint32_t i = 0; i < hosts->count; i++) {
		struct gw_host *row = &g_array_index(rows, struct gw_host, i);

		row->hash = gw_hash(hosts->rows[i].name);
		row->draining = hosts->rows[i].draining;
		g_strlcpy(row->zone, hosts->rows[i].zone, sizeof(row->zone));
	}
	if (gw_same_hosts(rows, gateway->hosts)) {
		g_array_free(rows, TRUE);
		return;
	}
	g_array_free(gateway->hosts, TRUE);
	gateway->hosts = rows;
	/*
	 * Hosts that cannot be heard still use their part of the limits, so
	 * the list divides them by no fewer hosts than the settings name.
	 */
	gateway->host_count =
		MAX(MAX(gateway->settings->seed_count, hosts->count), 1);
	if (gateway->document)
		gw_configure_core(gateway);
}

/* A sign from the platform or from another host. */
static void gw_take_server_state(struct gw_gateway *gateway,
				 const struct kn_msg_server_state *state)
{
	struct core_event event = { .kind = CORE_EV_SERVER };

	if (!me_on(ME_LEAVING))
		return;
	for (guint i = 0; i < gateway->servers->len; i++) {
		const struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		if (strcmp(server->name, state->server) != 0)
			continue;
		event.u.server.server = server->id;
		event.u.server.sign = CORE_SIGN_TOLD;
		event.u.server.leaving = state->leaving;
		gw_post(gateway, &event);
	}
}

static void gw_on_message(void *ctx, const struct kn_msg *msg)
{
	struct gw_gateway *gateway = ctx;
	const struct kn_msg_document *document = (const void *)msg;
	const struct kn_msg_hosts *hosts = (const void *)msg;

	switch (msg->kind) {
	case KN_DOCUMENT:
		doc_unref(gateway->document);
		gateway->document = doc_ref(document->document);
		gw_configure_core(gateway);
		break;
	case KN_HOSTS:
		gw_take_hosts(gateway, hosts->hosts);
		break;
	case KN_SERVER_STATE:
		gw_take_server_state(gateway, (const void *)msg);
		break;
	default:
		break;
	}
}

static void gw_init_tables(struct gw_gateway *gateway)
{
	gateway->servers = g_ptr_array_new();
	gateway->services = g_ptr_array_new_with_free_func(g_free);
	gateway->hosts = g_array_new(FALSE, TRUE, sizeof(struct gw_host));
	gateway->server_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gateway->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	gateway->events = g_array_new(FALSE, FALSE, sizeof(struct core_event));
	gateway->random =
		gateway->settings->random_seed ?
			g_rand_new_with_seed(
				(guint32)gateway->settings->random_seed) :
			g_rand_new();
}

enum st_kind gw_init(struct gw_gateway *gateway, struct kn_kernel *kernel,
		     struct tm_service *timers,
		     const struct se_settings *settings,
		     struct st_status *status)
{
	struct core_driver driver = { gw_act, gw_random, gateway };
	enum st_kind kind;

	memset(gateway, 0, sizeof(*gateway));
	gateway->kernel = kernel;
	gateway->timers = timers;
	gateway->settings = settings;
	gateway->incarnation = (uint64_t)g_get_real_time();
	gateway->host_count = MAX(settings->seed_count, 1);
	gateway->id_prefix_bytes = (size_t)g_snprintf(
		gateway->id_prefix, sizeof(gateway->id_prefix),
		"%s-%" G_GINT64_MODIFIER "x-", settings->host,
		gateway->incarnation);
	gw_init_tables(gateway);
	if (*settings->trace_file &&
	    tr_open(&gateway->trace, settings->trace_file,
		    settings->trace_max_bytes, settings->host, status) != ST_OK)
		return status->kind;
	core_init(&gateway->core, &driver);
	pb_init(&gateway->prober, timers, gw_post_probe, gateway);
	gateway->core_timer.fire = gw_on_core_timer;
	gateway->core_timer.ctx = gateway;
	gateway->sweep.fire = gw_on_sweep;
	gateway->sweep.ctx = gateway;
	gateway->task.name = "gateway";
	gateway->task.handle = gw_on_message;
	gateway->task.ctx = gateway;
	kind = kn_register(kernel, &gateway->task, status);
	if (kind != ST_OK)
		return kind;
	gw_on_sweep(gateway);
	return hd_init(&gateway->http, kernel->loop, &settings->callers,
		       gw_on_request, gateway, status);
}

void gw_announce_stop(struct gw_gateway *gateway)
{
	gateway->stopping = true;
	hd_announce_stop(&gateway->http);
}

void gw_stop_listening(struct gw_gateway *gateway)
{
	hd_stop_listening(&gateway->http);
	for (guint i = 0; i < gateway->servers->len; i++) {
		struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		server->pool.max_idle_us = 0;
	}
}

bool gw_idle(const struct gw_gateway *gateway)
{
	return !gateway->in_flight && od_idle(gateway->orders);
}

void gw_close(struct gw_gateway *gateway)
{
	gw_stop_listening(gateway);
	hd_close_all(&gateway->http);
	pb_free(&gateway->prober);
	tm_cancel(gateway->timers, &gateway->sweep);
	tm_cancel(gateway->timers, &gateway->core_timer);
	for (guint i = 0; i < gateway->servers->len; i++) {
		struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		hc_pool_close(&server->pool, NULL, NULL);
	}
}

void gw_free(struct gw_gateway *gateway)
{
	hd_free(&gateway->http);
	core_free(&gateway->core);
	tr_close(&gateway->trace);
	g_ptr_array_set_free_func(gateway->servers, g_free);
	g_ptr_array_free(gateway->servers, TRUE);
	g_ptr_array_free(gateway->services, TRUE);
	g_array_free(gateway->hosts, TRUE);
	g_hash_table_destroy(gateway->server_ids);
	g_hash_table_destroy(gateway->calls);
	g_array_free(gateway->events, TRUE);
	g_rand_free(gateway->random);
	g_free(gateway->service_map);
	doc_unref(gateway->document);
}
