#!/bin/bash
# Builds the stand-ins and the cases that the scripts start. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:all -d target/classes src/review/*.java
