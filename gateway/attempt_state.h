#ifndef GATEWAY_ATTEMPT_STATE_H
#define GATEWAY_ATTEMPT_STATE_H

#include <stdbool.h>

#include "core/core.h"
#include "http/httpc.h"
#include "base/status.h"

/*
 * Table of the states in which an attempt can end. For each of them it gives
 * the next step and the result for the caller when no other attempt follows.
 */

enum at_next {
	AT_RETRY, /* send the call to another server */
	AT_FINISH, /* answer the caller with an error */
	AT_CLOSE, /* close the caller's connection: the answer is incomplete */
	AT_FORWARD /* pass the answer to the caller */
};

/*
 * Columns: identifier, state in which the attempt ended, rejected by the
 * server (x-not-run), end as the core defines it, next step of a
 * non-idempotent call, next step of an idempotent call, result for the caller
 * when the next step cannot be taken. Whether the request may have run is a
 * column of CORE_ENDS.
 */
#define AT_ROWS(X)                                                            \
	X(NEW, HC_NEW, false, NOT_SENT, RETRY, RETRY, CONNECT)                \
	X(CONNECTING, HC_CONNECTING, false, NOT_SENT, RETRY, RETRY, CONNECT)  \
	X(REFUSED, HC_ANSWER_BEGUN, true, REFUSED, RETRY, RETRY, REFUSED)     \
	X(REFUSED_DONE, HC_DONE, true, REFUSED, RETRY, RETRY, REFUSED)        \
	X(SENT, HC_SENT, false, NO_ANSWER, FINISH, RETRY, UNKNOWN)            \
	X(ANSWER_BEGUN, HC_ANSWER_BEGUN, false, BROKEN, CLOSE, CLOSE, BROKEN) \
	X(DONE, HC_DONE, false, DONE, FORWARD, FORWARD, OK)

struct at_row {
	enum hc_state state;
	bool refused;
	enum core_end end;
	enum at_next next_non_idempotent;
	enum at_next next_idempotent;
	enum st_kind result; /* for the caller, without another attempt */
};

/*
 * at_find_row - row of an attempt that ended in STATE. Source: gateway/attempt_state.c
 * at_end_state - last state of a request of the HTTP client that ended with END.
 */
const struct at_row *at_find_row(enum hc_state state, bool refused);
enum hc_state at_end_state(enum hc_end end);

/* at_may_have_run - whether an attempt that ended with ROW may have run. */
bool at_may_have_run(const struct at_row *row);

/*
 * at_may_send - whether a call may be sent (again). MAY_HAVE_RUN covers all
 * its earlier attempts.
 */
bool at_may_send(bool idempotent, bool may_have_run);

#endif
