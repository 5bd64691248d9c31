#ifndef ORDERS_LEASE_H
#define ORDERS_LEASE_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "platform/store.h"
#include "base/status.h"
#include "base/timer.h"

/*
 * Leases for jobs that only one host may do at a time. Each lease is a row of
 * the platform's table "leases".
 *
 * The version of the row is the fencing token. Every renewal and every fenced
 * write is a transaction that requires the row to have the holder's token. The
 * transaction also rewrites the row, which extends the lease and yields the
 * next token. If the holder is paused until another host has taken the lease
 * over, its writes fail, because the row has a new version. The platform reuses a
 * version only when its store comes back from a copy. A lease does not protect
 * from that: the sweep of expired orders, its only user, may then run twice at a
 * time.
 *
 * Leases depend on no wall clock. A host takes a lease over when, by its own
 * monotonic clock, the row has not changed for the duration of the lease and a
 * margin. The holder stops acting a margin before the duration is over, counted
 * from the time when it sent its last successful renewal.
 */

enum { LS_NAME_BYTES = 64, LS_HOLDER_BYTES = 128 };

struct ls_lease {
	struct pf_client *platform;
	struct tm_service *timers;
	char name[LS_NAME_BYTES];
	char holder[LS_HOLDER_BYTES]; /* unique per process */
	uint64_t duration_us;
	struct tm_sub timer;
	bool busy; /* an operation is outstanding */
	bool held; /* by this process; ls_is_held checks the end as well */
	uint64_t valid_until_us; /* when this process stops acting as holder */
	/* Token when held, otherwise version of the row as read; 0: none. */
	uint64_t version;
	uint64_t version_seen_us; /* when that version was first read */
	uint64_t sent_us; /* when the latest transaction was sent */
	uint64_t next_valid_us;
	struct pf_callback callback; /* of the outstanding fenced write */
};

/*
 * ls_init - start to acquire lease NAME as HOLDER and to renew it while held.
 * A lease is valid for DURATION_US after each renewal. HOLDER must be unique
 * per process, so that a restarted host does not act under the lease of the
 * earlier process.
 * ls_free - stop acquiring and renewing; a held lease expires. Source: orders/lease.c
 */
void ls_init(struct ls_lease *lease, struct pf_client *platform,
	     struct tm_service *timers, const char *name, const char *holder,
	     uint64_t duration_us);
void ls_free(struct ls_lease *lease);

/* ls_is_held - whether this process holds the lease and it has not ended. */
bool ls_is_held(const struct ls_lease *lease);

/*
 * ls_write_fenced - run WRITES (see pf_add_write) in a transaction that
 * requires the row of the lease to have this holder's token. Takes ownership of
 * WRITES. CALLBACK gets ST_OK, ST_FENCED when another host took the lease over
 * (nothing was written), ST_PLATFORM, or ST_PLATFORM_UNKNOWN. One operation
 * runs at a time: returns false, without a callback, while another operation of
 * the lease is outstanding or when the lease is not held.
 */
bool ls_write_fenced(struct ls_lease *lease, json_t *writes,
		     const struct pf_callback *callback);

#endif
