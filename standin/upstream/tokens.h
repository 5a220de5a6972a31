#ifndef KF_SIM_TOKENS_H
#define KF_SIM_TOKENS_H

#include <stdbool.h>

#include "kf/rpc.h"

/*
 * NAME
 *	kf_sim_tokens - AUTH_SHORT credentials as issued by a balancer
 *
 * DESCRIPTION
 *	Allows testing the load generator without a balancer.  A token holds
 *	the generation in which it was issued.  Revoking increments the
 *	generation, so that every earlier token is rejected.
 */

enum { KF_SIM_TOKEN_VERIFIER_BYTES = 8 + 16 };

typedef struct kf_sim_tokens {
	uint64_t generation;
	uint64_t issued;
} kf_sim_tokens_t;

/* Writes the body of an AUTH_SHORT verifier that holds a new token. */
void kf_sim_tokens_issue(
    kf_sim_tokens_t *tokens, uint8_t body[KF_SIM_TOKEN_VERIFIER_BYTES]);
void kf_sim_tokens_revoke(kf_sim_tokens_t *tokens);

/*
 * Returns 0 if the call may run, else the auth_stat to deny it with:
 * AUTH_TOOWEAK if a non-idempotent call has AUTH_SYS credentials instead of a
 * token, AUTH_REJECTEDCRED for a revoked token and any other credentials.
 */
uint32_t kf_sim_tokens_check(const kf_sim_tokens_t *tokens,
    const kf_rpc_auth_t *cred, bool non_idempotent);

#endif
