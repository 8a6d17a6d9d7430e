#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in review/bin/case-3 target/release/weldworks-gateway; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
exec review/bin/case-3 review/3
