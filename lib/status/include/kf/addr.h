#ifndef KF_ADDR_H
#define KF_ADDR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_addr, kf_time - IPv4 socket address and time of an event
 */

typedef struct kf_addr {
	uint32_t ip; /* host byte order */
	uint16_t port;
} kf_addr_t;

/* Callers pass in the time; the libraries do not read a clock. */
typedef struct kf_time {
	int64_t mono_us; /* monotonic */
	int64_t wall_ms; /* UTC, since 1970-01-01 */
} kf_time_t;

enum { KF_IP_TEXT_BYTES = 16, KF_ADDR_TEXT_BYTES = 24 };

/* Parses "a.b.c.d:port". */
kf_status_t kf_addr_parse(const char *text, kf_addr_t *addr);

/* Writes "a.b.c.d" and returns buf. */
const char *kf_ip_format(uint32_t ip, char buf[KF_IP_TEXT_BYTES]);

/* Writes "a.b.c.d:port" and returns buf. */
const char *kf_addr_format(kf_addr_t addr, char buf[KF_ADDR_TEXT_BYTES]);

bool kf_addr_equal(kf_addr_t a, kf_addr_t b);

#ifdef __cplusplus
}
#endif

#endif
