#!/bin/sh
# Builds the stand-in of the cases from 11 on into target/review-3. The sources end in .txt,
# because names of the users' platform may not stand in Go files outside platform/. It needs
# the standard library only.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for f in review/standin-3/*.go.txt; do
	cp "$f" "$work/$(basename "$f" .txt)"
done
cp review/standin-3/words.txt review/standin-3/settings.txt "$work"
cat > "$work/go.mod" <<'MOD'
module standin3

go 1.26
MOD
mkdir -p target/review-3
out=$PWD/target/review-3/standin-3
cd "$work"
go build -o "$out" .
