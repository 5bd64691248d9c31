#ifndef CONTROL_ACCEPT_H
#define CONTROL_ACCEPT_H

#include "control.h"

/*
 * What the two halves of the control task share: control.c follows accepted
 * documents, control_accept.c accepts new ones.
 *
 * cp_put_in_force - takes over the reference; lower generations are dropped.
 * cp_parse_body - check a body against its digest and parse it, or NULL.
 * cp_decode_row - generation and digest of a row; false when malformed.
 * cp_backoff_us - delay after FAILURES failures, doubled each time up to
 *	MAX_US, with a jitter of one half.
 * cp_end_submissions - answer all with ST_STOPPING.
 */
void cp_put_in_force(struct cp_control *control, struct doc_document *document);
struct doc_document *cp_parse_body(const struct cp_doc_id *id, const char *body,
				   size_t body_bytes);
bool cp_decode_row(const json_t *row, struct cp_doc_id *id);
uint64_t cp_backoff_us(GRand *random, uint32_t failures, uint64_t first_us,
		       uint64_t max_us);
void cp_end_submissions(struct cp_control *control);

#endif
