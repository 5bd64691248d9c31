/*
 * Tests of core/crash_guard.h. The pattern: a few callers send a request under which
 * each server crashes, and send it again, through many hosts, while sound requests
 * run on the same servers and crash with them. Guards against a request that ends
 * server after server, and against sound requests that are blocked for it: because
 * they ran beside it, because servers crash for other reasons, or because many
 * callers send them.
 */
#include <string.h>

#include "core/crash_guard.h"
#include "tests/suite.h"

enum { S = 1000 * 1000, MINUTE = 60 * S };

static struct cg_guard guard;
static uint64_t now_us;

static struct cg_key key_of(uint32_t request)
{
	struct cg_key key = { { 0 } };
	uint32_t mixed = request * 2654435761U;

	memcpy(key.bytes, &mixed, sizeof(mixed));
	memcpy(key.bytes + sizeof(mixed), &request, sizeof(request));
	return key;
}

static bool crash(uint32_t request, uint64_t server)
{
	struct cg_key key = key_of(request);

	return cg_add_crash(&guard, &key, server, now_us);
}

static void answer(uint32_t request)
{
	struct cg_key key = key_of(request);

	cg_add_answer(&guard, &key, now_us);
}

static uint64_t blocked_us(uint32_t request)
{
	struct cg_key key = key_of(request);

	return cg_blocked_us(&guard, &key, now_us);
}

static void setup(void)
{
	cg_init(&guard);
	now_us = S;
}

static void teardown(void)
{
	cg_free(&guard);
}

START_TEST(three_servers_block_a_request)
{
	ck_assert(!crash(1, 1));
	ck_assert(!crash(1, 2));
	ck_assert(!blocked_us(1));
	ck_assert(crash(1, 3));
	ck_assert_uint_eq(blocked_us(1), MINUTE);
	/* Those that were on their way do not block it anew. */
	ck_assert(!crash(1, 4));
	ck_assert_uint_eq(blocked_us(1), MINUTE);
}
END_TEST

/* Several hosts see the crash of one server, and each tells of it. */
START_TEST(one_server_counts_once)
{
	for (uint32_t i = 0; i < 10; i++)
		ck_assert(!crash(1, 7));
	ck_assert(!crash(1, 8));
	ck_assert(!crash(1, 7));
	ck_assert(!blocked_us(1));
}
END_TEST

/* Each crash takes 5 sound requests along; their callers try again once. */
START_TEST(requests_beside_it_are_not_blocked)
{
	uint32_t sound = 1000;

	for (uint64_t server = 1; server <= 20; server++) {
		crash(1, server);
		for (uint32_t i = 0; i < 5; i++) {
			crash(sound, server);
			crash(sound, server + 1);
			answer(sound++);
		}
		now_us += S / 10;
	}
	ck_assert_uint_gt(blocked_us(1), 0);
	for (uint32_t request = 1000; request < sound; request++)
		ck_assert_uint_eq(blocked_us(request), 0);
}
END_TEST

/*
 * Servers crash for other reasons, and a request that many callers send always
 * runs on some of them.
 */
START_TEST(request_with_good_answers_is_not_suspected)
{
	struct cg_key key = key_of(1);

	for (uint64_t server = 1; server <= 100; server++) {
		answer(1);
		ck_assert(!crash(1, server));
		now_us += S;
	}
	/* Nor does a host believe another one that has not seen them. */
	ck_assert(!cg_add_block(&guard, &key, MINUTE, now_us));
	ck_assert_uint_eq(blocked_us(1), 0);
}
END_TEST

START_TEST(suspicion_ends)
{
	crash(1, 1);
	crash(1, 2);
	now_us += MINUTE + 1;
	ck_assert(!crash(1, 3));
	ck_assert(!crash(1, 4));
	ck_assert(crash(1, 5));
}
END_TEST

/* After a block the request is tried again; one crash is then enough. */
START_TEST(block_ends_and_is_renewed_for_longer)
{
	uint64_t last_us = 0;

	crash(1, 1);
	crash(1, 2);
	crash(1, 3);
	for (uint64_t server = 4; server < 10; server++) {
		now_us += blocked_us(1);
		ck_assert_uint_eq(blocked_us(1), 0);
		ck_assert(crash(1, server));
		ck_assert_uint_ge(blocked_us(1), last_us);
		last_us = blocked_us(1);
		ck_assert_uint_le(last_us, 10 * MINUTE);
	}
	/* The servers were repaired. */
	now_us += blocked_us(1);
	answer(1);
	ck_assert(!crash(1, 100));
}
END_TEST

START_TEST(block_of_another_host_is_taken_over)
{
	struct cg_key key = key_of(1);

	ck_assert(cg_add_block(&guard, &key, 30 * S, now_us));
	ck_assert(!cg_add_block(&guard, &key, 29 * S, now_us + S));
	ck_assert_uint_eq(blocked_us(1), 30 * S);
	ck_assert(!cg_add_block(&guard, &key, UINT64_MAX, now_us));
	ck_assert_uint_le(blocked_us(1), 10 * MINUTE);
	now_us += blocked_us(1);
	ck_assert(crash(1, 1));
}
END_TEST

/* Requests that are new each time must not use ever more memory. */
START_TEST(memory_is_bounded)
{
	for (uint32_t request = 0; request < 100000; request++) {
		crash(request, 1);
		now_us += 10;
	}
	ck_assert_uint_le(guard.order.length, 4096);
	ck_assert_uint_eq(g_hash_table_size(guard.suspects),
			  guard.order.length);
	now_us += 2 * MINUTE;
	crash(1, 1);
	ck_assert_uint_eq(guard.order.length, 1);
}
END_TEST

static void count_block(void *ctx, const struct cg_key *key, uint64_t left_us)
{
	*(uint32_t *)ctx += left_us > 0;
}

START_TEST(only_blocks_are_listed)
{
	uint32_t count = 0;

	for (uint64_t server = 1; server <= 3; server++) {
		crash(1, server);
		crash(2, server);
	}
	crash(3, 1);
	cg_for_each_block(&guard, now_us, count_block, &count);
	ck_assert_uint_eq(count, 2);
	now_us += MINUTE;
	cg_for_each_block(&guard, now_us, count_block, &count);
	ck_assert_uint_eq(count, 2);
}
END_TEST

START_TEST(key_is_read_as_written)
{
	struct cg_key key = key_of(12345);
	struct cg_key read;
	char text[CG_KEY_TEXT_BYTES];

	cg_key_to_text(&key, text);
	ck_assert(cg_key_from_text(text, &read));
	ck_assert_mem_eq(&key, &read, sizeof(key));
	text[3] = 'x';
	ck_assert(!cg_key_from_text(text, &read));
	ck_assert(!cg_key_from_text("", &read));
	ck_assert(!cg_key_from_text(NULL, &read));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("crash");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, three_servers_block_a_request);
	tcase_add_test(tc, one_server_counts_once);
	tcase_add_test(tc, requests_beside_it_are_not_blocked);
	tcase_add_test(tc, request_with_good_answers_is_not_suspected);
	tcase_add_test(tc, suspicion_ends);
	tcase_add_test(tc, block_ends_and_is_renewed_for_longer);
	tcase_add_test(tc, block_of_another_host_is_taken_over);
	tcase_add_test(tc, memory_is_bounded);
	tcase_add_test(tc, only_blocks_are_listed);
	tcase_add_test(tc, key_is_read_as_written);
	return suite_run_case("crash", tc, CK_FORK_GETENV);
}
