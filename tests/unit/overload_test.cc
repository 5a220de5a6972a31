#include <gtest/gtest.h>

#include "support/overload_world.h"

namespace {

using kf_test::Outcomes;
using kf_test::OverloadConfig;
using kf_test::OverloadWorld;

double
WorstZone(const OverloadWorld &world, int cls)
{
	double worst = 1;

	for (const Outcomes &o : world.outcomes[cls])
		worst = std::min(worst, o.Served());
	return worst;
}

/* Replays the load, and checks the share of the requests of each class that is
 * answered in time, over all zones and in the worst one. */
void
Replay(const char *name, const OverloadConfig &config, double urgent,
    double safe, double worst_safe, int max_rejections)
{
	OverloadWorld world(config);

	for (int cls = 0; cls < 2; cls++) {
		Outcomes o = world.Sum(cls);

		printf("load=%s class=%s offered=%d in_time=%d late=%d "
		       "refused=%d rejected=%d worst_zone=%.3f\n",
		    name, cls == 0 ? "urgent" : "safe", o.offered, o.in_time,
		    o.late, o.refused, o.rejected, WorstZone(world, cls));
		EXPECT_GE(o.Served(), cls == 0 ? urgent : safe) << name;
	}
	printf("load=%s upstream_rejections=%d\n", name,
	    world.upstream_rejections);
	EXPECT_GE(WorstZone(world, 1), worst_safe) << name;
	EXPECT_LE(world.upstream_rejections, max_rejections) << name;
}

/* Guards against sound upstreams that are ejected for their rejections, and
 * against slots that are idle while requests are refused. */
TEST(Overload, FloodOnLongFlows)
{
	Replay("long_flows", {}, 0.999, 0.965, 0.96, 5000);
}

TEST(Overload, FloodOfShortFlows)
{
	OverloadConfig config;

	config.flow_us = 1;
	config.flood = { 3500, 3500, 3500 };
	Replay("short_flows", config, 0.995, 0.60, 0.60, 7000);
}

/* Guards against a limit that is reached by chance where few VMs share it. */
TEST(Overload, FloodAtFewVms)
{
	OverloadConfig config;

	config.vms = 6;
	Replay("few_vms", config, 0.999, 0.93, 0.92, 4000);
}

/* Guards against less urgent requests that fill a third of the upstreams, which
 * is 5 times slower. */
TEST(Overload, FloodWhileUpstreamsAreSlow)
{
	OverloadConfig config;

	config.slow_upstreams = 40;
	Replay("slow_upstreams", config, 0.88, 0.70, 0.69, 9000);
}

/* Guards against upstreams of a full zone that reject requests while those of
 * other zones are idle. */
TEST(Overload, FloodInOneZone)
{
	OverloadConfig config;

	config.flood = { 4500, 900, 900 };
	Replay("one_zone", config, 0.995, 0.92, 0.89, 8000);
}

/* Guards against requests that wait beyond their goal because each takes more
 * than a third of it. */
TEST(Overload, FloodOfLongRequests)
{
	OverloadConfig config;

	config.service_us = 150000;
	config.urgent = 100;
	config.safe = 300;
	config.flood = { 900, 900, 900 };
	Replay("long_requests", config, 0.50, 0.29, 0.22, 1500);
}

/* Sends a SYN of a client, or a copy; returns true if it is not refused. */
bool
Syn(kf_test::ForwarderHarness *vm, uint16_t client, uint16_t port,
    uint32_t copies)
{
	kf_packet_t packet = kf_test::MakePacket(client, port);
	size_t resets = vm->resets.size();

	packet.syn = true;
	packet.acknowledged = copies;
	vm->Packet(packet);
	return vm->resets.size() == resets;
}

void
Exchange(kf_test::ForwarderHarness *vm, int first, int count, uint32_t payload,
    uint32_t acknowledged)
{
	for (int i = first; i < first + count; i++) {
		kf_packet_t packet = kf_test::MakePacket((uint16_t)i, 80);

		packet.token = kf_token_of(1);
		packet.payload_bytes = payload;
		packet.acknowledged = acknowledged;
		vm->Packet(packet);
	}
}

/* Guards against a lower limit at little load because clients acknowledge their
 * answers late, at times that differ much. */
TEST(Overload, LateAcknowledgementsDoNotLowerTheLimit)
{
	const int64_t late_us[] = { 20000, 20000, 500000, 20000, 700000 };

	for (bool late : { false, true }) {
		kf_test::ForwarderHarness vm("a");
		kf_pool_t *pool;

		kf_route_t route = kf_test::MakeRoute(80, { { "s", 1 } });
		route.latency_goal_us = 400000;
		vm.SetRoutes(1, { route });
		vm.Put(kf_test::MakeUpstream(1, "u", "s", "a", 8));
		for (int client = 1; client <= 40; client++) {
			EXPECT_TRUE(Syn(&vm, (uint16_t)client, 80, 0));
			Exchange(&vm, client, 1, 100, 0);
			vm.Run(late ? late_us[client % 5] : 180000);
			Exchange(&vm, client, 1, 0, 2000);
		}
		EXPECT_TRUE(Syn(&vm, 100, 80, 0));
		pool = kf_directory_pool(
		    kf_forwarder_directory(vm.forwarder), kf_name_key("s"));
		EXPECT_EQ(late, pool->load.flows_per_slot == 3.0) << late;
	}
}

/* Guards against a service near its limit that serves clients which can only be
 * answered late, and refuses them while it has little load. */
TEST(Overload, ClientsPastTheirGoalAreRefusedFirst)
{
	kf_test::ForwarderHarness vm("a");
	std::vector<kf_route_t> routes = { kf_test::MakeRoute(
					       80, { { "s", 1 } }),
		kf_test::MakeRoute(81, { { "s", 1 } }) };

	routes[1].priority = 1;
	for (kf_route_t &route : routes)
		route.latency_goal_us = 400000;
	vm.SetRoutes(1, routes);
	vm.Put(kf_test::MakeUpstream(1, "u", "s", "a", 80));
	for (uint16_t client = 1; client <= 60; client++)
		EXPECT_TRUE(Syn(&vm, client, 80, 0));
	Exchange(&vm, 1, 60, 100, 0);
	vm.Run(30000);
	Exchange(&vm, 1, 60, 0, 2000);
	vm.Run(3000000);
	for (uint16_t client = 101; client <= 250; client++)
		EXPECT_TRUE(Syn(&vm, client, 80, 0));
	EXPECT_TRUE(Syn(&vm, 400, 81, 2)) << "at little load";
	Exchange(&vm, 101, 150, 100, 0);
	vm.Run(900000);
	EXPECT_TRUE(Syn(&vm, 401, 81, 0));
	EXPECT_TRUE(Syn(&vm, 402, 81, 1));
	EXPECT_FALSE(Syn(&vm, 403, 81, 2));
}

} // namespace
