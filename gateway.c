#include "gateway.h"

#include <string.h>

#include "counter.h"
#include "httpc.h"
#include "log.h"
#include "mechanism.h"

enum {
	GW_BUFFER_HIGH_BYTES = 256 * 1024,
	GW_BUFFER_LOW_BYTES = 64 * 1024,
	GW_SWEEP_US = 20 * 1000,
	GW_US_PER_MS = 1000,
	GW_REQUEST_ID_BYTES = 96
};

/* An upstream server with its connections. */
struct gw_server {
	char name[DOC_NAME_BYTES];
	uint32_t id;
	uint32_t zone;
	struct hc_pool pool;
};

struct gw_attempt {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_call *call;
	uint32_t index;
	uint32_t server;
	int status;
	bool refused;
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
	GString *method;
	GString *path;
	GString *headers;
	GString *body;
	uint64_t deadline_us;
	struct tm_sub timer;
	struct gw_attempt attempts[CORE_MAX_ATTEMPTS];
	struct gw_attempt *answering;
	GString *pending; /* answer bytes not yet given to the listener */
	GString *sending; /* owned by the listener until it proceeds */
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
		core_handle(gateway->core, &next);
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

static const char *gw_outcome(enum st_kind kind)
{
	if (kind == ST_OK)
		return "completed";
	return st_not_run(kind) ? "not-run" : "unknown";
}

static void gw_add_outcome(struct gw_call *call, enum st_kind kind)
{
	const char *outcome = gw_outcome(kind);

	hd_add_header(call->req, "x-request-id", call->request_id,
		      strlen(call->request_id));
	hd_add_header(call->req, "x-request-outcome", outcome, strlen(outcome));
}

static void gw_reply_error(struct gw_call *call, enum st_kind kind)
{
	struct st_status status;

	st_set(&status, kind, "request %s: %s", call->request_id,
	       st_not_run(kind) ? "the request was not run" :
				  "the request may have run");
	gw_add_outcome(call, kind);
	call->final_sent = true;
	hd_reply_status(call->req, &status);
}

static bool gw_is_hop_header(const char *name, size_t bytes)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"transfer-encoding",
		"content-length",
		"te",
		"trailer",
		"upgrade",
		"x-load",
		"x-draining",
		"x-not-run",
		"x-request-id",
		"x-request-outcome",
		"x-timeout-ms",
		"x-entry-zone",
		"host",
		"expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (strlen(names[i]) == bytes &&
		    !g_ascii_strncasecmp(names[i], name, bytes))
			return true;
	return false;
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

static void gw_copy_headers(struct gw_call *call, const struct hc_head *head)
{
	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];
		char *name;

		if (gw_is_hop_header(h->name, h->name_bytes))
			continue;
		name = g_ascii_strdown(h->name, (gssize)h->name_bytes);
		hd_add_header(call->req, name, h->value, h->value_bytes);
		g_free(name);
	}
}

static void gw_start_answer(struct gw_call *call, const struct hc_head *head)
{
	if (!call->req)
		return;
	call->started = true;
	call->req->res.status = head->status;
	call->req->res.reason = head->status < 400 ? "OK" : "Error";
	if (head->content_length != UINT64_MAX)
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
	struct core_event event = { .kind = CORE_EV_SERVER };

	if (!hc_find(head, "x-draining") || !me_on(ME_LEAVING))
		return;
	event.u.server.server = attempt->server;
	event.u.server.sign = CORE_SIGN_ANSWER;
	event.u.server.leaving = true;
	gw_post(attempt->call->gateway, &event);
}

static void gw_on_sent(struct hc_request *request)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct core_event event = { .kind = CORE_EV_SENT };

	event.u.attempt.call = attempt->call->id;
	event.u.attempt.attempt = attempt->index;
	gw_post(attempt->call->gateway, &event);
}

static void gw_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct gw_attempt *attempt = (struct gw_attempt *)request;
	struct gw_call *call = attempt->call;
	struct core_event event = { .kind = CORE_EV_ANSWER };

	attempt->status = head->status;
	attempt->refused = head->status == 503 && hc_find(head, "x-not-run");
	gw_take_report(attempt, head);
	gw_take_draining(attempt, head);
	if (attempt->refused)
		return;
	call->answering = attempt;
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

	if (call->answering != attempt || !call->req)
		return;
	g_string_append_len(call->pending, data, (gssize)data_bytes);
	gw_flush(call);
	if (call->pending->len > GW_BUFFER_HIGH_BYTES && !call->paused) {
		call->paused = true;
		hc_pause(request);
	}
}

static enum core_end gw_end(const struct gw_attempt *attempt, enum hc_end end)
{
	switch (end) {
	case HC_NOT_SENT:
		return CORE_END_NOT_SENT;
	case HC_NO_ANSWER:
		return CORE_END_NO_ANSWER;
	case HC_BROKEN:
		return CORE_END_BROKEN;
	default:
		break;
	}
	if (attempt->refused)
		return CORE_END_REFUSED;
	return attempt->status >= 500 ? CORE_END_DONE_ERROR : CORE_END_DONE;
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
	gw_post_ended(attempt, gw_end(attempt, end));
}

static const struct hc_handler gw_handler = {
	.sent = gw_on_sent,
	.head = gw_on_head,
	.body = gw_on_body,
	.done = gw_on_done,
};

static GString *gw_request_text(struct gw_call *call, struct gw_server *server)
{
	uint64_t now_us = tm_now_us();
	uint64_t left_ms = 1;
	char text[32];
	GString *out = hc_head_begin(call->method->str, call->method->len,
				     call->path->str, call->path->len,
				     server->pool.address.text);

	if (call->deadline_us > now_us + GW_US_PER_MS)
		left_ms = (call->deadline_us - now_us) / GW_US_PER_MS;
	g_string_append_len(out, call->headers->str,
			    (gssize)call->headers->len);
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, left_ms);
	hc_head_add(out, "x-timeout-ms", strlen("x-timeout-ms"), text,
		    strlen(text));
	hc_head_end(out, call->body ? call->body->str : NULL,
		    call->body ? call->body->len : 0);
	return out;
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
	attempt->http.head_method = !strcmp(call->method->str, "HEAD");
	if (!hc_start(&server->pool, &attempt->http,
		      gw_request_text(call, server)))
		gw_post_ended(attempt, CORE_END_NOT_SENT);
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

static void gw_finish(struct gw_gateway *gateway,
		      const struct core_action *action)
{
	struct gw_call *call =
		g_hash_table_lookup(gateway->calls, &action->call);

	gw_count_result(action->result);
	tm_cancel(gateway->timers, &call->timer);
	g_hash_table_remove(gateway->calls, &call->id);
	call->finished = true;
	call->result = action->result;
	call->answering = NULL;
	if (call->req && !call->started)
		gw_reply_error(call, action->result == ST_OK ? ST_INTERNAL :
							       action->result);
	else
		gw_flush(call);
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

	ct_add(CT_CANCELS, 1);
	hc_cancel(&call->attempts[action->attempt].http);
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
	g_string_free(call->method, TRUE);
	g_string_free(call->path, TRUE);
	g_string_free(call->headers, TRUE);
	if (call->body)
		g_string_free(call->body, TRUE);
	g_string_free(call->pending, TRUE);
	g_string_free(call->sending, TRUE);
	g_free(call);
}

static void gw_call_unref(struct gw_call *call)
{
	if (call->finished && !call->req) {
		call->gateway->in_flight--;
		gw_call_free(call);
	}
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
	if (call->finished) {
		gw_call_unref(call);
		return;
	}
	/* Nobody reads the answer; let the attempt run to its end. */
	if (call->paused && call->answering)
		hc_resume(&call->answering->http);
	call->paused = false;
	gw_post_gone(call);
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
			hc_head_add(call->headers, h->name->base, h->name->len,
				    h->value.base, h->value.len);
	}
	hc_head_add(call->headers, "x-request-id", strlen("x-request-id"),
		    call->request_id, strlen(call->request_id));
	hc_head_add(call->headers, "x-entry-zone", strlen("x-entry-zone"), zone,
		    strlen(zone));
}

static struct gw_call *gw_call_new(struct gw_gateway *gateway, h2o_req_t *req)
{
	struct gw_call *call = g_new0(struct gw_call, 1);
	struct gw_link *link;

	call->gateway = gateway;
	call->id = ++gateway->last_call;
	call->req = req;
	g_snprintf(call->request_id, sizeof(call->request_id),
		   "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
		   gateway->settings->host, gateway->incarnation, call->id);
	call->method =
		g_string_new_len(req->method.base, (gssize)req->method.len);
	call->path = g_string_new_len(req->path.base, (gssize)req->path.len);
	call->headers = g_string_sized_new(512);
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

static bool gw_is_safe(const GString *method)
{
	return !strcmp(method->str, "GET") || !strcmp(method->str, "HEAD");
}

static void gw_admit(struct gw_call *call, uint32_t index)
{
	struct gw_gateway *gateway = call->gateway;
	const struct doc_service *service = &gateway->document->services[index];
	h2o_req_t *req = call->req;
	const struct doc_rule *rule =
		doc_rule(service, call->method->str, call->method->len,
			 req->path.base, req->path.len);
	uint32_t timeout_ms = rule ? rule->deadline_ms : service->deadline_ms;
	h2o_iovec_t caller = hd_header(req, "x-caller");
	struct core_event event = { .kind = CORE_EV_CALL };

	timeout_ms = gw_timeout_ms(req, service, timeout_ms);
	call->deadline_us = tm_now_us() + (uint64_t)timeout_ms * GW_US_PER_MS;
	event.u.call.call = call->id;
	event.u.call.service = gateway->service_map[index];
	event.u.call.caller = doc_caller(
		gateway->document, caller.base ? caller.base : "", caller.len);
	event.u.call.deadline_us = call->deadline_us;
	event.u.call.idempotent =
		rule ? rule->idempotent : gw_is_safe(call->method);
	g_hash_table_insert(gateway->calls, &call->id, call);
	gw_post(gateway, &event);
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

static struct gw_server *gw_server_for(struct gw_gateway *gateway,
				       const struct doc_server *conf)
{
	char *key = g_strdup_printf("%s %s", conf->name, conf->address.text);
	struct gw_server *server =
		g_hash_table_lookup(gateway->server_ids, key);

	if (server) {
		g_free(key);
		return server;
	}
	server = g_new0(struct gw_server, 1);
	server->id = gateway->servers->len;
	g_strlcpy(server->name, conf->name, sizeof(server->name));
	hc_pool_init(&server->pool, gateway->kernel->loop, &conf->address,
		     conf->connections);
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

static void gw_configure_core(struct gw_gateway *gateway)
{
	struct doc_document *document = gateway->document;
	struct core_service_conf *services =
		g_new0(struct core_service_conf, document->service_count);
	struct core_caller_conf *callers =
		g_new0(struct core_caller_conf, document->caller_count);
	struct core_conf conf = {
		.host_hash = gw_hash(gateway->settings->host),
		.zone = doc_zone(document, gateway->settings->zone),
		.latency_weight_percent = document->latency_weight_percent,
		.services = services,
		.service_count = document->service_count,
		.callers = callers,
		.caller_count = document->caller_count,
		.budget_hosts = gateway->settings->seed_count,
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
	g_free(callers);
}

static void gw_on_message(void *ctx, const struct kn_msg *msg)
{
	struct gw_gateway *gateway = ctx;
	const struct kn_msg_document *document = (const void *)msg;

	if (msg->kind != KN_DOCUMENT)
		return;
	doc_unref(gateway->document);
	gateway->document = doc_ref(document->document);
	gw_configure_core(gateway);
}

static void gw_init_tables(struct gw_gateway *gateway)
{
	gateway->servers = g_ptr_array_new();
	gateway->services = g_ptr_array_new_with_free_func(g_free);
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
	gw_init_tables(gateway);
	if (*settings->trace_file &&
	    tr_open(&gateway->trace, settings->trace_file,
		    settings->trace_max_bytes, settings->host, status) != ST_OK)
		return status->kind;
	gateway->core = core_new(&driver);
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
	return !gateway->in_flight;
}

void gw_free(struct gw_gateway *gateway)
{
	tm_cancel(gateway->timers, &gateway->sweep);
	tm_cancel(gateway->timers, &gateway->core_timer);
	pb_free(&gateway->prober);
	core_free(gateway->core);
	tr_close(&gateway->trace);
	g_ptr_array_free(gateway->services, TRUE);
	g_hash_table_destroy(gateway->server_ids);
	g_hash_table_destroy(gateway->calls);
	g_array_free(gateway->events, TRUE);
	g_rand_free(gateway->random);
	g_free(gateway->service_map);
	doc_unref(gateway->document);
}
