#ifndef CONTROL_SIM_H
#define CONTROL_SIM_H

#include "kf/bench_conf.h"
#include "kf/bench_schedule.h"
#include "kf/control.h"

#include "platform.h"

/* Simulation of kf_control_t instances, their network and the platform. */

enum {
	CONTROL_SIM_VMS_MAX = 700,
	CONTROL_SIM_LINK_US = 1000,
	CONTROL_SIM_SEEDS = 3,
};

typedef struct instance {
	struct control_sim *control_sim;
	uint32_t index;
	uint32_t restarts; /* invalidates events of earlier runs */
	kf_control_t *core;
	uint64_t bytes; /* sent, with UDP and IP headers */
	uint32_t revision;
	int64_t in_force_us; /* time at which revision came into force */
	uint32_t load;	     /* not used */
} instance_t;

typedef struct control_sim {
	const kf_conf_t *conf;
	kf_schedule_t *schedule;
	platform_t *platform;
	kf_random_t random;
	uint32_t vms;
	uint32_t revision;
	instance_t instances[CONTROL_SIM_VMS_MAX];
} control_sim_t;

control_sim_t *control_sim_new(
    const kf_conf_t *conf, uint32_t vms, uint64_t seed);
void control_sim_delete(control_sim_t *sim);
int64_t control_sim_now_us(const control_sim_t *sim);
void control_sim_run(control_sim_t *sim, int64_t us);
/* Publishes the next revision of the declaration. */
void control_sim_publish(control_sim_t *sim);
uint32_t control_sim_zone(const control_sim_t *sim, uint32_t index);
void control_sim_kill(control_sim_t *sim, uint32_t index);
void control_sim_restart(control_sim_t *sim, uint32_t index);
/* Number of VMs on which the latest revision is in force. */
uint32_t control_sim_count_in_force(const control_sim_t *sim);

#endif
