#!/bin/sh
# The stand-ins of review/11 and later are plain scripts in review/standins-3: nothing is compiled. This checks that they load.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.mjs; do node --check "$file"; done
