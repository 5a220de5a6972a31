# Guards against a flood of one class that reduces the goodput of another
# class of the same service, against a class that gets no answers, and against
# requests that end with an unknown outcome although they were never
# dispatched.
# Runs alone: it loads all processors.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# 14 upstreams with 3 slots at 200 ms serve 210 requests a second.
fleet_service_us="200000 4000"
fleet_start kowhai 6

# steady CALLER: 45 refill orders (urgent) and 45 look-ups (normal) a second.
# The same seed gives the same arrivals.
steady() {
	load orders "$1" --seed 1 --flows 400 --rate 90 --duration-s 6 \
	    --mix 1=1,2=1
}

# answers PROCEDURE CALLER...
answers() {
	kf_procedure=$1
	shift
	sum answered "^event=procedure proc=$kf_procedure " "$@"
}

steady 1
load_wait
# 10 times the capacity in look-ups, which are idempotent.
load orders 3 --flows 6000 --rate 2100 --duration-s 9 --mix 1=1 \
    --non-idempotent ''
sleep 2
steady 2
load_wait

calm=$(answers 2 1)
flooded=$(answers 2 2)
echo "urgent_calm=$calm urgent_flooded=$flooded" \
    "normal_calm=$(answers 1 1) normal_flooded=$(answers 1 2)"
echo "steady: $(summary 2)"
echo "flood: $(summary 3)"
expect "answered without the flood" "$(total answered 1)" "$(total requests 1)"

# The class that is not flooded must keep its goodput: the steady callers'
# orders need fewer slots than are reserved for urgent.
[ $((flooded * 100)) -ge $((calm * 99)) ] ||
    fail "goodput of urgent fell from $calm to $flooded requests"
# In the flooded class slots are reserved for the class, not for each caller:
# the steady look-ups compete with the flood, so only some must be answered.
expect_some "answers of steady look-ups in the flood" "$(answers 1 2)"

# 30/90 of the slots are reserved for normal.  8 of the 9 s count: it may take
# 1 s until all slots are in use.  Requests still queued at the end are
# answered.
reserved=$(reserved_answers orders normal 8)
[ "$(total answered 3)" -ge "$reserved" ] ||
    fail "the flood got $(total answered 3) answers, not $reserved"

expect_some "refusals of the flood" "$(total refused 3)"
for caller in 2 3; do
	[ "$(total broken_flows $caller)" -le \
	    "$(total unknown_outcome $caller)" ] ||
	    fail "a flow broke without a request of unknown outcome"
done
fleet_check invariants

# A request may end with an unknown outcome only if it was dispatched;
# otherwise it must be refused as not run.  A dispatched request is in the
# ledger unless the upstream removed it from its queue, because it was
# cancelled or too late.
unknown_not_run=$(awk '
    FILENAME ~ /ledger-/ { ran[$1]; next }
    $3 == "verdict=unknown" && !($1 in ran) { n++ }
    END { print n + 0 }' "$work"/ledger-1 "$work"/results-2 "$work"/results-3)
removed=$(grep '^event=upstream ' "$work/upstreams-orders.log" | tr ' ' '\n' |
    awk -F = '$1 == "cancelled" || $1 == "late" { n += $2 }
	END { print n + 0 }')
echo "unknown_not_run=$unknown_not_run removed=$removed"
[ "$unknown_not_run" -le "$removed" ] ||
    fail "requests that were not dispatched ended as unknown"
