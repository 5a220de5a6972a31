# Guards against requests sent to upstreams that are dead, refuse flows or were
# removed, and against broken flows of an upstream that drains.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_packets --service-time-us 5000
clients 100
run_requests 50
# A dead upstream whose entry stays: other upstreams take its flows.
world state i-0000a1 silent
run_requests 200
world state i-0000a1 runs
world state i-0000b1 refuses
run_requests 200
world state i-0000b1 runs
cat "$work"/v?.log >"$work/all.out"
grep -q 'event=upstream_ejected upstream=i-0000a1' "$work/all.out" ||
    fail "a silent upstream is not ejected"
grep -q 'event=upstream_ejected upstream=i-0000b1' "$work/all.out" ||
    fail "an upstream that refuses is not ejected"

# Requests that ran on the two upstreams when they failed may have no answer.
end_clients
before=$(stat failed)
unknown=$(stat unknown)

clients 100
world drain i-0000a2
run_requests 350
world remove i-0000a2
run_requests 50
world add i-0000a3 orders zone-1 "$net.12:8080" 3
run_requests 200
grep -q 'event=upstream key=servers/i-0000a3 change=added' "$work/v1.log" ||
    fail "an upstream added later is not in the log of v1"
end_clients
world stats
expect "failed while one left" "$(value failed "$work/answer")" "$before"
expect "unknown while one left" "$(value unknown "$work/answer")" "$unknown"
check_rules
world runs
expect_some "new upstream at the address" \
    "$(value i-0000a3 "$work/answer")"
