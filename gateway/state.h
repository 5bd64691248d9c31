#ifndef GATEWAY_STATE_H
#define GATEWAY_STATE_H

#include "gateway/dialect.h"
#include "gateway/gateway.h"
#include "http/httpc.h"

/*
 * State that the files of gateway/ share:
 *
 * gateway.c: the listener, events and actions of the core.
 * call.c: calls, from a request to its end.
 * answer.c: answers to callers.
 * attempt.c: attempts at servers.
 * crash.c: calls that crash servers.
 * reach.c: whether the servers can be reached.
 * forward.h: calls that are passed from host to host.
 * conf.c: configuration from the document and the host list.
 * route.c: state that routes keep between calls.
 * customer.c: customers of calls, by their keys.
 * log.c: log lines about calls.
 */
enum {
	GW_US_PER_MS = 1000,
	GW_DIGITS = 20,
	/* Of a connection that is used again for a call that may run only once. */
	GW_NON_IDEMPOTENT_IDLE_US = 1000 * 1000,
	/* For the last answers to leave before the process is killed. */
	GW_KILL_MARGIN_US = 200 * 1000
};

/* An upstream server with its connections. Names here are those of base/text.h. */
struct gw_server {
	char *name;
	uint32_t id;
	uint32_t zone;
	char *probe_path; /* NULL: that of the dialect */
	bool rate_limited; /* by its latest answer */
	uint32_t rate_limit_milli; /* requests in 1000 s, of all hosts */
	uint32_t warmup_milli_per_s; /* of its service; 0: none is stated */
	uint64_t warm_at_us; /* by the latest entry that the core has */
	uint64_t cold_until_us; /* as known so far; 0: it was warm */
	struct hc_pool pool;
	uint64_t start_hash; /* differs for each start of the server */
	struct gw_crash_check *crash_check; /* in progress; NULL: none */
};

/* An answer that is buffered until it is complete. */
struct gw_buffered_answer {
	struct hc_head head;
	struct hc_header *headers;
	GString *header_text; /* names and values that HEADERS points to */
	GString *body;
};

/* A live entry host. */
struct gw_host {
	uint64_t hash; /* of the name */
	char *zone;
	bool draining;
};

struct gw_attempt {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_call *call;
	uint32_t index; /* in the call's attempts */
	uint32_t server; /* core id */
	int status; /* of the answer; 0: none yet */
	uint64_t begin_us;
	uint64_t end_us; /* 0: in progress */
	enum core_end end;
	struct core_inputs inputs; /* of the choice of the server */
	struct gw_buffered_answer *buffered; /* NULL: not buffered */
	bool refused; /* the server proved that it did not run the call */
	uint64_t refusal_bytes; /* of the body of such an answer */
	bool ended; /* included in the call's may_have_run */
};

/*
 * One request of a caller. It is freed when the core has finished it and the
 * listener has dropped the request, in either order.
 */
struct gw_call {
	h2o_generator_t generator; /* first: callbacks cast back */
	struct gw_gateway *gateway;
	uint64_t id;
	char *request_id;
	h2o_req_t *req; /* NULL once the listener has dropped it */
	bool head_method;
	GString *request_head; /* without the headers of a single attempt */
	struct hd_body request_body;
	const char *call_id; /* id that the caller sent; NULL: none */
	char *route; /* NULL: no named route */
	uint64_t generation; /* of the document when the call arrived */
	struct ps_position revision; /* of the same */
	uint32_t attempt_count;
	struct core_inputs inputs; /* of the core's last decision */
	uint64_t deadline_us;
	uint64_t begin_us;
	uint64_t target_us; /* end of the latency target; 0: none */
	uint64_t waited_us; /* estimate, since the caller's first try */
	uint32_t service; /* core id */
	uint32_t caller_index; /* of the core's callers, or CORE_NO_CALLER */
	char *customer; /* name, of base/text.h; NULL: none */
	uint32_t customer_index; /* in CUSTOMERS, or DOC_NO_INDEX */
	struct doc_customers
		*customers; /* that its key was last looked up in */
	char *api_key; /* NULL: none, or another host has checked it */
	bool key_removed; /* by a later document */
	uint32_t work_class; /* of the core's callers, + 1; 0: CALLER_INDEX */
	uint32_t max_attempts; /* of the route; 0: the core's limit only */
	bool bulky; /* the route has large answers */
	bool idempotent;
	bool may_have_run; /* an ended attempt may have run the call */
	bool connection_lost; /* of an attempt, before an answer was passed on */
	bool has_key; /* KEY is set */
	struct cg_key key; /* see crash.c */
	struct od_claim *claim; /* of an order; NULL: none, or ended */
	GString *stored_body; /* answer that is stored with the order */
	char *stored_type;
	struct tm_sub timer;
	bool read_before_end; /* see gw_must_read_first */
	struct gw_attempt attempts[CORE_MAX_ATTEMPTS];
	struct gw_attempt *answer_attempt;
	int answer_status; /* of the answer that is passed on; 0: none yet */
	int unproven_status; /* of a server's answer that is not; 0: none */
	bool from_host; /* another host passed it on; it stays here */
	bool forward_refused; /* once the core has given it up */
	struct gw_forward *forward; /* to another host; NULL: none */
	char *forwarded_to; /* NULL: no other host */
	GString *unsent; /* answer bytes not yet given to the listener */
	GString *sending; /* in use by the listener until gw_on_proceed */
	uint32_t refs; /* one for the core, one for the listener */
	bool caller_left; /* the core was told */
	bool head_copied; /* of a server's answer, to the answer to the caller */
	bool answer_started; /* the head was given to h2o */
	uint64_t answer_bytes; /* of the body, given to h2o */
	bool send_in_progress;
	bool finished; /* RESULT is final */
	bool final_sent; /* the end of the answer was given to h2o */
	bool read_paused; /* too many unsent bytes */
	enum st_kind result;
	uint64_t
		retry_at_us; /* for the caller of a refused call; 0: not known */
};

/* The customer of a request. */
struct gw_identity {
	uint32_t index; /* in the document; DOC_NO_INDEX: none */
	h2o_iovec_t key; /* empty if another host has checked it */
};

/*
 * gw_post_event - set the time of EVENT to now and pass it to the core. Events
 * that are posted while the core handles one are queued. Source: gateway/gateway.c
 *
 * gw_post_rate_limit - pass a RATE_LIMIT event on if it states a change.
 * gw_note_cold - count and log that a server is cold, by its entry or a probe, if that
 * is new.
 * gw_post_warmup - pass a WARMUP event on if the server has a warm-up rate, and was
 * cold or is.
 * gw_post_pause - count, log and pass on that a server asked for a pause.
 * gw_handle_call - admit a request, FROM_HOST or from a caller, that came at
 * ARRIVED_US.
 * gw_refuse_request - answer a request that does not become a call.
 */
void gw_post_event(struct gw_gateway *gateway, struct core_event *event);
void gw_post_rate_limit(struct gw_gateway *gateway, struct core_event *event);
void gw_note_cold(struct gw_server *server, uint64_t left_us, bool by_probe);
void gw_post_warmup(struct gw_gateway *gateway, struct core_event *event);
void gw_post_pause(struct gw_gateway *gateway, struct core_event *event);
void gw_handle_call(struct gw_gateway *gateway, h2o_req_t *req, bool from_host,
		    uint64_t arrived_us);
void gw_refuse_request(struct gw_gateway *gateway, h2o_req_t *req,
		       enum st_kind kind, const char *msg);

/*
 * call.c
 *
 * gw_call_new - state of a new call for REQ.
 * gw_admit_route_call, gw_admit_service_call - pass a new call to the core, by
 * its named route or by the service at INDEX of the document. An order with a
 * key is passed on when its key has been claimed.
 * gw_finish_call - action of the core: the call has its result.
 * gw_complete_call - end a call that the core does not have (any more).
 * gw_expire_call - end the call now, as at its deadline.
 * gw_note_unproven - an answer with STATUS is not passed on to the caller; see
 * OC_UNPROVEN.
 * gw_caller_left - whether the caller has closed its connection or its stream.
 * gw_post_gone - tell the core, once, that the caller has left.
 */
struct gw_call *gw_call_new(struct gw_gateway *gateway, h2o_req_t *req,
			    uint64_t arrived_us);
void gw_admit_route_call(struct gw_call *call, const struct doc_route *route);
void gw_admit_service_call(struct gw_call *call, uint32_t index);
void gw_finish_call(struct gw_gateway *gateway,
		    const struct core_action *action);
void gw_complete_call(struct gw_call *call, enum st_kind result);
void gw_expire_call(struct gw_call *call);
void gw_note_unproven(struct gw_call *call, int status);
bool gw_caller_left(const struct gw_call *call);
void gw_post_gone(struct gw_call *call);

/*
 * answer.c
 *
 * gw_add_outcome - add the request id and the outcome header of KIND.
 * gw_reply_error - answer with an error; without MSG (NULL) a default is used.
 * gw_copy_head - take over the head of a server's answer. It is sent with the
 * first bytes of the body or at the end, so that a call of which only the head has
 * come can still end with an error.
 * gw_drop_head - undo that.
 * gw_buffer_bytes - how much of an answer is kept before it is sent on, and held for
 * a caller that reads slowly: less if there are many calls. Bytes without end cost no
 * more than that.
 * gw_flush_read - flush what one read of REQUEST brought, and pause reading if the
 * caller is slow.
 * gw_resume_answer - read on the answer, of which enough has been sent.
 * gw_flush_answer - pass unsent bytes to the listener, and the end of the
 * answer once the call is finished.
 * gw_add_retry_after - add Retry-After if KIND is that of a call over its quota, or is
 * answered with status 503 and guarantees that the request was not run. A server may take it after AFTER_US; 0:
 * not known, it may be soon.
 * gw_add_challenge - add the header that an answer of status 401 must have.
 * gw_is_hop_header - whether the header is hop-by-hop or set by this program.
 */
void gw_add_outcome(struct gw_call *call, enum st_kind kind);
void gw_reply_error(struct gw_call *call, enum st_kind kind, const char *msg);
void gw_copy_head(struct gw_call *call, const struct hc_head *head);
void gw_drop_head(struct gw_call *call);
uint32_t gw_buffer_bytes(const struct gw_gateway *gateway);
void gw_flush_read(struct gw_call *call, struct hc_request *request);
void gw_resume_answer(struct gw_call *call);
void gw_flush_answer(struct gw_call *call);
bool gw_is_hop_header(const struct dl_dialect *dialect, const char *name,
		      size_t bytes);
void gw_add_retry_after(const struct dl_dialect *dialect, h2o_req_t *req,
			enum st_kind kind, uint64_t after_us);
void gw_add_challenge(h2o_req_t *req, enum st_kind kind);

/*
 * customer.c
 *
 * gw_identify_customer - find the customer of a request, whose route or service may
 * be public. False: it has none and needs one, and was refused.
 * gw_set_customer, gw_clear_customer - of a new call; of one that ends.
 * gw_set_priority - that of its customer or else of its route.
 * gw_caller_name - by which a call without a named route is weighted and its
 * idempotency key is scoped: its customer, or else what the caller calls itself.
 * gw_is_customer_header - whether the header of a caller is not passed on because
 * it holds a key, or may be taken for the customer's name.
 * gw_has_lost_key - whether the document in force has removed the key of the call;
 * if another customer has got it, so has the call.
 * gw_end_revoked_calls - end those of them that wait for a server.
 */
bool gw_identify_customer(struct gw_gateway *gateway, h2o_req_t *req,
			  bool is_public, bool from_host,
			  struct gw_identity *identity);
void gw_set_customer(struct gw_call *call, const struct gw_identity *identity);
void gw_clear_customer(struct gw_call *call);
void gw_set_priority(struct gw_call *call, const struct doc_route *route);
h2o_iovec_t gw_caller_name(const struct gw_call *call);
bool gw_is_customer_header(const struct gw_gateway *gateway, const char *name,
			   size_t bytes);
bool gw_has_lost_key(struct gw_call *call);
void gw_end_revoked_calls(struct gw_gateway *gateway);

/*
 * attempt.c: actions of the core.
 *
 * gw_free_buffered - discard the buffered answer, if there is one.
 * gw_format_decimal - write VALUE without a terminator; returns the number of
 * digits.
 */
void gw_free_buffered(struct gw_attempt *attempt);
void gw_start_attempt(struct gw_gateway *gateway,
		      const struct core_action *action);
void gw_cancel_attempt(struct gw_gateway *gateway,
		       const struct core_action *action);
void gw_start_probe(struct gw_gateway *gateway,
		    const struct core_action *action);
size_t gw_format_decimal(uint64_t value, char out[GW_DIGITS]);

/*
 * crash.c
 *
 * gw_is_blocked - whether the call must not be sent because it crashes servers;
 * sets when its caller may come back.
 * gw_post_blocked - tell the core so.
 * gw_on_connection_lost - the server closed the connection of the attempt before
 * the end of its answer.
 * gw_on_good_answer - the call had an answer that speaks for it.
 * gw_on_crash_message, gw_on_block_message - what other hosts found.
 * gw_close_crash_checks - cancel checks in progress.
 */
bool gw_is_blocked(struct gw_call *call);
void gw_post_blocked(struct gw_call *call);
void gw_on_connection_lost(struct gw_attempt *attempt);
void gw_on_good_answer(struct gw_call *call);
void gw_on_crash_message(struct gw_gateway *gateway,
			 const struct kn_msg_crash *crash);
void gw_on_block_message(struct gw_gateway *gateway,
			 const struct kn_msg_block *block);
void gw_close_crash_checks(struct gw_gateway *gateway);

/*
 * reach.c: whether this host reaches the servers.
 *
 * gw_init_reach, gw_close_reach - without sockets; cancel the check.
 * gw_is_cut_off - no server is heard. The first call that finds so logs it, and
 * forwards the calls that wait for a server.
 * gw_reaches_badly - that, or no new connection to a server succeeds.
 */
void gw_init_reach(struct gw_gateway *gateway);
void gw_close_reach(struct gw_gateway *gateway);
bool gw_is_cut_off(struct gw_gateway *gateway);
bool gw_reaches_badly(struct gw_gateway *gateway);

/*
 * peer.c, forward.c, forwarded.c
 *
 * gw_init_peers, gw_free_peers - the hosts that calls can be passed to.
 * gw_update_peers - take over the list of hosts. gw_close_peers - close the
 * connections to them.
 * gw_forward_call - pass the call to another host; false: it cannot be. The call
 * must not be in the core.
 * gw_forward_refused - the same for one that the core has refused with RESULT, if
 * that is for want of a way to the servers.
 * gw_forward_waiting_calls - pass on the calls that were sent to no server.
 * gw_expire_forward - end a call that was passed on, as at its deadline.
 * gw_leave_forward - its caller has left.
 * gw_check_forward_callers - find those that have; gw_end_forwards - expire all.
 * gw_forward_request - the request to the other host; NULL: none.
 * gw_read_forwarded - take over what the other host says of its call; the route
 * allows MAX_ATTEMPTS.
 * gw_take_early_calls - take the calls of other hosts that have waited for the document
 * that is in force now. gw_close_early_calls - drop those that wait.
 * gw_add_unable - say that this host can do nothing for a call of another one.
 */
void gw_init_peers(struct gw_gateway *gateway);
void gw_free_peers(struct gw_gateway *gateway);
void gw_update_peers(struct gw_gateway *gateway, const struct pr_hosts *hosts);
void gw_close_peers(struct gw_gateway *gateway);
bool gw_forward_call(struct gw_call *call);
bool gw_forward_refused(struct gw_call *call, enum st_kind result);
void gw_forward_waiting_calls(struct gw_gateway *gateway);
void gw_expire_forward(struct gw_call *call);
void gw_leave_forward(struct gw_call *call);
void gw_check_forward_callers(struct gw_gateway *gateway);
void gw_end_forwards(struct gw_gateway *gateway);
struct hc_request *gw_forward_request(struct gw_call *call);
void gw_read_forwarded(struct gw_call *call, uint32_t max_attempts);
void gw_take_early_calls(struct gw_gateway *gateway);
void gw_close_early_calls(struct gw_gateway *gateway);
void gw_add_unable(h2o_req_t *req);

/*
 * log.c: lines about calls, see docs/OPERATIONS.md.
 *
 * gw_log_attempt_start - an attempt starts.
 * gw_log_attempt_end - an attempt failed; not called for one that was cancelled
 * or could not be started.
 * gw_log_forward - a call is passed to another host, the TRYth one.
 * gw_log_call_end - a call has its result; also updates the latency histogram.
 * gw_log_stall - the event loop was blocked for STALL_US.
 * gw_log_rate_limit - a server's limit began, changed or ended.
 * gw_log_cold - a server is cold, by its entry or an answer (BY_PROBE).
 * gw_log_warm - a server that was cold says that it is warm.
 * gw_log_pause - a server asked for a pause; EVENT is a PAUSE event.
 * gw_log_crash - a server crashed while it ran CALLS calls of this host.
 * gw_log_cut - no server is reached, by what failed last; gw_log_reached - one is.
 * gw_log_check - a server that broke off CALLS calls of this host was asked by new
 * connections; RESULT is what that showed.
 * gw_log_suspect - CRASHES servers have crashed under a request that is not blocked;
 * found by this host or by another one.
 * gw_log_block - a request is blocked, found by this host or by another one.
 * gw_log_refusal - a request was refused before it became a call.
 * gw_log_health_change - the core ejected a server or returned it to use; CTX
 * is the gateway.
 */
void gw_log_attempt_start(const struct gw_attempt *attempt, bool hedge);
void gw_log_attempt_end(const struct gw_attempt *attempt, const char *msg);
void gw_log_forward(const struct gw_call *call, uint32_t try_number);
void gw_log_call_end(const struct gw_call *call);
void gw_log_stall(const struct gw_gateway *gateway, uint64_t stall_us);
void gw_log_rate_limit(const struct gw_server *server,
		       enum core_report_source source);
void gw_log_cold(const struct gw_server *server, uint64_t left_us,
		 bool by_probe);
void gw_log_warm(const struct gw_server *server);
void gw_log_pause(const struct gw_gateway *gateway,
		  const struct core_event *event);
void gw_log_crash(const struct gw_server *server, uint32_t calls);
void gw_log_cut(const struct gw_gateway *gateway);
void gw_log_reached(const struct gw_gateway *gateway);
void gw_log_check(const struct gw_server *server, uint32_t calls,
		  const char *result);
void gw_log_suspect(const struct gw_gateway *gateway, const struct cg_key *key,
		    uint32_t crashes, bool by_this_host);
void gw_log_block(const struct gw_gateway *gateway, const struct cg_key *key,
		  bool by_this_host);
void gw_log_refusal(const struct gw_gateway *gateway, h2o_req_t *req,
		    enum st_kind kind);
void gw_log_health_change(void *ctx, const struct core_health_change *change);

/*
 * route.c
 *
 * gw_route_states_new - empty table of route states.
 * gw_pick_route_service - index, among the services of ROUTE, of the one that
 * gets the next call.
 * gw_estimate_waited_ms - time since the first try of a caller whose request
 * has the timeout CALLER_TIMEOUT_MS, estimated from the timeouts in other
 * requests to the route; 0 for a first try.
 */
GHashTable *gw_route_states_new(void);
uint32_t gw_pick_route_service(struct gw_gateway *gateway,
			       const struct doc_route *route);
uint64_t gw_estimate_waited_ms(struct gw_gateway *gateway,
			       const struct doc_route *route,
			       uint64_t caller_timeout_ms);

/*
 * conf.c
 *
 * gw_configure_core - pass the document and the host list to the core.
 * gw_is_evacuated - whether nothing may be sent to the server.
 * gw_hosts_new - empty list of entry hosts.
 * gw_update_hosts - replace the list of live entry hosts.
 * gw_update_server_state - pass to the core a notice from the platform or a
 * peer that a server is leaving, or that the last such notice has expired.
 */
void gw_configure_core(struct gw_gateway *gateway);
bool gw_is_evacuated(const struct gw_gateway *gateway,
		     const struct gw_server *server);
GArray *gw_hosts_new(void);
void gw_update_hosts(struct gw_gateway *gateway, const struct pr_hosts *hosts);
void gw_update_server_state(struct gw_gateway *gateway,
			    const struct kn_msg_server_state *state);

#endif
