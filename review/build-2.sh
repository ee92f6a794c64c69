#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file. They use
# the standard library only and are no module.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review2 ./*.go
