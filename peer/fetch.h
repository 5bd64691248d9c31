#ifndef PEER_FETCH_H
#define PEER_FETCH_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "document/document.h"
#include "peer/gossip.h"
#include "base/timer.h"

/*
 * Transfer of document bodies between entry hosts: ONC RPC over TCP with record
 * marking, in pieces of PR_WIRE_PIECE_BYTES. A host serves its own document to
 * many peers and runs one fetch from a peer at a time.
 */

enum {
	PR_MAX_BODY_BYTES = 4 << 20,
	PR_MAX_SERVED_CONNS = 64,
	/* A connection is closed after this time without a valid record. */
	PR_IDLE_TIMEOUT_US = 2 * 1000 * 1000
};

struct pr_fetch {
	uv_loop_t *loop;
	struct tm_service *timers;
	struct pr_gossip *gossip;
	uv_tcp_t listener;
	GPtrArray *conns; /* open: accepted ones and that of the fetch */
	uint32_t served_count; /* accepted and not yet closed */
	struct doc_document *served_document; /* or NULL */
	/* The running fetch. */
	struct pr_conn *fetch_conn; /* NULL: no fetch */
	uint64_t generation;
	char digest[DOC_DIGEST_BYTES];
	char source_host[PR_NAME_BYTES];
	struct nt_address source_address;
	uint32_t xid; /* of the pending call */
	GString *body; /* received so far */
	/* BODY is NULL when the fetch failed; valid during the callback. */
	void (*on_done)(void *ctx, uint64_t generation, const char *digest,
			const char *body, size_t body_bytes);
	void *ctx;
};

/*
 * pr_fetch_init - listen for fetches of peers at the address of GOSSIP.
 * Errors: ST_IO when the address cannot be bound. Source: peer/fetch.c
 */
enum st_kind pr_fetch_init(struct pr_fetch *fetch, uv_loop_t *loop,
			   struct tm_service *timers, struct pr_gossip *gossip,
			   struct st_status *status);

/*
 * pr_fetch_close - close every socket. A running fetch ends without a callback.
 * pr_fetch_free - release the memory, after the loop has run the close
 * callbacks.
 */
void pr_fetch_close(struct pr_fetch *fetch);
void pr_fetch_free(struct pr_fetch *fetch);

/* pr_fetch_set_document - serve DOCUMENT, in place of the previous one. */
void pr_fetch_set_document(struct pr_fetch *fetch,
			   struct doc_document *document);

/*
 * pr_fetch_start - fetch a body from HOST. Returns false, without a callback,
 * when a fetch is already running. A body that is passed to ON_DONE has the
 * digest DIGEST.
 */
bool pr_fetch_start(struct pr_fetch *fetch, const char *host,
		    const struct nt_address *address, uint64_t generation,
		    const char *digest);

#endif
