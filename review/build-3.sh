#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
for name in net stand_ins; do
  g++ "${flags[@]}" -c "review/harness-3/$name.cc" -o "build-review-3/$name.o" &
done
wait
for case in review/1[1-5]/case.cc; do
  n=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" build-review-3/net.o build-review-3/stand_ins.o -o "build-review-3/case-$n"
done
