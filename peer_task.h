#ifndef PEER_TASK_H
#define PEER_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include "control.h"
#include "kernel.h"
#include "peer.h"
#include "peer_fetch.h"
#include "peer_gossip.h"
#include "platform/store.h"
#include "settings.h"
#include "timer.h"

/*
 * Membership and messages between entry hosts. Registered as "peer".
 *
 * Sends KN_HOSTS to every task when the set of live hosts changes, KN_GENERATION
 * to "control" when a peer has a higher generation in force, KN_SERVER_STATE to
 * "gateway" when a peer or the platform says that a server is leaving. Takes
 * KN_SERVER_STATE from "gateway", KN_DOCUMENT and KN_STOP.
 */

/* A generation that is higher than the one in force, and who has it. */
struct pr_fetch_target {
	uint64_t generation;
	char digest[DOC_DIGEST_BYTES];
	char host[PR_NAME_BYTES];
	struct nt_address address;
};

struct pr_peer {
	struct kn_kernel *kernel;
	struct tm_service *timers;
	struct pf_client *platform;
	struct cp_control *control;
	const struct se_settings *settings;
	struct kn_task task;
	struct pr_gossip gossip;
	struct pr_fetch fetch;
	struct pr_fetch_target fetch_target;
	struct pr_hosts hosts;
	uv_udp_t udp;
	struct tm_sub tick;
	struct tm_sub list_timer;
	struct tm_sub fetch_timer;
	bool dropping_backlog; /* the process was paused; waiting datagrams are late */
};

/*
 * pr_init - start the peer task. INCARNATION grows with every start of the
 * host; peers take the host for restarted when it does. Errors: ST_IO when the
 * address of the settings cannot be bound; the process has to end then.
 * Source: peer.c
 */
enum st_kind pr_init(struct pr_peer *peer, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     struct cp_control *control,
		     const struct se_settings *settings, uint64_t incarnation,
		     struct st_status *status);

/*
 * pr_is_listed - whether the host runs under that incarnation and is in the
 * list of live hosts.
 */
bool pr_is_listed(const struct pr_peer *peer, const char *host,
		  uint64_t incarnation);

/* pr_leave - tell some peers that this host ends now. */
void pr_leave(struct pr_peer *peer);

/*
 * pr_close - close the sockets; the loop must run once more before pr_free.
 * pr_free - release what is left.
 */
void pr_close(struct pr_peer *peer);
void pr_free(struct pr_peer *peer);

#endif
