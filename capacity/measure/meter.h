#ifndef CAPACITY_METER_H
#define CAPACITY_METER_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	meter - processor time and memory used by this process
 *
 * DESCRIPTION
 *	Times are processor times, because elapsed times would include the
 *	time that other processes use the processors.
 */

typedef void meter_fn(void *ctx);

int64_t meter_cpu_ns(void);

/* Bytes that are allocated by malloc and not yet freed. */
double meter_heap_bytes(void);

/* Peak resident size since the last reset, minus the size at the reset. */
void meter_peak_reset(void);
double meter_peak_bytes(void);

/* Median processor time of MEASURE_REPEATS calls of fn. */
double meter_median_ns(meter_fn *fn, void *ctx);

#endif
