#include <stdlib.h>

#include "kf/flow.h"

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

enum {
	IDLE_US = 600000000,
	REPLY_BYTES = 64 * 1024 * 1024,
	REPLY_LEN = 64,
};

static const sizes_t flow_sizes = {
	.full = { 100000, 1000000, 4000000 },
	.smoke = { 100, 200, 400 },
};

typedef struct flow_load {
	kf_flow_table_t *table;
	uint32_t flows;
	uint32_t generation;
	int64_t now_us;
} flow_load_t;

static void
flow_load_run(void *ctx)
{
	static const uint8_t answer[REPLY_LEN];
	flow_load_t *flow_load = ctx;
	const uint8_t *reply;
	uint32_t i;
	size_t len;

	flow_load->generation++;
	flow_load->now_us += 1000;
	for (i = 0; i < flow_load->flows; i++) {
		kf_request_id_t id = {
			.flow = (i + 1) * 0x9e3779b97f4a7c15,
			.xid = flow_load->generation,
			.generation = flow_load->generation,
		};

		kf_flow_begin(
		    flow_load->table, flow_load->now_us, &id, &reply, &len);
		kf_flow_finish(flow_load->table, flow_load->now_us, &id,
		    KF_ANSWERED, KF_REASON_NONE, answer, sizeof(answer));
	}
}

void
measure_flows(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&flow_sizes, plan);
	series_t bytes = {
		.name = "flows.records", .x = "flows", .y = "bytes"
	};
	series_t time = {
		.name = "flows.begin_finish", .x = "flows", .y = "ns"
	};
	size_t i;

	for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
		kf_flow_limits_t limits = {
			.max_flows = size[i],
			.max_reply_bytes = REPLY_BYTES,
			.idle_expiry_us = IDLE_US,
			.reply_expiry_us = IDLE_US,
		};
		flow_load_t flow_load = { .flows = size[i] };

		flow_load.table =
		    corpus_require(kf_flow_table_new(&limits), "flows");
		/* Not timed, because the first writes cause page faults. */
		flow_load_run(&flow_load);
		series_add(&time, size[i],
		    meter_median_ns(flow_load_run, &flow_load) / size[i]);
		series_add(&bytes, size[i],
		    (double)kf_flow_table_stats(flow_load.table).memory_bytes);
		kf_flow_table_delete(flow_load.table);
	}
	series_print(&bytes);
	series_print(&time);
}
