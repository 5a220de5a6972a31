#ifndef KF_UPSTREAM_PATH_H
#define KF_UPSTREAM_PATH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	kf_path - unanswered packets on one UDP path to an upstream
 *
 * DESCRIPTION
 *	A path is a source port from which packets are sent to the upstream.
 *	For each path the send times of the first packets since the latest
 *	answer on it are kept.
 */

enum { KF_PATH_MAX_UNANSWERED = 8 };

typedef struct kf_path {
	/* Send times of the first packets since the latest answer. */
	int64_t unanswered_sent_us[KF_PATH_MAX_UNANSWERED];
	uint32_t unanswered_count;
	int64_t last_answer_us;
	int64_t last_probe_us;
	int64_t opened_us;
} kf_path_t;

void kf_path_init(kf_path_t *path, int64_t now_us);
void kf_path_on_sent(kf_path_t *path, int64_t now_us);
void kf_path_on_answer(kf_path_t *path, int64_t now_us);
/* Measures the wait of unanswered packets from now_us on. */
void kf_path_on_pause(kf_path_t *path, int64_t now_us);

/* Returns how many of the recorded packets have waited at least wait_us. */
uint32_t kf_path_count_overdue(
    const kf_path_t *path, int64_t now_us, int64_t wait_us);

#endif
