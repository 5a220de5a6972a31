# Guards against health reports that override what balancers observe: one
# upstream reports overload while it works, another reports good health while
# it is frozen.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start bengal 4
load_all 12
sleep 2
up lie order-desk-01 bad >"$work/up.log"
up lie order-desk-02 good >"$work/up.log"
up freeze order-desk-02 >"$work/up.log"
load_wait
# Both selectors still have working upstreams, so all new requests are answered.
recovered 11
up lie order-desk-01 off >"$work/up.log"
up thaw order-desk-02 >"$work/up.log"
fleet_check invariants
