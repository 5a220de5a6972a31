# Guards against VMs that take the older state of a restored store for news: new
# flows to an upstream that drains or has left, or to an evacuated zone, an older
# configuration, VMs that stay at the revision of before the restore, and a VM
# that is suspended meanwhile.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

wait_metric() { # VM NAME VALUE
	wait_left=100
	until [ "$(metric "$1" "$2")" = "$3" ]; do
		wait_left=$((wait_left - 1))
		[ "$wait_left" -gt 0 ] ||
		    fail "v$1: $2 is $(metric "$1" "$2"), not $3"
		sleep 0.1
	done
}

# Checks in each VM that the state of before the restore is in force.
check_kept() {
	for vm in 1 2 3; do
		expect "version at v$vm" \
		    "$(metric "$vm" knapweed_config_version)" 9
		expect "evacuations at v$vm" \
		    "$(metric "$vm" knapweed_zones_evacuated)" 1
		curl -s "http://$net.$vm:7720/state" >"$work/state"
		grep -q 'i-0000a2.*draining' "$work/state" ||
		    grep -q 'draining.*i-0000a2' "$work/state" ||
		    fail "i-0000a2 does not drain at v$vm: $(cat "$work/state")"
	done
}

# Restores the store from a backup, which must lack at least COUNT changes.
restore() { # AGE_S COUNT
	world store restore "$1"
	[ "$(value lost "$work/answer")" -ge "$2" ] ||
	    fail "the backup lacks too little: $(cat "$work/answer")"
}

runs_of() { # UPSTREAM
	world runs
	value "$1" "$work/answer"
}

start_packets --service-time-us 5000 --hold-ms 300
world add i-0000b2 orders zone-2 "$net.16:8080" 3
clients 100
run_requests 100
sleep 3

# The backup of 3 s ago lacks all of this.
world drain i-0000a2
world remove i-0000b2
world evacuate zone-3 yes
world config 9 "$route=orders" 198.18.0.3:443=certs
for vm in 1 2 3; do
	wait_metric "$vm" knapweed_config_version 9
	wait_metric "$vm" knapweed_zones_evacuated 1
done
left=$(runs_of i-0000b2)
restore 3 4
for vm in 1 2 3; do
	wait_metric "$vm" knapweed_store_era 1
done
check_kept
run_requests 400
check_kept

# A second restore, across which a VM is suspended.  It lists nothing of the
# first era and does not serve from a backup that shows the zone in use.
kill -STOP "$(pid_of v2)"
restore 6 4
sleep 4
kill -CONT "$(pid_of v2)"
for vm in 1 2 3; do
	wait_metric "$vm" knapweed_store_era 2
done
run_requests 300
check_kept
expect "requests at the removed upstream" "$(runs_of i-0000b2)" "$left"

# A third one: the VM wakes when the store shows the backup, 1.2 s before the
# operator's items are written again.
kill -STOP "$(pid_of v2)"
restore 9 4
sleep 1
kill -CONT "$(pid_of v2)"
sleep 0.5
check_kept
for vm in 1 2 3; do
	wait_metric "$vm" knapweed_store_era 3
done
run_requests 300
check_kept
expect "requests at the removed upstream" "$(runs_of i-0000b2)" "$left"

# What is written in the new era is in force.
world evacuate zone-3 no
world config 10 "$route=orders" 198.18.0.3:443=certs
for vm in 1 2 3; do
	wait_metric "$vm" knapweed_zones_evacuated 0
	wait_metric "$vm" knapweed_config_version 10
done

# A VM that starts takes the new era.
stop v3 KILL
start_vm 3
wait_metric 3 knapweed_store_era 3
wait_stat in_rotation 3
run_requests 100
end_clients
check_rules
grep -q 'event=store_restored' "$work"/v?.log || fail "no line store_restored"
grep -q 'event=store_era era=3' "$work/v2.log" || fail "v2 logs no era"
world stats
echo "$(cat "$work/answer")"
