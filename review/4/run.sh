#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case4 ] || exit 2
timeout --kill-after=1 115 target/review/case4 review/4
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
