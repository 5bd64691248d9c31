#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <malloc.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "admin/admin.h"
#include "cli/command.h"
#include "control/control.h"
#include "base/counter.h"
#include "gateway/gateway.h"
#include "base/kernel.h"
#include "base/log.h"
#include "base/mechanism.h"
#include "orders/order.h"
#include "peer/task.h"
#include "platform/dialect.h"
#include "platform/follow.h"
#include "platform/quota_link.h"
#include "platform/store.h"
#include "base/settings.h"
#include "base/timer.h"
#include "http/tls.h"

enum {
	SV_IDLE_POLL_US = 20 * 1000,
	SV_US_PER_MS = 1000,
	SV_LARGE_BYTES = 128 * 1024,
	SV_SETTINGS_POLL_US = 10 * 1000 * 1000,
	/* HTTP/2 connections close after two GOAWAY frames, 1 s apart. */
	SV_LINGER_US = 2000 * 1000,
	SV_CLOSE_TIMEOUT_US = 1000 * 1000
};

/* All parts of one entry host. */
struct sv_host {
	struct se_settings settings;
	uv_loop_t loop;
	struct kn_kernel kernel;
	struct tm_service timers;
	struct pf_client platform;
	struct pf_client order_platform;
	struct cp_control control;
	struct od_orders orders;
	struct gw_gateway gateway;
	struct ad_admin admin;
	struct tl_listener callers_tls;
	struct tl_listener operators_tls;
	SSL_CTX *platform_tls;
	struct pr_peer peer;
	struct fo_follower follower;
	struct ql_link quotas; /* of a host that follows the platform */
	struct hd_server health;
	struct hd_server metrics;
	uv_signal_t signals[3];
	const char *settings_path;
	char *settings_text; /* of the last read of the file */
	struct tm_sub settings_timer;
	struct tm_sub stop_timer;
	uint64_t linger_until_us;
	bool stopping;
	bool immediate_stop; /* end without closing connections */
};

static void sv_on_idle_check(void *ctx)
{
	struct sv_host *host = ctx;

	hd_close_idle(&host->gateway.http);
	if (gw_is_idle(&host->gateway) &&
	    (!host->gateway.http.connections ||
	     tm_now_us() >= host->linger_until_us)) {
		uv_stop(&host->loop);
		return;
	}
	tm_subscribe(&host->timers, &host->stop_timer,
		     tm_now_us() + SV_IDLE_POLL_US);
}

/*
 * By now the platform's load balancer has had time to react to the failing
 * health checks.
 */
static void sv_on_grace_end(void *ctx)
{
	struct sv_host *host = ctx;

	gw_stop_listening(&host->gateway);
	host->linger_until_us = tm_now_us() + SV_LINGER_US;
	host->stop_timer.fire = sv_on_idle_check;
	sv_on_idle_check(host);
}

static void sv_stop(void *ctx)
{
	struct sv_host *host = ctx;
	struct kn_msg msg = { KN_STOP, sizeof(msg) };
	uint64_t now_us = tm_now_us();
	uint64_t grace_us = host->settings.stop_grace_ms * SV_US_PER_MS;
	uint64_t limit_us = host->settings.stop_limit_ms * SV_US_PER_MS;

	if (host->stopping)
		return;
	host->stopping = true;
	if (!me_on(ME_GRACEFUL_STOP)) {
		host->immediate_stop = true;
		uv_stop(&host->loop);
		return;
	}
	lg_info("stop", "graceful stop begins");
	kn_broadcast(&host->kernel, &msg);
	gw_announce_stop(&host->gateway, limit_us ? now_us + limit_us : 0);
	host->stop_timer.fire = sv_on_grace_end;
	host->stop_timer.ctx = host;
	tm_subscribe(&host->timers, &host->stop_timer, now_us + grace_us);
}

/*
 * Applies the settings that may change while the process runs. All others, such
 * as addresses, names and paths of TLS files, need a restart; a warning is
 * logged if the address of the callers' listener or the platform changed.
 */
static void sv_apply_settings(struct sv_host *host,
			      const struct se_settings *updated)
{
	struct se_settings *settings = &host->settings;

	settings->stop_grace_ms = updated->stop_grace_ms;
	settings->stop_limit_ms = updated->stop_limit_ms;
	settings->fresh_ms = updated->fresh_ms;
	settings->retry_percent = updated->retry_percent;
	settings->retry_slack = updated->retry_slack;
	settings->probes_per_server_s = updated->probes_per_server_s;
	g_strlcpy(settings->log_level, updated->log_level,
		  sizeof(settings->log_level));
	lg_set_level(settings->log_level);
	if (strcmp(settings->callers.text, updated->callers.text) != 0 ||
	    strcmp(settings->platform.text, updated->platform.text) != 0)
		lg_warn("reload",
			"changed addresses take effect after a restart");
}

/* Applies the text that was read last, unless it has errors. */
static void sv_reload_settings(struct sv_host *host)
{
	struct se_settings *updated = g_new0(struct se_settings, 1);
	GString *text = g_string_new(NULL);
	struct ym_errors errors;

	ym_errors_init(&errors);
	if (se_parse(host->settings_text, strlen(host->settings_text), updated,
		     &errors) == ST_OK) {
		sv_apply_settings(host, updated);
		lg_info("reload", "settings read again");
	} else {
		ym_errors_print(&errors, text);
		lg_warn("reload",
			"settings have errors, keeping the previous ones: %s",
			text->str);
	}
	ym_errors_free(&errors);
	g_string_free(text, TRUE);
	g_free(updated);
}

/*
 * Reads the settings file into SETTINGS_TEXT. CHANGED is set to whether the
 * text differs from the previous one. On failure the previous text is kept.
 */
static bool sv_read_settings_text(struct sv_host *host, bool *changed)
{
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(host->settings_path, &text, NULL, &error)) {
		lg_warn("reload", "cannot read the settings file: %s",
			error->message);
		g_error_free(error);
		return false;
	}
	*changed = g_strcmp0(text, host->settings_text) != 0;
	g_free(host->settings_text);
	host->settings_text = text;
	return true;
}

/* Polls the file, because it may change without a SIGHUP. */
static void sv_on_settings_timer(void *ctx)
{
	struct sv_host *host = ctx;
	bool changed;

	if (sv_read_settings_text(host, &changed) && changed)
		sv_reload_settings(host);
	tm_subscribe(&host->timers, &host->settings_timer,
		     tm_now_us() + SV_SETTINGS_POLL_US);
}

static void sv_watch_settings(struct sv_host *host)
{
	bool changed;

	host->settings_timer.fire = sv_on_settings_timer;
	host->settings_timer.ctx = host;
	sv_read_settings_text(host, &changed);
	tm_subscribe(&host->timers, &host->settings_timer,
		     tm_now_us() + SV_SETTINGS_POLL_US);
}

static void sv_on_signal(uv_signal_t *handle, int signum)
{
	struct sv_host *host = handle->data;
	bool changed;

	if (signum == SIGHUP) {
		if (sv_read_settings_text(host, &changed))
			sv_reload_settings(host);
		return;
	}
	if (!host->stopping) {
		sv_stop(host);
		return;
	}
	host->immediate_stop = true;
	uv_stop(&host->loop);
}

static void sv_watch_signals(struct sv_host *host)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(&host->loop, &host->signals[i]);
		host->signals[i].data = host;
		uv_signal_start(&host->signals[i], sv_on_signal, numbers[i]);
	}
	signal(SIGPIPE, SIG_IGN);
}

static enum st_kind sv_start_tls(struct sv_host *host, struct st_status *status)
{
	enum st_kind kind;

	kind = tl_listen(&host->callers_tls, &host->gateway.http,
			 &host->settings.callers_tls, &host->timers, status);
	if (kind != ST_OK)
		return kind;
	return tl_listen(&host->operators_tls, &host->admin.http,
			 &host->settings.operators_tls, &host->timers, status);
}

static void sv_on_health(void *ctx, h2o_req_t *req)
{
	const struct sv_host *host = ctx;
	bool ready = gw_is_ready(&host->gateway);

	hd_reply(req, ready ? 200 : 503, "text/plain",
		 ready ? "ok\n" : "not ready\n", ready ? 3 : 10);
}

static void sv_on_metrics(void *ctx, h2o_req_t *req)
{
	ad_reply_metrics(req);
}

static enum st_kind sv_start_plain_listeners(struct sv_host *host,
					     struct st_status *status)
{
	const struct se_settings *settings = &host->settings;
	enum st_kind kind = ST_OK;

	if (settings->has_health)
		kind = hd_init(&host->health, &host->loop, &settings->health,
			       sv_on_health, host, status);
	if (kind == ST_OK && settings->has_metrics)
		kind = hd_init(&host->metrics, &host->loop, &settings->metrics,
			       sv_on_metrics, host, status);
	return kind;
}

static bool sv_is_host_live(void *ctx, const char *name, uint64_t incarnation)
{
	const struct sv_host *host = ctx;

	return pr_is_listed(&host->peer, name, incarnation);
}

static enum st_kind sv_start_peer(struct sv_host *host,
				  struct st_status *status)
{
	host->orders.is_live = sv_is_host_live;
	host->orders.is_live_ctx = host;
	return pr_init(&host->peer, &host->kernel, &host->timers,
		       &host->platform, &host->control, &host->settings,
		       host->gateway.incarnation, status);
}

/* Starts a host that gets its document from operators and peers. */
static enum st_kind sv_start_document_mode(struct sv_host *host,
					   struct st_status *status)
{
	enum st_kind kind;

	pf_init(&host->order_platform, &host->loop, &host->timers,
		&host->settings.platform);
	host->order_platform.timeout_us = OD_PLATFORM_TIMEOUT_US;
	hc_pool_set_tls(&host->order_platform.pool, host->platform_tls);
	od_init(&host->orders, &host->order_platform, &host->timers,
		&host->settings, host->gateway.incarnation);
	host->gateway.orders = &host->orders;
	kind = cp_init(&host->control, &host->kernel, &host->timers,
		       &host->platform, &host->settings, status);
	if (kind == ST_OK)
		kind = ad_init(&host->admin, &host->loop, &host->control,
			       &host->gateway, &host->platform, &host->settings,
			       sv_stop, host, status);
	if (kind == ST_OK)
		kind = sv_start_tls(host, status);
	return kind == ST_OK ? sv_start_peer(host, status) : kind;
}

/* Starts a host that reads routes and servers from the platform's store. */
static enum st_kind sv_start_follow_mode(struct sv_host *host,
					 struct st_status *status)
{
	enum st_kind kind =
		tl_listen(&host->callers_tls, &host->gateway.http,
			  &host->settings.callers_tls, &host->timers, status);

	if (kind != ST_OK)
		return kind;
	kind = ql_init(&host->quotas, &host->kernel, &host->timers,
		       &host->settings, status);
	if (kind != ST_OK)
		return kind;
	host->gateway.admit_customer = ql_admit;
	host->gateway.admit_ctx = &host->quotas;
	kind = fo_init(&host->follower, &host->kernel, &host->timers,
		       &host->platform, &host->settings, status);
	host->follower.relay.quotas = &host->quotas;
	host->quotas.list = &host->follower.relay.hosts;
	host->follower.relay.handle_call = gw_on_forwarded;
	host->follower.relay.call_ctx = &host->gateway;
	host->gateway.get_confirmed_us = fo_confirmed_us;
	host->gateway.confirmed_ctx = &host->follower;
	if (kind == ST_OK)
		gw_limit_hosts(&host->gateway, &host->follower.relay.http);
	return kind;
}

/*
 * Large buffers are returned to the system when they are freed. By default the
 * library raises this limit with the first one, and keeps the memory of the others.
 */
static void sv_set_allocator(void)
{
	mallopt(M_MMAP_THRESHOLD, SV_LARGE_BYTES);
	mallopt(M_TRIM_THRESHOLD, SV_LARGE_BYTES);
}

static enum st_kind sv_start(struct sv_host *host, struct st_status *status)
{
	enum st_kind kind;

	sv_set_allocator();
	kn_init(&host->kernel, &host->loop);
	tm_init(&host->timers, &host->loop);
	pf_init(&host->platform, &host->loop, &host->timers,
		&host->settings.platform);
	if (!host->settings.platform_tls.plaintext) {
		host->platform_tls = tl_client_context(
			host->settings.platform_tls.ca, status);
		if (!host->platform_tls)
			return ST_INVALID;
	}
	hc_pool_set_tls(&host->platform.pool, host->platform_tls);
	kind = gw_init(
		&host->gateway, &host->kernel, &host->timers, &host->settings,
		host->settings.follow_platform ? &pd_dialect : &dl_default,
		status);
	if (kind == ST_OK)
		kind = sv_start_plain_listeners(host, status);
	if (kind != ST_OK)
		return kind;
	if (host->settings.follow_platform)
		return sv_start_follow_mode(host, status);
	return sv_start_document_mode(host, status);
}

static uint32_t sv_connection_count(const struct sv_host *host)
{
	return host->gateway.http.connections + host->admin.http.connections +
	       host->health.connections + host->metrics.connections +
	       host->follower.relay.http.connections;
}

static void sv_close_server(struct hd_server *server)
{
	hd_stop_listening(server);
	hd_close_all(server);
}

static void sv_close_document_mode(struct sv_host *host)
{
	sv_close_server(&host->admin.http);
	pr_close(&host->peer);
}

/*
 * Closes all listeners and connections and runs the loop until the connections
 * are closed. Returns false if some are still open after SV_CLOSE_TIMEOUT_US.
 */
static bool sv_close(struct sv_host *host)
{
	uint64_t until_us = tm_now_us() + SV_CLOSE_TIMEOUT_US;

	bool following = host->settings.follow_platform;

	gw_close(&host->gateway);
	if (host->settings.has_health)
		sv_close_server(&host->health);
	if (host->settings.has_metrics)
		sv_close_server(&host->metrics);
	if (following) {
		fo_close(&host->follower);
		ql_close(&host->quotas);
	} else {
		sv_close_document_mode(host);
	}
	pf_free(&host->platform);
	if (!following) {
		od_free(&host->orders);
		pf_free(&host->order_platform);
		cp_free(&host->control);
	}
	while (sv_connection_count(host) && tm_now_us() < until_us)
		uv_run(&host->loop, UV_RUN_NOWAIT);
	return !sv_connection_count(host);
}

static void sv_free(struct sv_host *host)
{
	/*
	 * h2o must not be freed while a connection is open, for instance one
	 * whose operator still waits for an answer. The memory is then left
	 * to the end of the process.
	 */
	if (!sv_close(host))
		return;
	tl_free(&host->callers_tls);
	SSL_CTX_free(host->platform_tls);
	gw_free(&host->gateway);
	if (host->settings.has_health)
		hd_free(&host->health);
	if (host->settings.has_metrics)
		hd_free(&host->metrics);
	if (host->settings.follow_platform) {
		fo_free(&host->follower);
		ql_free(&host->quotas);
	} else {
		tl_free(&host->operators_tls);
		ad_free(&host->admin);
	}
	tm_free(&host->timers);
	for (size_t i = 0; i < G_N_ELEMENTS(host->signals); i++)
		uv_close((uv_handle_t *)&host->signals[i], NULL);
	uv_run(&host->loop, UV_RUN_DEFAULT);
	if (!host->settings.follow_platform)
		pr_free(&host->peer);
	kn_free(&host->kernel);
	uv_loop_close(&host->loop);
}

static int sv_run(struct sv_host *host)
{
	struct st_status status = { 0 };
	enum st_kind kind;

	uv_loop_init(&host->loop);
	sv_watch_signals(host);
	kind = sv_start(host, &status);
	if (kind != ST_OK) {
		lg_error("start", "%s", status.msg);
		return st_exit_code(kind);
	}
	sv_watch_settings(host);
	lg_attach(&host->timers);
	lg_info("start", "listening for callers on %s, operators on %s",
		host->settings.callers.text,
		host->settings.has_operators ? host->settings.operators.text :
					       "none");
	uv_run(&host->loop, UV_RUN_DEFAULT);
	lg_detach();
	tm_cancel(&host->timers, &host->settings_timer);
	g_free(host->settings_text);
	if (!host->settings.follow_platform)
		pr_leave(&host->peer);
	if (!host->immediate_stop)
		sv_free(host);
	lg_info("stop", "stopped");
	return 0;
}

struct sv_options {
	const char *settings;
	bool check;
};

static error_t sv_parse_option(int key, char *arg, struct argp_state *state)
{
	struct sv_options *options = state->input;

	switch (key) {
	case 'c':
		options->check = true;
		return 0;
	case ARGP_KEY_ARG:
		if (options->settings)
			argp_usage(state);
		options->settings = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->settings)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool sv_read_settings(struct sv_host *host, const char *path)
{
	struct ym_errors errors;
	GString *text = g_string_new(NULL);
	enum st_kind kind;

	ym_errors_init(&errors);
	kind = se_read_file(path, &host->settings, &errors);
	ym_errors_print(&errors, text);
	if (kind != ST_OK)
		fprintf(stderr, "%s:\n%s", path, text->str);
	g_string_free(text, TRUE);
	ym_errors_free(&errors);
	return kind == ST_OK;
}

int cmd_serve(int argc, char **argv)
{
	static const struct argp_option arguments[] = {
		{ "check", 'c', NULL, 0, "check the settings and exit", 0 },
		{ 0 },
	};
	static struct sv_host host;
	struct sv_options options = { 0 };
	struct argp argp = {
		.options = arguments,
		.parser = sv_parse_option,
		.args_doc = "SETTINGS",
		.doc = "Runs an entry host with the settings file SETTINGS."
	};

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return st_exit_code(ST_USAGE);
	if (!sv_read_settings(&host, options.settings))
		return st_exit_code(ST_INVALID);
	if (options.check) {
		printf("%s: no errors\n", options.settings);
		return 0;
	}
	host.settings_path = options.settings;
	lg_init(host.settings.host, host.settings.log_level);
	return sv_run(&host);
}
