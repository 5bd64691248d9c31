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
	HD_MAX_CONNECTIONS = 4096
};

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
 * hd_set_idle_timeout - close HTTP/1 connections on which no complete request
 * arrives for TIMEOUT_MS.
 */
void hd_set_idle_timeout(struct hd_server *server, uint64_t timeout_ms);

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
