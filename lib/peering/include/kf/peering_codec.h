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

typedef struct kf_changes_head {
	kf_store_position_t position; /* of the sender */
	uint64_t era_start;	      /* see kf_replica_era_start */
	bool listing; /* the items are the whole replica, not changes */
} kf_changes_head_t;

/* Returns a buffer that the caller frees, or NULL on failure. */
uint8_t *kf_changes_encode(const kf_changes_head_t *head,
    const kf_item_change_t *items, size_t count, size_t *len);

/*
 * Calls begin once, then item for each item if begin returns true.  If the data
 * are invalid, neither is called.
 */
typedef bool kf_changes_begin_fn(void *ctx, const kf_changes_head_t *head);

kf_status_t kf_changes_decode(const uint8_t *data, size_t len,
    kf_changes_begin_fn *begin, kf_item_change_fn *item, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
