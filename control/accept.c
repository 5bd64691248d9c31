#include "control/accept.h"

#include <string.h>

#include "control/state.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/mechanism.h"

enum {
	CA_BACKOFF_US = 100 * 1000,
	CA_MAX_BACKOFF_US = 1000 * 1000,
	/* Time limit for retries while no write can have taken effect. */
	CA_RETRY_LIMIT_US = 3 * 1000 * 1000,
	/* Time limit for retries after the answer to a write was lost. */
	CA_READ_BACK_LIMIT_US = 12 * 1000 * 1000,
	CA_TIME_BYTES = 32,
	CA_ID_TIME_DIGITS = 20
};

/*
 * A submission in progress. Steps: check the document, read the current row,
 * store the body as an object, write the acceptance in one transaction.
 *
 * The transaction requires that the current row is unchanged and that no audit
 * row with the submission's id exists. A submission that is repeated can
 * therefore never be accepted twice, and its audit row holds its result.
 */
struct cp_submission {
	struct cp_submission *next;
	struct cp_submission **prev_next;
	struct cp_control *control;
	struct cp_callback callback;
	struct tm_sub retry_timer;
	struct doc_document *document; /* NULL when it is invalid */
	char digest[DOC_DIGEST_BYTES];
	char *author;
	char id[CP_SUBMISSION_ID_BYTES];
	uint64_t base_generation;
	uint64_t started_us;
	uint32_t failures;
	bool outcome_unknown; /* the answer to a transaction was lost */
	bool condition_failed; /* a condition of the transaction failed */
	/* The current row at the last read; generation 0 if it is absent. */
	struct cp_doc_id current;
	uint64_t row_version;
	char *current_author;
	char current_time[CA_TIME_BYTES];
	/* The base, from which the changes of a conflict are listed. */
	struct cp_doc_id base_id;
	struct doc_document *base_document;
	struct cp_answer answer;
	GString *detail;
};

static void ca_read_current_row(struct cp_submission *submission);
static void ca_store_body(struct cp_submission *submission);
static void ca_explain_conflict(struct cp_submission *submission);

static void ca_free(struct cp_submission *submission)
{
	*submission->prev_next = submission->next;
	if (submission->next)
		submission->next->prev_next = submission->prev_next;
	submission->control->submission_count--;
	tm_cancel(submission->control->timers, &submission->retry_timer);
	doc_unref(submission->document);
	doc_unref(submission->base_document);
	json_decref(submission->answer.changes);
	g_string_free(submission->detail, TRUE);
	g_free(submission->current_author);
	g_free(submission->author);
	g_free(submission);
}

static void ca_finish(struct cp_submission *submission)
{
	struct cp_answer *answer = &submission->answer;

	answer->detail = submission->detail->str;
	answer->submission_id = submission->id;
	lg_info("submission", "%s from %s: %s: %s", submission->id,
		submission->author, st_name(answer->status.kind),
		answer->status.msg);
	submission->callback.done(submission->callback.ctx, answer);
	ca_free(submission);
}

static void ca_set_status(struct cp_submission *submission, enum st_kind kind,
			  const char *msg)
{
	st_set(&submission->answer.status, kind, "%s", msg);
}

static void ca_set_answer_doc(struct cp_submission *submission,
			      uint64_t generation, const char *digest)
{
	submission->answer.generation = generation;
	g_strlcpy(submission->answer.digest, digest,
		  sizeof(submission->answer.digest));
}

static void ca_finish_accepted(struct cp_submission *submission,
			       uint64_t generation)
{
	ca_set_status(submission, ST_OK, "accepted");
	ca_set_answer_doc(submission, generation, submission->digest);
	submission->document->generation = generation;
	cp_put_in_force(submission->control, doc_ref(submission->document));
	ca_finish(submission);
}

static void ca_format_now(char text[CA_TIME_BYTES])
{
	GDateTime *now = g_date_time_new_now_utc();
	char *iso = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");

	g_strlcpy(text, iso, CA_TIME_BYTES);
	g_free(iso);
	g_date_time_unref(now);
}

/*
 * Row that holds the result of a submission. The rows of all three tables have
 * this format.
 */
static json_t *ca_result_row(const struct cp_submission *submission,
			     const char *result, const char *reason,
			     uint64_t generation)
{
	char now[CA_TIME_BYTES];

	ca_format_now(now);
	return json_pack("{s:s, s:I, s:s, s:o, s:I, s:s, s:s, s:o, s:o}",
			 "result", result, "generation", (json_int_t)generation,
			 "digest", submission->digest, "author",
			 jt_string(submission->author), "base",
			 (json_int_t)submission->base_generation, "time", now,
			 "submission", submission->id, "host",
			 jt_string(submission->control->settings->host),
			 "reason", jt_string(reason));
}

static void ca_on_audit_written(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind != ST_OK && result->status.kind != ST_CONFLICT)
		lg_warn("audit",
			"audit row of submission %s may be missing: %s",
			submission->id, result->status.msg);
	ca_finish(submission);
}

/*
 * Writes the audit row of a submission that was not accepted or that changes
 * nothing, then answers. The answer does not depend on whether the row could be
 * written.
 */
static void ca_audit_and_finish(struct cp_submission *submission,
				const char *result)
{
	struct pf_callback callback = { ca_on_audit_written, submission };
	json_t *conditions = json_array();
	json_t *writes = json_array();
	GString *reason = g_string_new(submission->answer.status.msg);

	if (submission->detail->len)
		g_string_append_printf(reason, ": %.400s",
				       submission->detail->str);
	pf_add_condition(conditions, "audit", submission->id, 0);
	pf_add_write(writes, "audit", submission->id,
		     ca_result_row(submission, result, g_strchomp(reason->str),
				   submission->answer.generation));
	pf_run_txn(submission->control->platform, conditions, writes,
		   &callback);
	g_string_free(reason, TRUE);
}

static void ca_on_retry(void *ctx)
{
	ca_read_current_row(ctx);
}

static void ca_give_up(struct cp_submission *submission, const char *msg)
{
	struct st_status *status = &submission->answer.status;

	if (submission->outcome_unknown)
		st_set(status, ST_PLATFORM_UNKNOWN,
		       "the outcome is not known (%s), repeat it with "
		       "--submission %s",
		       msg, submission->id);
	else
		st_set(status, ST_PLATFORM, "not accepted, %s", msg);
	ca_finish(submission);
}

/*
 * Starts over by reading the current row after a backoff, or gives up when the
 * time limit would be exceeded.
 */
static void ca_retry(struct cp_submission *submission, const char *msg)
{
	struct cp_control *control = submission->control;
	uint64_t delay_us = cp_backoff_us(control->random, submission->failures,
					  CA_BACKOFF_US, CA_MAX_BACKOFF_US);
	uint64_t limit_us = submission->outcome_unknown ?
				    CA_READ_BACK_LIMIT_US :
				    CA_RETRY_LIMIT_US;
	uint64_t now_us = tm_now_us();

	if (now_us + delay_us > submission->started_us + limit_us) {
		ca_give_up(submission, msg);
		return;
	}
	submission->failures++;
	submission->retry_timer.fire = ca_on_retry;
	submission->retry_timer.ctx = submission;
	tm_subscribe(control->timers, &submission->retry_timer,
		     now_us + delay_us);
}

static bool ca_matches_current(const struct cp_submission *submission)
{
	return submission->current.generation &&
	       !strcmp(submission->current.digest, submission->digest);
}

static bool ca_base_is_replaced(const struct cp_submission *submission)
{
	return me_on(ME_CONDITIONAL_ACCEPT) &&
	       submission->current.generation != submission->base_generation;
}

static void ca_finish_unchanged(struct cp_submission *submission)
{
	ca_set_status(submission, ST_OK, "unchanged, this text is in force");
	ca_set_answer_doc(submission, submission->current.generation,
			  submission->current.digest);
	ca_audit_and_finish(submission, "unchanged");
}

/* Answers with the result of an earlier try, which its audit row holds. */
static void ca_finish_from_audit_row(struct cp_submission *submission,
				     const json_t *row)
{
	const char *result = jt_get_string(row, "result");
	struct cp_doc_id id = { 0 };

	if (strcmp(jt_get_string(row, "digest"), submission->digest) != 0) {
		ca_set_status(submission, ST_KEY_REUSED,
			      "the submission id belongs to another document");
		ca_finish(submission);
		return;
	}
	if (!strcmp(result, "accepted") && cp_decode_row(row, &id)) {
		ca_finish_accepted(submission, id.generation);
		return;
	}
	cp_decode_row(row, &id);
	ca_set_answer_doc(submission, id.generation, id.digest);
	if (!strcmp(result, "unchanged"))
		ca_set_status(submission, ST_OK,
			      "unchanged, this text is in force");
	else
		st_set(&submission->answer.status, ST_CONFLICT,
		       "this submission was refused before: %s",
		       jt_get_string(row, "reason"));
	ca_finish(submission);
}

static void ca_on_audit_row(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind == ST_OK)
		ca_finish_from_audit_row(submission, result->json);
	else if (result->status.kind != ST_NOT_FOUND)
		ca_retry(submission, result->status.msg);
	else if (ca_matches_current(submission))
		ca_finish_unchanged(submission);
	else if (ca_base_is_replaced(submission))
		ca_explain_conflict(submission);
	else
		ca_store_body(submission);
}

static void ca_read_audit_row(struct cp_submission *submission)
{
	struct pf_callback callback = { ca_on_audit_row, submission };

	submission->condition_failed = false;
	pf_get_row(submission->control->platform, "audit", submission->id,
		   &callback);
}

static void ca_on_acceptance_written(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	switch (result->status.kind) {
	case ST_OK:
		ca_finish_accepted(submission, submission->base_generation + 1);
		return;
	case ST_CONFLICT:
		submission->condition_failed = true;
		break;
	case ST_PLATFORM_UNKNOWN:
		submission->outcome_unknown = true;
		if (me_on(ME_READ_BACK))
			break;
		ca_give_up(submission, result->status.msg);
		return;
	default:
		break;
	}
	ca_retry(submission, result->status.msg);
}

static void ca_write_acceptance(struct cp_submission *submission)
{
	struct pf_callback callback = { ca_on_acceptance_written, submission };
	uint64_t generation = submission->base_generation + 1;
	json_t *conditions = json_array();
	json_t *writes = json_array();
	char key[32];

	if (me_on(ME_CONDITIONAL_ACCEPT))
		pf_add_condition(conditions, "document", "current",
				 submission->row_version);
	pf_add_condition(conditions, "audit", submission->id, 0);
	cp_generation_key(generation, key);
	pf_add_write(writes, "document", "current",
		     ca_result_row(submission, "accepted", "", generation));
	pf_add_write(writes, "generation", key,
		     ca_result_row(submission, "accepted", "", generation));
	pf_add_write(writes, "audit", submission->id,
		     ca_result_row(submission, "accepted", "", generation));
	pf_run_txn(submission->control->platform, conditions, writes,
		   &callback);
}

static void ca_on_body_stored(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind == ST_OK)
		ca_write_acceptance(submission);
	else
		ca_retry(submission, result->status.msg);
}

static void ca_store_body(struct cp_submission *submission)
{
	struct pf_callback callback = { ca_on_body_stored, submission };

	pf_put_object(submission->control->platform, submission->digest,
		      submission->document->text,
		      submission->document->text_bytes, &callback);
}

static bool ca_save_current_row(struct cp_submission *submission,
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
 * Whether the current row is older than one that this host read before, or than
 * its document in force. Hosts ignore a generation that is not higher than the
 * one in force, so a document accepted on the basis of an outdated row would
 * never come into force.
 */
static bool ca_row_is_stale(const struct cp_submission *submission)
{
	const struct cp_control *control = submission->control;
	uint64_t known = control->row_generation;

	if (control->document)
		known = MAX(known, control->document->generation);
	return submission->current.generation < known;
}

/*
 * Whether the row is stale because the store has come back from a copy, which lacks
 * the document in force. The next document is then based on that one, under the
 * condition that the row stays as the copy has it.
 */
static bool ca_take_lost_row(struct cp_submission *submission, uint64_t era)
{
	const struct cp_control *control = submission->control;
	const struct doc_document *document = control->document;

	if (!document || !control->row_era || era <= control->row_era ||
	    document->generation < control->row_generation)
		return false;
	lg_warn("document",
		"the store has lost generation %" G_GUINT64_FORMAT
		", which is in force; it was restored from a copy",
		document->generation);
	submission->current.generation = document->generation;
	g_strlcpy(submission->current.digest, document->digest,
		  sizeof(submission->current.digest));
	return true;
}

static void ca_on_current_row(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind != ST_OK &&
	    result->status.kind != ST_NOT_FOUND) {
		ca_retry(submission, result->status.msg);
		return;
	}
	if (!ca_save_current_row(submission, result)) {
		ca_set_status(
			submission, ST_PLATFORM,
			"not accepted, the row of the current document is "
			"malformed");
		ca_finish(submission);
		return;
	}
	if (ca_row_is_stale(submission) &&
	    !ca_take_lost_row(submission, result->era)) {
		ca_retry(submission,
			 "the platform's row is older than what is in force");
		return;
	}
	/*
	 * An earlier write of this submission may have taken effect. The audit
	 * row is read after the current row: both are written in one
	 * transaction, so if that write changed the current row, the audit row
	 * is found.
	 */
	if (ca_matches_current(submission) || ca_base_is_replaced(submission) ||
	    submission->condition_failed)
		ca_read_audit_row(submission);
	else
		ca_store_body(submission);
}

static void ca_read_current_row(struct cp_submission *submission)
{
	struct pf_callback callback = { ca_on_current_row, submission };

	pf_get_row(submission->control->platform, "document", "current",
		   &callback);
}

/*
 * To explain a conflict, the base document and the current document are read
 * and their differences listed. If one of them cannot be read, the detail says
 * which; the answer is a conflict all the same.
 */
static void ca_finish_conflict(struct cp_submission *submission)
{
	struct st_status *status = &submission->answer.status;

	ca_set_answer_doc(submission, submission->current.generation,
			  submission->current.digest);
	if (submission->base_generation > submission->current.generation)
		st_set(status, ST_CONFLICT,
		       "the base %" G_GUINT64_FORMAT
		       " was never accepted, generation %" G_GUINT64_FORMAT
		       " is in force",
		       submission->base_generation,
		       submission->current.generation);
	else
		st_set(status, ST_CONFLICT,
		       "the base %" G_GUINT64_FORMAT
		       " was replaced by generation %" G_GUINT64_FORMAT
		       " of %s at %s",
		       submission->base_generation,
		       submission->current.generation,
		       submission->current_author, submission->current_time);
	ca_audit_and_finish(submission, "conflict");
}

static void ca_finish_unexplained(struct cp_submission *submission,
				  const char *what, const char *msg)
{
	g_string_append_printf(submission->detail,
			       "what changed is not known, %s: %s\n", what,
			       *msg ? msg : "malformed");
	ca_finish_conflict(submission);
}

static void ca_finish_with_changes(struct cp_submission *submission,
				   const struct doc_document *current)
{
	GPtrArray *changes = doc_diff(submission->base_document, current);

	doc_diff_print(changes, CP_MAX_CHANGE_LINES, submission->detail);
	submission->answer.changes = doc_diff_json(changes);
	g_ptr_array_unref(changes);
	ca_finish_conflict(submission);
}

static void ca_on_current_body(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	struct doc_document *current = NULL;

	if (result->status.kind == ST_OK)
		current = cp_parse_body(&submission->current, result->body,
					result->body_bytes);
	if (!current) {
		ca_finish_unexplained(submission, "current document",
				      result->status.msg);
		return;
	}
	ca_finish_with_changes(submission, current);
	doc_unref(current);
}

static void ca_get_current_body(struct cp_submission *submission)
{
	struct pf_callback callback = { ca_on_current_body, submission };
	struct cp_control *control = submission->control;

	if (control->document &&
	    !strcmp(control->document->digest, submission->current.digest))
		ca_finish_with_changes(submission, control->document);
	else
		pf_get_object(control->platform, submission->current.digest,
			      &callback);
}

static void ca_on_base_body(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;

	if (result->status.kind == ST_OK)
		submission->base_document = cp_parse_body(
			&submission->base_id, result->body, result->body_bytes);
	if (submission->base_document)
		ca_get_current_body(submission);
	else
		ca_finish_unexplained(submission, "base document",
				      result->status.msg);
}

static void ca_on_base_row(void *ctx, const struct pf_result *result)
{
	struct cp_submission *submission = ctx;
	struct pf_callback callback = { ca_on_base_body, submission };

	if (result->status.kind == ST_OK &&
	    cp_decode_row(result->json, &submission->base_id))
		pf_get_object(submission->control->platform,
			      submission->base_id.digest, &callback);
	else
		ca_finish_unexplained(submission, "row of the base",
				      result->status.msg);
}

static void ca_explain_conflict(struct cp_submission *submission)
{
	struct pf_callback callback = { ca_on_base_row, submission };
	struct cp_control *control = submission->control;
	char key[32];

	if (submission->base_generation > submission->current.generation) {
		ca_finish_conflict(submission);
	} else if (!submission->base_generation) {
		ca_get_current_body(submission);
	} else if (control->document && control->document->generation ==
						submission->base_generation) {
		submission->base_document = doc_ref(control->document);
		ca_get_current_body(submission);
	} else {
		cp_generation_key(submission->base_generation, key);
		pf_get_row(control->platform, "generation", key, &callback);
	}
}

/* Ids begin with the time, so that the audit trail is listed in time order. */
static void ca_make_id(struct cp_submission *submission)
{
	struct cp_control *control = submission->control;

	g_snprintf(submission->id, sizeof(submission->id),
		   "%020" G_GINT64_FORMAT "-%s-%08x", g_get_real_time(),
		   control->settings->host, g_rand_int(control->random));
	g_strcanon(submission->id, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-.",
		   '-');
}

bool cp_is_submission_id(const char *text)
{
	size_t digits = strspn(text, G_CSET_DIGITS);
	size_t chars =
		strspn(text, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-.");

	return digits == CA_ID_TIME_DIGITS && text[digits] == '-' &&
	       !text[chars] && chars < CP_SUBMISSION_ID_BYTES;
}

static struct cp_submission *ca_new(struct cp_control *control,
				    const struct cp_request *request,
				    const struct cp_callback *callback)
{
	struct cp_submission *submission = g_new0(struct cp_submission, 1);

	submission->control = control;
	submission->callback = *callback;
	submission->base_generation = request->base_generation;
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

/* Refuses requests for which no audit row is written. */
static enum st_kind ca_check_request(const struct cp_control *control,
				     const struct cp_request *request,
				     struct st_status *status)
{
	if (!*request->author || strlen(request->author) >= CP_AUTHOR_BYTES ||
	    !jt_is_printable(request->author))
		return st_set(status, ST_USAGE,
			      "the author must be printable text of 1 to %d "
			      "bytes",
			      CP_AUTHOR_BYTES - 1);
	if (request->submission_id &&
	    !cp_is_submission_id(request->submission_id))
		return st_set(status, ST_USAGE,
			      "the submission id is malformed");
	if (request->base_generation >= INT64_MAX)
		return st_set(status, ST_USAGE, "the base is too large");
	if (control->submission_count > CP_MAX_SUBMISSIONS)
		return st_set(status, ST_QUEUE_FULL,
			      "%d submissions are in progress",
			      CP_MAX_SUBMISSIONS);
	return ST_OK;
}

static void ca_check_document(struct cp_submission *submission,
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

void cp_submit_document(struct cp_control *control,
			const struct cp_request *request,
			const struct cp_callback *callback)
{
	struct cp_submission *submission = ca_new(control, request, callback);

	if (ca_check_request(control, request, &submission->answer.status)) {
		ca_finish(submission);
		return;
	}
	if (request->submission_id)
		g_strlcpy(submission->id, request->submission_id,
			  sizeof(submission->id));
	else
		ca_make_id(submission);
	ca_check_document(submission, request);
	if (submission->document)
		ca_read_current_row(submission);
	else
		ca_audit_and_finish(submission, "invalid");
}

void cp_end_submissions(struct cp_control *control)
{
	struct cp_submission *submission = control->submissions;

	while (submission) {
		struct cp_submission *next = submission->next;

		ca_set_status(submission, ST_STOPPING, "the host stops");
		ca_finish(submission);
		submission = next;
	}
}
