#include <stdlib.h>
#include <string.h>

#include "kf/directory.h"
#include "kf/search.h"

#include "zone_set.h"

enum { MIN_BUCKETS = 64 };

struct kf_directory {
	uint64_t zone;
	zone_set_t evacuated;
	kf_cold_view_t cold_view;
	kf_target_t **targets; /* sorted by id */
	size_t count;
	size_t cap;
	kf_target_t **buckets; /* hash table by token, linear probing */
	size_t bucket_count;
	kf_pool_t *pools; /* sorted by service */
	size_t pool_count;
	kf_target_t **pool_targets; /* holds the arrays of all pools */
	bool in_batch;
	bool index_stale; /* changes of the batch are not indexed yet */
	bool changed;	  /* see kf_directory_take_changed */
	bool last_resort; /* see kf_directory_set_last_resort */
};

static const char *const change_names[] = {
	[KF_CHANGE_NONE] = "none",
	[KF_CHANGE_ADDED] = "added",
	[KF_CHANGE_RESTARTED] = "restarted",
	[KF_CHANGE_DRAINING] = "draining",
	[KF_CHANGE_UPDATED] = "updated",
	[KF_CHANGE_MISSING] = "missing",
	[KF_CHANGE_GONE] = "gone",
	[KF_CHANGE_HELD] = "held",
	[KF_CHANGE_HIDDEN] = "hidden",
};

const char *
kf_change_name(kf_change_t change)
{
	return change_names[change];
}

kf_directory_t *
kf_directory_new(uint64_t zone)
{
	kf_directory_t *d;

	d = calloc(1, sizeof(*d));
	if (d != NULL)
		d->zone = zone;
	return d;
}

void
kf_directory_delete(kf_directory_t *d)
{
	size_t i;

	if (d == NULL)
		return;
	for (i = 0; i < d->count; i++)
		free(d->targets[i]);
	free(d->targets);
	free(d->buckets);
	free(d->pools);
	free(d->pool_targets);
	zone_set_clear(&d->evacuated);
	free(d);
}

static int
id_compare(const void *key, const void *element)
{
	uint64_t id = *(const uint64_t *)key;
	uint64_t other = (*(kf_target_t *const *)element)->info.id;

	return (id > other) - (id < other);
}

static size_t
index_of_id(const kf_directory_t *d, uint64_t id)
{
	return kf_lower_bound(
	    &id, d->targets, d->count, sizeof(kf_target_t *), id_compare);
}

/* Returns the target with this id, or NULL. */
static kf_target_t *
find_id(const kf_directory_t *d, uint64_t id)
{
	size_t at = index_of_id(d, id);

	return at < d->count && d->targets[at]->info.id == id ? d->targets[at]
							      : NULL;
}

const kf_target_t *
kf_directory_find_id(const kf_directory_t *d, uint64_t id)
{
	return find_id(d, id);
}

static kf_target_t **
bucket_of(const kf_directory_t *d, uint32_t token)
{
	size_t i = token % d->bucket_count;

	while (d->buckets[i] != NULL && d->buckets[i]->token != token)
		i = (i + 1) % d->bucket_count;
	return &d->buckets[i];
}

/*
 * If two ids have the same token, its packets go to the upstream that is still
 * listed, otherwise to the one with the lower id.  The other gets no new flows.
 */
static void
index_tokens(kf_directory_t *d)
{
	kf_target_t **bucket, *target;
	size_t i;

	memset(d->buckets, 0, d->bucket_count * sizeof(kf_target_t *));
	for (i = 0; i < d->count; i++) {
		target = d->targets[i];
		bucket = bucket_of(d, target->token);
		target->token_conflict = *bucket != NULL;
		if (*bucket == NULL)
			*bucket = target;
		else if ((*bucket)->listing > target->listing) {
			(*bucket)->token_conflict = true;
			target->token_conflict = false;
			*bucket = target;
		}
	}
}

static int
pool_target_compare(const void *a, const void *b)
{
	const kf_target_t *x = *(kf_target_t *const *)a;
	const kf_target_t *y = *(kf_target_t *const *)b;

	if (x->info.service != y->info.service)
		return x->info.service < y->info.service ? -1 : 1;
	return (x->info.id > y->info.id) - (x->info.id < y->info.id);
}

/* Splits the upstreams of a service by zone; both parts remain sorted by id. */
static void
pool_fill(kf_pool_t *pool, kf_target_t **pool_targets, size_t count,
    uint64_t zone, kf_target_t **scratch)
{
	size_t i;

	pool->own_zone = pool_targets;
	for (i = 0; i < count; i++) {
		if (pool_targets[i]->info.zone != zone)
			scratch[pool->other_zones_count++] = pool_targets[i];
		else
			pool_targets[pool->own_zone_count++] = pool_targets[i];
	}
	pool->other_zones = pool_targets + pool->own_zone_count;
	for (i = 0; i < pool->other_zones_count; i++)
		pool->other_zones[i] = scratch[i];
}

/* Copies the state of a service without its upstreams. */
static void
copy_service_state(kf_pool_t *pool, const kf_pool_t *old)
{
	if (old == NULL)
		return;
	*pool = *old;
	pool->own_zone = NULL;
	pool->own_zone_count = 0;
	pool->other_zones = NULL;
	pool->other_zones_count = 0;
}

static kf_status_t
index_services(kf_directory_t *d)
{
	kf_target_t **pool_targets, **scratch;
	kf_pool_t *pools;
	size_t i, start, listed = 0, pool_count = 0;

	pool_targets = calloc(d->count + 1, sizeof(kf_target_t *));
	scratch = calloc(d->count + 1, sizeof(kf_target_t *));
	pools = calloc(d->count + 1, sizeof(*pools));
	if (pool_targets == NULL || scratch == NULL || pools == NULL) {
		free(pool_targets);
		free(scratch);
		free(pools);
		/* The old pools may point to freed targets. */
		d->pool_count = 0;
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for service pools");
	}
	for (i = 0; i < d->count; i++)
		if (d->targets[i]->listing != KF_LISTING_GONE)
			pool_targets[listed++] = d->targets[i];
	qsort(pool_targets, listed, sizeof(kf_target_t *), pool_target_compare);
	for (start = 0; start < listed; start = i) {
		kf_pool_t *pool = &pools[pool_count++];

		pool->service = pool_targets[start]->info.service;
		copy_service_state(pool, kf_directory_pool(d, pool->service));
		for (i = start; i < listed &&
		     pool_targets[i]->info.service == pool->service;
		     i++)
			;
		pool_fill(
		    pool, pool_targets + start, i - start, d->zone, scratch);
	}
	free(scratch);
	free(d->pool_targets);
	free(d->pools);
	d->pool_targets = pool_targets;
	d->pools = pools;
	d->pool_count = pool_count;
	return KF_OK;
}

static kf_status_t
reindex(kf_directory_t *d)
{
	kf_target_t **buckets;
	size_t wanted = MIN_BUCKETS;

	while (wanted < d->count * 2)
		wanted *= 2;
	if (wanted > d->bucket_count) {
		buckets = calloc(wanted, sizeof(kf_target_t *));
		if (buckets == NULL)
			return kf_status_set(
			    KF_ERR_NO_MEMORY, "no memory for the token index");
		free(d->buckets);
		d->buckets = buckets;
		d->bucket_count = wanted;
	}
	index_tokens(d);
	return index_services(d);
}

/* Rebuilds the index now, or at the end of the batch. */
static kf_status_t
request_reindex(kf_directory_t *d)
{
	if (!d->in_batch)
		return reindex(d);
	d->index_stale = true;
	return KF_OK;
}

void
kf_directory_begin_batch(kf_directory_t *d)
{
	d->in_batch = true;
}

kf_status_t
kf_directory_end_batch(kf_directory_t *d)
{
	d->in_batch = false;
	if (!d->index_stale)
		return KF_OK;
	d->index_stale = false;
	return reindex(d);
}

static kf_target_t *
directory_insert(kf_directory_t *d, uint64_t id)
{
	kf_target_t **grown, *target;
	size_t at = index_of_id(d, id);

	if (at < d->count && d->targets[at]->info.id == id)
		return d->targets[at];
	if (d->count == d->cap) {
		size_t cap = d->cap == 0 ? MIN_BUCKETS : d->cap * 2;

		grown = realloc(d->targets, cap * sizeof(kf_target_t *));
		if (grown == NULL)
			return NULL;
		d->targets = grown;
		d->cap = cap;
	}
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return NULL;
	target->token = kf_token_of(id);
	target->listing = KF_LISTING_GONE;
	target->cold_view = &d->cold_view;
	memmove(d->targets + at + 1, d->targets + at,
	    (d->count - at) * sizeof(kf_target_t *));
	d->targets[at] = target;
	d->count++;
	return target;
}

static void
set_evacuated(const kf_directory_t *d, kf_target_t *target, bool evacuated)
{
	target->evacuated = evacuated;
	target->last_resort =
	    evacuated && d->last_resort && target->info.zone == d->zone;
}

bool
kf_directory_own_zone_evacuated(const kf_directory_t *d)
{
	return zone_set_has(&d->evacuated, d->zone);
}

bool
kf_directory_last_resort(const kf_directory_t *d)
{
	return d->last_resort;
}

void
kf_directory_set_last_resort(kf_directory_t *d, bool last_resort)
{
	size_t i;

	if (d->last_resort == last_resort)
		return;
	d->last_resort = last_resort;
	for (i = 0; i < d->count; i++)
		set_evacuated(d, d->targets[i], d->targets[i]->evacuated);
}

kf_status_t
kf_directory_set_evacuated(kf_directory_t *d, uint64_t zone, bool evacuated)
{
	size_t i;

	if (evacuated && zone_set_add(&d->evacuated, zone) != KF_OK)
		return KF_ERR_NO_MEMORY;
	if (!evacuated)
		zone_set_remove(&d->evacuated, zone);
	for (i = 0; i < d->count; i++)
		if (d->targets[i]->info.zone == zone)
			set_evacuated(d, d->targets[i], evacuated);
	return KF_OK;
}

size_t
kf_directory_evacuated_count(const kf_directory_t *d)
{
	return d->evacuated.count;
}

void
kf_directory_set_cold_view(kf_directory_t *d, const kf_cold_report_t *report,
    kf_cold_allowance_fn *allowance, void *ctx, int64_t now_us)
{
	size_t i;

	kf_cold_view_update(&d->cold_view, report, now_us);
	for (i = 0; i < d->count; i++) {
		kf_target_t *target = d->targets[i];
		bool limited = target->info.zone == d->zone &&
		    kf_target_cold_limited(target, now_us);

		target->cold_allowance =
		    limited ? allowance(ctx, target, &d->cold_view) : 0;
	}
}

static kf_change_t
classify_change(const kf_target_t *target, const kf_upstream_info_t *info)
{
	if (target->listing != KF_LISTED)
		return KF_CHANGE_ADDED;
	if (target->info.born_ms != info->born_ms)
		return KF_CHANGE_RESTARTED;
	if (info->draining && !target->info.draining)
		return KF_CHANGE_DRAINING;
	/* A different remaining cold start is no change, because the index does
	 * not depend on it. */
	return target->info.service == info->service &&
		target->info.zone == info->zone &&
		target->info.draining == info->draining &&
		target->info.slots == info->slots &&
		kf_addr_equal(target->info.address, info->address)
	    ? KF_CHANGE_NONE
	    : KF_CHANGE_UPDATED;
}

bool
kf_directory_is_replaced(const kf_directory_t *d, const kf_target_t *target)
{
	size_t i;

	if (!kf_target_has_left(target))
		return false;
	for (i = 0; i < d->count; i++) {
		const kf_target_t *other = d->targets[i];

		if (other->listing == KF_LISTED &&
		    other->info.born_ms > target->info.born_ms &&
		    kf_addr_equal(other->info.address, target->info.address))
			return true;
	}
	return false;
}

bool
kf_directory_take_changed(kf_directory_t *d)
{
	bool changed = d->changed;

	d->changed = false;
	return changed;
}

kf_status_t
kf_directory_put(kf_directory_t *d, const kf_upstream_info_t *info,
    int64_t now_us, kf_change_t *change)
{
	kf_target_t *target;

	target = directory_insert(d, info->id);
	if (target == NULL)
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for upstream %s", info->name);
	*change = classify_change(target, info);
	/* What is known of a process at another address does not hold for this
	 * one. */
	if (*change == KF_CHANGE_RESTARTED || target->info.id == 0 ||
	    !kf_addr_equal(target->info.address, info->address) ||
	    (*change == KF_CHANGE_ADDED &&
		(target->dead.replaced ||
		    target->info.born_ms != info->born_ms)))
		kf_target_reset(target);
	target->info = *info;
	set_evacuated(d, target, zone_set_has(&d->evacuated, info->zone));
	target->listing = KF_LISTED;
	target->lapsed = false;
	target->cold_end_us = now_us + info->cold_left_us;
	if (*change == KF_CHANGE_NONE)
		return KF_OK;
	d->changed = true;
	return request_reindex(d);
}

/* True if the state known of an upstream is newer than an entry of a backup. */
static bool
is_newer_than(const kf_target_t *target, const kf_upstream_info_t *info)
{
	if (target->info.born_ms != info->born_ms)
		return target->info.born_ms > info->born_ms;
	if (target->listing == KF_LISTING_GONE)
		return !target->lapsed ||
		    (target->info.draining && !info->draining);
	return target->info.draining && !info->draining;
}

kf_status_t
kf_directory_put_backup(kf_directory_t *d, const kf_upstream_info_t *info,
    int64_t now_us, kf_change_t *change)
{
	const kf_target_t *target = find_id(d, info->id);
	kf_upstream_info_t known = *info;

	if (target == NULL)
		return kf_directory_put(d, info, now_us, change);
	if (is_newer_than(target, info)) {
		*change = KF_CHANGE_HELD;
		return KF_OK;
	}
	if (target->info.born_ms == info->born_ms)
		known.cold_left_us = target->cold_end_us > now_us
		    ? target->cold_end_us - now_us
		    : 0;
	return kf_directory_put(d, &known, now_us, change);
}

kf_change_t
kf_directory_remove(kf_directory_t *d, uint64_t id, bool lapsed, int64_t now_us)
{
	kf_target_t *target = find_id(d, id);

	if (target == NULL ||
	    (target->listing == KF_LISTING_GONE && (lapsed || !target->lapsed)))
		return KF_CHANGE_NONE;
	if (target->listing == KF_LISTING_MISSING && lapsed) {
		target->unlisted_us = now_us; /* the grace starts again */
		return KF_CHANGE_NONE;
	}
	target->listing = lapsed && !target->info.draining ? KF_LISTING_MISSING
							   : KF_LISTING_GONE;
	target->lapsed = lapsed;
	target->unlisted_us = now_us;
	d->changed = true;
	/* If the index cannot be rebuilt, it still holds the target, but
	 * kf_target_eligible returns false for it. */
	(void)request_reindex(d);
	return target->listing == KF_LISTING_GONE ? KF_CHANGE_GONE
						  : KF_CHANGE_MISSING;
}

/* Returns true if no flow can be open at an upstream any more. */
static bool
has_expired(const kf_target_t *target, int64_t now_us)
{
	return target->listing == KF_LISTING_GONE &&
	    now_us - target->unlisted_us >= KF_DIRECTORY_KEEP_US;
}

void
kf_directory_expire(kf_directory_t *d, int64_t now_us)
{
	size_t i, kept = 0;
	kf_target_t *target;
	bool changed = false;

	for (i = 0; i < d->count; i++) {
		target = d->targets[i];
		if (has_expired(target, now_us)) {
			changed = true;
			free(target);
			continue;
		}
		if (target->listing == KF_LISTING_MISSING &&
		    now_us - target->unlisted_us >=
			KF_TARGET_MISSING_GRACE_US) {
			changed = true;
			target->listing = KF_LISTING_GONE;
			target->lapsed = true;
		}
		d->targets[kept++] = target;
	}
	d->count = kept;
	if (changed)
		(void)reindex(d);
}

uint64_t
kf_directory_zone(const kf_directory_t *d)
{
	return d->zone;
}

kf_target_t *
kf_directory_find(const kf_directory_t *d, uint32_t token)
{
	return d->bucket_count == 0 ? NULL : *bucket_of(d, token);
}

static int
service_compare(const void *key, const void *element)
{
	uint64_t service = *(const uint64_t *)key;
	uint64_t other = ((const kf_pool_t *)element)->service;

	return (service > other) - (service < other);
}

kf_pool_t *
kf_directory_pool(kf_directory_t *d, uint64_t service)
{
	size_t at = kf_lower_bound(&service, d->pools, d->pool_count,
	    sizeof(*d->pools), service_compare);

	return at < d->pool_count && d->pools[at].service == service
	    ? &d->pools[at]
	    : NULL;
}

size_t
kf_directory_pool_count(const kf_directory_t *d)
{
	return d->pool_count;
}

kf_pool_t *
kf_directory_pool_at(kf_directory_t *d, size_t i)
{
	return &d->pools[i];
}

size_t
kf_directory_count(const kf_directory_t *d)
{
	return d->count;
}

const kf_target_t *
kf_directory_at(const kf_directory_t *d, size_t i)
{
	return d->targets[i];
}
