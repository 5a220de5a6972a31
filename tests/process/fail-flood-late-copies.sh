# Guards against idempotent requests that are refused as not run although they
# ran.  During a flood some upstreams freeze, so that the balancers disagree
# for a moment on which are ejected.  Then the callers are suspended, so that
# they retransmit requests whose refusals they have not read yet.
# Runs alone: it loads all processors.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# 14 upstreams with 3 slots at 200 ms serve 210 requests a second.
fleet_service_us="200000 4000"
fleet_start kowhai 6
load orders 3 --flows 6000 --rate 2100 --duration-s 10 --mix 1=1 \
    --non-idempotent ''
sleep 1
for upstream in orders-02 orders-05 orders-09; do
	up freeze "$upstream" >"$work/up.log"
done
sleep 3
for upstream in orders-02 orders-05 orders-09; do
	up thaw "$upstream" >"$work/up.log"
done
kill -STOP "$(pid_of caller-3)"
sleep 3
kill -CONT "$(pid_of caller-3)"
load_wait
echo "flood: $(summary 3)"
expect_some "refusals of the flood" "$(total refused 3)"
fleet_check invariants
