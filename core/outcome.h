#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

#include <stdbool.h>

#include "base/status.h"

/*
 * What a caller may be told. Every answer and every error passes this table on its
 * way to a caller: those of servers and of other hosts, answers that are kept with an
 * order, and the results of this host.
 *
 * Callers take the statuses 408, 421, 429 and 503 for a promise: the call has not run
 * and never will. 502, 504 and a closed connection promise nothing. So a promise that
 * is not known to be true is replaced. A server's answer to an idempotent call stays as
 * it is: the call may run again whatever its caller believes, and a replacement would
 * only hide the server's status, body and Retry-After.
 */
enum oc_verdict {
	OC_AS_GIVEN, /* as the server or the host gave it */
	OC_REFUSED, /* by the server: another one is tried, or the host refuses */
	OC_UNPROVEN, /* ST_UNPROVEN takes its place */
	OC_UNKNOWN /* an error of unknown outcome takes its place */
};

/* Columns match a fact, or any. */
enum oc_match { OC_NO, OC_YES, OC_ANY };

/*
 * Columns: made by a server, promises "not run", the server states that in a way that
 * proves it, the call is idempotent, an attempt may have run, verdict. The first row
 * that matches counts.
 */
#define OC_ROWS(X)                          \
	X(YES, ANY, YES, ANY, ANY, REFUSED) \
	X(YES, NO, NO, ANY, ANY, AS_GIVEN)  \
	X(YES, YES, NO, YES, ANY, AS_GIVEN) \
	X(YES, YES, NO, NO, ANY, UNPROVEN)  \
	X(NO, NO, ANY, ANY, ANY, AS_GIVEN)  \
	X(NO, YES, ANY, ANY, NO, AS_GIVEN)  \
	X(NO, YES, ANY, ANY, YES, UNKNOWN)

struct oc_facts {
	bool by_server;
	bool promises;
	bool proven;
	bool idempotent;
	bool may_have_run;
};

/*
 * oc_find_verdict - look the facts up in the table. Source: core/outcome.c
 * oc_promises_not_run - whether callers take the status for that promise.
 */
enum oc_verdict oc_find_verdict(const struct oc_facts *facts);
bool oc_promises_not_run(int http_status);

/*
 * oc_judge_answer - the verdict on an answer of a server. PROVEN: the server states in
 *	it that it did not run the call.
 * oc_result - the result for the caller of a call that this host ends with RESULT, when
 *	an attempt at it MAY_HAVE_RUN.
 * oc_outcome_name - "completed", "not-run" or "unknown", as callers and logs have it.
 */
enum oc_verdict oc_judge_answer(int http_status, bool proven, bool idempotent);
enum st_kind oc_result(enum st_kind result, bool may_have_run);
const char *oc_outcome_name(enum st_kind result);

#endif
