# Guards against requests that run twice, or are refused falsely, when the
# fabric is cut off from a zone's balancers, which still reach the other
# balancers.  Callers retransmit through those.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 6
load_all 10
sleep 2
fabric cut "${net}.33"
fabric cut "${net}.34"
sleep 4
fabric heal "${net}.33"
fabric heal "${net}.34"
fleet_check invariants
