#!/bin/sh
# Builds every stand-in that the cases start. It needs the Go tool chain and no module. The folder begins with an
# underscore so that ./... of the project, and with it CI, leaves it out.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/stand ./_stand
