#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kf/confdist.h"

namespace {

constexpr int64_t kSecond = 1000000;
constexpr int64_t kStep = 100000;
const kf_doc_source_t kPlatform = { 0, 0 };

/* Documents are "REVISION anything"; one that starts with "bad" is invalid. */
struct Parser {
	int parsed = 0;
	bool ignore_revision = false; /* injected fault */

	static kf_status_t Parse(
	    void *ctx, kf_doc_kind_t, const char *text, size_t len, void **doc)
	{
		std::string copy(text, len);

		static_cast<Parser *>(ctx)->parsed++;
		if (copy.rfind("bad", 0) == 0)
			return kf_status_set(KF_ERR_INVALID, "bad document");
		*doc = new uint32_t(strtoul(copy.c_str(), nullptr, 10));
		return KF_OK;
	}

	static void Free(void *, kf_doc_kind_t, void *doc)
	{
		delete static_cast<uint32_t *>(doc);
	}

	static uint32_t RevisionOf(void *ctx, kf_doc_kind_t, const void *doc)
	{
		if (static_cast<Parser *>(ctx)->ignore_revision)
			return 0;
		return *static_cast<const uint32_t *>(doc);
	}
};

struct Fetch {
	bool platform;
	kf_doc_kind_t kind;
	uint64_t after;
	uint32_t wait_ms;
	kf_doc_source_t peer;
	kf_doc_version_t version;
};

struct Deleter {
	void operator()(kf_confdist_t *c) const
	{
		kf_confdist_delete(c);
	}
};

struct Node {
	Parser parser;
	std::unique_ptr<kf_confdist_t, Deleter> c;
	std::vector<Fetch> fetches; /* of the last tick */
	int64_t start_window_us = KF_START_WINDOW_US;

	void Start(uint32_t vm, uint32_t zone, uint32_t seeds, uint64_t seed)
	{
		kf_confdist_config_t config = {};

		config.self = { vm, 1 };
		config.zone = zone;
		config.seed = seed;
		config.seed_count = seeds;
		config.start_window_us = start_window_us;
		config.ops = { &parser, Parser::Parse, Parser::Free,
			Parser::RevisionOf };
		c.reset(kf_confdist_new(&config));
	}

	kf_doc_result_t Document(int64_t now, const std::string &text,
	    uint64_t version, kf_doc_source_t source = kPlatform,
	    kf_doc_kind_t kind = KF_DOC_DECLARATION)
	{
		return kf_confdist_on_document(c.get(), now, kind, source,
		    version, text.data(), text.size());
	}

	const std::vector<Fetch> &Tick(int64_t now)
	{
		kf_confdist_actions_t actions = {};

		actions.ctx = this;
		actions.fetch_platform = [](void *ctx, kf_doc_kind_t kind,
					     uint64_t after, uint32_t wait_ms) {
			static_cast<Node *>(ctx)->fetches.push_back(
			    { true, kind, after, wait_ms, {}, {} });
		};
		actions.fetch_peer = [](void *ctx, kf_doc_source_t peer,
					 kf_doc_kind_t kind,
					 kf_doc_version_t version) {
			static_cast<Node *>(ctx)->fetches.push_back(
			    { false, kind, 0, 0, peer, version });
		};
		fetches.clear();
		kf_confdist_tick(c.get(), now, &actions);
		return fetches;
	}

	/* Runs a tick; returns the peers that it asks for the declaration. */
	std::vector<uint32_t> PeersAsked(int64_t now)
	{
		std::vector<uint32_t> vms;

		for (const Fetch &fetch : Tick(now))
			if (!fetch.platform && fetch.kind == KF_DOC_DECLARATION)
				vms.push_back(fetch.peer.vm);
		return vms;
	}

	kf_doc_t Doc(kf_doc_kind_t kind = KF_DOC_DECLARATION)
	{
		return kf_confdist_doc(c.get(), kind);
	}

	void ReceiveHeartbeat(int64_t now, uint32_t vm,
	    kf_doc_version_t declaration, int32_t age_ms = KF_CONTACT_NEVER_MS)
	{
		kf_doc_version_t versions[KF_DOC_KINDS] = { declaration,
			Doc(KF_DOC_KEYS).version, Doc(KF_DOC_VMS).version };

		kf_confdist_on_peer_versions(
		    c.get(), now, vm, versions, age_ms);
	}

	void LoadDocuments(int64_t now)
	{
		for (int kind = 0; kind < KF_DOC_KINDS; kind++)
			Document(now, "1", 1, kPlatform, (kf_doc_kind_t)kind);
	}
};

struct Confdist : testing::Test {
	Node node;

	Confdist()
	{
		node.Start(1, 1, 0, 1);
	}

	/* Expects that only the platform is asked, with the given version. */
	void ExpectOnlyPlatform(int64_t start, uint64_t after)
	{
		for (int64_t now = start; now < 20 * kSecond; now += kStep) {
			for (const Fetch &fetch : node.Tick(now)) {
				EXPECT_TRUE(fetch.platform);
				EXPECT_TRUE(fetch.kind != KF_DOC_DECLARATION ||
				    fetch.after == after);
			}
		}
	}
};

/* Guards against an older document replacing a newer one. */
TEST_F(Confdist, RevisionThenVersionDecides)
{
	EXPECT_EQ(KF_DOC_ACCEPTED, node.Document(0, "5 a", 10));
	EXPECT_EQ(KF_DOC_OLDER, node.Document(0, "4 b", 11));
	EXPECT_EQ(KF_DOC_UNCHANGED, node.Document(0, "5 a", 10, { 2, 0 }));
	EXPECT_EQ(KF_DOC_ACCEPTED, node.Document(0, "5 c", 12));
	EXPECT_EQ(KF_DOC_OLDER, node.Document(0, "5 a", 10, { 2, 0 }));
	EXPECT_EQ(KF_DOC_ACCEPTED, node.Document(0, "6 d", 9, { 3, 0 }));
	EXPECT_STREQ("6 d", node.Doc().text);
	EXPECT_EQ(6u, node.Doc().version.revision);
}

/* Guards against VMs that keep different texts of the same revision. */
TEST_F(Confdist, OneRevisionPublishedTwiceConverges)
{
	Node other;

	other.Start(2, 1, 0, 2);
	node.Document(0, "5 a", 10);
	node.Document(0, "5 b", 11);
	node.Document(0, "5 c", 11);
	other.Document(0, "5 c", 11);
	other.Document(0, "5 b", 11);
	other.Document(0, "5 a", 10);
	EXPECT_STREQ(node.Doc().text, other.Doc().text);
}

/* Guards against counting the answer of a lagging replica as contact. */
TEST_F(Confdist, StaleReplicaIsIgnoredAndGivesNoContact)
{
	node.LoadDocuments(0);
	node.Document(0, "5 a", 10);
	ASSERT_EQ(0, kf_confdist_contact_age_ms(node.c.get(), 0));
	EXPECT_EQ(KF_DOC_OLDER, node.Document(kSecond, "4 a", 9));
	kf_confdist_on_unchanged(node.c.get(), kSecond, KF_DOC_KEYS);
	kf_confdist_on_unchanged(node.c.get(), kSecond, KF_DOC_VMS);
	EXPECT_EQ(1000, kf_confdist_contact_age_ms(node.c.get(), kSecond));
	ExpectOnlyPlatform(kSecond, 10);
}

/* Guards against an endless loop of fetching a rejected document. */
TEST_F(Confdist, RefusedVersionIsNotFetchedAgain)
{
	node.LoadDocuments(0);
	EXPECT_EQ(KF_DOC_INVALID, node.Document(0, "bad", 7));
	int parsed = node.parser.parsed;
	EXPECT_EQ(KF_DOC_INVALID, node.Document(0, "bad", 7, { 2, 0 }));
	EXPECT_EQ(parsed, node.parser.parsed);
	node.ReceiveHeartbeat(0, 3, { 1, 7 });
	ExpectOnlyPlatform(0, 7);
	EXPECT_EQ(KF_DOC_ACCEPTED, node.Document(0, "2", 8));
}

/* Guards against rejecting a version because one peer's copy is damaged. */
TEST_F(Confdist, DamagedCopyDoesNotHideTheVersion)
{
	node.ReceiveHeartbeat(0, 2, { 1, 7 });
	ASSERT_EQ(std::vector<uint32_t>{ 2 }, node.PeersAsked(0));
	EXPECT_EQ(KF_DOC_INVALID, node.Document(0, "bad", 7, { 2, 0 }));
	node.ReceiveHeartbeat(0, 2, { 1, 7 });
	node.ReceiveHeartbeat(0, 3, { 1, 7 });
	ASSERT_EQ(std::vector<uint32_t>{ 3 }, node.PeersAsked(kStep));
	EXPECT_EQ(KF_DOC_ACCEPTED, node.Document(0, "1", 7, { 3, 0 }));
}

/* Guards against waiting forever for a peer that does not deliver. */
TEST_F(Confdist, PeerThatDoesNotDeliverIsReplaced)
{
	node.ReceiveHeartbeat(0, 2, { 9, 9 });
	node.ReceiveHeartbeat(0, 3, { 5, 5 });
	EXPECT_EQ(std::vector<uint32_t>{ 2 }, node.PeersAsked(0));
	EXPECT_TRUE(node.PeersAsked(kStep).empty());
	EXPECT_EQ(
	    std::vector<uint32_t>{ 3 }, node.PeersAsked(KF_PEER_TIMEOUT_US));
	kf_confdist_on_fetch_failed(
	    node.c.get(), KF_PEER_TIMEOUT_US, KF_DOC_DECLARATION, { 3, 0 });
	node.ReceiveHeartbeat(KF_PEER_TIMEOUT_US, 4, { 5, 5 });
	EXPECT_EQ(
	    std::vector<uint32_t>{ 4 }, node.PeersAsked(KF_PEER_TIMEOUT_US));
}

TEST_F(Confdist, OlderPeerIsNotAsked)
{
	node.Document(0, "5", 10);
	node.ReceiveHeartbeat(0, 2, { 5, 9 });
	node.ReceiveHeartbeat(0, 3, { 4, 11 });
	EXPECT_TRUE(node.PeersAsked(0).empty());
}

/* Guards against a start that waits for the platform before asking seeds. */
TEST_F(Confdist, StartAsksSeedsAtOnceAndThePlatformWithinASecond)
{
	Node other;
	bool asked = false;

	other.Start(2, 1, 2, 7);
	EXPECT_EQ(std::vector<uint32_t>{ 0 }, other.PeersAsked(0));
	for (int64_t now = kStep; now <= kSecond; now += kStep)
		for (const Fetch &fetch : other.Tick(now))
			asked = asked || fetch.platform;
	EXPECT_TRUE(asked);
	ASSERT_FALSE(node.Tick(0).empty());
	EXPECT_TRUE(node.fetches[0].platform);
}

/*
 * Guards against a burst of two reads by every VM when contact ends.  It occurs
 * if the answer to the probe at the start still counts and the other documents
 * came from a peer, so that they were never read from the platform.
 */
TEST_F(Confdist, AnswerBeforeContactEndedStartsNoOtherReads)
{
	std::vector<uint32_t> vms;
	int probes = 0;

	for (uint32_t vm = 2; vm <= 100; vm++)
		vms.push_back(vm);
	kf_confdist_set_zone_members(node.c.get(), vms.data(), vms.size());
	while (kf_confdist_is_watcher(node.c.get())) {
		vms.push_back((uint32_t)vms.size() + 2);
		kf_confdist_set_zone_members(
		    node.c.get(), vms.data(), vms.size());
	}
	node.Document(0, "1", 1, kPlatform, KF_DOC_VMS);
	node.Document(0, "1", 1, { 2, 0 }, KF_DOC_KEYS);
	node.Document(0, "1", 1, { 2, 0 }, KF_DOC_DECLARATION);
	for (int64_t now = 0; now < 60 * kSecond; now += kStep) {
		if (now < 10 * kSecond)
			node.ReceiveHeartbeat(now, 2, { 1, 1 }, 0);
		for (const Fetch &fetch : node.Tick(now)) {
			EXPECT_TRUE(fetch.platform);
			EXPECT_EQ(KF_DOC_VMS, fetch.kind) << now;
			probes++;
		}
	}
	EXPECT_GE(probes, 1);
}

/*
 * Guards against a burst of reads when all VMs start at once: their first reads
 * must be spread over the whole start window.
 */
TEST_F(Confdist, FirstReadsUseTheStartWindow)
{
	const int64_t window = 10 * kSecond;
	int in_half = 0, total = 0;

	for (uint32_t vm = 1; vm <= 400; vm++) {
		Node each;

		each.start_window_us = window;
		each.Start(vm, 1, 2, vm);
		for (int64_t now = 0; now <= window; now += kStep) {
			each.Tick(now);
			auto read = std::find_if(each.fetches.begin(),
			    each.fetches.end(),
			    [](const Fetch &f) { return f.platform; });

			if (read == each.fetches.end())
				continue;
			EXPECT_EQ(KF_DOC_VMS, read->kind);
			in_half += now < window / 2;
			total++;
			break;
		}
	}
	EXPECT_EQ(400, total);
	EXPECT_GT(in_half, 150);
	EXPECT_LT(in_half, 250);
}

/*
 * Guards against a first read that is not needed because peers have delivered
 * all documents, and against a missing read when they have not.
 */
TEST_F(Confdist, PeersWithinTheStartWindowReplaceTheFirstRead)
{
	for (bool complete : { true, false }) {
		std::vector<uint32_t> vms;
		bool read = false;
		Node each;

		each.start_window_us = 10 * kSecond;
		each.Start(1, 1, 2, 1);
		each.Tick(0);
		for (uint32_t vm = 2; kf_confdist_is_watcher(each.c.get());
		     vm++) {
			vms.push_back(vm);
			kf_confdist_set_zone_members(
			    each.c.get(), vms.data(), vms.size());
		}
		each.Document(0, "1", 1, { 2, 0 }, KF_DOC_VMS);
		each.Document(0, "1", 1, { 2, 0 }, KF_DOC_KEYS);
		if (complete)
			each.Document(0, "1", 1, { 2, 0 });
		for (int64_t now = kStep; now < 15 * kSecond; now += kStep) {
			each.ReceiveHeartbeat(now, 2, { 1, 1 }, 0);
			for (const Fetch &fetch : each.Tick(now))
				read = read || fetch.platform;
		}
		EXPECT_EQ(!complete, read);
	}
}

/*
 * Guards against a burst of reads by a whole zone when contact ends.  It occurs
 * if the VMs got their documents from peers and never read the platform.
 */
TEST_F(Confdist, FirstReadsAfterContactEndedAreSpread)
{
	const int total = 100;
	std::map<int64_t, int> reads;
	int most = 0, sum = 0;

	for (uint32_t self = 1; self <= total; self++) {
		std::vector<uint32_t> vms;
		Node each;

		for (uint32_t vm = 1; vm <= total; vm++) {
			if (vm != self)
				vms.push_back(vm);
		}
		each.start_window_us = 10 * kSecond;
		each.Start(self, 1, 2, self);
		kf_confdist_set_zone_members(
		    each.c.get(), vms.data(), vms.size());
		if (kf_confdist_is_watcher(each.c.get()))
			continue;
		for (int kind = 0; kind < KF_DOC_KINDS; kind++)
			each.Document(0, "1", 1, { 2, 0 }, (kf_doc_kind_t)kind);
		for (int64_t now = 0; now < 60 * kSecond; now += kStep) {
			if (now < 20 * kSecond)
				each.ReceiveHeartbeat(now, 2, { 1, 1 }, 0);
			each.Tick(now);
			if (each.fetches.empty())
				continue;
			EXPECT_GT(now, 20 * kSecond);
			reads[now]++;
			break;
		}
	}
	for (const auto &step : reads) {
		most = std::max(most, step.second);
		sum += step.second;
	}
	EXPECT_EQ(total - 2, sum);
	EXPECT_LE(most, 10);
}

TEST_F(Confdist, ZoneHasTwoWatchers)
{
	for (uint32_t zone = 1; zone < 20; zone++) {
		int watchers = 0;

		for (uint32_t vm = 1; vm <= 8; vm++) {
			std::vector<uint32_t> others;
			Node each;

			for (uint32_t i = 1; i <= 8; i++)
				if (i != vm)
					others.push_back(i);
			each.Start(vm, zone, 0, 1);
			kf_confdist_set_zone_members(
			    each.c.get(), others.data(), others.size());
			watchers += kf_confdist_is_watcher(each.c.get());
		}
		EXPECT_EQ(2, watchers);
	}
}

struct Reply {
	int64_t at;
	std::function<void()> run;
};

/* Simulates nodes, their heartbeats and the platform in steps. */
struct Cluster {
	struct Published {
		std::string text;
		uint64_t version;
	};
	uint32_t zones, per_zone;
	std::mt19937 random;
	std::vector<std::unique_ptr<Node>> nodes; /* vm - 1 */
	std::vector<Published> history[KF_DOC_KINDS];
	std::deque<Reply> replies;
	int64_t now = 0;
	bool platform_reachable = true;
	/* If false, about half of the fetches from peers get no reply. */
	bool peers_deliver = true;
	/* VMs below this id and the others cannot reach each other. */
	uint32_t partition_below = 0;
	size_t replica_lag = 0; /* versions that a stale replica is behind */
	size_t reads = 0;

	Cluster(uint32_t zone_count, uint32_t vms, uint32_t seed)
	    : zones(zone_count), per_zone(vms), random(seed)
	{
		for (uint32_t vm = 1; vm <= zones * per_zone; vm++) {
			nodes.push_back(std::make_unique<Node>());
			StartNode(vm);
		}
		for (auto &kind : history)
			kind.push_back({ "1", 1 });
	}

	void StartNode(uint32_t vm)
	{
		nodes[vm - 1]->Start(vm, Zone(vm), 2, random());
		SetMembers(vm);
	}

	uint32_t Zone(uint32_t vm) const
	{
		return (vm - 1) / per_zone;
	}

	void SetMembers(uint32_t vm)
	{
		std::vector<uint32_t> others;

		for (uint32_t i = 0; i < per_zone; i++)
			if (Zone(vm) * per_zone + i + 1 != vm)
				others.push_back(Zone(vm) * per_zone + i + 1);
		kf_confdist_set_zone_members(
		    nodes[vm - 1]->c.get(), others.data(), others.size());
	}

	bool Connected(uint32_t a, uint32_t b) const
	{
		return (a < partition_below) == (b < partition_below);
	}

	void Publish(kf_doc_kind_t kind, const std::string &text)
	{
		auto &docs = history[kind];

		docs.push_back({ text, docs.back().version + 1 });
	}

	void Schedule(int64_t delay, std::function<void()> run)
	{
		replies.push_back({ now + delay, std::move(run) });
	}

	void Platform(Node *node, const Fetch &fetch)
	{
		auto &docs = history[fetch.kind];
		auto &doc = docs[docs.size() - 1 -
		    std::min(replica_lag, docs.size() - 1)];
		bool stale = replica_lag > 0 && random() % 2 == 0;

		reads += platform_reachable;
		if (!platform_reachable)
			Schedule(kStep, [=] {
				kf_confdist_on_fetch_failed(
				    node->c.get(), now, fetch.kind, kPlatform);
			});
		else if (stale || docs.back().version > fetch.after)
			Schedule(1, [=, doc = stale ? doc : docs.back()] {
				node->Document(now, doc.text, doc.version,
				    kPlatform, fetch.kind);
			});
		else
			Schedule(1 + fetch.wait_ms * 1000, [=] {
				kf_confdist_on_unchanged(
				    node->c.get(), now, fetch.kind);
			});
	}

	void Peer(Node *node, uint32_t vm, const Fetch &fetch)
	{
		uint32_t seed = 1 + (random() % 2) * per_zone;
		uint32_t peer =
		    fetch.peer.vm != 0 ? fetch.peer.vm : std::min(seed, zones);
		kf_doc_t doc = nodes[peer - 1]->Doc(fetch.kind);

		if (!peers_deliver && random() % 2 == 0)
			return;
		if (!Connected(vm, peer) || doc.parsed == nullptr)
			Schedule(1, [=] {
				kf_confdist_on_fetch_failed(
				    node->c.get(), now, fetch.kind, fetch.peer);
			});
		else
			Schedule(1, [=, text = std::string(doc.text, doc.len)] {
				node->Document(now, text,
				    doc.version.platform_version, fetch.peer,
				    fetch.kind);
			});
	}

	void Heartbeat(uint32_t vm, uint32_t to)
	{
		Node *node = nodes[vm - 1].get();
		kf_doc_version_t versions[KF_DOC_KINDS];

		if (vm == to || !Connected(vm, to))
			return;
		for (int kind = 0; kind < KF_DOC_KINDS; kind++)
			versions[kind] = node->Doc((kf_doc_kind_t)kind).version;
		kf_confdist_on_peer_versions(nodes[to - 1]->c.get(), now, vm,
		    versions, kf_confdist_contact_age_ms(node->c.get(), now));
	}

	void Step(int64_t step = kStep)
	{
		std::deque<Reply> due;

		now += step;
		std::swap(due, replies);
		for (Reply &reply : due) {
			if (reply.at <= now)
				reply.run();
			else
				replies.push_back(std::move(reply));
		}
		for (uint32_t vm = 1; vm <= nodes.size(); vm++) {
			Node *node = nodes[vm - 1].get();

			for (const Fetch &fetch : node->Tick(now)) {
				if (fetch.platform)
					Platform(node, fetch);
				else
					Peer(node, vm, fetch);
			}
			if ((now / step + vm) % (kSecond / 2 / step) != 0)
				continue;
			for (int i = 0; i < 4; i++)
				Heartbeat(vm,
				    Zone(vm) * per_zone + 1 +
					random() % per_zone);
			Heartbeat(vm, 1 + random() % nodes.size());
		}
	}

	/* Returns the most platform reads in any second of a duration. */
	size_t PeakReads(int64_t seconds, int64_t step = kStep)
	{
		size_t peak = 0;

		for (int64_t i = 0; i < seconds; i++) {
			reads = 0;
			for (int64_t t = 0; t < kSecond; t += step)
				Step(step);
			peak = std::max(peak, reads);
		}
		return peak;
	}

	/* Publishes a declaration; returns the time to reach all VMs. */
	int64_t TimeToPublish(const std::string &text, int64_t step)
	{
		uint32_t revision = strtoul(text.c_str(), nullptr, 10);
		int64_t start = now;

		Publish(KF_DOC_DECLARATION, text);
		do {
			Step(step);
		} while (now < start + 60 * kSecond &&
		    (nodes[0]->Doc().version.revision != revision ||
			CountDifferent() != 0));
		return now - start;
	}

	/* Counts nodes whose declaration differs from that of VM 1. */
	int CountDifferent()
	{
		kf_doc_t first = nodes[0]->Doc();
		int count = 0;

		for (auto &node : nodes)
			count += node->Doc().digest != first.digest ||
			    kf_doc_version_compare(
				node->Doc().version, first.version) != 0;
		return count;
	}
};

/* Applies random operations; returns how often a revision decreased. */
int
RunHistory(Cluster &cluster, const std::vector<uint32_t> &ops)
{
	std::vector<unsigned long> highest(cluster.nodes.size());
	int reverts = 0;

	for (uint32_t op : ops) {
		std::string revision = std::to_string(1 + op / 16 % 8);

		if (op % 16 < 3)
			cluster.Publish(KF_DOC_DECLARATION,
			    revision + " " + std::to_string(op));
		else if (op % 16 == 3)
			cluster.Publish(KF_DOC_DECLARATION, "bad " + revision);
		else if (op % 16 == 4)
			cluster.platform_reachable =
			    !cluster.platform_reachable;
		else if (op % 16 == 5)
			cluster.partition_below =
			    op / 16 % cluster.nodes.size();
		else if (op % 16 == 6)
			cluster.replica_lag = op / 16 % 3;
		else if (op % 16 == 7)
			cluster.peers_deliver = !cluster.peers_deliver;
		for (uint32_t i = 0; i < op / 16; i++) {
			cluster.Step();
			for (size_t n = 0; n < highest.size(); n++) {
				const char *text = cluster.nodes[n]->Doc().text;
				unsigned long now =
				    text ? strtoul(text, nullptr, 10) : 0;

				reverts += now < highest[n];
				highest[n] = std::max(highest[n], now);
			}
		}
	}
	cluster.replica_lag = 0;
	cluster.partition_below = 0;
	cluster.peers_deliver = true;
	return reverts;
}

TEST(ConfdistProperty, RevisionsNeverRevertAndVmsConverge)
{
	ASSERT_TRUE(rc::check([] {
		auto ops = *rc::gen::container<std::vector<uint32_t>>(
		    rc::gen::inRange(0u, 400u));
		Cluster cluster(2, *rc::gen::inRange(1u, 5u),
		    *rc::gen::arbitrary<uint32_t>());

		RC_ASSERT(RunHistory(cluster, ops) == 0);
		/* The platform may still be down; peers have the documents. */
		for (int i = 0; i < 200; i++)
			cluster.Step();
		RC_ASSERT(cluster.CountDifferent() == 0);
	}));
}

/* Shows that the check above fails if revisions are ignored. */
TEST(ConfdistProperty, CheckNoticesAnOrderWithoutRevisions)
{
	Cluster cluster(2, 3, 1);

	for (auto &node : cluster.nodes)
		node->parser.ignore_revision = true;
	EXPECT_GT(
	    RunHistory(cluster, { 8 + 16 * 30, 16 * 24 + 16 * 6, 16 * 16 }), 0);
}

/* Guards against changes that do not reach every VM of every zone. */
TEST(ConfdistFleet, ChangeIsInForceEverywhereWithinSeconds)
{
	Cluster cluster(3, 8, 1);
	int64_t taken;

	cluster.PeakReads(10);
	ASSERT_EQ(0, cluster.CountDifferent());
	taken = cluster.TimeToPublish("2", kStep);
	printf("vms=24 change_in_force_s=%.1f\n", taken / 1e6);
	EXPECT_LE(taken, 3 * kSecond);
}

/* Guards against overloading the platform, which serves 2000 reads a second. */
TEST(ConfdistFleet, PlatformReadsOfAFleetStayFarBelowItsLimit)
{
	constexpr int64_t kCoarse = kSecond / 4;
	Cluster cluster(22, 727, 1);
	size_t steady, back = 0, restart;

	for (auto &node : cluster.nodes)
		node->LoadDocuments(0);
	cluster.PeakReads(5, kCoarse);
	steady = cluster.PeakReads(20, kCoarse);
	int64_t taken = cluster.TimeToPublish("2", kCoarse);
	EXPECT_LE(taken, 7 * kSecond);
	/*
	 * The platform comes back soon after VMs have missed contact, and when
	 * the backoff of every VM has reached its maximum.
	 */
	for (int64_t outage : { 6, 10, 180 }) {
		cluster.platform_reachable = false;
		cluster.PeakReads(outage, kCoarse);
		cluster.platform_reachable = true;
		size_t peak = cluster.PeakReads(20, kCoarse);
		printf("outage_s=%d peak_reads_per_s=%zu\n", (int)outage, peak);
		back = std::max(back, peak);
	}
	for (uint32_t vm = 1; vm <= 727; vm++)
		cluster.StartNode(vm);
	restart = cluster.PeakReads(30, kCoarse);
	printf("vms=15994 peak_reads_per_s steady=%zu platform_back=%zu "
	       "zone_restart=%zu change_in_force_s=%.1f\n",
	    steady, back, restart, taken / 1e6);
	EXPECT_LT(steady, 500u);
	EXPECT_LT(back, 1000u);
	EXPECT_LT(restart, 1000u);
}

} // namespace
