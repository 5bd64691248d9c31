#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/net.h"
#include "base/status.h"
#include "base/yaml_tree.h"

enum { SE_NAME_BYTES = 64, SE_MAX_SEEDS = 64, SE_SECRET_BYTES = 128 };

enum { SE_PATH_BYTES = 256 };

/*
 * TLS of one address. PLAINTEXT is allowed on loopback addresses; on others
 * only if trusted_network is set.
 */
struct se_tls {
	bool plaintext;
	char certificate[SE_PATH_BYTES];
	char key[SE_PATH_BYTES];
	char ca[SE_PATH_BYTES]; /* CAs to verify the platform's certificate */
};

/*
 * Settings of one entry host, read from a YAML file. PLATFORM is the address of
 * the platform; the other addresses, except SEEDS, are listeners of this host.
 */
struct se_settings {
	char host[SE_NAME_BYTES];
	char zone[SE_NAME_BYTES];
	char log_level[16];
	uint64_t random_seed; /* 0: seeded by the system */
	struct nt_address callers;
	struct se_tls callers_tls;
	bool trusted_network;
	bool has_health; /* a separate listener for health checks */
	struct nt_address health;
	bool has_metrics; /* a separate listener for metrics */
	struct nt_address metrics;
	bool has_operators;
	bool has_peers;
	/* Routes and servers are read from the platform's store. */
	bool follow_platform;
	/* Listener for hosts that read the store through this one. */
	struct nt_address relay;
	/* Source address of connections to servers; empty text: any. */
	struct nt_address server_source;
	/* Maximum staleness of the data from the platform's store. */
	uint64_t fresh_ms;
	/*
	 * Calls that need a key are refused when the data was not confirmed for
	 * so long; 0: they never are.
	 */
	uint64_t key_limit_ms;
	bool first_start; /* no host of the system has run before */
	double processor_share; /* processors of this host; 0: unknown */
	double memory_mb; /* of this host; 0: unknown */
	/*
	 * Of services from the platform's store: retries in percent of the
	 * calls, retries on top of that in the sliding window of the retry
	 * budget, and probes per second for each server. The last two are
	 * totals over all entry hosts.
	 */
	uint64_t retry_percent;
	uint64_t retry_slack;
	uint64_t probes_per_server_s;
	/*
	 * Quotas of customers: the window in which they are judged, and by what
	 * part and number of requests it may be exceeded over all hosts.
	 */
	uint64_t quota_window_s;
	uint64_t quota_over_percent;
	uint64_t quota_slack;
	struct nt_address operators;
	struct se_tls operators_tls;
	struct nt_address peers;
	struct nt_address platform;
	struct se_tls platform_tls;
	char operator_token[SE_SECRET_BYTES];
	char peer_key[SE_SECRET_BYTES];
	struct nt_address seeds[SE_MAX_SEEDS];
	uint32_t seed_count;
	char trace_file[256]; /* empty: no trace */
	uint64_t trace_max_bytes;
	uint64_t lease_ms; /* duration of the lease for the order sweep */
	uint64_t order_retention_s; /* of order rows after their deadline */
	/* From failing health checks to closing the callers' listener. */
	uint64_t stop_grace_ms;
	/* From SIGTERM to the end of the process by SIGKILL; 0: unknown. */
	uint64_t stop_limit_ms;
};

/*
 * se_read_file - read and check a settings file. Every error is added to ERRORS
 * with line and field. Returns ST_OK, ST_INVALID or ST_IO. Source: base/settings.c
 * se_parse - the same for the text of a settings file.
 */
enum st_kind se_read_file(const char *path, struct se_settings *settings,
			  struct ym_errors *errors);
enum st_kind se_parse(const char *text, size_t text_bytes,
		      struct se_settings *settings, struct ym_errors *errors);

#endif
