#include <stdlib.h>
#include <string.h>

#include "kf/replica.h"
#include "kf/search.h"

enum { FIRST_CAP = 64 };

struct kf_replica {
	kf_replica_changed_fn *changed;
	void *ctx;
	kf_item_t **items; /* sorted by key */
	size_t count;
	size_t cap;
	uint64_t revision;
	uint64_t compacted_revision; /* removals up to it may be missing */
	/* Of the listing in progress, or else of the last one. */
	uint64_t listing_revision[KF_SOURCE_COUNT]; /* of its oldest page */
	uint64_t page_revision[KF_SOURCE_COUNT];    /* of its latest page */
};

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

static void
item_delete(kf_item_t *item)
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
		item_delete(r->items[i]);
	free(r->items);
	free(r);
}

uint64_t
kf_replica_revision(const kf_replica_t *r)
{
	return r->revision;
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

	if (strlen(key) > KF_KEY_MAX_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "key '%.40s...' is longer than 200 bytes", key);
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
	r->changed(r->ctx, item, now_us);
	return KF_OK;
}

static void
item_remove(kf_replica_t *r, kf_item_t *item, uint64_t revision, int64_t now_us)
{
	bool was_present = !item->removed;

	free(item->value);
	item->value = NULL;
	item->len = 0;
	item->revision = revision;
	item->removed = true;
	item->removed_us = now_us;
	if (was_present)
		r->changed(r->ctx, item, now_us);
}

kf_status_t
kf_replica_remove(
    kf_replica_t *r, const char *key, uint64_t revision, int64_t now_us)
{
	kf_item_t *item;

	if (strlen(key) > KF_KEY_MAX_BYTES)
		return kf_status_set(KF_ERR_INVALID,
		    "key '%.40s...' is longer than 200 bytes", key);
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

void
kf_replica_listing_begin(kf_replica_t *r, kf_source_t source, uint64_t revision)
{
	size_t i;

	for (i = 0; i < r->count; i++)
		r->items[i]->listed[source] = false;
	r->listing_revision[source] = revision;
	r->page_revision[source] = revision;
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
		if (!item->removed ||
		    now_us - item->removed_us < KF_REPLICA_TOMBSTONE_KEEP_US) {
			r->items[kept++] = item;
			continue;
		}
		if (item->revision > r->compacted_revision)
			r->compacted_revision = item->revision;
		item_delete(item);
	}
	r->count = kept;
}
