/* Tests of the rows of evacuated zones, and of what health checks say of a warm-up. */
#include <string.h>

#include "gateway/dialect.h"
#include "platform/dialect.h"
#include "platform/evacuation.h"
#include "tests/suite.h"

static uv_loop_t loop;
static struct tm_service timers;
static struct ev_zones zones;
static struct fd_feed feed;
static struct tx_list names;
static uint32_t changes;

static void on_change(void *ctx)
{
	changes++;
}

static void setup(void)
{
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	memset(&zones, 0, sizeof(zones));
	memset(&feed, 0, sizeof(feed));
	feed.position.era = 1;
	changes = 0;
	ev_init(&zones, &timers);
	zones.changed = on_change;
	tx_list_init(&names);
	for (const char *name = "ab"; *name; name++) {
		char *text = tx_new((char[]){ *name, '\0' });

		tx_list_index(&names, text);
		tx_unref(text);
	}
}

static void teardown(void)
{
	ev_close(&zones);
	ev_free(&zones);
	tx_list_free(&names);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

static bool apply(const char *key, bool removed, uint64_t version)
{
	struct pf_row row = { .table = "op",
			      .key = (char *)key,
			      .position = { feed.position.era, version },
			      .removed = removed };

	return ev_apply_row(&zones, &feed, &row);
}

static bool is_evacuated(uint32_t zone)
{
	bool *flags = ev_flags(&zones, &names);
	bool evacuated = flags && flags[zone];

	g_free(flags);
	return evacuated;
}

/* Guards against other keys that are taken for zones, and flags without a zone. */
START_TEST(rows_name_zones)
{
	ck_assert(ev_is_row("evacuate/a"));
	ck_assert(!ev_is_row("evacuate/"));
	ck_assert(!ev_is_row("config"));
	ck_assert(apply("evacuate/nowhere", false, 1));
	ck_assert_ptr_null(ev_flags(&zones, &names));
	ck_assert(apply("evacuate/b", false, 2));
	ck_assert(!apply("evacuate/b", false, 3));
	ck_assert(!is_evacuated(0));
	ck_assert(is_evacuated(1));
	ck_assert(apply("evacuate/b", true, 4));
	ck_assert_ptr_null(ev_flags(&zones, &names));
}
END_TEST

/* The store comes back from a copy, whose table is read up to VERSION. */
static void restore(uint64_t version)
{
	feed.position.era++;
	feed.restored_us = tm_now_us();
	feed.restored_version = version;
}

static void wait_until(uint64_t at_us)
{
	while (tm_now_us() < at_us)
		uv_run(&loop, UV_RUN_ONCE);
}

/*
 * Guards against an evacuation that ends because the copy of a restored store lacks
 * its row, and against one that has ended and begins again.
 */
START_TEST(changes_of_a_copy_wait_for_the_operator)
{
	apply("evacuate/a", false, 9);
	restore(5);
	ck_assert(!apply("evacuate/a", true, 5));
	ck_assert(!apply("evacuate/b", false, 5));
	ck_assert(is_evacuated(0));
	ck_assert(!is_evacuated(1));
	ck_assert(!apply("evacuate/a", false, 6));
	ck_assert(!apply("evacuate/b", true, 7));
	wait_until(feed.restored_us + EV_REWRITE_US + 50000);
	ck_assert(is_evacuated(0));
	ck_assert(!is_evacuated(1));
	ck_assert_uint_eq(changes, 0);
}
END_TEST

/* Guards against a copy whose rows never count, and delays of what is new. */
START_TEST(copy_counts_when_the_operator_changes_nothing)
{
	apply("evacuate/a", false, 9);
	restore(5);
	ck_assert(!apply("evacuate/a", true, 5));
	ck_assert(apply("evacuate/b", false, 6));
	ck_assert(is_evacuated(0));
	wait_until(feed.restored_us + EV_REWRITE_US + 50000);
	ck_assert(!is_evacuated(0));
	ck_assert(is_evacuated(1));
	ck_assert_uint_eq(changes, 1);
}
END_TEST

static const struct {
	const char *value; /* NULL: no header */
	bool ok;
	uint64_t left_us;
} headers[] = {
	{ NULL, true, 0 },	     { "0", true, 0 },
	{ "1500", true, 1500000 },   { "0.5", true, 500 },
	{ "1e30", true, 300000000 }, { "", false, 0 },
	{ "-1", false, 0 },	     { "soon", false, 0 },
	{ "nan", false, 0 },	     { "12 s", false, 0 },
};

/* Guards against a header that is misread, and a server taken for warm by it. */
START_TEST(warmup_header_is_parsed)
{
	const char *value = headers[_i].value;
	struct hc_header header = { .name = "warmup-ms",
				    .name_bytes = strlen("warmup-ms"),
				    .value = value,
				    .value_bytes = value ? strlen(value) : 0 };
	struct hc_head head = { .status = 200,
				.headers = &header,
				.header_count = value != NULL };
	struct core_event event;

	ck_assert_int_eq(dl_parse_warmup(&pd_dialect, &head, &event),
			 headers[_i].ok);
	ck_assert_uint_eq(event.u.warmup.left_us, headers[_i].left_us);
	ck_assert_int_eq(event.kind, CORE_EV_WARMUP);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("evacuation-rows");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, rows_name_zones);
	tcase_add_test(tests, changes_of_a_copy_wait_for_the_operator);
	tcase_add_test(tests, copy_counts_when_the_operator_changes_nothing);
	tcase_add_loop_test(tests, warmup_header_is_parsed, 0,
			    G_N_ELEMENTS(headers));
	return suite_run_case("evacuation-rows", tests, CK_FORK_GETENV);
}
