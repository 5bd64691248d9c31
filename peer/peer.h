#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/text.h"

/* The list of live entry hosts that the peer task, or the relay, publishes. */

enum { PR_NAME_BYTES = 64 }; /* in messages between peers */

/* A live entry host, with names of base/text.h. */
struct pr_host {
	char *name;
	char *zone;
	char *address; /* for calls of other hosts; NULL: none */
	uint64_t incarnation;
	bool draining;
};

/* pr_clear_host - release the names; a GDestroyNotify for elements of arrays. */
static inline void pr_clear_host(void *ptr)
{
	struct pr_host *host = ptr;

	tx_unref(host->name);
	tx_unref(host->zone);
	tx_unref(host->address);
}

/* The live entry hosts, this one included, sorted by name. */
struct pr_hosts {
	uint32_t count;
	const struct pr_host *rows;
};

#endif
