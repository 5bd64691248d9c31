#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>
#include <glib.h>

#include "base/status.h"

/*
 * Counters of the process, exposed in the Prometheus text format. Columns:
 * identifier, metric name without the prefix "jackdawworks_", help text.
 */
#define CT_LIST(X)                                                            \
	X(CALLS, "calls_total", "Calls that arrived")                         \
	X(COMPLETED, "calls_completed_total", "Calls answered by a server")   \
	X(REFUSED, "calls_refused_total", "Calls refused, not run")           \
	X(OVERLOAD_REFUSED, "overload_refused_total",                         \
	  "Calls refused by the rules for overload")                          \
	X(KEY_MISSING, "key_missing_total", "Calls refused without a key")    \
	X(KEY_MALFORMED, "key_malformed_total",                               \
	  "Calls refused for a malformed or repeated key")                    \
	X(KEY_UNKNOWN, "key_unknown_total",                                   \
	  "Calls refused for a key of no customer")                           \
	X(KEY_REMOVED, "key_removed_total",                                   \
	  "Waiting calls refused because their key was removed")              \
	X(KEY_UNCONFIRMED, "key_unconfirmed_total",                           \
	  "Calls refused because the keys were not confirmed lately")         \
	X(UNKNOWN, "calls_unknown_total", "Calls ended, outcome unknown")     \
	X(UNPROVEN, "answers_unproven_total",                                 \
	  "Answers not passed on: unproven that the call was not run")        \
	X(BROKEN, "calls_broken_total", "Answers broken off")                 \
	X(CALLERS_LEFT, "calls_gone_total",                                   \
	  "Callers that left before the answer")                              \
	X(STALLS, "loop_stalls_total",                                        \
	  "Times the event loop was blocked for 200 ms or more")              \
	X(STALL_MS, "loop_stall_ms_total", "Duration of these in ms")         \
	X(ATTEMPTS, "attempts_total", "Attempts sent to servers")             \
	X(RETRIES, "retries_total", "Attempts after the first")               \
	X(HEDGES, "hedges_total", "Attempts beside a running one")            \
	X(CANCELS, "cancels_total", "Attempts cancelled")                     \
	X(RATE_LIMITS, "server_limits_total",                                 \
	  "Times a server began to limit its requests a second")              \
	X(LIMITED_ATTEMPTS, "limited_attempts_total",                         \
	  "Attempts sent to servers with such a limit")                       \
	X(COLD, "cold_servers_total", "Times a server was found cold")        \
	X(COLD_ATTEMPTS, "cold_attempts_total",                               \
	  "Attempts sent to cold servers")                                    \
	X(EVACUATIONS, "zone_evacuations_total",                              \
	  "Times a zone was found evacuated")                                 \
	X(PAUSES, "server_pauses_total",                                      \
	  "Times a server refused a request and asked for a pause")           \
	X(CUTS, "server_cuts_total", "Times that no server was reached")      \
	X(FORWARDED, "calls_forwarded_total", "Calls passed to other hosts")  \
	X(FROM_HOSTS, "calls_from_hosts_total",                               \
	  "Calls taken from other hosts")                                     \
	X(CRASHES, "server_crashes_total",                                    \
	  "Servers that crashed while they ran calls of this host")           \
	X(BLOCKED, "blocked_requests_total",                                  \
	  "Requests blocked because servers crashed under them")              \
	X(CONNECTS, "connects_total", "Connections opened to servers")        \
	X(LATE, "late_connections_total",                                     \
	  "Connections closed with an answer pending")                        \
	X(PROBES, "probes_total", "Probes sent to servers")                   \
	X(PROBE_BYTES, "probe_bytes_total", "Bytes of probes, both ways")     \
	X(PROBE_CROSS_BYTES, "probe_cross_zone_bytes_total",                  \
	  "Bytes of probes to other zones")                                   \
	X(REPORT_BYTES, "report_bytes_total",                                 \
	  "Bytes of load reports on answers")                                 \
	X(REPORT_CROSS_BYTES, "report_cross_zone_bytes_total",                \
	  "Bytes of load reports from other zones")                           \
	X(PLATFORM_READS, "platform_reads_total", "Reads at the platform")    \
	X(PLATFORM_WRITES, "platform_writes_total", "Writes at the platform") \
	X(PLATFORM_ERRORS, "platform_errors_total",                           \
	  "Failed platform requests")                                         \
	X(RESTORES, "store_restores_total",                                   \
	  "Times a table was found restored from a copy")                     \
	X(BODY_BYTES, "request_bytes_held",                                   \
	  "Bytes of callers' requests in memory, now")                        \
	X(HEADS_TOO_LARGE, "request_heads_too_large_total",                   \
	  "Requests refused for the size of their head")                      \
	X(BODIES_TOO_LARGE, "request_bodies_too_large_total",                 \
	  "Requests refused for the size of their body")                      \
	X(BODIES_NO_ROOM, "request_bodies_no_room_total",                     \
	  "Requests refused because the memory for bodies was used up")       \
	X(TOO_SLOW, "requests_too_slow_total",                                \
	  "Requests refused because they did not arrive in time")             \
	X(LOG_DROPPED, "log_lines_dropped_total", "Lines of the log dropped") \
	X(MANIFEST, "manifest_changes_total",                                 \
	  "Versions of routes and servers taken")                             \
	X(QUOTA_ADMITTED, "quota_admitted_total",                             \
	  "Requests of customers that were within the quota")                 \
	X(QUOTA_REFUSED, "quota_refused_total",                               \
	  "Requests of customers that were over the quota")                   \
	X(QUOTA_SENT, "quota_messages_sent_total",                            \
	  "Messages about quotas sent to other hosts")                        \
	X(QUOTA_ANSWERED, "quota_messages_answered_total",                    \
	  "Messages about quotas that were answered")                         \
	X(QUOTA_LOST, "quota_messages_lost_total",                            \
	  "Messages about quotas without an answer")                          \
	X(ORDERS, "orders_claimed_total", "Orders claimed by their key")      \
	X(ORDER_REPLAYS, "orders_replayed_total", "Kept answers replayed")    \
	X(ORDER_READS, "order_platform_reads_total",                          \
	  "Reads at the platform for orders")                                 \
	X(ORDER_WRITES, "order_platform_writes_total",                        \
	  "Writes at the platform for orders")                                \
	X(ORDERS_SWEPT, "orders_swept_total", "Expired order rows removed")   \
	X(PEER_SENT, "peer_messages_sent_total", "Messages to entry hosts")   \
	X(PEER_SENT_BYTES, "peer_sent_bytes_total",                           \
	  "Bytes sent to entry hosts")                                        \
	X(PEER_RECEIVED, "peer_messages_received_total",                      \
	  "Messages accepted from entry hosts")                               \
	X(PEER_REJECTED, "peer_messages_rejected_total",                      \
	  "Messages dropped as forged, replayed or malformed")

enum ct_id {
#define X(id, name, help) CT_##id,
	CT_LIST(X)
#undef X
		CT_COUNT
};

/* ct_add - add N to a counter. Source: base/counter.c */
void ct_add(enum ct_id id, uint64_t n);

/* ct_get - current value. ct_name, ct_help - columns of CT_LIST. */
uint64_t ct_get(enum ct_id id);
const char *ct_name(enum ct_id id);
const char *ct_help(enum ct_id id);

/*
 * ct_add_result - count a call that ended with KIND.
 * ct_get_result - number of these calls.
 */
void ct_add_result(enum st_kind kind);
uint64_t ct_get_result(enum st_kind kind);

/* ct_write - append all counters and histograms to OUT as text. */
void ct_write(GString *out);

#endif
