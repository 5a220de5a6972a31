#include <openssl/crypto.h>

#include <inttypes.h>
#include <string.h>

#include "kf/document.h"
#include "kf/reader.h"
#include "draft.h"

enum {
	SECRET_DIGITS = 2 * KF_KEY_SECRET_BYTES,
};

typedef struct draft_key {
	kf_key_t key;
	int line;
} draft_key_t;

typedef struct draft {
	size_t count;
	draft_key_t keys[KF_KEYRING_MAX_KEYS];
	draft_key_t excess_key; /* last key over the limit */
	int overflow_line;
} draft_t;

static int
hex_value(char digit)
{
	static const char digits[] = "0123456789abcdef";
	const char *found;

	found = digit != '\0' ? strchr(digits, digit | 0x20) : NULL;
	return found != NULL ? (int)(found - digits) : -1;
}

/* Messages do not contain the value because they go to logs. */
static kf_status_t
set_secret(void *object, const char *value)
{
	draft_key_t *key = object;
	size_t i;

	if (strlen(value) != SECRET_DIGITS)
		return kf_status_set(KF_ERR_INVALID,
		    "secret has not %d hexadecimal digits", SECRET_DIGITS);
	for (i = 0; i < KF_KEY_SECRET_BYTES; i++) {
		int high = hex_value(value[2 * i]);
		int low = hex_value(value[2 * i + 1]);

		if (high < 0 || low < 0)
			return kf_status_set(
			    KF_ERR_INVALID, "secret is not hexadecimal");
		key->key.secret[i] = (uint8_t)(high * 16 + low);
	}
	return KF_OK;
}

static const kf_field_t key_fields[] = {
	{ .section = "key",
	    .key = "id",
	    .type = KF_FIELD_U32,
	    .min = 1,
	    .max = UINT32_MAX,
	    .offset = offsetof(draft_key_t, key.id),
	    .text = "key id inside tokens and peer messages" },
	{ .section = "key",
	    .key = "secret",
	    .type = KF_FIELD_CUSTOM,
	    .set = set_secret,
	    .unit = "32 hexadecimal digits",
	    .text = "SipHash key" },
	{ .section = "key",
	    .key = "not_before_s",
	    .type = KF_FIELD_I64,
	    .unit = "s",
	    .max = UINT32_MAX,
	    .offset = offsetof(draft_key_t, key.not_before_s),
	    .text = "start of validity, UTC since 1970" },
	{ .section = "key",
	    .key = "not_after_s",
	    .type = KF_FIELD_I64,
	    .unit = "s",
	    .max = UINT32_MAX,
	    .offset = offsetof(draft_key_t, key.not_after_s),
	    .text = "end of validity, UTC since 1970" },
};

static void *
key_begin(void *target, const char *name, int line)
{
	draft_t *draft = target;
	draft_key_t *key = &draft->excess_key;

	(void)name;
	if (draft->count < KF_KEYRING_MAX_KEYS)
		key = &draft->keys[draft->count++];
	else if (draft->overflow_line == 0)
		draft->overflow_line = line;
	memset(key, 0, sizeof(*key));
	key->line = line;
	return key;
}

/* Drops a key with an error, to avoid further errors about it. */
static void
key_end(void *target, void *object, bool bad)
{
	draft_t *draft = target;

	if (bad && object != &draft->excess_key)
		draft->count--;
}

const kf_section_t kf_key_section = {
	.kind = "key",
	.named = true,
	.fields = key_fields,
	.field_count = sizeof(key_fields) / sizeof(key_fields[0]),
	.begin = key_begin,
	.end = key_end,
};

static kf_keyring_t *
draft_build_keyring(const draft_t *draft, kf_reader_t *reader)
{
	kf_keyring_t *ring;
	size_t i;

	ring = kf_keyring_new();
	if (ring == NULL) {
		kf_reader_error(reader, 0, "cannot set up the keyring");
		return NULL;
	}
	for (i = 0; i < draft->count; i++) {
		if (kf_keyring_add(ring, &draft->keys[i].key) != KF_OK)
			kf_reader_error(reader, draft->keys[i].line, "%s",
			    kf_status_message());
	}
	if (draft->overflow_line != 0)
		kf_reader_error(reader, draft->overflow_line,
		    "more than %d keys", KF_KEYRING_MAX_KEYS);
	if (reader->seen_sections == 0)
		kf_reader_error(reader, 0, "document holds no key");
	if (reader->error_count == 0)
		return ring;
	kf_keyring_delete(ring);
	return NULL;
}

kf_keyring_t *
kf_keys_parse(const char *file, const char *text, size_t len,
    kf_error_fn *on_error, void *ctx)
{
	draft_t draft = { 0 };
	kf_reader_t reader = {
		.file = file,
		.on_error = on_error,
		.ctx = ctx,
		.sections = &kf_key_section,
		.section_count = 1,
		.target = &draft,
	};
	kf_keyring_t *ring;

	kf_reader_run(&reader, text, len, KF_DOCUMENT_MAX_BYTES);
	ring = draft_build_keyring(&draft, &reader);
	OPENSSL_cleanse(&draft, sizeof(draft));
	return ring;
}
