#include "gateway/state.h"

#include <string.h>

#include "core/outcome.h"
#include "peer/host_message.h"

enum {
	/* Of an answer, and of all together when there are many calls. */
	GW_BUFFER_BYTES = 256 * 1024,
	GW_ALL_BUFFERS_BYTES = 8 << 20,
	GW_MIN_BUFFER_BYTES = 4 * 1024,
	GW_LOW_DIVISOR = 4, /* reading goes on below this part of a buffer */
	/*
	 * Short, because slots become free continuously and the time of the
	 * latency target runs on while the caller waits.
	 */
	GW_RETRY_AFTER_MS = 20
};

void gw_add_outcome(struct gw_call *call, enum st_kind kind)
{
	const char *outcome = oc_outcome_name(kind);
	const struct dl_dialect *dialect = call->gateway->dialect;

	if (dialect->entry_id)
		hd_add_header(call->req, dialect->entry_id, call->request_id,
			      strlen(call->request_id));
	if (dialect->outcome)
		hd_add_header(call->req, dialect->outcome, outcome,
			      strlen(outcome));
}

void gw_add_retry_after(const struct dl_dialect *dialect, h2o_req_t *req,
			enum st_kind kind, uint64_t after_us)
{
	uint64_t after_ms = MAX((after_us + GW_US_PER_MS - 1) / GW_US_PER_MS,
				GW_RETRY_AFTER_MS);
	char text[GW_DIGITS];
	int bytes;

	if (kind != ST_OVER_QUOTA &&
	    (st_http_status(kind) != 503 || !st_not_run(kind)))
		return;
	if (dialect->retry_after_fractions)
		bytes = g_snprintf(
			text, sizeof(text), "%" G_GUINT64_FORMAT ".%03u",
			after_ms / 1000, (unsigned)(after_ms % 1000));
	else
		bytes = g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
				   (after_ms + 999) / 1000);
	hd_add_header(req, "retry-after", text, (size_t)bytes);
}

void gw_add_challenge(h2o_req_t *req, enum st_kind kind)
{
	if (kind == ST_UNAUTHORIZED)
		hd_add_header(req, "www-authenticate", "Bearer",
			      strlen("Bearer"));
}

static uint64_t gw_retry_after_us(const struct gw_call *call)
{
	uint64_t now_us = tm_now_us();

	return call->retry_at_us - MIN(now_us, call->retry_at_us);
}

static const char *gw_default_msg(enum st_kind kind)
{
	if (kind == ST_UNPROVEN)
		return "a server refused it, but did not state that it has not "
		       "run it";
	return st_not_run(kind) ? "the request was not run" :
				  "the request may have run";
}

void gw_reply_error(struct gw_call *call, enum st_kind kind, const char *msg)
{
	struct st_status status;

	st_set(&status, kind, "request %s: %s", call->request_id,
	       msg ? msg : gw_default_msg(kind));
	gw_add_outcome(call, kind);
	gw_add_challenge(call->req, kind);
	gw_add_retry_after(call->gateway->dialect, call->req, kind,
			   gw_retry_after_us(call));
	if (call->from_host && st_not_run(kind) && gw_is_cut_off(call->gateway))
		gw_add_unable(call->req);
	hm_mark_answer(call->req, st_name(kind));
	call->final_sent = true;
	hd_reply_status(call->req, &status);
}

#define GW_HOP_HEADERS(X)      \
	X("connection")        \
	X("keep-alive")        \
	X("proxy-connection")  \
	X("transfer-encoding") \
	X("content-length")    \
	X("te")                \
	X("trailer")           \
	X("upgrade")           \
	X("x-load")            \
	X("x-load-wanted")     \
	X("x-draining")        \
	X("x-rate-limit")      \
	X("x-not-run")         \
	X("x-request-id")      \
	X("x-request-outcome") \
	X("x-timeout-ms")      \
	X("host")              \
	X("expect")

static bool gw_is_header_name(const char *header, const char *name,
			      size_t bytes)
{
	return header && strlen(header) == bytes &&
	       !g_ascii_strncasecmp(header, name, bytes);
}

bool gw_is_hop_header(const struct dl_dialect *dialect, const char *name,
		      size_t bytes)
{
	static const struct {
		const char *name;
		size_t bytes;
	} rows[] = {
#define X(name) { name, sizeof(name) - 1 },
		GW_HOP_HEADERS(X)
#undef X
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		if (rows[i].bytes == bytes &&
		    !g_ascii_strncasecmp(rows[i].name, name, bytes))
			return true;
	return hm_is_own_header(name, bytes) ||
	       gw_is_header_name(dialect->time_left_ms, name, bytes) ||
	       gw_is_header_name(dialect->expect_server, name, bytes);
}

/*
 * How the end of an answer without a length shows. In HTTP/1.0 an orderly close is the
 * end of a whole one. In HTTP/1.1 it is in chunks; h2o would write bytes that are no
 * chunk as a sign that it is broken, so the connection is closed first.
 */
static void gw_end_unframed_answer(struct gw_call *call, bool whole)
{
	if (call->req->res.content_length != SIZE_MAX)
		return;
	if (!hd_ends_with_connection(call->req)) {
		if (!whole)
			hd_close_unfinished(call->req);
	} else if (whole) {
		hd_end_unframed(call->req);
	} else {
		hd_break_unframed(call->req);
	}
}

uint32_t gw_buffer_bytes(const struct gw_gateway *gateway)
{
	uint32_t calls = MAX(gateway->calls_in_flight, 1);

	return CLAMP(GW_ALL_BUFFERS_BYTES / calls, GW_MIN_BUFFER_BYTES,
		     GW_BUFFER_BYTES);
}

static void gw_on_proceed(h2o_generator_t *generator, h2o_req_t *req);
static void gw_on_stop(h2o_generator_t *generator, h2o_req_t *req);

static void gw_start_answer(struct gw_call *call)
{
	call->answer_started = true;
	call->generator.proceed = gw_on_proceed;
	call->generator.stop = gw_on_stop;
	if (hd_ends_with_connection(call->req))
		hd_begin_unframed(call->req);
	h2o_start_response(call->req, &call->generator);
}

/*
 * The last bytes of an answer that ends with its connection are written before its end
 * is told: until then a host that is killed must reset the connection.
 */
static h2o_send_state_t gw_send_state(const struct gw_call *call)
{
	if (!call->finished)
		return H2O_SEND_STATE_IN_PROGRESS;
	if (call->result != ST_OK)
		return H2O_SEND_STATE_ERROR;
	if (hd_ends_with_connection(call->req) && call->unsent->len)
		return H2O_SEND_STATE_IN_PROGRESS;
	return H2O_SEND_STATE_FINAL;
}

void gw_flush_answer(struct gw_call *call)
{
	h2o_send_state_t state;
	GString *swap = call->sending;
	h2o_iovec_t buf;

	if (!call->req || !call->head_copied || call->send_in_progress ||
	    call->final_sent)
		return;
	if (!call->unsent->len && !call->finished)
		return;
	if (!call->answer_started)
		gw_start_answer(call);
	state = gw_send_state(call);
	call->sending = call->unsent;
	call->unsent = swap;
	g_string_truncate(call->unsent, 0);
	call->send_in_progress = true;
	call->final_sent = state != H2O_SEND_STATE_IN_PROGRESS;
	if (call->final_sent)
		gw_end_unframed_answer(call, state == H2O_SEND_STATE_FINAL);
	call->answer_bytes += call->sending->len;
	buf = h2o_iovec_init(call->sending->str, call->sending->len);
	/* Over TLS the library must not be given empty buffers alone. */
	h2o_send(call->req, &buf, buf.len ? 1 : 0, state);
}

void gw_flush_read(struct gw_call *call, struct hc_request *request)
{
	uint32_t limit = gw_buffer_bytes(call->gateway);

	if (!call->req)
		return;
	gw_flush_answer(call);
	request->max_read_bytes = limit;
	if (call->unsent->len > limit && !call->read_paused) {
		call->read_paused = true;
		hc_pause_reading(request);
	}
}

void gw_resume_answer(struct gw_call *call)
{
	struct hc_request *request = call->answer_attempt ?
					     &call->answer_attempt->http :
					     gw_forward_request(call);

	if (!request)
		return;
	call->read_paused = false;
	hc_resume_reading(request);
}

static void gw_on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct gw_call *call = (struct gw_call *)generator;

	call->send_in_progress = false;
	if (call->read_paused &&
	    call->unsent->len < gw_buffer_bytes(call->gateway) / GW_LOW_DIVISOR)
		gw_resume_answer(call);
	gw_flush_answer(call);
}

static void gw_on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	struct gw_call *call = (struct gw_call *)generator;

	call->send_in_progress = true; /* blocks any further send */
}

/* h2o adds these itself; a duplicate would make the answer malformed. */
static bool gw_is_h2o_header(const struct hc_header *h)
{
	return (h->name_bytes == strlen("date") &&
		!g_ascii_strncasecmp(h->name, "date", h->name_bytes)) ||
	       (h->name_bytes == strlen("server") &&
		!g_ascii_strncasecmp(h->name, "server", h->name_bytes));
}

static void gw_copy_headers(struct gw_call *call, const struct hc_head *head)
{
	h2o_mem_pool_t *pool = &call->req->pool;

	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];
		h2o_iovec_t name;
		h2o_iovec_t value;

		if (gw_is_hop_header(call->gateway->dialect, h->name,
				     h->name_bytes) ||
		    gw_is_h2o_header(h))
			continue;
		name = h2o_strdup(pool, h->name, h->name_bytes);
		value = h2o_strdup(pool, h->value, h->value_bytes);
		h2o_strtolower(name.base, name.len);
		h2o_add_header_by_str(pool, &call->req->res.headers, name.base,
				      name.len, 1, NULL, value.base, value.len);
	}
}

void gw_copy_head(struct gw_call *call, const struct hc_head *head)
{
	if (!call->req)
		return;
	call->head_copied = true;
	call->req->res.status = head->status;
	call->req->res.reason = head->status < 400 ? "OK" : "Error";
	if (head->content_length != UINT64_MAX && head->status != 204)
		call->req->res.content_length = (size_t)head->content_length;
	gw_copy_headers(call, head);
	gw_add_outcome(call, ST_OK);
	hm_mark_answer(call->req, HM_SERVER);
}

void gw_drop_head(struct gw_call *call)
{
	call->head_copied = false;
	call->req->res.headers.size = 0;
	call->req->res.content_length = SIZE_MAX;
}
