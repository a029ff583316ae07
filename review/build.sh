#!/usr/bin/env bash
# Builds the programs of the review's scripts into build-review/. Needs the packages of
# scripts/packages, and target/ from the build of the deploy file to run them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
flags=(-std=c++20 -O1 -Wall -Wextra -I . -pthread)
g++ "${flags[@]}" -c review/harness/harness.cc -o build-review/harness.o
for source in review/[1-5]/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" build-review/harness.o -o "build-review/case-$name"
done
