#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

/*
 * Subcommands: name, help. Each takes its own argument vector, with its name in
 * argv[0], and returns an exit code.
 */
#define CMD_LIST(X)                                            \
	X(serve, "run an entry host")                          \
	X(check, "check a document without contacting a host") \
	X(diff, "show the changes that a document makes")      \
	X(apply, "submit a document to an entry host")         \
	X(show, "print the document in force or an older one") \
	X(history, "print the audit trail")                    \
	X(status, "print state and counters of entry hosts")   \
	X(drain, "ask an entry host to stop gracefully")       \
	X(replay, "replay a recorded trace")                   \
	X(explain, "print the log lines about a call in order")

#define X(name, help) int cmd_##name(int argc, char **argv);
CMD_LIST(X)
#undef X

#endif
