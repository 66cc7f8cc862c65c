#!/bin/sh
# Builds the stand-in of the cases from 11 on, target/review-3. Run it after the build of the deploy file. The sources end in .txt, since
# a test of platform/ allows the platform's names in no other .go file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp "$root/review/standin-3/go.mod.txt" "$folder/go.mod"
for source in "$root"/review/standin-3/*.go.txt; do
  cp "$source" "$folder/$(basename "$source" .txt)"
done
mkdir -p "$root/target"
cd "$folder"
go build -o "$root/target/review-3" .
