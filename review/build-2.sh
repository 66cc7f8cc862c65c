#!/bin/sh
# Builds the stand-ins of the scripts of cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
root=$PWD
cd review/standin-2
go build -o "$root/target/standin-2" .
