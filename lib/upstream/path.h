#ifndef KF_UPSTREAM_PATH_H
#define KF_UPSTREAM_PATH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_path - unanswered packets of one UDP path to an upstream
 */

enum { KF_PATH_MAX_UNANSWERED = 8 };

typedef struct kf_path {
	/* Send times of the first packets since the last answer. */
	int64_t unanswered_us[KF_PATH_MAX_UNANSWERED];
	uint32_t unanswered;
	int64_t answered_us;
	int64_t probed_us;
	int64_t opened_us;
} kf_path_t;

void kf_path_init(kf_path_t *path, int64_t now_us);
void kf_path_on_sent(kf_path_t *path, int64_t now_us);
void kf_path_on_answer(kf_path_t *path, int64_t now_us);
/* Counts the waiting time of unanswered packets anew. */
void kf_path_on_pause(kf_path_t *path, int64_t now_us);

/* Number of packets that have waited at least wait_us. */
uint32_t kf_path_overdue(
    const kf_path_t *path, int64_t now_us, int64_t wait_us);

#endif
