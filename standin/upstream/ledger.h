#ifndef KF_LEDGER_H
#define KF_LEDGER_H

#include "kf/standin.h"

/*
 * NAME
 *	kf_ledger - log of executions, with a count for each request number
 *
 * DESCRIPTION
 *	Lets a test detect requests that were started more than once.  The
 *	counts cover this process only; the file is appended to, so its
 *	lines outlive a restart.
 */

typedef struct kf_ledger kf_ledger_t;

typedef struct kf_ledger_entry {
	uint64_t number;
	const char *upstream;
	uint32_t tag; /* number of the service; 0: unknown */
	uint32_t prog;
	uint32_t proc;
	uint32_t xid;
	uint32_t vm;
} kf_ledger_entry_t;

/*
 * Appends to the file at path, or keeps only the counts if path is NULL.
 * capacity is the size of the table of counts.  Returns NULL with a status
 * message on failure.
 */
kf_ledger_t *kf_ledger_new(const char *path, size_t capacity);
void kf_ledger_delete(kf_ledger_t *ledger);

/*
 * Records one execution.  Returns how often this process has started the
 * request number, or 0 if the table of counts is full.
 */
uint32_t kf_ledger_add(kf_ledger_t *ledger, const kf_ledger_entry_t *entry);
/* Number of executions recorded. */
uint64_t kf_ledger_executions(const kf_ledger_t *ledger);
/* Number of executions after the first one of their request. */
uint64_t kf_ledger_repeated(const kf_ledger_t *ledger);

#endif
