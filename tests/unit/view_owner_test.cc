#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "kf/placement.h"
#include "kf/view.h"

namespace {

constexpr uint32_t kUpstreams = 60;
constexpr uint32_t kZones = 5;

void
OnError(void *, const char *, int line, const char *text)
{
	ADD_FAILURE() << line << ": " << text;
}

std::string
ZoneName(uint32_t zone)
{
	return "z" + std::to_string(zone);
}

std::string
Declaration()
{
	std::string text = "[declaration]\nrevision = 1\n"
			   "[service s]\naddress = 127.1.0.1:1\n"
			   "[selector all]\nservice = s\nmatch = g=n\n"
			   "share_percent = 100\n";

	for (uint32_t i = 0; i < kUpstreams; i++)
		text += "[upstream u" + std::to_string(i) +
		    "]\nservice = s\nzone = " + ZoneName(i % kZones) +
		    "\naddress = 127.2.0.1:" + std::to_string(i + 1) +
		    "\nslots = 2\nlabels = g=n\n";
	return text;
}

bool
MayOwn(const kf_view_vm_t &vm)
{
	return !vm.leaving &&
	    (vm.liveness == KF_VM_ALIVE || vm.liveness == KF_VM_SUSPECT);
}

/* Reference implementation: highest score among the VMs that may own. */
uint32_t
BestOf(const kf_view_t *view, const kf_upstream_t &upstream, bool own_zone,
    uint32_t except)
{
	uint32_t best = KF_VIEW_NONE;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < view->vm_count; i++) {
		const kf_view_vm_t &vm = view->vms[i];
		uint64_t score = kf_rendezvous_score(
		    vm.id.vm, vm.id.incarnation, upstream.id);

		if (!MayOwn(vm) || i == except ||
		    (own_zone && vm.zone != upstream.zone))
			continue;
		if (best == KF_VIEW_NONE || score > best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

uint32_t
BestLocalFirst(
    const kf_view_t *view, const kf_upstream_t &upstream, uint32_t except)
{
	uint32_t best = BestOf(view, upstream, true, except);

	return best != KF_VIEW_NONE ? best
				    : BestOf(view, upstream, false, except);
}

struct View : testing::Test {
	kf_declref_t *decl = nullptr;
	kf_keyring_t *keys = nullptr;
	std::mt19937 random{ 7 };

	View()
	{
		std::string text = Declaration();

		decl = kf_declref_new(kf_declaration_parse(
		    "d", text.data(), text.size(), OnError, nullptr));
		keys = kf_keyring_new();
	}
	~View() override
	{
		kf_declref_release(decl);
		kf_keyring_delete(keys);
	}

	kf_view_vm_t RandomVm(uint32_t i)
	{
		static const kf_liveness_t liveness[] = { KF_VM_ALIVE,
			KF_VM_ALIVE, KF_VM_SUSPECT, KF_VM_DEAD, KF_VM_GONE };
		kf_view_vm_t vm = {};

		vm.id = { (uint32_t)random() | 1, 1 + random() % 3 };
		/* Low zones are likelier, so some zones get one VM or none. */
		vm.zone = kf_name_id(ZoneName(random() % (1 + i / 2)).c_str());
		vm.liveness = liveness[random() % 5];
		vm.leaving = random() % 8 == 0;
		return vm;
	}
	std::vector<kf_view_vm_t> RandomFleet()
	{
		std::vector<kf_view_vm_t> vms;
		uint32_t count = 1 + random() % 20;

		for (uint32_t i = 0; i < count; i++)
			vms.push_back(RandomVm(i));
		return vms;
	}
	void ChangeFleet(std::vector<kf_view_vm_t> &vms)
	{
		/* vms[0] builds the view and is never erased. */
		size_t i = random() % vms.size();
		kf_view_vm_t &vm = vms[i];

		switch (random() % 7) {
		case 0:
			vm.leaving = !vm.leaving;
			break;
		case 1:
			vm.liveness = vm.liveness == KF_VM_ALIVE ? KF_VM_DEAD
								 : KF_VM_ALIVE;
			break;
		case 2:
			vm.id.incarnation += 5;
			break;
		case 3:
			vm.zone =
			    kf_name_id(ZoneName(random() % kZones).c_str());
			break;
		case 4:
			vms.push_back(RandomVm(8));
			break;
		case 5:
			if (i > 0)
				vms.erase(vms.begin() + (long)i);
			break;
		default:
			vm.heard_us++;
			break;
		}
	}
	kf_view_t *Build(const std::vector<kf_view_vm_t> &vms,
	    const kf_view_t *previous = nullptr)
	{
		kf_view_input_t input = {};

		input.self = vms[0].id;
		input.decl = decl;
		input.keys = keys;
		input.vms = vms.data();
		input.vm_count = (uint32_t)vms.size();
		input.previous = previous;
		return kf_view_new(&input);
	}
	static void ExpectOwners(const kf_view_t *view)
	{
		for (uint32_t i = 0; i < kUpstreams; i++) {
			const kf_upstream_t &upstream =
			    view->decl->upstreams[i];
			uint32_t owner =
			    BestLocalFirst(view, upstream, KF_VIEW_NONE);
			uint32_t backup = owner == KF_VIEW_NONE
			    ? KF_VIEW_NONE
			    : BestLocalFirst(view, upstream, owner);

			EXPECT_EQ(owner, view->upstreams[i].owner);
			EXPECT_EQ(backup, view->upstreams[i].backup);
		}
	}
};

/*
 * Guards against an assignment that skips a VM while scoring, so that VMs
 * disagree on the owner.
 */
TEST_F(View, OwnerAndBackupFollowTheRule)
{
	for (int round = 0; round < 300; round++) {
		kf_view_t *view = Build(RandomFleet());

		ASSERT_NE(nullptr, view);
		ExpectOwners(view);
		kf_view_release(view);
	}
}

/*
 * Guards against owners copied from the previous view although the eligible VMs
 * have changed.
 */
TEST_F(View, OwnersFollowEveryChangeOfTheFleet)
{
	for (int round = 0; round < 1000; round++) {
		std::vector<kf_view_vm_t> vms = RandomFleet();
		kf_view_t *first = Build(vms), *second;

		ASSERT_NE(nullptr, first);
		for (uint32_t changes = random() % 4; changes > 0; changes--)
			ChangeFleet(vms);
		second = Build(vms, first);
		ASSERT_NE(nullptr, second);
		ExpectOwners(second);
		kf_view_release(first);
		kf_view_release(second);
	}
}

} // namespace
