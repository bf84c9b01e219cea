#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when they are all present.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done <utils/packages.txt

if ((${#missing[@]} > 0)); then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
