#!/usr/bin/env bash
# Usage: run.sh [RECORD]. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/second/RollingPoison.class ] || review/build-2.sh || exit 2
exec java -cp target/review-2 second.RollingPoison "${1:-review/10/record.txt}"
