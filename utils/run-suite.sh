#!/usr/bin/env bash
# Runs a test program without the tests that KNOWN-RED.txt lists for its suite, in lines "ctest: SUITE TEST", and then
# each of these by itself, whose result is printed only. Usage: utils/run-suite.sh SUITE PROGRAM [OPTION...]
set -euo pipefail
suite=${1:?usage: utils/run-suite.sh SUITE PROGRAM [OPTION...]}
program=${2:?usage: utils/run-suite.sh SUITE PROGRAM [OPTION...]}
shift 2

# Not a process substitution: the shell does not wait for it, so that the program could inherit a child.
names=$(sed -n "s/^  ctest: $suite //p" "$(dirname "$0")/../KNOWN-RED.txt")
if [ -z "$names" ]; then
  exec "$program" "$@"
fi
mapfile -t listed <<<"$names"
status=0
"$program" "$@" --filter "!($(IFS='|'; echo "${listed[*]}"))" || status=$?
for test in "${listed[@]}"; do
  result=passes
  output=$("$program" "$@" --filter "$test" 2>&1) || result=fails
  if [[ $output == *"Tested: 0 "* ]]; then
    echo "KNOWN-RED.txt lists $suite $test, which does not exist" >&2
    status=1
  fi
  echo "$output"
  echo "listed in KNOWN-RED.txt: $suite $test $result"
done
exit "$status"
