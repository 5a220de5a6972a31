#ifndef KF_SETTINGS_H
#define KF_SETTINGS_H

#include "kf/declaration.h"
#include "kf/eventlog.h"
#include "kf/settings_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_settings - settings of one balancer process
 *
 * DESCRIPTION
 *	Read from an INI file at the start of the process.  A table of
 *	descriptors states section, key, type, unit, range and default of
 *	each setting.  Every error is reported; a process whose settings
 *	have errors does not start.
 */

enum {
	KF_SETTINGS_MAX_SEEDS = 64,
	KF_SETTINGS_MAX_THREADS = 16,
	KF_SETTINGS_TEXT_BYTES = 256,
};

typedef enum kf_encapsulation {
	KF_ENCAPSULATION_PROXY_V2 = 0,
	KF_ENCAPSULATION_NONE,
} kf_encapsulation_t;

typedef struct kf_settings {
	/* [vm] */
	char name[KF_NAME_BYTES];
	uint32_t vm_id; /* kf_name_id of name */
	char zone_name[KF_NAME_BYTES];
	uint32_t zone;		   /* kf_name_id of zone_name */
	kf_addr_t ingress_address; /* datagrams from the fabric */
	kf_addr_t peer_address;	   /* traffic thread i uses port + i */
	kf_addr_t control_address; /* heartbeats */
	kf_addr_t rpc_address;	   /* operator RPC over TCP */
	kf_addr_t metrics_address; /* counters over HTTP; port 0: off */
	uint32_t traffic_threads;
	kf_encapsulation_t encapsulation;

	/* [platform] */
	char platform_url[KF_SETTINGS_TEXT_BYTES];
	int64_t poll_wait_ms;
	int64_t start_window_ms;
	uint32_t seed_count;
	kf_addr_t seeds[KF_SETTINGS_MAX_SEEDS]; /* control addresses */

	/* [limits] */
	uint32_t max_flows;
	int64_t max_reply_cache_bytes;
	int64_t queue_bytes;
	int64_t token_lifetime_s;
	uint32_t ingress_packets_per_s; /* 0: no limit */

	/* [log] */
	kf_log_level_t log_level;
	uint32_t decisions_per_s;
	char log_file[KF_SETTINGS_TEXT_BYTES];

	/* [upstream] */
	uint32_t upstream_paths; /* UDP source ports per upstream */
} kf_settings_t;

/* Returns NULL if the text has errors, after reporting all of them. */
kf_settings_t *kf_settings_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx);
/* Reads the text from a file and applies the overrides. */
kf_settings_t *kf_settings_load(const char *path,
    const kf_overrides_t *overrides, kf_error_fn *on_error, void *ctx);
void kf_settings_delete(kf_settings_t *settings);

/* The table of descriptors, ordered by section. */
const kf_field_t *kf_settings_fields(size_t *count);

#ifdef __cplusplus
}
#endif

#endif
