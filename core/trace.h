#ifndef CORE_TRACE_H
#define CORE_TRACE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <glib.h>

#include "core/core.h"
#include "base/status.h"

/*
 * Traces: the events, random numbers and actions of a decision core, recorded
 * as JSON lines and parsed back for a replay. The first line is a header. Each
 * event is followed by the random numbers that the core drew and the actions
 * that it emitted while it handled the event.
 */
enum { TR_VERSION = 1 };

struct tr_trace {
	FILE *file; /* NULL: recording is off */
	uint64_t max_bytes;
	uint64_t written_bytes;
	GString *buffer; /* lines of the event in progress, not yet written */
};

/*
 * tr_open - start recording to PATH, replacing an existing file. Recording
 * stops before the first event whose lines would exceed MAX_BYTES in total, so
 * the trace ends with a complete event. HOST is written to the header.
 * tr_close - stop recording and close the file; does nothing when TRACE is not
 * open. Errors: ST_IO. Source: core/trace.c
 */
enum st_kind tr_open(struct tr_trace *trace, const char *path,
		     uint64_t max_bytes, const char *host,
		     struct st_status *status);
void tr_close(struct tr_trace *trace);

/*
 * tr_record_event, tr_record_random, tr_record_action - buffer the line of one
 * input or output of the core; do nothing while recording is off.
 * tr_flush - write the buffered lines to the file; called after each event.
 */
void tr_record_event(struct tr_trace *trace, const struct core_event *event);
void tr_record_random(struct tr_trace *trace, uint32_t value);
void tr_record_action(struct tr_trace *trace, const struct core_action *action);
void tr_flush(struct tr_trace *trace);

/* A configuration parsed from a trace; its arrays are in ALLOCATIONS. */
struct tr_conf {
	struct core_conf conf;
	GPtrArray *allocations;
};

/* A parsed line of a trace. */
enum tr_line_kind { TR_HEADER, TR_EVENT, TR_RANDOM, TR_ACTION };

struct tr_line {
	enum tr_line_kind kind;
	struct core_event event; /* for CORE_EV_CONF, u.conf points to CONF */
	struct tr_conf conf;
	uint32_t random;
};

/*
 * tr_parse_line - parse the line TEXT into LINE. Errors: ST_INVALID, with the
 * name of the field in STATUS; LINE needs no tr_line_free then. The fields of
 * an action are not parsed, because a replay compares its text.
 * tr_line_free - free what tr_parse_line allocated.
 */
enum st_kind tr_parse_line(const char *text, struct tr_line *line,
			   struct st_status *status);
void tr_line_free(struct tr_line *line);

/* tr_format_action - append the line of ACTION, without the line feed. */
void tr_format_action(GString *out, const struct core_action *action);

#endif
