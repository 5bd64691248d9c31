#include "http/httpd_conn.h"

#include "base/counter.h"

/* Of HTTP/2: the largest frame that h2o takes, and what precedes its data. */
enum { HD_FRAME_BYTES = 16384, HD_FRAME_HEAD_BYTES = 9 };

/* Bodies of requests that outlive the request, without a copy. */

static void hd_body_own(struct hd_body *body, h2o_buffer_t *buffer)
{
	if (!buffer || !buffer->bytes)
		return;
	body->owned = buffer;
	if (!body->server->has_limits)
		return;
	body->server->budget->held_bytes += body->bytes;
	ct_add(CT_BODY_BYTES, body->bytes);
}

void hd_body_init(struct hd_body *body, h2o_req_t *req)
{
	struct hd_conn *conn = hd_conn_of(req);

	body->base = req->entity.base;
	body->bytes = req->entity.len;
	body->server = conn->server;
	/* h2o frees that of a stream before it tells that the stream is gone. */
	if (!body->base || !hd_is_http2(req))
		return;
	conn->received_bytes -=
		MIN(conn->received_bytes,
		    body->bytes + HD_FRAME_HEAD_BYTES *
					  (body->bytes / HD_FRAME_BYTES + 1));
	hd_body_own(body, hd_http2_take_body(req));
}

/* Over HTTP/1 the request is dropped early only when its connection closes. */
void hd_body_keep(struct hd_body *body, h2o_req_t *req)
{
	h2o_socket_t *sock = hd_conn_of(req)->sock;
	h2o_buffer_t *input = sock->input;

	if (!body->base || body->owned)
		return;
	h2o_buffer_init(&sock->input, &h2o_socket_buffer_prototype);
	hd_body_own(body, input);
}

void hd_body_free(struct hd_body *body)
{
	if (!body->owned)
		return;
	h2o_buffer_dispose(&body->owned);
	if (!body->server->has_limits)
		return;
	body->server->budget->held_bytes -= body->bytes;
	ct_add(CT_BODY_BYTES, -(uint64_t)body->bytes);
}
