#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "json_text.h"

static const struct {
	const char *name;
	GLogLevelFlags level;
} lg_levels[] = {
	{ "error", G_LOG_LEVEL_CRITICAL },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "info", G_LOG_LEVEL_INFO },
	{ "debug", G_LOG_LEVEL_DEBUG },
};

static char lg_host[64];
static GLogLevelFlags lg_min_level = G_LOG_LEVEL_INFO;

static const char *lg_level_name(GLogLevelFlags level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lg_levels); i++)
		if (level & lg_levels[i].level)
			return lg_levels[i].name;
	return level & G_LOG_LEVEL_ERROR ? "error" : "info";
}

static const char *lg_field(const GLogField *fields, gsize count,
			    const char *key)
{
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

static GLogWriterOutput lg_write(GLogLevelFlags level, const GLogField *fields,
				 gsize count, gpointer data)
{
	GDateTime *now;
	char *when;
	char *line;
	json_t *object;

	/* GLib's level flags are smaller the more severe the level is. */
	if ((level & G_LOG_LEVEL_MASK) > lg_min_level)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	object = json_pack("{s:s, s:s, s:s, s:s*, s:o}", "time", when, "level",
			   lg_level_name(level), "host", lg_host, "event",
			   lg_field(fields, count, "EVENT"), "message",
			   jt_string(lg_field(fields, count, "MESSAGE")));
	line = object ? json_dumps(object, JSON_COMPACT) : NULL;
	if (line)
		fprintf(stderr, "%s\n", line);
	free(line);
	json_decref(object);
	g_free(when);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void lg_init(const char *host, const char *min_level)
{
	g_strlcpy(lg_host, host, sizeof(lg_host));
	lg_min_level = G_LOG_LEVEL_INFO;
	for (size_t i = 0; i < G_N_ELEMENTS(lg_levels); i++)
		if (!strcmp(min_level, lg_levels[i].name))
			lg_min_level = lg_levels[i].level;
	g_log_set_writer_func(lg_write, NULL, NULL);
}

void lg_event(GLogLevelFlags level, const char *event, const char *fmt, ...)
{
	char msg[1024];
	va_list ap;
	GLogField fields[] = { { "EVENT", event, -1 }, { "MESSAGE", msg, -1 } };

	if (level > lg_min_level)
		return;
	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
}
