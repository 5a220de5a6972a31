#ifndef KF_BENCH_SAMPLE_H
#define KF_BENCH_SAMPLE_H

#include <stddef.h>

/*
 * NAME
 *	kf_sample - set of values and its statistics
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
/* Sorts the values; percent is in [0, 100].  Returns 0 without values. */
double kf_sample_percentile(kf_sample_t *sample, double percent);

#endif
