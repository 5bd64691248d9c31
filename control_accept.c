#include "control_accept.h"

#include <string.h>

#include "json_text.h"
#include "log.h"
#include "mechanism.h"

enum {
	CS_BACKOFF_US = 100 * 1000,
	CS_MAX_BACKOFF_US = 1000 * 1000,
	/* Time for retries while nothing was written. */
	CS_LIMIT_US = 3 * 1000 * 1000,
	/* Time to read back a write whose answer was lost. */
	CS_LIMIT_IN_DOUBT_US = 12 * 1000 * 1000,
	CS_TIME_BYTES = 32,
	CS_ID_TIME_DIGITS = 20
};

/*
 * A submission on its way: checks, current row, object store, transaction.
 *
 * The transaction requires that the current row is unchanged and that no audit
 * row with the submission's id exists. A repetition can therefore never be
 * written twice, and the audit row tells how the submission ended.
 */
struct cp_submission {
	struct cp_submission *next;
	struct cp_submission **prev_next;
	struct cp_control *control;
	struct cp_callback callback;
	struct tm_sub timer;
	struct doc_document *document; /* NULL when it is invalid */
	char digest[DOC_DIGEST_BYTES];
	char *author;
	char id[CP_SUBMISSION_BYTES];
	uint64_t base;
	uint64_t started_us;
	uint32_t failures;
	bool in_doubt; /* a transaction was sent and not answered */
	bool refused_write; /* a condition of the transaction failed */
	/* The current row as read last; generation 0 when there is none. */
	struct cp_target current;
	uint64_t row_version;
	char *current_author;
	char current_time[CS_TIME_BYTES];
	/* Explanation of a conflict. */
	struct cp_target base_target;
	struct doc_document *base_document;
	/* Outcome. */
	struct cp_answer answer;
	GString *detail;
};

static void cs_read_row(struct cp_submission *submission);
static void cs_put(struct cp_submission *submission);
static void cs_explain(struct cp_submission *submission);

static void cs_free(struct cp_submission *submission)
{
	*submission->prev_next = submission->next;
	if (submission->next)
		submission->next->prev_next = submission->prev_next;
	submission->control->submission_count--;
	tm_cancel(submission->control->timers, &submission->timer);
	doc_unref(submission->document);
	doc_unref(submission->base_document);
	json_decref(submission->answer.changes);
	g_string_free(submission->detail, TRUE);
	g_free(submission->current_author);
	g_free(submission->author);
	g_free(submission);
}

static void cs_answer(struct cp_submission *submission)
{
	struct cp_answer *answer = &submission->answer;

	answer->detail = submission->detail->str;
	answer->submission = submission->id;
	lg_info("submission", "%s from %s: %s: %s", submission->id,
		submission->author, st_name(answer->status.kind),
		answer->status.msg);
	submission->callback.done(submission->callback.ctx, answer);
	cs_free(submission);
}

static void cs_set(struct cp_submission *submission, enum st_kind kind,
		   const char *msg)
{
	st_set(&submission->answer.status, kind, "%s", msg);
}

static void cs_set_target(struct cp_submission *submission, uint64_t generation,
			  const char *digest)
{
	submission->answer.generation = generation;
	g_strlcpy(submission->answer.digest, digest,
		  sizeof(submission->answer.digest));
}

static void cs_accepted(struct cp_submission *submission, uint64_t generation)
{
	cs_set(submission, ST_OK, "accepted");
	cs_set_target(submission, generation, submission->digest);
	submission->document->generation = generation;
	cp_put_in_force(submission->control, doc_ref(submission->document));
	cs_answer(submission);
}

static void cs_now(char text[CS_TIME_BYTES])
{
	GDateTime *now = g_date_time_new_now_utc();
	char *iso = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");

	g_strlcpy(text, iso, CS_TIME_BYTES);
	g_free(iso);
	g_date_time_unref(now);
}

/* Row of an outcome; the same for the audit trail and the current row. */
static json_t *cs_row(const struct cp_submission *submission,
		      const char *result, const char *reason,
		      uint64_t generation)
{
	char now[CS_TIME_BYTES];

	cs_now(now);
	return json_pack("{s:s, s:I, s:s, s:o, s:I, s:s, s:s, s:o, s:o}",
			 "result", result, "generation", (json_int_t)generation,
			 "digest", submission->digest, "author",
			 jt_string(submission->author), "base",
			 (json_int_t)submission->base, "time", now,
			 "submission", submission->id, "host",
			 jt_string(submission->control->settings->host),
			 "reason", jt_string(reason));
}

static void cs_on_audited(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind != ST_OK && result->status.kind != ST_CONFLICT)
		lg_warn("audit", "row of submission %s may be missing: %s",
			submission->id, result->status.msg);
	cs_answer(submission);
}

/*
 * Writes the audit row of a submission that changes nothing, then answers.
 * The answer does not depend on whether the row could be written.
 */
static void cs_audit_and_answer(struct cp_submission *submission,
				const char *result)
{
	struct pf_callback callback = { cs_on_audited, submission };
	json_t *conditions = json_array();
	json_t *writes = json_array();
	GString *reason = g_string_new(submission->answer.status.msg);

	if (submission->detail->len)
		g_string_append_printf(reason, ": %.400s",
				       submission->detail->str);
	pf_condition(conditions, "audit", submission->id, 0);
	pf_write(writes, "audit", submission->id,
		 cs_row(submission, result, g_strchomp(reason->str),
			submission->answer.generation));
	pf_txn(submission->control->platform, conditions, writes, &callback);
	g_string_free(reason, TRUE);
}

static void cs_on_retry(void *ctx)
{
	cs_read_row(ctx);
}

static void cs_give_up(struct cp_submission *submission, const char *msg)
{
	struct st_status *status = &submission->answer.status;

	if (submission->in_doubt)
		st_set(status, ST_PLATFORM_UNKNOWN,
		       "the outcome is not known (%s), repeat it with "
		       "--submission %s",
		       msg, submission->id);
	else
		st_set(status, ST_PLATFORM, "not accepted, %s", msg);
	cs_answer(submission);
}

/* Begins again with the current row after a back-off, within the time limit. */
static void cs_retry(struct cp_submission *submission, const char *msg)
{
	struct cp_control *control = submission->control;
	uint64_t delay_us = cp_backoff_us(control->random, submission->failures,
					  CS_BACKOFF_US, CS_MAX_BACKOFF_US);
	uint64_t limit_us =
		submission->in_doubt ? CS_LIMIT_IN_DOUBT_US : CS_LIMIT_US;
	uint64_t now_us = tm_now_us();

	if (now_us + delay_us > submission->started_us + limit_us) {
		cs_give_up(submission, msg);
		return;
	}
	submission->failures++;
	submission->timer.fire = cs_on_retry;
	submission->timer.ctx = submission;
	tm_subscribe(control->timers, &submission->timer, now_us + delay_us);
}

static bool cs_is_current(const struct cp_submission *submission)
{
	return submission->current.generation &&
	       !strcmp(submission->current.digest, submission->digest);
}

static bool cs_is_replaced(const struct cp_submission *submission)
{
	return me_on(ME_CONDITIONAL_ACCEPT) &&
	       submission->current.generation != submission->base;
}

static void cs_unchanged(struct cp_submission *submission)
{
	cs_set(submission, ST_OK, "unchanged, this text is in force");
	cs_set_target(submission, submission->current.generation,
		      submission->current.digest);
	cs_audit_and_answer(submission, "unchanged");
}

/* The audit row tells how an earlier try of this submission ended. */
static void cs_settle(struct cp_submission *submission, const json_t *row)
{
	const char *result = jt_get_string(row, "result");
	struct cp_target target = { 0 };

	if (strcmp(jt_get_string(row, "digest"), submission->digest) != 0) {
		cs_set(submission, ST_KEY_REUSED,
		       "the submission id belongs to another document");
		cs_answer(submission);
		return;
	}
	if (!strcmp(result, "accepted") && cp_decode_row(row, &target)) {
		cs_accepted(submission, target.generation);
		return;
	}
	cp_decode_row(row, &target);
	cs_set_target(submission, target.generation, target.digest);
	if (!strcmp(result, "unchanged"))
		cs_set(submission, ST_OK, "unchanged, this text is in force");
	else
		st_set(&submission->answer.status, ST_CONFLICT,
		       "this submission was refused before: %s",
		       jt_get_string(row, "reason"));
	cs_answer(submission);
}

static void cs_on_audit(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind == ST_OK)
		cs_settle(submission, result->json);
	else if (result->status.kind != ST_NOT_FOUND)
		cs_retry(submission, result->status.msg);
	else if (cs_is_current(submission))
		cs_unchanged(submission);
	else if (cs_is_replaced(submission))
		cs_explain(submission);
	else
		cs_put(submission);
}

static void cs_read_audit(struct cp_submission *submission)
{
	struct pf_callback callback = { cs_on_audit, submission };

	submission->refused_write = false;
	pf_get(submission->control->platform, "audit", submission->id,
	       &callback);
}

static void cs_on_written(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	switch (result->status.kind) {
	case ST_OK:
		cs_accepted(submission, submission->base + 1);
		return;
	case ST_CONFLICT:
		submission->refused_write = true;
		break;
	case ST_PLATFORM_UNKNOWN:
		submission->in_doubt = true;
		if (me_on(ME_READ_BACK))
			break;
		cs_give_up(submission, result->status.msg);
		return;
	default:
		break;
	}
	cs_retry(submission, result->status.msg);
}

static void cs_write(struct cp_submission *submission)
{
	struct pf_callback callback = { cs_on_written, submission };
	uint64_t generation = submission->base + 1;
	json_t *conditions = json_array();
	json_t *writes = json_array();
	char key[32];

	if (me_on(ME_CONDITIONAL_ACCEPT))
		pf_condition(conditions, "document", "current",
			     submission->row_version);
	pf_condition(conditions, "audit", submission->id, 0);
	cp_generation_key(generation, key);
	pf_write(writes, "document", "current",
		 cs_row(submission, "accepted", "", generation));
	pf_write(writes, "generation", key,
		 cs_row(submission, "accepted", "", generation));
	pf_write(writes, "audit", submission->id,
		 cs_row(submission, "accepted", "", generation));
	pf_txn(submission->control->platform, conditions, writes, &callback);
}

static void cs_on_put(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind == ST_OK)
		cs_write(submission);
	else
		cs_retry(submission, result->status.msg);
}

static void cs_put(struct cp_submission *submission)
{
	struct pf_callback callback = { cs_on_put, submission };

	pf_put_object(submission->control->platform, submission->digest,
		      submission->document->text,
		      submission->document->text_bytes, &callback);
}

static bool cs_keep_row(struct cp_submission *submission,
			const struct pf_result *result)
{
	memset(&submission->current, 0, sizeof(submission->current));
	submission->row_version = 0;
	if (result->status.kind == ST_NOT_FOUND)
		return true;
	if (!cp_decode_row(result->json, &submission->current))
		return false;
	submission->row_version = result->version;
	g_free(submission->current_author);
	submission->current_author =
		g_strdup(jt_get_string(result->json, "author"));
	g_strlcpy(submission->current_time, jt_get_string(result->json, "time"),
		  sizeof(submission->current_time));
	return true;
}

/*
 * Hosts ignore a generation that is not higher than theirs, so a document that
 * was accepted on top of an outdated row would never come into force.
 */
static bool cs_is_outdated(const struct cp_submission *submission)
{
	const struct cp_control *control = submission->control;
	uint64_t known = control->row_generation;

	if (control->document)
		known = MAX(known, control->document->generation);
	return submission->current.generation < known;
}

static void cs_on_row(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind != ST_OK &&
	    result->status.kind != ST_NOT_FOUND) {
		cs_retry(submission, result->status.msg);
		return;
	}
	if (!cs_keep_row(submission, result)) {
		cs_set(submission, ST_PLATFORM,
		       "not accepted, the row of the current document is "
		       "malformed");
		cs_answer(submission);
		return;
	}
	if (cs_is_outdated(submission)) {
		cs_retry(submission,
			 "the platform's row is older than what is in force");
		return;
	}
	/*
	 * The audit row is read after the current row: if this submission
	 * changed the current row, its audit row is there.
	 */
	if (cs_is_current(submission) || cs_is_replaced(submission) ||
	    submission->refused_write)
		cs_read_audit(submission);
	else
		cs_put(submission);
}

static void cs_read_row(struct cp_submission *submission)
{
	struct pf_callback callback = { cs_on_row, submission };

	pf_get(submission->control->platform, "document", "current", &callback);
}

/*
 * Explanation of a conflict: base document, current document, differences.
 * What cannot be read is named in the detail; the answer stays a conflict.
 */
static void cs_conflict(struct cp_submission *submission)
{
	struct st_status *status = &submission->answer.status;

	cs_set_target(submission, submission->current.generation,
		      submission->current.digest);
	if (submission->base > submission->current.generation)
		st_set(status, ST_CONFLICT,
		       "the base %" G_GUINT64_FORMAT
		       " was never accepted, generation %" G_GUINT64_FORMAT
		       " is in force",
		       submission->base, submission->current.generation);
	else
		st_set(status, ST_CONFLICT,
		       "the base %" G_GUINT64_FORMAT
		       " was replaced by generation %" G_GUINT64_FORMAT
		       " of %s at %s",
		       submission->base, submission->current.generation,
		       submission->current_author, submission->current_time);
	cs_audit_and_answer(submission, "conflict");
}

static void cs_no_explanation(struct cp_submission *submission,
			      const char *what, const char *msg)
{
	g_string_append_printf(submission->detail,
			       "what changed is not known, %s: %s\n", what,
			       *msg ? msg : "malformed");
	cs_conflict(submission);
}

static void cs_compare(struct cp_submission *submission,
		       const struct doc_document *current)
{
	GPtrArray *changes = doc_diff(submission->base_document, current);

	doc_diff_print(changes, CP_MAX_CHANGE_LINES, submission->detail);
	submission->answer.changes = doc_diff_json(changes);
	g_ptr_array_unref(changes);
	cs_conflict(submission);
}

static void cs_on_current_body(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	struct doc_document *current = NULL;

	if (result->status.kind == ST_OK)
		current = cp_read_body(&submission->current, result->body,
				       result->body_bytes);
	if (!current) {
		cs_no_explanation(submission, "current document",
				  result->status.msg);
		return;
	}
	cs_compare(submission, current);
	doc_unref(current);
}

static void cs_get_current(struct cp_submission *submission)
{
	struct pf_callback callback = { cs_on_current_body, submission };
	struct cp_control *control = submission->control;

	if (control->document &&
	    !strcmp(control->document->digest, submission->current.digest))
		cs_compare(submission, control->document);
	else
		pf_get_object(control->platform, submission->current.digest,
			      &callback);
}

static void cs_on_base_body(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind == ST_OK)
		submission->base_document =
			cp_read_body(&submission->base_target, result->body,
				     result->body_bytes);
	if (submission->base_document)
		cs_get_current(submission);
	else
		cs_no_explanation(submission, "base document",
				  result->status.msg);
}

static void cs_on_base_row(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	struct pf_callback callback = { cs_on_base_body, submission };

	if (result->status.kind == ST_OK &&
	    cp_decode_row(result->json, &submission->base_target))
		pf_get_object(submission->control->platform,
			      submission->base_target.digest, &callback);
	else
		cs_no_explanation(submission, "row of the base",
				  result->status.msg);
}

static void cs_explain(struct cp_submission *submission)
{
	struct pf_callback callback = { cs_on_base_row, submission };
	struct cp_control *control = submission->control;
	char key[32];

	if (submission->base > submission->current.generation) {
		cs_conflict(submission);
	} else if (!submission->base) {
		cs_get_current(submission);
	} else if (control->document &&
		   control->document->generation == submission->base) {
		submission->base_document = doc_ref(control->document);
		cs_get_current(submission);
	} else {
		cp_generation_key(submission->base, key);
		pf_get(control->platform, "generation", key, &callback);
	}
}

/* An id begins with the time, so that the audit trail is listed in order. */
static void cs_make_id(struct cp_submission *submission)
{
	struct cp_control *control = submission->control;

	g_snprintf(submission->id, sizeof(submission->id),
		   "%020" G_GINT64_FORMAT "-%s-%08x", g_get_real_time(),
		   control->settings->host, g_rand_int(control->random));
	g_strcanon(submission->id, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-.",
		   '-');
}

bool cp_is_submission(const char *text)
{
	size_t digits = strspn(text, G_CSET_DIGITS);
	size_t chars =
		strspn(text, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-.");

	return digits == CS_ID_TIME_DIGITS && text[digits] == '-' &&
	       !text[chars] && chars < CP_SUBMISSION_BYTES;
}

static struct cp_submission *cs_new(struct cp_control *control,
				    const struct cp_request *request,
				    const struct cp_callback *callback)
{
	struct cp_submission *submission = g_new0(struct cp_submission, 1);

	submission->control = control;
	submission->callback = *callback;
	submission->base = request->base;
	submission->author = g_utf8_make_valid(request->author, -1);
	submission->current_author = g_strdup("");
	submission->detail = g_string_new(NULL);
	submission->started_us = tm_now_us();
	doc_digest(request->text, request->text_bytes, submission->digest);
	submission->next = control->submissions;
	submission->prev_next = &control->submissions;
	if (submission->next)
		submission->next->prev_next = &submission->next;
	control->submissions = submission;
	control->submission_count++;
	return submission;
}

/* Refuses what cannot get an audit row. */
static enum st_kind cs_check_request(const struct cp_control *control,
				     const struct cp_request *request,
				     struct st_status *status)
{
	if (!*request->author || strlen(request->author) >= CP_AUTHOR_BYTES ||
	    !jt_is_printable(request->author))
		return st_set(status, ST_USAGE,
			      "the author must be printable text of 1 to %d "
			      "bytes",
			      CP_AUTHOR_BYTES - 1);
	if (request->submission && !cp_is_submission(request->submission))
		return st_set(status, ST_USAGE,
			      "the submission id is malformed");
	if (request->base >= INT64_MAX)
		return st_set(status, ST_USAGE, "the base is too large");
	if (control->submission_count > CP_MAX_SUBMISSIONS)
		return st_set(status, ST_QUEUE_FULL,
			      "%d submissions are in progress",
			      CP_MAX_SUBMISSIONS);
	return ST_OK;
}

static void cs_check_document(struct cp_submission *submission,
			      const struct cp_request *request)
{
	struct ym_errors errors;

	ym_errors_init(&errors);
	submission->document =
		doc_parse(request->text, request->text_bytes, &errors);
	if (!submission->document) {
		st_set(&submission->answer.status, ST_INVALID,
		       "the document has %u error%s", errors.count,
		       errors.count == 1 ? "" : "s");
		ym_errors_print(&errors, submission->detail);
	}
	ym_errors_free(&errors);
}

void cp_submit(struct cp_control *control, const struct cp_request *request,
	       const struct cp_callback *callback)
{
	struct cp_submission *submission = cs_new(control, request, callback);

	if (cs_check_request(control, request, &submission->answer.status)) {
		cs_answer(submission);
		return;
	}
	if (request->submission)
		g_strlcpy(submission->id, request->submission,
			  sizeof(submission->id));
	else
		cs_make_id(submission);
	cs_check_document(submission, request);
	if (submission->document)
		cs_read_row(submission);
	else
		cs_audit_and_answer(submission, "invalid");
}

void cp_end_submissions(struct cp_control *control)
{
	struct cp_submission *submission = control->submissions;

	while (submission) {
		struct cp_submission *next = submission->next;

		cs_set(submission, ST_STOPPING, "the host stops");
		cs_answer(submission);
		submission = next;
	}
}
