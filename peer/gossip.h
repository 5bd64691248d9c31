#ifndef PEER_GOSSIP_H
#define PEER_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "peer/member.h"

/*
 * Gossip protocol of one entry host, without sockets and clock.
 *
 * Every PR_ROUND_US a host sends a heartbeat call to PR_FANOUT live members and
 * to one address of a host that is not live, independent of the number of
 * hosts. Every call is answered. Calls and replies carry the generation in
 * force, updates of the member table, and servers that are leaving. A new
 * generation, suspicion, draining, shutdown or leaving server is pushed to
 * PR_PUSH_FANOUT members without waiting for the next round.
 *
 * Time for a new generation to reach N hosts: each host that has it pushes it
 * to 4 others. After log4(N) hops a fraction x = exp(-4 (1 - x)), about 2 %,
 * does not have it yet. Each of these hosts makes 2 calls a second and receives
 * 2 on average, so that the fraction is multiplied by exp(-4) each second. For
 * N = 7,100 there are 7 hops, each with 100 ms of waiting for the platform to
 * deliver the body and some milliseconds to fetch it from a peer, together
 * about 1 s. 142 hosts do not have it then, and 0.001 on average 3 s later.
 */

enum {
	PR_TICK_US = 250 * 1000,
	PR_ROUND_US = 1000 * 1000,
	PR_FANOUT = 2,
	PR_PUSH_FANOUT = 4,
	/* Seeds called in a round while no document is in force or no other
	 * host is live. */
	PR_SEEDS_PER_ROUND = 8,
	PR_PUSH_INTERVAL_US = 50 * 1000, /* at least, between two pushes */
	/* A call is repeated after this time without a reply. The member is
	 * suspected when PR_MAX_TRIES calls are unanswered. */
	PR_REPLY_TIMEOUT_US = 500 * 1000,
	PR_MAX_TRIES = 3,
	PR_MAX_PENDING_CALLS = 32,
	/* Expected number of hosts that call a suspect reported by another
	 * host over their own network paths. */
	PR_CONFIRMERS = 4,
	/* Table pages sent to hosts that report fewer live members. */
	PR_PAGES_PER_CALL = 4,
	PR_PAGES_PER_ROUND = 32,
	PR_MAX_CONTACTS = 512,
	PR_MAX_LEAVING_SERVERS = 128,
	/* A longer gap between two ticks means that the process was paused. */
	PR_PAUSE_US = 2 * 1000 * 1000
};

/* Functions that the user of the protocol provides. */
struct pr_gossip_callbacks {
	void (*send_datagram)(void *ctx, const struct nt_address *to,
			      const char *data, size_t data_bytes);
	/* HOST has GENERATION in force. AGE_US is the time since the platform
	 * confirmed it to that host, UINT64_MAX for never. */
	void (*on_generation)(void *ctx, const char *host,
			      const struct nt_address *address,
			      uint64_t generation, const char *digest,
			      uint64_t age_us);
	/* The first notice arrived that SERVER is leaving, or, with LEAVING
	 * false, the last notice about it has expired. */
	void (*on_server_state)(void *ctx, const char *server, bool leaving);
	void *ctx;
};

struct pr_gossip_conf {
	const char *host;
	const char *zone;
	const char *key; /* of the HMAC, the same on all hosts */
	struct nt_address address;
	uint64_t incarnation;
	uint32_t random_seed;
	const struct nt_address *seeds;
	uint32_t seed_count;
	struct pr_gossip_callbacks callbacks;
};

/* A server about which a notice has arrived that it is leaving. */
struct pr_leaving_server {
	char name[PR_NAME_BYTES];
	uint64_t last_notice_us;
	uint8_t transmits_left; /* heartbeats in which its row has priority */
};

struct pr_gossip {
	struct pr_gossip_conf conf;
	struct pr_table table;
	GRand *random;
	uint64_t sequence; /* of the last message sent */
	uint32_t xid; /* of the last RPC call */
	uint64_t generation;
	char digest[PR_WIRE_DIGEST_BYTES];
	uint64_t confirmed_us; /* last confirmation by the platform; 0: never */
	bool draining;
	bool platform_draining; /* according to the platform's host list */
	bool left;
	uint64_t last_tick_us;
	uint64_t next_round_us;
	uint64_t last_push_us;
	bool push_pending; /* put off by PR_PUSH_INTERVAL_US */
	uint32_t pages_left; /* in this round */
	struct pr_member *pending_calls[PR_MAX_PENDING_CALLS];
	uint32_t pending_call_count;
	uint32_t seed_cursor;
	GArray *contacts; /* struct nt_address, from the platform's list */
	struct pr_leaving_server leaving[PR_MAX_LEAVING_SERVERS];
	uint32_t leaving_count;
	uint32_t leaving_cursor;
	GArray *hosts; /* struct pr_host, result of pr_gossip_update_hosts */
};

/*
 * pr_gossip_init, pr_gossip_free - on memory of the caller. Strings and seeds
 * that CONF points to must outlive GOSSIP. Source: peer/gossip.c
 */
void pr_gossip_init(struct pr_gossip *gossip,
		    const struct pr_gossip_conf *conf);
void pr_gossip_free(struct pr_gossip *gossip);

/* pr_gossip_tick - to be called every PR_TICK_US. */
void pr_gossip_tick(struct pr_gossip *gossip, uint64_t now_us);

/*
 * pr_gossip_receive - handle a datagram. An invalid one is dropped and counted
 * as rejected.
 */
void pr_gossip_receive(struct pr_gossip *gossip, uint64_t now_us,
		       const struct nt_address *from, const char *data,
		       size_t data_bytes);

/* pr_gossip_set_generation - GENERATION came into force on this host. */
void pr_gossip_set_generation(struct pr_gossip *gossip, uint64_t now_us,
			      uint64_t generation, const char *digest);

/*
 * pr_gossip_drain - announce that this host is draining.
 * pr_gossip_leave - announce the shutdown of this host. Ticks and messages have
 * no effect afterwards.
 */
void pr_gossip_drain(struct pr_gossip *gossip, uint64_t now_us);
void pr_gossip_leave(struct pr_gossip *gossip, uint64_t now_us);

/*
 * pr_gossip_add_leaving_server - store a notice, AGE_US old, that SERVER is
 * leaving, and send it to other hosts.
 */
void pr_gossip_add_leaving_server(struct pr_gossip *gossip, uint64_t now_us,
				  const char *server, uint64_t age_us);

/*
 * pr_gossip_begin_platform_list - discard the previous host list of the
 * platform; the new one is added with pr_gossip_add_platform_host.
 * pr_gossip_add_platform_host - add an entry host of that list. ADDRESS may be
 * NULL. DRAINING is whether the list marks the host as leaving. Being in the
 * list does not make a host live.
 */
void pr_gossip_begin_platform_list(struct pr_gossip *gossip);
void pr_gossip_add_platform_host(struct pr_gossip *gossip, const char *name,
				 const struct nt_address *address,
				 bool draining);

/*
 * pr_gossip_update_hosts - fill HOSTS when the list of live hosts has changed
 * since the last call. Returns whether it has. The rows are valid until the
 * next call that returns true.
 */
bool pr_gossip_update_hosts(struct pr_gossip *gossip, struct pr_hosts *hosts);

/*
 * pr_gossip_fill_origin - fill the origin of a message to ADDRESS, with the
 * next sequence number. MEMBER may be NULL. The strings belong to GOSSIP or
 * ADDRESS.
 */
void pr_gossip_fill_origin(struct pr_gossip *gossip,
			   const struct nt_address *address,
			   const struct pr_member *member,
			   struct pr_msg_origin *origin);

/*
 * pr_gossip_is_for_us - whether a message is addressed to this host and not to
 * an earlier incarnation of it.
 */
bool pr_gossip_is_for_us(const struct pr_gossip *gossip,
			 const struct pr_msg_origin *origin);

#endif
