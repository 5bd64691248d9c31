#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * All error kinds.
 *
 * Columns: identifier, name in logs and answers, HTTP status of the answer,
 * exit code of a command, whether the kind guarantees that the request did not
 * run.
 */
#define ST_KINDS(X)                                                    \
	X(OK, "ok", 200, 0, false)                                     \
	X(USAGE, "usage", 400, 2, true)                                \
	X(INVALID, "invalid", 400, 3, true)                            \
	X(UNAUTHORIZED, "unauthorized", 401, 1, true)                  \
	X(NOT_FOUND, "not-found", 404, 1, true)                        \
	X(TOO_LARGE, "too-large", 413, 1, true)                        \
	X(CONFLICT, "conflict", 409, 4, true)                          \
	X(KEY_REUSED, "key-reused", 422, 1, true)                      \
	X(CALLER_LIMIT, "caller-limit", 429, 1, true)                  \
	X(OVER_QUOTA, "over-quota", 429, 1, true)                      \
	X(QUEUE_FULL, "queue-full", 503, 1, true)                      \
	X(NO_SERVER, "no-server", 503, 1, true)                        \
	X(RATE_LIMIT, "rate-limit", 503, 1, true)                      \
	X(PAUSED, "servers-paused", 503, 1, true)                      \
	X(BLOCKED, "crashes-servers", 503, 1, true)                    \
	X(REFUSED, "refused-by-server", 503, 1, true)                  \
	X(CONNECT, "connect-failed", 503, 1, true)                     \
	X(STOPPING, "stopping", 503, 1, true)                          \
	X(NOT_READY, "not-ready", 503, 1, true)                        \
	X(DEADLINE_NOT_RUN, "deadline-not-run", 503, 1, true)          \
	X(PLATFORM, "platform-unavailable", 503, 5, true)              \
	X(PLATFORM_UNKNOWN, "platform-outcome-unknown", 502, 5, false) \
	X(HISTORY, "history-lost", 503, 5, true)                       \
	X(FENCED, "lease-lost", 503, 1, true)                          \
	X(DEADLINE_UNKNOWN, "deadline-unknown", 504, 1, false)         \
	X(UNKNOWN, "outcome-unknown", 502, 1, false)                   \
	X(UNPROVEN, "refusal-unproven", 502, 1, false)                 \
	X(BROKEN, "answer-broken", 502, 1, false)                      \
	X(CALLER_LEFT, "caller-gone", 499, 1, false)                   \
	X(REPLAY, "replay-differs", 500, 6, false)                     \
	X(IO, "input-output", 500, 1, false)                           \
	X(INTERNAL, "internal", 500, 1, false)

enum st_kind {
#define X(id, name, http, exit_code, not_run) ST_##id,
	ST_KINDS(X)
#undef X
		ST_KIND_COUNT
};

enum { ST_MSG_BYTES = 256 };

/* Last error of an operation. The caller owns it; nothing needs freeing. */
struct st_status {
	enum st_kind kind;
	char msg[ST_MSG_BYTES];
};

/*
 * st_set - store a kind and a formatted message in STATUS, return the kind.
 * STATUS may be NULL. The message is truncated to ST_MSG_BYTES, which include
 * the terminating NUL.
 * Source: base/status.c
 */
enum st_kind st_set(struct st_status *status, enum st_kind kind,
		    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/* st_name, st_http_status, st_exit_code, st_not_run - columns of ST_KINDS. */
const char *st_name(enum st_kind kind);
int st_http_status(enum st_kind kind);
int st_exit_code(enum st_kind kind);
bool st_not_run(enum st_kind kind);

/* st_find - the kind with that name. False, and KIND is left: there is none. */
bool st_find(const char *name, enum st_kind *kind);

#endif
