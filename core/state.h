#ifndef CORE_STATE_H
#define CORE_STATE_H

#include <glib.h>

#include "core/core.h"

/* Internal state and functions of the decision core (core/). */

enum {
	CORE_Q8 = 256, /* 1.0 in fixed point, suffix _q8 */
	CORE_US_PER_MS = 1000,
	CORE_US_PER_S = 1000 * 1000,
	CORE_TOKEN_SCALE = 1000 * 1000, /* buckets count in millionths */
	CORE_LATENCY_BUCKETS = 96,
	CORE_PROBE_POOL_SIZE = 16,
	CORE_RETRY_WINDOW_S = 10,
	CORE_ASK_FANOUT = 3, /* servers asked at a time per call */
	/* Oldest report that a decision may rely on. */
	CORE_REPORT_FRESH_US = 15 * CORE_US_PER_MS,
	/*
	 * Only answers to probes tell that a server with a warm-up rate has turned
	 * cold. A busy host, with reports on many answers, asks this often.
	 */
	CORE_WARMUP_CHECK_US = 50 * CORE_US_PER_MS,
	/*
	 * Pace up to which a server counts as undisturbed; policy "ask" does
	 * not wait for a better one.
	 */
	CORE_PACE_NORMAL_MAX_PERCENT = 125,
	CORE_LOAD_HISTORY_SIZE = 64
};

/* Which estimate of the service the duration of an attempt updates. */
enum core_sample_kind {
	CORE_SAMPLE_NONE,
	CORE_SAMPLE_WORK, /* core_service.work_us */
	CORE_SAMPLE_CONTENTION /* core_service.contention_percent */
};

struct core_attempt {
	GList link; /* in core_server.open_attempts; data is this attempt */
	bool open;
	bool sent; /* the request may have run */
	uint32_t server;
	uint64_t begin_us;
	uint64_t answer_us; /* 0: no answer yet */
	enum core_sample_kind sample;
};

/* Token bucket, counted in millionths of a token. */
struct core_bucket {
	uint64_t rate_per_s;
	int64_t depth;
	int64_t tokens;
	uint64_t refilled_us;
};

struct core_server {
	uint32_t id;
	bool in_conf; /* in the current configuration */
	bool was_in_conf; /* in the previous configuration */
	bool conf_leaving; /* by the configuration */
	bool evacuated; /* by the configuration */
	bool announced_leaving; /* CORE_LEAVING_ANNOUNCED */
	bool answer_leaving; /* CORE_LEAVING_IN_ANSWER */
	bool left_for_good; /* CORE_LEAVING_FOR_GOOD */
	uint32_t service;
	uint32_t zone;
	uint32_t slots;
	uint32_t max_connections; /* share of this host */
	uint32_t own_slots; /* slots assigned to this host */
	uint32_t in_flight; /* attempts of this host */
	uint64_t hash;
	GQueue open_attempts; /* struct core_attempt, oldest first */
	/* Latest report; a refusal counts as the report of a full server. */
	uint64_t report_us; /* 0: no report yet */
	uint64_t probe_us; /* latest report from a probe; 0: none */
	uint32_t others_load_q8; /* requests of other hosts */
	/* Latest report as received, for policy "ask". */
	uint32_t running;
	uint32_t waiting;
	uint32_t pace_percent; /* 0: unknown */
	uint32_t sent_since_report; /* attempts of this host */
	/* Latest report, if that showed no uncontended slot; else 0. */
	uint64_t contended_us;
	bool probe_pending; /* a probe of policy "ask" is unanswered */
	uint64_t warmup_until_us; /* expected end of the server's warm-up */
	uint64_t cold_since_us; /* start of the latest one, if it has a rate */
	uint32_t warmup_milli_per_s; /* of the configuration; 0: no rate */
	/* Adaptive concurrency limit for the attempts of this host. */
	uint32_t mean_latency_us; /* moving average; 0: no sample yet */
	uint32_t latency_samples; /* in the moving average */
	uint32_t limit_q8; /* attempts in flight */
	uint64_t last_send_us;
	/* Outlier ejection. BACKOFF_US is nonzero while the server is ejected. */
	uint32_t error_rate_q8; /* moving average */
	uint32_t errors_in_row; /* consecutive */
	uint64_t backoff_us;
	uint64_t backoff_until_us;
	uint64_t slow_start_us; /* when slow start began; 0: no slow start */
	/* Limit of requests a second that its answers name, of all hosts. */
	bool rate_limited;
	uint32_t rate_limit_milli; /* requests in 1000 s */
	struct core_bucket rate_tokens; /* share of this host */
	bool rate_is_cold; /* RATE_TOKENS are the share of a cold server */
	uint64_t paused_until_us; /* it wants nothing before; 0: no pause yet */
	/* Next probe while it is leaving, rate limited or cold; 0: not set. */
	uint64_t next_recheck_us;
};

/* Part of recent events that count, with older ones decayed (share.c). */
struct core_ratio {
	uint32_t hits;
	uint32_t total;
	uint64_t at_us;
};

/*
 * Fair-queueing flow: the calls of one caller, or of one customer, to one
 * service. Each call and the table core_service.flows or customer_flows hold a
 * reference. The flow of a customer has no queue of its own.
 */
struct core_flow {
	uint32_t refs;
	uint32_t weight;
	uint32_t in_flight;
	GQueue queue; /* of struct core_call, earliest deadline first */
	GList active_link; /* in core_service.active_flows */
	bool is_active;
	/* Of a customer: work of its attempts, decayed. */
	uint64_t use_us;
	uint64_t usual_us; /* the same over a longer time */
	uint64_t use_at_us;
};

/* A probe response in the pool of policy "probes". */
struct core_probe_result {
	uint32_t server;
	uint32_t load_q8; /* per slot */
	uint32_t latency_us;
	uint64_t at_us;
	uint32_t uses; /* times a server was chosen by it */
};

/* Calls, and attempts beyond the first one, within one second. */
struct core_retry_second {
	uint64_t second;
	uint32_t calls;
	uint32_t extra_attempts;
};

/* The calls of one caller to one service, see share.c. */
struct core_class {
	uint32_t weight;
	uint64_t seen_us; /* latest call; 0: none */
	struct core_ratio served; /* calls that got an attempt */
	struct core_ratio shortage; /* calls that waited or were refused */
};

/* Overload of a service, see share.c. */
struct core_share {
	struct core_ratio reports; /* servers without an uncontended slot */
	/* Sums as of UPDATED_US. */
	uint64_t updated_us;
	uint32_t full_q8; /* pressure by reports */
	uint32_t short_q8; /* pressure by calls, of the class that has most */
	uint32_t top_short_q8; /* of the highest class */
	uint32_t top_weight; /* highest class present */
	uint32_t low_weight; /* lowest class present */
	uint32_t served_q8; /* mean of all classes */
	uint64_t customers_us; /* when the rest was summed up */
	uint32_t customers;
	uint64_t customer_weights;
	uint64_t customer_use_us;
	uint64_t room_us; /* work that all servers can have */
};

struct core_service {
	bool in_conf;
	uint32_t id;
	enum core_policy policy;
	uint32_t queue_limit;
	uint32_t retry_percent;
	uint32_t *servers;
	uint32_t server_count;
	uint32_t next_index; /* of round robin */
	uint32_t in_flight;
	/* Queue. */
	GPtrArray *flows; /* struct core_flow or NULL, by caller index + 1 */
	GHashTable *customer_flows; /* by core_call.customer; NULL: none yet */
	GQueue active_flows; /* with queued calls; the head wins ties */
	struct core_share share;
	/* By caller index + 1; kept when the configuration changes. */
	GArray *classes; /* struct core_class */
	uint32_t queued; /* calls */
	uint64_t last_end_us; /* of an attempt, while calls are queued */
	/* Moving average of the time between ends while calls are queued. */
	uint32_t mean_end_gap_us;
	/* Budget of retries and hedges, in hundredths of an attempt. */
	uint32_t retry_credit;
	/*
	 * If RETRY_WINDOW_USED is set, RETRY_CREDIT does not count: over the
	 * seconds of RETRY_WINDOW, extra attempts may not exceed RETRY_PERCENT
	 * of the calls plus RETRY_SLACK.
	 */
	bool retry_window_used;
	uint32_t retry_slack; /* share of this host, in hundredths */
	struct core_retry_second retry_window[CORE_RETRY_WINDOW_S];
	/* Measuring budget. */
	struct core_bucket probe_requests;
	struct core_bucket measuring_bytes;
	struct core_bucket cross_zone_bytes;
	struct core_probe_result probe_pool[CORE_PROBE_POOL_SIZE];
	uint32_t probe_pool_count;
	/* Ring of loads reported by probes, per slot. */
	uint32_t load_history[CORE_LOAD_HISTORY_SIZE];
	uint32_t load_history_count; /* ever added */
	/* Time from the start of an attempt to the head of a good answer. */
	uint32_t latency_histogram[CORE_LATENCY_BUCKETS];
	uint32_t histogram_samples;
	uint32_t low_latency_us; /* CORE_LOW_LATENCY_PERCENTILE; 0: unknown */
	/* CORE_HIGH_LATENCY_PERCENTILE, the hedge delay; 0: unknown. */
	uint32_t high_latency_us;
	GArray *zone_latency_us; /* uint32_t by zone: median; 0: unknown */
	uint32_t answer_count; /* good answers */
	uint32_t mean_others_load_q8; /* per slot */
	uint32_t mean_pace_percent; /* 0: unknown */
	/*
	 * Time of a call on an idle server, uint32_t by work class: the caller's
	 * index + 1. 0: unknown.
	 */
	GArray *work_us;
	/* Time of a call past the knee, relative to WORK_US; 0: unknown. */
	uint32_t contention_percent;
};

struct core_call {
	uint64_t id;
	uint32_t service;
	struct core_flow *flow;
	uint32_t customer; /* index + 1; 0: none */
	struct core_flow *customer_flow; /* NULL: no customer */
	uint32_t class_index; /* in core_service.classes */
	uint64_t deadline_us;
	uint64_t hedge_at_us; /* 0: no hedge planned */
	uint64_t begin_us; /* arrival of the call */
	uint64_t target_duration_us; /* from the caller's first try on */
	/* Counted from the caller's first try, so it may precede BEGIN_US. */
	uint64_t target_us;
	/* Policy "ask": refused if no server has room by then. */
	uint64_t wait_until_us;
	uint32_t max_attempts;
	uint32_t work_class; /* index in core_service.work_us */
	bool idempotent;
	bool bulky;
	bool answered;
	bool caller_left;
	/* Policy "ask": servers asked for their load before an attempt. */
	bool asking; /* in core.asking */
	bool ask_hedge; /* the attempt is a hedge */
	bool ask_paused; /* waits for the timer or for a free slot */
	uint32_t ask_rounds;
	bool share_waited;
	uint32_t share_draw; /* 1 up to CORE_Q8; 0: not drawn yet */
	uint32_t ask_count;
	uint32_t ask_servers[CORE_ASK_FANOUT];
	uint64_t ask_begin_us;
	GList ask_link; /* in core.asking */
	struct core_inputs inputs; /* of the latest decision */
	uint32_t attempt_count;
	struct core_attempt attempts[CORE_MAX_ATTEMPTS];
	GList *queue_link; /* in core_flow.queue; NULL: not queued */
};

struct core {
	struct core_driver driver;
	GPtrArray *servers; /* struct core_server by id */
	GPtrArray *services; /* struct core_service by id */
	GHashTable *calls; /* by id; looked up, never iterated */
	GArray *weights; /* uint32_t by caller */
	GArray *customer_weights; /* uint32_t by customer */
	uint64_t customer_weight_sum;
	uint64_t now_us;
	uint32_t zone;
	uint32_t host_count; /* entry hosts that are not draining, at least 1 */
	uint32_t budget_hosts; /* of the configuration */
	uint64_t host_hash; /* of this host */
	GArray *hosts; /* struct core_host_conf, of the configuration */
	uint32_t queued; /* calls, over all services */
	uint64_t timer_us; /* of the core itself; 0: not set */
	bool configured; /* a configuration was applied before */
	bool recheck_needed; /* core_recheck_servers has servers to probe */
	uint64_t last_limit_recheck_us;
	GQueue asking; /* calls that wait for load reports or a slot */
};

/*
 * core.c: calls, their attempts, and events.
 *
 * core_server, core_service - look up by an id that exists.
 * core_random - a random number below BOUND; 0 without drawing if BOUND < 2.
 * core_fill_inputs - copy the state of SERVER for the log line of a decision.
 * core_set_timer - request a TIMER event for the core itself by AT_US.
 * core_set_call_timer - set the timer to the next decision about a call.
 * core_finish_call - emit FINISH and free the call. A result that means "not
 * run" becomes one of unknown outcome if an attempt may have run.
 * core_send_attempt - start an attempt of the call at SERVER.
 */
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

/*
 * conf.c: configuration.
 *
 * core_host_score - for rendezvous hashing: of those that may own an item, the
 * hosts with the highest scores do.
 */
void core_on_conf(struct core *core, const struct core_conf *conf);
uint64_t core_host_score(uint64_t item_hash, uint64_t host_hash);

/*
 * ask.c: policy "ask", which asks a few servers for their load before it
 * sends a call.
 *
 * core_ask_set_wait - set how long a new call may wait for a free slot.
 * core_ask_begin - ask servers for their load before an attempt of CALL, or
 * before a hedge. The call may be sent or finished before the function returns.
 * core_ask_on_report - process a report of SERVER, or the failure of its probe.
 * core_ask_on_capacity - send waiting calls to SERVER if it has room for them.
 * core_ask_on_timer - process the end of the time for answers, or of a pause.
 * core_ask_end - stop asking for CALL.
 * core_ask_timer_us - when core_ask_on_timer is due.
 */
void core_ask_set_wait(struct core_call *call);
void core_ask_begin(struct core *core, struct core_call *call, bool hedge);
void core_ask_on_report(struct core *core, uint32_t server, bool ok);
void core_ask_on_capacity(struct core *core, uint32_t server);
void core_ask_on_timer(struct core *core, struct core_call *call);
void core_ask_end(struct core *core, struct core_call *call);
uint64_t core_ask_timer_us(const struct core_call *call);

/*
 * work.c: estimates of the time of a call at a server, and free slots.
 *
 * core_work_us - time of a call of this work class on an idle server.
 * core_expected_latency_us - time from sending a call to SERVER to its answer.
 * core_target_us - when the answer to a call is due; the deadline if no server
 * can meet the target.
 * core_work_sample_kind - which estimate a call that is sent now will update.
 * core_record_work - update the estimate from the duration of an attempt.
 * core_report_is_fresh - whether a decision may rely on the latest report.
 * core_has_slot - whether a slot is free.
 * core_has_uncontended_slot - whether a slot is free in which the call neither
 * suffers nor causes contention.
 * core_has_spare_slot - whether a slot is free that calls which can still meet
 * their target do not need.
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

/*
 * share.c: overload of a service with policy "ask".
 *
 * core_share_update - sum up the classes and customers, if that is due.
 * core_share_on_call, core_share_on_asked, core_share_on_sent,
 * core_share_on_refused - record that a call came, a server that was asked has
 * answered, an attempt was sent, a call was refused for want of room.
 * core_share_active_percent - the pressure in percent; 0: there is none, or the
 * service has one class and no customers. All decisions are then as without this
 * module.
 * core_share_draw - draw, once for a call, from which shortage on it is
 * restricted.
 * core_share_leaves_room - whether the call may take a slot of SERVER; a
 * restricted call takes no contended one.
 * core_share_is_hopeless - the call cannot end before its deadline any more.
 * core_share_compare_customers - below 0 if the customer of A holds less of the
 * service, relative to its weight, than that of B.
 * core_share_goes_first - whether A gets a slot before B, of two waiting calls;
 * false if neither comes first.
 * core_share_retry_at_us - when the caller of a refused call should come back;
 * 0: the module is not active.
 * core_share_explains_reset - whether a connection that SERVER refused or reset
 * shows that it is full, and not that it has failed.
 */
void core_share_update(const struct core *core, struct core_service *service);
void core_share_on_call(struct core *core, struct core_service *service,
			struct core_call *call, uint32_t caller);
void core_share_on_asked(const struct core *core, struct core_service *service,
			 const struct core_server *server);
void core_share_on_sent(const struct core *core,
			const struct core_service *service,
			struct core_call *call);
void core_share_on_refused(const struct core *core, struct core_call *call);
uint32_t core_share_active_percent(const struct core_service *service);
void core_share_draw(struct core *core, const struct core_service *service,
		     struct core_call *call);
bool core_share_leaves_room(const struct core *core,
			    const struct core_service *service,
			    const struct core_server *server,
			    const struct core_call *call);
bool core_share_is_hopeless(const struct core *core,
			    const struct core_service *service,
			    const struct core_call *call);
int core_share_compare_customers(const struct core *core,
				 const struct core_call *a,
				 const struct core_call *b);
bool core_share_goes_first(const struct core *core,
			   const struct core_service *service,
			   const struct core_call *a,
			   const struct core_call *b);
uint64_t core_share_retry_at_us(struct core *core,
				const struct core_service *service);
bool core_share_explains_reset(const struct core *core,
			       const struct core_server *server);

/*
 * pick.c: choice of a server.
 *
 * core_pick_server - choose a server for an attempt; false: none has room now.
 * core_was_tried - whether the call had an attempt at the server.
 * core_ejection_active - whether ejected servers of the service are avoided.
 * core_is_available - the same as core_is_usable, without slow start.
 * core_is_usable - whether a server may get an attempt. EJECT excludes ejected
 * servers. During slow start the result is random.
 * core_load_q8 - estimated number of requests at a server.
 */
bool core_pick_server(struct core *core, struct core_service *service,
		      const struct core_call *call, bool hedge,
		      uint32_t *server);
bool core_was_tried(const struct core_call *call, uint32_t id);
bool core_ejection_active(const struct core *core,
			  const struct core_service *service);
bool core_is_available(const struct core *core,
		       const struct core_service *service,
		       const struct core_server *server, bool eject);
bool core_is_usable(struct core *core, const struct core_service *service,
		    const struct core_server *server, bool eject);
uint32_t core_load_q8(const struct core *core,
		      const struct core_service *service,
		      const struct core_server *server);

/*
 * bucket.c: token buckets. They start empty, so that a restart yields no
 * extra tokens.
 *
 * core_bucket_configure - share PER_S, in millionths of a token a second; UNIT
 * is the largest single amount, in tokens. In any second at most DEPTH + RATE
 * tokens are spent, which is the share. A share below two units a second gets a
 * depth of one unit and holds only over longer times.
 * core_bucket_set - rate PER_S and depth, both in millionths of a token.
 * core_bucket_level - millionths of a token in the bucket.
 * core_bucket_covers - whether AMOUNT tokens can be spent now.
 * core_bucket_spend, core_bucket_refund - take or return AMOUNT tokens. A refund
 * is negative if more was used than had been taken; the bucket may then fall
 * below zero.
 */
void core_bucket_configure(struct core_bucket *bucket, uint64_t per_s,
			   uint64_t unit, uint64_t now_us);
void core_bucket_set(struct core_bucket *bucket, uint64_t per_s, uint64_t depth,
		     uint64_t now_us);
int64_t core_bucket_level(const struct core_bucket *bucket, uint64_t now_us);
bool core_bucket_covers(struct core_bucket *bucket, uint64_t now_us,
			uint64_t amount);
void core_bucket_spend(struct core_bucket *bucket, uint64_t amount);
void core_bucket_refund(struct core_bucket *bucket, int64_t amount);

/*
 * rate.c: limits of requests a second that servers name, or bear while cold, for all hosts
 * together. This host keeps to its share of them.
 *
 * core_rate_on_limit - a server named, changed or ended its limit.
 * core_rate_on_warmup - a server told how long it is cold, or that it is warm.
 * core_rate_configure_server - apply a configuration, after its other fields.
 * core_rate_refresh - give the server its share as a warm one if it was cold.
 * core_is_cold - whether the server is cold and states what it bears then.
 * core_began_cold - whether the attempt began while it was.
 * core_warmup_is_known - whether a probe has told lately, by AT_US, if it is.
 * core_rate_is_limited - whether any such limit applies now.
 * core_rate_is_untried - whether the server has had no request of this host since it
 * was found cold, and may get one.
 * core_rate_allows - whether an attempt may go to the server now. A hedge may
 * not go to a limited server, which is in need and would get work twice.
 * core_rate_take - count an attempt that is sent to the server.
 * core_rate_opens_us - when the share of this host next allows an attempt at the
 * server; UINT64_MAX: it does not as it is.
 */
void core_rate_on_limit(struct core *core, const struct core_event *event);
void core_rate_on_warmup(struct core *core, const struct core_event *event);
void core_rate_configure_server(struct core *core,
				const struct core_server_conf *from,
				struct core_server *server);
void core_rate_refresh(const struct core *core, struct core_server *server);
bool core_is_cold(const struct core *core, const struct core_server *server);
bool core_began_cold(const struct core_server *server,
		     const struct core_attempt *attempt);
bool core_warmup_is_known(const struct core_server *server, uint64_t at_us);
bool core_rate_is_limited(const struct core *core,
			  const struct core_server *server);
bool core_rate_is_untried(const struct core *core,
			  const struct core_server *server);
bool core_rate_allows(const struct core *core, const struct core_server *server,
		      bool hedge);
void core_rate_take(const struct core *core, struct core_server *server);
uint64_t core_rate_opens_us(const struct core *core,
			    const struct core_server *server);

/*
 * pause.c: pauses that servers ask for.
 *
 * core_on_pause - a server asked for a pause, or for a longer one.
 * core_is_paused - whether nothing may go to the server now.
 * core_closed_kind - why core_opens_us is in the future, for the caller.
 * core_opens_us - when pauses and rate limits next allow an attempt at a server
 * of the service; UINT64_MAX: they do not as they are.
 */
void core_on_pause(struct core *core, const struct core_event *event);
bool core_is_paused(const struct core *core, const struct core_server *server);
enum st_kind core_closed_kind(const struct core *core,
			      const struct core_service *service);
uint64_t core_opens_us(const struct core *core,
		       const struct core_service *service);

/*
 * probe.c: measuring budget, probes, load reports, probe responses.
 *
 * core_take_report_budget - whether an attempt may request a load report; takes
 * its bytes from the budget.
 * core_send_probe - emit a PROBE action; false: the budget is used up, the server
 * wants a pause or is evacuated.
 * core_send_call_probes - for policy "probes", probe random servers for a new
 * call.
 * core_recheck_servers - send due probes to servers that answered x-draining or
 * named a rate limit or are cold, which may have ended.
 * core_pick_from_pool - choose a server by pooled responses; false: too few.
 */
bool core_take_report_budget(struct core *core, struct core_service *service,
			     const struct core_server *server);
bool core_send_probe(struct core *core, uint32_t id);
void core_send_call_probes(struct core *core, struct core_service *service);
void core_recheck_servers(struct core *core);
void core_on_report(struct core *core, const struct core_event *event);
bool core_pick_from_pool(struct core *core, struct core_service *service,
			 const uint32_t *candidates, uint32_t count,
			 uint32_t *server);

/*
 * queue.c: admission and queue.
 *
 * core_flow_ref, core_customer_flow_ref, core_flow_unref - get the flow of a
 * caller or customer with a new reference; release it. Customer 0 has none (NULL).
 * core_update_end_gap - record the end of an attempt for the wait estimate.
 * core_admit_call - send, queue or refuse a call.
 * core_next_queued - the queued call that is next by fair queueing, or NULL.
 * core_is_too_late - whether a call would miss its deadline behind AHEAD calls.
 */
struct core_flow *core_flow_ref(struct core *core, struct core_service *service,
				uint32_t caller);
struct core_flow *core_customer_flow_ref(struct core *core,
					 struct core_service *service,
					 uint32_t customer);
void core_flow_unref(struct core_flow *flow);
void core_update_end_gap(struct core *core, struct core_service *service);
void core_admit_call(struct core *core, struct core_call *call);
void core_unqueue_call(struct core *core, struct core_call *call);
struct core_call *core_next_queued(struct core *core,
				   struct core_service *service);
bool core_is_too_late(const struct core *core,
		      const struct core_service *service,
		      const struct core_call *call, uint32_t ahead);

/*
 * limit.c: limits of a server, outlier ejection, slow start, retry budget.
 *
 * core_is_leaving - whether new calls avoid the server because it is draining.
 * core_is_withdrawn - the same, or because its zone is evacuated.
 * core_is_evacuated - whether all servers of the service are withdrawn, and some by
 * an evacuation. Its calls cannot wait for any of them.
 * core_is_ejected - whether it is ejected and no trial call is due.
 * core_is_under_limit - whether its limits allow one more attempt.
 * core_slow_start_share_q8 - share of calls that it may get; CORE_Q8: all.
 * core_zone_latency_us - median latency of a zone; 0: unknown.
 * core_base_latency_us - the same, or a default.
 * core_get_by_index, core_set_by_index - on an array of uint32_t in which what was
 * not set is 0.
 * core_oldest_attempt_us - age of its oldest unanswered attempt; 0: none.
 * core_record_success, core_record_min_latency, core_record_error,
 * core_record_refusal - update its state from the end of an attempt.
 * core_forget_cut - errors and latencies so far were not the servers'; use them all.
 * core_retry_credit - retries or hedges allowed now, in hundredths.
 * core_take_retry_credit - take the credit for one; false: none is left.
 */
bool core_is_leaving(const struct core_server *server);
bool core_is_withdrawn(const struct core_server *server);
bool core_is_evacuated(const struct core *core,
		       const struct core_service *service);
bool core_is_ejected(const struct core *core, const struct core_server *server);
bool core_is_under_limit(const struct core *core,
			 const struct core_service *service,
			 const struct core_server *server);
uint32_t core_slow_start_share_q8(const struct core *core,
				  const struct core_server *server);
uint32_t core_zone_latency_us(const struct core_service *service,
			      uint32_t zone);
uint32_t core_get_by_index(const GArray *values, uint32_t index);
void core_set_by_index(GArray *values, uint32_t index, uint32_t value);
uint32_t core_base_latency_us(const struct core_service *service,
			      uint32_t zone);
uint64_t core_oldest_attempt_us(const struct core *core,
				const struct core_server *server);
void core_record_success(struct core *core, struct core_server *server,
			 const struct core_attempt *attempt);
void core_record_min_latency(struct core *core, struct core_server *server,
			     uint32_t at_least_us);
void core_record_error(struct core *core, struct core_server *server);
void core_record_refusal(struct core *core, struct core_server *server);
void core_forget_cut(struct core *core);
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
