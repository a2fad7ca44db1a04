#!/bin/sh
# Builds the stand-ins of the second review, which its scripts start. Needs no network.
set -eu
cd "$(dirname "$0")/stand2"
mkdir -p ../../bin
go build -buildvcs=false -o ../../bin/review-2 .
