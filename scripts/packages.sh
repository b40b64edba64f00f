#!/bin/sh
# packages.sh -- installs the missing Debian packages that the build needs
#
#   usage: packages.sh [pictures]
#
# With "pictures", also installs what `make picture` needs.
set -eu

packages="build-essential cmake ninja-build pkg-config clang-format clang-tidy
libh2o-evloop-dev libssl-dev libmsgpack-dev libyaml-dev libjansson-dev
libxxhash-dev libglib2.0-dev uthash-dev spin openssl
curl"
[ "${1:-}" != pictures ] || packages="$packages chromium"

missing=
for package in $packages; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing
