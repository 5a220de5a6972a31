# Guards against flows that break while a balancer is added, and against a new
# balancer that serves no requests.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_conf bengal 6
start_platform
start_upstreams
start_fabric 5
for number in 1 2 3 4 5; do
	start_balancer "$number"
done
wait_until_served
load_all 12
sleep 2
start_balancer 6
wait_for "balancer-6 settled" 15 \
    grep -q event=settled "$work/balancer-6.log"
fabric add "$(ingress_of 6)"
load_wait
wait_for "all agree on the owners" 15 owners_agree 1 2 3 4 5 6
check_takes_part 6
fleet_check planned
