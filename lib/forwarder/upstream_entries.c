#include <stdlib.h>
#include <string.h>

#include "kf/search.h"
#include "kf/upstream_entries.h"

enum { FIRST_CAP = 8 };

void
kf_upstream_entries_clear(kf_upstream_entries_t *e)
{
	size_t i;

	for (i = 0; i < e->count; i++)
		free(e->hidden[i]);
	free(e->hidden);
	*e = (kf_upstream_entries_t){ .directory = e->directory };
}

static bool
comes_first(const kf_upstream_entries_t *e, const kf_upstream_info_t *a,
    const kf_upstream_info_t *b)
{
	bool a_named = kf_route_table_names_service(e->routes, a->service);
	bool b_named = kf_route_table_names_service(e->routes, b->service);
	int order;

	if (a_named != b_named)
		return a_named;
	if (a->born_ms != b->born_ms)
		return a->born_ms > b->born_ms;
	if (a->draining != b->draining)
		return a->draining;
	if (a->seq != b->seq)
		return a->seq > b->seq;
	order = strcmp(a->name, b->name);
	return order != 0 ? order < 0 : a->entry < b->entry;
}

static int
id_compare(const void *key, const void *element)
{
	uint64_t id = *(const uint64_t *)key;
	uint64_t other = (*(kf_hidden_entry_t *const *)element)->info.id;

	return (id > other) - (id < other);
}

/* Returns the index of the hidden entries with an id, or where they would be.
 */
static size_t
index_of_id(const kf_upstream_entries_t *e, uint64_t id)
{
	return kf_lower_bound(
	    &id, e->hidden, e->count, sizeof(kf_hidden_entry_t *), id_compare);
}

static bool
has_id_at(const kf_upstream_entries_t *e, size_t i, uint64_t id)
{
	return i < e->count && e->hidden[i]->info.id == id;
}

/* Returns the index of an entry, or the number of hidden ones. */
static size_t
index_of(const kf_upstream_entries_t *e, uint64_t id, uint64_t entry)
{
	size_t i;

	for (i = index_of_id(e, id); has_id_at(e, i, id); i++)
		if (e->hidden[i]->info.entry == entry)
			return i;
	return e->count;
}

/* Returns the index of the first of an upstream's hidden entries, or the number
 * of hidden ones. */
static size_t
index_of_first(const kf_upstream_entries_t *e, uint64_t id)
{
	size_t i = index_of_id(e, id);
	size_t first = has_id_at(e, i, id) ? i : e->count;

	for (; has_id_at(e, i, id); i++)
		if (comes_first(
			e, &e->hidden[i]->info, &e->hidden[first]->info))
			first = i;
	return first;
}

/* Returns the target of the entry that describes an upstream, or NULL.  One
 * that has lapsed holds its place for a while, as its upstream publishes it
 * again. */
static const kf_target_t *
shown_entry(const kf_upstream_entries_t *e, uint64_t id, int64_t now_us)
{
	const kf_target_t *target = kf_directory_find_id(e->directory, id);

	if (target == NULL || target->listing == KF_LISTED)
		return target;
	return target->lapsed &&
		now_us - target->unlisted_us < KF_TARGET_MISSING_GRACE_US
	    ? target
	    : NULL;
}

static kf_status_t
reserve(kf_upstream_entries_t *e)
{
	size_t cap = e->cap == 0 ? FIRST_CAP : e->cap * 2;
	kf_hidden_entry_t **grown;

	if (e->count < e->cap)
		return KF_OK;
	grown = realloc(e->hidden, cap * sizeof(kf_hidden_entry_t *));
	if (grown == NULL)
		return KF_ERR_NO_MEMORY;
	e->hidden = grown;
	e->cap = cap;
	return KF_OK;
}

static kf_status_t
hide(kf_upstream_entries_t *e, const kf_upstream_info_t *info, int64_t now_us)
{
	kf_hidden_entry_t *entry = malloc(sizeof(*entry));
	size_t at = index_of_id(e, info->id);

	if (entry == NULL || reserve(e) != KF_OK) {
		free(entry);
		return kf_status_set(
		    KF_ERR_NO_MEMORY, "no memory for a hidden entry");
	}
	*entry = (kf_hidden_entry_t){ .info = *info, .received_us = now_us };
	memmove(e->hidden + at + 1, e->hidden + at,
	    (e->count - at) * sizeof(kf_hidden_entry_t *));
	e->hidden[at] = entry;
	e->count++;
	return KF_OK;
}

/* Returns the entry of a target with what is left of its cold start. */
static kf_upstream_info_t
shown_info(const kf_target_t *target, int64_t now_us)
{
	kf_upstream_info_t info = target->info;

	info.cold_left_us =
	    target->cold_end_us > now_us ? target->cold_end_us - now_us : 0;
	return info;
}

static void
drop(kf_upstream_entries_t *e, size_t at)
{
	free(e->hidden[at]);
	e->count--;
	memmove(e->hidden + at, e->hidden + at + 1,
	    (e->count - at) * sizeof(kf_hidden_entry_t *));
}

/* Takes a hidden entry out, with what is left of its cold start. */
static kf_upstream_info_t
take(kf_upstream_entries_t *e, size_t at, int64_t now_us)
{
	kf_upstream_info_t info = e->hidden[at]->info;
	int64_t age_us = now_us - e->hidden[at]->received_us;

	drop(e, at);
	info.cold_left_us =
	    info.cold_left_us > age_us ? info.cold_left_us - age_us : 0;
	return info;
}

static kf_status_t
show(kf_upstream_entries_t *e, const kf_upstream_info_t *info, int64_t now_us,
    kf_change_t *change)
{
	return info->from_backup
	    ? kf_directory_put_backup(e->directory, info, now_us, change)
	    : kf_directory_put(e->directory, info, now_us, change);
}

static void
note_conflict(kf_entry_conflict_t *conflict, const kf_upstream_info_t *shown,
    const kf_upstream_info_t *other)
{
	conflict->found = true;
	conflict->id = shown->id;
	memcpy(conflict->shown, shown->name, sizeof(conflict->shown));
	memcpy(conflict->other, other->name, sizeof(conflict->other));
}

/*
 * Shows the hidden entry at an index in place of another one, which becomes
 * hidden unless it has lapsed.  Returns false, and nothing changes, if it does
 * not hold against what is known of the upstream, or memory is short.
 */
static bool
exchange(kf_upstream_entries_t *e, size_t at, const kf_upstream_info_t *shown,
    bool lapsed, int64_t now_us, kf_entry_conflict_t *conflict)
{
	uint64_t id = shown->id, entry = e->hidden[at]->info.entry;
	kf_change_t change = KF_CHANGE_NONE;
	kf_upstream_info_t info;

	if (!lapsed && hide(e, shown, now_us) != KF_OK)
		return false;
	info = take(e, index_of(e, id, entry), now_us);
	if (show(e, &info, now_us, &change) == KF_OK &&
	    change != KF_CHANGE_HELD) {
		e->conflicts += !lapsed;
		note_conflict(conflict, &info, shown);
		return true;
	}
	/* The memory of the one taken out is enough for it. */
	(void)hide(e, &info, now_us);
	if (!lapsed)
		drop(e, index_of(e, id, shown->entry));
	return false;
}

/*
 * Shows a new form of the entry that describes an upstream.  If it no longer
 * comes first, a hidden one takes its place.
 */
static kf_status_t
update_shown(kf_upstream_entries_t *e, const kf_upstream_info_t *info,
    int64_t now_us, kf_change_t *change, kf_entry_conflict_t *conflict)
{
	size_t first = index_of_first(e, info->id);

	if (first == e->count ||
	    comes_first(e, info, &e->hidden[first]->info) ||
	    !exchange(e, first, info, false, now_us, conflict))
		return show(e, info, now_us, change);
	*change = KF_CHANGE_HIDDEN;
	return KF_OK;
}

/* Adds an entry while another one describes the upstream. */
static kf_status_t
add_beside(kf_upstream_entries_t *e, const kf_target_t *target,
    const kf_upstream_info_t *info, bool was_hidden, int64_t now_us,
    kf_change_t *change, kf_entry_conflict_t *conflict)
{
	kf_upstream_info_t shown = shown_info(target, now_us);
	bool lapsed = target->listing != KF_LISTED;

	if (hide(e, info, now_us) != KF_OK)
		return KF_ERR_NO_MEMORY;
	if (comes_first(e, info, &shown) &&
	    exchange(e, index_of(e, info->id, info->entry), &shown, lapsed,
		now_us, conflict)) {
		*change = KF_CHANGE_UPDATED;
		return KF_OK;
	}
	*change = KF_CHANGE_HIDDEN;
	if (was_hidden)
		return KF_OK;
	e->conflicts++;
	note_conflict(conflict, &shown, info);
	return KF_OK;
}

kf_status_t
kf_upstream_entries_put(kf_upstream_entries_t *e,
    const kf_upstream_info_t *info, int64_t now_us, kf_change_t *change,
    kf_entry_conflict_t *conflict)
{
	const kf_target_t *shown = shown_entry(e, info->id, now_us);
	size_t at = index_of(e, info->id, info->entry);
	bool was_hidden = at < e->count;

	*conflict = (kf_entry_conflict_t){ 0 };
	*change = KF_CHANGE_NONE;
	if (was_hidden)
		drop(e, at);
	return shown == NULL || shown->info.entry == info->entry
	    ? update_shown(e, info, now_us, change, conflict)
	    : add_beside(e, shown, info, was_hidden, now_us, change, conflict);
}

/*
 * Lets the first hidden entry take the place of one that is removed.  Returns
 * false if there is none that holds against what is known of the upstream.
 */
static bool
replace_removed(kf_upstream_entries_t *e, const kf_upstream_info_t *removed,
    int64_t now_us, kf_change_t *change, kf_entry_conflict_t *conflict)
{
	kf_upstream_info_t next;
	size_t first;

	while ((first = index_of_first(e, removed->id)) < e->count) {
		next = take(e, first, now_us);
		if (show(e, &next, now_us, change) != KF_OK ||
		    *change == KF_CHANGE_HELD)
			continue;
		note_conflict(conflict, &next, removed);
		return true;
	}
	return false;
}

kf_change_t
kf_upstream_entries_remove(kf_upstream_entries_t *e, uint64_t id,
    uint64_t entry, bool lapsed, int64_t now_us, kf_entry_conflict_t *conflict)
{
	const kf_target_t *target = kf_directory_find_id(e->directory, id);
	size_t at = index_of(e, id, entry);
	kf_change_t change = KF_CHANGE_NONE;
	kf_upstream_info_t removed;

	*conflict = (kf_entry_conflict_t){ 0 };
	if (at < e->count)
		drop(e, at);
	if (target == NULL || target->info.entry != entry)
		return KF_CHANGE_NONE;
	removed = target->info;
	if (!lapsed && replace_removed(e, &removed, now_us, &change, conflict))
		return change;
	return kf_directory_remove(e->directory, id, lapsed, now_us);
}

bool
kf_upstream_entries_reorder(
    kf_upstream_entries_t *e, int64_t now_us, kf_entry_conflict_t *conflict)
{
	size_t i;

	*conflict = (kf_entry_conflict_t){ 0 };
	for (i = 0; i < e->count; i++) {
		uint64_t id = e->hidden[i]->info.id;
		size_t first = index_of_first(e, id);
		const kf_target_t *target = shown_entry(e, id, now_us);
		kf_upstream_info_t shown;

		if (target == NULL ||
		    !comes_first(e, &e->hidden[first]->info, &target->info))
			continue;
		shown = shown_info(target, now_us);
		if (exchange(e, first, &shown, target->listing != KF_LISTED,
			now_us, conflict))
			return true;
	}
	return false;
}

bool
kf_upstream_entries_end_lapse(
    kf_upstream_entries_t *e, int64_t now_us, kf_entry_conflict_t *conflict)
{
	kf_upstream_info_t lapsed;
	const kf_target_t *target;
	kf_change_t change;
	size_t i;

	*conflict = (kf_entry_conflict_t){ 0 };
	for (i = 0; i < e->count; i++) {
		lapsed = e->hidden[i]->info;
		if (shown_entry(e, lapsed.id, now_us) != NULL)
			continue;
		target = kf_directory_find_id(e->directory, lapsed.id);
		if (target != NULL)
			lapsed = target->info;
		(void)replace_removed(e, &lapsed, now_us, &change, conflict);
		return true;
	}
	return false;
}
