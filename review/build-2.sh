#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/rig-2/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -pthread "$source" -o "target/review-2/$name"
done
