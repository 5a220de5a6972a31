# Guards against tokens that the callers' RPC library does not send back.  An
# unmodified libtirpc client must establish a flow and make calls, before and
# after a balancer is killed.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

stock_calls() { # CALLER
	kf_service=$(first_section "$declaration" service)
	"$bin/standin-caller" --stock --caller "$1" \
	    --service "$(ini_value "$declaration" \
	    "service $kf_service" address)" \
	    --program "$(ini_value "$declaration" \
	    "service $kf_service" program)" \
	    --service-tag "$(service_tag "$kf_service")" \
	    --mix 1=1,2=1 --non-idempotent 2 \
	    --bind "$net.200" >"$work/stock-$1.log" 2>&1 ||
	    fail "stock client $1: $(cat "$work/stock-$1.log")"
	[ "$(value answered "$work/stock-$1.log")" -eq 8 ] ||
	    fail "stock client $1: $(cat "$work/stock-$1.log")"
}

fleet_start kowhai 4
stock_calls 11
balancer 1 KILL
fabric remove "$(ingress_of 1)"
wait_until_served
stock_calls 12
stock_calls 13
