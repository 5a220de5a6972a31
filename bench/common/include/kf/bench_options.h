#ifndef KF_BENCH_OPTIONS_H
#define KF_BENCH_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_bench_options - command line that all benchmarks share
 */

typedef struct kf_bench_options {
	const char *deployment;
	const char *conf_dir;
	uint64_t seed;
	bool quick; /* tiny sizes, to check that the program runs */
} kf_bench_options_t;

/* Ends the process with a message if the command line is wrong. */
void kf_bench_options_parse(
    kf_bench_options_t *options, int argc, char **argv, const char *doc);

#endif
