#include "http/httpd_conn.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/ssl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/json_text.h"

enum { HD_BACKLOG = 1024 };
enum { HD_STALL_MS = 500 };

struct hd_handler {
	h2o_handler_t super;
	struct hd_server *server;
};

struct hd_conn *hd_conn_of(const h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	return sock->on_close.data;
}

bool hd_is_field(const char *line, size_t bytes, const char *name)
{
	size_t len = strlen(name);

	return bytes > len && line[len] == ':' &&
	       !g_ascii_strncasecmp(line, name, len);
}

/*
 * Refuses requests with several length headers, against request smuggling: h2o
 * uses the first one, while another program on the path may use the last one
 * and see a different request. h2o keeps the head at the start of the input
 * buffer until the request is over.
 */
static enum st_kind hd_check_http1(const h2o_socket_t *sock, size_t max_bytes)
{
	const char *line = sock->input->bytes;
	const char *end = line + sock->input->size;
	const char *stop;
	uint32_t lengths = 0;
	bool begun = false;

	while ((stop = memchr(line, '\n', (size_t)(end - line)))) {
		size_t bytes = (size_t)(stop - line);

		if (bytes && line[bytes - 1] == '\r')
			bytes--;
		if (!bytes && begun)
			break;
		begun |= bytes > 0;
		lengths += hd_is_field(line, bytes, "content-length") ||
			   hd_is_field(line, bytes, "transfer-encoding");
		line = stop + 1;
	}
	if (lengths > 1)
		return ST_INVALID;
	if ((size_t)(line - sock->input->bytes) > max_bytes)
		return ST_TOO_LARGE;
	return ST_OK;
}

static enum st_kind hd_check_http2(const h2o_req_t *req, size_t max_bytes)
{
	size_t bytes = req->path.len;

	for (size_t i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len;
	return bytes > max_bytes ? ST_TOO_LARGE : ST_OK;
}

/* HTTP/2 allows arbitrary bytes in the method and the path. */
static bool hd_is_visible(h2o_iovec_t text)
{
	for (size_t i = 0; i < text.len; i++)
		if (!g_ascii_isgraph(text.base[i]) && !(text.base[i] & 0x80))
			return false;
	return text.len > 0;
}

static enum st_kind hd_check_request(struct hd_conn *conn, const h2o_req_t *req)
{
	const struct hd_limits *limits = &conn->server->limits;

	if (!hd_is_visible(req->method) || !hd_is_visible(req->path))
		return ST_INVALID;
	if (req->entity.len > limits->body_bytes)
		return ST_TOO_LARGE;
	conn->http2 = hd_is_http2(req);
	return conn->http2 ? hd_check_http2(req, limits->head_bytes) :
			     hd_check_http1(conn->sock, limits->head_bytes);
}

static int hd_on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct hd_server *server = ((struct hd_handler *)self)->server;
	struct hd_conn *conn = hd_conn_of(req);
	enum st_kind kind = hd_check_request(conn, req);
	struct st_status status;

	hd_request_begun(conn);
	if (kind == ST_OK) {
		server->handle(server->ctx, req);
		return 0;
	}
	st_set(&status, kind, "%s",
	       kind == ST_TOO_LARGE ?
		       "the head or body of the request is too large" :
		       "the length, method or path of the request is ambiguous");
	req->http1_is_persistent = 0;
	hd_add_header(req, "x-request-outcome", "not-run", strlen("not-run"));
	hd_reply_status(req, &status);
	return 0;
}

static void hd_conn_closed(uv_handle_t *handle)
{
	struct hd_conn *conn = (struct hd_conn *)handle;

	*conn->prev_next = conn->next;
	if (conn->next)
		conn->next->prev_next = conn->prev_next;
	conn->server->connections--;
	hd_conn_ended(conn);
	SSL_CTX_free(conn->tls);
	g_free(conn);
}

static void hd_sock_closed(void *data)
{
	struct hd_conn *conn = data;

	conn->sock = NULL;
}

static struct hd_conn *hd_conn_new(struct hd_server *server)
{
	struct hd_conn *conn = g_new0(struct hd_conn, 1);

	conn->server = server;
	conn->next = server->conns;
	conn->prev_next = &server->conns;
	if (conn->next)
		conn->next->prev_next = &conn->next;
	server->conns = conn;
	server->connections++;
	uv_tcp_init(server->loop, &conn->tcp);
	return conn;
}

static void hd_on_accept(uv_stream_t *listener, int error)
{
	struct hd_server *server = listener->data;
	struct hd_conn *conn;

	if (error)
		return;
	conn = hd_conn_new(server);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) ||
	    server->connections > server->max_connections) {
		uv_close((uv_handle_t *)&conn->tcp, hd_conn_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->sock =
		h2o_uv_socket_create((uv_stream_t *)&conn->tcp, hd_conn_closed);
	conn->sock->on_close.cb = hd_sock_closed;
	conn->sock->on_close.data = conn;
	conn->tls = server->accept.ssl_ctx;
	if (conn->tls)
		SSL_CTX_up_ref(conn->tls);
	hd_accepted(conn);
	h2o_accept(&server->accept, conn->sock);
}

/*
 * The library frames an HTTP/1.1 answer without a length in chunks only if its status
 * is 200. Any other would end with its connection, so that a broken one would look
 * whole. So the library sees 200 while it decides on the framing.
 */
static void hd_on_setup_ostream(h2o_filter_t *self, h2o_req_t *req,
				h2o_ostream_t **slot)
{
	int status = req->res.status;

	if (status >= 200 && status != 204 && status != 304)
		req->res.status = 200;
	h2o_setup_next_ostream(req, slot);
	req->res.status = status;
}

static void hd_configure(struct hd_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct hd_handler *handler;

	h2o_config_init(&server->conf);
	server->conf.max_request_entity_size = HD_MAX_BODY_BYTES;
	server->conf.server_name = h2o_iovec_init(H2O_STRLIT("jackdawworks"));
	host = h2o_config_register_host(
		&server->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	/* Runs before the filters that are there already. */
	h2o_create_filter(path, sizeof(h2o_filter_t))->on_setup_ostream =
		hd_on_setup_ostream;
	handler =
		(struct hd_handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = hd_on_req;
	handler->server = server;
}

enum st_kind hd_init(struct hd_server *server, uv_loop_t *loop,
		     const struct nt_address *address,
		     void (*handle)(void *ctx, h2o_req_t *req), void *ctx,
		     struct st_status *status)
{
	int error;

	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->handle = handle;
	server->ctx = ctx;
	server->max_connections = HD_MAX_CONNECTIONS;
	server->limits = (struct hd_limits)HD_DEFAULT_LIMITS;
	hd_configure(server);
	h2o_context_init(&server->context, loop, &server->conf);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->conf.hosts;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	error = uv_tcp_bind(&server->listener,
			    (const struct sockaddr *)&address->addr, 0);
	if (!error)
		error = uv_listen((uv_stream_t *)&server->listener, HD_BACKLOG,
				  hd_on_accept);
	server->listening = !error;
	if (error)
		return st_set(status, ST_IO, "cannot listen on %s: %s",
			      address->text, uv_strerror(error));
	return ST_OK;
}

void hd_announce_stop(struct hd_server *server)
{
	h2o_context_request_shutdown(&server->context);
}

void hd_stop_listening(struct hd_server *server)
{
	if (!server->listening)
		return;
	server->listening = false;
	uv_close((uv_handle_t *)&server->listener, NULL);
	hd_announce_stop(server);
}

/* Data that the socket has already received is still read before EOF. */
static void hd_shut_read(struct hd_conn *conn)
{
	conn->read_shut = true;
	shutdown(h2o_socket_get_fd(conn->sock), SHUT_RD);
}

void hd_close_idle(struct hd_server *server)
{
	for (struct hd_conn *c = server->conns; c; c = c->next)
		if (c->sock && !c->http2 && !c->read_shut &&
		    !c->sock->input->size)
			hd_shut_read(c);
}

void hd_close_all(struct hd_server *server)
{
	for (struct hd_conn *c = server->conns; c; c = c->next)
		if (c->sock)
			shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
}

void hd_free(struct hd_server *server)
{
	hd_intake_close(server);
	/* h2o sends HTTP/2 callers a second GOAWAY later; it may be pending. */
	h2o_timeout_unlink(&server->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&server->context);
	h2o_config_dispose(&server->conf);
}

h2o_iovec_t hd_header(h2o_req_t *req, const char *name)
{
	ssize_t i =
		h2o_find_header_by_str(&req->headers, name, strlen(name), -1);

	if (i < 0)
		return h2o_iovec_init(NULL, 0);
	return req->headers.entries[i].value;
}

bool hd_path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
			 path, strlen(path));
}

bool hd_method_is(const h2o_req_t *req, const char *method)
{
	return h2o_memis(req->method.base, req->method.len, method,
			 strlen(method));
}

char *hd_query(const h2o_req_t *req, const char *name)
{
	char *query;
	char **parts;
	char *value = NULL;
	size_t len = strlen(name);

	if (req->query_at == SIZE_MAX)
		return NULL;
	query = g_strndup(req->path.base + req->query_at + 1,
			  req->path.len - req->query_at - 1);
	parts = g_strsplit(query, "&", 0);
	for (char **p = parts; *p && !value; p++)
		if (!strncmp(*p, name, len) && (*p)[len] == '=')
			value = g_uri_unescape_string(*p + len + 1, NULL);
	g_strfreev(parts);
	g_free(query);
	return value;
}

uint64_t hd_query_number(const h2o_req_t *req, const char *name)
{
	char *text = hd_query(req, name);
	uint64_t value = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	g_free(text);
	return value;
}

void hd_add_header(h2o_req_t *req, const char *name, const char *value,
		   size_t value_bytes)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, value_bytes);
	h2o_iovec_t key = h2o_strdup(&req->pool, name, strlen(name));

	h2o_add_header_by_str(&req->pool, &req->res.headers, key.base, key.len,
			      1, NULL, copy.base, copy.len);
}

void hd_request_ref_release(struct hd_request_ref *ref)
{
	if (!--ref->refs)
		g_free(ref);
}

static void hd_on_dropped(void *ptr)
{
	struct hd_request_ref **link = ptr;

	(*link)->req = NULL;
	hd_request_ref_release(*link);
}

struct hd_request_ref *hd_request_ref_new(h2o_req_t *req)
{
	struct hd_request_ref *ref = g_new0(struct hd_request_ref, 1);
	struct hd_request_ref **link =
		h2o_mem_alloc_shared(&req->pool, sizeof(*link), hd_on_dropped);

	ref->req = req;
	ref->refs = 2;
	*link = ref;
	return ref;
}

static bool hd_get_tcp_info(const struct hd_conn *conn, struct tcp_info *info)
{
	socklen_t bytes = sizeof(*info);

	return !getsockopt(h2o_socket_get_fd(conn->sock), IPPROTO_TCP, TCP_INFO,
			   info, &bytes);
}

bool hd_peer_closed(h2o_req_t *req)
{
	struct hd_conn *conn = hd_conn_of(req);
	struct tcp_info info;

	return !conn->http2 && hd_get_tcp_info(conn, &info) &&
	       info.tcpi_state != TCP_ESTABLISHED;
}

bool hd_is_stalled(h2o_req_t *req)
{
	struct hd_conn *conn = hd_conn_of(req);
	struct tcp_info info;
	int waiting_bytes = 0;

	ioctl(h2o_socket_get_fd(conn->sock), SIOCOUTQ, &waiting_bytes);
	return waiting_bytes > 0 && hd_get_tcp_info(conn, &info) &&
	       info.tcpi_last_data_sent >= HD_STALL_MS;
}

bool hd_ends_with_connection(const h2o_req_t *req)
{
	return req->version < 0x101 && req->res.content_length == SIZE_MAX;
}

static void hd_set_reset_on_close(h2o_req_t *req, bool reset)
{
	struct hd_conn *conn = hd_conn_of(req);
	struct linger linger = { .l_onoff = reset };

	if (!conn->http2)
		setsockopt(h2o_socket_get_fd(conn->sock), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
}

void hd_begin_unframed(h2o_req_t *req)
{
	req->http1_is_persistent = 0;
	hd_set_reset_on_close(req, true);
}

void hd_end_unframed(h2o_req_t *req)
{
	hd_set_reset_on_close(req, false);
}

/* Resets the connection now; what h2o writes on it after that fails. */
static void hd_reset(struct hd_conn *conn)
{
	struct sockaddr none = { .sa_family = AF_UNSPEC };

	if (connect(h2o_socket_get_fd(conn->sock), &none, sizeof(none)))
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
}

void hd_close_unfinished(h2o_req_t *req)
{
	struct hd_conn *conn = hd_conn_of(req);

	if (!conn->http2)
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
}

void hd_break_unframed(h2o_req_t *req)
{
	struct hd_conn *conn = hd_conn_of(req);

	if (conn->tls)
		hd_reset(conn);
}

bool hd_is_http2(const h2o_req_t *req)
{
	return req->version >= 0x200;
}

void hd_abort_connection(h2o_req_t *req)
{
	hd_reset(hd_conn_of(req));
}

bool hd_same_secret(const char *given, size_t given_bytes, const char *secret)
{
	return given_bytes == strlen(secret) &&
	       !CRYPTO_memcmp(given, secret, given_bytes);
}

void hd_reply(h2o_req_t *req, int status, const char *content_type,
	      const char *body, size_t body_bytes)
{
	static h2o_generator_t generator;
	bool head = hd_method_is(req, "HEAD");
	h2o_iovec_t buf = h2o_strdup(&req->pool, body, body_bytes);

	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	req->res.content_length = body_bytes;
	hd_add_header(req, "content-type", content_type, strlen(content_type));
	h2o_start_response(req, &generator);
	h2o_send(req, &buf, head ? 0 : 1, H2O_SEND_STATE_FINAL);
}

void hd_reply_status(h2o_req_t *req, const struct st_status *status)
{
	json_t *object = json_pack("{s:s, s:o}", "error", st_name(status->kind),
				   "message", jt_string(status->msg));
	char *text = jt_dump(object);

	hd_reply(req, st_http_status(status->kind), "application/json", text,
		 strlen(text));
	free(text);
	json_decref(object);
}
