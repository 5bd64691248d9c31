/*
 * TCP proxy on loopback that injects network faults, for the soak test.
 *
 * usage: tool_soak_proxy LISTEN TARGET CONTROL-FILE
 *
 * The file contains the mode and is read ten times a second:
 *	pass	forward everything
 *	reset	reset open and new connections
 *	silent	accept connections, discard all data
 *	up	forward only data to the target, discard the other direction
 *	down	forward only data from the target, discard the other direction
 *	slow	forward everything with a delay of 150 ms
 *	pieces	forward the last 12 bytes of what comes from the target 40 ms later,
 *		which in a short answer are a part of the body
 *	ends	the same, but every tenth time end the connection instead
 *	twice	forward what comes from the target once more 40 ms later
 * The end of a connection whose data is discarded is not forwarded either.
 * While nothing listens at TARGET, the proxy does not listen either.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/net.h"
#include "base/timer.h"

enum {
	US_PER_MS = 1000,
	CONTROL_READ_INTERVAL_US = 100 * 1000,
	SLOW_DELAY_US = 150 * 1000,
	PIECE_DELAY_US = 40 * 1000,
	LAST_PIECE_BYTES = 12,
	PIECES_PER_END = 10,
	BUFFER_BYTES = 16384
};

enum mode { PASS, RESET, SILENT, UP, DOWN, SLOW, PIECES, ENDS, TWICE, MODES };

static const char *const mode_names[MODES] = { "pass",	 "reset", "silent",
					       "up",	 "down",  "slow",
					       "pieces", "ends",  "twice" };

/* One of the two connections of a pair. */
struct side {
	uv_tcp_t tcp; /* data read here is written to the other side */
	struct pair *pair;
	bool to_target; /* data read here goes to the target */
	bool closed;
	uint64_t sent_at_us; /* when the last data read here is forwarded */
};

/* A proxied connection. */
struct pair {
	struct side sides[2]; /* accepted one, one to the target */
	uv_connect_t connect;
	GList link;
};

/* Data that is being forwarded. */
struct chunk {
	struct side *to;
	uv_write_t write;
	struct tm_sub timer;
	GString *data; /* empty: the connection is closed */
};

static uv_loop_t loop;
static struct tm_service timers;
static struct tm_sub control_timer;
static struct nt_address address;
static struct nt_address target;
static uv_tcp_t listener;
static bool listening;
static const char *control_path;
static enum mode mode;
static GQueue pairs;

static void check_target(void);

static void on_closed(uv_handle_t *handle)
{
	struct side *side = handle->data;

	side->closed = true;
}

static void close_pair(struct pair *pair, bool reset)
{
	for (int i = 0; i < 2; i++) {
		uv_handle_t *handle = (uv_handle_t *)&pair->sides[i].tcp;

		if (uv_is_closing(handle))
			continue;
		if (!reset ||
		    uv_tcp_close_reset(&pair->sides[i].tcp, on_closed))
			uv_close(handle, on_closed);
	}
	/* The pair is not freed, because chunks may still refer to it. */
	g_queue_unlink(&pairs, &pair->link);
}

static void on_written(uv_write_t *write, int status)
{
	struct chunk *chunk = write->data;

	g_string_free(chunk->data, TRUE);
	g_free(chunk);
}

static void forward_chunk(void *ctx)
{
	struct chunk *chunk = ctx;
	uv_buf_t buf =
		uv_buf_init(chunk->data->str, (unsigned)chunk->data->len);

	chunk->write.data = chunk;
	if (!chunk->data->len && !uv_is_closing((uv_handle_t *)&chunk->to->tcp))
		close_pair(chunk->to->pair, false);
	if (uv_is_closing((uv_handle_t *)&chunk->to->tcp) ||
	    uv_write(&chunk->write, (uv_stream_t *)&chunk->to->tcp, &buf, 1,
		     on_written))
		on_written(&chunk->write, 0);
}

/* Whether data read from SIDE is discarded in the current mode. */
static bool is_blocked(const struct side *side)
{
	return mode == SILENT || (mode == UP && !side->to_target) ||
	       (mode == DOWN && side->to_target);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char buffer[BUFFER_BYTES];

	*buf = uv_buf_init(buffer, sizeof(buffer));
}

/* Forwards data read from SIDE, after the data that was read before. */
static void forward(struct side *side, const char *data, size_t data_bytes,
		    uint64_t delay_us)
{
	struct chunk *chunk = g_new0(struct chunk, 1);
	uint64_t at_us = tm_now_us() + delay_us;
	bool waits = delay_us || side->sent_at_us >= tm_now_us();

	chunk->to = &side->pair->sides[side == &side->pair->sides[0]];
	chunk->data = g_string_new_len(data, (gssize)data_bytes);
	chunk->timer.fire = forward_chunk;
	chunk->timer.ctx = chunk;
	if (!waits) {
		forward_chunk(chunk);
		return;
	}
	side->sent_at_us = MAX(at_us, side->sent_at_us + US_PER_MS);
	tm_subscribe(&timers, &chunk->timer, side->sent_at_us);
}

static void forward_pieces(struct side *side, const char *data,
			   size_t data_bytes)
{
	static uint32_t pieces;
	size_t last = MIN(data_bytes, LAST_PIECE_BYTES);
	size_t first = data_bytes - last;

	if (mode == ENDS && ++pieces % PIECES_PER_END == 0)
		last = 0;
	forward(side, data, first, 0);
	forward(side, data + first, last, PIECE_DELAY_US);
}

static void on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct side *side = stream->data;
	struct pair *pair = side->pair;

	if (nread < 0 && !side->to_target)
		check_target();
	if (nread < 0 && !is_blocked(side))
		close_pair(pair, false);
	else if (nread < 0)
		uv_read_stop(stream);
	if (nread <= 0 || is_blocked(side))
		return;
	if ((mode == PIECES || mode == ENDS) && !side->to_target) {
		forward_pieces(side, buf->base, (size_t)nread);
		return;
	}
	forward(side, buf->base, (size_t)nread,
		mode == SLOW ? SLOW_DELAY_US : 0);
	if (mode == TWICE && !side->to_target)
		forward(side, buf->base, (size_t)nread, PIECE_DELAY_US);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct pair *pair = connect->data;

	if (status) {
		close_pair(pair, true);
		check_target();
		return;
	}
	for (int i = 0; i < 2; i++)
		uv_read_start((uv_stream_t *)&pair->sides[i].tcp, on_alloc,
			      on_read);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct pair *pair = g_new0(struct pair, 1);

	for (int i = 0; i < 2; i++) {
		uv_tcp_init(&loop, &pair->sides[i].tcp);
		pair->sides[i].tcp.data = &pair->sides[i];
		pair->sides[i].pair = pair;
		pair->sides[i].to_target = i == 0;
	}
	pair->link.data = pair;
	pair->connect.data = pair;
	g_queue_push_tail_link(&pairs, &pair->link);
	if (uv_accept(listener, (uv_stream_t *)&pair->sides[0].tcp) ||
	    mode == RESET ||
	    uv_tcp_connect(&pair->connect, &pair->sides[1].tcp,
			   (const struct sockaddr *)&target.addr, on_connected))
		close_pair(pair, true);
}

static bool start_listening(void)
{
	uv_tcp_init(&loop, &listener);
	if (uv_tcp_bind(&listener, (const struct sockaddr *)&address.addr, 0) ||
	    uv_listen((uv_stream_t *)&listener, 128, on_accept)) {
		fprintf(stderr, "cannot listen on %s\n", address.text);
		return false;
	}
	listening = true;
	return true;
}

static void on_listener_closed(uv_handle_t *handle)
{
	listening = false;
}

/* A connection that shows whether something listens at the target. */
struct check {
	uv_tcp_t tcp;
	uv_connect_t connect;
};

static void on_check_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_checked(uv_connect_t *connect, int status)
{
	struct check *check = connect->data;

	if (status == UV_ECONNREFUSED && listening &&
	    !uv_is_closing((uv_handle_t *)&listener))
		uv_close((uv_handle_t *)&listener, on_listener_closed);
	else if (!status && !listening && !start_listening())
		exit(1);
	uv_close((uv_handle_t *)&check->tcp, on_check_closed);
}

static void check_target(void)
{
	struct check *check = g_new0(struct check, 1);

	check->tcp.data = check;
	check->connect.data = check;
	uv_tcp_init(&loop, &check->tcp);
	if (uv_tcp_connect(&check->connect, &check->tcp,
			   (const struct sockaddr *)&target.addr, on_checked))
		uv_close((uv_handle_t *)&check->tcp, on_check_closed);
}

static void read_control_file(void *ctx)
{
	char *text = NULL;

	if (g_file_get_contents(control_path, &text, NULL, NULL))
		for (int i = 0; i < MODES; i++)
			if (!strcmp(g_strstrip(text), mode_names[i]))
				mode = (enum mode)i;
	g_free(text);
	while (mode == RESET && pairs.head)
		close_pair(pairs.head->data, true);
	if (!listening)
		check_target();
	tm_subscribe(&timers, &control_timer,
		     tm_now_us() + CONTROL_READ_INTERVAL_US);
}

int main(int argc, char **argv)
{
	if (argc != 4 || !nt_parse(argv[1], &address) ||
	    !nt_parse(argv[2], &target)) {
		fprintf(stderr,
			"usage: tool_soak_proxy LISTEN TARGET CONTROL-FILE\n");
		return 2;
	}
	control_path = argv[3];
	uv_loop_init(&loop);
	tm_init(&timers, &loop);
	control_timer.fire = read_control_file;
	if (!start_listening())
		return 1;
	read_control_file(NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return 0;
}
