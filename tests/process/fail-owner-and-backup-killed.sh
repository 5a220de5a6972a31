# Guards against a non-idempotent request that runs again after its owner and
# its backup were killed together.  The two balancers of a zone are owner and
# backup of all its upstreams.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 6
load_all 12
sleep 3
balancer 3 KILL
balancer 4 KILL
stop balancer-3 KILL
stop balancer-4 KILL
sleep 1
fabric remove "$(ingress_of 3)"
fabric remove "$(ingress_of 4)"
load_wait
recovered 11
fleet_check invariants
