#!/usr/bin/env bash
# Runs case N: `review/run-case.sh N`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. TROUBLE=0 leaves out the disturbance.
set -uo pipefail
cd "$(dirname "$0")/.."
number=$1
if [ ! -x target/cowsliphill ] || [ ! -x "build-review/case-$number" ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "build-review/case-$number" "$folder" "review/$number/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
