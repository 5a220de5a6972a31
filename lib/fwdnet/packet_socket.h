#ifndef KF_PACKET_SOCKET_H
#define KF_PACKET_SOCKET_H

#include "kf/addr.h"
#include "kf/packet.h"
#include "kf/target.h"

/*
 * NAME
 *	packet_socket - UDP socket of the packet path
 *
 * DESCRIPTION
 *	Receives and sends datagrams in batches, because a system call for each
 *	datagram would cost more time than forwarding it.
 */

enum { PACKET_SOCKET_BATCH = 32 }; /* datagrams */

typedef struct packet_socket packet_socket_t;

typedef void packet_socket_packet_fn(
    void *ctx, const kf_packet_t *packet, const uint8_t *datagram, size_t len);

packet_socket_t *packet_socket_new(kf_addr_t address);
void packet_socket_delete(packet_socket_t *packet_socket);

int packet_socket_fd(const packet_socket_t *packet_socket);

/*
 * Receives one batch and calls fn for each valid packet.  Returns the number of
 * datagrams received, malformed ones included.
 */
int packet_socket_receive(
    packet_socket_t *packet_socket, packet_socket_packet_fn *fn, void *ctx);

/*
 * Queue a datagram to an upstream, or a reset to the client of a packet.  The
 * queue is sent by the next flush, or when it is full.
 */
void packet_socket_send(packet_socket_t *packet_socket,
    const kf_upstream_info_t *upstream, uint32_t token, const uint8_t *datagram,
    size_t len);
void packet_socket_send_reset(
    packet_socket_t *packet_socket, const kf_packet_t *packet);
void packet_socket_flush(packet_socket_t *packet_socket);

/* Number of datagrams that could not be decoded, or could not be sent. */
uint64_t packet_socket_malformed(const packet_socket_t *packet_socket);
uint64_t packet_socket_unsent(const packet_socket_t *packet_socket);

#endif
