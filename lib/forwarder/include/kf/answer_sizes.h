#ifndef KF_ANSWER_SIZES_H
#define KF_ANSWER_SIZES_H

#include <stdint.h>

#include "kf/addr.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * NAME
 *	kf_answer_sizes - usual size of the answers of each route
 *
 * DESCRIPTION
 *	Answers do not pass through the balancer, but the client's packets
 *	acknowledge their bytes.  Error responses have short bodies, so an
 *	answer far shorter than usual for its route is most likely an error.
 *
 *	The table has a fixed size and is indexed by the hash of the route's
 *	address.  Two routes with the same index overwrite each other's entry,
 *	which only costs accuracy.
 */

enum { KF_ANSWER_SIZES = 4096 };

typedef struct kf_answer_size {
	kf_addr_t address;
	uint32_t count;	  /* answers in the mean; stops at MEAN_ANSWERS */
	double mean;	  /* of log(1 + bytes) */
	double deviation; /* mean absolute deviation from the mean */
} kf_answer_size_t;

typedef struct kf_answer_sizes {
	kf_answer_size_t routes[KF_ANSWER_SIZES];
} kf_answer_sizes_t;

/*
 * Adds the size of an answer to the statistics of its route.  Returns the
 * route's usual size if the answer is far shorter, otherwise 0.
 */
uint32_t kf_answer_sizes_add(
    kf_answer_sizes_t *sizes, kf_addr_t address, uint32_t bytes);

/* Returns the usual size of a route's answers; 0 if it is not known. */
double kf_answer_sizes_usual(const kf_answer_sizes_t *sizes, kf_addr_t address);

#ifdef __cplusplus
}
#endif

#endif
