#ifndef KF_PROXY_LINK_H
#define KF_PROXY_LINK_H

#include <stdint.h>
#include <stdio.h>

#include "kf/addr.h"

/*
 * NAME
 *	links - proxied TCP connections and their faults
 *
 * DESCRIPTION
 *	A link is a connection of a client and the connection to the server
 *	that belongs to it.  Each link has two threads, one for each
 *	direction.  Delay and cut apply to all links, including new ones.
 *	Silence and reset apply only to the links that are open.
 */

typedef enum direction {
	DIRECTION_UP = 0, /* from the client to the server */
	DIRECTION_DOWN,
	DIRECTION_COUNT
} direction_t;

typedef struct links links_t;

links_t *links_new(kf_addr_t server);
/* Closes all links and waits for their threads. */
void links_delete(links_t *links);

/* Connects to the server for a client; takes ownership of client_fd. */
void links_accept(links_t *links, int client_fd);

/* Ends the delay and the cuts, but not the silence of links. */
void links_clear_faults(links_t *links);
/* Holds each chunk of bytes for this time after it was read. */
void links_delay(links_t *links, int64_t delay_us);
/* Holds the bytes of one direction until links_clear_faults. */
void links_cut(links_t *links, direction_t direction);
/* Holds all bytes of the open links and hides that an end has closed. */
void links_silence(links_t *links);
/* Closes the open links with a TCP reset. */
void links_reset(links_t *links);

/* Prints counters and faults as key=value pairs without the end of the line. */
void links_print(links_t *links, FILE *out);

#endif
