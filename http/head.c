#include "http/httpc.h"

#include <string.h>

/* Heads of requests. */

void hc_head_line(GString *out, const char *method, size_t method_bytes,
		  const char *path, size_t path_bytes)
{
	g_string_append_len(out, method, (gssize)method_bytes);
	g_string_append_c(out, ' ');
	g_string_append_len(out, path, (gssize)path_bytes);
	g_string_append(out, " HTTP/1.1\r\n");
}

GString *hc_head_begin(const char *method, size_t method_bytes,
		       const char *path, size_t path_bytes, const char *host)
{
	GString *out = g_string_sized_new(512);

	hc_head_line(out, method, method_bytes, path, path_bytes);
	hc_head_add(out, "host", strlen("host"), host, strlen(host));
	return out;
}

/* A receiver could read a name that is no token as a different header. */
void hc_head_add(GString *out, const char *name, size_t name_bytes,
		 const char *value, size_t value_bytes)
{
	if (!hc_is_token(name, name_bytes) ||
	    !hc_is_field_text(value, value_bytes))
		return;
	g_string_append_len(out, name, (gssize)name_bytes);
	g_string_append(out, ": ");
	g_string_append_len(out, value, (gssize)value_bytes);
	g_string_append(out, "\r\n");
}

void hc_head_end_apart(GString *out, const char *body, size_t body_bytes)
{
	if (body)
		g_string_append_printf(out, "content-length: %zu\r\n",
				       body_bytes);
	g_string_append(out, "\r\n");
}

void hc_head_end(GString *out, const char *body, size_t body_bytes)
{
	hc_head_end_apart(out, body, body_bytes);
	if (body_bytes)
		g_string_append_len(out, body, (gssize)body_bytes);
}
