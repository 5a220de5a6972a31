#ifndef KF_SERVICE_DEMAND_H
#define KF_SERVICE_DEMAND_H

#include <stdint.h>

/*
 * NAME
 *	kf_service_demand - rate of new flows of a service at one VM
 */

typedef struct kf_service_demand {
	uint64_t service;     /* kf_name_key */
	uint32_t asked_per_s; /* new flows, also refused ones */
} kf_service_demand_t;

/* The same of one service at the VMs of a zone. */
typedef struct kf_zone_demand {
	uint64_t zone; /* kf_name_key */
	uint32_t asked_per_s;
} kf_zone_demand_t;

#endif
