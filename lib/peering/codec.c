#include <stdlib.h>
#include <string.h>

#include <zstd.h>

#include "kf/peering_codec.h"

#include "peering_msg.h"

enum {
	/* The fastest level: a configuration of 1,093 routes shrinks from 174
	 * to 15 KB, 12 ms on a link of 10 Mbit/s. */
	PACK_LEVEL = 1,
	/* Compression gains little on smaller values. */
	PACK_MIN_BYTES = 512,
};

/*
 * Sets the value of an item, compressed if that is shorter.  Returns memory
 * that holds the compressed value, or NULL.
 */
static void *
pack_value(peering_item *item, const uint8_t *value, size_t len)
{
	size_t cap = ZSTD_compressBound(len), packed;
	void *buf;

	item->value.value_len = (u_int)len;
	item->value.value_val = (char *)(uintptr_t)value;
	if (len < PACK_MIN_BYTES)
		return NULL;
	buf = malloc(cap);
	if (buf == NULL)
		return NULL;
	packed = ZSTD_compress(buf, cap, value, len, PACK_LEVEL);
	if (ZSTD_isError(packed) || packed >= len) {
		free(buf);
		return NULL;
	}
	item->plain_bytes = (u_int)len;
	item->value.value_len = (u_int)packed;
	item->value.value_val = buf;
	return buf;
}

/* Returns the value in memory that the caller frees, or NULL. */
static uint8_t *
unpack_value(const peering_item *item)
{
	uint8_t *value;
	size_t len;

	if (item->plain_bytes > PEERING_MAX_VALUE)
		return NULL;
	value = malloc(item->plain_bytes);
	if (value == NULL)
		return NULL;
	len = ZSTD_decompress(value, item->plain_bytes, item->value.value_val,
	    item->value.value_len);
	if (len != item->plain_bytes) {
		free(value);
		return NULL;
	}
	return value;
}

static uint8_t *
encode(peering_changes *changes, size_t *len)
{
	size_t cap = xdr_sizeof((xdrproc_t)xdr_peering_changes, changes);
	uint8_t *buf = malloc(cap == 0 ? 1 : cap);
	bool_t encoded;
	XDR xdr;

	if (buf == NULL)
		return NULL;
	xdrmem_create(&xdr, (char *)buf, (u_int)cap, XDR_ENCODE);
	encoded = xdr_peering_changes(&xdr, changes);
	xdr_destroy(&xdr);
	if (!encoded) {
		kf_status_set(KF_ERR_INVALID, "changes cannot be encoded");
		free(buf);
		return NULL;
	}
	*len = cap;
	return buf;
}

uint8_t *
kf_changes_encode(uint64_t revision, bool listing,
    const kf_item_change_t *items, size_t count, size_t *len)
{
	peering_changes changes = { .revision = revision, .listing = listing };
	uint8_t *buf = NULL;
	void **packed;
	size_t i;

	if (count > PEERING_MAX_ITEMS) {
		kf_status_set(KF_ERR_FULL, "%zu items in one answer", count);
		return NULL;
	}
	changes.items.items_len = (u_int)count;
	changes.items.items_val = calloc(count + 1, sizeof(peering_item));
	packed = calloc(count + 1, sizeof(*packed));
	if (changes.items.items_val != NULL && packed != NULL) {
		for (i = 0; i < count; i++) {
			peering_item *to = &changes.items.items_val[i];

			to->key = (char *)(uintptr_t)items[i].key;
			to->revision = items[i].revision;
			to->removed = items[i].removed;
			packed[i] =
			    pack_value(to, items[i].value, items[i].len);
		}
		buf = encode(&changes, len);
		for (i = 0; i < count; i++)
			free(packed[i]);
	}
	free(packed);
	free(changes.items.items_val);
	return buf;
}

static kf_status_t
take_item(const peering_item *from, kf_item_change_fn *item, void *ctx)
{
	kf_item_change_t to = {
		.key = from->key,
		.revision = from->revision,
		.removed = from->removed,
		.value = (const uint8_t *)from->value.value_val,
		.len = from->value.value_len,
	};
	uint8_t *value = NULL;

	if (from->plain_bytes != 0) {
		value = unpack_value(from);
		if (value == NULL)
			return kf_status_set(KF_ERR_INVALID,
			    "value of '%.40s' cannot be decompressed",
			    from->key);
		to.value = value;
		to.len = from->plain_bytes;
	}
	item(ctx, &to);
	free(value);
	return KF_OK;
}

kf_status_t
kf_changes_decode(const uint8_t *data, size_t len,
    void (*begin)(void *ctx, uint64_t revision, bool listing),
    kf_item_change_fn *item, void *ctx)
{
	kf_status_t status = KF_OK;
	peering_changes changes = { 0 };
	bool_t decoded;
	XDR xdr;
	u_int i;

	xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	decoded = xdr_peering_changes(&xdr, &changes);
	xdr_destroy(&xdr);
	if (decoded) {
		begin(ctx, changes.revision, changes.listing);
		for (i = 0; i < changes.items.items_len && status == KF_OK; i++)
			status =
			    take_item(&changes.items.items_val[i], item, ctx);
	} else
		status =
		    kf_status_set(KF_ERR_INVALID, "changes cannot be decoded");
	xdr_free((xdrproc_t)xdr_peering_changes, (char *)&changes);
	return status;
}
