/*
 * standin-check compares the ledgers of upstreams with the results of
 * callers.  Exit status: 0 if every invariant holds, 1 if one is broken or a
 * line is malformed, 2 if a file cannot be read or there are too many requests.
 */
#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "kf/check.h"

typedef struct state {
	kf_sim_check_t *check;
	size_t ledgers;
	size_t results;
	kf_status_t failed;
} state_t;

typedef kf_status_t line_fn(kf_sim_check_t *check, const char *line);

static const struct argp_option option_table[] = {
	{ "ledger", 'l', "FILE", 0, "Ledger of upstreams (repeatable)", 0 },
	{ "results", 'r', "FILE", 0, "Results of a caller (repeatable)", 0 },
	{ 0 },
};

static kf_status_t
read_lines(state_t *state, const char *path, line_fn *fn)
{
	kf_status_t status = KF_OK;
	char *line = NULL;
	size_t cap = 0;
	FILE *file;

	file = fopen(path, "re");
	if (file == NULL) {
		fprintf(stderr, "standin-check: cannot open %s: %s\n", path,
		    strerror(errno));
		return KF_ERR_IO;
	}
	while (status == KF_OK && getline(&line, &cap, file) > 0) {
		status = fn(state->check, line);
		if (status != KF_OK)
			fprintf(stderr, "standin-check: %s: %s\n", path,
			    kf_status_message());
		/* Malformed lines are counted and reported at the end. */
		if (status == KF_ERR_INVALID)
			status = KF_OK;
	}
	free(line);
	fclose(file);
	return status;
}

static void
read_file(state_t *state, const char *path, line_fn *fn)
{
	kf_status_t status;

	status = read_lines(state, path, fn);
	if (status != KF_OK)
		state->failed = status;
}

static error_t
parse_option(int key, char *arg, struct argp_state *argp)
{
	state_t *state = argp->input;

	switch (key) {
	case 'l':
		state->ledgers++;
		read_file(state, arg, kf_sim_check_ledger_line);
		return 0;
	case 'r':
		state->results++;
		read_file(state, arg, kf_sim_check_result_line);
		return 0;
	case ARGP_KEY_END:
		if (state->ledgers == 0 || state->results == 0)
			argp_error(argp, "--ledger and --results are required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
print_counts(const kf_sim_check_counts_t *c)
{
	printf("event=check requests=%" PRIu64 " executions=%" PRIu64
	       " doubled=%" PRIu64 " misrouted=%" PRIu64
	       " false_not_run=%" PRIu64 " lost_answered=%" PRIu64
	       " repeated=%" PRIu64 " unreported=%" PRIu64 " malformed=%" PRIu64
	       "\n",
	    c->requests, c->executions, c->doubled, c->misrouted,
	    c->false_not_run, c->lost_answered, c->repeated, c->unreported,
	    c->malformed);
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.doc = "Compares ledgers with results." };
	state_t state = { .check = kf_sim_check_new() };
	kf_sim_check_counts_t counts;

	if (state.check == NULL)
		return 2;
	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, NULL, &state);
	counts = kf_sim_check_counts(state.check);
	kf_sim_check_delete(state.check);
	if (state.failed != KF_OK)
		return 2;
	print_counts(&counts);
	return kf_sim_check_passed(&counts) ? 0 : 1;
}
