#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "document/document.h"
#include "base/kernel.h"
#include "platform/store.h"
#include "base/settings.h"
#include "base/timer.h"

/*
 * Control task, registered as "control".
 *
 * A document is the operators' configuration of the load balancer. An accepted
 * document has a generation, which is one higher than that of the document
 * that it replaces, and a digest. The document in force on a host is the one
 * that the host applies now; it is only replaced by a higher generation.
 *
 * The task polls the platform for the accepted document, fetches its body,
 * puts it in force and broadcasts KN_DOCUMENT to every task. It also accepts
 * submissions of new documents and writes the audit trail.
 *
 * Rows in the platform's table service (table/key):
 *	document/current	generation and digest of the newest accepted
 *				document, called the current row below
 *	generation/N		digest of generation N, for every accepted one
 *	audit/SUBMISSION	a submission and its result, by submission id
 *
 * The body of a document is an object of the platform's store, named by its
 * digest.
 */
enum {
	CP_SUBMISSION_ID_BYTES = 96,
	CP_AUTHOR_BYTES = 65,
	CP_MAX_SUBMISSIONS = 16,
	CP_MAX_CHANGE_LINES = 100
};

/* Identifies an accepted document. Generation 0: none. */
struct cp_doc_id {
	uint64_t generation;
	char digest[DOC_DIGEST_BYTES];
};

/* The document that a seed peer last reported as in force. */
struct cp_seed_peer {
	char host[KN_NAME_BYTES];
	struct cp_doc_id doc_id;
	uint64_t reported_us; /* monotonic time of the report */
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
	uint32_t host_count; /* live entry hosts, this one included */
	bool row_read_pending; /* a read of the current row is outstanding */
	bool row_was_read; /* the row was read or found to be absent */
	bool row_read_failed; /* the latest read of the row failed */
	uint64_t row_read_us; /* last read that found a valid row; 0: never */
	uint64_t row_generation; /* highest one read from the row */
	uint64_t row_era; /* of the platform's store when it was read */
	struct cp_doc_id target; /* to be put in force, or in force already */
	struct cp_doc_id fetch_id; /* of the latest fetch from the platform */
	bool fetching;
	uint32_t fetch_failures; /* consecutive ones, of the target */
	struct cp_seed_peer seed_peers[SE_MAX_SEEDS];
	uint32_t seed_peer_count;
	struct cp_submission *submissions;
	uint32_t submission_count;
	uint32_t last_submission;
};

/* Answer to a submission; valid during the callback only. */
struct cp_answer {
	struct st_status status;
	/* Of the accepted document, or the current one when refused; or 0. */
	uint64_t generation;
	char digest[DOC_DIGEST_BYTES];
	const char *submission_id; /* to repeat the submission with */
	const char *detail; /* errors of the checks or changes; may be "" */
	/* Conflict: changes since the base (doc_diff_json); may be NULL. */
	json_t *changes;
};

struct cp_callback {
	void (*done)(void *ctx, const struct cp_answer *answer);
	void *ctx;
};

/*
 * cp_init, cp_free - start and stop the control task, whose memory the caller
 * owns. cp_free answers pending submissions with ST_STOPPING. The event loop
 * must not run between cp_free and pf_free, because only pf_free cancels the
 * platform operations whose callbacks use CONTROL.
 * Source: control/control.c, which follows documents; acceptance in control/accept.c;
 * the document in force in state.c
 */
enum st_kind cp_init(struct cp_control *control, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     const struct se_settings *settings,
		     struct st_status *status);
void cp_free(struct cp_control *control);

/*
 * cp_set_host_count - set the number of live entry hosts, this one included.
 * The poll interval grows with it, so that all hosts together read the current
 * row at most about ten times a second.
 * cp_poll_interval_us - the resulting poll interval, without jitter.
 */
void cp_set_host_count(struct cp_control *control, uint32_t count);
uint64_t cp_poll_interval_us(const struct cp_control *control);

/*
 * cp_on_peer_generation - handle a peer's report that it has GENERATION with
 * DIGEST in force. AGE_US is the time since the peer sent the report.
 *
 * A host that has a document in force or has read the current row fetches the
 * reported document if it is newer. A bootstrapping host, which has done
 * neither, waits for the platform. If the platform cannot be read, it fetches
 * the highest reported generation as soon as more than half of the seed peers
 * have reported within the last 10 s. Reports of GENERATION 0 (the peer has no
 * document) do not count, because they do not show which document is accepted.
 * Until this host has a document, HOST must be a seed peer of the settings.
 */
void cp_on_peer_generation(struct cp_control *control, const char *host,
			   uint64_t generation, const char *digest,
			   uint64_t age_us);

/*
 * cp_offer_body - put a document in force whose body was fetched from a peer.
 * The body must match DIGEST and be a valid document; if GENERATION is that of
 * the target, DIGEST must be the target's as well. GENERATION must be higher
 * than the one in force and, without a document in force, at least as
 * high as that of the current row or, if the row was never read and the
 * platform does not answer, as the highest one that a majority of the seed
 * peers reported (see cp_on_peer_generation). Returns false when the body was
 * not used.
 */
bool cp_offer_body(struct cp_control *control, uint64_t generation,
		   const char *digest, const char *body, size_t body_bytes);

/*
 * cp_get_missing - get the generation and digest of the document that is to be
 * put in force and whose body is still missing, so that it can be fetched from
 * a peer. Returns false when there is none.
 */
bool cp_get_missing(const struct cp_control *control, uint64_t *generation,
		    char digest[DOC_DIGEST_BYTES]);

/* Input of cp_submit_document; its texts are copied. */
struct cp_request {
	const char *text;
	size_t text_bytes;
	/* Generation that the text was edited from; 0: there was none. */
	uint64_t base_generation;
	const char *author; /* printable UTF-8, less than CP_AUTHOR_BYTES */
	/* Id of an earlier try of the same submission, NULL for a new one. */
	const char *submission_id;
};

/*
 * cp_submit_document - check a document and accept it if its base is the
 * generation of the current row. CALLBACK gets
 *	ST_OK		accepted, or equal to the current document
 *	ST_INVALID	the document has errors, which DETAIL lists
 *	ST_CONFLICT	another document was accepted since the base, or the
 *			base was never accepted. The first answer lists the
 *			differences in DETAIL and CHANGES if both documents
 *			could be read; that to a repetition may lack them
 *	ST_USAGE	invalid author, base or submission id
 *	ST_KEY_REUSED	the submission id was used for another text
 *	ST_PLATFORM	not accepted, because the platform does not answer or
 *			its current row is malformed or outdated
 *	ST_PLATFORM_UNKNOWN	the answer to a write was lost and the outcome
 *			could not be read back; repeat the submission with the
 *			same submission id
 *	ST_QUEUE_FULL	CP_MAX_SUBMISSIONS are in progress
 *	ST_STOPPING	the host stops; a write may have taken effect
 */
void cp_submit_document(struct cp_control *control,
			const struct cp_request *request,
			const struct cp_callback *callback);

/* cp_is_submission_id - whether TEXT has the form of a submission id. */
bool cp_is_submission_id(const char *text);

/* cp_generation_key - format the key of a row of the generation table. */
void cp_generation_key(uint64_t generation, char key[32]);

/* cp_is_digest - whether TEXT is a SHA-256 in lower-case hexadecimal. */
bool cp_is_digest(const char *text);

#endif
