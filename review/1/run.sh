#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/lacewingweir.jar ] && [ -f target/review/LateCopy.class ] || exit 2
timeout 118 java -Xmx256m -cp target/review LateCopy review/1/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
