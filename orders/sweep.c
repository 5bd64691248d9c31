#include "orders/state.h"

#include "base/counter.h"
#include "base/log.h"

enum {
	OD_US_PER_S = 1000 * 1000,
	OD_SWEEP_US = 10 * OD_US_PER_S,
	OD_SWEEP_BUSY_US = OD_US_PER_S
};

static void od_schedule_sweep(struct od_orders *orders, uint64_t wait_us)
{
	tm_subscribe(orders->timers, &orders->sweep, tm_now_us() + wait_us);
}

static void od_on_swept(void *ctx, const struct pf_result *result)
{
	struct od_orders *orders = ctx;

	orders->sweeping = false;
	if (result->status.kind != ST_OK)
		lg_warn("sweep",
			"expired orders may not have been removed: %s; "
			"the next sweep tries again",
			result->status.msg);
}

/* Writes that remove the expired orders of PAGE, sorted by deadline. */
static json_t *od_removals(const struct od_orders *orders, const json_t *page)
{
	json_t *writes = json_array();
	int64_t limit_ms = orders->wall_ms() - orders->retention_ms;

	for (size_t i = 0; i < json_array_size(page); i++) {
		const char *at = json_string_value(
			json_object_get(json_array_get(page, i), "key"));
		char *key = NULL;

		if (!at || g_ascii_strtoll(at, &key, 10) > limit_ms)
			break;
		pf_add_write(writes, OD_TIMES_TABLE, at, json_null());
		if (*key == '-')
			pf_add_write(writes, OD_TABLE, key + 1, json_null());
	}
	return writes;
}

static void od_on_page(void *ctx, const struct pf_result *result)
{
	struct od_orders *orders = ctx;
	struct pf_callback callback = { od_on_swept, orders };
	json_t *writes;
	size_t count;

	orders->sweeping = false;
	if (result->status.kind != ST_OK)
		return;
	writes = od_removals(orders, result->json);
	count = json_array_size(writes);
	if (!count) {
		json_decref(writes);
		return;
	}
	if (!ls_write_fenced(&orders->lease, writes, &callback))
		return;
	orders->sweeping = true;
	ct_add(CT_ORDERS_SWEPT, count / 2);
	if (count == 2 * OD_SWEEP_ROWS)
		od_schedule_sweep(orders, OD_SWEEP_BUSY_US);
}

static void od_on_sweep(void *ctx)
{
	struct od_orders *orders = ctx;
	struct pf_callback callback = { od_on_page, orders };

	od_schedule_sweep(orders, OD_SWEEP_US);
	if (orders->sweeping || !ls_is_held(&orders->lease))
		return;
	orders->sweeping = true;
	pf_list_rows(orders->platform, OD_TIMES_TABLE, "", OD_SWEEP_ROWS, false,
		     &callback);
}

void od_start_sweep(struct od_orders *orders, uint64_t lease_us)
{
	char holder[LS_HOLDER_BYTES];

	orders->sweep.fire = od_on_sweep;
	orders->sweep.ctx = orders;
	g_snprintf(holder, sizeof(holder), "%s-%" G_GINT64_MODIFIER "x",
		   orders->host, orders->incarnation);
	ls_init(&orders->lease, orders->platform, orders->timers, "order-sweep",
		holder, lease_us);
	od_schedule_sweep(orders, OD_SWEEP_BUSY_US);
}

void od_stop_sweep(struct od_orders *orders)
{
	tm_cancel(orders->timers, &orders->sweep);
	ls_free(&orders->lease);
}
