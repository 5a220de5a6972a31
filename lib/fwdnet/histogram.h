#ifndef KF_HISTOGRAM_H
#define KF_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	histogram - histogram of durations in the Prometheus text format
 *
 * DESCRIPTION
 *	The buckets are fixed.  One thread adds values; any thread may render.
 */

enum { HISTOGRAM_BOUNDS = 12 };

typedef struct histogram {
	uint64_t buckets[HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
} histogram_t;

void histogram_add(histogram_t *histogram, int64_t us);

/* Returns the length of the whole text; it is truncated if that exceeds cap. */
size_t histogram_render(const histogram_t *histogram, const char *name,
    const char *help, char *buf, size_t cap);

#endif
