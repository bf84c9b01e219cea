#!/usr/bin/env bash
# Checks formatting and runs the linter. Usage: utils/lint.sh BUILD_DIRECTORY [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: utils/lint.sh BUILD_DIRECTORY [FILE...]}
shift

files=("$@")
if ((${#files[@]} == 0)); then
  mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v generated)
fi
clang-format --dry-run -Werror "${files[@]}"

mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
