#include "kf/clock.h"
#include "kf/platform_published.h"

#include "applier.h"

enum {
	/* A longer gap between contacts with the store counts as an outage.
	 * It covers two watch calls of one second each and 0.5 s of delays. */
	OUTAGE_US = 2500000,
	/* An entry that is removed within this time after an outage may have
	 * expired during the outage. */
	EXPIRY_WINDOW_US = 2000000,
	/* Lines about the parts of one configuration; the line config has their
	 * number. */
	MAX_PART_LINES = 8,
	/* Lines about items that cannot be used, and about entries with one id,
	 * which may be written again every second. */
	MAX_ITEM_LINES = 10,
	ITEM_LINES_MS = 10000,
};

void
applier_init(applier_t *a, packet_thread_t *packets, kf_eventlog_t *log)
{
	const line_limit_t limit = {
		.max_lines = MAX_ITEM_LINES,
		.window_ms = ITEM_LINES_MS,
	};

	*a = (applier_t){
		.packets = packets,
		.log = log,
		.contact_us = INT64_MIN,
		.outage_end_us = INT64_MIN,
		.first_contact_us = INT64_MIN,
		.entries.directory =
		    kf_forwarder_directory(packet_thread_lock(packets)),
		.refused_lines = limit,
		.conflict_lines = limit,
	};
	packet_thread_unlock(packets);
}

void
applier_clear(applier_t *a)
{
	kf_upstream_entries_clear(&a->entries);
}

void
applier_record_contact(applier_t *a, int64_t contact_us)
{
	if (contact_us <= a->contact_us)
		return;
	if (a->contact_us != INT64_MIN &&
	    contact_us - a->contact_us > OUTAGE_US)
		a->outage_end_us = contact_us;
	if (a->contact_us == INT64_MIN)
		a->first_contact_us = contact_us;
	a->contact_us = contact_us;
}

/*
 * Returns true if an entry that is removed now may have expired because of an
 * outage of the store; its upstream may still be alive.
 */
static bool
may_have_expired(const applier_t *a, int64_t now_us)
{
	bool in_outage =
	    a->contact_us != INT64_MIN && now_us - a->contact_us > OUTAGE_US;

	return in_outage ||
	    (a->outage_end_us != INT64_MIN &&
		now_us - a->outage_end_us < EXPIRY_WINDOW_US);
}

void
applier_set_confirmed(applier_t *a, int64_t confirmed_us)
{
	kf_store_view_t view = {
		.confirmed_us = confirmed_us,
		.stable_since_us = a->outage_end_us != INT64_MIN
		    ? a->outage_end_us
		    : a->first_contact_us,
	};

	kf_forwarder_set_store_view(packet_thread_lock(a->packets), &view);
	packet_thread_unlock(a->packets);
}

static void
log_upstream(const applier_t *a, const kf_item_t *item, kf_change_t change)
{
	/* Some hundred lines would delay the first packet on a small VM. */
	kf_log_level_t level = a->loaded ? KF_LOG_INFO : KF_LOG_DEBUG;

	if (change != KF_CHANGE_NONE)
		kf_eventlog_write(a->log, level, "upstream",
		    "key=%s change=%s revision=%llu", item->key,
		    kf_change_name(change), (unsigned long long)item->revision);
}

void
applier_refuse(applier_t *a, const char *key, uint64_t revision)
{
	a->refused++;
	if (!line_limit_allows(
		&a->refused_lines, kf_clock_now().mono_us / 1000))
		return;
	kf_eventlog_write(a->log, KF_LOG_WARN, "item_refused",
	    "key=%.200s revision=%llu reason=\"%s\" suppressed=%llu", key,
	    (unsigned long long)revision, kf_status_message(),
	    (unsigned long long)line_limit_take_suppressed(&a->refused_lines));
}

static void
log_refused(applier_t *a, const kf_item_t *item)
{
	applier_refuse(a, item->key, item->revision);
}

static void
log_conflict(applier_t *a, const kf_entry_conflict_t *conflict)
{
	if (!conflict->found ||
	    !line_limit_allows(
		&a->conflict_lines, kf_clock_now().mono_us / 1000))
		return;
	kf_eventlog_write(a->log, KF_LOG_WARN, "entries_conflict",
	    "id=%llx used=%s other=%s hidden=%zu suppressed=%llu",
	    (unsigned long long)conflict->id, conflict->shown, conflict->other,
	    a->entries.count,
	    (unsigned long long)line_limit_take_suppressed(&a->conflict_lines));
}

static void
remove_upstream(
    applier_t *a, const kf_item_t *item, bool lapsed, int64_t now_us)
{
	kf_entry_conflict_t conflict;
	kf_change_t change;
	uint64_t id;

	if (kf_platform_upstream_id(item->key, &id) != KF_OK)
		return; /* never an upstream; logged when it was added */
	packet_thread_lock(a->packets);
	change = kf_upstream_entries_remove(&a->entries, id,
	    kf_platform_upstream_entry(item->key), lapsed, now_us, &conflict);
	packet_thread_unlock(a->packets);
	log_upstream(a, item, change);
	log_conflict(a, &conflict);
}

static void
put_upstream(applier_t *a, const kf_item_t *item, int64_t now_us)
{
	kf_change_t change = KF_CHANGE_NONE;
	kf_entry_conflict_t conflict;
	kf_upstream_info_t info;
	kf_status_t status;

	if (kf_platform_upstream_decode(
		item->key, item->value, item->len, &info) != KF_OK) {
		log_refused(a, item);
		remove_upstream(a, item, false, now_us);
		return;
	}
	/* Entries that come later are recent, and need no comparison of
	 * clocks. */
	info.warm =
	    !a->loaded && kf_upstream_is_warm(&info, kf_clock_now().wall_ms);
	info.from_backup = item->from_backup;
	packet_thread_lock(a->packets);
	status = kf_upstream_entries_put(
	    &a->entries, &info, now_us, &change, &conflict);
	packet_thread_unlock(a->packets);
	if (status != KF_OK)
		log_refused(a, item);
	log_upstream(a, item, change);
	log_conflict(a, &conflict);
}

typedef bool change_entries_fn(kf_upstream_entries_t *entries, int64_t now_us,
    kf_entry_conflict_t *conflict);

/* Calls a function that changes which entries are used until it returns
 * false. */
static void
change_entries(applier_t *a, change_entries_fn *change, int64_t now_us)
{
	kf_entry_conflict_t conflict;
	bool changed;

	do {
		packet_thread_lock(a->packets);
		changed = change(&a->entries, now_us, &conflict);
		packet_thread_unlock(a->packets);
		log_conflict(a, &conflict);
	} while (changed);
}

void
applier_end_lapses(applier_t *a, int64_t now_us)
{
	if (a->entries.count > 0)
		change_entries(a, kf_upstream_entries_end_lapse, now_us);
}

static void
on_part_refused(void *ctx, const char *part, const char *name)
{
	applier_t *a = ctx;

	if (a->part_lines++ < MAX_PART_LINES)
		kf_eventlog_write(a->log, KF_LOG_WARN, "config_part_refused",
		    "part=%s name=%s reason=\"%s\"", part, name,
		    kf_status_message());
}

static void
put_routes(applier_t *a, const kf_item_t *item, int64_t now_us)
{
	kf_route_table_t *table;
	kf_forwarder_t *forwarder;
	kf_status_t status = KF_ERR_INVALID;

	a->part_lines = 0;
	table = kf_platform_routes_decode(
	    item->value, item->len, a->routes, on_part_refused, a);
	if (table != NULL) {
		forwarder = packet_thread_lock(a->packets);
		status = kf_forwarder_set_routes(forwarder, table);
		packet_thread_unlock(a->packets);
	}
	if (status != KF_OK) {
		log_refused(a, item);
		return;
	}
	a->routes = table;
	a->entries.routes = table;
	change_entries(a, kf_upstream_entries_reorder, now_us);
	kf_eventlog_write(a->log, KF_LOG_INFO, "config",
	    "version=%llu routes=%zu parts_refused=%zu revision=%llu",
	    (unsigned long long)table->version, table->count,
	    table->parts_refused, (unsigned long long)item->revision);
}

/* The key of an evacuation names the zone; the item's presence evacuates it. */
static void
set_evacuated(applier_t *a, const kf_item_t *item)
{
	const char *zone = kf_platform_evacuated_zone(item->key);
	kf_forwarder_t *forwarder;
	kf_status_t status;

	if (zone == NULL) {
		log_refused(a, item);
		return;
	}
	if (!item->removed &&
	    kf_platform_evacuation_check(item->value, item->len) != KF_OK)
		log_refused(a, item);
	forwarder = packet_thread_lock(a->packets);
	status = kf_directory_set_evacuated(kf_forwarder_directory(forwarder),
	    kf_name_key(zone), !item->removed);
	packet_thread_unlock(a->packets);
	if (status != KF_OK) {
		log_refused(a, item);
		return;
	}
	kf_eventlog_write(a->log, KF_LOG_WARN,
	    item->removed ? "zone_returned" : "zone_evacuated",
	    "zone=%s revision=%llu", zone, (unsigned long long)item->revision);
}

uint64_t
applier_config_version(const applier_t *a)
{
	return a->routes == NULL ? 0 : a->routes->version;
}

size_t
applier_config_parts_refused(const applier_t *a)
{
	return a->routes == NULL ? 0 : a->routes->parts_refused;
}

void
applier_begin_batch(applier_t *a)
{
	kf_directory_begin_batch(
	    kf_forwarder_directory(packet_thread_lock(a->packets)));
	packet_thread_unlock(a->packets);
}

void
applier_end_batch(applier_t *a)
{
	kf_status_t status = kf_directory_end_batch(
	    kf_forwarder_directory(packet_thread_lock(a->packets)));

	packet_thread_unlock(a->packets);
	a->loaded = a->loaded || a->routes != NULL;
	if (status != KF_OK)
		kf_eventlog_write(a->log, KF_LOG_ERROR, "upstreams_not_indexed",
		    "reason=\"%s\"", kf_status_message());
}

void
applier_apply(void *ctx, const kf_item_t *item, int64_t now_us)
{
	applier_t *a = ctx;

	switch (kf_platform_item_kind(item->key)) {
	case KF_PUBLISHED_UPSTREAM:
		if (item->removed)
			remove_upstream(a, item,
			    item->lost || may_have_expired(a, now_us), now_us);
		else
			put_upstream(a, item, now_us);
		break;
	case KF_PUBLISHED_ROUTES:
		/* A removed configuration stays in use. */
		if (!item->removed)
			put_routes(a, item, now_us);
		break;
	case KF_PUBLISHED_EVACUATION:
		if (!item->lost)
			set_evacuated(a, item);
		break;
	default:
		break;
	}
}
