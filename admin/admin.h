#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include "admin/console.h"
#include "control/control.h"
#include "gateway/gateway.h"
#include "http/httpd.h"

/*
 * HTTP listener for operators. A request must carry the operators' token of
 * the settings in the header "authorization: Bearer TOKEN". Exempt are /health
 * and the console, which has its own login.
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

/*
 * ad_init - listen on the operators' address of the settings. DRAIN is called
 * with DRAIN_CTX when an operator requests a graceful stop. The objects passed
 * in are borrowed. Errors: ST_IO when the address cannot be bound.
 * Source: admin/admin.c
 */
enum st_kind ad_init(struct ad_admin *admin, uv_loop_t *loop,
		     struct cp_control *control, struct gw_gateway *gateway,
		     struct pf_client *platform,
		     const struct se_settings *settings,
		     void (*drain)(void *ctx), void *drain_ctx,
		     struct st_status *status);
/* ad_free - the rules of hd_free apply. */
void ad_free(struct ad_admin *admin);

/* ad_reply_metrics - answer with all metrics in Prometheus text format. */
void ad_reply_metrics(h2o_req_t *req);

#endif
