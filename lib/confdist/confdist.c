#include <xxhash.h>

#include <stdlib.h>
#include <string.h>

#include "internal.h"

static const char *const kind_names[KF_DOC_KINDS] = {
	[KF_DOC_DECLARATION] = "declaration",
	[KF_DOC_KEYS] = "keys",
	[KF_DOC_VMS] = "vms",
};

static const char *const result_names[] = {
	[KF_DOC_ACCEPTED] = "accepted",
	[KF_DOC_UNCHANGED] = "unchanged",
	[KF_DOC_OLDER] = "older",
	[KF_DOC_INVALID] = "invalid",
	[KF_DOC_FAILED] = "failed",
};

const char *
kf_doc_kind_name(kf_doc_kind_t kind)
{
	return (unsigned)kind < KF_DOC_KINDS ? kind_names[kind] : "unknown";
}

const char *
kf_doc_result_name(kf_doc_result_t result)
{
	if ((unsigned)result >= sizeof(result_names) / sizeof(*result_names))
		return "unknown";
	return result_names[result];
}

static int
compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

int
kf_doc_version_compare(kf_doc_version_t a, kf_doc_version_t b)
{
	if (a.revision != b.revision)
		return compare_u64(a.revision, b.revision);
	return compare_u64(a.platform_version, b.platform_version);
}

kf_confdist_t *
kf_confdist_new(const kf_confdist_config_t *config)
{
	kf_confdist_t *c;
	size_t kind;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return NULL;
	c->config = *config;
	c->random = config->seed;
	c->zone_members = 1;
	c->watcher = true;
	c->fleet_contact_us = -1;
	c->newer_peer_contact_us = -1;
	for (kind = 0; kind < KF_DOC_KINDS; kind++)
		c->kinds[kind].platform.answered_us = -1;
	return c;
}

static void
release_doc(kf_confdist_t *c, kf_doc_kind_t kind)
{
	kind_state_t *state = &c->kinds[kind];

	if (state->doc.parsed != NULL)
		c->config.ops.free(c->config.ops.ctx, kind, state->doc.parsed);
	free(state->text);
}

void
kf_confdist_delete(kf_confdist_t *c)
{
	size_t kind;

	if (c == NULL)
		return;
	for (kind = 0; kind < KF_DOC_KINDS; kind++)
		release_doc(c, (kf_doc_kind_t)kind);
	free(c);
}

/* Uses the splitmix64 generator, for which every seed is valid, even 0. */
uint32_t
confdist_random(kf_confdist_t *c, uint32_t limit)
{
	uint64_t z;

	c->random += 0x9e3779b97f4a7c15;
	z = c->random;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	z ^= z >> 31;
	return (uint32_t)((z >> 32) * limit >> 32);
}

static uint64_t
watcher_score(uint32_t zone, uint32_t vm)
{
	uint32_t pair[2] = { zone, vm };

	return XXH64(pair, sizeof(pair), 0);
}

void
kf_confdist_set_zone_members(
    kf_confdist_t *c, const uint32_t *vms, size_t count)
{
	uint32_t self = c->config.self.vm;
	uint64_t own = watcher_score(c->config.zone, self);
	size_t above = 0, i;

	for (i = 0; i < count; i++) {
		if (vms[i] != self &&
		    watcher_score(c->config.zone, vms[i]) > own)
			above++;
	}
	c->zone_members = count + 1;
	c->watcher = above < WATCHERS;
}

bool
kf_confdist_is_watcher(const kf_confdist_t *c)
{
	return c->watcher;
}

static rejection_t *
find_rejection(kind_state_t *kind, uint64_t platform_version, uint64_t digest)
{
	size_t count = kind->rejection_count, i;

	for (i = 0; i < count && i < REJECTIONS_MAX; i++) {
		rejection_t *rejection = &kind->rejections[i];

		if (rejection->platform_version == platform_version &&
		    rejection->digest == digest)
			return rejection;
	}
	return NULL;
}

bool
kind_is_rejected(const kind_state_t *kind, uint64_t platform_version)
{
	size_t i;

	for (i = 0; i < kind->rejection_count && i < REJECTIONS_MAX; i++) {
		if (kind->rejections[i].platform_version == platform_version &&
		    kind->rejections[i].sources >= REJECTION_SOURCES)
			return true;
	}
	return false;
}

uint64_t
kind_newest_seen_version(const kind_state_t *kind)
{
	uint64_t in_force = kind->doc.version.platform_version;
	uint64_t seen = kind->platform.seen_version;

	return seen > in_force ? seen : in_force;
}

/*
 * A copy from a peer may be damaged, so rejecting one does not mean that the
 * version is invalid.  Rejecting the platform's copy does.
 */
static void
add_rejection(kind_state_t *kind, kf_doc_source_t source,
    uint64_t platform_version, uint64_t digest)
{
	rejection_t *rejection = find_rejection(kind, platform_version, digest);

	if (rejection == NULL) {
		rejection =
		    &kind->rejections[kind->rejection_count++ % REJECTIONS_MAX];
		*rejection =
		    (rejection_t){ .platform_version = platform_version,
			    .digest = digest };
	}
	rejection->sources++;
	if (source.vm == 0 && source.seed == 0)
		rejection->sources = REJECTION_SOURCES;
}

/* Orders by digest if two platform replicas used one version twice. */
static int
compare_docs(const kf_doc_t *a, const kf_doc_t *b)
{
	int order = kf_doc_version_compare(a->version, b->version);

	return order != 0 ? order : compare_u64(a->digest, b->digest);
}

static kf_doc_result_t
activate_doc(kf_confdist_t *c, kf_doc_kind_t kind, kf_doc_t *doc)
{
	kind_state_t *state = &c->kinds[kind];
	char *copy;

	copy = malloc(doc->len + 1);
	if (copy == NULL) {
		kf_status_set(KF_ERR_NO_MEMORY, "no memory for a document");
		return KF_DOC_FAILED;
	}
	memcpy(copy, doc->text, doc->len);
	copy[doc->len] = '\0';
	release_doc(c, kind);
	doc->text = copy;
	state->text = copy;
	state->doc = *doc;
	c->generation++;
	return KF_DOC_ACCEPTED;
}

static kf_doc_result_t
activate_if_newer(kf_confdist_t *c, kf_doc_kind_t kind, kf_doc_t *doc)
{
	const kf_doc_t *current = &c->kinds[kind].doc;
	const kf_doc_ops_t *ops = &c->config.ops;
	int order = 1;

	if (kind == KF_DOC_DECLARATION)
		doc->version.revision =
		    ops->revision_of(ops->ctx, kind, doc->parsed);
	if (current->parsed != NULL)
		order = compare_docs(doc, current);
	if (order == 0)
		return KF_DOC_UNCHANGED;
	if (order < 0) {
		kf_status_set(KF_ERR_STALE,
		    "%s revision %u version %llu is below revision %u "
		    "version %llu",
		    kind_names[kind], doc->version.revision,
		    (unsigned long long)doc->version.platform_version,
		    current->version.revision,
		    (unsigned long long)current->version.platform_version);
		return KF_DOC_OLDER;
	}
	return activate_doc(c, kind, doc);
}

static kf_doc_result_t
process_doc(
    kf_confdist_t *c, kf_doc_kind_t kind, kf_doc_source_t source, kf_doc_t *doc)
{
	kind_state_t *state = &c->kinds[kind];
	const kf_doc_ops_t *ops = &c->config.ops;
	kf_doc_result_t result;
	kf_status_t status;

	if (find_rejection(state, doc->version.platform_version, doc->digest) !=
	    NULL) {
		add_rejection(
		    state, source, doc->version.platform_version, doc->digest);
		kf_status_set(KF_ERR_INVALID,
		    "%s version %llu was rejected before", kind_names[kind],
		    (unsigned long long)doc->version.platform_version);
		return KF_DOC_INVALID;
	}
	status = ops->parse(ops->ctx, kind, doc->text, doc->len, &doc->parsed);
	if (status == KF_ERR_NO_MEMORY)
		return KF_DOC_FAILED;
	if (status != KF_OK) {
		add_rejection(
		    state, source, doc->version.platform_version, doc->digest);
		return KF_DOC_INVALID;
	}
	result = activate_if_newer(c, kind, doc);
	if (result != KF_DOC_ACCEPTED)
		ops->free(ops->ctx, kind, doc->parsed);
	return result;
}

kf_doc_result_t
kf_confdist_on_document(kf_confdist_t *c, int64_t now_us, kf_doc_kind_t kind,
    kf_doc_source_t source, uint64_t platform_version, const char *text,
    size_t len)
{
	kind_state_t *state = &c->kinds[kind];
	uint64_t after = kind_newest_seen_version(state);
	bool from_platform = source.vm == 0 && source.seed == 0;
	kf_doc_result_t result;
	kf_doc_t doc = {
		.version.platform_version = platform_version,
		.digest = XXH64(text, len, 0),
		.text = text,
		.len = len,
	};

	result = process_doc(c, kind, source, &doc);
	if (!from_platform) {
		confdist_on_peer_document(c, now_us, kind, source, result);
		return result;
	}
	/* An answer of a replica that lags does not count as contact. */
	if (result == KF_DOC_FAILED || platform_version < after) {
		kf_confdist_on_fetch_failed(c, now_us, kind, source);
		return result;
	}
	state->platform.seen_version = platform_version;
	confdist_on_platform_answer(c, now_us, kind);
	return result;
}

kf_doc_t
kf_confdist_doc(const kf_confdist_t *c, kf_doc_kind_t kind)
{
	return c->kinds[kind].doc;
}

uint64_t
kf_confdist_generation(const kf_confdist_t *c)
{
	return c->generation;
}
