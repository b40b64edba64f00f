#!/bin/sh
# build.sh -- builds the drivers of the cases and all stand-ins in review/out
set -eu
cd "$(dirname "$0")"
cmake -S . -B out -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build out -j 6
