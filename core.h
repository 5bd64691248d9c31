#ifndef CORE_H
#define CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * Decision core: admission, queue, choice of server, limits, retries, hedges
 * and budgets.
 *
 * It has no socket, clock or random source. Time comes with every event,
 * random numbers through a callback, and decisions leave as actions, so that
 * the live gateway, a replay and a test drive the same code. It is
 * deterministic: the same events and random numbers give the same actions.
 */

/* Policies: identifier, name in the document. */
#define CORE_POLICIES(X)                \
	X(RANDOM, "random")             \
	X(ROUND_ROBIN, "round-robin")   \
	X(LEAST_OF_TWO, "least-of-two") \
	X(PROBES, "probes")             \
	X(REPORTS, "reports")           \
	X(SHARES, "shares")             \
	X(ASK, "ask")

enum core_policy {
#define X(id, name) CORE_POLICY_##id,
	CORE_POLICIES(X)
#undef X
		CORE_POLICY_COUNT
};

/* A probe may take at most CORE_PROBE_MAX_BYTES, request and answer. */
enum {
	CORE_MAX_ATTEMPTS = 4,
	CORE_PROBE_MAX_BYTES = 1024,
	/* Asking for a report, and the report; charged to the budget. */
	CORE_REPORT_BYTES = 80,
	CORE_NO_CALLER = UINT32_MAX
};

/* Ids are stable over configurations and chosen by the driver, from 0 up. */
struct core_server_conf {
	uint32_t id;
	uint32_t zone;
	uint32_t slots;
	uint32_t max_connections; /* over all entry hosts */
	uint32_t warmup_ms; /* how much longer it is slow after its start */
	bool leaving;
	uint64_t hash; /* of the name, equal on all hosts */
};

struct core_service_conf {
	uint32_t id;
	enum core_policy policy;
	uint32_t queue_limit;
	uint32_t retry_percent;
	/* Retries that may be saved up, over all entry hosts; 0: the usual. */
	uint32_t retry_slack;
	/* Measuring budget over all entry hosts; the core takes its part. */
	uint32_t probe_requests_per_s;
	uint32_t probe_bytes_per_s;
	uint32_t probe_cross_zone_bytes_per_s;
	const struct core_server_conf *servers;
	uint32_t server_count;
};

struct core_caller_conf {
	uint32_t weight;
};

/* A live entry host, this one included. */
struct core_host_conf {
	uint64_t hash; /* of the name */
	uint32_t zone;
	bool draining;
};

/*
 * Without HOSTS the host acts as if it were alone. Budgets are divided by the
 * larger of the host list and BUDGET_HOSTS, which also counts hosts that a
 * partition hides or that are still starting.
 */
struct core_conf {
	uint64_t host_hash;
	uint32_t zone;
	uint32_t latency_weight_percent;
	uint32_t budget_hosts;
	const struct core_service_conf *services;
	uint32_t service_count;
	const struct core_caller_conf *callers;
	uint32_t caller_count;
	const struct core_host_conf *hosts;
	uint32_t host_count;
};

/* How an attempt ended: identifier, name, may the request have run. */
#define CORE_ENDS(X)                      \
	X(NOT_SENT, "not-sent", false)    \
	X(REFUSED, "refused", false)      \
	X(NO_ANSWER, "no-answer", true)   \
	X(BROKEN, "broken", true)         \
	X(DONE, "done", true)             \
	X(DONE_ERROR, "done-error", true) \
	X(FAILED, "failed", true)         \
	X(CANCELLED, "cancelled", true)

enum core_end {
#define X(id, name, may_have_run) CORE_END_##id,
	CORE_ENDS(X)
#undef X
		CORE_END_COUNT
};

/* Events: identifier, name in traces. */
#define CORE_EVENTS(X)      \
	X(CONF, "conf")     \
	X(CALL, "call")     \
	X(SENT, "sent")     \
	X(ANSWER, "answer") \
	X(ENDED, "ended")   \
	X(GONE, "gone")     \
	X(REPORT, "report") \
	X(SERVER, "server") \
	X(TIMER, "timer")

enum core_event_kind {
#define X(id, name) CORE_EV_##id,
	CORE_EVENTS(X)
#undef X
		CORE_EV_COUNT
};

/* Where a load report comes from. */
enum core_report_source { CORE_FROM_ANSWER, CORE_FROM_PROBE, CORE_FROM_PEER };

/*
 * Who says that a server is leaving. TOLD: the platform or a peer; holds until
 * the same source says otherwise. ANSWER: the server's own x-draining; holds
 * until a probe is answered without it.
 */
enum core_leaving_source { CORE_LEAVING_ANNOUNCED, CORE_LEAVING_IN_ANSWER };

struct core_event {
	enum core_event_kind kind;
	uint64_t now_us;
	union {
		/* Copied by the core during the event. */
		const struct core_conf *conf;
		struct {
			uint64_t call;
			uint32_t service;
			uint32_t caller; /* index or CORE_NO_CALLER */
			uint64_t deadline_us;
			uint64_t target_us; /* for full benefit; 0: none */
			/* How long the caller has been waiting since its
			   first try; takes that much from the target. */
			uint64_t waited_us;
			uint32_t max_attempts; /* 0: CORE_MAX_ATTEMPTS */
			bool idempotent;
			bool bulky; /* the answer is large */
		} call;
		/* SENT: first byte written. ANSWER: whole head received. */
		struct {
			uint64_t call;
			uint32_t attempt;
		} attempt;
		struct {
			uint64_t call;
			uint32_t attempt;
			enum core_end end;
		} ended;
		/* GONE, TIMER; call 0 in TIMER is the core's own timer. */
		struct {
			uint64_t call;
		} ref;
		struct {
			uint32_t server;
			enum core_report_source source;
			bool ok; /* false: a probe failed */
			uint32_t in_flight;
			uint32_t queued;
			uint32_t slots;
			uint32_t pace_percent; /* time work takes; 0: unknown */
			uint32_t latency_us; /* of a probe */
			uint32_t bytes; /* of a probe, both ways */
		} report;
		struct {
			uint32_t server;
			enum core_leaving_source source;
			bool leaving;
		} server;
	} u;
};

/* Actions: identifier, name in traces. */
#define CORE_ACTIONS(X)     \
	X(SEND, "send")     \
	X(CANCEL, "cancel") \
	X(FINISH, "finish") \
	X(PROBE, "probe")   \
	X(TIMER, "timer")

enum core_action_kind {
#define X(id, name) CORE_ACT_##id,
	CORE_ACTIONS(X)
#undef X
		CORE_ACT_COUNT
};

/* What decided about a SEND or a FINISH, for logs. */
struct core_inputs {
	uint32_t report_age_ms; /* UINT32_MAX: no report of the server */
	uint32_t pace_percent; /* 0: not known */
	uint32_t running; /* at the server, as it reported */
	uint32_t waiting;
	uint32_t in_flight; /* of this host, at the server */
	uint32_t expected_ms; /* time to the answer; 0: not estimated */
	uint32_t asked; /* servers that were asked */
	uint32_t retry_credit; /* in hundredths of an attempt */
};

/* What the core believes about a server has changed. */
struct core_health_change {
	uint32_t server;
	bool ejected; /* not used until a trial call succeeds */
	uint32_t errors; /* in a row */
	uint32_t back_off_ms;
};

/*
 * SEND: start attempt ATTEMPT of CALL at SERVER.
 * CANCEL: end an attempt; no ENDED event follows for it.
 * FINISH: the call is over with KIND; ST_OK when the answer was passed on.
 * PROBE: ask SERVER for its load; exactly one REPORT from a probe follows.
 * TIMER: send TIMER for CALL at AT_US; replaces the call's earlier timer.
 */
struct core_action {
	enum core_action_kind kind;
	uint64_t call;
	uint32_t attempt;
	uint32_t service;
	uint32_t server;
	enum st_kind result;
	uint64_t at_us;
	bool hedge;
	bool report; /* SEND: ask for a load report with the answer */
	struct core_inputs inputs;
};

/* What the core needs from its driver. */
struct core_driver {
	void (*act)(void *ctx, const struct core_action *action);
	uint32_t (*random_u32)(void *ctx);
	void *ctx;
	/* May be NULL. */
	void (*health_changed)(void *ctx,
			       const struct core_health_change *change);
};

struct core;

/*
 * core_init, core_free - one decision core on memory of the caller; its
 * structure is in core_state.h. Source: core.c
 * Actions may be emitted during core_handle_event only. The driver must not call
 * core_handle_event from within an action; it queues events instead.
 */
void core_init(struct core *core, const struct core_driver *driver);
void core_free(struct core *core);
void core_handle_event(struct core *core, const struct core_event *event);

/*
 * core_can_retry - whether the core would send the call once more if its open
 * attempt ended with CORE_END_FAILED now. Asked when a server has answered with
 * a failure of its own.
 */
bool core_can_retry(struct core *core, uint64_t call);

/* Figures of one service, for status pages. */
struct core_service_stats {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t servers_usable;
	uint32_t servers;
};

bool core_service_stats(const struct core *core, uint32_t service,
			struct core_service_stats *stats);

const char *core_policy_name(enum core_policy policy);
const char *core_end_name(enum core_end end);
bool core_end_may_have_run(enum core_end end);
const char *core_event_name(enum core_event_kind kind);
const char *core_action_name(enum core_action_kind kind);

#endif
