# Guards against a ramp that stops, or balancers that disagree about the shares,
# when the platform is down for the whole ramp.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_start kowhai 4
ramp_s=6
ramp_start_s=$(($(date +%s) + 4))
change "$work/ramp.ini" 2 '
    section ~ /^\[selector orders-old/ && $1 == "share_percent" {
	print "ramp_from_percent = 100"; ramp = 1; $0 = "share_percent = 0" }
    section ~ /^\[selector orders-new/ && $1 == "share_percent" {
	print "ramp_from_percent = 0"; ramp = 1; $0 = "share_percent = 100" }
    ramp { ramp = 0
	print "ramp_start_s = '$ramp_start_s'"; print "ramp_s = '$ramp_s'" }'
publish declaration "$work/ramp.ini"
wait_for "revision 2 everywhere" "$settle_s" in_force 2 "$version" 1 2 3 4
platform down
load_all 14
old() {
	ini_sections "$declaration" upstream | head -n 7 |
	    sed 's/.*/upstream=& /' >"$work/old"
	grep -cF -f "$work/old" "$work/ledger-1"
}
while [ "$(date +%s)" -lt $((ramp_start_s + ramp_s / 2)) ]; do
	sleep 0.2
done
expect_some "requests of the old deployment" "$(old)"
# After the ramp, requests under way end within their deadline of 2 s.
while [ "$(date +%s)" -lt $((ramp_start_s + ramp_s + 3)) ]; do
	sleep 0.2
done
before=$(old)
load_wait
expect "requests of the old deployment after the ramp" "$(old)" "$before"
fleet_check planned
