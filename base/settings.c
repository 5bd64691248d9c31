#include "base/settings.h"

#include <string.h>

#include <netinet/in.h>

enum {
	SE_MIN_FRESH_MS = 1500,
	SE_DEFAULT_FRESH_MS = 2000,
	SE_RELAXED_FRESH_MS = 2500,
	SE_FRESH_MARGIN_MS = 300, /* of FRESH_MS below the limit of a change */
	SE_MAX_LIMIT_S = 3600,
	SE_MAX_FRESH_MS = 60000
};
enum { SE_MAX_PROCESSOR_SHARE = 1024, SE_MAX_MEMORY_MB = 1024 * 1024 };
enum {
	SE_DEFAULT_RETRY_PERCENT = 17,
	SE_DEFAULT_RETRY_SLACK = 60,
	SE_MAX_RETRY_SLACK = 1000000,
	SE_DEFAULT_PROBES_PER_SERVER_S = 50,
	SE_MAX_PROBES_PER_SERVER_S = 10000
};
enum {
	SE_DEFAULT_QUOTA_WINDOW_S = 5,
	SE_MAX_QUOTA_WINDOW_S = 60,
	SE_DEFAULT_QUOTA_SLACK = 20,
	SE_MAX_QUOTA_SLACK = 100000,
	SE_PERCENT = 100
};
enum { SE_MIN_SECRET_CHARS = 16, SE_MAX_STOP_GRACE_MS = 60000 };
enum { SE_MAX_STOP_LIMIT_S = 3600, SE_MS_PER_S = 1000 };
/*
 * With less than an hour, a host that was paused or has a wrong clock could
 * handle an order whose row was already deleted, and claim its key again.
 */
enum { SE_MIN_RETENTION_S = 3600, SE_DEFAULT_RETENTION_S = 24 * 3600 };
enum { SE_MAX_RETENTION_S = 90 * 24 * 3600 };
enum {
	SE_MIN_LEASE_MS = 500,
	SE_DEFAULT_LEASE_MS = 15000,
	SE_MAX_LEASE_MS = 600000
};

static void se_read_address(struct ym_node *map, const char *key,
			    struct nt_address *address,
			    struct ym_errors *errors)
{
	const char *text = ym_string(map, key, NULL, errors);

	if (*text && !nt_parse(text, address))
		ym_error(errors, ym_get(map, key), key,
			 "\"%.60s\" is not an IP address with a port", text);
}

static void se_read_string(struct ym_node *map, const char *key, char *out,
			   size_t out_bytes, const char *fallback,
			   struct ym_errors *errors)
{
	const char *text = ym_string(map, key, fallback, errors);

	if (strlen(text) >= out_bytes)
		ym_error(errors, ym_get(map, key), key,
			 "longer than %zu characters", out_bytes - 1);
	g_strlcpy(out, text, out_bytes);
}

static void se_read_secret(struct ym_node *map, const char *key, char *out,
			   struct ym_errors *errors)
{
	se_read_string(map, key, out, SE_SECRET_BYTES, NULL, errors);
	if (*out && strlen(out) < SE_MIN_SECRET_CHARS)
		ym_error(errors, ym_get(map, key), key,
			 "must have at least %d characters",
			 SE_MIN_SECRET_CHARS);
}

static void se_read_plaintext(struct ym_node *map,
			      const struct nt_address *address, bool trusted,
			      struct se_tls *tls, struct ym_errors *errors)
{
	tls->plaintext = ym_bool(map, "plaintext", false, errors);
	if (tls->plaintext && address->addr.ss_family && !trusted &&
	    !nt_is_loopback(address))
		ym_error(errors, ym_get(map, "plaintext"), "plaintext",
			 "only a loopback address may be used without TLS, "
			 "unless trusted_network is set");
}

/* Reads address and TLS of a listener: plaintext, or certificate and key. */
static void se_read_listener(struct ym_node *map, struct nt_address *address,
			     bool trusted, struct se_tls *tls,
			     struct ym_errors *errors)
{
	se_read_address(map, "address", address, errors);
	se_read_plaintext(map, address, trusted, tls, errors);
	if (tls->plaintext)
		return;
	se_read_string(map, "certificate", tls->certificate, SE_PATH_BYTES,
		       NULL, errors);
	se_read_string(map, "key", tls->key, SE_PATH_BYTES, NULL, errors);
}

static void se_read_callers(struct ym_node *root, struct se_settings *settings,
			    struct ym_errors *errors)
{
	struct ym_node *map = ym_need(root, "callers", YM_MAPPING, errors);

	if (!map)
		return;
	se_read_listener(map, &settings->callers, settings->trusted_network,
			 &settings->callers_tls, errors);
	ym_check_unused(map, errors);
}

/*
 * Reads a listener without TLS and token, for health checks or metrics; neither
 * shows the content of calls.
 */
static bool se_read_plain_listener(struct ym_node *root, const char *key,
				   struct nt_address *address,
				   struct ym_errors *errors)
{
	struct ym_node *map = ym_optional(root, key, YM_MAPPING, errors);

	if (!map)
		return false;
	se_read_address(map, "address", address, errors);
	ym_check_unused(map, errors);
	return true;
}

/*
 * Hosts that read routes and servers from the platform's store use neither
 * operators nor peers, so these sections are optional for them.
 */
static struct ym_node *se_read_section(struct ym_node *root, const char *key,
				       const struct se_settings *settings,
				       struct ym_errors *errors)
{
	if (settings->follow_platform)
		return ym_optional(root, key, YM_MAPPING, errors);
	return ym_need(root, key, YM_MAPPING, errors);
}

static void se_read_operators(struct ym_node *root,
			      struct se_settings *settings,
			      struct ym_errors *errors)
{
	struct ym_node *map =
		se_read_section(root, "operators", settings, errors);

	settings->has_operators = map != NULL;
	if (!map)
		return;
	se_read_listener(map, &settings->operators, settings->trusted_network,
			 &settings->operators_tls, errors);
	se_read_secret(map, "token", settings->operator_token, errors);
	ym_check_unused(map, errors);
}

static void se_read_seeds(struct ym_node *map, struct se_settings *settings,
			  struct ym_errors *errors)
{
	struct ym_node *list = ym_optional(map, "seeds", YM_SEQUENCE, errors);

	if (!list)
		return;
	if (list->children->len > SE_MAX_SEEDS) {
		ym_error(errors, list, "seeds", "more than %d addresses",
			 SE_MAX_SEEDS);
		return;
	}
	for (guint i = 0; i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);

		if (item->type != YM_SCALAR ||
		    !nt_parse(item->value, &settings->seeds[i]))
			ym_error(errors, item, "seeds",
				 "not an IP address with a port");
	}
	settings->seed_count = list->children->len;
}

static void se_read_peers(struct ym_node *root, struct se_settings *settings,
			  struct ym_errors *errors)
{
	struct ym_node *map = se_read_section(root, "peers", settings, errors);

	settings->has_peers = map != NULL;
	if (!map)
		return;
	se_read_address(map, "address", &settings->peers, errors);
	se_read_secret(map, "key", settings->peer_key, errors);
	se_read_seeds(map, settings, errors);
	ym_check_unused(map, errors);
}

/* Reads a decimal number, such as "0.2". */
static double se_read_decimal(struct ym_node *map, const char *key, int max,
			      struct ym_errors *errors)
{
	const char *text = ym_string(map, key, "0", errors);
	char *end;
	double number = g_ascii_strtod(text, &end);

	if (*end || !(number >= 0) || number > max)
		ym_error(errors, ym_get(map, key), key,
			 "\"%.20s\" is not a number from 0 to %d", text, max);
	return number;
}

/*
 * By when a change, or that a server leaves, must count everywhere. Where that is
 * longer than usual, hosts may pass the store's data on over one host more.
 */
static uint64_t se_default_fresh_ms(struct ym_node *map,
				    struct ym_errors *errors)
{
	double change_s =
		se_read_decimal(map, "change_limit_s", SE_MAX_LIMIT_S, errors);
	double leaving_s =
		se_read_decimal(map, "leaving_limit_s", SE_MAX_LIMIT_S, errors);
	uint64_t limit_ms = (uint64_t)(MIN(change_s, leaving_s) * SE_MS_PER_S);

	return CLAMP(limit_ms, SE_DEFAULT_FRESH_MS + SE_FRESH_MARGIN_MS,
		     SE_RELAXED_FRESH_MS + SE_FRESH_MARGIN_MS) -
	       SE_FRESH_MARGIN_MS;
}

/* An IP address without a port, which the system chooses. */
static void se_read_source(struct ym_node *map, struct se_settings *settings,
			   struct ym_errors *errors)
{
	const char *text = ym_string(map, "server_source", "", errors);
	char *address = g_strconcat(text, ":1", NULL);

	if (*text && !nt_parse(address, &settings->server_source))
		ym_error(errors, ym_get(map, "server_source"), "server_source",
			 "\"%.60s\" is not an IP address", text);
	/* At the same place for both families. */
	((struct sockaddr_in *)&settings->server_source.addr)->sin_port = 0;
	g_free(address);
}

static void se_read_quota(struct ym_node *map, struct se_settings *settings,
			  struct ym_errors *errors)
{
	settings->quota_window_s =
		ym_uint(map, "quota_window_s", 1, SE_MAX_QUOTA_WINDOW_S,
			SE_DEFAULT_QUOTA_WINDOW_S, errors);
	settings->quota_over_percent =
		(uint64_t)(SE_PERCENT * se_read_decimal(map, "quota_over", 1,
							errors) +
			   0.5);
	settings->quota_slack =
		ym_uint(map, "quota_slack", 0, SE_MAX_QUOTA_SLACK,
			SE_DEFAULT_QUOTA_SLACK, errors);
}

static void se_read_platform(struct ym_node *root, struct se_settings *settings,
			     struct ym_errors *errors)
{
	struct ym_node *map = ym_need(root, "platform", YM_MAPPING, errors);

	if (!map)
		return;
	se_read_address(map, "address", &settings->platform, errors);
	se_read_plaintext(map, &settings->platform, settings->trusted_network,
			  &settings->platform_tls, errors);
	settings->follow_platform = ym_bool(map, "follow", false, errors);
	if (settings->follow_platform)
		se_read_address(map, "relay", &settings->relay, errors);
	se_read_source(map, settings, errors);
	settings->first_start = ym_bool(map, "first_start", false, errors);
	settings->processor_share = se_read_decimal(
		map, "processor_share", SE_MAX_PROCESSOR_SHARE, errors);
	settings->memory_mb =
		se_read_decimal(map, "memory_mb", SE_MAX_MEMORY_MB, errors);
	settings->fresh_ms =
		ym_uint(map, "fresh_ms", SE_MIN_FRESH_MS, SE_MAX_FRESH_MS,
			se_default_fresh_ms(map, errors), errors);
	settings->key_limit_ms =
		(uint64_t)(SE_MS_PER_S * se_read_decimal(map, "key_limit_s",
							 SE_MAX_LIMIT_S,
							 errors));
	settings->retry_percent = ym_uint(map, "retry_percent", 0, 100,
					  SE_DEFAULT_RETRY_PERCENT, errors);
	settings->retry_slack =
		ym_uint(map, "retry_slack", 1, SE_MAX_RETRY_SLACK,
			SE_DEFAULT_RETRY_SLACK, errors);
	settings->probes_per_server_s = ym_uint(
		map, "probes_per_server_s", 0, SE_MAX_PROBES_PER_SERVER_S,
		SE_DEFAULT_PROBES_PER_SERVER_S, errors);
	se_read_quota(map, settings, errors);
	if (!settings->platform_tls.plaintext)
		se_read_string(map, "ca", settings->platform_tls.ca,
			       SE_PATH_BYTES, NULL, errors);
	ym_check_unused(map, errors);
}

static void se_read_trace(struct ym_node *root, struct se_settings *settings,
			  struct ym_errors *errors)
{
	struct ym_node *map = ym_optional(root, "trace", YM_MAPPING, errors);

	if (!map)
		return;
	se_read_string(map, "file", settings->trace_file,
		       sizeof(settings->trace_file), NULL, errors);
	settings->trace_max_bytes =
		ym_uint(map, "max_bytes", 1024, 1 << 30, 16 << 20, errors);
	ym_check_unused(map, errors);
}

static void se_read_root(struct ym_node *root, struct se_settings *settings,
			 struct ym_errors *errors)
{
	se_read_string(root, "host", settings->host, sizeof(settings->host),
		       NULL, errors);
	se_read_string(root, "zone", settings->zone, sizeof(settings->zone),
		       NULL, errors);
	se_read_string(root, "log_level", settings->log_level,
		       sizeof(settings->log_level), "info", errors);
	settings->random_seed =
		ym_uint(root, "random_seed", 0, UINT64_MAX, 0, errors);
	settings->stop_grace_ms = ym_uint(root, "stop_grace_ms", 0,
					  SE_MAX_STOP_GRACE_MS, 3000, errors);
	settings->stop_limit_ms =
		(uint64_t)(SE_MS_PER_S * se_read_decimal(root, "stop_limit_s",
							 SE_MAX_STOP_LIMIT_S,
							 errors));
	settings->lease_ms =
		ym_uint(root, "lease_ms", SE_MIN_LEASE_MS, SE_MAX_LEASE_MS,
			SE_DEFAULT_LEASE_MS, errors);
	settings->order_retention_s =
		ym_uint(root, "order_retention_s", SE_MIN_RETENTION_S,
			SE_MAX_RETENTION_S, SE_DEFAULT_RETENTION_S, errors);
	settings->trusted_network =
		ym_bool(root, "trusted_network", false, errors);
	se_read_platform(root, settings, errors);
	se_read_callers(root, settings, errors);
	settings->has_health = se_read_plain_listener(
		root, "health", &settings->health, errors);
	settings->has_metrics = se_read_plain_listener(
		root, "metrics", &settings->metrics, errors);
	se_read_operators(root, settings, errors);
	se_read_peers(root, settings, errors);
	se_read_trace(root, settings, errors);
	ym_check_unused(root, errors);
}

enum st_kind se_parse(const char *text, size_t text_bytes,
		      struct se_settings *settings, struct ym_errors *errors)
{
	struct ym_node *root = ym_parse(text, text_bytes, errors);

	memset(settings, 0, sizeof(*settings));
	if (root)
		se_read_root(root, settings, errors);
	ym_free(root);
	return errors->count ? ST_INVALID : ST_OK;
}

enum st_kind se_read_file(const char *path, struct se_settings *settings,
			  struct ym_errors *errors)
{
	GError *error = NULL;
	char *text;
	gsize text_bytes;
	enum st_kind kind;

	if (!g_file_get_contents(path, &text, &text_bytes, &error)) {
		ym_error(errors, NULL, NULL, "%s", error->message);
		g_error_free(error);
		return ST_IO;
	}
	kind = se_parse(text, text_bytes, settings, errors);
	g_free(text);
	return kind;
}
