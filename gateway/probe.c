#include "gateway/probe.h"

#include <string.h>

#include "base/counter.h"

enum { PB_TIMEOUT_US = 400 * 1000 };

struct pb_probe {
	struct hc_request request; /* must be first: callbacks cast it back */
	struct pb_prober *prober;
	struct pb_probe *next;
	struct pb_probe **prev_next;
	struct pb_target target;
	struct tm_sub timer;
	uint64_t start_us;
	uint32_t bytes; /* both ways */
	uint32_t answer_bytes;
	bool ok;
	bool of_target; /* the answer is not from another server */
	bool draining;
	struct core_event report;
	struct core_event rate_limit;
	struct core_event pause;
	bool pause_wanted;
	struct core_event warmup;
	bool warmup_told;
};

static void pb_count_bytes(struct pb_probe *probe, size_t bytes)
{
	probe->bytes += (uint32_t)bytes;
	ct_add(CT_PROBE_BYTES, bytes);
	if (probe->target.cross_zone)
		ct_add(CT_PROBE_CROSS_BYTES, bytes);
}

static void pb_count_answer(struct pb_probe *probe, size_t bytes)
{
	probe->answer_bytes += (uint32_t)bytes;
	pb_count_bytes(probe, bytes);
}

/*
 * A failed health check may also say that the server leaves; that it stays, only
 * a complete and good answer says.
 */
static void pb_post_leaving(struct pb_probe *probe, bool ok)
{
	struct pb_prober *prober = probe->prober;
	struct core_event state = { .kind = CORE_EV_SERVER };

	if (!ok && !probe->draining)
		return;
	state.u.server.server = probe->target.server;
	state.u.server.source = dl_leaving_source(prober->dialect);
	state.u.server.leaving = probe->draining;
	prober->post(prober->ctx, &state);
}

/* That a server is warm, only a complete and good answer says. */
static void pb_post_warmup(struct pb_probe *probe, bool ok)
{
	struct pb_prober *prober = probe->prober;

	probe->warmup.u.warmup.server = probe->target.server;
	if (probe->warmup_told && (ok || probe->warmup.u.warmup.left_us))
		prober->post(prober->ctx, &probe->warmup);
}

/* Posts the result to the core and frees the probe. */
static void pb_finish(struct pb_probe *probe, bool ok)
{
	struct pb_prober *prober = probe->prober;
	struct core_event *report = &probe->report;

	report->kind = CORE_EV_REPORT;
	report->u.report.server = probe->target.server;
	report->u.report.source = CORE_FROM_PROBE;
	report->u.report.ok = ok;
	report->u.report.bytes = probe->bytes;
	report->u.report.latency_us = (uint32_t)(tm_now_us() - probe->start_us);
	probe->rate_limit.u.rate_limit.server = probe->target.server;
	probe->rate_limit.u.rate_limit.source = CORE_FROM_PROBE;
	if (ok)
		prober->post(prober->ctx, &probe->rate_limit);
	pb_post_warmup(probe, ok);
	pb_post_leaving(probe, ok);
	probe->pause.u.pause.server = probe->target.server;
	probe->pause.u.pause.source = CORE_FROM_PROBE;
	if (probe->pause_wanted)
		prober->post(prober->ctx, &probe->pause);
	prober->post(prober->ctx, report);
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

/* An answer with a call id is a late answer to a call on this connection. */
static bool pb_accept_answer(struct hc_request *request,
			     const struct hc_head *head)
{
	const struct pb_probe *probe = (struct pb_probe *)request;

	return !dl_find_header(head, probe->prober->dialect->call_id);
}

static void pb_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct pb_probe *probe = (struct pb_probe *)request;
	const struct dl_dialect *dialect = probe->prober->dialect;
	const struct hc_header *load = dl_find_header(head, dialect->report);
	const struct hc_header *id = dl_find_header(head, dialect->server_id);

	pb_count_answer(probe, pb_head_bytes(head));
	probe->of_target = !id || hc_value_is(id, probe->target.expected_id);
	probe->ok = head->status == 200 && load && probe->of_target;
	/* If it were sent once more, it would look like the next answer. */
	request->close_after =
		dl_is_not_run(dialect, head, probe->target.expected_id);
	probe->draining =
		probe->of_target && dl_find_header(head, dialect->draining);
	if (load)
		dialect->parse_report(load, &probe->report);
	dl_parse_rate_limit(dialect, head, &probe->rate_limit);
	probe->warmup_told = probe->of_target &&
			     dl_parse_warmup(dialect, head, &probe->warmup);
	probe->pause_wanted =
		probe->of_target && dl_parse_pause(head, &probe->pause);
}

static void pb_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct pb_probe *probe = (struct pb_probe *)request;

	pb_count_answer(probe, data_bytes);
	if (probe->answer_bytes <= CORE_PROBE_MAX_BYTES)
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
	.accept = pb_accept_answer,
	.head = pb_on_head,
	.body = pb_on_body,
	.done = pb_on_done,
};

static void pb_on_timeout(void *ctx)
{
	struct pb_probe *probe = ctx;

	hc_cancel_overdue(&probe->request);
	pb_finish(probe, false);
}

void pb_init(struct pb_prober *prober, struct tm_service *timers,
	     const struct dl_dialect *dialect,
	     void (*post)(void *ctx, struct core_event *event), void *ctx)
{
	memset(prober, 0, sizeof(*prober));
	prober->timers = timers;
	prober->dialect = dialect;
	prober->post = post;
	prober->ctx = ctx;
}

void pb_free(struct pb_prober *prober)
{
	struct pb_probe *next;

	for (struct pb_probe *p = prober->probes; p; p = next) {
		next = p->next;
		hc_cancel(&p->request);
		tm_cancel(prober->timers, &p->timer);
		g_free(p);
	}
	prober->probes = NULL;
}

GString *pb_format_request(const struct dl_dialect *dialect, const char *path,
			   const struct hc_pool *pool)
{
	const char *used = path ? path : dialect->probe_path;
	GString *out = hc_head_begin("GET", strlen("GET"), used, strlen(used),
				     pool->address.text);

	hc_head_end(out, NULL, 0);
	return out;
}

void pb_send_probe(struct pb_prober *prober, const struct pb_target *target)
{
	struct pb_probe *probe = g_new0(struct pb_probe, 1);
	GString *out =
		pb_format_request(prober->dialect, target->path, target->pool);

	probe->prober = prober;
	probe->target = *target;
	probe->start_us = tm_now_us();
	probe->request.handler = &pb_handler;
	probe->timer.fire = pb_on_timeout;
	probe->timer.ctx = probe;
	probe->next = prober->probes;
	probe->prev_next = &prober->probes;
	if (probe->next)
		probe->next->prev_next = &probe->next;
	prober->probes = probe;
	tm_subscribe(prober->timers, &probe->timer,
		     probe->start_us + PB_TIMEOUT_US);
	ct_add(CT_PROBES, 1);
	pb_count_bytes(probe, out->len);
	if (!hc_start(target->pool, &probe->request, out))
		pb_finish(probe, false);
}
