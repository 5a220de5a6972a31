#ifndef KF_BENCH_SAMPLE_H
#define KF_BENCH_SAMPLE_H

#include <stddef.h>

/*
 * NAME
 *	kf_sample - values of one figure and their statistics
 */

typedef struct kf_sample {
	double *values;
	size_t count;
	size_t cap;
} kf_sample_t;

void kf_sample_add(kf_sample_t *sample, double value);
void kf_sample_free(kf_sample_t *sample);
double kf_sample_mean(const kf_sample_t *sample);
double kf_sample_max(const kf_sample_t *sample);
/* Sorts the values; percent in [0, 100].  0 if there are none. */
double kf_sample_percentile(kf_sample_t *sample, double percent);

#endif
