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
 *	kf_control_server - a balancer's control program
 *
 * DESCRIPTION
 *	Serves status and documents over TCP on one thread.  Connections do
 *	not block: a slow or silent client holds only its own buffers.  The
 *	RPC library keeps its state in globals, so a process has one server.
 */

typedef struct kf_control_server_ops {
	void *ctx;
	/*
	 * Fill in a result.  Pointers in it stay valid until release is
	 * called with the same context.
	 */
	void (*status)(void *ctx, kf_rpc_status *status);
	void (*fetch)(
	    void *ctx, uint32_t caller_ip, uint32_t kind, kf_rpc_doc *doc);
	void (*release)(void *ctx);
} kf_control_server_ops_t;

/*
 * Listens on addr; may be called for several addresses.  A later call replaces
 * ops for all of them.
 */
kf_status_t kf_control_server_listen(
    kf_addr_t addr, const kf_control_server_ops_t *ops);

/* Copies the descriptors to poll; returns their number. */
int kf_control_server_pollfds(struct pollfd *fds, int max);

/* Handles the descriptors that poll reported. */
void kf_control_server_handle(struct pollfd *fds, int count);

#ifdef __cplusplus
}
#endif

#endif
