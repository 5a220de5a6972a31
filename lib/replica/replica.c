#include <stdlib.h>
#include <string.h>

#include "kf/search.h"

#include "replica_internal.h"

enum { FIRST_CAP = 64 };

kf_replica_t *
kf_replica_new(kf_replica_changed_fn *changed, void *ctx)
{
	kf_replica_t *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->changed = changed;
	r->ctx = ctx;
	return r;
}

void
replica_item_delete(kf_item_t *item)
{
	free(item->key);
	free(item->value);
	free(item);
}

void
kf_replica_delete(kf_replica_t *r)
{
	size_t i;

	if (r == NULL)
		return;
	for (i = 0; i < r->count; i++)
		replica_item_delete(r->items[i]);
	for (i = 0; i < KF_SOURCE_COUNT; i++)
		kf_replica_delete(r->next_era[i]);
	free(r->items);
	free(r);
}

kf_store_position_t
kf_replica_position(const kf_replica_t *r)
{
	return (kf_store_position_t){ r->era, r->revision };
}

uint64_t
kf_replica_era_start(const kf_replica_t *r)
{
	return r->era_start;
}

static int
key_compare(const void *key, const void *element)
{
	return strcmp(key, (*(kf_item_t *const *)element)->key);
}

static size_t
position_of(const kf_replica_t *r, const char *key)
{
	return kf_lower_bound(
	    key, r->items, r->count, sizeof(kf_item_t *), key_compare);
}

/* Returns true if the replica has the item or its tombstone at this index. */
static bool
has_key_at(const kf_replica_t *r, size_t at, const char *key)
{
	return at < r->count && strcmp(r->items[at]->key, key) == 0;
}

/*
 * Returns true if an item was removed although the replica has no tombstone of
 * this revision.  The replica holds every item that existed at
 * compacted_revision, so an older one that it lacks was removed by then.  A
 * listing of the time before shows it nevertheless, for example one of a VM
 * that is behind.
 */
static bool
was_removed(const kf_replica_t *r, kf_source_t source, const char *key,
    uint64_t revision)
{
	size_t at = position_of(r, key);

	return revision <= r->compacted_revision &&
	    r->page_revision[source] <= r->compacted_revision &&
	    (!has_key_at(r, at, key) || r->items[at]->removed);
}

/*
 * Returns the item with this key, adding one with revision 0 if there is none;
 * NULL if memory is short.
 */
static kf_item_t *
find_or_add(kf_replica_t *r, const char *key)
{
	size_t at = position_of(r, key), cap;
	kf_item_t *item, **grown;

	if (has_key_at(r, at, key))
		return r->items[at];
	if (r->count == r->cap) {
		cap = r->cap == 0 ? FIRST_CAP : r->cap * 2;
		grown = realloc(r->items, cap * sizeof(kf_item_t *));
		if (grown == NULL)
			return NULL;
		r->items = grown;
		r->cap = cap;
	}
	item = calloc(1, sizeof(*item));
	if (item == NULL)
		return NULL;
	item->key = strdup(key);
	if (item->key == NULL) {
		free(item);
		return NULL;
	}
	item->removed = true;
	memmove(r->items + at + 1, r->items + at,
	    (r->count - at) * sizeof(kf_item_t *));
	r->items[at] = item;
	r->count++;
	return item;
}

kf_status_t
kf_replica_put(kf_replica_t *r, kf_source_t source, const char *key,
    const uint8_t *value, size_t len, uint64_t revision, int64_t now_us)
{
	kf_item_t *item;
	uint8_t *copy;

	if (r->collecting[source])
		return replica_collect_item(
		    r, source, key, value, len, revision, now_us);
	if (strlen(key) > KF_KEY_MAX_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "key '%.40s...' is longer than %d bytes", key,
		    KF_KEY_MAX_BYTES);
	if (was_removed(r, source, key, revision))
		return KF_OK;
	item = find_or_add(r, key);
	copy = item == NULL ? NULL : malloc(len + 1);
	if (copy == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory for an item");
	item->listed[source] = true;
	if (revision <= item->revision) {
		free(copy);
		return KF_OK;
	}
	if (len > 0)
		memcpy(copy, value, len);
	copy[len] = '\0';
	free(item->value);
	item->value = copy;
	item->len = len;
	item->revision = revision;
	item->removed = false;
	item->lost = false;
	item->from_backup = r->era > 0 && revision <= r->era_start;
	r->changed(r->ctx, item, now_us);
	return KF_OK;
}

static void
item_remove(kf_replica_t *r, kf_item_t *item, uint64_t revision, int64_t now_us)
{
	bool was_in_use = !item->removed || item->lost;

	free(item->value);
	item->value = NULL;
	item->len = 0;
	item->revision = revision;
	item->removed = true;
	item->removed_us = now_us;
	item->lost = false;
	if (was_in_use)
		r->changed(r->ctx, item, now_us);
}

kf_status_t
kf_replica_remove(
    kf_replica_t *r, const char *key, uint64_t revision, int64_t now_us)
{
	kf_item_t *item;

	if (strlen(key) > KF_KEY_MAX_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "key '%.40s...' is longer than %d bytes", key,
		    KF_KEY_MAX_BYTES);
	item = find_or_add(r, key);
	if (item == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory for an item");
	if (revision > item->revision)
		item_remove(r, item, revision, now_us);
	return KF_OK;
}

kf_status_t
kf_replica_apply(kf_replica_t *r, kf_source_t source,
    const kf_item_change_t *change, int64_t now_us)
{
	return change->removed
	    ? kf_replica_remove(r, change->key, change->revision, now_us)
	    : kf_replica_put(r, source, change->key, change->value, change->len,
		  change->revision, now_us);
}

void
kf_replica_advance(kf_replica_t *r, uint64_t revision)
{
	if (revision > r->revision)
		r->revision = revision;
}

kf_status_t
kf_replica_listing_begin(
    kf_replica_t *r, kf_source_t source, kf_store_position_t position)
{
	size_t i;

	kf_replica_listing_cancel(r, source);
	r->listing_revision[source] = position.revision;
	r->page_revision[source] = position.revision;
	if (position.era != r->era)
		return replica_collect_era(r, source, position);
	for (i = 0; i < r->count; i++)
		r->items[i]->listed[source] = false;
	return KF_OK;
}

void
kf_replica_listing_page(kf_replica_t *r, kf_source_t source, uint64_t revision)
{
	if (revision < r->listing_revision[source])
		r->listing_revision[source] = revision;
	r->page_revision[source] = revision;
}

uint64_t
kf_replica_listing_revision(const kf_replica_t *r, kf_source_t source)
{
	return r->listing_revision[source];
}

kf_status_t
kf_replica_listing_end(kf_replica_t *r, kf_source_t source, int64_t now_us)
{
	uint64_t revision = r->listing_revision[source];
	kf_item_t *item;
	size_t i;

	if (r->collecting[source])
		return replica_end_era_listing(r, source, now_us);
	for (i = 0; i < r->count; i++) {
		item = r->items[i];
		if (!item->removed && !item->listed[source] &&
		    item->revision <= revision)
			item_remove(r, item, revision, now_us);
	}
	if (revision < r->revision)
		return kf_status_set(KF_ERR_STALE,
		    "listing at revision %llu is older than replica revision "
		    "%llu",
		    (unsigned long long)revision,
		    (unsigned long long)r->revision);
	/* A listing does not show which items were removed before it. */
	if (revision > r->revision)
		r->compacted_revision = revision;
	r->revision = revision;
	return KF_OK;
}

bool
kf_replica_has_changes_after(const kf_replica_t *r, uint64_t after)
{
	return after >= r->compacted_revision;
}

size_t
kf_replica_count(const kf_replica_t *r)
{
	return r->count;
}

const kf_item_t *
kf_replica_at(const kf_replica_t *r, size_t i)
{
	return r->items[i];
}

void
kf_replica_expire(kf_replica_t *r, int64_t now_us)
{
	size_t i, kept = 0;
	kf_item_t *item;

	for (i = 0; i < r->count; i++) {
		item = r->items[i];
		if (!item->removed || item->lost ||
		    now_us - item->removed_us < KF_REPLICA_TOMBSTONE_KEEP_US) {
			r->items[kept++] = item;
			continue;
		}
		if (item->revision > r->compacted_revision)
			r->compacted_revision = item->revision;
		replica_item_delete(item);
	}
	r->count = kept;
}
