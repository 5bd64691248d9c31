#include "base/text.h"

void tx_list_init(struct tx_list *list)
{
	list->names = g_ptr_array_new_with_free_func((GDestroyNotify)tx_unref);
	list->indices = g_hash_table_new(g_direct_hash, g_direct_equal);
}

void tx_list_free(struct tx_list *list)
{
	g_hash_table_destroy(list->indices);
	g_ptr_array_free(list->names, TRUE);
}

uint32_t tx_list_index(struct tx_list *list, char *name)
{
	guint at = GPOINTER_TO_UINT(g_hash_table_lookup(list->indices, name));

	if (at)
		return at - 1;
	g_ptr_array_add(list->names, tx_ref(name));
	at = list->names->len;
	g_hash_table_insert(list->indices, name, GUINT_TO_POINTER(at));
	return at - 1;
}
