#ifndef COMMAND_H
#define COMMAND_H

#include <argp.h>
#include <stdint.h>

#include "kf/declaration.h"
#include "table.h"

/*
 * NAME
 *	command - subcommands of knapctl
 *
 * DESCRIPTION
 *	Each subcommand has an entry in the table in main.c.  Its run function
 *	gets the arguments after the name of the subcommand, with argv[0] set
 *	to "knapctl NAME", and returns the exit status of the program.
 */

enum {
	EXIT_OK = 0,
	EXIT_FINDING = 1, /* file refused, server unreachable, or a finding */
	EXIT_USAGE = 2,
};

typedef struct command {
	const char *name;
	const char *text; /* one-line description for --help */
	int (*run)(int argc, char **argv);
} command_t;

int command_check(int argc, char **argv);
int command_diff(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_keys(int argc, char **argv);
int command_packets(int argc, char **argv);
int command_show(int argc, char **argv);

/* Options shared by several subcommands. */
typedef struct common_options {
	format_t format;
	int64_t at_s; /* UTC time for ramps; default: now */
} common_options_t;

/*
 * Child parsers for argp.  Each element needs a pointer to a common_options_t
 * in child_inputs of the parent parser.
 */
extern const struct argp_child format_children[]; /* --format */
extern const struct argp_child time_children[];	  /* --format, --at */

void common_options_init(common_options_t *options);

/*
 * Parses the value of an option as a whole number from min to max.  Exits with
 * a usage error if it is anything else.
 */
int64_t option_number(
    struct argp_state *state, const char *text, int64_t min, int64_t max);

/*
 * Error callback of the document parsers.  Prints "file:line: text" to stderr,
 * without the line number if it is 0.
 */
void print_error(void *ctx, const char *file, int line, const char *text);

/* Returns NULL if the file cannot be read or is refused; prints every error. */
kf_declaration_t *declaration_load(const char *path);

#endif
