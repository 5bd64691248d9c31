#ifndef LOG_H
#define LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "timer.h"

/*
 * Logs as JSON lines on standard output.
 *
 * Writing never blocks and its volume is bounded: lines wait in a buffer of
 * limited size, a rate limit holds over time, and lines about ordinary calls
 * give way first. Lines that were dropped are counted, and a line says how
 * many. Messages of GLib's logging take the same way.
 */

/*
 * Closed list of events: identifier, name, class, what it says. Every line has
 * "time", "host" and "event"; docs/OPERATIONS.md lists the other fields.
 */
#define LG_EVENTS(X)                                                        \
	X(SEND, "send", ORDINARY, "a call is sent to a server")             \
	X(ATTEMPT, "attempt", FAILURE, "an attempt ended without answer")   \
	X(END, "end", ORDINARY, "a call was answered by a server")          \
	X(FAIL, "fail", FAILURE, "a call ended without a server's success") \
	X(REFUSE, "refuse", FAILURE, "a call was refused on arrival")       \
	X(SERVER_OUT, "server-out", STATE, "a server is not used for now")  \
	X(SERVER_BACK, "server-back", STATE, "a server is used again")      \
	X(DROPPED, "log-dropped", STATE, "lines were dropped")

enum lg_event_id {
#define X(id, name, class, help) LG_EV_##id,
	LG_EVENTS(X)
#undef X
		LG_EV_COUNT
};

/* What gives way first. */
enum lg_class { LG_ORDINARY, LG_FAILURE, LG_STATE, LG_CLASS_COUNT };

/*
 * lg_init - install the writer. HOST is put on every line; MIN_LEVEL is one of
 *	"debug", "info", "warning", "error". Unknown levels act as "info".
 * lg_attach - write what waits from a timer on; before that, and after
 *	lg_detach, every line is written at once, as far as it can be.
 * lg_set_level - another MIN_LEVEL.
 * Source: log.c
 */
void lg_init(const char *host, const char *min_level);
void lg_attach(struct tm_service *timers);
void lg_detach(void);
void lg_set_level(const char *min_level);

/*
 * lg_should_write - whether a line of that event would be written now. Spares the
 *	work of composing one that would not be.
 * lg_write - write an event; takes over FIELDS, which may be NULL.
 * lg_event_name - name of an event.
 */
bool lg_should_write(enum lg_event_id id);
void lg_write(enum lg_event_id id, json_t *fields);
const char *lg_event_name(enum lg_event_id id);

/*
 * lg_event - log one event of the process. EVENT is a short fixed name, FMT the
 * message.
 */
void lg_event(GLogLevelFlags level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define lg_debug(event, ...) lg_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define lg_info(event, ...)  lg_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define lg_warn(event, ...)  lg_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define lg_error(event, ...) lg_event(G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)

#endif
