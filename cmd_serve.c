#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "admin.h"
#include "command.h"
#include "control.h"
#include "gateway.h"
#include "kernel.h"
#include "log.h"
#include "mechanism.h"
#include "peer.h"
#include "platform.h"
#include "settings.h"
#include "timer.h"

enum { SV_CHECK_IDLE_US = 20 * 1000, SV_US_PER_MS = 1000 };

/* All parts of one entry host. */
struct sv_host {
	struct se_settings settings;
	uv_loop_t loop;
	struct kn_kernel kernel;
	struct tm_service timers;
	struct pf_client platform;
	struct cp_control control;
	struct gw_gateway gateway;
	struct ad_admin admin;
	struct pr_peer *peer;
	uv_signal_t signals[2];
	struct tm_sub stop_timer;
	bool stopping;
};

static void sv_on_idle_check(void *ctx)
{
	struct sv_host *host = ctx;

	if (gw_idle(&host->gateway) || !me_on(ME_GRACEFUL_STOP)) {
		uv_stop(&host->loop);
		return;
	}
	tm_subscribe(&host->timers, &host->stop_timer,
		     tm_now_us() + SV_CHECK_IDLE_US);
}

/* The platform's balancer has had time to notice that health checks fail. */
static void sv_on_grace_over(void *ctx)
{
	struct sv_host *host = ctx;

	gw_stop_listening(&host->gateway);
	host->stop_timer.fire = sv_on_idle_check;
	sv_on_idle_check(host);
}

static void sv_stop(void *ctx)
{
	struct sv_host *host = ctx;
	struct kn_msg msg = { KN_STOP, sizeof(msg) };
	uint64_t grace_us = host->settings.stop_grace_ms * SV_US_PER_MS;

	if (host->stopping)
		return;
	host->stopping = true;
	lg_info("stop", "graceful stop begins");
	kn_broadcast(&host->kernel, &msg);
	gw_announce_stop(&host->gateway);
	host->stop_timer.fire = sv_on_grace_over;
	host->stop_timer.ctx = host;
	tm_subscribe(&host->timers, &host->stop_timer, tm_now_us() + grace_us);
}

static void sv_on_signal(uv_signal_t *handle, int signum)
{
	struct sv_host *host = handle->data;

	if (host->stopping)
		uv_stop(&host->loop);
	else
		sv_stop(host);
}

static void sv_watch_signals(struct sv_host *host)
{
	static const int numbers[] = { SIGTERM, SIGINT };

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(&host->loop, &host->signals[i]);
		host->signals[i].data = host;
		uv_signal_start(&host->signals[i], sv_on_signal, numbers[i]);
	}
	signal(SIGPIPE, SIG_IGN);
}

static enum st_kind sv_start(struct sv_host *host, struct st_status *status)
{
	enum st_kind kind;

	kn_init(&host->kernel, &host->loop);
	tm_init(&host->timers, &host->loop);
	pf_init(&host->platform, &host->loop, &host->timers,
		&host->settings.platform);
	kind = gw_init(&host->gateway, &host->kernel, &host->timers,
		       &host->settings, status);
	if (kind == ST_OK)
		kind = cp_init(&host->control, &host->kernel, &host->timers,
			       &host->platform, &host->settings, status);
	if (kind == ST_OK)
		kind = ad_init(&host->admin, &host->loop, &host->control,
			       &host->gateway, &host->platform, &host->settings,
			       sv_stop, host, status);
	if (kind != ST_OK)
		return kind;
	host->peer = pr_new(&host->kernel, &host->timers, &host->platform,
			    &host->control, &host->settings,
			    host->gateway.incarnation, status);
	return host->peer ? ST_OK : status->kind;
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
		return st_exit(kind);
	}
	lg_info("start", "callers %s, operators %s",
		host->settings.callers.text, host->settings.operators.text);
	uv_run(&host->loop, UV_RUN_DEFAULT);
	pr_leave(host->peer);
	lg_info("stop", "ended");
	return 0;
}

struct sv_options {
	const char *settings;
};

static error_t sv_parse(int key, char *arg, struct argp_state *state)
{
	struct sv_options *options = state->input;

	switch (key) {
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

int cmd_serve(int argc, char **argv)
{
	static struct sv_host host;
	struct sv_options options = { 0 };
	struct argp argp = {
		.parser = sv_parse,
		.args_doc = "SETTINGS",
		.doc = "Runs an entry host with a settings file."
	};
	struct ym_errors errors;
	enum st_kind kind;

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return st_exit(ST_USAGE);
	ym_errors_init(&errors);
	kind = se_read(options.settings, &host.settings, &errors);
	if (kind != ST_OK) {
		GString *text = g_string_new(NULL);

		ym_errors_print(&errors, text);
		fprintf(stderr, "%s:\n%s", options.settings, text->str);
		g_string_free(text, TRUE);
		return st_exit(ST_INVALID);
	}
	ym_errors_free(&errors);
	lg_init(host.settings.host, host.settings.log_level);
	return sv_run(&host);
}
