#ifndef CONTROL_H
#define CONTROL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "document.h"
#include "kernel.h"
#include "platform/store.h"
#include "settings.h"
#include "timer.h"

/*
 * Control task: follows the accepted document, accepts new ones and writes the
 * audit trail. Registered as "control". Sends KN_DOCUMENT to every task when
 * a document comes into force; a lower generation never does.
 *
 * Rows in the platform's table service:
 *	document/current	generation and digest in force
 *	generation/N		the digest of every accepted generation
 *	audit/SUBMISSION	every submission with its result
 */
enum {
	CP_SUBMISSION_ID_BYTES = 96,
	CP_AUTHOR_BYTES = 65,
	CP_MAX_SUBMISSIONS = 16,
	CP_MAX_CHANGE_LINES = 100
};

/* A document that is wanted or fetched. */
struct cp_doc_id {
	uint64_t generation;
	char digest[DOC_DIGEST_BYTES];
};

/* What a seed peer said last. */
struct cp_seed_peer {
	char host[KN_NAME_BYTES];
	struct cp_doc_id doc_id;
	uint64_t reported_us;
};

struct cp_control {
	struct kn_kernel *kernel;
	struct tm_service *timers;
	struct pf_client *platform;
	const struct se_settings *settings;
	struct kn_task task;
	struct tm_sub poll_timer;
	struct tm_sub refetch_timer;
	GRand *random;
	struct doc_document *document; /* in force, or NULL */
	uint32_t host_count;
	bool row_read_pending;
	bool row_was_read; /* the current row was read at least once */
	bool row_read_failed; /* the newest read of the row failed */
	uint64_t row_read_us; /* when the row was read last; 0: never */
	uint64_t row_generation; /* highest that was read from the row */
	struct cp_doc_id target; /* newest known, maybe not yet in force */
	struct cp_doc_id fetch_id; /* being fetched */
	bool fetching;
	uint32_t fetch_failures; /* in a row */
	struct cp_seed_peer seed_peers[SE_MAX_SEEDS];
	uint32_t seed_peer_count;
	struct cp_submission *submissions;
	uint32_t submission_count;
	uint32_t last_submission;
};

/* Answer to a submission; valid during the callback only. */
struct cp_answer {
	struct st_status status;
	uint64_t generation; /* accepted, or in force when refused */
	char digest[DOC_DIGEST_BYTES];
	const char *submission_id; /* its id, for a repetition */
	const char *detail; /* check errors or what changed, may be "" */
	json_t *changes; /* of a conflict, doc_diff_json; may be NULL */
};

struct cp_callback {
	void (*done)(void *ctx, const struct cp_answer *answer);
	void *ctx;
};

/*
 * cp_init, cp_free - control task on caller-owned memory. cp_free ends open
 * submissions with ST_STOPPING; the loop must not run between it and pf_free.
 * Source: control.c, acceptance in control_accept.c
 */
enum st_kind cp_init(struct cp_control *control, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     const struct se_settings *settings,
		     struct st_status *status);
void cp_free(struct cp_control *control);

/*
 * cp_set_host_count - number of live entry hosts, this one included. All hosts
 * together read the current row about ten times a second.
 * cp_poll_interval_us - the interval that follows from it, without jitter.
 */
void cp_set_host_count(struct cp_control *control, uint32_t count);
uint64_t cp_poll_interval_us(const struct cp_control *control);

/*
 * cp_on_peer_generation - a peer has GENERATION with DIGEST in force. AGE_US is
 * the time since the peer said so. A host that has a document or has read the
 * current row wants the document if it is newer. A fresh host waits, and when
 * the platform cannot be read it wants the highest generation as soon as more
 * than half of the seed peers have answered within the last 10 s. GENERATION 0
 * (the peer has no document) is not counted, because it says nothing about
 * which document is accepted. HOST must be a seed peer of the settings until
 * the host has a document.
 */
void cp_on_peer_generation(struct cp_control *control, const char *host,
			   uint64_t generation, const char *digest,
			   uint64_t age_us);

/*
 * cp_offer_body - a document body that came from a peer. It comes into force
 * when its digest is DIGEST, GENERATION is wanted or newer, and a fresh host
 * may begin to serve (see cp_on_peer_generation). Returns whether the body was
 * usable.
 */
bool cp_offer_body(struct cp_control *control, uint64_t generation,
		   const char *digest, const char *body, size_t body_bytes);

/*
 * cp_get_missing - the newest document that is known and not in force, for a part
 * that can fetch it from a peer. Returns false when there is none.
 */
bool cp_get_missing(const struct cp_control *control, uint64_t *generation,
		    char digest[DOC_DIGEST_BYTES]);

/* A submission; the texts are copied. */
struct cp_request {
	const char *text;
	size_t text_bytes;
	uint64_t
		base_generation; /* generation that the text was written against */
	const char *author; /* printable UTF-8, CP_AUTHOR_BYTES with the NUL */
	const char *
		submission_id; /* id of an earlier try, or NULL for a new one */
};

/*
 * cp_submit - check a document and accept it if the generation in force is the
 * base. CALLBACK gets
 *	ST_OK		accepted, or equal to the document in force
 *	ST_INVALID	refused by the checks, DETAIL lists the errors
 *	ST_CONFLICT	another change was accepted, DETAIL says which
 *	ST_USAGE	bad author or submission id
 *	ST_KEY_REUSED	the submission id belongs to another text
 *	ST_PLATFORM	not accepted, the platform does not answer
 *	ST_PLATFORM_UNKNOWN	a write was not answered and could not be read
 *			back; repeat under the same submission id
 *	ST_QUEUE_FULL	CP_MAX_SUBMISSIONS are in progress
 */
void cp_submit(struct cp_control *control, const struct cp_request *request,
	       const struct cp_callback *callback);

/* cp_is_submission_id - whether TEXT has the form of a submission id. */
bool cp_is_submission_id(const char *text);

/* cp_generation_key - key of a generation's row. */
void cp_generation_key(uint64_t generation, char key[32]);

/* cp_is_digest - whether TEXT is a SHA-256 in lower-case hexadecimal. */
bool cp_is_digest(const char *text);

#endif
