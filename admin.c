#include "admin.h"

#include <string.h>

#include <jansson.h>

#include "counter.h"
#include "log.h"

enum { AD_AUDIT_ROWS = 100 };

struct ad_route {
	const char *method;
	const char *path;
	void (*handle)(struct ad_admin *admin, h2o_req_t *req);
};

static void ad_reply_json(h2o_req_t *req, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	if (req)
		hd_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(object);
}

static void ad_show(struct ad_admin *admin, h2o_req_t *req)
{
	const struct doc_document *document = admin->control->document;
	struct st_status status;

	if (!document) {
		st_set(&status, ST_NOT_FOUND, "no document in force");
		hd_reply_status(req, &status);
		return;
	}
	ad_reply_json(req, 200,
		      json_pack("{s:I, s:s, s:s}", "generation",
				(json_int_t)document->generation, "digest",
				document->digest, "text", document->text));
}

static void ad_on_submitted(void *ctx, const struct cp_answer *answer)
{
	struct hd_hold *hold = ctx;

	ad_reply_json(hold->req, st_http(answer->status.kind),
		      json_pack("{s:s, s:s, s:I, s:s, s:s}", "result",
				st_name(answer->status.kind), "message",
				answer->status.msg, "generation",
				(json_int_t)answer->generation, "digest",
				answer->digest, "detail", answer->detail));
	hd_release(hold);
}

static void ad_submit(struct ad_admin *admin, h2o_req_t *req)
{
	char *base = hd_query(req, "base");
	char *author = hd_query(req, "author");
	struct cp_callback callback = { ad_on_submitted, hd_hold(req) };

	cp_submit(admin->control, req->entity.base ? req->entity.base : "",
		  req->entity.len, base ? g_ascii_strtoull(base, NULL, 10) : 0,
		  author ? author : "unknown", &callback);
	g_free(base);
	g_free(author);
}

static void ad_on_audit(void *ctx, const struct pf_result *result)
{
	struct hd_hold *hold = ctx;

	if (hold->req && result->status.kind == ST_OK)
		ad_reply_json(hold->req, 200, json_incref(result->json));
	else if (hold->req)
		hd_reply_status(hold->req, &result->status);
	hd_release(hold);
}

static void ad_audit(struct ad_admin *admin, h2o_req_t *req)
{
	struct pf_callback callback = { ad_on_audit, hd_hold(req) };

	pf_list(admin->platform, "audit", "", AD_AUDIT_ROWS, true, &callback);
}

static void ad_metrics(struct ad_admin *admin, h2o_req_t *req)
{
	GString *out = g_string_new(NULL);

	ct_write(out);
	hd_reply(req, 200, "text/plain; version=0.0.4", out->str, out->len);
	g_string_free(out, TRUE);
}

static void ad_drain(struct ad_admin *admin, h2o_req_t *req)
{
	hd_reply(req, 200, "application/json", "{\"result\":\"draining\"}", 21);
	admin->drain(admin->drain_ctx);
}

static const struct ad_route ad_routes[] = {
	{ "GET", "/v1/document", ad_show },
	{ "POST", "/v1/document", ad_submit },
	{ "GET", "/v1/audit", ad_audit },
	{ "GET", "/metrics", ad_metrics },
	{ "POST", "/v1/drain", ad_drain },
};

/* Compares in time that does not depend on where the texts differ. */
static bool ad_same(const char *a, size_t a_bytes, const char *b)
{
	size_t b_bytes = strlen(b);
	unsigned char differ = a_bytes != b_bytes;

	for (size_t i = 0; i < MIN(a_bytes, b_bytes); i++)
		differ |= (unsigned char)(a[i] ^ b[i]);
	return !differ;
}

static bool ad_authorized(const struct ad_admin *admin, h2o_req_t *req)
{
	h2o_iovec_t value = hd_header(req, "authorization");
	size_t prefix = strlen("Bearer ");

	if (!value.base || value.len < prefix ||
	    memcmp(value.base, "Bearer ", prefix) != 0)
		return false;
	return ad_same(value.base + prefix, value.len - prefix,
		       admin->settings->operator_token);
}

static void ad_on_request(void *ctx, h2o_req_t *req)
{
	struct ad_admin *admin = ctx;
	struct st_status status;

	if (hd_path_is(req, "/health")) {
		hd_reply(req, 200, "text/plain", "ok\n", 3);
		return;
	}
	if (cs_handles(req)) {
		cs_serve(&admin->console, req);
		return;
	}
	if (!ad_authorized(admin, req)) {
		st_set(&status, ST_UNAUTHORIZED, "missing or wrong token");
		hd_reply_status(req, &status);
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
	st_set(&status, ST_NOT_FOUND, "no such resource");
	hd_reply_status(req, &status);
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
	cs_init(&admin->console, control, platform, settings);
	admin->drain = drain;
	admin->drain_ctx = drain_ctx;
	return hd_init(&admin->http, loop, &settings->operators, ad_on_request,
		       admin, status);
}

void ad_free(struct ad_admin *admin)
{
	hd_free(&admin->http);
}
