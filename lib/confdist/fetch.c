#include "internal.h"

enum {
	/*
	 * Probes of a zone without contact: 10 a second.  With 100 a second,
	 * the platform's return 10 s after contact ended brings 5945 reads a
	 * second from 16,000 VMs.
	 */
	SPREAD_MIN_US = 500000,
	SPREAD_PER_VM_US = 100000,
	/* Bounds the reads of a watcher if the platform does not wait. */
	WATCH_INTERVAL_US = 250000,
	CLAIM_BLOCK_US = 10000000,
	SEED_INTERVAL_US = 1000000,
	MESH_MAX = 8,
};

/* The first kind asked for: the list tells the size of the zone. */
static const kf_doc_kind_t probe_kind = KF_DOC_VMS;

static int64_t
max_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t
spread_us(const kf_confdist_t *c)
{
	return max_us(
	    SPREAD_MIN_US, SPREAD_PER_VM_US * (int64_t)c->zone_members);
}

/* Contact takes one more interval for each doubling of the zone. */
static int64_t
confirm_limit_us(const kf_confdist_t *c)
{
	int64_t limit_us = KF_CONFIRM_US;
	size_t size;

	for (size = MESH_MAX; size < c->zone_members; size *= 2)
		limit_us += KF_CONFIRM_STEP_US;
	return limit_us;
}

/* The oldest of the last answers for each kind; -1 if one is missing. */
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
is_confirmed(const kf_confdist_t *c, int64_t now_us)
{
	int64_t contact_us = max_us(c->confirmed_us, c->newer_us);

	contact_us = max_us(contact_us, own_contact_us(c));
	return contact_us >= 0 && now_us - contact_us < confirm_limit_us(c);
}

int32_t
kf_confdist_confirmed_age_ms(const kf_confdist_t *c, int64_t now_us)
{
	int64_t contact_us = max_us(c->confirmed_us, own_contact_us(c));
	int64_t age_ms;

	if (contact_us < 0)
		return KF_CONFIRMED_NEVER_MS;
	age_ms = (now_us - contact_us) / 1000;
	if (age_ms < 0)
		age_ms = 0;
	return age_ms > INT32_MAX ? INT32_MAX : (int32_t)age_ms;
}

void
confdist_answered(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
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
	confdist_answered(c, now_us, kind);
}

static int64_t
jittered(kf_confdist_t *c, int64_t interval_us)
{
	return interval_us / 2 +
	    confdist_random(c, (uint32_t)(interval_us / 2 + 1));
}

/* Watchers, which the others rely on, try more often. */
static void
platform_failed(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	platform_fetch_t *fetch = &c->kinds[kind].platform;
	int64_t least_us = KF_BACKOFF_MIN_US;
	int64_t most_us = KF_BACKOFF_MAX_US;

	if (!c->watcher) {
		least_us = max_us(least_us, spread_us(c) / 2);
		most_us = max_us(most_us, spread_us(c));
	}
	fetch->outstanding = false;
	fetch->backoff_us = max_us(least_us, fetch->backoff_us * 2);
	if (fetch->backoff_us > most_us)
		fetch->backoff_us = most_us;
	fetch->next_us = now_us + jittered(c, fetch->backoff_us);
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
		claim->blocked_us = until_us;
}

static void
peer_failed(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
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
		platform_failed(c, now_us, kind);
	else
		peer_failed(c, now_us, kind, source);
}

/* A peer that did not deliver the version it claims is asked later. */
void
confdist_delivered(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    kf_doc_source_t source, kf_doc_result_t result)
{
	kind_state_t *state = &c->kinds[kind];

	peer_failed(c, now_us, kind, source);
	if (result == KF_DOC_INVALID)
		block_claim(state, source.vm, INT64_MAX);
}

/* The slot of vm, else of the claim that helps least. */
static claim_t *
claim_slot(peer_fetch_t *peer, uint32_t vm)
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
note_claim(kind_state_t *state, uint32_t vm, kf_doc_version_t version)
{
	claim_t *slot = claim_slot(&state->peer, vm);
	int order = kf_doc_version_compare(version, slot->version);

	if (slot->vm == vm && order == 0)
		return;
	if (slot->vm != vm && slot->vm != 0 && order < 0)
		return;
	*slot = (claim_t){ .vm = vm, .version = version };
}

/*
 * Contact of a peer with older documents does not count: its platform
 * replica may lag.  The VM list changes too often to demand that.
 */
static void
note_contact(kf_confdist_t *c, int64_t contact_us, bool newer, bool older)
{
	if (older)
		return;
	if (newer)
		c->newer_us = max_us(c->newer_us, contact_us);
	else
		c->confirmed_us = max_us(c->confirmed_us, contact_us);
}

void
kf_confdist_on_peer_versions(kf_confdist_t *c, int64_t now_us, uint32_t vm,
    const kf_doc_version_t versions[KF_DOC_KINDS], int32_t confirmed_age_ms)
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
			note_claim(state, vm, versions[kind]);
		} else if (order < 0 && kind != KF_DOC_VMS) {
			older = true;
		}
	}
	if (confirmed_age_ms >= 0)
		note_contact(
		    c, now_us - (int64_t)confirmed_age_ms * 1000, newer, older);
}

static bool
is_probe_due(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	const platform_fetch_t *probe = &c->kinds[probe_kind].platform;
	kind_state_t *state = &c->kinds[kind];
	platform_fetch_t *fetch = &state->platform;

	if (state->doc.parsed != NULL && is_confirmed(c, now_us)) {
		fetch->scheduled = false;
		return false;
	}
	/*
	 * The other kinds follow an answered probe.  An old answer does not
	 * count: all VMs that took their documents from peers would read two
	 * kinds at the moment when contact ends.
	 */
	if (kind != probe_kind && state->doc.parsed != NULL)
		return probe->answered_us > fetch->answered_us &&
		    now_us - probe->answered_us < confirm_limit_us(c) &&
		    fetch->backoff_us == 0;
	if (fetch->scheduled)
		return now_us >= fetch->next_us;
	fetch->scheduled = true;
	fetch->next_us = max_us(fetch->next_us,
	    now_us + confdist_random(c, (uint32_t)spread_us(c)));
	return false;
}

/* A VM that becomes a watcher shortens the wait of the others. */
static int64_t
next_fetch_us(const kf_confdist_t *c, const platform_fetch_t *fetch)
{
	int64_t latest_us = fetch->started_us + KF_BACKOFF_MAX_US;

	if (c->watcher && fetch->backoff_us > 0 && latest_us < fetch->next_us)
		return latest_us;
	return fetch->next_us;
}

static bool
has_documents(const kf_confdist_t *c)
{
	size_t kind;

	for (kind = 0; kind < KF_DOC_KINDS; kind++) {
		if (c->kinds[kind].doc.parsed == NULL)
			return false;
	}
	return true;
}

/*
 * A VM whose peers answer within the start window leaves the platform alone
 * until contact ends, and is then spread like the others.  While one document
 * is missing it reads, because a peer may claim a version that it cannot
 * deliver.
 */
static bool
is_first_probe_due(kf_confdist_t *c, int64_t now_us)
{
	return c->watcher || !has_documents(c) ||
	    is_probe_due(c, now_us, probe_kind);
}

static bool
is_platform_due(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	const platform_fetch_t *probe = &c->kinds[probe_kind].platform;
	const platform_fetch_t *fetch = &c->kinds[kind].platform;

	if (fetch->outstanding || now_us < next_fetch_us(c, fetch))
		return false;
	/* Until the first probe ends, the size of the zone is not known. */
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
	actions->fetch_platform(actions->ctx, kind, kind_after_version(state),
	    wait ? KF_WATCH_WAIT_MS : 0);
}

static claim_t *
best_claim(kind_state_t *state, int64_t now_us)
{
	claim_t *best = NULL;
	size_t i;

	for (i = 0; i < CLAIMS_MAX; i++) {
		claim_t *claim = &state->peer.claims[i];

		if (claim->vm == 0 || now_us < claim->blocked_us ||
		    kind_refuses(state, claim->version.platform_version) ||
		    kf_doc_version_compare(
			claim->version, state->doc.version) <= 0)
			continue;
		if (best == NULL ||
		    kf_doc_version_compare(claim->version, best->version) > 0)
			best = claim;
	}
	return best;
}

/* Chooses whom to ask; false if there is no one. */
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
expire(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind)
{
	const kind_state_t *state = &c->kinds[kind];

	if (state->platform.outstanding &&
	    now_us - state->platform.started_us >= KF_PLATFORM_TIMEOUT_US)
		platform_failed(c, now_us, kind);
	if (state->peer.outstanding &&
	    now_us - state->peer.started_us >= KF_PEER_TIMEOUT_US)
		peer_failed(c, now_us, kind, state->peer.source);
}

/* Seeds answer at once; with them the platform's load can be spread. */
static void
start(kf_confdist_t *c, int64_t now_us)
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
		start(c, now_us);
	for (kind = 0; kind < KF_DOC_KINDS; kind++) {
		expire(c, now_us, (kf_doc_kind_t)kind);
		fetch_platform(c, now_us, (kf_doc_kind_t)kind, actions);
		fetch_peer(c, now_us, (kf_doc_kind_t)kind, actions);
	}
}
