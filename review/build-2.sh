#!/bin/sh
# Builds the stand-in of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cc -std=gnu11 -O2 -Wall -Wextra -o target/review-2/world-2 \
    review/standin-2/*.c
