#ifndef KF_TEST_OVERLOAD_WORLD_H
#define KF_TEST_OVERLOAD_WORLD_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "forwarder_world.h"

/*
 * Forwarders of three zones that share simulated upstreams of one service, on
 * virtual time.  Callers reach a random forwarder of their zone, try a request
 * three times at once, and keep their flows open.  An upstream has 2 slots and
 * 8 places; a request beyond that gets a short answer.  Forwarders know each
 * other's demand 400 ms late.
 */
namespace kf_test {

constexpr int kZones = 3;

struct OverloadConfig {
	int vms = 99;
	int upstreams = 120;
	int64_t service_us = 31000;
	int slow_upstreams = 0; /* the first ones; 5 times slower */
	int urgent = 330;	/* callers, one request a second each */
	int safe = 1500;
	std::vector<int> flood = { 2100, 2100, 2100 }; /* safe, by zone */
	int64_t goal_us = 400000;
	int64_t flow_us = 15000000;
	int64_t flood_start_us = 4000000, end_us = 16000000;
};

struct Outcomes {
	int offered = 0, in_time = 0, late = 0, refused = 0, rejected = 0;
	double Served() const
	{
		return (double)in_time / std::max(offered, 1);
	}
};

class OverloadWorld {
      public:
	explicit OverloadWorld(const OverloadConfig &config)
	    : config_(config), upstreams_(config.upstreams)
	{
		for (int i = 0; i < config.vms; i++)
			AddVm(i);
		AddCallers(0, config.urgent, 0);
		AddCallers(1, config.safe, 0);
		for (int zone = 0; zone < kZones; zone++)
			for (int i = 0; i < config.flood[zone]; i++)
				AddCaller(1, zone, config.flood_start_us);
		At(0, [this] { Exchange(); });
		At(0, [this] { Tick(); });
		while (!events_.empty() && now_us_ < config.end_us) {
			auto first = events_.begin();
			std::function<void()> run = std::move(first->second);

			now_us_ = first->first;
			events_.erase(first);
			run();
		}
	}
	~OverloadWorld()
	{
		for (Vm &vm : vms_)
			kf_forwarder_delete(vm.forwarder);
	}
	OverloadWorld(const OverloadWorld &) = delete;
	OverloadWorld &operator=(const OverloadWorld &) = delete;

	/* Requests sent during the flood, by class (0: urgent) and zone. */
	Outcomes outcomes[2][kZones];
	int upstream_rejections = 0;

	Outcomes Sum(int cls) const
	{
		Outcomes sum;

		for (const Outcomes &o : outcomes[cls]) {
			sum.offered += o.offered;
			sum.in_time += o.in_time;
			sum.late += o.late;
			sum.refused += o.refused;
			sum.rejected += o.rejected;
		}
		return sum;
	}

      private:
	struct Vm {
		kf_forwarder_t *forwarder;
		int zone;
		std::deque<uint32_t> demands; /* the oldest is known to all */
		uint32_t others;
		uint32_t sent_token;
		uint64_t sent_upstream;
	};
	struct Caller {
		int cls, zone;
		kf_packet_t packet; /* of its flow; token 0: not open */
		Vm *vm;
		uint64_t upstream;
		int64_t flow_end_us, started_us;
		int tries;
		bool rejected;
	};
	struct Upstream {
		int busy = 0;
		std::deque<Caller *> queue;
	};

	void At(int64_t us, std::function<void()> run)
	{
		events_.emplace(now_us_ + us, std::move(run));
	}
	void AddVm(int index)
	{
		kf_forwarder_callbacks_t callbacks = {};
		std::vector<kf_route_t> routes;
		std::string zone(1, (char)('a' + index % kZones));
		kf_change_t change;

		vms_.push_back({});
		callbacks.ctx = &vms_.back();
		callbacks.send = OnSend;
		callbacks.reset = [](void *, const kf_packet_t *) {};
		callbacks.record = [](void *, const kf_forward_record_t *) {};
		kf_forwarder_t *f =
		    kf_forwarder_new(kf_name_key(zone.c_str()), &callbacks);
		for (uint16_t cls = 0; cls < 2; cls++) {
			routes.push_back(MakeRoute(80 + cls, { { "s", 1 } }));
			routes.back().priority = 1 + cls;
			routes.back().latency_goal_us = config_.goal_us;
		}
		kf_forwarder_set_routes(f,
		    kf_route_table_new(
			1, 60000000, routes.data(), routes.size(), nullptr));
		kf_forwarder_set_position(f,
		    { (uint32_t)(index / kZones),
			(uint32_t)(config_.vms / kZones) },
		    now_us_);
		for (int i = 0; i < config_.upstreams; i++) {
			std::string at(1, (char)('a' + i % kZones));
			kf_upstream_info_t info = MakeUpstream(
			    i + 1, "u" + std::to_string(i), "s", at, 2);

			kf_directory_put(
			    kf_forwarder_directory(f), &info, now_us_, &change);
		}
		vms_.back().forwarder = f;
		vms_.back().zone = index % kZones;
	}
	void AddCallers(int cls, int count, int64_t start_us)
	{
		for (int i = 0; i < count; i++)
			AddCaller(cls, i % kZones, start_us);
	}
	void AddCaller(int cls, int zone, int64_t start_us)
	{
		callers_.push_back({});
		Caller *c = &callers_.back();

		c->cls = cls;
		c->zone = zone;
		c->packet = MakePacket(0, 80 + cls);
		c->packet.client.ip = 0x0a000000u + (uint32_t)callers_.size();
		At(start_us + Gap(), [this, c] { Request(c); });
	}
	int64_t Gap()
	{
		return std::exponential_distribution<>(1e-6)(random_);
	}
	/* Demand of 400 ms ago is known to the others. */
	void Exchange()
	{
		uint32_t total = 0;
		kf_service_demand_t demand;

		for (Vm &vm : vms_) {
			demand.asked_per_s = 0;
			kf_forwarder_demands(vm.forwarder, now_us_, &demand, 1);
			vm.demands.push_back(demand.asked_per_s);
			if (vm.demands.size() > 3)
				vm.demands.pop_front();
			total += vm.demands.front();
		}
		for (Vm &vm : vms_) {
			vm.others = total - vm.demands.front();
			kf_forwarder_set_other_vms_demand(
			    vm.forwarder,
			    [](void *ctx, uint64_t) {
				    return *static_cast<uint32_t *>(ctx);
			    },
			    &vm.others);
		}
		At(200000, [this] { Exchange(); });
	}
	void Tick()
	{
		for (const Vm &vm : vms_) {
			kf_forwarder_tick(vm.forwarder, now_us_);
			ReportFailures(&vm);
		}
		At(50000, [this] { Tick(); });
	}
	/* Passes failed requests on to the other VMs of the zone. */
	void ReportFailures(const Vm *vm)
	{
		uint32_t tokens[KF_FORWARDER_MAX_FAILED];
		size_t count = kf_forwarder_take_failed(vm->forwarder, tokens);

		for (const Vm &to : vms_)
			for (size_t i = 0; i < count && to.zone == vm->zone &&
			     to.forwarder != vm->forwarder;
			     i++)
				kf_forwarder_add_peer_failure(
				    to.forwarder, tokens[i], now_us_);
	}
	/* Passes a packet of a caller's flow to its VM. */
	bool Send(Caller *c)
	{
		uint8_t datagram[32] = {};

		c->vm->sent_token = KF_TOKEN_NONE;
		kf_forwarder_packet(c->vm->forwarder, now_us_, &c->packet,
		    datagram, sizeof(datagram));
		return c->vm->sent_token != KF_TOKEN_NONE;
	}
	Outcomes *Count(const Caller *c)
	{
		static Outcomes ignored;

		return c->started_us < config_.flood_start_us ||
			c->started_us > config_.end_us - 1000000
		    ? &ignored
		    : &outcomes[c->cls][c->zone];
	}
	void Request(Caller *c)
	{
		c->started_us = now_us_;
		c->tries = 0;
		c->rejected = false;
		Count(c)->offered++;
		Try(c);
	}
	void End(Caller *c)
	{
		At(Gap(), [this, c] { Request(c); });
	}
	void Try(Caller *c)
	{
		if (c->tries++ == 3) {
			(c->rejected ? Count(c)->rejected
				     : Count(c)->refused)++;
			End(c);
		} else if (c->packet.token != KF_TOKEN_NONE &&
		    now_us_ < c->flow_end_us) {
			SendRequest(c);
		} else {
			CloseFlow(c);
			Open(c);
		}
	}
	void CloseFlow(Caller *c)
	{
		if (c->packet.token == KF_TOKEN_NONE)
			return;
		c->packet.fin = true;
		Send(c);
		c->packet.fin = false;
		c->packet.token = KF_TOKEN_NONE;
	}
	void Open(Caller *c)
	{
		int at = (int)(random_() % (config_.vms / kZones));

		c->vm = &vms_[at * kZones + c->zone];
		c->packet.client.port++;
		c->packet.sequence++;
		c->packet.syn = true;
		c->packet.acknowledged = 0;
		bool sent = Send(c);
		c->packet.syn = false;
		if (!sent) {
			At(6000, [this, c] { Try(c); });
			return;
		}
		c->packet.token = c->vm->sent_token;
		c->upstream = c->vm->sent_upstream;
		c->flow_end_us = now_us_ + random_() % (2 * config_.flow_us);
		At(6000, [this, c] { SendRequest(c); });
	}
	void SendRequest(Caller *c)
	{
		Upstream *u = &upstreams_[c->upstream - 1];

		c->packet.payload_bytes = 200;
		Send(c);
		c->packet.payload_bytes = 0;
		if (u->busy == 2 && u->queue.size() == 8) {
			upstream_rejections++;
			At(6000, [this, c] { Rejected(c); });
		} else if (u->busy == 2) {
			u->queue.push_back(c);
		} else {
			u->busy++;
			Serve(u, c);
		}
	}
	void Rejected(Caller *c)
	{
		c->packet.acknowledged += 100;
		CloseFlow(c);
		c->rejected = true;
		Try(c);
	}
	void Serve(Upstream *u, Caller *c)
	{
		std::lognormal_distribution<> factor(-0.11, 0.47);
		double us = (double)config_.service_us * factor(random_);

		if (u - upstreams_.data() < config_.slow_upstreams)
			us *= 5;
		At((int64_t)us, [this, u, c] { Served(u, c); });
	}
	void Served(Upstream *u, Caller *c)
	{
		Caller *next;

		At(6000, [this, c] { Answered(c); });
		u->busy--;
		if (u->queue.empty())
			return;
		next = u->queue.front();
		u->queue.pop_front();
		u->busy++;
		Serve(u, next);
	}
	void Answered(Caller *c)
	{
		Outcomes *o = Count(c);

		c->packet.acknowledged += 2000;
		Send(c);
		(now_us_ - c->started_us <= config_.goal_us ? o->in_time
							    : o->late)++;
		End(c);
	}
	static void OnSend(void *ctx, const kf_upstream_info_t *upstream,
	    uint32_t token, const uint8_t *, size_t)
	{
		static_cast<Vm *>(ctx)->sent_token = token;
		static_cast<Vm *>(ctx)->sent_upstream = upstream->id;
	}

	OverloadConfig config_;
	int64_t now_us_ = 1000000;
	std::mt19937 random_{ 1 };
	std::multimap<int64_t, std::function<void()>> events_;
	std::deque<Vm> vms_;
	std::deque<Caller> callers_;
	std::vector<Upstream> upstreams_;
};

} // namespace kf_test

#endif
