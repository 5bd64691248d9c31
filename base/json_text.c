#include "base/json_text.h"

#include <string.h>
#include <glib.h>

json_t *jt_string_n(const char *text, size_t text_bytes)
{
	char *valid = g_utf8_make_valid(text ? text : "", (gssize)text_bytes);
	json_t *string = json_string(valid);

	g_free(valid);
	return string;
}

json_t *jt_string(const char *text)
{
	return jt_string_n(text, text ? strlen(text) : 0);
}

const char *jt_get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

char *jt_dump(const json_t *value)
{
	char *text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY) :
			     NULL;

	return text ? text : strdup("null");
}

bool jt_is_printable(const char *text)
{
	const char *p = text;

	if (!g_utf8_validate(text, -1, NULL))
		return false;
	for (; *p; p = g_utf8_next_char(p))
		if (g_unichar_iscntrl(g_utf8_get_char(p)))
			return false;
	return true;
}
