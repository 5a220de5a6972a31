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

#ifdef __cplusplus
}
#endif

#endif
