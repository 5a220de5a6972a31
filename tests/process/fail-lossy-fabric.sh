# Guards against requests that run twice or answers for another request when the
# fabric drops, duplicates, delays and thereby reorders packets.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
fabric drop 0.02
fabric duplicate 0.02
fabric delay-ms 0-20
load_all 12
load_wait
fabric stats
for fault in dropped duplicated delayed; do
	expect_some "$fault" "$(value $fault "$work/fabric-control.log")"
done
fabric drop 0
fabric duplicate 0
fleet_check planned
