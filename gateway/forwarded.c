#include "gateway/forward.h"

#include <string.h>

#include "base/counter.h"

/*
 * Calls of other hosts. A host with a document of an earlier revision would route the
 * call by what is no longer in force; it may just have been frozen. It waits for the
 * later document, and is unable if that does not come soon.
 */
enum {
	/* Longer than a change takes from host to host. */
	GW_OUTDATED_WAIT_US = 500 * 1000
};

/* A call of another host that waits for a later document. */
struct gw_early_call {
	struct hd_request_ref *ref;
	uint64_t arrived_us;
	GList link; /* in gw_gateway.early_calls, the earliest first */
};

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
	struct ps_position revision = { 0 };
	char *text = g_strndup(header.base, header.len);
	char *end;

	if (header.base) {
		revision.era = g_ascii_strtoull(text, &end, 10);
		if (*end == '.')
			revision.version = g_ascii_strtoull(end + 1, NULL, 10);
	}
	g_free(text);
	return ps_is_later(&revision, &gateway->document->revision);
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
