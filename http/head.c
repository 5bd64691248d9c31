#include "http/httpc.h"

#include <string.h>

/* Heads of requests, and the headers of answers. */

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

/*
 * Whether TEXT is a token (RFC 9110). A receiver could read a name with other
 * characters as a different header.
 */
static bool hc_is_token(const char *text, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if (!g_ascii_isalnum(text[i]) && text[i] != '-' &&
		    (!text[i] || !strchr("!#$%&'*+.^_`|~", text[i])))
			return false;
	return bytes > 0;
}

static bool hc_is_field_value(const char *text, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if ((unsigned char)text[i] < ' ' && text[i] != '\t')
			return false;
	return true;
}

void hc_head_add(GString *out, const char *name, size_t name_bytes,
		 const char *value, size_t value_bytes)
{
	if (!hc_is_token(name, name_bytes) ||
	    !hc_is_field_value(value, value_bytes))
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

const struct hc_header *hc_find_header(const struct hc_head *head,
				       const char *name)
{
	size_t len = strlen(name);

	for (uint32_t i = 0; i < head->header_count; i++) {
		const struct hc_header *h = &head->headers[i];

		if (h->name_bytes == len &&
		    !g_ascii_strncasecmp(h->name, name, len))
			return h;
	}
	return NULL;
}

bool hc_value_is(const struct hc_header *header, const char *value)
{
	return header->value_bytes == strlen(value) &&
	       !memcmp(header->value, value, header->value_bytes);
}
