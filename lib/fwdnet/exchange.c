#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kf/platform_packet.h"
#include "kf/udp.h"

#include "exchange.h"

enum {
	BATCH = EXCHANGE_BATCH,
	/* One byte more than a packet, so that a longer one is noticed. */
	RECEIVE_BYTES = KF_PLATFORM_MAX_BYTES + 1,
	SEND_BYTES = KF_PLATFORM_PREFIX_BYTES + KF_PLATFORM_MAX_BYTES,
};

struct exchange {
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

exchange_t *
exchange_new(kf_addr_t address)
{
	exchange_t *e;
	int i;

	e = calloc(1, sizeof(*e));
	if (e == NULL)
		return NULL;
	e->client_port = address.port;
	if (kf_udp_open(address, 0, &e->fd) != KF_OK) {
		free(e);
		return NULL;
	}
	for (i = 0; i < BATCH; i++) {
		e->in_iov[i] = (struct iovec){ e->in_data[i], RECEIVE_BYTES };
		e->in[i].msg_hdr.msg_iov = &e->in_iov[i];
		e->in[i].msg_hdr.msg_iovlen = 1;
		e->out_iov[i].iov_base = e->out_data[i];
		e->out[i].msg_hdr.msg_iov = &e->out_iov[i];
		e->out[i].msg_hdr.msg_iovlen = 1;
		e->out[i].msg_hdr.msg_name = &e->out_to[i];
		e->out[i].msg_hdr.msg_namelen = sizeof(e->out_to[i]);
	}
	return e;
}

void
exchange_delete(exchange_t *e)
{
	if (e == NULL)
		return;
	close(e->fd);
	free(e);
}

int
exchange_fd(const exchange_t *e)
{
	return e->fd;
}

int
exchange_receive(exchange_t *e, exchange_packet_fn *fn, void *ctx)
{
	kf_packet_t packet;
	int i, n;

	n = recvmmsg(e->fd, e->in, BATCH, MSG_DONTWAIT, NULL);
	for (i = 0; i < n; i++) {
		size_t len = e->in[i].msg_len;

		if (len == RECEIVE_BYTES ||
		    kf_platform_packet_decode(e->in_data[i], len, &packet) !=
			KF_OK)
			__atomic_fetch_add(&e->malformed, 1, __ATOMIC_RELAXED);
		else
			fn(ctx, &packet, e->in_data[i], len);
	}
	return n < 0 ? 0 : n;
}

/* Returns the place for len bytes to an address. */
static uint8_t *
reserve(exchange_t *e, kf_addr_t to, size_t len)
{
	int i;

	if (e->out_count == BATCH)
		exchange_flush(e);
	i = e->out_count++;
	e->out_to[i] = kf_sockaddr(to);
	e->out_iov[i].iov_len = len;
	return e->out_data[i];
}

void
exchange_send(exchange_t *e, const kf_upstream_info_t *upstream, uint32_t token,
    const uint8_t *datagram, size_t len)
{
	uint8_t *out =
	    reserve(e, upstream->address, KF_PLATFORM_PREFIX_BYTES + len);

	kf_platform_packet_prefix(out, upstream->id);
	memcpy(out + KF_PLATFORM_PREFIX_BYTES, datagram, len);
	kf_platform_packet_set_token(out + KF_PLATFORM_PREFIX_BYTES, token);
}

void
exchange_reset(exchange_t *e, const kf_packet_t *packet)
{
	kf_addr_t to = { .ip = packet->client.ip, .port = e->client_port };

	kf_platform_packet_reset(
	    reserve(e, to, KF_PLATFORM_HEADER_BYTES), packet);
}

void
exchange_flush(exchange_t *e)
{
	int sent, done = 0;

	while (done < e->out_count) {
		sent = sendmmsg(e->fd, e->out + done,
		    (unsigned)(e->out_count - done), MSG_DONTWAIT);
		if (sent > 0)
			done += sent;
		else if (errno != EINTR) {
			/* As on a network: the ends send again. */
			__atomic_fetch_add(&e->unsent, 1, __ATOMIC_RELAXED);
			done++;
		}
	}
	e->out_count = 0;
}

uint64_t
exchange_malformed(const exchange_t *e)
{
	return __atomic_load_n(&e->malformed, __ATOMIC_RELAXED);
}

uint64_t
exchange_unsent(const exchange_t *e)
{
	return __atomic_load_n(&e->unsent, __ATOMIC_RELAXED);
}
