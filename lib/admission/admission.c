#include <stdlib.h>
#include <string.h>

#include "ingress.h"
#include "kf/admission.h"
#include "queue.h"

enum {
	PERCENT = 100,
	EWMA_SHIFT = 3, /* a sample weighs 1/8 */
	/* Intervals vary as much as their mean; 1/16 halves the noise. */
	INTERVAL_SHIFT = 4,

	/* Slot time charged to a class before its first sample. */
	DEFAULT_SERVICE_US = 1000,
	MAX_SERVICE_US = 60000000,

	/*
	 * Part of the time left that the expected answer must leave unused
	 * (1/8).  Without it a queue held at its bound dispatches about half
	 * of its requests too late, because service times vary.
	 */
	MARGIN_SHIFT = 3,

	/*
	 * A limit falls to 70 %.  Upstreams have 2 or 3 slots; halving would
	 * take more than one slot at once.
	 */
	SHED_PERCENT = 70,
	GROW_INTERVAL_US = 1000000,
	GROW_FRACTION = 16, /* of the slots in one step, at least one slot */

	/* Slot time used longer ago counts for less and less. */
	USED_WINDOW_US = 1000000,

	/* Retries saved up at most, in hundredths. */
	RETRY_COST = 100,
	RETRY_MAX = 100 * RETRY_COST,

	/* Bounds the node pool, which is allocated at once. */
	MAX_NODES = 1 << 24,
};

typedef struct class_state {
	kf_queue_t queue;
	double finish; /* virtual time */
	int64_t service_us;
	int64_t dispatched_us; /* last, since the queue filled; -1: none */
	int64_t interval_us;   /* between dispatches; 0: not known */
	double used_us;	       /* slot time of late, see class_used_slots */
	int64_t used_at_us;    /* when used_us was true */
} class_state_t;

typedef struct upstream {
	uint32_t id;
	uint32_t slots;
	uint32_t in_flight;
	bool removed; /* kept until its requests are released */
	double limit;
	int64_t limit_changed_us;
	uint32_t shed_guard;
	int64_t progress_us; /* last dispatch or release */
	double vtime;
	class_state_t classes[KF_CLASS_COUNT];
} upstream_t;

struct kf_admission {
	kf_admission_config_t config;
	int64_t now_us;
	uint32_t count;
	upstream_t *upstreams; /* ordered by id */
	kf_queue_pool_t pool;
	uint64_t used_bytes;
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
		return kf_status_set(KF_ERR_INVALID, "max_upstreams is 0");
	if (config->queue_bytes < KF_ADMISSION_MIN_CHARGE_BYTES ||
	    config->queue_bytes / KF_ADMISSION_MIN_CHARGE_BYTES > MAX_NODES)
		return kf_status_set(
		    KF_ERR_INVALID, "queue_bytes is out of range");
	if (!percents_valid(config->reservation_percent))
		return kf_status_set(
		    KF_ERR_INVALID, "reservations exceed 100 percent");
	if (!percents_valid(config->ingress_percent))
		return kf_status_set(
		    KF_ERR_INVALID, "ingress shares exceed 100 percent");
	if (config->retry_percent > PERCENT)
		return kf_status_set(
		    KF_ERR_INVALID, "retry_percent exceeds 100");
	if (config->ingress_pps > KF_INGRESS_MAX_PPS)
		return kf_status_set(
		    KF_ERR_INVALID, "ingress_pps is out of range");
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
	kf_status_set(KF_ERR_NO_MEMORY, "no memory for admission queues");
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

/* Position of the first upstream whose id is not less. */
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
upstream_active(const kf_admission_t *adm, uint32_t id)
{
	upstream_t *upstream = upstream_find(adm, id);

	return upstream == NULL || upstream->removed ? NULL : upstream;
}

/* Pointers to upstreams are valid until the next addition or removal. */
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
upstream_drop(kf_admission_t *adm, upstream_t *upstream)
{
	size_t at = (size_t)(upstream - adm->upstreams);

	adm->count--;
	memmove(upstream, upstream + 1,
	    (adm->count - at) * sizeof(*adm->upstreams));
}

static void
upstream_resume(upstream_t *upstream, int64_t now_us)
{
	int cls;

	upstream->progress_us = now_us;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		if (upstream->classes[cls].dispatched_us >= 0)
			upstream->classes[cls].dispatched_us = now_us;
	}
}

/*
 * Moves the clock.  After a pause of the process the time without a release
 * says nothing about the upstreams, so it is counted anew.
 */
static void
admission_advance(kf_admission_t *adm, int64_t now_us)
{
	uint32_t i;

	if (now_us <= adm->now_us)
		return;
	if (now_us - adm->now_us > KF_ADMISSION_PAUSE_US) {
		for (i = 0; i < adm->count; i++)
			upstream_resume(&adm->upstreams[i], now_us);
	}
	adm->now_us = now_us;
}

kf_status_t
kf_admission_set_upstream(
    kf_admission_t *adm, int64_t now_us, uint32_t id, uint32_t slots)
{
	upstream_t *upstream;

	admission_advance(adm, now_us);
	if (slots == 0)
		return kf_status_set(
		    KF_ERR_INVALID, "upstream %u has no slots", id);
	upstream = upstream_find(adm, id);
	if (upstream == NULL) {
		if (adm->count == adm->config.max_upstreams)
			return kf_status_set(
			    KF_ERR_FULL, "more than %u upstreams", adm->count);
		upstream = upstream_add(adm, id);
	}
	/* A limit lowered by shedding is kept; one at its maximum follows. */
	if (upstream->removed || upstream->limit >= upstream->slots ||
	    upstream->limit > slots)
		upstream->limit = slots;
	if (upstream->removed)
		upstream->progress_us = adm->now_us;
	upstream->removed = false;
	upstream->slots = slots;
	return KF_OK;
}

static kf_queue_node_t
queue_take(kf_admission_t *adm, upstream_t *upstream, int cls, uint32_t index)
{
	kf_queue_node_t node;

	node = kf_queue_take(&adm->pool, &upstream->classes[cls].queue, index);
	adm->used_bytes -= node.charge_bytes;
	adm->class_bytes[cls] -= node.charge_bytes;
	return node;
}

static void
refuse(kf_admission_t *adm, upstream_t *upstream, int cls, uint32_t index,
    kf_reason_t reason)
{
	kf_queue_node_t node = queue_take(adm, upstream, cls, index);

	adm->config.on_refused(adm->config.ctx, node.request, reason);
}

static void
upstream_expire(kf_admission_t *adm, upstream_t *upstream)
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
	upstream_t *upstream = upstream_active(adm, id);
	int cls;

	if (upstream == NULL)
		return;
	upstream->removed = true;
	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		const kf_queue_t *queue = &upstream->classes[cls].queue;

		while (queue->count > 0) {
			kf_queue_node_t node =
			    queue_take(adm, upstream, cls, queue->head);

			on_removed(ctx, node.request);
		}
	}
	if (upstream->in_flight == 0)
		upstream_drop(adm, upstream);
}

/* A reservation of 0 still gets a small weight: no class starves. */
static double
class_weight(const kf_admission_t *adm, int cls)
{
	uint32_t percent = adm->config.reservation_percent[cls];

	return percent == 0 ? 1.0 : percent;
}

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

/* Slots a class has kept busy of late, on average. */
static double
class_used_slots(const class_state_t *state, int64_t now_us)
{
	double age = (double)(now_us - state->used_at_us) / USED_WINDOW_US;

	return age >= 1 ? 0 : state->used_us * (1 - age) / USED_WINDOW_US;
}

static void
class_use(class_state_t *state, int64_t now_us, int64_t service_us)
{
	state->used_us = class_used_slots(state, now_us) * USED_WINDOW_US +
	    (double)service_us;
	state->used_at_us = now_us;
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
class_start(const upstream_t *upstream, int cls)
{
	double finish = upstream->classes[cls].finish;

	return finish > upstream->vtime ? finish : upstream->vtime;
}

static void
take_slot(kf_admission_t *adm, upstream_t *upstream, int cls)
{
	double start = class_start(upstream, cls);

	upstream->vtime = start;
	upstream->classes[cls].finish = start +
	    (double)class_service_us(upstream, cls) / class_weight(adm, cls);
	upstream->in_flight++;
	upstream->progress_us = adm->now_us;
}

/*
 * Slot time the other classes take while the requests up to and including
 * this one are served: their queues, or their fair share if that is less.
 */
static double
other_work_us(const kf_admission_t *adm, const upstream_t *upstream, int cls,
    double own_us)
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

/*
 * Slots left to a class by what the others use without waiting, but at least
 * its fair share.
 */
static double
class_available_slots(
    const kf_admission_t *adm, const upstream_t *upstream, int cls)
{
	double limit = upstream_limit(upstream);
	double weights = 0, available = limit, share;
	int i;

	for (i = 0; i < KF_CLASS_COUNT; i++) {
		weights += class_weight(adm, i);
		if (i != cls)
			available -= class_used_slots(
			    &upstream->classes[i], adm->now_us);
	}
	share = limit * class_weight(adm, cls) / weights;
	return available > share ? available : share;
}

/*
 * Expected time until the answer of a request with `ahead` of its class.
 * The queues alone promise too much to a class that shares the upstream with
 * requests that never have to wait; the dispatches seen since the class has
 * been waiting correct that.
 */
static int64_t
expected_answer_us(const kf_admission_t *adm, const upstream_t *upstream,
    int cls, uint32_t ahead)
{
	double service_us = (double)class_service_us(upstream, cls);
	double stalled_us = (double)(adm->now_us - upstream->progress_us);
	double limit = upstream_limit(upstream);
	double seen_us =
	    (double)upstream->classes[cls].interval_us * (ahead + 1);
	double wait_us, left_us;
	double work_us = ahead * service_us +
	    other_work_us(adm, upstream, cls, (ahead + 1) * service_us);
	double first_us = service_us / limit;

	/* Slots that have not moved for a while are expected to stay so. */
	if (stalled_us > first_us)
		first_us = stalled_us;
	wait_us = first_us + work_us / limit;
	if (wait_us < seen_us)
		wait_us = seen_us;
	/* Known from the start of a flood, before any pace is seen. */
	left_us = first_us +
	    ahead * service_us / class_available_slots(adm, upstream, cls);
	if (wait_us < left_us)
		wait_us = left_us;
	return (int64_t)(wait_us + service_us);
}

static bool
class_over_reservation(const kf_admission_t *adm, int cls)
{
	return adm->class_bytes[cls] > adm->reserved_bytes[cls];
}

/* The request of the class that would be served last, on any upstream. */
static void
displace_last(kf_admission_t *adm, int cls)
{
	upstream_t *victim = NULL;
	int64_t latest_us = INT64_MIN;
	uint32_t i;

	for (i = 0; i < adm->count; i++) {
		const kf_queue_t *queue = &adm->upstreams[i].classes[cls].queue;

		if (queue->count > 0 &&
		    adm->pool.nodes[queue->tail].deadline_us >= latest_us) {
			victim = &adm->upstreams[i];
			latest_us = adm->pool.nodes[queue->tail].deadline_us;
		}
	}
	if (victim != NULL)
		refuse(adm, victim, cls, victim->classes[cls].queue.tail,
		    KF_REASON_OVERLOAD);
}

static uint64_t
free_bytes(const kf_admission_t *adm)
{
	return adm->config.queue_bytes - adm->used_bytes;
}

/*
 * Makes room for charge bytes of the class, displacing others if need be.
 * Checks first that displacing suffices, so that none is refused in vain.
 */
static bool
make_room(kf_admission_t *adm, int cls, uint64_t charge)
{
	bool reserved =
	    adm->class_bytes[cls] + charge <= adm->reserved_bytes[cls];
	/* Classes from this one on may be displaced. */
	int first = reserved ? 0 : cls + 1;
	uint64_t available = free_bytes(adm);
	int i;

	for (i = first; i < KF_CLASS_COUNT; i++) {
		if (i != cls && class_over_reservation(adm, i))
			available +=
			    adm->class_bytes[i] - adm->reserved_bytes[i];
	}
	if (available < charge)
		return false;
	for (i = KF_CLASS_COUNT - 1; i >= first; i--) {
		while (i != cls && free_bytes(adm) < charge &&
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

static kf_admit_t
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
	    kf_queue_find(&adm->pool, queue, request->deadline_us);
	int64_t left_us = request->deadline_us - adm->now_us;
	int64_t expected_us =
	    expected_answer_us(adm, upstream, request->cls, place.ahead);

	if (expected_us > left_us - (left_us >> MARGIN_SHIFT))
		return KF_ADMIT_DEADLINE;
	if (!make_room(adm, request->cls, node.charge_bytes))
		return KF_ADMIT_OVERLOAD;
	if (queue->count == 0) {
		upstream->classes[request->cls].dispatched_us = -1;
		upstream->classes[request->cls].interval_us = 0;
	}
	kf_queue_insert(&adm->pool, queue, place, &node);
	adm->used_bytes += node.charge_bytes;
	adm->class_bytes[request->cls] += node.charge_bytes;
	return KF_ADMIT_QUEUED;
}

kf_admit_t
kf_admission_offer(
    kf_admission_t *adm, int64_t now_us, const kf_admission_request_t *request)
{
	upstream_t *upstream = upstream_active(adm, request->upstream);

	admission_advance(adm, now_us);
	if (upstream == NULL)
		return KF_ADMIT_OVERLOAD;
	if (request->deadline_us <= adm->now_us)
		return KF_ADMIT_DEADLINE;
	upstream_expire(adm, upstream);
	if (upstream_has_slot(upstream) && upstream_queue_empty(upstream)) {
		take_slot(adm, upstream, request->cls);
		return KF_ADMIT_DISPATCH;
	}
	return enqueue(adm, upstream, request);
}

static int
class_next(const upstream_t *upstream)
{
	int best = -1;
	int cls;

	for (cls = 0; cls < KF_CLASS_COUNT; cls++) {
		if (upstream->classes[cls].queue.count == 0)
			continue;
		if (best < 0 ||
		    class_start(upstream, cls) < class_start(upstream, best))
			best = cls;
	}
	return best;
}

static void
interval_sample(class_state_t *state, int64_t now_us)
{
	int64_t interval_us = now_us - state->dispatched_us;

	if (state->dispatched_us >= 0 && state->interval_us == 0)
		state->interval_us = interval_us;
	else if (state->dispatched_us >= 0)
		state->interval_us +=
		    (interval_us - state->interval_us) / (1 << INTERVAL_SHIFT);
	state->dispatched_us = now_us;
}

void *
kf_admission_next(kf_admission_t *adm, int64_t now_us, uint32_t id)
{
	upstream_t *upstream = upstream_active(adm, id);
	int cls;

	admission_advance(adm, now_us);
	if (upstream == NULL)
		return NULL;
	upstream_expire(adm, upstream);
	if (!upstream_has_slot(upstream))
		return NULL;
	cls = class_next(upstream);
	if (cls < 0)
		return NULL;
	take_slot(adm, upstream, cls);
	interval_sample(&upstream->classes[cls], adm->now_us);
	return queue_take(adm, upstream, cls, upstream->classes[cls].queue.head)
	    .request;
}

static void
service_sample(class_state_t *state, int64_t service_us)
{
	if (service_us < 1)
		service_us = 1;
	if (service_us > MAX_SERVICE_US)
		service_us = MAX_SERVICE_US;
	if (state->service_us == 0)
		state->service_us = service_us;
	else
		state->service_us +=
		    (service_us - state->service_us) / (1 << EWMA_SHIFT);
}

/* Additive increase: one step per interval in which requests were served. */
static void
limit_grow(upstream_t *upstream, int64_t now_us)
{
	double step = upstream->slots / (double)GROW_FRACTION;

	if (upstream->limit >= upstream->slots ||
	    now_us - upstream->limit_changed_us < GROW_INTERVAL_US)
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

	admission_advance(adm, now_us);
	if (upstream == NULL || upstream->in_flight == 0)
		return;
	upstream->in_flight--;
	if (upstream->shed_guard > 0)
		upstream->shed_guard--;
	upstream->progress_us = adm->now_us;
	if (service_us >= 0) {
		service_sample(&upstream->classes[cls], service_us);
		class_use(&upstream->classes[cls], adm->now_us, service_us);
		limit_grow(upstream, adm->now_us);
	}
	if (upstream->removed && upstream->in_flight == 0)
		upstream_drop(adm, upstream);
}

/*
 * Requests that were in flight together are shed together; they count as
 * one decrease, as losses of one window do in TCP.
 */
void
kf_admission_shed(kf_admission_t *adm, int64_t now_us, uint32_t id)
{
	upstream_t *upstream = upstream_find(adm, id);

	admission_advance(adm, now_us);
	if (upstream == NULL)
		return;
	upstream->limit_changed_us = adm->now_us;
	if (upstream->shed_guard > 0)
		return;
	upstream->shed_guard = upstream->in_flight;
	upstream->limit = upstream->limit * SHED_PERCENT / PERCENT;
	if (upstream->limit < 1)
		upstream->limit = 1;
}

void
kf_admission_tick(kf_admission_t *adm, int64_t now_us)
{
	uint32_t i;

	admission_advance(adm, now_us);
	for (i = 0; i < adm->count; i++)
		upstream_expire(adm, &adm->upstreams[i]);
}

kf_status_t
kf_admission_load(
    const kf_admission_t *adm, uint32_t id, kf_admission_load_t *load)
{
	const upstream_t *upstream = upstream_active(adm, id);
	int cls;

	if (upstream == NULL)
		return kf_status_set(
		    KF_ERR_NOT_FOUND, "upstream %u is not set", id);
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
kf_admission_first_try(kf_admission_t *adm)
{
	adm->retry_balance += adm->config.retry_percent;
	if (adm->retry_balance > RETRY_MAX)
		adm->retry_balance = RETRY_MAX;
}

bool
kf_admission_retry_allowed(kf_admission_t *adm)
{
	if (adm->retry_balance < RETRY_COST)
		return false;
	adm->retry_balance -= RETRY_COST;
	return true;
}

bool
kf_admission_ingress(kf_admission_t *adm, int64_t now_us, kf_class_t cls)
{
	admission_advance(adm, now_us);
	return kf_ingress_take(&adm->ingress, adm->now_us, cls);
}
