#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf ../target/review
mkdir -p ../target/review
javac -Xlint:all -d ../target/review stand/*.java
