# Guards against open flows that break when VMs are stopped, killed and started,
# as the routers move nearly all flows to other VMs each time.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_packets --hold-ms 1500 --service-time-us 20000
clients 60
run_requests 60
for vm in 1 2 3; do
	stop "v$vm"
	expect "status of v$vm" "$status" 0
	start_vm "$vm"
	wait_stat in_rotation 3
done
run_requests 60
stop v2 KILL
run_requests 100
start_vm 2
wait_stat in_rotation 3
run_requests 60
# VMs report only lost VMs of their own zone, and each zone has one VM here.
cat "$work"/v?.log >"$work/all.out"
grep -q event=vm_lost "$work/all.out" &&
    fail "a VM of another zone is reported as lost"
end_clients
check_rules
world stats
# Lost packets are retransmitted, so that killing a VM delays requests but fails
# none.
expect failed "$(value failed "$work/answer")" 0
expect unknown "$(value unknown "$work/answer")" 0
expect "reset by upstreams" "$(value upstream_reset "$work/answer")" 0
