#include "core/state.h"

#include "base/mechanism.h"

/*
 * Admission and queue.
 *
 * Calls are queued at the host, not at the servers. The server is chosen when a
 * slot is free, and a call that would miss its deadline can still be refused as
 * not run.
 *
 * Weighted fair queueing serves the caller with the fewest attempts in flight
 * relative to its weight. Each caller gets its share of the slots, however long
 * its calls are.
 *
 * Calls of one caller are sent by earliest deadline first. This order meets all
 * deadlines if any order does, and calls that would miss theirs leave the queue
 * before they take a slot.
 */
enum { CORE_END_GAP_SAMPLES = 16 };

void core_flow_unref(struct core_flow *flow)
{
	if (!--flow->refs)
		g_free(flow);
}

static struct core_flow *core_flow_new(uint32_t weight)
{
	struct core_flow *flow = g_new0(struct core_flow, 1);

	flow->refs = 1;
	flow->weight = MAX(weight, 1);
	g_queue_init(&flow->queue);
	flow->active_link.data = flow;
	return flow;
}

struct core_flow *core_flow_ref(struct core *core, struct core_service *service,
				uint32_t caller)
{
	bool named = caller < core->weights->len;
	guint at = named ? caller + 1 : 0;
	struct core_flow *flow;

	if (at >= service->flows->len)
		g_ptr_array_set_size(service->flows, (gint)at + 1);
	flow = g_ptr_array_index(service->flows, at);
	if (!flow) {
		flow = core_flow_new(
			named ? g_array_index(core->weights, uint32_t, caller) :
				1);
		g_ptr_array_index(service->flows, at) = flow;
	}
	flow->refs++;
	return flow;
}

static void core_flow_destroy(void *ptr)
{
	core_flow_unref(ptr);
}

struct core_flow *core_customer_flow_ref(struct core *core,
					 struct core_service *service,
					 uint32_t customer)
{
	void *key = GUINT_TO_POINTER(customer);
	struct core_flow *flow;

	if (!customer || customer > core->customer_weights->len)
		return NULL;
	if (!service->customer_flows)
		service->customer_flows = g_hash_table_new_full(
			NULL, NULL, NULL, core_flow_destroy);
	flow = g_hash_table_lookup(service->customer_flows, key);
	if (!flow) {
		flow = core_flow_new(g_array_index(core->customer_weights,
						   uint32_t, customer - 1));
		g_hash_table_insert(service->customer_flows, key, flow);
	}
	flow->refs++;
	return flow;
}

/* Whether A holds less than B, each relative to its weight. */
static bool core_has_smaller_share(uint64_t a_held, uint32_t a_weight,
				   uint64_t b_held, uint32_t b_weight)
{
	return a_held * b_weight < b_held * a_weight;
}

static void core_enqueue_call(struct core *core, struct core_service *service,
			      struct core_call *call)
{
	struct core_flow *flow = call->flow;
	GList *at = flow->queue.tail;

	while (at &&
	       ((struct core_call *)at->data)->deadline_us > call->deadline_us)
		at = at->prev;
	if (at)
		g_queue_insert_after(&flow->queue, at, call);
	else
		g_queue_push_head(&flow->queue, call);
	call->queue_link = at ? at->next : flow->queue.head;
	if (!flow->is_active)
		g_queue_push_tail_link(&service->active_flows,
				       &flow->active_link);
	flow->is_active = true;
	service->queued++;
	core->queued++;
}

void core_unqueue_call(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	struct core_flow *flow = call->flow;

	if (!call->queue_link)
		return;
	g_queue_delete_link(&flow->queue, call->queue_link);
	call->queue_link = NULL;
	service->queued--;
	core->queued--;
	if (!service->queued)
		service->last_end_us = 0;
	if (!g_queue_is_empty(&flow->queue))
		return;
	g_queue_unlink(&service->active_flows, &flow->active_link);
	flow->is_active = false;
}

/*
 * Of the calls of FLOW, the first one of the customer that holds least of the
 * service; without customers, the first one.
 */
static struct core_call *core_next_of_flow(const struct core *core,
					   struct core_flow *flow)
{
	struct core_call *first = g_queue_peek_head(&flow->queue);

	if (!core->customer_weights->len)
		return first;
	for (GList *l = flow->queue.head; l; l = l->next)
		if (core_share_compare_customers(core, l->data, first) < 0)
			first = l->data;
	return first;
}

struct core_call *core_next_queued(struct core *core,
				   struct core_service *service)
{
	struct core_flow *best = NULL;

	for (GList *l = service->active_flows.head; l; l = l->next) {
		struct core_flow *flow = l->data;
		const struct core_call *head = g_queue_peek_head(&flow->queue);
		const struct core_call *best_head =
			best ? g_queue_peek_head(&best->queue) : NULL;
		bool first;

		if (me_on(ME_CALLER_SHARES))
			first = best &&
				core_has_smaller_share(
					flow->in_flight + 1, flow->weight,
					best->in_flight + 1, best->weight);
		else
			first = best &&
				head->deadline_us < best_head->deadline_us;
		if (!best || first)
			best = flow;
	}
	if (!best)
		return NULL;
	/* Callers with equal shares take turns. */
	g_queue_unlink(&service->active_flows, &best->active_link);
	g_queue_push_tail_link(&service->active_flows, &best->active_link);
	return core_next_of_flow(core, best);
}

void core_update_end_gap(struct core *core, struct core_service *service)
{
	uint64_t gap_us = core->now_us - service->last_end_us;

	if (!service->queued)
		return;
	if (service->last_end_us)
		service->mean_end_gap_us =
			(uint32_t)((service->mean_end_gap_us *
					    (uint64_t)(CORE_END_GAP_SAMPLES -
						       1) +
				    MIN(gap_us, CORE_US_PER_S)) /
				   CORE_END_GAP_SAMPLES);
	service->last_end_us = core->now_us;
}

/* True if even an answer of low latency would arrive after the deadline. */
bool core_is_too_late(const struct core *core,
		      const struct core_service *service,
		      const struct core_call *call, uint32_t ahead)
{
	uint64_t wait_us = (uint64_t)ahead * service->mean_end_gap_us;
	uint64_t need_us = MAX(wait_us + service->low_latency_us, 1);

	if (!me_on(ME_EARLY_REFUSAL))
		return false;
	return core->now_us + need_us > call->deadline_us;
}

/* Estimated number of queued calls that are sent before a new one of FLOW. */
static uint32_t core_calls_ahead(const struct core_service *service,
				 const struct core_flow *flow)
{
	uint32_t flow_count = service->active_flows.length + !flow->is_active;

	return MIN(service->queued, flow_count * flow->queue.length);
}

/* The flow that holds most of the queue relative to its weight. */
static struct core_flow *core_fullest_flow(struct core_service *service)
{
	struct core_flow *fullest = NULL;

	for (GList *l = service->active_flows.head; l; l = l->next) {
		struct core_flow *flow = l->data;

		if (!fullest || core_has_smaller_share(
					fullest->queue.length, fullest->weight,
					flow->queue.length, flow->weight))
			fullest = flow;
	}
	return fullest;
}

/*
 * Makes room in a full queue by refusing the last call of the fullest flow.
 * Returns false if FLOW, with the new call, would hold no less of the queue
 * relative to its weight.
 */
static bool core_make_queue_room(struct core *core,
				 struct core_service *service,
				 const struct core_flow *flow)
{
	struct core_flow *fullest = core_fullest_flow(service);

	if (service->queued < service->queue_limit || !me_on(ME_QUEUE_BOUND))
		return true;
	if (!fullest || !me_on(ME_CALLER_SHARES) ||
	    !core_has_smaller_share(flow->queue.length + 1, flow->weight,
				    fullest->queue.length, fullest->weight))
		return false;
	core_finish_call(core, g_queue_peek_tail(&fullest->queue),
			 ST_CALLER_LIMIT);
	return true;
}

void core_admit_call(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	uint32_t ahead = core_calls_ahead(service, call->flow);
	uint32_t server;

	if (core_is_too_late(core, service, call, 0)) {
		core_finish_call(core, call, ST_DEADLINE_NOT_RUN);
		return;
	}
	if (core_opens_us(core, service) >= call->deadline_us) {
		core_finish_call(core, call, core_closed_kind(core, service));
		return;
	}
	if (!service->queued &&
	    core_pick_server(core, service, call, false, &server)) {
		core_send_attempt(core, call, server, false);
		return;
	}
	if (core_is_too_late(core, service, call, ahead))
		core_finish_call(core, call, ST_DEADLINE_NOT_RUN);
	else if (core_make_queue_room(core, service, call->flow))
		core_enqueue_call(core, service, call);
	else
		core_finish_call(core, call, ST_QUEUE_FULL);
}
