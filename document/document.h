#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "core/core.h"
#include "document/customer.h"
#include "base/net.h"
#include "base/position.h"
#include "base/status.h"
#include "base/text.h"
#include "base/yaml_tree.h"

/*
 * Documents: the configuration of services, servers and callers. A document is
 * parsed from the operators' YAML text or, when a host follows the platform,
 * built from the platform's manifest. Only the latter kind has routes.
 *
 * Of a limit "over all entry hosts" each host uses its share.
 *
 * Names of type char * are those of base/text.h: in the platform's store they may have
 * any length. The sizes and counts of this enumeration bind YAML documents only,
 * which are refused with an error beyond them.
 */
enum {
	DOC_NAME_BYTES = 64,
	DOC_ROUTE_BYTES = 128,
	DOC_DIGEST_BYTES = 65,
	DOC_HASH_DIGITS = 16, /* of a digest: 64 bits */
	DOC_MAX_ZONES = 32,
	DOC_MAX_SERVICES = 2048,
	DOC_MAX_SERVERS = 16384,
	DOC_MAX_CALLERS = 4096,
	DOC_MAX_RULES = 64,
	DOC_MAX_CUSTOMERS = 10000,
	DOC_MAX_CUSTOMER_KEYS = 64, /* of one customer */
	DOC_KEY_BYTES = 256,
	DOC_NO_INDEX = UINT32_MAX
};

struct doc_server {
	char *name;
	struct nt_address address;
	uint32_t zone;
	uint32_t slots;
	uint32_t connections; /* over all entry hosts */
	uint64_t warm_at_us; /* end of its warm-up, by tm_now_us; 0: not cold */
	uint64_t incarnation; /* changes with each start; 0: not known */
	bool leaving; /* is being taken out of service */
};

/* Treatment of the calls of a service that match method and path prefix. */
struct doc_rule {
	char method[16]; /* empty: every method */
	char path[DOC_ROUTE_BYTES]; /* prefix */
	bool idempotent;
	uint32_t deadline_ms;
};

/* One of the services among which a route splits its calls by weight. */
struct doc_weighted_service {
	uint32_t service; /* index in the document */
	uint32_t weight;
};

/*
 * A route selects services by the host and path prefix of a call. In a document
 * without routes each service is selected by its own path prefix, its field
 * route.
 */
struct doc_route {
	char *name;
	char *host;
	char *prefix;
	size_t host_bytes; /* lengths, for doc_find_route */
	size_t prefix_bytes;
	bool idempotent;
	bool bulky; /* the responses are large */
	uint32_t timeout_ms; /* longest deadline of a call */
	/* An answer within it earns the full benefit; 0: no target. */
	uint32_t target_ms;
	uint32_t max_attempts; /* servers that one call may be sent to */
	uint32_t priority; /* 0 is the highest */
	bool is_public; /* calls need no key of a customer */
	struct doc_weighted_service *services;
	uint32_t service_count;
};

/* Limits on the traffic that probes and load reports add to a service. */
struct doc_measuring_budget {
	uint32_t requests_per_s;
	uint32_t bytes_per_s;
	uint32_t cross_zone_bytes_per_s;
};

struct doc_service {
	char *name;
	char route[DOC_ROUTE_BYTES];
	bool is_public; /* calls by its own route need no key of a customer */
	uint32_t deadline_ms;
	uint32_t longest_deadline_ms;
	uint32_t queue_limit; /* calls waiting, per entry host */
	uint32_t retry_percent; /* retries allowed per 100 calls */
	/* Retries allowed beyond that, over all hosts; 0: the core's default. */
	uint32_t retry_slack;
	enum core_policy policy;
	struct doc_measuring_budget measuring; /* over all entry hosts */
	struct doc_server *servers;
	uint32_t server_count;
	struct doc_rule *rules;
	uint32_t rule_count;
	uint32_t connections; /* of every server, over all entry hosts */
	char *probe_path; /* NULL: that of the dialect */
	/* Requests in 1000 s that a cold server bears, of all hosts; 0: any. */
	uint32_t warmup_milli_per_s;
	/* Zones that need no server of the service; bit I is zone I. */
	uint32_t remote_zones;
};

struct doc_caller {
	char name[DOC_NAME_BYTES];
	uint32_t weight;
};

/* A checked document. Immutable; shared by reference count. */
struct doc_document {
	uint32_t refs;
	uint64_t generation; /* 0 until it is accepted */
	/*
	 * Of its manifest, to order documents from the platform, whose generations
	 * may go back; both 0: not from there. The era is the number that the store
	 * states.
	 */
	struct ps_position revision;
	char digest[DOC_DIGEST_BYTES];
	char *text;
	size_t text_bytes;
	char deployment[DOC_NAME_BYTES];
	uint32_t latency_weight_percent;
	char **zones;
	uint32_t zone_count;
	bool *zone_evacuated; /* by zone: its servers get no calls; NULL: none */
	struct doc_service *services;
	uint32_t service_count;
	struct doc_caller *callers;
	uint32_t caller_count;
	struct doc_customers *customers; /* NULL: calls need no key */
	struct doc_route *routes;
	uint32_t route_count;
	/* Of callers' connections and requests; 0: the defaults of http/httpd.h. */
	uint32_t idle_timeout_ms;
	uint32_t head_timeout_ms;
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
};

/*
 * doc_parse - parse and check a document. Returns NULL on errors, all of which
 * are added to ERRORS with line and field. Some checks that compare the routes
 * of services run only if the rest of the document has no errors. The result
 * has one reference and generation 0; release it with doc_unref.
 * Source: document/document.c
 */
struct doc_document *doc_parse(const char *text, size_t text_bytes,
			       struct ym_errors *errors);

/*
 * doc_find_warnings - add what is allowed in a document that doc_parse returned,
 * but is likely to be a mistake, with line and field. Source: document/warning.c
 */
void doc_find_warnings(const struct doc_document *document,
		       struct ym_errors *warnings);

struct doc_document *doc_ref(struct doc_document *document);
void doc_unref(struct doc_document *document);

enum doc_change_kind { DOC_ADDED, DOC_REMOVED, DOC_CHANGED };

/*
 * One difference between two documents. PATH names the object ("service
 * ordering, server ordering-3"). When a whole object was added or removed,
 * FIELD is empty and TO or FROM lists its fields.
 */
struct doc_change {
	enum doc_change_kind kind;
	char *path;
	char *field;
	char *from;
	char *to;
};

/*
 * doc_diff - list the differences from OLD to NEW by service, server, rule and
 * field; either may be NULL, which counts as an empty document. Returns an
 * array of struct doc_change; release it with g_ptr_array_unref.
 * Source: document/diff.c
 */
GPtrArray *doc_diff(const struct doc_document *old,
		    const struct doc_document *new);

/*
 * doc_diff_print - append one line per change, at most MAX_LINES, and one more
 * with the number of the changes left out.
 * doc_diff_json - return an array of {"change","object","field","from","to"}.
 */
void doc_diff_print(const GPtrArray *changes, uint32_t max_lines, GString *out);
json_t *doc_diff_json(const GPtrArray *changes);

/*
 * doc_digest - compute the SHA-256 of a text as lower-case hexadecimal.
 * doc_hash_name - the first 64 bits of it; the same on all hosts.
 */
void doc_digest(const char *text, size_t text_bytes,
		char digest[DOC_DIGEST_BYTES]);
uint64_t doc_hash_name(const char *name);

/*
 * doc_find_service - index of the service whose route is the longest prefix of
 * PATH, or DOC_NO_INDEX.
 */
uint32_t doc_find_service(const struct doc_document *document, const char *path,
			  size_t path_bytes);

/*
 * doc_find_route - the route for HOST whose path prefix is the longest one that
 * PATH begins with, or NULL.
 */
const struct doc_route *doc_find_route(const struct doc_document *document,
				       const char *host, size_t host_bytes,
				       const char *path, size_t path_bytes);

/*
 * doc_index_services - index + 1 of each service by the pointer of its name. Of
 * services of the same name the last one counts. Release with g_hash_table_destroy.
 */
GHashTable *doc_index_services(const struct doc_document *document);

/* doc_find_rule - the first rule that matches METHOD and PATH, or NULL. */
const struct doc_rule *doc_find_rule(const struct doc_service *service,
				     const char *method, size_t method_bytes,
				     const char *path, size_t path_bytes);

/* doc_find_zone, doc_find_caller - index by name or DOC_NO_INDEX. */
uint32_t doc_find_zone(const struct doc_document *document, const char *name);
uint32_t doc_find_caller(const struct doc_document *document, const char *name,
			 size_t name_bytes);

#endif
