#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/confdist.h"
#include "kf/random.h"

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

/*
 * Simulates config distribution in a whole fleet, in virtual time.  One step is
 * one tick of the control core.  Answers of the platform and of peers arrive
 * one step after the request, heartbeats in the step in which they are sent.
 */
enum {
	ZONES = 22,
	SMOKE_ZONES = 3,
	STEP_US = 50000,
	SECOND_US = 1000000,
	HEARTBEAT_US = 500000,
	OBSERVERS = 3,
	SEED_COUNT = 2,
	/*
	 * Start window for fleets whose start in the default window would
	 * exceed the read limit of the platform.
	 */
	LONG_WINDOW_US = 20000000,
	PUBLICATIONS = 5,
	TEXT_BYTES = 32,
	REGION_ZONES = 4, /* availability zones of one region */
	RACKS_PER_ZONE = 18,
	/*
	 * Long enough for the backoff of a zone of 727 VMs to reach its limit
	 * of 73 s.
	 */
	OUTAGE_S = 240,
	SETTLE_S = 20,
	CONVERGE_LIMIT_S = 120,
};

static const sizes_t zone_sizes = {
	.full = { 50, 250, 727 },
	.smoke = { 4, 8, 16 },
};

typedef struct platform_read {
	bool open;
	bool lost; /* platform was unreachable before the answer */
	uint64_t after;
	int64_t answer_us;
	int64_t until_us;
} platform_read_t;

typedef struct peer_read {
	bool open;
	kf_doc_source_t source;
} peer_read_t;

typedef struct sim sim_t;

typedef struct node {
	sim_t *sim;
	uint32_t index;
	uint32_t zone;
	kf_confdist_t *confdist;
	bool dead;
	int64_t heartbeat_us;
	uint32_t observers[OBSERVERS];
	platform_read_t platform[KF_DOC_KINDS];
	peer_read_t peer[KF_DOC_KINDS];
} node_t;

struct sim {
	uint32_t zones;
	uint32_t per_zone;
	uint32_t count;
	node_t *nodes;
	uint32_t **members; /* VM identifiers by zone */
	kf_random_t random;
	int64_t window_us; /* start window given to each VM */
	int64_t now_us;
	uint64_t versions[KF_DOC_KINDS];
	/* Zones 0 to isolated_zones - 1 do not reach the platform. */
	uint32_t isolated_zones;
	bool isolated_from_peers; /* nor do they reach the other zones */
	uint64_t reads;		  /* platform reads in the current second */
	uint64_t read_total;
	uint64_t read_peak; /* highest number of reads in one second */
	uint64_t pulls;
};

static kf_status_t
on_parse(
    void *ctx, kf_doc_kind_t kind, const char *text, size_t len, void **doc)
{
	uint32_t *revision = malloc(sizeof(*revision));

	(void)ctx;
	(void)len;
	if (revision == NULL)
		return KF_ERR_NO_MEMORY;
	*revision =
	    kind == KF_DOC_DECLARATION ? (uint32_t)strtoul(text, NULL, 10) : 0;
	*doc = revision;
	return KF_OK;
}

static void
on_free(void *ctx, kf_doc_kind_t kind, void *doc)
{
	(void)ctx;
	(void)kind;
	free(doc);
}

static uint32_t
on_revision(void *ctx, kf_doc_kind_t kind, const void *doc)
{
	(void)ctx;
	(void)kind;
	return *(const uint32_t *)doc;
}

static bool
is_isolated(const sim_t *sim, const node_t *node)
{
	return node->zone < sim->isolated_zones;
}

static void
on_fetch_platform(
    void *ctx, kf_doc_kind_t kind, uint64_t after_version, uint32_t wait_ms)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;

	sim->reads++;
	node->platform[kind] = (platform_read_t){
		.open = true,
		.lost = is_isolated(sim, node),
		.after = after_version,
		.answer_us = sim->now_us + STEP_US,
		.until_us = sim->now_us + STEP_US + (int64_t)wait_ms * 1000,
	};
}

static void
on_fetch_peer(void *ctx, kf_doc_source_t peer, kf_doc_kind_t kind,
    kf_doc_version_t version)
{
	node_t *node = ctx;

	(void)version;
	node->sim->pulls++;
	node->peer[kind] = (peer_read_t){ .open = true, .source = peer };
}

static void
node_start(node_t *node)
{
	sim_t *sim = node->sim;
	kf_confdist_config_t config = {
		.self = { .vm = node->index + 1, .incarnation = 1 },
		.zone = node->zone + 1,
		.seed = kf_random_next(&sim->random),
		.seed_count = SEED_COUNT,
		.start_window_us = sim->window_us,
		.ops = { .parse = on_parse,
		    .free = on_free,
		    .revision_of = on_revision },
	};
	size_t i;

	node->confdist = corpus_require(kf_confdist_new(&config), "confdist");
	node->heartbeat_us =
	    sim->now_us + kf_random_below(&sim->random, HEARTBEAT_US);
	for (i = 0; i < OBSERVERS; i++)
		node->observers[i] = node->zone * sim->per_zone +
		    kf_random_below(&sim->random, sim->per_zone);
	memset(node->platform, 0, sizeof(node->platform));
	memset(node->peer, 0, sizeof(node->peer));
}

static sim_t *
sim_new(uint32_t zones, uint32_t per_zone, int64_t window_us, uint64_t seed)
{
	sim_t *sim = corpus_require(calloc(1, sizeof(*sim)), "simulation");
	uint32_t i;

	sim->zones = zones;
	sim->per_zone = per_zone;
	sim->window_us = window_us;
	sim->count = zones * per_zone;
	sim->random.state = seed;
	sim->now_us = SECOND_US;
	for (i = 0; i < KF_DOC_KINDS; i++)
		sim->versions[i] = 1;
	sim->nodes =
	    corpus_require(calloc(sim->count, sizeof(node_t)), "nodes");
	sim->members =
	    corpus_require(calloc(zones, sizeof(uint32_t *)), "zones");
	for (i = 0; i < zones; i++)
		sim->members[i] = corpus_require(
		    calloc(per_zone, sizeof(uint32_t)), "members");
	for (i = 0; i < sim->count; i++) {
		sim->members[i / per_zone][i % per_zone] = i + 1;
		sim->nodes[i].sim = sim;
		sim->nodes[i].index = i;
		sim->nodes[i].zone = i / per_zone;
		node_start(&sim->nodes[i]);
	}
	return sim;
}

static void
sim_delete(sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < sim->count; i++)
		kf_confdist_delete(sim->nodes[i].confdist);
	for (i = 0; i < sim->zones; i++)
		free(sim->members[i]);
	free(sim->members);
	free(sim->nodes);
	free(sim);
}

static void
node_deliver_document(
    node_t *node, kf_doc_kind_t kind, kf_doc_source_t source, uint64_t version)
{
	sim_t *sim = node->sim;
	char text[TEXT_BYTES];
	int len = snprintf(
	    text, sizeof(text), "%llu document", (unsigned long long)version);
	kf_doc_result_t result = kf_confdist_on_document(node->confdist,
	    sim->now_us, kind, source, version, text, (size_t)len);

	/* A new VM learns the members of its zone from the VM list. */
	if (kind == KF_DOC_VMS && result == KF_DOC_ACCEPTED)
		kf_confdist_set_zone_members(
		    node->confdist, sim->members[node->zone], sim->per_zone);
}

static void
node_answer_platform_read(node_t *node, kf_doc_kind_t kind)
{
	platform_read_t *read = &node->platform[kind];
	kf_doc_source_t platform = { 0 };
	sim_t *sim = node->sim;

	read->lost = read->lost || is_isolated(sim, node);
	if (!read->open || read->lost || sim->now_us < read->answer_us)
		return;
	if (sim->versions[kind] > read->after) {
		read->open = false;
		node_deliver_document(
		    node, kind, platform, sim->versions[kind]);
	} else if (sim->now_us >= read->until_us) {
		read->open = false;
		kf_confdist_on_unchanged(node->confdist, sim->now_us, kind);
	}
}

static node_t *
source_node(const node_t *node, kf_doc_source_t source)
{
	sim_t *sim = node->sim;
	uint32_t zone;

	if (source.vm != 0)
		return &sim->nodes[source.vm - 1];
	/* Seed 1 is in the same zone, seed 2 in the next one. */
	zone = (node->zone + source.seed - 1) % sim->zones;
	return &sim->nodes[zone * sim->per_zone];
}

static bool
is_partitioned(const sim_t *sim, const node_t *a, const node_t *b)
{
	return sim->isolated_from_peers &&
	    is_isolated(sim, a) != is_isolated(sim, b);
}

static void
node_answer_peer_read(node_t *node, kf_doc_kind_t kind)
{
	peer_read_t *read = &node->peer[kind];
	sim_t *sim = node->sim;
	node_t *peer;
	kf_doc_t doc;

	if (!read->open)
		return;
	peer = source_node(node, read->source);
	/* A dead peer does not answer, and the read times out. */
	if (peer->dead)
		return;
	read->open = false;
	doc = kf_confdist_doc(peer->confdist, kind);
	if (is_partitioned(sim, node, peer) || doc.parsed == NULL)
		kf_confdist_on_fetch_failed(
		    node->confdist, sim->now_us, kind, read->source);
	else
		node_deliver_document(
		    node, kind, read->source, doc.version.platform_version);
}

static void
node_send_versions(node_t *from, uint32_t index)
{
	kf_doc_version_t versions[KF_DOC_KINDS];
	node_t *to = &from->sim->nodes[index];
	int64_t now_us = from->sim->now_us;
	size_t kind;

	if (to == from || to->dead || is_partitioned(from->sim, from, to) ||
	    kf_confdist_doc(to->confdist, KF_DOC_KEYS).parsed == NULL)
		return;
	for (kind = 0; kind < KF_DOC_KINDS; kind++)
		versions[kind] =
		    kf_confdist_doc(from->confdist, (kf_doc_kind_t)kind)
			.version;
	kf_confdist_on_peer_versions(to->confdist, now_us, from->index + 1,
	    versions, kf_confdist_contact_age_ms(from->confdist, now_us));
}

/*
 * Sends to the observers, to one random VM of the same zone and to one of
 * another zone.
 */
static void
node_heartbeat(node_t *node)
{
	sim_t *sim = node->sim;
	uint32_t own = node->zone * sim->per_zone, zone;
	size_t i;

	if (sim->now_us < node->heartbeat_us ||
	    kf_confdist_doc(node->confdist, KF_DOC_KEYS).parsed == NULL)
		return;
	node->heartbeat_us += HEARTBEAT_US;
	for (i = 0; i < OBSERVERS; i++)
		node_send_versions(node, node->observers[i]);
	node_send_versions(
	    node, own + kf_random_below(&sim->random, sim->per_zone));
	zone =
	    (node->zone + 1 + kf_random_below(&sim->random, sim->zones - 1)) %
	    sim->zones;
	node_send_versions(node,
	    zone * sim->per_zone +
		kf_random_below(&sim->random, sim->per_zone));
}

static void
sim_end_second(sim_t *sim)
{
	if (sim->now_us % SECOND_US != 0)
		return;
	sim->read_total += sim->reads;
	if (sim->reads > sim->read_peak)
		sim->read_peak = sim->reads;
	sim->reads = 0;
}

static void
sim_step(sim_t *sim)
{
	uint32_t i, kind;

	sim->now_us += STEP_US;
	for (i = 0; i < sim->count; i++) {
		node_t *node = &sim->nodes[i];
		kf_confdist_actions_t actions = {
			.ctx = node,
			.fetch_platform = on_fetch_platform,
			.fetch_peer = on_fetch_peer,
		};

		if (node->dead)
			continue;
		for (kind = 0; kind < KF_DOC_KINDS; kind++) {
			node_answer_platform_read(node, (kf_doc_kind_t)kind);
			node_answer_peer_read(node, (kf_doc_kind_t)kind);
		}
		kf_confdist_tick(node->confdist, sim->now_us, &actions);
		node_heartbeat(node);
	}
	sim_end_second(sim);
}

static void
sim_reset_reads(sim_t *sim)
{
	sim->read_peak = 0;
	sim->read_total = 0;
}

static void
sim_run(sim_t *sim, int seconds)
{
	int64_t end_us = sim->now_us + (int64_t)seconds * SECOND_US;

	while (sim->now_us < end_us)
		sim_step(sim);
}

static bool
node_is_current(const sim_t *sim, const node_t *node)
{
	kf_doc_t doc = kf_confdist_doc(node->confdist, KF_DOC_DECLARATION);

	return node->dead ||
	    doc.version.platform_version == sim->versions[KF_DOC_DECLARATION];
}

/* Counts the VMs with the newest declaration; dead VMs count as current. */
static uint32_t
sim_count_current(const sim_t *sim)
{
	uint32_t count = 0, i;

	for (i = 0; i < sim->count; i++)
		count += node_is_current(sim, &sim->nodes[i]);
	return count;
}

/*
 * Runs until the newest declaration is in force on all VMs, for at most
 * CONVERGE_LIMIT_S.  Returns the seconds taken.
 */
static double
sim_converge(sim_t *sim)
{
	int64_t start_us = sim->now_us;

	while (sim_count_current(sim) < sim->count &&
	    sim->now_us - start_us < (int64_t)CONVERGE_LIMIT_S * SECOND_US)
		sim_step(sim);
	return (double)(sim->now_us - start_us) / SECOND_US;
}

typedef struct results {
	series_t start_reads, start_s, spread_start_reads, spread_start_s,
	    spread_outage_reads, steady_reads_per_s, slowest_change_s,
	    outage_reads, return_reads, zone, zone_restart_s, rejoin_reads,
	    rejoin_s, rack_loss_s, held_per_vm;
} results_t;

/* Measures the slowest of several publications of a declaration. */
static void
measure_change(sim_t *sim, results_t *r)
{
	double slowest_change_s = 0;
	int i;

	for (i = 0; i < PUBLICATIONS; i++) {
		sim->versions[KF_DOC_DECLARATION]++;
		slowest_change_s = fmax(slowest_change_s, sim_converge(sim));
	}
	series_add(&r->slowest_change_s, sim->count, slowest_change_s);
}

/* Measures reads while the platform is unreachable, and after its return. */
static void
measure_outage(sim_t *sim, results_t *r, int outage_s)
{
	sim->isolated_zones = sim->zones;
	sim_reset_reads(sim);
	sim_run(sim, outage_s);
	series_add(&r->outage_reads, sim->count, (double)sim->read_peak);
	sim->isolated_zones = 0;
	sim_reset_reads(sim);
	sim_run(sim, outage_s);
	series_add(&r->return_reads, sim->count, (double)sim->read_peak);
}

/* Restarts all VMs of the first zone at the same time. */
static void
measure_zone_restart(sim_t *sim, results_t *r)
{
	uint32_t i;

	for (i = 0; i < sim->per_zone; i++) {
		kf_confdist_delete(sim->nodes[i].confdist);
		node_start(&sim->nodes[i]);
	}
	sim_reset_reads(sim);
	series_add(&r->zone_restart_s, sim->count, sim_converge(sim));
	sim_run(sim, SETTLE_S);
	series_add(&r->zone, sim->count, (double)sim->read_peak);
}

/*
 * Publishes a declaration while a region reaches neither the platform nor the
 * other zones, then measures how it rejoins.
 */
static void
measure_region_partition(sim_t *sim, results_t *r, int outage_s)
{
	sim->isolated_zones = REGION_ZONES < sim->zones ? REGION_ZONES : 1;
	sim->isolated_from_peers = true;
	sim_run(sim, outage_s / 2);
	sim->versions[KF_DOC_DECLARATION]++;
	sim_run(sim, outage_s / 2);
	sim->isolated_zones = 0;
	sim->isolated_from_peers = false;
	sim_reset_reads(sim);
	series_add(&r->rejoin_s, sim->count, sim_converge(sim));
	sim_run(sim, SETTLE_S);
	series_add(&r->rejoin_reads, sim->count, (double)sim->read_peak);
}

/*
 * Stops the VMs of one rack of the first zone when half of the fleet has a new
 * declaration, and measures the time until all other VMs have it.
 */
static void
measure_rack_loss(sim_t *sim, results_t *r)
{
	uint32_t lost = sim->per_zone / RACKS_PER_ZONE + 1, i;
	int64_t start_us = sim->now_us;

	sim->versions[KF_DOC_DECLARATION]++;
	while (sim_count_current(sim) < sim->count / 2 &&
	    sim->now_us - start_us < (int64_t)CONVERGE_LIMIT_S * SECOND_US)
		sim_step(sim);
	for (i = 0; i < lost; i++)
		sim->nodes[i].dead = true;
	sim_converge(sim);
	series_add(&r->rack_loss_s, sim->count,
	    (double)(sim->now_us - start_us) / SECOND_US);
}

/* Measures a start of all VMs at the same time, without documents. */
static void
measure_start(sim_t *sim, series_t *reads, series_t *seconds)
{
	int64_t end_us = sim->now_us + LONG_WINDOW_US + SECOND_US;

	series_add(seconds, sim->count, sim_converge(sim));
	while (sim->now_us < end_us)
		sim_step(sim);
	series_add(reads, sim->count, (double)sim->read_peak);
}

/* Measures a start in the long start window, and a platform outage after it. */
static void
measure_spread_start(
    const plan_t *plan, uint32_t zones, uint32_t per_zone, results_t *r)
{
	sim_t *sim = sim_new(zones, per_zone, LONG_WINDOW_US, plan->seed);

	measure_start(sim, &r->spread_start_reads, &r->spread_start_s);
	sim->isolated_zones = zones;
	sim_reset_reads(sim);
	sim_run(sim, plan->smoke ? SETTLE_S / 2 : SETTLE_S);
	series_add(&r->spread_outage_reads, sim->count, (double)sim->read_peak);
	sim_delete(sim);
}

static void
measure_fleet(
    const plan_t *plan, uint32_t zones, uint32_t per_zone, results_t *r)
{
	double before = meter_heap_bytes();
	sim_t *sim = sim_new(zones, per_zone, KF_START_WINDOW_US, plan->seed);
	int outage_s = plan->smoke ? 10 : OUTAGE_S;

	measure_start(sim, &r->start_reads, &r->start_s);
	series_add(&r->held_per_vm, sim->count,
	    (meter_heap_bytes() - before) / sim->count);
	sim_reset_reads(sim);
	sim_run(sim, SETTLE_S);
	series_add(&r->steady_reads_per_s, sim->count,
	    (double)sim->read_total / SETTLE_S);
	measure_change(sim, r);
	measure_zone_restart(sim, r);
	measure_region_partition(sim, r, outage_s);
	measure_outage(sim, r, outage_s);
	measure_rack_loss(sim, r);
	sim_delete(sim);
}

void
measure_distribution(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&zone_sizes, plan);
	uint32_t zones = plan->smoke ? SMOKE_ZONES : ZONES;
	results_t r = {
		.start_reads = { .name = "distribution.start_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.start_s = { .name = "distribution.start",
		    .x = "vms",
		    .y = "s" },
		.spread_start_reads = { .name =
					    "distribution.spread_start_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.spread_start_s = { .name = "distribution.spread_start",
		    .x = "vms",
		    .y = "s" },
		.spread_outage_reads = { .name =
					     "distribution.spread_outage_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.steady_reads_per_s = { .name = "distribution.steady_reads",
		    .x = "vms",
		    .y = "per_s" },
		.slowest_change_s = { .name = "distribution.change",
		    .x = "vms",
		    .y = "s" },
		.outage_reads = { .name = "distribution.outage_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.return_reads = { .name = "distribution.return_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.zone = { .name = "distribution.zone_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.zone_restart_s = { .name = "distribution.zone_restart",
		    .x = "vms",
		    .y = "s" },
		.rejoin_reads = { .name = "distribution.region_reads",
		    .x = "vms",
		    .y = "peak_per_s" },
		.rack_loss_s = { .name = "distribution.rack_lost",
		    .x = "vms",
		    .y = "s" },
		.rejoin_s = { .name = "distribution.region_rejoin",
		    .x = "vms",
		    .y = "s" },
		.held_per_vm = { .name = "distribution.held_per_vm",
		    .x = "vms",
		    .y = "bytes" },
	};
	series_t *all[] = { &r.start_reads, &r.start_s, &r.spread_start_reads,
		&r.spread_start_s, &r.spread_outage_reads,
		&r.steady_reads_per_s, &r.slowest_change_s, &r.zone,
		&r.zone_restart_s, &r.rejoin_reads, &r.rejoin_s,
		&r.outage_reads, &r.return_reads, &r.rack_loss_s,
		&r.held_per_vm };
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		measure_spread_start(plan, zones, size[i], &r);
		measure_fleet(plan, zones, size[i], &r);
	}
	for (i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		series_print(all[i]);
}
