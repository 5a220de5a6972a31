/*
 * world-2 CASE trouble|calm: runs a case of the review, in the repository's
 * root; calm leaves the disruption out.  Writes record.txt into the folder
 * REVIEW_DIR.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

enum {
	MAX_FDS = 256,
	LIMIT_MS = 115000,
	/* A longer gap shows that the machine did not run the stand-ins. */
	STALL_MS = 500,
	RECORD_BYTES = 4 << 20,
	CLIENT_PORT = 8172,
	STORE_PORT = 8169,
	STORE_HOST = 100,
};

typedef struct watched {
	int fd;
	ready_fn *fn;
	void *ctx;
} watched_t;

bounds_t bounds = {
	.grace_s = 6,
	.drain_ms = 3000,
	.apply_ms = 3000,
	.reorder_ms = 2000,
	.recovery_s = 12,
	.heartbeat_ms = 1200,
};

static watched_t watched[MAX_FDS];
static int watched_count;
static int64_t started_ms;
static uint32_t random_state = 12345;
static FILE *record_file;
static volatile sig_atomic_t interrupted;

static int64_t
clock_ms(clockid_t clock)
{
	struct timespec t;

	clock_gettime(clock, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - started_ms;
}

int64_t
wall_ms(void)
{
	return clock_ms(CLOCK_REALTIME);
}

uint32_t
random_u32(void)
{
	random_state = random_state * 1664525U + 1013904223U;
	return random_state ^ random_state >> 16;
}

void
record(const char *fmt, ...)
{
	va_list ap;

	if (record_file == NULL)
		return;
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
}

void
cannot_run(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	record("cannot run");
	vms_end();
	if (record_file != NULL)
		fclose(record_file);
	exit(2);
}

uint32_t
ip_number(int host)
{
	uint32_t pid = (uint32_t)getpid();

	return 127U << 24 | (64 + pid / 250 % 180) << 16 | pid % 250 << 8 |
	    (uint32_t)host;
}

const char *
ip_text(int host)
{
	static char buffers[4][16];
	static int next;
	char *text = buffers[next++ % 4];
	uint32_t ip = ip_number(host);

	snprintf(text, sizeof(buffers[0]), "%u.%u.%u.%u", ip >> 24,
	    ip >> 16 & 255, ip >> 8 & 255, ip & 255);
	return text;
}

static int
bind_socket(int type, int host, int port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(ip_number(host)),
	};
	int one = 1, fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	if (fd >= 0 && type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0)
		cannot_run("cannot bind %s:%d", ip_text(host), port);
	return fd;
}

int
udp_open(int host, int port)
{
	return bind_socket(SOCK_DGRAM, host, port);
}

int
tcp_listen(int host, int port)
{
	int fd = bind_socket(SOCK_STREAM, host, port);

	if (listen(fd, 128) < 0 || fcntl(fd, F_SETFL, O_NONBLOCK) < 0)
		cannot_run("cannot listen");
	return fd;
}

void
watch(int fd, ready_fn *fn, void *ctx)
{
	if (watched_count == MAX_FDS)
		cannot_run("too many descriptors");
	watched[watched_count++] =
	    (watched_t){ .fd = fd, .fn = fn, .ctx = ctx };
}

void
unwatch(int fd)
{
	int i;

	for (i = 0; i < watched_count; i++)
		if (watched[i].fd == fd) {
			watched[i] = watched[--watched_count];
			return;
		}
}

/* Returns the entry of a descriptor that is still watched, or NULL. */
static const watched_t *
find_watched(int fd)
{
	int i;

	for (i = 0; i < watched_count; i++)
		if (watched[i].fd == fd)
			return &watched[i];
	return NULL;
}

static void
step(void)
{
	struct pollfd fds[MAX_FDS];
	int i, count = watched_count;

	for (i = 0; i < count; i++)
		fds[i] =
		    (struct pollfd){ .fd = watched[i].fd, .events = POLLIN };
	if (poll(fds, (nfds_t)count, 1) > 0)
		for (i = 0; i < count; i++) {
			const watched_t *w = fds[i].revents == 0
			    ? NULL
			    : find_watched(fds[i].fd);

			if (w != NULL)
				w->fn(w->ctx, w->fd);
		}
	store_tick();
	vms_tick();
	flows_tick();
}

void
run_for(int64_t ms)
{
	int64_t until_ms = now_ms() + ms, before_ms = now_ms();

	while (now_ms() < until_ms) {
		if (now_ms() - before_ms > STALL_MS)
			cannot_run("the machine stalled for %lld ms",
			    (long long)(now_ms() - before_ms));
		before_ms = now_ms();
		if (now_ms() > LIMIT_MS)
			cannot_run("the case took too long");
		if (interrupted)
			cannot_run("interrupted");
		step();
	}
}

static void
on_signal(int sig)
{
	(void)sig;
	interrupted = 1;
}

int
main(int argc, char **argv)
{
	const char *dir = getenv("REVIEW_DIR");
	char path[512];
	int status;

	if (argc != 3 || dir == NULL ||
	    (strcmp(argv[2], "trouble") != 0 && strcmp(argv[2], "calm") != 0))
		cannot_run("usage: REVIEW_DIR=DIR world-2 CASE trouble|calm");
	started_ms = clock_ms(CLOCK_MONOTONIC);
	snprintf(path, sizeof(path), "%s/record.txt", dir);
	record_file = fopen(path, "w");
	if (record_file == NULL)
		cannot_run("cannot write %s", path);
	/* Writes to the disk may take long. */
	setvbuf(record_file, NULL, _IOFBF, RECORD_BYTES);
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	store_open(STORE_HOST, STORE_PORT);
	flows_open(CLIENT_PORT);
	status = run_case(argv[1], strcmp(argv[2], "trouble") == 0);
	record("result=%s",
	    status == 0	      ? "held"
		: status == 1 ? "broken"
			      : "could not run");
	vms_end();
	fclose(record_file);
	return status;
}
