#include <sys/socket.h>

#include <netinet/in.h>

#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/standin.h"
#include "link.h"

enum {
	BUFFER_BYTES = 16384,
	/* Interval at which a thread that holds bytes checks the faults. */
	POLL_US = 2000,
};

typedef struct link {
	links_t *links;
	struct link *next;
	int fd[DIRECTION_COUNT]; /* each read by the thread of its direction */
	int threads;
	bool silent;
	bool reset;
} link_t;

typedef struct direction_thread {
	link_t *link;
	direction_t direction;
} direction_thread_t;

struct links {
	kf_addr_t server;
	pthread_mutex_t mutex; /* guards the members below and all links */
	pthread_cond_t idle;   /* signaled when the last link is closed */
	link_t *first;
	int64_t delay_us;
	bool cut[DIRECTION_COUNT];
	bool stopping;
	uint64_t accepted;
	uint64_t refused;
	uint64_t bytes;
};

links_t *
links_new(kf_addr_t server)
{
	links_t *l;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return NULL;
	l->server = server;
	pthread_mutex_init(&l->mutex, NULL);
	pthread_cond_init(&l->idle, NULL);
	return l;
}

/* Wakes threads blocked in recv; sends nothing to the peers. */
static void
link_shutdown_reads(link_t *link)
{
	shutdown(link->fd[DIRECTION_UP], SHUT_RD);
	shutdown(link->fd[DIRECTION_DOWN], SHUT_RD);
}

void
links_delete(links_t *l)
{
	link_t *link;

	if (l == NULL)
		return;
	pthread_mutex_lock(&l->mutex);
	l->stopping = true;
	for (link = l->first; link != NULL; link = link->next)
		link_shutdown_reads(link);
	while (l->first != NULL)
		pthread_cond_wait(&l->idle, &l->mutex);
	pthread_mutex_unlock(&l->mutex);
	pthread_cond_destroy(&l->idle);
	pthread_mutex_destroy(&l->mutex);
	free(l);
}

/* Called by each thread at its end; the last one closes the link. */
static void
link_release(link_t *link)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
	links_t *l = link->links;
	link_t **at;
	int i;

	pthread_mutex_lock(&l->mutex);
	if (--link->threads == 0) {
		for (at = &l->first; *at != link; at = &(*at)->next)
			;
		*at = link->next;
		for (i = 0; i < DIRECTION_COUNT; i++) {
			if (link->reset)
				setsockopt(link->fd[i], SOL_SOCKET, SO_LINGER,
				    &at_once, sizeof(at_once));
			close(link->fd[i]);
		}
		free(link);
		if (l->first == NULL)
			pthread_cond_signal(&l->idle);
	}
	pthread_mutex_unlock(&l->mutex);
}

/* Waits while a fault holds the bytes; false if the link is closed. */
static bool
wait_while_held(const direction_thread_t *direction_thread, int64_t read_us)
{
	links_t *l = direction_thread->link->links;
	bool held = true, ends = false;

	while (held && !ends) {
		pthread_mutex_lock(&l->mutex);
		ends = l->stopping || direction_thread->link->reset;
		held = direction_thread->link->silent ||
		    l->cut[direction_thread->direction] ||
		    kf_sim_mono_us() - read_us < l->delay_us;
		pthread_mutex_unlock(&l->mutex);
		if (held && !ends)
			usleep(POLL_US);
	}
	return !ends;
}

static bool
send_all(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

static void *
direction_thread_main(void *ctx)
{
	direction_thread_t *direction_thread = ctx;
	link_t *link = direction_thread->link;
	int to = link->fd[1 - direction_thread->direction];
	char data[BUFFER_BYTES];
	ssize_t n;

	while ((n = recv(link->fd[direction_thread->direction], data,
		    sizeof(data), 0)) > 0 &&
	    wait_while_held(direction_thread, kf_sim_mono_us()) &&
	    send_all(to, data, (size_t)n)) {
		pthread_mutex_lock(&link->links->mutex);
		link->links->bytes += (uint64_t)n;
		pthread_mutex_unlock(&link->links->mutex);
	}
	/* On a silenced link neither end learns that the other has closed. */
	if (wait_while_held(direction_thread, 0)) {
		shutdown(to, SHUT_WR);
		if (n < 0)
			shutdown(to, SHUT_RD);
	}
	link_release(link);
	free(direction_thread);
	return NULL;
}

static bool
start_direction_thread(link_t *link, direction_t direction)
{
	direction_thread_t *direction_thread;
	pthread_t thread;

	direction_thread = malloc(sizeof(*direction_thread));
	if (direction_thread == NULL)
		return false;
	*direction_thread =
	    (direction_thread_t){ .link = link, .direction = direction };
	if (pthread_create(
		&thread, NULL, direction_thread_main, direction_thread) != 0) {
		free(direction_thread);
		return false;
	}
	pthread_detach(thread);
	return true;
}

static int
connect_to(kf_addr_t server)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(server.port),
		.sin_addr.s_addr = htonl(server.ip),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 && connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

void
links_accept(links_t *l, int client_fd)
{
	int server_fd = connect_to(l->server), i;
	link_t *link = server_fd < 0 ? NULL : calloc(1, sizeof(*link));

	pthread_mutex_lock(&l->mutex);
	if (link == NULL) {
		l->refused++;
		pthread_mutex_unlock(&l->mutex);
		close(client_fd);
		if (server_fd >= 0)
			close(server_fd);
		return;
	}
	*link = (link_t){
		.links = l,
		.next = l->first,
		.fd = { client_fd, server_fd },
		.threads = DIRECTION_COUNT,
	};
	l->first = link;
	l->accepted++;
	pthread_mutex_unlock(&l->mutex);
	for (i = 0; i < DIRECTION_COUNT; i++) {
		if (start_direction_thread(link, (direction_t)i))
			continue;
		link_shutdown_reads(link);
		link_release(link);
	}
}

void
links_clear_faults(links_t *l)
{
	pthread_mutex_lock(&l->mutex);
	l->delay_us = 0;
	l->cut[DIRECTION_UP] = false;
	l->cut[DIRECTION_DOWN] = false;
	pthread_mutex_unlock(&l->mutex);
}

void
links_delay(links_t *l, int64_t delay_us)
{
	pthread_mutex_lock(&l->mutex);
	l->delay_us = delay_us;
	pthread_mutex_unlock(&l->mutex);
}

void
links_cut(links_t *l, direction_t direction)
{
	pthread_mutex_lock(&l->mutex);
	l->cut[direction] = true;
	pthread_mutex_unlock(&l->mutex);
}

void
links_silence(links_t *l)
{
	link_t *link;

	pthread_mutex_lock(&l->mutex);
	for (link = l->first; link != NULL; link = link->next)
		link->silent = true;
	pthread_mutex_unlock(&l->mutex);
}

void
links_reset(links_t *l)
{
	link_t *link;

	pthread_mutex_lock(&l->mutex);
	for (link = l->first; link != NULL; link = link->next) {
		link->reset = true;
		link_shutdown_reads(link);
	}
	pthread_mutex_unlock(&l->mutex);
}

void
links_print(links_t *l, FILE *out)
{
	const link_t *link;
	uint64_t open = 0, silent = 0;

	pthread_mutex_lock(&l->mutex);
	for (link = l->first; link != NULL; link = link->next) {
		open++;
		silent += link->silent;
	}
	fprintf(out,
	    "accepted=%llu refused=%llu bytes=%llu open=%llu silent=%llu "
	    "delay_us=%lld cut_up=%d cut_down=%d",
	    (unsigned long long)l->accepted, (unsigned long long)l->refused,
	    (unsigned long long)l->bytes, (unsigned long long)open,
	    (unsigned long long)silent, (long long)l->delay_us,
	    l->cut[DIRECTION_UP], l->cut[DIRECTION_DOWN]);
	pthread_mutex_unlock(&l->mutex);
}
