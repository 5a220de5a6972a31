# Guards against requests that run twice or are refused falsely when a zone is
# cut off from the fabric and its balancers are suspended for 8 s.  They
# resume with outdated state.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 6
load_all 18
sleep 2
fabric cut "${net}.33"
fabric cut "${net}.34"
balancer 3 STOP
balancer 4 STOP
sleep 8
balancer 3 CONT
balancer 4 CONT
fabric heal "${net}.33"
fabric heal "${net}.34"
load_wait
recovered 11
fleet_check invariants
