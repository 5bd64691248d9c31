#include "base/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/json_text.h"

enum {
	/* A writable pipe takes this much (PIPE_BUF) without blocking. */
	LG_CHUNK_BYTES = 4096,
	LG_MAX_PENDING_BYTES = 256 * 1024,
	LG_BYTES_PER_S = 128 * 1024,
	LG_BURST_BYTES = 256 * 1024,
	LG_FLUSH_US = 100 * 1000,
	/* Longer texts are shortened to these sizes. */
	LG_FIELD_BYTES = 256,
	LG_MESSAGE_BYTES = 1024,
	LG_DIGEST_CHARS = 8,
	LG_US_PER_S = 1000 * 1000
};

static const struct {
	const char *name;
	GLogLevelFlags level;
} lg_levels[] = {
	{ "error", G_LOG_LEVEL_CRITICAL },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "info", G_LOG_LEVEL_INFO },
	{ "debug", G_LOG_LEVEL_DEBUG },
};

static const struct {
	const char *name;
	enum lg_class class;
} lg_events[] = {
#define X(id, name, class, help) { name, LG_##class },
	LG_EVENTS(X)
#undef X
};

/*
 * Tokens that a class must leave to more important ones: its lines are dropped
 * when no more than these are left.
 */
static const int64_t lg_reserve_bytes[LG_CLASS_COUNT] = {
	[LG_ORDINARY] = LG_BURST_BYTES / 2,
	[LG_FAILURE] = 0,
	[LG_STATE] = INT64_MIN,
};

static struct {
	char host[64];
	GLogLevelFlags min_level;
	GString *pending;
	int64_t tokens; /* bytes that may be written; negative: overdrawn */
	uint64_t refilled_us;
	uint64_t dropped[LG_CLASS_COUNT]; /* since the last "log-dropped" */
	struct tm_service *timers; /* NULL: write each line at once */
	struct tm_sub flush_timer;
} lg = { .min_level = G_LOG_LEVEL_INFO };

static const char *lg_level_name(GLogLevelFlags level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lg_levels); i++)
		if (level & lg_levels[i].level)
			return lg_levels[i].name;
	return level & G_LOG_LEVEL_ERROR ? "error" : "info";
}

/* Writes as much as standard output takes without blocking. */
static void lg_flush(void)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t done = 0;

	while (done < lg.pending->len && poll(&out, 1, 0) == 1 &&
	       out.revents & POLLOUT) {
		size_t bytes = MIN(lg.pending->len - done, LG_CHUNK_BYTES);
		ssize_t written =
			write(STDOUT_FILENO, lg.pending->str + done, bytes);

		if (written <= 0)
			break;
		done += (size_t)written;
	}
	g_string_erase(lg.pending, 0, (gssize)done);
}

static void lg_on_flush(void *ctx)
{
	lg_flush();
	if (lg.pending->len)
		tm_subscribe(lg.timers, &lg.flush_timer,
			     tm_now_us() + LG_FLUSH_US);
}

static void lg_refill_tokens(void)
{
	uint64_t now_us = tm_now_us();
	uint64_t age_us = MIN(now_us - lg.refilled_us, 4 * LG_US_PER_S);

	lg.refilled_us = now_us;
	lg.tokens = MIN(
		lg.tokens + (int64_t)(age_us * LG_BYTES_PER_S / LG_US_PER_S),
		(int64_t)LG_BURST_BYTES);
}

static bool lg_may_write(enum lg_class class)
{
	lg_refill_tokens();
	return lg.pending->len < LG_MAX_PENDING_BYTES &&
	       lg.tokens > lg_reserve_bytes[class];
}

static void lg_count_dropped(enum lg_class class)
{
	lg.dropped[class]++;
	ct_add(CT_LOG_DROPPED, 1);
}

static json_t *lg_shorten(const char *text, size_t text_bytes, size_t max_bytes)
{
	char *digest;
	char *shown;
	json_t *field;

	if (text_bytes <= max_bytes)
		return jt_string_n(text, text_bytes);
	digest = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					     (const guchar *)text, text_bytes);
	shown = g_strdup_printf("%.*s... (%zu bytes, sha256 %.*s)",
				(int)max_bytes, text, text_bytes,
				LG_DIGEST_CHARS, digest);
	field = jt_string(shown);
	g_free(shown);
	g_free(digest);
	return field;
}

json_t *lg_text(const char *text, size_t text_bytes)
{
	return lg_shorten(text, text_bytes, LG_FIELD_BYTES);
}

static json_t *lg_new_line(const char *event)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	json_t *line = json_pack("{s:s, s:s, s:s}", "time", when, "host",
				 lg.host, "event", event);

	g_free(when);
	g_date_time_unref(now);
	return line;
}

static void lg_append_line(json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	if (text) {
		size_t before = lg.pending->len;

		g_string_append(lg.pending, text);
		g_string_append_c(lg.pending, '\n');
		lg.tokens -= (int64_t)(lg.pending->len - before);
	}
	free(text);
	json_decref(line);
	if (!lg.timers || lg.pending->len >= LG_CHUNK_BYTES)
		lg_flush();
	if (lg.timers && lg.pending->len && !lg.flush_timer.slot)
		tm_subscribe(lg.timers, &lg.flush_timer,
			     tm_now_us() + LG_FLUSH_US);
}

static void lg_write_dropped(void)
{
	json_t *line;

	if (!lg.dropped[LG_ORDINARY] && !lg.dropped[LG_FAILURE] &&
	    !lg.dropped[LG_STATE])
		return;
	line = lg_new_line(lg_event_name(LG_EV_DROPPED));
	json_object_set_new(line, "ordinary",
			    json_integer((json_int_t)lg.dropped[LG_ORDINARY]));
	json_object_set_new(line, "failure",
			    json_integer((json_int_t)lg.dropped[LG_FAILURE]));
	json_object_set_new(line, "state",
			    json_integer((json_int_t)lg.dropped[LG_STATE]));
	memset(lg.dropped, 0, sizeof(lg.dropped));
	lg_append_line(line);
}

const char *lg_event_name(enum lg_event_id id)
{
	return lg_events[id].name;
}

bool lg_should_write(enum lg_event_id id)
{
	if (!lg.pending)
		return false;
	if (lg_may_write(lg_events[id].class))
		return true;
	lg_count_dropped(lg_events[id].class);
	return false;
}

void lg_write(enum lg_event_id id, json_t *fields)
{
	json_t *line;

	if (!lg.pending || !fields) {
		json_decref(fields);
		return;
	}
	lg_write_dropped();
	line = lg_new_line(lg_events[id].name);
	json_object_update(line, fields);
	json_decref(fields);
	lg_append_line(line);
}

static const char *lg_field(const GLogField *fields, gsize count,
			    const char *key)
{
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

/* Log writer of GLib, for messages from lg_event and from GLib itself. */
static GLogWriterOutput lg_write_message(GLogLevelFlags level,
					 const GLogField *fields, gsize count,
					 gpointer data)
{
	const char *msg = lg_field(fields, count, "MESSAGE");
	json_t *line;

	/* GLib's flag of a more severe level is a smaller number. */
	if ((level & G_LOG_LEVEL_MASK) > lg.min_level)
		return G_LOG_WRITER_HANDLED;
	if (!lg_may_write(LG_STATE)) {
		lg_count_dropped(LG_STATE);
		return G_LOG_WRITER_HANDLED;
	}
	lg_write_dropped();
	line = lg_new_line(lg_field(fields, count, "EVENT"));
	json_object_set_new(line, "message",
			    lg_shorten(msg, strlen(msg), LG_MESSAGE_BYTES));
	json_object_set_new(line, "level", json_string(lg_level_name(level)));
	lg_append_line(line);
	return G_LOG_WRITER_HANDLED;
}

void lg_set_level(const char *min_level)
{
	lg.min_level = G_LOG_LEVEL_INFO;
	for (size_t i = 0; i < G_N_ELEMENTS(lg_levels); i++)
		if (!strcmp(min_level, lg_levels[i].name))
			lg.min_level = lg_levels[i].level;
}

void lg_init(const char *host, const char *min_level)
{
	g_strlcpy(lg.host, host, sizeof(lg.host));
	lg_set_level(min_level);
	if (!lg.pending)
		lg.pending = g_string_new(NULL);
	lg.tokens = LG_BURST_BYTES;
	lg.refilled_us = tm_now_us();
	lg.flush_timer.fire = lg_on_flush;
	g_log_set_writer_func(lg_write_message, NULL, NULL);
}

void lg_attach(struct tm_service *timers)
{
	lg.timers = timers;
}

void lg_detach(void)
{
	if (lg.timers)
		tm_cancel(lg.timers, &lg.flush_timer);
	lg.timers = NULL;
	if (lg.pending)
		lg_flush();
}

void lg_event(GLogLevelFlags level, const char *event, const char *fmt, ...)
{
	va_list ap;
	GLogField fields[] = { { "EVENT", event, -1 },
			       { "MESSAGE", NULL, -1 } };
	char *msg;

	if (level > lg.min_level)
		return;
	va_start(ap, fmt);
	msg = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	fields[1].value = msg;
	g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
	g_free(msg);
}
