# Guards against requests that run twice or are refused falsely when datagrams
# between balancers, and between balancers and upstreams, are lost.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_balancer=$build/netfault/knapweedd-faulty
fleet_upstream=$build/netfault/standin-upstream-faulty

netfault_rules
fleet_start kowhai 6
netfault_rules "loss 5 $net.31-36 $net.31-36" \
    "loss 5 $net.31-36 $net.101-129" "loss 5 $net.101-129 $net.31-36"
load_all 12
load_wait
netfault_rules
recovered 11
fleet_check invariants
check_netfault 3
