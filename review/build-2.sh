#!/bin/bash
# Builds the stand-ins of the cases review/6 to review/10. The programs of the project are built
# by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/standin-2 .
