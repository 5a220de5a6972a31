#include <string.h>

#include "kf/peer_seal.h"

#include "control_internal.h"

static kf_peer_doc_version
doc_version(const kf_control_t *c, kf_doc_kind_t kind)
{
	kf_doc_version_t v = kf_confdist_doc(c->confdist, kind).version;

	return (kf_peer_doc_version){
		.revision = v.revision,
		.platform_version = v.platform_version,
	};
}

static void
heartbeat_send(kf_control_t *c, const kf_heartbeat_target_t *target)
{
	kf_peer_msg msg = { .body.type = KF_PEER_HEARTBEAT };
	kf_peer_heartbeat *hb = &msg.body.kf_peer_body_u.heartbeat;
	kf_peer_digest digests[KF_PEER_MAX_DIGESTS];
	size_t len, room;

	kf_membership_fill_heartbeat(c->membership, c->now.mono_us, target, hb);
	hb->declaration = doc_version(c, KF_DOC_DECLARATION);
	hb->keys_version = doc_version(c, KF_DOC_KEYS).platform_version;
	hb->vms_version = doc_version(c, KF_DOC_VMS).platform_version;
	hb->confirmed_age_ms =
	    (u_int)kf_confdist_contact_age_ms(c->confdist, c->now.mono_us);
	room = kf_membership_digest_max(c->membership, hb);
	if (room > KF_PEER_MAX_DIGESTS)
		room = KF_PEER_MAX_DIGESTS;
	hb->digests.digests_len = digests_collect(c, digests, (uint32_t)room);
	hb->digests.digests_val = digests;
	msg.from.vm = c->config.membership.self.vm;
	msg.from.incarnation = c->config.membership.self.incarnation;
	if (kf_peer_seal(&msg, documents_keys(c), c->now.wall_ms / 1000, c->buf,
		sizeof(c->buf), &len) != KF_OK)
		return;
	kf_counters_add(
	    &c->counters, KF_COUNT_CONTROL_BYTES_SENT, len + KF_UDP_IP_BYTES);
	c->config.ops.send(c->config.ops.ctx, target->addr, c->buf, len);
}

void
heartbeat_send_due(kf_control_t *c)
{
	kf_heartbeat_target_t targets[KF_TARGETS_MAX];
	size_t count, i;

	/* Without keys a heartbeat could not be authenticated. */
	if (documents_keys(c) == NULL)
		return;
	count = kf_membership_targets(
	    c->membership, c->now.mono_us, targets, KF_TARGETS_MAX);
	for (i = 0; i < count; i++)
		heartbeat_send(c, &targets[i]);
}

static void
heartbeat_accept(kf_control_t *c, kf_addr_t from, const kf_peer_msg *msg)
{
	const kf_peer_heartbeat *hb = &msg->body.kf_peer_body_u.heartbeat;
	kf_doc_version_t versions[KF_DOC_KINDS] = {
		[KF_DOC_DECLARATION] = { hb->declaration.revision,
		    hb->declaration.platform_version },
		[KF_DOC_KEYS] = { 0, hb->keys_version },
		[KF_DOC_VMS] = { 0, hb->vms_version },
	};

	if (kf_membership_on_heartbeat(
		c->membership, c->now.mono_us, hb, msg->from, from) != KF_OK)
		return;
	kf_confdist_on_peer_versions(c->confdist, c->now.mono_us, msg->from.vm,
	    versions, (int32_t)hb->confirmed_age_ms);
	digests_on_heartbeat(c, hb);
}

void
heartbeat_on_datagram(
    kf_control_t *c, kf_addr_t from, const uint8_t *data, size_t len)
{
	kf_keyring_t *keys = documents_keys(c);
	kf_peer_msg msg;

	kf_counters_add(&c->counters, KF_COUNT_CONTROL_BYTES_RECEIVED,
	    len + KF_UDP_IP_BYTES);
	if (keys == NULL)
		return;
	if (kf_peer_open(data, len, keys, c->now.wall_ms / 1000, &msg) !=
	    KF_OK) {
		kf_counters_add(&c->counters, KF_COUNT_PEER_REJECTED, 1);
		return;
	}
	if (msg.body.type == KF_PEER_HEARTBEAT)
		heartbeat_accept(c, from, &msg);
	kf_peer_free(&msg);
}
