/*
 * Tests of how the HTTP client takes the end of an answer that has no length, while it
 * writes its request and over TLS. Guards against a part of an answer that is taken for a
 * whole one: of a reset, the system tells only the next call on the socket, which may be
 * a write. Tests as well what probes take for an answer.
 */
#include <check.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <openssl/evp.h>
#include <openssl/x509v3.h>

#include "gateway/probe.h"
#include "http/httpc.h"
#include "platform/dialect.h"
#include "tests/free_port.h"
#include "tests/suite.h"

enum { UPLOAD_BYTES = 8 << 20, READ_BYTES = 64 * 1024, WAIT_MS = 5000 };

#define UNFRAMED "HTTP/1.1 200 OK\r\n\r\n"

/* A request with a long body, and the server's side of its connection. */
struct upload {
	struct hc_request request; /* first: callbacks cast back */
	uv_loop_t loop;
	struct hc_pool pool;
	char *request_body;
	int listener;
	int server_fd;
	int client_fd; /* owned by the client */
	bool reset_in_body; /* reset the connection as the body is passed on */
	bool sent;
	bool done;
	enum hc_end end;
	GString *body;
};

static void on_sent(struct hc_request *request)
{
	((struct upload *)request)->sent = true;
}

/* Waits until the socket has all of EVENTS; takes no error from it. */
static void wait_for(int fd, short events)
{
	struct pollfd poll_fd = { .fd = fd, .events = events };

	for (uint32_t i = 0; i < WAIT_MS; i++) {
		ck_assert_int_ge(poll(&poll_fd, 1, 0), 0);
		if ((poll_fd.revents & events) == events)
			return;
		g_usleep(1000);
	}
	ck_abort_msg("the socket has events %d, not %d", poll_fd.revents,
		     events);
}

static void reset_connection(struct upload *upload)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(upload->server_fd, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	close(upload->server_fd);
	upload->server_fd = -1;
	wait_for(upload->client_fd, POLLERR | POLLHUP);
}

/* The write of the same turn of the loop comes after this. */
static void on_body(struct hc_request *request, const char *data,
		    size_t data_bytes)
{
	struct upload *upload = (struct upload *)request;

	g_string_append_len(upload->body, data, (gssize)data_bytes);
	if (upload->reset_in_body)
		reset_connection(upload);
}

static void on_done(struct hc_request *request, enum hc_end end,
		    const char *msg)
{
	((struct upload *)request)->done = true;
	((struct upload *)request)->end = end;
}

static const struct hc_handler handler = {
	.sent = on_sent,
	.body = on_body,
	.done = on_done,
};

static void find_socket(uv_handle_t *handle, void *ctx)
{
	uv_os_fd_t fd;

	if (handle->type == UV_TCP && !uv_fileno(handle, &fd))
		*(int *)ctx = fd;
}

static void init_upload(struct upload *upload)
{
	struct nt_address address;
	GString *out = hc_head_begin("PUT", 3, "/", 1, "x");

	memset(upload, 0, sizeof(*upload));
	upload->listener = listen_on_free_port(&address);
	uv_loop_init(&upload->loop);
	hc_pool_init(&upload->pool, &upload->loop, &address, 1);
	upload->body = g_string_new(NULL);
	upload->request_body = g_malloc0(UPLOAD_BYTES);
	upload->request.handler = &handler;
	upload->request.may_end_with_close = true;
	upload->request.body = upload->request_body;
	upload->request.body_bytes = UPLOAD_BYTES;
	hc_head_end_apart(out, upload->request_body, UPLOAD_BYTES);
	ck_assert(hc_start(&upload->pool, &upload->request, out));
	upload->server_fd = accept(upload->listener, NULL, NULL);
	while (!upload->sent)
		uv_run(&upload->loop, UV_RUN_ONCE);
	uv_walk(&upload->loop, find_socket, &upload->client_fd);
}

static void finish_upload(struct upload *upload)
{
	if (upload->server_fd >= 0)
		close(upload->server_fd);
	close(upload->listener);
	hc_pool_close(&upload->pool, NULL, NULL);
	uv_run(&upload->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&upload->loop), 0);
	g_string_free(upload->body, TRUE);
	g_free(upload->request_body);
}

/* Reads until the client can write on, and leaves most of the request unread. */
static void read_some(struct upload *upload)
{
	struct pollfd poll_fd = { .fd = upload->client_fd, .events = POLLOUT };
	char data[READ_BYTES];

	while (poll(&poll_fd, 1, 0) == 0)
		(void)recv(upload->server_fd, data, sizeof(data), MSG_DONTWAIT);
}

static void send_part(struct upload *upload, const char *part)
{
	ck_assert_int_eq((int)write(upload->server_fd, part, strlen(part)),
			 (int)strlen(part));
	wait_for(upload->client_fd, POLLIN | POLLOUT);
}

static void run_to_end(struct upload *upload)
{
	while (!upload->done)
		uv_run(&upload->loop, UV_RUN_ONCE);
}

/*
 * The server answers while it reads the request, and resets the connection. In the first
 * case it does so between the read of its answer and the next write of the request: the
 * write learns of the reset, and the next read says that the connection has ended in
 * order. In the second one the read itself learns of it.
 */
START_TEST(reset_amid_the_request_breaks_the_answer)
{
	bool write_learns = !_i;
	struct upload upload;

	init_upload(&upload);
	upload.reset_in_body = write_learns;
	read_some(&upload);
	send_part(&upload, UNFRAMED "part");
	if (!write_learns) {
		uv_run(&upload.loop, UV_RUN_ONCE);
		reset_connection(&upload);
	}
	run_to_end(&upload);
	ck_assert_str_eq(upload.body->str, "part");
	ck_assert_int_eq(upload.end, HC_BROKEN);
	finish_upload(&upload);
}
END_TEST

/* Guards against a sound server that answers early and is not believed. */
START_TEST(orderly_end_amid_the_request_completes_the_answer)
{
	struct upload upload;

	init_upload(&upload);
	read_some(&upload);
	send_part(&upload, UNFRAMED "whole");
	shutdown(upload.server_fd, SHUT_WR);
	run_to_end(&upload);
	ck_assert_str_eq(upload.body->str, "whole");
	ck_assert_int_eq(upload.end, HC_COMPLETE);
	finish_upload(&upload);
}
END_TEST

/* A server over TLS, in a thread of its own. */
struct tls_server {
	int listener;
	SSL_CTX *ctx;
	bool tell_end; /* TLS tells the end before the connection is closed */
};

/* A certificate for 127.0.0.1, signed with its own key. */
static X509 *make_certificate(EVP_PKEY *key)
{
	enum { VERSION_3 = 2, VALID_S = 3600 };
	X509 *cert = X509_new();
	X509_NAME *name = X509_get_subject_name(cert);
	X509_EXTENSION *names = X509V3_EXT_conf_nid(
		NULL, NULL, NID_subject_alt_name, "IP:127.0.0.1");

	X509_set_version(cert, VERSION_3);
	ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
	X509_gmtime_adj(X509_getm_notBefore(cert), -VALID_S);
	X509_gmtime_adj(X509_getm_notAfter(cert), VALID_S);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
				   (const unsigned char *)"x", -1, -1, 0);
	X509_set_issuer_name(cert, name);
	X509_set_pubkey(cert, key);
	X509_add_ext(cert, names, -1);
	X509_EXTENSION_free(names);
	ck_assert_int_gt(X509_sign(cert, key, EVP_sha256()), 0);
	return cert;
}

static void *serve_over_tls(void *ctx)
{
	static const char text[] = UNFRAMED "whole";
	struct tls_server *server = ctx;
	int fd = accept(server->listener, NULL, NULL);
	SSL *ssl = SSL_new(server->ctx);
	char request[READ_BYTES];

	SSL_set_fd(ssl, fd);
	if (SSL_accept(ssl) == 1 &&
	    SSL_read(ssl, request, sizeof(request)) > 0) {
		SSL_write(ssl, text, (int)strlen(text));
		if (server->tell_end)
			SSL_shutdown(ssl);
		shutdown(fd, SHUT_WR);
		while (read(fd, request, sizeof(request)) > 0)
			;
	}
	SSL_free(ssl);
	close(fd);
	return NULL;
}

/*
 * Guards against a part of an answer that is taken for a whole one because the connection
 * under TLS was closed, as anybody on the way can do, and against a whole answer that is
 * not taken.
 */
START_TEST(end_of_tls_completes_the_answer)
{
	bool tell_end = _i;
	struct upload exchange = { .request.handler = &handler,
				   .request.may_end_with_close = true };
	struct tls_server server = { .tell_end = tell_end };
	struct nt_address address;
	SSL_CTX *client = SSL_CTX_new(TLS_client_method());
	EVP_PKEY *key = EVP_EC_gen("P-256");
	X509 *cert = make_certificate(key);
	GString *out = hc_head_begin("GET", 3, "/", 1, "x");
	GThread *thread;

	hc_head_end(out, NULL, 0);
	server.ctx = SSL_CTX_new(TLS_server_method());
	SSL_CTX_use_certificate(server.ctx, cert);
	SSL_CTX_use_PrivateKey(server.ctx, key);
	X509_STORE_add_cert(SSL_CTX_get_cert_store(client), cert);
	SSL_CTX_set_verify(client, SSL_VERIFY_PEER, NULL);
	server.listener = listen_on_free_port(&address);
	thread = g_thread_new("server", serve_over_tls, &server);
	uv_loop_init(&exchange.loop);
	hc_pool_init(&exchange.pool, &exchange.loop, &address, 1);
	hc_pool_set_tls(&exchange.pool, client);
	exchange.body = g_string_new(NULL);
	ck_assert(hc_start(&exchange.pool, &exchange.request, out));
	run_to_end(&exchange);
	ck_assert_str_eq(exchange.body->str, "whole");
	ck_assert_int_eq(exchange.end, tell_end ? HC_COMPLETE : HC_BROKEN);
	hc_pool_close(&exchange.pool, NULL, NULL);
	uv_run(&exchange.loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&exchange.loop), 0);
	g_thread_join(thread);
	close(server.listener);
	g_string_free(exchange.body, TRUE);
	SSL_CTX_free(server.ctx);
	SSL_CTX_free(client);
	X509_free(cert);
	EVP_PKEY_free(key);
}
END_TEST

static const struct {
	const char *answer;
	bool ok;
} probe_answers[] = {
#define LOAD "Server-Load: 1,0,8\r\nContent-Length: 0\r\n\r\n"
	{ "HTTP/1.1 200\r\nX : a\r\n b\r\n" LOAD, true },
	{ "HTTP/1.1 000 Status\r\n" LOAD, false },
	{ "HTTP/1.1 0200 OK\r\n" LOAD, false },
	{ "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" LOAD, false },
	{ "HTTP/1.1 200 OK\r\nX\001Odd: 1\r\n" LOAD, false },
	{ "HTTP/1.1 200 OK\r\nServer-Load: 1,0,8\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n1\r\nxyz0\r\n\r\n",
	  false },
#undef LOAD
};

/* What the prober says of the server. */
struct probe_result {
	bool done;
	bool ok;
};

static void note_report(void *ctx, struct core_event *event)
{
	struct probe_result *result = ctx;

	if (event->kind != CORE_EV_REPORT)
		return;
	result->done = true;
	result->ok = event->u.report.ok;
}

/* Guards against a server that is taken for sound by bytes that are no answer. */
START_TEST(odd_answers_to_probes_are_told_apart)
{
	const char *text = probe_answers[_i].answer;
	struct probe_result result = { .done = false };
	struct pb_target target = { .expected_id = "s0", .path = "/health" };
	struct pb_prober prober;
	struct tm_service timers;
	struct nt_address address;
	struct hc_pool pool;
	uv_loop_t loop;
	int listener = listen_on_free_port(&address);
	int fd;

	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	hc_pool_init(&pool, &loop, &address, 1);
	pb_init(&prober, &timers, &pd_dialect, note_report, &result);
	target.pool = &pool;
	pb_send_probe(&prober, &target);
	fd = accept(listener, NULL, NULL);
	send(fd, text, strlen(text), MSG_NOSIGNAL);
	while (!result.done)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(result.ok, probe_answers[_i].ok);
	close(fd);
	close(listener);
	pb_free(&prober);
	hc_pool_close(&pool, NULL, NULL);
	tm_free(&timers);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("answer");

	tcase_add_loop_test(tcase, reset_amid_the_request_breaks_the_answer, 0,
			    2);
	tcase_add_test(tcase,
		       orderly_end_amid_the_request_completes_the_answer);
	tcase_add_loop_test(tcase, end_of_tls_completes_the_answer, 0, 2);
	tcase_add_loop_test(tcase, odd_answers_to_probes_are_told_apart, 0,
			    G_N_ELEMENTS(probe_answers));
	return suite_run_case("answer", tcase, CK_FORK);
}
