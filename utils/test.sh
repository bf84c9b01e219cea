#!/usr/bin/env bash
# Installs packages, builds, checks format and lint, and runs all tests, also under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."

utils/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
utils/lint.sh build
cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DDFM_SANITIZE=address,undefined >/dev/null
cmake --build build-asan --target unittests
cmake -S . -B build-tsan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DDFM_SANITIZE=thread >/dev/null
cmake --build build-tsan --target NetTests

if [ -s KNOWN-RED.txt ]; then
  echo "known failures, listed in KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
export ASAN_OPTIONS=detect_leaks=0
ctest --test-dir build-asan --output-on-failure -j 5
ctest --test-dir build-tsan --output-on-failure -R '^Net$'
ctest --test-dir build --output-on-failure -j 5
