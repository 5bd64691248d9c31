#ifndef TRACE_H
#define TRACE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <glib.h>

#include "core.h"
#include "status.h"

/*
 * Records what a decision core received and decided, as JSON lines, and reads
 * the lines back. The first line is a header; then each event is followed by
 * the random numbers drawn and the actions emitted while it was handled.
 */
enum { TR_VERSION = 1 };

struct tr_trace {
	FILE *file; /* NULL: nothing is recorded */
	uint64_t max_bytes;
	uint64_t written_bytes;
	GString *buffer; /* lines of the event that is being handled */
};

/*
 * tr_open - begin a trace in PATH; an existing file is replaced. The trace
 * ends at the last event whose lines all fit into MAX_BYTES.
 * tr_close - end it; does nothing when it was not opened.
 * Errors: ST_IO. Source: trace.c
 */
enum st_kind tr_open(struct tr_trace *trace, const char *path,
		     uint64_t max_bytes, const char *host,
		     struct st_status *status);
void tr_close(struct tr_trace *trace);

/*
 * tr_record_event, tr_record_random, tr_record_action - record one input or output.
 * tr_flush - the event was handled; write its lines.
 */
void tr_record_event(struct tr_trace *trace, const struct core_event *event);
void tr_record_random(struct tr_trace *trace, uint32_t value);
void tr_record_action(struct tr_trace *trace, const struct core_action *action);
void tr_flush(struct tr_trace *trace);

/* A configuration read from a trace, with the memory behind it. */
struct tr_conf {
	struct core_conf conf;
	GPtrArray *allocations;
};

/* A line read from a trace. */
enum tr_line_kind { TR_HEADER, TR_EVENT, TR_RANDOM, TR_ACTION };

struct tr_line {
	enum tr_line_kind kind;
	struct core_event event; /* u.conf points to CONF below */
	struct tr_conf conf;
	uint32_t random;
};

/*
 * tr_parse_line - read one line. Errors name the field: ST_INVALID.
 * tr_line_free - free what tr_parse_line allocated.
 */
enum st_kind tr_parse_line(const char *text, struct tr_line *line,
			   struct st_status *status);
void tr_line_free(struct tr_line *line);

/* tr_format_action - the line of an action, without the line end. */
void tr_format_action(GString *out, const struct core_action *action);

#endif
