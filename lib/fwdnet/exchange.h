#ifndef KF_EXCHANGE_H
#define KF_EXCHANGE_H

#include "kf/addr.h"
#include "kf/packet.h"
#include "kf/target.h"

/*
 * NAME
 *	exchange - the UDP socket of the packet path
 *
 * DESCRIPTION
 *	Datagrams are read and written in batches: a system call for each
 *	datagram would cost more than forwarding it.
 */

enum { EXCHANGE_BATCH = 32 }; /* datagrams */

typedef struct exchange exchange_t;

typedef void exchange_packet_fn(
    void *ctx, const kf_packet_t *packet, const uint8_t *datagram, size_t len);

exchange_t *exchange_new(kf_addr_t address);
void exchange_delete(exchange_t *exchange);

int exchange_fd(const exchange_t *exchange);

/* Reads one batch; returns the number of datagrams, malformed included. */
int exchange_receive(exchange_t *exchange, exchange_packet_fn *fn, void *ctx);

/* Datagrams go out with the next flush, or when the batch is full. */
void exchange_send(exchange_t *exchange, const kf_upstream_info_t *upstream,
    uint32_t token, const uint8_t *datagram, size_t len);
void exchange_reset(exchange_t *exchange, const kf_packet_t *packet);
void exchange_flush(exchange_t *exchange);

/* Datagrams that could not be decoded, and that could not be sent. */
uint64_t exchange_malformed(const exchange_t *exchange);
uint64_t exchange_unsent(const exchange_t *exchange);

#endif
