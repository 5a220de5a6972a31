#ifndef KF_BENCH_FLEET_H
#define KF_BENCH_FLEET_H

#include "kf/bench_conf.h"
#include "kf/bench_fake_upstream.h"
#include "kf/bench_schedule.h"

/*
 * NAME
 *	kf_fleet - simulation of traffic cores, links and fake upstreams
 *
 * DESCRIPTION
 *	Runs in virtual time.  Each VM has its own view, so views may differ.
 *	Every KF_FLEET_EXCHANGE_US the state of each upstream, as seen by its
 *	owner, is sent to the other VMs as a digest.
 */

enum { KF_FLEET_VMS_MAX = 16, KF_FLEET_EXCHANGE_US = 500000 };

typedef struct kf_fleet kf_fleet_t;

typedef struct kf_fleet_config {
	const kf_conf_t *conf;
	kf_declref_t *decl; /* initial declaration */
	uint32_t vms;
	uint32_t running; /* VMs that run at the start; 0: all */
	uint64_t seed;
	int64_t link_us;   /* one-way latency to VMs and upstreams */
	int64_t caller_us; /* one-way latency between callers and VMs */
	kf_policy_t policy;
	uint64_t ingress_pps; /* 0: no limit */
	void *ctx;	      /* first argument of the callbacks */
	int64_t (*service_us)(
	    void *ctx, uint32_t upstream, uint32_t prog, uint32_t proc);
	void (*on_run)(void *ctx, uint32_t upstream, uint64_t number);
	void (*on_reply)(void *ctx, const kf_route_t *route,
	    const uint8_t *data, size_t len);
	void (*on_decision)(
	    void *ctx, uint32_t vm, const kf_decision_t *decision);
} kf_fleet_config_t;

/* Bytes sent between VMs, with UDP and IP headers. */
typedef struct kf_fleet_bytes {
	uint64_t forward;     /* forwarded datagrams of callers */
	uint64_t replication; /* all other types: INTENT, INTENT_ACK, DONE */
	uint64_t lease;
} kf_fleet_bytes_t;

kf_fleet_t *kf_fleet_new(
    const kf_fleet_config_t *config, kf_schedule_t *schedule);
void kf_fleet_delete(kf_fleet_t *fleet);

/*
 * Starts a VM that knows all running VMs.  The others do not know it until
 * kf_fleet_set_liveness.
 */
void kf_fleet_start(kf_fleet_t *fleet, uint32_t vm);
/* Stops a VM.  Its liveness on other VMs changes by kf_fleet_set_liveness. */
void kf_fleet_kill(kf_fleet_t *fleet, uint32_t vm);

/* Sets the liveness of other on vm.  Takes effect with kf_fleet_publish. */
void kf_fleet_set_liveness(
    kf_fleet_t *fleet, uint32_t vm, uint32_t other, kf_liveness_t liveness);
void kf_fleet_set_declaration(
    kf_fleet_t *fleet, uint32_t vm, kf_declref_t *decl);
void kf_fleet_publish(kf_fleet_t *fleet, uint32_t vm);

/* Sends a caller's datagram, which arrives at the VM after caller_us. */
void kf_fleet_call(kf_fleet_t *fleet, uint32_t vm, const kf_route_t *route,
    const uint8_t *data, size_t len);

bool kf_fleet_alive(const kf_fleet_t *fleet, uint32_t vm);
kf_traffic_t *kf_fleet_core(const kf_fleet_t *fleet, uint32_t vm);
kf_fleet_bytes_t kf_fleet_bytes(const kf_fleet_t *fleet);
/* NULL if the upstream has not been in any declaration. */
const kf_fake_t *kf_fleet_fake(const kf_fleet_t *fleet, uint32_t upstream);
kf_vm_id_t kf_fleet_vm_id(uint32_t vm);

#endif
