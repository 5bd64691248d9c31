#include "http/httpd_conn.h"

#include <string.h>

#include <h2o/http2.h>
#include <h2o/http2_internal.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/log.h"

/*
 * What callers send and h2o has not passed on yet: how much of it is held, for how
 * long, and which callers give way. h2o offers no limit over all connections and
 * answers a body that is too large only to a caller that reads; so the reads of a
 * listener with limits go through hd_on_read first.
 */

enum {
	HD_SWEEP_MS = 250,
	HD_LATE_SWEEP_MS = 2 * HD_SWEEP_MS,
	HD_READ_BYTES = 64 * 1024,
	/* A record of TLS that is not whole yet, and h2o's least free space. */
	HD_TLS_SPARE_BYTES = 16 * 1024 + 4096,
	HD_SPARE_BYTES = 4096,
	HD_GROWTH_PART = 8, /* a buffer grows by this part of itself */
	HD_KEPT_BYTES = 16 * 1024, /* of the buffer of an idle connection */
	/* A caller that sends less than this in a while makes no progress. */
	HD_PROGRESS_BYTES = 16 * 1024,
	HD_LEAST_WEIGHT_MS = 100,
	HD_LOG_MS = 10 * 1000,
	HD_DRAIN_MS = 10 * 1000,
	HD_MAX_LINES = 1 + H2O_MAX_HEADERS,
	HD_LIBRARY_TIMEOUT_MS = 3600 * 1000,
	HD_SLOW_FACTOR = 4, /* of the idle timeout, before the rate counts */
	HD_MAX_RETRY_S = 4
};

/* For h2o; bodies over HTTP/1 are refused here, those over HTTP/2 by h2o. */
#define HD_NO_LIMIT (SIZE_MAX / 2)

static const char hd_preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

enum hd_refusal {
	HD_HEADERS_MANY,
	HD_HEAD_LARGE,
	HD_BODY_LARGE,
	HD_NO_ROOM,
	HD_SLOW
};

static const struct {
	const char *status;
	const char *error;
	const char *message;
	enum ct_id counter;
} hd_refusals[] = {
	[HD_HEADERS_MANY] = { "400 Bad Request", "invalid",
			      "the request has too many headers",
			      CT_HEADS_TOO_LARGE },
	[HD_HEAD_LARGE] = { "413 Payload Too Large", "too_large",
			    "the head of the request is too large",
			    CT_HEADS_TOO_LARGE },
	[HD_BODY_LARGE] = { "413 Payload Too Large", "too_large",
			    "the body of the request is too large",
			    CT_BODIES_TOO_LARGE },
	[HD_NO_ROOM] = { "503 Service Unavailable", "no_room",
			 "no memory is left for the body of the request",
			 CT_BODIES_NO_ROOM },
	[HD_SLOW] = { "408 Request Timeout", "too_slow",
		      "the request did not arrive in time", CT_TOO_SLOW },
};

static bool hd_is_used_up(const struct hd_budget *budget)
{
	return budget->held_bytes > budget->limit_bytes;
}

static size_t hd_input_bytes(const struct hd_conn *conn)
{
	const h2o_buffer_t *input = conn->sock->input;

	return input->bytes ? input->size : 0;
}

static void hd_count(struct hd_conn *conn, size_t bytes)
{
	struct hd_server *server = conn->server;

	if (!server->has_limits)
		return;
	server->budget->held_bytes += bytes - conn->counted_bytes;
	ct_add(CT_BODY_BYTES, (uint64_t)bytes - conn->counted_bytes);
	conn->counted_bytes = bytes;
}

/* The connection reports its end to h2o, which closes it. */
static void hd_end_conn(struct hd_conn *conn)
{
	const uv_buf_t none = uv_buf_init(NULL, 0);

	conn->paused = false;
	if (conn->sock)
		conn->library_read((uv_stream_t *)&conn->tcp, UV_EOF, &none);
}

static void hd_reset_request(struct hd_conn *conn)
{
	conn->in_service = false;
	conn->head_bytes = 0;
	conn->scanned_bytes = 0;
	conn->lines = 0;
	conn->announced_bytes = 0;
	conn->received_bytes = hd_input_bytes(conn);
	conn->last_byte_ms = uv_now(conn->server->loop);
	conn->progress_ms = conn->last_byte_ms;
	conn->progress_bytes = conn->received_bytes;
	conn->begin_ms = conn->received_bytes ? conn->last_byte_ms : 0;
}

/* h2o keeps the memory of a buffer that it has emptied. */
static void hd_shrink_input(struct hd_conn *conn)
{
	h2o_buffer_t **input = &conn->sock->input;

	if (!(*input)->bytes || (*input)->size ||
	    (*input)->capacity <= HD_KEPT_BYTES)
		return;
	h2o_buffer_dispose(input);
	h2o_buffer_init(input, &h2o_socket_buffer_prototype);
}

/*
 * Makes room for a read. h2o would double the buffer and copy it, or move it to a
 * file; realloc moves the pages of a large one.
 */
static void hd_make_room(struct hd_conn *conn)
{
	h2o_buffer_t *old = conn->sock->input;
	size_t need =
		conn->tls ? HD_READ_BYTES + HD_TLS_SPARE_BYTES : HD_SPARE_BYTES;
	size_t offset;
	size_t capacity;
	h2o_buffer_t *grown;

	if (!old->bytes)
		return;
	offset = (size_t)(old->bytes - old->_buf);
	if (old->capacity - offset - old->size >= need)
		return;
	capacity = offset + old->size + need +
		   MAX(old->size / HD_GROWTH_PART, HD_SPARE_BYTES);
	if (old->capacity > old->_prototype->_initial_buf.capacity) {
		grown = h2o_mem_realloc(old, offsetof(h2o_buffer_t, _buf) +
						     capacity);
	} else {
		grown = h2o_mem_alloc(offsetof(h2o_buffer_t, _buf) + capacity);
		*grown = *old;
		memcpy(grown->_buf, old->_buf, offset + old->size);
		h2o_buffer__do_free(old);
	}
	grown->bytes = grown->_buf + offset;
	grown->capacity = capacity;
	conn->sock->input = grown;
}

static void hd_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char discarded[HD_READ_BYTES];
	struct hd_conn *conn = (struct hd_conn *)handle;

	if (conn->draining) {
		*buf = uv_buf_init(discarded, sizeof(discarded));
		return;
	}
	if (!conn->http2)
		hd_make_room(conn);
	conn->library_alloc(handle, suggested, buf);
	buf->len = MIN(buf->len, HD_READ_BYTES);
}

static void hd_on_refusal_written(h2o_socket_t *sock, const char *error)
{
	struct hd_conn *conn = sock->on_close.data;

	/* The caller may still send; closing now would reset the connection. */
	if (!error)
		shutdown(h2o_socket_get_fd(sock), SHUT_WR);
	g_clear_pointer(&conn->refusal, g_free);
}

/* Later, if h2o still writes that the caller may go on. */
static void hd_write_refusal(struct hd_conn *conn)
{
	h2o_iovec_t text;

	if (!conn->refusal || h2o_socket_is_writing(conn->sock))
		return;
	text = h2o_iovec_init(conn->refusal, strlen(conn->refusal));
	h2o_socket_write(conn->sock, &text, 1, hd_on_refusal_written);
}

static void hd_note_refusal(struct hd_server *server, enum hd_refusal kind)
{
	ct_add(hd_refusals[kind].counter, 1);
	server->refused++;
	server->last_refusal = hd_refusals[kind].message;
}

/* One line for all refusals since the last one. */
static void hd_log_refusals(struct hd_server *server, uint64_t now_ms)
{
	if (!server->refused || now_ms < server->next_log_ms)
		return;
	lg_warn("intake",
		"%u requests refused while they arrived, the last one because "
		"%s; %zu of %zu bytes held",
		server->refused, server->last_refusal,
		server->budget->held_bytes, server->budget->limit_bytes);
	server->refused = 0;
	server->next_log_ms = now_ms + HD_LOG_MS;
}

/* Answers instead of h2o, and frees what came of the request. */
static void hd_refuse(struct hd_conn *conn, enum hd_refusal kind)
{
	char *retry =
		kind == HD_NO_ROOM ?
			g_strdup_printf("retry-after: %d\r\n",
					g_random_int_range(1, HD_MAX_RETRY_S)) :
			g_strdup("");
	char *body = g_strdup_printf("{\"error\": \"%s\", \"message\": \"%s\"}",
				     hd_refusals[kind].error,
				     hd_refusals[kind].message);

	hd_note_refusal(conn->server, kind);
	conn->draining = true;
	conn->begin_ms = uv_now(conn->server->loop);
	conn->refusal = g_strdup_printf(
		"HTTP/1.1 %s\r\nconnection: close\r\n%s"
		"x-request-outcome: not-run\r\n"
		"content-type: application/json\r\ncontent-length: %zu\r\n\r\n%s",
		hd_refusals[kind].status, retry, strlen(body), body);
	g_free(body);
	g_free(retry);
	hd_count(conn, 0);
	h2o_buffer_dispose(&conn->sock->input);
	h2o_buffer_init(&conn->sock->input, &h2o_socket_buffer_prototype);
	hd_write_refusal(conn);
}

static bool hd_is_idle_http2(const struct hd_conn *conn)
{
	const h2o_http2_conn_t *http2 = conn->sock->data;

	return !http2->num_streams.pull.half_closed &&
	       !http2->num_streams.pull.send_body;
}

/*
 * The streams of a connection that gives way cannot be told apart. It is closed if
 * none of them is being answered, else it is not read for now.
 */
static void hd_give_way(struct hd_conn *conn)
{
	if (!conn->http2) {
		hd_refuse(conn, HD_NO_ROOM);
		return;
	}
	hd_note_refusal(conn->server, HD_NO_ROOM);
	if (hd_is_idle_http2(conn)) {
		hd_count(conn, 0);
		hd_end_conn(conn);
		return;
	}
	conn->paused = true;
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

/* What a caller occupies, by the time for which it has made no progress. */
static uint64_t hd_weight(const struct hd_conn *conn)
{
	uint64_t now_ms = uv_now(conn->server->loop);

	if (!conn->sock || conn->unwatched || conn->in_service ||
	    conn->draining || conn->paused ||
	    /* h2o is closing it, and waits for a write. */
	    !uv_is_active((const uv_handle_t *)&conn->tcp))
		return 0;
	return conn->counted_bytes *
	       (now_ms - conn->progress_ms + HD_LEAST_WEIGHT_MS);
}

static void hd_keep_budget(struct hd_server *server)
{
	while (hd_is_used_up(server->budget)) {
		struct hd_conn *heaviest = NULL;
		uint64_t weight = 0;

		for (struct hd_conn *c = server->conns; c; c = c->next) {
			if (hd_weight(c) <= weight)
				continue;
			heaviest = c;
			weight = hd_weight(c);
		}
		if (!heaviest)
			return;
		hd_give_way(heaviest);
	}
}

/* Of the field content-length; 0: none, or malformed, which h2o refuses. */
static uint64_t hd_read_length(const char *line)
{
	const char *value = line + strlen("content-length:");

	value += strspn(value, " \t");
	return g_ascii_isdigit(*value) ? g_ascii_strtoull(value, NULL, 10) : 0;
}

/* Reads on in the head, of INPUT_BYTES; returns whether it is whole. */
static bool hd_scan_head(struct hd_conn *conn, size_t input_bytes)
{
	const char *begin = conn->sock->input->bytes;
	const char *end = begin + input_bytes;
	const char *line = begin + conn->scanned_bytes;
	const char *stop;

	while ((stop = memchr(line, '\n', (size_t)(end - line)))) {
		size_t bytes = (size_t)(stop - line);

		if (bytes && line[bytes - 1] == '\r')
			bytes--;
		if (hd_is_field(line, bytes, "content-length"))
			conn->announced_bytes = hd_read_length(line);
		line = stop + 1;
		conn->scanned_bytes = (size_t)(line - begin);
		if (!bytes && conn->lines)
			return true;
		conn->lines += bytes > 0;
	}
	return false;
}

/*
 * Whether the head that is being read keeps the limits so far, and what it announces.
 * INPUT_BYTES: what h2o has, and what was read for it since.
 */
static bool hd_check_head(struct hd_conn *conn, size_t input_bytes)
{
	const struct hd_limits *limits = &conn->server->limits;

	if (conn->head_bytes || !input_bytes)
		return true;
	if (hd_scan_head(conn, input_bytes))
		conn->head_bytes = conn->scanned_bytes;
	if (conn->lines > HD_MAX_LINES) {
		hd_refuse(conn, HD_HEADERS_MANY);
		return false;
	}
	if (conn->scanned_bytes > limits->head_bytes ||
	    (!conn->head_bytes && input_bytes > limits->head_bytes)) {
		hd_refuse(conn, HD_HEAD_LARGE);
		return false;
	}
	if (conn->announced_bytes > limits->body_bytes) {
		hd_refuse(conn, HD_BODY_LARGE);
		return false;
	}
	return true;
}

/* Whether the request that is being read keeps the limits so far. */
static bool hd_check_size(struct hd_conn *conn)
{
	size_t input_bytes = hd_input_bytes(conn);

	if (!hd_check_head(conn, input_bytes))
		return false;
	if (!conn->head_bytes ||
	    input_bytes - conn->head_bytes <= conn->server->limits.body_bytes)
		return true;
	hd_refuse(conn, HD_BODY_LARGE);
	return false;
}

/*
 * HTTP/2 has no open stream whose request is not whole: what was received before is
 * held no more, or by handlers, which count it themselves.
 */
static void hd_recount_http2(struct hd_conn *conn)
{
	const h2o_http2_conn_t *http2 = conn->sock->data;

	if (http2->num_streams.pull.open ==
		    http2->num_streams.pull.half_closed &&
	    !http2->_headers_unparsed)
		conn->received_bytes = 0;
	hd_count(conn, conn->received_bytes);
}

static void hd_match_preface(struct hd_conn *conn, const char *data,
			     size_t bytes)
{
	size_t all = strlen(hd_preface);

	for (size_t i = 0; i < bytes && conn->preface_bytes < all; i++) {
		if (data[i] != hd_preface[conn->preface_bytes]) {
			conn->preface_bytes = SIZE_MAX;
			return;
		}
		conn->preface_bytes++;
	}
}

/* Whether the connection speaks HTTP/2 from now on. */
static bool hd_detect_http2(const struct hd_conn *conn)
{
	h2o_iovec_t protocol = { 0 };
	const h2o_conn_t *library_conn = conn->sock->data;

	if (!conn->tls)
		return conn->preface_bytes == strlen(hd_preface);
	/* During the handshake, the data are those of h2o_accept. */
	if (conn->sock->ssl && library_conn->ctx == &conn->server->context)
		protocol = h2o_socket_ssl_get_selected_protocol(conn->sock);
	return protocol.len >= 2 && !memcmp(protocol.base, "h2", 2);
}

static void hd_note_bytes(struct hd_conn *conn, size_t bytes)
{
	uint64_t now_ms = uv_now(conn->server->loop);

	conn->received_bytes += bytes;
	conn->last_byte_ms = now_ms;
	if (!conn->begin_ms)
		conn->begin_ms = now_ms;
	if (conn->received_bytes < conn->progress_bytes + HD_PROGRESS_BYTES)
		return;
	conn->progress_bytes = conn->received_bytes;
	conn->progress_ms = now_ms;
}

/* h2o collects a head in as many frames as come. */
static bool hd_is_http2_head_large(const struct hd_conn *conn)
{
	const h2o_http2_conn_t *http2 = conn->sock->data;

	return http2->_headers_unparsed &&
	       http2->_headers_unparsed->size > conn->server->limits.head_bytes;
}

static void hd_judge(struct hd_conn *conn)
{
	if (conn->http2 && hd_is_http2_head_large(conn)) {
		hd_note_refusal(conn->server, HD_HEAD_LARGE);
		hd_count(conn, 0);
		hd_end_conn(conn);
		return;
	}
	if (conn->http2) {
		hd_recount_http2(conn);
	} else {
		hd_count(conn, hd_input_bytes(conn));
		/* So far, bytes of TLS only. */
		if (!conn->counted_bytes)
			conn->begin_ms = 0;
		if (!conn->in_service && !hd_check_size(conn))
			return;
	}
	hd_keep_budget(conn->server);
}

static void hd_unwatch(struct hd_conn *conn)
{
	if (conn->unwatched)
		return;
	conn->unwatched = true;
	conn->next_unwatched = conn->server->unwatched;
	conn->server->unwatched = conn;
}

static void hd_on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct hd_conn *conn = (struct hd_conn *)stream;
	struct hd_server *server = conn->server;

	if (conn->draining && nread >= 0)
		return;
	if (nread > 0) {
		if (!conn->tls && !conn->http2)
			hd_match_preface(conn, buf->base, (size_t)nread);
		hd_note_bytes(conn, (size_t)nread);
	}
	/*
	 * h2o would answer a bad head itself and close with bytes unread, which resets
	 * the connection. Those of TLS cannot be seen before.
	 */
	if (nread > 0 && !conn->tls && !conn->http2 &&
	    conn->preface_bytes == SIZE_MAX &&
	    !hd_check_head(conn, hd_input_bytes(conn) + (size_t)nread))
		return;
	if (conn->http2)
		server->conf.max_request_entity_size =
			server->limits.body_bytes;
	conn->library_read(stream, nread, buf);
	server->conf.max_request_entity_size = HD_NO_LIMIT;
	if (!conn->sock || nread <= 0)
		return;
	hd_watch(conn);
	conn->http2 |= hd_detect_http2(conn);
	/* h2o does not read while it answers, and while it says "100 Continue". */
	if (uv_is_active((uv_handle_t *)stream) || conn->in_service)
		hd_judge(conn);
	else
		hd_unwatch(conn);
}

void hd_watch(struct hd_conn *conn)
{
	uv_tcp_t *tcp = &conn->tcp;

	if (!conn->server->has_limits || !uv_is_active((uv_handle_t *)tcp) ||
	    !tcp->read_cb || tcp->read_cb == hd_on_read)
		return;
	/* The library has others for TLS. */
	conn->library_alloc = tcp->alloc_cb;
	conn->library_read = tcp->read_cb;
	tcp->alloc_cb = hd_on_alloc;
	tcp->read_cb = hd_on_read;
}

void hd_request_begun(struct hd_conn *conn)
{
	if (!conn->server->has_limits || conn->http2)
		return;
	conn->in_service = true;
	hd_unwatch(conn);
}

void hd_accepted(struct hd_conn *conn)
{
	conn->in_service = true; /* until h2o reads */
	if (conn->server->has_limits)
		hd_unwatch(conn);
}

/* h2o reads again from a connection. */
static void hd_watch_again(struct hd_conn *conn)
{
	hd_watch(conn);
	conn->unwatched = false;
	if (conn->in_service) {
		hd_reset_request(conn);
		hd_shrink_input(conn);
	}
	if (!conn->draining)
		hd_judge(conn);
}

static void hd_on_prepare(uv_prepare_t *prepare)
{
	struct hd_server *server = prepare->data;
	struct hd_conn **link = &server->unwatched;

	while (*link) {
		struct hd_conn *conn = *link;

		if (conn->sock && !uv_is_active((uv_handle_t *)&conn->tcp)) {
			link = &conn->next_unwatched;
			continue;
		}
		*link = conn->next_unwatched;
		if (conn->sock)
			hd_watch_again(conn);
		else
			conn->unwatched = false;
	}
}

static bool hd_is_too_slow(const struct hd_conn *conn, uint64_t now_ms)
{
	const struct hd_limits *limits = &conn->server->limits;
	uint64_t age_ms = now_ms - conn->begin_ms;

	if (!conn->head_bytes)
		return age_ms > limits->head_timeout_ms;
	/* Slower than one byte in a millisecond, after a while. */
	return now_ms - conn->last_byte_ms > limits->idle_timeout_ms ||
	       age_ms > (uint64_t)limits->idle_timeout_ms * HD_SLOW_FACTOR +
				conn->counted_bytes;
}

static void hd_sweep_http2(struct hd_conn *conn, uint64_t now_ms)
{
	struct hd_server *server = conn->server;

	/* h2o is closing it, and waits for a write. */
	if (!conn->paused && !uv_is_active((uv_handle_t *)&conn->tcp))
		return;
	hd_recount_http2(conn);
	/* h2o itself closes a connection without streams. */
	if (now_ms - conn->last_byte_ms > server->limits.idle_timeout_ms &&
	    conn->counted_bytes && hd_is_idle_http2(conn)) {
		hd_note_refusal(conn->server, HD_SLOW);
		hd_count(conn, 0);
		hd_end_conn(conn);
		return;
	}
	if (!conn->paused || hd_is_used_up(server->budget))
		return;
	conn->paused = false;
	uv_read_start((uv_stream_t *)&conn->tcp, hd_on_alloc, hd_on_read);
}

static void hd_sweep_conn(struct hd_conn *conn, uint64_t now_ms)
{
	if (conn->draining) {
		hd_write_refusal(conn);
		if (now_ms - conn->begin_ms > HD_DRAIN_MS)
			hd_end_conn(conn);
	} else if (conn->http2) {
		hd_sweep_http2(conn, now_ms);
	} else if (conn->begin_ms && hd_is_too_slow(conn, now_ms)) {
		hd_refuse(conn, HD_SLOW);
	} else if (!conn->begin_ms &&
		   now_ms - conn->last_byte_ms >
			   conn->server->limits.idle_timeout_ms) {
		hd_end_conn(conn);
	}
}

static void hd_on_sweep(uv_timer_t *timer)
{
	struct hd_server *server = timer->data;
	uint64_t now_ms = uv_now(server->loop);
	uint64_t late_ms = now_ms - server->last_sweep_ms;

	server->last_sweep_ms = now_ms;
	/* After the loop was blocked, what came meanwhile is read first. */
	if (late_ms > HD_LATE_SWEEP_MS)
		return;
	/* h2o frees a connection later, so the list stays as it is. */
	for (struct hd_conn *c = server->conns; c; c = c->next)
		if (c->sock && c->library_read && !c->unwatched &&
		    !c->in_service) {
			/* At the end of a handshake, h2o may read anew. */
			hd_watch(c);
			hd_sweep_conn(c, now_ms);
		}
	hd_keep_budget(server);
	hd_log_refusals(server, now_ms);
}

void hd_conn_ended(struct hd_conn *conn)
{
	struct hd_conn **link = &conn->server->unwatched;

	while (conn->unwatched && *link && *link != conn)
		link = &(*link)->next_unwatched;
	if (conn->unwatched && *link)
		*link = conn->next_unwatched;
	hd_count(conn, 0);
	g_free(conn->refusal);
}

void hd_set_limits(struct hd_server *server, const struct hd_limits *limits)
{
	server->limits = *limits;
}

void hd_use_limits(struct hd_server *server, struct hd_budget *budget)
{
	const struct hd_limits limits = HD_DEFAULT_LIMITS;

	server->has_limits = true;
	server->budget = budget;
	hd_set_limits(server, &limits);
	server->conf.max_request_entity_size = HD_NO_LIMIT;
	/* Hosts have no disk, and what is held counts against their memory. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	/* The idle timeout of the limits takes the place of h2o's. */
	server->context.http1.req_timeout.timeout = HD_LIBRARY_TIMEOUT_MS;
	uv_prepare_init(server->loop, &server->prepare);
	server->prepare.data = server;
	uv_prepare_start(&server->prepare, hd_on_prepare);
	uv_unref((uv_handle_t *)&server->prepare);
	uv_timer_init(server->loop, &server->sweep);
	server->sweep.data = server;
	uv_timer_start(&server->sweep, hd_on_sweep, HD_SWEEP_MS, HD_SWEEP_MS);
	uv_unref((uv_handle_t *)&server->sweep);
}

void hd_intake_close(struct hd_server *server)
{
	if (!server->has_limits)
		return;
	uv_close((uv_handle_t *)&server->prepare, NULL);
	uv_close((uv_handle_t *)&server->sweep, NULL);
}
