#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <uv.h>

#include "net.h"
#include "timer.h"

/*
 * HTTP/1.1 client on libuv.
 *
 * A pool holds the connections to one address. A request knows whether its
 * first byte was written, which decides whether it may have run. Answers
 * without a length (neither content-length nor chunked) are treated as
 * broken, because their end cannot be told from a break, unless the request
 * allows them; then an orderly close ends them and a reset breaks them.
 */

enum {
	HC_MAX_HEAD_BYTES = 32 * 1024,
	HC_MAX_HEADERS = 100,
	HC_READ_BYTES = 64 * 1024
};

enum hc_state { HC_NEW, HC_CONNECTING, HC_SENT, HC_ANSWER_BEGUN, HC_DONE };

/* How a request ended. */
enum hc_end {
	HC_COMPLETE,
	HC_NOT_SENT, /* no connection; nothing was written */
	HC_NO_ANSWER, /* written, closed before the head was complete */
	HC_BROKEN /* the answer broke off or was malformed */
};

struct hc_header {
	const char *name;
	const char *value;
	size_t name_bytes;
	size_t value_bytes;
};

/* Head of an answer; valid during the callback only. */
struct hc_head {
	int status;
	const struct hc_header *headers;
	uint32_t header_count;
	uint64_t content_length; /* UINT64_MAX: chunked */
};

struct hc_request;

/* Callbacks of a request; all but DONE may be NULL. */
struct hc_handler {
	void (*sent)(struct hc_request *request);
	/*
	 * Whether an answer belongs to this request. One that does not is
	 * skipped; the next one on the connection is awaited.
	 */
	bool (*accept)(struct hc_request *request, const struct hc_head *head);
	void (*head)(struct hc_request *request, const struct hc_head *head);
	void (*body)(struct hc_request *request, const char *data,
		     size_t data_bytes);
	/* What was received at once has been passed on; more will follow. */
	void (*read_end)(struct hc_request *request);
	/* Last callback; the request may be reused or freed in it. */
	void (*done)(struct hc_request *request, enum hc_end end,
		     const char *msg);
};

/* Owned by the caller; must stay valid until DONE or hc_cancel. */
struct hc_request {
	const struct hc_handler *handler;
	void *ctx;
	bool head_method; /* the answer has no body */
	bool new_connection; /* do not reuse an idle connection */
	bool may_end_with_close; /* an answer without a length is whole */
	uint64_t max_idle_us; /* of a reused connection; 0: the pool's limit */
	uint64_t not_after_us; /* do not begin to write later; 0: no limit */
	/* Below: the client's own. */
	enum hc_state state;
	struct hc_conn *conn;
};

struct hc_pool {
	uv_loop_t *loop;
	struct nt_address address;
	uint32_t max_connections;
	uint32_t open_count;
	uint64_t max_idle_us;
	struct tm_service *timers; /* NULL: connecting takes what it takes */
	uint64_t connect_timeout_us;
	SSL_CTX *tls; /* NULL: plaintext; not owned */
	struct hc_conn *idle; /* most recently used first */
	struct hc_conn *conns;
	bool closing;
	void (*closed)(void *ctx);
	void *ctx;
};

/*
 * hc_pool_init - a pool of at most MAX_CONNECTIONS connections.
 * hc_pool_close - cancel nothing, refuse new requests, close idle connections;
 * CLOSED is called when no connection is left. The pool's memory must stay
 * valid until then. Source: httpc.c
 */
void hc_pool_init(struct hc_pool *pool, uv_loop_t *loop,
		  const struct nt_address *address, uint32_t max_connections);
void hc_pool_close(struct hc_pool *pool, void (*closed)(void *ctx), void *ctx);

/*
 * hc_pool_set_connect_timeout - a connection that is not established after
 * TIMEOUT_US ends its request with HC_NOT_SENT.
 */
void hc_pool_set_connect_timeout(struct hc_pool *pool,
				 struct tm_service *timers,
				 uint64_t timeout_us);

/*
 * hc_pool_set_tls - new connections use TLS and check the certificate against
 * the pool's address. CTX must outlive the pool.
 */
void hc_pool_set_tls(struct hc_pool *pool, SSL_CTX *ctx);

/* hc_pool_drop_idle - close the connections that no request uses. */
void hc_pool_drop_idle(struct hc_pool *pool);

/* hc_pool_set_limit - change the limit; idle connections above it close. */
void hc_pool_set_limit(struct hc_pool *pool, uint32_t max_connections);

/*
 * hc_start - send a request. OUT holds head and body and is taken over.
 * Returns false, without any callback, when no connection can be had.
 */
bool hc_start(struct hc_pool *pool, struct hc_request *request, GString *out);

/* hc_cancel - close the connection of a running request; no callback. */
void hc_cancel(struct hc_request *request);

/* hc_pause, hc_resume - stop and restart reading the answer. */
void hc_pause(struct hc_request *request);
void hc_resume(struct hc_request *request);

/*
 * hc_head_begin, hc_head_add, hc_head_end - compose a request.
 * hc_head_line - append the request line only.
 * hc_head_add drops a header whose name or value has control characters.
 */
GString *hc_head_begin(const char *method, size_t method_bytes,
		       const char *path, size_t path_bytes, const char *host);
void hc_head_line(GString *out, const char *method, size_t method_bytes,
		  const char *path, size_t path_bytes);
void hc_head_add(GString *out, const char *name, size_t name_bytes,
		 const char *value, size_t value_bytes);
void hc_head_end(GString *out, const char *body, size_t body_bytes);

/* hc_value_is - whether a header has that value. */
bool hc_value_is(const struct hc_header *header, const char *value);

/* hc_find_header - value of a header of an answer, or NULL. */
const struct hc_header *hc_find_header(const struct hc_head *head,
				       const char *name);

#endif
