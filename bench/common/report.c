#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>

#include "kf/bench_report.h"

static bool
target_met(const kf_target_t *target, double value)
{
	if (target->bound == KF_BOUND_AT_MOST)
		return value <= target->limit;
	return value >= target->limit;
}

void
kf_report(const kf_target_t *target, double value, const char *fmt, ...)
{
	va_list ap;

	printf("measure=%s ", target->measure);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf(" value=%.6g", value);
	if (target->bound == KF_BOUND_NONE)
		printf(" target=none met=none\n");
	else
		printf(" target=%s%.6g met=%s\n",
		    target->bound == KF_BOUND_AT_MOST ? "<=" : ">=",
		    target->limit, target_met(target, value) ? "yes" : "no");
	fflush(stdout);
}
