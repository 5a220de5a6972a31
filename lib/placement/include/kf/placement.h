#ifndef KF_PLACEMENT_H
#define KF_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/declaration.h"
#include "kf/random.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_placement - which selector and upstream a flow gets, and which VM
 *	owns an upstream
 */

/* Low-discrepancy sequence of share points. */
typedef struct kf_share_sequence {
	uint32_t state;
} kf_share_sequence_t;

void kf_share_sequence_init(kf_share_sequence_t *seq, kf_random_t *random);

/* Next share point in [0, KF_SHARE_POINTS). */
uint32_t kf_share_sequence_next(kf_share_sequence_t *seq);

/*
 * The selector of a service that a share point belongs to.  Selectors divide
 * the points in declared order by their effective shares at wall_ms.
 */
const kf_selector_t *kf_placement_selector(const kf_declaration_t *decl,
    const kf_service_t *service, uint32_t point, int64_t wall_ms);

/* One upstream that may take a flow. */
typedef struct kf_candidate {
	uint32_t upstream; /* index into the declaration */
	uint32_t id;
	double weight; /* slots times slow-start factor; above 0 */
	double excess; /* queued work beyond its slots, in slots */
} kf_candidate_t;

typedef enum kf_policy {
	KF_POLICY_STRIDE = 0, /* least of local weighted counts */
	KF_POLICY_TWO_CHOICES,
	KF_POLICY_CURSOR, /* node-local round robin */
	KF_POLICY_HASH,	  /* rendezvous hash of the flow */
	KF_POLICY_COUNT
} kf_policy_t;

/*
 * Spreads flows over upstreams by what this VM has placed itself.  One per
 * traffic thread.
 */
typedef struct kf_balance kf_balance_t;

kf_balance_t *kf_balance_new(kf_policy_t policy, uint64_t seed);
void kf_balance_delete(kf_balance_t *balance);

/* Adopts a new declaration; counts of upstreams that remain are kept. */
kf_status_t kf_balance_resize(
    kf_balance_t *balance, const kf_declaration_t *decl);

/*
 * Chooses among the candidates of one selector (group is its index) for a flow
 * and counts the flow; count must not be 0.  Returns an index into candidates.
 */
uint32_t kf_balance_choose(kf_balance_t *balance, uint32_t group,
    const kf_candidate_t *candidates, size_t count, uint64_t flow);

const char *kf_policy_name(kf_policy_t policy);

/* Rendezvous score of a VM incarnation for an object. */
uint64_t kf_rendezvous_score(
    uint32_t vm, uint64_t incarnation, uint32_t object);

#ifdef __cplusplus
}
#endif

#endif
