#ifndef KF_SIM_SERVER_H
#define KF_SIM_SERVER_H

#include "upstream.h"

/*
 * NAME
 *	kf_sim_server - the upstreams of one process and the control commands
 */

enum { KF_SIM_MAX_UPSTREAMS = 64 };

typedef struct kf_sim_server_options {
	kf_sim_upstream_options_t upstreams[KF_SIM_MAX_UPSTREAMS];
	size_t count;
	kf_sim_upstream_options_t defaults;
	const char *ledger; /* path; NULL: no file */
	size_t ledger_entries;
	kf_addr_t control; /* port 0: none */
} kf_sim_server_options_t;

typedef struct kf_sim_server kf_sim_server_t;

/* Returns NULL with a status message on failure. */
kf_sim_server_t *kf_sim_server_new(
    kf_sim_loop_t *loop, const kf_sim_server_options_t *options);
void kf_sim_server_delete(kf_sim_server_t *server);
/* Prints the counters of each upstream, one a line, and a line of totals. */
void kf_sim_server_print(const kf_sim_server_t *server, FILE *out);

#endif
