#include "admin/console.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/counter.h"
#include "admin/form.h"
#include "http/httpd.h"
#include "base/log.h"

enum {
	CS_SESSION_LIFETIME_S = 8 * 3600,
	CS_MAX_AUTHOR_BYTES = CP_AUTHOR_BYTES,
	CS_AUDIT_ROWS = 100,
	CS_HMAC_HEX_BYTES = 65 /* SHA-256 in hexadecimal, with the NUL */
};

/* What the page of the form shows besides the form's fields. */
struct cs_form_view {
	const char *notice; /* plain text, may have several lines */
	bool failed;
	uint64_t base_generation; /* that the operator's changes are based on */
	const char *author;
	/* From the document in force; NULL when not compared. */
	const char *difference;
};

/* A submission in progress. The page that answers it shows the form again. */
struct cs_submission {
	struct cs_console *console;
	struct hd_request_ref *request_ref;
	struct fm_node *form;
	char *author;
	uint64_t base_generation;
};

static const char cs_style[] =
	"body{font-family:sans-serif;margin:1.5em;max-width:80em}"
	"nav a{margin-right:1em}"
	".fields label{display:inline-block;margin:.3em 1em .3em 0}"
	"fieldset{margin:1em 0}table{border-collapse:collapse}"
	"td,th{padding:.15em .4em;text-align:left;vertical-align:top}"
	"input{width:11em}.error{display:block;color:#a00;font-size:85%}"
	".notice{white-space:pre-wrap;border:1px solid #888;padding:.6em}"
	".failed{border-color:#a00;background:#fee}"
	"pre{background:#f4f4f4;padding:.6em;overflow:auto}"
	".bar{position:sticky;top:0;background:#fff;padding:.5em 0}";

void cs_init(struct cs_console *console, struct cp_control *control,
	     const struct gw_gateway *gateway, struct pf_client *platform,
	     const struct se_settings *settings)
{
	console->control = control;
	console->gateway = gateway;
	console->platform = platform;
	console->settings = settings;
}

bool cs_handles_request(const h2o_req_t *req)
{
	size_t len = strlen("/console");

	if (req->path_normalized.len < len ||
	    memcmp(req->path_normalized.base, "/console", len) != 0)
		return false;
	return req->path_normalized.len == len ||
	       req->path_normalized.base[len] == '/';
}

/* Session cookie and protection against cross-site request forgery */

/* HMAC-SHA256 of TEXT, keyed with the operators' token, in hexadecimal. */
static void cs_compute_hmac(const struct cs_console *console, const char *text,
			    char out[CS_HMAC_HEX_BYTES])
{
	const char *key = console->settings->operator_token;
	char *hex = g_compute_hmac_for_string(
		G_CHECKSUM_SHA256, (const guchar *)key, strlen(key), text, -1);

	g_strlcpy(out, hex, CS_HMAC_HEX_BYTES);
	g_free(hex);
}

/* Value of the session cookie, or NULL; g_free it. */
static char *cs_session_cookie(h2o_req_t *req)
{
	h2o_iovec_t header = hd_header(req, "cookie");
	char *text;
	char **parts;
	char *found = NULL;

	if (!header.base)
		return NULL;
	text = g_strndup(header.base, header.len);
	parts = g_strsplit(text, ";", 0);
	for (char **p = parts; *p && !found; p++)
		if (g_str_has_prefix(g_strstrip(*p), "session="))
			found = g_strdup(*p + strlen("session="));
	g_strfreev(parts);
	g_free(text);
	return found;
}

/*
 * SESSION, the value of the cookie, is "EXPIRY.HMAC": the expiry in seconds
 * since the Unix epoch and the HMAC of "session.EXPIRY".
 */
static bool cs_is_session_valid(const struct cs_console *console,
				const char *session)
{
	char expected[CS_HMAC_HEX_BYTES];
	char *text;
	const char *dot = session ? strchr(session, '.') : NULL;
	bool valid;

	if (!dot)
		return false;
	text = g_strdup_printf("session.%.*s", (int)(dot - session), session);
	cs_compute_hmac(console, text, expected);
	g_free(text);
	valid = hd_same_secret(dot + 1, strlen(dot + 1), expected);
	return valid && g_ascii_strtoll(session, NULL, 10) >
				g_get_real_time() / G_USEC_PER_SEC;
}

/*
 * Hidden field of the document form. It is an HMAC of the session cookie, so a
 * form that another site or session made does not have the right value.
 */
static void cs_compute_form_token(const struct cs_console *console,
				  const char *session,
				  char out[CS_HMAC_HEX_BYTES])
{
	char *text = g_strconcat("form.", session, NULL);

	cs_compute_hmac(console, text, out);
	g_free(text);
}

/* Pages */

static void cs_append_escaped(GString *out, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	char *escaped = g_markup_escape_text(valid, -1);

	g_string_append(out, escaped);
	g_free(escaped);
	g_free(valid);
}

static void cs_reply_page(h2o_req_t *req, int status, GString *page)
{
	static const char policy[] = "default-src 'none'; style-src 'self'; "
				     "form-action 'self'; "
				     "frame-ancestors 'none'";

	hd_add_header(req, "content-security-policy", policy, strlen(policy));
	hd_add_header(req, "cache-control", "no-store", strlen("no-store"));
	hd_add_header(req, "x-content-type-options", "nosniff",
		      strlen("nosniff"));
	hd_reply(req, status, "text/html; charset=utf-8", page->str, page->len);
	g_string_free(page, TRUE);
}

static GString *cs_begin_page(const struct cs_console *console,
			      const char *title)
{
	GString *page = g_string_sized_new(16384);

	g_string_append_printf(
		page,
		"<!doctype html><html lang=\"en\"><head><meta "
		"charset=\"utf-8\"><title>%s - jackdawworks</title><link "
		"rel=\"stylesheet\" href=\"/console/style.css\"></head><body>"
		"<nav><a href=\"/console\">Document</a><a "
		"href=\"/console/history\">Audit trail</a><a "
		"href=\"/console/status\">Status</a></nav><h1>%s</h1>",
		title, title);
	return page;
}

static void cs_end_page(GString *page)
{
	g_string_append(page, "</body></html>\n");
}

static void cs_show_login(struct cs_console *console, h2o_req_t *req,
			  int status, const char *notice)
{
	GString *page = cs_begin_page(console, "Log in");

	if (*notice)
		g_string_append_printf(
			page, "<p class=\"notice failed\">%s</p>", notice);
	g_string_append(page,
			"<form method=\"post\" action=\"/console/login\">"
			"<label>Operators' token <input type=\"password\" "
			"name=\"token\" autocomplete=\"off\"></label> "
			"<button>Log in</button></form>");
	cs_end_page(page);
	cs_reply_page(req, status, page);
}

static void cs_add_hidden_field(GString *page, const char *name,
				const char *value)
{
	g_string_append_printf(page,
			       "<input type=\"hidden\" name=\"%s\" "
			       "value=\"",
			       name);
	cs_append_escaped(page, value);
	g_string_append(page, "\">");
}

static void cs_add_notice(GString *page, const struct cs_form_view *view)
{
	if (view->notice && *view->notice) {
		g_string_append_printf(page,
				       "<p role=\"status\" "
				       "class=\"notice%s\">",
				       view->failed ? " failed" : "");
		cs_append_escaped(page, view->notice);
		g_string_append(page, "</p>");
	}
	if (view->difference) {
		g_string_append(page, "<h2>Difference from the document in "
				      "force</h2><pre>");
		cs_append_escaped(page, *view->difference ? view->difference :
							    "no difference\n");
		g_string_append(page, "</pre>");
	}
}

static void cs_add_toolbar(GString *page, const struct cs_form_view *view,
			   uint64_t generation_in_force)
{
	g_string_append(page, "<div class=\"bar\"><label>Your name <input "
			      "name=\"author\" value=\"");
	cs_append_escaped(page, view->author);
	g_string_append(page,
			"\"></label> <button name=\"action\" value=\"check\">"
			"Check and compare</button> <button name=\"action\" "
			"value=\"accept\">Accept</button> ");
	if (view->base_generation != generation_in_force)
		g_string_append_printf(
			page,
			"<button name=\"action\" value=\"rebase\">Continue on "
			"generation %" G_GUINT64_FORMAT "</button> ",
			generation_in_force);
	g_string_append_printf(page,
			       "Written against generation %" G_GUINT64_FORMAT
			       ", in force: %" G_GUINT64_FORMAT "</div>",
			       view->base_generation, generation_in_force);
}

static uint64_t cs_generation_in_force(const struct cs_console *console)
{
	const struct doc_document *document = console->control->document;

	return document ? document->generation : 0;
}

static const struct doc_customers *
cs_customers_in_force(const struct cs_console *console)
{
	const struct doc_document *document = console->control->document;

	return document ? document->customers : NULL;
}

static void cs_show_form(struct cs_console *console, h2o_req_t *req,
			 struct fm_node *form, const struct cs_form_view *view)
{
	GString *page = cs_begin_page(console, "Document");
	char *session = cs_session_cookie(req);
	char token[CS_HMAC_HEX_BYTES];
	char base[32];

	cs_compute_form_token(console, session ? session : "", token);
	g_free(session);
	g_snprintf(base, sizeof(base), "%" G_GUINT64_FORMAT,
		   view->base_generation);
	cs_add_notice(page, view);
	g_string_append(page, "<form method=\"post\" "
			      "action=\"/console/document\">");
	cs_add_hidden_field(page, "form_token", token);
	cs_add_hidden_field(page, "base", base);
	cs_add_toolbar(page, view, cs_generation_in_force(console));
	fm_hide_keys(form, cs_customers_in_force(console));
	fm_to_html(form, page);
	g_string_append(page, "</form>");
	cs_end_page(page);
	cs_reply_page(req, view->failed ? 422 : 200, page);
}

/* Requests */

static void cs_get_document(struct cs_console *console, h2o_req_t *req)
{
	const struct doc_document *document = console->control->document;
	struct cs_form_view view = { .base_generation =
					     cs_generation_in_force(console),
				     .author = "" };
	struct ym_errors errors;
	struct fm_node *form = NULL;
	GString *text = g_string_new(NULL);

	ym_errors_init(&errors);
	if (document)
		form = fm_from_yaml(document->text, document->text_bytes,
				    &errors);
	ym_errors_print(&errors, text);
	if (text->len) {
		g_string_prepend(text, "The document in force has fields that "
				       "this form cannot show. Use the command "
				       "line to change it.\n");
		view.notice = text->str;
		view.failed = true;
	}
	if (!form)
		form = fm_new();
	cs_show_form(console, req, form, &view);
	fm_free(form);
	g_string_free(text, TRUE);
	ym_errors_free(&errors);
}

static void cs_submission_free(struct cs_submission *submission)
{
	hd_request_ref_release(submission->request_ref);
	fm_free(submission->form);
	g_free(submission->author);
	g_free(submission);
}

static void cs_on_submitted(void *ctx, const struct cp_answer *answer)
{
	struct cs_submission *submission = ctx;
	bool accepted = answer->status.kind == ST_OK;
	struct cs_form_view view = {
		.failed = !accepted,
		.author = submission->author,
		.base_generation = accepted ? answer->generation :
					      submission->base_generation,
	};
	char *notice;

	if (accepted)
		notice = g_strdup_printf(
			"Accepted as generation %" G_GUINT64_FORMAT ".",
			answer->generation);
	else
		notice = g_strdup_printf("Not accepted: %s\n%s%s",
					 answer->status.msg,
					 answer->detail ? answer->detail : "",
					 answer->status.kind == ST_CONFLICT ?
						 "\nYour input is kept below." :
						 "");
	view.notice = notice;
	if (submission->request_ref->req)
		cs_show_form(submission->console, submission->request_ref->req,
			     submission->form, &view);
	g_free(notice);
	cs_submission_free(submission);
}

/* Submits TEXT, the document of FORM, and takes ownership of FORM. */
static void cs_submit_form(struct cs_console *console, h2o_req_t *req,
			   struct fm_node *form,
			   const struct cs_form_view *view, const GString *text)
{
	struct cs_submission *submission = g_new0(struct cs_submission, 1);
	struct cp_callback callback = { cs_on_submitted, submission };
	struct cp_request request = {
		.text = text->str,
		.text_bytes = text->len,
		.base_generation = view->base_generation,
		.author = view->author,
	};

	submission->console = console;
	submission->request_ref = hd_request_ref_new(req);
	submission->form = form;
	submission->author = g_strdup(view->author);
	submission->base_generation = view->base_generation;
	cp_submit_document(console->control, &request, &callback);
}

static void cs_append_difference(const struct cs_console *console,
				 const struct doc_document *document,
				 GString *difference)
{
	GPtrArray *changes = doc_diff(console->control->document, document);

	doc_diff_print(changes, CP_MAX_CHANGE_LINES, difference);
	g_ptr_array_unref(changes);
}

/*
 * Checks TEXT, the document of FORM, and places the errors, or else the
 * warnings, beside the fields. NOTICE receives the errors that belong to no field. DIFFERENCE receives the
 * changes against the document in force. Returns whether the document is valid.
 */
static bool cs_check_form(struct cs_console *console, struct fm_node *form,
			  const GString *text, GString *notice,
			  GString *difference)
{
	struct ym_errors errors;
	struct doc_document *document;
	bool valid;

	ym_errors_init(&errors);
	document = doc_parse(text->str, text->len, &errors);
	fm_place_errors(form, &errors, notice);
	if (errors.count)
		g_string_prepend(notice, "The document has errors.\n");
	valid = document;
	if (document) {
		cs_append_difference(console, document, difference);
		doc_find_warnings(document, &errors);
		fm_place_errors(form, &errors, notice);
	}
	doc_unref(document);
	ym_errors_free(&errors);
	return valid;
}

/*
 * Checks FORM and shows it with the result, or submits it when it is valid and
 * ACCEPT is set. Takes ownership of FORM.
 */
static void cs_check_and_reply(struct cs_console *console, h2o_req_t *req,
			       struct fm_node *form, struct cs_form_view *view,
			       bool accept)
{
	GString *notice = g_string_new(NULL);
	GString *difference = g_string_new(NULL);
	GString *text = fm_to_yaml(form);
	bool valid = cs_check_form(console, form, text, notice, difference);

	view->failed = !valid;
	if (valid)
		view->difference = difference->str;
	if (valid && accept && !*view->author) {
		g_string_assign(notice, "Your name is missing.");
		view->failed = true;
	} else if (valid && accept) {
		cs_submit_form(console, req, form, view, text);
		form = NULL;
	} else if (valid) {
		g_string_prepend(notice, "The document is valid.\n");
	}
	view->notice = notice->str;
	if (form)
		cs_show_form(console, req, form, view);
	g_string_free(notice, TRUE);
	g_string_free(difference, TRUE);
	g_string_free(text, TRUE);
	fm_free(form);
}

/* Runs the action of the button that was pressed; takes ownership of FORM. */
static void cs_run_action(struct cs_console *console, h2o_req_t *req,
			  struct fm_node *form, struct cs_form_view *view,
			  const char *action)
{
	bool check = !strcmp(action, "check");
	bool accept = !strcmp(action, "accept");

	if (check || accept) {
		cs_check_and_reply(console, req, form, view, accept);
		return;
	}
	if (g_str_has_prefix(action, "add:"))
		fm_add_node(form, action + strlen("add:"));
	else if (g_str_has_prefix(action, "remove:"))
		fm_remove_node(form, action + strlen("remove:"));
	else if (!strcmp(action, "rebase"))
		view->base_generation = cs_generation_in_force(console);
	cs_show_form(console, req, form, view);
	fm_free(form);
}

static GHashTable *cs_parse_params(h2o_req_t *req)
{
	const char *body = req->entity.base ? req->entity.base : "";

	return g_uri_parse_params(body, (gssize)req->entity.len, "&",
				  G_URI_PARAMS_WWW_FORM, NULL);
}

static const char *cs_get_param(GHashTable *params, const char *name)
{
	const char *value = g_hash_table_lookup(params, name);

	return value ? value : "";
}

static void cs_reply_error(h2o_req_t *req, enum st_kind kind, const char *msg)
{
	struct st_status status;

	st_set(&status, kind, "%s", msg);
	hd_reply_status(req, &status);
}

static bool cs_is_form_token_valid(const struct cs_console *console,
				   h2o_req_t *req, GHashTable *params)
{
	char expected[CS_HMAC_HEX_BYTES];
	const char *given;
	char *session = cs_session_cookie(req);

	cs_compute_form_token(console, session ? session : "", expected);
	g_free(session);
	given = cs_get_param(params, "form_token");
	return hd_same_secret(given, strlen(given), expected);
}

static void cs_post_document(struct cs_console *console, h2o_req_t *req)
{
	GHashTable *params = cs_parse_params(req);
	struct cs_form_view view = { 0 };
	struct fm_node *form;
	char author[CS_MAX_AUTHOR_BYTES];

	if (!params) {
		cs_reply_error(req, ST_INVALID, "malformed form");
		return;
	}
	form = fm_from_params(params);
	if (!cs_is_form_token_valid(console, req, params)) {
		cs_reply_error(req, ST_UNAUTHORIZED,
			       "the form is not from this session");
		fm_free(form);
	} else if (!form) {
		cs_reply_error(req, ST_TOO_LARGE,
			       "the form has too many entries");
	} else {
		g_strlcpy(author, cs_get_param(params, "author"),
			  sizeof(author));
		view.author = author;
		fm_show_keys(form, cs_customers_in_force(console));
		view.base_generation = g_ascii_strtoull(
			cs_get_param(params, "base"), NULL, 10);
		cs_run_action(console, req, form, &view,
			      cs_get_param(params, "action"));
	}
	g_hash_table_destroy(params);
}

static void cs_add_audit_row(GString *page, const json_t *row)
{
	const json_t *value = json_object_get(row, "value");
	char *text = json_dumps(value, JSON_COMPACT);
	const char *key = json_string_value(json_object_get(row, "key"));

	g_string_append(page, "<tr><td>");
	cs_append_escaped(page, key ? key : "");
	g_string_append(page, "</td><td>");
	cs_append_escaped(page, text ? text : "");
	g_string_append(page, "</td></tr>");
	free(text);
}

struct cs_audit_read {
	struct cs_console *console;
	struct hd_request_ref *request_ref;
};

static void cs_on_audit(void *ctx, const struct pf_result *result)
{
	struct cs_audit_read *audit_read = ctx;
	GString *page = cs_begin_page(audit_read->console, "Audit trail");
	int status = 200;

	if (result->status.kind != ST_OK) {
		g_string_append(page, "<p class=\"notice failed\">");
		cs_append_escaped(page, result->status.msg);
		g_string_append(page, "</p>");
		status = st_http_status(result->status.kind);
	}
	g_string_append(page, "<table><tr><th>Key</th><th>Entry</th></tr>");
	for (size_t i = 0; i < json_array_size(result->json); i++)
		cs_add_audit_row(page, json_array_get(result->json, i));
	g_string_append(page, "</table>");
	cs_end_page(page);
	if (audit_read->request_ref->req)
		cs_reply_page(audit_read->request_ref->req, status, page);
	else
		g_string_free(page, TRUE);
	hd_request_ref_release(audit_read->request_ref);
	g_free(audit_read);
}

static void cs_get_audit(struct cs_console *console, h2o_req_t *req)
{
	struct cs_audit_read *audit_read = g_new0(struct cs_audit_read, 1);
	struct pf_callback callback = { cs_on_audit, audit_read };

	audit_read->console = console;
	audit_read->request_ref = hd_request_ref_new(req);
	pf_list_rows(console->platform, "audit", "", CS_AUDIT_ROWS, true,
		     &callback);
}

static void cs_set_session(const struct cs_console *console, h2o_req_t *req)
{
	const struct se_tls *tls = &console->settings->operators_tls;
	gint64 expiry_s =
		g_get_real_time() / G_USEC_PER_SEC + CS_SESSION_LIFETIME_S;
	char *text = g_strdup_printf("session.%" G_GINT64_FORMAT, expiry_s);
	char hmac[CS_HMAC_HEX_BYTES];
	char *cookie;

	cs_compute_hmac(console, text, hmac);
	cookie = g_strdup_printf("session=%" G_GINT64_FORMAT
				 ".%s; HttpOnly; SameSite=Strict; "
				 "Path=/console; Max-Age=%d%s",
				 expiry_s, hmac, CS_SESSION_LIFETIME_S,
				 tls->plaintext ? "" : "; Secure");
	hd_add_header(req, "set-cookie", cookie, strlen(cookie));
	g_free(cookie);
	g_free(text);
}

static void cs_post_login(struct cs_console *console, h2o_req_t *req)
{
	GHashTable *params = cs_parse_params(req);
	const char *given = params ? cs_get_param(params, "token") : "";
	bool valid = hd_same_secret(given, strlen(given),
				    console->settings->operator_token);

	if (params)
		g_hash_table_destroy(params);
	if (!valid) {
		lg_warn("console", "login refused");
		cs_show_login(console, req, 401, "The token is wrong.");
		return;
	}
	cs_set_session(console, req);
	hd_add_header(req, "location", "/console", strlen("/console"));
	hd_reply(req, 303, "text/plain", "", 0);
}

static void cs_add_services(const struct cs_console *console, GString *page)
{
	const struct gw_gateway *gateway = console->gateway;

	g_string_append(page, "<h2>Services</h2><table><tr><th>Service</th>"
			      "<th>In flight</th><th>Queued</th>"
			      "<th>Servers usable</th><th>Servers</th></tr>");
	for (guint i = 0; i < tx_list_count(&gateway->services); i++) {
		struct core_service_stats stats;

		if (!core_service_stats(&gateway->core, i, &stats))
			continue;
		g_string_append(page, "<tr><td>");
		cs_append_escaped(page, tx_list_name(&gateway->services, i));
		g_string_append_printf(page,
				       "</td><td>%u</td><td>%u</td><td>%u</td>"
				       "<td>%u</td></tr>",
				       stats.in_flight, stats.queued,
				       stats.servers_usable, stats.servers);
	}
	g_string_append(page, "</table>");
}

static void cs_add_results(GString *page)
{
	g_string_append(page, "<h2>Calls since the start, by result</h2>"
			      "<table><tr><th>Result</th><th>Calls</th></tr>");
	for (int i = 0; i < ST_KIND_COUNT; i++) {
		uint64_t calls = ct_get_result((enum st_kind)i);

		if (calls)
			g_string_append_printf(
				page,
				"<tr><td>%s</td><td>%" G_GUINT64_FORMAT
				"</td></tr>",
				st_name((enum st_kind)i), calls);
	}
	g_string_append(page, "</table>");
}

static void cs_add_counters(GString *page)
{
	g_string_append(page, "<h2>Counters since the start</h2><table>");
#define X(id, name, help)                                                   \
	g_string_append_printf(                                             \
		page, "<tr><td>%s</td><td>%" G_GUINT64_FORMAT "</td></tr>", \
		help, ct_get(CT_##id));
	CT_LIST(X)
#undef X
	g_string_append(page, "</table>");
}

static void cs_get_status(struct cs_console *console, h2o_req_t *req)
{
	GString *page = cs_begin_page(console, "Status");

	g_string_append(page, "<p>Host ");
	cs_append_escaped(page, console->settings->host);
	g_string_append_printf(
		page,
		", generation %" G_GUINT64_FORMAT
		" in force, %u live entry hosts, platform %s, "
		"%u calls in flight</p>",
		cs_generation_in_force(console), console->gateway->hosts->len,
		console->control->row_read_failed ? "does not answer" :
						    "answers",
		console->gateway->calls_in_flight);
	cs_add_services(console, page);
	cs_add_results(page);
	cs_add_counters(page);
	cs_end_page(page);
	cs_reply_page(req, 200, page);
}

static void cs_get_style(struct cs_console *console, h2o_req_t *req)
{
	hd_reply(req, 200, "text/css", cs_style, strlen(cs_style));
}

static const struct {
	const char *method;
	const char *path;
	bool is_public; /* needs no session */
	void (*serve)(struct cs_console *console, h2o_req_t *req);
} cs_routes[] = {
	{ "GET", "/console/style.css", true, cs_get_style },
	{ "POST", "/console/login", true, cs_post_login },
	{ "GET", "/console", false, cs_get_document },
	{ "POST", "/console/document", false, cs_post_document },
	{ "GET", "/console/history", false, cs_get_audit },
	{ "GET", "/console/status", false, cs_get_status },
};

void cs_serve_request(struct cs_console *console, h2o_req_t *req)
{
	char *session = cs_session_cookie(req);
	bool valid = cs_is_session_valid(console, session);

	g_free(session);
	for (size_t i = 0; i < G_N_ELEMENTS(cs_routes); i++) {
		if (!hd_path_is(req, cs_routes[i].path) ||
		    !hd_method_is(req, cs_routes[i].method))
			continue;
		if (valid || cs_routes[i].is_public)
			cs_routes[i].serve(console, req);
		else
			cs_show_login(console, req, 401, "");
		return;
	}
	cs_reply_error(req, ST_NOT_FOUND, "no such page");
}
