#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stdint.h>
#include <glib.h>

/*
 * Names of any length. All holders of the same name share one copy, so that a name
 * costs a pointer for each of them, and equal names have equal pointers.
 */

/* tx_new - a reference to the name TEXT. tx_ref - one more; NAME may be NULL. */
static inline char *tx_new(const char *text)
{
	return g_ref_string_new_intern(text);
}

static inline char *tx_ref(char *name)
{
	return name ? g_ref_string_acquire(name) : NULL;
}

/* tx_unref - give up a reference; NAME may be NULL. */
static inline void tx_unref(char *name)
{
	if (name)
		g_ref_string_release(name);
}

/* tx_set - replace the reference at AT, which may be NULL, by one to TEXT. */
static inline void tx_set(char **at, const char *text)
{
	char *name = tx_new(text);

	tx_unref(*at);
	*at = name;
}

/*
 * A list of different names that keep their index.
 *
 * tx_list_init, tx_list_free - on memory of the caller.
 * tx_list_index - index of NAME, which is added if it is new. Source: base/text.c
 */
struct tx_list {
	GPtrArray *names;
	GHashTable *indices; /* index + 1, by the pointer of the name */
};

void tx_list_init(struct tx_list *list);
void tx_list_free(struct tx_list *list);
uint32_t tx_list_index(struct tx_list *list, char *name);

static inline uint32_t tx_list_count(const struct tx_list *list)
{
	return list->names->len;
}

static inline char *tx_list_name(const struct tx_list *list, uint32_t index)
{
	return g_ptr_array_index(list->names, index);
}

#endif
