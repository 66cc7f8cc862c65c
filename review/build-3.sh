#!/bin/sh
# Builds the stand-ins of the cases from 11 on. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-3 .
