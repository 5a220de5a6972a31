#ifndef KF_FABRIC_H
#define KF_FABRIC_H

#include "kf/standin.h"

/*
 * NAME
 *	kf_fabric - stand-in for the fabric that sprays packets over VMs
 *
 * DESCRIPTION
 *	Sends each datagram of a caller to a random active balancer with a
 *	PROXY protocol version 2 header in front, and returns replies to the
 *	caller from the address of the service.  Can drop, duplicate and
 *	delay packets in both directions.
 */

enum {
	KF_FABRIC_MAX_SERVICES = 64,
	KF_FABRIC_MAX_BALANCERS = 64,
	/* Limit the memory of delayed packets at any packet rate. */
	KF_FABRIC_MAX_DELAYED = 16384,
	KF_FABRIC_MAX_DELAYED_BYTES = 64 * 1024 * 1024,
	KF_FABRIC_MAX_DELAY_MS = 60000,
};

typedef struct kf_fabric_options {
	kf_addr_t services[KF_FABRIC_MAX_SERVICES];
	size_t service_count;
	kf_addr_t balancers[KF_FABRIC_MAX_BALANCERS];
	size_t balancer_count;
	kf_addr_t encap;   /* own address towards balancers */
	kf_addr_t control; /* port 0: none */
	uint64_t seed;
	double drop;	  /* probability */
	double duplicate; /* probability */
	uint64_t delay_min_ms;
	uint64_t delay_max_ms;
} kf_fabric_options_t;

typedef struct kf_fabric kf_fabric_t;

/* Returns NULL with a status message on failure. */
kf_fabric_t *kf_fabric_new(
    kf_sim_loop_t *loop, const kf_fabric_options_t *options);
void kf_fabric_delete(kf_fabric_t *fabric);
/* Prints the counters as key=value pairs without the end of the line. */
void kf_fabric_print(const kf_fabric_t *fabric, FILE *out);

#endif
