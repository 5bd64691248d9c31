#ifndef PEER_MEMBER_H
#define PEER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "base/net.h"
#include "peer/peer.h"
#include "peer/wire.h"

/*
 * Membership table of the entry hosts: which are alive, suspected, dead or
 * have left. The table has no socket and no clock; callers pass the time.
 *
 * A member counts as seen when it sends a message to this host, or when another
 * host reports that it has seen it. A member that does not answer calls becomes
 * a suspect. It is marked dead if it is not seen again within the suspicion
 * timeout, which starts at the first unanswered call. Hosts send the age of that
 * call with the suspicion, so that all of them mark the member dead at about the
 * same time.
 */

enum {
	PR_MAX_MEMBERS = 16384,
	PR_MAX_NEW_SUSPECTS = 16,
	/* Rows of a heartbeat when no update is queued. */
	PR_IDLE_SAMPLE_ROWS = 4,
	/* A member must be seen this much later than the unanswered call to
	 * clear the suspicion, because ages do not include the time that a
	 * message spends on the network. */
	PR_SUSPICION_SLACK_US = 100 * 1000
};

enum pr_state {
	PR_ALIVE,
	PR_SUSPECT,
	/* Never seen, or the suspicion timeout expired. May become alive again
	 * under the same incarnation. */
	PR_DEAD,
	/* Announced its shutdown. Only a higher incarnation can be alive. */
	PR_LEFT
};

/* An entry host other than this one. */
struct pr_member {
	char name[PR_NAME_BYTES];
	char zone[PR_NAME_BYTES];
	struct nt_address address;
	uint64_t incarnation;
	uint64_t last_seen_us; /* 0: not under this incarnation */
	uint64_t suspected_since_us; /* start of the last suspicion; 0: none */
	/* First call of this host that is still without a reply; 0: none. */
	uint64_t unanswered_since_us;
	/* A flapping member is left out of the host list until then; 0: not. */
	uint64_t relist_at_us;
	uint64_t alive_since_us; /* 0: never alive */
	uint64_t not_live_since_us; /* 0: live when last checked */
	enum pr_state state;
	uint8_t unanswered_calls; /* sent since unanswered_since_us */
	uint8_t transmits_left; /* heartbeats still to carry its last update */
	uint8_t flaps; /* recent changes to PR_DEAD, at most PR_MAX_FLAPS */
	bool draining; /* as announced by the member */
	bool platform_draining; /* according to the platform's host list */
	struct pr_replay_window datagram_window; /* UDP */
	struct pr_replay_window record_window; /* TCP */
};

struct pr_table {
	char self[PR_NAME_BYTES];
	GRand *random;
	GPtrArray *members; /* in random order, this host not included */
	GHashTable *by_name;
	guint call_cursor;
	guint sample_cursor;
	guint page_cursor;
	uint32_t live_count; /* alive or suspect, this host not included */
	bool hosts_changed; /* the host list may have changed */
	/* Members that became suspects; the caller clears the count. */
	struct pr_member *new_suspects[PR_MAX_NEW_SUSPECTS];
	uint32_t new_suspect_count;
};

/*
 * pr_table_init, pr_table_free - SELF is the name of this host. The table does
 * not free RANDOM.
 */
void pr_table_init(struct pr_table *table, const char *self, GRand *random);
void pr_table_free(struct pr_table *table);

/* pr_table_find - member by name, or NULL. */
struct pr_member *pr_table_find(struct pr_table *table, const char *name);

/*
 * pr_table_add - add a member that is not in the table yet, as PR_DEAD.
 * Returns NULL when the table is full. Source: peer/member.c
 */
struct pr_member *pr_table_add(struct pr_table *table, const char *name,
			       const char *zone,
			       const struct nt_address *address);

/*
 * pr_table_set_incarnation - MEMBER restarted under a higher INCARNATION; reset
 * what was stored about the earlier one.
 * pr_table_mark_alive - MEMBER was seen at SEEN_US. Clears a suspicion that is
 * older by more than PR_SUSPICION_SLACK_US.
 * pr_table_mark_suspect - a call made to MEMBER at SINCE_US is unanswered. When
 * MEMBER was seen after that, queue an update instead.
 * pr_table_mark_left - MEMBER announced its shutdown.
 */
void pr_table_set_incarnation(struct pr_table *table, struct pr_member *member,
			      uint64_t incarnation);
void pr_table_mark_alive(struct pr_table *table, struct pr_member *member,
			 uint64_t seen_us, uint64_t now_us);
void pr_table_mark_suspect(struct pr_table *table, struct pr_member *member,
			   uint64_t since_us);
void pr_table_mark_left(struct pr_table *table, struct pr_member *member);

/* pr_table_queue_update - include MEMBER in the next heartbeats. */
void pr_table_queue_update(struct pr_table *table, struct pr_member *member);

/* pr_table_set_draining - store whether MEMBER is draining. */
void pr_table_set_draining(struct pr_table *table, struct pr_member *member,
			   bool draining);

/* pr_table_merge_row - merge a row about a member from another host. */
void pr_table_merge_row(struct pr_table *table, const struct pr_msg_member *row,
			uint64_t now_us);

/*
 * pr_table_fill_sample - fill ROWS for a heartbeat to RECIPIENT: queued updates
 * first, then random members up to PR_IDLE_SAMPLE_ROWS rows. When RECIPIENT is
 * not alive according to the table, its row is the first, so that RECIPIENT can
 * refute it. RECIPIENT may be NULL. The rows point into the table. Returns the
 * number of rows.
 */
uint32_t pr_table_fill_sample(struct pr_table *table,
			      const struct pr_member *recipient,
			      uint64_t now_us, struct pr_msg_member *rows,
			      uint32_t max);

/*
 * pr_table_fill_page - fill ROWS with the live members that follow the previous
 * page. Returns the number of rows, which point into the table.
 */
uint32_t pr_table_fill_page(struct pr_table *table, uint64_t now_us,
			    struct pr_msg_member *rows, uint32_t max);

/* pr_table_next_live - next live member in round-robin order, or NULL. */
struct pr_member *pr_table_next_live(struct pr_table *table);

/*
 * pr_table_pick_random - a random member whose liveness equals LIVE, or NULL
 * when there is none.
 */
struct pr_member *pr_table_pick_random(struct pr_table *table, bool live);

/*
 * pr_table_expire - mark suspects dead whose suspicion timeout has passed, list
 * members again whose flap hold has ended, and free members that have not been
 * live for hours. Pointers to members that are not live become invalid.
 */
void pr_table_expire(struct pr_table *table, uint64_t now_us);

/*
 * pr_table_skip_pause - this process was paused for PAUSE_US and could not
 * receive replies. Pending calls are dropped and suspicions are postponed.
 */
void pr_table_skip_pause(struct pr_table *table, uint64_t pause_us);

/*
 * pr_table_suspicion_timeout_us - time from the first unanswered call until the
 * member is marked dead. Grows with the logarithm of the number of hosts.
 */
uint64_t pr_table_suspicion_timeout_us(const struct pr_table *table);

/*
 * pr_table_append_hosts - append a struct pr_host for each live member that is
 * not held back because of flapping.
 */
void pr_table_append_hosts(const struct pr_table *table, GArray *rows);

/* pr_member_is_live - whether the state is alive or suspect. */
bool pr_member_is_live(const struct pr_member *member);

#endif
