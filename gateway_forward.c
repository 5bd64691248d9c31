#include "gateway_state.h"

#include <string.h>

#include "attempt.h"
#include "counter.h"
#include "peer.h"

/*
 * Calls that are forwarded to another host, because this one reaches no server
 * (design.md, section 8), and those that other hosts forward to this one. A call is
 * sent to the other host's listener for hosts, with its headers and
 *
 *	x-entry-host		the host that forwards it
 *	x-entry-waited-ms	time since the caller's first try
 *	x-entry-attempts	servers that may have run it
 *	x-entry-revision	of the document by which it was routed
 *
 * An answer with x-entry-unable says that the host can do nothing for the call.
 *
 * A host with a document of an earlier revision would route the call by what is no
 * longer in force; it may just have been frozen. It waits for the later document, and
 * is unable if that does not come soon.
 */
#define GW_FROM_HOST "x-entry-host"
#define GW_WAITED    "x-entry-waited-ms"
#define GW_ATTEMPTS  "x-entry-attempts"
#define GW_REVISION  "x-entry-revision"
#define GW_UNABLE    "x-entry-unable"

enum {
	GW_PEERS_IN_USE = 8, /* connections must not grow with the hosts */
	/* Hosts that are tried for a call, and of these that cannot be reached. */
	GW_MAX_FORWARDS = 8,
	GW_MAX_LOST = 3,
	GW_PEER_CONNECTIONS = 256,
	GW_PEER_CONNECT_TIMEOUT_US = 150 * 1000,
	/* Less than the time after which a host closes an idle connection. */
	GW_PEER_IDLE_US = 5 * 1000 * 1000,
	/*
	 * Of a host that cannot be reached, and of one that says it is unable; doubled
	 * with each time in a row.
	 */
	GW_PEER_LOST_BACKOFF_US = 1000 * 1000,
	GW_PEER_UNABLE_BACKOFF_US = 300 * 1000,
	GW_PEER_MAX_DOUBLINGS = 4,
	/* For the other host's answer to come before the deadline here. */
	GW_FORWARD_MARGIN_US = 10 * 1000,
	/* Longer than a change takes from host to host. */
	GW_OUTDATED_WAIT_US = 500 * 1000
};

/* Another host that calls can be passed to. */
struct gw_peer {
	char *id; /* name and address; key of the table */
	char *name; /* of text.h */
	uint64_t order; /* by a hash of both names; the lowest are used */
	bool same_zone;
	bool listed;
	uint32_t in_flight; /* calls */
	uint32_t failures; /* to take a call, in a row */
	uint64_t backoff_until_us;
	struct hc_pool pool;
};

/* A call on its way to another host. */
struct gw_forward {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_call *call;
	struct gw_peer *peer;
	uint32_t tries;
	uint32_t lost; /* of these, hosts that could not be reached */
	bool unable; /* says the answer */
	GList link; /* in gw_gateway.forwards */
};

/* A call of another host that waits for a later document. */
struct gw_early_call {
	struct hd_request_ref *ref;
	uint64_t arrived_us;
	GList link; /* in gw_gateway.early_calls, the earliest first */
};

/* Hosts */

static void gw_free_peer(void *ptr)
{
	struct gw_peer *peer = ptr;

	tx_unref(peer->name);
	g_free(peer->id);
	g_free(peer);
}

void gw_init_peers(struct gw_gateway *gateway)
{
	gateway->peers = g_ptr_array_new();
	gateway->peer_ids = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  gw_free_peer);
	g_queue_init(&gateway->forwards);
}

void gw_free_peers(struct gw_gateway *gateway)
{
	g_ptr_array_free(gateway->peers, TRUE);
	g_hash_table_destroy(gateway->peer_ids);
}

static struct gw_peer *gw_peer_new(struct gw_gateway *gateway,
				   const struct pr_host *host,
				   const struct nt_address *address)
{
	struct gw_peer *peer = g_new0(struct gw_peer, 1);
	char *names =
		g_strconcat(gateway->settings->host, " ", host->name, NULL);

	peer->name = tx_new(host->name);
	peer->order = gw_hash_name(names);
	g_free(names);
	hc_pool_init(&peer->pool, gateway->kernel->loop, address,
		     GW_PEER_CONNECTIONS);
	hc_pool_set_connect_timeout(&peer->pool, gateway->timers,
				    GW_PEER_CONNECT_TIMEOUT_US);
	peer->pool.max_idle_us = GW_PEER_IDLE_US;
	return peer;
}

/* NULL: the host takes no calls of others. */
static struct gw_peer *gw_get_peer(struct gw_gateway *gateway,
				   const struct pr_host *host)
{
	const char *text = host->address ? host->address : "";
	char *id = g_strconcat(host->name, " ", text, NULL);
	struct gw_peer *peer = g_hash_table_lookup(gateway->peer_ids, id);
	struct nt_address address;

	if (peer || !nt_parse(text, &address)) {
		g_free(id);
		return peer;
	}
	peer = gw_peer_new(gateway, host, &address);
	peer->id = id;
	g_hash_table_insert(gateway->peer_ids, id, peer);
	g_ptr_array_add(gateway->peers, peer);
	return peer;
}

static int gw_compare_peers(const void *a, const void *b)
{
	const struct gw_peer *x = *(struct gw_peer *const *)a;
	const struct gw_peer *y = *(struct gw_peer *const *)b;

	return x->order < y->order ? -1 : x->order > y->order;
}

void gw_update_peers(struct gw_gateway *gateway, const struct pr_hosts *hosts)
{
	for (guint i = 0; i < gateway->peers->len; i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);

		peer->listed = false;
	}
	for (uint32_t i = 0; i < hosts->count; i++) {
		const struct pr_host *host = &hosts->rows[i];
		struct gw_peer *peer;

		if (!strcmp(host->name, gateway->settings->host))
			continue;
		peer = gw_get_peer(gateway, host);
		if (!peer)
			continue;
		peer->listed = true;
		peer->same_zone = !strcmp(host->zone, gateway->settings->zone);
	}
	g_ptr_array_sort(gateway->peers, gw_compare_peers);
}

/* Fewest calls first; of equal ones those of this zone, then a random one. */
static struct gw_peer *gw_pick_peer(struct gw_gateway *gateway)
{
	struct gw_peer *best = NULL;
	uint64_t best_cost = UINT64_MAX;
	uint64_t now_us = tm_now_us();
	uint32_t used = 0;

	for (guint i = 0; i < gateway->peers->len && used < GW_PEERS_IN_USE;
	     i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);
		uint64_t cost;

		if (!peer->listed || now_us < peer->backoff_until_us)
			continue;
		used++;
		cost = ((uint64_t)peer->in_flight * 2 + !peer->same_zone) *
			       GW_PEERS_IN_USE +
		       g_rand_int(gateway->random) % GW_PEERS_IN_USE;
		if (cost >= best_cost)
			continue;
		best = peer;
		best_cost = cost;
	}
	return best;
}

static void gw_back_off(struct gw_peer *peer, uint64_t backoff_us)
{
	peer->backoff_until_us =
		tm_now_us() +
		(backoff_us << MIN(peer->failures, GW_PEER_MAX_DOUBLINGS));
	peer->failures++;
}

/* Forwarding a call */

static void gw_add_number(GString *out, const char *name, uint64_t value)
{
	char text[GW_DIGITS];

	hc_head_add(out, name, strlen(name), text,
		    gw_format_decimal(value, text));
}

static void gw_add_revision(GString *out, const struct doc_revision *revision)
{
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
				     revision->era, revision->version);

	hc_head_add(out, GW_REVISION, strlen(GW_REVISION), text, strlen(text));
	g_free(text);
}

static GString *gw_format_forward(const struct gw_call *call)
{
	const struct gw_gateway *gateway = call->gateway;
	uint64_t now_us = tm_now_us();
	uint64_t end_us = call->deadline_us - GW_FORWARD_MARGIN_US;
	uint64_t waited_us = call->waited_us + now_us - call->begin_us;
	const GString *body = call->request_body;
	GString *out = g_string_new_len(call->request_head->str,
					(gssize)call->request_head->len);

	gw_add_number(out, gateway->dialect->time_left_ms,
		      MAX((end_us - MIN(end_us, now_us)) / GW_US_PER_MS, 1));
	hc_head_add(out, GW_FROM_HOST, strlen(GW_FROM_HOST),
		    gateway->settings->host, strlen(gateway->settings->host));
	gw_add_number(out, GW_WAITED, waited_us / GW_US_PER_MS);
	gw_add_number(out, GW_ATTEMPTS,
		      call->may_have_run ? call->attempt_count : 0);
	gw_add_revision(out, &call->revision);
	hc_head_end(out, body ? body->str : NULL, body ? body->len : 0);
	return out;
}

/* The last step of a call that was forwarded. */
static void gw_end_forward(struct gw_forward *forward, enum st_kind result)
{
	struct gw_call *call = forward->call;

	g_queue_unlink(&call->gateway->forwards, &forward->link);
	call->forward = NULL;
	g_free(forward);
	gw_complete_call(call, at_caller_result(result, call->may_have_run));
}

static bool gw_start_forward(struct gw_forward *forward)
{
	struct gw_call *call = forward->call;
	struct gw_peer *peer = gw_pick_peer(call->gateway);

	if (!peer || forward->tries == GW_MAX_FORWARDS ||
	    forward->lost == GW_MAX_LOST)
		return false;
	forward->tries++;
	forward->unable = false;
	forward->peer = peer;
	tx_unref(call->forwarded_to);
	call->forwarded_to = tx_ref(peer->name);
	gw_log_forward(call, forward->tries);
	if (!hc_start(&peer->pool, &forward->http, gw_format_forward(call))) {
		forward->lost++;
		gw_back_off(peer, GW_PEER_LOST_BACKOFF_US);
		return gw_start_forward(forward);
	}
	peer->in_flight++;
	return true;
}

static void gw_forward_to_next(struct gw_forward *forward)
{
	const struct gw_call *call = forward->call;

	if (gw_caller_left(call))
		gw_end_forward(forward, ST_GONE);
	else if (tm_now_us() + GW_FORWARD_MARGIN_US >= call->deadline_us ||
		 !gw_start_forward(forward))
		gw_end_forward(forward, ST_NO_SERVER);
}

/* Asked again once there is a connection. */
static bool gw_is_wanted(const struct gw_call *call)
{
	return !gw_caller_left(call) && tm_now_us() < call->deadline_us;
}

static bool gw_on_forward_connected(struct hc_request *request)
{
	return gw_is_wanted(((struct gw_forward *)request)->call);
}

static void gw_on_forward_head(struct hc_request *request,
			       const struct hc_head *head)
{
	struct gw_forward *forward = (struct gw_forward *)request;
	struct gw_call *call = forward->call;

	forward->unable = hc_find_header(head, GW_UNABLE) != NULL;
	if (forward->unable)
		return;
	call->answer_status = head->status;
	gw_copy_head(call, head);
}

static void gw_on_forward_body(struct hc_request *request, const char *data,
			       size_t data_bytes)
{
	struct gw_forward *forward = (struct gw_forward *)request;
	struct gw_call *call = forward->call;

	if (!forward->unable && call->req)
		g_string_append_len(call->unsent, data, (gssize)data_bytes);
}

static void gw_on_forward_read(struct hc_request *request)
{
	gw_flush_read(((struct gw_forward *)request)->call, request);
}

static void gw_on_forward_done(struct hc_request *request, enum hc_end end,
			       const char *msg)
{
	struct gw_forward *forward = (struct gw_forward *)request;
	struct gw_call *call = forward->call;

	forward->peer->in_flight--;
	if (end == HC_NOT_SENT && gw_is_wanted(call)) {
		forward->lost++;
		gw_back_off(forward->peer, GW_PEER_LOST_BACKOFF_US);
	} else if (forward->unable) {
		gw_back_off(forward->peer, GW_PEER_UNABLE_BACKOFF_US);
	} else if (end != HC_NOT_SENT) {
		forward->peer->failures = 0;
	}
	if (end == HC_NO_ANSWER)
		call->may_have_run = true;
	if (end == HC_NOT_SENT || forward->unable ||
	    (end == HC_NO_ANSWER && call->idempotent))
		gw_forward_to_next(forward);
	else if (end == HC_COMPLETE)
		gw_end_forward(forward, ST_OK);
	else
		gw_end_forward(forward,
			       end == HC_BROKEN ? ST_BROKEN : ST_UNKNOWN);
}

static const struct hc_handler gw_forward_handler = {
	.may_send = gw_on_forward_connected,
	.head = gw_on_forward_head,
	.body = gw_on_forward_body,
	.read_end = gw_on_forward_read,
	.done = gw_on_forward_done,
};

/* Ends the call while its request to the other host may be in progress. */
static void gw_stop_forward(struct gw_forward *forward, enum st_kind result)
{
	if (forward->http.state >= HC_SENT)
		forward->call->may_have_run = true;
	forward->peer->in_flight--;
	hc_cancel(&forward->http);
	gw_end_forward(forward, result);
}

void gw_expire_forward(struct gw_call *call)
{
	gw_stop_forward(call->forward, call->head_copied ? ST_BROKEN :
				       call->forward->http.state >= HC_SENT ?
							   ST_DEADLINE_UNKNOWN :
							   ST_DEADLINE_NOT_RUN);
}

static void gw_on_forward_deadline(void *ctx)
{
	gw_expire_forward(ctx);
}

void gw_leave_forward(struct gw_call *call)
{
	if (call->idempotent || call->forward->http.state < HC_SENT)
		gw_stop_forward(call->forward, ST_GONE);
}

bool gw_forward_call(struct gw_call *call)
{
	struct gw_gateway *gateway = call->gateway;
	struct gw_forward *forward;

	if (call->from_host || call->claim || gw_caller_left(call) ||
	    tm_now_us() + GW_FORWARD_MARGIN_US >= call->deadline_us)
		return false;
	forward = g_new0(struct gw_forward, 1);
	forward->call = call;
	forward->http.handler = &gw_forward_handler;
	forward->http.head_method = call->head_method;
	forward->http.max_read_bytes = gw_buffer_bytes(gateway);
	forward->http.max_idle_us =
		call->idempotent ? 0 : GW_NON_IDEMPOTENT_IDLE_US;
	if (!gw_start_forward(forward)) {
		g_free(forward);
		return false;
	}
	ct_add(CT_FORWARDED, 1);
	call->forward = forward;
	forward->link.data = forward;
	g_queue_push_tail_link(&gateway->forwards, &forward->link);
	call->timer.fire = gw_on_forward_deadline;
	tm_subscribe(gateway->timers, &call->timer, call->deadline_us);
	return true;
}

struct hc_request *gw_forward_request(struct gw_call *call)
{
	return call->forward ? &call->forward->http : NULL;
}

bool gw_forward_refused(struct gw_call *call, enum st_kind result)
{
	bool no_way = result == ST_QUEUE_FULL || result == ST_NO_SERVER ||
		      result == ST_CONNECT ||
		      (result == ST_DEADLINE_NOT_RUN && call->forward_refused);

	return no_way && !call->may_have_run &&
	       gw_reaches_badly(call->gateway) && gw_forward_call(call);
}

void gw_forward_waiting_calls(struct gw_gateway *gateway)
{
	GList *calls = g_hash_table_get_values(gateway->calls);

	for (GList *l = calls; l; l = l->next) {
		struct gw_call *call = l->data;
		const struct gw_attempt *last =
			call->attempt_count ?
				&call->attempts[call->attempt_count - 1] :
				NULL;

		if (call->may_have_run || (last && !last->end_us))
			continue;
		call->forward_refused = true;
		gw_expire_call(call);
	}
	g_list_free(calls);
}

void gw_check_forward_callers(struct gw_gateway *gateway)
{
	GList *next;

	for (GList *l = gateway->forwards.head; l; l = next) {
		struct gw_forward *forward = l->data;

		next = l->next;
		if (gw_caller_left(forward->call))
			gw_post_gone(forward->call);
	}
}

void gw_end_forwards(struct gw_gateway *gateway)
{
	struct gw_forward *forward;

	while ((forward = g_queue_peek_head(&gateway->forwards)))
		gw_expire_forward(forward->call);
}

void gw_close_peers(struct gw_gateway *gateway)
{
	for (guint i = 0; i < gateway->peers->len; i++) {
		struct gw_peer *peer = g_ptr_array_index(gateway->peers, i);

		hc_pool_close(&peer->pool, NULL, NULL);
	}
}

/* Calls of other hosts */

bool gw_is_forwarded(h2o_req_t *req)
{
	return hd_header(req, GW_FROM_HOST).base != NULL;
}

static uint64_t gw_header_number(h2o_req_t *req, const char *name)
{
	h2o_iovec_t header = hd_header(req, name);
	size_t value =
		header.base ? h2o_strtosize(header.base, header.len) : SIZE_MAX;

	return value == SIZE_MAX ? 0 : MIN(value, UINT32_MAX);
}

void gw_read_forwarded(struct gw_call *call, uint32_t max_attempts)
{
	uint64_t attempts = gw_header_number(call->req, GW_ATTEMPTS);
	uint64_t waited_ms = gw_header_number(call->req, GW_WAITED);

	call->waited_us = waited_ms * GW_US_PER_MS;
	if (max_attempts)
		call->max_attempts =
			(uint32_t)(max_attempts -
				   MIN(attempts, max_attempts - 1));
}

void gw_add_unable(h2o_req_t *req)
{
	hd_add_header(req, GW_UNABLE, "1", 1);
}

/* Whether REQ was routed by a later document. Earlier builds do not say. */
static bool gw_is_outdated(const struct gw_gateway *gateway, h2o_req_t *req)
{
	h2o_iovec_t header = hd_header(req, GW_REVISION);
	struct doc_revision revision = { 0 };
	char *text = g_strndup(header.base, header.len);
	char *end;

	if (header.base) {
		revision.era = g_ascii_strtoull(text, &end, 10);
		if (*end == '.')
			revision.version = g_ascii_strtoull(end + 1, NULL, 10);
	}
	g_free(text);
	return doc_is_earlier(&gateway->document->revision, &revision);
}

static void gw_refuse_forwarded(struct gw_gateway *gateway, h2o_req_t *req)
{
	gw_add_unable(req);
	gw_refuse_request(gateway, req,
			  gateway->stopping ? ST_STOPPING :
			  gateway->document ? ST_NO_SERVER :
					      ST_NOT_READY,
			  "this host cannot run calls of others");
}

static void gw_take_forwarded(struct gw_gateway *gateway, h2o_req_t *req,
			      uint64_t arrived_us)
{
	if (gateway->stopping || !gateway->document || gw_is_cut_off(gateway)) {
		gw_refuse_forwarded(gateway, req);
		return;
	}
	ct_add(CT_FROM_HOSTS, 1);
	gw_handle_call(gateway, req, true, arrived_us);
}

/* Calls that wait for a later document */

static struct gw_early_call *gw_first_early(const struct gw_gateway *gateway)
{
	const GList *first = gateway->early_calls.head;

	return first ? first->data : NULL;
}

static void gw_schedule_early(struct gw_gateway *gateway)
{
	const struct gw_early_call *first = gw_first_early(gateway);

	tm_cancel(gateway->timers, &gateway->early_timer);
	if (first)
		tm_subscribe(gateway->timers, &gateway->early_timer,
			     first->arrived_us + GW_OUTDATED_WAIT_US);
}

/* Frees the call; returns its request, or NULL if the other host has left. */
static h2o_req_t *gw_end_early(struct gw_gateway *gateway,
			       struct gw_early_call *call)
{
	h2o_req_t *req = call->ref->req;

	g_queue_unlink(&gateway->early_calls, &call->link);
	hd_request_ref_release(call->ref);
	g_free(call);
	return req;
}

static void gw_on_early_timer(void *ctx)
{
	struct gw_gateway *gateway = ctx;
	uint64_t now_us = tm_now_us();
	struct gw_early_call *first;

	while ((first = gw_first_early(gateway)) &&
	       now_us >= first->arrived_us + GW_OUTDATED_WAIT_US) {
		h2o_req_t *req = gw_end_early(gateway, first);

		if (req)
			gw_refuse_forwarded(gateway, req);
	}
	gw_schedule_early(gateway);
}

void gw_take_early_calls(struct gw_gateway *gateway)
{
	GList *next;

	for (GList *l = gateway->early_calls.head; l; l = next) {
		struct gw_early_call *call = l->data;
		uint64_t arrived_us = call->arrived_us;
		h2o_req_t *req = call->ref->req;

		next = l->next;
		if (req && gw_is_outdated(gateway, req))
			continue;
		gw_end_early(gateway, call);
		if (req)
			gw_take_forwarded(gateway, req, arrived_us);
	}
	gw_schedule_early(gateway);
}

void gw_close_early_calls(struct gw_gateway *gateway)
{
	tm_cancel(gateway->timers, &gateway->early_timer);
	while (gw_first_early(gateway))
		gw_end_early(gateway, gw_first_early(gateway));
}

static void gw_add_early(struct gw_gateway *gateway, h2o_req_t *req)
{
	struct gw_early_call *call = g_new0(struct gw_early_call, 1);

	call->ref = hd_request_ref_new(req);
	call->arrived_us = tm_now_us();
	call->link.data = call;
	g_queue_push_tail_link(&gateway->early_calls, &call->link);
	gateway->early_timer.fire = gw_on_early_timer;
	gateway->early_timer.ctx = gateway;
	gw_schedule_early(gateway);
}

void gw_on_forwarded(void *ctx, h2o_req_t *req)
{
	struct gw_gateway *gateway = ctx;

	if (!gateway->stopping && gateway->document &&
	    gw_is_outdated(gateway, req))
		gw_add_early(gateway, req);
	else
		gw_take_forwarded(gateway, req, tm_now_us());
}
