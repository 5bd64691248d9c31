#include "http/httpd_conn.h"

/*
 * The library's public functions cannot end a stream while its caller takes no bytes.
 * Its own ones can; their header is installed for programs that link it.
 */
#include <h2o/http2.h>
#include <h2o/http2_internal.h>

void hd_reset_stream(h2o_req_t *req)
{
	h2o_http2_conn_t *conn = (h2o_http2_conn_t *)req->conn;
	h2o_http2_stream_t *stream =
		H2O_STRUCT_FROM_MEMBER(h2o_http2_stream_t, req, req);

	/* The frame that ends the stream is queued already. */
	if (stream->state == H2O_HTTP2_STREAM_STATE_END_STREAM)
		return;
	if (conn->state != H2O_HTTP2_CONN_STATE_IS_CLOSING) {
		h2o_http2_encode_rst_stream_frame(&conn->_write.buf,
						  stream->stream_id,
						  -H2O_HTTP2_ERROR_CANCEL);
		h2o_http2_conn_request_write(conn);
	}
	h2o_http2_stream_reset(conn, stream);
}

h2o_buffer_t *hd_http2_take_body(h2o_req_t *req)
{
	h2o_http2_stream_t *stream =
		H2O_STRUCT_FROM_MEMBER(h2o_http2_stream_t, req, req);
	h2o_buffer_t *body = stream->_req_body;

	stream->_req_body = NULL;
	return body;
}
