#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "base/json_text.h"
#include "cli/operator_client.h"

static const struct co_command co_check = {
	.args_doc = "FILE",
	.doc = "Checks a document as a whole without contacting a host.\v"
	       "Every error is printed with its line and field, or else every "
	       "warning, which does not change the exit status. \"-\" reads "
	       "the standard input.\n\nExample:\n"
	       "  jackdawworks check tri-parish.yaml",
	.options = CO_BIT(JSON),
	.min_files = 1,
	.max_files = 1,
};

static void co_print_checked(const struct co_options *options,
			     const struct doc_document *document,
			     const struct ym_errors *warnings)
{
	GString *out = g_string_new(NULL);
	json_t *list = ym_errors_json(warnings);
	char *json = jt_dump(list);

	ym_errors_print(warnings, out);
	if (warnings->count && !options->values[CO_JSON]) {
		fprintf(stderr, "%s, warnings:\n", options->files[0]);
		co_print_text(stderr, out->str);
	}
	if (options->values[CO_JSON])
		printf("{\"result\":\"ok\",\"services\":%u,"
		       "\"digest\":\"%s\",\"warnings\":%s}\n",
		       document->service_count, document->digest, json);
	else
		printf("%s: %u services, digest %s\n", options->files[0],
		       document->service_count, document->digest);
	free(json);
	json_decref(list);
	g_string_free(out, TRUE);
}

int cmd_check(int argc, char **argv)
{
	struct co_options options;
	struct doc_document *document;
	struct ym_errors warnings;
	int code;

	if (!co_parse_options(argc, argv, &co_check, &options))
		return st_exit_code(ST_USAGE);
	document = co_load_document(options.files[0], &code);
	if (!document) {
		if (options.values[CO_JSON])
			printf("{\"result\":\"%s\"}\n",
			       st_name(code == st_exit_code(ST_INVALID) ?
					       ST_INVALID :
					       ST_IO));
		return code;
	}
	ym_errors_init(&warnings);
	doc_find_warnings(document, &warnings);
	co_print_checked(&options, document, &warnings);
	ym_errors_free(&warnings);
	doc_unref(document);
	return 0;
}

static int co_print_diff(const struct co_options *options,
			 const struct doc_document *old,
			 const struct doc_document *new)
{
	GPtrArray *changes = doc_diff(old, new);
	GString *out = g_string_new(NULL);

	if (options->values[CO_JSON]) {
		json_t *list = doc_diff_json(changes);
		char *text = jt_dump(list);

		g_string_append_printf(out, "%s\n", text);
		free(text);
		json_decref(list);
	} else if (changes->len) {
		doc_diff_print(changes, changes->len, out);
	} else {
		g_string_append(out, "no difference\n");
	}
	co_print_text(stdout, out->str);
	g_string_free(out, TRUE);
	g_ptr_array_unref(changes);
	return 0;
}

/* Fetches the document in force at the host. Sets CODE on failure. */
static struct doc_document *co_fetch_document(const struct co_options *options,
					      int *code)
{
	struct co_options quiet = *options;
	struct doc_document *document;
	struct ym_errors errors;
	const char *text;
	json_t *answer;

	quiet.values[CO_JSON] = NULL;
	answer = co_request_json(&quiet, "GET", "/v1/document", NULL, 0, code);
	if (!answer)
		return NULL;
	text = jt_get_string(answer, "text");
	ym_errors_init(&errors);
	document = doc_parse(text, strlen(text), &errors);
	if (!document) {
		fprintf(stderr, "the document in force is not valid in this "
				"version of the program\n");
		*code = st_exit_code(ST_INVALID);
	}
	ym_errors_free(&errors);
	json_decref(answer);
	return document;
}

static const struct co_command co_diff = {
	.args_doc = "[OLD] NEW",
	.doc = "Shows the changes that a document makes, by service, server, "
	       "rule and field.\v"
	       "One file is compared with the document in force at --host. "
	       "Two files are compared without contacting a host.\n\n"
	       "Examples:\n"
	       "  jackdawworks diff old.yaml new.yaml\n"
	       "  jackdawworks diff --host 10.0.0.7:9400 new.yaml",
	.options = CO_HOST_OPTIONS,
	.min_files = 1,
	.max_files = 2,
};

int cmd_diff(int argc, char **argv)
{
	struct co_options options;
	struct doc_document *old;
	struct doc_document *new;
	int code;

	if (!co_parse_options(argc, argv, &co_diff, &options))
		return st_exit_code(ST_USAGE);
	new = co_load_document(options.files[options.file_count - 1], &code);
	if (!new)
		return code;
	if (options.file_count == 2)
		old = co_load_document(options.files[0], &code);
	else
		old = co_fetch_document(&options, &code);
	if (old)
		code = co_print_diff(&options, old, new);
	doc_unref(old);
	doc_unref(new);
	return code;
}

static const char co_header_prefix[] = "# generation ";

/*
 * Removes the header line that "show" prints from the start of TEXT and returns
 * the generation in it, or 0 when there is no such line.
 */
static uint64_t co_strip_header(GString *text)
{
	char *end = strchr(text->str, '\n');
	char *digits = text->str + strlen(co_header_prefix);
	uint64_t generation;

	if (!end || !g_str_has_prefix(text->str, co_header_prefix))
		return 0;
	generation = g_ascii_strtoull(digits, &digits, 10);
	if (!g_str_has_prefix(digits, ", digest "))
		return 0;
	g_string_erase(text, 0, end + 1 - text->str);
	return generation;
}

/* Fetches the generation in force at the host, 0 when there is none. */
static bool co_fetch_generation(const struct co_options *options,
				uint64_t *generation, int *code)
{
	struct co_options quiet = *options;
	json_t *answer;

	quiet.values[CO_JSON] = NULL;
	answer = co_request_json(&quiet, "GET", "/v1/status", NULL, 0, code);
	if (!answer)
		return false;
	*generation = (uint64_t)co_get_integer(answer, "generation");
	json_decref(answer);
	return true;
}

/*
 * The base is the generation in force with --force-base, else the value of
 * --base, else the one in the header line, else 0.
 */
static bool co_choose_base(const struct co_options *options, GString *text,
			   uint64_t *base, int *code)
{
	uint64_t header = co_strip_header(text);
	const char *given = options->values[CO_BASE];
	guint64 value = header;

	*code = st_exit_code(ST_USAGE);
	if (given && options->values[CO_FORCE]) {
		fprintf(stderr, "--base and --force-base exclude each other\n");
		return false;
	}
	if (options->values[CO_FORCE])
		return co_fetch_generation(options, base, code);
	if (given && !g_ascii_string_to_unsigned(given, 10, 0, INT64_MAX - 1,
						 &value, NULL)) {
		fprintf(stderr, "--base must be a generation\n");
		return false;
	}
	*base = value;
	return true;
}

static char *co_apply_path(const struct co_options *options, uint64_t base)
{
	const char *author = options->values[CO_AUTHOR];
	const char *submission = options->values[CO_SUBMISSION];
	char *name = g_uri_escape_string(author ? author : g_get_user_name(),
					 NULL, FALSE);
	char *id =
		g_uri_escape_string(submission ? submission : "", NULL, FALSE);
	char *path = g_strdup_printf(
		"/v1/document?base=%" G_GUINT64_FORMAT "&author=%s%s%s", base,
		name, submission ? "&submission=" : "", id);

	g_free(name);
	g_free(id);
	return path;
}

static const struct co_command co_apply = {
	.args_doc = "FILE",
	.doc = "Submits a document to an entry host.\v"
	       "The document is accepted only if the generation that it is "
	       "based on (the base) is still in force; otherwise the command "
	       "prints what changed since then and exits with code 4. The base "
	       "is the value of --base, else the generation in the first line "
	       "of FILE, as \"show\" prints it, else 0, which is valid only for "
	       "the first document. --force-base uses the generation in force "
	       "when the command starts as the base, so that its content is "
	       "replaced; a change accepted after that is still not "
	       "overwritten.\n\n"
	       "When the outcome is not known (exit code 5), repeat the "
	       "command with the --submission ID that it printed. A submission "
	       "is never accepted twice.\n\nExamples:\n"
	       "  jackdawworks show --host 10.0.0.7:9400 >doc.yaml\n"
	       "  jackdawworks apply --host 10.0.0.7:9400 doc.yaml\n"
	       "  jackdawworks apply --host 10.0.0.7:9400 --base 12 doc.yaml",
	.options = CO_HOST_OPTIONS | CO_BIT(BASE) | CO_BIT(FORCE) |
		   CO_BIT(AUTHOR) | CO_BIT(SUBMISSION),
	.min_files = 1,
	.max_files = 1,
};

int cmd_apply(int argc, char **argv)
{
	struct co_options options;
	GString *text;
	uint64_t base;
	json_t *answer;
	char *path;
	int code;

	if (!co_parse_options(argc, argv, &co_apply, &options))
		return st_exit_code(ST_USAGE);
	text = co_load_text(options.files[0], &code);
	if (!text)
		return code;
	if (!co_choose_base(&options, text, &base, &code)) {
		g_string_free(text, TRUE);
		return code;
	}
	path = co_apply_path(&options, base);
	answer = co_request_json(&options, "POST", path, text->str, text->len,
				 &code);
	if (answer && !options.values[CO_JSON])
		printf("%s as generation %lld, digest %s\n",
		       g_str_has_prefix(jt_get_string(answer, "message"),
					"unchanged") ?
			       "unchanged" :
			       "accepted",
		       co_get_integer(answer, "generation"),
		       jt_get_string(answer, "digest"));
	if (code == st_exit_code(ST_CONFLICT) && !options.values[CO_BASE])
		fprintf(stderr,
			"the base was generation %" G_GUINT64_FORMAT
			", see --base and --force-base\n",
			base);
	json_decref(answer);
	g_free(path);
	g_string_free(text, TRUE);
	return code;
}

static const struct co_command co_show = {
	.doc = "Prints the document in force.\v"
	       "The first line contains generation and digest; \"apply\" reads "
	       "the base from it.\n\nExamples:\n"
	       "  jackdawworks show --host 10.0.0.7:9400 >doc.yaml\n"
	       "  jackdawworks show --host 10.0.0.7:9400 --generation 11",
	.options = CO_HOST_OPTIONS | CO_BIT(GENERATION),
};

int cmd_show(int argc, char **argv)
{
	struct co_options options;
	json_t *answer;
	char *path;
	int code;

	if (!co_parse_options(argc, argv, &co_show, &options))
		return st_exit_code(ST_USAGE);
	path = g_strdup("/v1/document");
	if (options.values[CO_GENERATION]) {
		char *value = g_uri_escape_string(options.values[CO_GENERATION],
						  NULL, FALSE);

		g_free(path);
		path = g_strconcat("/v1/document?generation=", value, NULL);
		g_free(value);
	}
	answer = co_request_json(&options, "GET", path, NULL, 0, &code);
	if (answer && !options.values[CO_JSON]) {
		printf("%s%lld, digest %s\n", co_header_prefix,
		       co_get_integer(answer, "generation"),
		       jt_get_string(answer, "digest"));
		fputs(jt_get_string(answer, "text"), stdout);
	}
	json_decref(answer);
	g_free(path);
	return code;
}

/* The lines of the reason, if any, follow with an indent. */
static void co_print_audit_row(const json_t *row)
{
	const json_t *value = json_object_get(row, "value");
	char **lines = g_strsplit(jt_get_string(value, "reason"), "\n", 0);

	co_print_text(stdout, jt_get_string(value, "time"));
	printf("  %-9s ", jt_get_string(value, "result"));
	printf(" generation %lld  base %lld  ",
	       co_get_integer(value, "generation"),
	       co_get_integer(value, "base"));
	co_print_text(stdout, jt_get_string(value, "author"));
	printf("  %.12s  %s\n", jt_get_string(value, "digest"),
	       jt_get_string(row, "key"));
	for (char **line = lines; *line; line++)
		if (**line) {
			fputs("    ", stdout);
			co_print_text(stdout, *line);
			fputc('\n', stdout);
		}
	g_strfreev(lines);
}

static const struct co_command co_history = {
	.doc = "Prints the audit trail, newest first.\v"
	       "Refused submissions are included, with the reason.\n\n"
	       "Example:\n"
	       "  jackdawworks history --host 10.0.0.7:9400 --limit 20",
	.options = CO_HOST_OPTIONS | CO_BIT(LIMIT),
};

int cmd_history(int argc, char **argv)
{
	struct co_options options;
	json_t *answer;
	char *limit;
	char *path;
	int code;

	if (!co_parse_options(argc, argv, &co_history, &options))
		return st_exit_code(ST_USAGE);
	limit = g_uri_escape_string(
		options.values[CO_LIMIT] ? options.values[CO_LIMIT] : "100",
		NULL, FALSE);
	path = g_strconcat("/v1/audit?limit=", limit, NULL);
	answer = co_request_json(&options, "GET", path, NULL, 0, &code);
	if (!options.values[CO_JSON])
		for (size_t i = 0; i < json_array_size(answer); i++)
			co_print_audit_row(json_array_get(answer, i));
	json_decref(answer);
	g_free(limit);
	g_free(path);
	return code;
}

static const struct co_command co_drain = {
	.doc = "Stops an entry host gracefully.\v"
	       "Calls in flight are finished.\n\nExample:\n"
	       "  jackdawworks drain --host 10.0.0.7:9400",
	.options = CO_HOST_OPTIONS,
};

int cmd_drain(int argc, char **argv)
{
	struct co_options options;
	json_t *answer;
	int code;

	if (!co_parse_options(argc, argv, &co_drain, &options))
		return st_exit_code(ST_USAGE);
	answer = co_request_json(&options, "POST", "/v1/drain", "", 0, &code);
	if (answer && !options.values[CO_JSON])
		printf("draining\n");
	json_decref(answer);
	return code;
}

/* Counters in the status table: width, heading, name of the counter. */
#define CO_STATUS_COUNTERS(X)                               \
	X(10, "refused", "calls_refused_total")             \
	X(10, "retries", "retries_total")                   \
	X(10, "hedges", "hedges_total")                     \
	X(10, "probes", "probes_total")                     \
	X(12, "probe-B", "probe_bytes_total")               \
	X(12, "probe-cz-B", "probe_cross_zone_bytes_total") \
	X(12, "report-B", "report_bytes_total")             \
	X(12, "report-cz-B", "report_cross_zone_bytes_total")

static void co_print_status(const json_t *answer)
{
	const json_t *counters = json_object_get(answer, "counters");

	printf("%-16s %-12s %10lld %9lld", jt_get_string(answer, "host"),
	       jt_get_string(answer, "zone"),
	       co_get_integer(answer, "generation"),
	       co_get_integer(answer, "in_flight"));
#define X(width, heading, counter) \
	printf(" %*lld", width, co_get_integer(counters, counter));
	CO_STATUS_COUNTERS(X)
#undef X
	printf("%s%s\n",
	       json_is_true(json_object_get(answer, "platform_answers")) ?
		       "" :
		       "  no platform",
	       json_is_true(json_object_get(answer, "stopping")) ?
		       "  stopping" :
		       "");
}

static void co_print_status_heading(void)
{
	printf("%-16s %-12s %10s %9s", "host", "zone", "generation",
	       "in-flight");
#define X(width, heading, counter) printf(" %*s", width, heading);
	CO_STATUS_COUNTERS(X)
#undef X
	printf("\n");
}

static const struct co_command co_status = {
	.doc = "Prints state and counters of entry hosts, one line per host.\v"
	       "Refused calls, retries, hedges and the cost of measuring "
	       "(probes, bytes of probes and of load reports; cz: across "
	       "zones) are counted since the host started. With --json, one "
	       "object per line.\n\nExample:\n"
	       "  jackdawworks status -H 10.0.0.7:9400 -H 10.0.1.7:9400",
	.options = CO_HOST_OPTIONS,
};

/* Continues with the next host when one does not answer. */
int cmd_status(int argc, char **argv)
{
	struct co_options options;
	int code = 0;

	if (!co_parse_options(argc, argv, &co_status, &options))
		return st_exit_code(ST_USAGE);
	if (!options.host_count) {
		fprintf(stderr, "--host is missing\n");
		return st_exit_code(ST_USAGE);
	}
	if (!options.values[CO_JSON])
		co_print_status_heading();
	for (uint32_t i = 0; i < options.host_count; i++) {
		struct co_options one = options;
		json_t *answer;
		int failure;

		one.hosts[0] = options.hosts[i];
		answer = co_request_json(&one, "GET", "/v1/status", NULL, 0,
					 &failure);
		if (answer && !options.values[CO_JSON])
			co_print_status(answer);
		if (!answer)
			code = failure;
		json_decref(answer);
	}
	return code;
}
