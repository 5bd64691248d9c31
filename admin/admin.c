#include "admin/admin.h"

#include <string.h>

#include <jansson.h>

#include "base/counter.h"
#include "base/json_text.h"
#include "base/log.h"

enum {
	AD_DEFAULT_AUDIT_ROWS = 100,
	AD_MAX_AUDIT_ROWS = 1000,
	AD_MAX_TARGET_BYTES = 1024 /* path and query of a request */
};

struct ad_route {
	const char *method;
	const char *path;
	void (*handle)(struct ad_admin *admin, h2o_req_t *req);
};

static void ad_reply_json(h2o_req_t *req, int status, json_t *object)
{
	char *text = jt_dump(object);

	if (req)
		hd_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(object);
}

static void ad_reply_error(h2o_req_t *req, enum st_kind kind, const char *msg)
{
	struct st_status status;

	st_set(&status, kind, "%s", msg);
	hd_reply_status(req, &status);
}

/*
 * Reads an unsigned integer from the query; FALLBACK when the parameter is
 * absent. When it is malformed or above MAX, answers with an error and returns
 * false.
 */
static bool ad_query_uint(h2o_req_t *req, const char *name, uint64_t fallback,
			  uint64_t max, uint64_t *out)
{
	char *text = hd_query(req, name);
	struct st_status status;
	guint64 value = fallback;
	bool ok = true;

	if (text)
		ok = g_ascii_string_to_unsigned(text, 10, 0, max, &value, NULL);
	g_free(text);
	*out = value;
	if (ok)
		return true;
	st_set(&status, ST_USAGE,
	       "\"%s\" must be a whole number up to %" G_GUINT64_FORMAT, name,
	       max);
	hd_reply_status(req, &status);
	return false;
}

static json_t *ad_document_json(uint64_t generation, const char *digest,
				const char *text, size_t text_bytes)
{
	return json_pack("{s:I, s:s, s:o}", "generation",
			 (json_int_t)generation, "digest", digest, "text",
			 jt_string_n(text, text_bytes));
}

/*
 * Request for a generation that is not in force. Its row gives the digest, and
 * the object store has the text under that digest.
 */
struct ad_lookup {
	struct hd_request_ref *request_ref;
	struct ad_admin *admin;
	uint64_t generation;
	char digest[DOC_DIGEST_BYTES];
};

static void ad_end_lookup(struct ad_lookup *lookup, enum st_kind kind,
			  const char *msg)
{
	if (kind != ST_OK && lookup->request_ref->req)
		ad_reply_error(lookup->request_ref->req, kind, msg);
	hd_request_ref_release(lookup->request_ref);
	g_free(lookup);
}

static void ad_on_old_document_body(void *ctx, const struct pf_result *result)
{
	struct ad_lookup *lookup = ctx;
	char digest[DOC_DIGEST_BYTES];

	if (result->status.kind != ST_OK) {
		ad_end_lookup(
			lookup, result->status.kind,
			result->status.kind == ST_NOT_FOUND ?
				"the document is not in the object store" :
				result->status.msg);
		return;
	}
	doc_digest(result->body, result->body_bytes, digest);
	if (strcmp(digest, lookup->digest) != 0) {
		ad_end_lookup(lookup, ST_IO,
			      "the document does not match its digest");
		return;
	}
	if (lookup->request_ref->req)
		ad_reply_json(lookup->request_ref->req, 200,
			      ad_document_json(lookup->generation, digest,
					       result->body,
					       result->body_bytes));
	ad_end_lookup(lookup, ST_OK, "");
}

static void ad_on_generation_row(void *ctx, const struct pf_result *result)
{
	struct ad_lookup *lookup = ctx;
	struct pf_callback callback = { ad_on_old_document_body, lookup };
	const char *digest = jt_get_string(result->json, "digest");

	if (result->status.kind == ST_NOT_FOUND) {
		ad_end_lookup(lookup, ST_NOT_FOUND, "no such generation");
	} else if (result->status.kind != ST_OK) {
		ad_end_lookup(lookup, result->status.kind, result->status.msg);
	} else if (!cp_is_digest(digest)) {
		ad_end_lookup(lookup, ST_IO,
			      "the row of the generation is malformed");
	} else {
		g_strlcpy(lookup->digest, digest, sizeof(lookup->digest));
		pf_get_object(lookup->admin->platform, digest, &callback);
	}
}

static void ad_show_old_document(struct ad_admin *admin, h2o_req_t *req,
				 uint64_t generation)
{
	struct ad_lookup *lookup = g_new0(struct ad_lookup, 1);
	struct pf_callback callback = { ad_on_generation_row, lookup };
	char key[32];

	lookup->admin = admin;
	lookup->request_ref = hd_request_ref_new(req);
	lookup->generation = generation;
	cp_generation_key(generation, key);
	pf_get_row(admin->platform, "generation", key, &callback);
}

static void ad_show_document(struct ad_admin *admin, h2o_req_t *req)
{
	const struct doc_document *document = admin->control->document;
	uint64_t generation;

	if (!ad_query_uint(req, "generation", 0, INT64_MAX, &generation))
		return;
	if (generation && (!document || generation != document->generation)) {
		ad_show_old_document(admin, req, generation);
		return;
	}
	if (!document) {
		ad_reply_error(req, ST_NOT_FOUND, "no document in force");
		return;
	}
	ad_reply_json(req, 200,
		      ad_document_json(document->generation, document->digest,
				       document->text, document->text_bytes));
}

static void ad_on_submitted(void *ctx, const struct cp_answer *answer)
{
	struct hd_request_ref *request_ref = ctx;
	json_t *changes =
		answer->changes ? json_incref(answer->changes) : json_array();

	ad_reply_json(request_ref->req, st_http_status(answer->status.kind),
		      json_pack("{s:s, s:o, s:I, s:s, s:s, s:o, s:o}", "result",
				st_name(answer->status.kind), "message",
				jt_string(answer->status.msg), "generation",
				(json_int_t)answer->generation, "digest",
				answer->digest, "submission",
				answer->submission_id, "detail",
				jt_string(answer->detail), "changes", changes));
	hd_request_ref_release(request_ref);
}

static void ad_submit_document(struct ad_admin *admin, h2o_req_t *req)
{
	struct cp_request request = {
		.text = req->entity.base ? req->entity.base : "",
		.text_bytes = req->entity.len,
	};
	struct cp_callback callback = { ad_on_submitted, NULL };
	char *author;
	char *submission;

	if (!ad_query_uint(req, "base", 0, INT64_MAX - 1,
			   &request.base_generation))
		return;
	callback.ctx = hd_request_ref_new(req);
	author = hd_query(req, "author");
	submission = hd_query(req, "submission");
	request.author = author ? author : "unknown";
	request.submission_id = submission;
	cp_submit_document(admin->control, &request, &callback);
	g_free(author);
	g_free(submission);
}

/*
 * Checks a document without submitting it. Answers with its errors and its
 * changes against the document in force.
 */
static void ad_check_document(struct ad_admin *admin, h2o_req_t *req)
{
	const char *text = req->entity.base ? req->entity.base : "";
	struct doc_document *document;
	struct ym_errors errors;
	struct ym_errors warnings;
	GString *detail = g_string_new(NULL);
	json_t *changes = NULL;

	ym_errors_init(&errors);
	ym_errors_init(&warnings);
	document = doc_parse(text, req->entity.len, &errors);
	ym_errors_print(&errors, detail);
	if (document) {
		GPtrArray *list = doc_diff(admin->control->document, document);

		changes = doc_diff_json(list);
		g_ptr_array_unref(list);
		doc_find_warnings(document, &warnings);
	}
	ad_reply_json(req, document ? 200 : st_http_status(ST_INVALID),
		      json_pack("{s:s, s:o, s:o, s:o}", "result",
				st_name(document ? ST_OK : ST_INVALID),
				"detail", jt_string(detail->str), "changes",
				changes ? changes : json_array(), "warnings",
				ym_errors_json(&warnings)));
	g_string_free(detail, TRUE);
	ym_errors_free(&warnings);
	ym_errors_free(&errors);
	doc_unref(document);
}

static void ad_on_audit(void *ctx, const struct pf_result *result)
{
	struct hd_request_ref *request_ref = ctx;

	if (request_ref->req && result->status.kind == ST_OK)
		ad_reply_json(request_ref->req, 200, json_incref(result->json));
	else if (request_ref->req)
		hd_reply_status(request_ref->req, &result->status);
	hd_request_ref_release(request_ref);
}

static void ad_show_audit(struct ad_admin *admin, h2o_req_t *req)
{
	struct pf_callback callback = { ad_on_audit, NULL };
	uint64_t limit;

	if (!ad_query_uint(req, "limit", AD_DEFAULT_AUDIT_ROWS,
			   AD_MAX_AUDIT_ROWS, &limit))
		return;
	callback.ctx = hd_request_ref_new(req);
	pf_list_rows(admin->platform, "audit", "", (uint32_t)limit, true,
		     &callback);
}

/*
 * State of this host as JSON. The counters have the names of the metrics,
 * without the prefix "jackdawworks_".
 */
static void ad_show_status(struct ad_admin *admin, h2o_req_t *req)
{
	const struct doc_document *document = admin->control->document;
	json_t *counters = json_object();

#define X(id, name, help)                   \
	json_object_set_new(counters, name, \
			    json_integer((json_int_t)ct_get(CT_##id)));
	CT_LIST(X)
#undef X
	ad_reply_json(
		req, 200,
		json_pack("{s:o, s:o, s:I, s:s, s:b, s:I, s:b, s:o}", "host",
			  jt_string(admin->settings->host), "zone",
			  jt_string(admin->settings->zone), "generation",
			  (json_int_t)(document ? document->generation : 0),
			  "digest", document ? document->digest : "",
			  "platform_answers", !admin->control->row_read_failed,
			  "in_flight",
			  (json_int_t)admin->gateway->calls_in_flight,
			  "stopping", admin->gateway->stopping, "counters",
			  counters));
}

void ad_reply_metrics(h2o_req_t *req)
{
	GString *out = g_string_new(NULL);

	ct_write(out);
	hd_reply(req, 200, "text/plain; version=0.0.4", out->str, out->len);
	g_string_free(out, TRUE);
}

static void ad_show_metrics(struct ad_admin *admin, h2o_req_t *req)
{
	ad_reply_metrics(req);
}

static void ad_start_drain(struct ad_admin *admin, h2o_req_t *req)
{
	hd_reply(req, 200, "application/json", "{\"result\":\"draining\"}", 21);
	admin->drain(admin->drain_ctx);
}

static const struct ad_route ad_routes[] = {
	{ "GET", "/v1/document", ad_show_document },
	{ "POST", "/v1/document", ad_submit_document },
	{ "POST", "/v1/check", ad_check_document },
	{ "GET", "/v1/audit", ad_show_audit },
	{ "GET", "/v1/status", ad_show_status },
	{ "GET", "/metrics", ad_show_metrics },
	{ "POST", "/v1/drain", ad_start_drain },
};

static bool ad_authorized(const struct ad_admin *admin, h2o_req_t *req)
{
	h2o_iovec_t value = hd_header(req, "authorization");
	size_t prefix = strlen("Bearer ");

	if (!value.base || value.len < prefix ||
	    memcmp(value.base, "Bearer ", prefix) != 0)
		return false;
	return hd_same_secret(value.base + prefix, value.len - prefix,
			      admin->settings->operator_token);
}

static void ad_on_request(void *ctx, h2o_req_t *req)
{
	struct ad_admin *admin = ctx;

	if (hd_path_is(req, "/health")) {
		hd_reply(req, 200, "text/plain", "ok\n", 3);
		return;
	}
	if (cs_handles_request(req)) {
		cs_serve_request(&admin->console, req);
		return;
	}
	if (!ad_authorized(admin, req)) {
		ad_reply_error(req, ST_UNAUTHORIZED, "missing or wrong token");
		return;
	}
	if (req->path.len > AD_MAX_TARGET_BYTES) {
		ad_reply_error(req, ST_USAGE,
			       "the path and query are too long");
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ad_routes); i++) {
		const struct ad_route *route = &ad_routes[i];

		if (hd_path_is(req, route->path) &&
		    hd_method_is(req, route->method)) {
			route->handle(admin, req);
			return;
		}
	}
	ad_reply_error(req, ST_NOT_FOUND, "no such resource");
}

enum st_kind ad_init(struct ad_admin *admin, uv_loop_t *loop,
		     struct cp_control *control, struct gw_gateway *gateway,
		     struct pf_client *platform,
		     const struct se_settings *settings,
		     void (*drain)(void *ctx), void *drain_ctx,
		     struct st_status *status)
{
	memset(admin, 0, sizeof(*admin));
	admin->control = control;
	admin->gateway = gateway;
	admin->platform = platform;
	admin->settings = settings;
	cs_init(&admin->console, control, gateway, platform, settings);
	admin->drain = drain;
	admin->drain_ctx = drain_ctx;
	return hd_init(&admin->http, loop, &settings->operators, ad_on_request,
		       admin, status);
}

void ad_free(struct ad_admin *admin)
{
	hd_free(&admin->http);
}
