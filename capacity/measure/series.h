#ifndef CAPACITY_SERIES_H
#define CAPACITY_SERIES_H

#include <stddef.h>

/*
 * NAME
 *	series - points of one measurement and a line fitted to them
 */

enum { SERIES_MAX = 16 };

typedef struct series {
	const char *name;
	const char *x; /* what the size is a number of, such as VMs */
	const char *y; /* unit of the value */
	size_t count;
	double xs[SERIES_MAX];
	double ys[SERIES_MAX];
} series_t;

void series_add(series_t *series, double x, double y);

/*
 * Prints the points and their least-squares line as key=value.  The residual
 * is the root mean square error, in percent of the largest absolute value.
 */
void series_print(const series_t *series);

/* Prints a value that does not depend on a size. */
void series_print_figure(const char *name, const char *y, double value);

#endif
