#!/bin/sh
# Builds the stand-in that the scripts start. It has no dependencies.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
CGO_ENABLED=0 GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
