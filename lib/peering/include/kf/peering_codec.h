#ifndef KF_PEERING_CODEC_H
#define KF_PEERING_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/replica.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_changes - encoding of replica changes
 *
 * DESCRIPTION
 *	Changes that a VM sends to another are encoded as XDR and compressed.
 */

/* Returns a buffer that the caller frees, or NULL on failure. */
uint8_t *kf_changes_encode(uint64_t revision, bool listing,
    const kf_item_change_t *items, size_t count, size_t *len);

/*
 * Calls begin once, then item for each item.  If the data are invalid, neither
 * is called.
 */
kf_status_t kf_changes_decode(const uint8_t *data, size_t len,
    void (*begin)(void *ctx, uint64_t revision, bool listing),
    kf_item_change_fn *item, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
