#include "cli/operator_client.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"
#include "http/tls.h"

enum {
	CO_TIMEOUT_US = 30 * 1000 * 1000,
	CO_MAX_ANSWER_BYTES = 64 << 20,
	CO_READ_BYTES = 64 * 1024
};

static const struct argp_option co_argp_options[] = {
#define X(id, key, name, arg, help) { name, key, arg, 0, help, 0 },
	CO_OPTIONS(X)
#undef X
};

static error_t co_add_host(struct co_options *options, char *arg,
			   struct argp_state *state)
{
	if (options->host_count == CO_MAX_HOSTS)
		argp_error(state, "more than %d hosts", CO_MAX_HOSTS);
	options->hosts[options->host_count++] = arg;
	return 0;
}

static error_t co_add_file(struct co_options *options, char *arg,
			   struct argp_state *state)
{
	if (options->file_count == options->command->max_files)
		argp_usage(state);
	options->files[options->file_count++] = arg;
	return 0;
}

static error_t co_parse_option(int key, char *arg, struct argp_state *state)
{
	struct co_options *options = state->input;

	if (key == ARGP_KEY_ARG)
		return co_add_file(options, arg, state);
	if (key == ARGP_KEY_END &&
	    options->file_count < options->command->min_files)
		argp_usage(state);
	for (int i = 0; i < CO_OPTION_COUNT; i++) {
		if (co_argp_options[i].key != key)
			continue;
		options->values[i] = arg ? arg : "";
		return i == CO_HOST ? co_add_host(options, arg, state) : 0;
	}
	return ARGP_ERR_UNKNOWN;
}

/* Accepts only the options of the command and lists only these in --help. */
bool co_parse_options(int argc, char **argv, const struct co_command *command,
		      struct co_options *options)
{
	struct argp_option accepted[CO_OPTION_COUNT + 1] = { 0 };
	struct argp argp = { .options = accepted,
			     .parser = co_parse_option,
			     .args_doc = command->args_doc,
			     .doc = command->doc };
	int count = 0;

	for (int i = 0; i < CO_OPTION_COUNT; i++)
		if (command->options & (UINT32_C(1) << i))
			accepted[count++] = co_argp_options[i];
	memset(options, 0, sizeof(*options));
	options->command = command;
	return !argp_parse(&argp, argc, argv, 0, NULL, options);
}

static void co_stop_loop(struct co_exchange *exchange, const char *msg)
{
	g_strlcpy(exchange->msg, msg, sizeof(exchange->msg));
	uv_stop(&exchange->loop);
}

static void co_on_head(struct hc_request *request, const struct hc_head *head)
{
	((struct co_exchange *)request)->status = head->status;
}

static void co_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct co_exchange *exchange = (struct co_exchange *)request;

	if (exchange->body->len + data_bytes <= CO_MAX_ANSWER_BYTES) {
		g_string_append_len(exchange->body, data, (gssize)data_bytes);
		return;
	}
	hc_cancel(request);
	exchange->ended = true;
	co_stop_loop(exchange, "the answer is too large");
}

static void co_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct co_exchange *exchange = (struct co_exchange *)request;

	exchange->ended = true;
	exchange->ok = end == HC_COMPLETE;
	co_stop_loop(exchange, msg);
}

static void co_on_timeout(void *ctx)
{
	co_stop_loop(ctx, "no answer within 30 s");
}

static const struct hc_handler co_handler = {
	.head = co_on_head,
	.body = co_on_body,
	.done = co_on_done,
};

static char *co_read_token(const struct co_options *options)
{
	const char *file = options->values[CO_TOKEN];
	char *text = NULL;

	if (!file)
		text = g_strdup(getenv("JACKDAWWORKS_TOKEN"));
	else if (!g_file_get_contents(file, &text, NULL, NULL))
		fprintf(stderr, "cannot read the token file %s\n", file);
	if (text)
		return g_strstrip(text);
	fprintf(stderr, "the operators' token is missing: give --token-file or "
			"set JACKDAWWORKS_TOKEN\n");
	return NULL;
}

static void co_open_exchange(struct co_exchange *exchange,
			     const struct nt_address *address)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->body = g_string_new(NULL);
	uv_loop_init(&exchange->loop);
	tm_init(&exchange->timers, &exchange->loop);
	hc_pool_init(&exchange->pool, &exchange->loop, address, 1);
	exchange->request.handler = &co_handler;
	exchange->timer.fire = co_on_timeout;
	exchange->timer.ctx = exchange;
	tm_subscribe(&exchange->timers, &exchange->timer,
		     tm_now_us() + CO_TIMEOUT_US);
}

/* Frees everything except the body. */
static void co_close_exchange(struct co_exchange *exchange)
{
	if (!exchange->ended)
		hc_cancel(&exchange->request);
	hc_pool_close(&exchange->pool, NULL, NULL);
	tm_cancel(&exchange->timers, &exchange->timer);
	tm_free(&exchange->timers);
	uv_run(&exchange->loop, UV_RUN_DEFAULT);
	uv_loop_close(&exchange->loop);
}

static void co_send_request(struct co_exchange *exchange, const char *token,
			    const char *method, const char *path,
			    const char *body, size_t body_bytes)
{
	char *value = g_strconcat("Bearer ", token, NULL);
	GString *out = hc_head_begin(method, strlen(method), path, strlen(path),
				     exchange->pool.address.text);

	hc_head_add(out, "authorization", strlen("authorization"), value,
		    strlen(value));
	hc_head_end(out, body, body_bytes);
	g_free(value);
	if (hc_start(&exchange->pool, &exchange->request, out)) {
		uv_run(&exchange->loop, UV_RUN_DEFAULT);
		return;
	}
	exchange->ended = true;
	g_strlcpy(exchange->msg, "cannot open a connection",
		  sizeof(exchange->msg));
}

/*
 * Sets TLS to a context that trusts the CAs of --ca, or to NULL for plaintext.
 * Plaintext is refused unless ADDRESS is a loopback address, because the token
 * must not be sent over a network unencrypted.
 */
static bool co_choose_tls(const struct co_options *options,
			  const struct nt_address *address, SSL_CTX **tls)
{
	const char *ca = options->values[CO_CA];
	struct st_status status;

	if (ca) {
		*tls = tl_client_context(ca, &status);
		if (!*tls)
			fprintf(stderr, "%s\n", status.msg);
		return *tls;
	}
	if (nt_is_loopback(address))
		return true;
	fprintf(stderr, "%s is not a loopback address: --ca is needed\n",
		address->text);
	return false;
}

bool co_run_request(struct co_exchange *exchange,
		    const struct co_options *options, const char *host,
		    const char *method, const char *path, const char *body,
		    size_t body_bytes)
{
	struct nt_address address;
	SSL_CTX *tls = NULL;
	char *token;

	if (!host || !nt_parse(host, &address)) {
		fprintf(stderr, "--host must be an IP address with a port\n");
		return false;
	}
	if (!co_choose_tls(options, &address, &tls))
		return false;
	token = co_read_token(options);
	if (!token) {
		SSL_CTX_free(tls);
		return false;
	}
	co_open_exchange(exchange, &address);
	hc_pool_set_tls(&exchange->pool, tls);
	co_send_request(exchange, token, method, path, body, body_bytes);
	co_close_exchange(exchange);
	SSL_CTX_free(tls);
	g_free(token);
	if (exchange->ok)
		return true;
	fprintf(stderr, "%s: %s\n", host, exchange->msg);
	g_string_free(exchange->body, TRUE);
	return false;
}

json_t *co_parse_body(const struct co_exchange *exchange)
{
	return json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
}

void co_print_text(FILE *f, const char *text)
{
	for (const char *p = text; *p; p++)
		fputc(g_ascii_iscntrl(*p) && *p != '\n' && *p != '\t' ? '?' :
									*p,
		      f);
}

long long co_get_integer(const json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

/* Exit code of the error kind that "result" or "error" of an answer names. */
static int co_exit_code(const json_t *object)
{
	const char *name = jt_get_string(object, "result");
	enum st_kind kind = ST_INTERNAL;

	if (!*name)
		name = jt_get_string(object, "error");
	st_find(name, &kind);
	return st_exit_code(kind);
}

int co_print_failure(const struct co_exchange *exchange, const json_t *object)
{
	int code = co_exit_code(object);

	if (!object) {
		fprintf(stderr,
			"the host answered with HTTP status %d and no JSON\n",
			exchange->status);
		return st_exit_code(ST_IO);
	}
	co_print_text(stderr, jt_get_string(object, "result"));
	co_print_text(stderr, jt_get_string(object, "error"));
	fputs(": ", stderr);
	co_print_text(stderr, jt_get_string(object, "message"));
	fputc('\n', stderr);
	co_print_text(stderr, jt_get_string(object, "detail"));
	return code ? code : st_exit_code(ST_IO);
}

json_t *co_request_json(const struct co_options *options, const char *method,
			const char *path, const char *body, size_t body_bytes,
			int *code)
{
	struct co_exchange exchange;
	json_t *answer;

	*code = st_exit_code(ST_IO);
	if (!co_run_request(&exchange, options, options->hosts[0], method, path,
			    body, body_bytes))
		return NULL;
	answer = co_parse_body(&exchange);
	if (options->values[CO_JSON])
		printf("%s\n", exchange.body->str);
	g_string_free(exchange.body, TRUE);
	if (exchange.status == 200 && answer) {
		*code = 0;
		return answer;
	}
	*code = co_print_failure(&exchange, answer);
	json_decref(answer);
	return NULL;
}

/*
 * Stops soon after the size limit of a document, so that a file without an end,
 * such as a device, does not fill the memory.
 */
static GString *co_read_text(FILE *f)
{
	GString *text = g_string_new(NULL);
	char buf[CO_READ_BYTES];
	size_t n;

	while (text->len <= YM_MAX_TEXT_BYTES &&
	       (n = fread(buf, 1, sizeof(buf), f)) > 0)
		g_string_append_len(text, buf, (gssize)n);
	return text;
}

GString *co_load_text(const char *file, int *code)
{
	bool is_stdin = !strcmp(file, "-");
	FILE *f = is_stdin ? stdin : fopen(file, "rb");
	GString *text;
	int error;

	*code = st_exit_code(ST_IO);
	if (!f) {
		fprintf(stderr, "%s: %s\n", file, strerror(errno));
		return NULL;
	}
	errno = 0;
	text = co_read_text(f);
	error = ferror(f) ? errno : 0;
	if (!is_stdin)
		fclose(f);
	if (error) {
		fprintf(stderr, "%s: %s\n", file, strerror(error));
	} else if (text->len > YM_MAX_TEXT_BYTES) {
		fprintf(stderr, "%s: larger than %d bytes\n", file,
			YM_MAX_TEXT_BYTES);
		*code = st_exit_code(ST_INVALID);
	} else {
		return text;
	}
	g_string_free(text, TRUE);
	return NULL;
}

struct doc_document *co_load_document(const char *file, int *code)
{
	struct doc_document *document;
	struct ym_errors errors;
	GString *text = co_load_text(file, code);
	GString *out;

	if (!text)
		return NULL;
	out = g_string_new(NULL);
	ym_errors_init(&errors);
	document = doc_parse(text->str, text->len, &errors);
	ym_errors_print(&errors, out);
	if (errors.count) {
		fprintf(stderr, "%s:\n", file);
		co_print_text(stderr, out->str);
	}
	ym_errors_free(&errors);
	g_string_free(out, TRUE);
	g_string_free(text, TRUE);
	*code = document ? 0 : st_exit_code(ST_INVALID);
	return document;
}
