# Guards against a flood of the most urgent work, 10 times its capacity, that
# reduces the goodput of the other service, and against a flooded class that
# gets fewer answers than its reserved slots allow.
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
# orders has the classes urgent (60%) and normal (30%), so 60/90 of the slots
# are reserved for urgent.  8 of the 9 s count: it may take 1 s until all
# slots are in use.  Requests still queued at the end are answered.
reserved=$(reserved_answers orders urgent 8)
[ "$(total answered 3)" -ge "$reserved" ] ||
    fail "the flood got $(total answered 3) answers, not $reserved"
fleet_check invariants
