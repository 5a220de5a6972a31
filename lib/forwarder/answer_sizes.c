#include <math.h>
#include <stdbool.h>

#include <xxhash.h>

#include "kf/answer_sizes.h"

enum {
	/* Number of answers of a route before any is reported as short. */
	MIN_ANSWERS = 4,
	/* The n-th answer of a route has the weight 1/n in its mean; from this
	 * number of answers on the weight stays the same. */
	MEAN_ANSWERS = 64,
	/* Short answers have a weight this many times lower, so that errors do
	 * not become the usual size, but a lasting change to shorter answers
	 * does. */
	SHORT_WEIGHT_DIVISOR = 8,
};
/* An answer is short if its logarithm is this many deviations below the mean.
 * The factor is the same as for the hedge delay.  With sizes that spread by a
 * factor of 1.5, about 1 in 1,000 correct answers is short. */
static const double deviation_factor = 4;
/* Smallest distance from the mean that is short.  Where all answers have the
 * same size, one of half the size may still be correct. */
static const double min_log_distance = 0.69; /* ln 2 */
/* Widens the distance while a route has few answers, to about 3 times after
 * four answers, when the deviation is still inaccurate.  Waiting for more
 * answers instead may take a VM of a large fleet 10 s. */
static const double few_answers_margin = 8;

static size_t
index_of(kf_addr_t address)
{
	uint32_t key[2] = { address.ip, address.port };

	return XXH3_64bits(key, sizeof(key)) % KF_ANSWER_SIZES;
}

static kf_answer_size_t *
find_route(kf_answer_sizes_t *sizes, kf_addr_t address)
{
	kf_answer_size_t *route = &sizes->routes[index_of(address)];

	if (route->address.ip != address.ip ||
	    route->address.port != address.port)
		*route = (kf_answer_size_t){ .address = address };
	return route;
}

static bool
is_short(const kf_answer_size_t *route, double error)
{
	double distance = deviation_factor * route->deviation;
	double margin =
	    few_answers_margin * (1.0 / route->count - 1.0 / MEAN_ANSWERS);

	if (distance < min_log_distance)
		distance = min_log_distance;
	return -error > distance * (1 + margin);
}

static void
update_mean(kf_answer_size_t *route, double error, double weight)
{
	route->mean += weight * error;
	route->deviation += weight * (fabs(error) - route->deviation);
}

uint32_t
kf_answer_sizes_add(kf_answer_sizes_t *sizes, kf_addr_t address, uint32_t bytes)
{
	kf_answer_size_t *route = find_route(sizes, address);
	double usual = expm1(route->mean);
	double error;

	if (route->count == 0)
		route->mean = log1p(bytes);
	error = log1p(bytes) - route->mean;
	if (route->count < MEAN_ANSWERS)
		route->count++;
	if (route->count <= MIN_ANSWERS || !is_short(route, error)) {
		update_mean(route, error, 1.0 / route->count);
		return 0;
	}
	update_mean(route, error, 1.0 / route->count / SHORT_WEIGHT_DIVISOR);
	return (uint32_t)usual;
}

double
kf_answer_sizes_usual(const kf_answer_sizes_t *sizes, kf_addr_t address)
{
	const kf_answer_size_t *route = &sizes->routes[index_of(address)];

	return route->count > 0 && kf_addr_equal(route->address, address)
	    ? expm1(route->mean)
	    : 0;
}
