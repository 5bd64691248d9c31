#include "admin/form.h"

#include <string.h>

/* Keys of customers in forms, which show those in force by digest only. */

#define FM_DIGEST_MARK "#"

/* Text that replaces ITEM, or NULL; g_free it. */
typedef char *fm_replace_fn(const void *ctx, const char *item);

static void fm_replace_items(struct fm_node *node, uint32_t field,
			     fm_replace_fn *replace, const void *ctx)
{
	char **items = g_strsplit(node->values[field], ",", 0);

	for (char **item = items; *item; item++) {
		char *other = replace(ctx, g_strstrip(*item));

		if (!other)
			continue;
		g_free(*item);
		*item = other;
	}
	g_free(node->values[field]);
	node->values[field] = g_strjoinv(", ", items);
	g_strfreev(items);
}

static void fm_replace_keys(struct fm_node *node, fm_replace_fn *replace,
			    const void *ctx)
{
	for (uint32_t i = 0; i < node->type->field_count; i++)
		if (node->type->fields[i].kind == FM_KEYS && *node->values[i])
			fm_replace_items(node, i, replace, ctx);
	for (uint32_t i = 0; i < node->type->child_count; i++)
		for (guint k = 0; k < node->children[i]->len; k++)
			fm_replace_keys(g_ptr_array_index(node->children[i], k),
					replace, ctx);
}

static char *fm_digest_of_key(const void *ctx, const char *item)
{
	const struct doc_customers *customers = ctx;
	char digest[DOC_KEY_DIGEST_BYTES];

	if (!g_hash_table_contains(customers->by_key, item))
		return NULL;
	doc_key_digest(item, digest);
	return g_strconcat(FM_DIGEST_MARK, digest, NULL);
}

void fm_hide_keys(struct fm_node *root, const struct doc_customers *customers)
{
	if (customers)
		fm_replace_keys(root, fm_digest_of_key, customers);
}

static char *fm_key_of_digest(const void *ctx, const char *item)
{
	GHashTable *keys = (GHashTable *)ctx;

	if (!g_str_has_prefix(item, FM_DIGEST_MARK))
		return NULL;
	return g_strdup(
		g_hash_table_lookup(keys, item + strlen(FM_DIGEST_MARK)));
}

static GHashTable *fm_index_digests(const struct doc_customers *customers)
{
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char digest[DOC_KEY_DIGEST_BYTES];

	for (uint32_t i = 0; i < customers->count; i++) {
		const struct doc_customer *customer = &customers->rows[i];

		for (uint32_t k = 0; k < customer->key_count; k++) {
			doc_key_digest(customer->keys[k], digest);
			g_hash_table_insert(keys, g_strdup(digest),
					    customer->keys[k]);
		}
	}
	return keys;
}

void fm_show_keys(struct fm_node *root, const struct doc_customers *customers)
{
	GHashTable *keys;

	if (!customers)
		return;
	keys = fm_index_digests(customers);
	fm_replace_keys(root, fm_key_of_digest, keys);
	g_hash_table_destroy(keys);
}
