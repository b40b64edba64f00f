#!/bin/sh
# build-2.sh -- builds the stand-ins and the cases of the second review
#
# The daemons are those of the deploy file's own build, in target/.
set -eu
cd "$(dirname "$0")"
rm -rf build-2/CMakeCache.txt
cmake -S common-2 -B build-2 >/dev/null
cmake --build build-2 -j 6
