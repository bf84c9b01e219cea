#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=c++20 -O1 -pthread"
g++ $flags -c common/standins.cc -o bin/standins.o &
g++ $flags -c -x c++ - -o bin/json.o <<<'#include <boost/json/src.hpp>' &
wait
for case in */case.cc; do
  g++ $flags "$case" bin/standins.o bin/json.o -lfmt -o "bin/case-${case%%/*}" &
done
wait
for case in */case.cc; do
  test -x "bin/case-${case%%/*}"
done
