#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/platform ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec review/bin/stand leave "$here/record.txt"
