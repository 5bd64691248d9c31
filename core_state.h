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
	CORE_TOKEN_SCALE = 1000 * 1000, /* millionths of a token */
	CORE_LATENCY_BUCKETS = 96,
	CORE_PROBE_POOL_SIZE = 16,
	CORE_RETRY_WINDOW_S = 10,
	CORE_ASK_FANOUT = 3, /* servers asked at a time for one call */
	/* Reports of that age are recent enough to decide by them. */
	CORE_REPORT_FRESH_US = 15 * CORE_US_PER_MS,
	CORE_PACE_NORMAL_MAX_PERCENT =
		125, /* percent; no better server is waited for */
	CORE_WORK_CLASSES =
		8, /* callers that are told apart by what their calls take */
	CORE_LOAD_HISTORY_SIZE = 64
};

/* What the time of an attempt teaches about its service. */
enum core_sample_kind {
	CORE_SAMPLE_NONE,
	CORE_SAMPLE_WORK, /* how long work takes */
	CORE_SAMPLE_CONTENTION /* how much longer on a crowded server */
};

struct core_attempt {
	GList link; /* in core_server.open; data is this attempt */
	bool open;
	bool sent;
	uint32_t server;
	uint64_t begin_us;
	uint64_t answer_us; /* 0: no answer yet */
	enum core_sample_kind sample;
};

struct core_server {
	uint32_t id;
	bool in_conf;
	bool was_in_conf; /* in the configuration before */
	bool conf_leaving;
	bool announced_leaving;
	bool answer_leaving;
	uint32_t service;
	uint32_t zone;
	uint32_t slots;
	uint32_t max_connections; /* this host's part */
	uint32_t own_slots; /* this host's share of the slots */
	uint32_t in_flight; /* of this host */
	uint64_t hash;
	GQueue open_attempts; /* attempts, oldest first */
	/* Newest report: load that other hosts put on the server. */
	uint64_t report_us; /* 0: no report yet */
	uint32_t others_load_q8;
	/* Policy "ask": the newest report as it came. */
	uint32_t running;
	uint32_t waiting;
	uint32_t pace_percent; /* 0: not known */
	uint32_t sent_since_report; /* attempts sent after the report */
	bool probe_pending; /* a probe is out */
	uint64_t warmup_until_us;
	/* Adaptive limit of the attempts of this host. */
	uint32_t mean_latency_us; /* moving average, 0: none yet */
	uint32_t latency_samples; /* answers in it */
	uint32_t limit_q8;
	uint64_t last_send_us;
	/* Fail-fast guard. BACKOFF_US is not 0 while the server is out. */
	uint32_t error_rate_q8;
	uint32_t errors_in_row;
	uint64_t backoff_us;
	uint64_t backoff_until_us;
	/* Slow start; 0 when warm. */
	uint64_t slow_start_us;
	/* Next probe of a server that said it is draining. */
	uint64_t next_recheck_us;
};

/* Calls of one caller to one service. Counted by the calls and the table. */
struct core_flow {
	uint32_t refs;
	uint32_t weight;
	uint32_t in_flight;
	GQueue queue; /* of struct core_call, earliest deadline first */
	GList active_link; /* link in core_service.active */
	bool is_active;
};

/* Token bucket in millionths. */
struct core_bucket {
	uint64_t rate_per_s;
	int64_t depth;
	int64_t tokens;
	uint64_t refilled_us;
};

/* An entry of the pool of probe responses. */
struct core_probe_result {
	uint32_t server;
	uint32_t load_q8; /* per slot */
	uint32_t latency_us;
	uint64_t at_us;
	uint32_t uses;
};

/* Calls and further attempts of one second. */
struct core_retry_second {
	uint64_t second;
	uint32_t calls;
	uint32_t extra_attempts;
};

struct core_service {
	bool in_conf;
	uint32_t id;
	enum core_policy policy;
	uint32_t queue_limit;
	uint32_t retry_percent;
	uint32_t *servers;
	uint32_t server_count;
	uint32_t next_index; /* round robin */
	uint32_t in_flight;
	/* Queue */
	GPtrArray *flows; /* struct core_flow by caller plus one, or NULL */
	GQueue active_flows; /* flows with queued calls, next turn first */
	uint32_t queued;
	uint64_t last_end_us;
	uint32_t
		mean_end_gap_us; /* average time between ends while calls wait */
	/* Retries and hedges, in hundredths of an attempt. */
	uint32_t retry_credit;
	/*
	 * With a slack the budget holds over a window instead: attempts beyond
	 * the first against the calls of the same seconds.
	 */
	uint32_t retry_slack; /* of this host, in hundredths; 0: no window */
	struct core_retry_second retry_window[CORE_RETRY_WINDOW_S];
	/* Measuring budget. */
	struct core_bucket probe_requests;
	struct core_bucket measuring_bytes;
	struct core_bucket cross_zone_bytes;
	struct core_probe_result probe_pool[CORE_PROBE_POOL_SIZE];
	uint32_t probe_pool_count;
	uint32_t
		load_history[CORE_LOAD_HISTORY_SIZE]; /* loads seen by probes */
	uint32_t load_history_count;
	/* Time to the head of a good answer. */
	uint32_t latency_histogram[CORE_LATENCY_BUCKETS];
	uint32_t histogram_samples;
	uint32_t low_latency_us; /* low percentile */
	uint32_t high_latency_us; /* high percentile, when a hedge is due */
	uint32_t zone_latency_us[CORE_ZONES]; /* usual one, 0: not known */
	uint32_t answer_count;
	uint32_t mean_others_load_q8; /* per slot */
	uint32_t mean_pace_percent; /* 0: not known */
	uint32_t work_us
		[CORE_WORK_CLASSES]; /* on an idle server; 0: not known */
	uint32_t contention_percent; /* on a crowded one; 0: not known */
};

struct core_call {
	uint64_t id;
	uint32_t service;
	struct core_flow *flow;
	uint64_t deadline_us;
	uint64_t hedge_at_us; /* 0: none */
	uint64_t begin_us;
	uint64_t
		target_duration_us; /* from the caller's first try to the target */
	uint64_t target_us; /* may have passed before the call came */
	uint64_t wait_until_us; /* without a server it is refused then */
	uint32_t max_attempts;
	uint32_t work_class; /* index in core_service.work_us */
	bool idempotent;
	bool bulky;
	bool answered;
	/* Policy "ask": the servers that are being asked. */
	bool asking;
	bool ask_hedge; /* for an attempt beside a running one */
	bool ask_paused; /* nobody is asked until the timer fires */
	uint32_t ask_rounds;
	uint32_t ask_count;
	uint32_t ask_servers[CORE_ASK_FANOUT];
	uint64_t ask_begin_us;
	GList ask_link; /* in core.asking */
	struct core_inputs inputs; /* of the newest decision */
	uint32_t attempt_count;
	struct core_attempt attempts[CORE_MAX_ATTEMPTS];
	GList *queue_link; /* link in the queue of its flow */
};

struct core {
	struct core_driver driver;
	GPtrArray *servers; /* struct core_server by id */
	GPtrArray *services; /* struct core_service by id */
	GHashTable *calls; /* looked up by id only */
	GArray *weights; /* uint32_t by caller */
	uint64_t now_us;
	uint32_t zone;
	uint32_t host_count;
	uint32_t queued; /* calls queued in all services */
	uint64_t timer_us; /* 0: no timer is set */
	bool configured;
	bool recheck_needed; /* a server may have to be probed for draining */
	GQueue asking; /* calls that wait for reports */
};

/* core.c */
struct core_server *core_server(const struct core *core, uint32_t id);
struct core_service *core_service(const struct core *core, uint32_t id);
uint32_t core_random(struct core *core, uint32_t bound);
void core_fill_inputs(const struct core *core, const struct core_server *server,
		      struct core_inputs *inputs);
void core_set_timer(struct core *core, uint64_t at_us);
void core_set_call_timer(struct core *core, const struct core_call *call);
void core_finish_call(struct core *core, struct core_call *call,
		      enum st_kind result);
void core_send_attempt(struct core *core, struct core_call *call,
		       uint32_t server, bool hedge);

/* core_conf.c */
void core_on_conf(struct core *core, const struct core_conf *conf);

/*
 * core_ask.c: ask a few servers for their load before a call is sent.
 *
 * core_ask_set_wait - how long a new call may wait for a server.
 * core_ask_begin - begin; the call is sent, refused or asks on within the event.
 * core_ask_on_report - a report of SERVER came, or its probe failed.
 * core_ask_on_capacity - SERVER may have room for a call that waits.
 * core_ask_on_timer - the time for answers is over.
 * core_ask_end - the call waits for no report any more.
 */
void core_ask_set_wait(struct core_call *call);
void core_ask_begin(struct core *core, struct core_call *call, bool hedge);
void core_ask_on_report(struct core *core, uint32_t server, bool ok);
void core_ask_on_capacity(struct core *core, uint32_t server);
void core_ask_on_timer(struct core *core, struct core_call *call);
void core_ask_end(struct core *core, struct core_call *call);
uint64_t core_ask_timer_us(const struct core_call *call);

/*
 * core_work.c: what a call takes at a server, and whether there is room.
 *
 * core_work_us - what a call of that kind takes on an idle server.
 * core_expected_latency_us - from sending a call to SERVER to its answer.
 * core_target_us - when a call should have its answer; its deadline if no
 * server can meet the target.
 * core_lesson - what a call that is sent to SERVER now will teach.
 * core_record_work - an answer came.
 * core_report_is_fresh - the report of a server is recent enough to decide by it.
 * core_has_slot - a slot is free.
 * core_has_uncontended_slot - a slot in which a call is not slowed down.
 * core_has_spare_slot - a slot for a call that is late anyway.
 */
uint64_t core_work_us(const struct core *core,
		      const struct core_service *service,
		      const struct core_call *call);
uint64_t core_expected_latency_us(const struct core *core,
				  const struct core_service *service,
				  const struct core_server *server,
				  const struct core_call *call);
uint64_t core_target_us(const struct core *core,
			const struct core_service *service,
			const struct core_call *call);
enum core_sample_kind core_work_sample_kind(const struct core *core,
					    const struct core_server *server);
void core_record_work(struct core *core, const struct core_call *call,
		      const struct core_attempt *attempt);
bool core_report_is_fresh(const struct core *core,
			  const struct core_server *server);
bool core_has_slot(const struct core_server *server);
bool core_has_uncontended_slot(const struct core_service *service,
			       const struct core_server *server);
bool core_has_spare_slot(const struct core_service *service,
			 const struct core_server *server);

/* core_pick.c: whether a server takes the call now, and which. */
bool core_pick_server(struct core *core, struct core_service *service,
		      const struct core_call *call, bool hedge,
		      uint32_t *server);
bool core_was_tried(const struct core_call *call, uint32_t id);
bool core_ejection_active(const struct core *core,
			  const struct core_service *service);
bool core_is_usable(struct core *core, const struct core_service *service,
		    const struct core_server *server, bool eject);
uint32_t core_load_q8(const struct core *core,
		      const struct core_service *service,
		      const struct core_server *server);

/* core_probe.c: measuring budget, probes and the pool of their responses. */
void core_bucket_configure(struct core_bucket *bucket, uint64_t per_s,
			   uint64_t unit, uint64_t now_us);
bool core_take_report_budget(struct core *core, struct core_service *service,
			     const struct core_server *server);
bool core_send_probe(struct core *core, uint32_t id);
void core_send_call_probes(struct core *core, struct core_service *service);
void core_recheck_draining(struct core *core);
void core_on_report(struct core *core, const struct core_event *event);
bool core_pick_from_pool(struct core *core, struct core_service *service,
			 const uint32_t *candidates, uint32_t count,
			 uint32_t *server);

/* core_queue.c: admission and queue. */
struct core_flow *core_flow_ref(struct core *core, struct core_service *service,
				uint32_t caller);
void core_flow_unref(struct core_flow *flow);
void core_update_end_gap(struct core *core, struct core_service *service);
void core_admit_call(struct core *core, struct core_call *call);
void core_unqueue_call(struct core *core, struct core_call *call);
struct core_call *core_next_queued(struct core *core,
				   struct core_service *service);
bool core_is_too_late(const struct core *core,
		      const struct core_service *service,
		      const struct core_call *call, uint32_t ahead);

/* core_limit.c: what a server may be given, and what its answers teach. */
bool core_is_leaving(const struct core_server *server);
bool core_is_ejected(const struct core *core, const struct core_server *server);
bool core_is_under_limit(const struct core *core,
			 const struct core_service *service,
			 const struct core_server *server);
uint32_t core_slow_start_share_q8(const struct core *core,
				  const struct core_server *server);
uint32_t core_base_latency_us(const struct core_service *service,
			      uint32_t zone);
uint64_t core_oldest_attempt_us(const struct core *core,
				const struct core_server *server);
void core_record_success(struct core *core, struct core_server *server,
			 uint32_t latency_us);
void core_record_min_latency(struct core *core, struct core_server *server,
			     uint32_t at_least_us);
void core_record_error(struct core *core, struct core_server *server);
void core_record_refusal(struct core *core, struct core_server *server);
void core_configure_retries(const struct core *core,
			    const struct core_conf *conf,
			    const struct core_service_conf *from,
			    struct core_service *service);
void core_earn_retry_credit(const struct core *core,
			    struct core_service *service);
bool core_take_retry_credit(const struct core *core,
			    struct core_service *service);
uint32_t core_retry_credit(const struct core *core,
			   const struct core_service *service);

#endif
