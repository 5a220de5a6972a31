#include <stdio.h>
#include <stdlib.h>

#include "kf/addr.h"
#include "kf/http_client.h"
#include "command.h"

enum {
	MAX_SERVERS = 256,
	MAX_BODY_BYTES = 64 << 20,
	TIMEOUT_MAX_MS = 60000,
	TIMEOUT_DEFAULT_MS = 2000,
	HTTP_OK = 200,
};

typedef struct packets {
	kf_addr_t servers[MAX_SERVERS];
	uint32_t server_count;
	uint32_t timeout_ms;
	const char *client;  /* client of the flow to explain, or NULL */
	const char *address; /* destination of that flow, or NULL */
	uint32_t left;	     /* requests without an answer yet */
	bool failed;
} packets_t;

static const struct argp_option options[] = {
	{ .name = "server",
	    .key = 's',
	    .arg = "IP:PORT",
	    .doc = "peer_address of a forwarder (repeatable)" },
	{ .name = "client",
	    .key = 'c',
	    .arg = "IP:PORT",
	    .doc = "explain a flow from this address" },
	{ .name = "address",
	    .key = 'a',
	    .arg = "IP:PORT",
	    .doc = "explain a flow to this address of a route" },
	{ .name = "timeout-ms",
	    .key = 't',
	    .arg = "N",
	    .doc = "longest wait for each answer; default: 2000" },
	{ 0 },
};

static void
add_server(packets_t *p, const char *text, struct argp_state *state)
{
	if (p->server_count == MAX_SERVERS)
		argp_error(
		    state, "more than %d servers are given", MAX_SERVERS);
	else if (kf_addr_parse(text, &p->servers[p->server_count]) != KF_OK)
		argp_error(state, "%s", kf_status_message());
	else
		p->server_count++;
}

/*
 * Exits with a usage error if text is not an address.  Returns text as it is,
 * since the address is sent to the forwarder in the path of the request.
 */
static const char *
check_address(const char *text, struct argp_state *state)
{
	kf_addr_t addr;

	if (kf_addr_parse(text, &addr) != KF_OK)
		argp_error(state, "%s", kf_status_message());
	return text;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	packets_t *p = state->input;

	switch (key) {
	case 's':
		add_server(p, arg, state);
		return 0;
	case 'c':
		p->client = check_address(arg, state);
		return 0;
	case 'a':
		p->address = check_address(arg, state);
		return 0;
	case 't':
		p->timeout_ms =
		    (uint32_t)option_number(state, arg, 1, TIMEOUT_MAX_MS);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		return 0;
	case ARGP_KEY_END:
		if (p->server_count == 0)
			argp_error(state, "no --server is given");
		if ((p->client == NULL) != (p->address == NULL))
			argp_error(state,
			    "--client and --address must be given together");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
on_answer(void *ctx, uint32_t tag, const http_answer_t *answer)
{
	packets_t *p = ctx;
	char text[KF_ADDR_TEXT_BYTES];

	p->left--;
	kf_addr_format(p->servers[tag], text);
	if (answer->status == HTTP_OK) {
		fwrite(answer->body, 1, answer->len, stdout);
		return;
	}
	p->failed = true;
	if (answer->error != NULL)
		fprintf(stderr, "%s: %s\n", text, answer->error);
	else
		fprintf(stderr, "%s: HTTP status %ld\n", text, answer->status);
}

/*
 * Queries the servers one after the other, so that the output of one is not
 * mixed with the output of another.
 */
static int
query_servers(packets_t *p)
{
	io_loop_t *loop = io_loop_new();
	http_client_t *client =
	    loop == NULL ? NULL : http_client_new(loop, MAX_BODY_BYTES);
	char path[HTTP_PATH_BYTES] = "/state";
	uint32_t i;

	if (client == NULL) {
		fprintf(stderr, "%s\n", kf_status_message());
		io_loop_delete(loop);
		return EXIT_FINDING;
	}
	if (p->client != NULL)
		snprintf(path, sizeof(path), "/explain?client=%s&address=%s",
		    p->client, p->address);
	for (i = 0; i < p->server_count; i++) {
		p->left = 1;
		if (http_client_get(client, p->servers[i], path, p->timeout_ms,
			i, on_answer, p) != KF_OK) {
			fprintf(stderr, "%s\n", kf_status_message());
			p->failed = true;
			continue;
		}
		while (p->left > 0) {
			http_client_run(client);
			if (p->left > 0)
				io_loop_wait(loop, (int)p->timeout_ms);
		}
	}
	http_client_delete(client);
	io_loop_delete(loop);
	return p->failed ? EXIT_FINDING : EXIT_OK;
}

int
command_packets(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Shows how running forwarders see their upstreams and "
		       "other VMs, or where a flow would go and why, as "
		       "key=value lines.",
	};
	packets_t packets = { .timeout_ms = TIMEOUT_DEFAULT_MS };

	argp_parse(&argp, argc, argv, 0, NULL, &packets);
	return query_servers(&packets);
}
