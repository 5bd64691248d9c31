/*
 * Tests of customers: decoding them from the platform's manifest, finding them by
 * their keys, and the headers of callers that are not passed on.
 */
#include <string.h>

#include "gateway/state.h"
#include "platform/dialect.h"
#include "platform/manifest.h"
#include "tests/suite.h"

#define ROUTE(priority, more)                                         \
	"{\"name\":\"r\",\"host\":\"x.example\",\"prefix\":\"/p/\","  \
	"\"route-kind\":\"safe\",\"timeout-s\":1,\"max-attempts\":2," \
	"\"priority\":" priority more ",\"service\":\"a\"}"
#define MANIFEST(priority, more, tenants)                                  \
	"{\"version\":7,\"services\":[{\"name\":\"a\","                    \
	"\"max-connections\":9,\"warmup-per-s\":4.3}],\"routes\":[" ROUTE( \
		priority, more) "]" tenants "}"
#define TENANTS(rows) ",\"tenants\":[" rows "]"

static struct doc_document *decode(const char *text)
{
	struct st_status status;

	return mf_decode_manifest(text, strlen(text), &status);
}

static uint32_t find(const struct doc_document *document, const char *key)
{
	return doc_customers_find(document->customers, key, strlen(key));
}

START_TEST(customers_are_decoded)
{
	struct doc_document *document = decode(MANIFEST(
		"1", ",\"public\":true",
		TENANTS("{\"name\":\"a\",\"api-keys\":[\"k1\",\"k2\",\"\"],"
			"\"priority\":3,\"rate-per-s\":1.6,\"burst\":2},"
			"{\"name\":\"b\",\"api-keys\":[\"k2\",\"k3\"],"
			"\"rate-per-s\":1e300},"
			"{\"name\":\"c\"}")));
	const struct doc_customer *rows;

	ck_assert_ptr_nonnull(document);
	ck_assert(document->routes[0].is_public);
	ck_assert_uint_eq(document->services[0].warmup_milli_per_s, 4300);
	ck_assert_uint_eq(document->customers->count, 3);
	rows = document->customers->rows;
	ck_assert_str_eq(rows[0].name, "a");
	ck_assert(rows[0].has_priority && !rows[1].has_priority);
	ck_assert_uint_eq(rows[0].priority, 3);
	ck_assert_uint_eq(rows[0].rate_milli, 1600);
	ck_assert_uint_eq(rows[0].burst_milli, 2000);
	ck_assert_uint_eq(rows[1].rate_milli, UINT32_MAX);
	ck_assert_uint_eq(rows[2].rate_milli, 0);
	/* The first customer that lists a key holds it. */
	ck_assert_uint_eq(find(document, "k2"), 0);
	ck_assert_uint_eq(find(document, "k3"), 1);
	ck_assert_uint_eq(find(document, "k4"), DOC_NO_INDEX);
	ck_assert_uint_eq(find(document, ""), DOC_NO_INDEX);
	ck_assert_uint_eq(doc_customers_find(document->customers, "k33", 2), 1);
	ck_assert_uint_eq(doc_customers_find_name(document->customers, "bc", 1),
			  1);
	ck_assert_uint_eq(doc_customers_find_name(document->customers, "bc", 2),
			  DOC_NO_INDEX);
	doc_unref(document);
}
END_TEST

/* Guards against calls without a key that are served, or all refused by mistake. */
START_TEST(empty_list_is_a_list)
{
	struct doc_document *none = decode(MANIFEST("1", "", ""));
	struct doc_document *empty = decode(MANIFEST("1", "", TENANTS("")));

	ck_assert_ptr_null(none->customers);
	ck_assert(!none->routes[0].is_public);
	ck_assert_ptr_nonnull(empty->customers);
	ck_assert_uint_eq(find(empty, "k"), DOC_NO_INDEX);
	doc_unref(none);
	doc_unref(empty);
}
END_TEST

static const char *const bad_manifests[] = {
	MANIFEST("1", ",\"public\":\"yes\"", ""),
	MANIFEST("1", "", ",\"tenants\":{}"),
	MANIFEST("1", "", ",\"tenants\":null"),
	MANIFEST("1", "", TENANTS("7")),
	MANIFEST("1", "", TENANTS("{\"api-keys\":[\"k\"]}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"\"}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a\\r\\nx: y\"}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a \"}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a\",\"api-keys\":\"k\"}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a\",\"api-keys\":[7]}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a\",\"priority\":-1}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a\",\"rate-per-s\":-1}")),
	MANIFEST("1", "", TENANTS("{\"name\":\"a\",\"burst\":\"2\"}")),
};

/* Guards against a customer without its limits, and against injected headers. */
START_TEST(bad_customers_are_refused)
{
	ck_assert_ptr_null(decode(bad_manifests[_i]));
}
END_TEST

/* Guards against a customer's large priority that counts as another's. */
START_TEST(priorities_are_ranked_together)
{
	struct doc_document *document = decode(MANIFEST(
		"20", "",
		TENANTS("{\"name\":\"a\",\"priority\":4000000000},"
			"{\"name\":\"b\",\"priority\":5},{\"name\":\"c\"}")));

	ck_assert_uint_eq(document->customers->rows[1].priority, 0);
	ck_assert_uint_eq(document->routes[0].priority, 1);
	ck_assert_uint_eq(document->customers->rows[0].priority, 2);
	ck_assert_uint_eq(document->caller_count, 8);
	doc_unref(document);
}
END_TEST

static const struct {
	const char *name;
	bool own; /* in the project's own dialect */
	bool platform;
} headers[] = {
	{ "authorization", true, true }, { "AUTHORIZATION", true, true },
	{ "tenant", false, true },	 { "Tenant", false, true },
	{ "x-customer", true, false },	 { "X_Customer", true, false },
	{ "x.customer", true, false },	 { "x-customers", false, false },
	{ "xacustomer", false, false },	 { "tenants", false, false },
};

static bool is_dropped(struct doc_document *document,
		       const struct dl_dialect *dialect, const char *name)
{
	struct gw_gateway gateway = { .document = document,
				      .dialect = dialect };

	return gw_is_customer_header(&gateway, name, strlen(name));
}

/* Guards against a caller that names itself as another customer. */
START_TEST(spellings_of_headers_are_dropped)
{
	struct doc_document *with = decode(MANIFEST("1", "", TENANTS("")));
	struct doc_document *without = decode(MANIFEST("1", "", ""));
	const char *name = headers[_i].name;

	ck_assert(is_dropped(with, &dl_default, name) == headers[_i].own);
	ck_assert(is_dropped(with, &pd_dialect, name) == headers[_i].platform);
	ck_assert(!is_dropped(without, &dl_default, name));
	ck_assert(!is_dropped(without, &pd_dialect, name));
	doc_unref(with);
	doc_unref(without);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("customer");

	tcase_add_test(tests, customers_are_decoded);
	tcase_add_test(tests, empty_list_is_a_list);
	tcase_add_loop_test(tests, bad_customers_are_refused, 0,
			    G_N_ELEMENTS(bad_manifests));
	tcase_add_test(tests, priorities_are_ranked_together);
	tcase_add_loop_test(tests, spellings_of_headers_are_dropped, 0,
			    G_N_ELEMENTS(headers));
	return suite_run_case("customer", tests, CK_FORK_GETENV);
}
