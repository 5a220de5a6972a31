#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "kf/standin.h"

/* For bursts of some thousand datagrams; the kernel may grant less. */
enum { SOCKET_BUFFER_BYTES = 4 * 1024 * 1024 };

static bool
is_loopback(uint32_t ip)
{
	return ip >> 24 == 127;
}

struct sockaddr_in
kf_sim_sockaddr(kf_addr_t addr)
{
	struct sockaddr_in sin;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(addr.ip);
	sin.sin_port = htons(addr.port);
	return sin;
}

kf_status_t
kf_sim_addr_parse(const char *text, kf_addr_t *addr)
{
	kf_status_t status;

	status = kf_addr_parse(text, addr);
	if (status != KF_OK)
		return status;
	if (!is_loopback(addr->ip))
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is outside 127.0.0.0/8", text);
	return KF_OK;
}

kf_status_t
kf_sim_ip_parse(const char *text, uint32_t *ip)
{
	struct in_addr in;

	if (inet_pton(AF_INET, text, &in) != 1)
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is not an IPv4 address", text);
	*ip = ntohl(in.s_addr);
	if (!is_loopback(*ip))
		return kf_status_set(
		    KF_ERR_INVALID, "'%s' is outside 127.0.0.0/8", text);
	return KF_OK;
}

kf_status_t
kf_sim_udp_open(kf_addr_t addr, int *fd)
{
	struct sockaddr_in sin = kf_sim_sockaddr(addr);
	int size = SOCKET_BUFFER_BYTES;
	char text[KF_ADDR_TEXT_BYTES];

	if (!is_loopback(addr.ip))
		return kf_status_set(KF_ERR_INVALID,
		    "%s is outside 127.0.0.0/8", kf_addr_format(addr, text));
	*fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return kf_status_set(
		    KF_ERR_IO, "cannot open a socket: %s", strerror(errno));
	setsockopt(*fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(*fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (bind(*fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		kf_status_set(KF_ERR_IO, "cannot bind %s: %s",
		    kf_addr_format(addr, text), strerror(errno));
		close(*fd);
		*fd = -1;
		return KF_ERR_IO;
	}
	return KF_OK;
}

ssize_t
kf_sim_udp_recv(int fd, kf_addr_t *src, uint8_t *buf, size_t cap)
{
	struct sockaddr_in sin;
	socklen_t len;
	ssize_t n;

	for (;;) {
		len = sizeof(sin);
		n = recvfrom(fd, buf, cap, 0, (struct sockaddr *)&sin, &len);
		if (n < 0 && errno != EINTR && errno != ECONNREFUSED)
			return -1;
		if (n < 0)
			continue;
		src->ip = ntohl(sin.sin_addr.s_addr);
		src->port = ntohs(sin.sin_port);
		if (is_loopback(src->ip))
			return n;
	}
}

bool
kf_sim_udp_send(int fd, kf_addr_t dst, const uint8_t *buf, size_t len)
{
	struct sockaddr_in sin = kf_sim_sockaddr(dst);

	if (!is_loopback(dst.ip) || dst.port == 0)
		return false;
	return sendto(fd, buf, len, 0, (struct sockaddr *)&sin, sizeof(sin)) ==
	    (ssize_t)len;
}
