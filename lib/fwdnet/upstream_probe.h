#ifndef KF_UPSTREAM_PROBE_H
#define KF_UPSTREAM_PROBE_H

#include "kf/io_loop.h"

#include "packet_thread.h"

/*
 * NAME
 *	upstream_probe - TCP connections that test whether upstreams are alive
 *
 * DESCRIPTION
 *	Makes the probes that the forwarder asks for (kf_forwarder_take_probes),
 *	at most UPSTREAM_PROBE_MAX at a time, on the control thread.  A
 *	connection is closed as soon as it is accepted; nothing is sent on it.
 *	One that is not accepted within KF_DEAD_PROBE_TIMEOUT_US has failed.
 */

enum { UPSTREAM_PROBE_MAX = 16 };

typedef struct upstream_probe upstream_probe_t;

/* Sets the forwarder's dead_after_us; with 0 there are no probes.  Returns NULL
 * with a message in kf_status if memory is short. */
upstream_probe_t *upstream_probe_new(
    io_loop_t *loop, packet_thread_t *packets, int64_t dead_after_us);
void upstream_probe_delete(upstream_probe_t *probe);

#endif
