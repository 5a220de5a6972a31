#include <stdlib.h>
#include <string.h>

#include "kf/search.h"

#include "members.h"

enum {
	FIRST_CAP = 16,
	MAX_MEMBERS = 16384,
};

void
members_free(members_t *m)
{
	free(m->list);
}

static int
ip_compare(const void *key, const void *element)
{
	uint32_t ip = *(const uint32_t *)key;
	uint32_t other = ((const member_t *)element)->ip;

	return (ip > other) - (ip < other);
}

static size_t
position_of(const members_t *m, uint32_t ip)
{
	return kf_lower_bound(
	    &ip, m->list, m->count, sizeof(*m->list), ip_compare);
}

member_t *
members_find(const members_t *m, uint32_t ip)
{
	size_t at = position_of(m, ip);

	return at < m->count && m->list[at].ip == ip ? &m->list[at] : NULL;
}

member_t *
members_add(members_t *m, uint32_t ip, uint64_t zone)
{
	size_t at = position_of(m, ip), cap;
	member_t *grown;

	if (m->count == MAX_MEMBERS)
		return NULL;
	if (m->count == m->cap) {
		cap = m->cap == 0 ? FIRST_CAP : m->cap * 2;
		grown = realloc(m->list, cap * sizeof(*grown));
		if (grown == NULL)
			return NULL;
		m->list = grown;
		m->cap = cap;
	}
	memmove(
	    m->list + at + 1, m->list + at, (m->count - at) * sizeof(*m->list));
	m->count++;
	m->list[at] = (member_t){
		.ip = ip,
		.zone = zone,
		.last_heard_us = INT64_MIN,
		.contact_us = INT64_MIN,
		.last_beacon_us = INT64_MIN,
		.pull_failed_us = INT64_MIN,
	};
	return &m->list[at];
}

static void
members_remove(members_t *m, uint32_t ip)
{
	size_t at = position_of(m, ip);

	if (at == m->count || m->list[at].ip != ip)
		return;
	m->count--;
	memmove(
	    m->list + at, m->list + at + 1, (m->count - at) * sizeof(*m->list));
}

/* The entry of the VM's earlier departure, or else the oldest entry. */
static departure_t *
departure_slot(members_t *m, uint32_t ip)
{
	departure_t *oldest = &m->left[0];
	size_t i;

	for (i = 0; i < MEMBERS_MAX_DEPARTURES; i++) {
		if (m->left[i].ip == ip)
			return &m->left[i];
		if (m->left[i].left_us < oldest->left_us)
			oldest = &m->left[i];
	}
	return oldest;
}

void
members_mark_left(members_t *m, uint32_t ip, uint64_t zone, int64_t left_us)
{
	const member_t *known = members_find(m, ip);

	if (known != NULL && known->last_heard_us > left_us)
		return;
	members_remove(m, ip);
	*departure_slot(m, ip) = (departure_t){
		.ip = ip,
		.zone = zone,
		.left_us = left_us,
	};
}

bool
members_has_left(const members_t *m, uint32_t ip, int64_t last_heard_us)
{
	size_t i;

	for (i = 0; i < MEMBERS_MAX_DEPARTURES; i++)
		if (m->left[i].ip == ip)
			return last_heard_us <= m->left[i].left_us;
	return false;
}
