#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "document/customer.h"

/*
 * Quotas of customers over all hosts; see docs/design/quotas.md. Decides for both
 * sides: the host, which admits a part of the requests and reports what it counted,
 * and the coordinator of a customer, which keeps its token bucket and names the part.
 * Uses no socket and no clock.
 *
 * Every host has exactly one coordinator for a customer at a time. A coordinator
 * refills the bucket with the share of the rate that the hosts have that take it for
 * their coordinator, so that several coordinators of one customer, each for some of
 * the hosts, together refill with no more than the rate.
 *
 * A host that starts, or goes on after a pause, joins: it coordinates nothing and has no
 * share until each other host has said that it lists this one. So the list of every host
 * with a share holds all hosts with a share, whatever else the lists differ in. A
 * coordinator that another one follows hands its bucket over.
 */
enum { QT_MILLI = 1000 };

struct qt_driver {
	uint32_t (*random)(void *ctx);
	/* A customer that this host coordinates begins or ends to be limited. */
	void (*limited)(void *ctx, const char *customer, bool limited,
			uint32_t part_milli);
	void *ctx;
};

/* What a message says of a customer. */
struct qt_entry {
	const char *customer; /* of base/text.h in a message of this host */
	uint32_t admitted; /* of a report: requests since the last one */
	uint32_t refused;
	uint32_t part_milli; /* of a part: admitted in 1000 requests */
	bool mine; /* of an answer to a part: the sender is the coordinator */
	bool hands_over; /* of a report: the sender was the coordinator */
	int32_t level_milli; /* its bucket, in thousandths of a request */
	uint32_t offered; /* requests a second that it has seen */
};

/*
 * Entries of one message to another host, or of the answer to one: parts answer
 * reports, and reports, of which only MINE counts, answer parts.
 */
struct qt_message {
	uint64_t host; /* receiver; hash of its name */
	GArray *reports; /* struct qt_entry, to the coordinator */
	GArray *parts; /* struct qt_entry, from the coordinator */
	bool asks; /* whether the receiver lists the sender */
	bool lists; /* of an answer: it does */
	bool joins; /* the sender has no share yet */
	bool earlier; /* of an earlier build, which says none of these */
	uint32_t join; /* qt_quotas.join_count when it was sent */
};

/* How a host that joins came to be on the list of hosts. */
enum qt_join {
	QT_JOIN_AGAIN, /* it was there before: others list it, also silent ones */
	QT_JOIN_NEW /* others may not know it */
};

struct qt_quotas {
	struct qt_driver driver;
	uint64_t host_hash; /* of this host */
	uint32_t slack; /* requests over the quota that are tolerated */
	GHashTable *customers; /* struct qt_customer with a quota, by name */
	GPtrArray *peers; /* struct qt_peer, all other hosts */
	GHashTable *peer_ids; /* the same by hash */
	bool hosts_known; /* qt_set_hosts has been called */
	bool joining; /* this host has no share */
	bool joins_new; /* see enum qt_join */
	uint32_t join_count;
	uint64_t join_us; /* when the latest join began */
	uint64_t tick_us; /* of the latest qt_tick; 0: none */
	uint32_t sharing; /* peers that have a share and list this host */
	uint32_t gone; /* peers whose process has ended */
	bool unsettled; /* peers may have to be asked, or told of a join's end */
	uint32_t suspects; /* coordinators that another host replaces */
	uint32_t generation; /* of coordinators: the list or a state changed */
	uint32_t handed_over; /* generation for which that was done */
	GQueue pending; /* struct qt_customer with unreported requests */
	GQueue naming; /* struct qt_count whose part the hosts are told */
	bool due; /* a message is to be sent before the next check */
};

/*
 * qt_init, qt_free - on memory of the caller. Source: core/quota.c
 *
 * qt_set_customers - take over the quotas; NULL: there are none. Customers whose
 *	quota stays keep their state.
 * qt_set_hosts - take over the other hosts, by the hashes of their names. All of the first
 *	list have a share, until qt_join.
 * qt_join - this host joins.
 * qt_tick - to be called every QT_TICK_US at least, from the first call on. After a pause
 *	of QT_PAUSE_US this host joins.
 * qt_has_customers - whether any customer has a quota.
 * qt_admit - whether a request of CUSTOMER, a name of base/text.h, may run. If not,
 *	RETRY_US is set to a random time after which the caller may return.
 */
void qt_init(struct qt_quotas *quotas, const struct qt_driver *driver,
	     uint64_t host_hash, uint32_t slack);
void qt_free(struct qt_quotas *quotas);
void qt_set_customers(struct qt_quotas *quotas,
		      const struct doc_customers *customers, uint64_t now_us);
void qt_set_hosts(struct qt_quotas *quotas, const uint64_t *hashes,
		  uint32_t count);
enum { QT_TICK_US = 500 * 1000, QT_PAUSE_US = 2000 * 1000 };
void qt_join(struct qt_quotas *quotas, enum qt_join how, uint64_t now_us);
void qt_tick(struct qt_quotas *quotas, uint64_t now_us);
bool qt_has_customers(const struct qt_quotas *quotas);
bool qt_admit(struct qt_quotas *quotas, const char *customer, uint64_t now_us,
	      uint64_t *retry_us);

/*
 * qt_has_work - whether qt_take_messages must be called every QT_CHECK_US.
 * qt_is_due - whether it should be called now.
 * qt_take_messages - the messages that are to be sent now, as struct qt_message. The
 *	caller frees the array, and gives each message back with qt_on_answer or
 *	qt_on_lost, which release it.
 * qt_on_answer - the receiver answered MESSAGE: parts for the reports, and whether
 *	it takes this host for the coordinator for each of the parts.
 * qt_on_lost - it did not answer, or not as expected. REFUSED: its process has ended.
 * qt_on_message - the host with hash FROM sent MESSAGE; fills ANSWER, which must be
 *	empty.
 * qt_message_new, qt_message_free - an empty one for HOST.
 */
enum { QT_CHECK_US = 250 * 1000 };
bool qt_has_work(const struct qt_quotas *quotas);
bool qt_is_due(const struct qt_quotas *quotas);
GPtrArray *qt_take_messages(struct qt_quotas *quotas, uint64_t now_us);
void qt_on_answer(struct qt_quotas *quotas, struct qt_message *message,
		  const struct qt_message *answer, uint64_t now_us);
void qt_on_lost(struct qt_quotas *quotas, struct qt_message *message,
		bool refused, uint64_t now_us);
void qt_on_message(struct qt_quotas *quotas, uint64_t from,
		   const struct qt_message *message, struct qt_message *answer,
		   uint64_t now_us);
struct qt_message *qt_message_new(uint64_t host);
void qt_message_free(struct qt_message *message);

#endif
