#!/bin/bash
# Plays the case. TROUBLE=0 plays it without the disruption. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] || exit 2
exec target/review-rig -case short-stream -record review/5/record.txt
