#ifndef BASE_MECHANISM_H
#define BASE_MECHANISM_H

#include <stdbool.h>

/*
 * Mechanisms that a test can switch off one at a time to check that each of
 * them is needed.
 *
 * Builds with ME_SWITCHES read the names to switch off from the environment
 * variable JACKDAWWORKS_OFF (comma separated). In other builds every mechanism
 * is on and me_on is a constant, which costs nothing at run time.
 */
#define ME_LIST(X)                                  \
	X(MEASURING_BUDGET, "measuring-budget")     \
	X(CLOSE_LATE, "close-late-connections")     \
	X(NOT_RUN_TABLE, "not-run-table")           \
	X(ANSWER_TABLE, "answer-table")             \
	X(SEND_ONCE, "send-once")                   \
	X(ORDER_CLAIM, "order-claim")               \
	X(LEAVING, "leaving-signs")                 \
	X(GRACEFUL_STOP, "graceful-stop")           \
	X(GENERATION_ORDER, "generation-order")     \
	X(ROW_READING, "row-reading")               \
	X(ALL_ROWS, "all-rows")                     \
	X(CALL_MESSAGE, "call-message")             \
	X(GENERATION_GOSSIP, "generation-gossip")   \
	X(CONDITIONAL_ACCEPT, "conditional-accept") \
	X(READ_BACK, "read-back")                   \
	X(FENCING, "fencing-token")                 \
	X(REPLAY_PROTECTION, "replay-protection")   \
	X(RETRY_BUDGET, "retry-budget")             \
	X(FAIL_FAST, "fail-fast-guard")             \
	X(DIGEST_CHECK, "digest-check")             \
	X(SLOW_START, "slow-start")                 \
	X(SERVER_LIMIT, "server-limit")             \
	X(HEDGING, "hedging")                       \
	X(ZONE_LOCAL, "zone-local")                 \
	X(CALLER_SHARES, "caller-shares")           \
	X(QUEUE_BOUND, "queue-bound")               \
	X(EARLY_REFUSAL, "early-refusal")           \
	X(OWN_SHARE, "own-share")                   \
	X(REPORT_LOAD, "report-load")               \
	X(REPORT_AGE, "report-age")                 \
	X(PROBE_AGE, "probe-age")                   \
	X(PROBE_REUSE, "probe-reuse")               \
	X(HOT_COLD, "hot-cold")

enum me_kind {
#define X(id, name) ME_##id,
	ME_LIST(X)
#undef X
		ME_COUNT
};

#ifdef ME_SWITCHES
/* me_on - whether a mechanism is switched on. Source: base/mechanism.c */
bool me_on(enum me_kind kind);
#else
static inline bool me_on(enum me_kind kind)
{
	(void)kind;
	return true;
}
#endif

#endif
