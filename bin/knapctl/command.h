#ifndef COMMAND_H
#define COMMAND_H

#include <argp.h>
#include <stdint.h>

#include "kf/declaration.h"
#include "table.h"

/*
 * NAME
 *	command - a subcommand of knapctl
 *
 * DESCRIPTION
 *	A subcommand is one entry of the table in main.c.  run gets its own
 *	arguments, argv[0] being "knapctl NAME", and returns an exit status.
 */

enum {
	EXIT_OK = 0,
	EXIT_FINDING = 1, /* refused, unreachable, or a finding */
	EXIT_USAGE = 2,
};

typedef struct command {
	const char *name;
	const char *text; /* one line of help */
	int (*run)(int argc, char **argv);
} command_t;

int command_check(int argc, char **argv);
int command_diff(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_keys(int argc, char **argv);
int command_packets(int argc, char **argv);
int command_show(int argc, char **argv);

/* Options that several subcommands have. */
typedef struct common_options {
	format_t format;
	int64_t at_s; /* UTC; now if not given */
} common_options_t;

/* Parsers with a common_options_t as input of each child. */
extern const struct argp_child format_children[]; /* --format */
extern const struct argp_child time_children[];	  /* --format, --at */

void common_options_init(common_options_t *options);

/* Parses a whole number of an option or ends with a usage error. */
int64_t option_number(
    struct argp_state *state, const char *text, int64_t min, int64_t max);

/* Prints an error of a document to stderr as "file:line: text". */
void print_error(void *ctx, const char *file, int line, const char *text);

/* Returns NULL after printing every error. */
kf_declaration_t *declaration_load(const char *path);

#endif
