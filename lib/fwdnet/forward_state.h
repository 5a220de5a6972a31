#ifndef KF_FORWARD_STATE_H
#define KF_FORWARD_STATE_H

#include "kf/peering.h"

#include "packet_thread.h"

/*
 * NAME
 *	forward_state - what this VM believes, for people
 *
 * DESCRIPTION
 *	Lines of key=value pairs that begin with record=NAME.  The texts are
 *	freed by the caller; NULL if there is no memory.
 */

typedef struct forward_state {
	const char *vm;
	const char *zone;
	bool ready;
	bool leaving;
	uint64_t revision;
	int64_t own_contact_us; /* with the store; INT64_MIN: never */
	kf_peering_view_t view;
	int64_t now_us;
} forward_state_t;

char *forward_state_render(
    const forward_state_t *state, packet_thread_t *packets, size_t *len);

/* Where a new flow would go and why, and what is known of it if it exists. */
char *forward_state_explain(packet_thread_t *packets, kf_addr_t client,
    kf_addr_t address, int64_t now_us, size_t *len);

#endif
