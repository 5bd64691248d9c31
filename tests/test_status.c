/*
 * Test of the status codes that the HTTP client takes as an answer. Guards against
 * 600 and 999 that reach callers, and interim codes that end a request.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "http/httpc.h"
#include "tests/suite.h"

enum { STATUS_LIMIT = 1000, FIRST_FINAL = 200, LAST_FINAL = 599 };

struct fixture {
	uv_loop_t loop;
	uv_tcp_t listener;
	unsigned status;
	enum hc_end end;
	bool done;
};

struct connection {
	uv_tcp_t tcp;
	uv_write_t write;
	struct fixture *fixture;
	char text[64 * 1024];
};

static void free_connection(uv_handle_t *handle)
{
	g_free(handle);
}

static void end_connection(uv_write_t *write, int error)
{
	uv_close((uv_handle_t *)write->handle, free_connection);
}

static void get_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connection *connection = (struct connection *)handle;

	*buf = uv_buf_init(connection->text, sizeof(connection->text));
}

/* Answers with the status, then closes, so that no request waits for more. */
static void answer(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct connection *connection = (struct connection *)stream;
	uv_buf_t out;

	if (nread <= 0)
		return;
	uv_read_stop(stream);
	snprintf(connection->text, sizeof(connection->text),
		 "HTTP/1.1 %03u Text\r\ncontent-length: 0\r\n\r\n",
		 connection->fixture->status);
	out = uv_buf_init(connection->text, (unsigned)strlen(connection->text));
	uv_write(&connection->write, stream, &out, 1, end_connection);
}

static void accept_connection(uv_stream_t *listener, int error)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->fixture = listener->data;
	uv_tcp_init(listener->loop, &connection->tcp);
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)connection), 0);
	uv_read_start((uv_stream_t *)connection, get_buffer, answer);
}

static void note_end(struct hc_request *request, enum hc_end end,
		     const char *msg)
{
	struct fixture *fixture = request->ctx;

	fixture->end = end;
	fixture->done = true;
}

static const struct hc_handler handler = { .done = note_end };

static void listen_anywhere(struct fixture *fixture, struct nt_address *address)
{
	int bytes = sizeof(address->addr);

	ck_assert(nt_parse("127.0.0.1:1", address));
	((struct sockaddr_in *)&address->addr)->sin_port = 0;
	uv_tcp_init(&fixture->loop, &fixture->listener);
	fixture->listener.data = fixture;
	ck_assert_int_eq(uv_tcp_bind(&fixture->listener,
				     (struct sockaddr *)&address->addr, 0),
			 0);
	ck_assert_int_eq(uv_listen((uv_stream_t *)&fixture->listener, 16,
				   accept_connection),
			 0);
	uv_tcp_getsockname(&fixture->listener,
			   (struct sockaddr *)&address->addr, &bytes);
}

START_TEST(only_valid_final_codes_are_answers)
{
	struct fixture fixture = { 0 };
	struct nt_address address;
	struct hc_pool pool;

	uv_loop_init(&fixture.loop);
	listen_anywhere(&fixture, &address);
	hc_pool_init(&pool, &fixture.loop, &address, 4);
	for (unsigned status = 0; status < STATUS_LIMIT; status++) {
		struct hc_request request = { .handler = &handler,
					      .ctx = &fixture };
		bool final = status >= FIRST_FINAL && status <= LAST_FINAL;
		GString *out = hc_head_begin("GET", 3, "/", 1, "h");

		hc_head_end(out, NULL, 0);
		fixture.status = status;
		fixture.done = false;
		ck_assert(hc_start(&pool, &request, out));
		while (!fixture.done)
			uv_run(&fixture.loop, UV_RUN_ONCE);
		ck_assert_msg(fixture.end ==
				      (final ? HC_COMPLETE : HC_NO_ANSWER),
			      "status %03u ends the request with %d", status,
			      fixture.end);
	}
	hc_pool_close(&pool, NULL, NULL);
	uv_close((uv_handle_t *)&fixture.listener, NULL);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&fixture.loop), 0);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("status");

	tcase_add_test(tcase, only_valid_final_codes_are_answers);
	return suite_run_case("status", tcase, CK_FORK);
}
