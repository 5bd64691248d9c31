#ifndef TLS_STREAM_H
#define TLS_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>
#include <openssl/ssl.h>

/*
 * Client side of one TLS connection without a socket: the owner moves bytes
 * between the network and the stream.
 */
struct ts_stream {
	SSL *ssl; /* owns both BIOs */
	BIO *from_network;
	BIO *to_network;
	bool established;
};

/*
 * ts_init - a stream that expects a certificate for the IP address IP.
 * ts_free - release it. Source: tls_stream.c
 */
bool ts_init(struct ts_stream *stream, SSL_CTX *ctx, const char *ip);
void ts_free(struct ts_stream *stream);

/* ts_feed - bytes that arrived from the network. */
void ts_feed(struct ts_stream *stream, const char *data, size_t data_bytes);

/* ts_handshake - continue it; false when it failed, with the reason in MSG. */
bool ts_handshake(struct ts_stream *stream, const char **msg);

/*
 * ts_read - decrypted bytes into DATA. Returns their number, 0 when there are
 * none now, -1 when the stream ended or is broken.
 */
int ts_read(struct ts_stream *stream, char *data, size_t data_bytes);

/* ts_write - encrypt; all of DATA or nothing. */
bool ts_write(struct ts_stream *stream, const char *data, size_t data_bytes);

/* ts_take_output - bytes to send to the network, or NULL; the caller frees them. */
GString *ts_take_output(struct ts_stream *stream);

#endif
