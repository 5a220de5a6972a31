#ifndef KF_UPSTREAM_H
#define KF_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/call_info.h"
#include "kf/status.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_upstream_state - health and load of one upstream at its owner VM
 *
 * DESCRIPTION
 *	Health is determined by the requests of the owner VM: their answers
 *	and failures take precedence over load reports and answered probes.
 *	Of a load report only the draining flag changes whether the upstream
 *	is used, because it states an intent of the upstream.
 *
 *	EJECTION.  After eject_failures consecutive failures, or a failure
 *	rate above window_failure_percent, the upstream is ejected for a time
 *	that doubles with each ejection.  Then it is half-open: one probe is
 *	sent, and its result readmits the upstream or ejects it again.  A
 *	readmitted upstream is on trial until it answers a request: one
 *	failure ejects it again.  An upstream is ejected only if may_eject is
 *	true, which the caller derives from the other upstreams of the
 *	service.  Otherwise it stays usable as a last resort, with the lowest
 *	weight, until it answers a request and its failures no longer require
 *	an ejection, or until it may be ejected.
 *
 *	PATHS.  Requests are sent on path_count paths, which differ in their
 *	source port.  A path is suspect, and is probed, when a packet on it
 *	has been unanswered for suspect_us.  A path is silent, and must be
 *	replaced, when all of these hold:
 *	- silent_requests or more packets on it, requests or probes, have been
 *	  unanswered for silent_us;
 *	- a probe sent after the first of them has been unanswered for
 *	  suspect_us;
 *	- another path, or the fresh path, has received an answer since the
 *	  first of them was sent.
 *	The fresh path is a source port not used before, opened for one probe.
 *	A slow request alone does not make a path silent, because the probe on
 *	the same path is answered.  Timeouts of requests do not count as
 *	failures if their path is silent or has been replaced since they were
 *	sent.
 *
 *	PAUSES.  If more than a second passes between two ticks, this process
 *	was paused.  Timeouts of requests sent before the end of the pause do
 *	not count as failures, because the replies may still be in the socket
 *	buffers.
 *
 *	Any reply to a probe counts as an answer, so that a server without the
 *	control program can be probed.  All times are monotonic.
 */

enum {
	KF_UPSTREAM_MAX_PATHS = 16,
	KF_UPSTREAM_FRESH_PATH = KF_UPSTREAM_MAX_PATHS,
	KF_UPSTREAM_NO_PATH = -1,
};

typedef enum kf_upstream_availability {
	KF_UPSTREAM_USABLE = 0,
	KF_UPSTREAM_PROBE_ONLY, /* half-open: one probe, no requests */
	KF_UPSTREAM_EJECTED,
	KF_UPSTREAM_DRAINING, /* no new requests */
	KF_UPSTREAM_AVAILABILITY_COUNT
} kf_upstream_availability_t;

typedef enum kf_upstream_failure {
	KF_UPSTREAM_TIMEOUT = 0,
	KF_UPSTREAM_UNREACHABLE,
	KF_UPSTREAM_WRONG_INCARNATION, /* upstream restarted; no failure */
} kf_upstream_failure_t;

/* Flags of a digest.  The low bits are the flags of kf_load_report_t. */
enum {
	KF_UPSTREAM_DIGEST_REPORT = 0xff,
	KF_UPSTREAM_DIGEST_EJECTED = 0x100, /* or half-open */
	KF_UPSTREAM_DIGEST_DRAINING = 0x200,
	KF_UPSTREAM_DIGEST_SLOW_START = 0x400,
	KF_UPSTREAM_DIGEST_LAST_RESORT = 0x800,
};

typedef struct kf_upstream_config {
	uint32_t eject_failures;	 /* in a row */
	uint32_t window_requests;	 /* at most 32 */
	uint32_t window_failure_percent; /* ejected if above */
	int64_t eject_min_us;
	int64_t eject_max_us;
	/* Time since the readmission that resets the time to eject_min_us. */
	int64_t good_period_us;
	int64_t slow_start_us;
	int64_t probe_idle_us;
	int64_t probe_timeout_us;
	uint32_t silent_requests; /* at most 8 */
	int64_t suspect_us;
	int64_t silent_us;
	/* Latencies above this multiple of the median lower the weight. */
	uint32_t slow_factor;
} kf_upstream_config_t;

typedef struct kf_upstream_digest {
	uint64_t incarnation;
	uint32_t load; /* in flight plus queued in the latest report */
	uint32_t flags;
} kf_upstream_digest_t;

typedef struct kf_upstream_state kf_upstream_state_t;

void kf_upstream_config_init(kf_upstream_config_t *config);

/*
 * If config is NULL the defaults are used.  Slow start begins at now_us.
 * Returns NULL with a status message if an argument is invalid.
 */
kf_upstream_state_t *kf_upstream_state_new(
    const kf_upstream_config_t *config, int64_t now_us, uint32_t path_count);
void kf_upstream_state_delete(kf_upstream_state_t *state);

/* Requests. */
void kf_upstream_state_on_sent(
    kf_upstream_state_t *state, int path, int64_t now_us);
void kf_upstream_state_on_answer(
    kf_upstream_state_t *state, int path, int64_t now_us, int64_t latency_us);
/* sent_us, when the request was sent, is used for timeouts only. */
void kf_upstream_state_on_failure(kf_upstream_state_t *state, int path,
    int64_t now_us, int64_t sent_us, kf_upstream_failure_t kind,
    bool may_eject);

/* Reports come in the verifier of a reply or in the reply to a STATUS probe. */
void kf_upstream_state_on_report(
    kf_upstream_state_t *state, const kf_load_report_t *report, int64_t now_us);

/*
 * Probes.  kf_upstream_state_next_probe returns true and sets path if a probe
 * is due.  It always sets due_us, to INT64_MAX while a probe is pending.  A
 * probe without a result fails at the first tick after probe_timeout_us.
 */
bool kf_upstream_state_next_probe(const kf_upstream_state_t *state,
    int64_t now_us, int *path, int64_t *due_us);
void kf_upstream_state_on_probe_sent(
    kf_upstream_state_t *state, int path, int64_t now_us);
void kf_upstream_state_on_probe_result(kf_upstream_state_t *state, int path,
    int64_t now_us, bool answered, bool may_eject);

/*
 * Counts a probe that has timed out as failed, and ejects the upstream if its
 * failures require it.  Call it at least every 500 ms.
 */
void kf_upstream_state_tick(
    kf_upstream_state_t *state, int64_t now_us, bool may_eject);

/*
 * Ends slow start.  Called if the digest of an earlier owner shows that the
 * upstream has served for a while.
 */
void kf_upstream_state_end_slow_start(
    kf_upstream_state_t *state, int64_t now_us);

/* Sets whether the declaration drains the upstream. */
void kf_upstream_state_set_draining(kf_upstream_state_t *state, bool draining);

kf_upstream_availability_t kf_upstream_state_availability(
    const kf_upstream_state_t *state, int64_t now_us);
bool kf_upstream_state_is_last_resort(const kf_upstream_state_t *state);

/* Slow-start factor, 0.1 to 1. */
double kf_upstream_state_slow_start_factor(
    const kf_upstream_state_t *state, int64_t now_us);

/*
 * Weight of the upstream's slots in the choice of an upstream, 0.01 to 1.  It
 * is the slow-start factor, reduced in proportion if the latency exceeds
 * slow_factor times median_us (0: unknown).  A last resort has 0.01.
 */
double kf_upstream_state_weight(
    const kf_upstream_state_t *state, int64_t now_us, int64_t median_us);
/* Returns the moving average, or 0 while it is unknown. */
int64_t kf_upstream_state_latency_us(const kf_upstream_state_t *state);

/* Round robin over the paths that are not suspect, or over all if all are. */
int kf_upstream_state_pick_path(kf_upstream_state_t *state, int64_t now_us);
/* Returns a silent path, or KF_UPSTREAM_NO_PATH. */
int kf_upstream_state_silent_path(
    const kf_upstream_state_t *state, int64_t now_us);
/* Resets the state of a path that was given a new source port. */
void kf_upstream_state_on_path_replaced(
    kf_upstream_state_t *state, int path, int64_t now_us);

/* Returns 0 while the incarnation is unknown. */
uint64_t kf_upstream_state_incarnation(const kf_upstream_state_t *state);
void kf_upstream_state_digest(const kf_upstream_state_t *state, int64_t now_us,
    kf_upstream_digest_t *digest);

const char *kf_upstream_availability_name(
    kf_upstream_availability_t availability);

#ifdef __cplusplus
}
#endif

#endif
