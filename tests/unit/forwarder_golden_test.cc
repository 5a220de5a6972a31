#include <gtest/gtest.h>

#include <memory>

#include "kf/flow_explanation.h"
#include "support/forwarder_world.h"
#include "support/golden_files.h"

/*
 * Golden sessions in tests/golden/forwarder: each command is followed by the
 * packets and decisions that it causes.
 *
 *	vm ZONE [RANK COUNT]	create a new forwarder for a VM of a zone, with
 *				this rank among COUNT VMs
 *	up NAME SERVICE ZONE SLOTS	publish an upstream; its id is the
 *				number in its name
 *	replace NAME SERVICE OTHER [same]	publish one that was started
 *				after another one, or at the same time, at its
 *				address
 *	drain NAME		publish it as draining
 *	restart NAME		publish a new incarnation of it
 *	cold NAME MS		publish it with a remaining cold start
 *	limit SLACK RANK COUNT	limit cold upstreams to SLACK openings a second,
 *				with this rank among COUNT VMs for each of them
 *	unheard			hear from no other VM from now on
 *	gone NAME		remove its entry
 *	lapse NAME		remove its entry because of a store outage
 *	backup NAME [earlier]	publish it as ready, as a backup of the store
 *				shows it; its start may be an earlier one
 *	evacuate ZONE on|off	set whether a zone is evacuated
 *	confirm	MS		what the VM knows is complete as of now, and the
 *				store has been in contact for MS
 *	hold			begin a batch of changes
 *	release			end the batch
 *	routes VERSION [safe:]PORT[@PRIORITY]=SERVICE[:WEIGHT][,...] ...
 *				requests of a safe route are idempotent
 *	vms RANK COUNT		change the rank and the number of VMs
 *	others SERVICE COUNT	set the new flows per second at the other VMs
 *	zones SERVICE MS ZONE=COUNT ...	for MS, set the new flows per second at
 *				the other VMs of each zone and balance zones
 *	syn CLIENT PORT [COPY]	send a SYN, or its COPY-th copy
 *	data|fin|rst CLIENT PORT NAME	send a packet with the upstream's token,
 *				or without a token if NAME is "-"
 *	ask CLIENT PORT NAME	send a request
 *	ack CLIENT PORT NAME	acknowledge its answer
 *	askall|ackall FIRST COUNT PORT	the same for COUNT flows that "spread"
 *				has opened, from client FIRST on
 *	again FIRST COUNT PORT	open flows with copies of SYNs, as clients do
 *				after a failure of VMs
 *	late NAME		another VM reports a failed request
 *	explain CLIENT PORT	show where a SYN would go, without sending it,
 *				and the reason for each upstream of the service
 *	run MS			advance the time
 *	probe MS		the same, making the probes that are due
 *	silent|responds NAME ...	set whether upstreams accept probes
 *	spread FIRST COUNT PORT	open COUNT flows, from client FIRST on, and
 *				count them by upstream
 *	shares FIRST COUNT PORT	the same, but end each flow at once
 *	load FIRST COUNT PORT MS [NAME]	the same, with a request on each flow
 *				that is answered after MS, or never by NAME
 *	answers FIRST COUNT PORT BYTES [NAME BYTES]	the same, with answers
 *				of BYTES after 20 ms, or other BYTES by NAME
 */
namespace {

using namespace kf_test;

class Session {
      public:
	std::string Run(const std::string &line)
	{
		std::istringstream in(line);
		std::string name;

		in >> name;
		auto it = Handlers().find(name);
		if (it == Handlers().end())
			return "unknown command\n";
		(this->*it->second)(in);
		std::string out = w_->log;
		w_->log.clear();
		return out;
	}

      private:
	typedef void (Session::*Handler)(std::istringstream &);

	static const std::map<std::string, Handler> &Handlers()
	{
		static const std::map<std::string, Handler> handlers = {
			{ "vm", &Session::Vm },
			{ "up", &Session::Up },
			{ "drain", &Session::Drain },
			{ "restart", &Session::Restart },
			{ "cold", &Session::Cold },
			{ "limit", &Session::Limit },
			{ "unheard", &Session::Unheard },
			{ "gone", &Session::Gone },
			{ "lapse", &Session::Lapse },
			{ "backup", &Session::Backup },
			{ "evacuate", &Session::Evacuate },
			{ "confirm", &Session::Confirm },
			{ "hold", &Session::Hold },
			{ "release", &Session::Release },
			{ "routes", &Session::Routes },
			{ "vms", &Session::Vms },
			{ "others", &Session::Others },
			{ "zones", &Session::Zones },
			{ "syn", &Session::Syn },
			{ "data", &Session::Data },
			{ "fin", &Session::Fin },
			{ "rst", &Session::Rst },
			{ "ask", &Session::Ask },
			{ "ack", &Session::Ack },
			{ "askall", &Session::AskAll },
			{ "ackall", &Session::AckAll },
			{ "again", &Session::Again },
			{ "late", &Session::Late },
			{ "run", &Session::RunFor },
			{ "probe", &Session::Probe },
			{ "replace", &Session::Replace },
			{ "explain", &Session::Explain },
			{ "silent", &Session::Silent },
			{ "responds", &Session::Responds },
			{ "spread", &Session::Spread },
			{ "shares", &Session::Shares },
			{ "load", &Session::Load },
			{ "answers", &Session::Answers },
		};

		return handlers;
	}
	static uint64_t IdOf(const std::string &name)
	{
		return std::stoull(name.substr(1));
	}
	void Vm(std::istringstream &in)
	{
		std::string zone;
		kf_position_t position = { 0, 1 };

		in >> zone >> position.rank >> position.vm_count;
		w_ = std::make_unique<ForwarderHarness>(zone);
		w_->client_name = [](kf_addr_t addr) {
			return "c" + std::to_string(addr.port);
		};
		if (position.vm_count > 1)
			kf_forwarder_set_position(
			    w_->forwarder, position, w_->now_us);
		entries_.clear();
		tokens_.clear();
		report_ = {};
	}
	void Put(const std::string &name)
	{
		w_->log += std::string("  ") +
		    kf_change_name(w_->Put(entries_[name])) + "\n";
	}
	void Up(std::istringstream &in)
	{
		std::string name, service, zone;
		uint32_t slots;

		in >> name >> service >> zone >> slots;
		entries_[name] =
		    MakeUpstream(IdOf(name), name, service, zone, slots);
		Put(name);
	}
	void Replace(std::istringstream &in)
	{
		std::string name, service, other, same;

		in >> name >> service >> other >> same;
		entries_[name] = MakeUpstream(IdOf(name), name, service,
		    entries_[other].zone_name, entries_[other].slots);
		entries_[name].address = entries_[other].address;
		entries_[name].born_ms =
		    entries_[other].born_ms + (same.empty() ? 1 : 0);
		Put(name);
	}
	void Drain(std::istringstream &in)
	{
		std::string name;

		in >> name;
		entries_[name].draining = true;
		Put(name);
	}
	void Restart(std::istringstream &in)
	{
		std::string name;

		in >> name;
		entries_[name].born_ms++;
		entries_[name].draining = false;
		Put(name);
	}
	void Cold(std::istringstream &in)
	{
		std::string name;
		int64_t ms;

		in >> name >> ms;
		entries_[name].cold_left_us = ms * 1000;
		Put(name);
	}
	void Limit(std::istringstream &in)
	{
		in >> report_.bounds.slack >> cold_rank_ >> report_.vm_count;
		report_.bounds.excess = 1.5;
		heard_ = true;
		UpdateColdView();
	}
	void Unheard(std::istringstream &)
	{
		heard_ = false;
	}
	void UpdateColdView()
	{
		if (heard_)
			report_.heard_us = w_->now_us;
		kf_forwarder_set_cold_view(
		    w_->forwarder, &report_,
		    [](void *ctx, uint64_t) {
			    return *static_cast<uint32_t *>(ctx);
		    },
		    &cold_rank_, w_->now_us);
	}
	void Unlist(std::istringstream &in, bool lapsed)
	{
		std::string name;

		in >> name;
		w_->log += std::string("  ") +
		    kf_change_name(w_->Remove(IdOf(name), lapsed)) + "\n";
	}
	void Gone(std::istringstream &in)
	{
		Unlist(in, false);
	}
	void Lapse(std::istringstream &in)
	{
		Unlist(in, true);
	}
	void Backup(std::istringstream &in)
	{
		std::string name, earlier;

		in >> name >> earlier;
		kf_upstream_info_t info = entries_[name];
		info.draining = false;
		info.born_ms -= earlier.empty() ? 0 : 1;
		w_->log += std::string("  ") +
		    kf_change_name(w_->PutBackup(info)) + "\n";
	}
	void Evacuate(std::istringstream &in)
	{
		std::string zone, word;

		in >> zone >> word;
		EXPECT_EQ(KF_OK,
		    kf_directory_set_evacuated(
			kf_forwarder_directory(w_->forwarder),
			kf_name_key(zone.c_str()), word == "on"));
	}
	void Confirm(std::istringstream &in)
	{
		kf_store_view_t view = {};
		int64_t ms;

		in >> ms;
		view.confirmed_us = w_->now_us;
		view.stable_since_us = w_->now_us - ms * 1000;
		kf_forwarder_set_store_view(w_->forwarder, &view);
	}
	void Hold(std::istringstream &)
	{
		kf_directory_begin_batch(kf_forwarder_directory(w_->forwarder));
	}
	void Release(std::istringstream &)
	{
		EXPECT_EQ(KF_OK,
		    kf_directory_end_batch(
			kf_forwarder_directory(w_->forwarder)));
	}
	void Routes(std::istringstream &in)
	{
		std::vector<kf_route_t> routes;
		std::string word;
		uint64_t version;

		in >> version;
		while (in >> word) {
			bool safe = word.rfind("safe:", 0) == 0;
			if (safe)
				word.erase(0, 5);
			std::vector<std::pair<std::string, uint32_t>> shares;
			size_t equal = word.find('=');
			std::istringstream list(word.substr(equal + 1));
			std::string share;

			while (std::getline(list, share, ',')) {
				size_t colon = share.find(':');

				shares.emplace_back(share.substr(0, colon),
				    colon == std::string::npos
					? 1
					: std::stoul(share.substr(colon + 1)));
			}
			routes.push_back(MakeRoute(
			    (uint16_t)std::stoul(word.substr(0, equal)),
			    shares));
			routes.back().idempotent = safe;
			size_t at = word.find('@');
			if (at != std::string::npos)
				routes.back().priority = (uint32_t)std::stoul(
				    word.substr(at + 1, equal - at - 1));
		}
		w_->log += std::string("  ") +
		    kf_status_name(w_->SetRoutes(version, routes)) + "\n";
	}
	void Vms(std::istringstream &in)
	{
		kf_position_t position = { 0, 1 };

		in >> position.rank >> position.vm_count;
		kf_forwarder_set_position(w_->forwarder, position, w_->now_us);
	}
	void Others(std::istringstream &in)
	{
		std::pair<uint64_t, uint32_t> others;
		std::string service;

		in >> service >> others.second;
		others.first = kf_name_key(service.c_str());
		kf_forwarder_set_other_vms_demand(
		    w_->forwarder,
		    [](void *ctx, uint64_t of) {
			    auto *o =
				static_cast<std::pair<uint64_t, uint32_t> *>(
				    ctx);
			    return o->first == of ? o->second : 0;
		    },
		    &others);
	}
	/* Logs the share of the last balance, in percent. */
	void Zones(std::istringstream &in)
	{
		std::vector<kf_zone_demand_t> demands;
		kf_zone_settings_t settings = { true, true, 500 };
		std::string service, word;
		int64_t ms;

		in >> service >> ms;
		while (in >> word) {
			size_t equal = word.find('=');

			demands.push_back(
			    { kf_name_key(word.substr(0, equal).c_str()),
				(uint32_t)std::stoul(word.substr(equal + 1)) });
		}
		for (; ms > 0; ms -= 200) {
			w_->Run(200000);
			kf_forwarder_balance_zones(
			    w_->forwarder, &settings,
			    [](void *ctx, uint64_t, kf_zone_demand_t *zones,
				size_t) {
				    auto *d = static_cast<
					std::vector<kf_zone_demand_t> *>(ctx);
				    std::copy(d->begin(), d->end(), zones);
				    return d->size();
			    },
			    &demands, w_->now_us);
		}
		kf_pool_t *pool =
		    kf_directory_pool(kf_forwarder_directory(w_->forwarder),
			kf_name_key(service.c_str()));
		w_->log += "  share " +
		    std::to_string((int)(pool->zones.share * 100 + 0.5)) +
		    "%\n";
	}
	void Syn(std::istringstream &in)
	{
		uint16_t client, port;
		uint32_t copy = 0;

		in >> client >> port >> copy;
		kf_packet_t packet = MakePacket(client, port);
		packet.syn = true;
		packet.acknowledged = copy;
		w_->Packet(packet);
	}
	kf_packet_t MakeFlowPacket(std::istringstream &in)
	{
		std::string name;
		uint16_t client, port;

		in >> client >> port >> name;
		kf_packet_t packet = MakePacket(client, port);
		packet.token = name == "-" ? 0 : kf_token_of(IdOf(name));
		return packet;
	}
	void Data(std::istringstream &in)
	{
		w_->Packet(MakeFlowPacket(in));
	}
	void Fin(std::istringstream &in)
	{
		kf_packet_t packet = MakeFlowPacket(in);

		packet.fin = true;
		w_->Packet(packet);
	}
	void Rst(std::istringstream &in)
	{
		kf_packet_t packet = MakeFlowPacket(in);

		packet.rst = true;
		w_->Packet(packet);
	}
	void Ask(std::istringstream &in)
	{
		kf_packet_t packet = MakeFlowPacket(in);

		packet.payload_bytes = 100;
		packet.acknowledged = request_ + 1;
		w_->Packet(packet);
	}
	void Ack(std::istringstream &in)
	{
		kf_packet_t packet = MakeFlowPacket(in);

		packet.acknowledged = request_ + 2;
		w_->Packet(packet);
	}
	void SendOnFlows(std::istringstream &in, uint32_t payload_bytes,
	    uint32_t acknowledged)
	{
		uint16_t first, count, port;

		in >> first >> count >> port;
		for (uint16_t i = 0; i < count; i++) {
			uint16_t client = (uint16_t)(first + i);
			kf_packet_t packet = MakePacket(client, port);

			ASSERT_TRUE(tokens_.count(client)) << client;
			packet.token = tokens_[client];
			packet.payload_bytes = payload_bytes;
			packet.acknowledged = acknowledged;
			w_->Packet(packet);
		}
		w_->log.clear();
	}
	void AskAll(std::istringstream &in)
	{
		SendOnFlows(in, 100, ++request_);
	}
	void AckAll(std::istringstream &in)
	{
		SendOnFlows(in, 0, request_ + 1);
	}
	void Again(std::istringstream &in)
	{
		copy_ = 1;
		OpenFlows(in, false);
		copy_ = 0;
	}
	void Late(std::istringstream &in)
	{
		std::string name;

		in >> name;
		kf_forwarder_add_peer_failure(
		    w_->forwarder, kf_token_of(IdOf(name)), w_->now_us);
	}
	void RunFor(std::istringstream &in)
	{
		int64_t ms;

		in >> ms;
		for (; report_.bounds.excess > 0 && ms > 200; ms -= 200) {
			w_->Run(200000);
			UpdateColdView();
		}
		w_->Run(ms * 1000);
		if (report_.bounds.excess > 0)
			UpdateColdView();
	}
	void Explain(std::istringstream &in)
	{
		uint16_t client, port;

		in >> client >> port;
		kf_packet_t packet = MakePacket(client, port);
		kf_flow_explanation_t e = kf_forwarder_explain(
		    w_->forwarder, packet.client, packet.address, w_->now_us);
		const kf_directory_t *directory =
		    kf_forwarder_directory(w_->forwarder);

		w_->log += std::string("  ") + kf_flow_outcome_name(e.outcome) +
		    (e.outcome == KF_FLOW_REFUSED
			    ? std::string(" ") + kf_reason_name(e.reason)
			    : "") +
		    "\n";
		for (size_t i = 0; i < kf_directory_count(directory); i++) {
			const kf_target_t *t = kf_directory_at(directory, i);

			if (t->info.service == e.service)
				w_->log += std::string("  ") + t->info.name +
				    " " +
				    kf_candidate_name(
					kf_flow_explanation_candidate(&e, t,
					    kf_forwarder_position(
						w_->forwarder),
					    w_->now_us)) +
				    "\n";
		}
	}
	void Probe(std::istringstream &in)
	{
		int64_t ms;

		in >> ms;
		w_->RunProbing(ms * 1000);
	}
	void Silent(std::istringstream &in)
	{
		for (std::string name; in >> name;)
			w_->unreachable.insert(kf_token_of(IdOf(name)));
	}
	void Responds(std::istringstream &in)
	{
		for (std::string name; in >> name;)
			w_->unreachable.erase(kf_token_of(IdOf(name)));
	}
	void Spread(std::istringstream &in)
	{
		OpenFlows(in, false);
	}
	void Shares(std::istringstream &in)
	{
		OpenFlows(in, true);
	}
	/*
	 * Sends the SYN of a flow and waits for its answer.  Returns the
	 * upstream and turns packet into the client's next one.
	 */
	std::string PlaceFlow(kf_packet_t &packet)
	{
		packet.syn = true;
		packet.acknowledged = copy_;
		w_->sent.clear();
		w_->Packet(packet);
		packet.acknowledged = 0;
		if (w_->sent.empty())
			return refused;
		packet.syn = false;
		packet.token = w_->sent[0].token;
		tokens_[packet.client.port] = packet.token;
		w_->Run(4000);
		return "u" + std::to_string(w_->sent[0].upstream);
	}
	void LogCounts(const std::map<std::string, int> &counts)
	{
		w_->log.clear();
		for (const auto &c : counts)
			w_->log += "  " + c.first + " " +
			    std::to_string(c.second) + "\n";
	}
	void OpenFlows(std::istringstream &in, bool end)
	{
		std::map<std::string, int> counts;
		uint16_t first, count, port;

		in >> first >> count >> port;
		for (uint16_t i = 0; i < count; i++) {
			kf_packet_t packet =
			    MakePacket((uint16_t)(first + i), port);
			std::string name = PlaceFlow(packet);

			counts[name]++;
			if (name == refused)
				continue;
			w_->Packet(packet);
			packet.fin = end;
			w_->Packet(packet);
		}
		LogCounts(counts);
	}

	void Load(std::istringstream &in)
	{
		std::string silent;
		uint16_t first, count, port;
		int64_t ms;

		in >> first >> count >> port >> ms >> silent;
		RunRequests(
		    first, count, port, ms, [&](const std::string &name) {
			    return name == silent ? 0 : 1;
		    });
	}
	void Answers(std::istringstream &in)
	{
		std::string other;
		uint16_t first, count, port;
		uint32_t bytes, other_bytes = 0;

		in >> first >> count >> port >> bytes >> other >> other_bytes;
		RunRequests(
		    first, count, port, 20, [&](const std::string &name) {
			    return name == other ? other_bytes : bytes;
		    });
	}

	/*
	 * Opens flows with one request each, which is answered after ms, or
	 * never if answer_bytes returns 0.  Logs the number of flows of each
	 * upstream, and the ejections of outliers.
	 */
	void RunRequests(uint16_t first, uint16_t count, uint16_t port,
	    int64_t ms,
	    const std::function<uint32_t(const std::string &)> &answer_bytes)
	{
		std::map<std::string, int> counts;
		std::string ejections;

		for (uint16_t i = 0; i < count; i++) {
			kf_packet_t packet =
			    MakePacket((uint16_t)(first + i), port);
			std::string name = PlaceFlow(packet);

			counts[name]++;
			ASSERT_NE(refused, name);
			packet.acknowledged = 1;
			packet.payload_bytes = 100;
			w_->Packet(packet);
			w_->Run(ms * 1000);
			if (answer_bytes(name) == 0)
				continue;
			packet.acknowledged = 1 + answer_bytes(name);
			packet.payload_bytes = 0;
			packet.fin = true;
			w_->Packet(packet);
		}
		ejections = OutlierLines(w_->log);
		LogCounts(counts);
		w_->log += ejections;
	}
	static std::string OutlierLines(const std::string &log)
	{
		std::istringstream in(log);
		std::string line, out;

		while (std::getline(in, line))
			if (line.find("upstream_outlier") != std::string::npos)
				out += line + "\n";
		return out;
	}

	const std::string refused = "refused";
	std::unique_ptr<ForwarderHarness> w_;
	std::map<std::string, kf_upstream_info_t> entries_;
	std::map<uint16_t, uint32_t> tokens_; /* by client */
	kf_cold_report_t report_ = {};
	uint32_t cold_rank_ = 0;
	bool heard_ = false;
	uint32_t request_ = 0;
	uint32_t copy_ = 0; /* of the SYNs that "spread" sends */
};

class ForwarderGolden : public ::testing::TestWithParam<std::string> {};

/* Guards against unintended changes of forwarding decisions. */
TEST_P(ForwarderGolden, Session)
{
	Session session;

	GoldenCheck("forwarder", GetParam(),
	    [&](const std::string &line) { return session.Run(line); });
}

INSTANTIATE_TEST_SUITE_P(Sessions, ForwarderGolden,
    ::testing::ValuesIn(GoldenSessions("forwarder")),
    [](const auto &info) { return info.param; });

} // namespace
