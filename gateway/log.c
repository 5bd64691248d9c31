#include "gateway/state.h"

#include <string.h>

#include "core/outcome.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"

static uint64_t gw_elapsed_ms(uint64_t from_us, uint64_t to_us)
{
	return to_us > from_us ? (to_us - from_us) / GW_US_PER_MS : 0;
}

static void gw_set_text(json_t *line, const char *key, const char *value)
{
	json_object_set_new(line, key, lg_text(value, strlen(value)));
}

static void gw_set_number(json_t *line, const char *key, uint64_t value)
{
	json_object_set_new(line, key, json_integer((json_int_t)value));
}

static void gw_set_key(json_t *line, const struct cg_key *key)
{
	char text[CG_KEY_TEXT_BYTES];

	cg_key_to_text(key, text);
	gw_set_text(line, "request_key", text);
}

/* Leaves out inputs that are unknown. */
static void gw_set_inputs(json_t *line, const struct core_inputs *inputs)
{
	if (inputs->report_age_ms != UINT32_MAX) {
		gw_set_number(line, "report_age_ms", inputs->report_age_ms);
		gw_set_number(line, "running", inputs->running);
		gw_set_number(line, "waiting", inputs->waiting);
	}
	if (inputs->pace_percent)
		gw_set_number(line, "pace_percent", inputs->pace_percent);
	if (inputs->expected_ms)
		gw_set_number(line, "expected_ms", inputs->expected_ms);
	if (inputs->asked)
		gw_set_number(line, "asked", inputs->asked);
	gw_set_number(line, "own_in_flight", inputs->in_flight);
	gw_set_number(line, "retry_credit", inputs->retry_credit);
	if (inputs->pressure_percent)
		gw_set_number(line, "pressure_percent",
			      inputs->pressure_percent);
}

static const struct gw_server *gw_server_of(const struct gw_attempt *attempt)
{
	return g_ptr_array_index(attempt->call->gateway->servers,
				 attempt->server);
}

static json_t *gw_call_line(const struct gw_call *call)
{
	const struct gw_gateway *gateway = call->gateway;
	json_t *line = json_object();

	gw_set_text(line, "id", call->request_id);
	if (call->route)
		gw_set_text(line, "route", call->route);
	if (call->service < tx_list_count(&gateway->services))
		gw_set_text(line, "service",
			    tx_list_name(&gateway->services, call->service));
	if (call->customer)
		gw_set_text(line, "customer", call->customer);
	gw_set_number(line, "generation", call->generation);
	if (call->waited_us)
		gw_set_number(line, "waited_ms",
			      call->waited_us / GW_US_PER_MS);
	return line;
}

void gw_log_attempt_start(const struct gw_attempt *attempt, bool hedge)
{
	const struct gw_call *call = attempt->call;
	json_t *line;

	if (!lg_should_write(LG_EV_SEND))
		return;
	line = gw_call_line(call);
	gw_set_number(line, "attempt", attempt->index);
	gw_set_text(line, "why",
		    hedge	   ? "hedge" :
		    attempt->index ? "retry" :
				     "first");
	gw_set_text(line, "server", gw_server_of(attempt)->name);
	gw_set_number(line, "left_ms",
		      gw_elapsed_ms(tm_now_us(), call->deadline_us));
	gw_set_inputs(line, &attempt->inputs);
	lg_write(LG_EV_SEND, line);
}

void gw_log_attempt_end(const struct gw_attempt *attempt, const char *msg)
{
	json_t *line;

	if (!lg_should_write(LG_EV_ATTEMPT))
		return;
	line = gw_call_line(attempt->call);
	gw_set_number(line, "attempt", attempt->index);
	gw_set_text(line, "server", gw_server_of(attempt)->name);
	gw_set_text(line, "end", core_end_name(attempt->end));
	if (attempt->status)
		gw_set_number(line, "status", (uint64_t)attempt->status);
	gw_set_number(line, "took_ms",
		      gw_elapsed_ms(attempt->begin_us, tm_now_us()));
	gw_set_text(line, "message", msg);
	lg_write(LG_EV_ATTEMPT, line);
}

/* All attempts, so that the line of a failed call is complete by itself. */
static json_t *gw_attempt_list(const struct gw_call *call)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < call->attempt_count; i++) {
		const struct gw_attempt *attempt = &call->attempts[i];
		json_t *item = json_object();

		gw_set_text(item, "server", gw_server_of(attempt)->name);
		gw_set_text(item, "end",
			    attempt->end_us ? core_end_name(attempt->end) :
					      "open");
		gw_set_number(item, "began_ms",
			      gw_elapsed_ms(call->begin_us, attempt->begin_us));
		if (attempt->end_us)
			gw_set_number(item, "took_ms",
				      gw_elapsed_ms(attempt->begin_us,
						    attempt->end_us));
		gw_set_inputs(item, &attempt->inputs);
		json_array_append_new(list, item);
	}
	return list;
}

static bool gw_is_success(const struct gw_call *call)
{
	return call->result == ST_OK && call->answer_status &&
	       call->answer_status < 500;
}

static const char *gw_framing_name(const h2o_req_t *req)
{
	if (req->res.content_length != SIZE_MAX)
		return "length";
	if (hd_ends_with_connection(req) || req->version >= 0x200)
		return "end";
	return "chunks";
}

/* What a caller has of an answer that ends before its end. */
static void gw_set_begun_answer(json_t *line, const struct gw_call *call)
{
	if (!call->answer_started)
		return;
	gw_set_number(line, "answer_bytes", call->answer_bytes);
	if (call->req)
		gw_set_text(line, "framing", gw_framing_name(call->req));
}

void gw_log_forward(const struct gw_call *call, uint32_t try_number)
{
	json_t *line;

	if (!lg_should_write(LG_EV_FORWARD))
		return;
	line = gw_call_line(call);
	gw_set_text(line, "to", call->forwarded_to);
	gw_set_number(line, "try", try_number);
	gw_set_number(line, "left_ms",
		      gw_elapsed_ms(tm_now_us(), call->deadline_us));
	lg_write(LG_EV_FORWARD, line);
}

void gw_log_call_end(const struct gw_call *call)
{
	bool success = gw_is_success(call);
	enum lg_event_id id = success ? LG_EV_END : LG_EV_FAIL;
	uint64_t took_us = tm_now_us() - call->begin_us;
	json_t *line;

	if (call->service < tx_list_count(&call->gateway->services))
		hg_observe(
			tx_list_name(&call->gateway->services, call->service),
			success ? "success" : st_name(call->result), took_us);
	if (!lg_should_write(id))
		return;
	line = gw_call_line(call);
	gw_set_text(line, "result", st_name(call->result));
	gw_set_text(line, "outcome", oc_outcome_name(call->result));
	if (call->answer_status)
		gw_set_number(line, "status", (uint64_t)call->answer_status);
	if (call->unproven_status)
		gw_set_number(line, "unproven_status",
			      (uint64_t)call->unproven_status);
	if (call->forwarded_to)
		gw_set_text(line, "forwarded_to", call->forwarded_to);
	gw_set_number(line, "took_ms", took_us / GW_US_PER_MS);
	gw_set_number(line, "left_ms",
		      gw_elapsed_ms(tm_now_us(), call->deadline_us));
	if (!success) {
		gw_set_begun_answer(line, call);
		json_object_set_new(line, "caller_left",
				    json_boolean(gw_caller_left(call)));
		if (call->result == ST_CALLER_LEFT)
			gw_set_number(
				line, "check_gap_ms",
				gw_elapsed_ms(call->gateway->caller_check_us,
					      tm_now_us()));
		json_object_set_new(line, "idempotent",
				    json_boolean(call->idempotent));
		gw_set_inputs(line, &call->inputs);
		if (call->result == ST_BLOCKED)
			gw_set_key(line, &call->key);
	}
	json_object_set_new(line, "attempts", gw_attempt_list(call));
	lg_write(id, line);
}

void gw_log_stall(const struct gw_gateway *gateway, uint64_t stall_us)
{
	json_t *line;

	if (!lg_should_write(LG_EV_STALL))
		return;
	line = json_object();
	gw_set_number(line, "ms", stall_us / GW_US_PER_MS);
	gw_set_number(line, "calls_in_flight", gateway->calls_in_flight);
	lg_write(LG_EV_STALL, line);
}

static const char *gw_source_name(enum core_report_source source)
{
	return source == CORE_FROM_PROBE ? "probe" : "answer";
}

void gw_log_rate_limit(const struct gw_server *server,
		       enum core_report_source source)
{
	json_t *line;

	if (!lg_should_write(LG_EV_LIMIT))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	json_object_set_new(line, "limited",
			    json_boolean(server->rate_limited));
	if (server->rate_limited)
		gw_set_number(line, "milli_per_s", server->rate_limit_milli);
	gw_set_text(line, "said_by", gw_source_name(source));
	lg_write(LG_EV_LIMIT, line);
}

void gw_log_cold(const struct gw_server *server, uint64_t left_us,
		 bool by_probe)
{
	json_t *line;

	if (!lg_should_write(LG_EV_COLD))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	gw_set_number(line, "left_ms", left_us / GW_US_PER_MS);
	gw_set_number(line, "milli_per_s", server->warmup_milli_per_s);
	gw_set_text(line, "said_by", by_probe ? "probe" : "entry");
	lg_write(LG_EV_COLD, line);
}

void gw_log_warm(const struct gw_server *server)
{
	json_t *line;

	if (!lg_should_write(LG_EV_WARM))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	lg_write(LG_EV_WARM, line);
}

void gw_log_pause(const struct gw_gateway *gateway,
		  const struct core_event *event)
{
	const struct gw_server *server =
		g_ptr_array_index(gateway->servers, event->u.pause.server);
	uint64_t duration_us = event->u.pause.duration_us;
	json_t *line;

	if (!lg_should_write(LG_EV_PAUSE))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	gw_set_number(line, "ms", duration_us / GW_US_PER_MS);
	json_object_set_new(
		line, "bounded",
		json_boolean(!duration_us || duration_us >= DL_MAX_PAUSE_US));
	gw_set_text(line, "said_by", gw_source_name(event->u.pause.source));
	lg_write(LG_EV_PAUSE, line);
}

void gw_log_crash(const struct gw_server *server, uint32_t calls)
{
	json_t *line;

	if (!lg_should_write(LG_EV_CRASH))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	gw_set_number(line, "calls", calls);
	lg_write(LG_EV_CRASH, line);
}

void gw_log_cut(const struct gw_gateway *gateway)
{
	const struct rc_failures *failures = &gateway->reach.evidence.all;
	json_t *line;

	if (!lg_should_write(LG_EV_CUT))
		return;
	line = json_object();
	gw_set_number(line, "silent_ms",
		      gw_elapsed_ms(failures->first_us, tm_now_us()));
	gw_set_number(line, "failed_servers", failures->count);
	gw_set_number(line, "servers", gateway->servers_in_use);
	gw_set_number(line, "calls_in_flight", gateway->calls_in_flight);
	lg_write(LG_EV_CUT, line);
}

void gw_log_reached(const struct gw_gateway *gateway)
{
	json_t *line;

	if (!lg_should_write(LG_EV_REACHED))
		return;
	line = json_object();
	gw_set_number(line, "lasted_ms",
		      gw_elapsed_ms(gateway->reach.cut_since_us, tm_now_us()));
	lg_write(LG_EV_REACHED, line);
}

void gw_log_check(const struct gw_server *server, uint32_t calls,
		  const char *result)
{
	json_t *line;

	if (!lg_should_write(LG_EV_CHECK))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	gw_set_number(line, "calls", calls);
	gw_set_text(line, "result", result);
	lg_write(LG_EV_CHECK, line);
}

static void gw_set_finder(json_t *line, bool by_this_host)
{
	gw_set_text(line, "found_by",
		    by_this_host ? "this-host" : "other-host");
}

void gw_log_suspect(const struct gw_gateway *gateway, const struct cg_key *key,
		    uint32_t crashes, bool by_this_host)
{
	json_t *line;

	if (!lg_should_write(LG_EV_SUSPECT))
		return;
	line = json_object();
	gw_set_key(line, key);
	gw_set_number(line, "crashes", crashes);
	gw_set_finder(line, by_this_host);
	lg_write(LG_EV_SUSPECT, line);
}

void gw_log_block(const struct gw_gateway *gateway, const struct cg_key *key,
		  bool by_this_host)
{
	json_t *line;

	if (!lg_should_write(LG_EV_BLOCK))
		return;
	line = json_object();
	gw_set_key(line, key);
	gw_set_number(line, "left_ms",
		      cg_blocked_us(&gateway->crash_guard, key, tm_now_us()) /
			      GW_US_PER_MS);
	gw_set_finder(line, by_this_host);
	lg_write(LG_EV_BLOCK, line);
}

void gw_log_refusal(const struct gw_gateway *gateway, h2o_req_t *req,
		    enum st_kind kind)
{
	const char *name = gateway->dialect->call_id;
	h2o_iovec_t id = { 0 };
	json_t *line;

	if (name)
		id = hd_header(req, name);
	if (!lg_should_write(LG_EV_REFUSE))
		return;
	line = json_object();
	json_object_set_new(line, "id",
			    id.base ? lg_text(id.base, id.len) : NULL);
	json_object_set_new(line, "host_header",
			    lg_text(req->authority.base, req->authority.len));
	json_object_set_new(line, "path",
			    lg_text(req->path.base, req->path.len));
	gw_set_text(line, "result", st_name(kind));
	gw_set_number(line, "generation",
		      gateway->document ? gateway->document->generation : 0);
	gw_set_number(line, "routes",
		      gateway->document ? gateway->document->route_count : 0);
	lg_write(LG_EV_REFUSE, line);
}

void gw_log_health_change(void *ctx, const struct core_health_change *change)
{
	const struct gw_gateway *gateway = ctx;
	const struct gw_server *server =
		g_ptr_array_index(gateway->servers, change->server);
	enum lg_event_id id =
		change->ejected ? LG_EV_SERVER_OUT : LG_EV_SERVER_BACK;
	json_t *line;

	if (!lg_should_write(id))
		return;
	line = json_object();
	gw_set_text(line, "server", server->name);
	gw_set_text(line, "address", server->pool.address.text);
	gw_set_number(line, "errors_in_row", change->errors);
	if (change->ejected)
		gw_set_number(line, "back_off_ms", change->back_off_ms);
	lg_write(id, line);
}
