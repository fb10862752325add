#!/bin/bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/review/standin .
