#!/bin/sh
# Exits with 1 if the rule CONFIG was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out both losses. Needs the deploy file's build and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/gslb ] || { echo "target/gslb is missing: run the deploy file's build first" >&2; exit 2; }
[ -x target/standins ] || sh review/build.sh || exit 2
exec target/standins second-loss target/gslb "$folder/record.txt"
