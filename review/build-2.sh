#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain ECMAScript modules of review/lib-2 that import nothing but
# Node.js, so there is nothing to compile; this checks that they parse.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do node --check "$file"; done
