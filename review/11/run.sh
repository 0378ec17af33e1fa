#!/bin/bash
# Plays the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it
# without the disruption. Build first with the line of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig3 ] && [ -x target/crocusgladed ] || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
exec target/rig3 revoked-key review/11/record.txt
