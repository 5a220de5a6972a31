/*
 * standin-control ADDRESS COMMAND... sends one command to a stand-in's
 * control port and prints the answer.
 */
#include <argp.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "kf/standin.h"

enum { ANSWER_WAIT_MS = 2000 };

typedef struct options {
	kf_addr_t addr;
	int arg_count;
	char line[KF_SIM_COMMAND_BYTES];
} options_t;

static void
options_add_word(options_t *o, const char *word, struct argp_state *state)
{
	size_t len = strlen(o->line);
	int n;

	n = snprintf(o->line + len, sizeof(o->line) - len, "%s%s",
	    len > 0 ? " " : "", word);
	if (n < 0 || (size_t)n >= sizeof(o->line) - len)
		argp_error(state, "command is too long");
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *o = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (o->arg_count++ > 0)
			options_add_word(o, arg, state);
		else if (kf_sim_addr_parse(arg, &o->addr) != KF_OK)
			argp_error(state, "%s", kf_status_message());
		return 0;
	case ARGP_KEY_END:
		if (o->arg_count < 2)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
exchange(const options_t *o)
{
	uint8_t answer[KF_SIM_DATAGRAM_BYTES];
	kf_addr_t bind_addr = { .ip = 127u << 24 | 1 };
	struct pollfd pfd = { .events = POLLIN };
	kf_addr_t src;
	ssize_t n;

	if (kf_sim_udp_open(bind_addr, &pfd.fd) != KF_OK ||
	    !kf_sim_udp_send(
		pfd.fd, o->addr, (const uint8_t *)o->line, strlen(o->line))) {
		fprintf(stderr, "standin-control: cannot send the command\n");
		return 2;
	}
	if (poll(&pfd, 1, ANSWER_WAIT_MS) != 1 ||
	    (n = kf_sim_udp_recv(pfd.fd, &src, answer, sizeof(answer))) < 0) {
		fprintf(stderr, "standin-control: no answer\n");
		return 2;
	}
	close(pfd.fd);
	fwrite(answer, 1, (size_t)n, stdout);
	return n > 9 && memcmp(answer, "status=ok", 9) == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .parser = parse_option,
		.args_doc = "ADDRESS COMMAND...",
		.doc = "Sends a command to a stand-in's control port." };
	options_t options = { 0 };

	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &options);
	return exchange(&options);
}
