#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "kf/platform_published.h"
#include "kf/replica.h"
#include "kf/upstream_entries.h"

/*
 * Entries whose keys have one id, as a VM gets them from the store: an entry
 * must not hide or remove what another key says, unless it comes first by the
 * contents of both.
 */
namespace {

using Items = std::map<std::string, std::string>;

struct Entry {
	std::string service = "orders";
	std::string address = "127.0.0.1:80";
	std::string state = "ready";
	int born = 1;
	int seq = 1;
	int cold_ms = 0;
};

std::string
Text(const Entry &e)
{
	return "{\"Service\":\"" + e.service + "\",\"Address\":\"" + e.address +
	    "\",\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":3,\"State\":\"" +
	    e.state + "\",\"ColdLeftMs\":" + std::to_string(e.cold_ms) +
	    ",\"Seq\":" + std::to_string(e.seq) +
	    ",\"born\":" + std::to_string(e.born) + "}";
}

/* One VM: its replica, the entries and the directory. */
class Vm {
      public:
	Vm() : directory_(kf_directory_new(0)), entries_()
	{
		entries_.directory = directory_;
		replica_ = kf_replica_new(OnChanged, this);
	}
	~Vm()
	{
		kf_replica_delete(replica_);
		kf_upstream_entries_clear(&entries_);
		kf_directory_delete(directory_);
		kf_route_table_delete(routes_);
	}
	Vm(const Vm &) = delete;
	Vm &operator=(const Vm &) = delete;

	void Name(const std::vector<std::string> &services)
	{
		std::vector<kf_service_cold_t> list;
		kf_entry_conflict_t conflict;

		for (const std::string &service : services)
			list.push_back({ kf_name_key(service.c_str()), 0, 0 });
		kf_route_table_delete(routes_);
		routes_ = kf_route_table_new(1, 0, nullptr, 0, nullptr);
		kf_route_table_set_services(routes_, list.data(), list.size());
		entries_.routes = routes_;
		while (
		    kf_upstream_entries_reorder(&entries_, now_us, &conflict))
			;
	}
	void Put(const std::string &key, const std::string &value)
	{
		kf_replica_put(replica_, KF_SOURCE_STORE, key.c_str(),
		    (const uint8_t *)value.data(), value.size(), ++revision_,
		    now_us);
	}
	void Remove(const std::string &key, bool lapse = false)
	{
		lapsed_ = lapse;
		kf_replica_remove(replica_, key.c_str(), ++revision_, now_us);
		lapsed_ = false;
	}
	void List(const Items &items, bool backwards)
	{
		std::vector<std::pair<std::string, std::string>> order(
		    items.begin(), items.end());

		if (backwards)
			std::reverse(order.begin(), order.end());
		kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 100 });
		for (const auto &[key, value] : order)
			Put(key, value);
		kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us);
	}
	/* The store was restored from a backup that has these items. */
	void Restore(const Items &items)
	{
		kf_replica_listing_begin(
		    replica_, KF_SOURCE_STORE, { ++era_, 100 });
		kf_replica_listing_era_start(replica_, KF_SOURCE_STORE, 100);
		revision_ = 0;
		for (const auto &[key, value] : items)
			Put(key, value);
		kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us);
	}
	const kf_target_t *Find(uint64_t id) const
	{
		return kf_directory_find_id(directory_, id);
	}
	void MarkDead(uint64_t id)
	{
		kf_target_t *target =
		    kf_directory_find(directory_, kf_token_of(id));

		ASSERT_TRUE(kf_dead_upstream_replaced(&target->dead));
	}
	/* Name of the entry that describes an upstream; "" if it is not
	 * listed. */
	std::string Used(uint64_t id) const
	{
		const kf_target_t *target = Find(id);

		return target == nullptr || target->listing != KF_LISTED
		    ? ""
		    : target->info.name;
	}
	/* All listed upstreams in a comparable form. */
	std::map<uint64_t, std::string> Listed() const
	{
		std::map<uint64_t, std::string> listed;

		for (size_t i = 0; i < kf_directory_count(directory_); i++) {
			const kf_target_t *t = kf_directory_at(directory_, i);

			if (t->listing == KF_LISTED)
				listed[t->info.id] = std::string(t->info.name) +
				    " " + t->info.service_name + " " +
				    std::to_string(t->info.address.port) + " " +
				    std::to_string(t->info.born_ms) + " " +
				    std::to_string(t->info.draining);
		}
		return listed;
	}

	void Run(int64_t us)
	{
		kf_entry_conflict_t conflict;

		now_us += us;
		kf_directory_expire(directory_, now_us);
		while (
		    kf_upstream_entries_end_lapse(&entries_, now_us, &conflict))
			;
	}

	int64_t now_us = 1000000;
	kf_upstream_entries_t *entries()
	{
		return &entries_;
	}

      private:
	void Apply(const kf_item_t *item)
	{
		kf_change_t change;
		kf_entry_conflict_t conflict;
		kf_upstream_info_t info;
		uint64_t id;

		if (!item->removed &&
		    kf_platform_upstream_decode(
			item->key, item->value, item->len, &info) == KF_OK) {
			info.from_backup = item->from_backup;
			ASSERT_EQ(KF_OK,
			    kf_upstream_entries_put(
				&entries_, &info, now_us, &change, &conflict));
		} else if (kf_platform_upstream_id(item->key, &id) == KF_OK)
			kf_upstream_entries_remove(&entries_, id,
			    kf_platform_upstream_entry(item->key),
			    item->removed && (lapsed_ || item->lost), now_us,
			    &conflict);
	}
	static void OnChanged(void *ctx, const kf_item_t *item, int64_t)
	{
		static_cast<Vm *>(ctx)->Apply(item);
	}

	kf_directory_t *directory_;
	kf_upstream_entries_t entries_;
	kf_replica_t *replica_;
	kf_route_table_t *routes_ = nullptr;
	uint64_t revision_ = 0;
	uint64_t era_ = 0;
	bool lapsed_ = false;
};

/* The keys that have a number, and it; others name no upstream. */
const std::map<std::string, uint64_t> kIds = {
	{ "servers/i-0000a1", 0xa1 },
	{ "servers/note-0000a1", 0xa1 },
	{ "servers/0000a1", 0xa1 },
	{ "servers/i-a1", 0xa1 },
	{ "servers/I-0000A1", 0xa1 },
	{ "servers/i-copy-0000a1", 0xa1 },
	{ "servers/i-0000b2", 0xb2 },
	{ "servers/zzz-0000b2", 0xb2 },
};
const std::vector<std::string> kOtherKeys = {
	"servers/i-0000a1/note-0000a1",
	"servers/i-0000b2/0000a1",
	"servers/",
	"servers/i-0000a1 ",
};

/* The order that the design page gives, and what is shown of the entry. */
using Rank = std::tuple<bool, int, bool, int, std::string, std::string>;

Rank
RankOf(const std::string &key, const Entry &e,
    const std::vector<std::string> &named)
{
	std::string name = key.substr(strlen("servers/"));

	return Rank(std::count(named.begin(), named.end(), e.service) == 0,
	    -e.born, e.state != "draining", -e.seq, name,
	    name + " " + e.service + " " +
		e.address.substr(e.address.find(':') + 1) + " " +
		std::to_string(e.born) + " " +
		(e.state == "draining" ? "1" : "0"));
}

/* The plain model: the first of the usable entries of an id.  One that lapses
 * while it is used keeps those behind it away for the grace. */
class Model {
      public:
	void Name(const std::vector<std::string> &services)
	{
		named_ = services;
		Settle();
	}
	void Put(const std::string &key, const std::optional<Entry> &entry)
	{
		for (auto it = lapsed_.begin(); it != lapsed_.end();)
			it = it->second.key == key ? lapsed_.erase(it)
						   : std::next(it);
		items_[key] = entry;
		Settle();
	}
	void Remove(const std::string &key, bool lapse)
	{
		auto used = Used();

		if (kIds.count(key) > 0 && items_.count(key) > 0 &&
		    items_[key].has_value() && lapse &&
		    used[kIds.at(key)] == key)
			lapsed_[kIds.at(key)] = { key, *items_[key],
				now_us + KF_TARGET_MISSING_GRACE_US };
		items_.erase(key);
		Settle();
	}
	void Run(int64_t us)
	{
		now_us += us;
		Settle();
	}
	std::map<uint64_t, std::string> Listed()
	{
		std::map<uint64_t, std::string> listed;

		for (const auto &[id, key] : Used())
			if (key != "")
				listed[id] = std::get<5>(
				    RankOf(key, *items_[key], named_));
		return listed;
	}

      private:
	struct Lapsed {
		std::string key;
		Entry entry;
		int64_t until_us;
	};

	/* The key that is used for each id, "" if one that has lapsed still
	 * has the place. */
	std::map<uint64_t, std::string> Used()
	{
		std::map<uint64_t, std::string> used;
		std::map<uint64_t, Rank> first;

		for (const auto &[id, lapsed] : lapsed_) {
			first[id] = RankOf(lapsed.key, lapsed.entry, named_);
			used[id] = "";
		}
		for (const auto &[key, entry] : items_) {
			if (!entry || kIds.count(key) == 0)
				continue;
			uint64_t id = kIds.at(key);
			Rank rank = RankOf(key, *entry, named_);
			if (first.count(id) > 0 && first[id] < rank)
				continue;
			first[id] = rank;
			used[id] = key;
		}
		return used;
	}
	void Settle()
	{
		auto used = Used();

		for (auto it = lapsed_.begin(); it != lapsed_.end();)
			it = now_us >= it->second.until_us ||
				used[it->first] != ""
			    ? lapsed_.erase(it)
			    : std::next(it);
	}

	std::map<std::string, std::optional<Entry>> items_;
	std::vector<std::string> named_;
	std::map<uint64_t, Lapsed> lapsed_;
	int64_t now_us = 1000000;
};

std::string
DrawKey()
{
	std::vector<std::string> keys = kOtherKeys;

	for (const auto &[key, id] : kIds)
		keys.insert(keys.end(), 3, key);
	return *rc::gen::elementOf(keys);
}

Entry
DrawEntry()
{
	Entry e;

	e.service = *rc::gen::element<std::string>("orders", "certs", "fan");
	e.address = "127.0.0.1:" + std::to_string(*rc::gen::inRange(80, 83));
	e.state = *rc::gen::element<std::string>("ready", "ready", "draining");
	e.born = *rc::gen::inRange(0, 4);
	e.seq = *rc::gen::inRange(0, 4);
	return e;
}

std::string
DrawJunk()
{
	return *rc::gen::element<std::string>("", "\xff\xfe", "{}", "[]",
	    "{\"Rack\":7,\"Note\":\"fan\"}", Text({ "", "127.0.0.1:80" }),
	    Text({ "orders", "127.0.0.1" }),
	    Text({ "orders", "127.0.0.1:80", "asleep" }));
}

/* Guards against an item that hides, replaces or removes the upstream of
 * another key, depending on which of them comes first. */
RC_GTEST_PROP(UpstreamEntries, OnlyContentsDecideWhichEntryIsUsed, ())
{
	std::vector<std::string> named = { "orders", "certs" };
	std::optional<Entry> entry;
	Model model;
	Items texts;
	bool lapse;
	Vm vm;

	vm.Name(named);
	model.Name(named);
	for (int steps = *rc::gen::inRange(1, 40); steps > 0; steps--) {
		std::string key = DrawKey();

		vm.Run(1000);
		model.Run(1000);
		switch (*rc::gen::inRange(0, 9)) {
		case 0:
			lapse = *rc::gen::inRange(0, 2) == 1;
			texts.erase(key);
			vm.Remove(key, lapse);
			model.Remove(key, lapse);
			break;
		case 1:
		case 2:
			vm.Put(key, texts[key] = DrawJunk());
			model.Put(key, std::nullopt);
			break;
		case 3:
			named = *rc::gen::elementOf(
			    std::vector<std::vector<std::string>>{
				{ "orders", "certs" }, { "orders" },
				{ "fan" } });
			vm.Name(named);
			model.Name(named);
			break;
		case 4:
			vm.Run(KF_TARGET_MISSING_GRACE_US / 2);
			model.Run(KF_TARGET_MISSING_GRACE_US / 2);
			break;
		default:
			entry = DrawEntry();
			vm.Put(key, texts[key] = Text(*entry));
			model.Put(key, entry);
		}
		RC_ASSERT(vm.Listed() == model.Listed());
	}
	vm.Run(KF_TARGET_MISSING_GRACE_US);
	for (bool backwards : { false, true }) {
		Vm started;

		started.Name(named);
		started.List(texts, backwards);
		RC_ASSERT(started.Listed() == vm.Listed());
	}
}

/* Guards against an upstream that is hidden longer than the item in its way
 * lasts: it writes nothing by itself until more than its Seq changes. */
TEST(UpstreamEntries, HiddenEntryIsUsedAsSoonAsTheOtherGoesAway)
{
	Entry draining;
	Vm vm;

	vm.Name({ "orders" });
	draining.state = "draining";
	for (bool removed : { false, true }) {
		vm.Put("servers/i-0000a1", Text({}));
		EXPECT_EQ("i-0000a1", vm.Used(0xa1));
		vm.Put("servers/note-0000a1", Text(draining));
		EXPECT_EQ("note-0000a1", vm.Used(0xa1));
		EXPECT_EQ(1u, vm.entries()->count);
		if (removed)
			vm.Remove("servers/note-0000a1");
		else
			vm.Put("servers/note-0000a1", "{}");
		EXPECT_EQ("i-0000a1", vm.Used(0xa1));
		EXPECT_FALSE(vm.Find(0xa1)->info.draining);
		EXPECT_EQ(0u, vm.entries()->count);
	}
	EXPECT_EQ(2u, vm.entries()->conflicts);
}

/* Guards against a line and a count for each heartbeat of a hidden entry. */
TEST(UpstreamEntries, EntryThatStaysHiddenIsCountedOnce)
{
	Entry earlier;
	Vm vm;

	earlier.born = 0;
	vm.Put("servers/i-0000a1", Text({}));
	for (earlier.seq = 1; earlier.seq < 10; earlier.seq++)
		vm.Put("servers/i-a1", Text(earlier));
	EXPECT_EQ("i-0000a1", vm.Used(0xa1));
	EXPECT_EQ(1u, vm.entries()->conflicts);
}

/* Guards against a lapsed entry that counts as removed, or as still there,
 * because of another key with its id. */
TEST(UpstreamEntries, LapseConcernsOnlyTheKeyThatLapsed)
{
	Entry earlier;
	Vm vm;

	earlier.born = 0;
	vm.Put("servers/i-0000a1", Text({}));
	vm.Put("servers/note-0000a1", "{}");
	vm.Remove("servers/i-0000a1", true);
	EXPECT_EQ(KF_LISTING_MISSING, vm.Find(0xa1)->listing);
	vm.Remove("servers/note-0000a1");
	vm.Remove("servers/old-0000a1");
	EXPECT_EQ(KF_LISTING_MISSING, vm.Find(0xa1)->listing);
	vm.Put("servers/i-0000a1", Text({}));
	vm.Put("servers/i-a1", Text(earlier));
	vm.Remove("servers/i-0000a1", true);
	EXPECT_EQ(KF_LISTING_MISSING, vm.Find(0xa1)->listing);
	vm.Run(KF_TARGET_MISSING_GRACE_US - 1);
	EXPECT_EQ("", vm.Used(0xa1));
	vm.Put("servers/i-0000a1", Text({}));
	EXPECT_EQ("i-0000a1", vm.Used(0xa1));
	vm.Remove("servers/i-0000a1", true);
	vm.Run(KF_TARGET_MISSING_GRACE_US);
	EXPECT_EQ("i-a1", vm.Used(0xa1));
}

/* Guards against a lapsed entry that holds its place after it has been removed,
 * as its upstream drained and was unlisted before. */
TEST(UpstreamEntries, RemovalEndsTheLapseOfADrainingUpstream)
{
	Entry draining, earlier;
	Vm vm;

	draining.state = "draining";
	earlier.born = 0;
	vm.Put("servers/i-0000a1", Text(draining));
	vm.Remove("servers/i-0000a1", true);
	EXPECT_FALSE(kf_target_has_left(vm.Find(0xa1)));
	vm.Put("servers/i-0000a1", "{}");
	EXPECT_TRUE(kf_target_has_left(vm.Find(0xa1)));
	vm.Put("servers/i-a1", Text(earlier));
	EXPECT_EQ("i-a1", vm.Used(0xa1));
}

/* Guards against a cold start that begins anew when an entry is used again. */
TEST(UpstreamEntries, ColdStartGoesOnWhileAnEntryIsHidden)
{
	Entry cold, draining;
	Vm vm;

	cold.cold_ms = 1000;
	draining.state = "draining";
	vm.Put("servers/i-0000a1", Text(cold));
	int64_t end_us = vm.Find(0xa1)->cold_end_us;
	vm.now_us += 300000;
	vm.Put("servers/note-0000a1", Text(draining));
	EXPECT_EQ(vm.now_us, vm.Find(0xa1)->cold_end_us);
	vm.now_us += 300000;
	vm.Remove("servers/note-0000a1");
	EXPECT_EQ("i-0000a1", vm.Used(0xa1));
	EXPECT_EQ(end_us, vm.Find(0xa1)->cold_end_us);
}

/* Guards against an upstream that counts as dead because the entry that hid it
 * had the address of a process that is. */
TEST(UpstreamEntries, LivenessBelongsToTheAddress)
{
	Entry draining;
	Vm vm;

	draining.state = "draining";
	draining.address = "127.0.0.1:81";
	vm.Put("servers/i-0000a1", Text({}));
	vm.Put("servers/note-0000a1", Text(draining));
	vm.MarkDead(0xa1);
	vm.Remove("servers/note-0000a1");
	EXPECT_EQ("i-0000a1", vm.Used(0xa1));
	EXPECT_EQ(KF_LIVENESS_ALIVE, vm.Find(0xa1)->dead.liveness);
}

/* Guards against entries that are left or lost where many are hidden. */
TEST(UpstreamEntries, ManyEntriesMayBeHidden)
{
	Entry copy;
	char key[64];
	Vm vm;

	copy.born = 0;
	for (unsigned i = 1; i <= 2000; i++) {
		snprintf(key, sizeof(key), "servers/i-%x", i * 7919 % 10007);
		vm.Put(key, Text({}));
		snprintf(key, sizeof(key), "servers/copy-%x", i * 7919 % 10007);
		vm.Put(key, Text(copy));
		ASSERT_EQ(i, vm.entries()->count);
	}
	for (unsigned i = 1; i <= 2000; i++) {
		snprintf(
		    key, sizeof(key), "servers/copy-%x", i * 104729 % 10007);
		vm.Remove(key);
	}
	for (unsigned i = 1; i <= 2000; i++) {
		snprintf(key, sizeof(key), "servers/copy-%x", i * 7919 % 10007);
		vm.Remove(key);
	}
	EXPECT_EQ(0u, vm.entries()->count);
	EXPECT_EQ(2000u, vm.Listed().size());
}

/* Guards against a backup of the store that shows another key's older state of
 * an upstream that drains or has left. */
TEST(UpstreamEntries, BackupDoesNotBringBackWhatHasLeft)
{
	Entry later, draining;
	Vm vm;

	later.seq = 2;
	draining.state = "draining";
	vm.Put("servers/i-0000a1", Text(draining));
	vm.Put("servers/note-0000a1", Text({}));
	vm.Restore({ { "servers/i-0000a1", Text({}) },
	    { "servers/note-0000a1", Text(later) } });
	EXPECT_TRUE(vm.Find(0xa1)->info.draining);
	EXPECT_EQ("i-0000a1", vm.Used(0xa1));
	vm.Remove("servers/i-0000a1");
	EXPECT_EQ("", vm.Used(0xa1));
	EXPECT_EQ(0u, vm.entries()->count);
}

} // namespace
