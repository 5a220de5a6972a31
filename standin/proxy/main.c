#include <sys/socket.h>

#include <netinet/in.h>

#include <argp.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "kf/standin.h"
#include "link.h"

enum {
	OPT_LISTEN = 'l',
	OPT_TO = 't',
	OPT_CONTROL = 'c',
	BACKLOG = 64,
	MAX_DELAY_MS = 60000,
};

typedef struct options {
	kf_addr_t listen;
	kf_addr_t to;
	kf_addr_t control;
} options_t;

typedef struct proxy {
	kf_sim_loop_t *loop;
	links_t *links;
	int listen_fd;
} proxy_t;

static const struct argp_option option_table[] = {
	{ "listen", OPT_LISTEN, "ADDRESS", 0, "Address of the proxy", 0 },
	{ "to", OPT_TO, "ADDRESS", 0, "Server that it passes on to", 0 },
	{ "control", OPT_CONTROL, "ADDRESS", 0, "Control port", 0 },
	{ 0 },
};

static kf_status_t
set_option(options_t *o, int key, const char *arg)
{
	switch (key) {
	case OPT_LISTEN:
		return kf_sim_addr_parse(arg, &o->listen);
	case OPT_TO:
		return kf_sim_addr_parse(arg, &o->to);
	case OPT_CONTROL:
		return kf_sim_addr_parse(arg, &o->control);
	default:
		return KF_ERR_UNSUPPORTED;
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *o = state->input;

	if (key == ARGP_KEY_END &&
	    (o->listen.port == 0 || o->to.port == 0 || o->control.port == 0))
		argp_error(state, "--listen, --to and --control are required");
	if (arg == NULL)
		return ARGP_ERR_UNKNOWN;
	return kf_sim_argp_result(state, set_option(o, key, arg));
}

/* Commands without an argument; stats only prints. */
static kf_status_t
run_without_argument(void *ctx, int argc, char **argv, FILE *out)
{
	static const struct {
		const char *name;
		void (*run)(links_t *links);
	} table[] = {
		{ "heal", links_clear_faults },
		{ "silence", links_silence },
		{ "reset", links_reset },
	};
	proxy_t *p = ctx;
	size_t i;

	(void)argc;
	for (i = 0; i < sizeof(table) / sizeof(table[0]); i++)
		if (strcmp(table[i].name, argv[0]) == 0)
			table[i].run(p->links);
	links_print(p->links, out);
	return KF_OK;
}

static kf_status_t
run_delay(void *ctx, int argc, char **argv, FILE *out)
{
	proxy_t *p = ctx;
	uint64_t ms = 0;
	kf_status_t status = kf_sim_parse_u64(argv[1], MAX_DELAY_MS, &ms);

	(void)argc;
	if (status == KF_OK)
		links_delay(p->links, (int64_t)ms * 1000);
	links_print(p->links, out);
	return status;
}

static kf_status_t
run_cut(void *ctx, int argc, char **argv, FILE *out)
{
	static const char *const names[DIRECTION_COUNT] = { "up", "down" };
	proxy_t *p = ctx;
	int i;

	(void)argc;
	for (i = 0; i < DIRECTION_COUNT; i++)
		if (strcmp(names[i], argv[1]) == 0)
			break;
	if (i == DIRECTION_COUNT)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not up or down", argv[1]);
	links_cut(p->links, (direction_t)i);
	links_print(p->links, out);
	return KF_OK;
}

static const kf_sim_command_t commands[] = {
	{ "heal", 0, 0, "", run_without_argument },
	{ "silence", 0, 0, "", run_without_argument },
	{ "reset", 0, 0, "", run_without_argument },
	{ "stats", 0, 0, "", run_without_argument },
	{ "delay", 1, 1, "MS", run_delay },
	{ "cut", 1, 1, "up|down", run_cut },
	{ 0 },
};

static void
on_connection(void *ctx)
{
	proxy_t *p = ctx;
	int fd;

	fd = accept(p->listen_fd, NULL, NULL);
	if (fd >= 0)
		links_accept(p->links, fd);
}

static kf_status_t
listen_on(kf_addr_t addr, int *fd)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(addr.port),
		.sin_addr.s_addr = htonl(addr.ip),
	};
	int on = 1;

	*fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0 ||
	    setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
	    bind(*fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(*fd, BACKLOG) != 0)
		return kf_status_set(KF_ERR_IO,
		    "cannot listen on the address given by --listen");
	return KF_OK;
}

static kf_status_t
run(const options_t *o)
{
	proxy_t p = { .listen_fd = -1 };
	kf_sim_control_t *control = NULL;
	kf_status_t status = KF_ERR_NO_MEMORY;

	p.loop = kf_sim_loop_new();
	p.links = links_new(o->to);
	if (p.loop != NULL && p.links != NULL)
		status = listen_on(o->listen, &p.listen_fd);
	if (status == KF_OK)
		status =
		    kf_sim_loop_add(p.loop, p.listen_fd, on_connection, &p);
	if (status == KF_OK)
		control = kf_sim_control_new(p.loop, o->control, commands, &p);
	if (control != NULL) {
		printf("event=ready\n");
		kf_sim_loop_run(p.loop);
		printf("event=summary ");
		links_print(p.links, stdout);
		printf("\n");
	}
	status = control == NULL ? KF_ERR_IO : KF_OK;
	kf_sim_control_delete(control);
	links_delete(p.links);
	kf_sim_loop_delete(p.loop);
	if (p.listen_fd >= 0)
		close(p.listen_fd);
	return status;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = option_table,
		.parser = parse_option,
		.doc = "TCP proxy with faults, on loopback addresses only." };
	options_t options = { 0 };

	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, ARGP_NO_ARGS, NULL, &options);
	if (run(&options) == KF_OK)
		return 0;
	fprintf(stderr, "standin-proxy: %s\n", kf_status_message());
	return 1;
}
