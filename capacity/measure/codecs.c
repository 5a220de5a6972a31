#include <string.h>

#include "kf/call_info.h"
#include "kf/peer_seal.h"
#include "kf/proxy.h"

#include "corpus.h"
#include "measure.h"
#include "meter.h"
#include "series.h"

enum { NOW_S = 1000, CALLER_IP = 0x7f000001 };

static const sizes_t call_sizes = {
	.full = { 10000, 50000, 200000 },
	.smoke = { 10, 20, 40 },
};

typedef struct bench {
	uint32_t calls;
	kf_keyring_t *keys;
	kf_token_t token;
	uint8_t sealed[KF_TOKEN_BYTES];
	uint8_t datagram[1024];
	size_t len;
} bench_t;

static void
token_seal(void *ctx)
{
	bench_t *bench = ctx;
	uint32_t i;

	for (i = 0; i < bench->calls; i++) {
		bench->token.flow = i;
		kf_token_seal(&bench->token, bench->keys, NOW_S, CALLER_IP,
		    bench->sealed);
	}
}

static void
token_open(void *ctx)
{
	bench_t *bench = ctx;
	kf_token_t token;
	uint32_t i;

	for (i = 0; i < bench->calls; i++)
		kf_token_open(bench->sealed, sizeof(bench->sealed), bench->keys,
		    NOW_S, CALLER_IP, &token);
}

/* Parses a caller's PROXY and RPC headers and opens the token, MAC included. */
static void
call_read(void *ctx)
{
	bench_t *bench = ctx;
	kf_rpc_call_t call = { 0 };
	kf_addr_t src, dst;
	kf_token_t token;
	size_t skip;
	uint32_t i;

	for (i = 0; i < bench->calls; i++) {
		if (kf_proxy_parse(bench->datagram, bench->len, &src, &dst,
			&skip) != KF_OK ||
		    kf_rpc_call_parse(bench->datagram + skip, bench->len - skip,
			&call) != KF_OK)
			corpus_require(NULL, "parsed RPC call");
		kf_token_open(call.cred.body, call.cred.len, bench->keys, NOW_S,
		    CALLER_IP, &token);
	}
}

static void
intent_round_trip(void *ctx)
{
	bench_t *bench = ctx;
	kf_peer_msg msg, read;
	uint8_t buf[512];
	uint32_t i;
	size_t len = 0;

	for (i = 0; i < bench->calls; i++) {
		msg = (kf_peer_msg){ .from = { 1, 1 },
			.body.type = KF_PEER_INTENT };
		msg.body.kf_peer_body_u.intent.flow = i;
		if (kf_peer_seal(&msg, bench->keys, NOW_S, buf, sizeof(buf),
			&len) != KF_OK ||
		    kf_peer_open(buf, len, bench->keys, NOW_S, &read) != KF_OK)
			corpus_require(NULL, "peer message");
		kf_peer_free(&read);
	}
	bench->len = len;
}

static double
lease_bytes(kf_keyring_t *keys)
{
	kf_peer_msg msg = { .body.type = KF_PEER_LEASE };
	uint8_t buf[512];
	size_t len = 0;

	kf_peer_seal(&msg, keys, NOW_S, buf, sizeof(buf), &len);
	return (double)len;
}

static void
bench_write_call(bench_t *bench)
{
	static const uint8_t args[64];
	kf_rpc_call_t call = {
		.xid = 1,
		.prog = 0x20001000,
		.vers = 1,
		.proc = 1,
		.cred = { KF_RPC_AUTH_SHORT, KF_TOKEN_BYTES, bench->sealed },
		.args = args,
		.args_len = sizeof(args),
	};
	kf_addr_t addr = { .ip = CALLER_IP, .port = 5000 };

	kf_proxy_write(addr, addr, bench->datagram);
	bench->len = KF_PROXY_HEADER_BYTES +
	    kf_rpc_call_write(&call, bench->datagram + KF_PROXY_HEADER_BYTES,
		sizeof(bench->datagram) - KF_PROXY_HEADER_BYTES);
}

static const struct {
	const char *name;
	meter_fn *run;
} benches[] = {
	{ "codecs.token_seal", token_seal },
	{ "codecs.token_open", token_open },
	{ "codecs.call_read", call_read },
	{ "codecs.intent_seal_open", intent_round_trip },
};

void
measure_codecs(const plan_t *plan)
{
	const uint32_t *size = sizes_of(&call_sizes, plan);
	bench_t bench = { .calls = 1, .token.expiry_s = 1000000 };
	size_t b, i;

	bench.keys = corpus_keys();
	token_seal(&bench);
	bench_write_call(&bench);
	for (b = 0; b < sizeof(benches) / sizeof(benches[0]); b++) {
		series_t time = {
			.name = benches[b].name, .x = "calls", .y = "ns"
		};

		for (i = 0; i < MEASURE_SIZES && size[i] != 0; i++) {
			bench.calls = size[i];
			series_add(&time, size[i],
			    meter_median_ns(benches[b].run, &bench));
		}
		series_print(&time);
	}
	series_print_figure("codecs.token", "bytes", KF_TOKEN_BYTES);
	series_print_figure("codecs.intent", "bytes", (double)bench.len);
	series_print_figure("codecs.lease", "bytes", lease_bytes(bench.keys));
	kf_keyring_delete(bench.keys);
}
