#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file. It needs
# Go only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off go -C review/stand2 build -o ../../target/review2 .
