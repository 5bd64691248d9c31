#ifndef BASE_YAML_TREE_H
#define BASE_YAML_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "base/status.h"

/*
 * YAML text as a tree with line numbers, and functions that read fields from
 * it. They collect every error with its line and field instead of stopping at
 * the first.
 */
enum ym_type { YM_SCALAR, YM_SEQUENCE, YM_MAPPING };

enum { YM_MAX_DEPTH = 16, YM_MAX_TEXT_BYTES = 4 << 20 };

struct ym_node {
	enum ym_type type;
	uint32_t line;
	char *key; /* in a mapping, else NULL */
	char *value; /* of a scalar, else NULL */
	bool used; /* was looked up by ym_get or another reader */
	GPtrArray *children;
};

struct ym_error {
	uint32_t line; /* from 1; 0: about the whole text */
	char field[96]; /* "" when the error is about no field */
	char msg[160];
};

enum { YM_MAX_ERRORS = 100 };

/* Errors found so far. Only the first YM_MAX_ERRORS are stored. */
struct ym_errors {
	struct ym_error *rows;
	uint32_t count; /* of all, also those not stored */
};

/*
 * ym_parse - parse TEXT into a tree. The root must be a mapping.
 * Duplicate keys, aliases and nesting deeper than YM_MAX_DEPTH are errors.
 * Returns NULL when it added an error to ERRORS. Source: base/yaml_tree.c
 */
struct ym_node *ym_parse(const char *text, size_t text_bytes,
			 struct ym_errors *errors);
void ym_free(struct ym_node *node);

void ym_errors_init(struct ym_errors *errors);
void ym_errors_free(struct ym_errors *errors);

/*
 * ym_error - add an error on the line of NODE, which may be NULL. FIELD may be
 * NULL when the error is about no field. Long texts are cut.
 */
void ym_error(struct ym_errors *errors, const struct ym_node *node,
	      const char *field, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* ym_errors_json - return an array of {"line","field","message"}. */
json_t *ym_errors_json(const struct ym_errors *errors);

/* ym_errors_print - append "line N: field: message" lines to OUT. */
void ym_errors_print(const struct ym_errors *errors, GString *out);

/*
 * Readers. Each looks up the field KEY of MAP and marks it as used. Fields of
 * a wrong type, values out of range and missing required fields are added to
 * ERRORS.
 *
 * ym_get - of any type; NULL when missing.
 * ym_need, ym_optional - a required, an optional field of TYPE; NULL when
 * missing or of another type.
 * ym_uint, ym_bool - an optional field; FALLBACK when missing or wrong.
 * ym_need_uint - a required field; MIN when missing or wrong.
 * ym_milli - an optional field, a decimal number of at most 3 decimals, in
 * thousandths, like its bounds and FALLBACK.
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
uint32_t ym_milli(struct ym_node *map, const char *key, uint32_t min,
		  uint32_t max, uint32_t fallback, struct ym_errors *errors);
bool ym_bool(struct ym_node *map, const char *key, bool fallback,
	     struct ym_errors *errors);
/*
 * ym_string - an optional field; FALLBACK when missing or wrong. If FALLBACK is
 * NULL, the field is required and must not be empty, and the result is "" when
 * it is missing or wrong. The tree owns the string.
 */
const char *ym_string(struct ym_node *map, const char *key,
		      const char *fallback, struct ym_errors *errors);
/* ym_check_unused - add an error for each field of MAP not marked as used. */
void ym_check_unused(struct ym_node *map, struct ym_errors *errors);

#endif
