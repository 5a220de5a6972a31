#ifndef CAPACITY_METER_H
#define CAPACITY_METER_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	meter - processor time and memory of this process
 *
 * DESCRIPTION
 *	Processor time and not elapsed time is read, because other processes
 *	may share the machine.
 */

typedef void meter_fn(void *ctx);

int64_t meter_cpu_ns(void);

/* Bytes handed out by the allocator. */
double meter_heap_bytes(void);

/* Highest resident size since the last reset, above the size then. */
void meter_peak_reset(void);
double meter_peak_bytes(void);

/* Median of MEASURE_REPEATS runs, in nanoseconds of processor time. */
double meter_median_ns(meter_fn *fn, void *ctx);

#endif
