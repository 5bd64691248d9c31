#ifndef ORDERS_STATE_H
#define ORDERS_STATE_H

#include <glib.h>

#include "orders/order.h"

/* Internal state and functions of orders (orders/). */

#define OD_TABLE       "orders"
#define OD_TIMES_TABLE "order_times"

enum { OD_BACKOFF_FIRST_US = 20 * 1000 };

/* What becomes of the row when a claim ends. */
enum od_end { OD_END_NONE, OD_END_DONE, OD_END_RELEASE, OD_END_UNKNOWN };

/*
 * Claim of one call with a key. Besides DEADLINE_TIMER it has at most one
 * outstanding operation at the platform or STEP_TIMER, never both. It is in
 * od_orders.claims, or in od_orders.kept once its result is written.
 */
struct od_claim {
	struct od_orders *orders;
	struct od_claim *next;
	struct od_claim **prev_next;
	struct od_callback callback;
	char id[OD_ID_BYTES];
	char row_key[OD_DIGEST_BYTES]; /* of caller, service and key */
	char request_digest[OD_DIGEST_BYTES]; /* of method, path, body */
	uint64_t deadline_us; /* monotonic clock */
	int64_t deadline_ms; /* wall clock */
	struct tm_sub deadline_timer;
	struct tm_sub step_timer;
	void (*next_step)(struct od_claim *claim); /* when STEP_TIMER fires */
	uint64_t backoff_us;
	bool notified; /* CALLBACK was called */
	bool maybe_inserted; /* an insert with a lost answer may have run */
	bool other_row_seen; /* the key has a row of another call */
	uint64_t row_version; /* of the claim's own row; 0: none known */
	uint64_t row_era; /* of the store when the row was written last */
	bool confirming; /* looked up, as a restored store may lack the row */
	bool claiming_again; /* an insert of the running call's row is under way */
	GList kept_link;
	enum od_end end;
	uint64_t ended_us; /* when END was set */
	uint64_t kept_us; /* when the result was written */
	json_t *result_row; /* row to be written; NULL: remove the row */
};

/*
 * order.c: claims and their rows.
 *
 * od_get_row - read the claim's row.
 * od_put_row - replace the claim's row by ROW (NULL: remove it) on the condition
 * that it has VERSION (0: does not exist), and write TIMES, if not NULL, to its row
 * in the table of times. The order's row comes last, so that the answer carries
 * its version.
 * od_written_version - version of the claim's row after od_put_row.
 * od_new_row - value of the claim's row in STATE.
 * od_recheck_row - look up the row of a claim that has ended, and write its result
 * if that is missing.
 * od_start_result - begin to write the result of a claim that has ended.
 * od_link_claim, od_unlink_claim - add to and take from od_orders.claims.
 * od_free_unlinked - release a claim that is in no list.
 */
void od_get_row(struct od_claim *claim,
		void (*done)(void *ctx, const struct pf_result *result));
void od_put_row(struct od_claim *claim, uint64_t version, json_t *row,
		json_t *times,
		void (*done)(void *ctx, const struct pf_result *result));
uint64_t od_written_version(const struct pf_result *result);
json_t *od_new_row(const struct od_claim *claim, enum od_state state);
void od_recheck_row(struct od_claim *claim);
void od_start_result(struct od_claim *claim);
void od_link_claim(struct od_claim *claim);
void od_unlink_claim(struct od_claim *claim);
void od_free_unlinked(struct od_claim *claim);

/*
 * restored.c: rows that the store lacks after it was restored.
 *
 * od_start_era_checks, od_free_kept - set up and release.
 * od_observe_era - take over the era that an answer of the store names. A later one
 * means that the store has come back from a copy.
 * od_is_settling - whether other hosts may still be writing again what a restore
 * has lost.
 * od_keep_claim - the result of a claim is in the store, of era ERA; keep it in
 * case the store is restored.
 * od_end_confirming - the claim's row was looked up after a restore, or the claim is
 * about to be released.
 */
void od_start_era_checks(struct od_orders *orders);
void od_free_kept(struct od_orders *orders);
void od_observe_era(struct od_orders *orders, uint64_t era);
bool od_is_settling(const struct od_orders *orders);
void od_keep_claim(struct od_claim *claim, uint64_t era);
void od_end_confirming(struct od_claim *claim);

/*
 * sweep.c: removal of expired rows.
 *
 * od_start_sweep, od_stop_sweep - set up and release. LEASE_US is the duration of
 * the lease that keeps all hosts but one from sweeping.
 */
void od_start_sweep(struct od_orders *orders, uint64_t lease_us);
void od_stop_sweep(struct od_orders *orders);

#endif
