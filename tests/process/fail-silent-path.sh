# Guards against connections whose state was lost between balancer and upstream
# and that are used on while new ones work.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
load_all 20
sleep 3
for upstream in orders-01 orders-02 orders-03; do
	up silence "$upstream" ANY >"$work/up.log"
done
# Each of an upstream's 4 paths must meet 3 requests without an answer, at
# about 4 requests a second and a deadline of 2 s.
sleep 10
recovered 11
fleet_check invariants
