#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "command.h"
#include "document.h"
#include "httpc.h"
#include "timer.h"

enum { CO_TIMEOUT_US = 30 * 1000 * 1000, CO_KEY_BASE = 256, CO_KEY_AUTHOR };

struct co_options {
	const char *host;
	const char *token;
	const char *file;
	const char *base;
	const char *author;
	bool wants_file;
	bool json;
};

/* One request to an entry host's operator listener. */
struct co_exchange {
	struct hc_request request; /* first: callbacks cast back */
	uv_loop_t loop;
	struct tm_service timers;
	struct hc_pool pool;
	struct tm_sub timer;
	int status;
	GString *body;
	bool ok;
	char msg[128];
};

static const struct argp_option co_argp_options[] = {
	{ "host", 'H', "ADDRESS", 0, "operators' address of an entry host", 0 },
	{ "token-file", 't', "FILE", 0, "file with the operators' token", 0 },
	{ "base", CO_KEY_BASE, "GENERATION", 0,
	  "generation the document was written against", 0 },
	{ "author", CO_KEY_AUTHOR, "NAME", 0, "name for the audit trail", 0 },
	{ "json", 'j', NULL, 0, "print JSON", 0 },
	{ 0 }
};

static error_t co_parse(int key, char *arg, struct argp_state *state)
{
	struct co_options *options = state->input;

	switch (key) {
	case 'H':
		options->host = arg;
		return 0;
	case 't':
		options->token = arg;
		return 0;
	case 'j':
		options->json = true;
		return 0;
	case CO_KEY_BASE:
		options->base = arg;
		return 0;
	case CO_KEY_AUTHOR:
		options->author = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (!options->wants_file || options->file)
			argp_usage(state);
		options->file = arg;
		return 0;
	case ARGP_KEY_END:
		if (options->wants_file && !options->file)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool co_read_options(int argc, char **argv, const char *doc,
			    struct co_options *options)
{
	struct argp argp = { .options = co_argp_options,
			     .parser = co_parse,
			     .args_doc = options->wants_file ? "FILE" : NULL,
			     .doc = doc };

	return !argp_parse(&argp, argc, argv, 0, NULL, options);
}

static void co_on_head(struct hc_request *request, const struct hc_head *head)
{
	((struct co_exchange *)request)->status = head->status;
}

static void co_on_body(struct hc_request *request, const char *data,
		       size_t data_bytes)
{
	struct co_exchange *exchange = (struct co_exchange *)request;

	g_string_append_len(exchange->body, data, (gssize)data_bytes);
}

static void co_on_done(struct hc_request *request, enum hc_end end,
		       const char *msg)
{
	struct co_exchange *exchange = (struct co_exchange *)request;

	exchange->ok = end == HC_COMPLETE;
	g_strlcpy(exchange->msg, msg, sizeof(exchange->msg));
	uv_stop(&exchange->loop);
}

static void co_on_timeout(void *ctx)
{
	struct co_exchange *exchange = ctx;

	g_strlcpy(exchange->msg, "timeout", sizeof(exchange->msg));
	uv_stop(&exchange->loop);
}

static const struct hc_handler co_handler = {
	.head = co_on_head,
	.body = co_on_body,
	.done = co_on_done,
};

static char *co_token(const struct co_options *options)
{
	char *text = NULL;

	if (options->token &&
	    !g_file_get_contents(options->token, &text, NULL, NULL))
		fprintf(stderr, "cannot read %s\n", options->token);
	if (!text)
		text = g_strdup(getenv("JACKDAWWORKS_TOKEN"));
	return text ? g_strstrip(text) : NULL;
}

static bool co_run(struct co_exchange *exchange,
		   const struct co_options *options, const char *method,
		   const char *path, const char *body, size_t body_bytes)
{
	struct nt_address address;
	char *token = co_token(options);
	char *value;
	GString *out;

	if (!options->host || !nt_parse(options->host, &address)) {
		fprintf(stderr, "--host must be an IP address with a port\n");
		g_free(token);
		return false;
	}
	memset(exchange, 0, sizeof(*exchange));
	exchange->body = g_string_new(NULL);
	uv_loop_init(&exchange->loop);
	tm_init(&exchange->timers, &exchange->loop);
	hc_pool_init(&exchange->pool, &exchange->loop, &address, 1);
	exchange->request.handler = &co_handler;
	exchange->timer.fire = co_on_timeout;
	exchange->timer.ctx = exchange;
	tm_subscribe(&exchange->timers, &exchange->timer,
		     tm_now_us() + CO_TIMEOUT_US);
	out = hc_head_begin(method, strlen(method), path, strlen(path),
			    address.text);
	value = g_strconcat("Bearer ", token ? token : "", NULL);
	hc_head_add(out, "authorization", strlen("authorization"), value,
		    strlen(value));
	hc_head_end(out, body, body_bytes);
	if (hc_start(&exchange->pool, &exchange->request, out))
		uv_run(&exchange->loop, UV_RUN_DEFAULT);
	g_free(value);
	g_free(token);
	if (!exchange->ok)
		fprintf(stderr, "%s: %s\n", options->host, exchange->msg);
	return exchange->ok;
}

static json_t *co_json(const struct co_exchange *exchange)
{
	return json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
}

static const char *co_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

/* Exit code for the "error" or "result" name of an answer. */
static int co_exit(const json_t *object)
{
	const char *name = co_text(object, "result");

	if (!*name)
		name = co_text(object, "error");
	if (!*name)
		return 0;
	for (int i = 0; i < ST_KIND_COUNT; i++)
		if (!strcmp(name, st_name((enum st_kind)i)))
			return st_exit((enum st_kind)i);
	return 0;
}

static int co_print_failure(const json_t *object)
{
	fprintf(stderr, "%s%s: %s\n%s", co_text(object, "result"),
		co_text(object, "error"), co_text(object, "message"),
		co_text(object, "detail"));
	return co_exit(object) ? co_exit(object) : 1;
}

static bool co_load(const char *file, char **text, gsize *text_bytes)
{
	GError *error = NULL;

	if (g_file_get_contents(file, text, text_bytes, &error))
		return true;
	fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
	return false;
}

int cmd_check(int argc, char **argv)
{
	struct co_options options = { .wants_file = true };
	struct doc_document *document;
	struct ym_errors errors;
	char *text;
	gsize text_bytes;
	GString *out;

	if (!co_read_options(argc, argv, "Checks a document.", &options))
		return st_exit(ST_USAGE);
	if (!co_load(options.file, &text, &text_bytes))
		return st_exit(ST_IO);
	ym_errors_init(&errors);
	document = doc_parse(text, text_bytes, &errors);
	out = g_string_new(NULL);
	ym_errors_print(&errors, out);
	fputs(out->str, stderr);
	if (document)
		printf("%s: %u services, digest %s\n", options.file,
		       document->service_count, document->digest);
	g_string_free(out, TRUE);
	ym_errors_free(&errors);
	g_free(text);
	doc_unref(document);
	return document ? 0 : st_exit(ST_INVALID);
}

int cmd_apply(int argc, char **argv)
{
	struct co_options options = { .wants_file = true };
	static struct co_exchange exchange;
	g_autofree char *text = NULL;
	g_autofree char *path = NULL;
	g_autofree char *author = NULL;
	gsize text_bytes;
	json_t *answer;
	int code;

	if (!co_read_options(argc, argv, "Submits a document.", &options))
		return st_exit(ST_USAGE);
	if (!co_load(options.file, &text, &text_bytes))
		return st_exit(ST_IO);
	author = g_uri_escape_string(options.author ? options.author :
						      g_get_user_name(),
				     NULL, FALSE);
	path = g_strdup_printf("/v1/document?base=%s&author=%s",
			       options.base ? options.base : "0", author);
	if (!co_run(&exchange, &options, "POST", path, text, text_bytes))
		return st_exit(ST_IO);
	answer = co_json(&exchange);
	code = co_exit(answer);
	if (code || exchange.status != 200)
		code = co_print_failure(answer);
	else
		printf("accepted as generation %lld, digest %s\n",
		       json_integer_value(
			       json_object_get(answer, "generation")),
		       co_text(answer, "digest"));
	json_decref(answer);
	return code;
}

int cmd_show(int argc, char **argv)
{
	struct co_options options = { 0 };
	static struct co_exchange exchange;
	json_t *answer;

	if (!co_read_options(argc, argv, "Prints the document in force.",
			     &options))
		return st_exit(ST_USAGE);
	if (!co_run(&exchange, &options, "GET", "/v1/document", NULL, 0))
		return st_exit(ST_IO);
	answer = co_json(&exchange);
	if (exchange.status != 200)
		return co_print_failure(answer);
	if (options.json)
		printf("%s\n", exchange.body->str);
	else
		printf("# generation %lld, digest %s\n%s",
		       json_integer_value(
			       json_object_get(answer, "generation")),
		       co_text(answer, "digest"), co_text(answer, "text"));
	return 0;
}

static void co_print_audit_row(const json_t *row)
{
	const json_t *value = json_object_get(row, "value");

	printf("%s  generation %lld  %s  %.12s\n", co_text(row, "key"),
	       json_integer_value(json_object_get(value, "generation")),
	       co_text(value, "author"), co_text(value, "digest"));
}

int cmd_history(int argc, char **argv)
{
	struct co_options options = { 0 };
	static struct co_exchange exchange;
	json_t *answer;

	if (!co_read_options(argc, argv, "Prints the audit trail.", &options))
		return st_exit(ST_USAGE);
	if (!co_run(&exchange, &options, "GET", "/v1/audit", NULL, 0))
		return st_exit(ST_IO);
	answer = co_json(&exchange);
	if (exchange.status != 200)
		return co_print_failure(answer);
	if (options.json)
		printf("%s\n", exchange.body->str);
	for (size_t i = 0; !options.json && i < json_array_size(answer); i++)
		co_print_audit_row(json_array_get(answer, i));
	return 0;
}

int cmd_drain(int argc, char **argv)
{
	struct co_options options = { 0 };
	static struct co_exchange exchange;

	if (!co_read_options(argc, argv, "Stops an entry host gracefully.",
			     &options))
		return st_exit(ST_USAGE);
	if (!co_run(&exchange, &options, "POST", "/v1/drain", "", 0))
		return st_exit(ST_IO);
	if (exchange.status != 200)
		return co_print_failure(co_json(&exchange));
	printf("draining\n");
	return 0;
}
