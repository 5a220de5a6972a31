# Guards against requests that run twice or are refused falsely when balancers
# 1 to 3 cannot reach balancers 4 to 6 while both sides get calls and reach all
# upstreams.  The cut divides zone akl-b, whose upstreams then have an owner on
# each side.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_balancer=$build/netfault/knapweedd-faulty

# owned_by BALANCER REGEX: whether all owners that it sees match.
owned_by() {
	owners "$1" | grep -q '^owner=' &&
	    ! owners "$1" | grep '^owner=' | grep -qvx "owner=$2"
}

sides_split() {
	for kf_each in 1 2 3; do
		owned_by "$kf_each" 'kowhai-[123]' || return 1
	done
	for kf_each in 4 5 6; do
		owned_by "$kf_each" 'kowhai-[456]' || return 1
	done
}

answers() { # BALANCER...
	for kf_each in "$@"; do
		cat "$work/balancer-$kf_each.log"
	done | grep -c ' event=answer '
}

netfault_rules
fleet_start kowhai 6
load_all 18
sleep 2
netfault_rules "cut $net.31-33 $net.34-36" "cut $net.34-36 $net.31-33"
wait_for "each side owns all upstreams" 8 sides_split
first=$(answers 1 2 3)
second=$(answers 4 5 6)
sleep 5
first=$(($(answers 1 2 3) - first))
second=$(($(answers 4 5 6) - second))
netfault_rules
echo "answered during the cut: $first and $second"
expect_some "requests answered by balancers 1 to 3 during the cut" "$first"
expect_some "requests answered by balancers 4 to 6 during the cut" "$second"
load_wait
recovered 11
fleet_check invariants
check_netfault 2
