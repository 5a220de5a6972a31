#include <stdlib.h>
#include <string.h>

#include "kf/peering_codec.h"

#include "change_feed.h"

/* Encodes all items, or those that have changed after a revision. */
static uint8_t *
encode_changes(
    const kf_replica_t *replica, bool listing, uint64_t after, size_t *len)
{
	size_t i, count = 0, known = kf_replica_count(replica);
	kf_changes_head_t head = {
		.position = kf_replica_position(replica),
		.era_start = kf_replica_era_start(replica),
		.listing = listing,
	};
	kf_item_change_t *items;
	uint8_t *data;

	items = calloc(known + 1, sizeof(*items));
	if (items == NULL)
		return NULL;
	for (i = 0; i < known; i++) {
		const kf_item_t *item = kf_replica_at(replica, i);

		if (listing ? item->removed : item->revision <= after)
			continue;
		items[count++] = (kf_item_change_t){
			.key = item->key,
			.revision = item->revision,
			.removed = item->removed,
			.value = item->value,
			.len = item->len,
		};
	}
	data = kf_changes_encode(&head, items, count, len);
	free(items);
	return data;
}

static bool
update_listing(change_feed_t *feed, const kf_replica_t *replica)
{
	kf_store_position_t at = kf_replica_position(replica);

	if (feed->listing != NULL &&
	    kf_store_position_compare(feed->position, at) == 0)
		return true;
	free(feed->listing);
	feed->listing = encode_changes(replica, true, 0, &feed->len);
	feed->position = at;
	return feed->listing != NULL;
}

uint8_t *
change_feed_encode(change_feed_t *feed, const kf_replica_t *replica,
    kf_store_position_t after, size_t *len)
{
	uint8_t *copy;

	if (after.era == kf_replica_position(replica).era &&
	    kf_replica_has_changes_after(replica, after.revision))
		return encode_changes(replica, false, after.revision, len);
	if (!update_listing(feed, replica))
		return NULL;
	copy = malloc(feed->len);
	if (copy == NULL)
		return NULL;
	memcpy(copy, feed->listing, feed->len);
	*len = feed->len;
	return copy;
}

void
change_feed_free(change_feed_t *feed)
{
	free(feed->listing);
	feed->listing = NULL;
}
