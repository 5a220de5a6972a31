#ifndef KF_CONTROL_SERVER_H
#define KF_CONTROL_SERVER_H

#include <poll.h>
#include <stdbool.h>

#include "kf/addr.h"
#include "control_prog.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_control_server - serves the control program of a balancer
 *
 * DESCRIPTION
 *	Serves status and documents over TCP on one thread.  Connections do
 *	not block: a slow or silent client holds only its own buffers.  The
 *	RPC library keeps its state in globals, so a process has one server.
 */

typedef struct kf_control_server_ops {
	void *ctx;
	/*
	 * status and fetch fill in a result.  Its pointers must stay valid
	 * until release is called.
	 */
	void (*status)(void *ctx, kf_rpc_status *status);
	void (*fetch)(
	    void *ctx, uint32_t caller_ip, uint32_t kind, kf_rpc_doc *doc);
	void (*release)(void *ctx);
} kf_control_server_ops_t;

/*
 * Listens on addr; may be called for several addresses.  All of them use the
 * ops of the last call.
 */
kf_status_t kf_control_server_listen(
    kf_addr_t addr, const kf_control_server_ops_t *ops);

/* Fills fds with up to max descriptors to poll and returns their number. */
int kf_control_server_pollfds(struct pollfd *fds, int max);

/* Serves the descriptors on which poll(2) reported events. */
void kf_control_server_handle(struct pollfd *fds, int count);

#ifdef __cplusplus
}
#endif

#endif
