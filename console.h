#ifndef CONSOLE_H
#define CONSOLE_H

#include <h2o.h>

#include "control.h"
#include "gateway.h"
#include "settings.h"

/*
 * Console of forms under /console on the operators' listener.
 *
 * It composes the one document, shows every error beside its field, shows the
 * difference from what is in force and submits it through cp_submit, the same
 * way as the command line. A host keeps no sessions: the cookie carries an
 * expiry time and a HMAC under the operators' token, so every host accepts it.
 */
struct cs_console {
	struct cp_control *control;
	const struct gw_gateway *gateway;
	struct pf_client *platform;
	const struct se_settings *settings;
};

/* cs_init - no cleanup is needed. Source: console.c */
void cs_init(struct cs_console *console, struct cp_control *control,
	     const struct gw_gateway *gateway, struct pf_client *platform,
	     const struct se_settings *settings);

/* cs_handles - whether the console serves the path of a request. */
bool cs_handles(const h2o_req_t *req);

/* cs_serve - answer a request; checks the session itself. */
void cs_serve(struct cs_console *console, h2o_req_t *req);

#endif
