#include "admin/form.h"

#include <stdlib.h>
#include <string.h>

#include "core/core.h"

#define FM_COUNT(a) ((uint32_t)(sizeof(a) / sizeof((a)[0])))

static const struct fm_field fm_rule_fields[] = {
	{ "method", "Method", FM_TEXT },
	{ "path", "Path prefix", FM_TEXT },
	{ "idempotent", "Idempotent", FM_FLAG },
	{ "deadline_ms", "Deadline, ms", FM_NUMBER },
};

static const struct fm_field fm_server_fields[] = {
	{ "name", "Name", FM_TEXT },
	{ "address", "Address", FM_TEXT },
	{ "zone", "Zone", FM_TEXT },
	{ "slots", "Slots", FM_NUMBER },
	{ "connections", "Connections", FM_NUMBER },
	{ "leaving", "Leaving", FM_FLAG },
};

static const struct fm_field fm_service_fields[] = {
	{ "name", "Name", FM_TEXT },
	{ "route", "Route", FM_TEXT },
	{ "public", "Public, without keys", FM_FLAG },
	{ "remote_zones", "Zones without own servers", FM_NAMES },
	{ "policy", "Policy", FM_POLICY },
	{ "deadline_ms", "Deadline, ms", FM_NUMBER },
	{ "longest_deadline_ms", "Longest deadline, ms", FM_NUMBER },
	{ "queue_limit", "Queue limit per host", FM_NUMBER },
	{ "retry_percent", "Retries, % of calls", FM_NUMBER },
	{ "warmup_per_s", "Requests/s of a cold server", FM_DECIMAL },
	{ "measuring.requests_per_s", "Measuring, requests/s", FM_NUMBER },
	{ "measuring.bytes_per_s", "Measuring, bytes/s", FM_NUMBER },
	{ "measuring.cross_zone_bytes_per_s", "Measuring, cross-zone bytes/s",
	  FM_NUMBER },
};

static const struct fm_field fm_caller_fields[] = {
	{ "name", "Name", FM_TEXT },
	{ "weight", "Weight", FM_NUMBER },
};

static const struct fm_field fm_customer_fields[] = {
	{ "name", "Name", FM_TEXT },
	{ "keys", "Keys (#... is one in force)", FM_KEYS },
	{ "quota.requests_per_s", "Quota, requests/s", FM_DECIMAL },
	{ "quota.burst", "Burst, requests", FM_DECIMAL },
};

static const struct fm_field fm_root_fields[] = {
	{ "deployment", "Deployment", FM_TEXT },
	{ "latency_weight_percent", "Weight of tail latency, %", FM_NUMBER },
	{ "zones", "Zones", FM_NAMES },
	{ "evacuated_zones", "Evacuated zones", FM_NAMES },
};

static const struct fm_node_type fm_rule_type = {
	"rules", "Rules", fm_rule_fields, FM_COUNT(fm_rule_fields), NULL, 0
};

static const struct fm_node_type fm_server_type = {
	"servers", "Servers", fm_server_fields, FM_COUNT(fm_server_fields),
	NULL,	   0
};

static const struct fm_node_type fm_caller_type = {
	"callers", "Callers", fm_caller_fields, FM_COUNT(fm_caller_fields),
	NULL,	   0
};

static const struct fm_node_type fm_customer_type = {
	"customers",
	"Customers",
	fm_customer_fields,
	FM_COUNT(fm_customer_fields),
	NULL,
	0
};

static const struct fm_node_type *const fm_service_children[] = {
	&fm_rule_type,
	&fm_server_type,
};

static const struct fm_node_type fm_service_type = {
	"services",	     "Services",
	fm_service_fields,   FM_COUNT(fm_service_fields),
	fm_service_children, FM_COUNT(fm_service_children),
};

static const struct fm_node_type *const fm_root_children[] = {
	&fm_caller_type,
	&fm_customer_type,
	&fm_service_type,
};

static const struct fm_node_type fm_root_type = {
	"",
	"Document",
	fm_root_fields,
	FM_COUNT(fm_root_fields),
	fm_root_children,
	FM_COUNT(fm_root_children),
};

static struct fm_node *fm_node_new(const struct fm_node_type *type)
{
	struct fm_node *node = g_new0(struct fm_node, 1);

	node->type = type;
	node->values = g_new0(char *, type->field_count);
	node->errors = g_new0(char *, type->field_count);
	node->field_lines = g_new0(uint32_t, type->field_count);
	node->children = g_new0(GPtrArray *, type->child_count);
	for (uint32_t i = 0; i < type->field_count; i++)
		node->values[i] = g_strdup("");
	for (uint32_t i = 0; i < type->child_count; i++)
		node->children[i] = g_ptr_array_new();
	return node;
}

struct fm_node *fm_new(void)
{
	return fm_node_new(&fm_root_type);
}

void fm_free(struct fm_node *node)
{
	if (!node)
		return;
	for (uint32_t i = 0; i < node->type->field_count; i++) {
		g_free(node->values[i]);
		g_free(node->errors[i]);
	}
	for (uint32_t i = 0; i < node->type->child_count; i++) {
		for (guint k = 0; k < node->children[i]->len; k++)
			fm_free(g_ptr_array_index(node->children[i], k));
		g_ptr_array_free(node->children[i], TRUE);
	}
	g_free(node->values);
	g_free(node->errors);
	g_free(node->field_lines);
	g_free(node->children);
	g_free(node);
}

static bool fm_is_list(const struct fm_field *field)
{
	return field->kind == FM_NAMES || field->kind == FM_KEYS;
}

static void fm_set_value(struct fm_node *node, uint32_t field,
			 const char *value)
{
	g_free(node->values[field]);
	node->values[field] = g_strdup(value);
}

/* Reading a document */

/* KEY may be "group.name", see struct fm_field. */
static struct ym_node *fm_find_yaml(struct ym_node *map, const char *key)
{
	char **parts = g_strsplit(key, ".", 2);
	struct ym_node *found = ym_get(map, parts[0]);

	if (found && parts[1])
		found = found->type == YM_MAPPING ? ym_get(found, parts[1]) :
						    NULL;
	g_strfreev(parts);
	return found;
}

static void fm_read_yaml_names(struct fm_node *node, uint32_t field,
			       const struct ym_node *list)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < list->children->len; i++) {
		struct ym_node *item = g_ptr_array_index(list->children, i);

		if (i)
			g_string_append(text, ", ");
		if (item->value)
			g_string_append(text, item->value);
	}
	fm_set_value(node, field, text->str);
	g_string_free(text, TRUE);
}

/*
 * Adds an error for each field of MAP, and of the groups in it, that the form
 * lacks. Such a field would be lost when the form is written.
 */
static void fm_check_unused(struct ym_node *map, struct ym_errors *errors)
{
	ym_check_unused(map, errors);
	for (guint i = 0; i < map->children->len; i++) {
		struct ym_node *child = g_ptr_array_index(map->children, i);

		if (child->type == YM_MAPPING)
			ym_check_unused(child, errors);
	}
}

static struct fm_node *fm_read_yaml_node(const struct fm_node_type *type,
					 struct ym_node *map,
					 struct ym_errors *errors)
{
	struct fm_node *node = fm_node_new(type);

	for (uint32_t i = 0; i < type->field_count; i++) {
		struct ym_node *found = fm_find_yaml(map, type->fields[i].key);

		if (found && fm_is_list(&type->fields[i]))
			fm_read_yaml_names(node, i, found);
		else if (found && found->value)
			fm_set_value(node, i, found->value);
	}
	for (uint32_t i = 0; i < type->child_count; i++) {
		struct ym_node *list = ym_get(map, type->children[i]->name);

		for (guint k = 0; list && k < list->children->len; k++)
			g_ptr_array_add(
				node->children[i],
				fm_read_yaml_node(
					type->children[i],
					g_ptr_array_index(list->children, k),
					errors));
	}
	fm_check_unused(map, errors);
	return node;
}

struct fm_node *fm_from_yaml(const char *text, size_t text_bytes,
			     struct ym_errors *errors)
{
	uint32_t errors_before = errors->count;
	struct ym_node *root = ym_parse(text, text_bytes, errors);
	struct fm_node *form;

	if (!root)
		return NULL;
	form = fm_read_yaml_node(&fm_root_type, root, errors);
	ym_free(root);
	if (errors->count == errors_before)
		return form;
	fm_free(form);
	return NULL;
}

/* Reading submitted parameters */

struct fm_params {
	GHashTable *table;
	uint32_t node_count; /* read so far */
};

static struct fm_node *fm_read_param_node(struct fm_params *params,
					  const struct fm_node_type *type,
					  const char *prefix);

/*
 * Every node of a list submits a hidden parameter "LIST.INDEX._", which shows
 * that the node exists.
 */
static void fm_read_param_list(struct fm_params *params, struct fm_node *node,
			       uint32_t child, const char *prefix)
{
	const struct fm_node_type *type = node->type->children[child];

	for (uint32_t k = 0;; k++) {
		char *path = g_strdup_printf("%s%s.%u.", prefix, type->name, k);
		char *marker = g_strconcat(path, "_", NULL);
		bool present = g_hash_table_contains(params->table, marker);

		g_free(marker);
		if (present && params->node_count < FM_MAX_NODES)
			g_ptr_array_add(node->children[child],
					fm_read_param_node(params, type, path));
		g_free(path);
		if (!present || params->node_count >= FM_MAX_NODES)
			return;
	}
}

static struct fm_node *fm_read_param_node(struct fm_params *params,
					  const struct fm_node_type *type,
					  const char *prefix)
{
	struct fm_node *node = fm_node_new(type);

	params->node_count++;
	for (uint32_t i = 0; i < type->field_count; i++) {
		char *name = g_strconcat(prefix, type->fields[i].key, NULL);
		const char *value = g_hash_table_lookup(params->table, name);

		if (value)
			fm_set_value(node, i, value);
		g_free(name);
	}
	for (uint32_t i = 0; i < type->child_count; i++)
		fm_read_param_list(params, node, i, prefix);
	return node;
}

struct fm_node *fm_from_params(GHashTable *table)
{
	struct fm_params params = { table, 0 };
	struct fm_node *root = fm_read_param_node(&params, &fm_root_type, "");

	if (params.node_count < FM_MAX_NODES)
		return root;
	fm_free(root);
	return NULL;
}

/* Writing YAML */

struct fm_writer {
	GString *out;
	uint32_t line; /* being written, from 1 */
};

static void fm_end_line(struct fm_writer *writer)
{
	g_string_append_c(writer->out, '\n');
	writer->line++;
}

/* Whether YAML needs no quotes around TEXT. */
static bool fm_is_plain_scalar(const char *text)
{
	if (!g_ascii_isalnum(*text) && *text != '/')
		return false;
	for (const char *p = text; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("/-_.", *p))
			return false;
	return true;
}

static void fm_write_scalar(struct fm_writer *writer, const char *text)
{
	GString *out = writer->out;

	if (fm_is_plain_scalar(text)) {
		g_string_append(out, text);
		return;
	}
	g_string_append_c(out, '"');
	for (const unsigned char *p = (const unsigned char *)text; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(out, "\\%c", *p);
		else if (*p < ' ' || *p == 0x7f)
			g_string_append_printf(out, "\\x%02x", *p);
		else
			g_string_append_c(out, (char)*p);
	}
	g_string_append_c(out, '"');
}

static void fm_write_names(struct fm_writer *writer, const char *text)
{
	char **names = g_strsplit(text, ",", 0);
	bool first = true;

	g_string_append_c(writer->out, '[');
	for (char **name = names; *name; name++) {
		g_strstrip(*name);
		if (!**name)
			continue;
		if (!first)
			g_string_append(writer->out, ", ");
		first = false;
		fm_write_scalar(writer, *name);
	}
	g_string_append_c(writer->out, ']');
	g_strfreev(names);
}

/* Indents a line of NODE. The first line of a node in a list gets a dash. */
static void fm_begin_line(struct fm_writer *writer, struct fm_node *node,
			  uint32_t depth)
{
	bool dash = depth && !node->first_line;

	if (!node->first_line)
		node->first_line = writer->line;
	for (uint32_t i = 0; i + (dash ? 1 : 0) < depth; i++)
		g_string_append(writer->out, "  ");
	if (dash)
		g_string_append(writer->out, "- ");
}

static void fm_write_value(struct fm_writer *writer, struct fm_node *node,
			   uint32_t field, const char *key)
{
	g_string_append_printf(writer->out, "%s: ", key);
	if (fm_is_list(&node->type->fields[field]))
		fm_write_names(writer, node->values[field]);
	else
		fm_write_scalar(writer, node->values[field]);
	node->field_lines[field] = writer->line;
	fm_end_line(writer);
}

static void fm_write_fields(struct fm_writer *writer, struct fm_node *node,
			    uint32_t depth)
{
	char *group = NULL;

	for (uint32_t i = 0; i < node->type->field_count; i++) {
		const char *key = node->type->fields[i].key;
		const char *dot = strchr(key, '.');
		size_t group_len = dot ? (size_t)(dot - key) : 0;

		if (!*node->values[i])
			continue;
		if (dot && (!group || strncmp(group, key, group_len) != 0)) {
			g_free(group);
			group = g_strndup(key, group_len);
			fm_begin_line(writer, node, depth);
			g_string_append_printf(writer->out, "%s:", group);
			fm_end_line(writer);
		}
		fm_begin_line(writer, node, depth + (dot ? 1 : 0));
		fm_write_value(writer, node, i, dot ? dot + 1 : key);
	}
	g_free(group);
}

static void fm_write_node(struct fm_writer *writer, struct fm_node *node,
			  uint32_t depth)
{
	node->first_line = 0;
	memset(node->field_lines, 0,
	       node->type->field_count * sizeof(node->field_lines[0]));
	fm_write_fields(writer, node, depth);
	for (uint32_t i = 0; i < node->type->child_count; i++) {
		GPtrArray *list = node->children[i];

		if (!list->len)
			continue;
		fm_begin_line(writer, node, depth);
		g_string_append_printf(writer->out,
				       "%s:", node->type->children[i]->name);
		fm_end_line(writer);
		for (guint k = 0; k < list->len; k++)
			fm_write_node(writer, g_ptr_array_index(list, k),
				      depth + 2);
	}
	if (node->first_line)
		return;
	fm_begin_line(writer, node, depth);
	g_string_append(writer->out, "{}");
	fm_end_line(writer);
}

GString *fm_to_yaml(struct fm_node *root)
{
	struct fm_writer writer = { g_string_new(NULL), 1 };

	fm_write_node(&writer, root, 0);
	return writer.out;
}

/* Errors */

static const char *fm_last_part(const char *key)
{
	const char *dot = strrchr(key, '.');

	return dot ? dot + 1 : key;
}

/*
 * An error matches a field on whose line it is, unless it names another field.
 * An error about a missing field is on the first line of the node.
 */
static bool fm_error_matches_field(const struct fm_node *node, uint32_t field,
				   const struct ym_error *error)
{
	bool same_name = !strcmp(fm_last_part(node->type->fields[field].key),
				 error->field);

	if (!error->line)
		return false;
	if (node->field_lines[field] == error->line)
		return same_name || !*error->field;
	return same_name && node->first_line == error->line;
}

static bool fm_place_error(struct fm_node *node, const struct ym_error *error)
{
	for (uint32_t i = 0; i < node->type->field_count; i++) {
		if (!fm_error_matches_field(node, i, error))
			continue;
		g_free(node->errors[i]);
		node->errors[i] = g_strdup(error->msg);
		return true;
	}
	for (uint32_t i = 0; i < node->type->child_count; i++)
		for (guint k = 0; k < node->children[i]->len; k++)
			if (fm_place_error(
				    g_ptr_array_index(node->children[i], k),
				    error))
				return true;
	return false;
}

void fm_place_errors(struct fm_node *root, const struct ym_errors *errors,
		     GString *unplaced)
{
	uint32_t shown = MIN(errors->count, YM_MAX_ERRORS);

	for (uint32_t i = 0; i < shown; i++) {
		const struct ym_error *error = &errors->rows[i];

		if (!fm_place_error(root, error))
			g_string_append_printf(
				unplaced, "%s%s%s\n", error->field,
				*error->field ? ": " : "", error->msg);
	}
	if (errors->count > shown)
		g_string_append_printf(unplaced, "and %u more errors\n",
				       errors->count - shown);
}

/* Changing lists */

static GPtrArray *fm_find_list(struct fm_node *node, const char *name)
{
	for (uint32_t i = 0; i < node->type->child_count; i++)
		if (!strcmp(node->type->children[i]->name, name))
			return node->children[i];
	return NULL;
}

static const struct fm_node_type *fm_child_type(const struct fm_node *node,
						const char *name)
{
	for (uint32_t i = 0; i < node->type->child_count; i++)
		if (!strcmp(node->type->children[i]->name, name))
			return node->type->children[i];
	return NULL;
}

/*
 * Follows a path from NODE; PARTS holds "list", "index", "list" and so on.
 * Advances PARTS to the name of the last list and returns the node that has
 * this list, or NULL when a list or node on the way does not exist.
 */
static struct fm_node *fm_resolve_path(struct fm_node *node, char ***parts)
{
	char **p = *parts;

	while (p[0] && p[1] && p[2]) {
		GPtrArray *list = fm_find_list(node, p[0]);
		uint64_t i = g_ascii_strtoull(p[1], NULL, 10);

		if (!list || i >= list->len)
			return NULL;
		node = g_ptr_array_index(list, (guint)i);
		p += 2;
	}
	*parts = p;
	return node;
}

bool fm_add_node(struct fm_node *root, const char *path)
{
	char **all = g_strsplit(path, ".", 0);
	char **parts = all;
	struct fm_node *node = fm_resolve_path(root, &parts);
	GPtrArray *list =
		node && parts[0] ? fm_find_list(node, parts[0]) : NULL;

	if (list)
		g_ptr_array_add(list,
				fm_node_new(fm_child_type(node, parts[0])));
	g_strfreev(all);
	return list;
}

bool fm_remove_node(struct fm_node *root, const char *path)
{
	char **all = g_strsplit(path, ".", 0);
	char **parts = all;
	struct fm_node *node = fm_resolve_path(root, &parts);
	GPtrArray *list =
		node && parts[0] ? fm_find_list(node, parts[0]) : NULL;
	uint64_t i = UINT64_MAX;

	if (list && parts[1])
		i = g_ascii_strtoull(parts[1], NULL, 10);
	g_strfreev(all);
	if (!list || i >= list->len)
		return false;
	fm_free(g_ptr_array_index(list, (guint)i));
	g_ptr_array_remove_index(list, (guint)i);
	return true;
}

/* HTML */

static void fm_append_escaped(GString *out, const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	g_string_append(out, escaped);
	g_free(escaped);
}

static void fm_html_option(GString *out, const char *value, const char *label,
			   const char *selected)
{
	g_string_append_printf(out, "<option value=\"%s\"%s>%s</option>", value,
			       strcmp(value, selected) ? "" : " selected",
			       label);
}

static void fm_html_select(GString *out, const struct fm_field *field,
			   const char *name, const char *value)
{
	g_string_append_printf(out, "<select name=\"%s\">", name);
	fm_html_option(out, "", "default", value);
	if (field->kind == FM_FLAG) {
		fm_html_option(out, "true", "yes", value);
		fm_html_option(out, "false", "no", value);
	}
	for (int i = 0; field->kind == FM_POLICY && i < CORE_POLICY_COUNT; i++)
		fm_html_option(out, core_policy_name((enum core_policy)i),
			       core_policy_name((enum core_policy)i), value);
	g_string_append(out, "</select>");
}

static const char *fm_input_mode(enum fm_field_kind kind)
{
	if (kind == FM_NUMBER)
		return " inputmode=\"numeric\"";
	return kind == FM_DECIMAL ? " inputmode=\"decimal\"" : "";
}

static void fm_html_field(GString *out, const struct fm_node *node,
			  uint32_t field, const char *prefix)
{
	const struct fm_field *f = &node->type->fields[field];
	char *name = g_strconcat(prefix, f->key, NULL);

	if (f->kind == FM_FLAG || f->kind == FM_POLICY) {
		fm_html_select(out, f, name, node->values[field]);
	} else {
		g_string_append_printf(out, "<input name=\"%s\" value=\"",
				       name);
		fm_append_escaped(out, node->values[field]);
		g_string_append_printf(out, "\"%s>", fm_input_mode(f->kind));
	}
	if (node->errors[field]) {
		g_string_append(out, "<span class=\"error\">");
		fm_append_escaped(out, node->errors[field]);
		g_string_append(out, "</span>");
	}
	g_free(name);
}

static void fm_html_button(GString *out, const char *action, const char *path,
			   const char *label)
{
	g_string_append_printf(
		out,
		"<button name=\"action\" value=\"%s:%s\" formnovalidate>%s"
		"</button>",
		action, path, label);
}

static void fm_html_node(GString *out, struct fm_node *node,
			 const char *prefix);

/* Writes a list of nodes that have no lists of their own, one row a node. */
static void fm_html_table(GString *out, const struct fm_node_type *type,
			  GPtrArray *list, const char *path)
{
	g_string_append(out, "<table><tr>");
	for (uint32_t i = 0; i < type->field_count; i++)
		g_string_append_printf(out, "<th>%s</th>",
				       type->fields[i].label);
	g_string_append(out, "<th></th></tr>");
	for (guint k = 0; k < list->len; k++) {
		struct fm_node *node = g_ptr_array_index(list, k);
		char *row = g_strdup_printf("%s.%u", path, k);
		char *prefix = g_strconcat(row, ".", NULL);

		g_string_append(out, "<tr>");
		for (uint32_t i = 0; i < type->field_count; i++) {
			g_string_append(out, "<td>");
			fm_html_field(out, node, i, prefix);
			g_string_append(out, "</td>");
		}
		g_string_append_printf(
			out, "<td><input type=\"hidden\" name=\"%s_\">",
			prefix);
		fm_html_button(out, "remove", row, "Remove");
		g_string_append(out, "</td></tr>");
		g_free(prefix);
		g_free(row);
	}
	g_string_append(out, "</table>");
}

/* Writes a list of nodes with all their lists, one fieldset a node. */
static void fm_html_fieldsets(GString *out, GPtrArray *list, const char *path)
{
	for (guint k = 0; k < list->len; k++) {
		struct fm_node *node = g_ptr_array_index(list, k);
		char *row = g_strdup_printf("%s.%u", path, k);
		char *prefix = g_strconcat(row, ".", NULL);

		g_string_append_printf(
			out,
			"<fieldset><legend>%u</legend><input type=\"hidden\" "
			"name=\"%s_\">",
			k + 1, prefix);
		fm_html_node(out, node, prefix);
		fm_html_button(out, "remove", row, "Remove this entry");
		g_string_append(out, "</fieldset>");
		g_free(prefix);
		g_free(row);
	}
}

static void fm_html_node(GString *out, struct fm_node *node, const char *prefix)
{
	g_string_append(out, "<div class=\"fields\">");
	for (uint32_t i = 0; i < node->type->field_count; i++) {
		g_string_append_printf(out, "<label>%s ",
				       node->type->fields[i].label);
		fm_html_field(out, node, i, prefix);
		g_string_append(out, "</label>");
	}
	g_string_append(out, "</div>");
	for (uint32_t i = 0; i < node->type->child_count; i++) {
		const struct fm_node_type *type = node->type->children[i];
		char *path = g_strconcat(prefix, type->name, NULL);

		g_string_append_printf(out, "<h3>%s</h3>", type->title);
		if (type->child_count)
			fm_html_fieldsets(out, node->children[i], path);
		else
			fm_html_table(out, type, node->children[i], path);
		fm_html_button(out, "add", path, "Add");
		g_free(path);
	}
}

void fm_to_html(struct fm_node *root, GString *out)
{
	fm_html_node(out, root, "");
}
