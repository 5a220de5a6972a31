#ifndef KF_PROXY_H
#define KF_PROXY_H

#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_proxy - PROXY protocol version 2 header for UDP over IPv4
 *
 * DESCRIPTION
 *	The fabric prefixes each datagram with its original source and
 *	destination.  The balancer prefixes replies the same way.
 */

enum { KF_PROXY_HEADER_BYTES = 28 };

/* On success the datagram starts at offset *consumed, after the header. */
kf_status_t kf_proxy_parse(const uint8_t *buf, size_t len, kf_addr_t *src,
    kf_addr_t *dst, size_t *consumed);

void kf_proxy_write(
    kf_addr_t src, kf_addr_t dst, uint8_t buf[KF_PROXY_HEADER_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
