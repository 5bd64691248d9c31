#include "control/state.h"

#include <string.h>

#include "base/log.h"
#include "base/mechanism.h"

enum { CP_MAX_BACKOFF_SHIFT = 8, CP_DIGEST_CHARS = DOC_DIGEST_BYTES - 1 };

uint64_t cp_backoff_us(GRand *random, uint32_t failures, uint64_t first_us,
		       uint64_t max_us)
{
	uint32_t shift = MIN(failures, CP_MAX_BACKOFF_SHIFT);
	uint64_t delay_us = MIN(first_us << shift, max_us);

	return (uint64_t)((double)delay_us *
			  g_rand_double_range(random, 0.5, 1.0));
}

bool cp_is_digest(const char *text)
{
	for (const char *p = text; *p; p++)
		if (!g_ascii_isxdigit(*p) || g_ascii_isupper(*p))
			return false;
	return strlen(text) == CP_DIGEST_CHARS;
}

bool cp_decode_row(const json_t *row, struct cp_doc_id *id)
{
	const json_t *generation = json_object_get(row, "generation");
	const char *digest = json_string_value(json_object_get(row, "digest"));

	if (!json_is_integer(generation) ||
	    json_integer_value(generation) <= 0 || !digest ||
	    !cp_is_digest(digest))
		return false;
	id->generation = (uint64_t)json_integer_value(generation);
	g_strlcpy(id->digest, digest, sizeof(id->digest));
	return true;
}

void cp_generation_key(uint64_t generation, char key[32])
{
	g_snprintf(key, 32, "%020" G_GUINT64_FORMAT, generation);
}

static uint64_t cp_generation_in_force(const struct cp_control *control)
{
	return control->document ? control->document->generation : 0;
}

bool cp_may_replace(const struct cp_control *control, uint64_t generation)
{
	if (!me_on(ME_GENERATION_ORDER))
		return generation != cp_generation_in_force(control);
	return generation > cp_generation_in_force(control);
}

void cp_put_in_force(struct cp_control *control, struct doc_document *document)
{
	struct kn_msg_document msg = {
		.msg = { KN_DOCUMENT, sizeof(msg) },
		.document = document,
	};

	if (!cp_may_replace(control, document->generation)) {
		doc_unref(document);
		return;
	}
	doc_unref(control->document);
	control->document = document;
	lg_info("document", "generation %" G_GUINT64_FORMAT " is in force",
		document->generation);
	kn_broadcast(control->kernel, &msg.msg);
}

struct doc_document *cp_parse_body(const struct cp_doc_id *id, const char *body,
				   size_t body_bytes)
{
	char digest[DOC_DIGEST_BYTES];
	struct ym_errors errors;
	struct doc_document *document;

	doc_digest(body, body_bytes, digest);
	if (strcmp(digest, id->digest) && me_on(ME_DIGEST_CHECK)) {
		lg_error("document", "body does not match digest %s; not used",
			 id->digest);
		return NULL;
	}
	ym_errors_init(&errors);
	document = doc_parse(body, body_bytes, &errors);
	if (!document)
		lg_error("document", "document %s has errors: line %u: %s",
			 id->digest, errors.rows[0].line, errors.rows[0].msg);
	ym_errors_free(&errors);
	if (document)
		document->generation = id->generation;
	return document;
}
