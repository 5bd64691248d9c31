#ifndef COMMAND_H
#define COMMAND_H

/*
 * Subcommands. Each takes its own argument vector, argv[0] being its name,
 * and returns an exit code.
 */
#define CMD_LIST(X)                                            \
	X(serve, "run an entry host")                          \
	X(check, "check a document without contacting a host") \
	X(diff, "show what a document changes")                \
	X(apply, "submit a document to an entry host")         \
	X(show, "print the document in force or an older one") \
	X(history, "print the audit trail")                    \
	X(status, "print figures of entry hosts")              \
	X(drain, "ask an entry host to stop gracefully")       \
	X(replay, "replay a recorded trace")                   \
	X(explain, "tell the story of a call from logs")

#define X(name, help) int cmd_##name(int argc, char **argv);
CMD_LIST(X)
#undef X

#endif
