#include <stdlib.h>

#include "control_internal.h"

enum { DIGEST_EXPIRY_US = 60000000 };

static digest_entry_t *
digests_get(kf_control_t *c, uint32_t upstream)
{
	digest_entry_t *entry;

	entry = apr_hash_get(c->digests, &upstream, sizeof(upstream));
	if (entry != NULL)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	entry->upstream = upstream;
	entry->sent_us = INT64_MIN / 2;
	apr_hash_set(
	    c->digests, &entry->upstream, sizeof(entry->upstream), entry);
	return entry;
}

void
digests_set(kf_control_t *c, uint32_t upstream, const kf_view_digest_t *digest,
    bool own)
{
	digest_entry_t *entry = digests_get(c, upstream);

	if (entry == NULL)
		return;
	if (entry->digest.flags != digest->flags ||
	    entry->digest.load != digest->load ||
	    entry->digest.incarnation != digest->incarnation)
		c->digests_changed = true;
	entry->own = own;
	entry->digest = *digest;
	entry->digest.heard_us = c->now.mono_us;
}

static int
digest_compare_sent(const void *a, const void *b)
{
	const digest_entry_t *const *x = a, *const *y = b;

	return ((*x)->sent_us > (*y)->sent_us) -
	    ((*x)->sent_us < (*y)->sent_us);
}

/* Collects the digests of this VM that were sent least recently. */
uint32_t
digests_collect(kf_control_t *c, kf_peer_digest *out, uint32_t max)
{
	unsigned int total = apr_hash_count(c->digests), n = 0, i;
	digest_entry_t **own;
	apr_hash_index_t *hi;

	own = calloc(total + 1, sizeof(digest_entry_t *));
	if (own == NULL)
		return 0;
	for (hi = apr_hash_first(NULL, c->digests); hi != NULL;
	     hi = apr_hash_next(hi)) {
		digest_entry_t *entry = apr_hash_this_val(hi);

		/* Skips stale entries: this VM no longer owns the upstream. */
		if (entry->own &&
		    c->now.mono_us - entry->digest.heard_us < KF_DEAD_US)
			own[n++] = entry;
	}
	qsort(own, n, sizeof(digest_entry_t *), digest_compare_sent);
	for (i = 0; i < n && i < max; i++) {
		own[i]->sent_us = c->now.mono_us;
		out[i] = (kf_peer_digest){
			.upstream = own[i]->upstream,
			.incarnation = own[i]->digest.incarnation,
			.load = own[i]->digest.load,
			.flags = own[i]->digest.flags,
		};
	}
	free(own);
	return i;
}

void
digests_on_heartbeat(kf_control_t *c, const kf_peer_heartbeat *hb)
{
	u_int i;

	for (i = 0; i < hb->digests.digests_len; i++) {
		const kf_peer_digest *d = &hb->digests.digests_val[i];
		kf_view_digest_t digest = {
			.incarnation = d->incarnation,
			.load = d->load,
			.flags = d->flags,
		};

		/* Stores no digests of upstreams that are not declared. */
		if (c->view != NULL &&
		    kf_declaration_upstream(c->view->decl, d->upstream) != NULL)
			digests_set(c, d->upstream, &digest, false);
	}
}

const kf_view_digest_t *
kf_control_digest(const kf_control_t *c, uint32_t upstream)
{
	digest_entry_t *entry;

	entry = apr_hash_get(c->digests, &upstream, sizeof(upstream));
	return entry == NULL ? NULL : &entry->digest;
}

const kf_view_digest_t *
digests_find(void *ctx, uint32_t upstream_id)
{
	return kf_control_digest(ctx, upstream_id);
}

/* Drops digests that are no longer updated, as of removed upstreams. */
void
digests_expire(kf_control_t *c)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, c->digests); hi != NULL;
	     hi = apr_hash_next(hi)) {
		digest_entry_t *entry = apr_hash_this_val(hi);

		if (c->now.mono_us - entry->digest.heard_us < DIGEST_EXPIRY_US)
			continue;
		apr_hash_set(c->digests, &entry->upstream,
		    sizeof(entry->upstream), NULL);
		free(entry);
	}
}

void
digests_delete(kf_control_t *c)
{
	apr_hash_index_t *hi;

	for (hi = apr_hash_first(NULL, c->digests); hi != NULL;
	     hi = apr_hash_next(hi))
		free(apr_hash_this_val(hi));
}
