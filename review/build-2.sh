#!/bin/bash
# Builds the stand-ins and clients of the cases 6 to 10. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
