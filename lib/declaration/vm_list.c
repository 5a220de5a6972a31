#include <stdlib.h>
#include <string.h>

#include "kf/document.h"
#include "kf/reader.h"
#include "draft.h"
#include "dups.h"

typedef struct draft_vm {
	kf_vm_entry_t vm;
	char zone[KF_NAME_BYTES];
	int state;
	int line;
} draft_vm_t;

typedef struct draft {
	kf_array_t vms;
} draft_t;

static const char *const states[] = { "live", "leaving", NULL };

static const kf_field_t vm_fields[] = {
	{ .section = "vm",
	    .key = "address",
	    .type = KF_FIELD_ADDR,
	    .offset = offsetof(draft_vm_t, vm.addr),
	    .text = "control address" },
	{ .section = "vm",
	    .key = "zone",
	    .type = KF_FIELD_NAME,
	    .offset = offsetof(draft_vm_t, zone),
	    .text = "availability zone" },
	{ .section = "vm",
	    .key = "state",
	    .type = KF_FIELD_CHOICE,
	    .choices = states,
	    .default_value = "live",
	    .offset = offsetof(draft_vm_t, state),
	    .text = "leaving: the VM finishes its requests and goes" },
};

static void *
vm_begin(void *target, const char *name, int line)
{
	draft_t *draft = target;
	draft_vm_t *vm;

	vm = kf_array_add(&draft->vms, sizeof(*vm));
	if (vm == NULL)
		return NULL;
	memcpy(vm->vm.name, name, strlen(name) + 1);
	vm->vm.id = kf_name_id(name);
	vm->line = line;
	return vm;
}

static void
vm_end(void *target, void *object, bool bad)
{
	draft_vm_t *vm = object;

	(void)target;
	(void)bad;
	vm->vm.zone = kf_name_id(vm->zone);
	vm->vm.leaving = vm->state == 1;
}

const kf_section_t kf_vm_section = {
	.kind = "vm",
	.named = true,
	.fields = vm_fields,
	.field_count = sizeof(vm_fields) / sizeof(vm_fields[0]),
	.begin = vm_begin,
	.end = vm_end,
};

static void
draft_check(const draft_t *draft, kf_reader_t *reader)
{
	kf_dups_t *names, *addrs, *zones;
	const draft_vm_t *vms = draft->vms.items;
	size_t i;

	names = kf_dups_new("VM name", draft->vms.count);
	addrs = kf_dups_new("control address", draft->vms.count);
	zones = kf_dups_new_collisions("zone name", draft->vms.count);
	for (i = 0; i < draft->vms.count; i++) {
		const draft_vm_t *vm = &vms[i];

		kf_dups_add(names, vm->vm.id, vm->vm.name, vm->line);
		kf_dups_add_addr(addrs, vm->vm.addr, vm->line);
		kf_dups_add(zones, vm->vm.zone, vm->zone, vm->line);
	}
	kf_dups_report(names, reader);
	kf_dups_report(addrs, reader);
	kf_dups_report(zones, reader);
}

static kf_vm_list_t *
draft_build_vm_list(const draft_t *draft)
{
	const draft_vm_t *vms = draft->vms.items;
	kf_vm_list_t *list;
	size_t i;

	list = calloc(1, sizeof(*list));
	if (list == NULL)
		return NULL;
	list->count = (uint32_t)draft->vms.count;
	list->vms = calloc(draft->vms.count + 1, sizeof(*list->vms));
	if (list->vms == NULL) {
		free(list);
		return NULL;
	}
	for (i = 0; i < draft->vms.count; i++)
		list->vms[i] = vms[i].vm;
	return list;
}

kf_vm_list_t *
kf_vm_list_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx)
{
	draft_t draft = { 0 };
	kf_reader_t reader = {
		.file = file,
		.on_error = on_error,
		.ctx = ctx,
		.sections = &kf_vm_section,
		.section_count = 1,
		.target = &draft,
	};
	kf_vm_list_t *list = NULL;

	kf_reader_run(&reader, text, len, KF_DOCUMENT_MAX_BYTES);
	draft_check(&draft, &reader);
	if (reader.error_count == 0) {
		list = draft_build_vm_list(&draft);
		if (list == NULL)
			kf_reader_error(&reader, 0, "out of memory");
	}
	free(draft.vms.items);
	return list;
}

void
kf_vm_list_delete(kf_vm_list_t *list)
{
	if (list == NULL)
		return;
	free(list->vms);
	free(list);
}
