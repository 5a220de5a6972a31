#include "internal.h"

enum {
	/*
	 * Limit the probes of a zone without contact to about 10 a second.
	 * With 100 a second, 16,000 VMs made 5945 reads a second when the
	 * platform came back 10 s after contact had ended.
	 */
	SPREAD_MIN_US = 500000,
	SPREAD_PER_VM_US = 100000,
	/* Limits the reads of a watcher if the platform answers at once. */
	WATCH_INTERVAL_US = 250000,
	CLAIM_BLOCK_US = 10000000,
	SEED_INTERVAL_US = 1000000,
	MESH_MAX = 8,
};

/* The kind that is read first: the VM list gives the size of the zone. */
static const kf_doc_kind_t probe_kind = KF_DOC_VMS;

static int64_t
max_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t
probe_spread_us(const kf_confdist_t *c)
{
	return max_us(
	    SPREAD_MIN_US, SPREAD_PER_VM_US * (int64_t)c->zone_members);
}

/*
 * For each doubling of the zone, news of contact needs one more heartbeat
 * interval to reach every VM.
 */
static int64_t
contact_limit_us(const kf_confdist_t *c)
{
	int64_t limit_us = KF_CONTACT_LIMIT_US;
	size_t size;

	for (size = MESH_MAX; size < c->zone_members; size *= 2)
		limit_us += KF_CONTACT_LIMIT_STEP_US;
	return limit_us;
}

/*
 * Returns the oldest of the last answers for each kind, or -1 if the platform
 * has not yet answered for one of them.
 */
static int64_t
own_contact_us(const kf_confdist_t *c)
{
	int64_t contact_us = INT64_MAX;
	size_t kind;

	for (kind = 0; kind < KF_DOC_KINDS; kind++) {
		int64_t answered_us = c->kinds[kind].platform.answered_us;

		if (answered_us < contact_us)
			contact_us = answered_us;
	}
	return contact_us;
}

static bool
has_recent_contact(const kf_confdist_t *c, int64_t now_us)
{
	int64_t contact_us =
	    max_us(c->fleet_contact_us, c->newer_peer_contact_us);

	contact_us = max_us(contact_us, own_contact_us(c));
	return contact_us >= 0 && now_us - contact_us < contact_limit_us(c);
}

int32_t
kf_confdist_contact_age_ms(const kf_confdist_t *c, int64_t now_us)
{
	int64_t contact_us = max_us(c->fleet_contact_us, own_contact_us(c));
	int64_t age_ms;

	if (contact_us < 0)
		return KF_CONTACT_NEVER_MS;
	age_ms = (now_us - contact_us) / 1000;
	if (age_ms < 0)
		age_ms = 0;
	return age_ms > INT32_MAX ? INT32_MAX : (int32_t)age_ms;
}

void
confdist_on_platform_answer(
    kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	platform_fetch_t *fetch = &c->kinds[kind].platform;

	fetch->outstanding = false;
	fetch->scheduled = false;
	fetch->backoff_us = 0;
	fetch->answered_us = now_us;
	fetch->next_us = max_us(now_us, fetch->started_us + WATCH_INTERVAL_US);
}

void
kf_confdist_on_unchanged(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	confdist_on_platform_answer(c, now_us, kind);
}

static int64_t
add_jitter(kf_confdist_t *c, int64_t interval_us)
{
	return interval_us / 2 +
	    confdist_random(c, (uint32_t)(interval_us / 2 + 1));
}

/* Watchers retry more often, because the other VMs rely on them. */
static void
platform_fetch_failed(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	platform_fetch_t *fetch = &c->kinds[kind].platform;
	int64_t min_backoff_us = KF_BACKOFF_MIN_US;
	int64_t max_backoff_us = KF_BACKOFF_MAX_US;

	if (!c->watcher) {
		min_backoff_us = max_us(min_backoff_us, probe_spread_us(c) / 2);
		max_backoff_us = max_us(max_backoff_us, probe_spread_us(c));
	}
	fetch->outstanding = false;
	fetch->backoff_us = max_us(min_backoff_us, fetch->backoff_us * 2);
	if (fetch->backoff_us > max_backoff_us)
		fetch->backoff_us = max_backoff_us;
	fetch->next_us = now_us + add_jitter(c, fetch->backoff_us);
}

static claim_t *
find_claim(peer_fetch_t *peer, uint32_t vm)
{
	size_t i;

	for (i = 0; i < CLAIMS_MAX; i++) {
		if (peer->claims[i].vm == vm)
			return &peer->claims[i];
	}
	return NULL;
}

static void
block_claim(kind_state_t *state, uint32_t vm, int64_t until_us)
{
	claim_t *claim = find_claim(&state->peer, vm);

	if (vm != 0 && claim != NULL)
		claim->blocked_until_us = until_us;
}

static void
end_peer_fetch(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    kf_doc_source_t source)
{
	kind_state_t *state = &c->kinds[kind];

	block_claim(state, source.vm, now_us + CLAIM_BLOCK_US);
	if (state->peer.source.vm == source.vm &&
	    state->peer.source.seed == source.seed)
		state->peer.outstanding = false;
}

void
kf_confdist_on_fetch_failed(kf_confdist_t *c, int64_t now_us,
    kf_doc_kind_t kind, kf_doc_source_t source)
{
	if (source.vm == 0 && source.seed == 0)
		platform_fetch_failed(c, now_us, kind);
	else
		end_peer_fetch(c, now_us, kind, source);
}

/*
 * If the peer's claim is still above the version in force, it did not deliver
 * what it claimed and is not asked again for CLAIM_BLOCK_US.
 */
void
confdist_on_peer_document(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    kf_doc_source_t source, kf_doc_result_t result)
{
	kind_state_t *state = &c->kinds[kind];

	end_peer_fetch(c, now_us, kind, source);
	if (result == KF_DOC_INVALID)
		block_claim(state, source.vm, INT64_MAX);
}

/* Returns the claim of vm, or the lowest one to be replaced. */
static claim_t *
find_claim_slot(peer_fetch_t *peer, uint32_t vm)
{
	claim_t *slot = find_claim(peer, vm), *worst = &peer->claims[0];
	size_t i;

	if (slot != NULL)
		return slot;
	for (i = 1; i < CLAIMS_MAX; i++) {
		claim_t *claim = &peer->claims[i];

		if (kf_doc_version_compare(claim->version, worst->version) < 0)
			worst = claim;
	}
	return worst;
}

static void
update_claim(kind_state_t *state, uint32_t vm, kf_doc_version_t version)
{
	claim_t *slot = find_claim_slot(&state->peer, vm);
	int order = kf_doc_version_compare(version, slot->version);

	if (slot->vm == vm && order == 0)
		return;
	if (slot->vm != vm && slot->vm != 0 && order < 0)
		return;
	*slot = (claim_t){ .vm = vm, .version = version };
}

/*
 * Contact of a peer with older documents does not count, because its platform
 * replica may lag.  Older VM lists are tolerated, because the list changes
 * often.
 */
static void
update_contact(kf_confdist_t *c, int64_t contact_us, bool newer, bool older)
{
	if (older)
		return;
	if (newer)
		c->newer_peer_contact_us =
		    max_us(c->newer_peer_contact_us, contact_us);
	else
		c->fleet_contact_us = max_us(c->fleet_contact_us, contact_us);
}

void
kf_confdist_on_peer_versions(kf_confdist_t *c, int64_t now_us, uint32_t vm,
    const kf_doc_version_t versions[KF_DOC_KINDS], int32_t contact_age_ms)
{
	bool newer = false, older = false;
	size_t kind;

	if (vm == 0)
		return;
	for (kind = 0; kind < KF_DOC_KINDS; kind++) {
		kind_state_t *state = &c->kinds[kind];
		int order =
		    kf_doc_version_compare(versions[kind], state->doc.version);

		if (order > 0) {
			newer = true;
			update_claim(state, vm, versions[kind]);
		} else if (order < 0 && kind != KF_DOC_VMS) {
			older = true;
		}
	}
	if (contact_age_ms >= 0)
		update_contact(
		    c, now_us - (int64_t)contact_age_ms * 1000, newer, older);
}

static bool
is_probe_due(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	const platform_fetch_t *probe = &c->kinds[probe_kind].platform;
	kind_state_t *state = &c->kinds[kind];
	platform_fetch_t *fetch = &state->platform;

	if (state->doc.parsed != NULL && has_recent_contact(c, now_us)) {
		fetch->scheduled = false;
		return false;
	}
	/*
	 * The other kinds are read after the platform has answered a probe.
	 * An old answer does not count: otherwise all VMs that have their
	 * documents from peers would read two kinds as soon as contact ends.
	 */
	if (kind != probe_kind && state->doc.parsed != NULL)
		return probe->answered_us > fetch->answered_us &&
		    now_us - probe->answered_us < contact_limit_us(c) &&
		    fetch->backoff_us == 0;
	if (fetch->scheduled)
		return now_us >= fetch->next_us;
	fetch->scheduled = true;
	fetch->next_us = max_us(fetch->next_us,
	    now_us + confdist_random(c, (uint32_t)probe_spread_us(c)));
	return false;
}

/*
 * A VM that becomes a watcher while it backs off waits at most
 * KF_BACKOFF_MAX_US since its last fetch.
 */
static int64_t
next_fetch_us(const kf_confdist_t *c, const platform_fetch_t *fetch)
{
	int64_t latest_us = fetch->started_us + KF_BACKOFF_MAX_US;

	if (c->watcher && fetch->backoff_us > 0 && latest_us < fetch->next_us)
		return latest_us;
	return fetch->next_us;
}

static bool
has_all_documents(const kf_confdist_t *c)
{
	size_t kind;

	for (kind = 0; kind < KF_DOC_KINDS; kind++) {
		if (c->kinds[kind].doc.parsed == NULL)
			return false;
	}
	return true;
}

/*
 * A VM that has all documents and recent contact from peers does not read the
 * platform until contact ends; its first read is then delayed at random like
 * any probe.  If a document is missing, it reads the platform in any case, as a
 * peer may claim a version that it cannot deliver.
 */
static bool
is_first_probe_due(kf_confdist_t *c, int64_t now_us)
{
	return c->watcher || !has_all_documents(c) ||
	    is_probe_due(c, now_us, probe_kind);
}

static bool
is_platform_due(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	const platform_fetch_t *probe = &c->kinds[probe_kind].platform;
	const platform_fetch_t *fetch = &c->kinds[kind].platform;

	if (fetch->outstanding || now_us < next_fetch_us(c, fetch))
		return false;
	/* The size of the zone is unknown until the first probe has ended. */
	if (probe->answered_us < 0 && probe->backoff_us == 0)
		return kind == probe_kind && is_first_probe_due(c, now_us);
	return c->watcher || is_probe_due(c, now_us, kind);
}

static void
fetch_platform(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    const kf_confdist_actions_t *actions)
{
	kind_state_t *state = &c->kinds[kind];
	platform_fetch_t *fetch = &state->platform;
	bool wait =
	    c->watcher && state->doc.parsed != NULL && fetch->backoff_us == 0;

	if (!is_platform_due(c, now_us, kind))
		return;
	fetch->outstanding = true;
	fetch->scheduled = false;
	fetch->started_us = now_us;
	actions->fetch_platform(actions->ctx, kind,
	    kind_newest_seen_version(state), wait ? KF_WATCH_WAIT_MS : 0);
}

static claim_t *
best_claim(kind_state_t *state, int64_t now_us)
{
	claim_t *best = NULL;
	size_t i;

	for (i = 0; i < CLAIMS_MAX; i++) {
		claim_t *claim = &state->peer.claims[i];

		if (claim->vm == 0 || now_us < claim->blocked_until_us ||
		    kind_is_rejected(state, claim->version.platform_version) ||
		    kf_doc_version_compare(
			claim->version, state->doc.version) <= 0)
			continue;
		if (best == NULL ||
		    kf_doc_version_compare(claim->version, best->version) > 0)
			best = claim;
	}
	return best;
}

/* Chooses the peer or seed to ask; returns false if there is none. */
static bool
choose_peer(kf_confdist_t *c, int64_t now_us, kind_state_t *state)
{
	peer_fetch_t *peer = &state->peer;
	claim_t *claim = best_claim(state, now_us);

	if (claim != NULL) {
		peer->source = (kf_doc_source_t){ .vm = claim->vm };
		peer->version = claim->version;
		return true;
	}
	if (state->doc.parsed != NULL || c->config.seed_count == 0 ||
	    now_us < peer->next_seed_us)
		return false;
	peer->next_seed_us = now_us + SEED_INTERVAL_US;
	peer->source = (kf_doc_source_t){
		.seed = 1 + peer->next_seed++ % c->config.seed_count,
	};
	peer->version = (kf_doc_version_t){ 0 };
	return true;
}

static void
fetch_peer(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    const kf_confdist_actions_t *actions)
{
	peer_fetch_t *peer = &c->kinds[kind].peer;

	if (peer->outstanding || !choose_peer(c, now_us, &c->kinds[kind]))
		return;
	peer->outstanding = true;
	peer->started_us = now_us;
	actions->fetch_peer(actions->ctx, peer->source, kind, peer->version);
}

static void
expire_fetches(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	const kind_state_t *state = &c->kinds[kind];

	if (state->platform.outstanding &&
	    now_us - state->platform.started_us >= KF_PLATFORM_TIMEOUT_US)
		platform_fetch_failed(c, now_us, kind);
	if (state->peer.outstanding &&
	    now_us - state->peer.started_us >= KF_PEER_TIMEOUT_US)
		end_peer_fetch(c, now_us, kind, state->peer.source);
}

/* Peers at seed addresses can answer first, so reads of the platform wait. */
static void
schedule_first_reads(kf_confdist_t *c, int64_t now_us)
{
	size_t kind;

	c->started = true;
	if (c->config.seed_count == 0)
		return;
	for (kind = 0; kind < KF_DOC_KINDS; kind++)
		c->kinds[kind].platform.next_us = now_us +
		    confdist_random(c, (uint32_t)c->config.start_window_us);
}

void
kf_confdist_tick(
    kf_confdist_t *c, int64_t now_us, const kf_confdist_actions_t *actions)
{
	size_t kind;

	if (!c->started)
		schedule_first_reads(c, now_us);
	for (kind = 0; kind < KF_DOC_KINDS; kind++) {
		expire_fetches(c, now_us, (kf_doc_kind_t)kind);
		fetch_platform(c, now_us, (kf_doc_kind_t)kind, actions);
		fetch_peer(c, now_us, (kf_doc_kind_t)kind, actions);
	}
}
