#ifndef KF_ADMISSION_INGRESS_H
#define KF_ADMISSION_INGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "kf/declaration.h"

/*
 * NAME
 *	kf_ingress - packet rate limit with a reserved share for each class
 *
 * DESCRIPTION
 *	One token bucket for each class, filled at the rate of its share, and
 *	one spare bucket filled with what overflows the others.  A class
 *	spends its own tokens first, so borrowing never takes from a share.
 */

enum { KF_INGRESS_MAX_PPS = 10000000 };

typedef struct kf_ingress {
	uint64_t pps; /* 0: no limit */
	uint32_t percent[KF_CLASS_COUNT];
	int64_t filled_us;
	int64_t tokens[KF_CLASS_COUNT]; /* see PACKET_TOKENS */
	int64_t depth[KF_CLASS_COUNT];
	int64_t spare;
	int64_t spare_depth;
} kf_ingress_t;

void kf_ingress_init(kf_ingress_t *ingress, uint64_t pps,
    const uint32_t percent[KF_CLASS_COUNT]);
bool kf_ingress_take(kf_ingress_t *ingress, int64_t now_us, kf_class_t cls);

#endif
