#ifndef KF_FLOW_EXPLANATION_H
#define KF_FLOW_EXPLANATION_H

#include "kf/forwarder.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_flow_explanation - where a flow would go now, and why
 *
 * DESCRIPTION
 *	Runs the decisions about a flow that a SYN would cause, on a copy of the
 *	service's state: nothing is sent or counted.  Names each upstream of the
 *	service with the reason why it is not the one.  The answer holds for
 *	this VM and this moment.
 */

typedef enum kf_flow_outcome {
	KF_FLOW_PLACED = 0, /* its SYN would go to choice.target */
	KF_FLOW_KNOWN,	    /* its packets go where its record says */
	KF_FLOW_REFUSED,
	KF_FLOW_OUTCOME_COUNT
} kf_flow_outcome_t;

typedef struct kf_flow_explanation {
	const kf_route_t *route; /* NULL: no route has the address */
	uint64_t service;
	kf_flow_outcome_t outcome;
	kf_reason_t reason;    /* of a refusal */
	kf_choice_t choice;    /* also if it is refused for overload */
	uint64_t zone;	       /* to which load leaves now; 0: none */
	kf_pool_load_t load;   /* of the service */
	const kf_flow_t *flow; /* NULL: this VM has no record of it */
} kf_flow_explanation_t;

/* Explains what a SYN from client to address would cause. */
kf_flow_explanation_t kf_forwarder_explain(kf_forwarder_t *forwarder,
    kf_addr_t client, kf_addr_t address, int64_t now_us);

const char *kf_flow_outcome_name(kf_flow_outcome_t outcome);

/* Why an upstream is the one that a flow would go to, or is not. */
typedef enum kf_candidate {
	KF_CANDIDATE_CHOSEN = 0,
	KF_CANDIDATE_GONE, /* its entry is gone */
	KF_CANDIDATE_DRAINING,
	KF_CANDIDATE_EVACUATED,
	KF_CANDIDATE_TOKEN_CONFLICT,
	KF_CANDIDATE_COLD_LIMIT, /* no opening is left for this VM */
	KF_CANDIDATE_TRIED,	 /* the flow's SYN has been sent there */
	KF_CANDIDATE_DEAD,
	KF_CANDIDATE_LESS_HEALTHY,
	KF_CANDIDATE_MORE_LOAD,
	KF_CANDIDATE_OTHER_ZONE,
	KF_CANDIDATE_IN_TURN,	/* as good; it is the turn of another one */
	KF_CANDIDATE_NO_CHOICE, /* the flow has its upstreams */
	KF_CANDIDATE_COUNT
} kf_candidate_t;

const char *kf_candidate_name(kf_candidate_t candidate);

/* Returns the reason for an upstream of the explained service. */
kf_candidate_t kf_flow_explanation_candidate(const kf_flow_explanation_t *e,
    const kf_target_t *target, kf_position_t position, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
