#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/11 on into target/review-3. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/play.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I review/rig-3 "$source" -o "target/review-3/case-$number"
done
