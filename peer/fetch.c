#include "peer/fetch.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/mechanism.h"

enum {
	PR_LISTEN_BACKLOG = 64,
	/* Record mark: last fragment bit and size of the fragment. */
	PR_RECORD_MARK_BYTES = 4,
	PR_READ_BYTES = 16 * 1024,
	PR_MAX_CALL_BYTES = 1024
};

static const uint32_t PR_LAST_FRAGMENT = UINT32_C(1) << 31;

/* A TCP connection, accepted from a peer or opened for the running fetch. */
struct pr_conn {
	uv_tcp_t tcp; /* must be first: handles are cast to pr_conn */
	struct pr_fetch *fetch;
	GString *input; /* not yet parsed */
	GString *record; /* fragments received so far */
	size_t max_record_bytes;
	struct tm_sub idle_timer;
	uv_connect_t connect;
	bool serving; /* accepted from a peer */
};

struct pr_write {
	uv_write_t req; /* must be first: requests are freed as pr_write */
	char data[PR_RECORD_MARK_BYTES + PR_MAX_RECORD_BYTES];
};

static void pr_on_closed(uv_handle_t *handle)
{
	struct pr_conn *conn = (struct pr_conn *)handle;

	if (conn->serving)
		conn->fetch->served_count--;
	g_string_free(conn->input, TRUE);
	g_string_free(conn->record, TRUE);
	g_free(conn);
}

static void pr_conn_close(struct pr_conn *conn)
{
	struct pr_fetch *fetch = conn->fetch;

	if (uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	g_ptr_array_remove_fast(fetch->conns, conn);
	tm_cancel(fetch->timers, &conn->idle_timer);
	uv_close((uv_handle_t *)&conn->tcp, pr_on_closed);
}

/* Ends the running fetch and calls on_done. */
static void pr_finish_fetch(struct pr_fetch *fetch, bool ok)
{
	GString *body = fetch->body;

	pr_conn_close(fetch->fetch_conn);
	fetch->fetch_conn = NULL;
	fetch->body = NULL;
	fetch->on_done(fetch->ctx, fetch->generation, fetch->digest,
		       ok ? body->str : NULL, body->len);
	g_string_free(body, TRUE);
}

static void pr_conn_fail(struct pr_conn *conn, const char *reason)
{
	lg_debug("fetch", "%s ended: %s",
		 conn->serving ? "serving" : "fetching", reason);
	if (conn->fetch->fetch_conn == conn)
		pr_finish_fetch(conn->fetch, false);
	else
		pr_conn_close(conn);
}

static void pr_on_idle_timeout(void *ctx)
{
	pr_conn_fail(ctx, "timeout");
}

static void pr_conn_restart_idle_timer(struct pr_conn *conn)
{
	tm_subscribe(conn->fetch->timers, &conn->idle_timer,
		     tm_now_us() + PR_IDLE_TIMEOUT_US);
}

static struct pr_conn *pr_conn_new(struct pr_fetch *fetch, bool serving)
{
	struct pr_conn *conn = g_new0(struct pr_conn, 1);

	conn->fetch = fetch;
	conn->serving = serving;
	conn->input = g_string_new(NULL);
	conn->record = g_string_new(NULL);
	conn->max_record_bytes =
		serving ? PR_MAX_CALL_BYTES : PR_MAX_RECORD_BYTES;
	conn->idle_timer.fire = pr_on_idle_timeout;
	conn->idle_timer.ctx = conn;
	uv_tcp_init(fetch->loop, &conn->tcp);
	g_ptr_array_add(fetch->conns, conn);
	pr_conn_restart_idle_timer(conn);
	return conn;
}

static void pr_on_written(uv_write_t *req, int error)
{
	g_free(req);
}

/* Signs MSG and sends it as a record of one fragment. */
static void pr_conn_send(struct pr_conn *conn, struct pr_msg *msg)
{
	struct pr_write *write = g_new(struct pr_write, 1);
	size_t bytes = pr_wire_encode(conn->fetch->gossip->conf.key, msg,
				      write->data + PR_RECORD_MARK_BYTES,
				      PR_MAX_RECORD_BYTES);
	uint32_t mark = htonl(PR_LAST_FRAGMENT | (uint32_t)bytes);
	uv_buf_t buf;

	memcpy(write->data, &mark, sizeof(mark));
	buf = uv_buf_init(write->data,
			  (unsigned int)(PR_RECORD_MARK_BYTES + bytes));
	ct_add(CT_PEER_SENT, 1);
	ct_add(CT_PEER_SENT_BYTES, buf.len);
	if (!bytes || uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1,
			       pr_on_written)) {
		g_free(write);
		pr_conn_fail(conn, "cannot send");
	}
}

/*
 * Returns the member that sent the message, or NULL when it is unknown, or the
 * message is a replay or addressed to another process.
 */
static struct pr_member *pr_accept_sender(struct pr_fetch *fetch,
					  const struct pr_msg_origin *origin)
{
	struct pr_member *member =
		pr_table_find(&fetch->gossip->table, origin->host);

	if (!member || !pr_gossip_is_for_us(fetch->gossip, origin) ||
	    !pr_replay_window_accept(&member->record_window,
				     origin->incarnation, origin->sequence))
		return NULL;
	return member;
}

/* Serving */

static void pr_fill_piece(const struct pr_fetch *fetch,
			  const struct pr_msg_fetch *request,
			  struct pr_msg_piece *piece)
{
	const struct doc_document *document = fetch->served_document;
	char digest[DOC_DIGEST_BYTES];

	pr_digest_from_wire(request->digest, digest);
	if (!document || document->generation != request->generation ||
	    strcmp(document->digest, digest) != 0 ||
	    request->offset >= document->text_bytes)
		return;
	piece->total_bytes = (u_int)document->text_bytes;
	piece->offset = request->offset;
	piece->data.data_val = document->text + request->offset;
	piece->data.data_len = (u_int)MIN(
		document->text_bytes - request->offset, PR_WIRE_PIECE_BYTES);
}

static bool pr_handle_call(struct pr_conn *conn, struct pr_msg *call)
{
	struct pr_fetch *fetch = conn->fetch;
	struct pr_msg reply = { .procedure = PR_FETCH, .reply = true };
	struct pr_member *member = NULL;

	if (!call->reply)
		member = pr_accept_sender(fetch, &call->origin);
	if (!member)
		return false;
	reply.xid = call->xid;
	pr_gossip_fill_origin(fetch->gossip, &member->address, NULL,
			      &reply.origin);
	reply.origin.to_incarnation = call->origin.incarnation;
	pr_fill_piece(fetch, &call->u.fetch, &reply.u.piece);
	pr_conn_send(conn, &reply);
	return true;
}

/* Fetching */

static void pr_request_piece(struct pr_fetch *fetch)
{
	struct pr_msg call = { .procedure = PR_FETCH };
	const struct pr_member *member =
		pr_table_find(&fetch->gossip->table, fetch->source_host);

	fetch->xid = ++fetch->gossip->xid;
	call.xid = fetch->xid;
	pr_gossip_fill_origin(fetch->gossip, &fetch->source_address, member,
			      &call.origin);
	call.u.fetch.generation = fetch->generation;
	pr_digest_to_wire(fetch->digest, call.u.fetch.digest);
	call.u.fetch.offset = (u_int)fetch->body->len;
	pr_conn_send(fetch->fetch_conn, &call);
}

static void pr_check_body(struct pr_fetch *fetch)
{
	char digest[DOC_DIGEST_BYTES];

	doc_digest(fetch->body->str, fetch->body->len, digest);
	if (strcmp(digest, fetch->digest) != 0 && me_on(ME_DIGEST_CHECK)) {
		lg_warn("fetch",
			"body from %s does not match digest %s, discarded",
			fetch->source_host, fetch->digest);
		pr_finish_fetch(fetch, false);
		return;
	}
	pr_finish_fetch(fetch, true);
}

static bool pr_piece_is_valid(const struct pr_fetch *fetch,
			      const struct pr_msg_piece *piece)
{
	return piece->total_bytes <= PR_MAX_BODY_BYTES &&
	       piece->offset == fetch->body->len && piece->data.data_len &&
	       piece->data.data_len <= piece->total_bytes - piece->offset;
}

/* Returns false when the reply is invalid and the fetch has to end. */
static bool pr_handle_piece(struct pr_conn *conn, const struct pr_msg *reply)
{
	struct pr_fetch *fetch = conn->fetch;
	const struct pr_msg_piece *piece = &reply->u.piece;

	if (!reply->reply || reply->xid != fetch->xid ||
	    strcmp(reply->origin.host, fetch->source_host) != 0 ||
	    !pr_accept_sender(fetch, &reply->origin) ||
	    !pr_piece_is_valid(fetch, piece))
		return false;
	g_string_append_len(fetch->body, piece->data.data_val,
			    piece->data.data_len);
	if (fetch->body->len == piece->total_bytes)
		pr_check_body(fetch);
	else
		pr_request_piece(fetch);
	return true;
}

/* Records */

/*
 * Only a complete authentic record restarts the idle timer, so that a peer that
 * sends byte by byte cannot keep its connection open.
 */
static bool pr_handle_record(struct pr_conn *conn)
{
	struct pr_msg msg;
	bool ok = pr_wire_decode(conn->fetch->gossip->conf.key, PR_FETCH,
				 conn->record->str, conn->record->len, &msg);

	g_string_truncate(conn->record, 0);
	if (ok) {
		pr_conn_restart_idle_timer(conn);
		ok = conn->serving ? pr_handle_call(conn, &msg) :
				     pr_handle_piece(conn, &msg);
		pr_wire_free(&msg);
	}
	ct_add(ok ? CT_PEER_RECEIVED : CT_PEER_REJECTED, 1);
	return ok;
}

/*
 * Moves a complete fragment from the input to the record. Returns false when
 * more input is needed. FITS is false for a fragment that makes the record too
 * long, or is empty and not the last.
 */
static bool pr_read_fragment(struct pr_conn *conn, bool *last, bool *fits)
{
	uint32_t mark;
	size_t bytes;

	if (conn->input->len < PR_RECORD_MARK_BYTES)
		return false;
	memcpy(&mark, conn->input->str, sizeof(mark));
	mark = ntohl(mark);
	*last = mark & PR_LAST_FRAGMENT;
	bytes = mark & ~PR_LAST_FRAGMENT;
	*fits = conn->record->len + bytes <= conn->max_record_bytes &&
		(bytes || *last);
	if (*fits && conn->input->len - PR_RECORD_MARK_BYTES < bytes)
		return false;
	if (!*fits)
		return true;
	g_string_append_len(conn->record,
			    conn->input->str + PR_RECORD_MARK_BYTES,
			    (gssize)bytes);
	g_string_erase(conn->input, 0, (gssize)(PR_RECORD_MARK_BYTES + bytes));
	return true;
}

static void pr_parse_input(struct pr_conn *conn)
{
	bool last = false;
	bool fits = true;

	while (!uv_is_closing((uv_handle_t *)&conn->tcp) &&
	       pr_read_fragment(conn, &last, &fits)) {
		if (!fits) {
			ct_add(CT_PEER_REJECTED, 1);
			pr_conn_fail(conn, "record too long or empty fragment");
			return;
		}
		if (last && !pr_handle_record(conn)) {
			pr_conn_fail(conn, "record rejected");
			return;
		}
	}
}

static void pr_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[PR_READ_BYTES];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void pr_on_read(uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buf)
{
	struct pr_conn *conn = (struct pr_conn *)stream;

	if (bytes < 0) {
		pr_conn_fail(conn, "end of stream or read error");
		return;
	}
	if (!bytes)
		return;
	g_string_append_len(conn->input, buf->base, bytes);
	pr_parse_input(conn);
}

static void pr_on_connect(uv_connect_t *req, int error)
{
	struct pr_conn *conn = (struct pr_conn *)req->handle;

	if (uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	if (error) {
		pr_conn_fail(conn, uv_strerror(error));
		return;
	}
	uv_read_start((uv_stream_t *)&conn->tcp, pr_on_alloc, pr_on_read);
	pr_request_piece(conn->fetch);
}

static void pr_on_accept(uv_stream_t *listener, int error)
{
	struct pr_fetch *fetch = listener->data;
	struct pr_conn *conn;

	if (error)
		return;
	conn = pr_conn_new(fetch, true);
	fetch->served_count++;
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) ||
	    fetch->served_count > PR_MAX_SERVED_CONNS) {
		pr_conn_close(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, pr_on_alloc, pr_on_read);
}

enum st_kind pr_fetch_init(struct pr_fetch *fetch, uv_loop_t *loop,
			   struct tm_service *timers, struct pr_gossip *gossip,
			   struct st_status *status)
{
	const struct nt_address *address = &gossip->conf.address;
	int error;

	memset(fetch, 0, sizeof(*fetch));
	fetch->loop = loop;
	fetch->timers = timers;
	fetch->gossip = gossip;
	fetch->conns = g_ptr_array_new();
	uv_tcp_init(loop, &fetch->listener);
	fetch->listener.data = fetch;
	error = uv_tcp_bind(&fetch->listener,
			    (const struct sockaddr *)&address->addr, 0);
	if (!error)
		error = uv_listen((uv_stream_t *)&fetch->listener,
				  PR_LISTEN_BACKLOG, pr_on_accept);
	if (error)
		return st_set(status, ST_IO, "cannot listen on %s: %s",
			      address->text, uv_strerror(error));
	return ST_OK;
}

void pr_fetch_close(struct pr_fetch *fetch)
{
	fetch->fetch_conn = NULL;
	while (fetch->conns->len)
		pr_conn_close(g_ptr_array_index(fetch->conns, 0));
	uv_close((uv_handle_t *)&fetch->listener, NULL);
}

void pr_fetch_free(struct pr_fetch *fetch)
{
	if (fetch->body)
		g_string_free(fetch->body, TRUE);
	g_ptr_array_free(fetch->conns, TRUE);
	doc_unref(fetch->served_document);
}

void pr_fetch_set_document(struct pr_fetch *fetch,
			   struct doc_document *document)
{
	doc_unref(fetch->served_document);
	fetch->served_document = doc_ref(document);
}

bool pr_fetch_start(struct pr_fetch *fetch, const char *host,
		    const struct nt_address *address, uint64_t generation,
		    const char *digest)
{
	if (fetch->fetch_conn)
		return false;
	fetch->generation = generation;
	fetch->source_address = *address;
	g_strlcpy(fetch->digest, digest, sizeof(fetch->digest));
	g_strlcpy(fetch->source_host, host, sizeof(fetch->source_host));
	fetch->body = g_string_new(NULL);
	fetch->fetch_conn = pr_conn_new(fetch, false);
	if (uv_tcp_connect(&fetch->fetch_conn->connect, &fetch->fetch_conn->tcp,
			   (const struct sockaddr *)&fetch->source_address.addr,
			   pr_on_connect)) {
		/* The idle timer ends the fetch. */
		lg_debug("fetch",
			 "cannot connect to %s, fetch ends at idle timeout",
			 address->text);
	}
	return true;
}
