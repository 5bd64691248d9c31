#ifndef ADMIN_CONSOLE_H
#define ADMIN_CONSOLE_H

#include <h2o.h>

#include "control/control.h"
#include "gateway/gateway.h"
#include "base/settings.h"

/*
 * Web console: HTML forms under /console on the operators' listener.
 *
 * An operator edits the document as a form. The console shows every error
 * beside its field, shows the difference from the document in force and submits
 * through cp_submit_document, as the command line does. Hosts store no
 * sessions: the session cookie carries an expiry time and its HMAC, keyed with
 * the operators' token, so every host accepts it.
 */
struct cs_console {
	struct cp_control *control;
	const struct gw_gateway *gateway;
	struct pf_client *platform;
	const struct se_settings *settings;
};

/* cs_init - borrows what is passed; no cleanup is needed. Source: admin/console.c */
void cs_init(struct cs_console *console, struct cp_control *control,
	     const struct gw_gateway *gateway, struct pf_client *platform,
	     const struct se_settings *settings);

/* cs_handles_request - whether the path of a request belongs to the console. */
bool cs_handles_request(const h2o_req_t *req);

/*
 * cs_serve_request - answer a request; shows the login page without a valid
 * session.
 */
void cs_serve_request(struct cs_console *console, h2o_req_t *req);

#endif
