# Guards against requests that run twice, are lost or get a wrong answer when
# a balancer is killed, and against flows that break although no
# outcome of theirs is unknown.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 6
load_all 12
sleep 3
stop balancer-4 KILL
sleep 1
fabric remove "$(ingress_of 4)"
fleet_check death
