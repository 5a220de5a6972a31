#include "tokens.h"

enum { TOKEN_BYTES = 16 };

void
kf_sim_tokens_issue(
    kf_sim_tokens_t *tokens, uint8_t body[KF_SIM_TOKEN_VERIFIER_BYTES])
{
	kf_put_u32(body, KF_RPC_AUTH_SHORT);
	kf_put_u32(body + 4, TOKEN_BYTES);
	kf_put_u64(body + 8, tokens->generation);
	kf_put_u64(body + 16, ++tokens->issued);
}

void
kf_sim_tokens_revoke(kf_sim_tokens_t *tokens)
{
	tokens->generation++;
}

uint32_t
kf_sim_tokens_check(const kf_sim_tokens_t *tokens, const kf_rpc_auth_t *cred,
    bool non_idempotent)
{
	if (cred->flavor == KF_RPC_AUTH_SYS)
		return non_idempotent ? KF_RPC_AUTH_TOOWEAK : 0;
	if (cred->flavor != KF_RPC_AUTH_SHORT || cred->len != TOKEN_BYTES ||
	    kf_get_u64(cred->body) != tokens->generation)
		return KF_RPC_AUTH_REJECTEDCRED;
	return 0;
}
