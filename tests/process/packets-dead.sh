# Guards against requests that wait until their deadline on flows that were open
# when their upstream died, and against resets of flows whose upstream lost its
# link for 300 ms.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_packets --service-time-us 5000 --non-idempotent 0 --hold-ms 300 \
    --flow-requests 12
# A second upstream of zone-2, so that there is one to test the links with.
world add i-0000b2 orders zone-2 "$net.16:8080" 3
clients 12
run_requests 400

# The link of an upstream fails for 300 ms, three times.
for upstream in i-0000b1 i-0000b2 i-0000b1; do
	world state "$upstream" silent
	sleep 0.3
	world state "$upstream" runs
	run_requests 100
done
expect "flows reset after a short loss of the link" "$(stat reset_dead)" 0
expect "open flows reset" "$(stat reset_open)" 0

# One dies: its clients are served elsewhere within 1 s.
world state i-0000a1 silent
run_requests 300
expect "requests that failed" "$(stat failed)" 0
expect_some "flows reset" "$(stat reset_dead)"
world runs
before=$(value i-0000a1 "$work/answer")
cat "$work"/v?.log >"$work/all.out"
grep -q 'event=upstream_dead upstream=i-0000a1' "$work/all.out" ||
    fail "no VM has found the dead upstream"
grep -q 'event=flow_reset .*upstream=i-0000a1' "$work/all.out" ||
    fail "no line about a reset flow"

# It comes back without a restart.
world state i-0000a1 runs
wait_for "upstream_alive" 5 \
    grep -q 'event=upstream_alive upstream=i-0000a1' "$work"/v?.log
# The ejection for its failed requests lasts 6 s.
run_requests 1000
world runs
[ "$(value i-0000a1 "$work/answer")" -gt "$before" ] ||
    fail "an upstream that is alive again is not used"
end_clients
[ "$(stat latency_max_us)" -lt 1000000 ] ||
    fail "a request took $(stat latency_max_us) us"
expect "failed" "$(stat failed)" 0
expect_some "probes" "$(metric 1 knapweed_probes_total)"
check_rules
