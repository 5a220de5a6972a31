#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ledger.h"

typedef struct count {
	uint64_t number;
	uint32_t executions; /* 0: entry is free */
} count_t;

struct kf_ledger {
	FILE *file;
	count_t *counts;
	size_t capacity;
	size_t used;
	uint64_t executions;
	uint64_t repeated;
};

kf_ledger_t *
kf_ledger_new(const char *path, size_t capacity)
{
	kf_ledger_t *ledger;

	ledger = calloc(1, sizeof(*ledger));
	if (ledger == NULL)
		goto no_memory;
	ledger->capacity = capacity;
	ledger->counts = calloc(capacity, sizeof(*ledger->counts));
	if (ledger->counts == NULL)
		goto no_memory;
	if (path != NULL) {
		ledger->file = fopen(path, "ae");
		if (ledger->file == NULL) {
			kf_status_set(KF_ERR_IO, "cannot open %s: %s", path,
			    strerror(errno));
			kf_ledger_delete(ledger);
			return NULL;
		}
	}
	return ledger;
no_memory:
	kf_status_set(KF_ERR_NO_MEMORY, "no memory");
	kf_ledger_delete(ledger);
	return NULL;
}

void
kf_ledger_delete(kf_ledger_t *ledger)
{
	if (ledger == NULL)
		return;
	if (ledger->file != NULL)
		fclose(ledger->file);
	free(ledger->counts);
	free(ledger);
}

/*
 * Finds or inserts the count of a request number by linear probing; NULL if
 * the table is full.  An eighth of the table stays free, so that every search
 * reaches a free entry.
 */
static count_t *
ledger_find(kf_ledger_t *ledger, uint64_t number)
{
	kf_sim_random_t hash = { .state = number };
	size_t i;

	i = kf_sim_random_u64(&hash) % ledger->capacity;
	while (ledger->counts[i].executions != 0) {
		if (ledger->counts[i].number == number)
			return &ledger->counts[i];
		i = (i + 1) % ledger->capacity;
	}
	if (ledger->used >= ledger->capacity - ledger->capacity / 8)
		return NULL;
	ledger->used++;
	ledger->counts[i].number = number;
	return &ledger->counts[i];
}

uint32_t
kf_ledger_add(kf_ledger_t *ledger, const kf_ledger_entry_t *e)
{
	count_t *count;

	ledger->executions++;
	/* Flushed at once, as a test may kill the process at any time. */
	if (ledger->file != NULL) {
		fprintf(ledger->file,
		    "request=%llu upstream=%s service=%u prog=%u proc=%u "
		    "xid=%u vm=%u\n",
		    (unsigned long long)e->number, e->upstream, e->tag, e->prog,
		    e->proc, e->xid, e->vm);
		fflush(ledger->file);
	}
	count = ledger_find(ledger, e->number);
	if (count == NULL)
		return 0;
	if (++count->executions > 1)
		ledger->repeated++;
	return count->executions;
}

uint64_t
kf_ledger_executions(const kf_ledger_t *ledger)
{
	return ledger->executions;
}

uint64_t
kf_ledger_repeated(const kf_ledger_t *ledger)
{
	return ledger->repeated;
}
