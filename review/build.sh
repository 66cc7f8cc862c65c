#!/bin/sh
# Builds the stand-in that the scripts start. It has no dependencies. Its sources end in .txt, since TestNamesStayHere allows the platform's
# names in .go files of platform/ only.
set -e
cd "$(dirname "$0")"
out=$(cd .. && pwd)/target
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
mkdir -p "$out"
for f in standin/*.txt; do
  cp "$f" "$src/$(basename "$f" .txt)"
done
cd "$src"
CGO_ENABLED=0 GOFLAGS=-buildvcs=false go build -o "$out/review-standin" .
