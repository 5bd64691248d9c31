#ifndef LOG_H
#define LOG_H

#include <stdint.h>
#include <glib.h>

/*
 * Logs as JSON lines on standard error, through GLib's structured logging.
 *
 * lg_init - install the writer. HOST is put on every line; MIN_LEVEL is one of
 * "debug", "info", "warning", "error". Unknown levels act as "info".
 * Source: log.c
 */
void lg_init(const char *host, const char *min_level);

/*
 * lg_event - log one event. EVENT is a short fixed name, FMT the message.
 */
void lg_event(GLogLevelFlags level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define lg_debug(event, ...) lg_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define lg_info(event, ...)  lg_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define lg_warn(event, ...)  lg_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define lg_error(event, ...) lg_event(G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)

#endif
