#include <arpa/inet.h>
#include <linux/errqueue.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "kf/udp.h"

enum {
	SOCKET_BUFFER_BYTES = 1 << 20,
	DISCARD_MAX = 65536,
};

struct sockaddr_in
kf_sockaddr(kf_addr_t addr)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(addr.port),
		.sin_addr.s_addr = htonl(addr.ip),
	};
}

static kf_addr_t
addr_from_sockaddr(const struct sockaddr_in *sin)
{
	return (kf_addr_t){
		.ip = ntohl(sin->sin_addr.s_addr),
		.port = ntohs(sin->sin_port),
	};
}

static int
udp_socket(void)
{
	int fd, size = SOCKET_BUFFER_BYTES;

	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	return fd;
}

static kf_status_t
udp_error(int fd, const char *failed_action, kf_addr_t addr)
{
	char text[KF_ADDR_TEXT_BYTES];
	int error = errno;

	if (fd >= 0)
		close(fd);
	return kf_status_set(KF_ERR_IO, "cannot %s %s: %s", failed_action,
	    kf_addr_format(addr, text), strerror(error));
}

kf_status_t
kf_udp_open(kf_addr_t local, int flags, int *fd)
{
	struct sockaddr_in sin = kf_sockaddr(local);
	int on = 1;

	*fd = udp_socket();
	if (*fd < 0)
		return udp_error(*fd, "open", local);
	if (flags & KF_UDP_SHARE_PORT)
		setsockopt(*fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	if (flags & KF_UDP_ERRORS)
		setsockopt(*fd, IPPROTO_IP, IP_RECVERR, &on, sizeof(on));
	if (bind(*fd, (struct sockaddr *)&sin, sizeof(sin)) < 0)
		return udp_error(*fd, "bind", local);
	return KF_OK;
}

kf_status_t
kf_udp_connect(uint32_t local_ip, kf_addr_t remote, int *fd)
{
	kf_addr_t local = { .ip = local_ip };
	struct sockaddr_in from = kf_sockaddr(local);
	struct sockaddr_in to = kf_sockaddr(remote);

	*fd = udp_socket();
	if (*fd < 0)
		return udp_error(*fd, "open", remote);
	if (bind(*fd, (struct sockaddr *)&from, sizeof(from)) < 0 ||
	    connect(*fd, (struct sockaddr *)&to, sizeof(to)) < 0)
		return udp_error(*fd, "connect", remote);
	return KF_OK;
}

ssize_t
kf_udp_recv(int fd, uint8_t *buf, size_t cap, kf_addr_t *from)
{
	struct sockaddr_in sin = { 0 };
	socklen_t sin_len = sizeof(sin);
	ssize_t len;

	len = recvfrom(fd, buf, cap, 0, (struct sockaddr *)&sin, &sin_len);
	*from = addr_from_sockaddr(&sin);
	return len;
}

void
kf_udp_send(int fd, kf_addr_t to, const uint8_t *data, size_t len)
{
	struct sockaddr_in sin = kf_sockaddr(to);

	/*
	 * With IP_RECVERR, a pending error of an earlier datagram makes this
	 * call fail once without sending; the retry sends the datagram.
	 */
	if (sendto(fd, data, len, 0, (struct sockaddr *)&sin, sizeof(sin)) <
		0 &&
	    errno == ECONNREFUSED)
		(void)sendto(
		    fd, data, len, 0, (struct sockaddr *)&sin, sizeof(sin));
}

void
kf_udp_discard(int fd)
{
	uint8_t byte;
	int i;

	/* Bounded, as datagrams may arrive as fast as they are read. */
	for (i = 0; i < DISCARD_MAX; i++) {
		if (recv(fd, &byte, sizeof(byte), 0) < 0)
			return;
	}
}

int
kf_udp_unreachable(int fd, kf_addr_t *to)
{
	char control[512], data[64];
	struct sockaddr_in sin;
	struct iovec iov = { data, sizeof(data) };
	struct msghdr msg = {
		.msg_name = &sin,
		.msg_namelen = sizeof(sin),
		.msg_iov = &iov,
		.msg_iovlen = 1,
		.msg_control = control,
		.msg_controllen = sizeof(control),
	};
	struct sock_extended_err err;
	struct cmsghdr *cmsg;

	while (recvmsg(fd, &msg, MSG_ERRQUEUE) >= 0) {
		for (cmsg = CMSG_FIRSTHDR(&msg); cmsg != NULL;
		     cmsg = CMSG_NXTHDR(&msg, cmsg)) {
			if (cmsg->cmsg_level != IPPROTO_IP ||
			    cmsg->cmsg_type != IP_RECVERR)
				continue;
			memcpy(&err, CMSG_DATA(cmsg), sizeof(err));
			if (err.ee_errno != ECONNREFUSED)
				continue;
			*to = addr_from_sockaddr(&sin);
			return 1;
		}
		msg.msg_namelen = sizeof(sin);
		msg.msg_controllen = sizeof(control);
	}
	return 0;
}
