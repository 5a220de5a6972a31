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
 *	kf_upstream_state - what one owner VM knows about one upstream
 *
 * DESCRIPTION
 *	Requests decide about health: answers and failures the owner sees
 *	itself take precedence over load reports and over answered probes.
 *	Only a draining flag in a report takes effect by itself, because it
 *	states an intent.
 *
 *	EJECTION.  After a run of failures, or too high a failure rate, the
 *	upstream is ejected for a time that doubles with each ejection.  Then
 *	one probe decides.  A readmitted upstream is on trial until its first
 *	answered request: one failure ejects it again.  Ejection needs
 *	may_eject, which the caller derives from the other upstreams of the
 *	service; without it the upstream stays usable as a last resort, with
 *	the lowest weight, until it answers or may be ejected.
 *
 *	PATHS.  Requests are sent over path_count paths (source ports).  A
 *	path with unanswered requests is suspect after suspect_us and is
 *	probed.  It is silent, and to be replaced, when silent_requests of
 *	its requests or probes, among them a probe, stay unanswered for
 *	silent_us and another path or the fresh path has answered after the
 *	first of them was sent.  The fresh path is a source port not used
 *	before, opened for one probe.  A slow request does not silence a
 *	path, because the probe on the same path is answered.  Timeouts of
 *	requests sent on a path that is silent, or has been replaced since,
 *	do not count against the upstream.
 *
 *	PAUSES.  When ticks are more than a second apart, timeouts of
 *	requests sent before are not counted: the replies may be waiting in
 *	this process's own socket buffers.
 *
 *	Any reply to a probe counts as answered, so that a server without the
 *	control program can be probed.  Time is monotonic.
 */

enum {
	KF_UPSTREAM_MAX_PATHS = 16,
	KF_UPSTREAM_FRESH_PATH = KF_UPSTREAM_MAX_PATHS,
	KF_UPSTREAM_NO_PATH = -1,
};

typedef enum kf_upstream_use {
	KF_UPSTREAM_USABLE = 0,
	KF_UPSTREAM_PROBE_ONLY, /* half-open: one probe, no requests */
	KF_UPSTREAM_EJECTED,
	KF_UPSTREAM_DRAINING, /* no new requests */
	KF_UPSTREAM_USE_COUNT
} kf_upstream_use_t;

typedef enum kf_upstream_failure {
	KF_UPSTREAM_TIMEOUT = 0,
	KF_UPSTREAM_UNREACHABLE,
	KF_UPSTREAM_WRONG_INCARNATION, /* it restarted; not a failure */
} kf_upstream_failure_t;

/* Flags of a digest; the low bits are those of kf_load_report_t. */
enum {
	KF_UPSTREAM_DIGEST_REPORT = 0xff,
	KF_UPSTREAM_DIGEST_EJECTED = 0x100, /* also while half-open */
	KF_UPSTREAM_DIGEST_DRAINING = 0x200,
	KF_UPSTREAM_DIGEST_SLOW_START = 0x400,
	KF_UPSTREAM_DIGEST_LAST_RESORT = 0x800,
};

typedef struct kf_upstream_config {
	uint32_t eject_failures;	 /* in a row */
	uint32_t window_requests;	 /* at most 32 */
	uint32_t window_failure_percent; /* ejected above it */
	int64_t eject_min_us;
	int64_t eject_max_us;
	int64_t good_period_us; /* resets the ejection time */
	int64_t slow_start_us;
	int64_t probe_idle_us;
	int64_t probe_timeout_us;
	uint32_t silent_requests; /* at most 8 */
	int64_t suspect_us;
	int64_t silent_us;
	uint32_t slow_factor; /* of the fleet's median latency */
} kf_upstream_config_t;

typedef struct kf_upstream_digest {
	uint64_t incarnation;
	uint32_t load; /* in flight and queued by the last report */
	uint32_t flags;
} kf_upstream_digest_t;

typedef struct kf_upstream_state kf_upstream_state_t;

void kf_upstream_config_init(kf_upstream_config_t *config);

/* config NULL means the defaults.  Slow start begins at now_us. */
kf_upstream_state_t *kf_upstream_state_new(
    const kf_upstream_config_t *config, int64_t now_us, uint32_t path_count);
void kf_upstream_state_delete(kf_upstream_state_t *state);

/* Requests. */
void kf_upstream_state_on_sent(
    kf_upstream_state_t *state, int path, int64_t now_us);
void kf_upstream_state_on_answer(
    kf_upstream_state_t *state, int path, int64_t now_us, int64_t latency_us);
/* sent_us is when the request was sent; it matters for timeouts only. */
void kf_upstream_state_on_failure(kf_upstream_state_t *state, int path,
    int64_t now_us, int64_t sent_us, kf_upstream_failure_t kind,
    bool may_eject);

/* From the verifier of a reply or from a STATUS probe. */
void kf_upstream_state_on_report(
    kf_upstream_state_t *state, const kf_load_report_t *report, int64_t now_us);

/*
 * Probes.  next_probe returns true when a probe is due and sets its path;
 * due_us is set in either case and is INT64_MAX while a probe is pending.
 * A probe without result fails at the tick after probe_timeout_us.
 */
bool kf_upstream_state_next_probe(const kf_upstream_state_t *state,
    int64_t now_us, int *path, int64_t *due_us);
void kf_upstream_state_on_probe_sent(
    kf_upstream_state_t *state, int path, int64_t now_us);
void kf_upstream_state_on_probe_result(kf_upstream_state_t *state, int path,
    int64_t now_us, bool answered, bool may_eject);

/* Call at least every 500 ms. */
void kf_upstream_state_tick(
    kf_upstream_state_t *state, int64_t now_us, bool may_eject);

/*
 * Ends slow start: the digest of an earlier owner shows that the upstream
 * has served for a while.
 */
void kf_upstream_state_set_warm(kf_upstream_state_t *state, int64_t now_us);

/* Drain by declaration. */
void kf_upstream_state_set_draining(kf_upstream_state_t *state, bool draining);

kf_upstream_use_t kf_upstream_state_usable(
    const kf_upstream_state_t *state, int64_t now_us);
bool kf_upstream_state_last_resort(const kf_upstream_state_t *state);

/* Slow-start factor, 0.1 to 1. */
double kf_upstream_state_slow_start(
    const kf_upstream_state_t *state, int64_t now_us);

/*
 * Factor for the upstream's slots when upstreams are compared, 0.01 to 1:
 * slow start, reduced in proportion when the latency exceeds slow_factor
 * times median_us (0: not known), and least for a last resort.
 */
double kf_upstream_state_weight(
    const kf_upstream_state_t *state, int64_t now_us, int64_t median_us);
/* Moving average; 0 while unknown. */
int64_t kf_upstream_state_latency_us(const kf_upstream_state_t *state);

/* Round robin over working paths; over all if none works. */
int kf_upstream_state_pick_path(kf_upstream_state_t *state, int64_t now_us);
/* A silent path, or KF_UPSTREAM_NO_PATH. */
int kf_upstream_state_silent_path(
    const kf_upstream_state_t *state, int64_t now_us);
/* The path has a new source port. */
void kf_upstream_state_on_path_replaced(
    kf_upstream_state_t *state, int path, int64_t now_us);

/* 0 while not known. */
uint64_t kf_upstream_state_incarnation(const kf_upstream_state_t *state);
void kf_upstream_state_digest(const kf_upstream_state_t *state, int64_t now_us,
    kf_upstream_digest_t *digest);

const char *kf_upstream_use_name(kf_upstream_use_t use);

#ifdef __cplusplus
}
#endif

#endif
