# Guards against VMs that cannot serve or start during an outage of the store,
# and against changes that are missed after the outage or when the store has
# lost its history.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

wait_config() { # VERSION
	for vm in 1 2 3; do
		wait_left=200
		until [ "$(metric "$vm" knapweed_config_version)" = "$1" ]; do
			wait_left=$((wait_left - 1))
			[ "$wait_left" -gt 0 ] ||
			    fail "v$vm has version $(metric "$vm" knapweed_config_version)"
			sleep 0.1
		done
	done
}

start_packets
clients 50
run_requests 20
world store silent
run_requests 50
# A VM that starts gets its state from other VMs.
stop v3 KILL
start_vm 3
wait_line v3.log event=ready 20
wait_stat in_rotation 3
run_requests 50
world store up
world config 9 "$route=orders" 198.18.0.3:443=certs
wait_config 9

# Changes that are no longer in the history of the store are found by a listing.
world store refuses
world config 12 "$route=orders" 198.18.0.4:443=certs
world store forget
world store up
wait_config 12
run_requests 50
end_clients
check_rules
world stats
expect failed "$(value failed "$work/answer")" 0
cat "$work"/v?.log >"$work/all.out"
grep -q 'event=store_lost' "$work/all.out" || fail "no line store_lost"
grep -q 'event=store_regained' "$work/all.out" || fail "no line store_regained"
