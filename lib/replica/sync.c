#include "kf/backoff.h"
#include "kf/sync.h"

static const char *const call_names[KF_SYNC_CALL_COUNT] = {
	[KF_SYNC_LIST] = "list",
	[KF_SYNC_WATCH] = "watch",
	[KF_SYNC_PULL] = "pull",
};

const char *
kf_sync_call_name(kf_sync_call_t call)
{
	return call_names[call];
}

void
kf_sync_init(kf_sync_t *s, int64_t bound_us, bool ask_peers, double jitter,
    int64_t now_us)
{
	*s = (kf_sync_t){
		.bound_us = bound_us,
		.contact_us = INT64_MIN,
		.ask_peers = ask_peers,
		.list_not_before_us = now_us + KF_SYNC_START_LIST_DELAY_US +
		    (int64_t)(KF_SYNC_START_LIST_JITTER_US * jitter),
	};
}

void
kf_sync_set_bound(kf_sync_t *s, int64_t bound_us)
{
	s->bound_us = bound_us;
}

static int64_t
age_us(int64_t since_us, int64_t now_us)
{
	return since_us == INT64_MIN ? INT64_MAX : now_us - since_us;
}

static int64_t
smaller(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
read_timeout_us(const kf_sync_t *s)
{
	return smaller(s->bound_us / KF_SYNC_READ_TIMEOUT_DIVISOR,
	    (int64_t)KF_SYNC_WATCH_MARGIN_MS * 1000);
}

/*
 * Age of the contact at which a read has to begin: two reads, of which the
 * first gets no answer, then end within the bound.
 */
static int64_t
latest_read_age_us(const kf_sync_t *s)
{
	return s->bound_us - 2 * read_timeout_us(s) - KF_SYNC_READ_RESERVE_US;
}

/* Age of the contact at which this VM reads the store. */
static int64_t
takeover_age_us(const kf_sync_t *s, int64_t added_us)
{
	return smaller(KF_SYNC_TAKEOVER_US + added_us, latest_read_age_us(s));
}

/* Wait or margin of a watch: a watch that gets no answer ends in time, too. */
static uint32_t
watch_part_ms(const kf_sync_t *s, uint32_t usual_ms)
{
	return (uint32_t)smaller(usual_ms, latest_read_age_us(s) / 2000);
}

/* True if this VM reads the store itself. */
static bool
reads_store(const kf_sync_t *s, const kf_sync_peers_t *peers, int64_t now_us)
{
	int64_t added_us = (int64_t)peers->rank * KF_SYNC_TAKEOVER_PER_RANK_US;
	bool alone = age_us(peers->heard_us, now_us) > KF_SYNC_ALONE_US;

	if (!s->listed)
		return !s->ask_peers ||
		    now_us >= s->list_not_before_us +
			(s->peer_call_active ? KF_SYNC_START_PULL_DELAY_US : 0);
	if (peers->rank == 0 || !s->caught_up)
		return true;
	if (alone)
		added_us = smaller(added_us, KF_SYNC_TAKEOVER_RANK_MAX_US);
	return age_us(peers->contact_us, now_us) > takeover_age_us(s, added_us);
}

/*
 * True if this VM counts as caught up without a watch of its own: either other
 * VMs with recent contact have no higher revision, or the time for catching up
 * has passed, for example because no VM reaches the store.
 */
static bool
may_skip_catch_up(
    const kf_sync_t *s, const kf_sync_peers_t *peers, int64_t now_us)
{
	return (kf_store_position_compare(peers->ahead, s->position) <= 0 &&
		   age_us(peers->contact_us, now_us) < takeover_age_us(s, 0)) ||
	    now_us - s->listed_us >= KF_SYNC_CATCH_UP_TIMEOUT_US;
}

/*
 * A watch that brings changes early confirms the data only as of its start, so
 * the next one is shorter by the age that the contact has then.
 */
static uint32_t
watch_wait_ms(const kf_sync_t *s, int64_t now_us)
{
	int64_t age_ms =
	    (age_us(s->contact_us, now_us) - KF_SYNC_WATCH_AGE_US) / 1000;
	int64_t longest_ms = watch_part_ms(s, KF_SYNC_WATCH_WAIT_MS);

	/* The first watch only fetches what the listing may have missed. */
	if (!s->caught_up || age_ms >= longest_ms)
		return 0;
	return (uint32_t)(age_ms <= 0 ? longest_ms : longest_ms - age_ms);
}

static uint32_t
store_timeout_ms(const kf_sync_t *s, const kf_sync_actions_t *actions)
{
	if (actions->call == KF_SYNC_LIST)
		return KF_SYNC_LIST_TIMEOUT_MS;
	if (actions->wait_ms > 0)
		return actions->wait_ms +
		    watch_part_ms(s, KF_SYNC_WATCH_MARGIN_MS);
	/* A read and its retry; a store that answers neither may be slow. */
	return s->store_failures < 2 ? (uint32_t)(read_timeout_us(s) / 1000)
				     : KF_SYNC_WATCH_MARGIN_MS;
}

kf_sync_actions_t
kf_sync_start_due_calls(
    kf_sync_t *s, const kf_sync_peers_t *peers, int64_t now_us)
{
	kf_sync_actions_t actions = { 0 };

	if (!s->peer_call_active && now_us >= s->peer_not_before_us &&
	    peers->ahead_ip != 0 &&
	    kf_store_position_compare(peers->ahead, s->position) > 0) {
		actions.pull = true;
		s->peer_call_active = true;
	}
	if (s->listed && !s->caught_up && may_skip_catch_up(s, peers, now_us))
		s->caught_up = true;
	if (s->store_call_active || now_us < s->store_not_before_us ||
	    !reads_store(s, peers, now_us))
		return actions;
	actions.store = true;
	s->store_call_active = true;
	actions.call =
	    s->listed && !s->fresh_list_needed ? KF_SYNC_WATCH : KF_SYNC_LIST;
	actions.stale = !s->fresh_list_needed;
	actions.wait_ms = watch_wait_ms(s, now_us);
	actions.timeout_ms = store_timeout_ms(s, &actions);
	s->rank = peers->rank;
	s->store_call = actions.call;
	s->store_call_us = now_us;
	s->store_wait_ms = actions.wait_ms;
	return actions;
}

static int64_t
earliest_after(int64_t now_us, int64_t a_us, int64_t b_us)
{
	if (a_us <= now_us)
		return b_us <= now_us ? INT64_MAX : b_us;
	return b_us <= now_us || a_us < b_us ? a_us : b_us;
}

int64_t
kf_sync_next_call_us(const kf_sync_t *s, int64_t now_us)
{
	int64_t store_us = s->store_not_before_us;

	if (!s->listed && s->ask_peers && s->list_not_before_us > store_us)
		store_us = s->list_not_before_us;
	if (s->store_call_active)
		store_us = now_us;
	return earliest_after(now_us, store_us, s->peer_not_before_us);
}

static int64_t
retry_us(const kf_sync_t *s, double jitter)
{
	uint32_t again = s->store_failures > 0 ? s->store_failures - 1 : 0;
	int64_t longest_us = smaller(
	    KF_SYNC_RETRY_MAX_US + (int64_t)s->rank * KF_SYNC_RETRY_PER_RANK_US,
	    KF_SYNC_RETRY_RANK_MAX_US);
	int64_t us = kf_backoff_us(KF_SYNC_RETRY_MIN_US, longest_us, again);

	return us / 2 + (int64_t)((double)us * jitter);
}

static void
mark_listed(kf_sync_t *s, int64_t now_us)
{
	if (!s->listed)
		s->listed_us = now_us;
	s->listed = true;
}

/*
 * Time as of which the store has confirmed the data.  A watch that is answered
 * without changes before its wait is over was not held open for all of it.
 */
static int64_t
confirmed_us(const kf_sync_t *s, kf_sync_outcome_t outcome, int64_t now_us)
{
	int64_t wait_end_us =
	    s->store_call_us + (int64_t)s->store_wait_ms * 1000;

	return outcome == KF_SYNC_UNCHANGED && wait_end_us <= now_us
	    ? wait_end_us
	    : s->store_call_us;
}

static void
store_call_done(kf_sync_t *s, kf_sync_call_t call, kf_sync_outcome_t outcome,
    double jitter, int64_t now_us)
{
	s->store_call_active = false;
	s->store_not_before_us = now_us;
	/* A stale listing may be older than data pulled from other VMs. */
	if (outcome == KF_SYNC_BEHIND)
		outcome = s->fresh_list_needed ? KF_SYNC_FAILED : KF_SYNC_OK;
	if (outcome == KF_SYNC_FAILED) {
		s->store_failures++;
		s->store_not_before_us = now_us + retry_us(s, jitter);
		return;
	}
	s->store_failures = 0;
	if (outcome == KF_SYNC_HISTORY_GONE) {
		s->fresh_list_needed = true;
		return;
	}
	if (call == KF_SYNC_LIST) {
		/* A stale listing does not show the store's present state. */
		if (s->fresh_list_needed)
			s->contact_us = s->store_call_us;
		mark_listed(s, now_us);
		s->fresh_list_needed = false;
		return;
	}
	s->contact_us = confirmed_us(s, outcome, now_us);
	s->caught_up = true;
	s->store_not_before_us = now_us + KF_SYNC_WATCH_GAP_US;
}

void
kf_sync_call_done(kf_sync_t *s, kf_sync_call_t call, kf_sync_outcome_t outcome,
    kf_store_position_t position, double jitter, int64_t now_us)
{
	bool new_era = position.era > s->position.era;

	s->position = position;
	if (call != KF_SYNC_PULL) {
		store_call_done(s, call, outcome, jitter, now_us);
		return;
	}
	s->peer_call_active = false;
	/* The peer has listed the store. */
	if (outcome == KF_SYNC_OK && new_era)
		s->fresh_list_needed = false;
	if (outcome == KF_SYNC_OK)
		mark_listed(s, now_us);
	else
		s->peer_not_before_us = now_us + KF_SYNC_RETRY_MIN_US +
		    (int64_t)(KF_SYNC_RETRY_MIN_US * jitter);
}

bool
kf_sync_cancel_listing(kf_sync_t *s, int64_t now_us)
{
	if (!s->store_call_active || s->store_call != KF_SYNC_LIST ||
	    !s->listed || s->fresh_list_needed)
		return false;
	s->store_call_active = false;
	s->store_not_before_us = now_us;
	return true;
}

void
kf_sync_restart(kf_sync_t *s, int64_t now_us)
{
	s->store_call_active = false;
	s->peer_call_active = false;
	s->store_failures = 0;
	s->store_not_before_us = now_us;
	s->peer_not_before_us = now_us;
}

bool
kf_sync_ready(const kf_sync_t *s)
{
	return s->listed && s->caught_up;
}
