#include "orders/state.h"

#include "base/log.h"

enum {
	/* A copy of the store is some seconds old, its outage included. */
	OD_KEEP_US = 30 * 1000 * 1000,
	/* How often a host looks whether the store was restored. */
	OD_ERA_CHECK_US = 500 * 1000,
	/* Look-ups at a time after a restore; calls need connections, too. */
	OD_MAX_CONFIRMING = 4
};

/*
 * After a restore no key is claimed for this long: the time in which another host
 * sees the restore, with one call that times out, and writes again what is lost.
 */
static const uint64_t OD_SETTLE_US = 3ULL * 1000 * 1000;

static void od_confirm_rows(struct od_orders *orders);

bool od_is_settling(const struct od_orders *orders)
{
	return orders->restored_us &&
	       tm_now_us() < orders->restored_us + OD_SETTLE_US;
}

/* The store does not answer; od_on_era_check tries again. */
static void od_defer_confirming(struct od_claim *claim)
{
	claim->orders->confirming -= claim->confirming;
	claim->confirming = false;
}

void od_end_confirming(struct od_claim *claim)
{
	if (!claim->confirming)
		return;
	od_defer_confirming(claim);
	od_confirm_rows(claim->orders);
}

void od_keep_claim(struct od_claim *claim, uint64_t era)
{
	struct od_orders *orders = claim->orders;

	claim->row_era = era;
	claim->kept_us = tm_now_us();
	od_unlink_claim(claim);
	g_queue_push_tail_link(&orders->kept, &claim->kept_link);
	od_end_confirming(claim);
	if (era < orders->era)
		od_confirm_rows(orders);
}

void od_observe_era(struct od_orders *orders, uint64_t era)
{
	if (era)
		orders->answered_us = tm_now_us();
	if (era <= orders->era)
		return;
	if (orders->era) {
		lg_warn("store-restored",
			"orders: era %" G_GUINT64_FORMAT
			" after %" G_GUINT64_FORMAT
			"; looking up %u rows written lately",
			ps_stated_era(era), ps_stated_era(orders->era),
			orders->kept.length);
		orders->restored_us = tm_now_us();
	}
	orders->era = era;
	od_confirm_rows(orders);
}

static void od_on_claimed_again(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	claim->claiming_again = false;
	od_observe_era(claim->orders, result->era);
	if (result->status.kind == ST_OK) {
		claim->row_version = od_written_version(result);
		claim->row_era = result->era;
	} else if (result->status.kind == ST_CONFLICT) {
		/* The copy has the row. Its version is read with the result. */
		claim->row_era = result->era;
	}
	if (claim->end != OD_END_NONE)
		od_start_result(claim);
	if (claim->row_era < claim->orders->era)
		od_defer_confirming(claim);
	else
		od_end_confirming(claim);
}

/* The call runs. If the store lacks its row, the key looks free. */
static void od_claim_again(struct od_claim *claim)
{
	claim->claiming_again = true;
	od_put_row(claim, 0, od_new_row(claim, OD_CLAIMED), json_object(),
		   od_on_claimed_again);
}

static void od_confirm_kept(struct od_claim *claim)
{
	struct od_orders *orders = claim->orders;

	g_queue_unlink(&orders->kept, &claim->kept_link);
	od_link_claim(claim);
	claim->backoff_us = OD_BACKOFF_FIRST_US;
	od_recheck_row(claim);
}

static bool od_is_unconfirmed(const struct od_claim *claim)
{
	return claim->row_era && claim->row_era < claim->orders->era &&
	       !claim->confirming;
}

/* A claim whose row may be lost; those of running calls go first. */
static struct od_claim *od_next_unconfirmed(const struct od_orders *orders)
{
	for (struct od_claim *c = orders->claims; c; c = c->next)
		if (c->end == OD_END_NONE && od_is_unconfirmed(c))
			return c;
	for (GList *at = orders->kept.tail; at; at = at->prev)
		if (od_is_unconfirmed(at->data))
			return at->data;
	return NULL;
}

static void od_confirm_rows(struct od_orders *orders)
{
	struct od_claim *claim;

	while (orders->confirming < OD_MAX_CONFIRMING &&
	       (claim = od_next_unconfirmed(orders))) {
		claim->confirming = true;
		orders->confirming++;
		if (claim->end == OD_END_NONE)
			od_claim_again(claim);
		else
			od_confirm_kept(claim);
	}
}

static void od_drop_oldest_kept(struct od_orders *orders)
{
	uint64_t now_us = tm_now_us();
	struct od_claim *claim;

	while ((claim = g_queue_peek_head(&orders->kept)) &&
	       now_us >= claim->kept_us + OD_KEEP_US) {
		g_queue_unlink(&orders->kept, &claim->kept_link);
		od_free_unlinked(claim);
	}
}

static void od_on_era_read(void *ctx, const struct pf_result *result)
{
	struct od_orders *orders = ctx;

	orders->era_check_pending = false;
	od_observe_era(orders, result->era);
}

/* Any answer of the store names its era. */
static void od_read_era(struct od_orders *orders)
{
	struct pf_callback callback = { od_on_era_read, orders };
	const struct od_claim *claim = g_queue_peek_head(&orders->kept);

	if (!claim)
		claim = orders->claims;
	if (!claim || !orders->era || orders->era_check_pending ||
	    tm_now_us() < orders->answered_us + OD_ERA_CHECK_US)
		return;
	orders->era_check_pending = true;
	pf_get_row(orders->platform, OD_TABLE, claim->row_key, &callback);
}

static void od_on_era_check(void *ctx)
{
	struct od_orders *orders = ctx;

	od_drop_oldest_kept(orders);
	od_confirm_rows(orders);
	od_read_era(orders);
	tm_subscribe(orders->timers, &orders->era_check,
		     tm_now_us() + OD_ERA_CHECK_US);
}

void od_start_era_checks(struct od_orders *orders)
{
	g_queue_init(&orders->kept);
	orders->era_check.fire = od_on_era_check;
	orders->era_check.ctx = orders;
	tm_subscribe(orders->timers, &orders->era_check,
		     tm_now_us() + OD_ERA_CHECK_US);
}

void od_free_kept(struct od_orders *orders)
{
	struct od_claim *claim;

	while ((claim = g_queue_peek_head(&orders->kept))) {
		g_queue_unlink(&orders->kept, &claim->kept_link);
		od_free_unlinked(claim);
	}
	tm_cancel(orders->timers, &orders->era_check);
}
