#!/bin/sh
# Compares the output of knapctl with golden files.  With KF_UPDATE=1 the golden
# files are rewritten.
set -u
knapctl=$1/bin/knapctl
dir=tests/golden/knapctl
out=$1/test-output/knapctl
mkdir -p "$out"
failed=0

fail() {
	echo "$*"
	failed=1
}

# golden NAME STATUS ARGUMENT...: runs knapctl; standard output and standard
# error must match the golden file NAME, and the exit status STATUS.
golden() {
	name=$1
	want=$2
	shift 2
	"$knapctl" "$@" >"$out/$name" 2>"$out/$name.err"
	status=$?
	[ "$status" -eq "$want" ] || fail "$name: exit $status, expected $want"
	if [ -s "$out/$name.err" ]; then
		echo "stderr:" >>"$out/$name"
		cat "$out/$name.err" >>"$out/$name"
	fi
	if [ "${KF_UPDATE:-0}" = 1 ]; then
		cp "$out/$name" "$dir/$name.expected"
	fi
	diff -u "$dir/$name.expected" "$out/$name" || fail "$name: differs"
}

# The documents and settings of every deployment in conf/ must be valid.
golden check-conf 0 check conf/*/*.ini
# Every error is printed, and one refused file makes the exit status 1.
golden check-bad 1 check $dir/bad-declaration.ini $dir/bad-vms.ini \
    $dir/bad-keys.ini $dir/bad-settings.ini $dir/unknown.ini \
    $dir/missing.ini $dir/base.ini
golden check-kind 1 check --kind vms --format kv $dir/base.ini
golden explain 0 explain --at 1000050 $dir/ramp.ini
golden explain-point 0 explain --at 1000050 --service orders --point 40000 \
    $dir/ramp.ini
golden explain-kv 0 explain --at 0 --format kv $dir/base.ini
golden explain-unknown 1 explain --service order $dir/base.ini
golden diff 0 diff --at 1000050 $dir/base.ini $dir/ramp.ini
golden diff-kv 0 diff --at 1000050 --format kv $dir/base.ini $dir/ramp.ini
golden diff-same 0 diff $dir/base.ini $dir/base.ini
# Balancers refuse a lower revision, so diff must warn and exit with status 1.
golden diff-back 1 diff --at 2000000 $dir/ramp.ini $dir/base.ini

# usage ARGUMENT...: these arguments must make knapctl exit with status 2.
usage() {
	"$knapctl" "$@" >/dev/null 2>&1
	status=$?
	[ "$status" -eq 2 ] || fail "$*: exit $status, expected 2"
}
usage
usage colour
usage check
usage check --kind colour $dir/base.ini
usage diff $dir/base.ini
usage diff $dir/base.ini $dir/base.ini $dir/base.ini
usage explain --point 65536 $dir/base.ini
usage explain --at now $dir/base.ini
usage keys --format xml
for command in "" check diff explain keys show; do
	# shellcheck disable=SC2086
	"$knapctl" $command --help >/dev/null || fail "$command --help"
done

# docs/configuration.md must list every key with the same unit, range, default
# and meaning as "knapctl keys".
"$knapctl" keys --format kv >"$out/keys"
while read -r line; do
	eval "$line"
	# shellcheck disable=SC2154
	grep -qF "| \`$key\` | $unit | $range | $default | $meaning |" \
	    docs/configuration.md || fail "docs/configuration.md lacks: $line"
done <"$out/keys"
[ -s "$out/keys" ] || fail "knapctl keys printed nothing"
exit $failed
