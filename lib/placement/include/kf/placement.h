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
 *	kf_placement - selector and upstream of a new flow, and rendezvous
 *	hashing
 *
 * DESCRIPTION
 *	A share point selects the selector of a new flow.  kf_balance_choose
 *	selects one of the upstreams of this selector.  Owners are chosen by
 *	rendezvous hashing.
 */

/* Low-discrepancy sequence of share points: even over short runs too. */
typedef struct kf_share_sequence {
	uint32_t state;
} kf_share_sequence_t;

void kf_share_sequence_init(kf_share_sequence_t *seq, kf_random_t *random);

/* Next share point in [0, KF_SHARE_POINTS). */
uint32_t kf_share_sequence_next(kf_share_sequence_t *seq);

/*
 * Returns the selector of a service that a share point belongs to.  The points
 * are divided among the selectors in declared order, by their effective shares
 * at wall_ms.
 */
const kf_selector_t *kf_placement_selector(const kf_declaration_t *decl,
    const kf_service_t *service, uint32_t point, int64_t wall_ms);

/* An upstream that may take a flow. */
typedef struct kf_candidate {
	uint32_t upstream; /* index into the declaration */
	uint32_t id;
	double weight; /* slots times slow-start factor, above 0 */
	double excess; /* load beyond its slots, relative to the slots */
} kf_candidate_t;

typedef enum kf_policy {
	KF_POLICY_STRIDE = 0, /* fewest local flows by weight */
	KF_POLICY_TWO_CHOICES,
	KF_POLICY_ROUND_ROBIN, /* round robin of this VM */
	KF_POLICY_HASH,	       /* rendezvous hashing of the flow */
	KF_POLICY_COUNT
} kf_policy_t;

/*
 * Balances flows over upstreams by the flows that this VM has placed.  Each
 * traffic thread has its own.
 */
typedef struct kf_balance kf_balance_t;

kf_balance_t *kf_balance_new(kf_policy_t policy, uint64_t seed);
void kf_balance_delete(kf_balance_t *balance);

/* Takes a new declaration; upstreams that remain keep their flow counts. */
kf_status_t kf_balance_update(
    kf_balance_t *balance, const kf_declaration_t *decl);

/*
 * Chooses the upstream of a flow among the candidates of the selector
 * selector_index and counts the flow.  count must not be 0.  Returns an index
 * into candidates.
 */
uint32_t kf_balance_choose(kf_balance_t *balance, uint32_t selector_index,
    const kf_candidate_t *candidates, size_t count, uint64_t flow);

const char *kf_policy_name(kf_policy_t policy);

/*
 * Rendezvous score of a VM incarnation for an object; the VM with the highest
 * score owns the object.
 */
uint64_t kf_rendezvous_score(
    uint32_t vm, uint64_t incarnation, uint32_t object);

#ifdef __cplusplus
}
#endif

#endif
