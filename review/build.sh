#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only and are no
# module. The project's own program is built by the deploy file:
# go build -ldflags=-linkmode=external -o target/ ./platform
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../bin/stand ./*.go
