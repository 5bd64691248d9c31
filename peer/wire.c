#include "peer/wire.h"

#include <string.h>

#include <glib.h>
#include <openssl/crypto.h>

#include "base/mechanism.h"

enum {
	PR_AUTH_FLAVOR = 0x4a57, /* of the verifier */
	PR_HMAC_BYTES = 32,
	PR_STATUS_BYTES = 4 /* accept status, between verifier and result */
};

/* Computes the HMAC of DATA with the bytes of the verifier taken as zero. */
static void pr_compute_hmac(const char *key, const char *data,
			    size_t data_bytes, size_t verifier_offset,
			    uint8_t hmac[PR_HMAC_BYTES])
{
	static const uint8_t zeros[PR_HMAC_BYTES];
	gsize hmac_bytes = PR_HMAC_BYTES;
	size_t after = verifier_offset + PR_HMAC_BYTES;
	GHmac *state =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));

	g_hmac_update(state, (const guchar *)data, (gssize)verifier_offset);
	g_hmac_update(state, zeros, sizeof(zeros));
	if (after < data_bytes)
		g_hmac_update(state, (const guchar *)data + after,
			      (gssize)(data_bytes - after));
	g_hmac_get_digest(state, hmac, &hmac_bytes);
	g_hmac_unref(state);
}

static bool pr_xdr_body(XDR *xdrs, struct pr_msg *msg)
{
	if (!xdr_pr_msg_origin(xdrs, &msg->origin))
		return false;
	if (msg->procedure == PR_HEARTBEAT)
		return xdr_pr_msg_heartbeat(xdrs, &msg->u.heartbeat);
	if (msg->procedure == PR_FETCH && !msg->reply)
		return xdr_pr_msg_fetch(xdrs, &msg->u.fetch);
	if (msg->procedure == PR_FETCH)
		return xdr_pr_msg_piece(xdrs, &msg->u.piece);
	return false;
}

/* The result is encoded separately, by pr_xdr_body. */
static bool_t pr_no_result(XDR *xdrs, ...)
{
	return TRUE;
}

/*
 * Encodes or decodes the RPC header. VERIFIER and, for decoding, CREDENTIAL
 * have room for MAX_AUTH_BYTES.
 */
static bool pr_xdr_rpc_header(XDR *xdrs, struct rpc_msg *rpc, bool reply,
			      char *credential, char *verifier)
{
	struct opaque_auth auth = { PR_AUTH_FLAVOR, verifier, PR_HMAC_BYTES };

	if (reply) {
		rpc->acpted_rply.ar_verf = auth;
		rpc->acpted_rply.ar_results.proc = pr_no_result;
		return xdr_replymsg(xdrs, rpc);
	}
	rpc->rm_call.cb_cred.oa_base = credential;
	rpc->rm_call.cb_verf = auth;
	return xdr_callmsg(xdrs, rpc);
}

/* Offset of the verifier's bytes when XDRS is at the end of the header. */
static size_t pr_verifier_offset(XDR *xdrs, bool reply)
{
	return xdr_getpos(xdrs) - PR_HMAC_BYTES - (reply ? PR_STATUS_BYTES : 0);
}

size_t pr_wire_encode(const char *key, struct pr_msg *msg, char *out,
		      size_t out_bytes)
{
	char verifier[MAX_AUTH_BYTES] = { 0 };
	struct rpc_msg rpc = { .rm_xid = msg->xid };
	size_t verifier_offset;
	size_t bytes = 0;
	XDR xdrs;

	rpc.rm_direction = msg->reply ? REPLY : CALL;
	if (msg->reply) {
		rpc.rm_reply.rp_stat = MSG_ACCEPTED;
		rpc.acpted_rply.ar_stat = SUCCESS;
	} else {
		rpc.rm_call.cb_rpcvers = RPC_MSG_VERSION;
		rpc.rm_call.cb_prog = PR_PROGRAM;
		rpc.rm_call.cb_vers = PR_VERSION;
		rpc.rm_call.cb_proc = msg->procedure;
	}
	xdrmem_create(&xdrs, out, (u_int)out_bytes, XDR_ENCODE);
	if (pr_xdr_rpc_header(&xdrs, &rpc, msg->reply, NULL, verifier)) {
		verifier_offset = pr_verifier_offset(&xdrs, msg->reply);
		if (pr_xdr_body(&xdrs, msg))
			bytes = xdr_getpos(&xdrs);
	}
	xdr_destroy(&xdrs);
	if (bytes)
		pr_compute_hmac(key, out, bytes, verifier_offset,
				(uint8_t *)out + verifier_offset);
	return bytes;
}

static bool pr_call_header_is_valid(const struct rpc_msg *rpc,
				    uint32_t procedure)
{
	const struct call_body *call = &rpc->rm_call;

	return call->cb_prog == PR_PROGRAM && call->cb_vers == PR_VERSION &&
	       call->cb_proc == procedure && !call->cb_cred.oa_length &&
	       call->cb_verf.oa_flavor == PR_AUTH_FLAVOR &&
	       call->cb_verf.oa_length == PR_HMAC_BYTES;
}

static bool pr_reply_header_is_valid(const struct rpc_msg *rpc)
{
	return rpc->rm_reply.rp_stat == MSG_ACCEPTED &&
	       rpc->acpted_rply.ar_stat == SUCCESS &&
	       rpc->acpted_rply.ar_verf.oa_flavor == PR_AUTH_FLAVOR &&
	       rpc->acpted_rply.ar_verf.oa_length == PR_HMAC_BYTES;
}

/* Decodes the RPC header and checks the HMAC, before the body is decoded. */
static bool pr_decode_header(XDR *xdrs, const char *key, const char *data,
			     size_t data_bytes, struct pr_msg *msg)
{
	char credential[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	uint8_t hmac[PR_HMAC_BYTES];
	struct rpc_msg rpc = { 0 };
	size_t verifier_offset;

	if (!pr_xdr_rpc_header(xdrs, &rpc, msg->reply, credential, verifier))
		return false;
	if (msg->reply ? !pr_reply_header_is_valid(&rpc) :
			 !pr_call_header_is_valid(&rpc, msg->procedure))
		return false;
	msg->xid = rpc.rm_xid;
	verifier_offset = pr_verifier_offset(xdrs, msg->reply);
	pr_compute_hmac(key, data, data_bytes, verifier_offset, hmac);
	return !CRYPTO_memcmp(hmac, data + verifier_offset, PR_HMAC_BYTES);
}

bool pr_wire_decode(const char *key, uint32_t procedure, const char *data,
		    size_t data_bytes, struct pr_msg *msg)
{
	uint32_t direction;
	bool ok;
	XDR xdrs;

	memset(msg, 0, sizeof(*msg));
	if (data_bytes < 2 * sizeof(direction))
		return false;
	memcpy(&direction, data + sizeof(direction), sizeof(direction));
	msg->procedure = procedure;
	msg->reply = ntohl(direction) == REPLY;
	xdrmem_create(&xdrs, (char *)data, (u_int)data_bytes, XDR_DECODE);
	ok = pr_decode_header(&xdrs, key, data, data_bytes, msg);
	if (ok) {
		ok = pr_xdr_body(&xdrs, msg) && xdr_getpos(&xdrs) == data_bytes;
		if (!ok)
			pr_wire_free(msg);
	}
	xdr_destroy(&xdrs);
	return ok;
}

void pr_wire_free(struct pr_msg *msg)
{
	XDR xdrs = { .x_op = XDR_FREE };

	pr_xdr_body(&xdrs, msg);
}

bool pr_wire_name_is_valid(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++)
		if (!g_ascii_isgraph(*text))
			return false;
	return true;
}

void pr_digest_to_wire(const char *text, char bytes[PR_WIRE_DIGEST_BYTES])
{
	memset(bytes, 0, PR_WIRE_DIGEST_BYTES);
	for (int i = 0; i < PR_WIRE_DIGEST_BYTES && text[2 * (size_t)i]; i++)
		bytes[i] =
			(char)(g_ascii_xdigit_value(text[2 * (size_t)i]) * 16 +
			       g_ascii_xdigit_value(text[2 * (size_t)i + 1]));
}

void pr_digest_from_wire(const char bytes[PR_WIRE_DIGEST_BYTES],
			 char text[DOC_DIGEST_BYTES])
{
	for (int i = 0; i < PR_WIRE_DIGEST_BYTES; i++)
		g_snprintf(text + 2 * (size_t)i, 3, "%02x", (uint8_t)bytes[i]);
}

bool pr_replay_window_accept(struct pr_replay_window *window,
			     uint64_t incarnation, uint64_t sequence)
{
	uint64_t behind;

	if (!me_on(ME_REPLAY_PROTECTION))
		return true;
	if (incarnation < window->incarnation)
		return false;
	if (incarnation > window->incarnation) {
		window->incarnation = incarnation;
		window->highest = sequence;
		window->seen = 1;
		return true;
	}
	if (sequence > window->highest) {
		uint64_t ahead = sequence - window->highest;

		window->highest = sequence;
		window->seen =
			ahead < PR_WINDOW_BITS ? window->seen << ahead : 0;
		window->seen |= 1;
		return true;
	}
	behind = window->highest - sequence;
	if (behind >= PR_WINDOW_BITS || window->seen >> behind & 1)
		return false;
	window->seen |= UINT64_C(1) << behind;
	return true;
}
