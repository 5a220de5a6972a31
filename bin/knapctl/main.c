#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

const char *argp_program_version = "knapctl " KF_VERSION;

static const command_t commands[] = {
	{ "check", "check declarations, VM lists, keys and settings",
	    command_check },
	{ "diff", "show what a new declaration changes and moves",
	    command_diff },
	{ "explain", "show where the flows of a declaration go",
	    command_explain },
	{ "keys", "list the keys of documents and settings", command_keys },
	{ "packets", "show the state of running forwarders or explain a flow",
	    command_packets },
	{ "show", "show the state of running balancers", command_show },
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

/* The subcommand given on the command line. */
typedef struct choice {
	const command_t *command;
	int index; /* index of the subcommand name in argv */
} choice_t;

static const command_t *
command_find(const char *name)
{
	size_t i;

	for (i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	choice_t *choice = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		choice->command = command_find(arg);
		if (choice->command == NULL)
			argp_error(state, "'%s' is not a command", arg);
		choice->index = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no command is given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Appends the list of commands to the output of --help. */
static char *
help_filter(int key, const char *text, void *input)
{
	char *list = NULL;
	size_t i, len;
	FILE *stream;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	stream = open_memstream(&list, &len);
	if (stream == NULL)
		return NULL;
	fprintf(stream, "Commands:\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(
		    stream, "  %-10s %s\n", commands[i].name, commands[i].text);
	fprintf(stream,
	    "\n'knapctl COMMAND --help' lists the options of a command.\n"
	    "Exit status: 0 no finding, 1 refused, unreachable or finding, 2 "
	    "usage.");
	fclose(stream);
	return list;
}

static const struct argp argp = {
	.parser = parse_option,
	.args_doc = "COMMAND [ARGUMENT...]",
	.doc = "Checks and explains the documents of knapweedfield and shows "
	       "the state of its balancers.\v",
	.help_filter = help_filter,
};

int
main(int argc, char **argv)
{
	choice_t choice = { 0 };
	char name[64];

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &choice) != 0 ||
	    choice.command == NULL)
		return EXIT_USAGE;
	snprintf(name, sizeof(name), "knapctl %s", choice.command->name);
	argv[choice.index] = name;
	return choice.command->run(argc - choice.index, argv + choice.index);
}
