#include "peer_clock.h"

enum {
	/* Two clocks differ in rate by at most one part in this many. */
	DRIFT_DIVISOR = 1000,
	/*
	 * Stamps count from a random value that is new at each start of a
	 * process.  A larger difference shows that the sender has started
	 * again; a beacon that was delayed for longer tells nothing of use.
	 */
	MAX_DELAY_US = 60000000,
};

/* Times in a beacon may have any value.  Unsigned arithmetic wraps. */
static int64_t
wrapped_sum(int64_t a, int64_t b)
{
	return (int64_t)((uint64_t)a + (uint64_t)b);
}

static int64_t
wrapped_difference(int64_t a, int64_t b)
{
	return (int64_t)((uint64_t)a - (uint64_t)b);
}

/* The offset, less what the clocks may have drifted apart since. */
static int64_t
offset_at(const peer_clock_t *c, int64_t now_us)
{
	return wrapped_difference(
	    c->offset_us, (now_us - c->measured_us) / DRIFT_DIVISOR);
}

/* False for times too far back, and in the future by more than drift. */
static bool
is_plausible(int64_t sent_us, int64_t now_us)
{
	int64_t delay_us = wrapped_difference(now_us, sent_us);

	return delay_us >= -MAX_DELAY_US / DRIFT_DIVISOR &&
	    delay_us < MAX_DELAY_US;
}

static void
measure_offset(peer_clock_t *c, const peer_times_t *times, int64_t now_us)
{
	int64_t held_us = times->held_us - times->held_us / DRIFT_DIVISOR;
	int64_t sent_us = wrapped_sum(times->echo_us, held_us), offset_us;

	if (!is_plausible(sent_us, now_us))
		return;
	offset_us = wrapped_difference(sent_us, (int64_t)times->stamp);
	if (c->has_offset &&
	    wrapped_difference(offset_us, offset_at(c, now_us)) <= 0)
		return;
	c->has_offset = true;
	c->offset_us = offset_us;
	c->measured_us = now_us;
}

bool
peer_clock_receive(peer_clock_t *c, const peer_times_t *times, int64_t now_us)
{
	uint64_t behind = c->stamp - times->stamp;
	bool is_late = c->heard && behind > 0 && behind < MAX_DELAY_US;

	if (c->has_offset &&
	    !is_plausible(
		wrapped_sum((int64_t)times->stamp, offset_at(c, now_us)),
		now_us))
		c->has_offset = false;
	if (times->has_echo)
		measure_offset(c, times, now_us);
	if (is_late)
		return false;
	c->heard = true;
	c->stamp = times->stamp;
	c->heard_us = now_us;
	return true;
}

int64_t
peer_clock_sent_us(const peer_clock_t *c, uint64_t stamp, int64_t now_us)
{
	int64_t sent_us;

	if (!c->has_offset)
		return INT64_MIN;
	sent_us = wrapped_sum((int64_t)stamp, offset_at(c, now_us));
	return sent_us < now_us ? sent_us : now_us;
}
