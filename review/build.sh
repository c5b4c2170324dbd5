#!/bin/sh

set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/stand ./_stand
