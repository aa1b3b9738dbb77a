#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/apps/bergamotramp-entryd ] && [ -x "target/review/case-$(basename "$folder")" ] || exit 2
timeout -k 2 115 "target/review/case-$(basename "$folder")" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
