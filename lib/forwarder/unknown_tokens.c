#include "kf/unknown_tokens.h"

static kf_unknown_token_t *
find(kf_unknown_tokens_t *t, uint32_t token)
{
	size_t i;

	for (i = 0; i < KF_UNKNOWN_TOKENS_MAX; i++)
		if (t->list[i].token == token)
			return &t->list[i];
	return NULL;
}

static kf_unknown_token_t *
add(kf_unknown_tokens_t *t, uint32_t token, int64_t now_us)
{
	kf_unknown_token_t *entry = &t->list[t->next];

	t->next = (t->next + 1) % KF_UNKNOWN_TOKENS_MAX;
	*entry = (kf_unknown_token_t){
		.token = token,
		.first_seen_us = now_us,
		.last_seen_us = now_us,
	};
	return entry;
}

bool
kf_unknown_tokens_is_gone(kf_unknown_tokens_t *t, uint32_t token,
    const kf_store_view_t *view, int64_t max_age_us, int64_t now_us)
{
	kf_unknown_token_t *entry = find(t, token);

	if (entry == NULL)
		entry = add(t, token, now_us);
	else if (now_us - entry->last_seen_us >= KF_UNKNOWN_TOKENS_KEEP_US)
		entry->first_seen_us = now_us;
	entry->last_seen_us = now_us;
	return view->confirmed_us != INT64_MIN &&
	    view->stable_since_us != INT64_MIN &&
	    view->confirmed_us > entry->first_seen_us &&
	    now_us - view->confirmed_us < max_age_us &&
	    view->confirmed_us - view->stable_since_us >=
	    KF_UNKNOWN_TOKENS_CALM_US;
}
