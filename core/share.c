#include "core/state.h"

/*
 * Overload of a service: who gets the slots when there are not enough.
 *
 * Hosts exchange nothing for this. Each one sees the same servers, whose reports
 * include the calls of all hosts, so their decisions add up: calls of lower classes
 * leave contended slots to the highest class with a probability equal to the
 * shortage of that class, whichever host its calls come from.
 *
 * Nothing of this applies without pressure, or as long as a service gets the
 * calls of one class and of one customer.
 */
enum {
	CORE_PRESSURE_HALF_US = 500 * CORE_US_PER_MS,
	CORE_SERVED_HALF_US = 8 * CORE_US_PER_S,
	CORE_USE_HALF_US = 2 * CORE_US_PER_S,
	CORE_USUAL_HALF_US = 30 * CORE_US_PER_S,
	/* Time that CORE_USE_HALF_US stands for: that by ln 2. */
	CORE_USE_SPAN_US = 2885 * CORE_US_PER_MS,
	CORE_CLASS_PRESENT_US = 10 * CORE_US_PER_S,
	CORE_SHARE_UPDATE_US = 10 * CORE_US_PER_MS,
	CORE_CUSTOMERS_UPDATE_US = 200 * CORE_US_PER_MS,
	/*
	 * Up to this share of full servers, a call that asks nine of them finds an
	 * uncontended slot more than nine times out of ten.
	 */
	CORE_FULL_MIN_Q8 = CORE_Q8 * 3 / 4,
	CORE_SHORT_MIN_Q8 = CORE_Q8 / 8,
	CORE_MIN_REPORTS = 4,
	CORE_MIN_CALLS = 2,
	CORE_MIN_SERVED_CALLS = 1,
	CORE_WAITED_Q8 = CORE_Q8 / 2, /* 0: sent at once, CORE_Q8: refused */
	/* A class is protected below this share of the mean; callers need 1/4. */
	CORE_STARVED_DIVISOR = 3,
	/* Of its usual use and of the mean use; see core_share_is_over. */
	CORE_OVER_SHARE_FACTOR = 2,
	/* A customer beyond its share yields before lower classes of others do. */
	CORE_OVER_STRICTNESS = 4,
	CORE_ROOM_PERCENT = 80, /* of the slots, up to the knee */
	CORE_MAX_USE_US = 1 << 30,
	CORE_RETRY_MIN_US = 20 * CORE_US_PER_MS,
	CORE_RETRY_SPREAD_US = 40 * CORE_US_PER_MS,
	CORE_CONTENDED_FRESH_US = 500 * CORE_US_PER_MS
};

/* VALUE after AGE_US, if it halves in each HALF_US. */
static uint64_t core_decayed(uint64_t value, uint64_t age_us, uint64_t half_us)
{
	if (age_us / half_us >= 32)
		return 0;
	value >>= age_us / half_us;
	return value - value * (age_us % half_us) / (2 * half_us);
}

static void core_ratio_decay(struct core_ratio *ratio, uint64_t now_us,
			     uint64_t half_us)
{
	uint64_t age_us = now_us - ratio->at_us;

	ratio->hits = (uint32_t)core_decayed(ratio->hits, age_us, half_us);
	ratio->total = (uint32_t)core_decayed(ratio->total, age_us, half_us);
	ratio->at_us = now_us;
}

/* One event of which HIT_Q8 counts. Sums are kept in 1/CORE_Q8 of an event. */
static void core_ratio_add(struct core_ratio *ratio, uint64_t now_us,
			   uint64_t half_us, uint32_t hit_q8)
{
	core_ratio_decay(ratio, now_us, half_us);
	if (ratio->total >= UINT32_MAX - CORE_Q8)
		return;
	ratio->hits += hit_q8;
	ratio->total += CORE_Q8;
}

/* Missing events up to MIN_EVENTS count as no hits. */
static uint32_t core_ratio_q8(struct core_ratio *ratio, uint64_t now_us,
			      uint64_t half_us, uint32_t min_events)
{
	core_ratio_decay(ratio, now_us, half_us);
	return (uint32_t)((uint64_t)ratio->hits * CORE_Q8 /
			  MAX(ratio->total, min_events * CORE_Q8));
}

/* Scales what of VALUE_Q8 exceeds MIN_Q8 to 0 up to CORE_Q8. */
static uint32_t core_excess_q8(uint32_t value_q8, uint32_t min_q8)
{
	if (value_q8 <= min_q8)
		return 0;
	return (value_q8 - min_q8) * CORE_Q8 / (CORE_Q8 - min_q8);
}

static uint64_t core_flow_use_us(const struct core *core,
				 const struct core_flow *flow)
{
	return core_decayed(flow->use_us, core->now_us - flow->use_at_us,
			    CORE_USE_HALF_US);
}

/* Work that the service can have within CORE_USE_SPAN_US, without contention. */
static uint64_t core_share_room_us(const struct core *core,
				   const struct core_service *service)
{
	uint64_t slots = 0;

	for (uint32_t i = 0; i < service->server_count; i++)
		slots += core_server(core, service->servers[i])->slots;
	return slots * CORE_USE_SPAN_US / 100 * CORE_ROOM_PERCENT;
}

/* Sums up the customers of the service, and drops those without recent use. */
static void core_share_update_customers(const struct core *core,
					struct core_service *service)
{
	struct core_share *share = &service->share;
	GHashTableIter iter;
	void *value;

	if (!service->customer_flows ||
	    core->now_us < share->customers_us + CORE_CUSTOMERS_UPDATE_US)
		return;
	share->customers_us = core->now_us;
	share->customers = 0;
	share->customer_weights = 0;
	share->customer_use_us = 0;
	share->room_us = core_share_room_us(core, service);
	g_hash_table_iter_init(&iter, service->customer_flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct core_flow *flow = value;
		uint64_t use_us = core_flow_use_us(core, flow);

		if (!use_us && flow->refs == 1) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		share->customers++;
		share->customer_weights += flow->weight;
		share->customer_use_us += use_us;
	}
}

static struct core_class *core_class_at(const struct core_service *service,
					guint index)
{
	return &g_array_index(service->classes, struct core_class, index);
}

/* Adds a class to the sums; its calls are counted in SERVED and OFFERED. */
static void core_share_add_class(const struct core *core,
				 struct core_share *share,
				 struct core_class *class, uint64_t *served,
				 uint64_t *offered)
{
	uint32_t ratio_q8 =
		core_ratio_q8(&class->shortage, core->now_us,
			      CORE_PRESSURE_HALF_US, CORE_MIN_CALLS);
	uint32_t short_q8 = core_excess_q8(ratio_q8, CORE_SHORT_MIN_Q8);

	core_ratio_decay(&class->served, core->now_us, CORE_SERVED_HALF_US);
	*served += class->served.hits;
	*offered += class->served.total;
	if (class->weight > share->top_weight)
		share->top_short_q8 = 0;
	share->top_weight = MAX(share->top_weight, class->weight);
	share->low_weight = MIN(share->low_weight, class->weight);
	share->short_q8 = MAX(share->short_q8, short_q8);
	if (class->weight == share->top_weight)
		share->top_short_q8 = MAX(share->top_short_q8, short_q8);
}

/* Sums up the classes whose calls came lately. */
static void core_share_update_classes(const struct core *core,
				      struct core_service *service)
{
	struct core_share *share = &service->share;
	uint64_t served = 0;
	uint64_t offered = 0;

	share->top_weight = 0;
	share->low_weight = UINT32_MAX;
	share->top_short_q8 = 0;
	share->short_q8 = 0;
	for (guint i = 0; i < service->classes->len; i++) {
		struct core_class *class = core_class_at(service, i);

		if (class->seen_us &&
		    core->now_us <= class->seen_us + CORE_CLASS_PRESENT_US)
			core_share_add_class(core, share, class, &served,
					     &offered);
	}
	share->served_q8 =
		offered ? (uint32_t)(served * CORE_Q8 / offered) : CORE_Q8;
}

void core_share_update(const struct core *core, struct core_service *service)
{
	struct core_share *share = &service->share;

	if (share->updated_us &&
	    core->now_us < share->updated_us + CORE_SHARE_UPDATE_US)
		return;
	share->updated_us = core->now_us;
	core_share_update_customers(core, service);
	core_share_update_classes(core, service);
	share->full_q8 = core_excess_q8(
		core_ratio_q8(&share->reports, core->now_us,
			      CORE_PRESSURE_HALF_US, CORE_MIN_REPORTS),
		CORE_FULL_MIN_Q8);
}

/* Lack of room lately; 0 in calm, at most CORE_Q8. */
static uint32_t core_share_pressure_q8(const struct core_service *service)
{
	return MAX(service->share.full_q8, service->share.short_q8);
}

static bool core_share_is_active(const struct core_service *service)
{
	const struct core_share *share = &service->share;

	return core_share_pressure_q8(service) &&
	       (share->low_weight < share->top_weight || share->customers);
}

uint32_t core_share_active_percent(const struct core_service *service)
{
	if (!core_share_is_active(service))
		return 0;
	return MAX(core_share_pressure_q8(service) * 100 / CORE_Q8, 1);
}

void core_share_on_call(struct core *core, struct core_service *service,
			struct core_call *call, uint32_t caller)
{
	struct core_class *class;

	core_share_update(core, service);
	if (service->policy != CORE_POLICY_ASK)
		return;
	call->class_index = caller < core->weights->len ? caller + 1 : 0;
	if (call->class_index >= service->classes->len)
		g_array_set_size(service->classes, call->class_index + 1);
	class = core_class_at(service, call->class_index);
	class->weight = call->flow->weight;
	class->seen_us = core->now_us;
}

void core_share_on_asked(const struct core *core, struct core_service *service,
			 const struct core_server *server)
{
	if (service->policy != CORE_POLICY_ASK)
		return;
	core_ratio_add(
		&service->share.reports, core->now_us, CORE_PRESSURE_HALF_US,
		core_has_uncontended_slot(service, server) ? 0 : CORE_Q8);
	core_share_update(core, service);
}

static void core_share_count(const struct core *core,
			     const struct core_service *service,
			     const struct core_call *call, bool served,
			     uint32_t short_q8)
{
	struct core_class *class = core_class_at(service, call->class_index);

	core_ratio_add(&class->served, core->now_us, CORE_SERVED_HALF_US,
		       served ? CORE_Q8 : 0);
	core_ratio_add(&class->shortage, core->now_us, CORE_PRESSURE_HALF_US,
		       short_q8);
}

static void core_share_add_use(const struct core *core, struct core_flow *flow,
			       uint64_t work_us)
{
	uint64_t usual_us =
		core_decayed(flow->usual_us, core->now_us - flow->use_at_us,
			     CORE_USUAL_HALF_US);

	flow->use_us = MIN(core_flow_use_us(core, flow) + work_us,
			   (uint64_t)CORE_MAX_USE_US);
	flow->usual_us = MIN(usual_us + work_us,
			     (uint64_t)CORE_MAX_USE_US *
				     (CORE_USUAL_HALF_US / CORE_USE_HALF_US));
	flow->use_at_us = core->now_us;
}

void core_share_on_sent(const struct core *core,
			const struct core_service *service,
			struct core_call *call)
{
	struct core_flow *customer = call->customer_flow;

	if (service->policy == CORE_POLICY_ASK && call->attempt_count == 1)
		core_share_count(core, service, call, true,
				 call->share_waited ? CORE_WAITED_Q8 : 0);
	if (!customer)
		return;
	core_share_add_use(core, customer, core_work_us(core, service, call));
}

void core_share_on_refused(const struct core *core, struct core_call *call)
{
	if (!call->attempt_count)
		core_share_count(core, core_service(core, call->service), call,
				 false, CORE_Q8);
}

void core_share_draw(struct core *core, const struct core_service *service,
		     struct core_call *call)
{
	if (!call->share_draw && core_share_is_active(service))
		call->share_draw = 1 + core_random(core, CORE_Q8);
}

/* Whether the class gets far less of what it asks for than the others do. */
static bool core_share_is_starved(const struct core_service *service,
				  const struct core_call *call)
{
	const struct core_class *class =
		core_class_at(service, call->class_index);

	if (class->served.total < CORE_MIN_SERVED_CALLS * CORE_Q8)
		return false;
	return (uint64_t) class->served.hits * CORE_Q8 * CORE_STARVED_DIVISOR <
	       (uint64_t) class->served.total * service->share.served_q8;
}

static bool core_share_is_lower(const struct core_service *service,
				const struct core_call *call)
{
	return call->flow->weight < service->share.top_weight &&
	       !core_share_is_starved(service, call);
}

/*
 * Whether the customer holds more of the service than its weight stands for. At
 * one host alone that is sure if it exceeds its share of all servers. Below that,
 * callers are spread over the hosts unevenly, so it must exceed both what others
 * hold here and what it usually has here.
 */
static bool core_share_is_over(const struct core *core,
			       const struct core_service *service,
			       const struct core_call *call)
{
	const struct core_share *share = &service->share;
	const struct core_flow *flow = call->customer_flow;
	/* In ms, as products of times and weights may exceed 64 bits in us. */
	uint64_t usual_ms;
	uint64_t use_ms;

	/* A customer that is alone takes nothing from others. */
	if (!flow || share->customers < 2)
		return false;
	use_ms = core_flow_use_us(core, flow) / CORE_US_PER_MS;
	if (use_ms * core->customer_weight_sum >
	    share->room_us / CORE_US_PER_MS * flow->weight)
		return true;
	usual_ms = core_decayed(flow->usual_us, core->now_us - flow->use_at_us,
				CORE_USUAL_HALF_US) /
		   (CORE_USUAL_HALF_US / CORE_USE_HALF_US) / CORE_US_PER_MS;
	return use_ms > CORE_OVER_SHARE_FACTOR * usual_ms &&
	       use_ms * share->customer_weights >
		       share->customer_use_us / CORE_US_PER_MS * flow->weight *
			       CORE_OVER_SHARE_FACTOR;
}

bool core_share_leaves_room(const struct core *core,
			    const struct core_service *service,
			    const struct core_server *server,
			    const struct core_call *call)
{
	uint32_t strict_q8 = 0;

	if (!core_share_is_active(service) ||
	    core_has_uncontended_slot(service, server))
		return true;
	if (call->ask_hedge)
		return false;
	if (core_share_is_over(core, service, call))
		strict_q8 =
			CORE_OVER_STRICTNESS * core_share_pressure_q8(service);
	else if (core_share_is_lower(service, call))
		strict_q8 = service->share.top_short_q8;
	return !call->share_draw || call->share_draw > strict_q8;
}

bool core_share_is_hopeless(const struct core *core,
			    const struct core_service *service,
			    const struct core_call *call)
{
	return core_share_is_active(service) &&
	       core->now_us + core_work_us(core, service, call) >
		       call->deadline_us;
}

static uint32_t core_share_rank(const struct core_service *service,
				const struct core_call *call)
{
	if (core_share_is_active(service) &&
	    core_share_is_starved(service, call))
		return MAX(service->share.top_weight, call->flow->weight);
	return call->flow->weight;
}

int core_share_compare_customers(const struct core *core,
				 const struct core_call *a,
				 const struct core_call *b)
{
	const struct core_flow *x = a->customer_flow;
	const struct core_flow *y = b->customer_flow;
	uint64_t x_use;
	uint64_t y_use;

	if (!x || !y || x == y)
		return 0;
	x_use = core_flow_use_us(core, x) * y->weight;
	y_use = core_flow_use_us(core, y) * x->weight;
	return x_use < y_use ? -1 : x_use > y_use;
}

bool core_share_goes_first(const struct core *core,
			   const struct core_service *service,
			   const struct core_call *a, const struct core_call *b)
{
	uint32_t a_rank = core_share_rank(service, a);
	uint32_t b_rank = core_share_rank(service, b);
	int order = core_share_compare_customers(core, a, b);

	if (a_rank != b_rank)
		return a_rank > b_rank;
	if (order)
		return order < 0;
	return core_share_is_active(service) &&
	       a->wait_until_us < b->wait_until_us;
}

uint64_t core_share_retry_at_us(struct core *core,
				const struct core_service *service)
{
	if (!core_share_is_active(service))
		return 0;
	return core->now_us + CORE_RETRY_MIN_US +
	       core_random(core, CORE_RETRY_SPREAD_US);
}

bool core_share_explains_reset(const struct core *core,
			       const struct core_server *server)
{
	return core_share_is_active(core_service(core, server->service)) &&
	       server->contended_us &&
	       core->now_us <= server->contended_us + CORE_CONTENDED_FRESH_US;
}
