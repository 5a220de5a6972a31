#ifndef KF_SERVICE_LOAD_H
#define KF_SERVICE_LOAD_H

#include <stdint.h>

/*
 * NAME
 *	kf_service_load - flows of one VM at the upstreams of a service
 */

typedef struct kf_service_load {
	uint64_t service; /* kf_name_key */
	uint32_t flows;
} kf_service_load_t;

#endif
