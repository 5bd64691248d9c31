#ifndef TRACE_CHECK_H
#define TRACE_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "core.h"
#include "yaml_tree.h"

/*
 * Outcomes: identifier, name in the file, what is stated. A number states the
 * bound; 1 stands for "true" where there is no bound.
 */
#define TR_OUTCOMES(X)                                                      \
	X(SINGLE_SEND, "single_send",                                       \
	  "no non-idempotent call is sent again after it may have run")     \
	X(NOT_RUN_TRUE, "not_run_true",                                     \
	  "no call that may have run is finished as not run")               \
	X(LEAVING_MS, "leaving_ms",                                         \
	  "no call is sent to a leaving server later than this")            \
	X(PROBE_BUDGET, "probe_budget",                                     \
	  "probes stay within the host's part of the budget")               \
	X(RETRY_BUDGET, "retry_budget",                                     \
	  "retries and hedges stay within the percentage of the calls")     \
	X(CALLS_MIN, "calls_min", "at least this many calls")               \
	X(SENDS_MIN, "sends_min", "at least this many attempts")            \
	X(RETRIES_MIN, "retries_min", "at least this many retries, hedges") \
	X(PROBES_MIN, "probes_min", "at least this many probes")            \
	X(COMPLETED_PERCENT_MIN, "completed_percent_min",                   \
	  "at least this part of the ended calls completed")                \
	X(COMPLETED_PERCENT_MAX, "completed_percent_max",                   \
	  "at most this part of the ended calls completed")

enum tr_outcome {
#define X(id, name, help) TR_OUT_##id,
	TR_OUTCOMES(X)
#undef X
		TR_OUTCOME_COUNT
};

/* Outcomes stated beside a trace. */
struct tr_outcomes {
	bool expected[TR_OUTCOME_COUNT];
	uint64_t bound[TR_OUTCOME_COUNT];
};

struct tr_check;

/*
 * tr_parse_outcomes - read stated outcomes, YAML or JSON. The text needs a
 * field "recorded" that says how the trace was made. Returns false when ERRORS
 * got a row. Source: trace_check.c
 */
bool tr_parse_outcomes(const char *text, size_t text_bytes,
		       struct tr_outcomes *outcomes, struct ym_errors *errors);

/*
 * tr_check_new, tr_check_free - follow the events and actions of a replay.
 * LINE is the line of the event in the trace.
 */
struct tr_check *tr_check_new(void);
void tr_check_free(struct tr_check *check);
void tr_check_event(struct tr_check *check, const struct core_event *event,
		    uint64_t line);
void tr_check_action(struct tr_check *check, const struct core_action *action);

/*
 * tr_check_outcomes - append a line for each stated outcome to OUT. Returns
 * how many did not hold.
 */
uint32_t tr_check_outcomes(const struct tr_check *check,
			   const struct tr_outcomes *outcomes, GString *out);

#endif
