#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <jansson.h>

/*
 * JSON strings from text that may not be valid UTF-8. jansson rejects such
 * text, and json_pack then returns NULL.
 *
 * jt_string - a JSON string; invalid sequences become U+FFFD. NULL gives "".
 * jt_string_n - the same for TEXT_BYTES bytes; NUL bytes become U+FFFD too.
 * Source: base/json_text.c
 */
json_t *jt_string(const char *text);
json_t *jt_string_n(const char *text, size_t text_bytes);

/* jt_get_string - text of a member, or "" when it is missing or no string. */
const char *jt_get_string(const json_t *object, const char *key);

/*
 * jt_dump - compact JSON text, "null" when VALUE cannot be dumped. Release with
 * free().
 */
char *jt_dump(const json_t *value);

/*
 * jt_is_printable - whether TEXT is valid UTF-8 without control characters,
 * so that it can be logged and printed on a terminal.
 */
bool jt_is_printable(const char *text);

#endif
