#include <stdio.h>

#include "histogram.h"

/* From the latency within a zone to the time after which clients give up. */
static const int64_t bounds_us[HISTOGRAM_BOUNDS] = { 1000, 2000, 5000, 10000,
	20000, 50000, 100000, 200000, 500000, 1000000, 1500000, 3000000 };

void
histogram_add(histogram_t *h, int64_t us)
{
	size_t i;

	for (i = 0; i < HISTOGRAM_BOUNDS && us > bounds_us[i]; i++)
		;
	__atomic_fetch_add(&h->buckets[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(
	    &h->sum_us, us > 0 ? (uint64_t)us : 0, __ATOMIC_RELAXED);
}

static size_t
append(char *buf, size_t cap, size_t len, const char *name, const char *bound,
    uint64_t count)
{
	int n =
	    snprintf(len < cap ? buf + len : NULL, len < cap ? cap - len : 0,
		"knapweed_%s_seconds_bucket{le=\"%s\"} %llu\n", name, bound,
		(unsigned long long)count);

	return len + (n > 0 ? (size_t)n : 0);
}

size_t
histogram_render(const histogram_t *h, const char *name, const char *help,
    char *buf, size_t cap)
{
	uint64_t count = 0;
	char bound[32];
	size_t i, len;
	int n;

	n = snprintf(buf, cap,
	    "# HELP knapweed_%s_seconds %s\n"
	    "# TYPE knapweed_%s_seconds histogram\n",
	    name, help, name);
	len = n > 0 ? (size_t)n : 0;
	for (i = 0; i < HISTOGRAM_BOUNDS; i++) {
		count += __atomic_load_n(&h->buckets[i], __ATOMIC_RELAXED);
		snprintf(
		    bound, sizeof(bound), "%g", (double)bounds_us[i] / 1000000);
		len = append(buf, cap, len, name, bound, count);
	}
	count += __atomic_load_n(&h->buckets[i], __ATOMIC_RELAXED);
	len = append(buf, cap, len, name, "+Inf", count);
	n = snprintf(len < cap ? buf + len : NULL, len < cap ? cap - len : 0,
	    "knapweed_%s_seconds_sum %.6f\nknapweed_%s_seconds_count %llu\n",
	    name,
	    (double)__atomic_load_n(&h->sum_us, __ATOMIC_RELAXED) / 1000000,
	    name, (unsigned long long)count);
	return len + (n > 0 ? (size_t)n : 0);
}
