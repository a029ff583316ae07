#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. They need the compiler
# and the C++ library only. The cases run target/cowsliphill, which the build of the deploy file
# makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -I. review/harness-2/stand.cc "$source" -o "target/review-2/case-$number"
done
