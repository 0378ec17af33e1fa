#!/bin/bash
# Builds the stand-ins of the cases in review/11 to review/15. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/rig3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/rig3 .
