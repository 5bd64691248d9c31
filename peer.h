#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "net.h"

/* The list of live entry hosts that the peer task publishes. */

enum { PR_NAME_BYTES = 64 };

/* A live entry host. */
struct pr_host {
	char name[PR_NAME_BYTES];
	char zone[PR_NAME_BYTES];
	char address[NT_TEXT_BYTES]; /* for calls of other hosts; empty: none */
	uint64_t incarnation;
	bool draining;
};

/* The live entry hosts, this one included, sorted by name. */
struct pr_hosts {
	uint32_t count;
	const struct pr_host *rows;
};

#endif
