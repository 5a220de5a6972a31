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
	KF_UDP_ERRORS = 2,	  /* port-unreachable errors are reported */
	KF_UDP_MAX_BYTES = 65536, /* larger than any datagram */
};

/* The address as the system takes it, for TCP as well. */
struct sockaddr_in kf_sockaddr(kf_addr_t addr);

kf_status_t kf_udp_open(kf_addr_t local, int flags, int *fd);

/* A socket with a new source port, connected to remote. */
kf_status_t kf_udp_connect(uint32_t local_ip, kf_addr_t remote, int *fd);

/* Returns the length, or -1: nothing to read, or an error of the socket. */
ssize_t kf_udp_recv(int fd, uint8_t *buf, size_t cap, kf_addr_t *from);

/* Datagrams that cannot be sent are lost, as on a network. */
void kf_udp_send(int fd, kf_addr_t to, const uint8_t *data, size_t len);

/*
 * Drops what waits to be read.  After a pause of the process these datagrams
 * are old: their senders have tried elsewhere.
 */
void kf_udp_discard(int fd);

/* Reads a pending port-unreachable error; returns 0 if there is none. */
int kf_udp_unreachable(int fd, kf_addr_t *to);

#ifdef __cplusplus
}
#endif

#endif
