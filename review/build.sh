#!/bin/bash
# Builds the rig, which holds the stand-ins and the clients of all scripts of this review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -tags review -ldflags=-linkmode=external -o target/review-rig ./review/rig
