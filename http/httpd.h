#ifndef HTTP_HTTPD_H
#define HTTP_HTTPD_H

#include <stdbool.h>
#include <stdint.h>
#include <h2o.h>
#include <uv.h>

#include "base/net.h"
#include "base/status.h"

/*
 * HTTP/1 and HTTP/2 listener on h2o and libuv. One handler gets every request.
 */

enum {
	HD_MAX_BODY_BYTES = 4 << 20,
	HD_MAX_HEAD_BYTES = 32 * 1024,
	HD_MAX_CONNECTIONS = 4096,
	HD_DEFAULT_TIMEOUT_MS = 10 * 1000
};

/* Of one request. HTTP/1 callers that exceed one get 413 or 408. */
struct hd_limits {
	size_t head_bytes;
	size_t body_bytes;
	uint64_t
		head_timeout_ms; /* from the first byte to the end of the head */
	uint64_t idle_timeout_ms; /* between two bytes, or two requests */
};

/* Memory for requests that are being read or answered, of any number of listeners. */
struct hd_budget {
	size_t limit_bytes;
	size_t held_bytes;
};

#define HD_DEFAULT_LIMITS                                                    \
	{                                                                    \
		HD_MAX_HEAD_BYTES, HD_MAX_BODY_BYTES, HD_DEFAULT_TIMEOUT_MS, \
			HD_DEFAULT_TIMEOUT_MS                                \
	}

struct hd_server {
	h2o_globalconf_t conf;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct hd_conn *conns;
	uint32_t connections;
	uint32_t max_connections;
	bool listening;
	bool has_limits; /* hd_use_limits was called */
	struct hd_limits limits;
	struct hd_budget *budget; /* not owned; set with has_limits */
	struct hd_conn *unwatched; /* connections, see http/intake.c */
	uint32_t refused; /* since the last line of the log about it */
	const char *last_refusal;
	uint64_t next_log_ms;
	uv_prepare_t prepare;
	uv_timer_t sweep;
	uint64_t last_sweep_ms;
	void (*handle)(void *ctx, h2o_req_t *req);
	void *ctx;
};

/*
 * hd_init - listen on ADDRESS and pass every valid request to HANDLE.
 * Errors: ST_IO when binding or listening fails. Source: http/httpd.c
 */
enum st_kind hd_init(struct hd_server *server, uv_loop_t *loop,
		     const struct nt_address *address,
		     void (*handle)(void *ctx, h2o_req_t *req), void *ctx,
		     struct st_status *status);

/*
 * hd_use_limits - enforce limits while requests arrive, before the first connection:
 *	those of hd_set_limits (HD_DEFAULT_LIMITS), and BUDGET for all requests. When
 *	it is used up, the caller gives way that holds most for the longest
 *	time without progress: 503 over HTTP/1, a closed connection over HTTP/2.
 * hd_set_limits - from now on. Source: http/intake.c
 */
void hd_use_limits(struct hd_server *server, struct hd_budget *budget);
void hd_set_limits(struct hd_server *server, const struct hd_limits *limits);

/*
 * hd_stop_listening - accept no more connections and call hd_announce_stop.
 * hd_announce_stop - close HTTP/1 connections after their next answer and send
 *	HTTP/2 callers a GOAWAY.
 * hd_close_idle - close HTTP/1 connections that have no request in the input
 *	buffer. Data that the socket has already received is still read and
 *	its request served.
 * hd_close_all - shut down every connection, also during a request.
 * hd_free - release the server after hd_stop_listening, when no connection is
 *	left. The loop must run once more before the memory is freed.
 */
void hd_stop_listening(struct hd_server *server);
void hd_announce_stop(struct hd_server *server);
void hd_close_idle(struct hd_server *server);
void hd_close_all(struct hd_server *server);
void hd_free(struct hd_server *server);

/* hd_header - value of a request header, or an empty vector. */
h2o_iovec_t hd_header(h2o_req_t *req, const char *name);
bool hd_path_is(const h2o_req_t *req, const char *path);
bool hd_method_is(const h2o_req_t *req, const char *method);
/* hd_query - decoded value of a query parameter, or NULL; g_free it. */
char *hd_query(const h2o_req_t *req, const char *name);
/* hd_query_number - query parameter as a number; 0 if it is missing or none. */
uint64_t hd_query_number(const h2o_req_t *req, const char *name);
/* hd_add_header - add a header to the answer; name and value are copied. */
void hd_add_header(h2o_req_t *req, const char *name, const char *value,
		   size_t value_bytes);

/*
 * Weak reference to a request that is answered later. REQ becomes NULL when h2o
 * drops the request, for example because the other side closed its connection.
 */
struct hd_request_ref {
	h2o_req_t *req;
	uint32_t refs;
};

/*
 * hd_request_ref_new - take a reference to REQ; hd_request_ref_release gives it
 * up again.
 */
struct hd_request_ref *hd_request_ref_new(h2o_req_t *req);
void hd_request_ref_release(struct hd_request_ref *ref);

/*
 * The body of a request, held once: by the listener as long as it has the request, then
 * here.
 */
struct hd_body {
	const char *base; /* NULL: none */
	size_t bytes;
	struct hd_server *server;
	h2o_buffer_t *owned; /* NULL: the listener has it */
};

/*
 * hd_body_init - refer to the body of REQ.
 * hd_body_keep - REQ is being dropped and the body is still needed; to be called by
 *	a destructor in the pool of REQ.
 * hd_body_free - may be called without hd_body_init on zeroed memory.
 */
void hd_body_init(struct hd_body *body, h2o_req_t *req);
void hd_body_keep(struct hd_body *body, h2o_req_t *req);
void hd_body_free(struct hd_body *body);

/*
 * hd_peer_closed - whether the other side of an HTTP/1 request closed or reset
 * its connection. h2o does not read from the socket while a request is
 * processed, so it does not detect the close. The state of the connection tells
 * it, also when unread bytes wait in the socket, such as a pipelined request or
 * the end of TLS. Always false for HTTP/2, where h2o detects the close.
 */
bool hd_peer_closed(h2o_req_t *req);
/*
 * hd_ends_with_connection - whether only the end of its connection can tell an HTTP/1.0
 * caller where the answer to REQ ends.
 * hd_begin_unframed - before such an answer starts: the connection is not kept, which
 * h2o would do, and ends with a reset however it ends, also with the process.
 * hd_end_unframed - before its last part is sent: the connection is closed in order.
 * hd_break_unframed - before a broken one ends. Over TLS the connection is reset now: h2o
 * would send the notice that ends a whole answer.
 */
bool hd_ends_with_connection(const h2o_req_t *req);
void hd_begin_unframed(h2o_req_t *req);
void hd_end_unframed(h2o_req_t *req);
void hd_break_unframed(h2o_req_t *req);
/*
 * hd_close_unfinished - close the connection of an HTTP/1 request without a reset,
 * after what has been written. h2o notices with the next write.
 */
void hd_close_unfinished(h2o_req_t *req);
/*
 * hd_is_http2 - whether REQ is a stream of a connection that may have others.
 * hd_is_stalled - whether the other side has read so little of the connection of REQ that
 * nothing could be sent for HD_STALL_MS.
 * hd_reset_stream - end the answer to a request over HTTP/2 with RST_STREAM, also while
 * its caller takes no bytes of it. Drops the request, during this call or when frames
 * that are being written are out.
 */
bool hd_is_http2(const h2o_req_t *req);
bool hd_is_stalled(h2o_req_t *req);
void hd_reset_stream(h2o_req_t *req);
/*
 * hd_abort_connection - reset the connection of a request whose answer is not
 * being read by the other side. h2o drops the request after this call, not
 * during it.
 */
void hd_abort_connection(h2o_req_t *req);
/*
 * hd_same_secret - whether GIVEN is SECRET, compared in a time that does not
 * depend on where the two differ.
 */
bool hd_same_secret(const char *given, size_t given_bytes, const char *secret);

/* hd_reply - answer with a copy of BODY. */
void hd_reply(h2o_req_t *req, int status, const char *content_type,
	      const char *body, size_t body_bytes);
/* hd_reply_status - answer with the kind and message of STATUS as JSON. */
void hd_reply_status(h2o_req_t *req, const struct st_status *status);

#endif
