#include "http/httpc.h"

#include <string.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/mechanism.h"
#include "http/tls_stream.h"

enum { HC_DEFAULT_IDLE_US = 20 * 1000 * 1000 };

struct hc_conn {
	struct hc_pool *pool;
	struct hc_conn *next_idle;
	struct hc_conn *next;
	struct hc_conn **prev_next;
	struct hc_request *request; /* NULL when idle or closing */
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	GString *out;
	struct hc_reader reader;
	bool connected;
	bool writing;
	bool write_failed; /* the write has taken the error from the socket */
	bool skipping; /* the answer being read belongs to another request */
	uint64_t skipped_bytes; /* read before the head of the answer */
	bool closing;
	bool reading;
	bool heard; /* bytes have come on it */
	uint64_t idle_since_us;
	struct tm_sub connect_timer;
	struct ts_stream tls; /* in use when its SSL is set */
};

/* A write of TLS protocol data, such as the handshake, without a request. */
struct hc_tls_write {
	uv_write_t write;
	GString *bytes;
};

static void hc_conn_read(uv_stream_t *stream, ssize_t nread,
			 const uv_buf_t *buf);
static bool hc_conn_send(struct hc_conn *conn);

/*
 * Shared by all connections: the process has one loop, and the data of a read
 * is parsed before the next read starts.
 */
static char hc_read_buffer[HC_READ_BYTES];

static void hc_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	const struct hc_conn *conn = handle->data;
	uint32_t bytes = conn->request ? conn->request->max_read_bytes : 0;

	if (!bytes || bytes > sizeof(hc_read_buffer))
		bytes = sizeof(hc_read_buffer);
	*buf = uv_buf_init(hc_read_buffer, bytes);
}

static void hc_pool_check_closed(struct hc_pool *pool)
{
	if (pool->closing && !pool->conns && pool->closed)
		pool->closed(pool->ctx);
}

static void hc_conn_closed(uv_handle_t *handle)
{
	struct hc_conn *conn = handle->data;
	struct hc_pool *pool = conn->pool;

	*conn->prev_next = conn->next;
	if (conn->next)
		conn->next->prev_next = conn->prev_next;
	if (conn->out)
		g_string_free(conn->out, TRUE);
	hc_reader_finish(&conn->reader);
	ts_free(&conn->tls);
	g_free(conn);
	hc_pool_check_closed(pool);
}

static void hc_idle_remove(struct hc_conn *conn)
{
	struct hc_conn **p = &conn->pool->idle;

	while (*p && *p != conn)
		p = &(*p)->next_idle;
	if (*p)
		*p = conn->next_idle;
	conn->next_idle = NULL;
}

static void hc_conn_close(struct hc_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	conn->pool->open_count--;
	if (conn->connect_timer.slot)
		tm_cancel(conn->pool->timers, &conn->connect_timer);
	if (conn->request)
		conn->request->conn = NULL;
	conn->request = NULL;
	hc_idle_remove(conn);
	uv_close((uv_handle_t *)&conn->tcp, hc_conn_closed);
}

static void hc_observe_failure(struct hc_conn *conn)
{
	const struct hc_observer *observer = conn->pool->observer;
	const struct hc_request *request = conn->request;

	if (!observer || !request)
		return;
	if (request->state == HC_SENT ||
	    (request->state == HC_CONNECTING && !conn->connected))
		observer->failed(observer->ctx, conn->pool, !conn->heard);
}

static void hc_observe_bytes(struct hc_conn *conn)
{
	const struct hc_observer *observer = conn->pool->observer;
	bool first = !conn->heard;

	conn->heard = true;
	if (observer)
		observer->heard(observer->ctx, conn->pool, first);
}

/* Closes a connection that failed and ends its request. */
static void hc_conn_fail(struct hc_conn *conn, const char *msg)
{
	struct hc_request *request = conn->request;
	enum hc_end end = HC_NOT_SENT;

	hc_observe_failure(conn);
	hc_conn_close(conn);
	if (!request)
		return;
	if (request->state == HC_SENT)
		end = HC_NO_ANSWER;
	else if (request->state == HC_ANSWER_BEGUN)
		end = HC_BROKEN;
	request->state = HC_DONE;
	request->handler->done(request, end, msg);
}

/* Whether the request was not ended by its callback. */
static bool hc_runs(const struct hc_conn *conn)
{
	return conn->request != NULL;
}

static bool hc_on_head(void *ctx, const struct hc_head *head)
{
	struct hc_conn *conn = ctx;
	struct hc_request *request = conn->request;

	if (request->handler->accept &&
	    !request->handler->accept(request, head)) {
		ct_add(CT_LATE, 1);
		conn->skipping = true;
		return true;
	}
	request->state = HC_ANSWER_BEGUN;
	if (request->handler->head)
		request->handler->head(request, head);
	return hc_runs(conn);
}

static bool hc_on_body(void *ctx, const char *data, size_t data_bytes)
{
	struct hc_conn *conn = ctx;
	struct hc_request *request = conn->request;

	if (!conn->skipping && request->handler->body)
		request->handler->body(request, data, data_bytes);
	return hc_runs(conn);
}

static const struct hc_reader_handler hc_reader_handler = {
	.head = hc_on_head,
	.body = hc_on_body,
};

static void hc_conn_begin_answer(struct hc_conn *conn)
{
	conn->skipping = false;
	hc_reader_begin(&conn->reader, conn->request->head_method,
			conn->request->may_end_with_close);
}

static void hc_conn_start_reading(struct hc_conn *conn)
{
	if (!conn->reading)
		uv_read_start((uv_stream_t *)&conn->tcp, hc_alloc,
			      hc_conn_read);
	conn->reading = true;
}

static void hc_conn_release(struct hc_conn *conn, bool reusable)
{
	struct hc_pool *pool = conn->pool;

	conn->request->conn = NULL;
	conn->request = NULL;
	if (!reusable || pool->closing) {
		hc_conn_close(conn);
		return;
	}
	conn->idle_since_us = tm_now_us();
	conn->next_idle = pool->idle;
	pool->idle = conn;
	hc_conn_start_reading(conn);
}

static void hc_conn_complete(struct hc_conn *conn, bool unparsed_data)
{
	struct hc_request *request = conn->request;
	bool keep = hc_reader_keeps_connection(&conn->reader) &&
		    !request->close_after;

	request->state = HC_DONE;
	hc_conn_release(conn, keep && !unparsed_data && !conn->writing);
	request->handler->done(request, HC_COMPLETE, "");
}

/*
 * Counts bytes read before the head of the answer. Returns false when there are
 * too many: a faulty server may send bytes without end that are no answer.
 */
static bool hc_count_skipped(struct hc_conn *conn, size_t len)
{
	if (conn->request->state == HC_SENT)
		conn->skipped_bytes += len;
	return conn->skipped_bytes <= HC_MAX_SKIPPED_BYTES;
}

static void hc_conn_parse(struct hc_conn *conn, const char *data, size_t len)
{
	struct hc_reader *reader = &conn->reader;
	size_t used = hc_reader_feed(reader, data, len);

	while (!conn->closing && conn->skipping &&
	       reader->state == HC_READ_COMPLETE) {
		hc_conn_begin_answer(conn);
		used += hc_reader_feed(reader, data + used, len - used);
	}
	if (conn->closing)
		return;
	if (reader->state == HC_READ_COMPLETE)
		hc_conn_complete(conn, used < len);
	else if (reader->state == HC_READ_FAILED)
		hc_conn_fail(conn, reader->error);
	else if (!hc_count_skipped(conn, len))
		hc_conn_fail(conn, "too many bytes before the answer");
	else if (conn->request->handler->read_end)
		conn->request->handler->read_end(conn->request);
}

static void hc_tls_write_done(uv_write_t *write, int error)
{
	struct hc_tls_write *tls_write = (struct hc_tls_write *)write;

	g_string_free(tls_write->bytes, TRUE);
	g_free(tls_write);
}

/* Sends pending output of the TLS stream that belongs to no request. */
static void hc_conn_write_tls_output(struct hc_conn *conn)
{
	GString *bytes = ts_take_output(&conn->tls);
	struct hc_tls_write *tls_write;
	uv_buf_t buf;

	if (!bytes)
		return;
	tls_write = g_new0(struct hc_tls_write, 1);
	tls_write->bytes = bytes;
	buf = uv_buf_init(bytes->str, (unsigned)bytes->len);
	if (uv_write(&tls_write->write, (uv_stream_t *)&conn->tcp, &buf, 1,
		     hc_tls_write_done))
		hc_tls_write_done(&tls_write->write, 0);
}

/* Sends the request on a new connection, if it is still wanted. */
static void hc_conn_send_first(struct hc_conn *conn)
{
	struct hc_request *request = conn->request;

	if (request->handler->may_send && !request->handler->may_send(request))
		hc_conn_fail(conn, "no longer to be sent");
	else if (!hc_conn_send(conn))
		hc_conn_fail(conn, "the request cannot be written");
}

static void hc_conn_handshake(struct hc_conn *conn)
{
	const char *msg = "";
	bool ok = ts_handshake(&conn->tls, &msg);

	hc_conn_write_tls_output(conn);
	if (!ok)
		hc_conn_fail(conn, msg);
	else if (conn->tls.established)
		hc_conn_send_first(conn);
}

/* The end that TLS tells may be that of the answer. */
static void hc_conn_end_tls(struct hc_conn *conn)
{
	if (conn->tls.ended && conn->request &&
	    conn->request->state == HC_ANSWER_BEGUN)
		hc_reader_end(&conn->reader);
	if (conn->request && conn->reader.state == HC_READ_COMPLETE)
		hc_conn_complete(conn, true);
	else
		hc_conn_fail(conn, "TLS connection was closed or failed");
}

static void hc_conn_decrypt(struct hc_conn *conn)
{
	static char plain[HC_READ_BYTES];
	int got;

	while (!conn->closing &&
	       (got = ts_read(&conn->tls, plain, sizeof(plain))) != 0) {
		if (got < 0 || !conn->request) {
			hc_conn_end_tls(conn);
			return;
		}
		hc_conn_parse(conn, plain, (size_t)got);
	}
	if (!conn->closing)
		hc_conn_write_tls_output(conn);
}

static void hc_conn_read_tls(struct hc_conn *conn, const char *data, size_t len)
{
	ts_feed(&conn->tls, data, len);
	if (!conn->tls.established)
		hc_conn_handshake(conn);
	if (!conn->closing && conn->tls.established)
		hc_conn_decrypt(conn);
}

/*
 * Whether the connection that reading reports EOF for was closed, and not reset. The
 * system tells one call of a reset and reports EOF from then on: a write that failed has
 * been told, or the error is still pending on the socket. TLS tells its end itself.
 */
static bool hc_ended_in_order(struct hc_conn *conn)
{
	uv_os_fd_t fd;
	int error = 0;
	socklen_t bytes = sizeof(error);

	return !conn->tls.ssl && !conn->write_failed &&
	       !uv_fileno((uv_handle_t *)&conn->tcp, &fd) &&
	       !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &bytes) && !error;
}

static void hc_conn_read(uv_stream_t *stream, ssize_t nread,
			 const uv_buf_t *buf)
{
	struct hc_conn *conn = stream->data;

	if (conn->closing || !nread)
		return;
	if (nread > 0)
		hc_observe_bytes(conn);
	if (conn->tls.ssl && nread > 0) {
		hc_conn_read_tls(conn, buf->base, (size_t)nread);
		return;
	}
	/*
	 * An idle connection is closed on EOF, on an error and on data, which
	 * can only be a late answer.
	 */
	if (!conn->request) {
		if (nread > 0)
			ct_add(CT_LATE, 1);
		hc_conn_close(conn);
		return;
	}
	if (nread == UV_EOF && conn->request->state == HC_ANSWER_BEGUN &&
	    hc_ended_in_order(conn))
		hc_reader_end(&conn->reader);
	if (conn->reader.state == HC_READ_COMPLETE)
		hc_conn_complete(conn, true);
	else if (nread < 0)
		hc_conn_fail(conn, uv_strerror((int)nread));
	else
		hc_conn_parse(conn, buf->base, (size_t)nread);
}

static void hc_conn_written(uv_write_t *write, int error)
{
	struct hc_conn *conn = write->data;

	conn->writing = false;
	if (conn->closing)
		return;
	g_string_free(conn->out, TRUE);
	conn->out = NULL;
	/*
	 * With a request the connection stays open after an error: an answer
	 * may still be readable, and the read callback reports the failure.
	 */
	conn->write_failed = error != 0;
	if (error && !conn->request)
		hc_conn_close(conn);
}

/* Replaces the plaintext of the request in conn->out by TLS records. */
static bool hc_conn_encrypt(struct hc_conn *conn)
{
	GString *plain = conn->out;
	const struct hc_request *request = conn->request;
	bool ok = ts_write(&conn->tls, plain->str, plain->len) &&
		  (!request->body_bytes ||
		   ts_write(&conn->tls, request->body, request->body_bytes));

	conn->out = ok ? ts_take_output(&conn->tls) : NULL;
	if (!conn->out) {
		conn->out = plain;
		return false;
	}
	g_string_free(plain, TRUE);
	return true;
}

/*
 * Starts writing the request. Returns false, without a callback, when the write
 * cannot be started.
 */
static bool hc_conn_send(struct hc_conn *conn)
{
	struct hc_request *request = conn->request;
	uv_buf_t bufs[2];
	unsigned count = 1;

	if (conn->connect_timer.slot)
		tm_cancel(conn->pool->timers, &conn->connect_timer);
	if (conn->tls.ssl && !hc_conn_encrypt(conn))
		return false;
	bufs[0] = uv_buf_init(conn->out->str, (unsigned)conn->out->len);
	if (request->body_bytes && !conn->tls.ssl) {
		bufs[1].base = (char *)request->body;
		bufs[1].len = request->body_bytes;
		count = 2;
	}
	hc_conn_begin_answer(conn);
	conn->skipped_bytes = 0;
	conn->write.data = conn;
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, bufs, count,
		     hc_conn_written))
		return false;
	conn->writing = true;
	request->state = HC_SENT;
	hc_conn_start_reading(conn);
	if (request->handler->sent)
		request->handler->sent(request);
	return true;
}

static void hc_conn_start_tls(struct hc_conn *conn)
{
	char ip[INET6_ADDRSTRLEN];
	const struct sockaddr_storage *addr = &conn->pool->address.addr;

	if (addr->ss_family == AF_INET6)
		uv_ip6_name((const struct sockaddr_in6 *)addr, ip, sizeof(ip));
	else
		uv_ip4_name((const struct sockaddr_in *)addr, ip, sizeof(ip));
	if (!ts_init(&conn->tls, conn->pool->tls, ip)) {
		hc_conn_fail(conn, "TLS cannot be set up");
		return;
	}
	hc_conn_start_reading(conn);
	hc_conn_handshake(conn);
}

static void hc_conn_connected(uv_connect_t *connect, int error)
{
	struct hc_conn *conn = connect->data;

	if (conn->closing)
		return;
	if (error) {
		if (conn->request)
			conn->request->refused = error == UV_ECONNREFUSED;
		hc_conn_fail(conn, uv_strerror(error));
		return;
	}
	conn->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	if (conn->pool->tls)
		hc_conn_start_tls(conn);
	else
		hc_conn_send_first(conn);
}

static struct hc_conn *hc_conn_new(struct hc_pool *pool)
{
	struct hc_conn *conn = g_new0(struct hc_conn, 1);

	conn->pool = pool;
	hc_reader_init(&conn->reader, &hc_reader_handler, conn);
	uv_tcp_init(pool->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	conn->next = pool->conns;
	conn->prev_next = &pool->conns;
	if (pool->conns)
		pool->conns->prev_next = &conn->next;
	pool->conns = conn;
	pool->open_count++;
	return conn;
}

/*
 * The server may have closed an idle connection whose EOF the loop has not read
 * yet, so the socket is checked for EOF, errors and unexpected data.
 */
static bool hc_idle_usable(struct hc_conn *conn, uint64_t now_us)
{
	uv_os_fd_t fd;
	char byte;

	if (now_us - conn->idle_since_us > conn->pool->max_idle_us)
		return false;
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd))
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

static struct hc_conn *hc_take_idle(struct hc_pool *pool, uint64_t max_idle_us)
{
	uint64_t now_us = tm_now_us();
	struct hc_conn *conn;

	while ((conn = pool->idle)) {
		/* The list starts with the most recently used connection. */
		if (max_idle_us && now_us - conn->idle_since_us > max_idle_us)
			return NULL;
		pool->idle = conn->next_idle;
		conn->next_idle = NULL;
		if (hc_idle_usable(conn, now_us))
			return conn;
		hc_conn_close(conn);
	}
	return NULL;
}

void hc_pool_init(struct hc_pool *pool, uv_loop_t *loop,
		  const struct nt_address *address, uint32_t max_connections)
{
	memset(pool, 0, sizeof(*pool));
	pool->loop = loop;
	pool->address = *address;
	pool->max_connections = max_connections;
	pool->max_idle_us = HC_DEFAULT_IDLE_US;
}

void hc_pool_drop_idle(struct hc_pool *pool)
{
	while (pool->idle)
		hc_conn_close(pool->idle);
}

void hc_pool_close(struct hc_pool *pool, void (*closed)(void *ctx), void *ctx)
{
	pool->closing = true;
	pool->closed = closed;
	pool->ctx = ctx;
	hc_pool_drop_idle(pool);
	hc_pool_check_closed(pool);
}

void hc_pool_set_connect_timeout(struct hc_pool *pool,
				 struct tm_service *timers, uint64_t timeout_us)
{
	pool->timers = timers;
	pool->connect_timeout_us = timeout_us;
}

void hc_pool_set_tls(struct hc_pool *pool, SSL_CTX *ctx)
{
	pool->tls = ctx;
}

void hc_pool_set_limit(struct hc_pool *pool, uint32_t max_connections)
{
	pool->max_connections = max_connections;
	while (pool->open_count > max_connections && pool->idle)
		hc_conn_close(pool->idle);
}

static void hc_on_connect_timeout(void *ctx)
{
	hc_conn_fail(ctx, "connecting timed out");
}

static bool hc_connect(struct hc_conn *conn)
{
	struct hc_pool *pool = conn->pool;
	const struct sockaddr *addr =
		(const struct sockaddr *)&pool->address.addr;

	ct_add(CT_CONNECTS, 1);
	if (pool->source &&
	    uv_tcp_bind(&conn->tcp,
			(const struct sockaddr *)&pool->source->addr, 0))
		return false;
	if (uv_tcp_connect(&conn->connect, &conn->tcp, addr, hc_conn_connected))
		return false;
	conn->connect_timer.fire = hc_on_connect_timeout;
	conn->connect_timer.ctx = conn;
	conn->connect_timer.reads_first = true;
	if (pool->timers)
		tm_subscribe(pool->timers, &conn->connect_timer,
			     tm_now_us() + pool->connect_timeout_us);
	return true;
}

static bool hc_start_new(struct hc_pool *pool, struct hc_request *request,
			 GString *out)
{
	struct hc_conn *conn = NULL;

	/* At the limit, an idle connection is closed to make room. */
	if (pool->open_count >= pool->max_connections && pool->idle)
		hc_conn_close(pool->idle);
	else if (pool->open_count >= pool->max_connections)
		return false;
	conn = hc_conn_new(pool);
	conn->out = out;
	conn->request = request;
	request->conn = conn;
	request->state = HC_CONNECTING;
	if (hc_connect(conn))
		return true;
	conn->out = NULL;
	hc_conn_close(conn);
	return false;
}

bool hc_start(struct hc_pool *pool, struct hc_request *request, GString *out)
{
	struct hc_conn *conn = NULL;

	request->conn = NULL;
	request->refused = false;
	request->state = HC_NEW;
	if (!pool->closing && !request->new_connection)
		conn = hc_take_idle(pool, request->max_idle_us);
	if (conn) {
		conn->out = out;
		conn->request = request;
		request->conn = conn;
		if (hc_conn_send(conn))
			return true;
		hc_conn_close(conn);
		return false;
	}
	if (!pool->closing && hc_start_new(pool, request, out))
		return true;
	g_string_free(out, TRUE);
	return false;
}

void hc_cancel(struct hc_request *request)
{
	struct hc_conn *conn = request->conn;

	request->state = HC_DONE;
	if (!conn)
		return;
	ct_add(CT_LATE, 1);
	if (me_on(ME_CLOSE_LATE) || !conn->connected) {
		hc_conn_close(conn);
		return;
	}
	/* With ME_CLOSE_LATE off: reuse it although an answer is pending. */
	hc_conn_release(conn, true);
}

void hc_cancel_overdue(struct hc_request *request)
{
	if (request->conn)
		hc_observe_failure(request->conn);
	hc_cancel(request);
}

void hc_pause_reading(struct hc_request *request)
{
	if (!request->conn || !request->conn->reading)
		return;
	uv_read_stop((uv_stream_t *)&request->conn->tcp);
	request->conn->reading = false;
}

void hc_resume_reading(struct hc_request *request)
{
	if (request->conn)
		hc_conn_start_reading(request->conn);
}
