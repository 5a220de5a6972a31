#ifndef KF_SIM_TOKENS_H
#define KF_SIM_TOKENS_H

#include <stdbool.h>

#include "kf/rpc.h"

/*
 * NAME
 *	kf_sim_tokens - AUTH_SHORT credentials as a balancer hands them out
 *
 * DESCRIPTION
 *	Lets the load generator be tested without a balancer.  A token holds
 *	the generation it was issued in; revoking starts the next one.
 */

enum { KF_SIM_TOKEN_VERIFIER_BYTES = 8 + 16 };

typedef struct kf_sim_tokens {
	uint64_t generation;
	uint64_t issued;
} kf_sim_tokens_t;

/* Writes the body of an AUTH_SHORT verifier with a new token. */
void kf_sim_tokens_issue(
    kf_sim_tokens_t *tokens, uint8_t body[KF_SIM_TOKEN_VERIFIER_BYTES]);
void kf_sim_tokens_revoke(kf_sim_tokens_t *tokens);

/*
 * Returns 0 if the call may run, else the auth_stat of the refusal: a
 * revoked token is rejected, and a call that must not run twice needs one.
 */
uint32_t kf_sim_tokens_check(const kf_sim_tokens_t *tokens,
    const kf_rpc_auth_t *cred, bool non_idempotent);

#endif
