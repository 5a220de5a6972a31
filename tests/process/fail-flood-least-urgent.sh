# Guards against a flood of the least urgent work, 10 times its capacity, that
# reduces the goodput of the other service, and against a flooded class that
# gets fewer answers than its reserved slots allow.
# Runs alone: it loads all processors.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# 4 upstreams with 3 slots at 100 ms serve 120 requests a second.
fleet_service_us="4000 100000"
fleet_start kowhai 6
load orders 1 --flows 100 --rate 150 --duration-s 6
load_wait
# The same seed gives the same arrivals.
load certs 3 --flows 4000 --rate 1200 --duration-s 9 \
    --timeout-ms 12000
sleep 2
load orders 2 --seed 1 --flows 100 --rate 150 --duration-s 6
load_wait
calm=$(total answered 1)
flooded=$(total answered 2)
echo "answered_calm=$calm answered_flooded=$flooded" \
    "flood: $(summary 3)"
expect_some "refusals of the flood" "$(total refused 3)"
expect_some "answers of the flood" "$(total answered 3)"
[ $((flooded * 100)) -ge $((calm * 99)) ] ||
    fail "goodput fell from $calm to $flooded requests"
# bulk is the only class of certs, so all slots are reserved for it.  8 of the
# 9 s count: it may take 1 s until all slots are in use.  Requests still
# queued at the end are answered.
reserved=$(reserved_answers certs bulk 8)
[ "$(total answered 3)" -ge "$reserved" ] ||
    fail "the flood got $(total answered 3) answers, not $reserved"
fleet_check invariants
