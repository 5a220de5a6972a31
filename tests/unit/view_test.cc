#include <gtest/gtest.h>

#include "support/traffic_world.h"

namespace {

using namespace kf_test;

using View = std::unique_ptr<kf_view_t, decltype(&kf_view_release)>;

struct Vm {
	kf_vm_id_t id;
	const char *zone;
	kf_liveness_t liveness;
	bool leaving;
};

const kf_vm_id_t kSelf = { 1, 10 };

class ViewTest : public ::testing::Test {
      protected:
	void SetUp() override
	{
		std::string text = "[declaration]\nrevision = 1\n"
				   "[service orders]\n"
				   "address = 127.0.0.1:2049\n"
				   "[selector all]\nservice = orders\n"
				   "match = service=orders\n"
				   "share_percent = 100\n";

		for (int i = 0; i < 60; i++)
			text += "[upstream u" + std::to_string(i) +
			    "]\nservice = orders\nzone = z" +
			    std::to_string(i % 3) + "\naddress = 127.0.1." +
			    std::to_string(i + 1) + ":2049\nslots = 2\n";
		kf_declaration_t *parsed = kf_declaration_parse(
		    "d", text.data(), text.size(), IgnoreError, nullptr);
		ASSERT_NE(nullptr, parsed);
		decl = kf_declref_new(parsed);
		keys = kf_keyring_new();
	}
	void TearDown() override
	{
		kf_declref_release(decl);
		kf_keyring_delete(keys);
	}
	static void IgnoreError(void *, const char *, int, const char *)
	{
	}
	View Make(const std::vector<Vm> &vms)
	{
		std::vector<kf_view_vm_t> list;
		kf_view_input_t input = {};

		for (const Vm &vm : vms) {
			kf_view_vm_t v = {};

			v.id = vm.id;
			v.zone = kf_name_id(vm.zone);
			v.shards = 1;
			v.liveness = vm.liveness;
			v.leaving = vm.leaving;
			list.push_back(v);
		}
		input.self = kSelf;
		input.settled = true;
		input.decl = decl;
		input.keys = keys;
		input.vms = list.data();
		input.vm_count = (uint32_t)list.size();
		return View(kf_view_new(&input), kf_view_release);
	}
	/* Six VMs, two of each zone. */
	std::vector<Vm> Fleet()
	{
		std::vector<Vm> vms;
		static const char *const zones[] = { "z0", "z1", "z2" };

		for (uint32_t i = 0; i < 6; i++)
			vms.push_back({ { i + 1, 10 }, zones[i % 3],
			    KF_VM_ALIVE, false });
		return vms;
	}
	uint32_t Owner(const View &view, uint32_t i)
	{
		return view->vms[view->upstreams[i].owner].id.vm;
	}
	uint32_t Backup(const View &view, uint32_t i)
	{
		return view->vms[view->upstreams[i].backup].id.vm;
	}
	uint32_t Zone(const View &view, uint32_t vm_index)
	{
		return view->vms[vm_index].zone;
	}

	kf_declref_t *decl = nullptr;
	kf_keyring_t *keys = nullptr;
};

/* Guards against an owner or backup outside the zone of the upstream. */
TEST_F(ViewTest, OwnerAndBackupAreOfTheZone)
{
	View view = Make(Fleet());

	for (uint32_t i = 0; i < view->decl->upstream_count; i++) {
		uint32_t zone = view->decl->upstreams[i].zone;

		EXPECT_NE(Owner(view, i), Backup(view, i));
		EXPECT_EQ(zone, Zone(view, view->upstreams[i].owner));
		EXPECT_EQ(zone, Zone(view, view->upstreams[i].backup));
	}
}

/* Guards against needless changes of owner when a VM leaves or dies. */
TEST_F(ViewTest, BackupBecomesOwner)
{
	View before = Make(Fleet());

	for (int how = 0; how < 3; how++) {
		std::vector<Vm> vms = Fleet();

		if (how == 0)
			vms[1].liveness = KF_VM_DEAD;
		else if (how == 1)
			vms[1].leaving = true;
		else
			vms.erase(vms.begin() + 1);
		View after = Make(vms);
		for (uint32_t i = 0; i < 60; i++) {
			uint32_t expected = Owner(before, i) == 2
			    ? Backup(before, i)
			    : Owner(before, i);

			EXPECT_EQ(expected, Owner(after, i)) << how;
			EXPECT_NE(2u, Backup(after, i)) << how;
		}
	}
}

/* Guards against an upstream without an owner because its zone has no VM. */
TEST_F(ViewTest, OtherZonesStandIn)
{
	View two_vms = Make({ { kSelf, "z0", KF_VM_ALIVE, false },
	    { { 2, 10 }, "z1", KF_VM_SUSPECT, false } });

	for (uint32_t i = 0; i < 60; i++) {
		EXPECT_NE(Owner(two_vms, i), Backup(two_vms, i));
		EXPECT_TRUE(i % 3 != 0 || Owner(two_vms, i) == 1);
		EXPECT_TRUE(i % 3 != 1 || Owner(two_vms, i) == 2);
	}
}

/*
 * Guards against an owner that is leaving, unknown or gone, and against a view
 * that does not list this VM.
 */
TEST_F(ViewTest, NobodyMayOwn)
{
	View view = Make({ { kSelf, "z0", KF_VM_ALIVE, true },
	    { { 2, 10 }, "z0", KF_VM_UNKNOWN, false },
	    { { 3, 10 }, "z0", KF_VM_GONE, false } });

	EXPECT_TRUE(view->leaving);
	EXPECT_EQ((uint32_t)KF_VIEW_NONE, view->upstreams[0].owner);
	EXPECT_EQ((uint32_t)KF_VIEW_NONE, view->upstreams[0].backup);
	EXPECT_EQ(nullptr, Make({ { { 2, 10 }, "z0", KF_VM_ALIVE, false } }));
}

/* Guards against treating an ended process as alive. */
TEST_F(ViewTest, OlderIncarnationIsGone)
{
	View view = Make({ { kSelf, "z0", KF_VM_ALIVE, false },
	    { { 2, 10 }, "z0", KF_VM_ALIVE, false },
	    { { 2, 5 }, "z0", KF_VM_GONE, false } });

	EXPECT_EQ(KF_VM_ALIVE, kf_view_liveness(view.get(), { 2, 10 }));
	EXPECT_EQ(KF_VM_GONE, kf_view_liveness(view.get(), { 2, 5 }));
	EXPECT_EQ(KF_VM_GONE, kf_view_liveness(view.get(), { 2, 7 }));
	EXPECT_EQ(KF_VM_UNKNOWN, kf_view_liveness(view.get(), { 2, 11 }));
	EXPECT_EQ(KF_VM_UNKNOWN, kf_view_liveness(view.get(), { 9, 1 }));
	EXPECT_EQ(nullptr, kf_view_vm(view.get(), { 2, 7 }));
}

/*
 * Guards against a shard that does not exist, a port of another shard, and an
 * uneven spread of the upstreams.
 */
TEST_F(ViewTest, ShardsShareTheUpstreams)
{
	View view = Make(Fleet());
	kf_view_vm_t vm = view->vms[0];
	int counts[4] = {};

	vm.shards = 4;
	vm.peer_addr = { 1, 7000 };
	for (uint32_t i = 0; i < 60; i++) {
		uint32_t id = view->decl->upstreams[i].id;
		uint32_t shard = kf_view_shard(&vm, id);

		ASSERT_LT(shard, 4u);
		EXPECT_EQ(7000 + shard, kf_view_shard_addr(&vm, id).port);
		counts[shard]++;
	}
	for (int count : counts)
		EXPECT_GT(count, 5);
}

} // namespace
