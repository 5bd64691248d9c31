/*
 * Tests of platform/host_list.c. Guards against a host that is dropped before its row is
 * written, against lists that never become equal, and against whole lists in each poll.
 */
#include <string.h>

#include "platform/host_list.h"
#include "tests/suite.h"

enum { S = 1000 * 1000, MANY = 200 };

static struct hl_list a, b;
static uint32_t changes; /* that A has told of */

static void on_changed(void *ctx)
{
	changes++;
}

static void setup(void)
{
	hl_init(&a);
	hl_init(&b);
	a.changed = on_changed;
}

static void teardown(void)
{
	hl_free(&a);
	hl_free(&b);
}

static json_t *make_value(uint32_t number)
{
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", 1000 + number);
	return json_pack("{s:s, s:s, s:i}", "zone", "z", "address", address,
			 "rank", (int)number);
}

/* Hosts FROM to TO, without the latter, as a message has them. */
static json_t *make_hosts(uint32_t from, uint32_t to)
{
	json_t *hosts = json_object();
	char name[16];

	for (uint32_t i = from; i < to; i++) {
		g_snprintf(name, sizeof(name), "h%u", i);
		json_object_set_new(hosts, name, make_value(i));
	}
	return hosts;
}

/* The same as rows of the table, among them one of another kind. */
static json_t *make_rows(uint32_t from, uint32_t to)
{
	json_t *rows = json_pack("[{s:s, s:{s:i}}]", "key", "block-1", "value",
				 "until", 1);
	char name[16];

	for (uint32_t i = from; i < to; i++) {
		g_snprintf(name, sizeof(name), "h%u", i);
		json_array_append_new(rows, json_pack("{s:s, s:o}", "key", name,
						      "value", make_value(i)));
	}
	return rows;
}

/* Returns whether the list has told of a change. */
static bool merge(struct hl_list *list, json_t *hosts, uint64_t now_us)
{
	uint32_t before = changes;

	hl_merge(list, hosts, now_us);
	json_decref(hosts);
	return changes != before;
}

static bool take_own_word(const char *name, const json_t *value)
{
	uint32_t before = changes;

	hl_take_own_word(&a, name, value, S);
	return changes != before;
}

static void take_table(struct hl_list *list, json_t *rows, uint64_t now_us)
{
	hl_take_table(list, rows, now_us);
	json_decref(rows);
}

START_TEST(host_that_others_told_of_is_kept_for_a_while)
{
	take_table(&a, make_rows(0, 3), S);
	ck_assert_uint_eq(hl_count(&a), 3);
	ck_assert(merge(&a, make_hosts(3, 4), 2 * S));
	ck_assert(!merge(&a, make_hosts(3, 4), 2 * S));
	take_table(&a, make_rows(0, 3), 30 * S);
	ck_assert_uint_eq(hl_count(&a), 4);
	take_table(&a, make_rows(0, 3), 100 * S);
	ck_assert_uint_eq(hl_count(&a), 3);
}
END_TEST

/* A table from a copy may lack the row of this host. */
START_TEST(own_host_is_always_listed)
{
	struct hl_host own = { .name = "own", .zone = "z" };

	ck_assert(nt_parse("127.0.0.1:1", &own.address));
	hl_add_own(&a, &own);
	take_table(&a, make_rows(0, 1), 1000 * (uint64_t)S);
	ck_assert_uint_eq(hl_count(&a), 2);
}
END_TEST

START_TEST(lists_become_equal_in_two_messages)
{
	json_t *missing;
	bool all;

	take_table(&a, make_rows(0, 5), S);
	take_table(&b, make_rows(3, 9), S);
	ck_assert(a.digest != b.digest);
	missing = hl_pack_since(&b, a.digest, &all);
	ck_assert(all);
	hl_merge(&a, missing, S);
	json_decref(missing);
	missing = make_hosts(3, 9);
	merge(&b, hl_pack_missing(&a, missing), S);
	ck_assert(a.digest == b.digest);
	ck_assert_uint_eq(hl_count(&b), 9);
	json_decref(missing);
	missing = hl_pack_since(&b, 0, &all);
	ck_assert_ptr_null(hl_pack_missing(&a, missing));
	json_decref(missing);
}
END_TEST

START_TEST(lagging_list_gets_what_it_lacks)
{
	json_t *since;
	bool all;

	take_table(&a, make_rows(0, MANY), S);
	take_table(&b, make_rows(0, MANY), S);
	merge(&b, make_hosts(MANY, MANY + 2), S);
	since = hl_pack_since(&b, a.digest, &all);
	ck_assert(!all);
	ck_assert_uint_eq(json_object_size(since), 2);
	merge(&a, since, S);
	ck_assert(a.digest == b.digest);
	/* After a host was dropped, steps of before would be wrong. */
	take_table(&b, make_rows(0, MANY - 1), 1000 * (uint64_t)S);
	json_decref(hl_pack_since(&b, a.digest, &all));
	ck_assert(all);
}
END_TEST

START_TEST(own_word_replaces_an_address)
{
	json_t *moved = make_value(7);

	take_table(&a, make_rows(0, 3), S);
	ck_assert(take_own_word("h1", moved));
	ck_assert(!take_own_word("h1", moved));
	ck_assert_uint_eq(hl_count(&a), 3);
	json_decref(moved);
}
END_TEST

/* What is no host is left out: it comes from another process. */
START_TEST(odd_hosts_are_left_out)
{
	static const char *const texts[] = {
		"{\"h\":1}",
		"{\"h\":{}}",
		"{\"h\":{\"zone\":\"z\"}}",
		"{\"h\":{\"zone\":\"z\",\"address\":\"x\"}}",
		"{\"h\":{\"zone\":\"z\",\"address\":\"127.0.0.1:99999\"}}",
		"{\"h\":{\"zone\":1,\"address\":\"127.0.0.1:1\"}}",
		"[]",
		"null",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert(!merge(
			&a, json_loads(texts[i], JSON_DECODE_ANY, NULL), S));
	ck_assert(!merge(&a, NULL, S));
	ck_assert_uint_eq(hl_count(&a), 0);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("host_list");

	tcase_add_checked_fixture(tests, setup, teardown);
	tcase_add_test(tests, host_that_others_told_of_is_kept_for_a_while);
	tcase_add_test(tests, own_host_is_always_listed);
	tcase_add_test(tests, lists_become_equal_in_two_messages);
	tcase_add_test(tests, lagging_list_gets_what_it_lacks);
	tcase_add_test(tests, own_word_replaces_an_address);
	tcase_add_test(tests, odd_hosts_are_left_out);
	return suite_run_case("host_list", tests, CK_FORK);
}
