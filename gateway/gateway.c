#include "gateway/state.h"

#include <string.h>

#include "base/counter.h"
#include "core/outcome.h"
#include "peer/host_message.h"

enum {
	GW_CALLER_CHECK_US = 100 * 1000,
	GW_STALL_US = 200 * 1000,
	GW_ASSUMED_MEMORY_MB = 256,
	GW_BYTES_PER_MB = 1024 * 1024,
	/* Of the smallest host, 112 MB, a body of 64 MB still fits. */
	GW_BODY_PERCENT = 60,
	GW_ASSUMED_HOSTS = 8 /* until the platform's host list arrives */
};

void gw_post_event(struct gw_gateway *gateway, struct core_event *event)
{
	event->now_us = tm_now_us();
	g_array_append_val(gateway->events, *event);
	if (gateway->handling_events)
		return;
	gateway->handling_events = true;
	for (guint i = 0; i < gateway->events->len; i++) {
		struct core_event next =
			g_array_index(gateway->events, struct core_event, i);

		tr_record_event(&gateway->trace, &next);
		core_handle_event(&gateway->core, &next);
		tr_flush(&gateway->trace);
	}
	g_array_set_size(gateway->events, 0);
	gateway->handling_events = false;
}

static uint32_t gw_random(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	uint32_t value = g_rand_int(gateway->random);

	tr_record_random(&gateway->trace, value);
	return value;
}

static void gw_set_timer(struct gw_gateway *gateway,
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

void gw_post_rate_limit(struct gw_gateway *gateway, struct core_event *event)
{
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, event->u.rate_limit.server);

	if (server->rate_limited == event->u.rate_limit.limited &&
	    server->rate_limit_milli == event->u.rate_limit.milli_per_s)
		return;
	ct_add(CT_RATE_LIMITS, !server->rate_limited);
	server->rate_limited = event->u.rate_limit.limited;
	server->rate_limit_milli = event->u.rate_limit.milli_per_s;
	gw_log_rate_limit(server, event->u.rate_limit.source);
	gw_post_event(gateway, event);
}

void gw_note_cold(struct gw_server *server, uint64_t left_us, bool by_probe)
{
	uint64_t now_us = tm_now_us();

	if (now_us >= server->cold_until_us) {
		ct_add(CT_COLD, 1);
		gw_log_cold(server, left_us, by_probe);
	}
	server->cold_until_us = now_us + left_us;
}

/* Most servers are warm; the core is told nothing of these. */
void gw_post_warmup(struct gw_gateway *gateway, struct core_event *event)
{
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, event->u.warmup.server);
	uint64_t left_us = event->u.warmup.left_us;

	if (!server->warmup_milli_per_s || (!left_us && !server->cold_until_us))
		return;
	if (!left_us) {
		gw_log_warm(server);
		server->cold_until_us = 0;
	} else {
		gw_note_cold(server, left_us, true);
	}
	gw_post_event(gateway, event);
}

void gw_post_pause(struct gw_gateway *gateway, struct core_event *event)
{
	ct_add(CT_PAUSES, 1);
	gw_log_pause(gateway, event);
	gw_post_event(gateway, event);
}

static void gw_post_probe(void *ctx, struct core_event *event)
{
	if (event->kind == CORE_EV_RATE_LIMIT)
		gw_post_rate_limit(ctx, event);
	else if (event->kind == CORE_EV_WARMUP)
		gw_post_warmup(ctx, event);
	else if (event->kind == CORE_EV_PAUSE)
		gw_post_pause(ctx, event);
	else
		gw_post_event(ctx, event);
}

static void gw_run_action(void *ctx, const struct core_action *action)
{
	struct gw_gateway *gateway = ctx;

	tr_record_action(&gateway->trace, action);
	switch (action->kind) {
	case CORE_ACT_SEND:
		gw_start_attempt(gateway, action);
		break;
	case CORE_ACT_CANCEL:
		gw_cancel_attempt(gateway, action);
		break;
	case CORE_ACT_FINISH:
		gw_finish_call(gateway, action);
		break;
	case CORE_ACT_TIMER:
		gw_set_timer(gateway, action);
		break;
	case CORE_ACT_PROBE:
		gw_start_probe(gateway, action);
		break;
	default:
		break;
	}
}

static void gw_on_core_timer(void *ctx)
{
	struct core_event event = { .kind = CORE_EV_TIMER };

	gw_post_event(ctx, &event);
}

void gw_refuse_request(struct gw_gateway *gateway, h2o_req_t *req,
		       enum st_kind kind, const char *msg)
{
	struct st_status status;

	ct_add(CT_REFUSED, 1);
	gw_log_refusal(gateway, req, kind);
	st_set(&status, kind, "%s", msg);
	if (gateway->dialect->outcome)
		hd_add_header(req, gateway->dialect->outcome,
			      oc_outcome_name(kind),
			      strlen(oc_outcome_name(kind)));
	gw_add_challenge(req, kind);
	gw_add_retry_after(gateway->dialect, req, kind, 0);
	hm_mark_answer(req, st_name(kind));
	hd_reply_status(req, &status);
}

static void gw_on_health(struct gw_gateway *gateway, h2o_req_t *req)
{
	if (gateway->stopping)
		gw_refuse_request(gateway, req, ST_STOPPING, "stopping");
	else if (!gateway->document)
		gw_refuse_request(gateway, req, ST_NOT_READY,
				  "no document in force");
	else
		hd_reply(req, 200, "text/plain", "ok\n", 3);
}

void gw_handle_call(struct gw_gateway *gateway, h2o_req_t *req, bool from_host,
		    uint64_t arrived_us)
{
	const struct doc_document *document = gateway->document;
	const struct doc_route *route;
	struct gw_identity identity;
	struct gw_call *call;
	uint32_t index;
	bool is_public;

	ct_add(CT_CALLS, 1);
	if (!document) {
		gw_refuse_request(gateway, req, ST_NOT_READY,
				  "no document in force");
		return;
	}
	route = doc_find_route(document, req->authority.base,
			       req->authority.len, req->path.base,
			       req->path.len);
	index = route || document->route_count ?
			DOC_NO_INDEX :
			doc_find_service(document, req->path.base,
					 req->path.len);
	if (!route && index == DOC_NO_INDEX) {
		gw_refuse_request(gateway, req, ST_NOT_FOUND,
				  "no service has this route");
		return;
	}
	is_public =
		route ? route->is_public : document->services[index].is_public;
	if (!gw_identify_customer(gateway, req, is_public, from_host,
				  &identity))
		return;
	call = gw_call_new(gateway, req, arrived_us);
	call->from_host = from_host;
	gw_set_customer(call, &identity);
	if (route)
		gw_admit_route_call(call, route);
	else
		gw_admit_service_call(call, index);
}

static void gw_on_request(void *ctx, h2o_req_t *req)
{
	struct gw_gateway *gateway = ctx;

	/* With a separate health listener, /health is a path like any other. */
	if (!gateway->settings->has_health && hd_path_is(req, "/health"))
		gw_on_health(gateway, req);
	else
		gw_handle_call(gateway, req, false, tm_now_us());
}

/* The check is late by the time that the event loop was blocked. */
static void gw_detect_stall(struct gw_gateway *gateway, uint64_t now_us)
{
	uint64_t late_us = now_us - MIN(gateway->caller_check.at_us, now_us);

	if (late_us < GW_STALL_US)
		return;
	ct_add(CT_STALLS, 1);
	ct_add(CT_STALL_MS, late_us / GW_US_PER_MS);
	gw_log_stall(gateway, late_us);
}

static void gw_on_caller_check(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	GList *calls = g_hash_table_get_values(gateway->calls);
	uint64_t now_us = tm_now_us();

	gw_detect_stall(gateway, now_us);
	for (GList *l = calls; l; l = l->next) {
		struct gw_call *call = l->data;

		if (gw_caller_left(call))
			gw_post_gone(call);
	}
	g_list_free(calls);
	gw_check_forward_callers(gateway);
	gateway->caller_check_us = now_us;
	tm_subscribe(gateway->timers, &gateway->caller_check,
		     tm_now_us() + GW_CALLER_CHECK_US);
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
		gw_end_revoked_calls(gateway);
		gw_configure_core(gateway);
		gw_take_early_calls(gateway);
		break;
	case KN_HOSTS:
		gw_update_hosts(gateway, hosts->hosts);
		break;
	case KN_SERVER_STATE:
		gw_update_server_state(gateway, (const void *)msg);
		break;
	case KN_CRASH:
		gw_on_crash_message(gateway, (const void *)msg);
		break;
	case KN_BLOCK:
		gw_on_block_message(gateway, (const void *)msg);
		break;
	default:
		break;
	}
}

static void gw_init_tables(struct gw_gateway *gateway)
{
	gateway->servers = g_ptr_array_new();
	gw_init_peers(gateway);
	tx_list_init(&gateway->services);
	gateway->hosts = gw_hosts_new();
	gateway->server_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gateway->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	gateway->route_states = gw_route_states_new();
	gateway->events = g_array_new(FALSE, FALSE, sizeof(struct core_event));
	gateway->random =
		gateway->settings->random_seed ?
			g_rand_new_with_seed(
				(guint32)gateway->settings->random_seed) :
			g_rand_new();
}

/* The rest is for the program, its tables, and answers. */
static size_t gw_body_budget(const struct se_settings *settings)
{
	double mb = settings->memory_mb ? settings->memory_mb :
					  GW_ASSUMED_MEMORY_MB;

	return (size_t)(mb * GW_BYTES_PER_MB * GW_BODY_PERCENT / 100);
}

enum st_kind gw_init(struct gw_gateway *gateway, struct kn_kernel *kernel,
		     struct tm_service *timers,
		     const struct se_settings *settings,
		     const struct dl_dialect *dialect, struct st_status *status)
{
	struct core_driver driver = { gw_run_action, gw_random, gateway,
				      gw_log_health_change };
	enum st_kind kind;

	memset(gateway, 0, sizeof(*gateway));
	gateway->kernel = kernel;
	gateway->timers = timers;
	gateway->settings = settings;
	gateway->dialect = dialect;
	gateway->incarnation = (uint64_t)g_get_real_time();
	gateway->host_count = settings->follow_platform ?
				      GW_ASSUMED_HOSTS :
				      MAX(settings->seed_count, 1);
	g_snprintf(gateway->id_prefix, sizeof(gateway->id_prefix),
		   "%s-%" G_GINT64_MODIFIER "x-", settings->host,
		   gateway->incarnation);
	gw_init_tables(gateway);
	if (*settings->trace_file &&
	    tr_open(&gateway->trace, settings->trace_file,
		    settings->trace_max_bytes, settings->host, status) != ST_OK)
		return status->kind;
	core_init(&gateway->core, &driver);
	cg_init(&gateway->crash_guard);
	gw_init_reach(gateway);
	pb_init(&gateway->prober, timers, dialect, gw_post_probe, gateway);
	gateway->core_timer.fire = gw_on_core_timer;
	gateway->core_timer.ctx = gateway;
	gateway->caller_check.fire = gw_on_caller_check;
	gateway->caller_check.ctx = gateway;
	gateway->task.name = "gateway";
	gateway->task.handle = gw_on_message;
	gateway->task.ctx = gateway;
	kind = kn_register(kernel, &gateway->task, status);
	if (kind != ST_OK)
		return kind;
	gateway->caller_check.at_us = tm_now_us();
	gw_on_caller_check(gateway);
	kind = hd_init(&gateway->http, kernel->loop, &settings->callers,
		       gw_on_request, gateway, status);
	gateway->body_budget.limit_bytes = gw_body_budget(settings);
	if (kind == ST_OK)
		hd_use_limits(&gateway->http, &gateway->body_budget);
	return kind;
}

void gw_limit_hosts(struct gw_gateway *gateway, struct hd_server *http)
{
	gateway->hosts_http = http;
	hd_use_limits(http, &gateway->body_budget);
}

/* What still runs gets an answer rather than a connection that breaks. */
static void gw_on_kill_near(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	GList *calls = g_hash_table_get_values(gateway->calls);

	for (GList *l = calls; l; l = l->next)
		gw_expire_call(l->data);
	g_list_free(calls);
	gw_end_forwards(gateway);
}

void gw_announce_stop(struct gw_gateway *gateway, uint64_t kill_us)
{
	gateway->stopping = true;
	gateway->kill_us = kill_us;
	gateway->kill_timer.fire = gw_on_kill_near;
	gateway->kill_timer.ctx = gateway;
	if (kill_us)
		tm_subscribe(gateway->timers, &gateway->kill_timer,
			     kill_us - GW_KILL_MARGIN_US);
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

bool gw_is_ready(const struct gw_gateway *gateway)
{
	return gateway->document && !gateway->stopping;
}

bool gw_is_idle(const struct gw_gateway *gateway)
{
	return !gateway->calls_in_flight &&
	       (!gateway->orders || od_is_idle(gateway->orders));
}

void gw_close(struct gw_gateway *gateway)
{
	gw_stop_listening(gateway);
	hd_close_all(&gateway->http);
	pb_free(&gateway->prober);
	gw_close_crash_checks(gateway);
	gw_close_reach(gateway);
	gw_close_early_calls(gateway);
	tm_cancel(gateway->timers, &gateway->caller_check);
	tm_cancel(gateway->timers, &gateway->kill_timer);
	tm_cancel(gateway->timers, &gateway->core_timer);
	for (guint i = 0; i < gateway->servers->len; i++) {
		struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		hc_pool_close(&server->pool, NULL, NULL);
	}
	gw_close_peers(gateway);
}

static void gw_free_server(void *ptr)
{
	struct gw_server *server = ptr;

	tx_unref(server->name);
	tx_unref(server->probe_path);
	g_free(server);
}

void gw_free(struct gw_gateway *gateway)
{
	hd_free(&gateway->http);
	core_free(&gateway->core);
	cg_free(&gateway->crash_guard);
	tr_close(&gateway->trace);
	g_ptr_array_set_free_func(gateway->servers, gw_free_server);
	g_ptr_array_free(gateway->servers, TRUE);
	gw_free_peers(gateway);
	tx_list_free(&gateway->services);
	g_array_free(gateway->hosts, TRUE);
	g_hash_table_destroy(gateway->server_ids);
	g_hash_table_destroy(gateway->calls);
	g_hash_table_destroy(gateway->route_states);
	g_array_free(gateway->events, TRUE);
	g_rand_free(gateway->random);
	g_free(gateway->service_ids);
	doc_unref(gateway->document);
}
