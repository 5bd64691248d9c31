/*
 * Test double of the platform: transactional table, object store and a
 * lagging host list over HTTP, with faults that a test can set.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "httpd.h"
#include "timer.h"
#include "tls.h"

enum { US_PER_MS = 1000, MAX_LIST = 1000 };

struct row {
	uint64_t version;
	json_t *value;
};

static struct {
	uv_loop_t loop;
	struct tm_service timers;
	struct hd_server http;
	GTree *rows; /* "table/key" to struct row */
	GHashTable *objects;
	json_t *hosts; /* visible */
	json_t *next_hosts; /* visible when the lag is over */
	struct tm_sub hosts_timer;
	uint64_t last_version;
	uint64_t reads;
	uint64_t writes;
	/* Faults. */
	int64_t delay_ms;
	int64_t lose_answers;
	int64_t lose_txn_answers; /* of transactions only */
	int64_t hosts_lag_ms;
	int down;
} platform;

struct delayed {
	struct hd_hold *hold;
	struct tm_sub timer;
};

static void reply_json(h2o_req_t *req, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT | JSON_ENCODE_ANY);

	hd_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(object);
}

static void free_row(void *ptr)
{
	struct row *row = ptr;

	json_decref(row->value);
	g_free(row);
}

static char *path_text(h2o_req_t *req)
{
	char *raw =
		g_strndup(req->path_normalized.base, req->path_normalized.len);
	char *text = g_uri_unescape_string(raw, NULL);

	g_free(raw);
	return text ? text : g_strdup("");
}

static void get_row(h2o_req_t *req, const char *key)
{
	struct row *row = g_tree_lookup(platform.rows, key);

	if (!row)
		reply_json(req, 404, json_object());
	else
		reply_json(req, 200,
			   json_pack("{s:I, s:O}", "version",
				     (json_int_t)row->version, "value",
				     row->value));
}

struct listing {
	char *prefix;
	char *after;
	json_t *rows;
};

static gboolean list_row(gpointer key, gpointer value, gpointer data)
{
	struct listing *listing = data;
	struct row *row = value;

	if (g_str_has_prefix(key, listing->prefix) &&
	    strcmp(key, listing->after) > 0)
		json_array_append_new(
			listing->rows,
			json_pack("{s:s, s:I, s:O}", "key",
				  (char *)key + strlen(listing->prefix),
				  "version", (json_int_t)row->version, "value",
				  row->value));
	return FALSE;
}

static json_t *cut_list(json_t *rows, size_t limit, bool reverse)
{
	json_t *out = json_array();
	size_t count = json_array_size(rows);

	for (size_t i = 0; i < count && i < limit; i++)
		json_array_append(
			out, json_array_get(rows, reverse ? count - 1 - i : i));
	json_decref(rows);
	return out;
}

static void list_rows(h2o_req_t *req, const char *table)
{
	char *after = hd_query(req, "after");
	char *limit = hd_query(req, "limit");
	char *reverse = hd_query(req, "reverse");
	struct listing listing = { .rows = json_array() };

	listing.prefix = g_strconcat(table, "/", NULL);
	listing.after = g_strconcat(listing.prefix, after ? after : "", NULL);
	g_tree_foreach(platform.rows, list_row, &listing);
	reply_json(req, 200,
		   cut_list(listing.rows,
			    limit ? strtoul(limit, NULL, 10) : MAX_LIST,
			    reverse && *reverse == '1'));
	g_free(listing.prefix);
	g_free(listing.after);
	g_free(after);
	g_free(limit);
	g_free(reverse);
}

static char *row_key(const json_t *item)
{
	const char *table = json_string_value(json_object_get(item, "table"));
	const char *key = json_string_value(json_object_get(item, "key"));

	return g_strdup_printf("%s/%s", table ? table : "", key ? key : "");
}

/* Index of the first condition that does not hold, or -1. */
static int failed_condition(const json_t *conditions)
{
	for (size_t i = 0; i < json_array_size(conditions); i++) {
		const json_t *item = json_array_get(conditions, i);
		char *key = row_key(item);
		struct row *row = g_tree_lookup(platform.rows, key);
		uint64_t wanted = (uint64_t)json_integer_value(
			json_object_get(item, "version"));

		g_free(key);
		if ((row ? row->version : 0) != wanted)
			return (int)i;
	}
	return -1;
}

static void write_rows(const json_t *writes)
{
	for (size_t i = 0; i < json_array_size(writes); i++) {
		const json_t *item = json_array_get(writes, i);
		json_t *value = json_object_get(item, "value");
		char *key = row_key(item);
		struct row *row;

		if (!value || json_is_null(value)) {
			g_tree_remove(platform.rows, key);
			g_free(key);
			continue;
		}
		row = g_new0(struct row, 1);
		row->version = ++platform.last_version;
		row->value = json_incref(value);
		g_tree_replace(platform.rows, key, row);
	}
}

/* Whether the answer of a write that took effect is to be lost. */
static bool lose_answer(int64_t *left)
{
	if (*left <= 0)
		return false;
	--*left;
	return true;
}

static void run_txn(h2o_req_t *req)
{
	json_t *txn = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	int failed;

	if (!txn) {
		reply_json(req, 400, json_object());
		return;
	}
	failed = failed_condition(json_object_get(txn, "conditions"));
	if (failed >= 0) {
		reply_json(req, 409, json_pack("{s:i}", "conflict", failed));
	} else {
		write_rows(json_object_get(txn, "writes"));
		if (!lose_answer(&platform.lose_txn_answers) &&
		    !lose_answer(&platform.lose_answers))
			reply_json(
				req, 200,
				json_pack("{s:I}", "version",
					  (json_int_t)platform.last_version));
	}
	json_decref(txn);
}

static void serve_object(h2o_req_t *req, const char *name)
{
	GBytes *bytes;
	gsize size;
	const char *data;

	if (hd_method_is(req, "PUT")) {
		g_hash_table_replace(
			platform.objects, g_strdup(name),
			g_bytes_new(req->entity.base, req->entity.len));
		if (!lose_answer(&platform.lose_answers))
			reply_json(req, 200, json_object());
		return;
	}
	bytes = g_hash_table_lookup(platform.objects, name);
	if (!bytes) {
		reply_json(req, 404, json_object());
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	hd_reply(req, 200, "application/octet-stream", data, size);
}

static void show_hosts(void *ctx)
{
	json_decref(platform.hosts);
	platform.hosts = json_incref(platform.next_hosts);
}

static void put_hosts(h2o_req_t *req)
{
	json_t *hosts = json_loadb(req->entity.base, req->entity.len, 0, NULL);

	if (hosts) {
		json_decref(platform.next_hosts);
		platform.next_hosts = hosts;
		tm_subscribe(&platform.timers, &platform.hosts_timer,
			     tm_now_us() + (uint64_t)platform.hosts_lag_ms *
						   US_PER_MS);
	}
	reply_json(req, hosts ? 200 : 400, json_object());
}

static void set_fault(h2o_req_t *req)
{
	json_t *fault = json_loadb(req->entity.base, req->entity.len, 0, NULL);

	if (fault)
		json_unpack(fault, "{s?I, s?I, s?I, s?I, s?b}", "delay_ms",
			    &platform.delay_ms, "lose_answers",
			    &platform.lose_answers, "lose_txn_answers",
			    &platform.lose_txn_answers, "hosts_lag_ms",
			    &platform.hosts_lag_ms, "down", &platform.down);
	reply_json(req, fault ? 200 : 400, json_object());
	json_decref(fault);
}

static void serve(h2o_req_t *req)
{
	char *path = path_text(req);
	bool write = !hd_method_is(req, "GET");

	if (platform.down) {
		reply_json(req, 503, json_object());
		g_free(path);
		return;
	}
	if (write)
		platform.writes++;
	else
		platform.reads++;
	if (g_str_has_prefix(path, "/objects/"))
		serve_object(req, path + strlen("/objects/"));
	else if (!strcmp(path, "/hosts"))
		reply_json(req, 200, json_incref(platform.hosts));
	else if (!strcmp(path, "/txn") && write)
		run_txn(req);
	else if (g_str_has_prefix(path, "/table/") &&
		 strchr(path + strlen("/table/"), '/'))
		get_row(req, path + strlen("/table/"));
	else if (g_str_has_prefix(path, "/table/"))
		list_rows(req, path + strlen("/table/"));
	else
		reply_json(req, 404, json_object());
	g_free(path);
}

static void on_delay_over(void *ctx)
{
	struct delayed *delayed = ctx;

	if (delayed->hold->req)
		serve(delayed->hold->req);
	hd_release(delayed->hold);
	g_free(delayed);
}

static void delay(h2o_req_t *req)
{
	struct delayed *delayed = g_new0(struct delayed, 1);

	delayed->hold = hd_hold(req);
	delayed->timer.fire = on_delay_over;
	delayed->timer.ctx = delayed;
	tm_subscribe(&platform.timers, &delayed->timer,
		     tm_now_us() + (uint64_t)platform.delay_ms * US_PER_MS);
}

static void on_request(void *ctx, h2o_req_t *req)
{
	if (hd_path_is(req, "/fault"))
		set_fault(req);
	else if (hd_path_is(req, "/hosts") && hd_method_is(req, "PUT"))
		put_hosts(req);
	else if (hd_path_is(req, "/stats"))
		reply_json(req, 200,
			   json_pack("{s:I, s:I}", "reads",
				     (json_int_t)platform.reads, "writes",
				     (json_int_t)platform.writes));
	else if (platform.delay_ms)
		delay(req);
	else
		serve(req);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

int main(int argc, char **argv)
{
	static struct se_tls files;
	static struct tl_listener tls;
	struct nt_address address;
	struct st_status status;

	if (argc < 2 || argc == 3 || !nt_parse(argv[1], &address)) {
		fprintf(stderr,
			"usage: tool_platform ADDRESS [CERTIFICATE KEY]\n");
		return 2;
	}
	uv_loop_init(&platform.loop);
	tm_init(&platform.timers, &platform.loop);
	platform.rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	platform.objects = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	platform.hosts = json_array();
	platform.hosts_timer.fire = show_hosts;
	if (hd_init(&platform.http, &platform.loop, &address, on_request, NULL,
		    &status) != ST_OK) {
		fprintf(stderr, "%s\n", status.msg);
		return 1;
	}
	files.plaintext = argc < 4;
	if (argc >= 4) {
		g_strlcpy(files.certificate, argv[2], SE_PATH_BYTES);
		g_strlcpy(files.key, argv[3], SE_PATH_BYTES);
	}
	if (tl_listen(&tls, &platform.http, &files, &platform.timers,
		      &status) != ST_OK) {
		fprintf(stderr, "%s\n", status.msg);
		return 1;
	}
	uv_run(&platform.loop, UV_RUN_DEFAULT);
	return 0;
}
