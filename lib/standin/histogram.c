#include "kf/standin.h"

/* Values below 64 have a bucket each; above, each doubling has 32 buckets. */
enum { LINEAR_BITS = 5, LINEAR_BUCKETS = 1 << LINEAR_BITS };

static size_t
bucket_of(int64_t value)
{
	uint64_t v = value < 0 ? 0 : (uint64_t)value;
	int shift = 0;
	size_t index;

	while (v >= 2 * LINEAR_BUCKETS) {
		v >>= 1;
		shift++;
	}
	index = (size_t)shift * LINEAR_BUCKETS + (size_t)v;
	return index < KF_SIM_HISTOGRAM_BUCKETS ? index
						: KF_SIM_HISTOGRAM_BUCKETS - 1;
}

static int64_t
bucket_upper(size_t index)
{
	size_t shift;

	if (index < 2 * LINEAR_BUCKETS)
		return (int64_t)index;
	shift = index / LINEAR_BUCKETS - 1;
	return (int64_t)(((index % LINEAR_BUCKETS) + LINEAR_BUCKETS + 1)
		   << shift) -
	    1;
}

void
kf_sim_histogram_add(kf_sim_histogram_t *histogram, int64_t value)
{
	histogram->count++;
	histogram->buckets[bucket_of(value)]++;
	if (value > histogram->max)
		histogram->max = value;
}

int64_t
kf_sim_histogram_quantile(const kf_sim_histogram_t *histogram, double quantile)
{
	uint64_t cumulative = 0;
	uint64_t rank;
	int64_t upper;
	size_t i;

	if (histogram->count == 0)
		return 0;
	rank = (uint64_t)(quantile * (double)histogram->count);
	if (rank >= histogram->count)
		return histogram->max;
	for (i = 0; i < KF_SIM_HISTOGRAM_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative > rank)
			break;
	}
	upper = bucket_upper(i);
	return upper < histogram->max ? upper : histogram->max;
}
