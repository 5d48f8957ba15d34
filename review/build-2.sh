#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file, with its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/scenario.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review/6 -o "target/review-2/case-$number" "$source" -lpthread
done
