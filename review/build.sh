#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain ECMAScript modules of review/lib that import nothing
# but Node.js, so there is nothing to compile; this checks that they parse.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
