#include "http/tls_stream.h"

#include <limits.h>

#include <openssl/err.h>
#include <openssl/x509_vfy.h>

static const char *ts_error_reason(const struct ts_stream *stream)
{
	long verify = SSL_get_verify_result(stream->ssl);
	const char *reason = ERR_reason_error_string(ERR_peek_last_error());

	ERR_clear_error();
	if (verify != X509_V_OK)
		return X509_verify_cert_error_string(verify);
	return reason ? reason : "TLS handshake failed";
}

bool ts_init(struct ts_stream *stream, SSL_CTX *ctx, const char *ip)
{
	X509_VERIFY_PARAM *param;

	stream->established = false;
	stream->ended = false;
	stream->ssl = SSL_new(ctx);
	if (!stream->ssl)
		return false;
	stream->from_network = BIO_new(BIO_s_mem());
	stream->to_network = BIO_new(BIO_s_mem());
	SSL_set_bio(stream->ssl, stream->from_network, stream->to_network);
	SSL_set_connect_state(stream->ssl);
	param = SSL_get0_param(stream->ssl);
	return X509_VERIFY_PARAM_set1_ip_asc(param, ip) == 1;
}

void ts_free(struct ts_stream *stream)
{
	SSL_free(stream->ssl);
	stream->ssl = NULL;
}

void ts_feed(struct ts_stream *stream, const char *data, size_t data_bytes)
{
	/* A memory BIO grows as needed, so the write is never partial. */
	BIO_write(stream->from_network, data, (int)MIN(data_bytes, INT_MAX));
}

bool ts_handshake(struct ts_stream *stream, const char **msg)
{
	int done = SSL_do_handshake(stream->ssl);

	if (done == 1) {
		stream->established = true;
		return true;
	}
	if (SSL_get_error(stream->ssl, done) == SSL_ERROR_WANT_READ)
		return true;
	*msg = ts_error_reason(stream);
	return false;
}

int ts_read(struct ts_stream *stream, char *data, size_t data_bytes)
{
	int got = SSL_read(stream->ssl, data, (int)MIN(data_bytes, INT_MAX));
	int error;

	if (got > 0)
		return got;
	error = SSL_get_error(stream->ssl, got);
	stream->ended = error == SSL_ERROR_ZERO_RETURN;
	ERR_clear_error();
	return error == SSL_ERROR_WANT_READ ? 0 : -1;
}

bool ts_write(struct ts_stream *stream, const char *data, size_t data_bytes)
{
	size_t written;

	return SSL_write_ex(stream->ssl, data, data_bytes, &written) == 1 &&
	       written == data_bytes;
}

GString *ts_take_output(struct ts_stream *stream)
{
	char *data;
	long bytes = BIO_get_mem_data(stream->to_network, &data);
	GString *out;

	if (bytes <= 0)
		return NULL;
	out = g_string_new_len(data, bytes);
	BIO_reset(stream->to_network);
	return out;
}
