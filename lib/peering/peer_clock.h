#ifndef KF_PEER_CLOCK_H
#define KF_PEER_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	peer_clock - bounds the times at which another VM sent its beacons
 *
 * DESCRIPTION
 *	A beacon may wait for seconds, in a link, or in the socket of a VM
 *	that is frozen, so the time at which it is processed says nothing of
 *	the age of what it tells.  Each beacon carries a stamp of the sender's
 *	clock, and the stamp of the receiver's latest beacon with the time
 *	since the sender processed that one.  A beacon that echoes a stamp was
 *	sent that much later than the stamp, by the receiver's own clock, or
 *	later still.  The difference to the sender's stamp then bounds the
 *	times of all its other beacons, also of those that echo nothing.
 *
 *	Every bound is the earliest possible time: a delay makes information
 *	older and never younger.
 */

typedef struct peer_clock {
	bool heard;	  /* a beacon has arrived */
	uint64_t stamp;	  /* of the latest beacon */
	int64_t heard_us; /* when it was processed */
	bool has_offset;
	/* A stamp was taken at stamp + offset_us, or later. */
	int64_t offset_us;
	int64_t measured_us;
} peer_clock_t;

/* Times in a received beacon. */
typedef struct peer_times {
	uint64_t stamp;
	bool has_echo;
	int64_t echo_us; /* when this VM sent the beacon that is echoed */
	int64_t held_us; /* from its arrival until the echo was sent */
} peer_times_t;

/*
 * Processes the times of a beacon.  Returns false if a later beacon of the VM
 * has been processed before.
 */
bool peer_clock_receive(
    peer_clock_t *clock, const peer_times_t *times, int64_t now_us);

/*
 * Earliest time at which a stamp was taken; INT64_MIN if it is not known,
 * because the VM has not echoed a beacon yet.
 */
int64_t peer_clock_sent_us(
    const peer_clock_t *clock, uint64_t stamp, int64_t now_us);

#endif
