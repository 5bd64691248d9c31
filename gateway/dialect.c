#include "gateway/dialect.h"

#include <math.h>
#include <string.h>
#include <time.h>

#include <h2o.h>

#include "core/outcome.h"

enum {
	DL_MILLI = 1000,
	DL_US_PER_S = 1000 * 1000,
	DL_US_PER_MS = 1000,
	DL_NUMBER_BYTES = 32,
	DL_DATE_BYTES = 29 /* of an HTTP date */
};

static uint32_t dl_parse_field(const char *text, const char *key)
{
	const char *at = strstr(text, key);
	uint64_t value = 0;

	if (at)
		value = g_ascii_strtoull(at + strlen(key), NULL, 10);
	return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

static void dl_parse_report(const struct hc_header *value,
			    struct core_event *report)
{
	char *text = g_strndup(value->value, value->value_bytes);

	report->u.report.in_flight = dl_parse_field(text, "in_flight=");
	report->u.report.queued = dl_parse_field(text, "queued=");
	report->u.report.slots = dl_parse_field(text, "slots=");
	g_free(text);
}

const struct dl_dialect dl_default = {
	.entry_id = "x-request-id",
	.entry_zone = "x-entry-zone",
	.outcome = "x-request-outcome",
	.time_left_ms = "x-timeout-ms",
	.report = "x-load",
	.report_wanted = "x-load-wanted",
	.draining = "x-draining",
	.rate_limit = "x-rate-limit",
	.warmup_ms = "x-warmup-ms",
	.not_run = "x-not-run",
	.customer = "x-customer",
	.probe_path = "/load",
	.parse_report = dl_parse_report,
};

const struct hc_header *dl_find_header(const struct hc_head *head,
				       const char *name)
{
	return name ? hc_find_header(head, name) : NULL;
}

/* A number from 0 on, possibly infinite; false: the header holds none. */
static bool dl_parse_number(const struct hc_header *h, double *number)
{
	char text[DL_NUMBER_BYTES];
	char *end;

	if (!h->value_bytes || h->value_bytes >= sizeof(text))
		return false;
	g_strlcpy(text, h->value, h->value_bytes + 1);
	*number = g_ascii_strtod(text, &end);
	return end != text && !*end && *number >= 0;
}

void dl_parse_rate_limit(const struct dl_dialect *dialect,
			 const struct hc_head *head, struct core_event *event)
{
	const struct hc_header *h = dl_find_header(head, dialect->rate_limit);
	double per_s;

	event->kind = CORE_EV_RATE_LIMIT;
	event->u.rate_limit.limited = false;
	event->u.rate_limit.milli_per_s = 0;
	if (!h || !dl_parse_number(h, &per_s) || isinf(per_s))
		return;
	event->u.rate_limit.limited = true;
	event->u.rate_limit.milli_per_s =
		(uint32_t)MIN(per_s * DL_MILLI, UINT32_MAX);
}

bool dl_parse_warmup(const struct dl_dialect *dialect,
		     const struct hc_head *head, struct core_event *event)
{
	const struct hc_header *h = dl_find_header(head, dialect->warmup_ms);
	double left_ms;

	event->kind = CORE_EV_WARMUP;
	event->u.warmup.left_us = 0;
	if (!h)
		return true;
	if (!dl_parse_number(h, &left_ms))
		return false;
	event->u.warmup.left_us =
		(uint64_t)MIN(left_ms * DL_US_PER_MS, (double)DL_MAX_WARMUP_US);
	return true;
}

/* Seconds since 1970; false: the header is missing or holds no HTTP date. */
static bool dl_parse_date(const struct hc_header *h, int64_t *seconds)
{
	struct tm date = { 0 };

	if (!h || h->value_bytes != DL_DATE_BYTES ||
	    h2o_time_parse_rfc1123(h->value, h->value_bytes, &date))
		return false;
	*seconds = timegm(&date);
	return true;
}

/* The clock of this host may be wrong, so a date counts from the answer's. */
static double dl_retry_after_s(const struct hc_head *head,
			       const struct hc_header *h)
{
	char text[DL_NUMBER_BYTES];
	int64_t until;
	int64_t now;
	char *end;
	double seconds;

	if (dl_parse_date(h, &until))
		return dl_parse_date(hc_find_header(head, "date"), &now) ?
			       (double)(until - now) :
			       0;
	if (!h->value_bytes || h->value_bytes >= sizeof(text))
		return 0;
	g_strlcpy(text, h->value, h->value_bytes + 1);
	seconds = g_ascii_strtod(text, &end);
	return end == text || *end || isnan(seconds) ? 0 : seconds;
}

uint64_t dl_retry_after_us(const struct hc_head *head)
{
	const struct hc_header *h = hc_find_header(head, "retry-after");
	double max_s = (double)DL_MAX_PAUSE_US / DL_US_PER_S;

	if (!h)
		return 0;
	return (uint64_t)(CLAMP(dl_retry_after_s(head, h), 0, max_s) *
			  DL_US_PER_S);
}

bool dl_parse_pause(const struct hc_head *head, struct core_event *event)
{
	if (head->status != 503 || !hc_find_header(head, "retry-after"))
		return false;
	event->kind = CORE_EV_PAUSE;
	event->u.pause.duration_us = dl_retry_after_us(head);
	return true;
}

enum core_leaving_source dl_leaving_source(const struct dl_dialect *dialect)
{
	return dialect->leaves_for_good ? CORE_LEAVING_FOR_GOOD :
					  CORE_LEAVING_IN_ANSWER;
}

bool dl_is_of_server(const struct dl_dialect *dialect,
		     const struct hc_head *head, const char *call_id)
{
	if (!dialect->signature || hc_find_header(head, dialect->signature))
		return true;
	return head->status >= 300 &&
	       (!call_id || dl_find_header(head, dialect->call_id));
}

/* Several headers that contradict each other state nothing. */
static bool dl_has_not_run_header(const struct dl_dialect *dialect,
				  const struct hc_head *head)
{
	size_t bytes = strlen(dialect->not_run);
	uint32_t count = 0;

	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];

		if (h->name_bytes != bytes ||
		    g_ascii_strncasecmp(h->name, dialect->not_run, bytes) != 0)
			continue;
		if (h->value_bytes != 1 || *h->value != '1')
			return false;
		count++;
	}
	return count > 0;
}

bool dl_is_misdirected(const struct dl_dialect *dialect,
		       const struct hc_head *head, const char *server_id)
{
	const struct hc_header *id = dl_find_header(head, dialect->server_id);

	if (!dialect->expect_server || head->status != DL_MISDIRECTED)
		return false;
	if (dl_find_header(head, dialect->not_run))
		return dl_has_not_run_header(dialect, head);
	return !dl_find_header(head, dialect->signature) &&
	       !(server_id && id && hc_value_is(id, server_id));
}

bool dl_is_not_run(const struct dl_dialect *dialect, const struct hc_head *head,
		   const char *server_id)
{
	if (dl_is_misdirected(dialect, head, server_id))
		return true;
	if (dialect->expect_server ? head->status < 400 :
				     !oc_promises_not_run(head->status))
		return false;
	return dl_has_not_run_header(dialect, head);
}
