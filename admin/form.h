#ifndef ADMIN_FORM_H
#define ADMIN_FORM_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "base/yaml_tree.h"
#include "document/customer.h"

/*
 * The document as a form: a tree of nodes with text fields. It can be read
 * from a document or from submitted parameters, written as YAML, and shown as
 * HTML with every error beside its field. Text fields keep the operator's
 * input, also when it is invalid.
 */

enum { FM_MAX_NODES = 50000 };

/*
 * FM_FLAG is true or false, FM_NAMES a comma-separated list of names, FM_KEYS
 * such a list of keys and FM_POLICY the name of a policy, see core_policy_name.
 */
enum fm_field_kind {
	FM_TEXT,
	FM_NUMBER,
	FM_DECIMAL,
	FM_FLAG,
	FM_NAMES,
	FM_KEYS,
	FM_POLICY
};

/*
 * KEY is the field's key in the YAML text. "group.name" stands for the key NAME
 * in the mapping GROUP.
 */
struct fm_field {
	const char *key;
	const char *label;
	enum fm_field_kind kind;
};

/*
 * Type of a node. A node has one list of nodes for each child type; the name of
 * the child type is the YAML key of the list.
 */
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
	char **values; /* one per field, "" when empty */
	char **errors; /* one per field, NULL without an error */
	/* Lines in the YAML text that fm_to_yaml wrote last; 0: not in it. */
	uint32_t *field_lines;
	uint32_t first_line;
	GPtrArray **children; /* one list per child type */
};

/* fm_new, fm_free - a form of an empty document. Source: admin/form.c */
struct fm_node *fm_new(void);
void fm_free(struct fm_node *root);

/*
 * fm_from_yaml - form of a document. TEXT must be valid for doc_parse, because
 * the types of its YAML nodes are not checked again. Returns NULL and adds an
 * error when TEXT has a field that the form lacks.
 */
struct fm_node *fm_from_yaml(const char *text, size_t text_bytes,
			     struct ym_errors *errors);

/*
 * fm_from_params - form of submitted parameters. Returns NULL when it has
 * FM_MAX_NODES nodes or more.
 */
struct fm_node *fm_from_params(GHashTable *params);

/* fm_to_yaml - text of the document; empty fields are left out. */
GString *fm_to_yaml(struct fm_node *root);

/*
 * fm_place_errors - store each error with the field that it is about. ERRORS
 * must refer to the text that fm_to_yaml wrote last. Errors that belong to no
 * field are appended to UNPLACED, one per line.
 */
void fm_place_errors(struct fm_node *root, const struct ym_errors *errors,
		     GString *unplaced);

/*
 * fm_add_node, fm_remove_node - add an empty node to the end of a list, remove
 * a node from its list. PATH names a list for fm_add_node, such as "services"
 * or "services.0.servers", and a node for fm_remove_node, such as
 * "services.0.servers.2". Return false when PATH does not exist.
 */
bool fm_add_node(struct fm_node *root, const char *path);
bool fm_remove_node(struct fm_node *root, const char *path);

/*
 * fm_hide_keys - replace each key that is in CUSTOMERS by '#' and its digest.
 * fm_show_keys - the inverse. A digest of no key stays, and doc_parse refuses it.
 * CUSTOMERS may be NULL. Source: admin/form_keys.c
 */
void fm_hide_keys(struct fm_node *root, const struct doc_customers *customers);
void fm_show_keys(struct fm_node *root, const struct doc_customers *customers);

/* fm_to_html - input fields and buttons, without the form element. */
void fm_to_html(struct fm_node *root, GString *out);

#endif
