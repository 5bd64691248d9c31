#include "peer/host_message.h"

#include <string.h>

#include "base/mechanism.h"
#include "http/httpc.h"
#include "http/httpd.h"

#define HM_METHOD	"call-method"
#define HM_TARGET	"call-target"
#define HM_HEADER	"c-" /* before the name of a header of the call */
#define HM_FIELD	"x-call-" /* in place of HM_OWN_PREFIX */
#define HM_REQUEST_LINE "POST " HM_CALL_TARGET " HTTP/1.1\r\n"
#define HM_CRLF		"\r\n"

/* Its address marks a request that was unwrapped; no sender can do so. */
static const char hm_call_target[] = HM_CALL_TARGET;

/* Telling messages */

static bool hm_text_is(h2o_iovec_t text, const char *expected)
{
	return h2o_memis(text.base, text.len, expected, strlen(expected));
}

/* Whether the target is PATH, alone or with a query. */
static bool hm_has_path(const h2o_req_t *req, const char *path)
{
	h2o_iovec_t target = req->input.path;
	size_t bytes = strlen(path);

	return target.len >= bytes && !memcmp(target.base, path, bytes) &&
	       (target.len == bytes || target.base[bytes] == '?');
}

/* Hosts of earlier builds look at the path first, and take the rest for polls. */
static enum hm_kind hm_kind_of_earlier(const h2o_req_t *req)
{
	if (hd_path_is(req, HM_ALERT_PATH))
		return HM_ALERT;
	if (hd_path_is(req, HM_QUOTA_PATH))
		return HM_QUOTA;
	return hd_header((h2o_req_t *)req, HM_FROM_HOST).base ?
		       HM_EARLIER_CALL :
		       HM_POLL;
}

enum hm_kind hm_kind(const h2o_req_t *req)
{
	bool get = hm_text_is(req->input.method, "GET");
	bool post = hm_text_is(req->input.method, "POST");

	if (!me_on(ME_CALL_MESSAGE))
		return hm_kind_of_earlier(req);
	if (hd_header((h2o_req_t *)req, HM_FROM_HOST).base)
		return HM_EARLIER_CALL;
	if (post && hm_text_is(req->input.path, HM_CALL_TARGET))
		return HM_CALL;
	if (post && hm_text_is(req->input.path, HM_QUOTA_PATH))
		return HM_QUOTA;
	if (post && hm_text_is(req->input.path, HM_HOSTS_PATH))
		return HM_HOSTS;
	if (get && hm_has_path(req, HM_ALERT_PATH))
		return HM_ALERT;
	if (get && hm_has_path(req, HM_POLL_PATH))
		return HM_POLL;
	return HM_NONE;
}

void hm_mark_message(h2o_req_t *req)
{
	if (me_on(ME_CALL_MESSAGE))
		hd_add_header(req, HM_ANSWER, HM_HOST, strlen(HM_HOST));
}

bool hm_is_message_of_earlier(const char *target, size_t bytes)
{
	h2o_mem_pool_t pool;
	size_t query_at;
	size_t *indexes;
	h2o_iovec_t path;
	bool is_message;

	h2o_mem_init_pool(&pool);
	path = h2o_url_normalize_path(&pool, target, bytes, &query_at,
				      &indexes);
	is_message = hm_text_is(path, HM_ALERT_PATH) ||
		     hm_text_is(path, HM_QUOTA_PATH);
	h2o_mem_clear_pool(&pool);
	/* An earlier build does not know that others would misread it. */
	return is_message && me_on(ME_CALL_MESSAGE);
}

bool hm_is_own_header(const char *name, size_t bytes)
{
	size_t prefix = strlen(HM_OWN_PREFIX);

	return bytes >= prefix &&
	       !g_ascii_strncasecmp(name, HM_OWN_PREFIX, prefix);
}

/* Wrapping a call */

static uint32_t hm_count_lines(const GString *head)
{
	uint32_t lines = 0;

	for (const char *at = head->str; (at = strchr(at, '\n')); at++)
		lines++;
	return lines;
}

/* Adds method and target. Returns the headers, which follow the request line. */
static const char *hm_wrap_request_line(const GString *head, GString *out)
{
	const char *target = strchr(head->str, ' ') + 1;
	const char *version = strchr(target, ' ');

	hc_head_add(out, HM_METHOD, strlen(HM_METHOD), head->str,
		    (size_t)(target - 1 - head->str));
	hc_head_add(out, HM_TARGET, strlen(HM_TARGET), target,
		    (size_t)(version - target));
	return strstr(version, HM_CRLF) + strlen(HM_CRLF);
}

GString *hm_wrap_call(const GString *head, const char *address)
{
	GString *out;
	const char *line;
	const char *end;

	if (hm_count_lines(head) > HM_MAX_CALL_LINES)
		return NULL;
	out = g_string_new(HM_REQUEST_LINE);
	hc_head_add(out, "host", strlen("host"), address, strlen(address));
	line = hm_wrap_request_line(head, out);
	for (; (end = strstr(line, HM_CRLF)); line = end) {
		end += strlen(HM_CRLF);
		g_string_append(out, HM_HEADER);
		g_string_append_len(out, line, end - line);
	}
	return out;
}

void hm_add_field(GString *out, const char *name, const char *value,
		  size_t value_bytes)
{
	char *own = g_strconcat(HM_FIELD, name + strlen(HM_OWN_PREFIX), NULL);

	hc_head_add(out, own, strlen(own), value, value_bytes);
	g_free(own);
}

/* Unwrapping */

static bool hm_skip_prefix(h2o_iovec_t *name, const char *prefix)
{
	size_t bytes = strlen(prefix);

	if (name->len <= bytes || memcmp(name->base, prefix, bytes) != 0)
		return false;
	*name = h2o_iovec_init(name->base + bytes, name->len - bytes);
	return true;
}

static void hm_add_header(h2o_req_t *req, h2o_iovec_t name, h2o_iovec_t value)
{
	h2o_add_header_by_str(&req->pool, &req->headers, name.base, name.len, 1,
			      NULL, value.base, value.len);
}

/* A header of the caller. Only hosts have names with HM_OWN_PREFIX. */
static void hm_unwrap_header(h2o_req_t *req, h2o_iovec_t name,
			     h2o_iovec_t value)
{
	if (hm_text_is(name, "host"))
		req->authority = value;
	else if (!hm_is_own_header(name.base, name.len))
		hm_add_header(req, name, value);
}

/* A field of the host that passes the call on gets its own name again. */
static void hm_unwrap_field(h2o_req_t *req, h2o_iovec_t name, h2o_iovec_t value)
{
	h2o_iovec_t parts[] = { h2o_iovec_init(H2O_STRLIT(HM_OWN_PREFIX)),
				name };

	hm_add_header(req, h2o_concat(&req->pool, parts[0], parts[1]), value);
}

static void hm_unwrap_headers(h2o_req_t *req, const h2o_headers_t *wrapped)
{
	for (size_t i = 0; i < wrapped->size; i++) {
		h2o_iovec_t name = *wrapped->entries[i].name;
		h2o_iovec_t value = wrapped->entries[i].value;

		if (hm_skip_prefix(&name, HM_HEADER))
			hm_unwrap_header(req, name, value);
		else if (hm_skip_prefix(&name, HM_FIELD))
			hm_unwrap_field(req, name, value);
	}
}

bool hm_unwrap_call(h2o_req_t *req)
{
	h2o_headers_t wrapped = req->headers;
	h2o_iovec_t method = hd_header(req, HM_METHOD);
	h2o_iovec_t target = hd_header(req, HM_TARGET);

	if (!method.len || !target.len || *target.base != '/')
		return false;
	memset(&req->headers, 0, sizeof(req->headers));
	req->authority = h2o_iovec_init(NULL, 0);
	hm_unwrap_headers(req, &wrapped);
	req->method = method;
	/* By this one, the library decides on the framing of the answer. */
	req->input.method = method;
	req->input.path =
		h2o_iovec_init(hm_call_target, sizeof(hm_call_target) - 1);
	req->path = target;
	req->path_normalized =
		h2o_url_normalize_path(&req->pool, target.base, target.len,
				       &req->query_at, &req->norm_indexes);
	return true;
}

void hm_mark_answer(h2o_req_t *req, const char *by)
{
	if (req->input.path.base == hm_call_target)
		hd_add_header(req, HM_ANSWER, by, strlen(by));
}
