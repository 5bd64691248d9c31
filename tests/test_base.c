/* Tests of the base modules: kernel, timers, YAML tree and addresses. */
#include <check.h>
#include <stdlib.h>

#include "base/kernel.h"
#include "base/net.h"
#include "base/status.h"
#include "base/timer.h"
#include "base/yaml_tree.h"
#include "tests/suite.h"

struct message_log {
	struct kn_kernel *kernel;
	uint32_t kinds[8];
	uint32_t count;
	bool in_handler;
};

static void log_message(void *ctx, const struct kn_msg *msg)
{
	struct message_log *log = ctx;
	struct kn_msg stop = { KN_STOP, sizeof(stop) };

	ck_assert(!log->in_handler);
	log->in_handler = true;
	log->kinds[log->count++] = msg->kind;
	if (log->count == 1)
		kn_send(log->kernel, "log", &stop);
	log->in_handler = false;
}

/*
 * Guards against re-entered handlers: a message that a handler sends to its own
 * task must be delivered after the handler has returned. A second task of the
 * same name is refused, and a message to an unknown task is dropped.
 */
START_TEST(kernel_delivery_is_not_reentrant)
{
	struct kn_kernel kernel;
	struct message_log log = { .kernel = &kernel };
	struct kn_task task = { "log", log_message, &log };
	struct kn_msg msg = { KN_HOSTS, sizeof(msg) };
	struct st_status status;

	kn_init(&kernel, uv_default_loop());
	ck_assert_int_eq(kn_register(&kernel, &task, &status), ST_OK);
	ck_assert_int_eq(kn_register(&kernel, &task, &status), ST_INTERNAL);
	kn_send(&kernel, "log", &msg);
	kn_send(&kernel, "unknown", &msg);
	ck_assert_uint_eq(log.count, 2);
	ck_assert_uint_eq(log.kinds[0], KN_HOSTS);
	ck_assert_uint_eq(log.kinds[1], KN_STOP);
	kn_free(&kernel);
}
END_TEST

static int fired[4];
static int fired_count;

static void record_fired(void *ctx)
{
	fired[fired_count++] = *(int *)ctx;
}

/*
 * Guards against timers that fire too early, in the wrong order, at a time that
 * was replaced by a later one, or although they were cancelled, because the
 * heap was not reordered.
 */
START_TEST(timers_fire_in_order)
{
	struct tm_service timers;
	int ids[] = { 0, 1, 2 };
	struct tm_sub subs[3] = { { .fire = record_fired, .ctx = &ids[0] },
				  { .fire = record_fired, .ctx = &ids[1] },
				  { .fire = record_fired, .ctx = &ids[2] } };
	uint64_t now_us = tm_now_us();

	tm_init(&timers, uv_default_loop());
	tm_subscribe(&timers, &subs[0], now_us + 9000);
	tm_subscribe(&timers, &subs[1], now_us + 3000);
	tm_subscribe(&timers, &subs[2], now_us + 5000);
	tm_subscribe(&timers, &subs[1], now_us + 7000);
	tm_cancel(&timers, &subs[0]);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	ck_assert_int_eq(fired_count, 2);
	ck_assert_int_eq(fired[0], 2);
	ck_assert_int_eq(fired[1], 1);
	ck_assert(tm_now_us() >= now_us + 7000);
	tm_free(&timers);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
END_TEST

static const char *const bad_yaml[] = {
	"a: [1, 2",
	"a: 1\na: 2\n",
	"- a\n- b\n",
	"a: &x 1\nb: *x\n",
	"a: 1\n---\nb: 2\n",
	"",
	"a: {b: {c: {d: {e: {f: {g: {h: {i: {j: {k: {l: {m: {n: {o: {p: {q: 1}}}}}}}}}}}}}}}}",
};

/*
 * Guards against crashes on text that is not a single plain YAML mapping, such
 * as unterminated, duplicate, aliased or too deeply nested items: it must be
 * rejected with an error.
 */
START_TEST(yaml_rejects_bad_text)
{
	struct ym_errors errors;
	const char *text = bad_yaml[_i];

	ym_errors_init(&errors);
	ck_assert_ptr_null(ym_parse(text, strlen(text), &errors));
	ck_assert_uint_gt(errors.count, 0);
	ym_errors_free(&errors);
}
END_TEST

/*
 * Guards against errors that an operator cannot find in the text: a bad value
 * and an unknown field must both be reported with their line and field.
 */
START_TEST(yaml_errors_name_line_and_field)
{
	const char *text = "a: 1\nb: many\nc: x\n";
	struct ym_errors errors;
	struct ym_node *root;

	ym_errors_init(&errors);
	root = ym_parse(text, strlen(text), &errors);
	ck_assert_uint_eq(ym_uint(root, "a", 0, 9, 5, &errors), 1);
	ck_assert_uint_eq(ym_uint(root, "b", 0, 9, 5, &errors), 5);
	ym_check_unused(root, &errors);
	ck_assert_uint_eq(errors.count, 2);
	ck_assert_uint_eq(errors.rows[0].line, 2);
	ck_assert_str_eq(errors.rows[0].field, "b");
	ck_assert_uint_eq(errors.rows[1].line, 3);
	ck_assert_str_eq(errors.rows[1].field, "c");
	ym_free(root);
	ym_errors_free(&errors);
}
END_TEST

/*
 * Guards against addresses that are accepted but cannot be used: host names,
 * which are not resolved, and missing or invalid ports.
 */
START_TEST(addresses_are_numeric)
{
	struct nt_address address;

	ck_assert(nt_parse("127.0.0.1:80", &address));
	ck_assert(nt_is_loopback(&address));
	ck_assert(nt_parse("[::1]:8080", &address));
	ck_assert(nt_is_loopback(&address));
	ck_assert(!nt_parse("localhost:80", &address));
	ck_assert(!nt_parse("127.0.0.1", &address));
	ck_assert(!nt_parse("127.0.0.1:0", &address));
	ck_assert(!nt_parse("127.0.0.1:99999", &address));
	ck_assert(!nt_parse("127.0.0.1:80x", &address));
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("base");

	tcase_add_test(tcase, kernel_delivery_is_not_reentrant);
	tcase_add_test(tcase, timers_fire_in_order);
	tcase_add_loop_test(tcase, yaml_rejects_bad_text, 0,
			    sizeof(bad_yaml) / sizeof(bad_yaml[0]));
	tcase_add_test(tcase, yaml_errors_name_line_and_field);
	tcase_add_test(tcase, addresses_are_numeric);
	return suite_run_case("base", tcase, CK_FORK_GETENV);
}
