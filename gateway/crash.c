#include "gateway/state.h"

#include <string.h>

#include <openssl/evp.h>
#include <openssl/sha.h>

#include "base/counter.h"

/*
 * Calls that crash servers: tells core/crash_guard.h of crashes and good answers, and
 * refuses what it blocks.
 *
 * When a server closes the connection of a call without an answer, a health request
 * on a new connection shows whether it has crashed: nothing listens any more, or its
 * next start answers, under another id. Servers that are alive and break off answers
 * are no reason to block a call.
 */
enum {
	/*
	 * The connections of a process that ends may be closed before the socket
	 * on which it listens, and a connection that this one has not accepted is
	 * reset then, before or after it is seen to be open.
	 */
	GW_CRASH_CHECKS = 3,
	GW_CRASH_CHECK_GAP_US = 20 * 1000,
	GW_CRASH_CHECK_TIMEOUT_US = 400 * 1000
};

/* What a check showed: identifier, name in log lines, whether it crashed. */
#define GW_CHECK_RESULTS(X)              \
	X(NO_ANSWER, "no-answer", false) \
	X(ANSWERED, "listens", false)    \
	X(REFUSED, "refused", true)      \
	X(OTHER_START, "started-anew", true)

enum gw_check_result {
#define X(id, name, crashed) GW_CHECK_##id,
	GW_CHECK_RESULTS(X)
#undef X
		GW_CHECK_RESULT_COUNT
};

static const struct {
	const char *name;
	bool crashed;
} gw_check_results[GW_CHECK_RESULT_COUNT] = {
#define X(id, name, crashed) { name, crashed },
	GW_CHECK_RESULTS(X)
#undef X
};

/* One for each server at a time, for all calls that it broke off meanwhile. */
struct gw_crash_check {
	struct hc_request http; /* first: callbacks cast back */
	struct gw_gateway *gateway;
	struct gw_server *server;
	GArray *keys; /* struct cg_key of these calls */
	struct tm_sub timer; /* of the next check, or the end of this one */
	uint32_t checks; /* made or begun */
	bool running;
	enum gw_check_result result; /* of the latest check */
};

static void gw_hash_text(EVP_MD_CTX *hash, const char *text, size_t bytes)
{
	uint64_t length = bytes;

	EVP_DigestUpdate(hash, &length, sizeof(length));
	EVP_DigestUpdate(hash, text, bytes);
}

static void gw_hash_call(const struct gw_call *call, EVP_MD_CTX *hash)
{
	const GString *head = call->request_head;
	const char *line_end = strchr(head->str, '\n');
	const char *host = strstr(head->str, "\nhost: ");

	gw_hash_text(hash, head->str,
		     line_end ? (size_t)(line_end - head->str) : head->len);
	/* Without the caller's Host header, the path says which service it is. */
	if (host)
		gw_hash_text(hash, host + 1, strcspn(host + 1, "\r"));
	if (call->request_body.base)
		gw_hash_text(hash, call->request_body.base,
			     call->request_body.bytes);
}

/*
 * The same for each try of a request: method, host, path with query, and body. Its
 * ids, times and other headers differ from try to try.
 */
static const struct cg_key *gw_call_key(struct gw_call *call)
{
	uint8_t digest[SHA256_DIGEST_LENGTH];
	EVP_MD_CTX *hash;

	if (call->has_key)
		return &call->key;
	hash = EVP_MD_CTX_new();
	EVP_DigestInit_ex(hash, EVP_sha256(), NULL);
	gw_hash_call(call, hash);
	EVP_DigestFinal_ex(hash, digest, NULL);
	EVP_MD_CTX_free(hash);
	memcpy(call->key.bytes, digest, CG_KEY_BYTES);
	call->has_key = true;
	return &call->key;
}

bool gw_is_blocked(struct gw_call *call)
{
	struct gw_gateway *gateway = call->gateway;
	uint64_t now_us = tm_now_us();
	uint64_t left_us;

	if (!cg_has_suspects(&gateway->crash_guard))
		return false;
	left_us =
		cg_blocked_us(&gateway->crash_guard, gw_call_key(call), now_us);
	if (left_us)
		call->retry_at_us = now_us + left_us;
	return left_us != 0;
}

void gw_post_blocked(struct gw_call *call)
{
	struct core_event event = { .kind = CORE_EV_BLOCKED };

	event.u.call_ref.call = call->id;
	gw_post_event(call->gateway, &event);
}

/*
 * Ends the calls in progress that are blocked now. Those that may run only once
 * and are at a server go on: their outcome would be unknown either way.
 */
static void gw_end_blocked_calls(struct gw_gateway *gateway)
{
	GList *calls = g_hash_table_get_values(gateway->calls);

	for (GList *l = calls; l; l = l->next) {
		struct gw_call *call = l->data;

		if ((call->idempotent || !call->attempt_count) &&
		    gw_is_blocked(call))
			gw_post_blocked(call);
	}
	g_list_free(calls);
}

static void gw_on_blocked(struct gw_gateway *gateway, const struct cg_key *key,
			  bool by_this_host)
{
	ct_add(CT_BLOCKED, 1);
	gw_log_block(gateway, key, by_this_host);
	gw_end_blocked_calls(gateway);
}

/*
 * The crashes of a request that has had two are kept beyond this process. One is not
 * enough: most requests that crash with a server are sound.
 */
static void gw_on_suspect(struct gw_gateway *gateway, const struct cg_key *key,
			  bool by_this_host)
{
	struct kn_msg_crash msg = {
		.msg = { KN_SUSPECT, sizeof(msg) },
		.key = *key,
	};
	uint64_t servers[CG_CRASHES_TO_BLOCK];
	uint32_t crashes = cg_get_servers(&gateway->crash_guard, key, servers);

	if (!crashes || cg_blocked_us(&gateway->crash_guard, key, tm_now_us()))
		return;
	gw_log_suspect(gateway, key, crashes, by_this_host);
	if (crashes < CG_CRASHES_TO_BLOCK - 1)
		return;
	for (uint32_t i = 0; i < crashes; i++) {
		msg.server = servers[i];
		kn_send(gateway->kernel, "alerts", &msg.msg);
	}
}

static void gw_add_crash(struct gw_gateway *gateway, const struct cg_key *key,
			 uint64_t server, bool by_this_host)
{
	struct kn_msg_block msg = {
		.msg = { KN_BLOCK, sizeof(msg) },
		.key = *key,
	};

	if (!cg_add_crash(&gateway->crash_guard, key, server, tm_now_us())) {
		gw_on_suspect(gateway, key, by_this_host);
		return;
	}
	msg.left_us = cg_blocked_us(&gateway->crash_guard, key, tm_now_us());
	gw_on_blocked(gateway, key, true);
	kn_send(gateway->kernel, "alerts", &msg.msg);
}

void gw_on_crash_message(struct gw_gateway *gateway,
			 const struct kn_msg_crash *crash)
{
	gw_add_crash(gateway, &crash->key, crash->server, false);
}

void gw_on_block_message(struct gw_gateway *gateway,
			 const struct kn_msg_block *block)
{
	if (cg_add_block(&gateway->crash_guard, &block->key, block->left_us,
			 tm_now_us()))
		gw_on_blocked(gateway, &block->key, false);
}

/*
 * Other hosts are told of no request that this one knows to be sound: a host that has
 * just started knows no good answers, and would count what all others have seen.
 */
static void gw_report_crash(const struct gw_crash_check *check)
{
	struct gw_gateway *gateway = check->gateway;

	ct_add(CT_CRASHES, 1);
	gw_log_crash(check->server, check->keys->len);
	for (guint i = 0; i < check->keys->len; i++) {
		struct kn_msg_crash msg = {
			.msg = { KN_CRASH, sizeof(msg) },
			.key = g_array_index(check->keys, struct cg_key, i),
			.server = check->server->start_hash,
		};

		if (cg_was_answered(&gateway->crash_guard, &msg.key,
				    tm_now_us()))
			continue;
		kn_send(gateway->kernel, "alerts", &msg.msg);
		gw_add_crash(gateway, &msg.key, msg.server, true);
	}
}

static void gw_free_check(struct gw_crash_check *check)
{
	tm_cancel(check->gateway->timers, &check->timer);
	check->server->crash_check = NULL;
	g_array_free(check->keys, TRUE);
	g_free(check);
}

static void gw_finish_check(struct gw_crash_check *check)
{
	gw_log_check(check->server, check->keys->len,
		     gw_check_results[check->result].name);
	if (gw_check_results[check->result].crashed)
		gw_report_crash(check);
	gw_free_check(check);
}

static void gw_on_check_head(struct hc_request *request,
			     const struct hc_head *head)
{
	struct gw_crash_check *check = (struct gw_crash_check *)request;
	const struct hc_header *id =
		dl_find_header(head, check->gateway->dialect->server_id);

	check->result = !id || hc_value_is(id, check->server->name) ?
				GW_CHECK_ANSWERED :
				GW_CHECK_OTHER_START;
	hc_cancel(request);
	gw_finish_check(check);
}

/* A server that does not answer at all may be cut off rather than crashed. */
static void gw_on_check_done(struct hc_request *request, enum hc_end end,
			     const char *msg)
{
	struct gw_crash_check *check = (struct gw_crash_check *)request;

	check->running = false;
	if (request->refused)
		check->result = GW_CHECK_REFUSED;
	if (request->refused || check->checks == GW_CRASH_CHECKS)
		gw_finish_check(check);
	else
		tm_subscribe(check->gateway->timers, &check->timer,
			     tm_now_us() + GW_CRASH_CHECK_GAP_US);
}

static const struct hc_handler gw_check_handler = {
	.head = gw_on_check_head,
	.done = gw_on_check_done,
};

static void gw_start_check(struct gw_crash_check *check)
{
	if (gw_is_evacuated(check->gateway, check->server)) {
		gw_finish_check(check);
		return;
	}
	check->checks++;
	check->running = true;
	tm_subscribe(check->gateway->timers, &check->timer,
		     tm_now_us() + GW_CRASH_CHECK_TIMEOUT_US);
	if (!hc_start(&check->server->pool, &check->http,
		      pb_format_request(check->gateway->dialect,
					check->server->probe_path,
					&check->server->pool)))
		gw_finish_check(check);
}

static void gw_on_check_timer(void *ctx)
{
	struct gw_crash_check *check = ctx;

	if (!check->running) {
		gw_start_check(check);
		return;
	}
	hc_cancel_overdue(&check->http);
	gw_finish_check(check);
}

void gw_on_connection_lost(struct gw_attempt *attempt)
{
	struct gw_gateway *gateway = attempt->call->gateway;
	struct gw_server *server =
		g_ptr_array_index(gateway->servers, attempt->server);
	struct gw_crash_check *check = server->crash_check;

	if (check) {
		g_array_append_vals(check->keys, gw_call_key(attempt->call), 1);
		return;
	}
	check = g_new0(struct gw_crash_check, 1);
	check->gateway = gateway;
	check->server = server;
	check->keys = g_array_new(FALSE, FALSE, sizeof(struct cg_key));
	g_array_append_vals(check->keys, gw_call_key(attempt->call), 1);
	check->http.handler = &gw_check_handler;
	check->http.new_connection = true;
	check->timer.fire = gw_on_check_timer;
	check->timer.ctx = check;
	server->crash_check = check;
	gw_start_check(check);
}

void gw_on_good_answer(struct gw_call *call)
{
	cg_add_answer(&call->gateway->crash_guard, gw_call_key(call),
		      tm_now_us());
}

void gw_close_crash_checks(struct gw_gateway *gateway)
{
	for (guint i = 0; i < gateway->servers->len; i++) {
		struct gw_server *server =
			g_ptr_array_index(gateway->servers, i);

		if (!server->crash_check)
			continue;
		hc_cancel(&server->crash_check->http);
		gw_free_check(server->crash_check);
	}
}
