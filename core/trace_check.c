#include "core/trace_check.h"

#include <string.h>

/*
 * The checker keeps its own state from the events and actions and does not use
 * the state of the decision core, so that it also finds errors in that state.
 */
enum { TR_US_PER_S = 1000 * 1000, TR_US_PER_MS = 1000 };

struct tr_attempt {
	bool sent;
	bool not_run; /* the request certainly did not run */
};

struct tr_call {
	bool idempotent;
	struct tr_attempt attempts[CORE_MAX_ATTEMPTS];
};

struct tr_server {
	uint32_t service;
	uint32_t zone;
	/* [0]: in the configuration; [1 + S]: enum core_leaving_source S */
	bool leaving[1 + CORE_LEAVING_SOURCE_COUNT];
	uint64_t leaving_since_us; /* 0: not leaving */
};

struct tr_probe {
	uint64_t at_us; /* when it was sent */
	uint32_t server;
	uint32_t bytes; /* both ways; 0 until it ended */
	bool cross_zone;
	bool ended;
};

/*
 * Budgets of a service and what was used of them. The probe budgets are this
 * host's share. Each budget is the largest of all configurations in the trace.
 */
struct tr_service {
	uint64_t probe_requests_per_s;
	uint64_t probe_bytes_per_s;
	uint64_t probe_cross_zone_bytes_per_s;
	uint32_t retry_percent;
	uint64_t calls;
	uint64_t extra_attempts; /* retries and hedges */
	GArray *probes;
};

struct tr_check {
	uint64_t now_us;
	uint64_t line;
	uint32_t zone;
	GHashTable *calls;
	GArray *servers;
	GPtrArray *services;
	/* Calls, attempts, retries and probes, by their *_MIN outcome. */
	uint64_t counts[TR_OUTCOME_COUNT];
	uint64_t calls_ended;
	uint64_t calls_completed;
	/* Longest time from the start of a server's leaving to a send to it. */
	uint64_t max_late_us;
	uint64_t max_late_line;
	/* Trace line of the first violation; 0: none. */
	uint64_t violation_lines[TR_OUTCOME_COUNT];
};

static const char *const tr_outcome_names[] = {
#define X(id, name, help) name,
	TR_OUTCOMES(X)
#undef X
};

static const char *const tr_outcome_help[] = {
#define X(id, name, help) help,
	TR_OUTCOMES(X)
#undef X
};

bool tr_parse_outcomes(const char *text, size_t text_bytes,
		       struct tr_outcomes *outcomes, struct ym_errors *errors)
{
	uint32_t before = errors->count;
	struct ym_node *root = ym_parse(text, text_bytes, errors);
	struct ym_node *map;

	memset(outcomes, 0, sizeof(*outcomes));
	if (!root)
		return false;
	ym_string(root, "recorded", NULL, errors);
	map = ym_need(root, "outcomes", YM_MAPPING, errors);
	for (int i = 0; map && i < TR_OUTCOME_COUNT; i++) {
		const char *name = tr_outcome_names[i];
		struct ym_node *node = ym_get(map, name);

		if (!node)
			continue;
		outcomes->expected[i] = true;
		outcomes->bound[i] = 1;
		if (!node->value || strcmp(node->value, "true"))
			outcomes->bound[i] =
				ym_need_uint(map, name, 0, UINT32_MAX, errors);
	}
	if (map)
		ym_check_unused(map, errors);
	ym_check_unused(root, errors);
	ym_free(root);
	return errors->count == before;
}

static void tr_service_free(void *ptr)
{
	struct tr_service *service = ptr;

	g_array_free(service->probes, TRUE);
	g_free(service);
}

struct tr_check *tr_check_new(void)
{
	struct tr_check *check = g_new0(struct tr_check, 1);

	check->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	check->servers = g_array_new(FALSE, TRUE, sizeof(struct tr_server));
	check->services = g_ptr_array_new_with_free_func(tr_service_free);
	return check;
}

void tr_check_free(struct tr_check *check)
{
	g_hash_table_destroy(check->calls);
	g_array_free(check->servers, TRUE);
	g_ptr_array_free(check->services, TRUE);
	g_free(check);
}

static struct tr_server *tr_server_at(struct tr_check *check, uint32_t id)
{
	if (id >= check->servers->len)
		g_array_set_size(check->servers, id + 1);
	return &g_array_index(check->servers, struct tr_server, id);
}

static struct tr_service *tr_service_at(struct tr_check *check, uint32_t id)
{
	while (id >= check->services->len) {
		struct tr_service *service = g_new0(struct tr_service, 1);

		service->probes =
			g_array_new(FALSE, FALSE, sizeof(struct tr_probe));
		g_ptr_array_add(check->services, service);
	}
	return g_ptr_array_index(check->services, id);
}

static void tr_record_violation(struct tr_check *check, enum tr_outcome outcome)
{
	if (!check->violation_lines[outcome])
		check->violation_lines[outcome] = check->line;
}

static void tr_set_leaving(struct tr_check *check, struct tr_server *server,
			   uint32_t index, bool leaving)
{
	bool any = false;

	server->leaving[index] = leaving;
	for (size_t i = 0; i < G_N_ELEMENTS(server->leaving); i++)
		any |= server->leaving[i];
	if (!any)
		server->leaving_since_us = 0;
	else if (!server->leaving_since_us)
		server->leaving_since_us = check->now_us;
}

static void tr_on_conf(struct tr_check *check, const struct core_conf *conf)
{
	uint32_t hosts = 0;

	for (uint32_t i = 0; i < conf->host_count; i++)
		hosts += !conf->hosts[i].draining;
	hosts = MAX(MAX(hosts, conf->budget_hosts), 1);
	check->zone = conf->zone;
	for (uint32_t i = 0; i < conf->service_count; i++) {
		const struct core_service_conf *from = &conf->services[i];
		struct tr_service *to = tr_service_at(check, from->id);

		to->probe_requests_per_s =
			MAX(to->probe_requests_per_s,
			    from->probe_requests_per_s / hosts);
		to->probe_bytes_per_s = MAX(to->probe_bytes_per_s,
					    from->probe_bytes_per_s / hosts);
		to->probe_cross_zone_bytes_per_s =
			MAX(to->probe_cross_zone_bytes_per_s,
			    from->probe_cross_zone_bytes_per_s / hosts);
		to->retry_percent = MAX(to->retry_percent, from->retry_percent);
		for (uint32_t k = 0; k < from->server_count; k++) {
			struct tr_server *server =
				tr_server_at(check, from->servers[k].id);

			server->service = from->id;
			server->zone = from->servers[k].zone;
			tr_set_leaving(check, server, 0,
				       from->servers[k].leaving);
		}
	}
}

static void tr_on_call(struct tr_check *check, const struct core_event *event)
{
	struct tr_call *call = g_new0(struct tr_call, 1);
	uint64_t *id = g_new(uint64_t, 1);

	*id = event->u.call.call;
	call->idempotent = event->u.call.idempotent;
	g_hash_table_replace(check->calls, id, call);
	check->counts[TR_OUT_CALLS_MIN]++;
	if (event->u.call.service < check->services->len)
		tr_service_at(check, event->u.call.service)->calls++;
}

static void tr_set_attempt(struct tr_check *check, uint64_t id, uint32_t index,
			   bool not_run)
{
	struct tr_call *call = g_hash_table_lookup(check->calls, &id);

	if (!call || index >= CORE_MAX_ATTEMPTS)
		return;
	call->attempts[index].sent = true;
	call->attempts[index].not_run = not_run;
}

/*
 * Attributes the bytes of a probe report to the server's oldest probe that has
 * not ended. They count in the budget at the time when that probe was sent.
 */
static void tr_on_probe_report(struct tr_check *check,
			       const struct core_event *event)
{
	struct tr_server *server = tr_server_at(check, event->u.report.server);
	struct tr_service *service = tr_service_at(check, server->service);

	for (guint i = 0; i < service->probes->len; i++) {
		struct tr_probe *probe =
			&g_array_index(service->probes, struct tr_probe, i);

		if (probe->ended || probe->server != event->u.report.server)
			continue;
		probe->ended = true;
		probe->bytes = event->u.report.bytes;
		return;
	}
}

void tr_check_event(struct tr_check *check, const struct core_event *event,
		    uint64_t line)
{
	check->now_us = event->now_us;
	check->line = line;
	switch (event->kind) {
	case CORE_EV_CONF:
		tr_on_conf(check, event->u.conf);
		break;
	case CORE_EV_CALL:
		tr_on_call(check, event);
		break;
	case CORE_EV_SENT:
		tr_set_attempt(check, event->u.attempt.call,
			       event->u.attempt.attempt, false);
		break;
	case CORE_EV_ENDED:
		tr_set_attempt(check, event->u.ended.call,
			       event->u.ended.attempt,
			       !core_end_may_have_run(event->u.ended.end));
		break;
	case CORE_EV_SERVER:
		if (event->u.server.server < check->servers->len)
			tr_set_leaving(
				check,
				tr_server_at(check, event->u.server.server),
				1 + (uint32_t)event->u.server.source,
				event->u.server.leaving);
		break;
	case CORE_EV_REPORT:
		if (event->u.report.source == CORE_FROM_PROBE &&
		    event->u.report.server < check->servers->len)
			tr_on_probe_report(check, event);
		break;
	default:
		break;
	}
}

static bool tr_may_have_run(const struct tr_call *call)
{
	for (int i = 0; i < CORE_MAX_ATTEMPTS; i++)
		if (call->attempts[i].sent && !call->attempts[i].not_run)
			return true;
	return false;
}

static void tr_on_send(struct tr_check *check, const struct core_action *action)
{
	struct tr_server *server = tr_server_at(check, action->server);
	struct tr_service *service = tr_service_at(check, action->service);
	struct tr_call *call = g_hash_table_lookup(check->calls, &action->call);
	uint64_t late_us = server->leaving_since_us ?
				   check->now_us - server->leaving_since_us :
				   0;

	check->counts[TR_OUT_SENDS_MIN]++;
	if (call && !call->idempotent && tr_may_have_run(call))
		tr_record_violation(check, TR_OUT_SINGLE_SEND);
	if (late_us > check->max_late_us) {
		check->max_late_us = late_us;
		check->max_late_line = check->line;
	}
	if (!action->attempt)
		return;
	check->counts[TR_OUT_RETRIES_MIN]++;
	if (++service->extra_attempts * 100 >
	    service->calls * service->retry_percent)
		tr_record_violation(check, TR_OUT_RETRY_BUDGET);
}

static void tr_on_finish(struct tr_check *check,
			 const struct core_action *action)
{
	struct tr_call *call = g_hash_table_lookup(check->calls, &action->call);

	check->calls_ended++;
	check->calls_completed += action->result == ST_OK;
	if (call && st_not_run(action->result) && tr_may_have_run(call))
		tr_record_violation(check, TR_OUT_NOT_RUN_TRUE);
	g_hash_table_remove(check->calls, &action->call);
}

static void tr_on_probe(struct tr_check *check,
			const struct core_action *action)
{
	struct tr_probe probe = { .at_us = check->now_us,
				  .server = action->server };

	probe.cross_zone =
		tr_server_at(check, action->server)->zone != check->zone;
	check->counts[TR_OUT_PROBES_MIN]++;
	g_array_append_val(tr_service_at(check, action->service)->probes,
			   probe);
}

void tr_check_action(struct tr_check *check, const struct core_action *action)
{
	if (action->kind == CORE_ACT_SEND)
		tr_on_send(check, action);
	else if (action->kind == CORE_ACT_FINISH)
		tr_on_finish(check, action);
	else if (action->kind == CORE_ACT_PROBE)
		tr_on_probe(check, action);
}

/*
 * Whether the probes in the second that ends with probe LAST stay within the
 * budgets. A single probe is always allowed, even if a budget is smaller.
 */
static bool tr_second_in_budget(const struct tr_service *service, guint last)
{
	const struct tr_probe *probes =
		(const struct tr_probe *)(const void *)service->probes->data;
	uint64_t requests = 0;
	uint64_t bytes = 0;
	uint64_t cross_zone_bytes = 0;

	for (guint i = last + 1; i--;) {
		if (probes[last].at_us - probes[i].at_us >= TR_US_PER_S)
			break;
		requests++;
		bytes += probes[i].bytes;
		cross_zone_bytes += probes[i].cross_zone ? probes[i].bytes : 0;
	}
	return requests <= MAX(service->probe_requests_per_s, 1) &&
	       bytes <= MAX(service->probe_bytes_per_s, CORE_PROBE_MAX_BYTES) &&
	       cross_zone_bytes <= MAX(service->probe_cross_zone_bytes_per_s,
				       CORE_PROBE_MAX_BYTES);
}

static bool tr_probes_in_budget(const struct tr_check *check)
{
	for (guint i = 0; i < check->services->len; i++) {
		const struct tr_service *service =
			g_ptr_array_index(check->services, i);

		for (guint k = 0; k < service->probes->len; k++)
			if (!tr_second_in_budget(service, k))
				return false;
	}
	return true;
}

static bool tr_outcome_holds(const struct tr_check *check,
			     enum tr_outcome outcome, uint64_t bound)
{
	switch (outcome) {
	case TR_OUT_LEAVING_MS:
		return check->max_late_us <= bound * TR_US_PER_MS;
	case TR_OUT_PROBE_BUDGET:
		return tr_probes_in_budget(check);
	case TR_OUT_COMPLETED_PERCENT_MIN:
		return check->calls_completed * 100 >=
		       check->calls_ended * bound;
	case TR_OUT_COMPLETED_PERCENT_MAX:
		return check->calls_completed * 100 <=
		       check->calls_ended * bound;
	case TR_OUT_CALLS_MIN:
	case TR_OUT_SENDS_MIN:
	case TR_OUT_RETRIES_MIN:
	case TR_OUT_PROBES_MIN:
		return check->counts[outcome] >= bound;
	default:
		return !check->violation_lines[outcome];
	}
}

static uint64_t tr_violation_line(const struct tr_check *check,
				  enum tr_outcome outcome)
{
	return outcome == TR_OUT_LEAVING_MS ? check->max_late_line :
					      check->violation_lines[outcome];
}

uint32_t tr_check_outcomes(const struct tr_check *check,
			   const struct tr_outcomes *outcomes, GString *out)
{
	uint32_t failed = 0;

	for (int i = 0; i < TR_OUTCOME_COUNT; i++) {
		enum tr_outcome outcome = (enum tr_outcome)i;
		bool holds =
			tr_outcome_holds(check, outcome, outcomes->bound[i]);
		uint64_t line = tr_violation_line(check, outcome);

		if (!outcomes->expected[i])
			continue;
		failed += !holds;
		g_string_append_printf(out, "%s %s %" G_GUINT64_FORMAT ": %s",
				       holds ? "holds" : "FAILS",
				       tr_outcome_names[i], outcomes->bound[i],
				       tr_outcome_help[i]);
		if (!holds && line)
			g_string_append_printf(
				out, " (line %" G_GUINT64_FORMAT ")", line);
		g_string_append_c(out, '\n');
	}
	return failed;
}
