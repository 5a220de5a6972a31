# Guards against two failures at once: a balancer is killed while an upstream
# drains.  The drain must still take effect, and only flows with a request of
# unknown outcome may break.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 6
load_all 14
sleep 2
change "$work/drained.ini" 2 '
    section == "[upstream order-desk-01]" && $1 == "labels" {
	print "state = draining" }'
publish declaration "$work/drained.ini"
stop balancer-1 KILL
wait_for "revision 2 everywhere" "$settle_s" in_force 2 "$version" 2 3 4 5 6
fabric remove "$(ingress_of 1)"
# Requests that the killed balancer held end within the callers' timeout; new
# ones may not reach the upstream.
sleep 5
before=$(executions order-desk-01)
load_wait
expect "requests of the draining upstream" \
    "$(executions order-desk-01)" "$before"
fleet_check death
