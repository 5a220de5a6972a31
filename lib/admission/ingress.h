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
 *	Each class has a token bucket that is refilled at the rate of its
 *	share.  Tokens that do not fit into a full bucket, and those of the
 *	percentage assigned to no class, go to a bucket shared by all classes.
 *	A class takes tokens from its own bucket first and then from the
 *	shared one, never from that of another class.
 */

enum { KF_INGRESS_MAX_PPS = 10000000 };

typedef struct kf_ingress {
	uint64_t pps; /* 0: no limit */
	uint32_t percent[KF_CLASS_COUNT];
	int64_t refilled_us;
	int64_t tokens[KF_CLASS_COUNT]; /* see TOKENS_PER_PACKET */
	int64_t depth[KF_CLASS_COUNT];
	int64_t shared_tokens;
	int64_t shared_depth;
} kf_ingress_t;

void kf_ingress_init(kf_ingress_t *ingress, uint64_t pps,
    const uint32_t percent[KF_CLASS_COUNT]);
/* Takes the tokens of one packet; false if there are not enough. */
bool kf_ingress_take(kf_ingress_t *ingress, int64_t now_us, kf_class_t cls);

#endif
