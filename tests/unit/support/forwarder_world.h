#ifndef KF_TEST_FORWARDER_WORLD_H
#define KF_TEST_FORWARDER_WORLD_H

#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kf/forwarder.h"

/*
 * A forwarder that runs on virtual time.  The packets that it sends and the
 * decisions that it records are kept both as values and as text.
 */
namespace kf_test {

struct Sent {
	uint64_t upstream;
	uint64_t service;
	uint32_t token;
};

class ForwarderHarness {
      public:
	explicit ForwarderHarness(const std::string &zone)
	{
		kf_forwarder_callbacks_t callbacks = {};

		callbacks.ctx = this;
		callbacks.send = OnSend;
		callbacks.reset = OnReset;
		callbacks.record_ctx = this;
		callbacks.record = OnRecord;
		forwarder =
		    kf_forwarder_new(kf_name_key(zone.c_str()), &callbacks);
		kf_forwarder_set_dead_after(forwarder, 250000);
	}
	~ForwarderHarness()
	{
		kf_forwarder_delete(forwarder);
	}
	ForwarderHarness(const ForwarderHarness &) = delete;
	ForwarderHarness &operator=(const ForwarderHarness &) = delete;

	kf_change_t Put(const kf_upstream_info_t &info)
	{
		kf_change_t change = KF_CHANGE_NONE;

		EXPECT_EQ(KF_OK,
		    kf_directory_put(kf_forwarder_directory(forwarder), &info,
			now_us, &change));
		return change;
	}
	kf_change_t PutBackup(const kf_upstream_info_t &info)
	{
		kf_change_t change = KF_CHANGE_NONE;

		EXPECT_EQ(KF_OK,
		    kf_directory_put_backup(kf_forwarder_directory(forwarder),
			&info, now_us, &change));
		return change;
	}
	kf_change_t Remove(uint64_t id, bool lapsed)
	{
		return kf_directory_remove(
		    kf_forwarder_directory(forwarder), id, lapsed, now_us);
	}
	kf_status_t SetRoutes(
	    uint64_t version, const std::vector<kf_route_t> &routes)
	{
		kf_route_table_t *table =
		    kf_route_table_new(version, 15000000, routes.data(),
			routes.size(), kf_forwarder_routes(forwarder));

		return table == nullptr
		    ? KF_ERR_INVALID
		    : kf_forwarder_set_routes(forwarder, table);
	}
	/* The datagram is all zero; the forwarder reads only packet. */
	void Packet(const kf_packet_t &packet)
	{
		uint8_t datagram[32] = {};

		kf_forwarder_packet(
		    forwarder, now_us, &packet, datagram, sizeof(datagram));
	}
	void Run(int64_t us)
	{
		int64_t end_us = now_us + us;

		for (;;) {
			int64_t due_us = kf_forwarder_tick(forwarder, now_us);

			if (due_us >= end_us)
				break;
			now_us = std::max(now_us, due_us);
		}
		now_us = end_us;
		kf_forwarder_tick(forwarder, now_us);
	}

	/* Runs with probes, which all upstreams accept after 2 ms, but those
	 * in unreachable; these fail after 100 ms. */
	void RunProbing(int64_t us)
	{
		for (int64_t end_us = now_us + us; now_us < end_us;) {
			Run(std::min<int64_t>(2000, end_us - now_us));
			EndProbes();
			BeginProbes();
		}
		kf_forwarder_tick(forwarder, now_us);
	}

	kf_forwarder_t *forwarder;
	std::set<uint32_t> unreachable; /* tokens */
	int64_t now_us = 1000000;
	std::vector<Sent> sent;
	std::vector<kf_packet_t> resets;
	std::map<kf_forward_event_t, int> events;
	std::string log;
	/* Formats a client for the log; its address and port by default. */
	std::function<std::string(kf_addr_t)> client_name = AddrText;

      private:
	void BeginProbes()
	{
		kf_probe_t probes[16];
		size_t count = kf_forwarder_take_probes(
		    forwarder, now_us, probes, 16 - probes_.size());

		for (size_t i = 0; i < count; i++)
			probes_.emplace_back(now_us, probes[i].token);
	}
	void EndProbes()
	{
		for (auto it = probes_.begin(); it != probes_.end();) {
			bool accepted = unreachable.count(it->second) == 0;

			if (!accepted &&
			    now_us - it->first < KF_DEAD_PROBE_TIMEOUT_US) {
				++it;
				continue;
			}
			kf_forwarder_probe_result(
			    forwarder, it->second, accepted, now_us);
			it = probes_.erase(it);
		}
	}

	std::vector<std::pair<int64_t, uint32_t>> probes_; /* sent, token */

	static std::string AddrText(kf_addr_t addr)
	{
		char text[KF_ADDR_TEXT_BYTES];

		return kf_addr_format(addr, text);
	}
	static void OnSend(void *ctx, const kf_upstream_info_t *upstream,
	    uint32_t token, const uint8_t *, size_t)
	{
		auto *w = static_cast<ForwarderHarness *>(ctx);

		w->sent.push_back({ upstream->id, upstream->service, token });
		w->log += std::string("  send to ") + upstream->name + "\n";
	}
	static void OnReset(void *ctx, const kf_packet_t *packet)
	{
		auto *w = static_cast<ForwarderHarness *>(ctx);

		w->resets.push_back(*packet);
		w->log += "  reset " + w->client_name(packet->client) + "\n";
	}
	static void OnRecord(void *ctx, const kf_forward_record_t *r)
	{
		auto *w = static_cast<ForwarderHarness *>(ctx);
		std::string line =
		    std::string("  ") + kf_forward_event_name(r->event);

		w->events[r->event]++;
		if (r->client.port != 0)
			line += " " + w->client_name(r->client);
		if (r->target != nullptr)
			line += std::string(" ") + r->target->info.name;
		if (r->reason != KF_REASON_NONE)
			line += std::string(" ") + kf_reason_name(r->reason);
		w->log += line + "\n";
	}
};

inline kf_upstream_info_t
MakeUpstream(uint64_t id, const std::string &name, const std::string &service,
    const std::string &zone, uint32_t slots)
{
	kf_upstream_info_t info = {};

	info.id = id;
	strncpy(info.name, name.c_str(), sizeof(info.name) - 1);
	info.service = kf_name_key(service.c_str());
	info.zone = kf_name_key(zone.c_str());
	info.address = { 0x7f000000u + (uint32_t)id, 8080 };
	info.slots = slots;
	info.born_ms = 1;
	return info;
}

inline kf_route_t
MakeRoute(
    uint16_t port, const std::vector<std::pair<std::string, uint32_t>> &shares)
{
	/* Tables copy the shares of a route, but routes refer to them. */
	static std::list<std::vector<kf_route_share_t>> all_shares;
	std::vector<kf_route_share_t> &list = all_shares.emplace_back();
	kf_route_t route = {};
	uint64_t sum = 0;

	route.address = { 0xc6120001u, port };
	snprintf(route.name, sizeof(route.name), "r-%u", port);
	for (const auto &share : shares)
		list.push_back(
		    { kf_name_key(share.first.c_str()), sum += share.second });
	route.shares = list.data();
	route.share_count = (uint32_t)list.size();
	return route;
}

inline kf_packet_t
MakePacket(uint16_t client, uint16_t port)
{
	kf_packet_t packet = {};

	packet.client = { 0x64400001u, client };
	packet.address = { 0xc6120001u, port };
	packet.sequence = client;
	return packet;
}

} // namespace kf_test

#endif
