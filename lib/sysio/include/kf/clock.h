#ifndef KF_CLOCK_H
#define KF_CLOCK_H

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_clock - monotonic and wall clock
 */

/*
 * Reads the monotonic and the wall clock.  The monotonic clock includes the
 * time for which the VM was suspended, so that information about other VMs ages
 * during a suspension.
 */
kf_time_t kf_clock_now(void);

/*
 * Returns the milliseconds from since_us to now_us; -1 if since_us is
 * INT64_MIN, which stands for never.
 */
int64_t kf_age_ms(int64_t since_us, int64_t now_us);

/*
 * Returns the time to wait until due_us, from 0 to max_ms.  Rounds up, so that
 * the caller does not wake before due_us.
 */
int kf_wait_ms(int64_t due_us, int64_t now_us, int max_ms);

#ifdef __cplusplus
}
#endif

#endif
