#include <math.h>
#include <stdio.h>

#include "series.h"

void
series_add(series_t *series, double x, double y)
{
	if (series->count == SERIES_MAX)
		return;
	series->xs[series->count] = x;
	series->ys[series->count++] = y;
}

static double
mean(const double *values, size_t count)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += values[i];
	return sum / (double)count;
}

static double
slope_of(const series_t *s, double x_mean, double y_mean)
{
	double xy = 0, xx = 0;
	size_t i;

	for (i = 0; i < s->count; i++) {
		xy += (s->xs[i] - x_mean) * (s->ys[i] - y_mean);
		xx += (s->xs[i] - x_mean) * (s->xs[i] - x_mean);
	}
	return xx > 0 ? xy / xx : 0;
}

static double
residual_percent(const series_t *s, double slope, double intercept)
{
	double sum = 0, largest = 0, distance;
	size_t i;

	for (i = 0; i < s->count; i++) {
		distance = s->ys[i] - intercept - slope * s->xs[i];
		sum += distance * distance;
		largest = fmax(largest, fabs(s->ys[i]));
	}
	if (largest <= 0)
		return 0;
	return sqrt(sum / (double)s->count) / largest * 100;
}

void
series_print(const series_t *s)
{
	double x_mean, y_mean, slope, intercept;
	size_t i;

	if (s->count == 0)
		return;
	for (i = 0; i < s->count; i++)
		printf("measure=%s %s=%.0f %s=%.6g\n", s->name, s->x, s->xs[i],
		    s->y, s->ys[i]);
	x_mean = mean(s->xs, s->count);
	y_mean = mean(s->ys, s->count);
	slope = slope_of(s, x_mean, y_mean);
	intercept = y_mean - slope * x_mean;
	printf("fit=%s slope=%.6g intercept=%.6g residual_percent=%.2f "
	       "points=%zu unit=%s/%s\n",
	    s->name, slope, intercept, residual_percent(s, slope, intercept),
	    s->count, s->y, s->x);
	fflush(stdout);
}

void
series_print_figure(const char *name, const char *y, double value)
{
	printf("figure=%s %s=%.6g\n", name, y, value);
	fflush(stdout);
}
