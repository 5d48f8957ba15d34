#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. They need g++ and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
builds=()
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread -o "target/review/case$number" "$source" &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
