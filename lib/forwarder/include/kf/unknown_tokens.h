#ifndef KF_UNKNOWN_TOKENS_H
#define KF_UNKNOWN_TOKENS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_unknown_tokens - tokens of packets that name no known upstream
 *
 * DESCRIPTION
 *	A VM that has started does not know the upstreams that ended before, but
 *	clients still send packets of flows that were open at them.  Such a
 *	packet may also belong to an upstream that is newer than what the VM
 *	knows.  The two are told apart by time: the VM that opened the flow had
 *	the upstream's entry from the store, so the entry existed before the
 *	packet.  Once what this VM knows is complete as of a later time and the
 *	token is still unknown, the entry is no longer in the store.
 *
 *	The upstream may have published its entry since, so what this VM knows
 *	must also be recent.
 *
 *	Entries may also lapse in an outage of the store while their upstreams
 *	live.  A token is therefore gone only if the store was in contact
 *	without an outage for KF_UNKNOWN_TOKENS_CALM_US.
 */

enum {
	KF_UNKNOWN_TOKENS_MAX = 128,
	/* Upstreams publish lapsed entries again within 2 s after an outage. */
	KF_UNKNOWN_TOKENS_CALM_US = 2500000,
	/* Maximum age of what this VM knows: a longer time without contact with
	 * the store is an outage. */
	KF_UNKNOWN_TOKENS_MAX_AGE_US = 2500000,
	/* A token that was not seen for this time is new again. */
	KF_UNKNOWN_TOKENS_KEEP_US = 30000000,
};

/* What this VM knows is complete as of confirmed_us, and the store has been in
 * contact without an outage since stable_since_us.  INT64_MIN: not known. */
typedef struct kf_store_view {
	int64_t confirmed_us;
	int64_t stable_since_us;
} kf_store_view_t;

typedef struct kf_unknown_token {
	uint32_t token;
	int64_t first_seen_us;
	int64_t last_seen_us;
} kf_unknown_token_t;

typedef struct kf_unknown_tokens {
	kf_unknown_token_t list[KF_UNKNOWN_TOKENS_MAX];
	size_t next; /* replaced next */
} kf_unknown_tokens_t;

/*
 * Records a packet with an unknown token.  Returns true if the entry of the
 * token's upstream is known to have left the store, as of max_age_us ago at
 * most.
 */
bool kf_unknown_tokens_is_gone(kf_unknown_tokens_t *tokens, uint32_t token,
    const kf_store_view_t *view, int64_t max_age_us, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
