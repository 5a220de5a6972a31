#ifndef KF_IO_LOOP_H
#define KF_IO_LOOP_H

#include <stdbool.h>

struct event_base;

/*
 * NAME
 *	io_loop - waits for descriptors and HTTP connections
 *
 * DESCRIPTION
 *	An event base of libevent for one thread.  It uses poll(2), as a VM has
 *	few connections, and timers with the precision of the clock.
 */

enum { IO_LOOP_MAX_FDS = 4 };

typedef struct io_loop io_loop_t;

/* Returns NULL with a message in kf_status if memory is short. */
io_loop_t *io_loop_new(void);
void io_loop_delete(io_loop_t *loop);

/* Watches a descriptor; *ready is set when it is readable.  Returns false if
 * IO_LOOP_MAX_FDS are watched already or memory is short. */
bool io_loop_watch(io_loop_t *loop, int fd, bool *ready);

/*
 * Runs the HTTP connections until a watched descriptor is readable, a callback
 * calls io_loop_stop, or wait_ms have passed.  A part of an answer does not end
 * the wait: on a link of 10 Mbit/s a listing arrives in some 80 parts.
 */
void io_loop_wait(io_loop_t *loop, int wait_ms);
void io_loop_stop(io_loop_t *loop);

struct event_base *io_loop_base(io_loop_t *loop);

#endif
