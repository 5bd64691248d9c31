#include "orders/lease.h"

#include <string.h>

#include <glib.h>

#include "base/log.h"
#include "base/mechanism.h"

enum {
	LS_RENEWALS_PER_DURATION = 3,
	LS_MARGIN_DIVISOR = 10 /* the margin is a tenth of the duration */
};

static const char ls_table[] = "leases";

static uint64_t ls_margin_us(const struct ls_lease *lease)
{
	return lease->duration_us / LS_MARGIN_DIVISOR;
}

static void ls_schedule_timer(struct ls_lease *lease)
{
	tm_subscribe(lease->timers, &lease->timer,
		     tm_now_us() +
			     lease->duration_us / LS_RENEWALS_PER_DURATION);
}

static void ls_set_lost(struct ls_lease *lease, const char *reason)
{
	if (lease->held)
		lg_warn("lease", "%s is lost: %s", lease->name, reason);
	lease->held = false;
	lease->version = 0;
	lease->version_seen_us = tm_now_us();
}

static json_t *ls_row(const struct ls_lease *lease)
{
	return json_pack("{s:s, s:I}", "holder", lease->holder, "duration_ms",
			 (json_int_t)(lease->duration_us / 1000));
}

/* The lease's row is written last; the platform returns its new version. */
static void ls_txn(struct ls_lease *lease, json_t *writes,
		   void (*done)(void *ctx, const struct pf_result *result))
{
	struct pf_callback callback = { done, lease };
	json_t *conditions = json_array();

	if (me_on(ME_FENCING))
		pf_add_condition(conditions, ls_table, lease->name,
				 lease->version);
	pf_add_write(writes, ls_table, lease->name, ls_row(lease));
	lease->busy = true;
	lease->sent_us = tm_now_us();
	pf_run_txn(lease->platform, conditions, writes, &callback);
}

static void ls_set_held(struct ls_lease *lease, uint64_t version)
{
	lease->held = true;
	lease->version = version;
	lease->valid_until_us =
		lease->sent_us + lease->duration_us - ls_margin_us(lease);
}

static void ls_observe_version(struct ls_lease *lease, uint64_t version)
{
	if (lease->version == version)
		return;
	lease->version = version;
	lease->version_seen_us = tm_now_us();
}

static bool ls_may_acquire(const struct ls_lease *lease)
{
	if (!lease->version)
		return true;
	return tm_now_us() >= lease->version_seen_us + lease->duration_us +
				      ls_margin_us(lease);
}

static void ls_call_back(struct ls_lease *lease, const struct pf_result *result)
{
	struct pf_callback callback = lease->callback;

	lease->callback.done = NULL;
	if (callback.done)
		callback.done(callback.ctx, result);
}

/* The answer to a write was lost; the row shows whether it took effect. */
static void ls_on_read_back(void *ctx, const struct pf_result *result)
{
	struct ls_lease *lease = ctx;
	const char *holder =
		json_string_value(json_object_get(result->json, "holder"));

	lease->busy = false;
	if (result->status.kind == ST_OK && holder &&
	    !strcmp(holder, lease->holder)) {
		/* The same version: not renewed, so the lease ends as before. */
		if (result->version != lease->version)
			ls_set_held(lease, result->version);
	} else {
		ls_set_lost(
			lease,
			"a write was not answered and could not be confirmed");
	}
	ls_schedule_timer(lease);
}

static void ls_read_back(struct ls_lease *lease)
{
	struct pf_callback callback = { ls_on_read_back, lease };

	lease->busy = true;
	pf_get_row(lease->platform, ls_table, lease->name, &callback);
}

static void ls_on_acquired(void *ctx, const struct pf_result *result)
{
	struct ls_lease *lease = ctx;

	lease->busy = false;
	if (result->status.kind == ST_PLATFORM_UNKNOWN) {
		ls_read_back(lease);
		return;
	}
	if (result->status.kind == ST_OK) {
		ls_set_held(lease, (uint64_t)json_integer_value(json_object_get(
					   result->json, "version")));
		lg_info("lease", "%s is held, token %" G_GUINT64_FORMAT,
			lease->name, lease->version);
	}
	ls_schedule_timer(lease);
}

static void ls_on_row(void *ctx, const struct pf_result *result)
{
	struct ls_lease *lease = ctx;

	lease->busy = false;
	if (result->status.kind == ST_OK) {
		ls_observe_version(lease, result->version);
	} else if (result->status.kind == ST_NOT_FOUND) {
		lease->version = 0;
	} else {
		ls_schedule_timer(lease);
		return;
	}
	if (ls_may_acquire(lease))
		ls_txn(lease, json_array(), ls_on_acquired);
	else
		ls_schedule_timer(lease);
}

static void ls_on_written(void *ctx, const struct pf_result *result)
{
	struct ls_lease *lease = ctx;
	struct pf_result reported = *result;

	lease->busy = false;
	switch (result->status.kind) {
	case ST_OK:
		ls_set_held(lease, (uint64_t)json_integer_value(json_object_get(
					   result->json, "version")));
		ls_schedule_timer(lease);
		break;
	case ST_CONFLICT:
		st_set(&reported.status, ST_FENCED, "lease %s was taken over",
		       lease->name);
		ls_set_lost(lease, "another host took it over");
		ls_schedule_timer(lease);
		break;
	case ST_PLATFORM_UNKNOWN:
		ls_read_back(lease);
		break;
	default:
		ls_schedule_timer(lease);
	}
	ls_call_back(lease, &reported);
}

static void ls_on_timer(void *ctx)
{
	struct ls_lease *lease = ctx;
	struct pf_callback callback = { ls_on_row, lease };

	if (lease->busy)
		return;
	if (lease->held && !ls_is_held(lease))
		ls_set_lost(lease, "it was not renewed in time");
	if (lease->held) {
		ls_txn(lease, json_array(), ls_on_written);
		return;
	}
	lease->busy = true;
	pf_get_row(lease->platform, ls_table, lease->name, &callback);
}

void ls_init(struct ls_lease *lease, struct pf_client *platform,
	     struct tm_service *timers, const char *name, const char *holder,
	     uint64_t duration_us)
{
	memset(lease, 0, sizeof(*lease));
	lease->platform = platform;
	lease->timers = timers;
	g_strlcpy(lease->name, name, sizeof(lease->name));
	g_strlcpy(lease->holder, holder, sizeof(lease->holder));
	lease->duration_us = duration_us;
	lease->timer.fire = ls_on_timer;
	lease->timer.ctx = lease;
	ls_schedule_timer(lease);
}

void ls_free(struct ls_lease *lease)
{
	tm_cancel(lease->timers, &lease->timer);
}

bool ls_is_held(const struct ls_lease *lease)
{
	return lease->held && tm_now_us() < lease->valid_until_us;
}

bool ls_write_fenced(struct ls_lease *lease, json_t *writes,
		     const struct pf_callback *callback)
{
	if (lease->busy || !ls_is_held(lease)) {
		json_decref(writes);
		return false;
	}
	tm_cancel(lease->timers, &lease->timer);
	lease->callback = *callback;
	ls_txn(lease, writes, ls_on_written);
	return true;
}
