#include "platform.h"

#include <string.h>

#include "counter.h"

enum {
	PF_TIMEOUT_US = 2 * 1000 * 1000,
	PF_MAX_CONNECTIONS = 8,
	PF_MAX_BODY_BYTES = 16 << 20
};

/* What the body of a successful answer holds. */
enum pf_form { PF_ROW, PF_JSON, PF_BYTES };

struct pf_operation {
	struct hc_request request; /* first: callbacks cast back */
	struct pf_client *client;
	struct pf_operation *next;
	struct pf_operation **prev_next;
	struct pf_callback callback;
	struct tm_sub timer;
	enum pf_form form;
	bool write;
	int http_status;
	GString *body;
	bool too_large;
};

static void pf_finish(struct pf_operation *op, struct pf_result *result)
{
	*op->prev_next = op->next;
	if (op->next)
		op->next->prev_next = op->prev_next;
	tm_cancel(op->client->timers, &op->timer);
	if (result->status.kind == ST_PLATFORM ||
	    result->status.kind == ST_PLATFORM_UNKNOWN)
		ct_add(CT_PLATFORM_ERRORS, 1);
	op->callback.done(op->callback.ctx, result);
	json_decref(result->json);
	g_string_free(op->body, TRUE);
	g_free(op);
}

static void pf_fail(struct pf_operation *op, bool may_have_run, const char *msg)
{
	struct pf_result result = { 0 };
	enum st_kind kind = ST_PLATFORM;

	if (op->write && may_have_run)
		kind = ST_PLATFORM_UNKNOWN;
	st_set(&result.status, kind, "platform: %s", msg);
	pf_finish(op, &result);
}

static enum st_kind pf_kind(const struct pf_operation *op)
{
	switch (op->http_status) {
	case 200:
	case 201:
	case 204:
		return ST_OK;
	case 404:
		return ST_NOT_FOUND;
	case 409:
		return ST_CONFLICT;
	default:
		/* An error after a write says nothing about its effect. */
		return op->write ? ST_PLATFORM_UNKNOWN : ST_PLATFORM;
	}
}

static bool pf_decode(struct pf_operation *op, struct pf_result *result)
{
	json_t *json;

	result->body = op->body->str;
	result->body_bytes = op->body->len;
	if (op->form == PF_BYTES)
		return true;
	json = json_loadb(op->body->str, op->body->len, 0, NULL);
	if (!json)
		return false;
	if (op->form == PF_JSON) {
		result->json = json;
		return true;
	}
	result->version =
		(uint64_t)json_integer_value(json_object_get(json, "version"));
	result->json = json_incref(json_object_get(json, "value"));
	json_decref(json);
	return result->json && result->version;
}

static void pf_answered(struct pf_operation *op)
{
	struct pf_result result = { 0 };

	result.status.kind = pf_kind(op);
	if (result.status.kind != ST_OK)
		st_set(&result.status, result.status.kind,
		       "platform: status %d", op->http_status);
	else if (!pf_decode(op, &result))
		st_set(&result.status,
		       op->write ? ST_PLATFORM_UNKNOWN : ST_PLATFORM,
		       "platform: malformed answer");
	pf_finish(op, &result);
}

static void pf_on_head(struct hc_request *request, const struct hc_head *head)
{
	struct pf_operation *op = (struct pf_operation *)request;

	op->http_status = head->status;
}

static void pf_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct pf_operation *op = (struct pf_operation *)request;

	if (op->body->len + data_bytes > PF_MAX_BODY_BYTES)
		op->too_large = true;
	else
		g_string_append_len(op->body, data, (gssize)data_bytes);
}

static void pf_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct pf_operation *op = (struct pf_operation *)request;

	if (end == HC_COMPLETE && !op->too_large)
		pf_answered(op);
	else if (end == HC_COMPLETE)
		pf_fail(op, true, "answer too large");
	else
		pf_fail(op, end != HC_NOT_SENT, msg);
}

static const struct hc_handler pf_handler = {
	.head = pf_on_head,
	.body = pf_on_body,
	.done = pf_on_done,
};

static void pf_on_timeout(void *ctx)
{
	struct pf_operation *op = ctx;
	bool sent = op->request.state >= HC_SENT;

	hc_cancel(&op->request);
	pf_fail(op, sent, "timeout");
}

/* Fails later, so that no callback runs before the caller returns. */
static void pf_on_no_connection(void *ctx)
{
	pf_fail(ctx, false, "no connection");
}

static void pf_start(struct pf_client *client, GString *out, enum pf_form form,
		     bool write, const struct pf_callback *callback)
{
	struct pf_operation *op = g_new0(struct pf_operation, 1);
	uint64_t now_us = tm_now_us();

	op->client = client;
	op->callback = *callback;
	op->form = form;
	op->write = write;
	op->body = g_string_new(NULL);
	op->request.handler = &pf_handler;
	op->timer.ctx = op;
	op->next = client->operations;
	op->prev_next = &client->operations;
	if (op->next)
		op->next->prev_next = &op->next;
	client->operations = op;
	ct_add(write ? CT_PLATFORM_WRITES : CT_PLATFORM_READS, 1);
	if (hc_start(&client->pool, &op->request, out)) {
		op->timer.fire = pf_on_timeout;
		tm_subscribe(client->timers, &op->timer,
			     now_us + client->timeout_us);
		return;
	}
	op->timer.fire = pf_on_no_connection;
	tm_subscribe(client->timers, &op->timer, now_us);
}

static GString *pf_head(struct pf_client *client, const char *method,
			const char *path)
{
	return hc_head_begin(method, strlen(method), path, strlen(path),
			     client->pool.address.text);
}

static void pf_get_path(struct pf_client *client, char *path, enum pf_form form,
			const struct pf_callback *callback)
{
	GString *out = pf_head(client, "GET", path);

	hc_head_end(out, NULL, 0);
	g_free(path);
	pf_start(client, out, form, false, callback);
}

void pf_init(struct pf_client *client, uv_loop_t *loop,
	     struct tm_service *timers, const struct nt_address *address)
{
	memset(client, 0, sizeof(*client));
	hc_pool_init(&client->pool, loop, address, PF_MAX_CONNECTIONS);
	client->timers = timers;
	client->timeout_us = PF_TIMEOUT_US;
}

void pf_free(struct pf_client *client)
{
	while (client->operations) {
		struct pf_operation *op = client->operations;

		client->operations = op->next;
		tm_cancel(client->timers, &op->timer);
		hc_cancel(&op->request);
		g_string_free(op->body, TRUE);
		g_free(op);
	}
	hc_pool_close(&client->pool, NULL, NULL);
}

void pf_get(struct pf_client *client, const char *table, const char *key,
	    const struct pf_callback *callback)
{
	char *escaped = g_uri_escape_string(key, NULL, FALSE);
	char *path = g_strdup_printf("/table/%s/%s", table, escaped);

	g_free(escaped);
	pf_get_path(client, path, PF_ROW, callback);
}

void pf_list(struct pf_client *client, const char *table, const char *after,
	     uint32_t limit, bool reverse, const struct pf_callback *callback)
{
	char *escaped = g_uri_escape_string(after, NULL, FALSE);
	char *path = g_strdup_printf("/table/%s?after=%s&limit=%u&reverse=%d",
				     table, escaped, limit, reverse);

	g_free(escaped);
	pf_get_path(client, path, PF_JSON, callback);
}

void pf_txn(struct pf_client *client, json_t *conditions, json_t *writes,
	    const struct pf_callback *callback)
{
	json_t *object = json_pack("{s:o, s:o}", "conditions", conditions,
				   "writes", writes);
	char *text = json_dumps(object, JSON_COMPACT);
	GString *out = pf_head(client, "POST", "/txn");

	hc_head_end(out, text, strlen(text));
	free(text);
	json_decref(object);
	pf_start(client, out, PF_JSON, true, callback);
}

void pf_condition(json_t *conditions, const char *table, const char *key,
		  uint64_t version)
{
	json_array_append_new(
		conditions, json_pack("{s:s, s:s, s:I}", "table", table, "key",
				      key, "version", (json_int_t)version));
}

void pf_write(json_t *writes, const char *table, const char *key, json_t *value)
{
	json_array_append_new(writes,
			      json_pack("{s:s, s:s, s:o}", "table", table,
					"key", key, "value", value));
}

void pf_put_object(struct pf_client *client, const char *name, const char *body,
		   size_t body_bytes, const struct pf_callback *callback)
{
	char *path = g_strdup_printf("/objects/%s", name);
	GString *out = pf_head(client, "PUT", path);

	hc_head_end(out, body, body_bytes);
	g_free(path);
	pf_start(client, out, PF_BYTES, true, callback);
}

void pf_get_object(struct pf_client *client, const char *name,
		   const struct pf_callback *callback)
{
	pf_get_path(client, g_strdup_printf("/objects/%s", name), PF_BYTES,
		    callback);
}

void pf_hosts(struct pf_client *client, const struct pf_callback *callback)
{
	pf_get_path(client, g_strdup("/hosts"), PF_JSON, callback);
}
