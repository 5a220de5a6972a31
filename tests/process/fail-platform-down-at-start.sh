# Guards against a balancer that cannot start while the platform is down: it
# must get the documents from its peers.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_conf kowhai 6
start_platform
start_upstreams
start_fabric 5
for number in 1 2 3 4 5; do
	start_balancer "$number"
done
wait_until_served
platform down
load_all 10
start_balancer 6
wait_for "balancer-6 settled" 15 \
    grep -q event=settled "$work/balancer-6.log"
expect "documents of balancer-6" "$(accepted 6 declaration)" \
    "$(accepted 1 declaration | tail -n 1)"
fabric add "$(ingress_of 6)"
load_wait
wait_for "all agree on the owners" 15 owners_agree 1 2 3 4 5 6
check_takes_part 6
fleet_check planned
