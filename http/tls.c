#include "http/tls.h"

#include <string.h>

#include <h2o.h>
#include <h2o/http2.h>
#include <openssl/err.h>
#include <sys/stat.h>

#include "base/log.h"

enum { TL_CHECK_INTERVAL_US = 5 * 1000 * 1000 };

#define TL_NS_PER_S 1000000000LL

static const char *tl_error_reason(void)
{
	const char *reason = ERR_reason_error_string(ERR_peek_last_error());

	ERR_clear_error();
	return reason ? reason : "unknown reason";
}

static int64_t tl_time_ns(const struct timespec *time)
{
	return time->tv_sec * TL_NS_PER_S + time->tv_nsec;
}

static void tl_read_stamp(const char *path, struct tl_stamp *stamp)
{
	struct stat st;

	memset(stamp, 0, sizeof(*stamp));
	if (stat(path, &st))
		return;
	stamp->inode = st.st_ino;
	stamp->bytes = st.st_size;
	stamp->modified_ns = tl_time_ns(&st.st_mtim);
	stamp->changed_ns = tl_time_ns(&st.st_ctim);
}

static void tl_read_stamps(const struct se_tls *files,
			   struct tl_stamp stamps[TL_FILES])
{
	tl_read_stamp(files->certificate, &stamps[TL_CERTIFICATE]);
	tl_read_stamp(files->key, &stamps[TL_KEY]);
}

static SSL_CTX *tl_load_context(const struct se_tls *files,
				struct st_status *status)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_server_method());
	const char *problem = NULL;

	SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(ctx, files->certificate) != 1)
		problem = files->certificate;
	else if (SSL_CTX_use_PrivateKey_file(ctx, files->key,
					     SSL_FILETYPE_PEM) != 1)
		problem = files->key;
	else if (SSL_CTX_check_private_key(ctx) != 1)
		problem = "certificate and key do not match";
	if (!problem) {
		h2o_ssl_register_alpn_protocols(ctx, h2o_http2_alpn_protocols);
		return ctx;
	}
	st_set(status, ST_INVALID, "TLS: %s: %s", problem, tl_error_reason());
	SSL_CTX_free(ctx);
	return NULL;
}

static void tl_set_context(struct tl_listener *tls, SSL_CTX *ctx)
{
	/* Open connections have references to the old context; see hd_conn. */
	SSL_CTX_free(tls->ctx);
	tls->ctx = ctx;
	tls->http->accept.ssl_ctx = ctx;
}

static void tl_schedule_check(struct tl_listener *tls)
{
	tm_subscribe(tls->timers, &tls->timer,
		     tm_now_us() + TL_CHECK_INTERVAL_US);
}

static void tl_on_check(void *ctx)
{
	struct tl_listener *tls = ctx;
	struct tl_stamp stamps[TL_FILES];
	struct st_status status;
	SSL_CTX *loaded;

	tl_schedule_check(tls);
	tl_read_stamps(tls->files, stamps);
	if (!memcmp(stamps, tls->stamps, sizeof(stamps)))
		return;
	/*
	 * Loading fails while a file is incomplete or only one of the two has
	 * been replaced. It is tried again at the next check; until then the
	 * old certificate stays in use.
	 */
	loaded = tl_load_context(tls->files, &status);
	if (!loaded) {
		lg_warn("tls", "%s; the old certificate stays in use",
			status.msg);
		return;
	}
	memcpy(tls->stamps, stamps, sizeof(stamps));
	tl_set_context(tls, loaded);
	lg_info("tls", "reloaded certificate %s", tls->files->certificate);
}

enum st_kind tl_listen(struct tl_listener *tls, struct hd_server *http,
		       const struct se_tls *files, struct tm_service *timers,
		       struct st_status *status)
{
	SSL_CTX *ctx;

	memset(tls, 0, sizeof(*tls));
	tls->http = http;
	tls->files = files;
	tls->timers = timers;
	tls->timer.fire = tl_on_check;
	tls->timer.ctx = tls;
	if (files->plaintext)
		return ST_OK;
	tl_read_stamps(files, tls->stamps);
	ctx = tl_load_context(files, status);
	if (!ctx)
		return ST_INVALID;
	tl_set_context(tls, ctx);
	tl_schedule_check(tls);
	return ST_OK;
}

void tl_free(struct tl_listener *tls)
{
	if (!tls->timers)
		return;
	tm_cancel(tls->timers, &tls->timer);
	SSL_CTX_free(tls->ctx);
	tls->ctx = NULL;
}

SSL_CTX *tl_client_context(const char *ca_file, struct st_status *status)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_client_method());

	SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	SSL_CTX_set_verify(ctx, SSL_VERIFY_PEER, NULL);
	if (SSL_CTX_load_verify_file(ctx, ca_file) == 1)
		return ctx;
	st_set(status, ST_INVALID, "TLS: %s: %s", ca_file, tl_error_reason());
	SSL_CTX_free(ctx);
	return NULL;
}
