/*
 * Test double of the platform's store over HTTP: rows in tables with a feed of
 * changes, and objects.
 *
 * usage: tool_platform ADDRESS [CERTIFICATE KEY]
 * With a certificate and its key it serves HTTPS instead of HTTP. /fault sets
 * faults, named in a JSON object like the fields below. PUT /hosts sets the
 * list of hosts, which the table "hosts" shows after hosts_lag_ms. /stats
 * returns the numbers of reads and writes, of these the reads of changes of the table
 * "hosts", and the newest version.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "http/httpd.h"
#include "base/timer.h"
#include "http/tls.h"

enum {
	US_PER_MS = 1000,
	MAX_PAGE_ROWS = 500,
	MAX_PAGE_BYTES = 1 << 20 /* of values */
};

#define HOSTS_TABLE "hosts"

struct row {
	uint64_t version;
	char *value; /* base64; NULL: removed, the row is kept for the feed */
};

/* What the store holds. A restore from a copy brings an earlier state back. */
struct state {
	GTree *rows; /* "table/key" to struct row */
	GHashTable *objects;
	uint64_t last_version;
	/* Changes up to this version are gone; a feed after an earlier version
	 * is answered with 410. */
	uint64_t purged_version;
};

/* A request of the feed that is answered at the next change (long poll). */
struct feed_waiter {
	struct hd_request_ref *request_ref;
	struct tm_sub timer;
};

static struct {
	uv_loop_t loop;
	struct tm_service timers;
	struct hd_server http;
	struct state state;
	struct state copy; /* rows: NULL if none was made */
	uint64_t era; /* rises with each restore; named in all answers */
	GList *waiters;
	json_t *next_hosts; /* published when hosts_timer fires */
	struct tm_sub hosts_timer;
	uint64_t reads;
	uint64_t writes;
	uint64_t hosts_changes; /* reads of the changes of HOSTS_TABLE */
	/* Faults. They do not apply to /fault, /hosts and /stats. */
	int64_t delay_ms; /* of every call */
	int64_t lose_answers; /* of the next N writes that take effect */
	int64_t lose_txn_answers; /* the same, of transactions only */
	int64_t late_txns; /* the next N run after late_ms, unanswered */
	int64_t late_ms;
	int64_t hosts_lag_ms;
	int64_t refuse_status; /* status of the answer to every call; 0: none */
	int down; /* every call is answered with 503 */
	int silent; /* no call is answered */
} platform;

/* A request that is served when delay_ms has passed. */
struct delayed_request {
	struct hd_request_ref *request_ref;
	struct tm_sub timer;
};

static void add_era(h2o_req_t *req)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, platform.era);
	hd_add_header(req, "Store-Era", text, strlen(text));
}

static void reply_json(h2o_req_t *req, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT | JSON_ENCODE_ANY);

	add_era(req);
	hd_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(object);
}

static void free_row(void *ptr)
{
	struct row *row = ptr;

	g_free(row->value);
	g_free(row);
}

static char *decode_path(h2o_req_t *req)
{
	char *raw =
		g_strndup(req->path_normalized.base, req->path_normalized.len);
	char *text = g_uri_unescape_string(raw, NULL);

	g_free(raw);
	return text ? text : g_strdup("");
}

/* The rows of one table from a key on that changed after a version. */
struct listing {
	char *prefix;
	char *from; /* first key, with the prefix */
	uint64_t after; /* version */
	bool removed; /* include removed rows */
	size_t limit;
	size_t bytes; /* of the values so far */
	json_t *rows;
	bool more;
};

static gboolean list_row(gpointer key, gpointer value, gpointer data)
{
	struct listing *listing = data;
	struct row *row = value;
	json_t *json;

	if (!g_str_has_prefix(key, listing->prefix) ||
	    strcmp(key, listing->from) < 0 || row->version <= listing->after ||
	    (!row->value && !listing->removed))
		return FALSE;
	if (json_array_size(listing->rows) >= listing->limit ||
	    (!listing->removed && listing->bytes > MAX_PAGE_BYTES)) {
		listing->more = true;
		return TRUE;
	}
	listing->bytes += row->value ? strlen(row->value) : 0;
	json = json_pack("{s:s, s:s, s:I}", "part", "", "key",
			 (char *)key + strlen(listing->prefix), "ver",
			 (json_int_t)row->version);
	if (row->value)
		json_object_set_new(json, "value", json_string(row->value));
	else
		json_object_set_new(json, "deleted", json_true());
	json_array_append_new(listing->rows, json);
	return FALSE;
}

static void list_rows(h2o_req_t *req, bool feed, struct listing *listing)
{
	char *table = hd_query(req, "table");
	char *from = hd_query(req, "from");

	listing->rows = json_array();
	listing->removed = feed;
	listing->prefix = g_strconcat(table ? table : "", "/", NULL);
	listing->from = g_strconcat(listing->prefix, from ? from : "", NULL);
	g_tree_foreach(platform.state.rows, list_row, listing);
	g_free(listing->prefix);
	g_free(listing->from);
	g_free(table);
	g_free(from);
}

static void reply_rows(h2o_req_t *req, struct listing *listing)
{
	reply_json(req, 200,
		   json_pack("{s:o, s:b, s:I, s:f}", "rows", listing->rows,
			     "has-more", listing->more, "ver",
			     (json_int_t)platform.state.last_version, "now-s",
			     (double)tm_now_us() / 1e6));
}

static uint64_t query_number(const h2o_req_t *req, const char *name,
			     uint64_t fallback)
{
	char *text = hd_query(req, name);
	uint64_t value = text ? strtoull(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}

static void serve_rows(h2o_req_t *req)
{
	struct listing listing = {
		.limit = MIN(query_number(req, "limit", MAX_PAGE_ROWS),
			     MAX_PAGE_ROWS),
	};

	list_rows(req, false, &listing);
	reply_rows(req, &listing);
}

/*
 * Answers a request of the feed if there are changes or EVEN_IF_EMPTY is set.
 * Returns whether it was answered.
 */
static bool answer_feed(h2o_req_t *req, bool even_if_empty)
{
	struct listing listing = {
		.limit = SIZE_MAX,
		.after = query_number(req, "after", 0),
	};

	if (listing.after < platform.state.purged_version ||
	    listing.after > platform.state.last_version) {
		reply_json(req, 410, json_object());
		return true;
	}
	list_rows(req, true, &listing);
	if (json_array_size(listing.rows) || even_if_empty) {
		reply_rows(req, &listing);
		return true;
	}
	json_decref(listing.rows);
	return false;
}

static void free_waiter(struct feed_waiter *waiter)
{
	platform.waiters = g_list_remove(platform.waiters, waiter);
	tm_cancel(&platform.timers, &waiter->timer);
	hd_request_ref_release(waiter->request_ref);
	g_free(waiter);
}

static void on_wait_timeout(void *ctx)
{
	struct feed_waiter *waiter = ctx;

	if (waiter->request_ref->req)
		answer_feed(waiter->request_ref->req, true);
	free_waiter(waiter);
}

static void count_feed(const h2o_req_t *req)
{
	char *table = hd_query(req, "table");

	if (!g_strcmp0(table, HOSTS_TABLE))
		platform.hosts_changes++;
	g_free(table);
}

static void serve_feed(h2o_req_t *req)
{
	uint64_t wait_ms = query_number(req, "wait-ms", 0);
	struct feed_waiter *waiter;

	count_feed(req);
	if (answer_feed(req, !wait_ms))
		return;
	waiter = g_new0(struct feed_waiter, 1);
	waiter->request_ref = hd_request_ref_new(req);
	waiter->timer.fire = on_wait_timeout;
	waiter->timer.ctx = waiter;
	platform.waiters = g_list_prepend(platform.waiters, waiter);
	tm_subscribe(&platform.timers, &waiter->timer,
		     tm_now_us() + wait_ms * US_PER_MS);
}

static void answer_waiters(void)
{
	GList *next;

	for (GList *l = platform.waiters; l; l = next) {
		struct feed_waiter *waiter = l->data;

		next = l->next;
		if (!waiter->request_ref->req ||
		    answer_feed(waiter->request_ref->req, false))
			free_waiter(waiter);
	}
}

static char *row_key(const json_t *item)
{
	const char *table = json_string_value(json_object_get(item, "table"));
	const char *key = json_string_value(json_object_get(item, "key"));

	return g_strdup_printf("%s/%s", table ? table : "", key ? key : "");
}

/* Whether every row has the expected version; 0 stands for no row. */
static bool conditions_hold(const json_t *conditions)
{
	for (size_t i = 0; i < json_array_size(conditions); i++) {
		const json_t *item = json_array_get(conditions, i);
		char *key = row_key(item);
		struct row *row = g_tree_lookup(platform.state.rows, key);
		uint64_t wanted = (uint64_t)json_integer_value(
			json_object_get(item, "ver"));

		g_free(key);
		if ((row && row->value ? row->version : 0) != wanted)
			return false;
	}
	return true;
}

static void write_row(char *key, const char *value)
{
	struct row *row = g_new0(struct row, 1);

	row->version = platform.state.last_version;
	row->value = g_strdup(value);
	g_tree_replace(platform.state.rows, key, row);
}

static void write_rows(const json_t *txn)
{
	const json_t *puts = json_object_get(txn, "put");
	const json_t *removals = json_object_get(txn, "remove");

	platform.state.last_version++;
	for (size_t i = 0; i < json_array_size(puts); i++) {
		const json_t *item = json_array_get(puts, i);

		write_row(row_key(item),
			  json_string_value(json_object_get(item, "value")));
	}
	for (size_t i = 0; i < json_array_size(removals); i++)
		write_row(row_key(json_array_get(removals, i)), NULL);
	answer_waiters();
}

/* A transaction that runs later, when its caller may have given up. */
struct late_txn {
	json_t *txn;
	struct tm_sub timer;
};

static void on_late_txn(void *ctx)
{
	struct late_txn *late = ctx;

	if (conditions_hold(json_object_get(late->txn, "precondition")))
		write_rows(late->txn);
	json_decref(late->txn);
	g_free(late);
}

static void delay_txn(json_t *txn)
{
	struct late_txn *late = g_new0(struct late_txn, 1);

	late->txn = txn;
	late->timer.fire = on_late_txn;
	late->timer.ctx = late;
	tm_subscribe(&platform.timers, &late->timer,
		     tm_now_us() + (uint64_t)platform.late_ms * US_PER_MS);
}

/*
 * Whether a fault applies to this call. LEFT is the number of calls to which it
 * still applies, and is decremented.
 */
static bool consume_fault(int64_t *left)
{
	if (*left <= 0)
		return false;
	--*left;
	return true;
}

static size_t count_txn_entries(const json_t *txn)
{
	return json_array_size(json_object_get(txn, "precondition")) +
	       json_array_size(json_object_get(txn, "put")) +
	       json_array_size(json_object_get(txn, "remove"));
}

static void run_txn(h2o_req_t *req)
{
	json_t *txn = json_loadb(req->entity.base, req->entity.len, 0, NULL);

	/* The platform accepts at most 100 entries in a transaction. */
	if (!txn || count_txn_entries(txn) > 100) {
		reply_json(req, 400, json_object());
		json_decref(txn);
		return;
	}
	if (consume_fault(&platform.late_txns)) {
		delay_txn(txn);
		return;
	}
	if (!conditions_hold(json_object_get(txn, "precondition"))) {
		reply_json(req, 412,
			   json_pack("{s:I}", "ver",
				     (json_int_t)platform.state.last_version));
	} else {
		write_rows(txn);
		if (!consume_fault(&platform.lose_txn_answers) &&
		    !consume_fault(&platform.lose_answers))
			reply_json(req, 200,
				   json_pack("{s:I}", "ver",
					     (json_int_t)platform.state
						     .last_version));
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
			platform.state.objects, g_strdup(name),
			g_bytes_new(req->entity.base, req->entity.len));
		if (!consume_fault(&platform.lose_answers))
			reply_json(req, 200, json_object());
		return;
	}
	bytes = g_hash_table_lookup(platform.state.objects, name);
	if (!bytes) {
		reply_json(req, 404, json_object());
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	add_era(req);
	hd_reply(req, 200, "application/octet-stream", data, size);
}

static gboolean collect_host(gpointer key, gpointer value, gpointer data)
{
	struct row *row = value;

	if (g_str_has_prefix(key, HOSTS_TABLE "/") && row->value)
		g_ptr_array_add(data, g_strdup(key));
	return FALSE;
}

/* Replaces the rows of the table "hosts" by the list that PUT /hosts set. */
static void publish_hosts(void *ctx)
{
	GPtrArray *old = g_ptr_array_new();

	platform.state.last_version++;
	g_tree_foreach(platform.state.rows, collect_host, old);
	for (guint i = 0; i < old->len; i++)
		write_row(g_ptr_array_index(old, i), NULL);
	g_ptr_array_free(old, TRUE);
	for (size_t i = 0; i < json_array_size(platform.next_hosts); i++) {
		json_t *host = json_array_get(platform.next_hosts, i);
		const char *name =
			json_string_value(json_object_get(host, "name"));
		char *text = json_dumps(host, JSON_COMPACT);
		char *value =
			g_base64_encode((const guchar *)text, strlen(text));

		write_row(g_strconcat(HOSTS_TABLE "/", name, NULL), value);
		g_free(value);
		free(text);
	}
	answer_waiters();
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

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static void init_state(struct state *state)
{
	state->rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	state->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
}

static void free_state(struct state *state)
{
	g_tree_destroy(state->rows);
	g_hash_table_destroy(state->objects);
}

static gboolean copy_row(gpointer key, gpointer value, gpointer data)
{
	const struct row *from = value;
	struct row *row = g_new0(struct row, 1);

	row->version = from->version;
	row->value = g_strdup(from->value);
	g_tree_replace(data, g_strdup(key), row);
	return FALSE;
}

static void copy_state(const struct state *from, struct state *to)
{
	GHashTableIter iter;
	void *name;
	void *bytes;

	init_state(to);
	to->last_version = from->last_version;
	to->purged_version = from->purged_version;
	g_tree_foreach(from->rows, copy_row, to->rows);
	g_hash_table_iter_init(&iter, from->objects);
	while (g_hash_table_iter_next(&iter, &name, &bytes))
		g_hash_table_replace(to->objects, g_strdup(name),
				     g_bytes_ref(bytes));
}

static void make_copy(void)
{
	if (platform.copy.rows)
		free_state(&platform.copy);
	copy_state(&platform.state, &platform.copy);
}

static void restore_copy(void)
{
	free_state(&platform.state);
	copy_state(&platform.copy, &platform.state);
	platform.era++;
	answer_waiters();
}

/*
 * Sets the faults of the request; "forget" purges all changes so far, "copy"
 * copies the store and "restore" brings the copy back. "era" is the number of restores
 * that the store states from now on.
 */
static void set_faults(h2o_req_t *req)
{
	json_t *fault = json_loadb(req->entity.base, req->entity.len, 0, NULL);

	if (fault)
		json_unpack(fault,
			    "{s?I, s?I, s?I, s?I, s?I, s?I, s?I, s?b, s?b}",
			    "delay_ms", &platform.delay_ms, "lose_answers",
			    &platform.lose_answers, "lose_txn_answers",
			    &platform.lose_txn_answers, "late_txns",
			    &platform.late_txns, "late_ms", &platform.late_ms,
			    "hosts_lag_ms", &platform.hosts_lag_ms,
			    "refuse_status", &platform.refuse_status, "down",
			    &platform.down, "silent", &platform.silent);
	if (fault && json_is_true(json_object_get(fault, "forget")))
		platform.state.purged_version = platform.state.last_version;
	if (fault && json_is_true(json_object_get(fault, "copy")))
		make_copy();
	if (fault && json_object_get(fault, "era"))
		platform.era = (uint64_t)json_integer_value(
			json_object_get(fault, "era"));
	if (fault && json_is_true(json_object_get(fault, "restore")) &&
	    platform.copy.rows)
		restore_copy();
	reply_json(req, fault ? 200 : 400, json_object());
	json_decref(fault);
}

static void serve_path(h2o_req_t *req, const char *path)
{
	static const char put[] = "/jackdawworks/blob-put/";
	static const char get[] = "/jackdawworks/blob-get/";

	if (g_str_has_prefix(path, put))
		serve_object(req, path + strlen(put));
	else if (g_str_has_prefix(path, get))
		serve_object(req, path + strlen(get));
	else if (!strcmp(path, "/jackdawworks/rows-tx"))
		run_txn(req);
	else if (!strcmp(path, "/jackdawworks/rows-feed"))
		serve_feed(req);
	else if (!strcmp(path, "/jackdawworks/rows-get"))
		serve_rows(req);
	else
		reply_json(req, 404, json_object());
}

static void serve_request(h2o_req_t *req)
{
	char *path;

	if (platform.silent)
		return;
	if (platform.down || platform.refuse_status) {
		reply_json(req,
			   platform.down ? 503 : (int)platform.refuse_status,
			   json_object());
		return;
	}
	if (hd_method_is(req, "GET"))
		platform.reads++;
	else
		platform.writes++;
	path = decode_path(req);
	serve_path(req, path);
	g_free(path);
}

static void on_delay_over(void *ctx)
{
	struct delayed_request *delayed = ctx;

	if (delayed->request_ref->req)
		serve_request(delayed->request_ref->req);
	hd_request_ref_release(delayed->request_ref);
	g_free(delayed);
}

static void delay_request(h2o_req_t *req)
{
	struct delayed_request *delayed = g_new0(struct delayed_request, 1);

	delayed->request_ref = hd_request_ref_new(req);
	delayed->timer.fire = on_delay_over;
	delayed->timer.ctx = delayed;
	tm_subscribe(&platform.timers, &delayed->timer,
		     tm_now_us() + (uint64_t)platform.delay_ms * US_PER_MS);
}

static void on_request(void *ctx, h2o_req_t *req)
{
	if (hd_path_is(req, "/fault"))
		set_faults(req);
	else if (hd_path_is(req, "/hosts") && hd_method_is(req, "PUT"))
		put_hosts(req);
	else if (hd_path_is(req, "/stats"))
		reply_json(
			req, 200,
			json_pack("{s:I, s:I, s:I, s:I}", "reads",
				  (json_int_t)platform.reads, "writes",
				  (json_int_t)platform.writes, "hosts_changes",
				  (json_int_t)platform.hosts_changes, "version",
				  (json_int_t)platform.state.last_version));
	else if (platform.delay_ms)
		delay_request(req);
	else
		serve_request(req);
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
	init_state(&platform.state);
	platform.era = 1;
	platform.hosts_timer.fire = publish_hosts;
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
