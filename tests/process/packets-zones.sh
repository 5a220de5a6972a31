# Guards against load that stays in a zone with too few upstreams, leaves one
# with enough, or leaves although balancing is switched off: the demand of the
# other zones, the share and the settings must reach the VMs.
set -u
build=$1
. tests/process/common.sh
. tests/process/packets.inc

# share VM: prints the share of new flows that leave the zone of a VM.
share() {
	curl -sf "http://$net.$1:7720/state" | tr ' ' '\n' |
	    sed -n 's/^share=//p' | head -1
}

# wait_share VM PATTERN: waits up to 40 s until the share matches.
wait_share() {
	share_left=200
	until share "$1" | grep -q "^$2\$"; do
		share_left=$((share_left - 1))
		[ "$share_left" -gt 0 ] ||
		    fail "share of v$1 is $(share "$1"), not $2"
		sleep 0.2
	done
}

start_world --service-time-us=20000
# Several upstreams in each zone, so that one that happens to be late often is
# no outlier.
for n in 1 2 3; do
	world add "i-0000a$n" orders zone-1 "$net.1$n:8080" 1
	world add "i-0000b$n" orders zone-2 "$net.2$n:8080" 4
	world add "i-0000c$n" orders zone-3 "$net.3$n:8080" 4
done
world config 5 "$route=orders"
start_vm 1
start_vm 2
start_vm 3
wait_stat in_rotation 3
clients 330
wait_share 1 '0\.[1-9].*'
expect "share of zone-2" "$(share 2)" 0.00
expect "share of zone-3" "$(share 3)" 0.00
grep -q 'event=zone_balance service=orders share=0\.[0-9]* wait_home_us=' \
    "$work/v1.log" || fail "no zone_balance in the log of v1"
expect_some "flows of v1 to other zones" \
    "$(metric 1 knapweed_flows_other_zone_total)"

printf '[zones]\nbalance = off\n' >>"$work/v1.ini"
wait_share 1 0.00
end_clients
check_rules
