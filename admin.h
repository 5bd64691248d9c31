#ifndef ADMIN_H
#define ADMIN_H

#include "console.h"
#include "control.h"
#include "gateway.h"
#include "httpd.h"

/*
 * Operators' listener. Every path except /health and the console, which has
 * its own login, needs the token of the settings as
 * "authorization: Bearer TOKEN".
 */
struct ad_admin {
	struct hd_server http;
	struct cs_console console;
	struct cp_control *control;
	struct gw_gateway *gateway;
	struct pf_client *platform;
	const struct se_settings *settings;
	void (*drain)(void *ctx);
	void *drain_ctx;
};

/* ad_init - DRAIN is called when an operator asks for a graceful stop. */
enum st_kind ad_init(struct ad_admin *admin, uv_loop_t *loop,
		     struct cp_control *control, struct gw_gateway *gateway,
		     struct pf_client *platform,
		     const struct se_settings *settings,
		     void (*drain)(void *ctx), void *drain_ctx,
		     struct st_status *status);
void ad_free(struct ad_admin *admin);

/* ad_reply_metrics - answer with the counters and histograms. */
void ad_reply_metrics(h2o_req_t *req);

#endif
