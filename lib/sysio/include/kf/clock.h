#ifndef KF_CLOCK_H
#define KF_CLOCK_H

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_clock - the clocks of this process
 */

/*
 * Reads the monotonic and the wall clock.  The monotonic one counts the time
 * for which the VM was suspended, so that beliefs age while it is.
 */
kf_time_t kf_clock_now(void);

/* Milliseconds since a time of the monotonic clock; -1 if it is INT64_MIN,
 * which stands for never. */
int64_t kf_age_ms(int64_t since_us, int64_t now_us);

/* Time to wait until due_us, 0 to max_ms; rounds up, so that nothing is looked
 * for before it is due. */
int kf_wait_ms(int64_t due_us, int64_t now_us, int max_ms);

#ifdef __cplusplus
}
#endif

#endif
