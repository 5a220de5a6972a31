#ifndef KF_UPSTREAM_ENTRIES_H
#define KF_UPSTREAM_ENTRIES_H

#include "kf/directory.h"
#include "kf/route_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_upstream_entries - which of the store's entries describes an upstream
 *
 * DESCRIPTION
 *	The store knows an entry by its key, packets know an upstream by its id,
 *	a number that the key contains.  Keys of other writers may contain the
 *	same number.  Of the entries with one id, one describes the upstream and
 *	is passed to the directory; the others are hidden, and one of them takes
 *	its place as soon as it goes away.  An entry that cannot be used is
 *	passed as removed, so that it hides none.  One that lapses holds its
 *	place for KF_TARGET_MISSING_GRACE_US: the process that another entry
 *	names may have ended long before.
 *
 *	Which entry it is follows from the entries and the services that the
 *	configuration names, and not from the order in which they came:  the
 *	first by this order.
 *
 *	1.  Its service is one that the configuration names.
 *	2.  It has the later start; an earlier process with the id has ended.
 *	3.  It is draining; a process that drains does not become ready again.
 *	4.  It has the higher sequence number, and is the later statement of the
 *	    same process.
 *	5.  Its name and then its key come first.
 */

/* A hidden entry. */
typedef struct kf_hidden_entry {
	kf_upstream_info_t info;
	int64_t received_us; /* time that info.cold_left_us refers to */
} kf_hidden_entry_t;

typedef struct kf_upstream_entries {
	kf_directory_t *directory;	/* gets the ones that are used */
	const kf_route_table_t *routes; /* in force, or NULL */
	kf_hidden_entry_t **hidden;	/* sorted by id */
	size_t count;
	size_t cap;
	uint64_t conflicts; /* entries that were hidden, in all */
} kf_upstream_entries_t;

/* The entry that another one hides, has hidden or has taken the place of. */
typedef struct kf_entry_conflict {
	bool found;
	uint64_t id;
	char shown[KF_UPSTREAM_NAME_BYTES]; /* name that is in use now */
	char other[KF_UPSTREAM_NAME_BYTES];
} kf_entry_conflict_t;

/* Forgets all entries and frees the memory.  Initialise with a directory. */
void kf_upstream_entries_clear(kf_upstream_entries_t *entries);

/* Adds or updates an entry.  The change is KF_CHANGE_HIDDEN if another one
 * describes the upstream. */
kf_status_t kf_upstream_entries_put(kf_upstream_entries_t *entries,
    const kf_upstream_info_t *info, int64_t now_us, kf_change_t *change,
    kf_entry_conflict_t *conflict);

/* Removes an entry, the kf_name_key of whose key is entry; lapsed as in
 * kf_directory_remove. */
kf_change_t kf_upstream_entries_remove(kf_upstream_entries_t *entries,
    uint64_t id, uint64_t entry, bool lapsed, int64_t now_us,
    kf_entry_conflict_t *conflict);

/*
 * Lets a hidden entry take the place of another one if the routes, which have
 * changed, put it first.  Returns false if there is none, so that it is called
 * until then.
 */
bool kf_upstream_entries_reorder(kf_upstream_entries_t *entries, int64_t now_us,
    kf_entry_conflict_t *conflict);

/* The same for one that has lapsed and has not come back. */
bool kf_upstream_entries_end_lapse(kf_upstream_entries_t *entries,
    int64_t now_us, kf_entry_conflict_t *conflict);

#ifdef __cplusplus
}
#endif

#endif
