#ifndef WORLD_H
#define WORLD_H

#include "kf/bench_conf.h"
#include "kf/bench_schedule.h"
#include "kf/control.h"

#include "platform.h"

/* kf_control_t instances, the links between them and the platform. */

enum {
	WORLD_VMS_MAX = 700,
	WORLD_LINK_US = 1000,
	WORLD_SEEDS = 3,
};

typedef struct instance {
	struct world *world;
	uint32_t index;
	uint32_t life; /* counts restarts */
	kf_control_t *core;
	uint64_t bytes; /* sent, with UDP and IP headers */
	uint32_t revision;
	int64_t in_force_us; /* since when */
	uint32_t load;	     /* of its upstreams, in digests */
} instance_t;

typedef struct world {
	const kf_conf_t *conf;
	kf_schedule_t *schedule;
	platform_t *platform;
	kf_random_t random;
	uint32_t vms;
	uint32_t revision;
	instance_t instances[WORLD_VMS_MAX];
} world_t;

world_t *world_new(const kf_conf_t *conf, uint32_t vms, uint64_t seed);
void world_delete(world_t *w);
int64_t world_now_us(const world_t *w);
void world_run(world_t *w, int64_t us);
/* Publishes the next revision of the declaration. */
void world_publish(world_t *w);
uint32_t world_zone(const world_t *w, uint32_t index);
void world_kill(world_t *w, uint32_t index);
void world_restart(world_t *w, uint32_t index);
/* VMs on which the latest revision is in force. */
uint32_t world_in_force(const world_t *w);

#endif
