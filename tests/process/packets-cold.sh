# Guards against more openings of all VMs together at a cold upstream than its
# limit, with VMs that are suspended and restarted meanwhile; against a limit
# that keeps all openings away; and against flows that wait, rather than being
# refused, while all upstreams of a service are cold.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# start_cold_vm NUMBER ZONE
start_cold_vm() {
	forwarder_settings "$1" "$2" >"$work/v$1.ini"
	start "v$1" "$bin/knapweed-forwarder" --config "$work/v$1.ini" \
	    --set=bounds.cold_excess=1.5 --set=bounds.cold_slack=5
}

start_world --service-time-us 5000
add_upstreams
world put op/config '{"Version":5,"Routes":[{"Name":"r1","Host":"198.18.0.1","Prefix":"/443/","Type":"safe","TimeoutMs":2000,"LatencyGoalMs":250,"Priority":1,"Service":"orders"}],"Services":[{"Name":"orders","ColdStartS":2,"ColdPerS":0.0}]}'
start_cold_vm 1 zone-1
start_cold_vm 2 zone-1
start_cold_vm 3 zone-1
wait_stat in_rotation 3
clients 200
sleep 3
world add i-0000e1 orders zone-1 "$net.16:8080" 3 60000
run_requests 400
curl -s "http://$net.1:7720/state" >"$work/state"
grep i-0000e1 "$work/state" | grep -q "cold_allowance=[0-9]" ||
    fail "/state shows no allowance: $(cat "$work/state")"
kill -STOP "$(pid_of v2)"
sleep 1.2
kill -CONT "$(pid_of v2)"
stop v3 KILL
start_cold_vm 3 zone-1
run_requests 800
syns=$(stat syns_cold)
[ "$syns" -ge 4 ] || fail "a cold upstream got $syns SYNs"
[ "$(metric 1 knapweed_cold_refused_total)" -gt 0 ] || fail "nothing is limited"
grep -q event=cold_limited "$work/v1.log" || fail "v1 logs no limit"

# The service has cold upstreams only.
world add i-0000e2 orders zone-1 "$net.17:8080" 3 5000
for name in i-0000a1 i-0000a2 i-0000b1 i-0000c1; do
	world drain "$name"
done
sleep 1
refused=$(stat refused)
run_requests 400
[ "$(stat refused)" -gt "$((refused + 300))" ] ||
    fail "flows are not refused while all upstreams are cold"
sleep 4.5
answered=$(stat answered)
run_requests 400
[ "$(stat answered)" -gt "$((answered + 350))" ] ||
    fail "upstreams are not used after their cold start"
end_clients
[ "$(stat syns_cold_peak)" -le 5 ] ||
    fail "$(stat syns_cold_peak) SYNs in a second at a cold upstream"
check_rules
