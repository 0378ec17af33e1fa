#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/rig2 ] && [ -x target/crocusgladed ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
TROUBLE=${TROUBLE:-1} target/rig2 tainted "$folder"
