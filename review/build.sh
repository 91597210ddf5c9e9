#!/usr/bin/env bash
# The stand-ins that the scripts start need no build: they are plain Node.js modules without dependencies, in this folder.
# This checks that they and the scripts can be read, and that the program of the deploy file was built.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins/*.mjs review/[1-5]/*.mjs; do
    [ ! -f "$file" ] || node --check "$file"
done
[ -f target/gypsumstage.cjs ] || { echo "build the program of the deploy file first" >&2; exit 1; }
