#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -o bin/review-world standin/world.c
