#include "forwarder_internal.h"

void
flow_release_tries(kf_forwarder_t *f, kf_flow_t *flow)
{
	kf_target_t *target;
	uint8_t i;

	if (!flow->load_counted)
		return;
	flow->load_counted = false;
	for (i = 0; i < flow->tries; i++) {
		target =
		    kf_directory_find(f->directory, flow->attempt[i].token);
		if (target != NULL && target->opening > 0)
			target->opening--;
	}
}

void
flow_set_busy(kf_forwarder_t *f, kf_flow_t *flow)
{
	kf_target_t *target = kf_directory_find(f->directory, flow->token);

	if (flow->busy || target == NULL)
		return;
	flow->busy = true;
	target->busy++;
}

void
flow_clear_busy(kf_forwarder_t *f, kf_flow_t *flow)
{
	kf_target_t *target = kf_directory_find(f->directory, flow->token);

	if (!flow->busy)
		return;
	flow->busy = false;
	if (target != NULL && target->busy > 0)
		target->busy--;
}

void
flow_close(kf_forwarder_t *f, kf_flow_t *flow)
{
	kf_target_t *target;

	flow_clear_busy(f, flow);
	if (flow->state == KF_FLOW_OPEN) {
		target = kf_directory_find(f->directory, flow->token);
		if (target != NULL && target->open > 0)
			target->open--;
	}
	flow_release_tries(f, flow);
	kf_conntrack_remove(f->flows, flow);
}

void
expire_idle(kf_forwarder_t *f, int64_t now_us)
{
	kf_flow_t *flow;

	while ((flow = kf_conntrack_first(f->flows, KF_FLOW_OPEN)) != NULL &&
	    now_us - flow->last_packet_us >= LOAD_IDLE_US)
		if (!dead_keep_idle(f, flow))
			flow_close(f, flow);
	dead_expire_idle(f, now_us);
	kf_directory_expire(f->directory, now_us);
}
