#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <peer_rpc.h>

#include "document/document.h"

/*
 * Encoding, authentication and replay protection of messages between entry
 * hosts.
 *
 * A message is an ONC RPC call or reply. Its verifier holds an HMAC-SHA-256
 * over the whole message with the bytes of the verifier itself set to zero.
 */

enum {
	PR_MAX_DATAGRAM_BYTES = 1400,
	PR_MAX_RECORD_BYTES = PR_WIRE_PIECE_BYTES + 1024,
	PR_WINDOW_BITS = 64
};

/* A decoded message, or one to be encoded. */
struct pr_msg {
	uint32_t xid;
	bool reply;
	uint32_t procedure; /* in a reply: that of the call */
	struct pr_msg_origin origin;
	union {
		struct pr_msg_heartbeat heartbeat;
		struct pr_msg_fetch fetch;
		struct pr_msg_piece piece;
	} u;
};

/*
 * pr_wire_encode - encode and sign MSG.
 * Returns the size in bytes, or 0 when it does not fit into OUT.
 * Source: peer/wire.c
 */
size_t pr_wire_encode(const char *key, struct pr_msg *msg, char *out,
		      size_t out_bytes);

/*
 * pr_wire_decode - check and decode a message into MSG. A call must be for
 * PROCEDURE; a reply is decoded as the result of PROCEDURE. MSG must be
 * released with pr_wire_free.
 * Returns false, with nothing to release, when the message is malformed or
 * incomplete, has trailing bytes, or its HMAC is not valid for KEY.
 */
bool pr_wire_decode(const char *key, uint32_t procedure, const char *data,
		    size_t data_bytes, struct pr_msg *msg);
void pr_wire_free(struct pr_msg *msg);

/*
 * pr_wire_name_is_valid - whether TEXT is not empty and all its characters are
 * printable and not spaces.
 */
bool pr_wire_name_is_valid(const char *text);

/*
 * pr_digest_to_wire, pr_digest_from_wire - convert a digest from hexadecimal
 * text to raw bytes and back.
 */
void pr_digest_to_wire(const char *text, char bytes[PR_WIRE_DIGEST_BYTES]);
void pr_digest_from_wire(const char bytes[PR_WIRE_DIGEST_BYTES],
			 char text[DOC_DIGEST_BYTES]);

/*
 * Replay window: sequence numbers accepted from one sender. Bit I of SEEN is
 * set when the number HIGHEST - I has been accepted.
 */
struct pr_replay_window {
	uint64_t incarnation;
	uint64_t highest;
	uint64_t seen;
};

/*
 * pr_replay_window_accept - whether a message with these numbers is new; if so
 * it is recorded. Numbers may arrive out of order by less than PR_WINDOW_BITS.
 * Messages of an earlier incarnation are always rejected.
 */
bool pr_replay_window_accept(struct pr_replay_window *window,
			     uint64_t incarnation, uint64_t sequence);

#endif
