#include "control.h"

#include <string.h>

#include "log.h"

enum { CP_POLL_US = 1000 * 1000 };

/* A submission on its way through check, object store and table. */
struct cp_submission {
	struct cp_control *control;
	struct cp_callback callback;
	struct doc_document *document;
	uint64_t base;
	uint64_t row_version;
	char *author;
	char audit_key[96];
};

static void cp_read_row(struct cp_control *control);

static void cp_schedule(struct cp_control *control)
{
	tm_subscribe(control->timers, &control->poll, tm_now_us() + CP_POLL_US);
}

static void cp_put_in_force(struct cp_control *control,
			    struct doc_document *document)
{
	struct kn_msg_document msg = {
		.msg = { KN_DOCUMENT, sizeof(msg) },
		.document = document,
	};

	if (control->document &&
	    control->document->generation >= document->generation) {
		doc_unref(document);
		return;
	}
	doc_unref(control->document);
	control->document = document;
	lg_info("document", "generation %" G_GUINT64_FORMAT " is in force",
		document->generation);
	kn_broadcast(control->kernel, &msg.msg);
}

bool cp_offer_body(struct cp_control *control, uint64_t generation,
		   const char *digest, const char *body, size_t body_bytes)
{
	char actual[DOC_DIGEST_BYTES];
	struct ym_errors errors;
	struct doc_document *document;

	doc_digest(body, body_bytes, actual);
	if (strcmp(actual, digest)) {
		lg_error("document", "body does not match digest %s", digest);
		return false;
	}
	ym_errors_init(&errors);
	document = doc_parse(body, body_bytes, &errors);
	ym_errors_free(&errors);
	if (!document) {
		lg_error("document", "accepted document %s cannot be read",
			 digest);
		return false;
	}
	document->generation = generation;
	cp_put_in_force(control, document);
	return true;
}

static void cp_on_body(void *ctx, const struct pf_result *result)
{
	struct cp_control *control = ctx;

	control->fetching = false;
	if (result->status.kind == ST_OK)
		cp_offer_body(control, control->wanted_generation,
			      control->wanted_digest, result->body,
			      result->body_bytes);
}

static void cp_want(struct cp_control *control, uint64_t generation,
		    const char *digest)
{
	struct pf_callback callback = { cp_on_body, control };

	if (control->document && control->document->generation >= generation)
		return;
	if (control->fetching)
		return;
	control->fetching = true;
	control->wanted_generation = generation;
	g_strlcpy(control->wanted_digest, digest,
		  sizeof(control->wanted_digest));
	pf_get_object(control->platform, digest, &callback);
}

static void cp_on_row(void *ctx, const struct pf_result *result)
{
	struct cp_control *control = ctx;
	json_int_t generation;
	const char *digest;

	control->reading = false;
	cp_schedule(control);
	if (result->status.kind != ST_OK)
		return;
	if (json_unpack(result->json, "{s:I, s:s}", "generation", &generation,
			"digest", &digest)) {
		lg_error("document", "malformed row of the current document");
		return;
	}
	control->row_version = result->version;
	control->confirmed_us = tm_now_us();
	cp_want(control, (uint64_t)generation, digest);
}

static void cp_read_row(struct cp_control *control)
{
	struct pf_callback callback = { cp_on_row, control };

	if (control->reading)
		return;
	control->reading = true;
	pf_get(control->platform, "document", "current", &callback);
}

void cp_peer_generation(struct cp_control *control, const char *host,
			uint64_t generation, const char *digest,
			uint64_t age_us)
{
	if (generation)
		cp_want(control, generation, digest);
}

static void cp_on_poll(void *ctx)
{
	cp_read_row(ctx);
}

static void cp_on_message(void *ctx, const struct kn_msg *msg)
{
	struct cp_control *control = ctx;
	const struct kn_msg_generation *peer = (const void *)msg;

	if (msg->kind == KN_GENERATION)
		cp_peer_generation(control, peer->host, peer->generation,
				   peer->digest, 0);
}

enum st_kind cp_init(struct cp_control *control, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     const struct se_settings *settings,
		     struct st_status *status)
{
	memset(control, 0, sizeof(*control));
	control->kernel = kernel;
	control->timers = timers;
	control->platform = platform;
	control->settings = settings;
	control->task.name = "control";
	control->task.handle = cp_on_message;
	control->task.ctx = control;
	control->poll.fire = cp_on_poll;
	control->poll.ctx = control;
	cp_read_row(control);
	return kn_register(kernel, &control->task, status);
}

void cp_free(struct cp_control *control)
{
	tm_cancel(control->timers, &control->poll);
	doc_unref(control->document);
	control->document = NULL;
}

static void cp_answer_submission(struct cp_submission *submission,
				 enum st_kind kind, const char *msg,
				 const char *detail)
{
	struct cp_answer answer = { .detail = detail };

	st_set(&answer.status, kind, "%s", msg);
	if (submission->document) {
		answer.generation = submission->document->generation;
		g_strlcpy(answer.digest, submission->document->digest,
			  sizeof(answer.digest));
	}
	submission->callback.done(submission->callback.ctx, &answer);
	doc_unref(submission->document);
	g_free(submission->author);
	g_free(submission);
}

static void cp_on_written(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	struct cp_control *control = submission->control;

	if (result->status.kind != ST_OK) {
		cp_answer_submission(submission, result->status.kind,
				     result->status.msg, "");
		return;
	}
	submission->document->generation = submission->base + 1;
	cp_put_in_force(control, doc_ref(submission->document));
	cp_answer_submission(submission, ST_OK, "accepted", "");
}

static json_t *cp_row(const struct cp_submission *submission)
{
	return json_pack("{s:I, s:s, s:s}", "generation",
			 (json_int_t)submission->base + 1, "digest",
			 submission->document->digest, "author",
			 submission->author);
}

static void cp_write_row(struct cp_submission *submission)
{
	struct pf_callback callback = { cp_on_written, submission };
	json_t *conditions = json_array();
	json_t *writes = json_array();

	pf_condition(conditions, "document", "current",
		     submission->row_version);
	pf_write(writes, "document", "current", cp_row(submission));
	pf_write(writes, "audit", submission->audit_key, cp_row(submission));
	pf_txn(submission->control->platform, conditions, writes, &callback);
}

static void cp_on_base(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	json_int_t generation = 0;

	if (result->status.kind == ST_OK)
		json_unpack(result->json, "{s:I}", "generation", &generation);
	else if (result->status.kind != ST_NOT_FOUND) {
		cp_answer_submission(submission, ST_PLATFORM,
				     result->status.msg, "");
		return;
	}
	if ((uint64_t)generation != submission->base) {
		cp_answer_submission(submission, ST_CONFLICT,
				     "the base was replaced", "");
		return;
	}
	submission->row_version = result->version;
	cp_write_row(submission);
}

static void cp_on_object(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	struct pf_callback callback = { cp_on_base, submission };

	if (result->status.kind != ST_OK) {
		cp_answer_submission(submission, ST_PLATFORM,
				     result->status.msg, "");
		return;
	}
	pf_get(submission->control->platform, "document", "current", &callback);
}

void cp_submit(struct cp_control *control, const char *text, size_t text_bytes,
	       uint64_t base, const char *author,
	       const struct cp_callback *callback)
{
	struct cp_submission *submission = g_new0(struct cp_submission, 1);
	struct pf_callback put = { cp_on_object, submission };
	struct ym_errors errors;

	submission->control = control;
	submission->callback = *callback;
	submission->base = base;
	submission->author = g_strdup(author);
	g_snprintf(submission->audit_key, sizeof(submission->audit_key),
		   "%020" G_GINT64_FORMAT "-%s", g_get_real_time(),
		   control->settings->host);
	ym_errors_init(&errors);
	submission->document = doc_parse(text, text_bytes, &errors);
	if (submission->document) {
		pf_put_object(control->platform, submission->document->digest,
			      text, text_bytes, &put);
	} else {
		GString *detail = g_string_new(NULL);

		ym_errors_print(&errors, detail);
		cp_answer_submission(submission, ST_INVALID,
				     "the document has errors", detail->str);
		g_string_free(detail, TRUE);
	}
	ym_errors_free(&errors);
}
