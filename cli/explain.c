#include <argp.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "cli/command.h"
#include "base/log.h"
#include "base/status.h"

/*
 * Prints the log lines about one call, from the logs of one or more hosts, in
 * order of time, together with other events of these hosts around that time.
 */

enum {
	/* Other lines are printed this long before and after the call. */
	EX_CONTEXT_US = 2 * 1000 * 1000,
	EX_US_PER_MS = 1000
};

struct ex_line {
	int64_t at_us;
	json_t *json;
};

struct ex_options {
	const char *id;
	char **files;
	int file_count;
};

struct ex_logs {
	GArray *lines; /* struct ex_line */
	uint64_t malformed_count;
	uint64_t line_count; /* malformed ones included */
};

static const char *ex_get_string(const json_t *line, const char *name)
{
	const char *text = json_string_value(json_object_get(line, name));

	return text ? text : "";
}

static int64_t ex_time_us(const json_t *line)
{
	GDateTime *at =
		g_date_time_new_from_iso8601(ex_get_string(line, "time"), NULL);
	int64_t at_us;

	if (!at)
		return -1;
	at_us = g_date_time_to_unix(at) * G_USEC_PER_SEC +
		g_date_time_get_microsecond(at);
	g_date_time_unref(at);
	return at_us;
}

/*
 * Parses a line from its first '{', because log collectors may add a prefix.
 * Lines without valid JSON, "time" or "event" count as malformed.
 */
static void ex_add_line(struct ex_logs *logs, char *text)
{
	const char *begin = strchr(g_strstrip(text), '{');
	struct ex_line line = { 0 };

	if (!*text)
		return;
	logs->line_count++;
	if (begin)
		line.json = json_loads(begin, 0, NULL);
	line.at_us = line.json ? ex_time_us(line.json) : -1;
	if (line.at_us >= 0 && *ex_get_string(line.json, "event")) {
		g_array_append_val(logs->lines, line);
		return;
	}
	json_decref(line.json);
	logs->malformed_count++;
}

static bool ex_read_file(struct ex_logs *logs, const char *path)
{
	GError *error = NULL;
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l; l++)
		ex_add_line(logs, *l);
	g_strfreev(lines);
	g_free(text);
	return true;
}

static gint ex_compare_lines(gconstpointer a, gconstpointer b)
{
	const struct ex_line *x = a;
	const struct ex_line *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* ID is as the logs have it; see lg_text. */
static bool ex_is_of_call(const struct ex_line *line, const char *id)
{
	return !strcmp(ex_get_string(line->json, "id"), id);
}

/* Whether a line is about no call, in the time span and from one of HOSTS. */
static bool ex_is_context(const struct ex_line *line, int64_t from_us,
			  int64_t to_us, GHashTable *hosts)
{
	return !json_object_get(line->json, "id") && line->at_us >= from_us &&
	       line->at_us <= to_us &&
	       g_hash_table_contains(hosts, ex_get_string(line->json, "host"));
}

static void ex_print_line(const struct ex_line *line, int64_t from_us,
			  bool of_call)
{
	static const char *const shown[] = { "time", "host", "event", "id" };
	json_t *rest = json_copy(line->json);
	char *text;

	for (size_t i = 0; i < G_N_ELEMENTS(shown); i++)
		json_object_del(rest, shown[i]);
	text = json_dumps(rest, JSON_COMPACT);
	printf("%c %+9.3f ms  %-20s %-12s %s\n", of_call ? '*' : ' ',
	       (double)(line->at_us - from_us) / EX_US_PER_MS,
	       ex_get_string(line->json, "host"),
	       ex_get_string(line->json, "event"), text);
	free(text);
	json_decref(rest);
}

static enum st_kind ex_print_call(const struct ex_logs *logs, const char *id)
{
	GHashTable *hosts = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t from_us = INT64_MAX;
	int64_t to_us = 0;
	bool found;

	for (guint i = 0; i < logs->lines->len; i++) {
		struct ex_line *line =
			&g_array_index(logs->lines, struct ex_line, i);

		if (!ex_is_of_call(line, id))
			continue;
		from_us = MIN(from_us, line->at_us);
		to_us = MAX(to_us, line->at_us);
		g_hash_table_add(hosts,
				 (char *)ex_get_string(line->json, "host"));
	}
	found = g_hash_table_size(hosts) > 0;
	if (!found)
		fprintf(stderr,
			"no line of %" G_GUINT64_FORMAT " is about call %s; "
			"lines about successful calls are dropped under load\n",
			logs->line_count, id);
	for (guint i = 0; found && i < logs->lines->len; i++) {
		struct ex_line *line =
			&g_array_index(logs->lines, struct ex_line, i);
		bool of_call = ex_is_of_call(line, id);

		if (of_call || ex_is_context(line, from_us - EX_CONTEXT_US,
					     to_us + EX_CONTEXT_US, hosts))
			ex_print_line(line, from_us, of_call);
	}
	g_hash_table_destroy(hosts);
	return found ? ST_OK : ST_NOT_FOUND;
}

static error_t ex_parse_arguments(int key, char *arg, struct argp_state *state)
{
	struct ex_options *options = state->input;

	switch (key) {
	case ARGP_KEY_ARGS:
		options->id = state->argv[state->next];
		options->files = state->argv + state->next + 1;
		options->file_count = state->argc - state->next - 1;
		if (!options->file_count)
			argp_usage(state);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int cmd_explain(int argc, char **argv)
{
	struct ex_options options = { 0 };
	struct ex_logs logs = {
		.lines = g_array_new(FALSE, FALSE, sizeof(struct ex_line)),
	};
	struct argp argp = {
		.parser = ex_parse_arguments,
		.args_doc = "ID FILE...",
		.doc = "Prints the log lines of entry hosts about a call, in "
		       "order of time. Lines about the call begin with *; "
		       "the others are events of its hosts that are about no "
		       "call, up to 2 s before and after."
	};
	enum st_kind kind = ST_OK;
	json_t *id;

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return st_exit_code(ST_USAGE);
	for (int i = 0; i < options.file_count; i++)
		if (!ex_read_file(&logs, options.files[i]))
			kind = ST_IO;
	if (kind == ST_OK) {
		if (logs.malformed_count)
			fprintf(stderr,
				"%" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
				" lines are malformed and skipped\n",
				logs.malformed_count, logs.line_count);
		g_array_sort(logs.lines, ex_compare_lines);
		id = lg_text(options.id, strlen(options.id));
		kind = ex_print_call(&logs, json_string_value(id));
		json_decref(id);
	}
	for (guint i = 0; i < logs.lines->len; i++)
		json_decref(g_array_index(logs.lines, struct ex_line, i).json);
	g_array_free(logs.lines, TRUE);
	return st_exit_code(kind);
}
