#!/bin/sh
# Plays the case "drain". Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/hazelyoked target/review/stand_in; do
    [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review/stand_in drain review/3
