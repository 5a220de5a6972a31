# Guards against a VM that is alone with the store and waits for its turn to
# read it: the VMs that watched are lost just before upstreams begin to drain,
# and the last VM of the zone kept using these for over 3 s.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

start_vm_of_zone_1() { # NUMBER
	forwarder_settings "$1" zone-1 >"$work/v$1.ini"
	start "v$1" "$bin/knapweed-forwarder" --config "$work/v$1.ini"
}

start_world --vm "$net.4:8172,$net.4:8167"
add_upstreams
world config 5 "$route=orders" 198.18.0.2:443=certs
for vm in 1 2 3 4; do
	start_vm_of_zone_1 "$vm"
done
wait_stat in_rotation 4
clients 300
run_requests 600
# A change makes the contact of all VMs recent, as long as it can be.
world config 6 "$route=orders" 198.18.0.3:443=certs
sleep 0.1
for vm in 1 2 3; do
	kill -KILL "$(pid_of "v$vm")"
done
world drain i-0000a1
world drain i-0000b1
wait_line v4.log event=reads_store
run_requests 1200
end_clients
check_rules
