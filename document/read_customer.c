#include "document/reader.h"

#include <string.h>

/* Reads the customers of a YAML document. No error holds a key. */

enum {
	DOC_MILLI = 1000,
	/* All hosts together count a quota by requests, so at least one. */
	DOC_MIN_BURST_MILLI = DOC_MILLI
};

/* The characters of a bearer token (RFC 6750, section 2.1). */
static bool doc_is_key(const char *key)
{
	const char *p = key;

	while (*p && (g_ascii_isalnum(*p) || strchr("-._~+/", *p)))
		p++;
	if (p == key)
		return false;
	while (*p == '=')
		p++;
	return !*p;
}

static void doc_check_key(const struct ym_node *item, struct ym_errors *errors)
{
	const char *key = item->value;

	if (!key || !*key)
		ym_error(errors, item, "keys", "a key must not be empty");
	else if (strlen(key) >= DOC_KEY_BYTES)
		ym_error(errors, item, "keys",
			 "a key is longer than %d characters",
			 DOC_KEY_BYTES - 1);
	else if (!doc_is_key(key))
		ym_error(errors, item, "keys",
			 "a key may only have letters, digits and \"-._~+/\", "
			 "and '=' at its end");
}

static void doc_add_key(struct doc_customers *customers, uint32_t index,
			const struct ym_node *item, struct ym_errors *errors)
{
	uint32_t holder;

	if (doc_customers_add_key(customers, index, item->value))
		return;
	holder =
		doc_customers_find(customers, item->value, strlen(item->value));
	if (holder == index)
		ym_error(errors, item, "keys", "a key is listed twice");
	else
		ym_error(errors, item, "keys",
			 "customer \"%s\" holds a key of this list",
			 customers->rows[holder].name);
}

static void doc_read_keys(struct ym_node *map, struct doc_customers *customers,
			  uint32_t index, struct ym_errors *errors)
{
	struct ym_node *list =
		doc_get_list(map, "keys", false, DOC_MAX_CUSTOMER_KEYS, errors);

	for (guint i = 0; list && i < list->children->len; i++) {
		const struct ym_node *item =
			g_ptr_array_index(list->children, i);

		doc_check_key(item, errors);
		if (item->value && *item->value)
			doc_add_key(customers, index, item, errors);
	}
}

/* Without a burst, a customer may send the requests of a second at once. */
static void doc_read_quota(struct ym_node *map, struct doc_customer *customer,
			   struct ym_errors *errors)
{
	struct ym_node *quota = ym_optional(map, "quota", YM_MAPPING, errors);

	if (!quota)
		return;
	if (!ym_get(quota, "requests_per_s"))
		ym_error(errors, quota, "requests_per_s", "missing");
	customer->rate_milli =
		ym_milli(quota, "requests_per_s", 1, DOC_MAX_MILLI, 1, errors);
	customer->burst_milli = ym_milli(
		quota, "burst", DOC_MIN_BURST_MILLI, DOC_MAX_MILLI,
		MAX(customer->rate_milli, DOC_MIN_BURST_MILLI), errors);
	ym_check_unused(quota, errors);
}

static void doc_read_customer(struct ym_node *map,
			      struct doc_customers *customers, uint32_t index,
			      struct ym_errors *errors)
{
	struct doc_customer *customer = &customers->rows[index];

	doc_read_text(map, "name", &customer->name, errors);
	doc_read_keys(map, customers, index, errors);
	doc_read_quota(map, customer, errors);
	ym_check_unused(map, errors);
}

/*
 * An empty list is refused: a form leaves it out, and without the list calls need
 * no key. Customers without keys state that nobody may call.
 */
void doc_read_customers(struct ym_node *root, struct doc_document *document,
			struct ym_errors *errors)
{
	struct ym_node *list = doc_get_list(root, "customers", false,
					    DOC_MAX_CUSTOMERS, errors);
	struct doc_customers *customers;
	GHashTable *seen;

	if (!list)
		return;
	if (!list->children->len)
		ym_error(errors, list, "customers", "must not be empty");
	seen = doc_new_name_set();
	customers = doc_customers_new(list->children->len);
	document->customers = customers;
	for (guint i = 0; i < list->children->len; i++) {
		struct ym_node *map = g_ptr_array_index(list->children, i);

		customers->rows[i].name = tx_new("");
		if (!doc_check_mapping(map, "customers", errors))
			continue;
		doc_read_customer(map, customers, i, errors);
		doc_check_unique(seen, customers->rows[i].name, map, "name",
				 errors);
	}
	g_hash_table_destroy(seen);
}
