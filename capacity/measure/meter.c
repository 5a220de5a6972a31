#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "measure.h"
#include "meter.h"

static double peak_base;

int64_t
meter_cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

double
meter_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static double
proc_status_bytes(const char *key)
{
	FILE *file = fopen("/proc/self/status", "r");
	unsigned long kib = 0;
	char line[256];

	if (file == NULL)
		return 0;
	while (fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, key, strlen(key)) == 0)
			kib = strtoul(line + strlen(key), NULL, 10);
	}
	fclose(file);
	return (double)kib * 1024;
}

void
meter_peak_reset(void)
{
	FILE *file;

	malloc_trim(0);
	/* Writing 5 resets VmHWM to the current resident size. */
	file = fopen("/proc/self/clear_refs", "w");
	if (file != NULL) {
		fputs("5\n", file);
		fclose(file);
	}
	peak_base = proc_status_bytes("VmRSS:");
}

double
meter_peak_bytes(void)
{
	return proc_status_bytes("VmHWM:") - peak_base;
}

static int
compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

double
meter_median_ns(meter_fn *fn, void *ctx)
{
	double times[MEASURE_REPEATS];
	int64_t start_ns;
	int i;

	for (i = 0; i < MEASURE_REPEATS; i++) {
		start_ns = meter_cpu_ns();
		fn(ctx);
		times[i] = (double)(meter_cpu_ns() - start_ns);
	}
	qsort(times, MEASURE_REPEATS, sizeof(times[0]), compare_doubles);
	return times[MEASURE_REPEATS / 2];
}
