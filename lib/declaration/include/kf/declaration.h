#ifndef KF_DECLARATION_H
#define KF_DECLARATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kf/addr.h"
#include "kf/ini.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_declaration - services, upstreams and selectors of one revision
 *
 * DESCRIPTION
 *	An immutable document parsed from INI text.  Identifiers are hashes
 *	of names, so that every VM and every revision has the same ones.  A
 *	document in which two names have the same hash is refused.
 */

enum {
	KF_NAME_BYTES = 64,
	KF_MAX_LABELS = 8,
	KF_MAX_PROCEDURES = 32,
	KF_MAX_SELECTORS = 64,	 /* per service */
	KF_SHARE_POINTS = 65536, /* values of a flow's share point */
};

typedef enum kf_class {
	KF_CLASS_URGENT = 0,
	KF_CLASS_NORMAL,
	KF_CLASS_BULK,
	KF_CLASS_COUNT
} kf_class_t;

typedef enum kf_zone_preference {
	KF_ZONE_LOCAL = 0, /* prefer the own availability zone */
	KF_ZONE_ANY,
} kf_zone_preference_t;

typedef struct kf_label {
	char key[32];
	char value[32];
} kf_label_t;

typedef struct kf_procedure {
	uint32_t number;
	bool idempotent;
	kf_class_t cls;
} kf_procedure_t;

typedef struct kf_service {
	uint32_t id;
	char name[KF_NAME_BYTES];
	kf_addr_t addr;
	kf_class_t cls;
	int64_t deadline_ms;
	uint32_t program; /* ONC RPC program; 0: any */
	uint32_t procedure_count;
	kf_procedure_t procedures[KF_MAX_PROCEDURES];
	uint32_t first_selector; /* selectors of a service are adjacent */
	uint32_t selector_count;
} kf_service_t;

typedef struct kf_upstream {
	uint32_t id;
	char name[KF_NAME_BYTES];
	uint32_t service; /* index into services */
	uint32_t zone;	  /* kf_name_id of the zone's name */
	char zone_name[KF_NAME_BYTES];
	kf_addr_t addr;
	uint32_t slots;
	bool draining;
	uint32_t label_count;
	const kf_label_t *labels; /* shared with other upstreams */
} kf_upstream_t;

typedef struct kf_selector {
	char name[KF_NAME_BYTES];
	uint32_t service; /* index into services */
	uint32_t match_count;
	const kf_label_t *match; /* shared with other selectors */
	double share_percent;
	double ramp_from_percent;
	int64_t ramp_start_s;
	int64_t ramp_s; /* duration; 0: no ramp */
	kf_zone_preference_t zone_preference;
	uint32_t upstream_count;
	uint32_t *upstreams; /* indexes of the matching upstreams */
} kf_selector_t;

typedef struct kf_label_sets kf_label_sets_t;

typedef struct kf_declaration {
	uint32_t revision;
	uint64_t digest; /* XXH64 of the text */
	uint32_t service_count;
	uint32_t upstream_count;
	uint32_t selector_count;
	kf_service_t *services;
	kf_upstream_t *upstreams;
	kf_selector_t *selectors;
	uint32_t *upstreams_by_id;    /* indexes sorted by id */
	uint32_t *services_by_id;     /* indexes sorted by id */
	uint32_t *services_by_addr;   /* indexes sorted by address */
	uint32_t *selector_upstreams; /* of all selectors, in order */
	kf_label_sets_t *label_sets;
} kf_declaration_t;

/*
 * Parses and checks text.  If there is any error, reports all of them and
 * returns NULL.  A document larger than KF_DOCUMENT_MAX_BYTES is refused.
 */
kf_declaration_t *kf_declaration_parse(const char *file, const char *text,
    size_t len, kf_error_fn *on_error, void *ctx);

/* Like kf_declaration_parse, with another size limit; for benchmarks. */
kf_declaration_t *kf_declaration_parse_sized(const char *file, const char *text,
    size_t len, size_t max_bytes, kf_error_fn *on_error, void *ctx);

void kf_declaration_delete(kf_declaration_t *decl);

/* Returns the identifier of a name: its hash, never 0. */
uint32_t kf_name_id(const char *name);

const kf_service_t *kf_declaration_service_at(
    const kf_declaration_t *decl, kf_addr_t addr);
const kf_service_t *kf_declaration_service(
    const kf_declaration_t *decl, uint32_t id);
const kf_upstream_t *kf_declaration_upstream(
    const kf_declaration_t *decl, uint32_t id);

/*
 * Returns the entry of a procedure.  A procedure that is not listed is not
 * idempotent and has the class of the service.
 */
kf_procedure_t kf_service_procedure(
    const kf_service_t *service, uint32_t number);

/* Returns the effective share in percent at wall_ms, including the ramp. */
double kf_selector_share(const kf_selector_t *selector, int64_t wall_ms);

bool kf_selector_matches(
    const kf_selector_t *selector, const kf_upstream_t *upstream);

const char *kf_class_name(kf_class_t cls);
const char *kf_zone_preference_name(kf_zone_preference_t preference);

enum { KF_LABELS_TEXT_BYTES = KF_MAX_LABELS * (int)sizeof(kf_label_t) + 1 };

/* Writes "key=value key=value" and returns buf. */
const char *kf_labels_format(
    const kf_label_t *labels, uint32_t count, char buf[KF_LABELS_TEXT_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
