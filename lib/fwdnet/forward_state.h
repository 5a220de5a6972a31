#ifndef KF_FORWARD_STATE_H
#define KF_FORWARD_STATE_H

#include "kf/peering.h"

#include "packet_thread.h"

/*
 * NAME
 *	forward_state - state of this VM in a readable form
 *
 * DESCRIPTION
 *	Renders lines of key=value pairs that begin with record=NAME.  The
 *	functions return a text to be freed by the caller, or NULL if out of
 *	memory.
 */

typedef struct forward_state {
	const char *vm;
	const char *zone;
	bool ready;
	bool leaving;
	kf_store_position_t position; /* of the data */
	int64_t own_contact_us; /* last one with the store; INT64_MIN: none */
	kf_peering_view_t view;
	int64_t now_us;
} forward_state_t;

char *forward_state_render(
    const forward_state_t *state, packet_thread_t *packets, size_t *len);

/*
 * Explains where a new flow from client to address would be placed, and shows
 * the flow if it exists.
 */
char *forward_state_explain(packet_thread_t *packets, kf_addr_t client,
    kf_addr_t address, int64_t now_us, size_t *len);

#endif
