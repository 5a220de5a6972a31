# Guards against requests that run twice when a balancer is suspended for 6 s:
# after it resumes it must not dispatch for flows that its backup has taken
# over.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 6
load_all 16
sleep 3
balancer 3 STOP
sleep 6
balancer 3 CONT
load_wait
recovered 11
fleet_check invariants
