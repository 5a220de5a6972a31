# Guards against connections whose state was lost between balancer and upstream
# and that are used on while new ones work.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
load_all 14
sleep 3
for upstream in orders-01 orders-02 orders-03; do
	up silence "$upstream" ANY >"$work/up.log"
done
sleep 6
recovered 11
fleet_check invariants
