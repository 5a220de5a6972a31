#ifndef KF_BENCH_OPTIONS_H
#define KF_BENCH_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_bench_options - common command line of the benchmarks
 */

typedef struct kf_bench_options {
	const char *deployment;
	const char *conf_dir;
	uint64_t seed;
	bool quick; /* small sizes, for a smoke test */
} kf_bench_options_t;

/* Exits with an error message if the command line is invalid. */
void kf_bench_options_parse(
    kf_bench_options_t *options, int argc, char **argv, const char *doc);

#endif
