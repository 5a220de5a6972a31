#ifndef KF_BACKOFF_H
#define KF_BACKOFF_H

#include <stdint.h>

/*
 * NAME
 *	kf_backoff_us - delay before the next attempt
 *
 * DESCRIPTION
 *	Returns min_us * 2^doublings, but at most max_us.
 */
int64_t kf_backoff_us(int64_t min_us, int64_t max_us, uint32_t doublings);

#endif
