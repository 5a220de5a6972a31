#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, after
# the build of the deploy file: standin-packets and standin-control, into
# target/review-3.  Needs neither GTest nor a network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
cflags=
for dir in lib/*/include lib/wire/generated platform/include; do
	[ ! -d "$dir" ] || cflags="$cflags -I$dir"
done
libs=$(find target/parts target -name 'libkf_*.a' | sort -u)
packages='libmicrohttpd jansson libxxhash apr-1 apr-util-1 libtirpc'
# shellcheck disable=SC2086,SC2046 # lists of words
build() {
	name=$1
	shift
	cc -std=gnu11 -O2 $cflags -Iplatform -Iplatform/standin \
	    $(pkg-config --cflags $packages) -o "$out/$name" "$@" \
	    lib/standin/*.c -Wl,--start-group $libs -Wl,--end-group \
	    $(pkg-config --libs $packages) -lpthread -lm
}
build standin-packets platform/standin/*.c
build standin-control standin/control/*.c
