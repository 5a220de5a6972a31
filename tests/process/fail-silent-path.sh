# Guards against a balancer that keeps using a path to an upstream on which
# nothing is answered, although a new source port would work.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
load_all 20
sleep 3
for upstream in orders-01 orders-02 orders-03; do
	up silence "$upstream" ANY >"$work/up.log"
done
# A path is replaced after 3 requests without an answer.  Each upstream has 4
# paths and gets about 4 requests a second with a deadline of 2 s.
sleep 10
recovered 11
fleet_check invariants
