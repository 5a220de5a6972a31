# Guards against packets that are dropped while a VM starts: the client
# retransmits only up to 800 ms later.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_world
add_upstreams
world config 5 "$route=orders"
world store refuses
for vm in 1 2 3; do
	start_vm "$vm"
	wait_line "v$vm.log" event=store_lost
done
clients 100
run_requests 20
world store up
wait_stat in_rotation 3
run_requests 100
end_clients
world stats
expect failed "$(value failed "$work/answer")" 0
check_rules
for vm in 1 2 3; do
	expect "dropped without a configuration by v$vm" "$(metric "$vm" \
	    'knapweed_reason_total{reason="no_config"}')" 0
done
