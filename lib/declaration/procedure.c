#include <string.h>

#include "procedure.h"

static bool
word_is(const char *word, size_t len, const char *text)
{
	return strlen(text) == len && memcmp(word, text, len) == 0;
}

static kf_status_t
class_parse(const char *word, kf_class_t *result)
{
	kf_class_t cls;

	for (cls = KF_CLASS_URGENT; cls < KF_CLASS_COUNT; cls++) {
		if (strcmp(kf_class_name(cls), word) == 0) {
			*result = cls;
			return KF_OK;
		}
	}
	return kf_status_set(KF_ERR_INVALID, "'%.80s' is not a class", word);
}

/* Parses "idempotent|non-idempotent [class]"; the class may be absent. */
static kf_status_t
procedure_parse(const char *value, kf_procedure_t *procedure)
{
	size_t first = strcspn(value, " \t");
	const char *rest = value + first + strspn(value + first, " \t");

	procedure->idempotent = word_is(value, first, "idempotent");
	if (!procedure->idempotent && !word_is(value, first, "non-idempotent"))
		return kf_status_set(KF_ERR_INVALID,
		    "'%.80s' does not start with idempotent or non-idempotent",
		    value);
	if (*rest == '\0')
		return KF_OK;
	return class_parse(rest, &procedure->cls);
}

kf_status_t
kf_service_add_procedure(
    kf_service_t *service, const char *number, const char *value)
{
	static const kf_field_t field = {
		.type = KF_FIELD_U32,
		.min = 1,
		.max = UINT32_MAX,
		.offset = offsetof(kf_procedure_t, number),
	};
	kf_procedure_t procedure = { .cls = KF_CLASS_COUNT };
	kf_status_t status;
	uint32_t i;

	status = kf_field_parse(&field, &procedure, number);
	if (status == KF_OK)
		status = procedure_parse(value, &procedure);
	if (status != KF_OK)
		return status;
	for (i = 0; i < service->procedure_count; i++) {
		if (service->procedures[i].number == procedure.number)
			return kf_status_set(KF_ERR_CONFLICT, "given twice");
	}
	if (service->procedure_count == KF_MAX_PROCEDURES)
		return kf_status_set(
		    KF_ERR_FULL, "more than %d procedures", KF_MAX_PROCEDURES);
	service->procedures[service->procedure_count++] = procedure;
	return KF_OK;
}

void
kf_service_default_procedure_classes(kf_service_t *service)
{
	uint32_t i;

	for (i = 0; i < service->procedure_count; i++) {
		if (service->procedures[i].cls == KF_CLASS_COUNT)
			service->procedures[i].cls = service->cls;
	}
}

kf_procedure_t
kf_service_procedure(const kf_service_t *service, uint32_t number)
{
	kf_procedure_t unlisted = { .number = number, .cls = service->cls };
	uint32_t i;

	for (i = 0; i < service->procedure_count; i++) {
		if (service->procedures[i].number == number)
			return service->procedures[i];
	}
	return unlisted;
}
