/*
 * Guards against crashes and leaks on malformed beacons and changes from other
 * VMs, and against a view that contradicts itself after a malformed beacon.
 */
#include <stdlib.h>

#include <zstd.h>

#include "kf/peering.h"
#include "kf/peering_codec.h"

static bool
on_begin(void *ctx, const kf_changes_head_t *head)
{
	(void)ctx;
	(void)head;
	return true;
}

static void
on_item(void *ctx, const kf_item_change_t *item)
{
	(void)ctx;
	if (item->key == NULL)
		abort();
}

/* Changes are sent compressed: this tests malformed data in a valid frame. */
static void
decode_compressed(const uint8_t *data, size_t size)
{
	size_t cap = ZSTD_compressBound(size), len;
	uint8_t *packed = malloc(cap);

	if (packed == NULL)
		return;
	len = ZSTD_compress(packed, cap, data, size, 1);
	if (!ZSTD_isError(len))
		(void)kf_changes_decode(packed, len, on_begin, on_item, NULL);
	free(packed);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const kf_peering_config_t config = { .ip = 1, .zone = 2 };
	const kf_peering_self_t self = { .contact_us = INT64_MIN };
	uint8_t beacon[KF_PEERING_BEACON_MAX_BYTES];
	kf_peering_view_t view;
	kf_peering_t *peering;

	peering = kf_peering_new(&config);
	if (peering == NULL)
		return 0;
	(void)kf_peering_receive(peering, data, size, 1000000);
	view = kf_peering_view(peering, &self, 1000000);
	if (view.rank >= view.zone_count || view.zone_count > view.vm_count)
		abort();
	if (kf_peering_encode_beacon(peering, &self, 3, 1000000, beacon) == 0)
		abort();
	kf_peering_delete(peering);
	(void)kf_changes_decode(data, size, on_begin, on_item, NULL);
	decode_compressed(data, size);
	return 0;
}
