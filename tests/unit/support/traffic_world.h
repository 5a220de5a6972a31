#ifndef KF_TEST_TRAFFIC_WORLD_H
#define KF_TEST_TRAFFIC_WORLD_H

#include <apr_general.h>
#include <stdio.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kf/call_info.h"
#include "kf/peer_seal.h"
#include "kf/proxy.h"
#include "kf/traffic.h"

/*
 * Simulates a few VMs, each with one or more traffic cores, in one thread.
 * Callers and upstreams are simulated behind the callbacks of the traffic
 * core.  Datagrams wait in one queue until the test delivers, duplicates or
 * drops them.  Time is virtual.
 */
namespace kf_test {

using Bytes = std::vector<uint8_t>;

enum UpstreamMode { ANSWER, HOLD, SILENT, SHED, WRONG_INCARNATION };

/* Injected faults.  Each breaks one rule, so that the checks must fail. */
struct Mutations {
	bool ack_nacks = false;	   /* INTENT_NACK arrives as INTENT_ACK */
	bool forge_acks = false;   /* INTENT is acknowledged but not recorded */
	bool deny_unknown = false; /* "may have run" is taken as "not run" */
	bool lose_answers = false; /* some answers never reach the caller */
	bool swap_answers = false; /* upstreams answer another request */
	bool misroute = false;	   /* requests go to another service */
	bool stale_views = false;  /* cores keep their first declaration */
	bool no_ticks = false;	   /* timers do not run */
};

struct Options {
	uint32_t vms = 3;
	uint32_t shards = 1;
	uint32_t first_vm_of_z2 = 100; /* index of the first VM in z2 */
	uint64_t seed = 1;
	uint32_t paths = 2;
	std::function<void(kf_traffic_config_t *)> config;
};

struct Request {
	int caller;
	uint32_t xid;
	uint32_t service; /* id */
	uint32_t proc;
	Bytes data;
	int executed = 0;
	int answered = 0;
	int denied = 0;
	int unknown = 0;
	bool error_before_answer = false; /* got an error first */
	uint32_t auth_stat = 0;		  /* of the last denial */
	bool idempotent() const
	{
		return proc < 10;
	}
};

struct Caller {
	kf_addr_t addr;
	kf_addr_t service;
	uint32_t service_id;
	Bytes token; /* empty: the credential is AUTH_SYS */
	uint32_t next_xid;
	uint32_t token_xid; /* of the newest answered call */
};

struct Event {
	enum Kind { PEER, CALL, REPLY } kind;
	size_t core; /* receiver of PEER and REPLY, sender of CALL */
	size_t from; /* sender of PEER */
	uint32_t upstream;
	uint32_t path;
	kf_addr_t addr;
	Bytes data;
};

struct Upstream {
	uint64_t incarnation = 1;
	UpstreamMode mode = ANSWER;
	std::vector<Event> held;
	std::set<uint32_t> silent_paths; /* unanswered until reset */
};

class TrafficWorld {
      public:
	struct Core {
		TrafficWorld *world;
		size_t index, vm;
		uint32_t shard;
		kf_traffic_t *traffic;
		std::shared_ptr<kf_declref_t> decl;
	};

	explicit TrafficWorld(const Options &options = Options())
	    : options_(options)
	{
		kf_key_t key = { 1, 0, 100000000, { 1, 2, 3 } };

		apr_initialize();
		keys_ = kf_keyring_new();
		kf_keyring_add(keys_, &key);
		liveness_.resize(options.vms * options.vms, KF_VM_ALIVE);
		gone_since_us_.resize(options.vms * options.vms, 0);
		leaving.resize(options.vms);
		paused.resize(options.vms);
		dead.resize(options.vms);
		for (size_t i = 0; i < options.vms; i++)
			zones.push_back(
			    i < options.first_vm_of_z2 ? "z1" : "z2");
		incarnations_.resize(options.vms);
		incarnation_end_us_.resize(options.vms);
		for (size_t i = 0; i < options.vms * options.shards; i++)
			AddCore(i);
	}
	~TrafficWorld()
	{
		for (Core &core : *cores_)
			kf_traffic_delete(core.traffic);
		kf_keyring_delete(keys_);
		apr_terminate();
	}
	TrafficWorld(const TrafficWorld &) = delete;
	TrafficWorld &operator=(const TrafficWorld &) = delete;

	kf_time_t Now() const
	{
		return { now_us, 1000000 + now_us / 1000 };
	}
	kf_vm_id_t VmId(size_t vm) const
	{
		return { (uint32_t)(100 + vm),
			1000 + vm + 10 * incarnations_[vm] };
	}
	kf_traffic_t *Traffic(size_t core)
	{
		return (*cores_)[core].traffic;
	}
	size_t CoreCount() const
	{
		return cores_->size();
	}

	/* Parses a declaration; views built after this contain it. */
	bool Declare(const std::string &text)
	{
		errors.clear();
		kf_declaration_t *decl = kf_declaration_parse(
		    "d", text.data(), text.size(), OnError, this);

		if (decl == nullptr)
			return false;
		for (uint32_t i = 0; i < decl->upstream_count; i++)
			upstreams[decl->upstreams[i].name];
		decl_ = std::shared_ptr<kf_declref_t>(
		    kf_declref_new(decl), kf_declref_release);
		return true;
	}
	const kf_declaration_t *Declaration() const
	{
		return kf_declref_get(decl_.get());
	}
	/* Sets the liveness of a VM as another VM observes it. */
	void SetLive(size_t observer, size_t vm, kf_liveness_t liveness)
	{
		size_t i = observer * options_.vms + vm;

		if (liveness == KF_VM_GONE && liveness_[i] != KF_VM_GONE)
			gone_since_us_[i] = now_us;
		liveness_[i] = liveness;
	}
	void SetLiveAll(size_t vm, kf_liveness_t liveness)
	{
		for (size_t i = 0; i < options_.vms; i++) {
			if (i != vm)
				SetLive(i, vm, liveness);
		}
	}
	kf_view_t *NewView(size_t vm)
	{
		std::vector<kf_view_vm_t> vms;
		kf_view_input_t input = {};

		for (size_t i = 0; i < options_.vms; i++) {
			kf_view_vm_t v = {};

			if (absent.count(i) != 0)
				continue;
			AppendEndedIncarnations(&vms, i);
			v.id = VmId(i);
			snprintf(v.name, sizeof(v.name), "vm%zu", i);
			v.zone = kf_name_id(zones[i].c_str());
			v.peer_addr = { (uint32_t)(0x7f00000a + i), 7000 };
			v.shards = options_.shards;
			v.leaving = leaving[i];
			v.liveness = i == vm ? KF_VM_ALIVE
					     : liveness_[vm * options_.vms + i];
			v.gone_since_us = gone_since_us_[vm * options_.vms + i];
			vms.push_back(v);
		}
		input.self = VmId(vm);
		input.settled = settled;
		input.decl = decl_.get();
		input.keys = keys_;
		input.vms = vms.data();
		input.vm_count = (uint32_t)vms.size();
		input.digest = OnDigest;
		input.ctx = this;
		return kf_view_new(&input);
	}
	void AdoptView(size_t vm)
	{
		kf_view_t *view = NewView(vm);

		for (Core &core : *cores_) {
			if (core.vm != vm || dead[vm])
				continue;
			bool keep =
			    mutations.stale_views && core.decl != nullptr;
			core.decl = decl_;
			if (keep)
				continue;
			kf_traffic_on_view(core.traffic, Now(), view);
		}
		kf_view_release(view);
	}
	void AdoptViewAll()
	{
		for (size_t vm = 0; vm < options_.vms; vm++) {
			if (!dead[vm] && !paused[vm])
				AdoptView(vm);
		}
	}
	/* Ends the VM's process; datagrams queued for it are lost. */
	void Kill(size_t vm)
	{
		dead[vm] = true;
		for (size_t i = 0; i < events.size();) {
			if (events[i].kind != Event::CALL &&
			    VmOf(events[i].core) == vm)
				events.erase(events.begin() + (long)i);
			else
				i++;
		}
	}
	/*
	 * Starts a new process of a VM that was killed.  The other VMs see its
	 * new incarnation alive and therefore the earlier one gone.
	 */
	void Restart(size_t vm)
	{
		dead[vm] = paused[vm] = leaving[vm] = false;
		incarnation_end_us_[vm].push_back(now_us);
		incarnations_[vm]++;
		for (Core &core : *cores_) {
			if (core.vm != vm)
				continue;
			kf_traffic_delete(core.traffic);
			core.decl = nullptr;
			Start(&core);
		}
		for (size_t i = 0; i < options_.vms; i++) {
			SetLive(vm, i, KF_VM_UNKNOWN);
			SetLive(i, vm, KF_VM_ALIVE);
		}
		AdoptViewAll();
	}
	size_t VmOf(size_t core) const
	{
		return core / options_.shards;
	}
	bool Runs(size_t core) const
	{
		return !dead[VmOf(core)] && !paused[VmOf(core)];
	}

	int AddCaller(const char *service)
	{
		Caller c = {};
		const kf_declaration_t *decl = Declaration();

		c.addr = { (uint32_t)(0x7f000100 + callers.size()), 5000 };
		for (uint32_t i = 0; i < decl->service_count; i++) {
			if (strcmp(decl->services[i].name, service) == 0)
				c.service = decl->services[i].addr;
		}
		c.service_id = kf_name_id(service);
		c.next_xid = 100;
		callers.push_back(c);
		return (int)callers.size() - 1;
	}
	/* Builds a call; procedures below 10 are idempotent by convention. */
	int NewRequest(int caller, uint32_t proc)
	{
		Caller &c = callers[(size_t)caller];
		uint8_t args[8], sys[32], buf[1024];
		kf_rpc_auth_sys_t id = { 42, 43 };
		kf_rpc_call_t call = {};
		Request r = {};

		r.caller = caller;
		r.xid = c.next_xid++;
		r.service = c.service_id;
		r.proc = proc;
		kf_put_u32(args, (uint32_t)requests.size());
		kf_put_u32(args + 4, r.service);
		call.xid = r.xid;
		call.prog = 0x20001000;
		call.vers = 1;
		call.proc = proc;
		call.args = args;
		call.args_len = sizeof(args);
		if (c.token.empty()) {
			call.cred = { KF_RPC_AUTH_SYS,
				(uint32_t)kf_rpc_auth_sys_write(
				    &id, 0, sys, sizeof(sys)),
				sys };
		} else {
			call.cred = { KF_RPC_AUTH_SHORT,
				(uint32_t)c.token.size(), c.token.data() };
		}
		size_t len = kf_rpc_call_write(&call, buf, sizeof(buf));
		r.data.assign(buf, buf + len);
		requests.push_back(r);
		return (int)requests.size() - 1;
	}
	/* Delivers a call, or the same datagram again, to a core. */
	void Deliver(int request, size_t core)
	{
		const Request &r = requests[(size_t)request];
		Bytes data = r.data; /* replies may grow the vector */

		SendRaw(r.caller, core, data);
	}
	void SendRaw(int caller, size_t core, const Bytes &data)
	{
		kf_route_t route = { callers[(size_t)caller].addr,
			callers[(size_t)caller].service, { 0x7f000002, 9 } };

		if (Runs(core))
			kf_traffic_on_caller((*cores_)[core].traffic, Now(),
			    &route, data.data(), data.size());
	}
	int Send(int caller, uint32_t proc, size_t core)
	{
		int request = NewRequest(caller, proc);

		Deliver(request, core);
		return request;
	}
	/* Adds a caller with a flow; the ingress itself answers NULLPROC. */
	int Establish(const char *service, size_t core)
	{
		int caller = AddCaller(service);

		Send(caller, 0, core);
		return caller;
	}
	kf_token_t TokenOf(int caller)
	{
		const Caller &c = callers[(size_t)caller];
		kf_token_t token = {};

		kf_token_open(c.token.data(), c.token.size(), keys_,
		    Now().wall_ms / 1000, c.addr.ip, &token);
		return token;
	}
	size_t OwnerOf(int caller)
	{
		return TokenOf(caller).owner.vm - 100;
	}
	size_t BackupOf(int caller)
	{
		return TokenOf(caller).backup.vm - 100;
	}
	std::string UpstreamOf(int caller)
	{
		const kf_upstream_t *u = kf_declaration_upstream(
		    Declaration(), TokenOf(caller).upstream);

		return u == nullptr ? "" : u->name;
	}
	/* A VM that is neither owner nor backup of the caller's flow. */
	size_t OtherVmOf(int caller)
	{
		size_t vm = 0;

		while (vm == OwnerOf(caller) || vm == BackupOf(caller))
			vm++;
		return vm;
	}
	kf_keyring_t *Keys()
	{
		return keys_;
	}
	void AddKey(const kf_key_t &key)
	{
		kf_keyring_add(keys_, &key);
	}

	bool Deliverable(const Event &e) const
	{
		return e.kind == Event::CALL || Runs(e.core);
	}
	/* Delivers one queued datagram; keep leaves a copy in the queue. */
	void Step(size_t i, bool keep = false)
	{
		Event e = events[i];

		if (!keep)
			events.erase(events.begin() + (long)i);
		if (e.kind == Event::CALL)
			DeliverUpstreamCall(e);
		else if (!Runs(e.core))
			return;
		else if (e.kind == Event::PEER)
			DeliverPeerDatagram(e);
		else
			kf_traffic_on_upstream((*cores_)[e.core].traffic, Now(),
			    e.upstream, e.path, e.data.data(), e.data.size());
	}
	/* Delivers queued datagrams in order until none can be delivered. */
	void DeliverAll()
	{
		for (size_t i = 0; i < events.size();) {
			if (!Deliverable(events[i])) {
				i++;
				continue;
			}
			Step(i);
			i = 0;
		}
	}
	/* Removes queued peer datagrams of a type; returns how many. */
	size_t DropPeerDatagrams(kf_peer_type type)
	{
		size_t lost = 0;

		for (size_t i = 0; i < events.size();) {
			if (events[i].kind != Event::PEER ||
			    PeerType(events[i].data) != type) {
				i++;
				continue;
			}
			events.erase(events.begin() + (long)i);
			lost++;
		}
		return lost;
	}
	/* Index of the first queued peer datagram of a type, or -1. */
	int FindPeerDatagram(kf_peer_type type) const
	{
		for (size_t i = 0; i < events.size(); i++) {
			if (events[i].kind == Event::PEER &&
			    PeerType(events[i].data) == type)
				return (int)i;
		}
		return -1;
	}
	/* Sets more flags in a queued FORWARD; returns its flags. */
	uint32_t AddForwardFlags(size_t event, uint32_t more = 0)
	{
		Bytes &data = events[event].data;
		int64_t now_s = Now().wall_ms / 1000;
		Bytes out(data.size());
		kf_peer_msg msg;
		uint32_t flags;
		size_t len = 0;

		if (kf_peer_open(
			data.data(), data.size(), keys_, now_s, &msg) != KF_OK)
			return UINT32_MAX;
		msg.body.kf_peer_body_u.forward.flags |= more;
		flags = msg.body.kf_peer_body_u.forward.flags;
		kf_peer_seal(&msg, keys_, now_s, out.data(), out.size(), &len);
		kf_peer_free(&msg);
		out.resize(len);
		data = out;
		return flags;
	}
	static kf_peer_type PeerType(const Bytes &data)
	{
		/* The key id, VM and incarnation precede the type. */
		return data.size() < 20
		    ? (kf_peer_type)0
		    : (kf_peer_type)kf_get_u32(data.data() + 16);
	}
	void Tick()
	{
		for (Core &core : *cores_) {
			if (Runs(core.index) && !mutations.no_ticks)
				kf_traffic_on_tick(core.traffic, Now());
		}
	}
	/* Advances the time, with ticks and all deliveries due meanwhile. */
	void Run(int64_t ms)
	{
		DeliverAll();
		for (int64_t i = 0; i < ms; i += KF_TRAFFIC_TICK_MS) {
			now_us += KF_TRAFFIC_TICK_MS * 1000;
			Tick();
			DeliverAll();
		}
	}
	/* Queues an upstream's reply to a call. */
	void QueueReply(const Event &call, UpstreamMode mode)
	{
		Event reply = call;
		kf_rpc_reply_t out = {};
		kf_rpc_call_t in;
		kf_load_report_t report = {};
		uint8_t verf[KF_LOAD_REPORT_BYTES], buf[1024];
		Bytes data = call.data;

		kf_rpc_call_parse(data.data(), data.size(), &in);
		if (mutations.swap_answers && in.args_len >= 4)
			data[data.size() - 5] ^= 1;
		out.xid = in.xid;
		report.incarnation =
		    upstreams[NameOf(call.upstream)].incarnation;
		report.slots = 2;
		kf_load_report_write(&report, verf);
		if (mode == ANSWER) {
			out.reply_stat = KF_RPC_MSG_ACCEPTED;
			out.verf = { KF_FLAVOR_LOAD_REPORT, sizeof(verf),
				verf };
			out.results =
			    in.prog == KF_UPSTREAM_PROG ? verf : in.args;
			out.results_len = in.prog == KF_UPSTREAM_PROG
			    ? sizeof(verf)
			    : in.args_len;
		} else {
			out.reply_stat = KF_RPC_MSG_DENIED;
			out.reject_stat = 1;
			out.auth_stat = mode == SHED ? KF_RPC_AUTH_FAILED
						     : KF_RPC_AUTH_REJECTEDVERF;
		}
		size_t len = kf_rpc_reply_write(&out, buf, sizeof(buf));
		reply.kind = Event::REPLY;
		reply.data.assign(buf, buf + len);
		events.push_back(reply);
	}
	/* Answers the calls that an upstream in mode HOLD keeps. */
	size_t AnswerHeldCalls(const std::string &name)
	{
		std::vector<Event> held;

		held.swap(upstreams[name].held);
		for (const Event &e : held)
			QueueReply(e, ANSWER);
		return held.size();
	}
	void ReportUnreachable(
	    const std::string &name, size_t core, uint32_t path)
	{
		kf_traffic_on_upstream_error((*cores_)[core].traffic, Now(),
		    kf_name_id(name.c_str()), path);
	}
	std::string NameOf(uint32_t upstream) const
	{
		for (const auto &u : upstreams) {
			if (kf_name_id(u.first.c_str()) == upstream)
				return u.first;
		}
		return "?";
	}
	int Count(const char *event) const
	{
		int n = 0;

		for (const std::string &line : log)
			n += line.find(std::string(" ") + event + " ") !=
			    std::string::npos;
		return n;
	}
	bool Logged(const std::string &text) const
	{
		for (const std::string &line : log) {
			if (line.find(text) != std::string::npos)
				return true;
		}
		return false;
	}
	uint32_t InProgress() const
	{
		uint32_t n = 0;

		for (const Core &core : *cores_) {
			if (!dead[core.vm])
				n += kf_traffic_in_progress(core.traffic);
		}
		return n;
	}

	int64_t now_us = 1000000;
	bool settled = true;
	std::vector<bool> leaving, paused, dead;
	std::vector<std::string> zones;
	std::set<size_t> absent; /* VMs that no view lists */
	std::vector<Event> events;
	std::map<std::string, Upstream> upstreams;
	std::vector<Caller> callers;
	std::vector<Request> requests;
	std::vector<std::string> log; /* decisions, and datagrams between VMs */
	std::string errors;
	std::string violation; /* first broken rule; empty if none */
	std::map<uint32_t, kf_view_digest_t> digests;
	Mutations mutations;

      private:
	/* Lists the earlier incarnations of a VM as gone. */
	void AppendEndedIncarnations(
	    std::vector<kf_view_vm_t> *vms, size_t vm) const
	{
		for (size_t n = 0; n < incarnation_end_us_[vm].size(); n++) {
			kf_view_vm_t v = {};

			v.id = { (uint32_t)(100 + vm), 1000 + vm + 10 * n };
			v.shards = options_.shards;
			v.liveness = KF_VM_GONE;
			v.gone_since_us = incarnation_end_us_[vm][n];
			vms->push_back(v);
		}
	}
	void AddCore(size_t i)
	{
		if (i == 0)
			cores_->reserve(options_.vms * options_.shards);
		cores_->push_back({ this, i, i / options_.shards,
		    (uint32_t)(i % options_.shards), nullptr, nullptr });
		Start(&cores_->back());
	}
	void Start(Core *core)
	{
		kf_traffic_config_t config = {};
		const int64_t lifetime_s = 600;

		config.self = VmId(core->vm);
		config.zone = kf_name_id(zones[core->vm].c_str());
		config.shard = core->shard;
		config.seed = options_.seed * 1000 + core->index +
		    incarnations_[core->vm] * 100;
		config.paths = options_.paths;
		config.token_lifetime_s = lifetime_s;
		config.flow_limits = { 4096, 1 << 20,
			(lifetime_s + KF_RETRANSMIT_HORIZON_S) * 1000000,
			(int64_t)KF_RETRANSMIT_HORIZON_S * 1000000 };
		kf_admission_config_init(&config.admission);
		config.ops = { core, OnCaller, OnPeer, OnUpstream, OnReset,
			OnDecision };
		if (options_.config)
			options_.config(&config);
		core->traffic = kf_traffic_new(&config);
	}
	void RecordViolation(const std::string &text)
	{
		if (violation.empty())
			violation = text;
	}
	void Log(const Core &core, const std::string &text)
	{
		log.push_back("vm" + std::to_string(core.vm) +
		    (options_.shards > 1 ? "." + std::to_string(core.shard)
					 : "") +
		    " " + text);
	}
	std::string FlowName(uint64_t flow)
	{
		return flow_names_
		    .emplace(flow, "f" + std::to_string(flow_names_.size() + 1))
		    .first->second;
	}

	/* Handles a call according to the upstream's mode. */
	void DeliverUpstreamCall(const Event &e)
	{
		Upstream &u = upstreams[NameOf(e.upstream)];
		kf_rpc_call_t call;
		kf_call_info_t info = {};

		if (kf_rpc_call_parse(e.data.data(), e.data.size(), &call) !=
		    KF_OK) {
			RecordViolation("malformed call to an upstream");
			return;
		}
		if (u.silent_paths.count(e.path) != 0)
			return;
		if (call.prog == KF_UPSTREAM_PROG) {
			if (u.mode != SILENT &&
			    call.proc == KF_UPSTREAM_PROC_STATUS)
				QueueReply(e, ANSWER);
			return;
		}
		kf_call_info_read(&call.verf, &info);
		if (u.mode == SHED || u.mode == WRONG_INCARNATION ||
		    (info.upstream_incarnation != 0 &&
			info.upstream_incarnation != u.incarnation)) {
			QueueReply(
			    e, u.mode == SHED ? SHED : WRONG_INCARNATION);
			return;
		}
		Execute(requests[kf_get_u32(call.args)]);
		if (u.mode == ANSWER)
			QueueReply(e, ANSWER);
		else if (u.mode == HOLD)
			u.held.push_back(e);
	}
	void Execute(Request &r)
	{
		r.executed++;
		if (!r.idempotent() && r.executed > 1)
			RecordViolation("request executed twice");
		if (r.denied > 0 && !r.idempotent())
			RecordViolation("executed after a refusal as not run");
	}
	void DeliverPeerDatagram(const Event &e)
	{
		kf_peer_type type = PeerType(e.data);
		Bytes data = e.data;

		if (mutations.ack_nacks && type == KF_PEER_INTENT_NACK)
			data = Retype(e, KF_PEER_INTENT_ACK);
		if (mutations.forge_acks && type == KF_PEER_INTENT) {
			Event ack = e;

			ack.core = e.from;
			ack.from = e.core;
			ack.data = Retype(ack, KF_PEER_INTENT_ACK);
			events.push_back(ack);
			return;
		}
		kf_traffic_on_peer((*cores_)[e.core].traffic, Now(),
		    { (uint32_t)(0x7f00000a + VmOf(e.from)), 7000 },
		    data.data(), data.size());
	}
	/*
	 * Copies an INTENT, INTENT_ACK or INTENT_NACK with another type and
	 * e.from as its sender.
	 */
	Bytes Retype(const Event &e, kf_peer_type type)
	{
		int64_t now_s = Now().wall_ms / 1000;
		Bytes out(512);
		kf_peer_msg msg;
		size_t len = 0;

		if (kf_peer_open(e.data.data(), e.data.size(), keys_, now_s,
			&msg) != KF_OK)
			return e.data;
		/* These messages have the same layout in the union. */
		msg.body.type = type;
		msg.from.vm = VmId(VmOf(e.from)).vm;
		msg.from.incarnation = VmId(VmOf(e.from)).incarnation;
		kf_peer_seal(&msg, keys_, now_s, out.data(), out.size(), &len);
		out.resize(len);
		return out;
	}
	void DeliverCallerReply(const kf_route_t *route, const Bytes &data)
	{
		kf_rpc_reply_t reply;

		for (size_t i = 0; i < callers.size(); i++) {
			if (kf_addr_equal(callers[i].addr, route->caller) &&
			    kf_rpc_reply_parse(
				data.data(), data.size(), &reply) == KF_OK) {
				HandleReply((int)i, reply);
				return;
			}
		}
		RecordViolation("reply to an unknown caller");
	}
	void HandleReply(int caller, const kf_rpc_reply_t &reply)
	{
		size_t i;

		for (i = 0; i < requests.size(); i++) {
			if (requests[i].caller == caller &&
			    requests[i].xid == reply.xid)
				break;
		}
		if (i == requests.size()) {
			RecordViolation("reply to a request never sent");
			return;
		}
		Request &r = requests[i];
		if (r.answered == 0 &&
		    (reply.reply_stat == KF_RPC_MSG_DENIED ||
			reply.accept_stat != KF_RPC_SUCCESS))
			r.error_before_answer = true;
		if (reply.reply_stat == KF_RPC_MSG_DENIED ||
		    (mutations.deny_unknown && reply.accept_stat != 0)) {
			r.denied++;
			r.auth_stat = reply.auth_stat;
			if (r.executed > 0 && !r.idempotent())
				RecordViolation(
				    "refused as not run after execution");
		} else if (reply.accept_stat != KF_RPC_SUCCESS) {
			r.unknown++;
		} else {
			HandleAnswer((uint32_t)i, reply);
		}
	}
	void HandleAnswer(uint32_t i, const kf_rpc_reply_t &reply)
	{
		Request &r = requests[i];
		Caller &c = callers[(size_t)r.caller];

		if (mutations.lose_answers && i % 7 == 6)
			return;
		if (r.proc != 0 &&
		    (reply.results_len != 8 || kf_get_u32(reply.results) != i))
			RecordViolation("answer of another request");
		/*
		 * Like the stock client, ignore replies to calls that have
		 * ended, and keep the token of the newest call.
		 */
		if (r.answered++ > 0 || r.xid < c.token_xid)
			return;
		c.token_xid = r.xid;
		if (reply.verf.flavor == KF_RPC_AUTH_SHORT &&
		    reply.verf.len == KF_TOKEN_VERIFIER_BYTES)
			c.token.assign(reply.verf.body + 8,
			    reply.verf.body + reply.verf.len);
	}
	/* Checks a call against the declaration that its sender uses. */
	void CheckCall(const Core &core, uint32_t upstream, const Bytes &data)
	{
		const kf_declaration_t *decl = kf_declref_get(core.decl.get());
		const kf_upstream_t *u =
		    kf_declaration_upstream(decl, upstream);
		kf_rpc_call_t call;

		if (kf_rpc_call_parse(data.data(), data.size(), &call) !=
			KF_OK ||
		    call.prog == KF_UPSTREAM_PROG)
			return;
		if (u == nullptr) {
			RecordViolation("request to an undeclared upstream");
			return;
		}
		if (mutations.misroute)
			u = &decl->upstreams[decl->upstream_count - 1];
		if (decl->services[u->service].id != kf_get_u32(call.args + 4))
			RecordViolation(
			    "request to an upstream of another service");
		if (u->draining)
			RecordViolation("new request to a draining upstream");
	}

	static void OnError(void *ctx, const char *, int line, const char *text)
	{
		static_cast<TrafficWorld *>(ctx)->errors +=
		    std::to_string(line) + ": " + text + "\n";
	}
	static const kf_view_digest_t *OnDigest(void *ctx, uint32_t upstream)
	{
		TrafficWorld *world = static_cast<TrafficWorld *>(ctx);
		auto it = world->digests.find(upstream);

		return it == world->digests.end() ? nullptr : &it->second;
	}
	static void OnCaller(
	    void *ctx, const kf_route_t *route, const uint8_t *data, size_t len)
	{
		Core *core = static_cast<Core *>(ctx);

		if (len > 65507 - KF_PROXY_HEADER_BYTES)
			core->world->RecordViolation("reply too large to send");
		core->world->DeliverCallerReply(route, Bytes(data, data + len));
	}
	static void OnPeer(
	    void *ctx, kf_addr_t to, const uint8_t *data, size_t len)
	{
		static const char *const names[] = { "?", "HEARTBEAT",
			"FORWARD", "INTENT", "INTENT_ACK", "INTENT_NACK",
			"DONE", "LEASE", "LEASE_ACK" };
		Core *core = static_cast<Core *>(ctx);
		TrafficWorld *world = core->world;
		Event e = {};

		e.kind = Event::PEER;
		e.core = (to.ip - 0x7f00000a) * world->options_.shards +
		    (to.port - 7000u);
		e.from = core->index;
		e.data.assign(data, data + len);
		kf_peer_type type = PeerType(e.data);
		if (type < KF_PEER_LEASE)
			world->Log(*core,
			    std::string("> ") + names[type] + " vm" +
				std::to_string(world->VmOf(e.core)));
		if (e.core >= world->cores_->size())
			world->RecordViolation("datagram to an unknown VM");
		else if (!world->dead[world->VmOf(e.core)])
			world->events.push_back(e);
	}
	static void OnUpstream(void *ctx, uint32_t upstream, kf_addr_t to,
	    uint32_t path, const uint8_t *data, size_t len)
	{
		Core *core = static_cast<Core *>(ctx);
		Event e = {};

		e.kind = Event::CALL;
		e.core = core->index;
		e.upstream = upstream;
		e.path = path;
		e.addr = to;
		e.data.assign(data, data + len);
		core->world->CheckCall(*core, upstream, e.data);
		core->world->events.push_back(e);
	}
	static void OnReset(void *ctx, uint32_t upstream, uint32_t path)
	{
		TrafficWorld *world = static_cast<Core *>(ctx)->world;

		world->upstreams[world->NameOf(upstream)].silent_paths.erase(
		    path);
	}
	static void OnDecision(void *ctx, const kf_decision_t *d)
	{
		Core *core = static_cast<Core *>(ctx);
		std::string line = kf_event_name(d->event);

		if (d->reason != KF_REASON_NONE)
			line +=
			    std::string(" reason=") + kf_reason_name(d->reason);
		for (auto &field : { std::make_pair("service", d->service),
			 std::make_pair("selector", d->selector),
			 std::make_pair("upstream", d->upstream),
			 std::make_pair("vm", d->vm) }) {
			if (field.second != nullptr)
				line += std::string(" ") + field.first + "=" +
				    field.second;
		}
		if (d->flow != 0)
			line += " flow=" + core->world->FlowName(d->flow);
		if (d->xid != 0 && d->caller.ip != 0)
			line += " xid=" + std::to_string(d->xid) +
			    " proc=" + std::to_string(d->proc);
		core->world->Log(*core, line + " ");
	}

	Options options_;
	kf_keyring_t *keys_;
	std::shared_ptr<kf_declref_t> decl_;
	std::vector<kf_liveness_t> liveness_;
	std::vector<int64_t> gone_since_us_;
	std::vector<uint64_t> incarnations_;
	std::vector<std::vector<int64_t>>
	    incarnation_end_us_; /* by incarnation */
	/* Never reallocated: callbacks hold pointers to its elements. */
	std::unique_ptr<std::vector<Core>> cores_ =
	    std::make_unique<std::vector<Core>>();
	std::map<uint64_t, std::string> flow_names_;
};

/*
 * Builds a declaration with two services: orders has the upstreams a, b and c,
 * certs has d.
 */
struct DeclarationText {
	uint32_t revision = 1;
	std::string drained; /* name of a draining upstream */
	std::string removed; /* name of an upstream left out */
	std::string far;     /* name of an upstream in z2 */
	std::string moved;   /* name of an upstream moved to certs */
	std::string selectors =
	    "[selector orders-all]\nservice = orders\nmatch = "
	    "service=orders\nshare_percent = 100\n";
	bool orders = true;
	uint32_t slots = 2;
	uint32_t deadline_ms = 2000;

	std::string Build() const
	{
		std::string s =
		    "[declaration]\nrevision = " + std::to_string(revision) +
		    "\n";

		if (orders)
			s += Service("orders", 2049) + selectors;
		s += Service("certs", 2050) +
		    "[selector certs-all]\nservice = certs\n"
		    "match = service=certs\n"
		    "share_percent = 100\n";
		const char *names[] = { "a", "b", "c", "d" };
		for (int i = 0; i < 4; i++)
			s += UpstreamText(names[i], i);
		return s;
	}

      private:
	std::string Service(const char *name, int port) const
	{
		return std::string("[service ") + name +
		    "]\naddress = 127.0.0.1:" + std::to_string(port) +
		    "\ndeadline_ms = " + std::to_string(deadline_ms) +
		    "\nprocedure.1 = idempotent\n"
		    "procedure.2 = idempotent urgent\n"
		    "procedure.3 = idempotent bulk\n"
		    "procedure.11 = non-idempotent\n"
		    "procedure.12 = non-idempotent urgent\n";
	}
	std::string UpstreamText(const std::string &name, int i) const
	{
		bool certs = name == "d" || name == moved;

		if (name == removed || (!certs && !orders))
			return "";
		return "[upstream " + name +
		    "]\nservice = " + (certs ? "certs" : "orders") +
		    "\nzone = " + (name == far ? "z2" : "z1") +
		    "\naddress = 127.0.1." + std::to_string(i + 1) +
		    ":2049\nslots = " + std::to_string(slots) +
		    "\nlabels = gen=" + (name == "c" ? "new" : "old") + "\n" +
		    (name == drained ? "state = draining\n" : "");
	}
};

} // namespace kf_test

#endif
