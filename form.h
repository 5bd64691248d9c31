#ifndef FORM_H
#define FORM_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "yaml_tree.h"

/*
 * The document as a form: a tree of nodes with text fields. It can be read
 * from a document or from submitted parameters, written as YAML, and shown as
 * HTML with every error beside its field. Nothing typed is lost on the way.
 */

enum { FM_MAX_NODES = 50000 };

enum fm_field_kind { FM_TEXT, FM_NUMBER, FM_FLAG, FM_NAMES, FM_POLICY };

/* KEY is the field's name in YAML; "group.name" is inside a mapping. */
struct fm_field {
	const char *key;
	const char *label;
	enum fm_field_kind kind;
};

/* Kind of a node; its children are lists named by the child type's name. */
struct fm_node_type {
	const char *name;
	const char *title;
	const struct fm_field *fields;
	uint32_t field_count;
	const struct fm_node_type *const *children;
	uint32_t child_count;
};

struct fm_node {
	const struct fm_node_type *type;
	char **values;
	char **errors;
	uint32_t *field_lines; /* in the YAML text that fm_to_yaml wrote last */
	uint32_t first_line;
	GPtrArray **children;
};

/* fm_new, fm_free - an empty document form. Source: form.c */
struct fm_node *fm_new(void);
void fm_free(struct fm_node *root);

/*
 * fm_from_yaml - form of a document that was checked before. Returns NULL and
 * sets an error row when it has a field that no form field can hold.
 */
struct fm_node *fm_from_yaml(const char *text, size_t text_bytes,
			     struct ym_errors *errors);

/* fm_from_params - form of submitted parameters; NULL when too large. */
struct fm_node *fm_from_params(GHashTable *params);

/* fm_to_yaml - the document text; empty fields are left out. */
GString *fm_to_yaml(struct fm_node *root);

/*
 * fm_place_errors - put each error beside the field it is about. What belongs
 * to no field is appended to REST, a line each.
 */
void fm_place_errors(struct fm_node *root, const struct ym_errors *errors,
		     GString *unplaced);

/*
 * fm_add_node, fm_remove_node - change a list. PATH is "services" or
 * "services.0.servers" for fm_add_node, "services.0.servers.2" for fm_remove_node.
 * Return false when there is no such place.
 */
bool fm_add_node(struct fm_node *root, const char *path);
bool fm_remove_node(struct fm_node *root, const char *path);

/* fm_to_html - input fields and buttons, without the form element. */
void fm_to_html(struct fm_node *root, GString *out);

#endif
