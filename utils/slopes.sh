#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md. Usage: utils/slopes.sh [--only=NAME] [--quick]
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target slopes >/dev/null
exec build/tools/slopes/slopes "$@"
