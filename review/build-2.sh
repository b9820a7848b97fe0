#!/usr/bin/env bash
# Builds all that the scripts of review/6 to review/10 start beside the project's own program. Needs a JDK 17 and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
javac -d target/review-2 review/6/stand/*.java review/{6,7,8,9,10}/*.java
