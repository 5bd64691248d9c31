#ifndef ORDERS_ORDER_H
#define ORDERS_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "orders/lease.h"
#include "platform/store.h"
#include "base/settings.h"
#include "base/status.h"
#include "base/timer.h"

/*
 * Orders: non-idempotent calls with an idempotency key.
 *
 * A key is claimed in the table "orders" by a conditional insert before the
 * call is sent. Only the call whose claim inserted the row may be sent. Rows
 * are keyed by a digest of caller, service and key. A second row in
 * "order_times", written in the same transaction, lists the orders by deadline
 * for the sweep that removes expired ones.
 *
 * When the platform's store comes back from a copy, the claims and results that it
 * had acknowledged since are gone, and their keys look free. So a host keeps what
 * it has written for a while, and writes again what a restored store lacks. Until
 * all hosts have had the time for it, no key is claimed.
 */

enum {
	OD_MAX_KEY_BYTES = 128,
	OD_MAX_BODY_BYTES = 16 * 1024,
	OD_DIGEST_BYTES = 65,
	OD_ID_BYTES = 96,
	OD_TYPE_BYTES = 128,
	/* Wall clocks may differ by this much before a claim expires early. */
	OD_MAX_CLOCK_SKEW_MS = 1000,
	/*
	 * Orders that one sweep removes. The two rows of each and the row and
	 * condition of the lease must fit into PF_MAX_TXN_ROWS.
	 */
	OD_SWEEP_ROWS = 48,
	/*
	 * Timeout of the separate platform client for orders. After a lost
	 * answer, time is left to read the claim back before the usual deadline
	 * of one second.
	 */
	OD_PLATFORM_TIMEOUT_US = 400 * 1000
};

/* States of a row: identifier, name in the table. */
#define OD_STATES(X)          \
	X(CLAIMED, "claimed") \
	X(DONE, "done")       \
	X(UNKNOWN, "unknown")

enum od_state {
#define X(id, name) OD_##id,
	OD_STATES(X)
#undef X
		OD_STATE_COUNT
};

/* The parts of a call that identify its order. Strings are copied. */
struct od_request {
	const char *id; /* unique per call over all hosts and restarts */
	const char *caller;
	size_t caller_bytes;
	bool is_customer; /* CALLER was found by its key, not claimed */
	const char *service;
	const char *key;
	size_t key_bytes;
	const char *method;
	const char *path;
	const char *body;
	size_t body_bytes;
	uint64_t deadline_us; /* monotonic clock */
};

struct od_claim;

/*
 * Result of claiming a key. With CLAIM the call is to be sent, and the claim
 * must be ended by one of od_store_answer, od_release_claim and
 * od_store_unknown.
 * With KIND ST_OK and no claim, the stored answer is to be replayed. Otherwise
 * the call ends with KIND. Only the claim stays valid after the callback.
 */
struct od_claim_result {
	enum st_kind kind;
	struct od_claim *claim;
	const char *msg; /* for the caller; may be NULL */
	int http_status;
	const char *content_type;
	const char *body;
	size_t body_bytes;
};

struct od_callback {
	void (*done)(void *ctx, const struct od_claim_result *result);
	void *ctx;
};

struct od_orders {
	struct pf_client *platform;
	struct tm_service *timers;
	char host[SE_NAME_BYTES];
	uint64_t incarnation;
	int64_t retention_ms;
	struct od_claim *claims;
	GQueue kept; /* struct od_claim with a written result, oldest first */
	uint64_t era; /* of the store, by its answers; 0: not known yet */
	uint64_t restored_us; /* when a later era was seen; 0: never */
	uint64_t answered_us; /* last answer of the store that named an era */
	uint32_t confirming; /* claims whose row is being looked up */
	struct tm_sub era_check;
	bool era_check_pending;
	struct ls_lease lease; /* of the sweep; one host runs it */
	struct tm_sub sweep;
	bool sweeping;
	/*
	 * Circuit breaker, opened when the read of a claim fails at the
	 * platform and closed when the platform answers an insert. While it is
	 * open, one claim every quarter of a second tries the platform and all
	 * others are refused at once, so that an outage neither delays callers
	 * nor adds load to the platform.
	 */
	bool breaker_open;
	uint64_t breaker_retry_us;
	int64_t (*wall_ms)(void); /* wall clock; tests replace it */
	/*
	 * Whether HOST is live with that INCARNATION. NULL: every host counts
	 * as live, and its claims expire after their deadline.
	 */
	bool (*is_live)(void *ctx, const char *host, uint64_t incarnation);
	void *is_live_ctx;
};

/*
 * od_init, od_free - set up and release orders in the caller's memory.
 * INCARNATION differs for every start of a host. Source: orders/order.c
 */
void od_init(struct od_orders *orders, struct pf_client *platform,
	     struct tm_service *timers, const struct se_settings *settings,
	     uint64_t incarnation);
void od_free(struct od_orders *orders);

/*
 * od_claim_key - claim the key of a call. CALLBACK is called later, once, at
 * the call's deadline at the latest. Errors, without callback: ST_INVALID when
 * the key is empty, longer than OD_MAX_KEY_BYTES or has characters other
 * than printable ASCII without blanks; ST_PLATFORM while the platform fails.
 */
enum st_kind od_claim_key(struct od_orders *orders,
			  const struct od_request *request,
			  const struct od_callback *callback,
			  struct st_status *status);

/*
 * od_may_send - whether the claim's deadline is still ahead, both on the
 * monotonic and on the wall clock.
 */
bool od_may_send(const struct od_claim *claim);

/*
 * od_store_answer - store the answer for replay; only its status without
 * STORE_BODY or when the body is larger than OD_MAX_BODY_BYTES.
 * od_release_claim - the call was not run: remove the claim's row.
 * od_store_unknown - the call may have run: record an unknown outcome.
 * Each takes ownership of the claim and retries its write for up to an hour, or
 * for up to 10 s while it is not known whether the claim's row was inserted.
 */
void od_store_answer(struct od_claim *claim, int http_status,
		     const char *content_type, const char *body,
		     size_t body_bytes, bool store_body);
void od_release_claim(struct od_claim *claim);
void od_store_unknown(struct od_claim *claim);

/*
 * od_is_idle - whether no claim is in use and every unwritten result has been
 * retried for 5 s. A graceful stop waits for it.
 */
bool od_is_idle(const struct od_orders *orders);

#endif
