#ifndef KF_CONTROL_H
#define KF_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/confdist.h"
#include "kf/counters.h"
#include "kf/membership.h"
#include "kf/view.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_control - control state of one VM, without I/O
 *
 * DESCRIPTION
 *	Combines membership and config distribution, exchanges heartbeats
 *	and builds the views that traffic threads use.  Events go in through
 *	kf_control_on_ functions, actions come out through kf_control_ops_t.
 */

typedef enum kf_control_event {
	KF_CONTROL_DOC_ACCEPTED = 0,
	KF_CONTROL_DOC_REFUSED,
	KF_CONTROL_VM_CHANGED, /* liveness or leaving state of a VM */
	KF_CONTROL_PAUSED,     /* this process did not run for a while */
	KF_CONTROL_SETTLED,    /* the start-up wait for heartbeats is over */
	KF_CONTROL_EVENT_COUNT
} kf_control_event_t;

/* Pointers are valid during the call. */
typedef struct kf_control_record {
	kf_control_event_t event;
	const char *text; /* name of a document or VM */
	const char *state;
	const char *reason;
	uint32_t revision;
	uint64_t version;
} kf_control_record_t;

typedef struct kf_control_ops {
	void *ctx;
	void (*send)(void *ctx, kf_addr_t to, const uint8_t *data, size_t len);
	void (*fetch_platform)(void *ctx, kf_doc_kind_t kind,
	    uint64_t after_version, uint32_t wait_ms);
	/* peer is a control address; source is passed back with the answer. */
	void (*fetch_peer)(void *ctx, kf_doc_source_t source, kf_addr_t peer,
	    kf_doc_kind_t kind);
	/* The callee retains the view if it keeps it. */
	void (*publish)(void *ctx, kf_view_t *view);
	void (*record)(void *ctx, const kf_control_record_t *record);
} kf_control_ops_t;

typedef struct kf_control_config {
	kf_membership_config_t membership;
	const kf_addr_t *seeds;
	uint32_t seed_count;
	int64_t start_window_ms;
	uint64_t seed; /* of the random number generator */
	kf_control_ops_t ops;
} kf_control_config_t;

typedef struct kf_control kf_control_t;

/*
 * Time that a starting VM waits for heartbeats before it places flows.  If it
 * has received none by then, it counts as alone in its fleet.
 */
enum { KF_CONTROL_SETTLE_US = 1500000 };

kf_control_t *kf_control_new(const kf_control_config_t *config, kf_time_t now);
void kf_control_delete(kf_control_t *c);

/* Handles a datagram that arrived on the control address. */
void kf_control_on_datagram(kf_control_t *c, kf_time_t now, kf_addr_t from,
    const uint8_t *data, size_t len);
void kf_control_on_unreachable(kf_control_t *c, kf_time_t now, kf_addr_t addr);
void kf_control_on_document(kf_control_t *c, kf_time_t now, kf_doc_kind_t kind,
    kf_doc_source_t source, uint64_t platform_version, const char *text,
    size_t len);
void kf_control_on_unchanged(
    kf_control_t *c, kf_time_t now, kf_doc_kind_t kind);
void kf_control_on_fetch_failed(
    kf_control_t *c, kf_time_t now, kf_doc_kind_t kind, kf_doc_source_t source);
/* Updates the digest of an upstream that a traffic thread of this VM owns. */
void kf_control_on_digest(kf_control_t *c, kf_time_t now, uint32_t upstream,
    const kf_view_digest_t *digest);
/* Call every KF_CONTROL_TICK_MS. */
void kf_control_on_tick(kf_control_t *c, kf_time_t now);

enum { KF_CONTROL_TICK_MS = 50 };

void kf_control_set_leaving(kf_control_t *c, kf_time_t now);

/*
 * Returns the newest incarnation of this VM that peers report if it is above
 * that of this process, else 0.  If it is above, peers ignore this process; the
 * cause is a clock that was set back across a restart.
 */
uint64_t kf_control_newer_incarnation(const kf_control_t *c);

/* For operators and for peers that fetch documents. */
kf_doc_t kf_control_doc(const kf_control_t *c, kf_doc_kind_t kind);
const kf_membership_t *kf_control_membership(const kf_control_t *c);
const kf_view_t *kf_control_view(const kf_control_t *c);
const kf_counters_t *kf_control_counters(const kf_control_t *c);
/* Last digest of an upstream or NULL; may be newer than the one in the view. */
const kf_view_digest_t *kf_control_digest(
    const kf_control_t *c, uint32_t upstream);
/*
 * Age of the last answer of the platform to this VM or to a VM whose heartbeats
 * it receives; KF_CONTACT_NEVER_MS if there was none.
 */
int32_t kf_control_platform_age_ms(const kf_control_t *c, kf_time_t now);
/* Whether an IP address belongs to a VM of the fleet or to a seed. */
bool kf_control_is_fleet_ip(const kf_control_t *c, uint32_t ip);

const char *kf_control_event_name(kf_control_event_t event);

#ifdef __cplusplus
}
#endif

#endif
