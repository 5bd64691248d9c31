#ifndef HTTP_TLS_STREAM_H
#define HTTP_TLS_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>
#include <openssl/ssl.h>

/*
 * Client side of one TLS connection without a socket. The owner passes received
 * bytes in with ts_feed and sends what ts_take_output returns.
 */
struct ts_stream {
	SSL *ssl; /* owns both BIOs */
	BIO *from_network;
	BIO *to_network;
	bool established; /* the handshake is complete */
	bool ended; /* the other side has said that it sends no more */
};

/*
 * ts_init - set up a stream that requires a certificate for the IP address IP.
 *	Returns false when OpenSSL refuses; ts_free is needed also then.
 * ts_free - release it. Source: http/tls_stream.c
 */
bool ts_init(struct ts_stream *stream, SSL_CTX *ctx, const char *ip);
void ts_free(struct ts_stream *stream);

/* ts_feed - add bytes that were received from the network. */
void ts_feed(struct ts_stream *stream, const char *data, size_t data_bytes);

/*
 * ts_handshake - continue the handshake with the bytes received so far. Returns
 * false when it failed, with the reason in MSG, a static text.
 */
bool ts_handshake(struct ts_stream *stream, const char **msg);

/*
 * ts_read - decrypt received bytes into DATA. Returns their number, 0 when more
 * must be received first, -1 when the stream has ended (see ENDED) or failed.
 */
int ts_read(struct ts_stream *stream, char *data, size_t data_bytes);

/* ts_write - encrypt DATA as a whole. Returns false when that fails. */
bool ts_write(struct ts_stream *stream, const char *data, size_t data_bytes);

/*
 * ts_take_output - remove and return the bytes to send to the network, or NULL
 * when there are none. Release with g_string_free().
 */
GString *ts_take_output(struct ts_stream *stream);

#endif
