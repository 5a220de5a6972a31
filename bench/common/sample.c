#include <stdlib.h>

#include "kf/bench_sample.h"

void
kf_sample_add(kf_sample_t *sample, double value)
{
	double *values;
	size_t cap;

	if (sample->count == sample->cap) {
		cap = sample->cap == 0 ? 64 : sample->cap * 2;
		values = realloc(sample->values, cap * sizeof(*values));
		if (values == NULL)
			abort();
		sample->values = values;
		sample->cap = cap;
	}
	sample->values[sample->count++] = value;
}

void
kf_sample_free(kf_sample_t *sample)
{
	free(sample->values);
	*sample = (kf_sample_t){ 0 };
}

double
kf_sample_mean(const kf_sample_t *sample)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < sample->count; i++)
		sum += sample->values[i];
	return sample->count == 0 ? 0 : sum / (double)sample->count;
}

double
kf_sample_max(const kf_sample_t *sample)
{
	double max = 0;
	size_t i;

	for (i = 0; i < sample->count; i++) {
		if (i == 0 || sample->values[i] > max)
			max = sample->values[i];
	}
	return max;
}

static int
value_compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double
kf_sample_percentile(kf_sample_t *sample, double percent)
{
	if (sample->count == 0)
		return 0;
	qsort(sample->values, sample->count, sizeof(double), value_compare);
	return sample->values[(
	    size_t)(percent / 100 * (double)(sample->count - 1) + 0.5)];
}
