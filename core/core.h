#ifndef CORE_CORE_H
#define CORE_CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

/*
 * Decision core: admission, queue, choice of server, limits, retries, hedges
 * and budgets.
 *
 * The core opens no sockets and reads no clock. Each event carries the time,
 * random numbers come from a callback, and decisions are emitted as actions, so
 * that the gateway, the replay command and the tests drive the same code. The
 * core is deterministic: the same events and random numbers give the same
 * actions.
 */

/* Load-balancing policies: identifier, name in the document. */
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

enum {
	CORE_MAX_ATTEMPTS = 4,
	/*
	 * Size that the measuring budget expects of a probe, request and answer
	 * together. It is charged what a probe really took, which may be more
	 * where the path is long.
	 */
	CORE_PROBE_MAX_BYTES = 1024,
	/*
	 * Charged to the measuring budget for each load report on an answer:
	 * the request for the report and the report itself.
	 */
	CORE_REPORT_BYTES = 80,
	CORE_NO_CALLER = UINT32_MAX,
	CORE_NO_ZONE = UINT32_MAX
};

/*
 * The driver assigns the ids of servers and services, from 0 up. An id keeps
 * its meaning when the configuration changes.
 */
struct core_server_conf {
	uint32_t id;
	uint32_t zone;
	uint32_t slots;
	uint32_t max_connections; /* of all entry hosts together */
	/*
	 * Time left until it runs at full speed. 0: nothing new is known of that.
	 */
	uint32_t warmup_ms;
	bool leaving;
	/*
	 * The operator wants no calls sent to its zone. Unlike a leaving server, it
	 * returns without slow start.
	 */
	bool evacuated;
	/* Requests in 1000 s of all hosts that it bears while cold; 0: any. */
	uint32_t warmup_milli_per_s;
	uint64_t hash; /* of the name; the same on all hosts */
};

struct core_service_conf {
	uint32_t id;
	enum core_policy policy;
	uint32_t queue_limit;
	uint32_t retry_percent;
	/*
	 * Retries and hedges of all entry hosts together that a retry window
	 * may have beyond RETRY_PERCENT of its calls. 0: no window, a host saves
	 * up to CORE_MAX_SAVED_RETRIES.
	 */
	uint32_t retry_slack;
	/* Measuring budget of all entry hosts; the core uses its host's share. */
	uint32_t probe_requests_per_s;
	uint32_t probe_bytes_per_s;
	uint32_t probe_cross_zone_bytes_per_s;
	const struct core_server_conf *servers;
	uint32_t server_count;
};

struct core_caller_conf {
	uint32_t weight;
};

struct core_customer_conf {
	uint32_t weight; /* of its fair share, at least 1 */
};

/* One of the live entry hosts, this host included. */
struct core_host_conf {
	uint64_t hash; /* of the name */
	uint32_t zone;
	bool draining;
};

/*
 * If HOSTS is empty, this host acts as the only entry host. Budgets are divided
 * by BUDGET_HOSTS or the number of HOSTS that are not draining, whichever is
 * larger; BUDGET_HOSTS also counts hosts that are starting or behind a network
 * partition.
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
	const struct core_customer_conf *customers;
	uint32_t customer_count;
	const struct core_host_conf *hosts;
	uint32_t host_count;
};

/*
 * How an attempt ended: identifier, name, whether the request may have run.
 * DONE_ERROR: an answer with status 5xx was passed on. FAILED: such an answer
 * was discarded, because the call can be retried.
 */
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
#define CORE_EVENTS(X)              \
	X(CONF, "conf")             \
	X(CALL, "call")             \
	X(SENT, "sent")             \
	X(ANSWER, "answer")         \
	X(ENDED, "ended")           \
	X(CALLER_LEFT, "gone")      \
	X(REPORT, "report")         \
	X(SERVER, "server")         \
	X(RATE_LIMIT, "rate-limit") \
	X(PAUSE, "pause")           \
	X(WARMUP, "warmup")         \
	X(BLOCKED, "blocked")       \
	X(EXPIRED, "expired")       \
	X(REACHED, "reached")       \
	X(TIMER, "timer")

enum core_event_kind {
#define X(id, name) CORE_EV_##id,
	CORE_EVENTS(X)
#undef X
		CORE_EV_COUNT
};

/* How a load report arrived. */
enum core_report_source { CORE_FROM_ANSWER, CORE_FROM_PROBE, CORE_FROM_PEER };

/*
 * Source of a notice that a server is leaving.
 * ANNOUNCED: the platform or another host; valid until an event with the same
 * source revokes it.
 * IN_ANSWER: an answer with an x-draining header, or one that shows another
 * server at the address; valid until a probe is answered without x-draining, or
 * an operator returns the server to use.
 * FOR_GOOD: the same where the next start of the server gets another id; never
 * revoked, whatever the configuration says of it later.
 */
enum core_leaving_source {
	CORE_LEAVING_ANNOUNCED,
	CORE_LEAVING_IN_ANSWER,
	CORE_LEAVING_FOR_GOOD,
	CORE_LEAVING_SOURCE_COUNT
};

struct core_event {
	enum core_event_kind kind;
	uint64_t now_us;
	union {
		/* Valid during the event; the core copies what it keeps. */
		const struct core_conf *conf;
		struct {
			uint64_t call;
			uint32_t service;
			uint32_t caller; /* index or CORE_NO_CALLER */
			uint32_t customer; /* index + 1; 0: none */
			/* Index + 1 of the callers whose calls take as long;
			   0: that of CALLER. */
			uint32_t work_class;
			uint64_t deadline_us;
			/* An answer by then earns full benefit; 0: no target. */
			uint64_t target_us;
			/* Time since the caller's first try; subtracted from
			   TARGET_US. */
			uint64_t waited_us;
			uint32_t max_attempts; /* 0: CORE_MAX_ATTEMPTS */
			bool idempotent;
			bool bulky; /* a large answer is expected */
		} call;
		/* SENT: the first byte of the request was written.
		   ANSWER: the head of the answer is complete. */
		struct {
			uint64_t call;
			uint32_t attempt;
		} attempt;
		struct {
			uint64_t call;
			uint32_t attempt;
			enum core_end end;
		} ended;
		/* CALLER_LEFT: the caller disconnected. BLOCKED: the call must not
		   be sent any more, as it crashes servers. EXPIRED: it must
		   end now, as it would at its deadline. REACHED (call 0): this
		   host was cut off from the servers and is not any more.
		   TIMER: a timer expired; call 0 stands for the timer of the
		   core itself. */
		struct {
			uint64_t call;
		} call_ref;
		struct {
			uint32_t server;
			enum core_report_source source;
			bool ok; /* false: a probe failed */
			uint32_t in_flight;
			uint32_t queued;
			uint32_t slots;
			/* Time that work takes there, relative to an
			   undisturbed machine; 0: unknown. */
			uint32_t pace_percent;
			uint32_t latency_us; /* of a probe */
			uint32_t bytes; /* of a probe, both ways */
		} report;
		struct {
			uint32_t server;
			enum core_leaving_source source;
			bool leaving;
		} server;
		/* An answer of SERVER stated, or no longer states, how many
		   requests it takes from all entry hosts together. */
		struct {
			uint32_t server;
			enum core_report_source source;
			bool limited;
			uint32_t milli_per_s; /* requests in 1000 s */
		} rate_limit;
		/* SERVER wants nothing more from this host for so long. */
		struct {
			uint32_t server;
			enum core_report_source source;
			uint64_t duration_us;
		} pause;
		/* SERVER is cold for so long. */
		struct {
			uint32_t server;
			uint64_t left_us;
		} warmup;
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

/* Inputs of the decision behind a SEND or FINISH action, for log lines. */
struct core_inputs {
	uint32_t report_age_ms; /* UINT32_MAX: no report of the server */
	uint32_t pace_percent; /* as reported; 0: unknown */
	uint32_t running; /* requests at the server, as reported */
	uint32_t waiting; /* requests queued there, as reported */
	uint32_t in_flight; /* attempts of this host at the server */
	uint32_t expected_ms; /* estimated time to answer; 0: no estimate */
	uint32_t asked; /* servers asked for their load */
	uint32_t retry_credit; /* in hundredths of an attempt */
	uint32_t pressure_percent; /* of the service, if it changes decisions */
};

/*
 * A server was ejected, had another error after its back-off, or returned to
 * use.
 */
struct core_health_change {
	uint32_t server;
	bool ejected; /* gets only trial calls, until one succeeds */
	uint32_t errors; /* consecutive */
	uint32_t back_off_ms;
};

/*
 * SEND: start attempt ATTEMPT of CALL at SERVER.
 * CANCEL: abort an attempt; no ENDED event follows for it.
 * FINISH: the call is over with RESULT; ST_OK if the answer was passed on. If
 * AT_US is not 0, a server may take the call then; with ST_PAUSED none does
 * before, with ST_QUEUE_FULL it spreads the retries.
 * PROBE: request a load report from SERVER; the driver answers with exactly one
 * REPORT event from a probe.
 * TIMER: post a TIMER event for CALL at AT_US; replaces its earlier timer.
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
	bool report; /* SEND: request a load report on the answer */
	struct core_inputs inputs;
};

/* Callbacks of the driver. */
struct core_driver {
	void (*on_action)(void *ctx, const struct core_action *action);
	uint32_t (*random_u32)(void *ctx);
	void *ctx;
	/* May be NULL. */
	void (*health_changed)(void *ctx,
			       const struct core_health_change *change);
};

struct core;

/*
 * core_init, core_free - set up and release a decision core in memory that the
 * caller provides; core/state.h defines the structure. Source: core/core.c
 *
 * core_handle_event - process one event. Actions are emitted only during this
 * call. The driver must not call it from within an action; it has to queue the
 * event instead.
 */
void core_init(struct core *core, const struct core_driver *driver);
void core_free(struct core *core);
void core_handle_event(struct core *core, const struct core_event *event);

/*
 * core_can_retry - whether the core would start another attempt of a call if
 * its open attempt ended with CORE_END_FAILED now. The driver checks it before
 * it discards an error response of a server. Takes no retry credit. Always
 * false for policies other than "ask", and if less than half of the median
 * latency is left until the deadline. Source: core/core.c
 */
bool core_can_retry(struct core *core, uint64_t call);

/*
 * core_usual_latency_us - time within which most answers of the service begin, as
 * far as is known. Source: core/core.c
 */
uint64_t core_usual_latency_us(const struct core *core, uint32_t id);

/* State of one service, for status pages. */
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
