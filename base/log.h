#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "base/timer.h"

/*
 * Logs as JSON lines on standard output.
 *
 * Writing never blocks, and its volume is bounded: lines wait in a buffer of
 * limited size, and a token bucket limits the bytes per second. When tokens run
 * short, lines about ordinary calls are dropped first. Dropped lines are
 * counted, and the next line written is preceded by one with their number.
 * Messages of GLib's own logging are written the same way.
 */

/*
 * Events with fields: identifier, name, class, meaning. Every line has "time",
 * "host" and "event"; docs/OPERATIONS.md lists the other fields.
 */
#define LG_EVENTS(X)                                                        \
	X(SEND, "send", ORDINARY, "a call is sent to a server")             \
	X(ATTEMPT, "attempt", FAILURE, "an attempt ended without answer")   \
	X(FORWARD, "forward", ORDINARY, "a call is passed to another host") \
	X(END, "end", ORDINARY, "a call was answered by a server")          \
	X(FAIL, "fail", FAILURE, "a call ended without a server's success") \
	X(REFUSE, "refuse", FAILURE, "a call was refused on arrival")       \
	X(SERVER_OUT, "server-out", STATE, "a server is not used for now")  \
	X(SERVER_BACK, "server-back", STATE, "a server is used again")      \
	X(LIMIT, "limit", STATE, "a server's limit of requests a second")   \
	X(PAUSE, "pause", STATE, "a server wants nothing for a time")       \
	X(COLD, "server-cold", STATE, "a server is cold")                   \
	X(WARM, "server-warm", STATE, "a cold server says that it is warm") \
	X(CRASH, "crash", STATE, "a server crashed while it ran calls")     \
	X(CUT, "servers-unreachable", STATE, "this host reaches no server") \
	X(REACHED, "servers-reachable", STATE, "it reaches them again")     \
	X(CHECK, "crash-check", STATE, "a server that broke off calls")     \
	X(SUSPECT, "suspect", STATE, "a request under which one crashed")   \
	X(BLOCK, "block", STATE, "a request that crashes servers")          \
	X(STALL, "stall", STATE, "the event loop was blocked")              \
	X(DROPPED, "log-dropped", STATE, "lines were dropped")

enum lg_event_id {
#define X(id, name, class, help) LG_EV_##id,
	LG_EVENTS(X)
#undef X
		LG_EV_COUNT
};

/* Classes of lines, in the order in which they are dropped. */
enum lg_class { LG_ORDINARY, LG_FAILURE, LG_STATE, LG_CLASS_COUNT };

/*
 * lg_init - install the log writer of GLib. HOST is put on every line;
 *	MIN_LEVEL is one of "debug", "info", "warning", "error". An unknown
 *	level counts as "info".
 * lg_attach - collect lines and write them from a timer or when enough wait.
 *	Before this call, and after lg_detach, each line is written at once, as
 *	far as standard output takes it without blocking.
 * lg_detach - stop the timer and write buffered lines.
 * lg_set_level - change MIN_LEVEL.
 * Source: base/log.c
 */
void lg_init(const char *host, const char *min_level);
void lg_attach(struct tm_service *timers);
void lg_detach(void);
void lg_set_level(const char *min_level);

/*
 * lg_should_write - whether the limits let a line of that event be written now.
 *	If not, the line is counted as dropped and need not be composed.
 * lg_write - write an event without checking the limits again. Releases
 *	FIELDS; when FIELDS is NULL, nothing is written.
 * lg_event_name - the name of an event, as in its lines.
 */
bool lg_should_write(enum lg_event_id id);
void lg_write(enum lg_event_id id, json_t *fields);
const char *lg_event_name(enum lg_event_id id);

/*
 * lg_text - a field for TEXT, of which only the beginning is written if it is long.
 *	Its length and a digest follow then, so that no two texts look the same.
 */
json_t *lg_text(const char *text, size_t text_bytes);

/*
 * lg_event - log a message of the process. EVENT is a short fixed name, FMT the
 * format of the message; a long one is shortened like a field.
 */
void lg_event(GLogLevelFlags level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define lg_debug(event, ...) lg_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define lg_info(event, ...)  lg_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define lg_warn(event, ...)  lg_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define lg_error(event, ...) lg_event(G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)

#endif
