#ifndef CORE_TRACE_CHECK_H
#define CORE_TRACE_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "core/core.h"
#include "base/yaml_tree.h"

/*
 * Outcomes that a replayed trace can be checked for: identifier, name in the
 * file of expected outcomes, description. The value in the file is the bound
 * that the description refers to, or "true", which is read as 1.
 */
#define TR_OUTCOMES(X)                                                         \
	X(SINGLE_SEND, "single_send",                                          \
	  "no non-idempotent call is sent again once it may have run")         \
	X(NOT_RUN_TRUE, "not_run_true",                                        \
	  "no call that may have run ends with an error that means not run")   \
	X(LEAVING_MS, "leaving_ms",                                            \
	  "no call is sent to a server leaving for more than this many ms")    \
	X(PROBE_BUDGET, "probe_budget",                                        \
	  "probes stay within this host's share of the measuring budget")      \
	X(RETRY_BUDGET, "retry_budget",                                        \
	  "retries and hedges stay within retry_percent of the calls")         \
	X(CALLS_MIN, "calls_min", "at least this many calls")                  \
	X(SENDS_MIN, "sends_min", "at least this many attempts")               \
	X(RETRIES_MIN, "retries_min", "at least this many retries and hedges") \
	X(PROBES_MIN, "probes_min", "at least this many probes")               \
	X(COMPLETED_PERCENT_MIN, "completed_percent_min",                      \
	  "at least this percentage of the ended calls completed")             \
	X(COMPLETED_PERCENT_MAX, "completed_percent_max",                      \
	  "at most this percentage of the ended calls completed")

enum tr_outcome {
#define X(id, name, help) TR_OUT_##id,
	TR_OUTCOMES(X)
#undef X
		TR_OUTCOME_COUNT
};

/* Expected outcomes of a trace. */
struct tr_outcomes {
	bool expected[TR_OUTCOME_COUNT]; /* listed in the file */
	uint64_t bound[TR_OUTCOME_COUNT];
};

struct tr_check;

/*
 * tr_parse_outcomes - parse a file of expected outcomes, YAML or JSON. The
 * field "recorded", a description of how the trace was made, is required.
 * Returns false and adds rows to ERRORS when the text is invalid.
 * Source: core/trace_check.c
 */
bool tr_parse_outcomes(const char *text, size_t text_bytes,
		       struct tr_outcomes *outcomes, struct ym_errors *errors);

/*
 * tr_check_new, tr_check_free - checker of one replay.
 * tr_check_event, tr_check_action - update the checker with an event or action
 * of the replay, in their order. LINE is the number of the event's line in the
 * trace; violations by the actions that follow it are printed with it.
 */
struct tr_check *tr_check_new(void);
void tr_check_free(struct tr_check *check);
void tr_check_event(struct tr_check *check, const struct core_event *event,
		    uint64_t line);
void tr_check_action(struct tr_check *check, const struct core_action *action);

/*
 * tr_check_outcomes - append a line with the result of each expected outcome
 * to OUT. Returns the number of outcomes that failed.
 */
uint32_t tr_check_outcomes(const struct tr_check *check,
			   const struct tr_outcomes *outcomes, GString *out);

#endif
