#!/bin/sh
# Smoke test of the benchmarks with small sizes.  Guards against a benchmark
# that cannot set up its simulation, exits early or omits a measure.
# Runs alone: it loads all processors.
set -eu
build=$1

fail() {
	echo "FAILED: $*"
	exit 1
}

# expect NAME MEASURE...: bench-NAME exits with 0 and prints each MEASURE; every
# line has value=, target= and met=.
expect() {
	name=$1
	shift
	for deployment in kowhai bengal; do
		out=$build/test-output/bench-$name-$deployment.out
		"$build/bin/bench-$name" --quick --seed 7 \
		    --deployment $deployment >"$out" ||
		    fail "bench-$name --deployment $deployment: exit $?"
		cat "$out"
		for measure in "$@"; do
			grep -q "^measure=$measure deployment=$deployment " \
			    "$out" ||
			    fail "bench-$name does not print measure=$measure"
		done
		if grep -vqE '^measure=[a-z0-9_]+ .*value=[-0-9.e+]+ target=[^ ]+ met=(yes|no|none)$' \
		    "$out"; then
			fail "bench-$name prints a malformed line"
		fi
	done
}

mkdir -p "$build/test-output"
expect affinity broken_flows moved_flows flow_max_mean control_bytes_per_vm_s \
    record_bytes doubled replication_bytes_per_request
expect imbalance flow_max_mean flow_p95_mean request_max_mean request_p95_mean
expect flood goodput_kept_percent flooding_class_of_reserved refusal_p99_ms \
    share_error_max_points share_error_mean_points
expect decision packets_per_s_core step_ns flow_record_bytes flow_record_total
expect config in_force_s vms_without_revision platform_reads_per_s \
    platform_reads_peak_s control_bytes_per_vm_s

# The output depends only on the seed, except for bench-decision, which reads
# the clock.
for name in affinity imbalance flood config; do
	"$build/bin/bench-$name" --quick --seed 7 >"$build/test-output/again.out"
	cmp "$build/test-output/bench-$name-kowhai.out" \
	    "$build/test-output/again.out" ||
	    fail "bench-$name prints different output with the same seed"
done
if "$build/bin/bench-affinity" --deployment none 2>/dev/null; then
	fail "bench-affinity accepts --deployment none"
fi
echo "benchmarks run"
