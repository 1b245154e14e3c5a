#!/bin/sh
# Compiles the stand-ins and scripts of the second review into target/review-2. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/lab2/*.java review/[6-9]/*.java $(ls review/10/*.java 2>/dev/null || true)
