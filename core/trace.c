#include "core/trace.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

#include <jansson.h>

#include "base/log.h"

enum { TR_MAX_SERVICES = 4096, TR_MAX_LIST_ITEMS = 65536 };

/* Types of fields. TR_HASH is a hexadecimal string, TR_NAME an enumerator. */
enum tr_field_type { TR_U64, TR_U32, TR_BOOL, TR_HASH, TR_NAME };

struct tr_field {
	const char *name; /* NULL: end of the array */
	size_t offset;
	const char *(*value_name)(uint32_t value); /* of a TR_NAME */
	enum tr_field_type type;
	uint32_t value_count; /* of a TR_NAME */
	bool optional; /* left zero when the trace does not have it */
};

static const char *tr_source_name(uint32_t value)
{
	static const char *const names[] = { "answer", "probe", "peer" };

	return names[value];
}

static const char *tr_leaving_source_name(uint32_t value)
{
	static const char *const names[] = { "told", "answer", "for-good" };

	return names[value];
}

static const char *tr_end_name(uint32_t value)
{
	return core_end_name((enum core_end)value);
}

static const char *tr_policy_name(uint32_t value)
{
	return core_policy_name((enum core_policy)value);
}

static const char *tr_result_name(uint32_t value)
{
	return st_name((enum st_kind)value);
}

#define TR_EV(name, type, member)                                         \
	{                                                                 \
		name, offsetof(struct core_event, member), NULL, type, 0, \
			false                                             \
	}
#define TR_EV_OPTIONAL(name, type, member)                                     \
	{                                                                      \
		name, offsetof(struct core_event, member), NULL, type, 0, true \
	}
#define TR_EV_NAME(name, member, text, values)                            \
	{                                                                 \
		name, offsetof(struct core_event, member), text, TR_NAME, \
			values, false                                     \
	}
#define TR_FIELDS_END                           \
	{                                       \
		NULL, 0, NULL, TR_U64, 0, false \
	}

static const struct tr_field tr_call_fields[] = {
	TR_EV("call", TR_U64, u.call.call),
	TR_EV("service", TR_U32, u.call.service),
	TR_EV("caller", TR_U32, u.call.caller),
	TR_EV("deadline_us", TR_U64, u.call.deadline_us),
	TR_EV("idempotent", TR_BOOL, u.call.idempotent),
	TR_EV_OPTIONAL("target_us", TR_U64, u.call.target_us),
	TR_EV_OPTIONAL("waited_us", TR_U64, u.call.waited_us),
	TR_EV_OPTIONAL("max_attempts", TR_U32, u.call.max_attempts),
	TR_EV_OPTIONAL("bulky", TR_BOOL, u.call.bulky),
	TR_EV_OPTIONAL("customer", TR_U32, u.call.customer),
	TR_EV_OPTIONAL("work_class", TR_U32, u.call.work_class),
	TR_FIELDS_END,
};

static const struct tr_field tr_attempt_fields[] = {
	TR_EV("call", TR_U64, u.attempt.call),
	TR_EV("attempt", TR_U32, u.attempt.attempt),
	TR_FIELDS_END,
};

static const struct tr_field tr_ended_fields[] = {
	TR_EV("call", TR_U64, u.ended.call),
	TR_EV("attempt", TR_U32, u.ended.attempt),
	TR_EV_NAME("end", u.ended.end, tr_end_name, CORE_END_COUNT),
	TR_FIELDS_END,
};

static const struct tr_field tr_call_id_fields[] = {
	TR_EV("call", TR_U64, u.call_ref.call),
	TR_FIELDS_END,
};

static const struct tr_field tr_report_fields[] = {
	TR_EV("server", TR_U32, u.report.server),
	TR_EV_NAME("source", u.report.source, tr_source_name, 3),
	TR_EV("ok", TR_BOOL, u.report.ok),
	TR_EV("in_flight", TR_U32, u.report.in_flight),
	TR_EV("queued", TR_U32, u.report.queued),
	TR_EV("slots", TR_U32, u.report.slots),
	TR_EV_OPTIONAL("pace_percent", TR_U32, u.report.pace_percent),
	TR_EV("latency_us", TR_U32, u.report.latency_us),
	TR_EV("bytes", TR_U32, u.report.bytes),
	TR_FIELDS_END,
};

static const struct tr_field tr_server_fields[] = {
	TR_EV("server", TR_U32, u.server.server),
	TR_EV_NAME("sign", u.server.source, tr_leaving_source_name,
		   CORE_LEAVING_SOURCE_COUNT),
	TR_EV("leaving", TR_BOOL, u.server.leaving),
	TR_FIELDS_END,
};

static const struct tr_field tr_rate_limit_fields[] = {
	TR_EV("server", TR_U32, u.rate_limit.server),
	TR_EV_NAME("source", u.rate_limit.source, tr_source_name, 3),
	TR_EV("limited", TR_BOOL, u.rate_limit.limited),
	TR_EV("milli_per_s", TR_U32, u.rate_limit.milli_per_s),
	TR_FIELDS_END,
};

static const struct tr_field tr_pause_fields[] = {
	TR_EV("server", TR_U32, u.pause.server),
	TR_EV_NAME("source", u.pause.source, tr_source_name, 3),
	TR_EV("duration_us", TR_U64, u.pause.duration_us),
	TR_FIELDS_END,
};

static const struct tr_field tr_warmup_fields[] = {
	TR_EV("server", TR_U32, u.warmup.server),
	TR_EV("left_us", TR_U64, u.warmup.left_us),
	TR_FIELDS_END,
};

static const struct tr_field *const tr_event_fields[] = {
	[CORE_EV_CALL] = tr_call_fields,
	[CORE_EV_SENT] = tr_attempt_fields,
	[CORE_EV_ANSWER] = tr_attempt_fields,
	[CORE_EV_ENDED] = tr_ended_fields,
	[CORE_EV_CALLER_LEFT] = tr_call_id_fields,
	[CORE_EV_BLOCKED] = tr_call_id_fields,
	[CORE_EV_EXPIRED] = tr_call_id_fields,
	[CORE_EV_REACHED] = tr_call_id_fields,
	[CORE_EV_REPORT] = tr_report_fields,
	[CORE_EV_SERVER] = tr_server_fields,
	[CORE_EV_RATE_LIMIT] = tr_rate_limit_fields,
	[CORE_EV_PAUSE] = tr_pause_fields,
	[CORE_EV_WARMUP] = tr_warmup_fields,
	[CORE_EV_TIMER] = tr_call_id_fields,
};

#define TR_FIELD(structure, name, type, member)                         \
	{                                                               \
		name, offsetof(structure, member), NULL, type, 0, false \
	}

static const struct tr_field tr_action_fields[] = {
	TR_FIELD(struct core_action, "call", TR_U64, call),
	TR_FIELD(struct core_action, "attempt", TR_U32, attempt),
	TR_FIELD(struct core_action, "service", TR_U32, service),
	TR_FIELD(struct core_action, "server", TR_U32, server),
	{ "result", offsetof(struct core_action, result), tr_result_name,
	  TR_NAME, ST_KIND_COUNT, false },
	TR_FIELD(struct core_action, "at_us", TR_U64, at_us),
	TR_FIELD(struct core_action, "hedge", TR_BOOL, hedge),
	TR_FIELD(struct core_action, "report", TR_BOOL, report),
	TR_FIELDS_END,
};

static const struct tr_field tr_conf_fields[] = {
	TR_FIELD(struct core_conf, "host", TR_HASH, host_hash),
	TR_FIELD(struct core_conf, "zone", TR_U32, zone),
	TR_FIELD(struct core_conf, "latency_weight", TR_U32,
		 latency_weight_percent),
	TR_FIELD(struct core_conf, "budget_hosts", TR_U32, budget_hosts),
	TR_FIELDS_END,
};

static const struct tr_field tr_caller_fields[] = {
	TR_FIELD(struct core_caller_conf, "weight", TR_U32, weight),
	TR_FIELDS_END,
};

static const struct tr_field tr_customer_fields[] = {
	TR_FIELD(struct core_customer_conf, "weight", TR_U32, weight),
	TR_FIELDS_END,
};

static const struct tr_field tr_host_fields[] = {
	TR_FIELD(struct core_host_conf, "hash", TR_HASH, hash),
	TR_FIELD(struct core_host_conf, "zone", TR_U32, zone),
	TR_FIELD(struct core_host_conf, "draining", TR_BOOL, draining),
	TR_FIELDS_END,
};

static const struct tr_field tr_service_fields[] = {
	TR_FIELD(struct core_service_conf, "id", TR_U32, id),
	{ "policy", offsetof(struct core_service_conf, policy), tr_policy_name,
	  TR_NAME, CORE_POLICY_COUNT, false },
	TR_FIELD(struct core_service_conf, "queue_limit", TR_U32, queue_limit),
	TR_FIELD(struct core_service_conf, "retry_percent", TR_U32,
		 retry_percent),
	{ "retry_slack", offsetof(struct core_service_conf, retry_slack), NULL,
	  TR_U32, 0, true },
	TR_FIELD(struct core_service_conf, "probe_requests_per_s", TR_U32,
		 probe_requests_per_s),
	TR_FIELD(struct core_service_conf, "probe_bytes_per_s", TR_U32,
		 probe_bytes_per_s),
	TR_FIELD(struct core_service_conf, "probe_cross_zone_bytes_per_s",
		 TR_U32, probe_cross_zone_bytes_per_s),
	TR_FIELDS_END,
};

static const struct tr_field tr_conf_server_fields[] = {
	TR_FIELD(struct core_server_conf, "id", TR_U32, id),
	TR_FIELD(struct core_server_conf, "zone", TR_U32, zone),
	TR_FIELD(struct core_server_conf, "slots", TR_U32, slots),
	TR_FIELD(struct core_server_conf, "connections", TR_U32,
		 max_connections),
	{ "cold_ms", offsetof(struct core_server_conf, warmup_ms), NULL, TR_U32,
	  0, true },
	TR_FIELD(struct core_server_conf, "leaving", TR_BOOL, leaving),
	{ "evacuated", offsetof(struct core_server_conf, evacuated), NULL,
	  TR_BOOL, 0, true },
	{ "warmup_milli_per_s",
	  offsetof(struct core_server_conf, warmup_milli_per_s), NULL, TR_U32,
	  0, true },
	TR_FIELD(struct core_server_conf, "hash", TR_HASH, hash),
	TR_FIELDS_END,
};

/* Recording */

static void tr_put_field(GString *out, const struct tr_field *field,
			 const char *base)
{
	const void *member = base + field->offset;
	uint32_t u32 = 0;
	uint64_t u64 = 0;

	if (field->type == TR_U32 || field->type == TR_NAME)
		memcpy(&u32, member, sizeof(u32));
	if (field->type == TR_U64 || field->type == TR_HASH)
		memcpy(&u64, member, sizeof(u64));
	g_string_append_printf(out, "\"%s\":", field->name);
	switch (field->type) {
	case TR_U64:
		g_string_append_printf(out, "%" G_GUINT64_FORMAT, u64);
		break;
	case TR_U32:
		g_string_append_printf(out, "%u", u32);
		break;
	case TR_BOOL:
		g_string_append(out, *(const bool *)member ? "true" : "false");
		break;
	case TR_HASH:
		g_string_append_printf(out, "\"%016" G_GINT64_MODIFIER "x\"",
				       u64);
		break;
	case TR_NAME:
		g_string_append_printf(out, "\"%s\"", field->value_name(u32));
	}
}

static void tr_put_fields(GString *out, const struct tr_field *fields,
			  const void *base)
{
	for (; fields->name; fields++) {
		tr_put_field(out, fields, base);
		if (fields[1].name)
			g_string_append_c(out, ',');
	}
}

static void tr_put_list(GString *out, const char *name,
			const struct tr_field *fields, const void *base,
			size_t size, uint32_t count)
{
	g_string_append_printf(out, ",\"%s\":[", name);
	for (uint32_t i = 0; i < count; i++) {
		g_string_append(out, i ? ",{" : "{");
		tr_put_fields(out, fields, (const char *)base + i * size);
		g_string_append_c(out, '}');
	}
	g_string_append_c(out, ']');
}

static void tr_put_service(GString *out, const struct core_service_conf *conf)
{
	tr_put_fields(out, tr_service_fields, conf);
	tr_put_list(out, "servers", tr_conf_server_fields, conf->servers,
		    sizeof(conf->servers[0]), conf->server_count);
}

static void tr_put_conf(GString *out, const struct core_conf *conf)
{
	tr_put_fields(out, tr_conf_fields, conf);
	tr_put_list(out, "callers", tr_caller_fields, conf->callers,
		    sizeof(conf->callers[0]), conf->caller_count);
	if (conf->customer_count)
		tr_put_list(out, "customers", tr_customer_fields,
			    conf->customers, sizeof(conf->customers[0]),
			    conf->customer_count);
	tr_put_list(out, "hosts", tr_host_fields, conf->hosts,
		    sizeof(conf->hosts[0]), conf->host_count);
	g_string_append(out, ",\"services\":[");
	for (uint32_t i = 0; i < conf->service_count; i++) {
		g_string_append(out, i ? ",{" : "{");
		tr_put_service(out, &conf->services[i]);
		g_string_append_c(out, '}');
	}
	g_string_append_c(out, ']');
}

void tr_format_action(GString *out, const struct core_action *action)
{
	g_string_append_printf(out, "{\"act\":\"%s\",",
			       core_action_name(action->kind));
	tr_put_fields(out, tr_action_fields, action);
	g_string_append_c(out, '}');
}

enum st_kind tr_open(struct tr_trace *trace, const char *path,
		     uint64_t max_bytes, const char *host,
		     struct st_status *status)
{
	memset(trace, 0, sizeof(*trace));
	trace->file = fopen(path, "w");
	if (!trace->file)
		return st_set(status, ST_IO, "cannot open trace file %s: %s",
			      path, strerror(errno));
	trace->max_bytes = max_bytes;
	trace->buffer = g_string_sized_new(1024);
	g_string_append_printf(trace->buffer,
			       "{\"trace\":%d,\"host\":\"%s\"}\n", TR_VERSION,
			       host);
	tr_flush(trace);
	return ST_OK;
}

void tr_close(struct tr_trace *trace)
{
	if (trace->file)
		fclose(trace->file);
	if (trace->buffer)
		g_string_free(trace->buffer, TRUE);
	memset(trace, 0, sizeof(*trace));
}

void tr_record_event(struct tr_trace *trace, const struct core_event *event)
{
	GString *out = trace->buffer;

	if (!trace->file)
		return;
	g_string_append_printf(
		out, "{\"event\":\"%s\",\"now_us\":%" G_GUINT64_FORMAT ",",
		core_event_name(event->kind), event->now_us);
	if (event->kind == CORE_EV_CONF)
		tr_put_conf(out, event->u.conf);
	else
		tr_put_fields(out, tr_event_fields[event->kind], event);
	g_string_append(out, "}\n");
}

void tr_record_random(struct tr_trace *trace, uint32_t value)
{
	if (trace->file)
		g_string_append_printf(trace->buffer, "{\"random\":%u}\n",
				       value);
}

void tr_record_action(struct tr_trace *trace, const struct core_action *action)
{
	if (!trace->file)
		return;
	tr_format_action(trace->buffer, action);
	g_string_append_c(trace->buffer, '\n');
}

void tr_flush(struct tr_trace *trace)
{
	GString *buffer = trace->buffer;

	if (!trace->file)
		return;
	if (trace->written_bytes + buffer->len > trace->max_bytes ||
	    fwrite(buffer->str, 1, buffer->len, trace->file) != buffer->len ||
	    fflush(trace->file)) {
		lg_warn("trace",
			"size limit or write error; recording stopped after "
			"%" G_GUINT64_FORMAT " bytes",
			trace->written_bytes);
		tr_close(trace);
		return;
	}
	trace->written_bytes += buffer->len;
	g_string_truncate(buffer, 0);
}

/* Parsing */

static bool tr_set_error(struct st_status *status, const char *field,
			 const char *msg)
{
	st_set(status, ST_INVALID, "%s: %s", field, msg);
	return false;
}

static bool tr_get_name(const struct tr_field *field, const char *text,
			uint32_t *value)
{
	for (*value = 0; *value < field->value_count; (*value)++)
		if (!strcmp(field->value_name(*value), text))
			return true;
	return false;
}

static bool tr_get_string(const struct tr_field *field, json_t *value,
			  void *member, struct st_status *status)
{
	const char *text = json_string_value(value);
	uint32_t number;
	uint64_t hash;
	char *end;

	if (!text)
		return tr_set_error(status, field->name, "must be a string");
	if (field->type == TR_NAME) {
		if (!tr_get_name(field, text, &number))
			return tr_set_error(status, field->name,
					    "unknown name");
		memcpy(member, &number, sizeof(number));
		return true;
	}
	hash = g_ascii_strtoull(text, &end, 16);
	if (!*text || *end)
		return tr_set_error(status, field->name, "must be hexadecimal");
	memcpy(member, &hash, sizeof(hash));
	return true;
}

static bool tr_get_number(const struct tr_field *field, json_t *value,
			  void *member, struct st_status *status)
{
	json_int_t number = json_integer_value(value);
	uint64_t u64 = (uint64_t)number;
	uint32_t u32 = (uint32_t)number;

	if (!json_is_integer(value) || number < 0)
		return tr_set_error(status, field->name,
				    "must be a whole number");
	if (field->type == TR_U32 && u64 > UINT32_MAX)
		return tr_set_error(status, field->name, "too large");
	if (field->type == TR_U32)
		memcpy(member, &u32, sizeof(u32));
	else
		memcpy(member, &u64, sizeof(u64));
	return true;
}

static bool tr_get_field(json_t *object, const struct tr_field *field,
			 void *base, struct st_status *status)
{
	json_t *value = json_object_get(object, field->name);
	void *member = (char *)base + field->offset;

	if (!value && field->optional)
		return true;
	if (!value)
		return tr_set_error(status, field->name, "missing");
	if (field->type == TR_NAME || field->type == TR_HASH)
		return tr_get_string(field, value, member, status);
	if (field->type != TR_BOOL)
		return tr_get_number(field, value, member, status);
	if (!json_is_boolean(value))
		return tr_set_error(status, field->name,
				    "must be true or false");
	*(bool *)member = json_is_true(value);
	return true;
}

static bool tr_get_fields(json_t *object, const struct tr_field *fields,
			  void *base, struct st_status *status)
{
	for (; fields->name; fields++)
		if (!tr_get_field(object, fields, base, status))
			return false;
	return true;
}

/* Parses an array of objects into new memory, which CONF owns. */
static void *tr_get_list(struct tr_conf *conf, json_t *object, const char *name,
			 const struct tr_field *fields, size_t size,
			 uint32_t *count, struct st_status *status)
{
	json_t *list = json_object_get(object, name);
	char *memory;

	if (!json_is_array(list) || json_array_size(list) > TR_MAX_LIST_ITEMS) {
		tr_set_error(status, name, "must be a list");
		return NULL;
	}
	*count = (uint32_t)json_array_size(list);
	memory = g_malloc0(size * (*count + 1));
	g_ptr_array_add(conf->allocations, memory);
	for (uint32_t i = 0; i < *count; i++)
		if (!tr_get_fields(json_array_get(list, i), fields,
				   memory + i * size, status))
			return NULL;
	return memory;
}

static bool tr_get_services(struct tr_conf *conf, json_t *object,
			    struct st_status *status)
{
	json_t *list = json_object_get(object, "services");
	struct core_service_conf *services = tr_get_list(
		conf, object, "services", tr_service_fields, sizeof(*services),
		&conf->conf.service_count, status);

	if (!services)
		return false;
	conf->conf.services = services;
	for (uint32_t i = 0; i < conf->conf.service_count; i++) {
		services[i].servers = tr_get_list(
			conf, json_array_get(list, i), "servers",
			tr_conf_server_fields, sizeof(services[i].servers[0]),
			&services[i].server_count, status);
		if (!services[i].servers)
			return false;
		if (services[i].id >= TR_MAX_SERVICES)
			return tr_set_error(status, "id", "too large");
		for (uint32_t k = 0; k < services[i].server_count; k++)
			if (services[i].servers[k].id >= TR_MAX_LIST_ITEMS)
				return tr_set_error(status, "id", "too large");
	}
	return true;
}

static bool tr_get_conf(struct tr_conf *conf, json_t *object,
			struct st_status *status)
{
	struct core_conf *to = &conf->conf;

	conf->allocations = g_ptr_array_new_with_free_func(g_free);
	if (!tr_get_fields(object, tr_conf_fields, to, status))
		return false;
	to->callers =
		tr_get_list(conf, object, "callers", tr_caller_fields,
			    sizeof(to->callers[0]), &to->caller_count, status);
	if (!to->callers)
		return false;
	if (json_object_get(object, "customers")) {
		to->customers = tr_get_list(
			conf, object, "customers", tr_customer_fields,
			sizeof(to->customers[0]), &to->customer_count, status);
		if (!to->customers)
			return false;
	}
	to->hosts = tr_get_list(conf, object, "hosts", tr_host_fields,
				sizeof(to->hosts[0]), &to->host_count, status);
	return to->hosts && tr_get_services(conf, object, status);
}

static bool tr_get_event(struct tr_line *line, json_t *object,
			 struct st_status *status)
{
	static const struct tr_field now = TR_EV("now_us", TR_U64, now_us);
	const char *name = json_string_value(json_object_get(object, "event"));
	int kind = 0;

	while (name && kind < CORE_EV_COUNT &&
	       strcmp(core_event_name((enum core_event_kind)kind), name))
		kind++;
	if (!name || kind == CORE_EV_COUNT)
		return tr_set_error(status, "event", "unknown name");
	line->kind = TR_EVENT;
	line->event.kind = (enum core_event_kind)kind;
	if (!tr_get_field(object, &now, &line->event, status))
		return false;
	if (kind != CORE_EV_CONF)
		return tr_get_fields(object, tr_event_fields[kind],
				     &line->event, status);
	line->event.u.conf = &line->conf.conf;
	return tr_get_conf(&line->conf, object, status);
}

static bool tr_get_line(struct tr_line *line, json_t *object,
			struct st_status *status)
{
	static const struct tr_field draw = { "random", 0, NULL,
					      TR_U32,	0, false };
	json_t *version = json_object_get(object, "trace");

	if (json_object_get(object, "event"))
		return tr_get_event(line, object, status);
	line->kind = TR_RANDOM;
	if (json_object_get(object, "random"))
		return tr_get_field(object, &draw, &line->random, status);
	line->kind = TR_ACTION;
	if (json_object_get(object, "act"))
		return true;
	line->kind = TR_HEADER;
	if (json_integer_value(version) == TR_VERSION)
		return true;
	if (version)
		return tr_set_error(status, "trace", "unknown version");
	return tr_set_error(status, "event", "missing");
}

enum st_kind tr_parse_line(const char *text, struct tr_line *line,
			   struct st_status *status)
{
	json_error_t error;
	json_t *object = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	bool ok;

	memset(line, 0, sizeof(*line));
	if (!object)
		return st_set(status, ST_INVALID, "not JSON: %s", error.text);
	ok = tr_get_line(line, object, status);
	json_decref(object);
	if (ok)
		return ST_OK;
	tr_line_free(line);
	return ST_INVALID;
}

void tr_line_free(struct tr_line *line)
{
	if (line->conf.allocations)
		g_ptr_array_free(line->conf.allocations, TRUE);
	line->conf.allocations = NULL;
}
