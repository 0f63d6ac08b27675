#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
