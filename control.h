#ifndef CONTROL_H
#define CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "document.h"
#include "kernel.h"
#include "platform.h"
#include "settings.h"
#include "timer.h"

/*
 * Control task: follows the accepted document, accepts new ones and writes the
 * audit trail. Registered as "control". Sends KN_DOCUMENT to every task when
 * a document comes into force; a lower generation never does.
 */
struct cp_control {
	struct kn_kernel *kernel;
	struct tm_service *timers;
	struct pf_client *platform;
	const struct se_settings *settings;
	struct kn_task task;
	struct tm_sub poll;
	struct doc_document *document; /* in force, or NULL */
	uint64_t row_version; /* of the current row that was read last */
	uint64_t wanted_generation;
	char wanted_digest[DOC_DIGEST_BYTES];
	uint64_t confirmed_us; /* when the platform last told the current row */
	bool fetching;
	bool reading;
};

/* Answer to a submission; valid during the callback only. */
struct cp_answer {
	struct st_status status;
	uint64_t generation; /* accepted, or in force when refused */
	char digest[DOC_DIGEST_BYTES];
	const char *detail; /* check errors or what changed, may be "" */
};

struct cp_callback {
	void (*done)(void *ctx, const struct cp_answer *answer);
	void *ctx;
};

/* cp_init, cp_free - control task on caller-owned memory. Source: control.c */
enum st_kind cp_init(struct cp_control *control, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     const struct se_settings *settings,
		     struct st_status *status);
void cp_free(struct cp_control *control);

/*
 * cp_submit - check TEXT and accept it if the generation in force is BASE.
 * CALLBACK gets ST_OK, ST_INVALID, ST_CONFLICT or ST_PLATFORM. AUTHOR goes
 * into the audit trail.
 */
void cp_submit(struct cp_control *control, const char *text, size_t text_bytes,
	       uint64_t base, const char *author,
	       const struct cp_callback *callback);

/*
 * cp_peer_generation - HOST has GENERATION with DIGEST in force, and said so
 * AGE_US ago.
 */
void cp_peer_generation(struct cp_control *control, const char *host,
			uint64_t generation, const char *digest,
			uint64_t age_us);

/*
 * cp_offer_body - a document body that came from a peer. It comes into force
 * when it matches DIGEST and GENERATION is higher than the one in force.
 * Returns whether the body was usable.
 */
bool cp_offer_body(struct cp_control *control, uint64_t generation,
		   const char *digest, const char *body, size_t body_bytes);

#endif
