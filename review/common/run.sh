#!/usr/bin/env bash
# Runs the case in the folder that is given: 1 when the rule was broken, 0 when it held, 2 when the
# case could not run.
set -u
cd "$1" || exit 2
root=$(cd ../.. && pwd)
number=$(basename "$PWD")
program=$root/target/tools/dragonflymoord/dragonflymoord
[ -x "$program" ] && [ -x "../bin/case-$number" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "../bin/case-$number" "$program" "$folder" "${TROUBLE:-1}"
status=$?
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || status=2
exit "$status"
