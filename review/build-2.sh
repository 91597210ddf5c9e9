#!/usr/bin/env bash
# The stand-ins that the scripts of this review start need no build: they are plain Node.js modules without dependencies, in
# `standins-2`. This checks that they and the scripts can be read, and that the program of the deploy file was built.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
    [ ! -f "$file" ] || node --check "$file"
done
[ -f target/gypsumstage.cjs ] || { echo "build the program of the deploy file first" >&2; exit 1; }
