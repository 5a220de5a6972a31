#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <vector>

#include "kf/membership.h"

namespace {

constexpr int64_t kSecond = 1000000;
constexpr int64_t kStep = 100000;

kf_addr_t
Addr(uint32_t vm)
{
	return { 0x7f010000 + vm, 7000 };
}

struct Deleter {
	void operator()(kf_membership_t *m) const
	{
		kf_membership_delete(m);
	}
};
using Membership = std::unique_ptr<kf_membership_t, Deleter>;

Membership
Make(uint32_t vm, uint64_t incarnation = 1, uint32_t zone = 1)
{
	kf_membership_config_t config = {};

	config.self = { vm, incarnation };
	config.name = "self";
	config.zone = zone;
	config.control = Addr(vm);
	config.peer = { Addr(vm).ip, 7100 };
	config.shards = 2;
	config.seed = vm * 1000 + incarnation;
	return Membership(kf_membership_new(&config));
}

kf_status_t
List(kf_membership_t *m, int64_t now, uint64_t version,
    const std::vector<uint32_t> &vms, uint32_t zones = 1)
{
	std::vector<kf_vm_entry_t> entries;

	for (uint32_t vm : vms) {
		kf_vm_entry_t entry = {};

		entry.id = vm;
		snprintf(entry.name, sizeof(entry.name), "vm-%u", vm);
		entry.addr = Addr(vm);
		entry.zone = 1 + vm % zones;
		entries.push_back(entry);
	}
	kf_vm_list_t list = { (uint32_t)entries.size(), entries.data() };
	return kf_membership_on_list(m, now, &list, version);
}

struct Heartbeat {
	kf_peer_id from;
	kf_peer_heartbeat hb = {};

	Heartbeat(uint32_t vm, uint64_t incarnation, uint32_t sequence)
	    : from{ vm, incarnation }
	{
		hb.sequence = sequence;
		hb.addr = Addr(vm).ip;
		hb.ports = 7000u << 16 | 7100;
		hb.zone = 1;
		hb.state = 2 << 8 | KF_PEER_OBSERVE;
	}

	kf_status_t To(const Membership &m, int64_t now) const
	{
		return kf_membership_on_heartbeat(
		    m.get(), now, &hb, from, { hb.addr, 7000 });
	}
};

void
TickUntil(const Membership &m, int64_t *now, int64_t until)
{
	for (; *now < until; *now += kStep)
		kf_membership_tick(m.get(), *now);
	kf_membership_tick(m.get(), *now);
}

kf_member_t
Get(const Membership &m, uint32_t vm, uint64_t incarnation)
{
	kf_member_t member = {};

	EXPECT_EQ(
	    KF_OK, kf_membership_find(m.get(), { vm, incarnation }, &member))
	    << vm << " " << incarnation;
	return member;
}

/* VM 1 after a heartbeat of VM 2, incarnation 5, at time 0. */
struct OnePeer : testing::Test {
	Membership m = Make(1);
	int64_t now = 0;

	OnePeer()
	{
		kf_membership_tick(m.get(), 0);
		List(m.get(), 0, 1, { 1, 2 });
		Heartbeat(2, 5, 10).To(m, 0);
	}

	/* VMs 2, 3 and 4 send heartbeats for 40 s and are all listed. */
	void ReceiveHeartbeatsFor40s()
	{
		for (uint32_t i = 11; now < 40 * kSecond; i++) {
			TickUntil(m, &now, now + 5 * kStep);
			for (uint32_t vm = 2; vm <= 4; vm++)
				Heartbeat(vm, 5, i).To(m, now);
			List(m.get(), now, 1 + i, { 1, 2, 3, 4 });
		}
	}

	kf_liveness_t Liveness(uint64_t incarnation = 5)
	{
		return Get(m, 2, incarnation).liveness;
	}
};

/* Guards against a dead VM that is considered alive because it is listed. */
TEST_F(OnePeer, SilenceMakesAListedVmSuspectThenDead)
{
	EXPECT_EQ(KF_VM_ALIVE, Liveness());
	TickUntil(m, &now, KF_SUSPECT_US);
	EXPECT_EQ(KF_VM_SUSPECT, Liveness());
	TickUntil(m, &now, 10 * kSecond);
	EXPECT_EQ(KF_VM_DEAD, Liveness());
}

/*
 * Guards against a VM that sends heartbeats but is considered gone because a
 * list omits it: its peer would dispatch without it.
 */
TEST_F(OnePeer, RemovalFromTheListNeedsSilence)
{
	ReceiveHeartbeatsFor40s();
	ASSERT_EQ(KF_OK, List(m.get(), now, 1000, { 1, 3, 4 }));
	TickUntil(m, &now, now + kSecond);
	EXPECT_EQ(KF_VM_ALIVE, Liveness());
	TickUntil(m, &now, now + 3 * kSecond);
	EXPECT_EQ(KF_VM_GONE, Liveness());
	EXPECT_EQ(KF_VM_DEAD, Get(m, 3, 5).liveness);
}

/* Guards against an outdated list ending the new process after a restart. */
TEST_F(OnePeer, ListThatLagsBehindARestartEndsNothing)
{
	ReceiveHeartbeatsFor40s();
	Heartbeat(2, 6, 1).To(m, now);
	ASSERT_EQ(KF_OK, List(m.get(), now, 1000, { 1, 3, 4 }));
	TickUntil(m, &now, now + 5 * kSecond);
	EXPECT_EQ(KF_VM_DEAD, Liveness(6));
}

TEST_F(OnePeer, VmNotYetListedIsAMember)
{
	Heartbeat(3, 7, 1).To(m, 0);
	EXPECT_EQ(KF_VM_ALIVE, Get(m, 3, 7).liveness);
	EXPECT_EQ(Addr(3).ip, Get(m, 3, 7).control.ip);
}

/* Guards against a faulty list that removes the whole fleet. */
TEST_F(OnePeer, EmptyOrStaleListDropsNoMember)
{
	ReceiveHeartbeatsFor40s();
	EXPECT_EQ(KF_OK, List(m.get(), now, 1000, {}));
	EXPECT_EQ(KF_ERR_STALE, List(m.get(), now, 999, { 9 }));
	EXPECT_EQ(KF_VM_ALIVE, Liveness());
	EXPECT_EQ(4u, kf_membership_count(m.get()));
	TickUntil(m, &now, now + 10 * kSecond);
	EXPECT_EQ(KF_VM_DEAD, Liveness());
}

/* Guards against a delayed heartbeat that makes an ended process alive. */
TEST_F(OnePeer, NewIncarnationEndsTheOldOne)
{
	TickUntil(m, &now, kSecond);
	ASSERT_EQ(KF_OK, Heartbeat(2, 6, 1).To(m, now));
	EXPECT_EQ(KF_VM_GONE, Liveness(5));
	EXPECT_EQ(kSecond, Get(m, 2, 5).gone_since_us);
	EXPECT_EQ(KF_ERR_STALE, Heartbeat(2, 5, 11).To(m, now));
	EXPECT_EQ(KF_VM_ALIVE, Liveness(6));
	TickUntil(m, &now, now + KF_TOMBSTONE_US - kStep);
	EXPECT_EQ(KF_VM_GONE, Liveness(5));
	TickUntil(m, &now, now + kStep);
	kf_member_t member;
	EXPECT_EQ(
	    KF_ERR_NOT_FOUND, kf_membership_find(m.get(), { 2, 5 }, &member));
}

/* Guards against duplicated datagrams that keep a dead VM alive. */
TEST_F(OnePeer, SequenceGoingBackwardsIsNoEvidence)
{
	TickUntil(m, &now, 2 * kSecond);
	EXPECT_EQ(KF_ERR_STALE, Heartbeat(2, 5, 10).To(m, now));
	EXPECT_EQ(KF_ERR_STALE, Heartbeat(2, 5, 9).To(m, now));
	EXPECT_EQ(KF_VM_SUSPECT, Liveness());
}

TEST_F(OnePeer, SecondUnreachableErrorIsDefinite)
{
	TickUntil(m, &now, kSecond);
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	EXPECT_NE(KF_VM_GONE, Liveness());
	kf_membership_on_unreachable(m.get(), now, { Addr(2).ip, 7101 });
	EXPECT_EQ(KF_VM_GONE, Liveness());
	EXPECT_EQ(now, Get(m, 2, 5).gone_since_us);
}

/* Guards against two errors hours apart that end a running process. */
TEST_F(OnePeer, HeartbeatClearsAnUnreachableError)
{
	TickUntil(m, &now, kSecond);
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	Heartbeat(2, 5, 11).To(m, now);
	TickUntil(m, &now, now + kSecond);
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	EXPECT_EQ(KF_VM_ALIVE, Liveness());
}

/* Guards against errors that belong to the process before a restart. */
TEST_F(OnePeer, UnreachableErrorsAfterAHeartbeatAreIgnored)
{
	TickUntil(m, &now, kSecond);
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	Heartbeat(2, 6, 1).To(m, now);
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	kf_membership_on_unreachable_vm(m.get(), now, 2);
	kf_membership_on_unreachable_vm(m.get(), now, 3);
	EXPECT_EQ(KF_VM_ALIVE, Liveness(6));
}

/* Guards against an owner that acts on liveness from before a pause. */
TEST_F(OnePeer, PauseMakesPeersUnknownUntilNewEvidence)
{
	Heartbeat(3, 1, 1).To(m, 0);
	TickUntil(m, &now, kSecond);
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	kf_membership_on_unreachable(m.get(), now, Addr(2));
	ASSERT_EQ(KF_VM_GONE, Liveness());
	now += KF_PAUSE_US + 1;
	kf_membership_tick(m.get(), now);
	EXPECT_TRUE(kf_membership_paused(m.get()));
	EXPECT_EQ(KF_VM_UNKNOWN, Liveness());
	EXPECT_EQ(KF_VM_UNKNOWN, Get(m, 3, 1).liveness);
	Heartbeat(3, 1, 2).To(m, now);
	EXPECT_EQ(KF_VM_ALIVE, Get(m, 3, 1).liveness);
	TickUntil(m, &now, now + KF_DEAD_US);
	EXPECT_FALSE(kf_membership_paused(m.get()));
	EXPECT_EQ(KF_VM_DEAD, Liveness());
}

/*
 * Guards against waiting forever for the end of a process whose address is used
 * by a newer one.
 */
TEST_F(OnePeer, LaterProcessAtTheAddressEndsTheOther)
{
	Heartbeat other(3, 9, 1);

	other.hb.addr = Addr(2).ip;
	EXPECT_EQ(KF_OK, other.To(m, now));
	TickUntil(m, &now, 4 * kSecond);
	EXPECT_EQ(KF_VM_DEAD, Liveness());
	other.hb.sequence = 2;
	EXPECT_EQ(KF_OK, other.To(m, now));
	TickUntil(m, &now, 5 * kSecond);
	EXPECT_EQ(KF_VM_GONE, Liveness());
	EXPECT_EQ(KF_VM_ALIVE, Get(m, 3, 9).liveness);
}

TEST_F(OnePeer, LeavingIsKeptUntilTheNextIncarnation)
{
	Heartbeat leaving(2, 5, 11);

	leaving.hb.state |= KF_PEER_LEAVING;
	leaving.To(m, 0);
	List(m.get(), 0, 2, { 1, 2 });
	EXPECT_TRUE(Get(m, 2, 5).leaving);
	Heartbeat(2, 6, 1).To(m, 0);
	EXPECT_FALSE(Get(m, 2, 6).leaving);
}

/* Guards against peers that relay an expired VM to each other forever. */
TEST_F(OnePeer, OldEvidenceAddsNoVm)
{
	kf_peer_evidence evidence = {};

	TickUntil(m, &now, 400 * kSecond);
	evidence.id = { 9, 1 };
	evidence.state = 30000u << 16;
	kf_membership_on_evidence(m.get(), now, &evidence, 1);
	EXPECT_EQ(2u, kf_membership_count(m.get()));
	evidence.state = 29999u << 16;
	kf_membership_on_evidence(m.get(), now, &evidence, 1);
	EXPECT_EQ(3u, kf_membership_count(m.get()));
	TickUntil(m, &now, now + kStep);
	EXPECT_EQ(2u, kf_membership_count(m.get()));
}

/* Guards against a new version, and so a new view, with every heartbeat. */
TEST_F(OnePeer, VersionChangesOnlyWithContents)
{
	uint64_t version = kf_membership_version(m.get());

	TickUntil(m, &now, kSecond);
	Heartbeat(2, 5, 11).To(m, now);
	List(m.get(), now, 2, { 1, 2 });
	EXPECT_EQ(version, kf_membership_version(m.get()));
	Heartbeat(2, 6, 1).To(m, now);
	EXPECT_NE(version, kf_membership_version(m.get()));
}

TEST(Membership, SeedsAreContactedBeforeAnyList)
{
	Membership m = Make(1);
	kf_heartbeat_target_t out[KF_TARGETS_MAX];

	kf_membership_add_seed(m.get(), Addr(1));
	kf_membership_add_seed(m.get(), Addr(2));
	ASSERT_EQ(1u, kf_membership_targets(m.get(), 0, out, KF_TARGETS_MAX));
	EXPECT_TRUE(kf_addr_equal(Addr(2), out[0].addr));
	Heartbeat(2, 5, 1).To(m, 1);
	ASSERT_EQ(
	    1u, kf_membership_targets(m.get(), kSecond, out, KF_TARGETS_MAX));
	EXPECT_EQ(2u, out[0].vm);
}

/* Guards against choosing listed VMs that never ran as observers. */
TEST(Membership, ObserversAreVmsThatRun)
{
	Membership m = Make(1);
	kf_heartbeat_target_t out[KF_TARGETS_MAX];
	std::vector<uint32_t> vms(100);

	std::iota(vms.begin(), vms.end(), 1);
	List(m.get(), 0, 1, vms);
	int64_t now = 0;
	TickUntil(m, &now, 301 * kSecond);
	for (uint32_t vm = 2; vm <= 4; vm++)
		Heartbeat(vm, 1, 1).To(m, now);
	size_t n = kf_membership_targets(m.get(), now, out, KF_TARGETS_MAX);
	for (size_t i = 0; i < n; i++)
		EXPECT_EQ(out[i].vm <= 4, out[i].observe) << out[i].vm;
}

/* Guards against an unnoticed restart after the clock was set back. */
TEST(Membership, ReportsANewerIncarnationOfItself)
{
	Membership m = Make(1, 5);

	EXPECT_EQ(KF_ERR_CONFLICT, Heartbeat(1, 8, 1).To(m, 0));
	EXPECT_EQ(8u, kf_membership_newest_own_incarnation(m.get()));
}

/*
 * Returns the bytes a second, headers included, that VM 1 of a steady fleet
 * sends.
 */
double
SentBytesPerSecond(uint32_t zones, uint32_t per_zone)
{
	Membership m = Make(1, 1, 1 + 1 % zones);
	std::vector<uint32_t> vms;
	std::vector<kf_peer_digest> digests(KF_PEER_MAX_DIGESTS);
	std::vector<uint8_t> buf(65536);
	kf_heartbeat_target_t out[KF_TARGETS_MAX];
	size_t sent = 0, len;

	kf_membership_add_seed(m.get(), Addr(60000));
	for (uint32_t vm = 1; vm <= zones * per_zone; vm++)
		vms.push_back(vm);
	List(m.get(), 0, 1, vms, zones);
	for (int64_t now = 0, round = 1; now < 30 * kSecond; now += kStep) {
		for (uint32_t vm = 2; vm < 32 && vm <= vms.size(); vm++)
			Heartbeat(vm, 1, round).To(m, now);
		Heartbeat(2, 1 + round, 1).To(m, now);
		round++;
		kf_membership_tick(m.get(), now);
		size_t n =
		    kf_membership_targets(m.get(), now, out, KF_TARGETS_MAX);
		for (size_t i = 0; i < n; i++) {
			kf_peer_msg msg = {};
			kf_peer_heartbeat *hb =
			    &msg.body.kf_peer_body_u.heartbeat;

			msg.body.type = KF_PEER_HEARTBEAT;
			kf_membership_fill_heartbeat(m.get(), now, &out[i], hb);
			hb->digests.digests_len =
			    kf_membership_digest_max(m.get(), hb);
			hb->digests.digests_val = digests.data();
			EXPECT_EQ(KF_OK,
			    kf_peer_encode(&msg, buf.data(), buf.size(), &len));
			sent += len + KF_MAC_BYTES + KF_UDP_IP_BYTES;
		}
	}
	return sent / 30.0;
}

/* Guards against control traffic that takes bandwidth from client packets. */
TEST(Membership, HeartbeatsFitTheBudget)
{
	static const uint32_t fleets[][2] = { { 1, 8 }, { 3, 2 }, { 1, 16 },
		{ 3, 8 }, { 3, 16 }, { 1, 700 }, { 22, 700 } };

	for (auto &fleet : fleets) {
		double sent = SentBytesPerSecond(fleet[0], fleet[1]);

		printf("zones=%u vms_per_zone=%u sent_bytes_per_s=%.0f\n",
		    fleet[0], fleet[1], sent);
		EXPECT_LE(sent, KF_CONTROL_BYTES_PER_S);
		EXPECT_GT(sent, KF_CONTROL_BYTES_PER_S / 4);
	}
}

struct Packet {
	int64_t at;
	uint32_t to;
	bool unreachable;
	kf_peer_id from;
	kf_peer_heartbeat hb;
	std::vector<kf_peer_evidence> evidence;
};

/* Processes that exchange delayed, lost and reordered heartbeats. */
struct Fleet {
	struct Process {
		Membership m;
		uint64_t incarnation = 0;
		int64_t resume = 0;
	};
	uint32_t zones;
	std::mt19937 random;
	std::map<uint32_t, Process> vms; /* m is null: not running */
	std::vector<Packet> packets;
	int64_t now = kSecond;
	uint64_t list_version = 1;
	int loss_percent = 0;
	int64_t delay = 1;
	uint32_t isolated_vm = 0;     /* sends and receives nothing */
	bool partition_zones = false; /* zones cannot reach each other */
	/* Injected fault: VMs that run cause port-unreachable errors. */
	bool false_errors = false;

	Fleet(uint32_t count, uint32_t zone_count, uint32_t seed)
	    : zones(zone_count), random(seed)
	{
		for (uint32_t vm = 1; vm <= count; vm++)
			vms[vm];
		for (auto &vm : vms)
			Start(vm.first);
	}

	void Start(uint32_t vm)
	{
		Process &p = vms[vm];

		p.incarnation = (uint64_t)now;
		p.m = Make(vm, p.incarnation, 1 + vm % zones);
		p.resume = 0;
		Publish(vm);
	}

	void Publish(uint32_t vm)
	{
		std::vector<uint32_t> ids;

		for (auto &p : vms)
			ids.push_back(p.first);
		List(vms[vm].m.get(), now, ++list_version, ids, zones);
	}

	void Queue(Packet packet)
	{
		if ((int)(random() % 100) < loss_percent)
			return;
		packet.at = now + random() % delay;
		packets.push_back(std::move(packet));
	}

	void Send(uint32_t vm, Process &p)
	{
		kf_heartbeat_target_t out[KF_TARGETS_MAX];
		size_t n =
		    kf_membership_targets(p.m.get(), now, out, KF_TARGETS_MAX);

		for (size_t i = 0; i < n; i++) {
			Packet packet = {};
			kf_peer_heartbeat *hb = &packet.hb;

			packet.to = out[i].addr.ip - Addr(0).ip;
			packet.from = { vm, p.incarnation };
			kf_membership_fill_heartbeat(
			    p.m.get(), now, &out[i], hb);
			packet.evidence.assign(hb->evidence.evidence_val,
			    hb->evidence.evidence_val +
				hb->evidence.evidence_len);
			Queue(packet);
		}
	}

	void Deliver(Packet &packet)
	{
		Process &to = vms[packet.to];
		uint32_t from = packet.from.vm;

		if (packet.to == isolated_vm || from == isolated_vm ||
		    (partition_zones && (packet.to - from) % zones != 0))
			return;
		if (packet.unreachable) {
			if (to.m)
				kf_membership_on_unreachable(
				    to.m.get(), now, Addr(from));
			return;
		}
		if (!to.m || (false_errors && to.resume > 0)) {
			Packet error = {};
			error.to = from;
			error.from.vm = packet.to;
			error.unreachable = true;
			Queue(error);
			return;
		}
		packet.hb.evidence.evidence_val = packet.evidence.data();
		kf_membership_on_heartbeat(to.m.get(), now, &packet.hb,
		    packet.from, { packet.hb.addr, 7000 });
	}

	void Step()
	{
		std::vector<Packet> due;

		now += kStep;
		for (size_t i = 0; i < packets.size();) {
			int64_t resume = vms[packets[i].to].resume;

			if (packets[i].at > now ||
			    (resume > now && !false_errors)) {
				i++;
				continue;
			}
			due.push_back(std::move(packets[i]));
			packets[i] = std::move(packets.back());
			packets.pop_back();
		}
		for (auto &packet : due)
			Deliver(packet);
		for (auto &p : vms) {
			if (!p.second.m || p.second.resume > now)
				continue;
			p.second.resume = 0;
			kf_membership_tick(p.second.m.get(), now);
			Send(p.first, p.second);
		}
	}

	void Run(int64_t duration)
	{
		for (int64_t end = now + duration; now < end;)
			Step();
	}

	/* Counts the other VMs whose view of a VM satisfies a condition. */
	template <class Condition>
	int CountViews(uint32_t vm, Condition condition)
	{
		int count = 0;

		for (auto &p : vms) {
			kf_member_t member = {};
			kf_status_t status;

			if (!p.second.m || p.first == vm)
				continue;
			status = kf_membership_find(p.second.m.get(),
			    { vm, vms[vm].incarnation }, &member);
			count += condition(status == KF_OK, member.liveness);
		}
		return count;
	}

	/* Counts views in which a running process is considered gone. */
	int CountFalselyGone()
	{
		int count = 0;

		for (auto &p : vms)
			if (p.second.m)
				count += CountViews(
				    p.first, [](bool, kf_liveness_t l) {
					    return l == KF_VM_GONE;
				    });
		return count;
	}

	int CountDisagreements()
	{
		int count = 0;

		for (auto &p : vms) {
			bool runs = p.second.m != nullptr;

			count += CountViews(
			    p.first, [runs](bool f, kf_liveness_t l) {
				    return runs ? !f || l != KF_VM_ALIVE
						: f && l < KF_VM_DEAD;
			    });
		}
		return count;
	}

	void ApplyFault(uint32_t op)
	{
		uint32_t vm = 1 + random() % vms.size();
		Process &p = vms[vm];

		if (op == 0)
			p.m.reset();
		else if (op == 1)
			Start(vm);
		else if (op == 2 && p.m)
			p.resume = now + 1 + random() % (5 * kSecond);
		else if (op == 3)
			isolated_vm = isolated_vm == 0 ? vm : 0;
		else if (op == 4 && p.m)
			List(p.m.get(), now, ++list_version, {});
		else if (op == 5 && p.m)
			Publish(vm);
	}
};

/* Applies random faults; returns how many false KF_VM_GONE views there were. */
int
RunHistory(Fleet &fleet, const std::vector<uint32_t> &ops)
{
	int gone = 0;

	fleet.loss_percent = 10;
	fleet.delay = 8 * kStep;
	for (uint32_t op : ops) {
		fleet.ApplyFault(op % 8);
		for (uint32_t i = 0; i < 1 + op / 8 % 16; i++) {
			fleet.Step();
			gone += fleet.CountFalselyGone();
		}
	}
	fleet.loss_percent = 0;
	fleet.delay = 1;
	fleet.isolated_vm = 0;
	return gone;
}

void
CheckHistories(uint32_t min_vms, uint32_t max_vms, uint32_t zones)
{
	auto count = *rc::gen::inRange(min_vms, max_vms + 1);
	auto seed = *rc::gen::arbitrary<uint32_t>();
	auto ops = *rc::gen::container<std::vector<uint32_t>>(
	    rc::gen::inRange(0u, 128u));
	Fleet fleet(count, zones, seed);

	RC_ASSERT(RunHistory(fleet, ops) == 0);
	fleet.Run(30 * kSecond);
	RC_ASSERT(fleet.CountFalselyGone() == 0);
	RC_ASSERT(fleet.CountDisagreements() == 0);
}

TEST(MembershipProperty, MeshNeverEndsALiveVmAndConverges)
{
	ASSERT_TRUE(rc::check([] { CheckHistories(2, KF_MESH_MAX, 2); }));
}

TEST(MembershipProperty, SampleNeverEndsALiveVmAndConverges)
{
	ASSERT_TRUE(rc::check([] { CheckHistories(9, 14, 2); }));
}

/*
 * Guards against relays that move a reported silence to a later time, so that a
 * running VM stays suspect forever.  The property above found this history.
 */
TEST(MembershipProperty, RefutationEndsAReportOfSilence)
{
	Fleet fleet(11, 2, 10547);

	RunHistory(fleet, { 4, 20, 44, 48, 51, 32, 20, 0, 44, 32, 51 });
	fleet.Run(30 * kSecond);
	EXPECT_EQ(0, fleet.CountDisagreements());
}

/* Shows that the KF_VM_GONE check fails if running VMs cause errors. */
TEST(MembershipProperty, CheckNoticesErrorsOfARunningProcess)
{
	Fleet fleet(4, 1, 1);

	fleet.false_errors = true;
	EXPECT_GT(RunHistory(fleet, std::vector<uint32_t>(20, 122)), 0);
}

/*
 * Guards against an unreachable zone that is considered alive because no
 * observer of its VMs can be heard to report them silent.
 */
TEST(Membership, LostZoneIsDeadUntilItIsHeardAgain)
{
	Fleet fleet(12, 2, 1);
	auto dead = [](bool found, kf_liveness_t l) {
		return found && l == KF_VM_DEAD;
	};

	fleet.Run(10 * kSecond);
	EXPECT_EQ(0, fleet.CountDisagreements());
	fleet.partition_zones = true;
	fleet.Run(25 * kSecond);
	for (auto &p : fleet.vms)
		EXPECT_EQ(6, fleet.CountViews(p.first, dead)) << p.first;
	fleet.partition_zones = false;
	fleet.Run(10 * kSecond);
	EXPECT_EQ(0, fleet.CountDisagreements());
	EXPECT_EQ(0, fleet.CountFalselyGone());
}

/*
 * Guards against false reports of silence: when the fleet outgrows the full
 * mesh, VMs must tell former observers that they will send less often.
 */
TEST(Membership, GrowthBeyondTheMeshSuspectsNobody)
{
	Fleet fleet(KF_MESH_MAX, 1, 1);
	auto silent = [](bool found, kf_liveness_t l) {
		return found && l >= KF_VM_SUSPECT;
	};

	fleet.Run(5 * kSecond);
	fleet.vms[KF_MESH_MAX + 1];
	fleet.Start(KF_MESH_MAX + 1);
	for (int i = 0; i < 100; i++) {
		fleet.Step();
		for (auto &p : fleet.vms)
			EXPECT_EQ(0, fleet.CountViews(p.first, silent))
			    << p.first;
	}
}

/* Guards against a death that is known to the observers only. */
TEST(Membership, DeathInALargeZoneReachesEveryVm)
{
	Fleet fleet(200, 1, 1);
	int64_t start;

	fleet.loss_percent = 1;
	fleet.Run(60 * kSecond);
	EXPECT_EQ(0, fleet.CountFalselyGone());
	fleet.vms[7].m.reset();
	start = fleet.now;
	auto unaware = [](bool found, kf_liveness_t l) {
		return found && l < KF_VM_DEAD;
	};
	while (fleet.CountViews(7, unaware) > 0 &&
	    fleet.now < start + 30 * kSecond)
		fleet.Step();
	printf("vms=200 dead_everywhere_after_s=%.1f\n",
	    (fleet.now - start) / 1e6);
	EXPECT_EQ(0, fleet.CountViews(7, unaware));

	/* A VM that starts learns of the other VMs from one snapshot. */
	std::vector<kf_peer_evidence> evidence(200);
	fleet.Start(7);
	kf_membership_t *started = fleet.vms[7].m.get();
	kf_membership_t *peer = fleet.vms[8].m.get();
	EXPECT_EQ(199u, kf_membership_unknown_count(started));
	evidence.resize(kf_membership_snapshot(
	    peer, fleet.now, evidence.data(), evidence.size()));
	kf_membership_on_evidence(
	    started, fleet.now, evidence.data(), evidence.size());
	/* The peer itself is not part of its snapshot. */
	EXPECT_LE(kf_membership_unknown_count(started), 3u);
}

} // namespace
