/*
 * Guards against crashes and leaks on malformed documents and settings, and
 * against a document that is refused without an error message.
 */
#include <stdlib.h>

#include "kf/document.h"
#include "kf/settings.h"

static void
on_error(void *ctx, const char *file, int line, const char *text)
{
	unsigned *errors = ctx;

	(void)file;
	(void)line;
	if (text == NULL || text[0] == '\0')
		abort();
	(*errors)++;
}

/* A parser returns NULL if, and only if, it has reported an error. */
static void
check(const void *parsed, unsigned *errors)
{
	if ((parsed == NULL) != (*errors > 0))
		abort();
	*errors = 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	unsigned errors = 0;
	kf_declaration_t *decl;
	kf_vm_list_t *vms;
	kf_keyring_t *keys;
	kf_settings_t *settings;

	decl = kf_declaration_parse("fuzz", text, size, on_error, &errors);
	check(decl, &errors);
	kf_declaration_delete(decl);
	vms = kf_vm_list_parse("fuzz", text, size, on_error, &errors);
	check(vms, &errors);
	kf_vm_list_delete(vms);
	keys = kf_keys_parse("fuzz", text, size, on_error, &errors);
	check(keys, &errors);
	kf_keyring_delete(keys);
	settings = kf_settings_parse("fuzz", text, size, on_error, &errors);
	check(settings, &errors);
	kf_settings_delete(settings);
	return 0;
}
