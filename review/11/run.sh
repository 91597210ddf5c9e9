#!/bin/sh
# Exits with 1 if rule DRAIN was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")" && exec node run.mjs
