#include <stdlib.h>
#include <string.h>

#include "replica_internal.h"

static void
ignore_change(void *ctx, const kf_item_t *item, int64_t now_us)
{
	(void)ctx;
	(void)item;
	(void)now_us;
}

kf_status_t
replica_collect_era(
    kf_replica_t *r, kf_source_t source, kf_store_position_t position)
{
	kf_replica_t *next = kf_replica_new(ignore_change, NULL);

	r->collecting[source] = true;
	if (next == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for a listing");
	next->era = position.era;
	next->era_start = UINT64_MAX; /* all items are from the backup */
	r->next_era[source] = next;
	return KF_OK;
}

kf_status_t
replica_collect_item(kf_replica_t *r, kf_source_t source, const char *key,
    const uint8_t *value, size_t len, uint64_t revision, int64_t now_us)
{
	if (r->next_era[source] == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for a listing");
	return kf_replica_put(
	    r->next_era[source], source, key, value, len, revision, now_us);
}

void
kf_replica_listing_era_start(
    kf_replica_t *r, kf_source_t source, uint64_t revision)
{
	kf_replica_t *next = r->next_era[source];

	if (next != NULL && revision < next->era_start)
		next->era_start = revision;
}

void
kf_replica_listing_cancel(kf_replica_t *r, kf_source_t source)
{
	kf_replica_delete(r->next_era[source]);
	r->next_era[source] = NULL;
	r->collecting[source] = false;
}

static bool
has_same_value(const kf_item_t *a, const kf_item_t *b)
{
	return !a->removed && !b->removed && a->len == b->len &&
	    memcmp(a->value, b->value, a->len) == 0;
}

/*
 * Turns an item that the new listing lacks into a lost one.  Returns false if
 * it was removed before.  An item lost in the era before is lost again, and the
 * time for its writer starts again.
 */
static bool
lose_item(kf_replica_t *r, kf_item_t *item, int64_t now_us)
{
	if (item->removed && !item->lost)
		return false;
	free(item->value);
	item->value = NULL;
	item->len = 0;
	item->revision = r->revision;
	item->removed = true;
	item->removed_us = now_us;
	item->lost = true;
	r->changed(r->ctx, item, now_us);
	return true;
}

/* Takes an item of the new listing; old is the one in use, or NULL. */
static void
take_item(
    kf_replica_t *r, const kf_item_t *old, kf_item_t *item, int64_t now_us)
{
	bool written = item->revision > r->era_start;

	item->from_backup = !written;
	if (old == NULL || written || !has_same_value(old, item))
		r->changed(r->ctx, item, now_us);
}

/*
 * Resolves the differences between the items in use and those of the new era.
 * merged has room for all of both.
 */
static size_t
resolve_era(kf_replica_t *r, const kf_replica_t *next, kf_item_t **merged,
    int64_t now_us)
{
	size_t i = 0, j = 0, count = 0;
	int order;

	while (i < r->count || j < next->count) {
		order = i == r->count ? 1
		    : j == next->count
		    ? -1
		    : strcmp(r->items[i]->key, next->items[j]->key);
		if (order < 0) {
			if (lose_item(r, r->items[i], now_us))
				merged[count++] = r->items[i];
			else
				replica_item_delete(r->items[i]);
			i++;
			continue;
		}
		take_item(
		    r, order == 0 ? r->items[i] : NULL, next->items[j], now_us);
		if (order == 0)
			replica_item_delete(r->items[i++]);
		merged[count++] = next->items[j++];
	}
	return count;
}

/* Moves the replica to the era whose listing has been collected in next. */
static kf_status_t
enter_era(
    kf_replica_t *r, kf_replica_t *next, uint64_t revision, int64_t now_us)
{
	size_t cap = r->count + next->count + 1;
	kf_item_t **merged = calloc(cap, sizeof(kf_item_t *));

	if (merged == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory for an era");
	r->era = next->era;
	r->era_start = next->era_start < revision ? next->era_start : revision;
	r->revision = revision;
	r->compacted_revision = revision;
	r->count = resolve_era(r, next, merged, now_us);
	free(r->items);
	r->items = merged;
	r->cap = cap;
	next->count = 0; /* its items are the replica's now */
	return KF_OK;
}

/* Applies the items as those of a listing of the replica's own era. */
static kf_status_t
apply_listing(kf_replica_t *r, const kf_replica_t *next, kf_source_t source,
    int64_t now_us)
{
	kf_store_position_t position = { r->era, r->listing_revision[source] };
	size_t i;

	kf_replica_listing_begin(r, source, position);
	for (i = 0; i < next->count; i++)
		kf_replica_put(r, source, next->items[i]->key,
		    next->items[i]->value, next->items[i]->len,
		    next->items[i]->revision, now_us);
	return kf_replica_listing_end(r, source, now_us);
}

kf_status_t
replica_end_era_listing(kf_replica_t *r, kf_source_t source, int64_t now_us)
{
	kf_replica_t *next = r->next_era[source];
	kf_status_t status;

	r->next_era[source] = NULL;
	r->collecting[source] = false;
	if (next == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for a listing");
	if (next->era > r->era)
		status =
		    enter_era(r, next, r->listing_revision[source], now_us);
	else if (next->era == r->era) /* the other source was faster */
		status = apply_listing(r, next, source, now_us);
	else
		status =
		    kf_status_set(KF_ERR_STALE, "listing is of an older era");
	kf_replica_delete(next);
	return status;
}

size_t
kf_replica_release_lost(kf_replica_t *r, int64_t until_us, int64_t now_us)
{
	size_t i, left = 0;

	for (i = 0; i < r->count; i++) {
		kf_item_t *item = r->items[i];

		if (!item->lost)
			continue;
		if (item->removed_us > until_us) {
			left++;
			continue;
		}
		item->lost = false;
		r->changed(r->ctx, item, now_us);
	}
	return left;
}
