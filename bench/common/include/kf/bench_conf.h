#ifndef KF_BENCH_CONF_H
#define KF_BENCH_CONF_H

#include "kf/bench_options.h"
#include "kf/declaration.h"
#include "kf/keyring.h"
#include "kf/view.h"

/*
 * NAME
 *	kf_conf - declaration and keys of a deployment, and edited copies
 */

enum { KF_CONF_ZONES_MAX = 8 };

/* 2026-12-04 00:00 UTC, within the validity of the keys. */
#define KF_CONF_WALL_MS INT64_C(1796342400000)

typedef struct kf_conf {
	char *declaration_text;
	char *keys_text;
	kf_declaration_t *decl;
	kf_keyring_t *keys;
	int64_t link_us; /* one-way latency between zones */
	uint32_t zone_count;
	uint32_t zones[KF_CONF_ZONES_MAX];
	const char *zone_names[KF_CONF_ZONES_MAX];
} kf_conf_t;

/* Edits a copy of the declaration; upstreams with 0 slots are omitted. */
typedef void kf_conf_edit_fn(void *ctx, kf_declaration_t *copy);

/* Exits with an error message if a document is missing or invalid. */
kf_conf_t *kf_conf_load(const kf_bench_options_t *options);
void kf_conf_delete(kf_conf_t *conf);

/* Text of the edited declaration; the caller frees it. */
char *kf_conf_text(const kf_conf_t *conf, kf_conf_edit_fn *edit, void *ctx);
kf_declref_t *kf_conf_variant(
    const kf_conf_t *conf, kf_conf_edit_fn *edit, void *ctx);

/* Zone of VM index out of count; a zone's VMs have consecutive indexes. */
uint32_t kf_conf_zone(const kf_conf_t *conf, uint32_t index, uint32_t count);

#endif
