#ifndef OPERATOR_CLIENT_H
#define OPERATOR_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "document.h"
#include "httpc.h"
#include "timer.h"

/*
 * What the operator commands share: options, requests to an entry host,
 * reading of files.
 */

enum { CO_MAX_HOSTS = 256 };

/* Options: identifier, key, name, argument, help. */
#define CO_OPTIONS(X)                                                      \
	X(HOST, 'H', "host", "ADDRESS",                                    \
	  "operators' address of an entry host; status takes several")     \
	X(TOKEN, 't', "token-file", "FILE",                                \
	  "file with the operators' token; without it the token is taken " \
	  "from the environment variable JACKDAWWORKS_TOKEN")              \
	X(CA, 'c', "ca", "FILE",                                           \
	  "speak TLS and trust only the authorities in FILE; without it "  \
	  "only a loopback address is contacted")                          \
	X(BASE, 'b', "base", "GENERATION",                                 \
	  "generation the document was written against")                   \
	X(FORCE, 'F', "force-base", NULL,                                  \
	  "replace whatever is in force when the command starts")          \
	X(AUTHOR, 'a', "author", "NAME",                                   \
	  "name for the audit trail; the login name without it")           \
	X(SUBMISSION, 's', "submission", "ID",                             \
	  "repeat an earlier submission whose outcome is not known")       \
	X(GENERATION, 'g', "generation", "N",                              \
	  "an older generation instead of the one in force")               \
	X(LIMIT, 'n', "limit", "N", "number of rows, newest first")        \
	X(JSON, 'j', "json", NULL, "print JSON")

enum co_option {
#define X(id, key, name, arg, help) CO_##id,
	CO_OPTIONS(X)
#undef X
		CO_OPTION_COUNT
};

/* What a command takes. */
struct co_command {
	const char *args_doc;
	const char *doc; /* after '\v': examples */
	uint32_t options; /* bits by enum co_option */
	uint32_t min_files;
	uint32_t max_files;
};

#define CO_BIT(id) (UINT32_C(1) << CO_##id)
#define CO_HOST_OPTIONS \
	(CO_BIT(HOST) | CO_BIT(TOKEN) | CO_BIT(CA) | CO_BIT(JSON))

struct co_options {
	const struct co_command *command;
	const char *values[CO_OPTION_COUNT];
	const char *hosts[CO_MAX_HOSTS];
	uint32_t host_count;
	const char *files[2];
	uint32_t file_count;
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
	bool ended;
	bool too_large;
	char msg[128];
};

/*
 * co_parse_options - parse the arguments of a command; false after a usage
 * error. Source: operator_client.c
 */
bool co_parse_options(int argc, char **argv, const struct co_command *command,
		      struct co_options *options);

/*
 * co_run_request - one request to HOST. Prints what failed; when the result is true
 * the caller frees the body.
 * co_request_json - the same to the first host, with a JSON answer. On failure CODE is
 * the exit code and the result NULL.
 */
bool co_run_request(struct co_exchange *exchange,
		    const struct co_options *options, const char *host,
		    const char *method, const char *path, const char *body,
		    size_t body_bytes);
json_t *co_request_json(const struct co_options *options, const char *method,
			const char *path, const char *body, size_t body_bytes,
			int *code);

/*
 * co_parse_body - the answer as JSON, or NULL.
 * co_get_integer - an integer member of OBJECT, or 0.
 * co_print_text - text of an answer without control characters but line ends.
 * co_print_failure - print an error answer and return the exit code.
 */
json_t *co_parse_body(const struct co_exchange *exchange);
long long co_get_integer(const json_t *object, const char *key);
void co_print_text(FILE *f, const char *text);
int co_print_failure(const struct co_exchange *exchange, const json_t *object);

/*
 * co_load_text - a file of at most the size of a document; "-" is standard input.
 * co_load_document - load and check; prints its errors. Both set CODE and
 * return NULL on failure.
 */
GString *co_load_text(const char *file, int *code);
struct doc_document *co_load_document(const char *file, int *code);

#endif
