#ifndef CAPACITY_MEASURE_H
#define CAPACITY_MEASURE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	measure - measurements of the capacity program
 *
 * DESCRIPTION
 *	Each function runs one group of measurements and prints its points,
 *	fitted lines and single figures to standard output.
 */

enum { MEASURE_SIZES = 4, MEASURE_REPEATS = 3 };

typedef struct plan {
	bool smoke; /* small sizes, to test the program itself */
	uint64_t seed;
} plan_t;

/* Sizes of a full run and of a smoke run; unused entries are 0. */
typedef struct sizes {
	uint32_t full[MEASURE_SIZES];
	uint32_t smoke[MEASURE_SIZES];
} sizes_t;

void measure_declaration(const plan_t *plan);
void measure_view(const plan_t *plan);
void measure_members(const plan_t *plan);
void measure_distribution(const plan_t *plan);
void measure_flows(const plan_t *plan);
void measure_traffic(const plan_t *plan);
void measure_codecs(const plan_t *plan);
void measure_control(const plan_t *plan);

static inline const uint32_t *
sizes_of(const sizes_t *sizes, const plan_t *plan)
{
	return plan->smoke ? sizes->smoke : sizes->full;
}

#endif
