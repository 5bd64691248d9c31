/*
 * Tests of orders, leases and the attempt table. They use a fake of the
 * platform's client: its operations wait until run_pending() is called, and
 * requests and answers of transactions can be lost.
 */
#include <check.h>
#include <stdlib.h>

#include "core/outcome.h"
#include "gateway/attempt_state.h"
#include "orders/order.h"
#include "tests/suite.h"

/* TEST_LIMIT_US: longest wait for an event that must happen. */
enum { TEST_LIMIT_US = 20 * 1000 * 1000, DEADLINE_US = 2000 * 1000 };
enum { LEASE_US = 1500 * 1000, DAY_MS = 24 * 3600 * 1000 };
enum { TIMEOUT_S = 60 };

/* Fake of the platform */

struct operation {
	struct pf_client *client;
	char *key; /* "table/key", NULL for a transaction */
	bool list;
	json_t *conditions;
	json_t *writes;
	struct pf_callback callback;
};

static struct {
	json_t *rows; /* by "table/key": [version, value] */
	uint64_t version;
	json_t *copy; /* of ROWS, for a restore */
	uint64_t copy_version;
	uint64_t era; /* 0: answers name none */
	GQueue operations;
	struct pf_client *paused_client; /* its operations are not run */
	bool down; /* every operation fails */
	/* Number of coming transactions whose answer or request is lost. */
	int lose_answers;
	int lose_requests;
} fake;

static void enqueue_operation(struct operation operation,
			      const struct pf_callback *callback)
{
	struct operation *copy = g_new(struct operation, 1);

	*copy = operation;
	copy->callback = *callback;
	g_queue_push_tail(&fake.operations, copy);
}

void pf_get_row(struct pf_client *client, const char *table, const char *key,
		const struct pf_callback *callback)
{
	char *name = g_strdup_printf("%s/%s", table, key);

	enqueue_operation((struct operation){ .client = client, .key = name },
			  callback);
}

void pf_list_rows(struct pf_client *client, const char *table,
		  const char *after, uint32_t limit, bool reverse,
		  const struct pf_callback *callback)
{
	char *prefix = g_strdup_printf("%s/", table);

	enqueue_operation((struct operation){ .client = client,
					      .key = prefix,
					      .list = true },
			  callback);
}

void pf_run_txn(struct pf_client *client, json_t *conditions, json_t *writes,
		const struct pf_callback *callback)
{
	enqueue_operation((struct operation){ .client = client,
					      .conditions = conditions,
					      .writes = writes },
			  callback);
}

void pf_add_condition(json_t *conditions, const char *table, const char *key,
		      uint64_t version)
{
	char *name = g_strdup_printf("%s/%s", table, key);

	json_array_append_new(conditions,
			      json_pack("[s, I]", name, (json_int_t)version));
	g_free(name);
}

void pf_add_write(json_t *writes, const char *table, const char *key,
		  json_t *value)
{
	char *name = g_strdup_printf("%s/%s", table, key);

	json_array_append_new(writes, json_pack("[s, o]", name, value));
	g_free(name);
}

static uint64_t row_version(const char *name)
{
	json_t *row = json_object_get(fake.rows, name);

	return (uint64_t)json_integer_value(json_array_get(row, 0));
}

static json_t *row_value(const char *name)
{
	return json_array_get(json_object_get(fake.rows, name), 1);
}

static bool conditions_hold(json_t *conditions)
{
	size_t i;
	json_t *item;

	json_array_foreach(conditions, i, item)
	{
		const char *name = json_string_value(json_array_get(item, 0));

		if (row_version(name) !=
		    (uint64_t)json_integer_value(json_array_get(item, 1)))
			return false;
	}
	return true;
}

static void write_rows(json_t *writes)
{
	size_t i;
	json_t *item;

	json_array_foreach(writes, i, item)
	{
		const char *name = json_string_value(json_array_get(item, 0));
		json_t *value = json_array_get(item, 1);

		if (json_is_null(value))
			json_object_del(fake.rows, name);
		else
			json_object_set_new(
				fake.rows, name,
				json_pack("[I, O]", (json_int_t)++fake.version,
					  value));
	}
}

static void run_txn(struct operation *operation, struct pf_result *result)
{
	if (fake.down || fake.lose_requests > 0) {
		fake.lose_requests--;
		result->status.kind = ST_PLATFORM_UNKNOWN;
		return;
	}
	if (!conditions_hold(operation->conditions)) {
		result->status.kind = ST_CONFLICT;
		return;
	}
	write_rows(operation->writes);
	result->json = json_pack("{s:I}", "version", (json_int_t)fake.version);
	if (fake.lose_answers-- > 0)
		result->status.kind = ST_PLATFORM_UNKNOWN;
}

static json_t *list_rows(const char *prefix)
{
	json_t *out = json_array();
	json_t *row;
	const char *name;

	json_object_foreach(fake.rows, name,
			    row) if (g_str_has_prefix(name, prefix))
		json_array_append_new(
			out, json_pack("{s:s}", "key", name + strlen(prefix)));
	return out;
}

static void run_operation(struct operation *operation)
{
	struct pf_result result = { .era = fake.down ? 0 : fake.era };

	if (operation->writes) {
		run_txn(operation, &result);
	} else if (fake.down) {
		result.status.kind = ST_PLATFORM;
	} else if (operation->list) {
		result.json = list_rows(operation->key);
	} else if (row_version(operation->key)) {
		result.version = row_version(operation->key);
		result.json = json_incref(row_value(operation->key));
	} else {
		result.status.kind = ST_NOT_FOUND;
	}
	operation->callback.done(operation->callback.ctx, &result);
	json_decref(result.json);
	json_decref(operation->conditions);
	json_decref(operation->writes);
	g_free(operation->key);
	g_free(operation);
}

static void copy_store(void)
{
	json_decref(fake.copy);
	fake.copy = json_deep_copy(fake.rows);
	fake.copy_version = fake.version;
}

static void restore_store(void)
{
	json_decref(fake.rows);
	fake.rows = json_deep_copy(fake.copy);
	fake.version = fake.copy_version;
	fake.era++;
}

/* Runs the operations of all clients but the paused one, and due timers. */
static void run_pending(void)
{
	GQueue remaining = G_QUEUE_INIT;
	struct operation *operation;

	while ((operation = g_queue_pop_head(&fake.operations))) {
		if (operation->client == fake.paused_client)
			g_queue_push_tail(&remaining, operation);
		else
			run_operation(operation);
	}
	fake.operations = remaining;
	uv_run(uv_default_loop(), UV_RUN_NOWAIT);
}

static void run_pending_for(uint64_t us)
{
	uint64_t end_us = tm_now_us() + us;

	while (tm_now_us() < end_us)
		run_pending();
}

/* Two entry hosts */

/* What the callback of a claim was called with, and how often. */
struct outcome {
	int callbacks;
	enum st_kind kind;
	struct od_claim *claim;
	int status;
	char body[32];
	size_t body_bytes;
};

static struct tm_service timers;
static struct pf_client clients[2];
static struct od_orders hosts[2];
static struct outcome outcomes[8];
static int64_t wall_now_ms;
static int call_count;

static int64_t wall_ms(void)
{
	return wall_now_ms;
}

static void setup(void)
{
	struct se_settings settings = { .order_retention_s = DAY_MS / 1000,
					.lease_ms = LEASE_US / 1000 };

	fake.rows = json_object();
	wall_now_ms = 1000000;
	tm_init(&timers, uv_default_loop());
	for (int i = 0; i < 2; i++) {
		g_snprintf(settings.host, sizeof(settings.host), "entry-%d", i);
		od_init(&hosts[i], &clients[i], &timers, &settings, 7);
		hosts[i].wall_ms = wall_ms;
	}
}

static void on_claim_result(void *ctx, const struct od_claim_result *result)
{
	struct outcome *outcome = ctx;

	outcome->callbacks++;
	outcome->kind = result->kind;
	outcome->claim = result->claim;
	outcome->status = result->http_status;
	outcome->body_bytes = result->body_bytes;
	if (result->body)
		g_strlcpy(outcome->body, result->body,
			  MIN(sizeof(outcome->body), result->body_bytes + 1));
}

static bool callers_are_customers;

/* Claims a key at a host; the result goes to outcomes[I]. */
static enum st_kind claim_key(int host, int i, const char *key,
			      const char *caller, const char *body)
{
	struct od_callback callback = { on_claim_result, &outcomes[i] };
	char id[32];
	struct od_request request = {
		.id = id,
		.caller = caller,
		.caller_bytes = strlen(caller),
		.is_customer = callers_are_customers,
		.service = "ordering",
		.key = key,
		.key_bytes = strlen(key),
		.method = "POST",
		.path = "/orders",
		.body = body,
		.body_bytes = strlen(body),
		.deadline_us = tm_now_us() + DEADLINE_US,
	};

	g_snprintf(id, sizeof(id), "call-%d", ++call_count);
	memset(&outcomes[i], 0, sizeof(outcomes[i]));
	return od_claim_key(&hosts[host], &request, &callback, NULL);
}

/* Claims a key and waits for the callback. */
static struct outcome *claim_key_and_wait(int host, int i, const char *key,
					  const char *caller, const char *body)
{
	uint64_t limit_us = tm_now_us() + TEST_LIMIT_US;

	ck_assert_int_eq(claim_key(host, i, key, caller, body), ST_OK);
	while (!outcomes[i].callbacks && tm_now_us() < limit_us)
		run_pending();
	ck_assert_int_eq(outcomes[i].callbacks, 1);
	return &outcomes[i];
}

/* The key was claimed, so that the call is to be sent. */
static void ck_claimed(const struct outcome *outcome)
{
	ck_assert_ptr_nonnull(outcome->claim);
}

/* The call is not to be sent and ends with KIND. */
static void ck_result(const struct outcome *outcome, enum st_kind kind)
{
	ck_assert_ptr_null(outcome->claim);
	ck_assert_str_eq(st_name(outcome->kind), st_name(kind));
}

/*
 * Guards against running an order again when its caller retries it: the retry
 * gets the stored answer. The key with another body is refused; the same key of
 * another caller is another order.
 */
START_TEST(stored_answer_is_replayed)
{
	struct outcome *first = claim_key_and_wait(0, 0, "k", "a", "2 mantles");
	struct outcome *second;

	ck_claimed(first);
	od_store_answer(first->claim, 201, "text/plain", "order 9", 7, true);
	second = claim_key_and_wait(1, 1, "k", "a", "2 mantles");
	ck_result(second, ST_OK);
	ck_assert_int_eq(second->status, 201);
	ck_assert_str_eq(second->body, "order 9");
	ck_result(claim_key_and_wait(1, 2, "k", "a", "3 mantles"),
		  ST_KEY_REUSED);
	ck_claimed(claim_key_and_wait(1, 3, "k", "b", "2 mantles"));
}
END_TEST

/* Guards against a caller that gets the orders of a customer by using its name. */
START_TEST(customer_is_not_a_caller_of_its_name)
{
	callers_are_customers = false;
	ck_claimed(claim_key_and_wait(0, 0, "k", "acme", "2 mantles"));
	callers_are_customers = true;
	ck_claimed(claim_key_and_wait(1, 1, "k", "acme", "2 mantles"));
	callers_are_customers = false;
}
END_TEST

/*
 * Guards against filling the table with bodies beyond OD_MAX_BODY_BYTES, and
 * against counting an order with such an answer as unknown.
 */
START_TEST(large_answer_is_stored_without_body)
{
	static char large[OD_MAX_BODY_BYTES + 1];
	struct outcome *first = claim_key_and_wait(0, 0, "k", "a", "x");
	struct outcome *second;

	od_store_answer(first->claim, 200, "text/plain", large, sizeof(large),
			false);
	second = claim_key_and_wait(1, 1, "k", "a", "x");
	ck_result(second, ST_OK);
	ck_assert_int_eq(second->status, 200);
	ck_assert_uint_eq(second->body_bytes, 0);
}
END_TEST

/*
 * Guards against blocking the key of an order that was not run, and against
 * running an order again whose outcome is unknown.
 */
START_TEST(key_is_free_only_after_not_run)
{
	struct outcome *first = claim_key_and_wait(0, 0, "k", "a", "x");

	od_release_claim(first->claim);
	first = claim_key_and_wait(1, 1, "k", "a", "x");
	ck_claimed(first);
	od_store_unknown(first->claim);
	ck_result(claim_key_and_wait(0, 2, "k", "a", "x"), ST_UNKNOWN);
	run_pending_for(10 * 1000);
	ck_result(claim_key_and_wait(1, 3, "k", "a", "x"), ST_UNKNOWN);
}
END_TEST

/*
 * Guards against sending two simultaneous calls with one key. The second one
 * waits and gets the answer to the first.
 */
START_TEST(second_call_waits_for_first_answer)
{
	struct outcome *first = claim_key_and_wait(0, 0, "k", "a", "x");

	ck_claimed(first);
	claim_key(1, 1, "k", "a", "x");
	run_pending_for(50 * 1000);
	ck_assert_int_eq(outcomes[1].callbacks, 0);
	od_store_answer(first->claim, 200, "", "yes", 3, true);
	while (!outcomes[1].callbacks)
		run_pending();
	ck_result(&outcomes[1], ST_OK);
	ck_assert_str_eq(outcomes[1].body, "yes");
}
END_TEST

/*
 * Guards against losing an order, or sending it twice, when the answer to the
 * insert of its claim or the request itself is lost.
 */
START_TEST(lost_claim_write_is_read_back)
{
	fake.lose_answers = 1;
	ck_claimed(claim_key_and_wait(0, 0, "answer-lost", "a", "x"));
	fake.lose_answers = 0;
	fake.lose_requests = 1;
	ck_claimed(claim_key_and_wait(0, 1, "request-lost", "a", "x"));
	ck_result(claim_key_and_wait(0, 2, "answer-lost", "a", "x"),
		  ST_DEADLINE_UNKNOWN);
	ck_result(claim_key_and_wait(1, 3, "request-lost", "a", "x"),
		  ST_DEADLINE_UNKNOWN);
}
END_TEST

/*
 * Guards against calls that wait for a claim whose host has failed: after the
 * deadline of the claim its outcome is unknown. If the host stores an answer
 * after all, that answer replaces the unknown outcome.
 */
START_TEST(expired_claim_is_unknown_until_answered)
{
	struct outcome *first = claim_key_and_wait(0, 0, "k", "a", "x");

	ck_claimed(first);
	wall_now_ms += DEADLINE_US / 1000 + OD_MAX_CLOCK_SKEW_MS + 1;
	ck_result(claim_key_and_wait(1, 1, "k", "a", "x"), ST_UNKNOWN);
	ck_result(claim_key_and_wait(1, 2, "k", "a", "x"), ST_UNKNOWN);
	od_store_answer(first->claim, 200, "", "late", 4, true);
	run_pending_for(10 * 1000);
	ck_result(claim_key_and_wait(1, 3, "k", "a", "x"), ST_OK);
	ck_assert_str_eq(outcomes[3].body, "late");
}
END_TEST

/*
 * Guards against expiring the claim of another host early because the wall
 * clock is ahead by up to OD_MAX_CLOCK_SKEW_MS.
 */
START_TEST(tolerated_clock_skew_expires_no_claim)
{
	const char *name;
	json_t *row;

	ck_claimed(claim_key_and_wait(0, 0, "k", "a", "x"));
	json_object_foreach(fake.rows, name,
			    row) if (g_str_has_prefix(name, "orders/"))
		json_unpack(row_value(name), "{s:I}", "deadline_ms",
			    &wall_now_ms);
	wall_now_ms += OD_MAX_CLOCK_SKEW_MS;
	ck_result(claim_key_and_wait(1, 1, "k", "a", "x"), ST_DEADLINE_UNKNOWN);
}
END_TEST

/*
 * Guards against sending a call whose claim is answered only after the call's
 * deadline, as on a host that was paused. The key must become free again.
 */
START_TEST(call_claimed_after_deadline_is_not_sent)
{
	fake.paused_client = &clients[0];
	ck_result(claim_key_and_wait(0, 0, "k", "a", "x"), ST_DEADLINE_NOT_RUN);
	fake.paused_client = NULL;
	run_pending_for(10 * 1000);
	ck_claimed(claim_key_and_wait(1, 1, "k", "a", "x"));
	/*
	 * The deadline is also checked on the wall clock, because the monotonic
	 * clock stops while a machine is suspended.
	 */
	ck_assert(od_may_send(outcomes[1].claim));
	wall_now_ms += DEADLINE_US / 1000;
	ck_assert(!od_may_send(outcomes[1].claim));
}
END_TEST

/*
 * Guards against sending orders without a claim while the platform is down, and
 * against losing a result of that time: its write is retried until it succeeds.
 */
START_TEST(outage_refuses_orders_and_retries_results)
{
	struct outcome *first = claim_key_and_wait(0, 0, "k", "a", "x");
	uint64_t limit_us = tm_now_us() + TEST_LIMIT_US;

	fake.down = true;
	od_store_answer(first->claim, 200, "", "yes", 3, true);
	ck_result(claim_key_and_wait(0, 1, "new", "a", "x"), ST_PLATFORM);
	ck_assert(st_not_run(ST_PLATFORM));
	/* While the circuit breaker is open, no request is sent. */
	hosts[0].breaker_retry_us = limit_us;
	ck_assert_int_eq(claim_key(0, 1, "new", "a", "x"), ST_PLATFORM);
	run_pending_for(100 * 1000);
	ck_assert(!od_is_idle(&hosts[0]));
	fake.down = false;
	while (hosts[0].claims && tm_now_us() < limit_us)
		run_pending();
	ck_result(claim_key_and_wait(1, 2, "k", "a", "x"), ST_OK);
	ck_claimed(claim_key_and_wait(1, 3, "new", "a", "x"));
}
END_TEST

/* Time in which all hosts see a restore and write again what is lost. */
enum { RESTORE_US = 4 * 1000 * 1000 };

/* Both hosts have had an answer of the store's first era. */
static void begin_first_era(void)
{
	fake.era = 1;
	for (int i = 0; i < 2; i++)
		od_store_answer(
			claim_key_and_wait(i, i, i ? "one" : "zero", "a", "x")
				->claim,
			200, "", "", 0, true);
	run_pending_for(10 * 1000);
}

/*
 * Guards against running orders again whose claims and results are gone because
 * the store came back from a copy: at a host that hears of the restore by its own
 * insert, and later. The result of a call that ran meanwhile is written as well.
 */
START_TEST(restored_store_gets_lost_orders_again)
{
	struct od_claim *running;

	begin_first_era();
	copy_store();
	od_store_answer(claim_key_and_wait(0, 0, "done", "a", "x")->claim, 200,
			"", "yes", 3, true);
	od_store_unknown(claim_key_and_wait(0, 0, "unknown", "a", "x")->claim);
	running = claim_key_and_wait(0, 0, "running", "a", "x")->claim;
	ck_assert_ptr_nonnull(running);
	run_pending_for(10 * 1000);
	restore_store();
	ck_result(claim_key_and_wait(1, 1, "done", "a", "x"), ST_PLATFORM);
	ck_assert_int_eq(claim_key(1, 1, "running", "a", "x"), ST_PLATFORM);
	run_pending_for(RESTORE_US);
	ck_result(claim_key_and_wait(1, 1, "done", "a", "x"), ST_OK);
	ck_assert_str_eq(outcomes[1].body, "yes");
	ck_result(claim_key_and_wait(1, 1, "unknown", "a", "x"), ST_UNKNOWN);
	claim_key(1, 1, "running", "a", "x");
	run_pending_for(50 * 1000);
	ck_assert_int_eq(outcomes[1].callbacks, 0);
	od_store_answer(running, 200, "", "late", 4, true);
	while (!outcomes[1].callbacks)
		run_pending();
	ck_result(&outcomes[1], ST_OK);
	ck_assert_str_eq(outcomes[1].body, "late");
	ck_claimed(claim_key_and_wait(1, 1, "new", "a", "x"));
}
END_TEST

/*
 * Guards against losing the result of a call that ends while its claim is written
 * again, and against a claim that stays although its call was not run.
 */
START_TEST(call_may_end_while_its_claim_is_written_again)
{
	struct od_claim *ending, *released;

	begin_first_era();
	released = claim_key_and_wait(0, 0, "released", "a", "x")->claim;
	copy_store();
	ending = claim_key_and_wait(0, 0, "ending", "a", "x")->claim;
	od_release_claim(released);
	run_pending_for(10 * 1000);
	restore_store();
	claim_key(0, 0, "other", "a", "x");
	while (hosts[0].era < fake.era)
		run_operation(g_queue_pop_head(&fake.operations));
	od_store_answer(ending, 200, "", "yes", 3, true);
	run_pending_for(RESTORE_US);
	ck_result(claim_key_and_wait(1, 1, "ending", "a", "x"), ST_OK);
	ck_assert_str_eq(outcomes[1].body, "yes");
	ck_claimed(claim_key_and_wait(1, 1, "released", "a", "x"));
}
END_TEST

static const char long_key[] =
	"0123456789012345678901234567890123456789012345678901234567890123"
	"0123456789012345678901234567890123456789012345678901234567890123x";

static const char *const invalid_keys[] = { "", "two words", "line\nbreak",
					    "caf\xc3\xa9", long_key };

/* Guards against truncating or accepting a key that is not valid. */
START_TEST(invalid_key_is_refused)
{
	ck_assert_int_eq(claim_key(0, 0, invalid_keys[_i], "a", "x"),
			 ST_INVALID);
	run_pending();
	ck_assert_int_eq(outcomes[0].callbacks, 0);
}
END_TEST

/*
 * Guards against a sweep that leaves expired orders or removes others. The host
 * with the lease runs it; an order has two rows.
 */
START_TEST(sweep_removes_expired_rows_only)
{
	uint64_t limit_us = tm_now_us() + TEST_LIMIT_US;
	size_t rows;

	od_store_answer(claim_key_and_wait(0, 0, "old", "a", "x")->claim, 200,
			"", "", 0, true);
	run_pending_for(10 * 1000);
	wall_now_ms += DAY_MS + DEADLINE_US / 1000 + 1;
	od_store_answer(claim_key_and_wait(0, 1, "new", "a", "x")->claim, 200,
			"", "", 0, true);
	while (!ls_is_held(&hosts[0].lease) && !ls_is_held(&hosts[1].lease) &&
	       tm_now_us() < limit_us)
		run_pending();
	rows = json_object_size(fake.rows);
	while (json_object_size(fake.rows) == rows && tm_now_us() < limit_us)
		run_pending();
	ck_assert_uint_eq(json_object_size(fake.rows), rows - 2);
	ck_result(claim_key_and_wait(0, 2, "new", "a", "x"), ST_OK);
	ck_claimed(claim_key_and_wait(0, 3, "old", "a", "x"));
}
END_TEST

static enum st_kind fenced_write_result = ST_KIND_COUNT;

static void on_fenced_write(void *ctx, const struct pf_result *result)
{
	fenced_write_result = result->status.kind;
}

static json_t *row_written_by(const char *by)
{
	json_t *writes = json_array();

	pf_add_write(writes, "jobs", "row", json_string(by));
	return writes;
}

/*
 * Guards against a write of a former lease holder: it is paused after it has
 * checked the lease and started a write, until another host has taken the lease
 * over and written. The late write must fail and change nothing.
 */
START_TEST(paused_holder_is_fenced)
{
	struct pf_callback callback = { on_fenced_write, NULL };
	uint64_t limit_us = tm_now_us() + TEST_LIMIT_US;
	struct ls_lease *a = &hosts[0].lease;
	struct ls_lease *b = &hosts[1].lease;

	fake.paused_client = &clients[1];
	while (!ls_is_held(a) && tm_now_us() < limit_us)
		run_pending();
	while (!ls_write_fenced(a, row_written_by("a"), &callback) &&
	       tm_now_us() < limit_us)
		run_pending();
	fake.paused_client = &clients[0];
	while (!ls_is_held(b) && tm_now_us() < limit_us)
		run_pending();
	while (!ls_write_fenced(b, row_written_by("b"), &callback) &&
	       tm_now_us() < limit_us)
		run_pending();
	while (fenced_write_result == ST_KIND_COUNT && tm_now_us() < limit_us)
		run_pending();
	ck_assert_int_eq(fenced_write_result, ST_OK);
	ck_assert(!ls_is_held(a));
	fake.paused_client = NULL;
	run_pending();
	ck_assert_int_eq(fenced_write_result, ST_FENCED);
	ck_assert_str_eq(json_string_value(row_value("jobs/row")), "b");
}
END_TEST

/* Guards against giving up a valid lease when the answer to a renewal is lost. */
START_TEST(renewal_with_lost_answer_is_read_back)
{
	uint64_t limit_us = tm_now_us() + TEST_LIMIT_US;
	struct ls_lease *a = &hosts[0].lease;
	uint64_t token;

	fake.paused_client = &clients[1];
	while (!ls_is_held(a) && tm_now_us() < limit_us)
		run_pending();
	token = a->version;
	fake.lose_answers = 1;
	while (a->version == token && tm_now_us() < limit_us)
		run_pending();
	ck_assert(a->held);
}
END_TEST

/*
 * Guards against rows of the attempt table by which an order that may have run
 * would be sent again or reported as not run.
 */
START_TEST(attempt_table_is_consistent)
{
	static const enum hc_state states[] = { HC_NEW, HC_CONNECTING, HC_SENT,
						HC_ANSWER_BEGUN, HC_DONE };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(states); i++) {
		const struct at_row *row = at_find_row(states[i / 2], i % 2);
		bool may_have_run = at_may_have_run(row);

		ck_assert_int_eq(row->next_non_idempotent == AT_RETRY,
				 !may_have_run);
		ck_assert_int_eq(st_not_run(row->result), !may_have_run);
		ck_assert(may_have_run || row->next_idempotent == AT_RETRY);
	}
	ck_assert(at_may_have_run(at_find_row(HC_SENT, false)));
	ck_assert(!at_may_have_run(at_find_row(HC_ANSWER_BEGUN, true)));
	ck_assert(!at_may_send(false, true));
	ck_assert_int_eq(oc_result(ST_QUEUE_FULL, true), ST_UNKNOWN);
	ck_assert_int_eq(oc_result(ST_QUEUE_FULL, false), ST_QUEUE_FULL);
}
END_TEST

static TCase *orders_case(void)
{
	TCase *tcase = tcase_create("orders");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, stored_answer_is_replayed);
	tcase_add_test(tcase, customer_is_not_a_caller_of_its_name);
	tcase_add_test(tcase, large_answer_is_stored_without_body);
	tcase_add_test(tcase, key_is_free_only_after_not_run);
	tcase_add_test(tcase, second_call_waits_for_first_answer);
	tcase_add_test(tcase, lost_claim_write_is_read_back);
	tcase_add_test(tcase, expired_claim_is_unknown_until_answered);
	tcase_add_test(tcase, tolerated_clock_skew_expires_no_claim);
	tcase_add_test(tcase, call_claimed_after_deadline_is_not_sent);
	tcase_add_test(tcase, outage_refuses_orders_and_retries_results);
	tcase_add_test(tcase, restored_store_gets_lost_orders_again);
	tcase_add_test(tcase, call_may_end_while_its_claim_is_written_again);
	tcase_add_loop_test(tcase, invalid_key_is_refused, 0,
			    G_N_ELEMENTS(invalid_keys));
	tcase_add_test(tcase, sweep_removes_expired_rows_only);
	tcase_add_test(tcase, attempt_table_is_consistent);
	return tcase;
}

static TCase *lease_case(void)
{
	TCase *tcase = tcase_create("lease");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, paused_holder_is_fenced);
	tcase_add_test(tcase, renewal_with_lost_answer_is_read_back);
	return tcase;
}

int main(void)
{
	Suite *suite = suite_create("order");

	suite_add_tcase(suite, orders_case());
	suite_add_tcase(suite, lease_case());
	return suite_run(suite, CK_FORK_GETENV);
}
