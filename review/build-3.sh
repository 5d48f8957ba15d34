#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 with the compiler and the JSON library that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${REVIEW_BUILD:-build-review-3}
mkdir -p "$out"
pids=()
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread "$source" -o "$out/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
