#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain modules that need no build and no package; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [6-9]/case.mjs 10/case.mjs; do node --check "$file"; done
