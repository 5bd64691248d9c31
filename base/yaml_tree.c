#include "base/yaml_tree.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

#include "base/json_text.h"

enum { YM_MILLI = 1000 };

struct ym_reader {
	yaml_parser_t parser;
	struct ym_errors *errors;
};

static struct ym_node *ym_read_node(struct ym_reader *reader,
				    yaml_event_t *event, uint32_t depth);

void ym_errors_init(struct ym_errors *errors)
{
	errors->rows = g_new0(struct ym_error, YM_MAX_ERRORS);
	errors->count = 0;
}

void ym_errors_free(struct ym_errors *errors)
{
	g_free(errors->rows);
	errors->rows = NULL;
}

/* The row for a new error, or a discarded one when all rows are taken. */
static struct ym_error *ym_next_error(struct ym_errors *errors)
{
	static struct ym_error discarded;

	if (errors->count++ < YM_MAX_ERRORS)
		return &errors->rows[errors->count - 1];
	return &discarded;
}

void ym_error(struct ym_errors *errors, const struct ym_node *node,
	      const char *field, const char *fmt, ...)
{
	struct ym_error *error = ym_next_error(errors);
	va_list ap;

	error->line = node ? node->line : 0;
	g_strlcpy(error->field, field ? field : "", sizeof(error->field));
	va_start(ap, fmt);
	vsnprintf(error->msg, sizeof(error->msg), fmt, ap);
	va_end(ap);
}

void ym_errors_print(const struct ym_errors *errors, GString *out)
{
	uint32_t shown = MIN(errors->count, YM_MAX_ERRORS);

	for (uint32_t i = 0; i < shown; i++) {
		const struct ym_error *error = &errors->rows[i];

		g_string_append_printf(out, "line %u: %s%s%s\n", error->line,
				       error->field, *error->field ? ": " : "",
				       error->msg);
	}
	if (errors->count > shown)
		g_string_append_printf(out, "and %u more errors\n",
				       errors->count - shown);
}

json_t *ym_errors_json(const struct ym_errors *errors)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < MIN(errors->count, YM_MAX_ERRORS); i++) {
		const struct ym_error *error = &errors->rows[i];

		json_array_append_new(list, json_pack("{s:i, s:o, s:o}", "line",
						      (int)error->line, "field",
						      jt_string(error->field),
						      "message",
						      jt_string(error->msg)));
	}
	return list;
}

static void ym_parser_error(struct ym_reader *reader, uint32_t line,
			    const char *msg)
{
	struct ym_node at = { .line = line };

	ym_error(reader->errors, &at, NULL, "%s", msg);
}

static bool ym_next_event(struct ym_reader *reader, yaml_event_t *event)
{
	const char *problem;

	if (yaml_parser_parse(&reader->parser, event))
		return true;
	problem = reader->parser.problem;
	ym_parser_error(reader, (uint32_t)reader->parser.problem_mark.line + 1,
			problem ? problem : "invalid YAML");
	memset(event, 0, sizeof(*event));
	return false;
}

static struct ym_node *ym_new_node(enum ym_type type, const yaml_event_t *event)
{
	struct ym_node *node = g_new0(struct ym_node, 1);

	node->type = type;
	node->line = (uint32_t)event->start_mark.line + 1;
	node->children = g_ptr_array_new();
	return node;
}

void ym_free(struct ym_node *node)
{
	if (!node)
		return;
	for (guint i = 0; i < node->children->len; i++)
		ym_free(g_ptr_array_index(node->children, i));
	g_ptr_array_free(node->children, TRUE);
	g_free(node->key);
	g_free(node->value);
	g_free(node);
}

static struct ym_node *ym_find_child(struct ym_node *map, const char *key)
{
	for (guint i = 0; i < map->children->len; i++) {
		struct ym_node *child = g_ptr_array_index(map->children, i);

		if (!strcmp(child->key, key))
			return child;
	}
	return NULL;
}

static bool ym_read_sequence(struct ym_reader *reader, struct ym_node *node,
			     uint32_t depth)
{
	for (;;) {
		yaml_event_t event;
		struct ym_node *child;

		if (!ym_next_event(reader, &event))
			return false;
		if (event.type == YAML_SEQUENCE_END_EVENT) {
			yaml_event_delete(&event);
			return true;
		}
		child = ym_read_node(reader, &event, depth);
		yaml_event_delete(&event);
		if (!child)
			return false;
		g_ptr_array_add(node->children, child);
	}
}

static bool ym_read_entry(struct ym_reader *reader, struct ym_node *node,
			  const yaml_event_t *key_event, uint32_t depth)
{
	const char *key = (const char *)key_event->data.scalar.value;
	uint32_t line = (uint32_t)key_event->start_mark.line + 1;
	yaml_event_t event;
	struct ym_node *child;

	if (key_event->type != YAML_SCALAR_EVENT) {
		ym_parser_error(reader, line, "a field name must be a scalar");
		return false;
	}
	if (strlen(key) != key_event->data.scalar.length) {
		ym_parser_error(reader, line, "NUL byte in a field name");
		return false;
	}
	if (!ym_next_event(reader, &event))
		return false;
	child = ym_read_node(reader, &event, depth);
	yaml_event_delete(&event);
	if (!child)
		return false;
	child->key = g_strdup(key);
	child->line = line;
	if (ym_find_child(node, key))
		ym_error(reader->errors, child, key, "field given twice");
	g_ptr_array_add(node->children, child);
	return true;
}

static bool ym_read_mapping(struct ym_reader *reader, struct ym_node *node,
			    uint32_t depth)
{
	for (;;) {
		yaml_event_t event;
		bool ok;

		if (!ym_next_event(reader, &event))
			return false;
		if (event.type == YAML_MAPPING_END_EVENT) {
			yaml_event_delete(&event);
			return true;
		}
		ok = ym_read_entry(reader, node, &event, depth);
		yaml_event_delete(&event);
		if (!ok)
			return false;
	}
}

static struct ym_node *ym_read_scalar(struct ym_reader *reader,
				      yaml_event_t *event)
{
	struct ym_node *node = ym_new_node(YM_SCALAR, event);

	node->value = g_strndup((const char *)event->data.scalar.value,
				event->data.scalar.length);
	if (strlen(node->value) != event->data.scalar.length)
		ym_error(reader->errors, node, NULL, "NUL byte in a value");
	return node;
}

static struct ym_node *ym_read_node(struct ym_reader *reader,
				    yaml_event_t *event, uint32_t depth)
{
	uint32_t line = (uint32_t)event->start_mark.line + 1;
	struct ym_node *node;
	bool ok;

	if (depth == YM_MAX_DEPTH) {
		ym_parser_error(reader, line, "nested too deeply");
		return NULL;
	}
	if (event->type == YAML_SCALAR_EVENT)
		return ym_read_scalar(reader, event);
	if (event->type == YAML_SEQUENCE_START_EVENT) {
		node = ym_new_node(YM_SEQUENCE, event);
		ok = ym_read_sequence(reader, node, depth + 1);
	} else if (event->type == YAML_MAPPING_START_EVENT) {
		node = ym_new_node(YM_MAPPING, event);
		ok = ym_read_mapping(reader, node, depth + 1);
	} else {
		ym_parser_error(reader, line, "aliases are not supported");
		return NULL;
	}
	if (ok)
		return node;
	ym_free(node);
	return NULL;
}

static struct ym_node *ym_read_root(struct ym_reader *reader)
{
	yaml_event_t event;
	struct ym_node *root = NULL;

	/* The first two events are the start of the stream and document. */
	for (int i = 0; i < 2; i++) {
		if (!ym_next_event(reader, &event))
			return NULL;
		yaml_event_delete(&event);
	}
	if (!ym_next_event(reader, &event))
		return NULL;
	if (event.type == YAML_MAPPING_START_EVENT)
		root = ym_read_node(reader, &event, 0);
	else
		ym_parser_error(reader, 1, "the text must be a mapping");
	yaml_event_delete(&event);
	if (!root || !ym_next_event(reader, &event))
		return root;
	yaml_event_delete(&event);
	if (!ym_next_event(reader, &event))
		return root;
	if (event.type != YAML_STREAM_END_EVENT)
		ym_parser_error(reader, (uint32_t)event.start_mark.line + 1,
				"only one YAML document is allowed");
	yaml_event_delete(&event);
	return root;
}

struct ym_node *ym_parse(const char *text, size_t text_bytes,
			 struct ym_errors *errors)
{
	struct ym_reader reader = { .errors = errors };
	uint32_t errors_before = errors->count;
	struct ym_node *root;

	if (text_bytes > YM_MAX_TEXT_BYTES) {
		ym_error(errors, NULL, NULL, "larger than %d bytes",
			 YM_MAX_TEXT_BYTES);
		return NULL;
	}
	if (!yaml_parser_initialize(&reader.parser)) {
		ym_error(errors, NULL, NULL, "out of memory");
		return NULL;
	}
	yaml_parser_set_input_string(&reader.parser,
				     (const unsigned char *)text, text_bytes);
	root = ym_read_root(&reader);
	yaml_parser_delete(&reader.parser);
	if (errors->count == errors_before)
		return root;
	ym_free(root);
	return NULL;
}

struct ym_node *ym_get(struct ym_node *map, const char *key)
{
	struct ym_node *node = ym_find_child(map, key);

	if (node)
		node->used = true;
	return node;
}

struct ym_node *ym_optional(struct ym_node *map, const char *key,
			    enum ym_type type, struct ym_errors *errors)
{
	static const char *const names[] = { "a scalar", "a list",
					     "a mapping" };
	struct ym_node *node = ym_get(map, key);

	if (!node || node->type == type)
		return node;
	ym_error(errors, node, key, "must be %s", names[type]);
	return NULL;
}

struct ym_node *ym_need(struct ym_node *map, const char *key, enum ym_type type,
			struct ym_errors *errors)
{
	if (!ym_find_child(map, key))
		ym_error(errors, map, key, "missing");
	return ym_optional(map, key, type, errors);
}

static bool ym_parse_uint(const char *text, uint64_t *out)
{
	char *end;

	if (!g_ascii_isdigit(*text))
		return false;
	errno = 0;
	*out = strtoull(text, &end, 10);
	return !errno && !*end;
}

uint64_t ym_uint(struct ym_node *map, const char *key, uint64_t min,
		 uint64_t max, uint64_t fallback, struct ym_errors *errors)
{
	struct ym_node *node = ym_optional(map, key, YM_SCALAR, errors);
	uint64_t value;

	if (!node)
		return fallback;
	if (ym_parse_uint(node->value, &value) && value >= min && value <= max)
		return value;
	ym_error(errors, node, key,
		 "\"%.40s\" is not a whole number from %" G_GUINT64_FORMAT
		 " to %" G_GUINT64_FORMAT,
		 node->value, min, max);
	return fallback;
}

uint64_t ym_need_uint(struct ym_node *map, const char *key, uint64_t min,
		      uint64_t max, struct ym_errors *errors)
{
	if (!ym_find_child(map, key))
		ym_error(errors, map, key, "missing");
	return ym_uint(map, key, min, max, min, errors);
}

/* Reads "12", "12.5" or "0.125" as thousandths. */
static bool ym_parse_milli(const char *text, uint64_t *out)
{
	uint32_t unit = YM_MILLI;
	char *end;

	if (!g_ascii_isdigit(*text))
		return false;
	errno = 0;
	*out = strtoull(text, &end, 10);
	if (errno || *out > UINT32_MAX)
		return false;
	*out *= YM_MILLI;
	if (*end == '.' && !end[1])
		return false;
	if (*end == '.')
		end++;
	for (; g_ascii_isdigit(*end) && unit > 1; end++) {
		unit /= 10;
		*out += (uint64_t)(*end - '0') * unit;
	}
	return !*end;
}

uint32_t ym_milli(struct ym_node *map, const char *key, uint32_t min,
		  uint32_t max, uint32_t fallback, struct ym_errors *errors)
{
	struct ym_node *node = ym_optional(map, key, YM_SCALAR, errors);
	uint64_t value;

	if (!node)
		return fallback;
	if (ym_parse_milli(node->value, &value) && value >= min && value <= max)
		return (uint32_t)value;
	ym_error(errors, node, key,
		 "\"%.40s\" is not a number from %.10g to %.10g with at most 3 "
		 "decimals",
		 node->value, (double)min / YM_MILLI, (double)max / YM_MILLI);
	return fallback;
}

bool ym_bool(struct ym_node *map, const char *key, bool fallback,
	     struct ym_errors *errors)
{
	struct ym_node *node = ym_optional(map, key, YM_SCALAR, errors);

	if (!node)
		return fallback;
	if (!strcmp(node->value, "true"))
		return true;
	if (!strcmp(node->value, "false"))
		return false;
	ym_error(errors, node, key, "must be true or false");
	return fallback;
}

const char *ym_string(struct ym_node *map, const char *key,
		      const char *fallback, struct ym_errors *errors)
{
	struct ym_node *node;

	if (!fallback && !ym_find_child(map, key))
		ym_error(errors, map, key, "missing");
	node = ym_optional(map, key, YM_SCALAR, errors);
	if (!node)
		return fallback ? fallback : "";
	if (!*node->value && !fallback)
		ym_error(errors, node, key, "must not be empty");
	return node->value;
}

void ym_check_unused(struct ym_node *map, struct ym_errors *errors)
{
	for (guint i = 0; i < map->children->len; i++) {
		struct ym_node *child = g_ptr_array_index(map->children, i);

		if (!child->used)
			ym_error(errors, child, child->key, "unknown field");
	}
}
