#ifndef CLI_OPERATOR_CLIENT_H
#define CLI_OPERATOR_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "document/document.h"
#include "http/httpc.h"
#include "base/timer.h"

/*
 * Functions shared by the operators' commands: command line options, requests
 * to an entry host and reading of files.
 */

enum { CO_MAX_HOSTS = 256 };

/* Options: identifier, key, name, argument, help. */
#define CO_OPTIONS(X)                                                        \
	X(HOST, 'H', "host", "ADDRESS",                                      \
	  "operators' address of an entry host; status accepts several")     \
	X(TOKEN, 't', "token-file", "FILE",                                  \
	  "file with the operators' token; without it the token is taken "   \
	  "from the environment variable JACKDAWWORKS_TOKEN")                \
	X(CA, 'c', "ca", "FILE",                                             \
	  "use TLS and trust only the CA certificates in FILE; without it "  \
	  "HOST must be a loopback address")                                 \
	X(BASE, 'b', "base", "GENERATION",                                   \
	  "generation that the document is based on")                        \
	X(FORCE, 'F', "force-base", NULL,                                    \
	  "use the generation in force when the command starts as the base") \
	X(AUTHOR, 'a', "author", "NAME",                                     \
	  "author in the audit trail; default: login name")                  \
	X(SUBMISSION, 's', "submission", "ID",                               \
	  "repeat an earlier submission whose outcome is not known")         \
	X(GENERATION, 'g', "generation", "N",                                \
	  "generation to print; default: the one in force")                  \
	X(LIMIT, 'n', "limit", "N", "number of rows, newest first")          \
	X(JSON, 'j', "json", NULL, "print JSON")

enum co_option {
#define X(id, key, name, arg, help) CO_##id,
	CO_OPTIONS(X)
#undef X
		CO_OPTION_COUNT
};

/* Arguments and options of a command. */
struct co_command {
	const char *args_doc;
	const char *doc; /* '\v' separates what is printed after the options */
	uint32_t options; /* accepted ones, CO_BIT */
	uint32_t min_files;
	uint32_t max_files;
};

#define CO_BIT(id) (UINT32_C(1) << CO_##id)

/* Options of all commands that send a request to a host. */
#define CO_HOST_OPTIONS \
	(CO_BIT(HOST) | CO_BIT(TOKEN) | CO_BIT(CA) | CO_BIT(JSON))

struct co_options {
	const struct co_command *command;
	const char *values[CO_OPTION_COUNT]; /* NULL: not given */
	const char *hosts[CO_MAX_HOSTS];
	uint32_t host_count;
	const char *files[2];
	uint32_t file_count;
};

/* One request to the operators' listener of an entry host. */
struct co_exchange {
	struct hc_request request; /* first, callbacks cast it to co_exchange */
	uv_loop_t loop;
	struct tm_service timers;
	struct hc_pool pool;
	struct tm_sub timer;
	int status; /* of HTTP */
	GString *body;
	bool ok;
	bool ended;
	char msg[128]; /* error, if not ok */
};

/*
 * co_parse_options - parse the arguments of a command; false after a usage
 * error. Source: cli/operator_client.c
 */
bool co_parse_options(int argc, char **argv, const struct co_command *command,
		      struct co_options *options);

/*
 * co_run_request - send one request to HOST and wait for the answer. Returns
 * false and prints the error if no complete answer was received; otherwise the
 * caller frees the body, whatever the HTTP status is.
 * co_request_json - send one request to the first --host. Returns the parsed
 * body if the status is 200; otherwise prints the error, sets CODE to the exit
 * code and returns NULL. With --json, the body is printed for any status.
 */
bool co_run_request(struct co_exchange *exchange,
		    const struct co_options *options, const char *host,
		    const char *method, const char *path, const char *body,
		    size_t body_bytes);
json_t *co_request_json(const struct co_options *options, const char *method,
			const char *path, const char *body, size_t body_bytes,
			int *code);

/*
 * co_parse_body - the body as JSON, or NULL if it is not JSON.
 * co_get_integer - an integer member of OBJECT, or 0.
 * co_print_text - print TEXT, with "?" for control characters other than line
 * feed and tab.
 * co_print_failure - print the error of an answer and return the exit code.
 */
json_t *co_parse_body(const struct co_exchange *exchange);
long long co_get_integer(const json_t *object, const char *key);
void co_print_text(FILE *f, const char *text);
int co_print_failure(const struct co_exchange *exchange, const json_t *object);

/*
 * co_load_text - read FILE, "-" for the standard input. Files larger than
 * YM_MAX_TEXT_BYTES are refused.
 * co_load_document - read FILE, parse and check it as a document.
 * On failure both print the errors, set CODE and return NULL.
 */
GString *co_load_text(const char *file, int *code);
struct doc_document *co_load_document(const char *file, int *code);

#endif
