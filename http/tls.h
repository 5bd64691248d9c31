#ifndef HTTP_TLS_H
#define HTTP_TLS_H

#include <stdbool.h>
#include <openssl/ssl.h>

#include "http/httpd.h"
#include "base/settings.h"
#include "base/status.h"
#include "base/timer.h"

enum { TL_CERTIFICATE, TL_KEY, TL_FILES };

/* Differs when a file has changed or was replaced, with whatever times. */
struct tl_stamp {
	uint64_t inode;
	int64_t bytes;
	int64_t modified_ns;
	int64_t changed_ns; /* also when a file takes the place of another */
};

/*
 * TLS with the certificate, key and CA files that the settings name. A listener
 * checks its files every few seconds for changes and uses a changed certificate
 * for new connections without a restart; open connections keep the old one.
 */
struct tl_listener {
	struct hd_server *http;
	const struct se_tls *files;
	struct tm_service *timers;
	struct tm_sub timer;
	SSL_CTX *ctx; /* NULL: plaintext */
	struct tl_stamp stamps[TL_FILES]; /* of the files in use */
};

/*
 * tl_listen - enable TLS on the listener HTTP, unless the settings ask for
 *	plaintext. Errors: ST_INVALID when certificate or key cannot be used.
 * tl_free - stop checking the files and release the context. Source: http/tls.c
 */
enum st_kind tl_listen(struct tl_listener *tls, struct hd_server *http,
		       const struct se_tls *files, struct tm_service *timers,
		       struct st_status *status);
void tl_free(struct tl_listener *tls);

/*
 * tl_client_context - new context for outgoing connections, which trusts only
 * the authorities in the CA file. Returns NULL and sets STATUS when the file
 * cannot be used.
 */
SSL_CTX *tl_client_context(const char *ca_file, struct st_status *status);

#endif
