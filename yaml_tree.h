#ifndef YAML_TREE_H
#define YAML_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "status.h"

/*
 * YAML text as a tree that keeps line numbers, and readers that collect every
 * error with its line and field instead of stopping at the first.
 */
enum ym_type { YM_SCALAR, YM_SEQUENCE, YM_MAPPING };

enum { YM_MAX_DEPTH = 16, YM_MAX_TEXT_BYTES = 4 << 20 };

struct ym_node {
	enum ym_type type;
	uint32_t line;
	char *key; /* name within a mapping, else NULL */
	char *value; /* of a scalar */
	bool used; /* a reader has asked for it */
	GPtrArray *children;
};

/* One error of a text. */
struct ym_error {
	uint32_t line;
	char field[96];
	char msg[160];
};

/* Errors found so far; holds at most YM_MAX_ERRORS, counts all. */
enum { YM_MAX_ERRORS = 100 };

struct ym_errors {
	struct ym_error *rows;
	uint32_t count;
};

/*
 * ym_parse - parse TEXT into a tree. The root must be a mapping.
 * Duplicate keys, aliases and depth over YM_MAX_DEPTH are errors.
 * Returns NULL when ERRORS got at least one row. Source: yaml_tree.c
 */
struct ym_node *ym_parse(const char *text, size_t text_bytes,
			 struct ym_errors *errors);
void ym_free(struct ym_node *node);

void ym_errors_init(struct ym_errors *errors);
void ym_errors_free(struct ym_errors *errors);
void ym_error(struct ym_errors *errors, const struct ym_node *node,
	      const char *field, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* ym_errors_print - append "line N: field: message" lines to OUT. */
void ym_errors_print(const struct ym_errors *errors, GString *out);

/*
 * Readers. Each marks the field as used. A missing required field and a value
 * out of range become errors; optional fields take the default.
 */
struct ym_node *ym_get(struct ym_node *map, const char *key);
struct ym_node *ym_need(struct ym_node *map, const char *key, enum ym_type type,
			struct ym_errors *errors);
struct ym_node *ym_optional(struct ym_node *map, const char *key,
			    enum ym_type type, struct ym_errors *errors);
uint64_t ym_uint(struct ym_node *map, const char *key, uint64_t min,
		 uint64_t max, uint64_t fallback, struct ym_errors *errors);
uint64_t ym_need_uint(struct ym_node *map, const char *key, uint64_t min,
		      uint64_t max, struct ym_errors *errors);
bool ym_bool(struct ym_node *map, const char *key, bool fallback,
	     struct ym_errors *errors);
/* The string is owned by the tree. FALLBACK NULL makes the field required. */
const char *ym_string(struct ym_node *map, const char *key,
		      const char *fallback, struct ym_errors *errors);
/* ym_check_unused - every field that no reader asked for is an error. */
void ym_check_unused(struct ym_node *map, struct ym_errors *errors);

#endif
