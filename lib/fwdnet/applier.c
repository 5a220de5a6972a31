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
	/* Lines about items that cannot be used. */
	MAX_REFUSED_LINES = 10,
	REFUSED_WINDOW_US = 10000000,
};

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

/*
 * An item that cannot be used may be written again every second, at every VM.
 * Above a number of lines in some seconds only their count is logged.
 */
static bool
is_line_allowed(applier_t *a, int64_t now_us)
{
	if (now_us - a->refused_window_us >= REFUSED_WINDOW_US) {
		a->refused_window_us = now_us;
		a->refused_lines = 0;
	}
	if (a->refused_lines >= MAX_REFUSED_LINES) {
		a->refused_suppressed++;
		return false;
	}
	a->refused_lines++;
	return true;
}

void
applier_refuse(applier_t *a, const char *key, uint64_t revision)
{
	a->refused++;
	if (!is_line_allowed(a, kf_clock_now().mono_us))
		return;
	kf_eventlog_write(a->log, KF_LOG_WARN, "item_refused",
	    "key=%.200s revision=%llu reason=\"%s\" suppressed=%llu", key,
	    (unsigned long long)revision, kf_status_message(),
	    (unsigned long long)a->refused_suppressed);
	a->refused_suppressed = 0;
}

static void
log_refused(applier_t *a, const kf_item_t *item)
{
	applier_refuse(a, item->key, item->revision);
}

static void
remove_upstream(
    applier_t *a, const kf_item_t *item, bool lapsed, int64_t now_us)
{
	kf_forwarder_t *forwarder;
	kf_change_t change;
	uint64_t id;

	if (kf_platform_upstream_id(item->key, &id) != KF_OK)
		return; /* never an upstream; logged when it was added */
	forwarder = packet_thread_lock(a->packets);
	change = kf_directory_remove(
	    kf_forwarder_directory(forwarder), id, lapsed, now_us);
	packet_thread_unlock(a->packets);
	log_upstream(a, item, change);
}

static void
put_upstream(applier_t *a, const kf_item_t *item, int64_t now_us)
{
	kf_change_t change = KF_CHANGE_NONE;
	kf_upstream_info_t info;
	kf_forwarder_t *forwarder;
	kf_directory_t *directory;
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
	forwarder = packet_thread_lock(a->packets);
	directory = kf_forwarder_directory(forwarder);
	status = item->from_backup
	    ? kf_directory_put_backup(directory, &info, now_us, &change)
	    : kf_directory_put(directory, &info, now_us, &change);
	packet_thread_unlock(a->packets);
	if (status != KF_OK)
		log_refused(a, item);
	log_upstream(a, item, change);
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
put_routes(applier_t *a, const kf_item_t *item)
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
			put_routes(a, item);
		break;
	case KF_PUBLISHED_EVACUATION:
		if (!item->lost)
			set_evacuated(a, item);
		break;
	default:
		break;
	}
}
