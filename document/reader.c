#include "document/reader.h"

#include <string.h>

static bool doc_is_name_char(char c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
}

void doc_check_name(struct ym_errors *errors, const struct ym_node *at,
		    const char *field, const char *name)
{
	if (strlen(name) >= DOC_NAME_BYTES)
		ym_error(errors, at, field, "longer than %d characters",
			 DOC_NAME_BYTES - 1);
	for (const char *p = name; *p; p++) {
		if (doc_is_name_char(*p))
			continue;
		ym_error(
			errors, at, field,
			"\"%.40s\" may only have letters, digits, '-', '_' and '.'",
			name);
		return;
	}
}

void doc_read_name(struct ym_node *map, const char *field, char *out,
		   struct ym_errors *errors)
{
	const char *name = ym_string(map, field, NULL, errors);

	doc_check_name(errors, ym_get(map, field), field, name);
	g_strlcpy(out, name, DOC_NAME_BYTES);
}

/* The same for a name of base/text.h. */
void doc_read_text(struct ym_node *map, const char *field, char **out,
		   struct ym_errors *errors)
{
	char name[DOC_NAME_BYTES];

	doc_read_name(map, field, name, errors);
	tx_set(out, name);
}

/* SEEN holds the names of the entries of the same kind read so far. */
void doc_check_unique(GHashTable *seen, const char *name, struct ym_node *map,
		      const char *field, struct ym_errors *errors)
{
	if (*name && !g_hash_table_add(seen, g_strdup(name)))
		ym_error(errors, ym_get(map, field), field,
			 "\"%s\" is used twice", name);
}

GHashTable *doc_new_name_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

bool doc_check_mapping(struct ym_node *node, const char *field,
		       struct ym_errors *errors)
{
	if (node->type == YM_MAPPING)
		return true;
	ym_error(errors, node, field, "every entry must be a mapping");
	return false;
}

struct ym_node *doc_get_list(struct ym_node *map, const char *field,
			     bool required, uint32_t max,
			     struct ym_errors *errors)
{
	struct ym_node *list;

	if (required)
		list = ym_need(map, field, YM_SEQUENCE, errors);
	else
		list = ym_optional(map, field, YM_SEQUENCE, errors);
	if (!list)
		return NULL;
	if (required && !list->children->len)
		ym_error(errors, list, field, "must not be empty");
	if (list->children->len <= max)
		return list;
	ym_error(errors, list, field, "more than %u entries", max);
	return NULL;
}
