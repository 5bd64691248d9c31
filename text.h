#ifndef TEXT_H
#define TEXT_H

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

#endif
