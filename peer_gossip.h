#ifndef PEER_GOSSIP_H
#define PEER_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "peer_member.h"

/*
 * The heartbeat protocol of one host, without sockets and clock.
 *
 * Every PR_ROUND_US a host calls PR_FANOUT members and one address that is not
 * live, whatever the number of hosts; every call is answered. Both carry the
 * generation in force, what changed in the member table, and servers known to
 * be leaving. News that cannot wait is pushed to PR_PUSH_FANOUT members at once.
 *
 * Reach of a new generation among N hosts: a host that has it pushes it to 4
 * others, which leaves a fraction x = exp(-4 (1 - x)), about 2 %, without it
 * after log4(N) hops. Each of those makes 2 calls a second and receives 2 on
 * average, so that the fraction without it falls by exp(-4) a second. For
 * N = 7,100: 7 hops of 100 ms for the platform to deliver the body and some
 * milliseconds for a peer's are about 1 s; 142 hosts are left; after 3 s more
 * 0.001.
 */

enum {
	PR_TICK_US = 250 * 1000,
	PR_ROUND_US = 1000 * 1000,
	PR_FANOUT = 2,
	PR_PUSH_FANOUT = 4,
	PR_SEEDS_PER_ROUND = 8, /* a round, until a document is in force */
	PR_PUSH_INTERVAL_US = 50 * 1000,
	/* A call counts as unanswered after this; repeated twice. */
	PR_REPLY_TIMEOUT_US = 500 * 1000,
	PR_MAX_TRIES = 3,
	PR_MAX_PENDING_CALLS = 32,
	/* Hosts, of all, that call a new suspect over their own paths. */
	PR_CONFIRMERS = 4,
	/* Pages of the table to a host that knows much fewer members. */
	PR_PAGES_PER_CALL = 4,
	PR_PAGES_PER_ROUND = 32,
	PR_MAX_CONTACTS = 512,
	PR_MAX_LEAVING_SERVERS = 128,
	/* A tick this late: the process was paused. */
	PR_PAUSE_US = 2 * 1000 * 1000
};

/* What the protocol needs from its driver. */
struct pr_gossip_callbacks {
	void (*send_datagram)(void *ctx, const struct nt_address *to,
			      const char *data, size_t data_bytes);
	/* A host told its generation. AGE_US: UINT64_MAX for never. */
	void (*on_generation)(void *ctx, const char *host,
			      const struct nt_address *address,
			      uint64_t generation, const char *digest,
			      uint64_t age_us);
	void (*on_server_state)(void *ctx, const char *server, bool leaving);
	void *ctx;
};

struct pr_gossip_conf {
	const char *host;
	const char *zone;
	const char *key;
	struct nt_address address;
	uint64_t incarnation;
	uint32_t random_seed;
	const struct nt_address *seeds;
	uint32_t seed_count;
	struct pr_gossip_callbacks callbacks;
};

/* A server with a sign of leaving. */
struct pr_leaving_server {
	char name[PR_NAME_BYTES];
	uint64_t last_notice_us;
	uint8_t transmits_left;
};

struct pr_gossip {
	struct pr_gossip_conf conf;
	struct pr_table table;
	GRand *random;
	uint64_t sequence;
	uint32_t xid;
	uint64_t generation;
	char digest[PR_WIRE_DIGEST_BYTES];
	uint64_t confirmed_us; /* by the platform; 0: never */
	bool draining;
	bool platform_draining; /* says the platform's host list */
	bool left;
	uint64_t last_tick_us;
	uint64_t next_round_us;
	uint64_t last_push_us;
	bool push_pending;
	uint32_t pages_left; /* in this round */
	struct pr_member *pending_calls[PR_MAX_PENDING_CALLS];
	uint32_t pending_call_count;
	uint32_t seed_cursor;
	GArray *contacts; /* struct nt_address, from the platform */
	struct pr_leaving_server leaving[PR_MAX_LEAVING_SERVERS];
	uint32_t leaving_count;
	uint32_t leaving_cursor;
	GArray *hosts; /* struct pr_host, as published last */
};

/*
 * pr_gossip_init, pr_gossip_free - on caller-owned memory. What CONF points to
 * must stay valid. Source: peer_gossip.c
 */
void pr_gossip_init(struct pr_gossip *gossip,
		    const struct pr_gossip_conf *conf);
void pr_gossip_free(struct pr_gossip *gossip);

/* pr_gossip_tick - to be called every PR_TICK_US. */
void pr_gossip_tick(struct pr_gossip *gossip, uint64_t now_us);

/* pr_gossip_receive - a datagram arrived; dropped and counted when bad. */
void pr_gossip_receive(struct pr_gossip *gossip, uint64_t now_us,
		       const struct nt_address *from, const char *data,
		       size_t data_bytes);

/* pr_gossip_set_generation - a generation came into force here. */
void pr_gossip_set_generation(struct pr_gossip *gossip, uint64_t now_us,
			      uint64_t generation, const char *digest);

/* pr_gossip_drain, pr_gossip_leave - this host is draining, or ends. */
void pr_gossip_drain(struct pr_gossip *gossip, uint64_t now_us);
void pr_gossip_leave(struct pr_gossip *gossip, uint64_t now_us);

/* pr_gossip_add_leaving_server - a sign that SERVER is leaving, AGE_US old. */
void pr_gossip_add_leaving_server(struct pr_gossip *gossip, uint64_t now_us,
				  const char *server, uint64_t age_us);

/*
 * pr_gossip_begin_platform_list - a new host list of the platform follows.
 * pr_gossip_add_platform_host - an entry host in it. ADDRESS may be NULL. The list
 * makes no host live.
 */
void pr_gossip_begin_platform_list(struct pr_gossip *gossip);
void pr_gossip_add_platform_host(struct pr_gossip *gossip, const char *name,
				 const struct nt_address *address,
				 bool leaving);

/* pr_gossip_update_hosts - whether the host list changed; if so HOSTS is filled. */
bool pr_gossip_update_hosts(struct pr_gossip *gossip, struct pr_hosts *hosts);

/*
 * pr_gossip_fill_origin - fill the origin of a message to ADDRESS. MEMBER may be
 * NULL. The strings stay the gossip's or ADDRESS's.
 */
void pr_gossip_fill_origin(struct pr_gossip *gossip,
			   const struct nt_address *address,
			   const struct pr_member *member,
			   struct pr_msg_origin *origin);

/*
 * pr_gossip_is_for_us - whether a message is meant for this host, and not for
 * an earlier process of it.
 */
bool pr_gossip_is_for_us(const struct pr_gossip *gossip,
			 const struct pr_msg_origin *origin);

#endif
