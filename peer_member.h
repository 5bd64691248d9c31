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
	PR_SAMPLE = 4, /* entries of a heartbeat when nothing changed */
	/* A sign of life this little newer than a suspicion proves nothing,
	 * because ages do not count the time on the way. */
	PR_SIGN_SLACK_US = 100 * 1000
};

enum pr_state {
	PR_ALIVE,
	PR_SUSPECT,
	PR_GONE, /* silent; may come back under the same incarnation */
	PR_LEFT /* announced its end; only a new incarnation comes back */
};

struct pr_member {
	char name[PR_NAME_BYTES];
	char zone[PR_NAME_BYTES];
	struct nt_address address;
	uint64_t incarnation;
	uint64_t heard_us; /* newest sign of life */
	uint64_t suspect_us; /* first unanswered call of the suspicion */
	uint64_t called_us; /* first call without a reply, 0: none */
	uint64_t list_from_us; /* when its hold ends; 0: listed */
	uint64_t alive_since_us;
	uint64_t ended_us; /* since when it is known not to be live, or 0 */
	enum pr_state state;
	uint8_t calls; /* without a reply */
	uint8_t spread; /* heartbeats that still carry the last change */
	uint8_t flaps;
	bool draining; /* says the member itself */
	bool platform_draining; /* says the platform's host list */
	struct pr_window datagrams;
	struct pr_window records;
};

struct pr_table {
	char self[PR_NAME_BYTES];
	GRand *random;
	GPtrArray *members; /* in random order, self not included */
	GHashTable *by_name;
	guint call_cursor;
	guint sample_cursor;
	guint page_cursor;
	uint32_t live; /* alive or suspect, self not included */
	bool changed; /* the host list may have changed */
	/* New ones, until the caller has looked at them. */
	struct pr_member *suspects[PR_MAX_NEW_SUSPECTS];
	uint32_t suspect_count;
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
 * pr_table_restart - MEMBER runs under a higher incarnation.
 * pr_table_alive - a sign of life of MEMBER at HEARD_US.
 * pr_table_suspect - a call of SUSPECT_US to MEMBER has no reply.
 * pr_table_left - MEMBER announced its end.
 */
void pr_table_restart(struct pr_table *table, struct pr_member *member,
		      uint64_t incarnation);
void pr_table_alive(struct pr_table *table, struct pr_member *member,
		    uint64_t heard_us, uint64_t now_us);
void pr_table_suspect(struct pr_table *table, struct pr_member *member,
		      uint64_t suspect_us);
void pr_table_left(struct pr_table *table, struct pr_member *member);

/* pr_table_changed - spread the state of MEMBER with the next heartbeats. */
void pr_table_changed(struct pr_table *table, struct pr_member *member);

/* pr_table_draining - the member said whether it is draining. */
void pr_table_draining(struct pr_table *table, struct pr_member *member,
		       bool draining);

/* pr_table_take - merge what another host says about a member. */
void pr_table_take(struct pr_table *table, const struct pr_msg_member *said,
		   uint64_t now_us);

/*
 * pr_table_sample - fill ROWS with what changed, then with random members, at
 * most PR_SAMPLE of the latter. The rows point into the table. An entry about
 * RECIPIENT comes first when it is wrong about a host that is alive.
 */
uint32_t pr_table_sample(struct pr_table *table,
			 const struct pr_member *recipient, uint64_t now_us,
			 struct pr_msg_member *rows, uint32_t max);

/* pr_table_page - fill ROWS with the live members after the last page. */
uint32_t pr_table_page(struct pr_table *table, uint64_t now_us,
		       struct pr_msg_member *rows, uint32_t max);

/* pr_table_next - next live member to call, each once a turn, or NULL. */
struct pr_member *pr_table_next(struct pr_table *table);

/* pr_table_random - a random member that is live, or not, or NULL. */
struct pr_member *pr_table_random(struct pr_table *table, bool live);

/*
 * pr_table_expire - remove suspects that stayed silent, and forget members that
 * are gone for long. Pointers to members that are not live become invalid.
 */
void pr_table_expire(struct pr_table *table, uint64_t now_us);

/* pr_table_skip - this process stood still for GAP_US; nobody was silent. */
void pr_table_skip(struct pr_table *table, uint64_t gap_us);

/* pr_table_removal_us - from the first unanswered call to the removal. */
uint64_t pr_table_removal_us(const struct pr_table *table);

/* pr_table_list - append struct pr_host of the listed members. */
void pr_table_list(const struct pr_table *table, GArray *rows);

bool pr_is_live(const struct pr_member *member);

#endif
