#ifndef LEASE_H
#define LEASE_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>

#include "platform/store.h"
#include "status.h"
#include "timer.h"

/*
 * Leases in the table "leases" for jobs that one host does alone.
 *
 * The version of the lease's row is the fencing token. Every renewal and every
 * guarded write is a transaction on the condition that the row still has that
 * version, and rewrites the row, which extends the lease and gives the next
 * token. A holder that was paused past its end therefore cannot write: the
 * version has moved on. Versions are never reused by the platform.
 *
 * No wall clock is involved. A host takes a lease over when it has seen the
 * row unchanged for the whole duration and the margin on its own monotonic
 * clock. The holder stops a margin before the duration is over, counted from
 * before the request of its last renewal.
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
	bool held;
	uint64_t valid_until_us; /* of the holder */
	uint64_t version; /* token when held, otherwise last seen */
	uint64_t version_seen_us; /* when that version was first seen */
	uint64_t sent_us; /* start of the outstanding write */
	uint64_t next_valid_us;
	struct pf_callback callback; /* of the outstanding guarded write */
};

/*
 * ls_init - compete for lease NAME as HOLDER, for DURATION_US at a time.
 * HOLDER differs for every process, so a restarted host does not inherit.
 * ls_free - stop competing; a held lease runs out. Source: lease.c
 */
void ls_init(struct ls_lease *lease, struct pf_client *platform,
	     struct tm_service *timers, const char *name, const char *holder,
	     uint64_t duration_us);
void ls_free(struct ls_lease *lease);

/* ls_is_held - whether this process may still act as the holder. */
bool ls_is_held(const struct ls_lease *lease);

/*
 * ls_write_fenced - run WRITES, which are taken over, on the condition of the token.
 * CALLBACK gets ST_OK, ST_FENCED when the lease was taken over (nothing was
 * written), ST_PLATFORM, or ST_PLATFORM_UNKNOWN. One write runs at a time.
 * Returns false, without a callback, while another operation is outstanding
 * or when the lease is not held.
 */
bool ls_write_fenced(struct ls_lease *lease, json_t *writes,
		     const struct pf_callback *callback);

#endif
