#ifndef PEER_MEMBER_H
#define PEER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "net.h"
#include "peer.h"
#include "peer_wire.h"

/*
 * Table of the entry hosts: who is live, suspected, gone.
 *
 * It has no socket and no clock. A member is live because of signs of life:
 * its own messages, or the age of such a sign that another host reports. A
 * member that leaves calls unanswered becomes a suspect, and is removed when
 * no sign of life newer than the first unanswered call turns up in time. The
 * time of that call travels with the suspicion as an age, so that all hosts
 * remove a member at about the same time.
 */

enum {
	PR_MAX_MEMBERS = 16384,
	PR_MAX_NEW_SUSPECTS = 16,
	PR_IDLE_SAMPLE_ROWS =
		4, /* entries of a heartbeat when nothing changed */
	/* A sign of life this little newer than a suspicion proves nothing,
	 * because ages do not count the time on the way. */
	PR_SUSPICION_SLACK_US = 100 * 1000
};

enum pr_state {
	PR_ALIVE,
	PR_SUSPECT,
	PR_DEAD, /* silent; may come back under the same incarnation */
	PR_LEFT /* announced its end; only a new incarnation comes back */
};

struct pr_member {
	char name[PR_NAME_BYTES];
	char zone[PR_NAME_BYTES];
	struct nt_address address;
	uint64_t incarnation;
	uint64_t last_seen_us; /* newest sign of life */
	uint64_t
		suspected_since_us; /* first unanswered call of the suspicion */
	uint64_t unanswered_since_us; /* first call without a reply, 0: none */
	uint64_t relist_at_us; /* when its hold ends; 0: listed */
	uint64_t alive_since_us;
	uint64_t
		not_live_since_us; /* since when it is known not to be live, or 0 */
	enum pr_state state;
	uint8_t unanswered_calls; /* without a reply */
	uint8_t transmits_left; /* heartbeats that still carry the last change */
	uint8_t flaps;
	bool draining; /* says the member itself */
	bool platform_draining; /* says the platform's host list */
	struct pr_replay_window datagram_window;
	struct pr_replay_window record_window;
};

struct pr_table {
	char self[PR_NAME_BYTES];
	GRand *random;
	GPtrArray *members; /* in random order, self not included */
	GHashTable *by_name;
	guint call_cursor;
	guint sample_cursor;
	guint page_cursor;
	uint32_t live_count; /* alive or suspect, self not included */
	bool hosts_changed; /* the host list may have changed */
	/* New ones, until the caller has looked at them. */
	struct pr_member *new_suspects[PR_MAX_NEW_SUSPECTS];
	uint32_t new_suspect_count;
};

/* pr_table_init, pr_table_free - RANDOM stays the caller's. */
void pr_table_init(struct pr_table *table, const char *self, GRand *random);
void pr_table_free(struct pr_table *table);

/* pr_table_find - member by name, or NULL. */
struct pr_member *pr_table_find(struct pr_table *table, const char *name);

/*
 * pr_table_add - a member that is not in the table yet, not live.
 * Returns NULL when the table is full. Source: peer_member.c
 */
struct pr_member *pr_table_add(struct pr_table *table, const char *name,
			       const char *zone,
			       const struct nt_address *address);

/*
 * pr_table_set_incarnation - MEMBER runs under a higher incarnation.
 * pr_table_mark_alive - a sign of life of MEMBER at SEEN_US.
 * pr_table_mark_suspect - a call of SINCE_US to MEMBER has no reply.
 * pr_table_mark_left - MEMBER announced its end.
 */
void pr_table_set_incarnation(struct pr_table *table, struct pr_member *member,
			      uint64_t incarnation);
void pr_table_mark_alive(struct pr_table *table, struct pr_member *member,
			 uint64_t seen_us, uint64_t now_us);
void pr_table_mark_suspect(struct pr_table *table, struct pr_member *member,
			   uint64_t since_us);
void pr_table_mark_left(struct pr_table *table, struct pr_member *member);

/* pr_table_queue_update - spread the state of MEMBER with the next heartbeats. */
void pr_table_queue_update(struct pr_table *table, struct pr_member *member);

/* pr_table_set_draining - the member row whether it is draining. */
void pr_table_set_draining(struct pr_table *table, struct pr_member *member,
			   bool draining);

/* pr_table_merge_row - merge what another host says about a member. */
void pr_table_merge_row(struct pr_table *table, const struct pr_msg_member *row,
			uint64_t now_us);

/*
 * pr_table_fill_sample - fill ROWS with what changed, then with random members, at
 * most PR_IDLE_SAMPLE_ROWS of the latter. The rows point into the table. An entry about
 * RECIPIENT comes first when it is wrong about a host that is alive.
 */
uint32_t pr_table_fill_sample(struct pr_table *table,
			      const struct pr_member *recipient,
			      uint64_t now_us, struct pr_msg_member *rows,
			      uint32_t max);

/* pr_table_fill_page - fill ROWS with the live members after the last page. */
uint32_t pr_table_fill_page(struct pr_table *table, uint64_t now_us,
			    struct pr_msg_member *rows, uint32_t max);

/* pr_table_next_live - next live member to call, each once a turn, or NULL. */
struct pr_member *pr_table_next_live(struct pr_table *table);

/* pr_table_pick_random - a random member that is live, or not, or NULL. */
struct pr_member *pr_table_pick_random(struct pr_table *table, bool live);

/*
 * pr_table_expire - remove suspects that stayed silent, and forget members that
 * are gone for long. Pointers to members that are not live become invalid.
 */
void pr_table_expire(struct pr_table *table, uint64_t now_us);

/* pr_table_skip_pause - this process stood still for PAUSE_US; nobody was silent. */
void pr_table_skip_pause(struct pr_table *table, uint64_t pause_us);

/* pr_table_suspicion_timeout_us - from the first unanswered call to the removal. */
uint64_t pr_table_suspicion_timeout_us(const struct pr_table *table);

/* pr_table_append_hosts - append struct pr_host of the listed members. */
void pr_table_append_hosts(const struct pr_table *table, GArray *rows);

bool pr_member_is_live(const struct pr_member *member);

#endif
