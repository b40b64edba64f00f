#!/bin/sh
# build-3.sh -- builds the scenarios of cases 11 to 15 and their stand-ins
#
# usage: build-3.sh, from any directory
set -eu
cd "$(dirname "$0")"
cmake -S common-3 -B build-3 >/dev/null
cmake --build build-3 -j"$(nproc)"
