#include "document/document.h"

#include <stdlib.h>
#include <string.h>

#include "document/reader.h"

enum {
	DOC_MAX_DEADLINE_MS = 600000,
	DOC_MAX_SLOTS = 4096,
	DOC_MAX_CONNECTIONS = 65535,
	DOC_MAX_QUEUE = 100000,
	DOC_MAX_RATE = 1000000000,
	DOC_DEFAULT_DEADLINE_MS = 1000,
	DOC_DEFAULT_QUEUE = 200,
	DOC_DEFAULT_RETRY_PERCENT = 10,
	DOC_DEFAULT_LATENCY_WEIGHT = 50,
	DOC_MAX_WEIGHT = 1000,
	/* A share of the slots below 1/100000 cannot be enforced. */
	DOC_MAX_WEIGHT_SUM = 100000
};

static const char *const doc_methods[] = {
	"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS",
};

static void doc_read_zones(struct ym_node *root, struct doc_document *document,
			   struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(root, "zones", true, DOC_MAX_ZONES, errors);

	if (list)
		document->zones = g_new0(char *, list->children->len);
	for (guint i = 0; list && i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);
		const char *name = item->value ? item->value : "";

		if (!*name)
			ym_error(errors, item, "zones", "must be names");
		doc_check_name(errors, item, "zones", name);
		if (*name && doc_find_zone(document, name) != DOC_NO_INDEX)
			ym_error(errors, item, "zones", "\"%s\" is used twice",
				 name);
		document->zones[i] = tx_new(name);
		document->zone_count = i + 1;
	}
}

static void doc_read_evacuated_zones(struct ym_node *root,
				     struct doc_document *document,
				     struct ym_errors *errors)
{
	struct ym_node *list = doc_get_list(root, "evacuated_zones", false,
					    DOC_MAX_ZONES, errors);

	if (list && list->children->len)
		document->zone_evacuated = g_new0(bool, DOC_MAX_ZONES);
	for (guint i = 0; list && i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);
		const char *name = item->value ? item->value : "";
		uint32_t zone = doc_find_zone(document, name);

		if (zone == DOC_NO_INDEX)
			ym_error(errors, item, "evacuated_zones",
				 "zone \"%.60s\" does not exist", name);
		else if (document->zone_evacuated[zone])
			ym_error(errors, item, "evacuated_zones",
				 "\"%s\" is used twice", name);
		else
			document->zone_evacuated[zone] = true;
	}
}

static void doc_read_callers(struct ym_node *root,
			     struct doc_document *document,
			     struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(root, "callers", false, DOC_MAX_CALLERS, errors);
	GHashTable *seen = doc_new_name_set();
	uint64_t weights = 0;

	if (list) {
		document->caller_count = list->children->len;
		document->callers =
			g_new0(struct doc_caller, list->children->len);
	}
	for (guint i = 0; list && i < document->caller_count; i++) {
		struct ym_node *map = g_ptr_array_index(list->children, i);
		struct doc_caller *caller = &document->callers[i];

		if (!doc_check_mapping(map, "callers", errors))
			continue;
		doc_read_name(map, "name", caller->name, errors);
		doc_check_unique(seen, caller->name, map, "name", errors);
		caller->weight = (uint32_t)ym_uint(map, "weight", 1,
						   DOC_MAX_WEIGHT, 1, errors);
		weights += caller->weight;
		ym_check_unused(map, errors);
	}
	if (weights > DOC_MAX_WEIGHT_SUM)
		ym_error(errors, list, "callers",
			 "weights add up to %" G_GUINT64_FORMAT
			 ", more than %d",
			 weights, DOC_MAX_WEIGHT_SUM);
	g_hash_table_destroy(seen);
}

static void doc_read_server(struct ym_node *map,
			    const struct doc_document *document,
			    struct doc_server *server, struct ym_errors *errors)
{
	const char *address;
	const char *zone;

	doc_read_text(map, "name", &server->name, errors);
	address = ym_string(map, "address", NULL, errors);
	if (*address && !nt_parse(address, &server->address))
		ym_error(errors, ym_get(map, "address"), "address",
			 "\"%.60s\" is not an IP address with a port", address);
	if (g_str_has_prefix(address, "0.0.0.0:") ||
	    g_str_has_prefix(address, "[::]:"))
		ym_error(errors, ym_get(map, "address"), "address",
			 "\"%.60s\" is not the address of a server", address);
	zone = ym_string(map, "zone", NULL, errors);
	server->zone = doc_find_zone(document, zone);
	if (*zone && server->zone == DOC_NO_INDEX)
		ym_error(errors, ym_get(map, "zone"), "zone",
			 "zone \"%.60s\" does not exist", zone);
	server->slots =
		(uint32_t)ym_need_uint(map, "slots", 1, DOC_MAX_SLOTS, errors);
	server->connections = (uint32_t)ym_need_uint(
		map, "connections", 1, DOC_MAX_CONNECTIONS, errors);
	if (server->connections < server->slots)
		ym_error(errors, ym_get(map, "connections"), "connections",
			 "%u connections cannot fill %u slots",
			 server->connections, server->slots);
	server->leaving = ym_bool(map, "leaving", false, errors);
	ym_check_unused(map, errors);
}

/* Servers read so far; names and addresses are unique over all services. */
struct doc_servers_seen {
	GHashTable *names;
	GHashTable *addresses;
	uint32_t count;
};

static void doc_read_servers(struct ym_node *map, struct doc_servers_seen *seen,
			     const struct doc_document *document,
			     struct doc_service *service,
			     struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(map, "servers", true, DOC_MAX_SERVERS, errors);

	if (!list)
		return;
	service->server_count = list->children->len;
	service->servers = g_new0(struct doc_server, list->children->len);
	seen->count += service->server_count;
	if (seen->count > DOC_MAX_SERVERS)
		ym_error(errors, list, "servers",
			 "more than %d servers over all services",
			 DOC_MAX_SERVERS);
	for (guint i = 0; i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);
		struct doc_server *server = &service->servers[i];

		if (!doc_check_mapping(item, "servers", errors))
			continue;
		doc_read_server(item, document, server, errors);
		doc_check_unique(seen->names, server->name, item, "name",
				 errors);
		doc_check_unique(seen->addresses, server->address.text, item,
				 "address", errors);
	}
}

static void doc_check_path(struct ym_node *map, const char *field,
			   const char *path, struct ym_errors *errors)
{
	struct ym_node *at = ym_get(map, field);

	if (*path && *path != '/')
		ym_error(errors, at, field, "must begin with '/'");
	if (strlen(path) >= DOC_ROUTE_BYTES)
		ym_error(errors, at, field, "longer than %d characters",
			 DOC_ROUTE_BYTES - 1);
	if (strstr(path, "//") || strstr(path, "/./") || strstr(path, "/../"))
		ym_error(errors, at, field, "has an empty or relative segment");
	for (const char *p = path; *p; p++)
		if (!g_ascii_isgraph(*p) || *p == '?' || *p == '#') {
			ym_error(errors, at, field,
				 "has a character that no path has");
			return;
		}
}

static void doc_check_method(struct ym_node *map, const char *method,
			     struct ym_errors *errors)
{
	if (!*method)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(doc_methods); i++)
		if (!strcmp(doc_methods[i], method))
			return;
	ym_error(errors, ym_get(map, "method"), "method",
		 "method \"%.20s\" does not exist or is not supported", method);
}

static void doc_read_rule(struct ym_node *map,
			  const struct doc_service *service,
			  struct doc_rule *rule, struct ym_errors *errors)
{
	const char *path = ym_string(map, "path", service->route, errors);
	const char *method = ym_string(map, "method", "", errors);

	doc_check_path(map, "path", path, errors);
	if (!g_str_has_prefix(path, service->route))
		ym_error(errors, ym_get(map, "path"), "path",
			 "not under the route \"%s\" of its service",
			 service->route);
	g_strlcpy(rule->path, path, sizeof(rule->path));
	doc_check_method(map, method, errors);
	g_strlcpy(rule->method, method, sizeof(rule->method));
	rule->idempotent = ym_bool(map, "idempotent", false, errors);
	rule->deadline_ms = (uint32_t)ym_uint(map, "deadline_ms", 1,
					      service->longest_deadline_ms,
					      service->deadline_ms, errors);
	ym_check_unused(map, errors);
}

/*
 * Whether EARLIER matches every call that RULE matches. Only the first rule
 * that matches is used, so RULE would have no effect.
 */
static bool doc_shadows(const struct doc_rule *earlier,
			const struct doc_rule *rule)
{
	return (!*earlier->method || !strcmp(earlier->method, rule->method)) &&
	       g_str_has_prefix(rule->path, earlier->path);
}

static void doc_check_shadowed(struct ym_node *list,
			       const struct doc_service *service,
			       uint32_t index, struct ym_errors *errors)
{
	const struct doc_rule *rule = &service->rules[index];

	for (uint32_t i = 0; i < index; i++) {
		const struct doc_rule *earlier = &service->rules[i];
		const struct ym_node *at = g_ptr_array_index(list->children, i);
		bool same = !strcmp(earlier->method, rule->method) &&
			    !strcmp(earlier->path, rule->path);

		if (!*earlier->path || !doc_shadows(earlier, rule))
			continue;
		ym_error(errors, g_ptr_array_index(list->children, index),
			 "rules", "%s the rule on line %u",
			 same ? "repeats" : "never matches, hidden by",
			 at->line);
		return;
	}
}

static void doc_read_rules(struct ym_node *map, struct doc_service *service,
			   struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(map, "rules", false, DOC_MAX_RULES, errors);

	if (!list)
		return;
	service->rule_count = list->children->len;
	service->rules = g_new0(struct doc_rule, list->children->len);
	for (guint i = 0; i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);

		if (doc_check_mapping(item, "rules", errors))
			doc_read_rule(item, service, &service->rules[i],
				      errors);
		doc_check_shadowed(list, service, i, errors);
	}
}

static void doc_read_policy(struct ym_node *map, struct doc_service *service,
			    struct ym_errors *errors)
{
	const char *name = ym_string(
		map, "policy", core_policy_name(CORE_POLICY_SHARES), errors);

	for (int i = 0; i < CORE_POLICY_COUNT; i++)
		if (!strcmp(name, core_policy_name((enum core_policy)i))) {
			service->policy = (enum core_policy)i;
			return;
		}
	ym_error(errors, ym_get(map, "policy"), "policy",
		 "policy \"%.40s\" does not exist", name);
}

static void doc_read_measuring_budget(struct ym_node *map,
				      struct doc_measuring_budget *budget,
				      struct ym_errors *errors)
{
	struct ym_node *item = ym_need(map, "measuring", YM_MAPPING, errors);

	if (!item)
		return;
	budget->requests_per_s = (uint32_t)ym_need_uint(
		item, "requests_per_s", 0, DOC_MAX_RATE, errors);
	budget->bytes_per_s = (uint32_t)ym_need_uint(item, "bytes_per_s", 0,
						     DOC_MAX_RATE, errors);
	budget->cross_zone_bytes_per_s = (uint32_t)ym_need_uint(
		item, "cross_zone_bytes_per_s", 0, DOC_MAX_RATE, errors);
	if (budget->cross_zone_bytes_per_s > budget->bytes_per_s)
		ym_error(errors, ym_get(item, "cross_zone_bytes_per_s"),
			 "cross_zone_bytes_per_s", "larger than bytes_per_s");
	if (!budget->requests_per_s != !budget->bytes_per_s)
		ym_error(errors, item,
			 budget->bytes_per_s ? "requests_per_s" : "bytes_per_s",
			 "0 leaves the other limit of the budget without use");
	ym_check_unused(item, errors);
}

static void doc_check_probe_policy(struct ym_node *map,
				   const struct doc_service *service,
				   struct ym_errors *errors)
{
	if (service->policy == CORE_POLICY_PROBES &&
	    !service->measuring.requests_per_s)
		ym_error(errors, ym_get(map, "policy"), "policy",
			 "\"probes\" needs a measuring budget above 0");
}

/* Reads the zones in which the service needs no server. */
static void doc_read_remote_zones(struct ym_node *map,
				  const struct doc_document *document,
				  struct doc_service *service, bool *has_server,
				  struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(map, "remote_zones", false, DOC_MAX_ZONES, errors);

	for (guint i = 0; list && i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);
		const char *name = item->value ? item->value : "";
		uint32_t zone = doc_find_zone(document, name);

		if (zone == DOC_NO_INDEX)
			ym_error(errors, item, "remote_zones",
				 "zone \"%.60s\" does not exist", name);
		else if (has_server[zone])
			ym_error(errors, item, "remote_zones",
				 "zone \"%.60s\" has a server of the service",
				 name);
		else
			service->remote_zones |= UINT32_C(1) << zone;
	}
}

/*
 * Calls to other zones cost more, so every zone must have a server of the
 * service unless remote_zones lists it.
 */
static void doc_check_server_zones(struct ym_node *map,
				   const struct doc_document *document,
				   struct doc_service *service,
				   struct ym_errors *errors)
{
	bool has_server[DOC_MAX_ZONES] = { false };
	uint32_t remaining = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		if (service->servers[i].zone < document->zone_count)
			has_server[service->servers[i].zone] = true;
		remaining += !service->servers[i].leaving;
	}
	doc_read_remote_zones(map, document, service, has_server, errors);
	if (!service->server_count)
		return;
	if (!remaining)
		ym_error(errors, ym_get(map, "servers"), "servers",
			 "every server is leaving");
	for (uint32_t i = 0; i < document->zone_count; i++)
		if (!has_server[i] && *document->zones[i] &&
		    !(service->remote_zones & (UINT32_C(1) << i)))
			ym_error(errors, ym_get(map, "servers"), "servers",
				 "none in zone \"%s\", and it is not in "
				 "remote_zones",
				 document->zones[i]);
}

static void doc_read_service(struct ym_node *map, struct doc_servers_seen *seen,
			     const struct doc_document *document,
			     struct doc_service *service,
			     struct ym_errors *errors)
{
	const char *route = ym_string(map, "route", NULL, errors);

	doc_read_text(map, "name", &service->name, errors);
	doc_check_path(map, "route", route, errors);
	g_strlcpy(service->route, route, sizeof(service->route));
	service->longest_deadline_ms = (uint32_t)ym_uint(
		map, "longest_deadline_ms", 1, DOC_MAX_DEADLINE_MS,
		DOC_DEFAULT_DEADLINE_MS, errors);
	service->deadline_ms = (uint32_t)ym_uint(
		map, "deadline_ms", 1, service->longest_deadline_ms,
		service->longest_deadline_ms, errors);
	service->queue_limit =
		(uint32_t)ym_uint(map, "queue_limit", 0, DOC_MAX_QUEUE,
				  DOC_DEFAULT_QUEUE, errors);
	service->retry_percent =
		(uint32_t)ym_uint(map, "retry_percent", 0, 100,
				  DOC_DEFAULT_RETRY_PERCENT, errors);
	service->is_public = ym_bool(map, "public", false, errors);
	service->warmup_milli_per_s =
		ym_milli(map, "warmup_per_s", 1, DOC_MAX_MILLI, 0, errors);
	doc_read_policy(map, service, errors);
	doc_read_measuring_budget(map, &service->measuring, errors);
	doc_check_probe_policy(map, service, errors);
	doc_read_servers(map, seen, document, service, errors);
	doc_check_server_zones(map, document, service, errors);
	doc_read_rules(map, service, errors);
	ym_check_unused(map, errors);
}

/*
 * A rule is useless if its path is under the longer route of another service,
 * which gets the calls.
 */
static void doc_check_rule_paths(const struct doc_document *document,
				 uint32_t index, struct ym_node *map,
				 struct ym_errors *errors)
{
	const struct doc_service *service = &document->services[index];
	struct ym_node *list = ym_get(map, "rules");

	for (uint32_t i = 0; i < service->rule_count; i++) {
		const char *path = service->rules[i].path;
		uint32_t owner = doc_find_service(document, path, strlen(path));

		if (owner == index || owner == DOC_NO_INDEX || !*path)
			continue;
		ym_error(errors, g_ptr_array_index(list->children, i), "path",
			 "\"%s\" is under the route of service \"%s\"", path,
			 document->services[owner].name);
	}
}

/*
 * Refuses routes that differ only by a '/' at the end, because they are easily
 * mistaken for each other.
 */
static void doc_check_trailing_slash(const struct doc_document *document,
				     GHashTable *routes, struct ym_node *list,
				     struct ym_errors *errors)
{
	for (uint32_t i = 0; i < document->service_count; i++) {
		const struct doc_service *service = &document->services[i];
		struct ym_node *map = g_ptr_array_index(list->children, i);
		char *longer = g_strconcat(service->route, "/", NULL);

		if (*service->route && g_hash_table_contains(routes, longer))
			ym_error(errors, ym_get(map, "route"), "route",
				 "differs from another route by a '/' only");
		g_free(longer);
	}
}

static void doc_check_routes(const struct doc_document *document,
			     GHashTable *routes, struct ym_node *list,
			     struct ym_errors *errors)
{
	/* Entries with errors cannot be compared; their errors suffice. */
	if (!list || errors->count)
		return;
	doc_check_trailing_slash(document, routes, list, errors);
	for (uint32_t i = 0; i < document->service_count; i++)
		doc_check_rule_paths(document, i,
				     g_ptr_array_index(list->children, i),
				     errors);
}

static void doc_check_budgets(const struct doc_document *document,
			      struct ym_node *list, struct ym_errors *errors)
{
	uint64_t requests = 0;
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < document->service_count; i++) {
		requests += document->services[i].measuring.requests_per_s;
		bytes += document->services[i].measuring.bytes_per_s;
	}
	if (requests > DOC_MAX_RATE || bytes > DOC_MAX_RATE)
		ym_error(errors, list, "measuring",
			 "the budgets of all services add up to more than %d",
			 DOC_MAX_RATE);
}

static void doc_read_services(struct ym_node *root,
			      struct doc_document *document,
			      struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(root, "services", true, DOC_MAX_SERVICES, errors);
	GHashTable *names = doc_new_name_set();
	GHashTable *routes = doc_new_name_set();
	struct doc_servers_seen seen = { doc_new_name_set(), doc_new_name_set(),
					 0 };

	if (list) {
		document->service_count = list->children->len;
		document->services =
			g_new0(struct doc_service, list->children->len);
	}
	for (guint i = 0; list && i < document->service_count; i++) {
		struct ym_node *map = g_ptr_array_index(list->children, i);
		struct doc_service *service = &document->services[i];

		if (!doc_check_mapping(map, "services", errors))
			continue;
		doc_read_service(map, &seen, document, service, errors);
		doc_check_unique(names, service->name, map, "name", errors);
		doc_check_unique(routes, service->route, map, "route", errors);
	}
	doc_check_budgets(document, list, errors);
	doc_check_routes(document, routes, list, errors);
	g_hash_table_destroy(names);
	g_hash_table_destroy(routes);
	g_hash_table_destroy(seen.names);
	g_hash_table_destroy(seen.addresses);
}

static void doc_read_root(struct ym_node *root, struct doc_document *document,
			  struct ym_errors *errors)
{
	doc_read_name(root, "deployment", document->deployment, errors);
	document->latency_weight_percent =
		(uint32_t)ym_uint(root, "latency_weight_percent", 0, 100,
				  DOC_DEFAULT_LATENCY_WEIGHT, errors);
	doc_read_zones(root, document, errors);
	doc_read_evacuated_zones(root, document, errors);
	doc_read_callers(root, document, errors);
	doc_read_customers(root, document, errors);
	doc_read_services(root, document, errors);
	ym_check_unused(root, errors);
}

/*
 * Refuses text that is not UTF-8. YAML also allows UTF-16, which JSON answers
 * cannot hold.
 */
static bool doc_check_text(const char *text, size_t text_bytes,
			   struct ym_errors *errors)
{
	struct ym_node at = { .line = 1 };
	const char *end;

	if (g_utf8_validate_len(text, text_bytes, &end))
		return true;
	for (const char *p = text; p < end; p++)
		at.line += *p == '\n';
	if (*end)
		ym_error(errors, &at, NULL, "not valid UTF-8");
	else
		ym_error(errors, &at, NULL, "NUL byte: not a text file");
	return false;
}

struct doc_document *doc_parse(const char *text, size_t text_bytes,
			       struct ym_errors *errors)
{
	uint32_t before = errors->count;
	struct ym_node *root = NULL;
	struct doc_document *document;

	if (doc_check_text(text, text_bytes, errors))
		root = ym_parse(text, text_bytes, errors);
	if (!root)
		return NULL;
	document = g_new0(struct doc_document, 1);
	document->refs = 1;
	document->text = g_strndup(text, text_bytes);
	document->text_bytes = text_bytes;
	doc_digest(text, text_bytes, document->digest);
	doc_read_root(root, document, errors);
	ym_free(root);
	if (errors->count == before)
		return document;
	doc_unref(document);
	return NULL;
}

struct doc_document *doc_ref(struct doc_document *document)
{
	document->refs++;
	return document;
}

static void doc_free_service(struct doc_service *service)
{
	for (uint32_t i = 0; i < service->server_count; i++)
		tx_unref(service->servers[i].name);
	tx_unref(service->name);
	tx_unref(service->probe_path);
	g_free(service->servers);
	g_free(service->rules);
}

static void doc_free_route(struct doc_route *route)
{
	tx_unref(route->name);
	tx_unref(route->host);
	tx_unref(route->prefix);
	g_free(route->services);
}

void doc_unref(struct doc_document *document)
{
	if (!document || --document->refs)
		return;
	for (uint32_t i = 0; i < document->service_count; i++)
		doc_free_service(&document->services[i]);
	for (uint32_t i = 0; i < document->route_count; i++)
		doc_free_route(&document->routes[i]);
	for (uint32_t i = 0; i < document->zone_count; i++)
		tx_unref(document->zones[i]);
	doc_customers_unref(document->customers);
	g_free(document->zone_evacuated);
	g_free(document->zones);
	g_free(document->routes);
	g_free(document->services);
	g_free(document->callers);
	g_free(document->text);
	g_free(document);
}

void doc_digest(const char *text, size_t text_bytes,
		char digest[DOC_DIGEST_BYTES])
{
	char *hex = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)text, text_bytes);

	g_strlcpy(digest, hex, DOC_DIGEST_BYTES);
	g_free(hex);
}

uint64_t doc_hash_name(const char *name)
{
	char digest[DOC_DIGEST_BYTES];

	doc_digest(name, strlen(name), digest);
	digest[DOC_HASH_DIGITS] = '\0';
	return g_ascii_strtoull(digest, NULL, 16);
}

static bool doc_has_prefix(const char *prefix, const char *path,
			   size_t path_bytes)
{
	size_t len = strlen(prefix);

	return len <= path_bytes && !memcmp(prefix, path, len);
}

uint32_t doc_find_service(const struct doc_document *document, const char *path,
			  size_t path_bytes)
{
	uint32_t best = DOC_NO_INDEX;
	size_t best_bytes = 0;

	for (uint32_t i = 0; i < document->service_count; i++) {
		const char *route = document->services[i].route;

		if (strlen(route) <= best_bytes ||
		    !doc_has_prefix(route, path, path_bytes))
			continue;
		best = i;
		best_bytes = strlen(route);
	}
	return best;
}

const struct doc_route *doc_find_route(const struct doc_document *document,
				       const char *host, size_t host_bytes,
				       const char *path, size_t path_bytes)
{
	const struct doc_route *best = NULL;
	size_t best_bytes = 0;

	for (uint32_t i = 0; i < document->route_count; i++) {
		const struct doc_route *route = &document->routes[i];

		if (route->prefix_bytes <= best_bytes ||
		    route->prefix_bytes > path_bytes ||
		    route->host_bytes != host_bytes ||
		    g_ascii_strncasecmp(route->host, host, host_bytes) != 0 ||
		    memcmp(route->prefix, path, route->prefix_bytes) != 0)
			continue;
		best = route;
		best_bytes = route->prefix_bytes;
	}
	return best;
}

GHashTable *doc_index_services(const struct doc_document *document)
{
	GHashTable *index = g_hash_table_new(g_direct_hash, g_direct_equal);

	for (uint32_t i = 0; i < document->service_count; i++)
		g_hash_table_insert(index, document->services[i].name,
				    GUINT_TO_POINTER(i + 1));
	return index;
}

const struct doc_rule *doc_find_rule(const struct doc_service *service,
				     const char *method, size_t method_bytes,
				     const char *path, size_t path_bytes)
{
	for (uint32_t i = 0; i < service->rule_count; i++) {
		const struct doc_rule *rule = &service->rules[i];
		size_t len = strlen(rule->method);

		if (len &&
		    (len != method_bytes || memcmp(rule->method, method, len)))
			continue;
		if (doc_has_prefix(rule->path, path, path_bytes))
			return rule;
	}
	return NULL;
}

uint32_t doc_find_zone(const struct doc_document *document, const char *name)
{
	for (uint32_t i = 0; i < document->zone_count; i++)
		if (!g_strcmp0(document->zones[i], name))
			return i;
	return DOC_NO_INDEX;
}

uint32_t doc_find_caller(const struct doc_document *document, const char *name,
			 size_t name_bytes)
{
	for (uint32_t i = 0; i < document->caller_count; i++) {
		const char *known = document->callers[i].name;

		if (strlen(known) == name_bytes &&
		    !memcmp(known, name, name_bytes))
			return i;
	}
	return DOC_NO_INDEX;
}
