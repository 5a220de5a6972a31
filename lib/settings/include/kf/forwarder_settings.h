#ifndef KF_FORWARDER_SETTINGS_H
#define KF_FORWARDER_SETTINGS_H

#include "kf/addr.h"
#include "kf/eventlog.h"
#include "kf/settings_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_forwarder_settings - settings of knapweed-forwarder
 */

enum {
	KF_FORWARDER_MAX_SEEDS = 8,
	KF_FORWARDER_READY_PATH_BYTES = 128,
	KF_FORWARDER_LOG_PATH_BYTES = 256,
};

typedef enum kf_switch {
	KF_SWITCH_ON = 0,
	KF_SWITCH_OFF,
} kf_switch_t;

typedef struct kf_forwarder_settings {
	/* [vm] */
	char name[KF_NAME_BYTES];
	char zone[KF_NAME_BYTES];
	kf_addr_t packet_address;
	kf_addr_t ready_address;
	char ready_path[KF_FORWARDER_READY_PATH_BYTES];
	kf_addr_t peer_address;

	/* [platform] */
	kf_addr_t store_address;
	kf_addr_t seeds[KF_FORWARDER_MAX_SEEDS];
	uint32_t seed_count;

	/* [bounds] */
	int64_t drain_bound_ms;
	int64_t apply_bound_ms;
	int64_t evacuate_bound_ms; /* 0: no zones are evacuated */
	int64_t stability_ms;	   /* 0: not known */
	double cold_excess;	   /* 0: cold upstreams are not limited */
	double cold_slack;	   /* openings a second */

	/* [zones] */
	kf_switch_t zone_balance;
	kf_switch_t last_resort;
	uint32_t transfer_us_per_kb;
	/* [upstreams] */
	int64_t dead_after_ms; /* 0: flows of dead upstreams are not reset */

	/* [stop] */
	int64_t grace_ms;

	/* [log] */
	kf_log_level_t log_level;
	uint32_t decisions_per_s;
	uint32_t sample; /* one in this many ordinary flows is logged */
	char log_file[KF_FORWARDER_LOG_PATH_BYTES];
} kf_forwarder_settings_t;

extern const kf_settings_table_t kf_forwarder_settings_table;

/*
 * How long after a contact with the store its data may be used: the shortest
 * time within which a change has to be in force.
 */
int64_t kf_forwarder_shortest_bound_us(const kf_forwarder_settings_t *settings);

#ifdef __cplusplus
}
#endif

#endif
