#ifndef KF_CALL_INFO_H
#define KF_CALL_INFO_H

#include <stddef.h>
#include <stdint.h>

#include "kf/rpc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_call_info, kf_load_report - verifiers between balancer and upstream
 *
 * DESCRIPTION
 *	The verifier of a call carries the deadline and the dispatching VM;
 *	that of a reply carries the load of an upstream that reports it.  A
 *	standard RPC server ignores the verifier of a call and may return it
 *	unchanged in the reply; kf_load_report_read rejects it by its flavor.
 */

enum {
	KF_FLAVOR_CALL_INFO = 0x4b574631,
	KF_FLAVOR_LOAD_REPORT = 0x4b574632,
	KF_CALL_INFO_BYTES = 36,
	KF_LOAD_REPORT_BYTES = 24,
};

/* Upstream control program, served on the upstream's own address. */
enum {
	KF_UPSTREAM_PROG = 0x20004b57,
	KF_UPSTREAM_VERS = 1,
	KF_UPSTREAM_PROC_NULL = 0,
	KF_UPSTREAM_PROC_STATUS = 1,
	KF_UPSTREAM_PROC_CANCEL = 2,
};

typedef struct kf_call_info {
	uint32_t deadline_ms; /* time left until the deadline */
	uint32_t vm;
	uint64_t vm_incarnation;
	uint64_t flow;
	uint64_t upstream_incarnation; /* expected incarnation; 0: any */
	uint32_t reserved;
} kf_call_info_t;

enum {
	KF_LOAD_DRAINING = 1,
	KF_LOAD_COLD = 2,
	KF_LOAD_SHEDDING = 4,
};

typedef struct kf_load_report {
	uint64_t incarnation;
	uint32_t in_flight;
	uint32_t queued;
	uint32_t slots;
	uint32_t flags;
} kf_load_report_t;

void kf_call_info_write(
    const kf_call_info_t *info, uint8_t buf[KF_CALL_INFO_BYTES]);
kf_status_t kf_call_info_read(const kf_rpc_auth_t *verf, kf_call_info_t *info);

void kf_load_report_write(
    const kf_load_report_t *report, uint8_t buf[KF_LOAD_REPORT_BYTES]);
kf_status_t kf_load_report_read(
    const kf_rpc_auth_t *verf, kf_load_report_t *report);

/* Reads the load report in the results of KF_UPSTREAM_PROC_STATUS. */
kf_status_t kf_load_report_read_bytes(
    const uint8_t *buf, size_t len, kf_load_report_t *report);

#ifdef __cplusplus
}
#endif

#endif
