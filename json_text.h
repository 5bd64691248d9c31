#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <stdbool.h>
#include <stddef.h>
#include <jansson.h>

/*
 * JSON from bytes that may not be UTF-8. jansson refuses such strings, and
 * json_pack then returns NULL.
 *
 * jt_string - a JSON string; invalid sequences become U+FFFD. NULL gives "".
 * jt_string_n - the same for TEXT_BYTES bytes; ends at a NUL byte.
 * Source: json_text.c
 */
json_t *jt_string(const char *text);
json_t *jt_string_n(const char *text, size_t text_bytes);

/* jt_get_string - text of a member, or "" when it is absent or no string. */
const char *jt_get_string(const json_t *object, const char *key);

/* jt_dump - compact JSON; the result is never NULL. Release with free(). */
char *jt_dump(const json_t *value);

/*
 * jt_is_printable - whether TEXT is valid UTF-8 without control characters,
 * so that it can be logged and printed on a terminal.
 */
bool jt_is_printable(const char *text);

#endif
