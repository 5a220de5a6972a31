#ifndef KF_ZONE_BALANCING_H
#define KF_ZONE_BALANCING_H

#include <stdio.h>

#include "kf/eventlog.h"
#include "kf/forwarder.h"
#include "kf/forwarder_settings.h"
#include "kf/peering.h"

/*
 * NAME
 *	zone_balancing - passes the demands of zones to the forwarder, and logs
 *	the shares of new flows that leave the zone
 */

/* Called with the forwarder locked, every 200 ms. */
void zone_balancing_update(kf_forwarder_t *forwarder,
    const kf_peering_t *peering, const kf_forwarder_settings_t *settings,
    kf_eventlog_t *log, int64_t now_us);

/* Writes a record of the share of a service, or of all services if it is 0. */
void zone_balancing_render(
    FILE *out, kf_forwarder_t *forwarder, uint64_t service);

#endif
