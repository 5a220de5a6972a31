#include <stdlib.h>

#include "ejection.h"
#include "kf/upstream.h"
#include "path.h"

enum {
	EWMA_WEIGHT = 8, /* a sample weighs 1/8 */
	PAUSE_US = 1000000,
};

static const double slow_start_floor = 0.1;
static const double weight_floor = 0.01;

static const char *const use_names[KF_UPSTREAM_USE_COUNT] = {
	[KF_UPSTREAM_USABLE] = "usable",
	[KF_UPSTREAM_PROBE_ONLY] = "probe_only",
	[KF_UPSTREAM_EJECTED] = "ejected",
	[KF_UPSTREAM_DRAINING] = "draining",
};

struct kf_upstream_state {
	kf_upstream_config_t config;
	kf_ejection_t ejection;
	int64_t ticked_us;
	int64_t pause_end_us;
	int64_t started_us; /* of slow start */
	int64_t latency_us;
	int64_t activity_us; /* last answer or probe */
	int64_t answered_us; /* last answer to a request or probe */
	bool draining;
	bool incarnation_unknown;
	kf_load_report_t report;

	bool probe_pending;
	int probe_path;
	int64_t probe_sent_us;
	int64_t fresh_answered_us;

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
kf_upstream_use_name(kf_upstream_use_t use)
{
	if ((unsigned)use >= KF_UPSTREAM_USE_COUNT)
		return "unknown";
	return use_names[use];
}

static kf_status_t
config_check(const kf_upstream_config_t *config, uint32_t path_count)
{
	if (path_count == 0 || path_count > KF_UPSTREAM_MAX_PATHS)
		return kf_status_set(
		    KF_ERR_INVALID, "%u paths is out of range", path_count);
	if (config->window_requests == 0 || config->window_requests > 32)
		return kf_status_set(
		    KF_ERR_INVALID, "window_requests is out of range");
	if (config->silent_requests == 0 ||
	    config->silent_requests > KF_PATH_MAX_UNANSWERED)
		return kf_status_set(
		    KF_ERR_INVALID, "silent_requests is out of range");
	if (config->eject_failures == 0 || config->slow_factor == 0 ||
	    config->slow_start_us <= 0)
		return kf_status_set(KF_ERR_INVALID, "a setting is 0");
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
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for an upstream");
		return NULL;
	}
	state->config = *config;
	kf_ejection_init(&state->ejection, config, now_us);
	state->ticked_us = now_us;
	state->pause_end_us = INT64_MIN;
	state->started_us = now_us;
	/* The first probe is due at once: it learns the incarnation. */
	state->activity_us = now_us - config->probe_idle_us;
	state->fresh_answered_us = INT64_MIN;
	state->answered_us = INT64_MIN;
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

/* The path's state, or NULL for the fresh path and numbers out of range. */
static kf_path_t *
state_path(kf_upstream_state_t *state, int path)
{
	if (path < 0 || (uint32_t)path >= state->path_count)
		return NULL;
	return &state->paths[path];
}

static void
path_answered(kf_upstream_state_t *state, int number, int64_t now_us)
{
	kf_path_t *path = state_path(state, number);

	state->answered_us = now_us;
	if (path != NULL)
		kf_path_on_answer(path, now_us);
	else if (number == KF_UPSTREAM_FRESH_PATH)
		state->fresh_answered_us = now_us;
}

static void
path_sent(kf_upstream_state_t *state, int number, int64_t now_us)
{
	kf_path_t *path = state_path(state, number);

	if (path != NULL)
		kf_path_on_sent(path, now_us);
}

/* A different process answers at the address now. */
static void
start_over(kf_upstream_state_t *state, int64_t now_us)
{
	state->started_us = now_us;
	state->latency_us = 0;
	kf_ejection_forget(&state->ejection);
}

/* A probe sent before the ejection is not the half-open probe. */
static void
decide(kf_upstream_state_t *state, int64_t now_us, bool may_eject)
{
	if (kf_ejection_decide(
		&state->ejection, &state->config, now_us, may_eject))
		state->probe_pending = false;
}

void
kf_upstream_state_on_sent(kf_upstream_state_t *state, int path, int64_t now_us)
{
	path_sent(state, path, now_us);
}

void
kf_upstream_state_on_answer(
    kf_upstream_state_t *state, int path, int64_t now_us, int64_t latency_us)
{
	path_answered(state, path, now_us);
	state->activity_us = now_us;
	if (state->latency_us == 0)
		state->latency_us = latency_us > 0 ? latency_us : 1;
	else
		state->latency_us +=
		    (latency_us - state->latency_us) / EWMA_WEIGHT;
	/* A late answer does not end an ejection; the probe does. */
	if (!state->ejection.ejected)
		kf_ejection_on_success(&state->ejection, &state->config);
}

static void
on_wrong_incarnation(kf_upstream_state_t *state, int path, int64_t now_us)
{
	path_answered(state, path, now_us);
	state->incarnation_unknown = true;
	/* Probe at once to learn the new one. */
	state->activity_us = now_us - state->config.probe_idle_us;
}

/* Another path, or the fresh one, has answered at since_us or later. */
static bool
answered_elsewhere(
    const kf_upstream_state_t *state, uint32_t path, int64_t since_us)
{
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (i != path && state->paths[i].answered_us >= since_us)
			return true;
	}
	return state->fresh_answered_us >= since_us;
}

/*
 * The probe on the path itself must be overdue too: an upstream that answers
 * probes but no requests is to be ejected, and its paths are not at fault.
 */
static bool
path_silent(const kf_upstream_state_t *state, uint32_t i, int64_t now_us)
{
	const kf_path_t *path = &state->paths[i];
	uint32_t overdue =
	    kf_path_overdue(path, now_us, state->config.silent_us);

	return overdue >= state->config.silent_requests &&
	    path->probed_us >= path->unanswered_us[0] &&
	    now_us - path->probed_us >= state->config.suspect_us &&
	    answered_elsewhere(state, i, path->unanswered_us[0]);
}

/*
 * Whether a timeout says something about the upstream as it is now, and not
 * about a pause of this process, a silent path or a time before an ejection.
 */
static bool
timeout_counts(
    const kf_upstream_state_t *state, int path, int64_t now_us, int64_t sent_us)
{
	if (now_us - state->ticked_us > PAUSE_US ||
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
	decide(state, now_us, may_eject);
}

/*
 * Reports can arrive late, from a process that is gone: a lower incarnation
 * is believed only after the upstream refused the known one.
 */
void
kf_upstream_state_on_report(
    kf_upstream_state_t *state, const kf_load_report_t *report, int64_t now_us)
{
	uint64_t known = state->report.incarnation;

	if (report->incarnation < known && !state->incarnation_unknown)
		return;
	if (known != 0 && report->incarnation != known)
		start_over(state, now_us);
	state->incarnation_unknown = false;
	state->report = *report;
}

static bool
path_suspect(const kf_upstream_state_t *state, uint32_t i, int64_t now_us)
{
	return kf_path_overdue(
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

/* The path whose last probe is the oldest, among the suspect or all paths. */
static int
oldest_probed(const kf_upstream_state_t *state, int64_t now_us, bool suspect)
{
	int oldest = KF_UPSTREAM_NO_PATH;
	uint32_t i;

	for (i = 0; i < state->path_count; i++) {
		if (suspect && !path_suspect(state, i, now_us))
			continue;
		if (oldest == KF_UPSTREAM_NO_PATH ||
		    state->paths[i].probed_us < state->paths[oldest].probed_us)
			oldest = (int)i;
	}
	return oldest;
}

/*
 * A suspect path is probed; when all are suspect, every other probe takes the
 * fresh path, which tells silent paths from a silent upstream.  The half-open
 * probe takes it too, as old paths may have gone silent.
 */
static int
probe_path(const kf_upstream_state_t *state, int64_t now_us)
{
	bool alone = state->ejection.ejected || !any_path_works(state, now_us);
	int suspect = oldest_probed(state, now_us, true);

	if (alone && state->probe_path != KF_UPSTREAM_FRESH_PATH)
		return KF_UPSTREAM_FRESH_PATH;
	if (suspect != KF_UPSTREAM_NO_PATH)
		return suspect;
	return oldest_probed(state, now_us, false);
}

static int64_t
probe_due_us(const kf_upstream_state_t *state, int64_t now_us)
{
	int64_t idle_us = state->activity_us + state->config.probe_idle_us;
	int64_t suspect_us = state->probe_sent_us + state->config.suspect_us;

	if (state->probe_pending)
		return INT64_MAX;
	if (state->ejection.ejected)
		return state->ejection.until_us;
	if (suspect_us < idle_us &&
	    oldest_probed(state, now_us, true) != KF_UPSTREAM_NO_PATH)
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
	kf_path_t *known = state_path(state, path);

	path_sent(state, path, now_us);
	if (known != NULL)
		known->probed_us = now_us;
	state->probe_pending = true;
	state->probe_path = path;
	state->probe_sent_us = now_us;
	state->activity_us = now_us;
}

static void
on_half_open_result(kf_upstream_state_t *state, int64_t now_us, bool answered)
{
	if (!answered) {
		kf_ejection_extend(&state->ejection, &state->config, now_us);
		return;
	}
	kf_ejection_readmit(&state->ejection, now_us);
	state->started_us = now_us;
}

/*
 * An unanswered probe counts unless something was answered since it was
 * sent, on any path.
 */
void
kf_upstream_state_on_probe_result(kf_upstream_state_t *state, int path,
    int64_t now_us, bool answered, bool may_eject)
{
	if (answered)
		path_answered(state, path, now_us);
	/* A late result of a probe that was given up says only that. */
	if (!state->probe_pending || path != state->probe_path)
		return;
	state->probe_pending = false;
	if (state->ejection.ejected) {
		on_half_open_result(state, now_us, answered);
		return;
	}
	kf_ejection_on_probe(&state->ejection,
	    answered || state->answered_us >= state->probe_sent_us);
	decide(state, now_us, may_eject);
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
	if (now_us - state->ticked_us > PAUSE_US)
		on_pause(state, now_us);
	state->ticked_us = now_us;
	if (state->probe_pending &&
	    now_us - state->probe_sent_us >= state->config.probe_timeout_us)
		kf_upstream_state_on_probe_result(
		    state, state->probe_path, now_us, false, may_eject);
	decide(state, now_us, may_eject);
}

void
kf_upstream_state_set_warm(kf_upstream_state_t *state, int64_t now_us)
{
	state->started_us = now_us - state->config.slow_start_us;
}

void
kf_upstream_state_set_draining(kf_upstream_state_t *state, bool draining)
{
	state->draining = draining;
}

kf_upstream_use_t
kf_upstream_state_usable(const kf_upstream_state_t *state, int64_t now_us)
{
	if (state->draining || (state->report.flags & KF_LOAD_DRAINING) != 0)
		return KF_UPSTREAM_DRAINING;
	if (!state->ejection.ejected)
		return KF_UPSTREAM_USABLE;
	return now_us < state->ejection.until_us ? KF_UPSTREAM_EJECTED
						 : KF_UPSTREAM_PROBE_ONLY;
}

bool
kf_upstream_state_last_resort(const kf_upstream_state_t *state)
{
	return state->ejection.last_resort;
}

double
kf_upstream_state_slow_start(const kf_upstream_state_t *state, int64_t now_us)
{
	double done = (double)(now_us - state->started_us) /
	    (double)state->config.slow_start_us;

	if (done >= 1)
		return 1;
	return slow_start_floor + (1 - slow_start_floor) * done;
}

double
kf_upstream_state_weight(
    const kf_upstream_state_t *state, int64_t now_us, int64_t median_us)
{
	double weight = kf_upstream_state_slow_start(state, now_us);
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
	kf_path_t *known = state_path(state, path);

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
	if (kf_upstream_state_usable(state, now_us) == KF_UPSTREAM_DRAINING)
		flags |= KF_UPSTREAM_DIGEST_DRAINING;
	if (kf_upstream_state_slow_start(state, now_us) < 1)
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
