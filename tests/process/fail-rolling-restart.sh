# Guards against flows that break when the balancers are restarted one at a
# time, as in a planned upgrade.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# Service times long enough that a balancer always has requests in progress.
fleet_service_us="100000 50000"
fleet_start kowhai 4
load_all 45
for number in 1 2 3 4; do
	sleep 1
	stop "balancer-$number"
	expect "exit status of balancer-$number" "$status" 0
	start_balancer "$number"
	wait_for "balancer-$number settled" 15 \
	    grep -q event=settled "$work/balancer-$number.log"
done
fleet_check planned
