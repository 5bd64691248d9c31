#ifndef HTTP_HTTPC_H
#define HTTP_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <uv.h>

#include "base/net.h"
#include "base/timer.h"
#include "http/answer.h"

/*
 * HTTP/1.1 client on libuv.
 *
 * A pool holds the connections to one address. The state of a request records
 * whether writing it has begun; until then the server cannot have run it.
 *
 * The end of an answer with neither content-length nor chunked encoding looks
 * the same as a connection that broke. Such an answer fails the request unless
 * may_end_with_close is set; then EOF completes the answer and a reset breaks
 * it.
 */

enum {
	/*
	 * Bytes that a server may send before the head of the answer ends:
	 * interim answers, and late answers to earlier requests.
	 */
	HC_MAX_SKIPPED_BYTES = 1024 * 1024,
	HC_READ_BYTES = 64 * 1024
};

enum hc_state { HC_NEW, HC_CONNECTING, HC_SENT, HC_ANSWER_BEGUN, HC_DONE };

/* How a request ended. */
enum hc_end {
	HC_COMPLETE,
	HC_NOT_SENT, /* no connection; nothing was written */
	HC_NO_ANSWER, /* written, but no complete and valid head came back */
	HC_BROKEN /* after its head the answer broke off or was malformed */
};

struct hc_request;

/* Callbacks of a request; all but DONE may be NULL. */
struct hc_handler {
	/*
	 * Whether to send the request, asked when a new connection has been
	 * established: things may have changed meanwhile. May call hc_cancel.
	 */
	bool (*may_send)(struct hc_request *request);
	void (*sent)(struct hc_request *request);
	/*
	 * Whether an answer belongs to this request. If not, it is skipped,
	 * and the request waits for the next one on the connection.
	 */
	bool (*accept)(struct hc_request *request, const struct hc_head *head);
	void (*head)(struct hc_request *request, const struct hc_head *head);
	void (*body)(struct hc_request *request, const char *data,
		     size_t data_bytes);
	/* All data of one socket read was passed on; the answer continues. */
	void (*read_end)(struct hc_request *request);
	/* Last callback; the request may be reused or freed in it. */
	void (*done)(struct hc_request *request, enum hc_end end,
		     const char *msg);
};

/* Owned by the caller; must stay valid until DONE or hc_cancel. */
struct hc_request {
	const struct hc_handler *handler;
	void *ctx;
	bool head_method; /* a HEAD request: the answer has no body */
	bool new_connection; /* do not reuse an idle connection */
	bool may_end_with_close; /* EOF may end an answer without a length */
	bool close_after; /* do not reuse the connection; may be set in HEAD */
	uint64_t max_idle_us; /* of a reused connection; 0: the pool's limit */
	const char *body; /* sent after the head; not copied; NULL: none */
	size_t body_bytes;
	uint32_t max_read_bytes; /* of a read; 0: HC_READ_BYTES. May change */
	/* The fields below belong to the client. */
	enum hc_state state;
	struct hc_conn *conn;
	bool refused; /* nothing listens at the address; valid in DONE */
};

struct hc_pool;

/*
 * Told whether the other side of a pool shows signs of life. NEW_CONNECTION: the
 * connection has never had any.
 */
struct hc_observer {
	void (*heard)(void *ctx, const struct hc_pool *pool,
		      bool new_connection);
	/* A request got no byte: it was refused, was lost, or is overdue. */
	void (*failed)(void *ctx, const struct hc_pool *pool,
		       bool new_connection);
	void *ctx;
};

struct hc_pool {
	uv_loop_t *loop;
	struct nt_address address;
	uint32_t max_connections;
	uint32_t open_count;
	uint64_t max_idle_us;
	struct tm_service *timers; /* NULL: no connect timeout */
	uint64_t connect_timeout_us;
	SSL_CTX *tls; /* NULL: plaintext; not owned */
	const struct hc_observer *observer; /* NULL: none; not owned */
	const struct nt_address *source; /* of new connections; NULL: any */
	struct hc_conn *idle; /* most recently used first */
	struct hc_conn *conns;
	bool closing;
	void (*closed)(void *ctx);
	void *ctx;
};

/*
 * hc_pool_init - set up a pool of at most MAX_CONNECTIONS connections.
 * hc_pool_close - refuse new requests and close idle connections; requests in
 * progress go on. CLOSED is called when no connection is left, possibly during
 * this call. The pool's memory must stay valid until then. Source: http/httpc.c
 */
void hc_pool_init(struct hc_pool *pool, uv_loop_t *loop,
		  const struct nt_address *address, uint32_t max_connections);
void hc_pool_close(struct hc_pool *pool, void (*closed)(void *ctx), void *ctx);

/*
 * hc_pool_set_connect_timeout - end a request with HC_NOT_SENT when its new
 * connection, including the TLS handshake, is not established after TIMEOUT_US.
 */
void hc_pool_set_connect_timeout(struct hc_pool *pool,
				 struct tm_service *timers,
				 uint64_t timeout_us);

/*
 * hc_pool_set_tls - use TLS on new connections and check the certificate
 * against the IP address of the pool. CTX must outlive the pool.
 */
void hc_pool_set_tls(struct hc_pool *pool, SSL_CTX *ctx);

/* hc_pool_drop_idle - close the connections that no request uses. */
void hc_pool_drop_idle(struct hc_pool *pool);

/*
 * hc_pool_set_limit - change the maximum number of connections and close idle
 * ones above it.
 */
void hc_pool_set_limit(struct hc_pool *pool, uint32_t max_connections);

/*
 * hc_start - send a request. OUT holds the head, and the body unless the request has it
 * apart; the client frees OUT. A body apart must stay valid until DONE or hc_cancel.
 * Returns false, without any callback, when the pool is closing or at its limit
 * or when the connect or the write cannot be started.
 */
bool hc_start(struct hc_pool *pool, struct hc_request *request, GString *out);

/*
 * hc_cancel - end a running request by closing its connection. No callback
 * follows.
 */
void hc_cancel(struct hc_request *request);

/* hc_cancel_overdue - the same for a request whose answer should be there by now. */
void hc_cancel_overdue(struct hc_request *request);

/* hc_pause_reading, hc_resume_reading - stop and restart reading the answer. */
void hc_pause_reading(struct hc_request *request);
void hc_resume_reading(struct hc_request *request);

/*
 * hc_head_begin - start a request with its request line and host header.
 * hc_head_line - append a request line only.
 * hc_head_add - append a header. It is dropped when its name is not a token or
 *	its value has control characters other than a tab.
 * hc_head_end - finish the head and append the body, with its content-length
 *	unless BODY is NULL.
 * hc_head_end_apart - the same without the body itself.
 */
GString *hc_head_begin(const char *method, size_t method_bytes,
		       const char *path, size_t path_bytes, const char *host);
void hc_head_line(GString *out, const char *method, size_t method_bytes,
		  const char *path, size_t path_bytes);
void hc_head_add(GString *out, const char *name, size_t name_bytes,
		 const char *value, size_t value_bytes);
void hc_head_end_apart(GString *out, const char *body, size_t body_bytes);
void hc_head_end(GString *out, const char *body, size_t body_bytes);

#endif
