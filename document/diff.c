#include "document/document.h"

#include <string.h>

#include "base/json_text.h"

/*
 * Each document is converted to a list of objects with named fields. Objects of
 * the two lists are matched by path and compared field by field.
 */
struct dd_field {
	const char *name;
	char *value;
};

struct dd_object {
	char *path;
	const struct dd_object *parent; /* NULL when it is at the top level */
	GArray *fields; /* of struct dd_field */
};

struct dd_list {
	GPtrArray *objects;
	GHashTable *by_path;
};

/* Numeric fields: member of the struct, name in the document. */
#define DD_SERVICE_FIELDS(X)                                    \
	X(deadline_ms, "deadline_ms")                           \
	X(longest_deadline_ms, "longest_deadline_ms")           \
	X(queue_limit, "queue_limit")                           \
	X(retry_percent, "retry_percent")                       \
	X(measuring.requests_per_s, "measuring.requests_per_s") \
	X(measuring.bytes_per_s, "measuring.bytes_per_s")       \
	X(measuring.cross_zone_bytes_per_s, "measuring.cross_zone_bytes_per_s")

#define DD_SERVER_FIELDS(X) \
	X(slots, "slots")   \
	X(connections, "connections")

static const char *const dd_change_names[] = {
	[DOC_ADDED] = "added",
	[DOC_REMOVED] = "removed",
	[DOC_CHANGED] = "changed",
};

static void dd_free_object(void *ptr)
{
	struct dd_object *object = ptr;

	for (guint i = 0; i < object->fields->len; i++)
		g_free(g_array_index(object->fields, struct dd_field, i).value);
	g_array_free(object->fields, TRUE);
	g_free(object->path);
	g_free(object);
}

static struct dd_object *dd_add_object(struct dd_list *list,
				       const struct dd_object *parent,
				       const char *kind, const char *name)
{
	struct dd_object *object = g_new0(struct dd_object, 1);

	object->parent = parent;
	object->path = g_strdup_printf("%s%s%s%s%s", parent ? parent->path : "",
				       parent ? ", " : "", kind,
				       *name ? " " : "", name);
	object->fields = g_array_new(FALSE, FALSE, sizeof(struct dd_field));
	g_ptr_array_add(list->objects, object);
	g_hash_table_replace(list->by_path, object->path, object);
	return object;
}

static void dd_add_text(struct dd_object *object, const char *name,
			const char *value)
{
	struct dd_field field = { name, g_strdup(value) };

	g_array_append_val(object->fields, field);
}

static void dd_add_number(struct dd_object *object, const char *name,
			  uint32_t value)
{
	struct dd_field field = { name, g_strdup_printf("%u", value) };

	g_array_append_val(object->fields, field);
}

static void dd_add_bool(struct dd_object *object, const char *name, bool value)
{
	dd_add_text(object, name, value ? "true" : "false");
}

static void dd_add_server(struct dd_list *list, const struct dd_object *parent,
			  const struct doc_document *document,
			  const struct doc_server *server)
{
	struct dd_object *object =
		dd_add_object(list, parent, "server", server->name);

	dd_add_text(object, "address", server->address.text);
	dd_add_text(object, "zone", document->zones[server->zone]);
#define X(member, name) dd_add_number(object, name, server->member);
	DD_SERVER_FIELDS(X)
#undef X
	dd_add_bool(object, "leaving", server->leaving);
}

static char *dd_rule_name(const struct doc_rule *rule)
{
	return g_strdup_printf("%s %s", *rule->method ? rule->method : "any",
			       rule->path);
}

static void dd_add_rule(struct dd_list *list, const struct dd_object *parent,
			const struct doc_rule *rule)
{
	char *name = dd_rule_name(rule);
	struct dd_object *object = dd_add_object(list, parent, "rule", name);

	dd_add_bool(object, "idempotent", rule->idempotent);
	dd_add_number(object, "deadline_ms", rule->deadline_ms);
	g_free(name);
}

static void dd_add_remote_zones(struct dd_object *object,
				const struct doc_document *document,
				uint32_t remote_zones)
{
	GString *names = g_string_new(NULL);

	for (uint32_t i = 0; i < document->zone_count; i++)
		if (remote_zones & (UINT32_C(1) << i))
			g_string_append_printf(names, "%s%s",
					       names->len ? " " : "",
					       document->zones[i]);
	dd_add_text(object, "remote_zones", names->len ? names->str : "none");
	g_string_free(names, TRUE);
}

static void dd_add_service(struct dd_list *list,
			   const struct doc_document *document,
			   const struct doc_service *service)
{
	struct dd_object *object =
		dd_add_object(list, NULL, "service", service->name);

	dd_add_text(object, "route", service->route);
	dd_add_text(object, "policy", core_policy_name(service->policy));
#define X(member, name) dd_add_number(object, name, service->member);
	DD_SERVICE_FIELDS(X)
#undef X
	dd_add_remote_zones(object, document, service->remote_zones);
	for (uint32_t i = 0; i < service->server_count; i++)
		dd_add_server(list, object, document, &service->servers[i]);
	for (uint32_t i = 0; i < service->rule_count; i++)
		dd_add_rule(list, object, &service->rules[i]);
}

static void dd_list_init(struct dd_list *list,
			 const struct doc_document *document)
{
	struct dd_object *top;

	list->objects = g_ptr_array_new_with_free_func(dd_free_object);
	list->by_path = g_hash_table_new(g_str_hash, g_str_equal);
	if (!document)
		return;
	top = dd_add_object(list, NULL, "document", "");
	dd_add_text(top, "deployment", document->deployment);
	dd_add_number(top, "latency_weight_percent",
		      document->latency_weight_percent);
	for (uint32_t i = 0; i < document->zone_count; i++)
		dd_add_object(list, NULL, "zone", document->zones[i]);
	for (uint32_t i = 0; i < document->caller_count; i++) {
		const struct doc_caller *caller = &document->callers[i];

		dd_add_number(dd_add_object(list, NULL, "caller", caller->name),
			      "weight", caller->weight);
	}
	for (uint32_t i = 0; i < document->service_count; i++)
		dd_add_service(list, document, &document->services[i]);
}

static void dd_list_free(struct dd_list *list)
{
	g_hash_table_destroy(list->by_path);
	g_ptr_array_free(list->objects, TRUE);
}

static void dd_free_change(void *ptr)
{
	struct doc_change *change = ptr;

	g_free(change->path);
	g_free(change->field);
	g_free(change->from);
	g_free(change->to);
	g_free(change);
}

static void dd_add_change(GPtrArray *changes, enum doc_change_kind kind,
			  const char *path, const char *field, const char *from,
			  const char *to)
{
	struct doc_change *change = g_new0(struct doc_change, 1);

	change->kind = kind;
	change->path = g_strdup(path);
	change->field = g_strdup(field);
	change->from = g_strdup(from);
	change->to = g_strdup(to);
	g_ptr_array_add(changes, change);
}

static char *dd_format_fields(const struct dd_object *object)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < object->fields->len; i++) {
		const struct dd_field *field =
			&g_array_index(object->fields, struct dd_field, i);

		g_string_append_printf(out, "%s%s %s", i ? ", " : "",
				       field->name, field->value);
	}
	return g_string_free(out, FALSE);
}

/* Both objects are of one kind, so they have the same fields in one order. */
static void dd_compare_fields(GPtrArray *changes, const struct dd_object *old,
			      const struct dd_object *new)
{
	for (guint i = 0; i < new->fields->len; i++) {
		const struct dd_field *from =
			&g_array_index(old->fields, struct dd_field, i);
		const struct dd_field *to =
			&g_array_index(new->fields, struct dd_field, i);

		if (strcmp(from->value, to->value))
			dd_add_change(changes, DOC_CHANGED, new->path, to->name,
				      from->value, to->value);
	}
}

/*
 * Servers and rules of a service are not listed one by one when the service
 * itself was added or removed.
 */
static bool dd_parent_is_missing(const struct dd_object *object,
				 const struct dd_list *other)
{
	return object->parent &&
	       !g_hash_table_contains(other->by_path, object->parent->path);
}

static void dd_find_removed(GPtrArray *changes, const struct dd_list *old,
			    const struct dd_list *new)
{
	for (guint i = 0; i < old->objects->len; i++) {
		const struct dd_object *object =
			g_ptr_array_index(old->objects, i);
		char *text;

		if (g_hash_table_contains(new->by_path, object->path) ||
		    dd_parent_is_missing(object, new))
			continue;
		text = dd_format_fields(object);
		dd_add_change(changes, DOC_REMOVED, object->path, "", text, "");
		g_free(text);
	}
}

static void dd_find_added_and_changed(GPtrArray *changes,
				      const struct dd_list *old,
				      const struct dd_list *new)
{
	for (guint i = 0; i < new->objects->len; i++) {
		const struct dd_object *object =
			g_ptr_array_index(new->objects, i);
		const struct dd_object *before =
			g_hash_table_lookup(old->by_path, object->path);
		char *text;

		if (before) {
			dd_compare_fields(changes, before, object);
			continue;
		}
		if (dd_parent_is_missing(object, old))
			continue;
		text = dd_format_fields(object);
		dd_add_change(changes, DOC_ADDED, object->path, "", "", text);
		g_free(text);
	}
}

/* Names of the rules that OTHER has too, in the order of SERVICE. */
static char *dd_common_rules(const struct doc_service *service,
			     const struct doc_service *other)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < service->rule_count; i++) {
		char *name = dd_rule_name(&service->rules[i]);
		bool found = false;

		for (uint32_t j = 0; j < other->rule_count && !found; j++) {
			char *candidate = dd_rule_name(&other->rules[j]);

			found = !strcmp(name, candidate);
			g_free(candidate);
		}
		if (found)
			g_string_append_printf(out, "%s%s",
					       out->len ? "; " : "", name);
		g_free(name);
	}
	return g_string_free(out, FALSE);
}

/* The order of rules matters, because the first rule that matches is used. */
static void dd_compare_rule_order(GPtrArray *changes,
				  const struct doc_service *old,
				  const struct doc_service *new)
{
	char *from = dd_common_rules(old, new);
	char *to = dd_common_rules(new, old);
	char *path = g_strconcat("service ", new->name, NULL);

	if (strcmp(from, to))
		dd_add_change(changes, DOC_CHANGED, path, "order of rules",
			      from, to);
	g_free(path);
	g_free(from);
	g_free(to);
}

static void dd_compare_rule_orders(GPtrArray *changes,
				   const struct doc_document *old,
				   const struct doc_document *new)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < old->service_count; i++)
		g_hash_table_insert(services, old->services[i].name,
				    &old->services[i]);
	for (uint32_t i = 0; i < new->service_count; i++) {
		const struct doc_service *before =
			g_hash_table_lookup(services, new->services[i].name);

		if (before)
			dd_compare_rule_order(changes, before,
					      &new->services[i]);
	}
	g_hash_table_destroy(services);
}

GPtrArray *doc_diff(const struct doc_document *old,
		    const struct doc_document *new)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(dd_free_change);
	struct dd_list before;
	struct dd_list after;

	dd_list_init(&before, old);
	dd_list_init(&after, new);
	dd_find_removed(changes, &before, &after);
	dd_find_added_and_changed(changes, &before, &after);
	if (old && new)
		dd_compare_rule_orders(changes, old, new);
	dd_list_free(&before);
	dd_list_free(&after);
	return changes;
}

static void dd_print_change(const struct doc_change *change, GString *out)
{
	const char *fields =
		change->kind == DOC_ADDED ? change->to : change->from;

	if (change->kind == DOC_CHANGED)
		g_string_append_printf(out, "%s: %s: %s -> %s\n", change->path,
				       change->field, change->from, change->to);
	else
		g_string_append_printf(out, "%s: %s%s%s%s\n", change->path,
				       dd_change_names[change->kind],
				       *fields ? " (" : "", fields,
				       *fields ? ")" : "");
}

void doc_diff_print(const GPtrArray *changes, uint32_t max_lines, GString *out)
{
	uint32_t shown = MIN(changes->len, max_lines);

	for (uint32_t i = 0; i < shown; i++)
		dd_print_change(g_ptr_array_index(changes, i), out);
	if (changes->len > shown)
		g_string_append_printf(out, "and %u more changes\n",
				       changes->len - shown);
}

json_t *doc_diff_json(const GPtrArray *changes)
{
	json_t *list = json_array();

	for (guint i = 0; i < changes->len; i++) {
		const struct doc_change *change = g_ptr_array_index(changes, i);

		json_array_append_new(
			list, json_pack("{s:s, s:o, s:o, s:o, s:o}", "change",
					dd_change_names[change->kind], "object",
					jt_string(change->path), "field",
					jt_string(change->field), "from",
					jt_string(change->from), "to",
					jt_string(change->to)));
	}
	return list;
}
