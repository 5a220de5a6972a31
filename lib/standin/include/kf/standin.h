#ifndef KF_STANDIN_H
#define KF_STANDIN_H

#include <argp.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_sim - library of the stand-in programs used by the tests
 *
 * DESCRIPTION
 *	An event loop with timers, loopback UDP sockets, run-time commands,
 *	seeded random numbers, a latency histogram and the layout of test
 *	requests.  Nothing here is linked into the balancer.
 */

enum {
	KF_SIM_DATAGRAM_BYTES = 65536,
	KF_SIM_COMMAND_BYTES = 16384,
	KF_SIM_MAX_ARGS = 8,
};

/* Event loop.  It ends on SIGTERM, SIGINT or kf_sim_loop_stop. */
typedef struct kf_sim_loop kf_sim_loop_t;
typedef void kf_sim_fn(void *ctx);

typedef struct kf_sim_timer {
	int64_t at_us;
	size_t slot; /* index in the heap plus one; 0: not armed */
	kf_sim_fn *fn;
	void *ctx;
} kf_sim_timer_t;

kf_sim_loop_t *kf_sim_loop_new(void);
void kf_sim_loop_delete(kf_sim_loop_t *loop);
kf_status_t kf_sim_loop_add(
    kf_sim_loop_t *loop, int fd, kf_sim_fn *fn, void *ctx);
void kf_sim_loop_remove(kf_sim_loop_t *loop, int fd);
void kf_sim_loop_run(kf_sim_loop_t *loop);
void kf_sim_loop_stop(kf_sim_loop_t *loop);

/*
 * Arms a timer, or moves one that is armed.  The caller owns the timer.
 * Returns KF_ERR_NO_MEMORY if the heap cannot grow.
 */
kf_status_t kf_sim_timer_set(
    kf_sim_loop_t *loop, kf_sim_timer_t *timer, int64_t at_us);
void kf_sim_timer_cancel(kf_sim_loop_t *loop, kf_sim_timer_t *timer);

int64_t kf_sim_mono_us(void);
int64_t kf_sim_wall_ms(void);

/* Parses an address and refuses anything outside 127.0.0.0/8. */
kf_status_t kf_sim_addr_parse(const char *text, kf_addr_t *addr);
/* Parses "127.a.b.c" without a port. */
kf_status_t kf_sim_ip_parse(const char *text, uint32_t *ip);

struct sockaddr_in kf_sim_sockaddr(kf_addr_t addr);

/* Opens a non-blocking UDP socket; port 0 binds an ephemeral port. */
kf_status_t kf_sim_udp_open(kf_addr_t addr, int *fd);
/*
 * Returns the length of the next datagram, or -1 if there is none.  Drops
 * datagrams from outside 127.0.0.0/8.
 */
ssize_t kf_sim_udp_recv(int fd, kf_addr_t *src, uint8_t *buf, size_t cap);
/* Refuses to send to addresses outside 127.0.0.0/8. */
bool kf_sim_udp_send(int fd, kf_addr_t dst, const uint8_t *buf, size_t len);

/*
 * Run-time commands: one text datagram in, one key=value line back.  A
 * handler writes "key=value" pairs to out, or returns an error whose
 * message is sent back.
 */
typedef struct kf_sim_command {
	const char *name;
	int min_args;
	int max_args;
	const char *usage;
	kf_status_t (*run)(void *ctx, int argc, char **argv, FILE *out);
} kf_sim_command_t;

typedef struct kf_sim_control kf_sim_control_t;

/* The table ends with a NULL name. */
kf_sim_control_t *kf_sim_control_new(kf_sim_loop_t *loop, kf_addr_t addr,
    const kf_sim_command_t *table, void *ctx);
void kf_sim_control_delete(kf_sim_control_t *control);

/* Runs one command line and writes its answer, without a socket. */
void kf_sim_command_run(const kf_sim_command_t *table, void *ctx,
    const char *line, char *answer, size_t cap);

/*
 * Maps the status of setting an option to the return value of an argp parser:
 * KF_ERR_UNSUPPORTED is an unknown option, other errors are reported.
 */
error_t kf_sim_argp_result(struct argp_state *state, kf_status_t status);

/* Parses a number from 0 to 1. */
kf_status_t kf_sim_parse_probability(const char *text, double *value);
kf_status_t kf_sim_parse_u64(const char *text, uint64_t max, uint64_t *value);
/* Parses "MIN-MAX" or "N". */
kf_status_t kf_sim_parse_range(
    const char *text, uint64_t max, uint64_t *low, uint64_t *high);

/* Seeded random numbers (splitmix64). */
typedef struct kf_sim_random {
	uint64_t state;
} kf_sim_random_t;

uint64_t kf_sim_random_u64(kf_sim_random_t *random);
uint64_t kf_sim_random_below(kf_sim_random_t *random, uint64_t limit);
double kf_sim_random_unit(kf_sim_random_t *random); /* [0, 1) */
/* Exponentially distributed, at most 20 times the mean. */
int64_t kf_sim_random_exp(kf_sim_random_t *random, double mean);

/* Log-linear histogram with 3% resolution. */
enum { KF_SIM_HISTOGRAM_BUCKETS = 32 * 40 };

typedef struct kf_sim_histogram {
	uint64_t count;
	int64_t max;
	uint64_t buckets[KF_SIM_HISTOGRAM_BUCKETS];
} kf_sim_histogram_t;

void kf_sim_histogram_add(kf_sim_histogram_t *histogram, int64_t value);
/* Upper bound of the bucket that holds the quantile; 0 if empty. */
int64_t kf_sim_histogram_quantile(
    const kf_sim_histogram_t *histogram, double quantile);

/*
 * Test requests.  The request number holds the service and whether the
 * request may run twice, so that a ledger can be checked without other data.
 * From the highest bit: 16 bits service tag, 1 bit non-idempotent, 15 bits
 * caller, 32 bits sequence.
 *
 * The arguments are the number and a payload.  The results are the number,
 * the XXH64 of the arguments, the upstream's name as an XDR string, the
 * execution count and filler bytes derived from the number.
 */
enum {
	KF_SIM_NAME_BYTES = 64,
	KF_SIM_MAX_PAYLOAD = 60000,
};

typedef struct kf_sim_result {
	uint64_t number;
	uint64_t digest;
	char upstream[KF_SIM_NAME_BYTES];
	uint32_t executions;
	size_t filler_len;
} kf_sim_result_t;

uint64_t kf_sim_number(
    uint32_t tag, bool non_idempotent, uint32_t caller, uint32_t sequence);
uint32_t kf_sim_number_tag(uint64_t number);
bool kf_sim_number_non_idempotent(uint64_t number);

/* Writes the arguments, with a payload derived from the number. */
size_t kf_sim_args_write(
    uint64_t number, size_t payload_len, uint8_t *buf, size_t cap);
uint64_t kf_sim_args_digest(const uint8_t *args, size_t len);

size_t kf_sim_result_write(
    const kf_sim_result_t *result, uint8_t *buf, size_t cap);
/* Also checks that the filler is complete and matches the number. */
kf_status_t kf_sim_result_read(
    const uint8_t *buf, size_t len, kf_sim_result_t *result);

#ifdef __cplusplus
}
#endif

#endif
