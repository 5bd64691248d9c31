/* Tests of documents: consistency checks, differences, samples, fuzzing. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "document/document.h"
#include "tests/suite.h"

enum { MUTATIONS = 3000, FUZZ_SEED = 20261204 };
enum { MUTATION_EDITS_END = 8 }; /* exclusive: at most 7 edits */

/*
 * A small valid document. Every case replaces one of its lines, so that the
 * line number of the expected error is known.
 */
static const char *const good_lines[] = {
	"deployment: test", /* 1 */
	"latency_weight_percent: 50",
	"zones: [a, b]", /* 3 */
	"callers: [{name: clerk, weight: 2}, {name: batch}]",
	"services:", /* 5 */
	"  - name: desk",
	"    route: /desk/", /* 7 */
	"    deadline_ms: 100",
	"    longest_deadline_ms: 500", /* 9 */
	"    policy: shares",
	"    measuring: {requests_per_s: 5, bytes_per_s: 500, "
	"cross_zone_bytes_per_s: 50}", /* 11 */
	"    rules:",
	"      - {method: GET, path: /desk/, idempotent: true}", /* 13 */
	"      - {method: POST, path: /desk/orders}",
	"    servers:", /* 15 */
	"      - {name: d1, address: \"127.0.0.1:9001\", zone: a, slots: 3, "
	"connections: 9}",
	"      - {name: d2, address: \"127.0.0.1:9002\", zone: b, slots: 3, "
	"connections: 9}", /* 17 */
	"  - name: files",
	"    route: /files/", /* 19 */
	"    remote_zones: [b]",
	"    measuring: {requests_per_s: 0, bytes_per_s: 0, "
	"cross_zone_bytes_per_s: 0}", /* 21 */
	"    servers:",
	"      - {name: f1, address: \"127.0.0.1:9003\", zone: a, slots: 3, "
	"connections: 9}", /* 23 */
};

enum { GOOD_LINES = sizeof(good_lines) / sizeof(good_lines[0]) };

/* Returns the valid document with one line replaced; LINE 0 replaces none. */
static char *make_text(size_t line, const char *replacement)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < GOOD_LINES; i++) {
		g_string_append(text,
				i + 1 == line ? replacement : good_lines[i]);
		g_string_append_c(text, '\n');
	}
	return g_string_free(text, FALSE);
}

static struct doc_document *parse(const char *text, struct ym_errors *errors)
{
	ym_errors_init(errors);
	return doc_parse(text, strlen(text), errors);
}

#define SERVER(name, port, rest) \
	"      - {name: " name ", address: \"127.0.0.1:" port "\", " rest "}"
#define BUDGET(r, b, c)                                               \
	"    measuring: {requests_per_s: " r ", bytes_per_s: " b ", " \
	"cross_zone_bytes_per_s: " c "}"

#define CUSTOMER(name, keys) "customers: [{name: " name ", keys: [" keys "]}]"
#define QUOTA(fields)	     "customers: [{name: x, quota: {" fields "}}]"

struct bad_case {
	size_t line; /* number of the replaced line */
	const char *text; /* replacement */
	size_t error_line; /* 0: the document is valid */
	const char *field;
	const char *message; /* part of the expected message */
};

static const struct bad_case bad_cases[] = {
	{ 1, "deployment: \"\"", 1, "deployment", "must not be empty" },
	{ 1, "deployment: a b", 1, "deployment", "may only have" },
	{ 1, "deployment: caf\xe9", 1, "", "not valid UTF-8" },
	{ 2, "latency_weight_percent: 101", 2, "latency_weight_percent",
	  "not a whole number from 0 to 100" },
	{ 2, "latency: 50", 2, "latency", "unknown field" },
	{ 3, "zones: []", 3, "zones", "must not be empty" },
	{ 3, "zones: [a, b, a]", 3, "zones", "used twice" },
	{ 3, "zones: [a, b, c]", 15, "servers", "none in zone \"c\"" },
	{ 4, "callers: [{name: x}, {name: x}]", 4, "name", "used twice" },
	{ 4, "callers: [{name: x, weight: 0}]", 4, "weight", "from 1 to" },
	{ 4, "callers: [x]", 4, "callers", "must be a mapping" },
	{ 6, "  - name: files", 18, "name", "used twice" },
	{ 7, "    route: desk/", 7, "route", "must begin with '/'" },
	{ 7, "    route: /files/", 19, "route", "used twice" },
	{ 7, "    route: /desk//", 7, "route", "empty or relative segment" },
	{ 19, "    route: /desk", 19, "route", "differs from another route" },
	{ 19, "    route: /desk/orders", 14, "path",
	  "under the route of service \"files\"" },
	{ 8, "    deadline_ms: 501", 8, "deadline_ms", "from 1 to 500" },
	{ 8, "    deadline_ms: -1", 8, "deadline_ms", "not a whole number" },
	{ 9, "    queue_limit: 100001", 9, "queue_limit", "from 0 to" },
	{ 9, "    retry_percent: 101", 9, "retry_percent", "from 0 to 100" },
	{ 10, "    policy: best", 10, "policy", "does not exist" },
	{ 11, BUDGET("5", "500", "501"), 11, "cross_zone_bytes_per_s",
	  "larger than bytes_per_s" },
	{ 11, BUDGET("5", "0", "0"), 11, "bytes_per_s", "without use" },
	{ 11, BUDGET("1000000000", "1000000000", "0"), 0, "", "" },
	{ 11, "    measuring: {requests_per_s: 5}", 11, "bytes_per_s",
	  "missing" },
	{ 11, "    queue_limit: 5", 6, "measuring", "missing" },
	{ 18, "  - name: files\n    policy: probes", 19, "policy",
	  "needs a measuring budget" },
	{ 13, "      - {method: get, path: /desk/}", 13, "method",
	  "does not exist" },
	{ 13, "      - {method: GET, path: /other/}", 13, "path",
	  "not under the route" },
	{ 13, "      - {path: /desk/}", 14, "rules", "hidden by" },
	{ 14, "      - {method: GET, path: /desk/x}", 14, "rules",
	  "hidden by the rule on line 13" },
	{ 14, "      - {method: GET, path: /desk/}", 14, "rules",
	  "repeats the rule on line 13" },
	{ 14, "      - {deadline_ms: 501}", 14, "deadline_ms",
	  "from 1 to 500" },
	{ 16, SERVER("d1", "9001", "zone: x, slots: 3, connections: 9"), 16,
	  "zone", "does not exist" },
	{ 16, SERVER("d1", "9001", "zone: a, slots: 9, connections: 8"), 16,
	  "connections", "8 connections cannot fill 9 slots" },
	{ 16, SERVER("d1", "9001", "zone: a, slots: 0, connections: 8"), 16,
	  "slots", "from 1 to" },
	{ 16, SERVER("d1", "99999", "zone: a, slots: 1, connections: 8"), 16,
	  "address", "not an IP address" },
	{ 16, SERVER("d2", "9001", "zone: a, slots: 1, connections: 8"), 17,
	  "name", "used twice" },
	{ 16, SERVER("d1", "9003", "zone: a, slots: 1, connections: 8"), 23,
	  "address", "used twice" },
	{ 16, SERVER("d1", "9001", "zone: b, slots: 1, connections: 8"), 15,
	  "servers", "none in zone \"a\"" },
	{ 16,
	  SERVER("d1", "9001", "zone: a, slots: 1, connections: 8, port: 1"),
	  16, "port", "unknown field" },
	{ 23,
	  SERVER("f1", "9003",
		 "zone: a, slots: 1, connections: 8, leaving: true"),
	  22, "servers", "every server is leaving" },
	{ 20, "    remote_zones: [a, b]", 20, "remote_zones",
	  "has a server of the service" },
	{ 20, "    remote_zones: [x]", 20, "remote_zones", "does not exist" },
	{ 20, "    queue_limit: 5", 22, "servers", "not in remote_zones" },
	{ 22, "    servers: []\n    rules:", 22, "servers",
	  "must not be empty" },
	{ 3, "zones: [a, b]\nevacuated_zones: [c]", 4, "evacuated_zones",
	  "does not exist" },
	{ 3, "zones: [a, b]\nevacuated_zones: [a, a]", 4, "evacuated_zones",
	  "used twice" },
	{ 20, "    remote_zones: [b]\n    public: maybe", 21, "public",
	  "true or false" },
	{ 10, "    warmup_per_s: 0", 10, "warmup_per_s", "from 0.001 to" },
	{ 10, "    warmup_per_s: 4.3001", 10, "warmup_per_s", "3 decimals" },
	{ 10, "    warmup_per_s: 4.", 10, "warmup_per_s", "not a number" },
	{ 10, "    warmup_per_s: 4000000.001", 10, "warmup_per_s",
	  "to 4000000 " },
	{ 10, "    warmup_per_s: 99999999999999999999", 10, "warmup_per_s",
	  "not a number" },
	{ 4, "customers: []", 4, "customers", "must not be empty" },
	{ 4, "customers: [x]", 4, "customers", "must be a mapping" },
	{ 4, CUSTOMER("a b", "k"), 4, "name", "may only have" },
	{ 4, "customers: [{keys: [k]}]", 4, "name", "missing" },
	{ 4, "customers: [{name: x}, {name: x}]", 4, "name", "used twice" },
	{ 4, CUSTOMER("x", "k], priority: [0"), 4, "priority",
	  "unknown field" },
	{ 4, CUSTOMER("x", "\"\""), 4, "keys", "must not be empty" },
	{ 4, CUSTOMER("x", "[k]"), 4, "keys", "must not be empty" },
	{ 4, CUSTOMER("x", "\"k k\""), 4, "keys", "may only have" },
	{ 4, CUSTOMER("x", "\"#123456789abc\""), 4, "keys", "may only have" },
	{ 4, CUSTOMER("x", "=="), 4, "keys", "may only have" },
	{ 4, CUSTOMER("x", "k, k"), 4, "keys", "listed twice" },
	{ 4,
	  "customers:\n  - {name: x, keys: [k]}\n  - {name: y, keys: [j,\n"
	  "    k]}",
	  7, "keys", "customer \"x\" holds a key" },
	{ 4, QUOTA("burst: 5"), 4, "requests_per_s", "missing" },
	{ 4, QUOTA("requests_per_s: 0"), 4, "requests_per_s", "from 0.001" },
	{ 4, QUOTA("requests_per_s: -1"), 4, "requests_per_s", "not a number" },
	{ 4, QUOTA("requests_per_s: 1, burst: 0.5"), 4, "burst", "from 1 to" },
	{ 4, QUOTA("requests_per_s: 1, rate: 1"), 4, "rate", "unknown field" },
	{ 4, "customers: [{name: x, quota: 5}]", 4, "quota",
	  "must be a mapping" },
};

/*
 * Guards against inconsistent documents that are accepted, and against errors
 * reported at a line or field where an operator would not find the cause.
 */
START_TEST(inconsistencies_are_reported_with_line_and_field)
{
	const struct bad_case *bad = &bad_cases[_i];
	char *text = make_text(bad->line, bad->text);
	struct ym_errors errors;
	struct doc_document *document = parse(text, &errors);
	bool found = !bad->error_line && document;

	for (uint32_t i = 0; i < errors.count && !found; i++)
		found = errors.rows[i].line == bad->error_line &&
			!strcmp(errors.rows[i].field, bad->field) &&
			strstr(errors.rows[i].msg, bad->message);
	ck_assert_msg(found, "case %d \"%s\": first error line %u %s: %s", _i,
		      bad->text, errors.rows[0].line, errors.rows[0].field,
		      errors.rows[0].msg);
	ck_assert(!document == (bad->error_line != 0));
	ym_errors_free(&errors);
	doc_unref(document);
	g_free(text);
}
END_TEST

/*
 * Guards against sums above a limit that no single entry exceeds: the weights
 * of all callers, and the measuring budgets of all services.
 */
START_TEST(totals_over_all_entries_are_limited)
{
	GString *callers = g_string_new("callers: [");
	struct ym_errors errors;
	char *text;

	for (int i = 0; i < 101; i++)
		g_string_append_printf(callers, "{name: c%d, weight: 1000},",
				       i);
	g_string_append_c(callers, ']');
	text = make_text(4, callers->str);
	ck_assert_ptr_null(parse(text, &errors));
	ck_assert_uint_eq(errors.rows[0].line, 4);
	ck_assert_str_eq(errors.rows[0].field, "callers");
	ym_errors_free(&errors);
	g_free(text);
	text = make_text(21, BUDGET("999999999", "1000000000", "0"));
	ck_assert_ptr_null(parse(text, &errors));
	ck_assert_str_eq(errors.rows[0].field, "measuring");
	ym_errors_free(&errors);
	g_free(text);
	g_string_free(callers, TRUE);
}
END_TEST

static char *diff_text(const char *old_text, const char *new_text)
{
	struct ym_errors errors;
	struct doc_document *old = parse(old_text, &errors);
	struct doc_document *new;
	GString *out = g_string_new(NULL);
	GPtrArray *changes;
	json_t *json;

	ck_assert_ptr_nonnull(old);
	ym_errors_free(&errors);
	new = parse(new_text, &errors);
	ck_assert_ptr_nonnull(new);
	ym_errors_free(&errors);
	changes = doc_diff(old, new);
	doc_diff_print(changes, 100, out);
	json = doc_diff_json(changes);
	ck_assert_uint_eq(json_array_size(json), changes->len);
	json_decref(json);
	g_ptr_array_unref(changes);
	doc_unref(old);
	doc_unref(new);
	return g_string_free(out, FALSE);
}

struct diff_case {
	uint32_t line; /* replaced, as in bad_case */
	const char *text;
	const char *expected; /* start of the output; NULL: rules reordered */
};

static const struct diff_case diff_cases[] = {
	{ 0, "", "" },
	{ 2, "latency_weight_percent: 60",
	  "document: latency_weight_percent: 50 -> 60\n" },
	{ 4, "callers: [{name: clerk, weight: 3}]",
	  "caller batch: removed (weight 1)\n"
	  "caller clerk: weight: 2 -> 3\n" },
	{ 14, "      - {method: POST, path: /desk/orders, idempotent: true}",
	  "service desk, rule POST /desk/orders: idempotent: false -> true\n" },
	{ 13,
	  "      - {method: POST, path: /desk/orders}\n"
	  "      - {method: GET, path: /desk/, idempotent: true}\n#",
	  NULL },
	{ 16, SERVER("d1", "9009", "zone: a, slots: 3, connections: 9"),
	  "service desk, server d1: address: 127.0.0.1:9001 -> "
	  "127.0.0.1:9009\n" },
	{ 18, "  - name: sheets",
	  "service files: removed (route /files/, policy shares, " },
	{ 3, "zones: [a, b]\nevacuated_zones: [b]",
	  "document: evacuated_zones: none -> b\n" },
	{ 20, "    remote_zones: [b]\n    public: true\n    warmup_per_s: 4.30",
	  "service files: public: false -> true\n"
	  "service files: warmup_per_s: none -> 4.3\n" },
	{ 3, "zones: [a, b]\n" QUOTA("requests_per_s: 0.4"),
	  "customer x: added (keys 0, quota.requests_per_s 0.4, "
	  "quota.burst 1)\n"
	  "document: calls need keys: false -> true\n" },
};

/*
 * Guards against a change that is missing in the difference: an operator who
 * resolves a conflict would overwrite it unnoticed.
 */
START_TEST(diff_names_object_and_field)
{
	const struct diff_case *diff = &diff_cases[_i];
	char *old = make_text(0, NULL);
	char *new = make_text(diff->line, diff->text);
	char *text;

	if (!diff->expected) {
		/* Delete the second rule from its original place. */
		char **pieces = g_strsplit(new, "      - {method: POST", 3);

		g_free(new);
		new = g_strconcat(pieces[0], "      - {method: POST", pieces[1],
				  strchr(pieces[2], '\n') + 1, NULL);
		g_strfreev(pieces);
	}
	text = diff_text(old, new);
	if (diff->expected)
		ck_assert_msg(g_str_has_prefix(text, diff->expected) &&
				      !*text == !*diff->expected,
			      "got \"%s\"", text);
	else
		ck_assert_str_eq(text, "service desk: order of rules: "
				       "GET /desk/; POST /desk/orders -> "
				       "POST /desk/orders; GET /desk/\n");
	g_free(text);
	g_free(old);
	g_free(new);
}
END_TEST

static const char two_customers[] =
	"customers: [{name: acme, keys: [key-1, key-2], quota: "
	"{requests_per_s: 292.5, burst: 300}}, {name: beta, keys: [key-3]}]";

struct warning_case {
	uint32_t line; /* replaced, as in bad_case */
	uint32_t warning_line; /* 0: none */
	const char *text;
	const char *field;
	const char *message; /* part of the expected message */
};

static const struct warning_case warning_cases[] = {
	{ 0, 0, "", "", "" },
	{ 4, 0, two_customers, "", "" },
	{ 4, 4, QUOTA("requests_per_s: 0.2"), "keys", "\"x\" has no key" },
	{ 4, 8,
	  "customers:\n  - name: x\n    keys: [k]\n"
	  "    quota:\n      requests_per_s: 0.199",
	  "requests_per_s", "less than one request in 5 s" },
	{ 3, 23, "zones: [a, b]\nevacuated_zones: [a]", "servers",
	  "\"files\" has no server" },
	{ 20, 21, "    remote_zones: [b]\n    public: true", "public",
	  "no effect" },
	{ 3, 5, "zones: [a, b]\n" CUSTOMER("batch", "k"), "name",
	  "no customer is named \"clerk\"" },
};

/* Guards against a warning that is missing, or at a line that does not help. */
START_TEST(likely_mistakes_are_warned_of)
{
	const struct warning_case *expected = &warning_cases[_i];
	char *text = make_text(expected->line, expected->text);
	struct ym_errors errors;
	struct ym_errors warnings;
	struct doc_document *document = parse(text, &errors);
	json_t *list;

	ck_assert_ptr_nonnull(document);
	ym_errors_init(&warnings);
	doc_find_warnings(document, &warnings);
	ck_assert_uint_eq(warnings.count, expected->warning_line ? 1 : 0);
	ck_assert_uint_eq(warnings.rows[0].line, expected->warning_line);
	ck_assert_str_eq(warnings.rows[0].field, expected->field);
	ck_assert_msg(strstr(warnings.rows[0].msg, expected->message) != NULL,
		      "got %s", warnings.rows[0].msg);
	list = ym_errors_json(&warnings);
	ck_assert_uint_eq(json_array_size(list), warnings.count);
	json_decref(list);
	ym_errors_free(&warnings);
	ym_errors_free(&errors);
	doc_unref(document);
	g_free(text);
}
END_TEST

START_TEST(customers_are_read)
{
	char *text = make_text(4, two_customers);
	struct ym_errors errors;
	struct doc_document *document = parse(text, &errors);
	const struct doc_customers *customers;

	ck_assert_ptr_nonnull(document);
	customers = document->customers;
	ck_assert_uint_eq(customers->count, 2);
	ck_assert_uint_eq(customers->rows[0].rate_milli, 292500);
	ck_assert_uint_eq(customers->rows[0].burst_milli, 300000);
	ck_assert_uint_eq(customers->rows[1].rate_milli, 0);
	ck_assert(!customers->rows[0].has_priority);
	ck_assert_uint_eq(doc_customers_find(customers, "key-2", 5), 0);
	ck_assert_uint_eq(doc_customers_find(customers, "key-3", 5), 1);
	ck_assert_uint_eq(doc_customers_find(customers, "key-4", 5),
			  DOC_NO_INDEX);
	doc_unref(document);
	ym_errors_free(&errors);
	g_free(text);
}
END_TEST

/*
 * Guards against a key in the audit trail, which holds differences, and against a
 * key that moves or is removed without a line.
 */
START_TEST(diff_shows_no_key)
{
	char *old = make_text(4, two_customers);
	char *new = make_text(4, "customers: [{name: acme, keys: [key-2]}, "
				 "{name: beta, keys: [key-1, key-3]}]");
	char *text = diff_text(old, new);
	char digest[DOC_KEY_DIGEST_BYTES];
	char *moved;

	doc_key_digest("key-1", digest);
	moved = g_strdup_printf("customer acme: keys: 2 -> 1, 1 removed: #%s\n"
				"customer beta: keys: 1 -> 2, 1 added: #%s\n",
				digest, digest);
	ck_assert_msg(strstr(text, moved) != NULL, "got \"%s\"", text);
	ck_assert_ptr_null(strstr(text, "key-"));
	g_free(moved);
	g_free(text);
	g_free(old);
	g_free(new);
}
END_TEST

/* Guards against a key in an error, which is logged and shown to others. */
START_TEST(errors_show_no_key)
{
	static const char *const keys[] = { "secret1, secret1", "\"secret 1\"",
					    "[secret1]", "{secret1: 1}",
					    "secret1], keys: [secret1" };

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		char *list = g_strdup_printf(
			"customers: [{name: x, keys: [%s]}]", keys[i]);
		char *text = make_text(4, list);
		struct ym_errors errors;
		GString *out = g_string_new(NULL);

		ck_assert_ptr_null(parse(text, &errors));
		ym_errors_print(&errors, out);
		ck_assert_msg(!strstr(out->str, "secret"), "got %s", out->str);
		g_string_free(out, TRUE);
		ym_errors_free(&errors);
		g_free(text);
		g_free(list);
	}
}
END_TEST

/* Guards against lists that make a host slow or large to read. */
START_TEST(customers_and_keys_are_limited)
{
	GString *list = g_string_new("customers: [");
	struct ym_errors errors;
	char *text;

	for (int i = 0; i <= DOC_MAX_CUSTOMERS; i++)
		g_string_append_printf(list, "{name: c%d, keys: [k%d]},", i, i);
	g_string_append_c(list, ']');
	text = make_text(4, list->str);
	ck_assert_ptr_null(parse(text, &errors));
	ck_assert_str_eq(errors.rows[0].msg, "more than 10000 entries");
	ym_errors_free(&errors);
	g_free(text);
	g_string_assign(list, "customers: [{name: x, keys: [");
	for (int i = 0; i <= DOC_MAX_CUSTOMER_KEYS; i++)
		g_string_append_printf(list, "k%d,", i);
	g_string_append(list, "]}]");
	text = make_text(4, list->str);
	ck_assert_ptr_null(parse(text, &errors));
	ck_assert_str_eq(errors.rows[0].msg, "more than 64 entries");
	ym_errors_free(&errors);
	g_free(text);
	g_string_free(list, TRUE);
}
END_TEST

struct sample {
	const char *path;
	/* Of each server of the second service. */
	uint32_t slots;
	uint32_t connections;
};

static const struct sample samples[] = {
	{ "examples/tri-parish.yaml", 6, 260 },
	{ "examples/blue-mahoe.yaml", 3, 240 },
};

static struct doc_document *read_sample(const char *path)
{
	struct ym_errors errors;
	struct doc_document *document;
	char *text;
	gsize text_bytes;

	ck_assert(g_file_get_contents(path, &text, &text_bytes, NULL));
	ym_errors_init(&errors);
	document = doc_parse(text, text_bytes, &errors);
	ym_errors_free(&errors);
	g_free(text);
	return document;
}

/*
 * Guards against checks that reject the documents of the two deployments in
 * examples/, and against samples that no longer have the deployments' sizes.
 */
START_TEST(sample_documents_are_accepted)
{
	const struct sample *sample = &samples[_i];
	struct doc_document *document = read_sample(sample->path);

	ck_assert_ptr_nonnull(document);
	ck_assert_uint_eq(document->zone_count, 3);
	ck_assert_uint_eq(document->service_count, 2);
	ck_assert_uint_eq(document->services[0].server_count, 30);
	ck_assert_uint_eq(document->services[1].server_count, 6);
	for (uint32_t i = 0; i < 6; i++) {
		const struct doc_server *server =
			&document->services[1].servers[i];

		ck_assert_uint_eq(server->slots, sample->slots);
		ck_assert_uint_eq(server->connections, sample->connections);
	}
	doc_unref(document);
}
END_TEST

static const char *const fuzzed_samples[] = {
	"examples/tri-parish.yaml",
	"examples/customers.yaml",
};

/* Guards against a sample that an operator can't take over as it is. */
START_TEST(sample_with_customers_is_accepted)
{
	struct doc_document *document = read_sample(fuzzed_samples[1]);
	struct ym_errors warnings;

	ck_assert_ptr_nonnull(document);
	ym_errors_init(&warnings);
	doc_find_warnings(document, &warnings);
	ck_assert_uint_eq(warnings.count, 0);
	ck_assert_uint_eq(document->customers->rows[1].burst_milli, 1600);
	ck_assert(document->services[1].is_public);
	ck_assert_ptr_null(document->zone_evacuated);
	ym_errors_free(&warnings);
	doc_unref(document);
}
END_TEST

static void mutate(GRand *random, GString *text)
{
	static const char *const pieces[] = { "\n",   "- ",  ": ", "{",
					      "}",    "[",   "\"", "\t",
					      "\xff", "&a ", "*a", "-1" };
	gint32 edits = g_rand_int_range(random, 1, MUTATION_EDITS_END);

	for (gint32 i = 0; i < edits && text->len > 2; i++) {
		gint32 at = g_rand_int_range(random, 0, (gint32)text->len - 1);
		gint32 piece = g_rand_int_range(random, 0,
						(gint32)G_N_ELEMENTS(pieces));

		switch (g_rand_int_range(random, 0, 4)) {
		case 0:
			g_string_erase(text, at, 1);
			break;
		case 1:
			text->str[at] = (char)g_rand_int_range(random, 0, 256);
			break;
		case 2:
			g_string_insert(text, at, pieces[piece]);
			break;
		default:
			g_string_truncate(text, (gsize)at);
			break;
		}
	}
}

/*
 * Guards against input that makes the parser or the checks read out of bounds.
 * A rejected text must have at least one error, and an accepted document must
 * have no difference from itself.
 */
START_TEST(mutated_documents_are_rejected_or_parsed)
{
	GRand *random = g_rand_new_with_seed(FUZZ_SEED);
	int accepted = 0;
	char *good;

	ck_assert(g_file_get_contents(fuzzed_samples[_i], &good, NULL, NULL));

	for (int i = 0; i < MUTATIONS; i++) {
		GString *text = g_string_new(good);
		struct ym_errors errors;
		struct doc_document *document;
		GString *out = g_string_new(NULL);

		mutate(random, text);
		ym_errors_init(&errors);
		document = doc_parse(text->str, text->len, &errors);
		ck_assert(!document == (errors.count > 0));
		ym_errors_print(&errors, out);
		if (document) {
			GPtrArray *changes = doc_diff(document, document);

			accepted++;
			doc_find_warnings(document, &errors);
			ck_assert_uint_eq(changes->len, 0);
			g_ptr_array_unref(changes);
		}
		doc_unref(document);
		ym_errors_free(&errors);
		g_string_free(out, TRUE);
		g_string_free(text, TRUE);
	}
	ck_assert_int_gt(accepted, 0);
	ck_assert_int_lt(accepted, MUTATIONS);
	g_free(good);
	g_rand_free(random);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("document");

	tcase_add_loop_test(tcase,
			    inconsistencies_are_reported_with_line_and_field, 0,
			    G_N_ELEMENTS(bad_cases));
	tcase_add_test(tcase, totals_over_all_entries_are_limited);
	tcase_add_loop_test(tcase, diff_names_object_and_field, 0,
			    G_N_ELEMENTS(diff_cases));
	tcase_add_loop_test(tcase, likely_mistakes_are_warned_of, 0,
			    G_N_ELEMENTS(warning_cases));
	tcase_add_test(tcase, customers_are_read);
	tcase_add_test(tcase, diff_shows_no_key);
	tcase_add_test(tcase, errors_show_no_key);
	tcase_add_test(tcase, customers_and_keys_are_limited);
	tcase_add_loop_test(tcase, sample_documents_are_accepted, 0,
			    G_N_ELEMENTS(samples));
	tcase_add_test(tcase, sample_with_customers_is_accepted);
	tcase_add_loop_test(tcase, mutated_documents_are_rejected_or_parsed, 0,
			    G_N_ELEMENTS(fuzzed_samples));
	return suite_run_case("document", tcase, CK_FORK_GETENV);
}
