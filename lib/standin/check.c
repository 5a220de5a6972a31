#include <stdlib.h>
#include <string.h>

#include "kf/check.h"

enum { INITIAL_CAPACITY = 1 << 12 };

typedef enum verdict {
	VERDICT_NONE = 0,
	VERDICT_ANSWERED,
	VERDICT_NOT_RUN,
	VERDICT_UNKNOWN,
	VERDICT_COUNT
} verdict_t;

static const char *const verdict_names[VERDICT_COUNT] = { "", "answered",
	"not_run", "unknown" };

typedef struct entry {
	uint64_t number;
	uint32_t executions;
	uint8_t verdict;
	bool used;
} entry_t;

struct kf_sim_check {
	entry_t *entries;
	size_t capacity;
	size_t used;
	uint64_t executions;
	uint64_t misrouted;
	uint64_t malformed;
};

kf_sim_check_t *
kf_sim_check_new(void)
{
	kf_sim_check_t *check;

	check = calloc(1, sizeof(*check));
	if (check == NULL)
		return NULL;
	check->capacity = INITIAL_CAPACITY;
	check->entries = calloc(check->capacity, sizeof(entry_t));
	if (check->entries == NULL) {
		free(check);
		return NULL;
	}
	return check;
}

void
kf_sim_check_delete(kf_sim_check_t *check)
{
	if (check == NULL)
		return;
	free(check->entries);
	free(check);
}

static entry_t *
find_entry(entry_t *entries, size_t capacity, uint64_t number)
{
	kf_sim_random_t hash = { .state = number };
	size_t i;

	i = kf_sim_random_u64(&hash) % capacity;
	while (entries[i].used && entries[i].number != number)
		i = (i + 1) % capacity;
	return &entries[i];
}

static kf_status_t
check_grow(kf_sim_check_t *check)
{
	size_t capacity = check->capacity * 2;
	entry_t *entries;
	size_t i;

	if (check->used >= KF_SIM_CHECK_MAX_REQUESTS)
		return kf_status_set(KF_ERR_FULL, "too many requests");
	entries = calloc(capacity, sizeof(*entries));
	if (entries == NULL)
		return kf_status_set(KF_ERR_NO_MEMORY, "no memory");
	for (i = 0; i < check->capacity; i++)
		if (check->entries[i].used)
			*find_entry(entries, capacity,
			    check->entries[i].number) = check->entries[i];
	free(check->entries);
	check->entries = entries;
	check->capacity = capacity;
	return KF_OK;
}

/* Finds or adds the entry of a request; NULL if the table cannot grow. */
static entry_t *
check_find_or_add(kf_sim_check_t *check, uint64_t number)
{
	entry_t *entry;

	if (check->used >= check->capacity / 2 && check_grow(check) != KF_OK)
		return NULL;
	entry = find_entry(check->entries, check->capacity, number);
	if (!entry->used) {
		entry->used = true;
		entry->number = number;
		check->used++;
	}
	return entry;
}

/* Copies the value of "key=value"; keys start the line or follow a space. */
static bool
line_value(const char *line, const char *key, char *value, size_t cap)
{
	size_t key_len = strlen(key);
	const char *p = line;
	size_t len;

	while (strncmp(p, key, key_len) != 0 || p[key_len] != '=') {
		p = strchr(p, ' ');
		if (p == NULL)
			return false;
		p++;
	}
	p += key_len + 1;
	len = strcspn(p, " \n");
	if (len == 0 || len >= cap)
		return false;
	memcpy(value, p, len);
	value[len] = '\0';
	return true;
}

/* Reads a decimal number of up to 64 bits, as request numbers have. */
static bool
line_number(const char *line, const char *key, uint64_t *value)
{
	char text[24];
	char *end;

	if (!line_value(line, key, text, sizeof(text)) || text[0] < '0' ||
	    text[0] > '9')
		return false;
	*value = strtoull(text, &end, 10);
	return *end == '\0';
}

static kf_status_t
check_malformed(kf_sim_check_t *check, const char *line)
{
	check->malformed++;
	return kf_status_set(KF_ERR_INVALID, "malformed line '%.100s'", line);
}

kf_status_t
kf_sim_check_ledger_line(kf_sim_check_t *check, const char *line)
{
	uint64_t number, tag;
	entry_t *entry;

	if (!line_number(line, "request", &number) ||
	    !line_number(line, "service", &tag) || strchr(line, '\n') == NULL)
		return check_malformed(check, line);
	entry = check_find_or_add(check, number);
	if (entry == NULL)
		return KF_ERR_FULL;
	entry->executions++;
	check->executions++;
	if (tag != 0 && tag != kf_sim_number_tag(number))
		check->misrouted++;
	return KF_OK;
}

kf_status_t
kf_sim_check_result_line(kf_sim_check_t *check, const char *line)
{
	char text[16];
	entry_t *entry;
	uint64_t number;
	int verdict;

	if (!line_number(line, "request", &number) ||
	    !line_value(line, "verdict", text, sizeof(text)))
		return check_malformed(check, line);
	for (verdict = VERDICT_ANSWERED; verdict < VERDICT_COUNT; verdict++)
		if (strcmp(text, verdict_names[verdict]) == 0)
			break;
	if (verdict == VERDICT_COUNT)
		return check_malformed(check, line);
	entry = check_find_or_add(check, number);
	if (entry == NULL)
		return KF_ERR_FULL;
	if (entry->verdict != VERDICT_NONE)
		return check_malformed(check, line);
	entry->verdict = (uint8_t)verdict;
	return KF_OK;
}

static void
count_entry(const entry_t *entry, kf_sim_check_counts_t *counts)
{
	if (entry->verdict != VERDICT_NONE)
		counts->requests++;
	else
		counts->unreported++;
	if (entry->executions > 1) {
		if (kf_sim_number_non_idempotent(entry->number))
			counts->doubled++;
		else
			counts->repeated++;
	}
	if (entry->verdict == VERDICT_NOT_RUN && entry->executions > 0)
		counts->false_not_run++;
	if (entry->verdict == VERDICT_ANSWERED && entry->executions == 0)
		counts->lost_answered++;
}

kf_sim_check_counts_t
kf_sim_check_counts(const kf_sim_check_t *check)
{
	kf_sim_check_counts_t counts = { .executions = check->executions,
		.misrouted = check->misrouted,
		.malformed = check->malformed };
	size_t i;

	for (i = 0; i < check->capacity; i++)
		if (check->entries[i].used)
			count_entry(&check->entries[i], &counts);
	return counts;
}

bool
kf_sim_check_passed(const kf_sim_check_counts_t *counts)
{
	return counts->doubled == 0 && counts->misrouted == 0 &&
	    counts->false_not_run == 0 && counts->lost_answered == 0 &&
	    counts->malformed == 0;
}
