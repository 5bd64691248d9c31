#include "core/outcome.h"

#include <glib.h>

#include "base/mechanism.h"

struct oc_row {
	enum oc_match by_server;
	enum oc_match promises;
	enum oc_match proven;
	enum oc_match idempotent;
	enum oc_match may_have_run;
	enum oc_verdict verdict;
};

static const struct oc_row oc_rows[] = {
#define X(by_server, promises, proven, idempotent, may_have_run, verdict) \
	{ OC_##by_server,  OC_##promises,     OC_##proven,                \
	  OC_##idempotent, OC_##may_have_run, OC_##verdict },
	OC_ROWS(X)
#undef X
};

static bool oc_matches(enum oc_match match, bool fact)
{
	return match == OC_ANY || match == (fact ? OC_YES : OC_NO);
}

enum oc_verdict oc_find_verdict(const struct oc_facts *facts)
{
	for (size_t i = 0; i < G_N_ELEMENTS(oc_rows); i++) {
		const struct oc_row *row = &oc_rows[i];

		if (oc_matches(row->by_server, facts->by_server) &&
		    oc_matches(row->promises, facts->promises) &&
		    oc_matches(row->proven, facts->proven) &&
		    oc_matches(row->idempotent, facts->idempotent) &&
		    oc_matches(row->may_have_run, facts->may_have_run))
			return row->verdict;
	}
	g_assert_not_reached();
}

bool oc_promises_not_run(int http_status)
{
	switch (http_status) {
	case 408:
	case 421:
	case 429:
	case 503:
		return true;
	default:
		return false;
	}
}

enum oc_verdict oc_judge_answer(int http_status, bool proven, bool idempotent)
{
	struct oc_facts facts = {
		.by_server = true,
		.promises = oc_promises_not_run(http_status),
		.proven = proven,
		.idempotent = idempotent,
		.may_have_run = !proven,
	};
	enum oc_verdict verdict = oc_find_verdict(&facts);

	if (verdict == OC_UNPROVEN && !me_on(ME_ANSWER_TABLE))
		return OC_AS_GIVEN;
	return verdict;
}

enum st_kind oc_result(enum st_kind result, bool may_have_run)
{
	struct oc_facts facts = {
		.promises = st_not_run(result),
		.may_have_run = may_have_run,
	};

	if (!me_on(ME_NOT_RUN_TABLE) || oc_find_verdict(&facts) == OC_AS_GIVEN)
		return result;
	return result == ST_DEADLINE_NOT_RUN ? ST_DEADLINE_UNKNOWN : ST_UNKNOWN;
}

const char *oc_outcome_name(enum st_kind result)
{
	if (result == ST_OK)
		return "completed";
	/* With the mechanism switched off, every error counts as not run. */
	if (!me_on(ME_NOT_RUN_TABLE))
		return "not-run";
	return st_not_run(result) ? "not-run" : "unknown";
}
