#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "control.h"
#include "kernel.h"
#include "platform.h"
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

enum { PR_NAME_BYTES = 64 };

/* A live entry host. */
struct pr_host {
	char name[PR_NAME_BYTES];
	char zone[PR_NAME_BYTES];
	uint64_t incarnation;
	bool draining;
};

/* The live entry hosts, this one included, sorted by name. */
struct pr_hosts {
	uint32_t count;
	const struct pr_host *rows;
};

struct pr_peer;

/*
 * pr_new - start the peer task. INCARNATION grows with every start of the
 * host; peers take the host for restarted when it does. Returns NULL with
 * ST_IO when the address of the settings cannot be bound. Source: peer.c
 */
struct pr_peer *pr_new(struct kn_kernel *kernel, struct tm_service *timers,
		       struct pf_client *platform, struct cp_control *control,
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
