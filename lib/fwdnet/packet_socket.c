#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/platform_packet.h"
#include "kf/udp.h"

#include "packet_socket.h"

enum {
	BATCH = PACKET_SOCKET_BATCH,
	/* One byte more than the largest packet, to detect longer ones. */
	RECEIVE_BYTES = KF_PLATFORM_MAX_BYTES + 1,
	SEND_BYTES = KF_PLATFORM_PREFIX_BYTES + KF_PLATFORM_MAX_BYTES,
};

struct packet_socket {
	int fd;
	uint16_t client_port;
	uint64_t malformed;
	uint64_t unsent;
	struct mmsghdr in[BATCH];
	struct iovec in_iov[BATCH];
	uint8_t in_data[BATCH][RECEIVE_BYTES];
	int out_count;
	struct mmsghdr out[BATCH];
	struct iovec out_iov[BATCH];
	struct sockaddr_in out_to[BATCH];
	uint8_t out_data[BATCH][SEND_BYTES];
};

packet_socket_t *
packet_socket_new(kf_addr_t address)
{
	packet_socket_t *s;
	int i;

	s = calloc(1, sizeof(*s));
	if (s == NULL)
		return NULL;
	s->client_port = address.port;
	if (kf_udp_open(address, 0, &s->fd) != KF_OK) {
		free(s);
		return NULL;
	}
	for (i = 0; i < BATCH; i++) {
		s->in_iov[i] = (struct iovec){ s->in_data[i], RECEIVE_BYTES };
		s->in[i].msg_hdr.msg_iov = &s->in_iov[i];
		s->in[i].msg_hdr.msg_iovlen = 1;
		s->out_iov[i].iov_base = s->out_data[i];
		s->out[i].msg_hdr.msg_iov = &s->out_iov[i];
		s->out[i].msg_hdr.msg_iovlen = 1;
		s->out[i].msg_hdr.msg_name = &s->out_to[i];
		s->out[i].msg_hdr.msg_namelen = sizeof(s->out_to[i]);
	}
	return s;
}

void
packet_socket_delete(packet_socket_t *s)
{
	if (s == NULL)
		return;
	close(s->fd);
	free(s);
}

int
packet_socket_fd(const packet_socket_t *s)
{
	return s->fd;
}

int
packet_socket_receive(
    packet_socket_t *s, packet_socket_packet_fn *fn, void *ctx)
{
	kf_packet_t packet;
	int i, n;

	n = recvmmsg(s->fd, s->in, BATCH, MSG_DONTWAIT, NULL);
	for (i = 0; i < n; i++) {
		size_t len = s->in[i].msg_len;

		if (len == RECEIVE_BYTES ||
		    kf_platform_packet_decode(s->in_data[i], len, &packet) !=
			KF_OK)
			__atomic_fetch_add(&s->malformed, 1, __ATOMIC_RELAXED);
		else
			fn(ctx, &packet, s->in_data[i], len);
	}
	return n < 0 ? 0 : n;
}

/* Queues a datagram of len bytes; returns the buffer for its contents. */
static uint8_t *
queue_datagram(packet_socket_t *s, kf_addr_t to, size_t len)
{
	int i;

	if (s->out_count == BATCH)
		packet_socket_flush(s);
	i = s->out_count++;
	s->out_to[i] = kf_sockaddr(to);
	s->out_iov[i].iov_len = len;
	return s->out_data[i];
}

void
packet_socket_send(packet_socket_t *s, const kf_upstream_info_t *upstream,
    uint32_t token, const uint8_t *datagram, size_t len)
{
	uint8_t *out = queue_datagram(
	    s, upstream->address, KF_PLATFORM_PREFIX_BYTES + len);

	kf_platform_packet_prefix(out, upstream->id);
	memcpy(out + KF_PLATFORM_PREFIX_BYTES, datagram, len);
	kf_platform_packet_set_token(out + KF_PLATFORM_PREFIX_BYTES, token);
}

void
packet_socket_send_reset(packet_socket_t *s, const kf_packet_t *packet)
{
	kf_addr_t to = { .ip = packet->client.ip, .port = s->client_port };

	kf_platform_packet_reset(
	    queue_datagram(s, to, KF_PLATFORM_HEADER_BYTES), packet);
}

void
packet_socket_flush(packet_socket_t *s)
{
	int sent, done = 0;

	while (done < s->out_count) {
		sent = sendmmsg(s->fd, s->out + done,
		    (unsigned)(s->out_count - done), MSG_DONTWAIT);
		if (sent > 0)
			done += sent;
		else if (errno != EINTR) {
			/* Dropped like a packet lost on the network: clients
			 * and upstreams retransmit. */
			__atomic_fetch_add(&s->unsent, 1, __ATOMIC_RELAXED);
			done++;
		}
	}
	s->out_count = 0;
}

uint64_t
packet_socket_malformed(const packet_socket_t *s)
{
	return __atomic_load_n(&s->malformed, __ATOMIC_RELAXED);
}

uint64_t
packet_socket_unsent(const packet_socket_t *s)
{
	return __atomic_load_n(&s->unsent, __ATOMIC_RELAXED);
}
