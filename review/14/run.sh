#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the loss out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cowsliphill ] && [ -x build-review-3/case-14 ] || exit 2
exec timeout --kill-after=5 110 build-review-3/case-14 review/14/record.txt
