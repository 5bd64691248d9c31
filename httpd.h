#ifndef HTTPD_H
#define HTTPD_H

#include <stdbool.h>
#include <stdint.h>
#include <h2o.h>
#include <uv.h>

#include "net.h"
#include "status.h"

/*
 * HTTP listener on h2o and libuv, with one handler for every request.
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
	struct hd_conn *conns; /* all */
	uint32_t connections;
	uint32_t max_connections;
	bool listening;
	void (*handle)(void *ctx, h2o_req_t *req);
	void *ctx;
};

/*
 * hd_init - listen on ADDRESS and give every request to HANDLE.
 * Errors: ST_IO when the address cannot be bound. Source: httpd.c
 */
enum st_kind hd_init(struct hd_server *server, uv_loop_t *loop,
		     const struct nt_address *address,
		     void (*handle)(void *ctx, h2o_req_t *req), void *ctx,
		     struct st_status *status);

/*
 * hd_set_idle_timeout - close connections on which no whole request arrives for
 * that long.
 */
void hd_set_idle_timeout(struct hd_server *server, uint64_t timeout_ms);

/* hd_stop_listening - take no new connections; answers close theirs. */
void hd_stop_listening(struct hd_server *server);
/* hd_announce_stop - answers close their connections from now on. */
void hd_announce_stop(struct hd_server *server);
/*
 * hd_close_idle - end HTTP/1 connections without a request. A request that was
 * already received is still served.
 */
void hd_close_idle(struct hd_server *server);
/* hd_close_all - end every connection, interrupting what is in progress. */
void hd_close_all(struct hd_server *server);
/*
 * hd_free - after hd_stop_listening, when no connection is left. The loop must
 * run once more before the memory goes away.
 */
void hd_free(struct hd_server *server);

/* hd_header - value of a request header, or an empty vector. */
h2o_iovec_t hd_header(h2o_req_t *req, const char *name);
bool hd_path_is(const h2o_req_t *req, const char *path);
bool hd_method_is(const h2o_req_t *req, const char *method);
/* hd_query - decoded value of a query parameter, or NULL; g_free it. */
char *hd_query(const h2o_req_t *req, const char *name);
void hd_add_header(h2o_req_t *req, const char *name, const char *value,
		   size_t value_bytes);
/*
 * A request whose answer comes later. REQ becomes NULL when the listener drops
 * the request, for example because the peer closed its connection.
 */
struct hd_hold {
	h2o_req_t *req;
	uint32_t refs;
};

/* hd_hold, hd_release - every hd_hold needs one hd_release. */
struct hd_hold *hd_hold(h2o_req_t *req);
void hd_release(struct hd_hold *hold);

/*
 * hd_peer_closed - whether the peer of an HTTP/1 request closed its connection.
 * h2o does not read while a request is processed, so it cannot tell.
 */
bool hd_peer_closed(h2o_req_t *req);
/*
 * hd_reset_on_close - the connection of an HTTP/1 request will end with a reset
 * instead of an orderly close.
 */
void hd_reset_on_close(h2o_req_t *req);
/*
 * hd_abort - end the connection of a request whose peer does not take the
 * answer. The listener drops the request afterwards, not during the call.
 */
void hd_abort(h2o_req_t *req);
/*
 * hd_same_secret - compare in time that does not depend on where the texts
 * differ.
 */
bool hd_same_secret(const char *given, size_t given_bytes, const char *secret);

/* hd_reply - answer with a copy of BODY. */
void hd_reply(h2o_req_t *req, int status, const char *content_type,
	      const char *body, size_t body_bytes);
/* hd_reply_status - answer with an error kind as JSON. */
void hd_reply_status(h2o_req_t *req, const struct st_status *status);

#endif
