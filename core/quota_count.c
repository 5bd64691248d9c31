#include "core/quota_state.h"

#include <string.h>

#include "core/state.h"

/* The coordinator of a customer. */

enum {
	QT_MAX_REFILL_US = 60 * 1000 * 1000,
	QT_NAME_US = 1000 * 1000,
	QT_MIN_AGE_US = 250 * 1000,
	/* A part that differs by more than this is named at the next check. */
	QT_NAME_CHANGE_PERCENT = 20,
	QT_LIMITED_US = 2 * 1000 * 1000,
	/* A substitute that gets no reports for this time stops telling hosts. */
	QT_ASKED_US = 3 * 1000 * 1000,
	/* Of the slack: in a new bucket, and in addition to the burst in a full one. */
	QT_START_DIVISOR = 4,
	QT_FULL_DIVISOR = 3,
	/* So many requests tell the rate within half a second. */
	QT_ENOUGH_REQUESTS = 100,
	QT_SPEND_PER_S = 2,
	QT_PERCENT = 100,
	QT_ASSUMED_HOSTS = 8 /* until the list of hosts arrives */
};

/*
 * The part of AMOUNT for the hosts that take this one for their coordinator, of those
 * that have a share. The first host by the list counts those that have not been asked, a
 * substitute does not: there the first host may still serve them. A host that is gone has
 * no share, and one that is silent keeps its own.
 */
static uint64_t qt_share(struct qt_quotas *quotas, const struct qt_count *count,
			 uint64_t amount)
{
	uint64_t all = (uint64_t)quotas->peers->len + 1 - quotas->gone;
	uint64_t own;

	if (!quotas->hosts_known)
		return quotas->joining ? 0 : amount / QT_ASSUMED_HOSTS;
	own = count->first ? quotas->sharing - count->not_mine : count->mine;
	own += !quotas->joining &&
	       !qt_find_coordinator(quotas, count->customer);

	return amount * MIN(own, all) / all;
}

static uint64_t qt_rate_milli(struct qt_quotas *quotas,
			      const struct qt_count *count)
{
	return qt_share(quotas, count, count->customer->rate_milli);
}

/* Of the bucket of a first host that has all shares. */
static int64_t qt_full_capacity(const struct qt_quotas *quotas,
				const struct qt_count *count)
{
	return (int64_t)count->customer->burst_milli * (QT_TOKEN / QT_MILLI) +
	       (int64_t)quotas->slack * QT_TOKEN / QT_FULL_DIVISOR;
}

static int64_t qt_capacity(struct qt_quotas *quotas,
			   const struct qt_count *count)
{
	uint64_t burst =
		(uint64_t)count->customer->burst_milli * (QT_TOKEN / QT_MILLI);
	uint64_t slack = (uint64_t)quotas->slack * QT_TOKEN / QT_FULL_DIVISOR;

	/* The first host may have spent the burst of these hosts before it knew. */
	if (!count->first)
		burst = 0;
	return (int64_t)qt_share(quotas, count, burst + slack);
}

/* While hosts join, the share falls for a moment: what is there already stays. */
static void qt_refill(struct qt_quotas *quotas, struct qt_count *count,
		      uint64_t now_us)
{
	uint64_t age_us = MIN(now_us - count->refilled_us, QT_MAX_REFILL_US);
	int64_t gain =
		(int64_t)(qt_rate_milli(quotas, count) * age_us / QT_MILLI);
	int64_t capacity = qt_capacity(quotas, count);

	if (count->level < capacity)
		count->level = MIN(count->level + gain, capacity);
	count->refilled_us = now_us;
}

/* Counts requests in the latest bin. */
static void qt_add_offered(struct qt_count *count, uint32_t requests,
			   uint64_t now_us)
{
	uint64_t bin = now_us / QT_BIN_US;

	if (bin - count->last_bin >= QT_BINS)
		memset(count->offered, 0, sizeof(count->offered));
	else
		while (count->last_bin < bin)
			count->offered[++count->last_bin % QT_BINS] = 0;
	count->last_bin = bin;
	count->offered[bin % QT_BINS] += requests;
}

/*
 * Offered requests in a second. The latest half second counts alone if it has more
 * and enough requests, because a peak begins within a few tenths.
 */
static uint32_t qt_offered(const struct qt_count *count, uint64_t now_us)
{
	uint64_t all = 0;
	uint64_t half = 0;

	for (uint64_t i = 0; i < QT_BINS; i++) {
		uint32_t requests =
			count->offered[(count->last_bin + QT_BINS - i) %
				       QT_BINS];

		all += requests;
		if (i < QT_BINS / 2)
			half += requests;
	}
	if (half >= QT_ENOUGH_REQUESTS)
		all = MAX(all, 2 * half);
	/* A new coordinator has seen less than a second. */
	return (uint32_t)(all * QT_US_PER_S /
			  CLAMP(now_us - count->start_us, QT_MIN_AGE_US,
				QT_US_PER_S));
}

static void qt_set_limited(struct qt_quotas *quotas, struct qt_count *count,
			   uint64_t now_us)
{
	bool limited = count->part_milli < QT_MILLI;

	if (limited)
		count->limited_until_us = now_us + QT_LIMITED_US;
	if (limited == count->limited ||
	    (!limited && now_us < count->limited_until_us))
		return;
	count->limited = limited;
	if (quotas->driver.limited)
		quotas->driver.limited(quotas->driver.ctx,
				       count->customer->name, limited,
				       count->part_milli);
}

/* Aims at the rate, and to spend the level in half a second or to repay it in one. */
static void qt_set_part(struct qt_quotas *quotas, struct qt_count *count,
			uint64_t now_us)
{
	int64_t level_milli = count->level / (QT_TOKEN / QT_MILLI);
	int64_t target_milli = (int64_t)qt_rate_milli(quotas, count) +
			       MAX(level_milli, level_milli * QT_SPEND_PER_S);
	int64_t offered = qt_offered(count, now_us);

	target_milli = MAX(target_milli, 0);
	if (target_milli >= offered * QT_MILLI)
		count->part_milli = QT_MILLI;
	else
		count->part_milli = (uint32_t)(target_milli / offered);
	qt_set_limited(quotas, count, now_us);
}

/* Whether the hosts must be told the part, or asked whom they report to. */
static bool qt_must_name(const struct qt_count *count, uint64_t now_us)
{
	return !count->named || count->part_milli < QT_MILLI ||
	       count->named_milli < QT_MILLI || count->limited ||
	       (!count->first && now_us < count->asked_us + QT_ASKED_US);
}

/* Until it has seen some requests, it must not name a part that is too large. */
static void qt_begin_first(const struct qt_quotas *quotas,
			   struct qt_count *count, uint64_t now_us)
{
	if (!quotas->joining)
		count->level =
			(int64_t)quotas->slack * QT_TOKEN / QT_START_DIVISOR;
	count->start_level = count->level;
	count->name_us = now_us + QT_MIN_AGE_US;
}

static struct qt_count *qt_count_new(struct qt_quotas *quotas,
				     struct qt_customer *customer,
				     uint64_t now_us)
{
	struct qt_count *count = g_new0(struct qt_count, 1);

	count->customer = customer;
	count->refilled_us = now_us;
	count->start_us = now_us;
	count->last_bin = now_us / QT_BIN_US;
	count->states = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	count->part_milli = QT_MILLI;
	count->named_milli = QT_MILLI;
	qt_count_clear_states(quotas, count);
	if (count->first)
		qt_begin_first(quotas, count, now_us);
	return count;
}

uint32_t qt_count_offer(struct qt_quotas *quotas, struct qt_customer *customer,
			uint32_t admitted, uint32_t refused, uint64_t now_us)
{
	struct qt_count *count = customer->count;

	if (!count)
		count = customer->count =
			qt_count_new(quotas, customer, now_us);
	qt_refill(quotas, count, now_us);
	count->level -= (int64_t)admitted * QT_TOKEN;
	count->asked_us = now_us;
	qt_add_offered(count, admitted + refused, now_us);
	qt_set_part(quotas, count, now_us);
	if (!count->link.data && qt_must_name(count, now_us)) {
		count->link.data = count;
		g_queue_push_tail_link(&quotas->naming, &count->link);
		quotas->due = true;
	}
	return count->part_milli;
}

/* A host that is lost may use its part of the burst elsewhere. */
static void qt_give_burst(const struct qt_quotas *quotas,
			  struct qt_count *count)
{
	int64_t burst =
		(int64_t)count->customer->burst_milli * (QT_TOKEN / QT_MILLI);

	if (count->first)
		count->level -= burst / ((int64_t)quotas->peers->len + 1);
}

static struct qt_state *qt_get_state(struct qt_count *count, uint64_t host)
{
	struct qt_state *state = g_hash_table_lookup(count->states, &host);

	if (state)
		return state;
	state = g_new0(struct qt_state, 1);
	state->host = host;
	g_hash_table_insert(count->states, &state->host, state);
	return state;
}

void qt_count_set_state(const struct qt_quotas *quotas, struct qt_count *count,
			uint64_t host, bool mine)
{
	const struct qt_peer *peer = qt_find_peer(quotas, host);
	struct qt_state *state;

	if (!peer || !qt_shares(peer))
		return;
	state = qt_get_state(count, host);
	if (state->known && state->mine == mine)
		return;
	if (!mine)
		qt_give_burst(quotas, count);
	count->mine += mine;
	count->not_mine += !mine;
	if (state->known) {
		count->mine -= !mine;
		count->not_mine -= mine;
	}
	state->known = true;
	state->mine = mine;
}

void qt_count_forget(const struct qt_quotas *quotas, struct qt_count *count,
		     uint64_t host, bool keeps_burst)
{
	const struct qt_state *state =
		g_hash_table_lookup(count->states, &host);
	bool known = state && state->known;

	if (keeps_burst && (!known || state->mine))
		qt_give_burst(quotas, count);
	if (known) {
		count->mine -= state->mine;
		count->not_mine -= !state->mine;
	}
	g_hash_table_remove(count->states, &host);
}

void qt_count_told(struct qt_count *count, uint64_t host, uint64_t now_us)
{
	struct qt_state *state = qt_get_state(count, host);

	state->told_us = now_us;
	state->told_milli = count->part_milli;
}

static bool qt_is_first(const struct qt_quotas *quotas, uint64_t customer_hash)
{
	uint64_t own = core_host_score(customer_hash, quotas->host_hash);

	for (guint i = 0; i < quotas->peers->len; i++) {
		const struct qt_peer *peer =
			g_ptr_array_index(quotas->peers, i);

		if (!peer->gone && !peer->joins &&
		    core_host_score(customer_hash, peer->hash) > own)
			return false;
	}
	return true;
}

void qt_count_clear_states(struct qt_quotas *quotas, struct qt_count *count)
{
	g_hash_table_remove_all(count->states);
	count->mine = 0;
	count->not_mine = 0;
	count->name_us = 0;
	count->named = false;
	count->first = qt_is_first(quotas, count->customer->hash);
}

void qt_count_hand_over(struct qt_count *count, struct qt_entry *entry,
			uint64_t now_us)
{
	entry->hands_over = true;
	entry->level_milli = (int32_t)CLAMP(
		count->level / (QT_TOKEN / QT_MILLI), INT32_MIN, INT32_MAX);
	entry->offered = qt_offered(count, now_us);
	/* Neither spent twice nor, if it is a debt, repaid twice. */
	count->level = 0;
	memset(count->offered, 0, sizeof(count->offered));
}

/* What was offered to the other one goes on. */
static void qt_take_offered(struct qt_count *count, uint32_t offered,
			    uint64_t now_us)
{
	for (uint32_t i = 0; i < QT_BINS; i++)
		count->offered[i] += offered / QT_BINS;
	count->start_us = MIN(count->start_us, now_us - QT_US_PER_S);
}

void qt_count_take_over(struct qt_quotas *quotas, struct qt_count *count,
			const struct qt_entry *entry, uint64_t now_us)
{
	int64_t level = (int64_t)entry->level_milli * (QT_TOKEN / QT_MILLI);

	qt_refill(quotas, count, now_us);
	count->level += level - count->start_level;
	count->level = MIN(count->level, qt_full_capacity(quotas, count));
	count->start_level = 0;
	qt_add_offered(count, 0, now_us);
	qt_take_offered(count, entry->offered, now_us);
	qt_set_part(quotas, count, now_us);
	/* Hosts may have a part that the other one has named as shares changed. */
	count->named = false;
	count->name_us = now_us;
	quotas->due = true;
}

void qt_count_clamp(struct qt_quotas *quotas, struct qt_count *count,
		    uint64_t now_us)
{
	count->level = MIN(count->level, qt_full_capacity(quotas, count));
	qt_refill(quotas, count, now_us);
	qt_set_part(quotas, count, now_us);
}

static bool qt_differs(uint32_t a, uint32_t b)
{
	uint32_t most = MAX(a, b);

	return (most - MIN(a, b)) * QT_PERCENT > most * QT_NAME_CHANGE_PERCENT;
}

/* Removes it from those whose part is told, once that is not needed. */
bool qt_count_names(struct qt_quotas *quotas, struct qt_count *count,
		    uint64_t now_us)
{
	qt_refill(quotas, count, now_us);
	qt_add_offered(count, 0, now_us);
	qt_set_part(quotas, count, now_us);
	if (!qt_must_name(count, now_us)) {
		g_queue_unlink(&quotas->naming, &count->link);
		count->link.data = NULL;
		return false;
	}
	return now_us >= count->name_us ||
	       (now_us + QT_NAME_US >= count->name_us + QT_CHECK_US &&
		qt_differs(count->part_milli, count->named_milli));
}

bool qt_count_knows(const struct qt_count *count, uint64_t host,
		    uint64_t now_us)
{
	const struct qt_state *state =
		g_hash_table_lookup(count->states, &host);

	return state && state->known && state->mine && state->told_us &&
	       now_us < state->told_us + QT_NAME_US / 2 &&
	       !qt_differs(state->told_milli, count->part_milli);
}

void qt_count_named(struct qt_count *count, uint64_t now_us)
{
	count->named = true;
	count->named_milli = count->part_milli;
	count->name_us = now_us + QT_NAME_US;
}

void qt_count_free(struct qt_quotas *quotas, struct qt_count *count)
{
	if (!count)
		return;
	if (count->link.data)
		g_queue_unlink(&quotas->naming, &count->link);
	g_hash_table_destroy(count->states);
	g_free(count);
}
