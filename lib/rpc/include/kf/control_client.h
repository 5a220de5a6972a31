#ifndef KF_CONTROL_CLIENT_H
#define KF_CONTROL_CLIENT_H

#include "kf/addr.h"
#include "control_prog.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_control_client - calls the control program of a balancer
 *
 * DESCRIPTION
 *	Each call opens a TCP connection, waits at most timeout_ms for each
 *	step and closes the connection.  Results are freed with xdr_free.
 */

kf_status_t kf_control_client_status(
    kf_addr_t server, int64_t timeout_ms, kf_rpc_status *status);
/*
 * Connects from local_ip, which is the VM's own address: balancers send the
 * keys only to addresses of seeds and of VMs that they know.
 */
kf_status_t kf_control_client_fetch(uint32_t local_ip, kf_addr_t server,
    int64_t timeout_ms, uint32_t kind, kf_rpc_doc *doc);

#ifdef __cplusplus
}
#endif

#endif
