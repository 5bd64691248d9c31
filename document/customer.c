#include "document/document.h"

#include <string.h>

struct doc_customers *doc_customers_new(uint32_t count)
{
	struct doc_customers *customers = g_new0(struct doc_customers, 1);

	customers->refs = 1;
	customers->rows = g_new0(struct doc_customer, count);
	customers->count = count;
	customers->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	return customers;
}

bool doc_customers_add_key(struct doc_customers *customers, uint32_t index,
			   const char *key)
{
	struct doc_customer *customer = &customers->rows[index];
	char *copy;

	if (g_hash_table_contains(customers->by_key, key))
		return false;
	copy = g_strdup(key);
	customer->keys =
		g_renew(char *, customer->keys, customer->key_count + 1);
	customer->keys[customer->key_count++] = copy;
	g_hash_table_insert(customers->by_key, copy,
			    GUINT_TO_POINTER(index + 1));
	return true;
}

void doc_key_digest(const char *key, char digest[DOC_KEY_DIGEST_BYTES])
{
	char whole[DOC_DIGEST_BYTES];

	doc_digest(key, strlen(key), whole);
	g_strlcpy(digest, whole, DOC_KEY_DIGEST_BYTES);
}

struct doc_customers *doc_customers_ref(struct doc_customers *customers)
{
	if (customers)
		customers->refs++;
	return customers;
}

static void doc_clear_customer(struct doc_customer *customer)
{
	for (uint32_t i = 0; i < customer->key_count; i++)
		g_free(customer->keys[i]);
	g_free(customer->keys);
	tx_unref(customer->name);
}

void doc_customers_unref(struct doc_customers *customers)
{
	if (!customers || --customers->refs)
		return;
	g_hash_table_destroy(customers->by_key);
	for (uint32_t i = 0; i < customers->count; i++)
		doc_clear_customer(&customers->rows[i]);
	g_free(customers->rows);
	g_free(customers);
}

uint32_t doc_customers_find(const struct doc_customers *customers,
			    const char *key, size_t key_bytes)
{
	char *text = g_strndup(key, key_bytes);
	guint at =
		GPOINTER_TO_UINT(g_hash_table_lookup(customers->by_key, text));

	g_free(text);
	return at ? at - 1 : DOC_NO_INDEX;
}

uint32_t doc_customers_find_name(const struct doc_customers *customers,
				 const char *name, size_t name_bytes)
{
	for (uint32_t i = 0; i < customers->count; i++) {
		const char *row = customers->rows[i].name;

		if (strlen(row) == name_bytes && !memcmp(row, name, name_bytes))
			return i;
	}
	return DOC_NO_INDEX;
}
