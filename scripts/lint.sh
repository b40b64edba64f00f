#!/bin/sh
# lint.sh -- checks the format and runs the linter; warnings are errors
set -eu

build=${1:-build}
git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror
git ls-files 'packages/*.c' 'platform/*.c' 'tests/*.c' 'examples/*.c' |
    xargs -P "$(nproc)" -n 3 clang-tidy -p "$build" --quiet \
        --warnings-as-errors='*' >"$build/lint.out" 2>&1 && exit 0
grep -A 3 'error:' "$build/lint.out" >&2
exit 1
