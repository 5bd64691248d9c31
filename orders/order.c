#include "orders/state.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

enum {
	OD_US_PER_MS = 1000,
	OD_POLL_BACKOFF_MAX_US = 500 * 1000,
	OD_WRITE_BACKOFF_MAX_US = 5 * 1000 * 1000,
	OD_STOP_WAIT_US = 5 * 1000 * 1000,
	OD_BREAKER_RETRY_US = 250 * 1000
};

/* How long the write of a result is retried. */
static const uint64_t OD_RESULT_RETRY_LIMIT_US = 3600ULL * 1000 * 1000;
/*
 * How long the row of an insert with unknown effect is searched for, to remove
 * it. A row that is left behind becomes "unknown" although the call was not
 * run.
 */
static const uint64_t OD_UNCONFIRMED_RETRY_LIMIT_US = 10ULL * 1000 * 1000;

static const char od_outage_msg[] =
	"the platform is unavailable, so the idempotency-key cannot be "
	"claimed; an earlier call with the same key may have run";

static const char od_restored_msg[] =
	"the platform's store was restored from a copy, so the idempotency-key "
	"cannot be claimed yet; an earlier call with the same key may have run";

static const char *const od_state_names[] = {
#define X(id, name) name,
	OD_STATES(X)
#undef X
};

/* Unpacked row of the table "orders"; the strings belong to the JSON. */
struct od_row {
	const char *host;
	const char *id;
	const char *digest;
	const char *state;
	json_int_t incarnation;
	json_int_t deadline_ms;
	json_int_t status;
	const char *type;
	const char *body;
};

static void od_insert_row(struct od_claim *claim);
static void od_read_row(struct od_claim *claim);
static void od_write_result(struct od_claim *claim);

static int64_t od_wall_ms(void)
{
	return g_get_real_time() / OD_US_PER_MS;
}

void od_get_row(struct od_claim *claim,
		void (*done)(void *ctx, const struct pf_result *result))
{
	struct pf_callback callback = { done, claim };

	ct_add(CT_ORDER_READS, 1);
	pf_get_row(claim->orders->platform, OD_TABLE, claim->row_key,
		   &callback);
}

void od_put_row(struct od_claim *claim, uint64_t version, json_t *row,
		json_t *times,
		void (*done)(void *ctx, const struct pf_result *result))
{
	struct pf_callback callback = { done, claim };
	json_t *conditions = json_array();
	json_t *writes = json_array();
	char at[OD_DIGEST_BYTES + 32];

	ct_add(CT_ORDER_WRITES, 1);
	pf_add_condition(conditions, OD_TABLE, claim->row_key, version);
	if (times) {
		g_snprintf(at, sizeof(at), "%016" G_GINT64_FORMAT "-%s",
			   claim->deadline_ms, claim->row_key);
		pf_add_write(writes, OD_TIMES_TABLE, at, times);
	}
	pf_add_write(writes, OD_TABLE, claim->row_key, row ? row : json_null());
	pf_run_txn(claim->orders->platform, conditions, writes, &callback);
}

uint64_t od_written_version(const struct pf_result *result)
{
	return (uint64_t)json_integer_value(
		json_object_get(result->json, "version"));
}

json_t *od_new_row(const struct od_claim *claim, enum od_state state)
{
	return json_pack("{s:s, s:I, s:s, s:s, s:s, s:I}", "host",
			 claim->orders->host, "incarnation",
			 (json_int_t)claim->orders->incarnation, "id",
			 claim->id, "digest", claim->request_digest, "state",
			 od_state_names[state], "deadline_ms",
			 (json_int_t)claim->deadline_ms);
}

static bool od_unpack_row(json_t *json, struct od_row *row)
{
	memset(row, 0, sizeof(*row));
	return !json_unpack(
		json, "{s:s, s:I, s:s, s:s, s:s, s:I, s?I, s?s, s?s}", "host",
		&row->host, "incarnation", &row->incarnation, "id", &row->id,
		"digest", &row->digest, "state", &row->state, "deadline_ms",
		&row->deadline_ms, "status", &row->status, "type", &row->type,
		"body", &row->body);
}

static bool od_in_state(const struct od_row *row, enum od_state state)
{
	return !strcmp(row->state, od_state_names[state]);
}

static bool od_is_own_row(const struct od_claim *claim,
			  const struct od_row *row)
{
	return !strcmp(row->id, claim->id);
}

void od_link_claim(struct od_claim *claim)
{
	struct od_orders *orders = claim->orders;

	claim->next = orders->claims;
	claim->prev_next = &orders->claims;
	if (claim->next)
		claim->next->prev_next = &claim->next;
	orders->claims = claim;
}

void od_unlink_claim(struct od_claim *claim)
{
	*claim->prev_next = claim->next;
	if (claim->next)
		claim->next->prev_next = claim->prev_next;
}

void od_free_unlinked(struct od_claim *claim)
{
	tm_cancel(claim->orders->timers, &claim->deadline_timer);
	tm_cancel(claim->orders->timers, &claim->step_timer);
	json_decref(claim->result_row);
	g_free(claim);
}

static void od_free_claim(struct od_claim *claim)
{
	od_unlink_claim(claim);
	od_end_confirming(claim);
	od_free_unlinked(claim);
}

/* Calls the claim's callback, unless that was done before. */
static void od_notify(struct od_claim *claim,
		      const struct od_claim_result *outcome)
{
	if (claim->notified)
		return;
	claim->notified = true;
	tm_cancel(claim->orders->timers, &claim->deadline_timer);
	claim->callback.done(claim->callback.ctx, outcome);
}

static void od_notify_kind(struct od_claim *claim, enum st_kind kind)
{
	struct od_claim_result outcome = { .kind = kind };

	if (kind == ST_KEY_REUSED)
		outcome.msg = "the idempotency-key was used before for "
			      "a different method, path or body";
	else if (kind == ST_PLATFORM)
		outcome.msg = od_is_settling(claim->orders) ? od_restored_msg :
							      od_outage_msg;
	od_notify(claim, &outcome);
}

/* Ends a claim that has no row of its own, or whose row is final. */
static void od_end_unowned(struct od_claim *claim, enum st_kind kind)
{
	od_notify_kind(claim, kind);
	od_free_claim(claim);
}

static void od_on_timer(void *ctx)
{
	struct od_claim *claim = ctx;

	claim->next_step(claim);
}

/* Runs NEXT_STEP after a wait that doubles each time, up to MAX_US. */
static void od_back_off(struct od_claim *claim, uint64_t max_us,
			void (*next_step)(struct od_claim *claim))
{
	uint64_t wait_us = claim->backoff_us;

	claim->backoff_us = MIN(2 * wait_us, max_us);
	claim->next_step = next_step;
	tm_subscribe(claim->orders->timers, &claim->step_timer,
		     tm_now_us() + wait_us);
}

/* Ends a call whose key could not be claimed before the deadline. */
static void od_on_deadline(void *ctx)
{
	struct od_claim *claim = ctx;
	bool outstanding = !claim->step_timer.slot;

	od_notify_kind(claim, claim->other_row_seen ? ST_DEADLINE_UNKNOWN :
						      ST_DEADLINE_NOT_RUN);
	/* If an operation is outstanding, its callback ends the claim. */
	if (outstanding)
		return;
	tm_cancel(claim->orders->timers, &claim->step_timer);
	if (claim->maybe_inserted)
		od_release_claim(claim);
	else
		od_free_claim(claim);
}

bool od_may_send(const struct od_claim *claim)
{
	return tm_now_us() < claim->deadline_us &&
	       claim->orders->wall_ms() < claim->deadline_ms;
}

/* The row belongs to this claim: the call is sent unless it is too late. */
static void od_grant_claim(struct od_claim *claim, uint64_t version,
			   uint64_t era)
{
	struct od_claim_result outcome = { .kind = ST_OK, .claim = claim };

	claim->row_version = version;
	claim->row_era = era;
	if (od_is_settling(claim->orders)) {
		od_notify_kind(claim, ST_PLATFORM);
		od_release_claim(claim);
		return;
	}
	if (!claim->notified && od_may_send(claim)) {
		ct_add(CT_ORDERS, 1);
		od_notify(claim, &outcome);
		return;
	}
	od_notify_kind(claim, ST_DEADLINE_NOT_RUN);
	od_release_claim(claim);
}

static void od_replay_answer(struct od_claim *claim, const struct od_row *row)
{
	struct od_claim_result outcome = { .kind = ST_OK,
					   .http_status = (int)row->status,
					   .content_type =
						   row->type ? row->type : "" };
	gsize bytes = 0;
	guchar *body = row->body ? g_base64_decode(row->body, &bytes) : NULL;

	outcome.body = body ? (const char *)body : "";
	outcome.body_bytes = bytes;
	ct_add(CT_ORDER_REPLAYS, 1);
	od_notify(claim, &outcome);
	g_free(body);
	od_free_claim(claim);
}

static void od_on_expired(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	/* A conflict means that the owner or another host wrote first. */
	if (result->status.kind == ST_CONFLICT && !claim->notified)
		od_read_row(claim);
	else
		od_end_unowned(claim, ST_UNKNOWN);
}

/* Marks another call's claim as unknown, as its deadline has passed. */
static void od_write_expired(struct od_claim *claim,
			     const struct pf_result *result)
{
	json_t *row = json_deep_copy(result->json);

	json_object_set_new(row, "state",
			    json_string(od_state_names[OD_UNKNOWN]));
	od_put_row(claim, result->version, row, NULL, od_on_expired);
}

static bool od_owner_is_gone(const struct od_claim *claim,
			     const struct od_row *row)
{
	const struct od_orders *orders = claim->orders;

	if (!strcmp(row->host, orders->host))
		return (uint64_t)row->incarnation != orders->incarnation;
	return orders->is_live &&
	       !orders->is_live(orders->is_live_ctx, row->host,
				(uint64_t)row->incarnation);
}

/* Whether the row has a result or the host that claimed it is gone. */
static bool od_is_final(const struct od_claim *claim, const struct od_row *row)
{
	return !od_in_state(row, OD_CLAIMED) || od_owner_is_gone(claim, row);
}

static void od_resolve_row(struct od_claim *claim,
			   const struct pf_result *result,
			   const struct od_row *row)
{
	int64_t end_ms = row->deadline_ms + OD_MAX_CLOCK_SKEW_MS;

	if (strcmp(row->digest, claim->request_digest) != 0)
		od_end_unowned(claim, ST_KEY_REUSED);
	else if (od_in_state(row, OD_DONE))
		od_replay_answer(claim, row);
	else if (od_in_state(row, OD_CLAIMED) &&
		 claim->orders->wall_ms() > end_ms)
		od_write_expired(claim, result);
	else if (od_is_final(claim, row))
		od_end_unowned(claim, ST_UNKNOWN);
	else
		od_back_off(claim, OD_POLL_BACKOFF_MAX_US, od_read_row);
}

static void od_handle_row(struct od_claim *claim,
			  const struct pf_result *result)
{
	struct od_row row;

	if (!od_unpack_row(result->json, &row)) {
		lg_error("order",
			 "malformed row of order %s; "
			 "its outcome counts as unknown",
			 claim->row_key);
		od_end_unowned(claim, ST_UNKNOWN);
	} else if (od_is_own_row(claim, &row)) {
		if (od_in_state(&row, OD_CLAIMED))
			od_grant_claim(claim, result->version, result->era);
		else
			od_end_unowned(claim, ST_DEADLINE_NOT_RUN);
	} else {
		claim->other_row_seen = true;
		if (claim->notified)
			od_free_claim(claim);
		else
			od_resolve_row(claim, result, &row);
	}
}

static void od_open_breaker(struct od_orders *orders)
{
	orders->breaker_open = true;
	orders->breaker_retry_us = tm_now_us() + OD_BREAKER_RETRY_US;
}

static void od_on_read(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	od_observe_era(claim->orders, result->era);
	switch (result->status.kind) {
	case ST_OK:
		od_handle_row(claim, result);
		break;
	case ST_NOT_FOUND:
		claim->other_row_seen = false;
		if (claim->notified && !claim->maybe_inserted)
			od_free_claim(claim);
		else if (claim->notified)
			od_release_claim(claim);
		else
			od_back_off(claim, OD_POLL_BACKOFF_MAX_US,
				    od_insert_row);
		break;
	default:
		od_open_breaker(claim->orders);
		od_notify_kind(claim, claim->other_row_seen ? ST_UNKNOWN :
							      ST_PLATFORM);
		if (claim->maybe_inserted)
			od_release_claim(claim);
		else
			od_free_claim(claim);
	}
}

static void od_read_row(struct od_claim *claim)
{
	od_get_row(claim, od_on_read);
}

static void od_on_inserted(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	od_observe_era(claim->orders, result->era);
	switch (result->status.kind) {
	case ST_OK:
		claim->orders->breaker_open = false;
		od_grant_claim(claim, od_written_version(result), result->era);
		break;
	case ST_CONFLICT:
		claim->orders->breaker_open = false;
		claim->other_row_seen = true;
		od_read_row(claim);
		break;
	case ST_PLATFORM_UNKNOWN:
		claim->maybe_inserted = true;
		od_read_row(claim);
		break;
	default:
		od_end_unowned(claim, ST_PLATFORM);
	}
}

static void od_insert_row(struct od_claim *claim)
{
	od_put_row(claim, 0, od_new_row(claim, OD_CLAIMED), json_object(),
		   od_on_inserted);
}

/* Writing the result */

/* Retries the write after a wait, until the time limit. */
static void od_retry_result(struct od_claim *claim)
{
	uint64_t limit_us = claim->row_version ? OD_RESULT_RETRY_LIMIT_US :
						 OD_UNCONFIRMED_RETRY_LIMIT_US;

	if (tm_now_us() < claim->ended_us + limit_us) {
		od_back_off(claim, OD_WRITE_BACKOFF_MAX_US, od_recheck_row);
		return;
	}
	lg_error("order", "result of call %s could not be stored; giving up",
		 claim->id);
	od_free_claim(claim);
}

/*
 * Whether the claim's result may replace the row. If another host has marked
 * the claim as unknown, only an answer may replace that.
 */
static bool od_is_replaceable(const struct od_claim *claim, json_t *json)
{
	struct od_row row;

	if (!od_unpack_row(json, &row) || !od_is_own_row(claim, &row))
		return false;
	if (od_in_state(&row, OD_UNKNOWN))
		return claim->end == OD_END_DONE;
	return od_in_state(&row, OD_CLAIMED);
}

/* Whether the store had the claim's row before it was restored. */
static bool od_is_row_lost(const struct od_claim *claim,
			   const struct pf_result *result)
{
	return result->status.kind == ST_NOT_FOUND && claim->row_era &&
	       claim->row_era < claim->orders->era;
}

/*
 * The row can't be replaced: it has the result already, or it is of another call.
 * After a restore that call may be one that is refused, whose row then goes.
 */
static void od_end_rechecked(struct od_claim *claim,
			     const struct pf_result *result)
{
	struct od_row row;
	bool absent = result->status.kind == ST_NOT_FOUND;

	if ((absent && claim->end == OD_END_RELEASE) ||
	    (!absent && od_unpack_row(result->json, &row) &&
	     od_is_own_row(claim, &row))) {
		od_keep_claim(claim, result->era);
	} else if (!absent && claim->confirming &&
		   od_is_settling(claim->orders)) {
		od_retry_result(claim);
	} else {
		if (claim->confirming)
			lg_error("order",
				 "a restored store has lost the row of call "
				 "%s, and its key is in use",
				 claim->id);
		od_free_claim(claim);
	}
}

static void od_on_rechecked(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	od_observe_era(claim->orders, result->era);
	if (result->status.kind == ST_OK &&
	    od_is_replaceable(claim, result->json)) {
		claim->row_version = result->version;
		od_write_result(claim);
	} else if (od_is_row_lost(claim, result) &&
		   claim->end != OD_END_RELEASE) {
		claim->row_version = 0;
		od_write_result(claim);
	} else if (result->status.kind == ST_OK ||
		   result->status.kind == ST_NOT_FOUND) {
		od_end_rechecked(claim, result);
	} else {
		od_retry_result(claim);
	}
}

void od_recheck_row(struct od_claim *claim)
{
	od_get_row(claim, od_on_rechecked);
}

static void od_on_result_written(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	od_observe_era(claim->orders, result->era);
	if (result->status.kind == ST_OK) {
		claim->row_version = od_written_version(result);
		od_keep_claim(claim, result->era);
	} else if (result->status.kind == ST_CONFLICT) {
		od_recheck_row(claim);
	} else {
		od_retry_result(claim);
	}
}

/* Without a version, the row is inserted again. */
static void od_write_result(struct od_claim *claim)
{
	json_t *times = NULL;

	if (claim->end == OD_END_RELEASE)
		times = json_null();
	else if (!claim->row_version)
		times = json_object();

	od_put_row(claim, claim->row_version, json_incref(claim->result_row),
		   times, od_on_result_written);
}

void od_start_result(struct od_claim *claim)
{
	/* Without a version the insert may or may not have taken effect. */
	if (claim->row_version)
		od_write_result(claim);
	else
		od_recheck_row(claim);
}

static void od_end_claim(struct od_claim *claim, enum od_end end,
			 json_t *result)
{
	claim->end = end;
	claim->ended_us = tm_now_us();
	claim->backoff_us = OD_BACKOFF_FIRST_US;
	claim->result_row = result;
	if (!claim->claiming_again)
		od_start_result(claim);
}

void od_store_answer(struct od_claim *claim, int http_status,
		     const char *content_type, const char *body,
		     size_t body_bytes, bool store_body)
{
	json_t *row = od_new_row(claim, OD_DONE);
	char *text;

	json_object_set_new(row, "status", json_integer(http_status));
	if (store_body && body_bytes <= OD_MAX_BODY_BYTES) {
		text = g_base64_encode((const guchar *)body, body_bytes);
		json_object_set_new(row, "type", json_string(content_type));
		json_object_set_new(row, "body", json_string(text));
		g_free(text);
	}
	od_end_claim(claim, OD_END_DONE, row);
}

void od_release_claim(struct od_claim *claim)
{
	od_end_claim(claim, OD_END_RELEASE, NULL);
}

void od_store_unknown(struct od_claim *claim)
{
	od_end_claim(claim, OD_END_UNKNOWN, od_new_row(claim, OD_UNKNOWN));
}

bool od_is_idle(const struct od_orders *orders)
{
	uint64_t now_us = tm_now_us();

	for (const struct od_claim *c = orders->claims; c; c = c->next)
		if (!c->notified || c->end == OD_END_NONE ||
		    now_us < c->ended_us + OD_STOP_WAIT_US)
			return false;
	return true;
}

/* Claims */

#define OD_CUSTOMER_SCOPE "customer"

static bool od_is_valid_key(const char *key, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if (!g_ascii_isgraph(key[i]))
			return false;
	return bytes && bytes <= OD_MAX_KEY_BYTES;
}

/* Hashes the length first, so that the boundaries of parts count as well. */
static void od_hash_part(GChecksum *sum, const char *part, size_t bytes)
{
	uint64_t length = GUINT64_TO_LE((uint64_t)bytes);

	g_checksum_update(sum, (const guchar *)&length, sizeof(length));
	if (bytes)
		g_checksum_update(sum, (const guchar *)part, (gssize)bytes);
}

static void od_hash_end(GChecksum *sum, char out[OD_DIGEST_BYTES])
{
	g_strlcpy(out, g_checksum_get_string(sum), OD_DIGEST_BYTES);
	g_checksum_free(sum);
}

static void od_hash_request(struct od_claim *claim,
			    const struct od_request *request)
{
	GChecksum *key = g_checksum_new(G_CHECKSUM_SHA256);
	GChecksum *digest = g_checksum_new(G_CHECKSUM_SHA256);

	od_hash_part(key, request->caller, request->caller_bytes);
	od_hash_part(key, request->service, strlen(request->service));
	od_hash_part(key, request->key, request->key_bytes);
	/* A caller that calls itself like a customer has other keys. */
	if (request->is_customer)
		od_hash_part(key, OD_CUSTOMER_SCOPE, strlen(OD_CUSTOMER_SCOPE));
	od_hash_end(key, claim->row_key);
	od_hash_part(digest, request->method, strlen(request->method));
	od_hash_part(digest, request->path, strlen(request->path));
	od_hash_part(digest, request->body, request->body_bytes);
	od_hash_end(digest, claim->request_digest);
}

static struct od_claim *od_new_claim(struct od_orders *orders,
				     const struct od_request *request,
				     const struct od_callback *callback)
{
	struct od_claim *claim = g_new0(struct od_claim, 1);
	uint64_t now_us = tm_now_us();
	uint64_t left_us = 0;

	if (request->deadline_us > now_us)
		left_us = request->deadline_us - now_us;
	claim->orders = orders;
	claim->callback = *callback;
	claim->deadline_us = request->deadline_us;
	claim->deadline_ms =
		orders->wall_ms() + (int64_t)(left_us / OD_US_PER_MS);
	claim->backoff_us = OD_BACKOFF_FIRST_US;
	claim->step_timer.fire = od_on_timer;
	claim->step_timer.ctx = claim;
	claim->deadline_timer.fire = od_on_deadline;
	claim->deadline_timer.ctx = claim;
	g_strlcpy(claim->id, request->id, sizeof(claim->id));
	od_hash_request(claim, request);
	claim->kept_link.data = claim;
	od_link_claim(claim);
	return claim;
}

/* Whether the circuit breaker lets a claim through to the platform now. */
static bool od_breaker_allows_claim(struct od_orders *orders)
{
	uint64_t now_us = tm_now_us();

	if (!orders->breaker_open)
		return true;
	if (now_us < orders->breaker_retry_us)
		return false;
	orders->breaker_retry_us = now_us + OD_BREAKER_RETRY_US;
	return true;
}

enum st_kind od_claim_key(struct od_orders *orders,
			  const struct od_request *request,
			  const struct od_callback *callback,
			  struct st_status *status)
{
	struct od_claim *claim;

	if (!od_is_valid_key(request->key, request->key_bytes))
		return st_set(status, ST_INVALID,
			      "idempotency-key must have 1 to %d printable "
			      "ASCII characters without blanks",
			      OD_MAX_KEY_BYTES);
	if (od_is_settling(orders))
		return st_set(status, ST_PLATFORM, "%s", od_restored_msg);
	if (!od_breaker_allows_claim(orders))
		return st_set(status, ST_PLATFORM, "%s", od_outage_msg);
	claim = od_new_claim(orders, request, callback);
	tm_subscribe(orders->timers, &claim->deadline_timer,
		     claim->deadline_us);
	od_insert_row(claim);
	return ST_OK;
}

void od_init(struct od_orders *orders, struct pf_client *platform,
	     struct tm_service *timers, const struct se_settings *settings,
	     uint64_t incarnation)
{
	memset(orders, 0, sizeof(*orders));
	orders->platform = platform;
	orders->timers = timers;
	g_strlcpy(orders->host, settings->host, sizeof(orders->host));
	orders->incarnation = incarnation;
	orders->retention_ms = (int64_t)settings->order_retention_s * 1000;
	orders->wall_ms = od_wall_ms;
	od_start_sweep(orders, settings->lease_ms * OD_US_PER_MS);
	od_start_era_checks(orders);
}

void od_free(struct od_orders *orders)
{
	struct od_claim *next;

	for (struct od_claim *c = orders->claims; c; c = next) {
		next = c->next;
		od_free_unlinked(c);
	}
	od_free_kept(orders);
	od_stop_sweep(orders);
}
