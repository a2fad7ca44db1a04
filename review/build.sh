#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS= GOWORK=off go build -o bin/ ./cmd/...
