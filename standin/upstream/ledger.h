#ifndef KF_LEDGER_H
#define KF_LEDGER_H

#include "kf/standin.h"

/*
 * NAME
 *	kf_ledger - how often each request was started
 */

typedef struct kf_ledger kf_ledger_t;

typedef struct kf_ledger_entry {
	uint64_t number;
	const char *upstream;
	uint32_t tag; /* service of the upstream; 0: not known */
	uint32_t prog;
	uint32_t proc;
	uint32_t xid;
	uint32_t vm;
} kf_ledger_entry_t;

/* path may be NULL: then counts are kept in memory only. */
kf_ledger_t *kf_ledger_new(const char *path, size_t capacity);
void kf_ledger_delete(kf_ledger_t *ledger);

/*
 * Records one execution and returns how often the number has been started
 * by this process; 0 if the table is full.
 */
uint32_t kf_ledger_add(kf_ledger_t *ledger, const kf_ledger_entry_t *entry);
uint64_t kf_ledger_executions(const kf_ledger_t *ledger);
uint64_t kf_ledger_repeated(const kf_ledger_t *ledger);

#endif
