#include <stdlib.h>
#include <string.h>

#include "kf/peering_codec.h"

#include "peering_msg.h"

uint8_t *
kf_changes_encode(uint64_t revision, bool listing,
    const kf_item_change_t *items, size_t count, size_t *len)
{
	peering_changes changes = { .revision = revision, .listing = listing };
	uint8_t *buf = NULL;
	size_t i, cap;
	XDR xdr;

	if (count > PEERING_MAX_ITEMS) {
		kf_status_set(KF_ERR_FULL, "%zu items in one answer", count);
		return NULL;
	}
	changes.items.items_len = (u_int)count;
	changes.items.items_val =
	    calloc(count == 0 ? 1 : count, sizeof(peering_item));
	if (changes.items.items_val == NULL)
		return NULL;
	for (i = 0; i < count; i++)
		changes.items.items_val[i] = (peering_item){
			.key = (char *)(uintptr_t)items[i].key,
			.revision = items[i].revision,
			.removed = items[i].removed,
			.value.value_len = (u_int)items[i].len,
			.value.value_val = (char *)(uintptr_t)items[i].value,
		};
	cap = xdr_sizeof((xdrproc_t)xdr_peering_changes, &changes);
	buf = malloc(cap == 0 ? 1 : cap);
	if (buf != NULL) {
		xdrmem_create(&xdr, (char *)buf, (u_int)cap, XDR_ENCODE);
		if (!xdr_peering_changes(&xdr, &changes)) {
			kf_status_set(
			    KF_ERR_INVALID, "changes cannot be encoded");
			free(buf);
			buf = NULL;
		}
		*len = cap;
		xdr_destroy(&xdr);
	}
	free(changes.items.items_val);
	return buf;
}

kf_status_t
kf_changes_decode(const uint8_t *data, size_t len,
    void (*begin)(void *ctx, uint64_t revision, bool listing),
    kf_item_change_fn *item, void *ctx)
{
	peering_changes changes = { 0 };
	bool_t decoded;
	XDR xdr;
	u_int i;

	xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	decoded = xdr_peering_changes(&xdr, &changes);
	xdr_destroy(&xdr);
	if (decoded) {
		begin(ctx, changes.revision, changes.listing);
		for (i = 0; i < changes.items.items_len; i++) {
			const peering_item *from = &changes.items.items_val[i];
			kf_item_change_t to = {
				.key = from->key,
				.revision = from->revision,
				.removed = from->removed,
				.value = (const uint8_t *)from->value.value_val,
				.len = from->value.value_len,
			};

			item(ctx, &to);
		}
	}
	xdr_free((xdrproc_t)xdr_peering_changes, (char *)&changes);
	return decoded
	    ? KF_OK
	    : kf_status_set(KF_ERR_INVALID, "changes cannot be decoded");
}
