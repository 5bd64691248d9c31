#ifndef CORE_STATE_H
#define CORE_STATE_H

#include <glib.h>

#include "core.h"

/* State and functions that the core*.c files share. */

enum {
	CORE_Q8 = 256, /* fixed-point one */
	CORE_ZONES = 32,
	CORE_US_PER_MS = 1000,
	CORE_US_PER_S = 1000 * 1000,
	CORE_MICRO = 1000 * 1000, /* millionths of a token */
	CORE_LATENCY_BUCKETS = 96,
	CORE_POOL_SIZE = 16,
	CORE_WINDOW_S = 10,
	CORE_ASKED = 3, /* servers asked at a time for one call */
	/* Reports of that age are recent enough to decide by them. */
	CORE_FRESH_US = 15 * CORE_US_PER_MS,
	CORE_PACE_QUIET = 125, /* percent; no better server is waited for */
	CORE_LANES =
		8, /* callers that are told apart by what their calls take */
	CORE_HISTORY = 64
};

/* What the time of an attempt teaches about its service. */
enum core_lesson {
	CORE_LESSON_NONE,
	CORE_LESSON_USUAL, /* how long work takes */
	CORE_LESSON_CROWDED /* how much longer on a crowded server */
};

struct core_attempt {
	GList link; /* in core_server.open; data is this attempt */
	bool open;
	bool sent;
	uint32_t server;
	uint64_t begin_us;
	uint64_t answer_us; /* 0: no answer yet */
	enum core_lesson lesson;
};

struct core_server {
	uint32_t id;
	bool known;
	bool was_known; /* in the configuration before */
	bool conf_leaving;
	bool told_leaving;
	bool answer_leaving;
	uint32_t service;
	uint32_t zone;
	uint32_t slots;
	uint32_t connections; /* this host's part */
	uint32_t own_slots; /* this host's share of the slots */
	uint32_t in_flight; /* of this host */
	uint64_t hash;
	GQueue open; /* attempts, oldest first */
	/* Newest report: load that other hosts put on the server. */
	uint64_t report_us; /* 0: no report yet */
	uint32_t others_q8;
	/* Policy "ask": the newest report as it came. */
	uint32_t running;
	uint32_t waiting;
	uint32_t pace_percent; /* 0: not known */
	uint32_t sent_since; /* attempts sent after the report */
	bool asked; /* a probe is out */
	uint64_t cold_until_us;
	/* Adaptive limit of the attempts of this host. */
	uint32_t latency_us; /* moving average, 0: none yet */
	uint32_t latency_count; /* answers in it */
	uint32_t limit_q8;
	uint64_t last_send_us;
	/* Fail-fast guard. BACKOFF_US is not 0 while the server is out. */
	uint32_t error_q8;
	uint32_t errors_in_row;
	uint64_t backoff_us;
	uint64_t blocked_until_us;
	/* Slow start; 0 when warm. */
	uint64_t cold_since_us;
	/* Next probe of a server that said it is draining. */
	uint64_t recheck_us;
};

/* Calls of one caller to one service. Counted by the calls and the table. */
struct core_lane {
	uint32_t refs;
	uint32_t weight;
	uint32_t in_flight;
	GQueue queue; /* of struct core_call, earliest deadline first */
	GList active; /* link in core_service.active */
	bool is_active;
};

/* Token bucket in millionths. */
struct core_bucket {
	uint64_t rate_per_s;
	int64_t depth;
	int64_t tokens;
	uint64_t filled_us;
};

/* An entry of the pool of probe responses. */
struct core_probe {
	uint32_t server;
	uint32_t load_q8; /* per slot */
	uint32_t latency_us;
	uint64_t at_us;
	uint32_t uses;
};

/* Calls and further attempts of one second. */
struct core_second {
	uint64_t second;
	uint32_t calls;
	uint32_t again;
};

struct core_service {
	bool known;
	uint32_t id;
	enum core_policy policy;
	uint32_t queue_limit;
	uint32_t retry_percent;
	uint32_t *servers;
	uint32_t server_count;
	uint32_t next; /* round robin */
	uint32_t in_flight;
	/* Queue */
	GPtrArray *lanes; /* struct core_lane by caller plus one, or NULL */
	GQueue active; /* lanes with queued calls, next turn first */
	uint32_t queued;
	uint64_t last_end_us;
	uint32_t end_gap_us; /* average time between ends while calls wait */
	/* Retries and hedges, in hundredths of an attempt. */
	uint32_t retry_credit;
	/*
	 * With a slack the budget holds over a window instead: attempts beyond
	 * the first against the calls of the same seconds.
	 */
	uint32_t retry_slack; /* of this host, in hundredths; 0: no window */
	struct core_second window[CORE_WINDOW_S];
	/* Measuring budget. */
	struct core_bucket requests;
	struct core_bucket bytes;
	struct core_bucket cross_bytes;
	struct core_probe pool[CORE_POOL_SIZE];
	uint32_t pool_count;
	uint32_t history[CORE_HISTORY]; /* loads seen by probes */
	uint32_t history_count;
	/* Time to the head of a good answer. */
	uint32_t latency[CORE_LATENCY_BUCKETS];
	uint32_t latency_total;
	uint32_t quick_us; /* low percentile */
	uint32_t slow_us; /* high percentile, when a hedge is due */
	uint32_t zone_latency_us[CORE_ZONES]; /* usual one, 0: not known */
	uint32_t latency_answers;
	uint32_t mean_others_q8; /* per slot */
	uint32_t mean_pace_percent; /* 0: not known */
	uint32_t work_us[CORE_LANES]; /* on an idle server; 0: not known */
	uint32_t crowd_cost_percent; /* on a crowded one; 0: not known */
};

struct core_call {
	uint64_t id;
	uint32_t service;
	struct core_lane *lane;
	uint64_t deadline_us;
	uint64_t hedge_us; /* 0: none */
	uint64_t begin_us;
	uint64_t objective_us; /* from the caller's first try to the target */
	uint64_t target_us; /* may have passed before the call came */
	uint64_t hold_until_us; /* without a server it is refused then */
	uint32_t max_attempts;
	uint32_t kind; /* index in core_service.work_us */
	bool idempotent;
	bool bulky;
	bool answered;
	/* Policy "ask": the servers that are being asked. */
	bool asking;
	bool ask_hedge; /* for an attempt beside a running one */
	bool ask_pause; /* nobody is asked until the timer fires */
	uint32_t ask_rounds;
	uint32_t ask_count;
	uint32_t ask_servers[CORE_ASKED];
	uint64_t ask_since_us;
	GList ask_link; /* in core.asking */
	struct core_inputs inputs; /* of the newest decision */
	uint32_t attempt_count;
	struct core_attempt attempts[CORE_MAX_ATTEMPTS];
	GList *queued; /* link in the queue of its lane */
};

struct core {
	struct core_driver driver;
	GPtrArray *servers; /* struct core_server by id */
	GPtrArray *services; /* struct core_service by id */
	GHashTable *calls; /* looked up by id only */
	GArray *weights; /* uint32_t by caller */
	uint64_t now_us;
	uint32_t zone;
	uint32_t hosts;
	uint32_t waiting; /* calls queued in all services */
	uint64_t wake_us; /* 0: no timer is set */
	bool configured;
	bool rechecking; /* a server may have to be probed for draining */
	GQueue asking; /* calls that wait for reports */
};

/* core.c */
struct core_server *core_server(const struct core *core, uint32_t id);
struct core_service *core_service(const struct core *core, uint32_t id);
uint32_t core_random(struct core *core, uint32_t bound);
void core_inputs_of(const struct core *core, const struct core_server *server,
		    struct core_inputs *inputs);
void core_wake(struct core *core, uint64_t at_us);
void core_call_timer(struct core *core, const struct core_call *call);
void core_finish(struct core *core, struct core_call *call,
		 enum st_kind result);
void core_send(struct core *core, struct core_call *call, uint32_t server,
	       bool hedge);

/* core_conf.c */
void core_on_conf(struct core *core, const struct core_conf *conf);

/*
 * core_ask.c: ask a few servers for their load before a call is sent.
 *
 * core_ask_plan - how long a new call may wait for a server.
 * core_ask - begin; the call is sent, refused or asks on within the event.
 * core_ask_report - a report of SERVER came, or its probe failed.
 * core_ask_offer - SERVER may have room for a call that waits.
 * core_ask_timer - the time for answers is over.
 * core_ask_end - the call waits for no report any more.
 */
void core_ask_plan(struct core_call *call);
void core_ask(struct core *core, struct core_call *call, bool hedge);
void core_ask_report(struct core *core, uint32_t server, bool ok);
void core_ask_offer(struct core *core, uint32_t server);
void core_ask_timer(struct core *core, struct core_call *call);
void core_ask_end(struct core *core, struct core_call *call);
uint64_t core_ask_until_us(const struct core_call *call);

/*
 * core_work.c: what a call takes at a server, and whether there is room.
 *
 * core_work_us - what a call of that kind takes on an idle server.
 * core_expected_us - from sending a call to SERVER to its answer.
 * core_target_us - when a call should have its answer; its deadline if no
 * server can meet the target.
 * core_lesson - what a call that is sent to SERVER now will teach.
 * core_learn_work - an answer came.
 * core_is_fresh - the report of a server is recent enough to decide by it.
 * core_has_slot - a slot is free.
 * core_has_calm_slot - a slot in which a call is not slowed down.
 * core_has_spare_slot - a slot for a call that is late anyway.
 */
uint64_t core_work_us(const struct core *core,
		      const struct core_service *service,
		      const struct core_call *call);
uint64_t core_expected_us(const struct core *core,
			  const struct core_service *service,
			  const struct core_server *server,
			  const struct core_call *call);
uint64_t core_target_us(const struct core *core,
			const struct core_service *service,
			const struct core_call *call);
enum core_lesson core_lesson(const struct core *core,
			     const struct core_server *server);
void core_learn_work(struct core *core, const struct core_call *call,
		     const struct core_attempt *attempt);
bool core_is_fresh(const struct core *core, const struct core_server *server);
bool core_has_slot(const struct core_server *server);
bool core_has_calm_slot(const struct core_service *service,
			const struct core_server *server);
bool core_has_spare_slot(const struct core_service *service,
			 const struct core_server *server);

/* core_pick.c: whether a server takes the call now, and which. */
bool core_pick(struct core *core, struct core_service *service,
	       const struct core_call *call, bool hedge, uint32_t *server);
bool core_tried(const struct core_call *call, uint32_t id);
bool core_guarded(const struct core *core, const struct core_service *service);
bool core_usable(struct core *core, const struct core_service *service,
		 const struct core_server *server, bool guarded);
uint32_t core_load_q8(const struct core *core,
		      const struct core_service *service,
		      const struct core_server *server);

/* core_probe.c: measuring budget, probes and the pool of their responses. */
void core_bucket_set(struct core_bucket *bucket, uint64_t per_s, uint64_t unit,
		     uint64_t now_us);
bool core_report_take(struct core *core, struct core_service *service,
		      const struct core_server *server);
bool core_probe(struct core *core, uint32_t id);
void core_probe_on_call(struct core *core, struct core_service *service);
void core_probe_recheck(struct core *core);
void core_on_report(struct core *core, const struct core_event *event);
bool core_pool_pick(struct core *core, struct core_service *service,
		    const uint32_t *candidates, uint32_t count,
		    uint32_t *server);

/* core_queue.c: admission and queue. */
struct core_lane *core_lane_get(struct core *core, struct core_service *service,
				uint32_t caller);
void core_lane_unref(struct core_lane *lane);
void core_count_end(struct core *core, struct core_service *service);
void core_admit(struct core *core, struct core_call *call);
void core_unqueue(struct core *core, struct core_call *call);
struct core_call *core_next_queued(struct core *core,
				   struct core_service *service);
bool core_too_late(const struct core *core, const struct core_service *service,
		   const struct core_call *call, uint32_t ahead);

/* core_limit.c: what a server may be given, and what its answers teach. */
bool core_leaving(const struct core_server *server);
bool core_server_out(const struct core *core, const struct core_server *server);
bool core_under_limit(const struct core *core,
		      const struct core_service *service,
		      const struct core_server *server);
uint32_t core_warmth_q8(const struct core *core,
			const struct core_server *server);
uint32_t core_base_latency_us(const struct core_service *service,
			      uint32_t zone);
uint64_t core_oldest_us(const struct core *core,
			const struct core_server *server);
void core_learn_good(struct core *core, struct core_server *server,
		     uint32_t latency_us);
void core_learn_slow(struct core *core, struct core_server *server,
		     uint32_t at_least_us);
void core_learn_error(struct core *core, struct core_server *server);
void core_learn_refused(struct core *core, struct core_server *server);
void core_retry_conf(const struct core *core, const struct core_conf *conf,
		     const struct core_service_conf *from,
		     struct core_service *service);
void core_retry_earn(const struct core *core, struct core_service *service);
bool core_retry_take(const struct core *core, struct core_service *service);
uint32_t core_retry_left(const struct core *core,
			 const struct core_service *service);

#endif
