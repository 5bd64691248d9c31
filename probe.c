#include "probe.h"

#include <string.h>

#include "counter.h"

enum { PB_TIMEOUT_US = 1000 * 1000 };

struct pb_probe {
	struct hc_request request; /* first: callbacks cast back */
	struct pb_prober *prober;
	struct pb_probe *next;
	struct pb_probe **prev_next;
	struct pb_target target;
	struct tm_sub timer;
	uint64_t begin_us;
	uint32_t bytes;
	bool ok;
	bool draining;
	struct core_event report;
};

static uint32_t pb_field(const char *text, const char *key)
{
	const char *at = strstr(text, key);
	uint64_t value = 0;

	if (at)
		value = g_ascii_strtoull(at + strlen(key), NULL, 10);
	return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

void pb_take_load(const struct hc_header *load, struct core_event *report)
{
	char *text = g_strndup(load->value, load->value_bytes);

	report->u.report.in_flight = pb_field(text, "in_flight=");
	report->u.report.queued = pb_field(text, "queued=");
	report->u.report.slots = pb_field(text, "slots=");
	g_free(text);
}

static void pb_count(struct pb_probe *probe, size_t bytes)
{
	probe->bytes += (uint32_t)bytes;
	ct_add(CT_PROBE_BYTES, bytes);
	if (probe->target.cross_zone)
		ct_add(CT_PROBE_CROSS_BYTES, bytes);
}

/* Posts the result and ends the probe. */
static void pb_finish(struct pb_probe *probe, bool ok)
{
	struct pb_prober *prober = probe->prober;
	struct core_event *report = &probe->report;
	struct core_event state = { .kind = CORE_EV_SERVER };

	report->kind = CORE_EV_REPORT;
	report->u.report.server = probe->target.server;
	report->u.report.source = CORE_FROM_PROBE;
	report->u.report.ok = ok;
	report->u.report.bytes = probe->bytes;
	report->u.report.latency_us = (uint32_t)(tm_now_us() - probe->begin_us);
	prober->post(prober->ctx, report);
	state.u.server.server = probe->target.server;
	state.u.server.sign = CORE_SIGN_ANSWER;
	state.u.server.leaving = probe->draining;
	if (ok)
		prober->post(prober->ctx, &state);
	tm_cancel(prober->timers, &probe->timer);
	*probe->prev_next = probe->next;
	if (probe->next)
		probe->next->prev_next = probe->prev_next;
	g_free(probe);
}

static size_t pb_head_bytes(const struct hc_head *head)
{
	size_t bytes = strlen("HTTP/1.1 200 OK\r\n\r\n");

	for (uint32_t i = 0; i < head->header_count; i++)
		bytes += head->headers[i].name_bytes +
			 head->headers[i].value_bytes + strlen(": \r\n");
	return bytes;
}

static void pb_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct pb_probe *probe = (struct pb_probe *)request;
	const struct hc_header *load = hc_find(head, "x-load");

	pb_count(probe, pb_head_bytes(head));
	probe->ok = head->status == 200 && load;
	probe->draining = hc_find(head, "x-draining") != NULL;
	if (load)
		pb_take_load(load, &probe->report);
}

static void pb_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct pb_probe *probe = (struct pb_probe *)request;

	pb_count(probe, data_bytes);
	if (probe->bytes <= CORE_PROBE_MAX_BYTES)
		return;
	hc_cancel(request);
	pb_finish(probe, false);
}

static void pb_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct pb_probe *probe = (struct pb_probe *)request;

	pb_finish(probe, probe->ok && end == HC_COMPLETE);
}

static const struct hc_handler pb_handler = {
	.head = pb_on_head,
	.body = pb_on_body,
	.done = pb_on_done,
};

static void pb_on_timeout(void *ctx)
{
	struct pb_probe *probe = ctx;

	hc_cancel(&probe->request);
	pb_finish(probe, false);
}

void pb_init(struct pb_prober *prober, struct tm_service *timers,
	     void (*post)(void *ctx, struct core_event *event), void *ctx)
{
	memset(prober, 0, sizeof(*prober));
	prober->timers = timers;
	prober->post = post;
	prober->ctx = ctx;
}

void pb_free(struct pb_prober *prober)
{
	struct pb_probe *next;

	for (struct pb_probe *p = prober->running; p; p = next) {
		next = p->next;
		hc_cancel(&p->request);
		tm_cancel(prober->timers, &p->timer);
		g_free(p);
	}
	prober->running = NULL;
}

void pb_send(struct pb_prober *prober, const struct pb_target *target)
{
	struct pb_probe *probe = g_new0(struct pb_probe, 1);
	GString *out =
		hc_head_begin("GET", strlen("GET"), "/load", strlen("/load"),
			      target->pool->address.text);

	hc_head_end(out, NULL, 0);
	probe->prober = prober;
	probe->target = *target;
	probe->begin_us = tm_now_us();
	probe->request.handler = &pb_handler;
	probe->timer.fire = pb_on_timeout;
	probe->timer.ctx = probe;
	probe->next = prober->running;
	probe->prev_next = &prober->running;
	if (probe->next)
		probe->next->prev_next = &probe->next;
	prober->running = probe;
	tm_subscribe(prober->timers, &probe->timer,
		     probe->begin_us + PB_TIMEOUT_US);
	ct_add(CT_PROBES, 1);
	pb_count(probe, out->len);
	if (!hc_start(target->pool, &probe->request, out))
		pb_finish(probe, false);
}
