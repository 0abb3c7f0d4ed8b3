#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/sequoiaspan ] || [ ! -x target/review-standin ]; then
  echo "build first: the line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
TROUBLE="${TROUBLE:-1}" exec target/review-standin endless-body review/5/record.txt
