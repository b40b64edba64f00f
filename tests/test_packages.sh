#!/bin/sh
# test_packages.sh ROOT -- checks that scripts/packages.sh declares every
# package that deploy/ builds with, and that both have the programs' libraries
set -eu

root=$1
declared=$(sed -n '/^packages="/,/"$/p' "$root/scripts/packages.sh" |
    tr -d '"' | sed 's/^packages=//' | tr '\n' ' ')
deployed=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$root/deploy/system.toml" |
    tr -d '",')

count=0
for package in $deployed; do
    case " $declared " in
    *" $package "*) count=$((count + 1)) ;;
    *)
        echo "$package stands in deploy/system.toml and not in" \
            "scripts/packages.sh; add it there" >&2
        exit 1
        ;;
    esac
done
[ "$count" -gt 0 ] || {
    echo "deploy/system.toml names no package" >&2
    exit 1
}
# Each library that the programs link must have its package in both.
for library in h2o msgpack yaml jansson xxhash; do
    case "$deployed" in
    *"$library"*) ;;
    *)
        echo "deploy/system.toml lacks the package of $library" >&2
        exit 1
        ;;
    esac
done
echo "$count packages agree"
