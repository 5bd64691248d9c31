#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "net.h"
#include "status.h"
#include "yaml_tree.h"

enum { SE_NAME_BYTES = 64, SE_MAX_SEEDS = 64, SE_SECRET_BYTES = 128 };

enum { SE_PATH_BYTES = 256 };

/*
 * TLS of one address. PLAINTEXT is allowed on loopback addresses, and elsewhere
 * when the settings call the network trusted.
 */
struct se_tls {
	bool plaintext;
	char certificate[SE_PATH_BYTES];
	char key[SE_PATH_BYTES];
	char ca[SE_PATH_BYTES]; /* of the other side, for the platform */
};

/* Settings of one process, read from a YAML file. */
struct se_settings {
	char host[SE_NAME_BYTES];
	char zone[SE_NAME_BYTES];
	char log_level[16];
	uint64_t random_seed; /* 0: taken from the system */
	struct nt_address callers;
	struct se_tls callers_tls;
	bool trusted_network;
	bool has_health; /* health checks have a listener of their own */
	struct nt_address health;
	bool has_metrics;
	struct nt_address metrics;
	bool has_operators;
	bool has_peers;
	/* Routes and servers come from the platform's store. */
	bool follow_platform;
	struct nt_address relay; /* for other hosts that follow it too */
	/* Changes at the platform must be known within this time. */
	uint64_t fresh_ms;
	double processor_share; /* of this host; 0: not known */
	uint64_t retry_percent; /* of the calls, on routes of the platform */
	uint64_t retry_slack; /* retries besides, saved up over all hosts */
	uint64_t probes_per_server_s; /* over all entry hosts */
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
	uint64_t lease_ms; /* of a job that one host does alone */
	uint64_t order_retention_s; /* of order rows after their deadline */
	uint64_t stop_grace_ms; /* serve on after the stop was announced */
};

/*
 * se_read_file - read and check settings. Every error is put in ERRORS with line
 * and field. Returns ST_OK, ST_INVALID or ST_IO. Source: settings.c
 * se_parse - the same for the text of a settings file.
 */
enum st_kind se_read_file(const char *path, struct se_settings *settings,
			  struct ym_errors *errors);
enum st_kind se_parse(const char *text, size_t text_bytes,
		      struct se_settings *settings, struct ym_errors *errors);

#endif
