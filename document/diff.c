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
	bool listed_only; /* not compared, see dd_compare_keys */
	bool compared_only; /* not listed: the feature is not used */
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

#define DD_MILLI 1000.0

/* Keys of a change that are listed by digest; more of them are counted only. */
enum { DD_MAX_KEYS = 8 };

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
	struct dd_field field = { name, g_strdup(value), false, false };

	g_array_append_val(object->fields, field);
}

static void dd_add_number(struct dd_object *object, const char *name,
			  uint32_t value)
{
	struct dd_field field = { name, g_strdup_printf("%u", value), false,
				  false };

	g_array_append_val(object->fields, field);
}

static void dd_add_bool(struct dd_object *object, const char *name, bool value)
{
	dd_add_text(object, name, value ? "true" : "false");
}

/* VALUE in thousandths; 0 prints as ABSENT. */
static void dd_add_milli(struct dd_object *object, const char *name,
			 uint32_t value, const char *absent)
{
	struct dd_field field = { name,
				  value ? g_strdup_printf("%.10g",
							  value / DD_MILLI) :
					  g_strdup(absent),
				  false, !value };

	g_array_append_val(object->fields, field);
}

static struct dd_field *dd_last_field(const struct dd_object *object)
{
	return &g_array_index(object->fields, struct dd_field,
			      object->fields->len - 1);
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

/* Bit I of ZONES is zone I. */
static void dd_add_zones(struct dd_object *object, const char *name,
			 const struct doc_document *document, uint32_t zones)
{
	GString *names = g_string_new(NULL);

	for (uint32_t i = 0; i < document->zone_count; i++)
		if (zones & (UINT32_C(1) << i))
			g_string_append_printf(names, "%s%s",
					       names->len ? " " : "",
					       document->zones[i]);
	dd_add_text(object, name, names->len ? names->str : "none");
	g_string_free(names, TRUE);
}

static uint32_t dd_evacuated_zones(const struct doc_document *document)
{
	uint32_t zones = 0;

	for (uint32_t i = 0; i < document->zone_count; i++)
		if (document->zone_evacuated && document->zone_evacuated[i])
			zones |= UINT32_C(1) << i;
	return zones;
}

static void dd_add_customer(struct dd_list *list,
			    const struct doc_customer *customer)
{
	struct dd_object *object =
		dd_add_object(list, NULL, "customer", customer->name);

	dd_add_number(object, "keys", customer->key_count);
	dd_last_field(object)->listed_only = true;
	dd_add_milli(object, "quota.requests_per_s", customer->rate_milli,
		     "none");
	dd_add_milli(object, "quota.burst", customer->burst_milli, "none");
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
	dd_add_zones(object, "remote_zones", document, service->remote_zones);
	dd_add_bool(object, "public", service->is_public);
	dd_last_field(object)->compared_only = !service->is_public;
	dd_add_milli(object, "warmup_per_s", service->warmup_milli_per_s,
		     "none");
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
	dd_add_zones(top, "evacuated_zones", document,
		     dd_evacuated_zones(document));
	dd_last_field(top)->compared_only = !dd_evacuated_zones(document);
	for (uint32_t i = 0; i < document->zone_count; i++)
		dd_add_object(list, NULL, "zone", document->zones[i]);
	for (uint32_t i = 0;
	     document->customers && i < document->customers->count; i++)
		dd_add_customer(list, &document->customers->rows[i]);
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

		if (!field->compared_only)
			g_string_append_printf(out, "%s%s %s",
					       out->len ? ", " : "",
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

		if (!to->listed_only && strcmp(from->value, to->value))
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

static bool dd_has_key(const struct doc_customers *customers, uint32_t index,
		       const char *key)
{
	return doc_customers_find(customers, key, strlen(key)) == index;
}

/* Appends how many keys the customer at INDEX has that OTHER lacks. */
static uint32_t dd_append_keys(GString *out, const char *change,
			       const struct doc_customers *customers,
			       uint32_t index,
			       const struct doc_customers *other,
			       uint32_t other_index)
{
	const struct doc_customer *customer = &customers->rows[index];
	GString *digests = g_string_new(NULL);
	char digest[DOC_KEY_DIGEST_BYTES];
	uint32_t count = 0;

	for (uint32_t i = 0; i < customer->key_count; i++) {
		if (dd_has_key(other, other_index, customer->keys[i]))
			continue;
		doc_key_digest(customer->keys[i], digest);
		if (count++ < DD_MAX_KEYS)
			g_string_append_printf(digests, " #%s", digest);
	}
	if (count)
		g_string_append_printf(out, ", %u %s:%s%s", count, change,
				       digests->str,
				       count > DD_MAX_KEYS ? " ..." : "");
	g_string_free(digests, TRUE);
	return count;
}

/* Keys are compared by value and shown by digest. */
static void dd_compare_keys(GPtrArray *changes, const struct doc_customers *old,
			    uint32_t old_index, const struct doc_customers *new,
			    uint32_t new_index)
{
	const struct doc_customer *customer = &new->rows[new_index];
	char *path = g_strconcat("customer ", customer->name, NULL);
	char *from = g_strdup_printf("%u", old->rows[old_index].key_count);
	GString *to = g_string_new(NULL);
	uint32_t count;

	g_string_append_printf(to, "%u", customer->key_count);
	count = dd_append_keys(to, "added", new, new_index, old, old_index);
	count += dd_append_keys(to, "removed", old, old_index, new, new_index);
	if (count)
		dd_add_change(changes, DOC_CHANGED, path, "keys", from,
			      to->str);
	g_string_free(to, TRUE);
	g_free(from);
	g_free(path);
}

static void dd_compare_customers(GPtrArray *changes,
				 const struct doc_customers *old,
				 const struct doc_customers *new)
{
	GHashTable *names;

	if (!old || !new)
		return;
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < old->count; i++)
		g_hash_table_insert(names, old->rows[i].name,
				    GUINT_TO_POINTER(i + 1));
	for (uint32_t i = 0; i < new->count; i++) {
		guint before = GPOINTER_TO_UINT(
			g_hash_table_lookup(names, new->rows[i].name));

		if (before)
			dd_compare_keys(changes, old, before - 1, new, i);
	}
	g_hash_table_destroy(names);
}

/* The first list of customers closes every service, the last one opens them. */
static void dd_compare_need_of_keys(GPtrArray *changes,
				    const struct doc_document *old,
				    const struct doc_document *new)
{
	if (!old->customers == !new->customers)
		return;
	dd_add_change(changes, DOC_CHANGED, "document", "calls need keys",
		      old->customers ? "true" : "false",
		      new->customers ? "true" : "false");
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
	if (old && new) {
		dd_compare_rule_orders(changes, old, new);
		dd_compare_need_of_keys(changes, old, new);
		dd_compare_customers(changes, old->customers, new->customers);
	}
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
