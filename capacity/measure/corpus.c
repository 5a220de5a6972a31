#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "corpus.h"

enum {
	SERVICE_NET = 0x7f400000,  /* 127.64.0.0 */
	UPSTREAM_NET = 0x7f800000, /* 127.128.0.0 */
	VM_NET = 0x7f100000,	   /* 127.16.0.0 */
	PORT = 2049,
	RACKS = 40,
	SECTION_BYTES = 256,
	NAME_BYTES = 32,
};

void *
corpus_require(void *pointer, const char *what)
{
	if (pointer != NULL)
		return pointer;
	fprintf(stderr, "capacity: cannot create %s: %s\n", what,
	    kf_status_message());
	exit(1);
}

/*
 * Hash set with linear probing.  Identifiers are hashes of names, so that their
 * low bits serve as the index.  0 marks a free entry.
 */
typedef struct id_set {
	uint32_t *ids;
	size_t mask;
} id_set_t;

static bool
id_set_add(id_set_t *set, uint32_t id)
{
	size_t i = id & set->mask;

	while (set->ids[i] != 0) {
		if (set->ids[i] == id)
			return false;
		i = (i + 1) & set->mask;
	}
	set->ids[i] = id;
	return true;
}

static id_set_t
id_set_new(uint32_t count)
{
	id_set_t set = { .mask = 1 };

	while (set.mask < (size_t)count * 4)
		set.mask = set.mask * 2 + 1;
	set.ids = corpus_require(
	    calloc(set.mask + 1, sizeof(uint32_t)), "set of names");
	return set;
}

/* Writes a name; appends a number if its identifier is already in the set. */
static void
write_unique_name(corpus_text_t *out, id_set_t *set, const char *kind,
    uint32_t i, char name[NAME_BYTES])
{
	uint32_t attempt = 0;

	snprintf(name, NAME_BYTES, "%s-%06u", kind, i);
	while (!id_set_add(set, kf_name_id(name))) {
		out->clashes++;
		snprintf(name, NAME_BYTES, "%s-%06u-%u", kind, i, ++attempt);
	}
}

static const char *
address(uint32_t ip, char buf[KF_ADDR_TEXT_BYTES])
{
	return kf_addr_format((kf_addr_t){ .ip = ip, .port = PORT }, buf);
}

static size_t
write_service(const corpus_t *corpus, uint32_t i, const char *name, char *out)
{
	char addr[KF_ADDR_TEXT_BYTES];

	return (size_t)sprintf(out,
	    "[service %s]\naddress = %s\nprocedure.1 = idempotent\n"
	    "[selector %s]\nservice = %s\n"
	    "match = gen=new\nshare_percent = 100\nzone_preference = %s\n",
	    name, address(SERVICE_NET + i, addr), name, name,
	    corpus->preference);
}

static size_t
write_upstream(const corpus_t *corpus, uint32_t i, const char *name,
    const char *service, char *out)
{
	char addr[KF_ADDR_TEXT_BYTES];

	return (size_t)sprintf(out,
	    "[upstream %s]\nservice = %s\nzone = zone-%02u\n"
	    "address = %s\nslots = 3\nlabels = gen=new rack=r%u\n",
	    name, service, i % corpus->zones, address(UPSTREAM_NET + i, addr),
	    i % RACKS);
}

static void
write_sections(const corpus_t *corpus, corpus_text_t *out)
{
	id_set_t services = id_set_new(corpus->services);
	id_set_t upstreams = id_set_new(corpus->upstreams);
	char(*names)[NAME_BYTES], name[NAME_BYTES];
	uint32_t i;

	names = corpus_require(calloc(corpus->services, NAME_BYTES), "names");
	for (i = 0; i < corpus->services; i++) {
		write_unique_name(out, &services, "service", i, names[i]);
		out->len +=
		    write_service(corpus, i, names[i], out->text + out->len);
	}
	for (i = 0; i < corpus->upstreams; i++) {
		write_unique_name(out, &upstreams, "upstream", i, name);
		out->len += write_upstream(corpus, i, name,
		    names[i % corpus->services], out->text + out->len);
	}
	free(names);
	free(services.ids);
	free(upstreams.ids);
}

corpus_text_t
corpus_write(const corpus_t *corpus)
{
	corpus_text_t out = { 0 };

	if (corpus->services == 0 || corpus->zones == 0)
		corpus_require(NULL, "declaration without services or zones");

	out.text = corpus_require(
	    malloc(SECTION_BYTES + (size_t)corpus->services * SECTION_BYTES +
		(size_t)corpus->upstreams * SECTION_BYTES),
	    "declaration text");
	out.len = (size_t)sprintf(out.text, "[declaration]\nrevision = 1\n");
	write_sections(corpus, &out);
	return out;
}

static void
on_error(void *ctx, const char *file, int line, const char *text)
{
	(void)ctx;
	fprintf(stderr, "capacity: %s:%d: %s\n", file, line, text);
}

kf_declaration_t *
corpus_parse(const corpus_text_t *text)
{
	return corpus_require(kf_declaration_parse_sized("corpus", text->text,
				  text->len, text->len, on_error, NULL),
	    "declaration");
}

kf_declref_t *
corpus_declref(const corpus_t *corpus)
{
	corpus_text_t text = corpus_write(corpus);
	kf_declref_t *ref = kf_declref_new(corpus_parse(&text));

	free(text.text);
	return corpus_require(ref, "declaration");
}

uint32_t
corpus_zone(uint32_t index)
{
	char name[16];

	snprintf(name, sizeof(name), "zone-%02u", index);
	return kf_name_id(name);
}

kf_vm_id_t
corpus_vm_id(uint32_t index)
{
	/* Multiplicative hashing; real identifiers are hashes of names. */
	return (kf_vm_id_t){ .vm = (index + 1) * 2654435761u,
		.incarnation = 1000000 + index };
}

kf_view_vm_t *
corpus_vms(uint32_t count, uint32_t zones)
{
	kf_view_vm_t *vms;
	uint32_t i;

	vms = corpus_require(calloc(count + 1, sizeof(*vms)), "VMs");
	for (i = 0; i < count; i++) {
		vms[i] = (kf_view_vm_t){
			.id = corpus_vm_id(i),
			.zone = corpus_zone(i % zones),
			.peer_addr = { .ip = VM_NET + i, .port = 7000 },
			.shards = 1,
			.liveness = KF_VM_ALIVE,
		};
		snprintf(vms[i].name, sizeof(vms[i].name), "vm-%05u", i);
	}
	return vms;
}

kf_keyring_t *
corpus_keys(void)
{
	kf_key_t key = {
		.id = 1, .not_after_s = 100000000, .secret = { 1, 2 }
	};
	kf_keyring_t *keys;

	keys = corpus_require(kf_keyring_new(), "key ring");
	kf_keyring_add(keys, &key);
	return keys;
}
