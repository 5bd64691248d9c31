#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

#include "control/control.h"

/*
 * The document in force, and what control.c and accept.c need to read one
 * from the store. Calls neither of them.
 *
 * cp_may_replace - whether GENERATION may replace the one in force.
 * cp_put_in_force - replace the document in force and broadcast the new one.
 *	Takes ownership of the caller's reference, also when the generation is
 *	not higher than the one in force and DOCUMENT is ignored.
 * cp_parse_body - check a body against its digest and parse it. Returns NULL
 *	and logs the error when the digest differs or the document is invalid.
 * cp_decode_row - read generation and digest from a row of the tables
 *	document, generation or audit. Returns false when they are malformed.
 * cp_backoff_us - delay before the next retry: FIRST_US, doubled after each of
 *	FAILURES earlier failures up to MAX_US, with a random part of up to one
 *	half subtracted. Source: control/state.c
 */
bool cp_may_replace(const struct cp_control *control, uint64_t generation);
void cp_put_in_force(struct cp_control *control, struct doc_document *document);
struct doc_document *cp_parse_body(const struct cp_doc_id *id, const char *body,
				   size_t body_bytes);
bool cp_decode_row(const json_t *row, struct cp_doc_id *id);
uint64_t cp_backoff_us(GRand *random, uint32_t failures, uint64_t first_us,
		       uint64_t max_us);

#endif
