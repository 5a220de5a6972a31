#include <stdlib.h>
#include <string.h>

#include "kf/pending_syns.h"

enum { FIRST_CAP = 32 };

static bool
reserve(kf_pending_syns_t *p)
{
	kf_pending_syn_t *grown;
	size_t cap = p->cap == 0 ? FIRST_CAP : p->cap * 2;

	if (p->count < p->cap)
		return true;
	if (p->count == KF_PENDING_SYNS_MAX)
		return false;
	grown = realloc(p->list, cap * sizeof(*grown));
	if (grown == NULL)
		return false;
	p->list = grown;
	p->cap = cap;
	return true;
}

/* Returns the SYN of which packet is a copy, or NULL. */
static kf_pending_syn_t *
find(const kf_pending_syns_t *p, const kf_packet_t *packet)
{
	size_t i;

	for (i = 0; i < p->count; i++) {
		kf_pending_syn_t *syn = &p->list[i];

		if (kf_addr_equal(syn->packet.client, packet->client) &&
		    kf_addr_equal(syn->packet.address, packet->address) &&
		    syn->packet.sequence == packet->sequence)
			return syn;
	}
	return NULL;
}

bool
kf_pending_syns_add(kf_pending_syns_t *p, const kf_packet_t *packet,
    const uint8_t *datagram, size_t len, int64_t now_us)
{
	kf_pending_syn_t *syn = find(p, packet);

	if (len > KF_FLOW_SYN_BYTES || (syn == NULL && !reserve(p)))
		return false;
	if (syn == NULL) {
		syn = &p->list[p->count++];
		syn->received_us = now_us;
	}
	syn->packet = *packet;
	memcpy(syn->datagram, datagram, len);
	syn->len = len;
	return true;
}

void
kf_pending_syns_clear(kf_pending_syns_t *p)
{
	free(p->list);
	*p = (kf_pending_syns_t){ 0 };
}
