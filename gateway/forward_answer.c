#include "gateway/forward.h"

#include <string.h>

#include "core/outcome.h"

/* What the listeners of hosts say, whatever the dialect (http/intake.c). */
#define GW_INTAKE_OUTCOME "x-request-outcome"

enum { GW_EARLIER_ANSWER_BYTES = sizeof(HM_EARLIER_ANSWER) - 1 };

/* What an answer of a host says by its status alone. */
static enum st_kind gw_kind_of_status(int status)
{
	static const enum st_kind kinds[] = {
		ST_INVALID,   ST_UNAUTHORIZED,	   ST_NOT_FOUND,
		ST_TOO_LARGE, ST_OVER_QUOTA,	   ST_NO_SERVER,
		ST_CONFLICT,  ST_DEADLINE_UNKNOWN,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (st_http_status(kinds[i]) == status)
			return kinds[i];
	return ST_UNKNOWN;
}

/* Of the host itself. KIND may be a name that this build does not know. */
static struct gw_host_answer gw_read_refusal(const struct hc_head *head,
					     const char *kind)
{
	struct gw_host_answer answer = {
		.source = GW_BY_HOST,
		.kind = gw_kind_of_status(head->status),
		.retry_us = dl_retry_after_us(head),
	};

	if (kind)
		st_find(kind, &answer.kind);
	return answer;
}

/*
 * Earlier builds pass on what a server answered, and refuse calls by themselves, without
 * a mark. They do not answer calls with a success.
 */
static struct gw_host_answer gw_read_earlier(const struct dl_dialect *dialect,
					     const struct hc_head *head,
					     const char *call_id)
{
	struct gw_host_answer answer = { .source = GW_BY_SERVER };

	if (dl_is_of_server(dialect, head, call_id))
		return answer;
	if (head->status >= 400)
		return gw_read_refusal(head, NULL);
	answer.source = GW_BY_STRANGER;
	return answer;
}

/* Of the listener of a host, which refused the call while it arrived. */
static struct gw_host_answer gw_read_intake_refusal(const struct hc_head *head)
{
	struct gw_host_answer answer = gw_read_refusal(head, NULL);

	/* Which limit of that host was met means nothing to the caller. */
	if (oc_promises_not_run(head->status))
		answer.kind = ST_NO_SERVER;
	return answer;
}

/*
 * Without a mark: by a host of an earlier build, by the listener of a host before it was
 * read, or by something else. That it was not run has to be stated.
 */
static struct gw_host_answer gw_read_unmarked(const struct hc_head *head)
{
	struct gw_host_answer answer = { .source = GW_BY_STRANGER };
	const struct hc_header *outcome =
		hc_find_header(head, GW_INTAKE_OUTCOME);

	if (head->status == 200 &&
	    head->content_length == GW_EARLIER_ANSWER_BYTES)
		answer.source = GW_BY_EARLIER;
	else if (outcome && hc_value_is(outcome, "not-run"))
		return gw_read_intake_refusal(head);
	else if (head->status >= 400 && !oc_promises_not_run(head->status))
		return gw_read_refusal(head, NULL);
	return answer;
}

struct gw_host_answer gw_read_host_answer(const struct dl_dialect *dialect,
					  const struct hc_head *head,
					  const char *call_id, bool wrapped)
{
	const struct hc_header *mark = hc_find_header(head, HM_ANSWER);
	struct gw_host_answer answer = { .source = GW_BY_UNABLE };
	char *kind;

	if (hc_find_header(head, GW_UNABLE))
		return answer;
	if (!wrapped)
		return gw_read_earlier(dialect, head, call_id);
	if (!mark)
		return gw_read_unmarked(head);
	if (hc_value_is(mark, HM_SERVER)) {
		answer.source = dl_is_of_server(dialect, head, call_id) ?
					GW_BY_SERVER :
					GW_BY_STRANGER;
		return answer;
	}
	kind = g_strndup(mark->value, mark->value_bytes);
	answer = gw_read_refusal(head, kind);
	g_free(kind);
	return answer;
}
