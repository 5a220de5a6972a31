#include <stdlib.h>
#include <string.h>

#include "ingress.h"
#include "kf/admission.h"
#include "queue.h"

enum {
	PERCENT = 100,
	SERVICE_EWMA_SHIFT = 3, /* weight of a sample: 1/8 */
	/*
	 * Weight of a sample: 1/16.  Intervals vary by as much as their mean;
	 * compared with 1/8 this halves the noise of the average.
	 */
	INTERVAL_EWMA_SHIFT = 4,

	/* Slot time assumed while no class has a sample. */
	DEFAULT_SERVICE_US = 1000,
	MAX_SERVICE_US = 60000000,

	/*
	 * A request is queued only if its expected answer leaves 1/8 of the
	 * time until the deadline unused.  Without this margin about half of
	 * the requests of a full queue are dispatched too late, because
	 * service times vary.
	 */
	ANSWER_MARGIN_SHIFT = 3,

	/*
	 * A shed request lowers the limit to 70 %.  Upstreams have 2 or 3
	 * slots, and halving could take away more than one at a time.
	 */
	LIMIT_AFTER_SHED_PERCENT = 70,
	LIMIT_RAISE_INTERVAL_US = 1000000,
	LIMIT_RAISE_DIVISOR = 16, /* a step is 1/16 of the slots, at least 1 */

	/* Period over which the slot time of a class is averaged. */
	SLOT_TIME_WINDOW_US = 1000000,

	/* Cost of a retry and maximum budget, in hundredths of a retry. */
	RETRY_COST = 100,
	RETRY_BALANCE_MAX = 100 * RETRY_COST,

	/* Limits the size of the node pool, which is allocated as a whole. */
	MAX_NODES = 1 << 24,
};

typedef struct class_state {
	kf_queue_t queue;
	double virtual_finish; /* of the latest dispatch */
	int64_t service_us;
	int64_t last_dispatch_us; /* since the queue was last empty; -1: none */
	int64_t dispatch_interval_us; /* moving average; 0: unknown */
	double recent_slot_us;	      /* weighted sum, see class_recent_slots */
	int64_t recent_slot_updated_us; /* time of recent_slot_us */
} class_state_t;

typedef struct upstream {
	uint32_t id;
	uint32_t slots;
	uint32_t in_flight;
	bool removed; /* kept until no request is in flight */
	double limit;
	int64_t limit_changed_us;
	uint32_t releases_until_decrease; /* until a shed counts again */
	int64_t last_progress_us;	  /* last dispatch or release */
	double virtual_time;
	class_state_t classes[KF_CLASS_COUNT];
} upstream_t;

struct kf_admission {
	kf_admission_config_t config;
	int64_t now_us;
	uint32_t count;
	upstream_t *upstreams; /* ordered by id */
	kf_queue_pool_t pool;
	uint64_t queue_used_bytes;
	uint64_t class_bytes[KF_CLASS_COUNT];
	uint64_t reserved_bytes[KF_CLASS_COUNT];
	uint32_t retry_balance;
	kf_ingress_t ingress;
};

void
kf_admission_config_init(kf_admission_config_t *config)
{
	*config = (kf_admission_config_t){
		.max_upstreams = 1024,
		.queue_bytes = 32 * 1024 * 1024,
		.reservation_percent = { 60, 30, 10 },
		.retry_percent = 10,
		.ingress_percent = { 60, 30, 10 },
	};
}

static bool
percents_valid(const uint32_t percent[KF_CLASS_COUNT])
{
	uint64_t sum = 0;
	int cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++)
		sum += percent[cls];
	return sum <= PERCENT;
}

static kf_status_t
config_check(const kf_admission_config_t *config)
{
	if (config->on_refused == NULL)
		return kf_status_set(KF_ERR_INVALID, "on_refused is not set");
	if (config->max_upstreams == 0)
		return kf_status_set(
		    KF_ERR_INVALID, "max_upstreams is 0, expected at least 1");
	if (config->queue_bytes < KF_ADMISSION_MIN_CHARGE_BYTES ||
	    config->queue_bytes / KF_ADMISSION_MIN_CHARGE_BYTES > MAX_NODES)
		return kf_status_set(KF_ERR_INVALID,
		    "queue_bytes must be between 256 bytes and 4 GiB");
	if (!percents_valid(config->reservation_percent))
		return kf_status_set(KF_ERR_INVALID,
		    "reservation_percent adds up to more than 100");
	if (!percents_valid(config->ingress_percent))
		return kf_status_set(
		    KF_ERR_INVALID, "ingress_percent adds up to more than 100");
	if (config->retry_percent > PERCENT)
		return kf_status_set(
		    KF_ERR_INVALID, "retry_percent must be at most 100");
	if (config->ingress_pps > KF_INGRESS_MAX_PPS)
		return kf_status_set(
		    KF_ERR_INVALID, "ingress_pps must be at most 10000000");
	return KF_OK;
}

kf_admission_t *
kf_admission_new(const kf_admission_config_t *config)
{
	kf_admission_t *adm;
	uint64_t nodes;
	int cls;

	if (config_check(config) != KF_OK)
		return NULL;
	adm = calloc(1, sizeof(*adm));
	if (adm == NULL)
		goto no_memory;
	adm->config = *config;
	nodes = config->queue_bytes / KF_ADMISSION_MIN_CHARGE_BYTES;
	adm->upstreams = calloc(config->max_upstreams, sizeof(*adm->upstreams));
	if (adm->upstreams == NULL ||
	    !kf_queue_pool_init(&adm->pool, (uint32_t)nodes))
		goto no_memory;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++)
		adm->reserved_bytes[cls] = config->queue_bytes *
		    config->reservation_percent[cls] / PERCENT;
	kf_ingress_init(
	    &adm->ingress, config->ingress_pps, config->ingress_percent);
	return adm;

no_memory:
	kf_admission_delete(adm);
	kf_status_set(
	    KF_ERR_NO_MEMORY, "out of memory for the admission queues");
	return NULL;
}

void
kf_admission_delete(kf_admission_t *adm)
{
	if (adm == NULL)
		return;
	free(adm->upstreams);
	kf_queue_pool_clear(&adm->pool);
	free(adm);
}

/* Returns the index of the first upstream whose id is not less than id. */
static uint32_t
upstream_position(const kf_admission_t *adm, uint32_t id)
{
	uint32_t low = 0;
	uint32_t high = adm->count;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (adm->upstreams[mid].id < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static upstream_t *
upstream_find(const kf_admission_t *adm, uint32_t id)
{
	uint32_t at = upstream_position(adm, id);

	if (at == adm->count || adm->upstreams[at].id != id)
		return NULL;
	return &adm->upstreams[at];
}

static upstream_t *
upstream_find_active(const kf_admission_t *adm, uint32_t id)
{
	upstream_t *upstream = upstream_find(adm, id);

	return upstream == NULL || upstream->removed ? NULL : upstream;
}

/* Additions and removals invalidate pointers to upstreams. */
static upstream_t *
upstream_add(kf_admission_t *adm, uint32_t id)
{
	uint32_t at = upstream_position(adm, id);
	upstream_t *upstream = &adm->upstreams[at];
	int cls;

	memmove(upstream + 1, upstream,
	    (adm->count - at) * sizeof(*adm->upstreams));
	adm->count++;
	memset(upstream, 0, sizeof(*upstream));
	upstream->id = id;
	upstream->removed = true;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++)
		kf_queue_init(&upstream->classes[cls].queue);
	return upstream;
}

static void
upstream_erase(kf_admission_t *adm, upstream_t *upstream)
{
	size_t at = (size_t)(upstream - adm->upstreams);

	adm->count--;
	memmove(upstream, upstream + 1,
	    (adm->count - at) * sizeof(*adm->upstreams));
}

static void
upstream_restart_timers(upstream_t *upstream, int64_t now_us)
{
	int cls;

	upstream->last_progress_us = now_us;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		if (upstream->classes[cls].last_dispatch_us >= 0)
			upstream->classes[cls].last_dispatch_us = now_us;
	}
}

/*
 * Updates the current time.  After a gap of more than KF_ADMISSION_PAUSE_US
 * this process was paused, and the time without a release says nothing about
 * the upstreams.  That time is therefore measured from now on.
 */
static void
admission_advance_clock(kf_admission_t *adm, int64_t now_us)
{
	uint32_t i;

	if (now_us <= adm->now_us)
		return;
	if (now_us - adm->now_us > KF_ADMISSION_PAUSE_US) {
		for (i = 0; i < adm->count; i++)
			upstream_restart_timers(&adm->upstreams[i], now_us);
	}
	adm->now_us = now_us;
}

kf_status_t
kf_admission_set_upstream(
    kf_admission_t *adm, int64_t now_us, uint32_t id, uint32_t slots)
{
	upstream_t *upstream;

	admission_advance_clock(adm, now_us);
	if (slots == 0)
		return kf_status_set(KF_ERR_INVALID,
		    "upstream %u: slots is 0, expected at least 1", id);
	upstream = upstream_find(adm, id);
	if (upstream == NULL) {
		if (adm->count == adm->config.max_upstreams)
			return kf_status_set(KF_ERR_FULL,
			    "cannot add an upstream, max_upstreams is %u",
			    adm->count);
		upstream = upstream_add(adm, id);
	}
	/*
	 * A limit equal to the number of slots follows it.  A limit lowered by
	 * shedding is kept, unless it exceeds the new number.
	 */
	if (upstream->removed || upstream->limit >= upstream->slots ||
	    upstream->limit > slots)
		upstream->limit = slots;
	if (upstream->removed)
		upstream->last_progress_us = adm->now_us;
	upstream->removed = false;
	upstream->slots = slots;
	return KF_OK;
}

static kf_queue_node_t
dequeue(kf_admission_t *adm, upstream_t *upstream, int cls, uint32_t index)
{
	kf_queue_node_t node;

	node =
	    kf_queue_remove(&adm->pool, &upstream->classes[cls].queue, index);
	adm->queue_used_bytes -= node.charge_bytes;
	adm->class_bytes[cls] -= node.charge_bytes;
	return node;
}

static void
refuse(kf_admission_t *adm, upstream_t *upstream, int cls, uint32_t index,
    kf_reason_t reason)
{
	kf_queue_node_t node = dequeue(adm, upstream, cls, index);

	adm->config.on_refused(adm->config.ctx, node.request, reason);
}

static void
upstream_refuse_expired(kf_admission_t *adm, upstream_t *upstream)
{
	int cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		const kf_queue_t *queue = &upstream->classes[cls].queue;

		while (queue->count > 0 &&
		    adm->pool.nodes[queue->head].deadline_us <= adm->now_us)
			refuse(adm, upstream, cls, queue->head,
			    KF_REASON_DEADLINE);
	}
}

void
kf_admission_remove_upstream(kf_admission_t *adm, uint32_t id,
    kf_admission_removed_fn *on_removed, void *ctx)
{
	upstream_t *upstream = upstream_find_active(adm, id);
	int cls;

	if (upstream == NULL)
		return;
	upstream->removed = true;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		const kf_queue_t *queue = &upstream->classes[cls].queue;

		while (queue->count > 0) {
			kf_queue_node_t node =
			    dequeue(adm, upstream, cls, queue->head);

			on_removed(ctx, node.request);
		}
	}
	if (upstream->in_flight == 0)
		upstream_erase(adm, upstream);
}

/* A class without a reservation has a small weight, to prevent starvation. */
static double
class_weight(const kf_admission_t *adm, int cls)
{
	uint32_t percent = adm->config.reservation_percent[cls];

	return percent == 0 ? 1.0 : percent;
}

/*
 * Expected slot time of a class.  While the class has no sample, the mean of
 * the classes that have one.
 */
static int64_t
class_service_us(const upstream_t *upstream, int cls)
{
	int64_t sum = 0;
	int known = 0;
	int i;

	if (upstream->classes[cls].service_us > 0)
		return upstream->classes[cls].service_us;
	for (i = 0; i < KF_CLASS_COUNT; i++) {
		sum += upstream->classes[i].service_us;
		known += upstream->classes[i].service_us > 0;
	}
	return known > 0 ? sum / known : DEFAULT_SERVICE_US;
}

/*
 * Average number of slots that the class used in about the last
 * SLOT_TIME_WINDOW_US.  Slot time counts less the longer ago it was added.
 */
static double
class_recent_slots(const class_state_t *state, int64_t now_us)
{
	double age = (double)(now_us - state->recent_slot_updated_us) /
	    SLOT_TIME_WINDOW_US;

	return age >= 1
	    ? 0
	    : state->recent_slot_us * (1 - age) / SLOT_TIME_WINDOW_US;
}

static void
class_add_slot_time(class_state_t *state, int64_t now_us, int64_t service_us)
{
	state->recent_slot_us =
	    class_recent_slots(state, now_us) * SLOT_TIME_WINDOW_US +
	    (double)service_us;
	state->recent_slot_updated_us = now_us;
}

static uint32_t
upstream_limit(const upstream_t *upstream)
{
	return (uint32_t)upstream->limit;
}

static bool
upstream_has_slot(const upstream_t *upstream)
{
	return upstream->in_flight < upstream_limit(upstream);
}

static bool
upstream_queue_empty(const upstream_t *upstream)
{
	int cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		if (upstream->classes[cls].queue.count > 0)
			return false;
	}
	return true;
}

static double
class_virtual_start(const upstream_t *upstream, int cls)
{
	double virtual_finish = upstream->classes[cls].virtual_finish;

	return virtual_finish > upstream->virtual_time ? virtual_finish
						       : upstream->virtual_time;
}

static void
take_slot(kf_admission_t *adm, upstream_t *upstream, int cls)
{
	double virtual_start = class_virtual_start(upstream, cls);

	upstream->virtual_time = virtual_start;
	upstream->classes[cls].virtual_finish = virtual_start +
	    (double)class_service_us(upstream, cls) / class_weight(adm, cls);
	upstream->in_flight++;
	upstream->last_progress_us = adm->now_us;
}

/*
 * Slot time that the other classes use while this class uses own_us: for each
 * of them the work in its queue, but at most its fair share.
 */
static double
other_classes_work_us(const kf_admission_t *adm, const upstream_t *upstream,
    int cls, double own_us)
{
	double work_us = 0;
	int i;

	for (i = 0; i < KF_CLASS_COUNT; i++) {
		double queued_us = (double)upstream->classes[i].queue.count *
		    (double)class_service_us(upstream, i);
		double share_us =
		    own_us * class_weight(adm, i) / class_weight(adm, cls);

		if (i != cls)
			work_us += queued_us < share_us ? queued_us : share_us;
	}
	return work_us;
}

/* Number of slots that a class with queued requests has at least. */
static double
class_fair_share(const kf_admission_t *adm, const upstream_t *upstream, int cls)
{
	double weights = 0;
	int i;

	for (i = 0; i < KF_CLASS_COUNT; i++)
		weights += class_weight(adm, i);
	return upstream_limit(upstream) * class_weight(adm, cls) / weights;
}

/*
 * Number of slots available to a class: those that the other classes did not
 * use recently, but at least the fair share of the class.
 */
static double
class_available_slots(
    const kf_admission_t *adm, const upstream_t *upstream, int cls)
{
	double available = upstream_limit(upstream);
	double share = class_fair_share(adm, upstream, cls);
	int i;

	for (i = 0; i < KF_CLASS_COUNT; i++)
		if (i != cls)
			available -= class_recent_slots(
			    &upstream->classes[i], adm->now_us);
	return available > share ? available : share;
}

/*
 * Interval between dispatches of a class while it has queued requests.  The
 * mean follows few dispatches and may be several times too long; the fair
 * share of the class limits it.
 */
static double
class_dispatch_interval_us(
    const kf_admission_t *adm, const upstream_t *upstream, int cls)
{
	double longest_us = (double)class_service_us(upstream, cls) /
	    class_fair_share(adm, upstream, cls);
	double mean_us = (double)upstream->classes[cls].dispatch_interval_us;

	return mean_us < longest_us ? mean_us : longest_us;
}

/*
 * Expected time until a request is answered if `ahead` requests of its class
 * are dispatched before it.  The wait is the longest of three estimates:
 * - from the work in the queues;
 * - from the interval between dispatches of the class, because requests of
 *   other classes that find a free slot are in no queue;
 * - from the slots that the other classes leave free, because no interval is
 *   known when the class starts to wait.
 */
static int64_t
expected_answer_us(const kf_admission_t *adm, const upstream_t *upstream,
    int cls, uint32_t ahead)
{
	double service_us = (double)class_service_us(upstream, cls);
	double stalled_us = (double)(adm->now_us - upstream->last_progress_us);
	double limit = upstream_limit(upstream);
	double wait_by_interval_us =
	    class_dispatch_interval_us(adm, upstream, cls) * (ahead + 1);
	double wait_us, wait_by_free_slots_us;
	double work_us = ahead * service_us +
	    other_classes_work_us(adm, upstream, cls, (ahead + 1) * service_us);
	double first_release_us = service_us / limit;

	/*
	 * If no slot has been taken or released for some time, it is expected
	 * to take the same time again until the next release.
	 */
	if (stalled_us > first_release_us)
		first_release_us = stalled_us;
	wait_us = first_release_us + work_us / limit;
	if (wait_us < wait_by_interval_us)
		wait_us = wait_by_interval_us;
	/* Wait if the class uses only the slots that the others leave. */
	wait_by_free_slots_us = first_release_us +
	    ahead * service_us / class_available_slots(adm, upstream, cls);
	if (wait_us < wait_by_free_slots_us)
		wait_us = wait_by_free_slots_us;
	return (int64_t)(wait_us + service_us);
}

static bool
class_over_reservation(const kf_admission_t *adm, int cls)
{
	return adm->class_bytes[cls] > adm->reserved_bytes[cls];
}

/* Refuses the queued request of the class with the latest deadline. */
static void
displace_last(kf_admission_t *adm, int cls)
{
	upstream_t *displaced_from = NULL;
	int64_t latest_us = INT64_MIN;
	uint32_t i;

	for (i = 0; i < adm->count; i++) {
		const kf_queue_t *queue = &adm->upstreams[i].classes[cls].queue;

		if (queue->count > 0 &&
		    adm->pool.nodes[queue->tail].deadline_us >= latest_us) {
			displaced_from = &adm->upstreams[i];
			latest_us = adm->pool.nodes[queue->tail].deadline_us;
		}
	}
	if (displaced_from != NULL)
		refuse(adm, displaced_from, cls,
		    displaced_from->classes[cls].queue.tail,
		    KF_REASON_OVERLOAD);
}

static uint64_t
free_bytes(const kf_admission_t *adm)
{
	return adm->config.queue_bytes - adm->queue_used_bytes;
}

/*
 * Makes queue memory available for a request of the class, displacing queued
 * requests if necessary.  Returns false, and displaces none, if even that would
 * not be enough.
 */
static bool
make_queue_space(kf_admission_t *adm, int cls, uint64_t needed_bytes)
{
	bool reserved =
	    adm->class_bytes[cls] + needed_bytes <= adm->reserved_bytes[cls];
	/* Requests of this and less urgent classes may be displaced. */
	int first_displaceable = reserved ? 0 : cls + 1;
	uint64_t available = free_bytes(adm);
	int i;

	for (i = first_displaceable; i < KF_CLASS_COUNT; i++) {
		if (i != cls && class_over_reservation(adm, i))
			available +=
			    adm->class_bytes[i] - adm->reserved_bytes[i];
	}
	if (available < needed_bytes)
		return false;
	for (i = KF_CLASS_COUNT - 1; i >= first_displaceable; i--) {
		while (i != cls && free_bytes(adm) < needed_bytes &&
		    class_over_reservation(adm, i))
			displace_last(adm, i);
	}
	return true;
}

static uint32_t
request_charge(uint32_t bytes)
{
	return bytes < KF_ADMISSION_MIN_CHARGE_BYTES
	    ? KF_ADMISSION_MIN_CHARGE_BYTES
	    : bytes;
}

static kf_admit_result_t
enqueue(kf_admission_t *adm, upstream_t *upstream,
    const kf_admission_request_t *request)
{
	kf_queue_t *queue = &upstream->classes[request->cls].queue;
	kf_queue_node_t node = {
		.request = request->request,
		.deadline_us = request->deadline_us,
		.charge_bytes = request_charge(request->bytes),
	};
	kf_queue_place_t place =
	    kf_queue_find_place(&adm->pool, queue, request->deadline_us);
	int64_t left_us = request->deadline_us - adm->now_us;
	int64_t expected_us =
	    expected_answer_us(adm, upstream, request->cls, place.ahead);

	if (expected_us > left_us - (left_us >> ANSWER_MARGIN_SHIFT))
		return KF_ADMIT_REFUSED_DEADLINE;
	if (!make_queue_space(adm, request->cls, node.charge_bytes))
		return KF_ADMIT_REFUSED_OVERLOAD;
	if (queue->count == 0) {
		upstream->classes[request->cls].last_dispatch_us = -1;
		upstream->classes[request->cls].dispatch_interval_us = 0;
	}
	kf_queue_insert(&adm->pool, queue, place, &node);
	adm->queue_used_bytes += node.charge_bytes;
	adm->class_bytes[request->cls] += node.charge_bytes;
	return KF_ADMIT_QUEUED;
}

kf_admit_result_t
kf_admission_offer(
    kf_admission_t *adm, int64_t now_us, const kf_admission_request_t *request)
{
	upstream_t *upstream = upstream_find_active(adm, request->upstream);

	admission_advance_clock(adm, now_us);
	if (upstream == NULL)
		return KF_ADMIT_REFUSED_OVERLOAD;
	if (request->deadline_us <= adm->now_us)
		return KF_ADMIT_REFUSED_DEADLINE;
	upstream_refuse_expired(adm, upstream);
	if (upstream_has_slot(upstream) && upstream_queue_empty(upstream)) {
		take_slot(adm, upstream, request->cls);
		return KF_ADMIT_DISPATCHED;
	}
	return enqueue(adm, upstream, request);
}

static int
next_class(const upstream_t *upstream)
{
	int best = -1;
	int cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		if (upstream->classes[cls].queue.count == 0)
			continue;
		if (best < 0 ||
		    class_virtual_start(upstream, cls) <
			class_virtual_start(upstream, best))
			best = cls;
	}
	return best;
}

static void
add_interval_sample(class_state_t *state, int64_t now_us)
{
	int64_t dispatch_interval_us = now_us - state->last_dispatch_us;

	if (state->last_dispatch_us >= 0 && state->dispatch_interval_us == 0)
		state->dispatch_interval_us = dispatch_interval_us;
	else if (state->last_dispatch_us >= 0)
		state->dispatch_interval_us +=
		    (dispatch_interval_us - state->dispatch_interval_us) /
		    (1 << INTERVAL_EWMA_SHIFT);
	state->last_dispatch_us = now_us;
}

void *
kf_admission_dispatch_next(kf_admission_t *adm, int64_t now_us, uint32_t id)
{
	upstream_t *upstream = upstream_find_active(adm, id);
	int cls;

	admission_advance_clock(adm, now_us);
	if (upstream == NULL)
		return NULL;
	upstream_refuse_expired(adm, upstream);
	if (!upstream_has_slot(upstream))
		return NULL;
	cls = next_class(upstream);
	if (cls < 0)
		return NULL;
	take_slot(adm, upstream, cls);
	add_interval_sample(&upstream->classes[cls], adm->now_us);
	return dequeue(adm, upstream, cls, upstream->classes[cls].queue.head)
	    .request;
}

static void
add_service_sample(class_state_t *state, int64_t service_us)
{
	if (service_us < 1)
		service_us = 1;
	if (service_us > MAX_SERVICE_US)
		service_us = MAX_SERVICE_US;
	if (state->service_us == 0)
		state->service_us = service_us;
	else
		state->service_us += (service_us - state->service_us) /
		    (1 << SERVICE_EWMA_SHIFT);
}

/* Additive increase: one step per interval in which a request is served. */
static void
limit_raise(upstream_t *upstream, int64_t now_us)
{
	double step = upstream->slots / (double)LIMIT_RAISE_DIVISOR;

	if (upstream->limit >= upstream->slots ||
	    now_us - upstream->limit_changed_us < LIMIT_RAISE_INTERVAL_US)
		return;
	upstream->limit += step < 1 ? 1 : step;
	if (upstream->limit > upstream->slots)
		upstream->limit = upstream->slots;
	upstream->limit_changed_us = now_us;
}

void
kf_admission_release(kf_admission_t *adm, int64_t now_us, uint32_t id,
    kf_class_t cls, int64_t service_us)
{
	upstream_t *upstream = upstream_find(adm, id);

	admission_advance_clock(adm, now_us);
	if (upstream == NULL || upstream->in_flight == 0)
		return;
	upstream->in_flight--;
	if (upstream->releases_until_decrease > 0)
		upstream->releases_until_decrease--;
	upstream->last_progress_us = adm->now_us;
	if (service_us >= 0) {
		add_service_sample(&upstream->classes[cls], service_us);
		class_add_slot_time(
		    &upstream->classes[cls], adm->now_us, service_us);
		limit_raise(upstream, adm->now_us);
	}
	if (upstream->removed && upstream->in_flight == 0)
		upstream_erase(adm, upstream);
}

/*
 * Requests in flight at the same time are often shed together.  The limit falls
 * only once for them, as the TCP congestion window does for the losses of one
 * window.
 */
void
kf_admission_on_upstream_shed(kf_admission_t *adm, int64_t now_us, uint32_t id)
{
	upstream_t *upstream = upstream_find(adm, id);

	admission_advance_clock(adm, now_us);
	if (upstream == NULL)
		return;
	upstream->limit_changed_us = adm->now_us;
	if (upstream->releases_until_decrease > 0)
		return;
	upstream->releases_until_decrease = upstream->in_flight;
	upstream->limit = upstream->limit * LIMIT_AFTER_SHED_PERCENT / PERCENT;
	if (upstream->limit < 1)
		upstream->limit = 1;
}

void
kf_admission_tick(kf_admission_t *adm, int64_t now_us)
{
	uint32_t i;

	admission_advance_clock(adm, now_us);
	for (i = 0; i < adm->count; i++)
		upstream_refuse_expired(adm, &adm->upstreams[i]);
}

kf_status_t
kf_admission_load(
    const kf_admission_t *adm, uint32_t id, kf_admission_load_t *load)
{
	const upstream_t *upstream = upstream_find_active(adm, id);
	int cls;

	if (upstream == NULL)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "upstream %u has not been added", id);
	*load = (kf_admission_load_t){
		.slots = upstream->slots,
		.limit = upstream_limit(upstream),
		.in_flight = upstream->in_flight,
	};
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		load->queued[cls] = upstream->classes[cls].queue.count;
		load->service_us[cls] = upstream->classes[cls].service_us;
	}
	return KF_OK;
}

uint64_t
kf_admission_queued_bytes(const kf_admission_t *adm, kf_class_t cls)
{
	return adm->class_bytes[cls];
}

void
kf_admission_on_first_try(kf_admission_t *adm)
{
	adm->retry_balance += adm->config.retry_percent;
	if (adm->retry_balance > RETRY_BALANCE_MAX)
		adm->retry_balance = RETRY_BALANCE_MAX;
}

bool
kf_admission_take_retry(kf_admission_t *adm)
{
	if (adm->retry_balance < RETRY_COST)
		return false;
	adm->retry_balance -= RETRY_COST;
	return true;
}

bool
kf_admission_take_ingress(kf_admission_t *adm, int64_t now_us, kf_class_t cls)
{
	admission_advance_clock(adm, now_us);
	return kf_ingress_take(&adm->ingress, adm->now_us, cls);
}
