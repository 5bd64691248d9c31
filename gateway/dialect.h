#ifndef GATEWAY_DIALECT_H
#define GATEWAY_DIALECT_H

#include <stdbool.h>

#include "core/core.h"
#include "http/httpc.h"

/*
 * Names of the HTTP headers that callers and servers use, and the format of
 * load reports. Names are in lower case, as the HTTP listener delivers them.
 * NULL: the header is not used. The settings select dl_default or the dialect
 * of a platform.
 */
struct dl_dialect {
	const char *call_id; /* callers send it, servers echo it */
	const char *entry_id; /* id that the entry host assigns to the call */
	const char *entry_zone; /* zone of the entry host */
	const char *outcome; /* how the call ended; sent to the caller */
	const char *time_left_ms; /* until the deadline of the call */
	const char *report; /* load of the answering server */
	const char *report_wanted; /* requests a report; NULL: always sent */
	const char *draining; /* the answering server is draining */
	/*
	 * DRAINING holds until the server's process ends: each of its starts is
	 * another server here.
	 */
	bool leaves_for_good;
	/* Requests a second that the answering server takes from all hosts. */
	const char *rate_limit;
	/* Time that the server is cold yet, on answers to probes; none: it is warm. */
	const char *warmup_ms;
	const char *not_run; /* the server has not run the call */
	const char *server_id; /* id of the server that answers a probe */
	const char *expect_server; /* only the server with this id runs it */
	const char *signature; /* on every complete answer made by a server */
	const char *customer; /* name of the customer; sent to servers */
	const char *probe_path;
	bool keep_host; /* pass the caller's Host header on to servers */
	bool retry_after_fractions; /* send fractions of a second in Retry-After */
	void (*parse_report)(const struct hc_header *value,
			     struct core_event *report);
};

/*
 * HTTP status 421 (Misdirected Request): the server is not the expected one and
 * has not run the call.
 */
enum { DL_MISDIRECTED = 421 };

/* A server that asks for more may have been mistaken. */
static const uint64_t DL_MAX_PAUSE_US = 300 * 1000 * 1000;
static const uint64_t DL_MAX_WARMUP_US = 300 * 1000 * 1000;

/*
 * dl_default - dialect of this project, used without a platform.
 * Source: gateway/dialect.c
 */
extern const struct dl_dialect dl_default;

/* dl_find_header - value of header NAME, or NULL. NAME may be NULL. */
const struct hc_header *dl_find_header(const struct hc_head *head,
				       const char *name);

/*
 * dl_parse_rate_limit - set the kind of EVENT to CORE_EV_RATE_LIMIT, and whether
 * and how HEAD limits the rate of requests. A value that is no number counts as
 * no limit.
 */
void dl_parse_rate_limit(const struct dl_dialect *dialect,
			 const struct hc_head *head, struct core_event *event);

/*
 * dl_parse_warmup - set the kind of EVENT to CORE_EV_WARMUP, and how long the server
 * that answers a probe with HEAD is cold yet: 0 if it does not say so, at most
 * DL_MAX_WARMUP_US. False: what it says is no time.
 */
bool dl_parse_warmup(const struct dl_dialect *dialect,
		     const struct hc_head *head, struct core_event *event);

/*
 * dl_parse_pause - set the kind of EVENT to CORE_EV_PAUSE, and how long a server
 * that refuses a request with HEAD wants nothing more, as dl_retry_after_us. False: it
 * does not say so.
 */
bool dl_parse_pause(const struct hc_head *head, struct core_event *event);

/*
 * dl_retry_after_us - the time that Retry-After of an answer names, at most
 *	DL_MAX_PAUSE_US; 0: none, or no time, or a date without the server's own.
 */
uint64_t dl_retry_after_us(const struct hc_head *head);

/*
 * dl_leaving_source - source of a notice in an answer that its server leaves.
 */
enum core_leaving_source dl_leaving_source(const struct dl_dialect *dialect);

/*
 * dl_is_of_server - whether HEAD shows that a server made the answer to the call with
 * CALL_ID, which may be NULL. A success needs the signature; any other answer needs the
 * signature or the call's id. An answer that has neither, such as the second copy of an
 * answer to a probe, proves nothing, in particular not that the call was not run.
 */
bool dl_is_of_server(const struct dl_dialect *dialect,
		     const struct hc_head *head, const char *call_id);

/*
 * dl_is_not_run - HEAD proves that the server with SERVER_ID, which may be NULL, did not
 * run the call. Without a platform the header NOT_RUN counts only with a status that
 * promises so (core/outcome.h).
 * dl_is_misdirected - it proves so because another server than that one made it. Status
 * 421 does, unless it is signed like the answer to a call that has run, names that
 * server as its own, or has the header NOT_RUN with another value.
 */
bool dl_is_not_run(const struct dl_dialect *dialect, const struct hc_head *head,
		   const char *server_id);
bool dl_is_misdirected(const struct dl_dialect *dialect,
		       const struct hc_head *head, const char *server_id);

#endif
