#include "core_state.h"

#include "mechanism.h"

/*
 * Admission and queue.
 *
 * Calls wait at the host, not at the servers, so that the choice of server is
 * made when a slot is free and a call that is too late can still be refused as
 * not run. Between callers, the one with the fewest attempts in flight for its
 * weight goes first, which gives each its share of the slots, however long its
 * calls are. Within a caller the earliest deadline goes first: it meets every
 * deadline that any order can meet, and calls that would miss theirs leave the
 * queue before they take a slot.
 */
enum { CORE_GAP_SAMPLES = 16 };

void core_lane_unref(struct core_lane *lane)
{
	if (!--lane->refs)
		g_free(lane);
}

struct core_lane *core_lane_get(struct core *core, struct core_service *service,
				uint32_t caller)
{
	bool named = caller < core->weights->len;
	guint at = named ? caller + 1 : 0;
	struct core_lane *lane;

	if (at >= service->lanes->len)
		g_ptr_array_set_size(service->lanes, (gint)at + 1);
	lane = g_ptr_array_index(service->lanes, at);
	if (!lane) {
		lane = g_new0(struct core_lane, 1);
		lane->refs = 1;
		lane->weight = 1;
		if (named)
			lane->weight = MAX(
				g_array_index(core->weights, uint32_t, caller),
				1);
		g_queue_init(&lane->queue);
		lane->active.data = lane;
		g_ptr_array_index(service->lanes, at) = lane;
	}
	lane->refs++;
	return lane;
}

/* Whether A holds less than B for its weight, EXTRA more calls included. */
static bool core_holds_less(uint64_t a_held, uint32_t a_weight, uint64_t b_held,
			    uint32_t b_weight)
{
	return a_held * b_weight < b_held * a_weight;
}

static void core_enqueue(struct core *core, struct core_service *service,
			 struct core_call *call)
{
	struct core_lane *lane = call->lane;
	GList *at = lane->queue.tail;

	while (at &&
	       ((struct core_call *)at->data)->deadline_us > call->deadline_us)
		at = at->prev;
	if (at)
		g_queue_insert_after(&lane->queue, at, call);
	else
		g_queue_push_head(&lane->queue, call);
	call->queued = at ? at->next : lane->queue.head;
	if (!lane->is_active)
		g_queue_push_tail_link(&service->active, &lane->active);
	lane->is_active = true;
	service->queued++;
	core->waiting++;
}

void core_unqueue(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	struct core_lane *lane = call->lane;

	if (!call->queued)
		return;
	g_queue_delete_link(&lane->queue, call->queued);
	call->queued = NULL;
	service->queued--;
	core->waiting--;
	if (!service->queued)
		service->last_end_us = 0;
	if (!g_queue_is_empty(&lane->queue))
		return;
	g_queue_unlink(&service->active, &lane->active);
	lane->is_active = false;
}

struct core_call *core_next_queued(struct core *core,
				   struct core_service *service)
{
	struct core_lane *best = NULL;

	for (GList *l = service->active.head; l; l = l->next) {
		struct core_lane *lane = l->data;
		const struct core_call *head = g_queue_peek_head(&lane->queue);
		const struct core_call *best_head =
			best ? g_queue_peek_head(&best->queue) : NULL;
		bool first;

		if (me_on(ME_CALLER_SHARES))
			first = best && core_holds_less(lane->in_flight + 1,
							lane->weight,
							best->in_flight + 1,
							best->weight);
		else
			first = best &&
				head->deadline_us < best_head->deadline_us;
		if (!best || first)
			best = lane;
	}
	if (!best)
		return NULL;
	/* Equal callers take turns. */
	g_queue_unlink(&service->active, &best->active);
	g_queue_push_tail_link(&service->active, &best->active);
	return g_queue_peek_head(&best->queue);
}

void core_count_end(struct core *core, struct core_service *service)
{
	uint64_t gap_us = core->now_us - service->last_end_us;

	if (!service->queued)
		return;
	if (service->last_end_us)
		service->end_gap_us =
			(uint32_t)((service->end_gap_us *
					    (uint64_t)(CORE_GAP_SAMPLES - 1) +
				    MIN(gap_us, CORE_US_PER_S)) /
				   CORE_GAP_SAMPLES);
	service->last_end_us = core->now_us;
}

/* Not even a quick answer would arrive in time. */
bool core_too_late(const struct core *core, const struct core_service *service,
		   const struct core_call *call, uint32_t ahead)
{
	uint64_t wait_us = (uint64_t)ahead * service->end_gap_us;
	uint64_t need_us = MAX(wait_us + service->quick_us, 1);

	if (!me_on(ME_EARLY_REFUSAL))
		return false;
	return core->now_us + need_us > call->deadline_us;
}

static uint32_t core_ahead(const struct core_service *service,
			   const struct core_lane *lane)
{
	uint32_t lanes = service->active.length + !lane->is_active;

	return MIN(service->queued, lanes * lane->queue.length);
}

/* The caller that holds most of the queue for its weight. */
static struct core_lane *core_fullest(struct core_service *service)
{
	struct core_lane *fullest = NULL;

	for (GList *l = service->active.head; l; l = l->next) {
		struct core_lane *lane = l->data;

		if (!fullest ||
		    core_holds_less(fullest->queue.length, fullest->weight,
				    lane->queue.length, lane->weight))
			fullest = lane;
	}
	return fullest;
}

/* A full queue makes room at the expense of callers above their share. */
static bool core_make_room(struct core *core, struct core_service *service,
			   const struct core_lane *lane)
{
	struct core_lane *fullest = core_fullest(service);

	if (service->queued < service->queue_limit || !me_on(ME_QUEUE_BOUND))
		return true;
	if (!fullest || !me_on(ME_CALLER_SHARES) ||
	    !core_holds_less(lane->queue.length + 1, lane->weight,
			     fullest->queue.length, fullest->weight))
		return false;
	core_finish(core, g_queue_peek_tail(&fullest->queue), ST_CALLER_LIMIT);
	return true;
}

void core_admit(struct core *core, struct core_call *call)
{
	struct core_service *service = core_service(core, call->service);
	uint32_t ahead = core_ahead(service, call->lane);
	uint32_t server;

	if (core_too_late(core, service, call, 0)) {
		core_finish(core, call, ST_DEADLINE_NOT_RUN);
		return;
	}
	if (!service->queued &&
	    core_pick(core, service, call, false, &server)) {
		core_send(core, call, server, false);
		return;
	}
	if (core_too_late(core, service, call, ahead))
		core_finish(core, call, ST_DEADLINE_NOT_RUN);
	else if (core_make_room(core, service, call->lane))
		core_enqueue(core, service, call);
	else
		core_finish(core, call, ST_QUEUE_FULL);
}
