#include "order.h"

#include <string.h>

#include "counter.h"
#include "log.h"

enum {
	OD_US_PER_MS = 1000,
	OD_POLL_FIRST_US = 20 * 1000,
	OD_POLL_LAST_US = 500 * 1000,
	OD_RETRY_LAST_US = 5 * 1000 * 1000,
	OD_STOP_WAIT_US = 5 * 1000 * 1000,
	OD_TRY_US = 250 * 1000,
	OD_SWEEP_US = 10 * 1000 * 1000,
	OD_SWEEP_BUSY_US = 1000 * 1000
};

/* A result that cannot be written for so long is given up. */
static const uint64_t OD_GIVE_UP_US = 3600ULL * 1000 * 1000;
/*
 * An insert of which it is not known whether it took effect is looked for so
 * long. A row that stays behind ends as "unknown" although it was not run.
 */
static const uint64_t OD_CLEAN_UP_US = 10ULL * 1000 * 1000;

static const char od_table[] = "orders";
static const char od_times[] = "order_times";

static const char od_outage[] =
	"the platform is unavailable, so the idempotency-key cannot be "
	"claimed; an earlier call with the same key may have run";

static const char *const od_state_names[] = {
#define X(id, name) name,
	OD_STATES(X)
#undef X
};

/* How a claim ends in the table. */
enum od_end { OD_END_NONE, OD_END_DONE, OD_END_RELEASE, OD_END_LOST };

/*
 * One call with a key. It has at most one operation at the platform or one
 * timer subscription at a time, besides its deadline.
 */
struct od_claim {
	struct od_orders *orders;
	struct od_claim *next;
	struct od_claim **prev_next;
	struct od_callback callback;
	char id[OD_ID_BYTES];
	char key[OD_DIGEST_BYTES];
	char digest[OD_DIGEST_BYTES];
	uint64_t deadline_us;
	int64_t deadline_ms; /* wall clock */
	struct tm_sub deadline;
	struct tm_sub timer;
	void (*next_step)(struct od_claim *claim); /* of the timer */
	uint64_t wait_us;
	bool told;
	bool inserted; /* an insert may have taken effect */
	bool seen; /* the key has a row of another call */
	uint64_t version; /* of the row when it is ours */
	enum od_end end;
	uint64_t ended_us;
	json_t *result; /* row to be written; NULL: removed */
};

/* A row as it was read. */
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

static void od_insert(struct od_claim *claim);
static void od_read(struct od_claim *claim);
static void od_settle(struct od_claim *claim);

static int64_t od_wall_ms(void)
{
	return g_get_real_time() / OD_US_PER_MS;
}

static void od_get(struct od_claim *claim,
		   void (*done)(void *ctx, const struct pf_result *result))
{
	struct pf_callback callback = { done, claim };

	ct_add(CT_ORDER_READS, 1);
	pf_get(claim->orders->platform, od_table, claim->key, &callback);
}

/*
 * Writes ROW (NULL: removes it) if the row has VERSION. The order's row is
 * written last, so that the answer carries its version.
 */
static void od_put(struct od_claim *claim, uint64_t version, json_t *row,
		   json_t *times,
		   void (*done)(void *ctx, const struct pf_result *result))
{
	struct pf_callback callback = { done, claim };
	json_t *conditions = json_array();
	json_t *writes = json_array();
	char at[OD_DIGEST_BYTES + 32];

	ct_add(CT_ORDER_WRITES, 1);
	pf_condition(conditions, od_table, claim->key, version);
	if (times) {
		g_snprintf(at, sizeof(at), "%016" G_GINT64_FORMAT "-%s",
			   claim->deadline_ms, claim->key);
		pf_write(writes, od_times, at, times);
	}
	pf_write(writes, od_table, claim->key, row ? row : json_null());
	pf_txn(claim->orders->platform, conditions, writes, &callback);
}

static uint64_t od_written_version(const struct pf_result *result)
{
	return (uint64_t)json_integer_value(
		json_object_get(result->json, "version"));
}

static json_t *od_new_row(const struct od_claim *claim, enum od_state state)
{
	return json_pack("{s:s, s:I, s:s, s:s, s:s, s:I}", "host",
			 claim->orders->host, "incarnation",
			 (json_int_t)claim->orders->incarnation, "id",
			 claim->id, "digest", claim->digest, "state",
			 od_state_names[state], "deadline_ms",
			 (json_int_t)claim->deadline_ms);
}

static bool od_unpack(json_t *json, struct od_row *row)
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

static bool od_is_mine(const struct od_claim *claim, const struct od_row *row)
{
	return !strcmp(row->id, claim->id);
}

static void od_free_claim(struct od_claim *claim)
{
	tm_cancel(claim->orders->timers, &claim->deadline);
	tm_cancel(claim->orders->timers, &claim->timer);
	*claim->prev_next = claim->next;
	if (claim->next)
		claim->next->prev_next = claim->prev_next;
	json_decref(claim->result);
	g_free(claim);
}

/* Tells the caller's side once. */
static void od_tell(struct od_claim *claim, const struct od_verdict *verdict)
{
	if (claim->told)
		return;
	claim->told = true;
	tm_cancel(claim->orders->timers, &claim->deadline);
	claim->callback.done(claim->callback.ctx, verdict);
}

static void od_tell_kind(struct od_claim *claim, enum st_kind kind)
{
	struct od_verdict verdict = { .kind = kind };

	if (kind == ST_KEY_REUSED)
		verdict.msg = "the idempotency-key was used before for "
			      "a different method, path or body";
	else if (kind == ST_PLATFORM)
		verdict.msg = od_outage;
	od_tell(claim, &verdict);
}

/* Ends a claim that owns no row. */
static void od_end_with(struct od_claim *claim, enum st_kind kind)
{
	od_tell_kind(claim, kind);
	od_free_claim(claim);
}

static void od_on_timer(void *ctx)
{
	struct od_claim *claim = ctx;

	claim->next_step(claim);
}

/* Runs NEXT_STEP after a growing wait. */
static void od_wait(struct od_claim *claim, uint64_t longest_us,
		    void (*next_step)(struct od_claim *claim))
{
	uint64_t wait_us = claim->wait_us;

	claim->wait_us = MIN(2 * wait_us, longest_us);
	claim->next_step = next_step;
	tm_subscribe(claim->orders->timers, &claim->timer,
		     tm_now_us() + wait_us);
}

/* A call without a result of its own ends here at its deadline. */
static void od_on_deadline(void *ctx)
{
	struct od_claim *claim = ctx;
	bool outstanding = !claim->timer.slot;

	od_tell_kind(claim,
		     claim->seen ? ST_DEADLINE_UNKNOWN : ST_DEADLINE_NOT_RUN);
	/* The callback of an outstanding operation ends the claim. */
	if (outstanding)
		return;
	tm_cancel(claim->orders->timers, &claim->timer);
	if (claim->inserted)
		od_release(claim);
	else
		od_free_claim(claim);
}

bool od_may_send(const struct od_claim *claim)
{
	return tm_now_us() < claim->deadline_us &&
	       claim->orders->wall_ms() < claim->deadline_ms;
}

/* The row is ours: the call may be sent while its deadline has not passed. */
static void od_own(struct od_claim *claim, uint64_t version)
{
	struct od_verdict verdict = { .kind = ST_OK, .claim = claim };

	claim->version = version;
	if (!claim->told && od_may_send(claim)) {
		ct_add(CT_ORDERS, 1);
		od_tell(claim, &verdict);
		return;
	}
	od_tell_kind(claim, ST_DEADLINE_NOT_RUN);
	od_release(claim);
}

static void od_replay(struct od_claim *claim, const struct od_row *row)
{
	struct od_verdict verdict = { .kind = ST_OK,
				      .http_status = (int)row->status,
				      .content_type =
					      row->type ? row->type : "" };
	gsize bytes = 0;
	guchar *body = row->body ? g_base64_decode(row->body, &bytes) : NULL;

	verdict.body = body ? (const char *)body : "";
	verdict.body_bytes = bytes;
	ct_add(CT_ORDER_REPLAYS, 1);
	od_tell(claim, &verdict);
	g_free(body);
	od_free_claim(claim);
}

static void od_on_expired(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	/* On a conflict the owner or another host wrote first. */
	if (result->status.kind == ST_CONFLICT && !claim->told)
		od_read(claim);
	else
		od_end_with(claim, ST_UNKNOWN);
}

/* The claim of another call has passed its deadline without a result. */
static void od_expire(struct od_claim *claim, const struct pf_result *result)
{
	json_t *row = json_deep_copy(result->json);

	json_object_set_new(row, "state",
			    json_string(od_state_names[OD_UNKNOWN]));
	od_put(claim, result->version, row, NULL, od_on_expired);
}

static bool od_is_dead(const struct od_claim *claim, const struct od_row *row)
{
	const struct od_orders *orders = claim->orders;

	if (!strcmp(row->host, orders->host))
		return (uint64_t)row->incarnation != orders->incarnation;
	return orders->live && !orders->live(orders->live_ctx, row->host,
					     (uint64_t)row->incarnation);
}

/* Whether the row can get no result any more from the host that claimed it. */
static bool od_is_over(const struct od_claim *claim, const struct od_row *row)
{
	return !od_in_state(row, OD_CLAIMED) || od_is_dead(claim, row);
}

static void od_judge(struct od_claim *claim, const struct pf_result *result,
		     const struct od_row *row)
{
	int64_t end_ms = row->deadline_ms + OD_SKEW_MS;

	if (strcmp(row->digest, claim->digest) != 0)
		od_end_with(claim, ST_KEY_REUSED);
	else if (od_in_state(row, OD_DONE))
		od_replay(claim, row);
	else if (od_in_state(row, OD_CLAIMED) &&
		 claim->orders->wall_ms() > end_ms)
		od_expire(claim, result);
	else if (od_is_over(claim, row))
		od_end_with(claim, ST_UNKNOWN);
	else
		od_wait(claim, OD_POLL_LAST_US, od_read);
}

static void od_on_read_row(struct od_claim *claim,
			   const struct pf_result *result)
{
	struct od_row row;

	if (!od_unpack(result->json, &row)) {
		lg_error("order", "malformed row of order %s", claim->key);
		od_end_with(claim, ST_UNKNOWN);
	} else if (od_is_mine(claim, &row)) {
		if (od_in_state(&row, OD_CLAIMED))
			od_own(claim, result->version);
		else
			od_end_with(claim, ST_DEADLINE_NOT_RUN);
	} else {
		claim->seen = true;
		if (claim->told)
			od_free_claim(claim);
		else
			od_judge(claim, result, &row);
	}
}

static void od_suspect(struct od_orders *orders)
{
	orders->suspect = true;
	orders->next_try_us = tm_now_us() + OD_TRY_US;
}

static void od_on_read(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	switch (result->status.kind) {
	case ST_OK:
		od_on_read_row(claim, result);
		break;
	case ST_NOT_FOUND:
		claim->seen = false;
		if (claim->told && !claim->inserted)
			od_free_claim(claim);
		else if (claim->told)
			od_release(claim);
		else
			od_wait(claim, OD_POLL_LAST_US, od_insert);
		break;
	default:
		od_suspect(claim->orders);
		od_tell_kind(claim, claim->seen ? ST_UNKNOWN : ST_PLATFORM);
		if (claim->inserted)
			od_release(claim);
		else
			od_free_claim(claim);
	}
}

static void od_read(struct od_claim *claim)
{
	od_get(claim, od_on_read);
}

static void od_on_inserted(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	switch (result->status.kind) {
	case ST_OK:
		claim->orders->suspect = false;
		od_own(claim, od_written_version(result));
		break;
	case ST_CONFLICT:
		claim->orders->suspect = false;
		claim->seen = true;
		od_read(claim);
		break;
	case ST_PLATFORM_UNKNOWN:
		claim->inserted = true;
		od_read(claim);
		break;
	default:
		od_end_with(claim, ST_PLATFORM);
	}
}

static void od_insert(struct od_claim *claim)
{
	od_put(claim, 0, od_new_row(claim, OD_CLAIMED), json_object(),
	       od_on_inserted);
}

/* Writing the result */

static void od_read_then_settle(struct od_claim *claim);

/* Tries again later, within limits. */
static void od_settle_later(struct od_claim *claim)
{
	uint64_t limit_us = claim->version ? OD_GIVE_UP_US : OD_CLEAN_UP_US;

	if (tm_now_us() < claim->ended_us + limit_us) {
		od_wait(claim, OD_RETRY_LAST_US, od_read_then_settle);
		return;
	}
	lg_error("order", "result of order %s could not be written", claim->id);
	od_free_claim(claim);
}

/*
 * Whether the row may still be replaced by the result. Another host may have
 * written "unknown" over the claim; an answer replaces it, nothing else does.
 */
static bool od_is_open(const struct od_claim *claim, json_t *json)
{
	struct od_row row;

	if (!od_unpack(json, &row) || !od_is_mine(claim, &row))
		return false;
	if (od_in_state(&row, OD_UNKNOWN))
		return claim->end == OD_END_DONE;
	return od_in_state(&row, OD_CLAIMED);
}

static void od_on_settle_read(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	if (result->status.kind == ST_OK && od_is_open(claim, result->json)) {
		claim->version = result->version;
		od_settle(claim);
	} else if (result->status.kind == ST_OK ||
		   result->status.kind == ST_NOT_FOUND) {
		od_free_claim(claim);
	} else {
		od_settle_later(claim);
	}
}

static void od_read_then_settle(struct od_claim *claim)
{
	od_get(claim, od_on_settle_read);
}

static void od_on_settled(void *ctx, const struct pf_result *result)
{
	struct od_claim *claim = ctx;

	if (result->status.kind == ST_OK)
		od_free_claim(claim);
	else if (result->status.kind == ST_CONFLICT)
		od_read_then_settle(claim);
	else
		od_settle_later(claim);
}

static void od_settle(struct od_claim *claim)
{
	json_t *times = claim->end == OD_END_RELEASE ? json_null() : NULL;

	od_put(claim, claim->version, json_incref(claim->result), times,
	       od_on_settled);
}

static void od_finish(struct od_claim *claim, enum od_end end, json_t *result)
{
	claim->end = end;
	claim->ended_us = tm_now_us();
	claim->wait_us = OD_POLL_FIRST_US;
	claim->result = result;
	/* Without a version it is not known whether the insert took effect. */
	if (claim->version)
		od_settle(claim);
	else
		od_read_then_settle(claim);
}

void od_done(struct od_claim *claim, int http_status, const char *content_type,
	     const char *body, size_t body_bytes, bool kept)
{
	json_t *row = od_new_row(claim, OD_DONE);
	char *text;

	json_object_set_new(row, "status", json_integer(http_status));
	if (kept && body_bytes <= OD_MAX_BODY_BYTES) {
		text = g_base64_encode((const guchar *)body, body_bytes);
		json_object_set_new(row, "type", json_string(content_type));
		json_object_set_new(row, "body", json_string(text));
		g_free(text);
	}
	od_finish(claim, OD_END_DONE, row);
}

void od_release(struct od_claim *claim)
{
	od_finish(claim, OD_END_RELEASE, NULL);
}

void od_lost(struct od_claim *claim)
{
	od_finish(claim, OD_END_LOST, od_new_row(claim, OD_UNKNOWN));
}

bool od_idle(const struct od_orders *orders)
{
	uint64_t now_us = tm_now_us();

	for (const struct od_claim *c = orders->claims; c; c = c->next)
		if (!c->told || c->end == OD_END_NONE ||
		    now_us < c->ended_us + OD_STOP_WAIT_US)
			return false;
	return true;
}

/* Claims */

static bool od_good_key(const char *key, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		if (!g_ascii_isgraph(key[i]))
			return false;
	return bytes && bytes <= OD_MAX_KEY_BYTES;
}

/* Adds a part with its length, so that parts cannot run into each other. */
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
	od_hash_end(key, claim->key);
	od_hash_part(digest, request->method, strlen(request->method));
	od_hash_part(digest, request->path, strlen(request->path));
	od_hash_part(digest, request->body, request->body_bytes);
	od_hash_end(digest, claim->digest);
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
	claim->wait_us = OD_POLL_FIRST_US;
	claim->timer.fire = od_on_timer;
	claim->timer.ctx = claim;
	claim->deadline.fire = od_on_deadline;
	claim->deadline.ctx = claim;
	g_strlcpy(claim->id, request->id, sizeof(claim->id));
	od_hash_request(claim, request);
	claim->next = orders->claims;
	claim->prev_next = &orders->claims;
	if (claim->next)
		claim->next->prev_next = &claim->next;
	orders->claims = claim;
	return claim;
}

/* Whether a claim may go to the platform now. */
static bool od_may_try(struct od_orders *orders)
{
	uint64_t now_us = tm_now_us();

	if (!orders->suspect)
		return true;
	if (now_us < orders->next_try_us)
		return false;
	orders->next_try_us = now_us + OD_TRY_US;
	return true;
}

enum st_kind od_claim(struct od_orders *orders,
		      const struct od_request *request,
		      const struct od_callback *callback,
		      struct st_status *status)
{
	struct od_claim *claim;

	if (!od_good_key(request->key, request->key_bytes))
		return st_set(status, ST_INVALID,
			      "idempotency-key must have 1 to %d printable "
			      "ASCII characters without blanks",
			      OD_MAX_KEY_BYTES);
	if (!od_may_try(orders))
		return st_set(status, ST_PLATFORM, "%s", od_outage);
	claim = od_new_claim(orders, request, callback);
	tm_subscribe(orders->timers, &claim->deadline, claim->deadline_us);
	od_insert(claim);
	return ST_OK;
}

/* Sweep of expired rows */

static void od_plan_sweep(struct od_orders *orders, uint64_t wait_us)
{
	tm_subscribe(orders->timers, &orders->sweep, tm_now_us() + wait_us);
}

static void od_on_swept(void *ctx, const struct pf_result *result)
{
	struct od_orders *orders = ctx;

	orders->sweeping = false;
	if (result->status.kind != ST_OK)
		lg_warn("sweep", "%s", result->status.msg);
}

/* Removals of the expired rows of a page that is ordered by deadline. */
static json_t *od_removals(const struct od_orders *orders, const json_t *page)
{
	json_t *writes = json_array();
	int64_t limit_ms = orders->wall_ms() - orders->retention_ms;

	for (size_t i = 0; i < json_array_size(page); i++) {
		const char *at = json_string_value(
			json_object_get(json_array_get(page, i), "key"));
		char *key = NULL;

		if (!at || g_ascii_strtoll(at, &key, 10) > limit_ms)
			break;
		pf_write(writes, od_times, at, json_null());
		if (*key == '-')
			pf_write(writes, od_table, key + 1, json_null());
	}
	return writes;
}

static void od_on_page(void *ctx, const struct pf_result *result)
{
	struct od_orders *orders = ctx;
	struct pf_callback callback = { od_on_swept, orders };
	json_t *writes;
	size_t count;

	orders->sweeping = false;
	if (result->status.kind != ST_OK)
		return;
	writes = od_removals(orders, result->json);
	count = json_array_size(writes);
	if (!count) {
		json_decref(writes);
		return;
	}
	if (!ls_write_fenced(&orders->lease, writes, &callback))
		return;
	orders->sweeping = true;
	ct_add(CT_ORDERS_SWEPT, count / 2);
	if (count == 2 * OD_SWEEP_ROWS)
		od_plan_sweep(orders, OD_SWEEP_BUSY_US);
}

static void od_on_sweep(void *ctx)
{
	struct od_orders *orders = ctx;
	struct pf_callback callback = { od_on_page, orders };

	od_plan_sweep(orders, OD_SWEEP_US);
	if (orders->sweeping || !ls_is_held(&orders->lease))
		return;
	orders->sweeping = true;
	pf_list(orders->platform, od_times, "", OD_SWEEP_ROWS, false,
		&callback);
}

void od_init(struct od_orders *orders, struct pf_client *platform,
	     struct tm_service *timers, const struct se_settings *settings,
	     uint64_t incarnation)
{
	char holder[LS_HOLDER_BYTES];

	memset(orders, 0, sizeof(*orders));
	orders->platform = platform;
	orders->timers = timers;
	g_strlcpy(orders->host, settings->host, sizeof(orders->host));
	orders->incarnation = incarnation;
	orders->retention_ms = (int64_t)settings->order_retention_s * 1000;
	orders->wall_ms = od_wall_ms;
	orders->sweep.fire = od_on_sweep;
	orders->sweep.ctx = orders;
	g_snprintf(holder, sizeof(holder), "%s-%" G_GINT64_MODIFIER "x",
		   settings->host, incarnation);
	ls_init(&orders->lease, platform, timers, "order-sweep", holder,
		settings->lease_ms * OD_US_PER_MS);
	od_plan_sweep(orders, OD_SWEEP_BUSY_US);
}

void od_free(struct od_orders *orders)
{
	struct od_claim *next;

	for (struct od_claim *c = orders->claims; c; c = next) {
		next = c->next;
		od_free_claim(c);
	}
	tm_cancel(orders->timers, &orders->sweep);
	ls_free(&orders->lease);
}
