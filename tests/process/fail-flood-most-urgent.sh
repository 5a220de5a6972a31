# Guards against a flood of the most urgent work, 10 times its capacity, that
# takes the goodput of the other service, and against a flooded class that
# starves.
# Runs alone: it loads all processors.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

# 14 upstreams with 3 slots at 300 ms serve 140 requests a second.
fleet_service_us="300000 4000"
fleet_start kowhai 6
load certs 1 --flows 100 --rate 150 --duration-s 6
load_wait
# The same seed gives the same arrivals.
load orders 3 --flows 4000 --rate 1400 --duration-s 9 --mix 2=1
sleep 2
load certs 2 --seed 1 --flows 100 --rate 150 --duration-s 6
load_wait
calm=$(total answered 1)
flooded=$(total answered 2)
echo "answered_calm=$calm answered_flooded=$flooded" \
    "flood: $(summary 3)"
expect_some "refusals of the flood" "$(total refused 3)"
expect_some "answers of the flood" "$(total answered 3)"
[ $((flooded * 100)) -ge $((calm * 99)) ] ||
    fail "goodput fell from $calm to $flooded requests"
# orders has the classes urgent and normal, so the share of urgent is 60 of 90
# parts of the slots.  The first second of the load of 9 s may pass until all
# slots are in use; the end needs no room, because requests queued then are
# still answered.
reserved=$(reserved_answers orders urgent 8)
[ "$(total answered 3)" -ge "$reserved" ] ||
    fail "the flood got $(total answered 3) answers, not $reserved"
fleet_check invariants
