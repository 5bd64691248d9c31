#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"
#include "base/status.h"

const char *argp_program_version = "jackdawworks 0.1.0";

struct command {
	const char *name;
	const char *help;
	int (*run)(int argc, char **argv);
};

static const struct command commands[] = {
#define X(name, help) { #name, help, cmd_##name },
	CMD_LIST(X)
#undef X
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

static const char doc[] =
	"Load balancer for servers whose load changes within milliseconds.";

struct selection {
	const struct command *command;
	int first_arg; /* index of the command's own arguments */
};

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct selection *selection = state->input;

	if (key == ARGP_KEY_NO_ARGS)
		argp_usage(state);
	if (key != ARGP_KEY_ARG)
		return ARGP_ERR_UNKNOWN;
	for (int i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(commands[i].name, arg))
			selection->command = &commands[i];
	if (!selection->command)
		argp_error(state, "\"%s\" is not a command", arg);
	selection->first_arg = state->next - 1;
	state->next = state->argc;
	return 0;
}

static char *list_commands(int key, const char *text, void *input)
{
	char *out;
	size_t out_bytes;
	FILE *f;

	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	f = open_memstream(&out, &out_bytes);
	if (!f)
		return NULL;
	fprintf(f, "Commands:\n");
	for (int i = 0; i < COMMAND_COUNT; i++)
		fprintf(f, "  %-10s %s\n", commands[i].name, commands[i].help);
	fprintf(f,
		"\nEach command has its own --help. Exit codes: 0 success, 1 "
		"failure, 2 usage,\n3 invalid document or settings, 4 "
		"conflict, 5 platform unavailable,\n6 replay differs.");
	fclose(f);
	return out;
}

int main(int argc, char **argv)
{
	struct selection selection = { 0 };
	struct argp argp = { .parser = parse_argument,
			     .args_doc = "COMMAND [ARGUMENT...]",
			     .doc = doc,
			     .help_filter = list_commands };

	argp_err_exit_status = st_exit_code(ST_USAGE);
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &selection))
		return st_exit_code(ST_USAGE);
	return selection.command->run(argc - selection.first_arg,
				      argv + selection.first_arg);
}
