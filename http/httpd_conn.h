#ifndef HTTP_HTTPD_CONN_H
#define HTTP_HTTPD_CONN_H

#include "http/httpd.h"

/* Connections of a listener, shared by the files of http/ that read them. */

struct hd_conn {
	uv_tcp_t tcp; /* first member: callbacks cast from it */
	struct hd_server *server;
	struct hd_conn *next;
	struct hd_conn **prev_next;
	h2o_socket_t *sock; /* NULL once h2o has closed it */
	/* Reference: h2o takes its own only when the first bytes arrive. */
	SSL_CTX *tls; /* NULL: plaintext */
	bool http2;
	bool read_shut; /* the socket is shut down for reading */
	/* The fields below belong to http/intake.c. */
	uv_alloc_cb library_alloc; /* those of h2o; others over TLS */
	uv_read_cb library_read; /* NULL: it has not been watched yet */
	struct hd_conn *next_unwatched;
	bool unwatched; /* h2o reads, or will read, without hd_on_read */
	bool in_service; /* the handler has the HTTP/1 request */
	bool draining; /* refused; what still comes is discarded */
	size_t counted_bytes; /* in the server's budget */
	size_t head_bytes; /* of the HTTP/1 request being read; 0: not whole */
	size_t scanned_bytes; /* of that head */
	uint64_t announced_bytes; /* of its body */
	uint32_t lines; /* of that head, without blank ones */
	bool paused; /* HTTP/2: not read until there is room */
	size_t preface_bytes; /* that match the preface of HTTP/2 so far */
	uint64_t received_bytes; /* of the requests being read */
	uint64_t begin_ms; /* first byte of that request; 0: none yet */
	uint64_t last_byte_ms;
	uint64_t progress_ms; /* when progress_bytes were reached */
	uint64_t progress_bytes;
	char *refusal; /* answer that is being written */
};

/*
 * hd_conn_of - connection of a request. Source: http/httpd.c
 * hd_is_field - whether a line of a head is that of the field NAME.
 * hd_intake_close - when no connection is left. The loop must run once more.
 *	Source: http/intake.c
 * hd_accepted - a new connection; h2o will read from it.
 * hd_watch - takes the reads of h2o over, if it reads.
 * hd_request_begun - the handler gets a request of the connection.
 * hd_conn_ended - the connection is closed and about to be freed.
 */
struct hd_conn *hd_conn_of(const h2o_req_t *req);
bool hd_is_field(const char *line, size_t bytes, const char *name);
void hd_intake_close(struct hd_server *server);
void hd_accepted(struct hd_conn *conn);
void hd_watch(struct hd_conn *conn);
void hd_request_begun(struct hd_conn *conn);
void hd_conn_ended(struct hd_conn *conn);

/*
 * hd_http2_take_body - the buffer with the body of a request, or NULL; h2o no longer
 *	frees it. Source: http/stream.c
 */
h2o_buffer_t *hd_http2_take_body(h2o_req_t *req);

#endif
