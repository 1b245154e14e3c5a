#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/lacewingweir.jar ] && [ -f target/review/OldView.class ] || exit 2
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in 0|1) ;; *) echo "TROUBLE must be 0 or 1" >&2; exit 2 ;; esac
timeout 118 java -Xmx256m -Dtrouble="$TROUBLE" -cp target/review OldView review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
