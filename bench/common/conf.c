#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kf/bench_conf.h"
#include "kf/document.h"

enum {
	PATH_BYTES = 512,
	FILE_MAX_BYTES = 1 << 20,
	LINK_KOWHAI_US = 1000,
	LINK_BENGAL_US = 500,
};

static void
on_error(void *ctx, const char *file, int line, const char *text)
{
	(void)ctx;
	fprintf(stderr, "%s:%d: %s\n", file, line, text);
}

static char *
read_file(const kf_bench_options_t *options, const char *name)
{
	char path[PATH_BYTES], *text;
	size_t len;
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s/%s", options->conf_dir,
	    options->deployment, name);
	text = calloc(1, FILE_MAX_BYTES + 1);
	file = fopen(path, "r");
	if (file == NULL || text == NULL) {
		fprintf(stderr, "cannot read %s\n", path);
		exit(1);
	}
	len = fread(text, 1, FILE_MAX_BYTES, file);
	text[len] = '\0';
	fclose(file);
	return text;
}

static kf_declaration_t *
parse(const char *text)
{
	kf_declaration_t *decl;

	decl = kf_declaration_parse(
	    "declaration", text, strlen(text), on_error, NULL);
	if (decl == NULL)
		exit(1);
	return decl;
}

static void
list_zones(kf_conf_t *conf)
{
	uint32_t i, z;

	for (i = 0; i < conf->decl->upstream_count; i++) {
		const kf_upstream_t *u = &conf->decl->upstreams[i];

		for (z = 0; z < conf->zone_count; z++) {
			if (conf->zones[z] == u->zone)
				break;
		}
		if (z < conf->zone_count || z == KF_CONF_ZONES_MAX)
			continue;
		conf->zones[z] = u->zone;
		conf->zone_names[z] = u->zone_name;
		conf->zone_count++;
	}
}

kf_conf_t *
kf_conf_load(const kf_bench_options_t *options)
{
	kf_conf_t *conf;

	conf = calloc(1, sizeof(*conf));
	if (conf == NULL)
		abort();
	conf->declaration_text = read_file(options, "declaration.ini");
	conf->keys_text = read_file(options, "keys.ini");
	conf->decl = parse(conf->declaration_text);
	conf->keys = kf_keys_parse(
	    "keys", conf->keys_text, strlen(conf->keys_text), on_error, NULL);
	if (conf->keys == NULL)
		exit(1);
	conf->link_us = strcmp(options->deployment, "bengal") == 0
	    ? LINK_BENGAL_US
	    : LINK_KOWHAI_US;
	list_zones(conf);
	return conf;
}

void
kf_conf_delete(kf_conf_t *conf)
{
	kf_declaration_delete(conf->decl);
	kf_keyring_delete(conf->keys);
	free(conf->declaration_text);
	free(conf->keys_text);
	free(conf);
}

static void
write_service(FILE *out, const kf_service_t *s)
{
	char addr[KF_ADDR_TEXT_BYTES];
	uint32_t i;

	fprintf(out,
	    "[service %s]\naddress = %s\nprogram = %" PRIu32
	    "\nclass = %s\ndeadline_ms = %" PRId64 "\n",
	    s->name, kf_addr_format(s->addr, addr), s->program,
	    kf_class_name(s->cls), s->deadline_ms);
	for (i = 0; i < s->procedure_count; i++)
		fprintf(out, "procedure.%" PRIu32 " = %s %s\n",
		    s->procedures[i].number,
		    s->procedures[i].idempotent ? "idempotent"
						: "non-idempotent",
		    kf_class_name(s->procedures[i].cls));
}

static void
write_selector(FILE *out, const kf_declaration_t *decl, const kf_selector_t *s)
{
	char labels[KF_LABELS_TEXT_BYTES];

	fprintf(out,
	    "[selector %s]\nservice = %s\nmatch = %s\nshare_percent = %g\n"
	    "zone_preference = %s\n",
	    s->name, decl->services[s->service].name,
	    kf_labels_format(s->match, s->match_count, labels),
	    s->share_percent, kf_zone_preference_name(s->zone_preference));
	if (s->ramp_s > 0)
		fprintf(out,
		    "ramp_from_percent = %g\nramp_start_s = %" PRId64
		    "\nramp_s = %" PRId64 "\n",
		    s->ramp_from_percent, s->ramp_start_s, s->ramp_s);
}

static void
write_upstream(FILE *out, const kf_declaration_t *decl, const kf_upstream_t *u)
{
	char labels[KF_LABELS_TEXT_BYTES], addr[KF_ADDR_TEXT_BYTES];

	if (u->slots == 0)
		return;
	fprintf(out,
	    "[upstream %s]\nservice = %s\nzone = %s\naddress = %s\n"
	    "slots = %" PRIu32 "\nstate = %s\nlabels = %s\n",
	    u->name, decl->services[u->service].name, u->zone_name,
	    kf_addr_format(u->addr, addr), u->slots,
	    u->draining ? "draining" : "live",
	    kf_labels_format(u->labels, u->label_count, labels));
}

static char *
write_declaration(const kf_declaration_t *decl)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out;
	uint32_t i;

	out = open_memstream(&text, &len);
	if (out == NULL)
		abort();
	fprintf(out, "[declaration]\nrevision = %" PRIu32 "\n", decl->revision);
	for (i = 0; i < decl->service_count; i++)
		write_service(out, &decl->services[i]);
	for (i = 0; i < decl->selector_count; i++)
		write_selector(out, decl, &decl->selectors[i]);
	for (i = 0; i < decl->upstream_count; i++)
		write_upstream(out, decl, &decl->upstreams[i]);
	fclose(out);
	return text;
}

static void *
copy_array(const void *from, size_t bytes)
{
	void *to = malloc(bytes);

	if (to == NULL)
		abort();
	memcpy(to, from, bytes);
	return to;
}

char *
kf_conf_text(const kf_conf_t *conf, kf_conf_edit_fn *edit, void *ctx)
{
	kf_declaration_t copy = *conf->decl;
	char *text;

	copy.services = copy_array(
	    copy.services, copy.service_count * sizeof(*copy.services));
	copy.selectors = copy_array(
	    copy.selectors, copy.selector_count * sizeof(*copy.selectors));
	copy.upstreams = copy_array(
	    copy.upstreams, copy.upstream_count * sizeof(*copy.upstreams));
	if (edit != NULL)
		edit(ctx, &copy);
	text = write_declaration(&copy);
	free(copy.services);
	free(copy.selectors);
	free(copy.upstreams);
	return text;
}

kf_declref_t *
kf_conf_variant(const kf_conf_t *conf, kf_conf_edit_fn *edit, void *ctx)
{
	char *text = kf_conf_text(conf, edit, ctx);
	kf_declref_t *ref;

	ref = kf_declref_new(parse(text));
	if (ref == NULL)
		abort();
	free(text);
	return ref;
}

uint32_t
kf_conf_zone(const kf_conf_t *conf, uint32_t index, uint32_t count)
{
	return conf->zones[(uint64_t)index * conf->zone_count / count];
}
