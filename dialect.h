#ifndef DIALECT_H
#define DIALECT_H

#include <stdbool.h>

#include "core.h"
#include "httpc.h"

/*
 * Names of the headers that callers and servers use, and how a load report is
 * written. Names are in lower case, as the listener gives them. The product
 * speaks its own dialect unless the settings choose a
 * platform's. A header that is NULL is not used.
 */
struct dl_dialect {
	const char *call_id; /* names the call; callers send it, servers echo */
	const char *entry_id; /* id that the entry host gives the call */
	const char *entry_zone;
	const char *outcome; /* what happened to the call, for the caller */
	const char *time_left_ms;
	const char *report; /* load of the server that answers */
	const char *report_wanted; /* asks for a report; NULL: always sent */
	const char *draining; /* the server that answers is leaving */
	const char *not_run; /* the server proves that it did not run it */
	const char *server_id; /* names the server that answers a probe */
	const char *expect_server; /* only the server with that id runs it */
	const char *signature; /* on every whole answer that a server made */
	const char *probe_path;
	bool keep_host; /* servers get the caller's host header */
	bool retry_after_fractions; /* of a second, in Retry-After */
	void (*parse_report)(const struct hc_header *value,
			     struct core_event *report);
};

/* Status of a server that is not the expected one; it has not run the call. */
enum { DL_MISDIRECTED = 421 };

/* dl_default - the product's own dialect. Source: dialect.c */
extern const struct dl_dialect dl_default;

/* dl_find_header - value of an optional header, or NULL. */
const struct hc_header *dl_find_header(const struct hc_head *head,
				       const char *name);

/* dl_is_not_run - the answer proves that the server did not run the call. */
bool dl_is_not_run(const struct dl_dialect *dialect,
		   const struct hc_head *head);

#endif
