#include <argp.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "cli/command.h"
#include "core/state.h"
#include "base/status.h"
#include "core/trace.h"
#include "core/trace_check.h"
#include "base/yaml_tree.h"

/*
 * Replays the events and random numbers of a trace into a new decision core and
 * compares the actions that it emits with the recorded ones.
 */

struct re_options {
	const char *trace;
	const char *outcomes;
};

struct re_replay {
	char **lines;
	uint64_t next_line; /* index into LINES */
	struct core core;
	struct tr_check *check;
	struct st_status status; /* ST_OK until the first difference */
	uint64_t events;
	uint64_t actions;
};

static void re_record_difference(struct re_replay *replay, const char *recorded,
				 const char *replayed)
{
	if (replay->status.kind != ST_OK)
		return;
	st_set(&replay->status, ST_REPLAY,
	       "line %" G_GUINT64_FORMAT ": recorded %.90s, replayed %.90s",
	       replay->next_line + 1, recorded ? recorded : "nothing",
	       replayed);
}

static void re_on_action(void *ctx, const struct core_action *action)
{
	struct re_replay *replay = ctx;
	const char *recorded = replay->lines[replay->next_line];
	GString *text = g_string_new(NULL);

	tr_format_action(text, action);
	if (recorded && !strcmp(recorded, text->str))
		replay->next_line++;
	else
		re_record_difference(replay, recorded, text->str);
	g_string_free(text, TRUE);
	replay->actions++;
	tr_check_action(replay->check, action);
}

static uint32_t re_next_random(void *ctx)
{
	struct re_replay *replay = ctx;
	const char *recorded = replay->lines[replay->next_line];
	struct st_status status;
	struct tr_line line;

	if (!recorded || tr_parse_line(recorded, &line, &status) != ST_OK ||
	    line.kind != TR_RANDOM) {
		re_record_difference(replay, recorded, "a random number");
		return 0;
	}
	replay->next_line++;
	return line.random;
}

static void re_set_line_error(struct re_replay *replay, const char *msg)
{
	st_set(&replay->status, ST_INVALID, "line %" G_GUINT64_FORMAT ": %s",
	       replay->next_line + 1, msg);
}

/*
 * Replays the event on the next line. The callbacks of the core consume the
 * lines of its random numbers and actions; one left over is a difference.
 */
static void re_replay_event(struct re_replay *replay)
{
	struct st_status status;
	struct tr_line line;

	if (tr_parse_line(replay->lines[replay->next_line], &line, &status) !=
	    ST_OK) {
		re_set_line_error(replay, status.msg);
		return;
	}
	if (line.kind == TR_EVENT) {
		replay->next_line++;
		replay->events++;
		tr_check_event(replay->check, &line.event, replay->next_line);
		core_handle_event(&replay->core, &line.event);
	} else {
		re_record_difference(replay, replay->lines[replay->next_line],
				     "nothing");
	}
	tr_line_free(&line);
}

/* Parses all lines first, so that a malformed trace is not replayed in part. */
static void re_validate_lines(struct re_replay *replay)
{
	struct st_status status;
	struct tr_line line;

	for (; replay->lines[replay->next_line]; replay->next_line++) {
		enum st_kind kind = tr_parse_line(
			replay->lines[replay->next_line], &line, &status);

		if (kind == ST_OK &&
		    (line.kind == TR_HEADER) != !replay->next_line) {
			tr_line_free(&line);
			re_set_line_error(
				replay,
				"trace: the header must be the first line");
			return;
		}
		if (kind != ST_OK) {
			re_set_line_error(replay, status.msg);
			return;
		}
		tr_line_free(&line);
	}
	if (!replay->next_line)
		re_set_line_error(replay, "trace: the header is missing");
	replay->next_line = 1;
}

static void re_replay_lines(struct re_replay *replay)
{
	struct core_driver driver = { re_on_action, re_next_random, replay,
				      NULL };

	re_validate_lines(replay);
	core_init(&replay->core, &driver);
	replay->check = tr_check_new();
	while (replay->status.kind == ST_OK && replay->lines[replay->next_line])
		re_replay_event(replay);
	core_free(&replay->core);
}

static char *re_read_file(const char *path, gsize *bytes)
{
	GError *error = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, bytes, &error))
		return text;
	fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
	return NULL;
}

static enum st_kind re_read_outcomes(const char *path,
				     struct tr_outcomes *outcomes)
{
	struct ym_errors errors;
	gsize bytes;
	char *text = re_read_file(path, &bytes);
	GString *out = g_string_new(NULL);
	enum st_kind kind = ST_IO;

	ym_errors_init(&errors);
	if (text)
		kind = tr_parse_outcomes(text, bytes, outcomes, &errors) ?
			       ST_OK :
			       ST_INVALID;
	ym_errors_print(&errors, out);
	if (errors.count)
		fprintf(stderr, "%s:\n%s", path, out->str);
	ym_errors_free(&errors);
	g_string_free(out, TRUE);
	g_free(text);
	return kind;
}

static enum st_kind re_print_result(struct re_replay *replay, const char *path,
				    const struct tr_outcomes *outcomes)
{
	GString *out;
	uint32_t failed;

	if (replay->status.kind != ST_OK) {
		fprintf(stderr, "%s: %s\n", path, replay->status.msg);
		return replay->status.kind;
	}
	printf("replayed %" G_GUINT64_FORMAT " events, %" G_GUINT64_FORMAT
	       " actions as recorded\n",
	       replay->events, replay->actions);
	if (!outcomes)
		return ST_OK;
	out = g_string_new(NULL);
	failed = tr_check_outcomes(replay->check, outcomes, out);
	printf("%s", out->str);
	g_string_free(out, TRUE);
	return failed ? ST_REPLAY : ST_OK;
}

static enum st_kind re_replay_file(const struct re_options *options)
{
	struct re_replay replay = { 0 };
	struct tr_outcomes outcomes;
	gsize bytes;
	char *text;
	enum st_kind kind;

	if (options->outcomes) {
		kind = re_read_outcomes(options->outcomes, &outcomes);
		if (kind != ST_OK)
			return kind;
	}
	text = re_read_file(options->trace, &bytes);
	if (!text)
		return ST_IO;
	g_strchomp(text);
	replay.lines = g_strsplit(text, "\n", 0);
	g_free(text);
	re_replay_lines(&replay);
	kind = re_print_result(&replay, options->trace,
			       options->outcomes ? &outcomes : NULL);
	tr_check_free(replay.check);
	g_strfreev(replay.lines);
	return kind;
}

static const struct argp_option re_argp_options[] = {
	{ "outcomes", 'o', "FILE", 0, "check the expected outcomes in FILE",
	  0 },
	{ 0 }
};

static error_t re_parse_option(int key, char *arg, struct argp_state *state)
{
	struct re_options *options = state->input;

	switch (key) {
	case 'o':
		options->outcomes = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (options->trace)
			argp_usage(state);
		options->trace = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->trace)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int cmd_replay(int argc, char **argv)
{
	struct re_options options = { 0 };
	struct argp argp = {
		.options = re_argp_options,
		.parser = re_parse_option,
		.args_doc = "TRACE",
		.doc = "Replays a recorded trace and compares the actions "
		       "with the recorded ones."
	};

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return st_exit_code(ST_USAGE);
	return st_exit_code(re_replay_file(&options));
}
