#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/stand -case cut-workers -record review/5/record.txt
