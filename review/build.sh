#!/bin/bash
# Builds the stand-ins and the cases that the scripts start, into target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/*.java
