#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The project's own program is built by the
# deploy file: go build -ldflags=-linkmode=external -o target/ ./platform
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../bin/stand .
