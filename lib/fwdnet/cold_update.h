#ifndef KF_COLD_UPDATE_H
#define KF_COLD_UPDATE_H

#include "kf/forwarder_settings.h"
#include "kf/peering.h"

#include "packet_thread.h"

/*
 * NAME
 *	cold_update - passes the owners of the allowances for cold upstreams to
 *	the forwarder
 *
 * DESCRIPTION
 *	The control thread calls it every 200 ms and when the VMs of the zone
 *	change.  A VM that leaves owns nothing, because the others divide its
 *	allowances as soon as they know.
 */
void cold_update(kf_forwarder_t *forwarder,
    const kf_forwarder_settings_t *settings, kf_peering_t *peering,
    uint32_t zone_count, bool leaving, int64_t now_us);

#endif
