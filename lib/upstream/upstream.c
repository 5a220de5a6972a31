#include <stdlib.h>

#include "ejection.h"
#include "kf/upstream.h"
#include "path.h"

enum {
	EWMA_WEIGHT = 8, /* weight of a sample: 1/8 */
	PAUSE_US = 1000000,
};

static const double slow_start_floor = 0.1;
static const double weight_floor = 0.01;

static const char *const availability_names[KF_UPSTREAM_AVAILABILITY_COUNT] = {
	[KF_UPSTREAM_USABLE] = "usable",
	[KF_UPSTREAM_PROBE_ONLY] = "probe_only",
	[KF_UPSTREAM_EJECTED] = "ejected",
	[KF_UPSTREAM_DRAINING] = "draining",
};

struct kf_upstream_state {
	kf_upstream_config_t config;
	kf_ejection_t ejection;
	int64_t last_tick_us;
	int64_t pause_end_us;
	int64_t slow_start_from_us; /* when slow start began */
	int64_t latency_us;
	int64_t last_activity_us; /* last answer or probe */
	int64_t last_answer_us;	  /* last answer to a request or probe */
	bool draining;
	bool incarnation_unknown;
	kf_load_report_t report;

	bool probe_pending;
	int probe_path;
	int64_t probe_sent_us;
	int64_t fresh_path_answer_us;

	uint32_t path_count;
	uint32_t next_path;
	kf_path_t paths[KF_UPSTREAM_MAX_PATHS];
};

void
kf_upstream_config_init(kf_upstream_config_t *config)
{
	*config = (kf_upstream_config_t){
		.eject_failures = 5,
		.window_requests = 20,
		.window_failure_percent = 50,
		.eject_min_us = 1000000,
		.eject_max_us = 30000000,
		.good_period_us = 60000000,
		.slow_start_us = 30000000,
		.probe_idle_us = 1000000,
		.probe_timeout_us = 500000,
		.silent_requests = 3,
		.suspect_us = 250000,
		.silent_us = 1000000,
		.slow_factor = 3,
	};
}

const char *
kf_upstream_availability_name(kf_upstream_availability_t availability)
{
	if ((unsigned)availability >= KF_UPSTREAM_AVAILABILITY_COUNT)
		return "unknown";
	return availability_names[availability];
}

static kf_status_t
config_check(const kf_upstream_config_t *config, uint32_t path_count)
{
	if (path_count == 0 || path_count > KF_UPSTREAM_MAX_PATHS)
		return kf_status_set(KF_ERR_INVALID,
		    "path_count is %u, expected 1 to 16", path_count);
	if (config->window_requests == 0 || config->window_requests > 32)
		return kf_status_set(
		    KF_ERR_INVALID, "window_requests must be between 1 and 32");
	if (config->silent_requests == 0 ||
	    config->silent_requests > KF_PATH_MAX_UNANSWERED)
		return kf_status_set(
		    KF_ERR_INVALID, "silent_requests must be between 1 and 8");
	if (config->eject_failures == 0 || config->slow_factor == 0 ||
	    config->slow_start_us <= 0)
		return kf_status_set(KF_ERR_INVALID,
		    "eject_failures, slow_factor and slow_start_us must be "
		    "greater than 0");
	return KF_OK;
}

kf_upstream_state_t *
kf_upstream_state_new(
    const kf_upstream_config_t *config, int64_t now_us, uint32_t path_count)
{
	kf_upstream_config_t defaults;
	kf_upstream_state_t *state;
	uint32_t i;

	kf_upstream_config_init(&defaults);
	if (config == NULL)
		config = &defaults;
	if (config_check(config, path_count) != KF_OK)
		return NULL;
	state = calloc(1, sizeof(*state));
	if (state == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY,
		    "out of memory for the state of an upstream");
		return NULL;
	}
	state->config = *config;
	kf_ejection_init(&state->ejection, config, now_us);
	state->last_tick_us = now_us;
	state->pause_end_us = INT64_MIN;
	state->slow_start_from_us = now_us;
	/* The first probe is due at once, to learn the incarnation. */
	state->last_activity_us = now_us - config->probe_idle_us;
	state->fresh_path_answer_us = INT64_MIN;
	state->last_answer_us = INT64_MIN;
	state->path_count = path_count;
	for (i = 0; i < path_count; i++)
		kf_path_init(&state->paths[i], now_us);
	return state;
}

void
kf_upstream_state_delete(kf_upstream_state_t *state)
{
	free(state);
}

/* Returns NULL for the fresh path and for numbers out of range. */
static kf_path_t *
find_path(kf_upstream_state_t *state, int path)
{
	if (path < 0 || (uint32_t)path >= state->path_count)
		return NULL;
	return &state->paths[path];
}

static void
record_path_answer(kf_upstream_state_t *state, int number, int64_t now_us)
{
	kf_path_t *path = find_path(state, number);

	state->last_answer_us = now_us;
	if (path != NULL)
		kf_path_on_answer(path, now_us);
	else if (number == KF_UPSTREAM_FRESH_PATH)
		state->fresh_path_answer_us = now_us;
}

static void
record_path_send(kf_upstream_state_t *state, int number, int64_t now_us)
{
	kf_path_t *path = find_path(state, number);

	if (path != NULL)
		kf_path_on_sent(path, now_us);
}

/* Clears what was learned from the earlier process at the address. */
static void
reset_for_new_incarnation(kf_upstream_state_t *state, int64_t now_us)
{
	state->slow_start_from_us = now_us;
	state->latency_us = 0;
	kf_ejection_clear_outcomes(&state->ejection);
}

/*
 * Forgets a pending probe when the upstream is ejected, because a probe sent
 * before the ejection is not the half-open probe.
 */
static void
update_ejection(kf_upstream_state_t *state, int64_t now_us, bool may_eject)
{
	if (kf_ejection_update(
		&state->ejection, &state->config, now_us, may_eject))
		state->probe_pending = false;
}

void
kf_upstream_state_on_sent(kf_upstream_state_t *state, int path, int64_t now_us)
{
	record_path_send(state, path, now_us);
}

void
kf_upstream_state_on_answer(
    kf_upstream_state_t *state, int path, int64_t now_us, int64_t latency_us)
{
	record_path_answer(state, path, now_us);
	state->last_activity_us = now_us;
	if (state->latency_us == 0)
		state->latency_us = latency_us > 0 ? latency_us : 1;
	else
		state->latency_us +=
		    (latency_us - state->latency_us) / EWMA_WEIGHT;
	/* A late answer does not end an ejection; only a probe does. */
	if (!state->ejection.ejected)
		kf_ejection_on_success(&state->ejection, &state->config);
}

static void
on_wrong_incarnation(kf_upstream_state_t *state, int path, int64_t now_us)
{
	record_path_answer(state, path, now_us);
	state->incarnation_unknown = true;
	/* The next probe is due at once, to learn the new incarnation. */
	state->last_activity_us = now_us - state->config.probe_idle_us;
}

/*
 * Returns true if another path, or the fresh path, got an answer since
 * since_us.
 */
static bool
answered_elsewhere(
    const kf_upstream_state_t *state, uint32_t path, int64_t since_us)
{
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (i != path && state->paths[i].last_answer_us >= since_us)
			return true;
	}
	return state->fresh_path_answer_us >= since_us;
}

/*
 * Returns true if the path is silent.  A probe on the path must be unanswered
 * as well.  If probes are answered and requests are not, the fault is in the
 * upstream, which is to be ejected.
 */
static bool
path_silent(const kf_upstream_state_t *state, uint32_t i, int64_t now_us)
{
	const kf_path_t *path = &state->paths[i];
	uint32_t overdue =
	    kf_path_count_overdue(path, now_us, state->config.silent_us);

	return overdue >= state->config.silent_requests &&
	    path->last_probe_us >= path->unanswered_sent_us[0] &&
	    now_us - path->last_probe_us >= state->config.suspect_us &&
	    answered_elsewhere(state, i, path->unanswered_sent_us[0]);
}

/*
 * Returns true if a timeout counts as a failure of the upstream.  It does not
 * if this process was paused, the path is silent or was replaced, or the
 * request was sent before the latest readmission.
 */
static bool
timeout_counts(
    const kf_upstream_state_t *state, int path, int64_t now_us, int64_t sent_us)
{
	if (now_us - state->last_tick_us > PAUSE_US ||
	    sent_us < state->pause_end_us ||
	    sent_us < state->ejection.readmitted_us)
		return false;
	if (path < 0 || (uint32_t)path >= state->path_count)
		return true;
	return sent_us >= state->paths[path].opened_us &&
	    !path_silent(state, (uint32_t)path, now_us);
}

void
kf_upstream_state_on_failure(kf_upstream_state_t *state, int path,
    int64_t now_us, int64_t sent_us, kf_upstream_failure_t kind, bool may_eject)
{
	if (kind == KF_UPSTREAM_WRONG_INCARNATION) {
		on_wrong_incarnation(state, path, now_us);
		return;
	}
	if (state->ejection.ejected)
		return;
	if (kind == KF_UPSTREAM_TIMEOUT &&
	    !timeout_counts(state, path, now_us, sent_us))
		return;
	kf_ejection_on_failure(&state->ejection, &state->config);
	update_ejection(state, now_us, may_eject);
}

/*
 * A report can arrive late, from a process that has ended.  One with a lower
 * incarnation is accepted only after the upstream refused the known one.
 */
void
kf_upstream_state_on_report(
    kf_upstream_state_t *state, const kf_load_report_t *report, int64_t now_us)
{
	uint64_t known = state->report.incarnation;

	if (report->incarnation < known && !state->incarnation_unknown)
		return;
	if (known != 0 && report->incarnation != known)
		reset_for_new_incarnation(state, now_us);
	state->incarnation_unknown = false;
	state->report = *report;
}

static bool
path_suspect(const kf_upstream_state_t *state, uint32_t i, int64_t now_us)
{
	return kf_path_count_overdue(
		   &state->paths[i], now_us, state->config.suspect_us) > 0;
}

static bool
any_path_works(const kf_upstream_state_t *state, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (!path_suspect(state, i, now_us))
			return true;
	}
	return false;
}

/* Returns the path probed least recently, of the suspect or of all paths. */
static int
least_recently_probed(
    const kf_upstream_state_t *state, int64_t now_us, bool suspect)
{
	int least_recent = KF_UPSTREAM_NO_PATH;
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (suspect && !path_suspect(state, i, now_us))
			continue;
		if (least_recent == KF_UPSTREAM_NO_PATH ||
		    state->paths[i].last_probe_us <
			state->paths[least_recent].last_probe_us)
			least_recent = (int)i;
	}
	return least_recent;
}

/*
 * Suspect paths are probed first.  If all paths are suspect, every other probe
 * is sent on the fresh path, to distinguish silent paths from an upstream that
 * does not answer.  The same holds for half-open probes, because the paths may
 * have become silent during the ejection.
 */
static int
probe_path(const kf_upstream_state_t *state, int64_t now_us)
{
	bool needs_fresh_path =
	    state->ejection.ejected || !any_path_works(state, now_us);
	int suspect = least_recently_probed(state, now_us, true);

	if (needs_fresh_path && state->probe_path != KF_UPSTREAM_FRESH_PATH)
		return KF_UPSTREAM_FRESH_PATH;
	if (suspect != KF_UPSTREAM_NO_PATH)
		return suspect;
	return least_recently_probed(state, now_us, false);
}

static int64_t
probe_due_us(const kf_upstream_state_t *state, int64_t now_us)
{
	int64_t idle_us = state->last_activity_us + state->config.probe_idle_us;
	int64_t suspect_us = state->probe_sent_us + state->config.suspect_us;

	if (state->probe_pending)
		return INT64_MAX;
	if (state->ejection.ejected)
		return state->ejection.ejection_ends_us;
	if (suspect_us < idle_us &&
	    least_recently_probed(state, now_us, true) != KF_UPSTREAM_NO_PATH)
		return suspect_us;
	return idle_us;
}

bool
kf_upstream_state_next_probe(const kf_upstream_state_t *state, int64_t now_us,
    int *path, int64_t *due_us)
{
	*due_us = probe_due_us(state, now_us);
	if (now_us < *due_us)
		return false;
	*path = probe_path(state, now_us);
	return true;
}

void
kf_upstream_state_on_probe_sent(
    kf_upstream_state_t *state, int path, int64_t now_us)
{
	kf_path_t *known = find_path(state, path);

	record_path_send(state, path, now_us);
	if (known != NULL)
		known->last_probe_us = now_us;
	state->probe_pending = true;
	state->probe_path = path;
	state->probe_sent_us = now_us;
	state->last_activity_us = now_us;
}

static void
on_half_open_result(kf_upstream_state_t *state, int64_t now_us, bool answered)
{
	if (!answered) {
		kf_ejection_start_period(
		    &state->ejection, &state->config, now_us);
		return;
	}
	kf_ejection_readmit(&state->ejection, now_us);
	state->slow_start_from_us = now_us;
}

/*
 * A probe without an answer counts as a failure unless an answer to a request
 * or probe has arrived on any path since it was sent.
 */
void
kf_upstream_state_on_probe_result(kf_upstream_state_t *state, int path,
    int64_t now_us, bool answered, bool may_eject)
{
	if (answered)
		record_path_answer(state, path, now_us);
	/* The late result of an earlier probe says only that the path works. */
	if (!state->probe_pending || path != state->probe_path)
		return;
	state->probe_pending = false;
	if (state->ejection.ejected) {
		on_half_open_result(state, now_us, answered);
		return;
	}
	kf_ejection_on_probe(&state->ejection,
	    answered || state->last_answer_us >= state->probe_sent_us);
	update_ejection(state, now_us, may_eject);
}

static void
on_pause(kf_upstream_state_t *state, int64_t now_us)
{
	uint32_t i;

	state->pause_end_us = now_us;
	state->probe_sent_us = now_us;
	for (i = 0; i < state->path_count; i++)
		kf_path_on_pause(&state->paths[i], now_us);
}

void
kf_upstream_state_tick(
    kf_upstream_state_t *state, int64_t now_us, bool may_eject)
{
	if (now_us - state->last_tick_us > PAUSE_US)
		on_pause(state, now_us);
	state->last_tick_us = now_us;
	if (state->probe_pending &&
	    now_us - state->probe_sent_us >= state->config.probe_timeout_us)
		kf_upstream_state_on_probe_result(
		    state, state->probe_path, now_us, false, may_eject);
	update_ejection(state, now_us, may_eject);
}

void
kf_upstream_state_end_slow_start(kf_upstream_state_t *state, int64_t now_us)
{
	state->slow_start_from_us = now_us - state->config.slow_start_us;
}

void
kf_upstream_state_set_draining(kf_upstream_state_t *state, bool draining)
{
	state->draining = draining;
}

kf_upstream_availability_t
kf_upstream_state_availability(const kf_upstream_state_t *state, int64_t now_us)
{
	if (state->draining || (state->report.flags & KF_LOAD_DRAINING) != 0)
		return KF_UPSTREAM_DRAINING;
	if (!state->ejection.ejected)
		return KF_UPSTREAM_USABLE;
	return now_us < state->ejection.ejection_ends_us
	    ? KF_UPSTREAM_EJECTED
	    : KF_UPSTREAM_PROBE_ONLY;
}

bool
kf_upstream_state_is_last_resort(const kf_upstream_state_t *state)
{
	return state->ejection.last_resort;
}

double
kf_upstream_state_slow_start_factor(
    const kf_upstream_state_t *state, int64_t now_us)
{
	double done = (double)(now_us - state->slow_start_from_us) /
	    (double)state->config.slow_start_us;

	if (done >= 1)
		return 1;
	return slow_start_floor + (1 - slow_start_floor) * done;
}

double
kf_upstream_state_weight(
    const kf_upstream_state_t *state, int64_t now_us, int64_t median_us)
{
	double weight = kf_upstream_state_slow_start_factor(state, now_us);
	double allowed_us = (double)median_us * state->config.slow_factor;

	if (state->ejection.last_resort)
		return weight_floor;
	if (median_us > 0 && (double)state->latency_us > allowed_us)
		weight *= allowed_us / (double)state->latency_us;
	return weight < weight_floor ? weight_floor : weight;
}

int64_t
kf_upstream_state_latency_us(const kf_upstream_state_t *state)
{
	return state->latency_us;
}

static uint32_t
path_after(const kf_upstream_state_t *state, uint32_t path)
{
	return path + 1 < state->path_count ? path + 1 : 0;
}

int
kf_upstream_state_pick_path(kf_upstream_state_t *state, int64_t now_us)
{
	uint32_t path = state->next_path;
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (!path_suspect(state, path, now_us))
			break;
		path = path_after(state, path);
	}
	state->next_path = path_after(state, path);
	return (int)path;
}

int
kf_upstream_state_silent_path(const kf_upstream_state_t *state, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (path_silent(state, i, now_us))
			return (int)i;
	}
	return KF_UPSTREAM_NO_PATH;
}

void
kf_upstream_state_on_path_replaced(
    kf_upstream_state_t *state, int path, int64_t now_us)
{
	kf_path_t *known = find_path(state, path);

	if (known != NULL)
		kf_path_init(known, now_us);
}

uint64_t
kf_upstream_state_incarnation(const kf_upstream_state_t *state)
{
	return state->incarnation_unknown ? 0 : state->report.incarnation;
}

static uint32_t
digest_flags(const kf_upstream_state_t *state, int64_t now_us)
{
	uint32_t flags = state->report.flags & KF_UPSTREAM_DIGEST_REPORT;

	if (state->ejection.ejected)
		flags |= KF_UPSTREAM_DIGEST_EJECTED;
	if (kf_upstream_state_availability(state, now_us) ==
	    KF_UPSTREAM_DRAINING)
		flags |= KF_UPSTREAM_DIGEST_DRAINING;
	if (kf_upstream_state_slow_start_factor(state, now_us) < 1)
		flags |= KF_UPSTREAM_DIGEST_SLOW_START;
	if (state->ejection.last_resort)
		flags |= KF_UPSTREAM_DIGEST_LAST_RESORT;
	return flags;
}

void
kf_upstream_state_digest(const kf_upstream_state_t *state, int64_t now_us,
    kf_upstream_digest_t *digest)
{
	digest->incarnation = kf_upstream_state_incarnation(state);
	digest->load = state->report.in_flight + state->report.queued;
	digest->flags = digest_flags(state, now_us);
}
