#ifndef KF_RANDOM_H
#define KF_RANDOM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_random - seeded pseudo-random sequence (splitmix64)
 */

typedef struct kf_random {
	uint64_t state;
} kf_random_t;

uint64_t kf_random_next(kf_random_t *random);

/* Uniform in [0, bound); bound must not be 0. */
uint32_t kf_random_below(kf_random_t *random, uint32_t bound);

#ifdef __cplusplus
}
#endif

#endif
