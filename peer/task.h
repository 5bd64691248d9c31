#ifndef PEER_TASK_H
#define PEER_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include "control/control.h"
#include "base/kernel.h"
#include "peer/peer.h"
#include "peer/fetch.h"
#include "peer/gossip.h"
#include "platform/store.h"
#include "base/settings.h"
#include "base/timer.h"

/*
 * Task for membership and messages between entry hosts, registered as "peer".
 *
 * Sends KN_HOSTS to every task when the set of live hosts changes,
 * KN_GENERATION to "control" when a peer has a higher generation in force, and
 * KN_SERVER_STATE to "gateway" when a notice that a server is leaving arrives
 * from a peer, the platform or the gateway itself, and when it expires. Handles
 * KN_SERVER_STATE from "gateway", KN_DOCUMENT and KN_STOP.
 */

/* A generation higher than the one in force, and a peer to fetch it from. */
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
	/* The process was paused. Datagrams that queued up in the meantime are
	 * out of date and dropped until the socket is empty. */
	bool dropping_backlog;
};

/*
 * pr_init - start the peer task. INCARNATION must be higher than at every
 * earlier start of this host; peers detect a restart by it. Errors: ST_IO when
 * the address of the settings cannot be bound; the process has to exit then.
 * Source: peer/peer.c
 */
enum st_kind pr_init(struct pr_peer *peer, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     struct cp_control *control,
		     const struct se_settings *settings, uint64_t incarnation,
		     struct st_status *status);

/*
 * pr_is_listed - whether HOST is in the list of live hosts under INCARNATION.
 */
bool pr_is_listed(const struct pr_peer *peer, const char *host,
		  uint64_t incarnation);

/* pr_leave - announce the shutdown of this host to some peers. */
void pr_leave(struct pr_peer *peer);

/*
 * pr_close - close the sockets; the loop must run once more before pr_free.
 * pr_free - release the memory.
 */
void pr_close(struct pr_peer *peer);
void pr_free(struct pr_peer *peer);

#endif
