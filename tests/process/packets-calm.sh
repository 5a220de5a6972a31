# Guards against requests that are lost or refused without any fault, upstreams
# or VMs that get no traffic, and missing metrics or log lines.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# The upstreams of a VM's first listing are logged at this level.
vm_log_level=debug
start_packets
clients 200
run_requests 400
end_clients
world stats
requests=$(value requests "$work/answer")
expect answered "$(value answered "$work/answer")" "$requests"
expect runs "$(value runs "$work/answer")" "$requests"
check_rules
world runs
for upstream in i-0000a1 i-0000a2 i-0000b1 i-0000c1; do
	expect_some "$upstream" "$(value "$upstream" "$work/answer")"
done
expect certs "$(value i-0000d1 "$work/answer")" 0

opened=0
for vm in 1 2 3; do
	curl -sf "http://$net.$vm:7720/metrics" >"$work/metrics" ||
	    fail "no metrics of v$vm"
	n=$(sed -n 's/^knapweed_decisions_total{event="flow_opened"} //p' \
	    "$work/metrics")
	expect_some "flows opened by v$vm" "$n"
	opened=$((opened + n))
	grep -q '^knapweed_flows_other_zone_total ' "$work/metrics" ||
	    fail "no flows to other zones in the metrics of v$vm"
	grep -q '^knapweed_flow_opening_seconds_count ' "$work/metrics" ||
	    fail "no histogram of v$vm"
	expect "config of v$vm" "$(sed -n 's/^knapweed_config_version //p' \
	    "$work/metrics")" 5
	for event in started config upstream ready flow_placed flow_opened; do
		grep -q " vm=v$vm event=$event " "$work/v$vm.log" ||
		    fail "no $event in the log of v$vm"
	done
done
[ "$opened" -ge "$requests" ] || fail "$opened of $requests flows opened"
curl -s -o "$work/other" -w '%{http_code}' "http://$net.1:7720/other" \
    >"$work/code"
expect "unknown path" "$(cat "$work/code")" 404

"$bin/knapctl" packets --server "$net.1:7720" --server "$net.2:7720" \
    >"$work/state" || fail "knapctl packets: $(cat "$work/state")"
for want in "record=vm vm=v1 zone=zone-1 ready=yes" \
    "record=vm vm=v2 zone=zone-2 ready=yes" \
    "record=zone_balance service=orders share=0.00 " \
    "record=upstream upstream=i-0000a1 service=orders zone=zone-1"; do
	grep -q "^$want" "$work/state" || fail "knapctl packets lacks $want"
done
expect "upstreams in the state" \
    "$(grep -c 'state=ready listing=listed health=good' "$work/state")" 10
"$bin/knapctl" packets --server "$net.1:7720" --client 127.0.0.9:4000 \
    --address "$route" >"$work/explain" || fail "cannot explain"
grep -q '^record=route route=r2 outcome=placed upstream=i-0000a[12] ' \
    "$work/explain" || fail "not placed: $(cat "$work/explain")"
expect candidates "$(grep -c '^record=candidate' "$work/explain")" 4
expect "chosen candidates" \
    "$(grep -c '^record=candidate .* reason=chosen$' "$work/explain")" 1
"$bin/knapctl" packets --server "$net.1:7720" --client 127.0.0.9:4000 \
    --address 198.18.0.9:1 >"$work/explain" || fail "cannot explain"
grep -q 'reason="no route has the address"' "$work/explain" ||
    fail "no reason: $(cat "$work/explain")"
"$bin/knapctl" packets --server "$net.9:7720" 2>"$work/unreachable" &&
    fail "knapctl packets succeeds although the server is unreachable"

stop v1
expect "status after SIGTERM" "$status" 0
grep -q 'event=stopping' "$work/v1.log" ||
    fail "event=stopping is missing in the log of v1"
