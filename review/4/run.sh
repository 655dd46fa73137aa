#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. To be run after the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damaskward-node ] && [ -x target/review/review-case ] || exit 2
exec target/review/review-case long-entry review/4/record.txt
