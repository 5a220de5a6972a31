#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "kf/peering_codec.h"
#include "kf/replica.h"

namespace {

/* Collects the changes that a replica reports to its callback. */
struct Observed {
	std::map<std::string, std::string> items;
	std::map<std::string, uint64_t> revisions;
	bool went_backwards = false;
};

void
OnChanged(void *ctx, const kf_item_t *item, int64_t)
{
	auto *observed = static_cast<Observed *>(ctx);

	if (item->revision < observed->revisions[item->key])
		observed->went_backwards = true;
	observed->revisions[item->key] = item->revision;
	if (item->removed)
		observed->items.erase(item->key);
	else
		observed->items[item->key] =
		    std::string((const char *)item->value, item->len);
}

class Replica : public ::testing::Test {
      protected:
	void SetUp() override
	{
		replica_ = kf_replica_new(OnChanged, &observed_);
	}
	void TearDown() override
	{
		kf_replica_delete(replica_);
	}
	void Put(const std::string &key, const std::string &value,
	    uint64_t revision, kf_source_t source = KF_SOURCE_STORE)
	{
		ASSERT_EQ(KF_OK,
		    kf_replica_put(replica_, source, key.c_str(),
			(const uint8_t *)value.data(), value.size(), revision,
			now_us_));
	}
	void Remove(const std::string &key, uint64_t revision)
	{
		ASSERT_EQ(KF_OK,
		    kf_replica_remove(
			replica_, key.c_str(), revision, now_us_));
	}

	kf_replica_t *replica_;
	Observed observed_;
	int64_t now_us_ = 0;
};

/* Guards against a stale read that restores an old value or a removed item. */
TEST_F(Replica, OlderRevisionsChangeNothing)
{
	Put("a", "new", 5);
	Put("a", "old", 4);
	EXPECT_EQ("new", observed_.items["a"]);
	Remove("a", 4);
	EXPECT_EQ("new", observed_.items["a"]);
	Remove("a", 6);
	Put("a", "old", 5);
	EXPECT_EQ(0u, observed_.items.count("a"));
}

/* Guards against items that remain after a listing without them. */
TEST_F(Replica, ListingRemovesWhatItDoesNotHold)
{
	Put("gone", "1", 3);
	Put("kept", "1", 4);
	Put("newer", "1", 12);
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	Put("kept", "1", 4);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_EQ(0u, observed_.items.count("gone"));
	EXPECT_EQ(1u, observed_.items.count("kept"));
	EXPECT_EQ(1u, observed_.items.count("newer"));
	EXPECT_EQ(10u, kf_replica_position(replica_).revision);
}

/*
 * Guards against a listing of a peer that disturbs one of the store in
 * progress.
 */
TEST_F(Replica, ListingsOfTwoSourcesOverlap)
{
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	Put("a", "1", 3);
	kf_replica_listing_begin(replica_, KF_SOURCE_PEER, { 0, 8 });
	Put("b", "1", 4, KF_SOURCE_PEER);
	Put("a", "1", 3, KF_SOURCE_PEER);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_PEER, now_us_));
	Put("b", "1", 4);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_EQ(2u, observed_.items.size());
}

/* Guards against a stale listing that is taken as the current state. */
TEST_F(Replica, ListingBehindIsReported)
{
	Put("a", "1", 20);
	kf_replica_advance(replica_, 20);
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	EXPECT_EQ(KF_ERR_STALE,
	    kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_EQ(20u, kf_replica_position(replica_).revision);
	EXPECT_EQ(1u, observed_.items.count("a"));
}

/*
 * Guards against changes passed on without the removals whose tombstones have
 * been deleted.
 */
TEST_F(Replica, ChangesReachBackToTheCompactedRevision)
{
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	Put("a", "1", 3);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_FALSE(kf_replica_has_changes_after(replica_, 9));
	EXPECT_TRUE(kf_replica_has_changes_after(replica_, 10));
	Remove("a", 15);
	EXPECT_TRUE(kf_replica_has_changes_after(replica_, 10));
	now_us_ += KF_REPLICA_TOMBSTONE_KEEP_US;
	kf_replica_expire(replica_, now_us_);
	EXPECT_EQ(0u, kf_replica_count(replica_));
	EXPECT_FALSE(kf_replica_has_changes_after(replica_, 10));
	EXPECT_TRUE(kf_replica_has_changes_after(replica_, 15));
}

TEST_F(Replica, RefusesKeysThatAreTooLong)
{
	std::string key(KF_KEY_MAX_BYTES + 1, 'k');

	EXPECT_EQ(KF_ERR_INVALID,
	    kf_replica_put(
		replica_, KF_SOURCE_STORE, key.c_str(), nullptr, 0, 1, 0));
	EXPECT_EQ(
	    KF_ERR_INVALID, kf_replica_remove(replica_, key.c_str(), 1, 0));
}

/*
 * Guards against an upstream that has left and is used again after a restart.
 * The VM has listed the store, and then gets the listing that it requested at
 * its start from a VM that is behind.  No tombstone tells of the removal.
 */
TEST_F(Replica, OlderListingRestoresNothing)
{
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	Put("kept", "1", 4);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	kf_replica_listing_begin(replica_, KF_SOURCE_PEER, { 0, 8 });
	Put("gone", "1", 3, KF_SOURCE_PEER);
	Put("kept", "1", 4, KF_SOURCE_PEER);
	EXPECT_EQ(KF_ERR_STALE,
	    kf_replica_listing_end(replica_, KF_SOURCE_PEER, now_us_));
	EXPECT_EQ(0u, observed_.items.count("gone"));
	EXPECT_EQ(1u, observed_.items.count("kept"));
}

/* Guards against the same when the tombstone has expired. */
TEST_F(Replica, ExpiredTombstoneRestoresNothing)
{
	Put("gone", "1", 3);
	Remove("gone", 6);
	kf_replica_advance(replica_, 6);
	now_us_ += KF_REPLICA_TOMBSTONE_KEEP_US;
	kf_replica_expire(replica_, now_us_);
	kf_replica_listing_begin(replica_, KF_SOURCE_PEER, { 0, 5 });
	Put("gone", "1", 3, KF_SOURCE_PEER);
	kf_replica_listing_end(replica_, KF_SOURCE_PEER, now_us_);
	EXPECT_EQ(0u, observed_.items.count("gone"));
}

/*
 * Guards against changes that are lost between two pages of a listing.  The
 * second page is older than the first: "drains" changed after it and is not on
 * the first.  The listing has to count as the older page, so that the change is
 * read from the history that follows.
 */
TEST_F(Replica, ListingIsAsOldAsItsOldestPage)
{
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 20 });
	Put("a", "1", 15);
	kf_replica_listing_page(replica_, KF_SOURCE_STORE, 10);
	Put("drains", "ready", 3);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_EQ(10u, kf_replica_position(replica_).revision);
	EXPECT_FALSE(kf_replica_has_changes_after(replica_, 9));
	Put("drains", "draining", 17);
	EXPECT_EQ("draining", observed_.items["drains"]);
}

/*
 * Guards against the same with pages of which the first is older: an item
 * newer than the listing must not be removed for being on no page.
 */
TEST_F(Replica, NewerPagesRemoveNothingNewer)
{
	Put("created", "1", 15);
	Put("gone", "1", 5);
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	kf_replica_listing_page(replica_, KF_SOURCE_STORE, 20);
	EXPECT_EQ(
	    KF_OK, kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_EQ(10u, kf_replica_position(replica_).revision);
	EXPECT_EQ(1u, observed_.items.count("created"));
	EXPECT_EQ(0u, observed_.items.count("gone"));
}

/*
 * Guards against an upstream that has left and returns with a page older than
 * the removal, while the first page is newer and so was judged current.
 */
TEST_F(Replica, OlderPageRestoresNothing)
{
	kf_replica_listing_begin(replica_, KF_SOURCE_PEER, { 0, 12 });
	kf_replica_listing_end(replica_, KF_SOURCE_PEER, now_us_);
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 20 });
	kf_replica_listing_page(replica_, KF_SOURCE_STORE, 8);
	Put("gone", "1", 3);
	EXPECT_EQ(KF_ERR_STALE,
	    kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	EXPECT_EQ(0u, observed_.items.count("gone"));
	EXPECT_EQ(12u, kf_replica_position(replica_).revision);
}

/* Guards against an item that a newer listing shows and that is not taken. */
TEST_F(Replica, NewerListingAddsItsItems)
{
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 10 });
	kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_);
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 0, 20 });
	Put("unknown", "1", 3);
	Put("new", "1", 15);
	kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_);
	EXPECT_EQ(2u, observed_.items.size());
}

/* A store with its whole history. */
struct Store {
	struct Event {
		std::string key, value;
		bool removed;
	};
	std::vector<Event> events; /* the revision is the index plus one */

	std::map<std::string, std::pair<std::string, uint64_t>> At(
	    uint64_t revision) const
	{
		std::map<std::string, std::pair<std::string, uint64_t>> items;

		for (uint64_t r = 1; r <= revision; r++) {
			const Event &e = events[r - 1];

			if (e.removed)
				items.erase(e.key);
			else
				items[e.key] = { e.value, r };
		}
		return items;
	}
};

void
ApplyListing(kf_replica_t *replica, const Store &store, uint64_t revision,
    kf_source_t source)
{
	kf_replica_listing_begin(replica, source, { 0, revision });
	for (const auto &item : store.At(revision))
		kf_replica_put(replica, source, item.first.c_str(),
		    (const uint8_t *)item.second.first.data(),
		    item.second.first.size(), item.second.second, 0);
	kf_replica_listing_end(replica, source, 0);
}

/* Applies a listing of two pages, each of the store at another revision. */
void
ApplyPagedListing(
    kf_replica_t *replica, const Store &store, uint64_t first, uint64_t second)
{
	const std::string first_of_second_page = "k3";

	kf_replica_listing_begin(replica, KF_SOURCE_STORE, { 0, first });
	for (uint64_t revision : { first, second }) {
		if (revision == second && first != second)
			kf_replica_listing_page(
			    replica, KF_SOURCE_STORE, revision);
		for (const auto &item : store.At(revision)) {
			bool on_second = item.first >= first_of_second_page;

			if (first != second &&
			    on_second != (revision == second))
				continue;
			kf_replica_put(replica, KF_SOURCE_STORE,
			    item.first.c_str(),
			    (const uint8_t *)item.second.first.data(),
			    item.second.first.size(), item.second.second, 0);
		}
	}
	kf_replica_listing_end(replica, KF_SOURCE_STORE, 0);
}

void
ApplyChanges(kf_replica_t *replica, const Store &store, uint64_t revision)
{
	uint64_t after = kf_replica_position(replica).revision;

	for (uint64_t r = after + 1; r <= revision; r++) {
		const Store::Event &e = store.events[r - 1];

		if (e.removed)
			kf_replica_remove(replica, e.key.c_str(), r, 0);
		else
			kf_replica_put(replica, KF_SOURCE_STORE, e.key.c_str(),
			    (const uint8_t *)e.value.data(), e.value.size(), r,
			    0);
	}
	kf_replica_advance(replica, revision);
}

/* Returns true if a key was removed after a revision. */
bool
RemovedLater(const Store &store, const std::string &key, uint64_t revision)
{
	for (uint64_t r = revision + 1; r <= store.events.size(); r++)
		if (store.events[r - 1].key == key &&
		    store.events[r - 1].removed)
			return true;
	return false;
}

/*
 * Returns true if the replica has each item as the store had it at the
 * replica's revision, or newer, and no others but newer ones.  It may lack an
 * item that a newer page of a listing did not show any more.
 */
bool
HoldsAllChanges(const Observed &observed, const Store &store, uint64_t revision)
{
	auto items = store.At(revision);

	for (const auto &item : items)
		if (observed.items.count(item.first) == 0 &&
		    !RemovedLater(store, item.first, revision))
			return false;
	for (const auto &item : observed.items) {
		uint64_t own_revision = 1 + std::stoull(item.second);

		if (own_revision <= revision &&
		    (items.count(item.first) == 0 ||
			items[item.first].second != own_revision))
			return false;
	}
	return true;
}

/*
 * Guards against any order of stale listings, also with pages of different
 * age, listings of peers and changes after which the replica differs from the
 * store, in which an item returns to an older revision, a removed item returns,
 * or a change up to the replica's revision is missing.
 */
TEST(ReplicaProperty, EndsEqualToTheStore)
{
	EXPECT_TRUE(rc::check("replica follows the store", [] {
		Store store;
		auto count = *rc::gen::inRange<size_t>(1, 40);

		for (size_t i = 0; i < count; i++) {
			auto key = *rc::gen::inRange(0, 6);

			store.events.push_back({ "k" + std::to_string(key),
			    std::to_string(i), *rc::gen::inRange(0, 3) == 0 });
		}
		Observed observed;
		bool complete = true;
		kf_replica_t *replica = kf_replica_new(OnChanged, &observed);
		auto steps = *rc::gen::container<std::vector<int>>(
		    rc::gen::inRange(0, 1000));

		for (int step : steps) {
			uint64_t revision = 1 + (uint64_t)step / 4 % count;
			uint64_t other = 1 + (uint64_t)step * 7 / 4 % count;

			if (step % 4 == 0)
				ApplyListing(
				    replica, store, revision, KF_SOURCE_STORE);
			else if (step % 4 == 1)
				ApplyListing(
				    replica, store, revision, KF_SOURCE_PEER);
			else if (step % 4 == 2)
				ApplyPagedListing(
				    replica, store, revision, other);
			else
				ApplyChanges(replica, store, revision);
			complete = complete &&
			    HoldsAllChanges(observed, store,
				kf_replica_position(replica).revision);
		}
		ApplyListing(replica, store, count, KF_SOURCE_STORE);
		std::map<std::string, std::string> want;
		for (const auto &item : store.At(count))
			want[item.first] = item.second.first;
		bool went_backwards = observed.went_backwards;
		kf_replica_delete(replica);
		RC_ASSERT(observed.items == want);
		RC_ASSERT(!went_backwards);
		RC_ASSERT(complete);
	}));
}

/* A store that is restored from backups; each era has the history kept. */
struct RestoredStore {
	std::vector<Store> eras;
	std::vector<uint64_t> starts; /* revisions of the backups */

	static RestoredStore Random()
	{
		RestoredStore s;
		auto restores = *rc::gen::inRange<size_t>(0, 4);

		s.eras.emplace_back();
		s.starts.push_back(0);
		for (size_t era = 0; era <= restores; era++) {
			auto count = *rc::gen::inRange<size_t>(1, 15);

			for (size_t i = 0; i < count; i++)
				s.AddEvent(era, *rc::gen::inRange(0, 6),
				    *rc::gen::inRange(0, 3) == 0);
			if (era == restores)
				break;
			s.eras.push_back(s.eras.back());
			s.starts.push_back(*rc::gen::inRange<uint64_t>(
			    1, s.eras.back().events.size() + 1));
			s.eras.back().events.resize(s.starts.back());
		}
		return s;
	}
	void AddEvent(size_t era, int key, bool removed)
	{
		/* No two values are equal. */
		std::string value = std::to_string(eras[era].events.size()) +
		    "." + std::to_string(era);

		eras[era].events.push_back(
		    { "k" + std::to_string(key), value, removed });
	}
};

/* Collects what a replica reports across restores. */
struct ObservedEras : Observed {
	kf_replica_t *replica = nullptr;
	std::map<std::string, kf_store_position_t> positions;
	std::map<std::string, bool> lost;
	bool written_as_backup = false;
};

void
OnChangedInEra(void *ctx, const kf_item_t *item, int64_t)
{
	auto *o = static_cast<ObservedEras *>(ctx);
	kf_store_position_t at = { kf_replica_position(o->replica).era,
		item->revision };

	if (kf_store_position_compare(at, o->positions[item->key]) < 0)
		o->went_backwards = true;
	o->positions[item->key] = at;
	o->lost.erase(item->key);
	if (item->lost)
		o->lost[item->key] = true;
	if (item->removed) {
		o->items.erase(item->key);
		return;
	}
	o->items[item->key] = std::string((const char *)item->value, item->len);
	o->written_as_backup = o->written_as_backup ||
	    (item->from_backup &&
		item->revision > kf_replica_era_start(o->replica));
}

void
PutAll(kf_replica_t *replica, const RestoredStore &store, size_t era,
    uint64_t revision, kf_source_t source)
{
	for (const auto &item : store.eras[era].At(revision))
		kf_replica_put(replica, source, item.first.c_str(),
		    (const uint8_t *)item.second.first.data(),
		    item.second.first.size(), item.second.second, 0);
}

/* One step: a listing of any era, one that overlaps another, or changes. */
void
ApplyStep(kf_replica_t *replica, const RestoredStore &store)
{
	auto era = *rc::gen::inRange<size_t>(0, store.eras.size());
	auto other = *rc::gen::inRange<size_t>(0, store.eras.size());
	auto pick = [&](size_t e) {
		return *rc::gen::inRange<uint64_t>(
		    std::max<uint64_t>(1, store.starts[e]),
		    store.eras[e].events.size() + 1);
	};
	uint64_t revision = pick(era), other_revision = pick(other);
	int kind = *rc::gen::inRange(0, 3);

	if (kind == 2) {
		size_t own = kf_replica_position(replica).era;

		if (kf_replica_position(replica).revision != 0)
			ApplyChanges(replica, store.eras[own], pick(own));
		return;
	}
	kf_replica_listing_begin(replica, KF_SOURCE_STORE, { era, revision });
	if (kind == 1) {
		kf_replica_listing_begin(
		    replica, KF_SOURCE_PEER, { other, other_revision });
		PutAll(replica, store, other, other_revision, KF_SOURCE_PEER);
		kf_replica_listing_end(replica, KF_SOURCE_PEER, 0);
		/* A caller drops a listing of an era that has passed. */
		if (kf_replica_position(replica).era > era) {
			kf_replica_listing_cancel(replica, KF_SOURCE_STORE);
			return;
		}
	}
	PutAll(replica, store, era, revision, KF_SOURCE_STORE);
	kf_replica_listing_end(replica, KF_SOURCE_STORE, 0);
}

/*
 * Guards against listings and changes of several eras after which the replica
 * has gone back to an older era, holds items of one that has passed, or takes
 * what was written in an era for the state of the backup.
 */
TEST(ReplicaProperty, FollowsAStoreThatIsRestored)
{
	EXPECT_TRUE(rc::check("replica follows a restored store", [] {
		RestoredStore store = RestoredStore::Random();
		ObservedEras observed;
		bool complete = true, era_fell = false;
		kf_replica_t *replica =
		    kf_replica_new(OnChangedInEra, &observed);

		observed.replica = replica;
		for (int i = *rc::gen::inRange(0, 30); i > 0; i--) {
			kf_store_position_t before =
			    kf_replica_position(replica);

			ApplyStep(replica, store);
			kf_store_position_t at = kf_replica_position(replica);
			era_fell = era_fell ||
			    kf_store_position_compare(at, before) < 0;
			complete = complete &&
			    HoldsAllChanges(
				observed, store.eras[at.era], at.revision);
		}
		size_t last = store.eras.size() - 1;
		uint64_t count = store.eras[last].events.size();
		kf_replica_listing_begin(
		    replica, KF_SOURCE_STORE, { last, count });
		PutAll(replica, store, last, count, KF_SOURCE_STORE);
		kf_replica_listing_end(replica, KF_SOURCE_STORE, 0);
		size_t left = kf_replica_release_lost(replica, 0, 0);
		std::map<std::string, std::string> want;
		for (const auto &item : store.eras[last].At(count))
			want[item.first] = item.second.first;
		kf_replica_delete(replica);
		RC_ASSERT(observed.items == want);
		RC_ASSERT(!observed.went_backwards);
		RC_ASSERT(!observed.written_as_backup);
		RC_ASSERT(!era_fell);
		RC_ASSERT(complete);
		RC_ASSERT(left == 0u);
		RC_ASSERT(observed.lost.empty());
	}));
}

class Restored : public Replica {
      protected:
	void SetUp() override
	{
		replica_ = kf_replica_new(OnChangedInEra, &observed_);
		observed_.replica = replica_;
	}
	void List(kf_store_position_t position,
	    const std::map<std::string, uint64_t> &items)
	{
		kf_replica_listing_begin(replica_, KF_SOURCE_STORE, position);
		for (const auto &item : items)
			Put(item.first, "v" + std::to_string(item.second),
			    item.second);
		EXPECT_EQ(KF_OK,
		    kf_replica_listing_end(replica_, KF_SOURCE_STORE, now_us_));
	}

	ObservedEras observed_;
};

/* Guards against items that are dropped while a new era is being listed. */
TEST_F(Restored, OldItemsStayUntilTheListingIsComplete)
{
	List({ 0, 30 }, { { "a", 4 }, { "b", 25 } });
	kf_replica_listing_begin(replica_, KF_SOURCE_STORE, { 1, 20 });
	Put("a", "v4", 4);
	kf_replica_listing_cancel(replica_, KF_SOURCE_STORE);
	EXPECT_EQ(2u, observed_.items.size());
	EXPECT_EQ(30u, kf_replica_position(replica_).revision);
}

/*
 * Guards against an evacuation or upstream that counts as removed before its
 * writer could write it again, also if the store is restored twice, and against
 * one that is never given up.
 */
TEST_F(Restored, LostItemsAreReleasedAfterTheirTime)
{
	List({ 0, 30 }, { { "a", 4 }, { "b", 25 } });
	now_us_ = 1000;
	List({ 1, 20 }, { { "a", 4 } });
	EXPECT_TRUE(observed_.lost.count("b"));
	now_us_ = 2000;
	List({ 2, 10 }, { { "a", 4 } });
	EXPECT_EQ(1u, kf_replica_release_lost(replica_, 1999, now_us_));
	EXPECT_TRUE(observed_.lost.count("b"));
	EXPECT_EQ(0u, kf_replica_release_lost(replica_, 2000, now_us_));
	EXPECT_FALSE(observed_.lost.count("b"));
}

/* Guards against a removal in the new era of an item that it never showed. */
TEST_F(Restored, RemovalEndsALostItemAtOnce)
{
	List({ 0, 30 }, { { "b", 25 } });
	List({ 1, 20 }, {});
	Remove("b", 21);
	EXPECT_FALSE(observed_.lost.count("b"));
	EXPECT_EQ(0u, kf_replica_release_lost(replica_, 0, now_us_));
}

struct Decoded {
	kf_changes_head_t head = {};
	std::vector<std::string> items;
};

/* Guards against changes that another VM decodes differently. */
TEST(Changes, SurviveTheCodec)
{
	const kf_item_change_t items[] = {
		{ "a", (const uint8_t *)"x\0y", 3, 7, false },
		{ "b", nullptr, 0, 9, true },
	};
	Decoded d;
	size_t len;
	const kf_changes_head_t head = { { 2, 12 }, 5, true };
	uint8_t *data = kf_changes_encode(&head, items, 2, &len);
	auto begin = [](void *ctx, const kf_changes_head_t *h) {
		static_cast<Decoded *>(ctx)->head = *h;
		return true;
	};
	auto item = [](void *ctx, const kf_item_change_t *i) {
		static_cast<Decoded *>(ctx)->items.push_back(
		    std::string(i->key) + "@" + std::to_string(i->revision) +
		    (i->removed ? " removed " : " " + std::to_string(i->len)));
	};

	ASSERT_NE(nullptr, data);
	ASSERT_EQ(KF_OK, kf_changes_decode(data, len, begin, item, &d));
	EXPECT_EQ(0, kf_store_position_compare({ 2, 12 }, d.head.position));
	EXPECT_EQ(5u, d.head.era_start);
	EXPECT_TRUE(d.head.listing);
	EXPECT_EQ(
	    (std::vector<std::string>{ "a@7 3", "b@9 removed " }), d.items);
	EXPECT_EQ(
	    KF_ERR_INVALID, kf_changes_decode(data, len - 4, begin, item, &d));
	free(data);
}

std::string
ConfigurationOf(int routes)
{
	std::string text = "{\"Version\":7,\"Routes\":[";

	for (int i = 0; i < routes; i++)
		text += "{\"Name\":\"r-" + std::to_string(i * 7919) +
		    "\",\"Host\":\"198.18." + std::to_string(i / 250) + "." +
		    std::to_string(i % 250) +
		    "\",\"Prefix\":\"/8443/\",\"TimeoutMs\":2000},";
	return text + "]}";
}

/*
 * Guards against a start that takes 0.3 s on a link of 10 Mbit/s: a
 * configuration of 300 KB must compress to less than 50 KB, which takes 40 ms.
 */
TEST(Changes, LargeValuesAreCompressed)
{
	std::string config = ConfigurationOf(4000), taken;
	const kf_item_change_t item = { "op/config",
		(const uint8_t *)config.data(), config.size(), 7, false };
	size_t len;
	const kf_changes_head_t head = { { 0, 7 }, 0, true };
	uint8_t *data = kf_changes_encode(&head, &item, 1, &len);
	auto begin = [](void *, const kf_changes_head_t *) { return true; };
	auto take = [](void *ctx, const kf_item_change_t *i) {
		static_cast<std::string *>(ctx)->assign(
		    (const char *)i->value, i->len);
	};

	ASSERT_NE(nullptr, data);
	ASSERT_GT(config.size(), 300000u);
	EXPECT_LT(len, 50000u);
	ASSERT_EQ(KF_OK, kf_changes_decode(data, len, begin, take, &taken));
	EXPECT_EQ(config, taken);
	/* Damages the start of the compressed data. */
	static const uint8_t frame[] = { 0x28, 0xb5, 0x2f, 0xfd };
	uint8_t *at = std::search(data, data + len, frame, frame + 4);
	ASSERT_NE(data + len, at);
	at[0] ^= 0xff;
	EXPECT_EQ(
	    KF_ERR_INVALID, kf_changes_decode(data, len, begin, take, &taken));
	free(data);
}

/* Guards against one large value, a store may allow more than 1 MB, for which a
 * VM cannot send any changes to others. */
TEST(Changes, ValueMayBeLarge)
{
	const std::string large(3 << 20, 'x');
	const std::string key(KF_KEY_MAX_BYTES, 'k');
	const kf_changes_head_t head = { { 1, 9 }, 1, true };
	const kf_item_change_t items[] = {
		{ "a", (const uint8_t *)"1", 1, 7, false },
		{ key.c_str(), (const uint8_t *)large.data(), large.size(), 8,
		    false },
	};
	std::vector<size_t> taken;
	size_t len = 0;
	uint8_t *data = kf_changes_encode(&head, items, 2, &len);

	ASSERT_NE(nullptr, data) << kf_status_message();
	ASSERT_EQ(KF_OK,
	    kf_changes_decode(
		data, len,
		[](void *, const kf_changes_head_t *) { return true; },
		[](void *ctx, const kf_item_change_t *i) {
			static_cast<std::vector<size_t> *>(ctx)->push_back(
			    i->len);
		},
		&taken));
	EXPECT_EQ((std::vector<size_t>{ 1, large.size() }), taken);
	free(data);
}

/*
 * Guards against a start that fails among 300 VMs.  3,000 upstreams are 1 MB as
 * published, which takes 0.8 s on a link of 10 Mbit/s, longer than the timeout
 * of a pull; they must compress to less than 250 KB, which takes 0.2 s.
 */
TEST(Changes, ManyUpstreamsAreCompressed)
{
	std::vector<std::string> keys, values;
	std::vector<kf_item_change_t> items;
	size_t count = 0, len;

	for (int i = 0; i < 3000; i++) {
		std::mt19937 random(i);
		char id[16];

		snprintf(id, sizeof(id), "%010x", (unsigned)random());
		keys.push_back(std::string("servers/i-") + id);
		values.push_back(std::string("{\"Service\":\"bovo83a\",") +
		    "\"Address\":\"10.2.64." + std::to_string(i % 250) + ":" +
		    std::to_string(8000 + i % 977) +
		    "\",\"Zone\":\"akl-b\",\"Version\":\"v1\",\"Slots\":2,"
		    "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":" +
		    std::to_string(random() % 1000) + ",\"born\":17691004" +
		    std::to_string(10000 + random() % 90000) + "}");
	}
	for (size_t i = 0; i < keys.size(); i++)
		items.push_back(
		    { keys[i].c_str(), (const uint8_t *)values[i].data(),
			values[i].size(), i + 1, false });
	const kf_changes_head_t head = { { 0, 3000 }, 0, true };
	uint8_t *data =
	    kf_changes_encode(&head, items.data(), items.size(), &len);
	auto begin = [](void *, const kf_changes_head_t *) { return true; };
	auto take = [](void *ctx, const kf_item_change_t *) {
		++*static_cast<size_t *>(ctx);
	};

	ASSERT_NE(nullptr, data);
	EXPECT_LT(len, 250000u);
	ASSERT_EQ(KF_OK, kf_changes_decode(data, len, begin, take, &count));
	EXPECT_EQ(items.size(), count);
	free(data);
}

} // namespace
