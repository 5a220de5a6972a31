#ifndef KF_UDP_H
#define KF_UDP_H

#include <stddef.h>
#include <stdint.h>
#include <netinet/in.h>
#include <sys/types.h>

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_udp - non-blocking UDP sockets over IPv4
 */

enum {
	KF_UDP_SHARE_PORT = 1,	  /* several sockets share the address */
	KF_UDP_ERRORS = 2,	  /* enables kf_udp_unreachable */
	KF_UDP_MAX_BYTES = 65536, /* larger than any datagram */
};

/* Converts an address for the socket calls; also used for TCP. */
struct sockaddr_in kf_sockaddr(kf_addr_t addr);

/* Opens a socket bound to local; flags: KF_UDP_SHARE_PORT, KF_UDP_ERRORS. */
kf_status_t kf_udp_open(kf_addr_t local, int flags, int *fd);

/* Opens a socket with a new source port that is connected to remote. */
kf_status_t kf_udp_connect(uint32_t local_ip, kf_addr_t remote, int *fd);

/* Returns the length, or -1 if nothing can be read or on an error. */
ssize_t kf_udp_recv(int fd, uint8_t *buf, size_t cap, kf_addr_t *from);

/* Sends a datagram; one that cannot be sent is dropped silently. */
void kf_udp_send(int fd, kf_addr_t to, const uint8_t *data, size_t len);

/*
 * Discards all queued datagrams.  After a pause of the process they are out of
 * date: their senders have already retried elsewhere.
 */
void kf_udp_discard(int fd);

/*
 * Reads a pending port-unreachable error and sets *to to the address that the
 * datagram was sent to.  Returns 0 if there is none, else 1.
 */
int kf_udp_unreachable(int fd, kf_addr_t *to);

#ifdef __cplusplus
}
#endif

#endif
