#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all,-try -d "$out" review/tools-2/*.java
