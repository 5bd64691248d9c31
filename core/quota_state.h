#ifndef CORE_QUOTA_STATE_H
#define CORE_QUOTA_STATE_H

#include "core/quota.h"

/* State that core/quota.c, of the host, and core/quota_count.c share. */

#define QT_US_PER_S (UINT64_C(1000) * 1000)

enum {
	QT_TOKEN = 1000 * 1000, /* a request, in the unit of buckets */
	QT_BINS = 10,
	QT_BIN_US = 100 * 1000
};

/* Another host. */
struct qt_peer {
	uint64_t hash; /* of its name */
	bool lists; /* this host; it has said so since this one joined */
	bool joins; /* it has no share and coordinates nothing */
	bool gone; /* its process has ended */
	bool earlier; /* of an earlier build */
	bool told; /* that this host has a share */
	uint64_t ask_us; /* when it is asked, or told, again */
	bool down; /* it does not count as a host that may coordinate */
	bool suspect; /* another host coordinates in its place */
	bool busy; /* a message to it has no answer yet */
	uint64_t down_us; /* since when */
	uint64_t ping_us; /* next try of one that is down */
	bool due; /* while messages are chosen: it gets one */
	bool asked; /* the same: it is asked whether it lists this host */
	bool listed; /* while the list is replaced */
};

/* What the coordinator of a customer knows of another host. */
struct qt_state {
	uint64_t host; /* hash of its name; key of the table */
	bool known; /* MINE is */
	bool mine; /* it takes this host for the coordinator */
	uint64_t told_us; /* the latest answer to one of its reports */
	uint32_t told_milli; /* the part in it */
};

/* A customer for which this host is the coordinator. */
struct qt_count {
	struct qt_customer *customer;
	int64_t level; /* of the bucket; below 0: a debt */
	uint64_t refilled_us;
	uint64_t start_us;
	int64_t start_level; /* at its start; 0 once another one was added */
	uint32_t
		offered[QT_BINS]; /* requests in each of the latest QT_BIN_US */
	uint64_t last_bin; /* number of the latest of them */
	bool first; /* by the list of this host, whether or not all answer */
	GHashTable *states; /* struct qt_state by host */
	uint32_t mine;
	uint32_t not_mine;
	uint32_t part_milli;
	bool named; /* all hosts have been asked since the list changed */
	uint32_t named_milli; /* the part that all hosts were told last */
	uint64_t name_us; /* when they are told again */
	bool limited;
	uint64_t limited_until_us; /* unless it goes on */
	uint64_t asked_us; /* the latest report */
	GList link; /* in qt_quotas.naming; data NULL: not there */
};

/* A customer with a quota. */
struct qt_customer {
	char *name; /* of base/text.h */
	uint64_t hash; /* of the name */
	uint32_t rate_milli; /* requests in 1000 s */
	uint32_t burst_milli;
	uint32_t part_milli; /* that the coordinator named */
	uint64_t part_until_us; /* it holds until then */
	uint32_t credit_milli;
	uint32_t admitted; /* not reported */
	uint32_t refused;
	uint32_t sent; /* admitted, in a message without an answer yet */
	uint64_t oldest_us; /* first request that is not reported */
	uint32_t usual_milli; /* admitted in 1000 s by this host, on average */
	uint64_t usual_us;
	uint32_t answered_milli; /* USUAL_MILLI when the coordinator answered */
	int64_t tokens; /* by these, while a coordinator is replaced */
	uint64_t tokens_us;
	struct qt_peer *coordinator; /* NULL: this host */
	uint64_t replaced_until_us; /* the one before it is silent */
	uint32_t generation; /* of qt_quotas, for COORDINATOR */
	struct qt_count *count; /* NULL: this host does not coordinate */
	GList link; /* in qt_quotas.pending; data NULL: not there */
};

/* quota_hosts.c: who else has a share. */

/*
 * qt_shares - whether the peer has a share that coordinators may count.
 * qt_find_peer - NULL: the host is not on the list.
 * qt_set_peer - change the state of the peer by the mask SET of enum qt_peer_state to
 *	VALUE, with what depends on it.
 * qt_take_flags - take over what the peer says of itself, in a message or an answer.
 * qt_note_time - notice a pause. To be called before anything else with the time.
 * qt_update_join - end the join of this host once no other host is left to agree.
 * qt_must_ask - whether the peer is to be asked, or told, now. Sets UNSETTLED if it is to
 * be at some time.
 * qt_for_each_count - call FN for each customer that this host has counted requests of.
 */
enum qt_peer_state {
	QT_LISTS = 1 << 0,
	QT_JOINS = 1 << 1,
	QT_GONE = 1 << 2,
	QT_DOWN = 1 << 3
};
bool qt_shares(const struct qt_peer *peer);
struct qt_peer *qt_find_peer(const struct qt_quotas *quotas, uint64_t hash);
void qt_set_peer(struct qt_quotas *quotas, struct qt_peer *peer, uint32_t set,
		 bool value);
void qt_take_flags(struct qt_quotas *quotas, struct qt_peer *peer,
		   const struct qt_message *message, uint64_t now_us);
void qt_note_time(struct qt_quotas *quotas, uint64_t now_us);
void qt_update_join(struct qt_quotas *quotas, uint64_t now_us);
bool qt_must_ask(struct qt_quotas *quotas, struct qt_peer *peer,
		 uint64_t now_us);
void qt_for_each_count(struct qt_quotas *quotas,
		       void (*fn)(struct qt_quotas *quotas,
				  struct qt_count *count, void *ctx),
		       void *ctx);

/*
 * qt_find_coordinator - the host that coordinates the customer; NULL: this one.
 * Source: core/quota.c
 */
struct qt_peer *qt_find_coordinator(struct qt_quotas *quotas,
				    struct qt_customer *customer);

/*
 * quota_count.c
 *
 * qt_count_offer - requests of a host; returns the part to be admitted.
 * qt_count_set_state - a host takes this one for the coordinator, or does not.
 * qt_count_forget - a host has no share any more, or none that this one may count.
 *	KEEPS_BURST: it may use its part of the burst elsewhere.
 * qt_count_told - a report of the host is answered with the part.
 * qt_count_knows - whether the host has the part already, from such an answer.
 * qt_count_hand_over - put the level, and what is offered, into the report to the host
 *	that coordinates the customer now.
 * qt_count_take_over - add those of a report.
 * qt_count_clear_states - it is not known any more which hosts do.
 * qt_count_clamp - the quota has changed.
 * qt_count_names - whether the hosts are to be told the part now.
 * qt_count_named - they are being told.
 * qt_count_free - NULL is allowed.
 */
uint32_t qt_count_offer(struct qt_quotas *quotas, struct qt_customer *customer,
			uint32_t admitted, uint32_t refused, uint64_t now_us);
void qt_count_set_state(const struct qt_quotas *quotas, struct qt_count *count,
			uint64_t host, bool mine);
void qt_count_forget(const struct qt_quotas *quotas, struct qt_count *count,
		     uint64_t host, bool keeps_burst);
void qt_count_told(struct qt_count *count, uint64_t host, uint64_t now_us);
bool qt_count_knows(const struct qt_count *count, uint64_t host,
		    uint64_t now_us);
void qt_count_hand_over(struct qt_count *count, struct qt_entry *entry,
			uint64_t now_us);
void qt_count_take_over(struct qt_quotas *quotas, struct qt_count *count,
			const struct qt_entry *entry, uint64_t now_us);
void qt_count_clear_states(struct qt_quotas *quotas, struct qt_count *count);
void qt_count_clamp(struct qt_quotas *quotas, struct qt_count *count,
		    uint64_t now_us);
bool qt_count_names(struct qt_quotas *quotas, struct qt_count *count,
		    uint64_t now_us);
void qt_count_named(struct qt_count *count, uint64_t now_us);
void qt_count_free(struct qt_quotas *quotas, struct qt_count *count);

#endif
