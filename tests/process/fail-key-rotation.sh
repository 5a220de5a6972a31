# Guards against flows that break while the keys are replaced with an overlap.
set -u
build=$1
. "$(dirname "$0")/fleet.sh"

fleet_conf kowhai 4
for file in "$conf"/balancer-*.ini; do
	printf '[limits]\ntoken_lifetime_s = 60\n' >>"$file"
done
fleet_start kowhai 4
load_all 20
now=$(date +%s)
# The keys overlap for 180 s: the token lifetime of 60 s, and the 120 s by
# which a token must expire before its key.
cat >"$work/keys.ini" <<KEYS
[key k1]
id = 1
secret = 3f1c9a0be27d48561122334455667788
not_before_s = 1767225600
not_after_s = $((now + 184))
[key k3]
id = 3
secret = 00112233445566778899aabbccddeeff
not_before_s = $((now + 4))
not_after_s = 4000000000
KEYS
keys_in_force() {
	for number in 1 2 3 4; do
		[ "$(accepted "$number" keys | tail -n 1)" = "0 $version" ] ||
		    return 1
	done
}
publish keys "$work/keys.ini"
wait_for "both keys everywhere" "$settle_s" keys_in_force
# Each flow makes about two requests a second and each answer renews its
# token, so no flow holds a token of the old key 8 s after the new one starts.
sleep 12
sed '/^\[key k3\]/,$!d' "$work/keys.ini" >"$work/new-key.ini"
publish keys "$work/new-key.ini"
wait_for "the new key everywhere" "$settle_s" keys_in_force
load_wait
expect refused "$(total refused)" 0
fleet_check planned
