# Guards against requests that run twice or are refused falsely when a zone is cut
# off: its balancers neither hear the others nor serve callers for 8 s, then
# resume with old state.
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
