#include <stdlib.h>
#include <string.h>

#include "peering_internal.h"

enum {
	MAGIC = 0x6b666234, /* "kfb4" */
	/*
	 * Largest contact age in a beacon, with room for a suspended sender or
	 * a long queue.  An older contact is sent as unknown, and a received
	 * beacon with a larger age is rejected.
	 */
	MAX_AGE_MS = 600000,
	/*
	 * Replies to VMs without data in KF_PEERING_START_INTERVAL_US.  Each
	 * such VM may pull 15 KB at once, which takes 12 ms on a link of 10
	 * Mbit/s.
	 */
	MAX_STARTING_REPLIES = 4,
	/* A VM that knows fewer VMs of other zones requests more. */
	MIN_OTHER_ZONE_MEMBERS = 3,
	/*
	 * One in this many beacons within a zone, on average, lists members of
	 * a random zone.
	 */
	OTHER_ZONE_BEACON_PERIOD = 4,
};

uint64_t
peering_mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* splitmix64 */
static uint64_t
next_random(kf_peering_t *p)
{
	return peering_mix(p->random += UINT64_C(0x9e3779b97f4a7c15));
}

kf_peering_t *
kf_peering_new(const kf_peering_config_t *config)
{
	kf_peering_t *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return NULL;
	p->config = *config;
	p->random = config->random_seed;
	p->stamp_base_us = next_random(p);
	p->contact_us = INT64_MIN;
	p->start_interval_us = KF_PEERING_START_INTERVAL_US;
	return p;
}

void
kf_peering_delete(kf_peering_t *p)
{
	if (p == NULL)
		return;
	members_free(&p->members);
	free(p);
}

void
kf_peering_set_seeds(kf_peering_t *p, const uint32_t *seeds, uint32_t count)
{
	if (count > KF_PEERING_MAX_SEEDS)
		count = KF_PEERING_MAX_SEEDS;
	memcpy(p->config.seeds, seeds, count * sizeof(*seeds));
	p->config.seed_count = count;
}

bool
peering_reservoir_accepts(kf_peering_t *p, size_t seen)
{
	return next_random(p) % seen == 0;
}

/*
 * Time after which a member that is not heard from expires.  It grows with the
 * zone, because beacons refresh about 70 members a second, whatever their
 * number.
 */
static int64_t
member_timeout_us(const kf_peering_t *p)
{
	return KF_PEERING_MEMBER_TIMEOUT_US +
	    (int64_t)p->zone_member_count * KF_PEERING_MEMBER_TIMEOUT_PER_VM_US;
}

static void
record_lost(kf_peering_t *p, const member_t *m)
{
	if (m->zone == p->config.zone && p->lost_count < KF_PEERING_MAX_LOST)
		p->lost[p->lost_count++] = m->ip;
}

void
peering_expire(kf_peering_t *p, int64_t now_us)
{
	size_t i, kept = 0, same_zone = 0;

	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		if (now_us - m->last_heard_us >= member_timeout_us(p)) {
			record_lost(p, m);
			continue;
		}
		same_zone += m->zone == p->config.zone;
		p->members.list[kept++] = *m;
	}
	p->members.count = kept;
	p->zone_member_count = same_zone;
}

size_t
kf_peering_take_lost(
    kf_peering_t *p, uint32_t ips[KF_PEERING_MAX_LOST], int64_t *silent_us)
{
	size_t count = p->lost_count;

	*silent_us = member_timeout_us(p);
	memcpy(ips, p->lost, count * sizeof(*ips));
	p->lost_count = 0;
	return count;
}

/* Ages in a beacon count from the time at which it was sent. */
static int64_t
entry_time_us(const peering_member *entry, int64_t sent_us)
{
	return sent_us - (int64_t)entry->age_ms * 1000;
}

/* True if an entry of a beacon names another VM and is recent enough. */
static bool
is_usable_entry(const kf_peering_t *p, const peering_member *entry,
    int64_t sent_us, int64_t now_us)
{
	return entry->ip != p->config.ip && entry->ip != 0 &&
	    now_us - entry_time_us(entry, sent_us) < member_timeout_us(p);
}

/* Processes an entry that says when a member was last heard from. */
static void
merge_member(kf_peering_t *p, uint64_t zone, const peering_member *entry,
    int64_t sent_us, int64_t now_us)
{
	int64_t last_heard_us = entry_time_us(entry, sent_us);
	member_t *m;

	if (!is_usable_entry(p, entry, sent_us, now_us) ||
	    members_has_left(&p->members, entry->ip, last_heard_us))
		return;
	m = members_find(&p->members, entry->ip);
	if (m == NULL)
		m = members_add(&p->members, entry->ip, zone);
	if (m != NULL && last_heard_us > m->last_heard_us)
		m->last_heard_us = last_heard_us;
}

/*
 * Processes an entry that says when a VM left.  A departure that is already
 * known keeps its time: otherwise the transmission time would add up as VMs
 * pass it on.
 */
static void
merge_departure(kf_peering_t *p, uint64_t zone, const peering_member *entry,
    int64_t sent_us, int64_t now_us)
{
	if (is_usable_entry(p, entry, sent_us, now_us) &&
	    !members_has_left(
		&p->members, entry->ip, now_us - member_timeout_us(p)))
		members_mark_left(&p->members, entry->ip, zone,
		    entry_time_us(entry, sent_us));
}

/*
 * True if the sender is to get a beacon at once: it has no data, or it requests
 * members, and the limit on replies is not reached.
 */
static bool
should_reply(kf_peering_t *p, const peering_beacon *b, int64_t now_us)
{
	if (p->reply_count == PEERING_MAX_REPLIES)
		return false;
	if (b->revision != 0)
		return b->asks != PEERING_ASKS_NOTHING &&
		    p->replies_in_interval++ < PEERING_MAX_REPLIES;
	if (now_us - p->starting_replies_since_us >=
	    KF_PEERING_START_INTERVAL_US) {
		p->starting_replies_since_us = now_us;
		p->starting_replies = 0;
	}
	return p->starting_replies++ < MAX_STARTING_REPLIES;
}

/* Takes the state of the sender; sent_us is INT64_MIN if it is not known. */
static void
update_sender(kf_peering_t *p, member_t *m, const peering_beacon *b,
    int64_t sent_us, int64_t now_us)
{
	int64_t heard_us = sent_us == INT64_MIN ? now_us : sent_us;
	uint32_t i;

	m->asks = b->asks;
	if (should_reply(p, b, now_us))
		p->reply_ips[p->reply_count++] = b->ip;
	else if (b->wants_echo)
		peering_add_echo(p, b->ip);
	if (heard_us > m->last_heard_us)
		m->last_heard_us = heard_us;
	m->last_beacon_us = heard_us;
	m->demand_count = b->demands.demands_len;
	for (i = 0; i < m->demand_count; i++)
		m->demands[i] = b->demands.demands_val[i];
	m->zone = b->zone;
	m->position = (kf_store_position_t){ b->era, b->revision };
	m->contact_us = b->contact_age_ms < 0 || sent_us == INT64_MIN
	    ? INT64_MIN
	    : sent_us - (int64_t)b->contact_age_ms * 1000;
}

static peer_times_t
beacon_times(const kf_peering_t *p, const peering_beacon *b)
{
	return (peer_times_t){
		.stamp = b->stamp_us,
		.has_echo = b->has_echo,
		.echo_us = (int64_t)(b->echo_us - p->stamp_base_us),
		.held_us = b->echo_held_us,
	};
}

/*
 * Processes what a beacon says of its sender.  Returns the time at which it was
 * sent at the earliest, or now_us if that is not known.
 */
static int64_t
receive_sender(kf_peering_t *p, const peering_beacon *b, int64_t now_us)
{
	peer_times_t times = beacon_times(p, b);
	member_t *m = members_find(&p->members, b->ip);
	int64_t sent_us = INT64_MIN;
	bool is_latest = true;

	if (m == NULL && !b->leaving)
		m = members_add(&p->members, b->ip, b->zone);
	if (m != NULL) {
		is_latest = peer_clock_receive(&m->clock, &times, now_us);
		sent_us = peer_clock_sent_us(&m->clock, b->stamp_us, now_us);
	}
	if (m != NULL && !b->leaving && is_latest)
		update_sender(p, m, b, sent_us, now_us);
	if (sent_us == INT64_MIN)
		sent_us = now_us;
	p->late_beacons += now_us - sent_us > KF_PEERING_LATE_US;
	if (b->leaving && is_latest)
		members_mark_left(&p->members, b->ip, b->zone, sent_us);
	return sent_us;
}

/* Takes the reports of a beacon; new ones are due to be forwarded. */
static void
merge_reports(
    kf_peering_t *p, const peering_beacon *b, int64_t sent_us, int64_t now_us)
{
	u_int i;

	for (i = 0; i < b->reports.reports_len; i++)
		if (reports_receive(&p->reports, &b->reports.reports_val[i],
			sent_us, now_us))
			p->has_new_reports = true;
}

static void
merge_beacon(kf_peering_t *p, const peering_beacon *b, int64_t now_us)
{
	int64_t sent_us = receive_sender(p, b, now_us);
	u_int i;

	if (b->zone == p->config.zone)
		merge_reports(p, b, sent_us, now_us);
	for (i = 0; i < b->members.members_len; i++)
		merge_member(p, b->members_zone, &b->members.members_val[i],
		    sent_us, now_us);
	for (i = 0; i < b->left.left_len; i++)
		merge_departure(
		    p, b->members_zone, &b->left.left_val[i], sent_us, now_us);
}

kf_status_t
kf_peering_receive(
    kf_peering_t *p, const uint8_t *data, size_t len, int64_t now_us)
{
	peering_beacon b = { 0 };
	kf_status_t status = KF_OK;
	bool_t decoded;
	XDR xdr;

	xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
	decoded = xdr_peering_beacon(&xdr, &b);
	xdr_destroy(&xdr);
	if (!decoded || b.magic != MAGIC || b.ip == 0 ||
	    b.contact_age_ms > MAX_AGE_MS)
		status = kf_status_set(KF_ERR_INVALID, "malformed beacon");
	else if (b.ip != p->config.ip)
		merge_beacon(p, &b, now_us);
	xdr_free((xdrproc_t)xdr_peering_beacon, (char *)&b);
	return status;
}

peering_question
peering_missing_members(const kf_peering_t *p)
{
	size_t i, same_zone = 0;

	for (i = 0; i < p->members.count; i++)
		same_zone += p->members.list[i].zone == p->config.zone;
	if (same_zone == 0)
		return PEERING_ASKS_ZONE;
	return p->members.count - same_zone < MIN_OTHER_ZONE_MEMBERS
	    ? PEERING_ASKS_OTHERS
	    : PEERING_ASKS_NOTHING;
}

/*
 * Latest contact with the store of this VM, or of one whose changes this VM has
 * all: what the store held at that contact is here too, and stays here.  A
 * contact of another era says nothing of the store that this VM's data are of.
 */
static int64_t
update_contact(kf_peering_t *p, const kf_peering_self_t *self)
{
	size_t i;

	if (self->contact_us > p->contact_us)
		p->contact_us = self->contact_us;
	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];

		if (m->position.era == self->position.era &&
		    m->position.revision <= self->position.revision &&
		    m->contact_us > p->contact_us)
			p->contact_us = m->contact_us;
	}
	return p->contact_us;
}

/* Returns -1 for never, for the future and for ages above MAX_AGE_MS. */
static int
age_ms(int64_t since_us, int64_t now_us)
{
	int64_t ms;

	if (since_us == INT64_MIN)
		return -1;
	ms = (now_us - since_us) / 1000;
	return ms > MAX_AGE_MS || ms < 0 ? -1 : (int)ms;
}

/*
 * Chooses the zone whose members a beacon lists, so that every VM knows its own
 * zone and some members of each other zone.  A request of the receiver comes
 * first.  Without one, a receiver in the own zone mostly gets that zone, at
 * times the zone of a random member; a receiver in another zone gets either
 * zone with the same probability.
 */
static uint64_t
choose_listed_zone(kf_peering_t *p, uint32_t to_ip)
{
	member_t *to = members_find(&p->members, to_ip);
	peering_question asks;

	if (to == NULL)
		return p->config.zone;
	asks = to->asks;
	to->asks = PEERING_ASKS_NOTHING;
	if (asks == PEERING_ASKS_ZONE)
		return to->zone;
	if (to->zone != p->config.zone)
		return asks == PEERING_ASKS_OTHERS || next_random(p) % 2 == 0
		    ? p->config.zone
		    : to->zone;
	return asks == PEERING_ASKS_OTHERS ||
		next_random(p) % OTHER_ZONE_BEACON_PERIOD == 0
	    ? p->members.list[next_random(p) % p->members.count].zone
	    : p->config.zone;
}

/*
 * Fills in members of a zone that were heard from recently, continuing after
 * the last one listed.
 */
static size_t
list_members(kf_peering_t *p, uint64_t zone, uint32_t to_ip, int64_t now_us,
    peering_member members[KF_PEERING_MAX_BEACON_MEMBERS])
{
	size_t i, written = 0;

	for (i = 0;
	     i < p->members.count && written < KF_PEERING_MAX_BEACON_MEMBERS;
	     i++) {
		const member_t *m =
		    &p->members.list[p->member_cursor++ % p->members.count];

		/* An older entry would soon expire at the receiver. */
		if (m->zone != zone || m->ip == to_ip ||
		    now_us - m->last_heard_us > member_timeout_us(p) / 2)
			continue;
		members[written++] = (peering_member){
			.ip = m->ip,
			.age_ms = (u_int)((now_us - m->last_heard_us) / 1000),
		};
	}
	return written;
}

/* Fills in departures from a zone, continuing after the last one listed. */
static size_t
list_departures(kf_peering_t *p, uint64_t zone, int64_t now_us,
    peering_member left[PEERING_MAX_LEFT])
{
	size_t i, written = 0;

	for (i = 0; i < MEMBERS_MAX_DEPARTURES && written < PEERING_MAX_LEFT;
	     i++) {
		const departure_t *d =
		    &p->members
			 .left[p->departure_cursor++ % MEMBERS_MAX_DEPARTURES];

		if (d->ip == 0 || d->zone != zone ||
		    now_us - d->left_us >= member_timeout_us(p))
			continue;
		left[written++] = (peering_member){
			.ip = d->ip,
			.age_ms = (u_int)((now_us - d->left_us) / 1000),
		};
	}
	return written;
}

static void
fill_echo(const peer_clock_t *clock, int64_t now_us, peering_beacon *b)
{
	int64_t held_us = now_us - clock->heard_us;

	if (!clock->heard || held_us > UINT32_MAX)
		return;
	b->has_echo = true;
	b->echo_us = clock->stamp;
	b->echo_held_us = (u_int)held_us;
}

size_t
kf_peering_encode_beacon(kf_peering_t *p, const kf_peering_self_t *self,
    uint32_t to_ip, int64_t now_us, uint8_t buf[KF_PEERING_BEACON_MAX_BYTES])
{
	peering_member members[KF_PEERING_MAX_BEACON_MEMBERS];
	peering_demand demands[KF_PEERING_MAX_DEMANDS];
	peering_report reports[PEERING_MAX_REPORTS];
	peering_member left[PEERING_MAX_LEFT];
	const member_t *to = members_find(&p->members, to_ip);
	peering_beacon b = {
		.magic = MAGIC,
		.ip = p->config.ip,
		.zone = p->config.zone,
		.era = self->position.era,
		.revision = self->position.revision,
		.contact_age_ms = age_ms(update_contact(p, self), now_us),
		.stamp_us = p->stamp_base_us + (uint64_t)now_us,
		.wants_echo = to == NULL || !to->clock.has_offset,
		.leaving = self->leaving,
		.asks = peering_missing_members(p),
		.demands.demands_len = (u_int)self->demand_count,
		.demands.demands_val = demands,
		.reports.reports_val = reports,
		.members.members_val = members,
		.left.left_val = left,
	};
	size_t i, len;
	XDR xdr;

	for (i = 0; i < self->demand_count; i++)
		demands[i] = (peering_demand){
			.service = self->demands[i].service,
			.asked_per_s = self->demands[i].asked_per_s,
		};
	if (to != NULL)
		fill_echo(&to->clock, now_us, &b);
	if (to != NULL && to->zone == p->config.zone)
		b.reports.reports_len =
		    (u_int)reports_fill(&p->reports, reports, now_us);
	b.members_zone = choose_listed_zone(p, to_ip);
	b.members.members_len =
	    (u_int)list_members(p, b.members_zone, to_ip, now_us, members);
	b.left.left_len =
	    (u_int)list_departures(p, b.members_zone, now_us, left);
	xdrmem_create(
	    &xdr, (char *)buf, KF_PEERING_BEACON_MAX_BYTES, XDR_ENCODE);
	len = xdr_peering_beacon(&xdr, &b) ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return len;
}

kf_peering_view_t
kf_peering_view(kf_peering_t *p, const kf_peering_self_t *self, int64_t now_us)
{
	kf_peering_view_t view = {
		.zone_count = 1,
		.heard_us = INT64_MIN,
		.late_beacons = p->late_beacons,
	};
	const member_t *source;
	size_t i;

	peering_expire(p, now_us);
	view.vm_count = (uint32_t)p->members.count + 1;
	view.contact_us = update_contact(p, self);
	for (i = 0; i < p->members.count; i++) {
		const member_t *m = &p->members.list[i];
		bool same_zone = m->zone == p->config.zone;

		if (same_zone) {
			view.zone_count++;
			view.rank += m->ip < p->config.ip;
			if (m->last_beacon_us > view.heard_us)
				view.heard_us = m->last_beacon_us;
		}
	}
	source = peering_choose_source(p, self, now_us);
	if (source != NULL) {
		view.ahead = source->position;
		view.ahead_ip = source->ip;
	}
	return view;
}

void
kf_peering_report_failure(kf_peering_t *p, uint32_t token, int64_t now_us)
{
	reports_add_own(&p->reports, p->config.ip, token, now_us);
	p->has_new_reports = true;
}

size_t
kf_peering_take_reports(kf_peering_t *p, uint32_t *tokens, size_t max)
{
	return reports_take(&p->reports, tokens, max);
}
